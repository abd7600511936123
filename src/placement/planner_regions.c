/**
 * @file planner_regions.c
 * @brief Keys and regions: each key lies where most of its requests may go, and near to where they come from.
 *
 * What an owner's region may not serve is refused at once, so a request that is refused costs as much as
 * `settings->refusal` requests of usual time. A run is a row of keys that would all be served in some other region; it
 * is moved there if that earns more than a move costs, what would be refused there instead included. Where one key is
 * asked for by requests of different regions, it stays with the larger part.
 *
 * A request that crosses a border costs its way and its bytes (balance/crossing_cost.h; short ones a fraction of a
 * usual time, large bodies several). That decides where a key goes that has to move, or moves for balance; a range is
 * moved for it alone only where it earns the price of a move, and never for what chance explains.
 */
#include <string.h>

#include "placement/planner_internal.h"

/* Of several hundred ranges, each looked at three times a second, some look as if they had a home by chance: one in 3.5
 * million is five errors off. Ranges of less than 12.5 requests a second are never brought near for this. */
static const double chance_errors = 5;

static double outside(const cw_bound_load_t *loads, size_t count, const cw_planner_piece_t *piece, uint32_t region)
{
    double per_s = 0;
    size_t index;

    for (index = cw_bound_loads_first(loads, count, piece->low); index < count && loads[index].key <= piece->last;
         index++) {
        per_s += cw_region_mask_allows(loads[index].regions, region) ? 0 : loads[index].per_s;
    }
    return per_s;
}

static double refused(const cw_planner_t *planner, const cw_planner_piece_t *piece, const cw_planner_server_t *server)
{
    return outside(planner->bounds, planner->bound_count, piece, server->region);
}

static double crossing(const cw_planner_t *planner, const cw_planner_piece_t *piece, const cw_planner_server_t *server)
{
    return outside(planner->origins, planner->origin_count, piece, server->region);
}

static bool has_regions(const cw_planner_t *planner)
{
    return planner->bound_count > 0 || planner->origin_count > 0;
}

double cw_planner_region_cost(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *server)
{
    return !has_regions(planner) ? 0
                                 : planner->settings->refusal * refused(planner, piece, server) +
                                       planner->crossing * crossing(planner, piece, server);
}

/* Requests come from all regions by chance, too: what a few of them look like is no reason to move a key. */
static double beyond_chance(const cw_planner_piece_t *piece, double difference)
{
    double error = chance_errors * cw_load_error(piece->per_s);

    if (difference > 0) {
        return difference > error ? difference - error : 0;
    }
    return difference < -error ? difference + error : 0;
}

double cw_planner_region_gain(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *from, const cw_planner_server_t *to)
{
    double difference;

    if (!has_regions(planner)) {
        return 0;
    }
    difference = crossing(planner, piece, from) - crossing(planner, piece, to);
    return planner->settings->refusal * (refused(planner, piece, from) - refused(planner, piece, to)) +
           planner->crossing * beyond_chance(piece, difference);
}

cw_planner_server_t *cw_planner_best_for(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                                         const char *except)
{
    cw_planner_server_t *best = NULL;
    double               best_cost = 0;
    size_t               index;

    if (!has_regions(planner)) {
        return cw_planner_least_busy(planner, except);
    }
    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];
        double               cost = cw_planner_rank(server) * (piece->per_s > 1 ? piece->per_s : 1) +
                      cw_planner_region_cost(planner, piece, server);

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
    double served = refused(planner, &run->piece, from) - refused(planner, &run->piece, to);
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

/* Moves a whole range to where its requests come from, if that earns its price. */
static bool bring_near(cw_planner_t *planner, const cw_range_t *range)
{
    cw_planner_piece_t   piece = {range->low, range->last, cw_planner_load_between(planner, range->low, range->last)};
    cw_planner_server_t *from = cw_planner_server_of(planner, range->owner.id);
    cw_planner_server_t *to = cw_planner_best_for(planner, &piece, range->owner.id);

    if (from == NULL || to == NULL || to->region == from->region || !cw_planner_is_moveable(planner, range) ||
        cw_planner_region_gain(planner, &piece, from, to) <= cw_planner_price(planner, &piece)) {
        return false;
    }
    cw_planner_move(planner, &piece, from, to);
    return true;
}

void cw_planner_obey_regions(cw_planner_t *planner)
{
    size_t most = planner->settings->moves_max;
    size_t moves = 0;
    size_t index;

    for (index = 0; has_regions(planner) && index < planner->ranges.count && moves < most; index++) {
        cw_range_t range = planner->ranges.items[index]; /* a move cuts the list */

        moves += move_run(planner, &range) || bring_near(planner, &range) ? 1 : 0;
    }
}
