/**
 * @file planner_regions.c
 * @brief Keys whose requests may go to some regions only: each lies where most of its requests may go.
 *
 * What an owner's region may not serve is refused at once, so a request that is refused costs as much as
 * `settings->refusal` requests of usual time. A run is a row of keys that would all be served in some other region; it
 * is moved there if that earns more than a move costs, what would be refused there instead included. Where one key is
 * asked for by requests of different regions, it stays with the larger part.
 */
#include <string.h>

#include "placement/planner_internal.h"

double cw_planner_refused(const cw_planner_t *planner, uint32_t low, uint32_t last, uint32_t region)
{
    double per_s = 0;
    size_t index;

    for (index = cw_bound_loads_first(planner->bounds, planner->bound_count, low);
         index < planner->bound_count && planner->bounds[index].key <= last; index++) {
        per_s += cw_region_mask_allows(planner->bounds[index].regions, region) ? 0 : planner->bounds[index].per_s;
    }
    return per_s;
}

double cw_planner_refusal_cost(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                               const cw_planner_server_t *server)
{
    return planner->bound_count == 0
               ? 0
               : planner->settings->refusal * cw_planner_refused(planner, piece->low, piece->last, server->region);
}

cw_planner_server_t *cw_planner_best_for(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                                         const char *except)
{
    cw_planner_server_t *best = NULL;
    double               best_cost = 0;
    size_t               index;

    if (planner->bound_count == 0) {
        return cw_planner_least_busy(planner, except);
    }
    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];
        double               cost = cw_planner_rank(server) + cw_planner_refusal_cost(planner, piece, server);

        if (server->usable && strcmp(server->entry->id, except) != 0 && (best == NULL || cost < best_cost)) {
            best = server;
            best_cost = cost;
        }
    }
    return best;
}

cw_planner_server_t *cw_planner_least_busy_in(const cw_planner_t *planner, const cw_planner_server_t *server)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *other = &planner->servers[index];

        if (other != server && other->usable && other->region == server->region &&
            (best == NULL || cw_planner_rank(other) < cw_planner_rank(best))) {
            best = other;
        }
    }
    return best;
}

/* ---- runs of keys that are better off elsewhere ---- */

/** Keys of one range, none of whose bound requests may go to the owner's region, and all to these. */
typedef struct run {
    cw_planner_piece_t piece;
    uint32_t           regions;
    size_t             end;      /**< index of the first bound load behind it */
    bool               is_whole; /**< no other bound load lies in the range */
} run_t;

static bool joins(const run_t *run, const cw_bound_load_t *load, uint32_t owner_region)
{
    return !cw_region_mask_allows(load->regions, owner_region) && (run->regions & load->regions) != 0;
}

/* The run that begins with this bound load, or at the next one that may not go to the owner's region. */
static run_t find_run(const cw_planner_t *planner, const cw_range_t *range, size_t begin, uint32_t owner_region)
{
    size_t first = cw_bound_loads_first(planner->bounds, planner->bound_count, range->low);
    size_t end = cw_bound_loads_first(planner->bounds, planner->bound_count, range->last + 1);
    run_t  run = {.regions = UINT32_MAX, .end = begin};

    while (run.end < end && cw_region_mask_allows(planner->bounds[run.end].regions, owner_region)) {
        run.end++;
    }
    begin = run.end;
    while (run.end < end && joins(&run, &planner->bounds[run.end], owner_region)) {
        run.regions &= planner->bounds[run.end].regions;
        run.end++;
    }
    if (run.end > begin) {
        run.is_whole = begin == first && run.end == end;
        run.piece.low = run.is_whole ? range->low : planner->bounds[begin].key;
        run.piece.last = run.is_whole ? range->last : planner->bounds[run.end - 1].key;
        run.piece.per_s = cw_planner_load_between(planner, run.piece.low, run.piece.last);
    }
    return run;
}

static bool earns(const cw_planner_t *planner, const run_t *run, const cw_planner_server_t *from,
                  const cw_planner_server_t *to)
{
    double served = cw_planner_refused(planner, run->piece.low, run->piece.last, from->region) -
                    cw_planner_refused(planner, run->piece.low, run->piece.last, to->region);
    double surely = served - planner->settings->errors * cw_load_error(served);

    return surely * planner->settings->refusal > cw_planner_price(planner, &run->piece);
}

/* Moves the first run of the range that earns its price. */
static bool move_run(cw_planner_t *planner, const cw_range_t *range)
{
    cw_planner_server_t *from = cw_planner_server_of(planner, range->owner.id);
    size_t               begin = cw_bound_loads_first(planner->bounds, planner->bound_count, range->low);

    if (from == NULL || !cw_planner_is_moveable(planner, range)) {
        return false;
    }
    while (begin < planner->bound_count && planner->bounds[begin].key <= range->last) {
        run_t                run = find_run(planner, range, begin, from->region);
        cw_planner_server_t *to = cw_planner_best_for(planner, &run.piece, from->entry->id);

        if (run.end > begin && run.regions != UINT32_MAX && to != NULL && (run.is_whole || !planner->is_in_pieces) &&
            earns(planner, &run, from, to)) {
            cw_planner_move(planner, &run.piece, from, to);
            return true;
        }
        begin = run.end > begin ? run.end : begin + 1;
    }
    return false;
}

void cw_planner_obey_regions(cw_planner_t *planner)
{
    size_t most = planner->settings->moves_max;
    size_t moves = 0;
    size_t index;

    for (index = 0; planner->bound_count > 0 && index < planner->ranges.count && moves < most; index++) {
        cw_range_t range = planner->ranges.items[index]; /* a move cuts the list */

        moves += move_run(planner, &range) ? 1 : 0;
    }
}
