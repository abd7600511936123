/**
 * @file planner_regions.c
 * @brief Places keys by region: in a region that may serve most of their requests, and near the origin of the requests.
 *
 * A request that the owner's region may not serve is refused immediately. It counts as much as `settings->refusal`
 * requests of usual response time. A run is a sequence of keys all of whose requests could be served in some other
 * region. A run is moved there if the gain, reduced by the requests that would be refused there instead, exceeds the
 * price of the move. A key with requests of different regions stays where the larger part may be served.
 *
 * A request from another region costs time for the distance and for its bytes (balance/crossing_cost.h): a fraction of
 * a usual response time for short requests, several for large bodies. This cost counts when the target of a forced move
 * or of a move for balance is chosen. A range is moved because of it alone only if the gain exceeds the price of a
 * move, and never if random variation can explain the gain.
 */
#include <string.h>

#include "placement/planner_internal.h"

/* Several hundred ranges are examined three times per second, so random variation makes some of them appear to belong
 * to a region. A deviation of five standard errors happens once in 3.5 million cases. Because of this limit, ranges
 * with less than 12.5 requests per second are never moved for nearness alone. */
static const double random_errors = 5;

static double load_outside(const cw_region_load_t *loads, size_t count, const cw_planner_piece_t *piece,
                           uint32_t region)
{
    double per_s = 0;
    size_t index;

    for (index = cw_region_loads_first(loads, count, piece->low); index < count && loads[index].key <= piece->last;
         index++) {
        per_s += cw_region_mask_allows(loads[index].regions, region) ? 0 : loads[index].per_s;
    }
    return per_s;
}

static double refused_load(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                           const cw_planner_server_t *server)
{
    return load_outside(planner->restricted, planner->restricted_count, piece, server->region);
}

static double crossing_load(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                            const cw_planner_server_t *server)
{
    return load_outside(planner->origins, planner->origin_count, piece, server->region);
}

static bool has_regions(const cw_planner_t *planner)
{
    return planner->restricted_count > 0 || planner->origin_count > 0;
}

double cw_planner_region_cost(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *server)
{
    return !has_regions(planner) ? 0
                                 : planner->settings->refusal * refused_load(planner, piece, server) +
                                       planner->crossing_cost * crossing_load(planner, piece, server);
}

/* Reduces a difference towards 0 by what random variation can explain, since the origins of a few requests are no
 * reason to move a key. */
static double without_random_part(const cw_planner_piece_t *piece, double difference)
{
    double error = random_errors * cw_load_error(piece->per_s);

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
    difference = crossing_load(planner, piece, from) - crossing_load(planner, piece, to);
    return planner->settings->refusal * (refused_load(planner, piece, from) - refused_load(planner, piece, to)) +
           planner->crossing_cost * without_random_part(piece, difference);
}

cw_planner_server_t *cw_planner_best_server(const cw_planner_t *planner, const cw_planner_piece_t *piece,
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

/* ---- runs of keys that another region should serve ---- */

/** Consecutive keys of one range whose restricted requests must not be sent to the owner's region, but may all be sent
 * to `regions`. */
typedef struct run {
    cw_planner_piece_t piece;
    uint32_t           regions;
    size_t             end;      /**< index of the first restricted load after the run */
    bool               is_whole; /**< the range has no other restricted load */
} run_t;

static bool extends_run(const run_t *run, const cw_region_load_t *load, uint32_t owner_region)
{
    return !cw_region_mask_allows(load->regions, owner_region) && (run->regions & load->regions) != 0;
}

/* Returns the run that begins with this restricted load, or with the next one that must not be sent to the owner's
 * region. */
static run_t find_run(const cw_planner_t *planner, const cw_range_t *range, size_t begin, uint32_t owner_region)
{
    size_t first = cw_region_loads_first(planner->restricted, planner->restricted_count, range->low);
    size_t end = cw_region_loads_first(planner->restricted, planner->restricted_count, range->last + 1);
    run_t  run = {.regions = UINT32_MAX, .end = begin};

    while (run.end < end && cw_region_mask_allows(planner->restricted[run.end].regions, owner_region)) {
        run.end++;
    }
    begin = run.end;
    while (run.end < end && extends_run(&run, &planner->restricted[run.end], owner_region)) {
        run.regions &= planner->restricted[run.end].regions;
        run.end++;
    }
    if (run.end > begin) {
        run.is_whole = begin == first && run.end == end;
        run.piece.low = run.is_whole ? range->low : planner->restricted[begin].key;
        run.piece.last = run.is_whole ? range->last : planner->restricted[run.end - 1].key;
        run.piece.per_s = cw_planner_load_between(planner, run.piece.low, run.piece.last);
    }
    return run;
}

static bool is_worth_moving(const cw_planner_t *planner, const run_t *run, const cw_planner_server_t *from,
                            const cw_planner_server_t *to)
{
    double gain_per_s = refused_load(planner, &run->piece, from) - refused_load(planner, &run->piece, to);
    double certain_per_s = gain_per_s - planner->settings->errors * cw_load_error(gain_per_s);

    return certain_per_s * planner->settings->refusal > cw_planner_move_price(planner, &run->piece);
}

/* Moves the first run of the range whose gain exceeds its price. */
static bool move_run(cw_planner_t *planner, const cw_range_t *range)
{
    cw_planner_server_t *from = cw_planner_server_of(planner, range->owner.id);
    size_t               begin = cw_region_loads_first(planner->restricted, planner->restricted_count, range->low);

    if (from == NULL || !cw_planner_is_moveable(planner, range)) {
        return false;
    }
    while (begin < planner->restricted_count && planner->restricted[begin].key <= range->last) {
        run_t                run = find_run(planner, range, begin, from->region);
        cw_planner_server_t *to = cw_planner_best_server(planner, &run.piece, from->entry->id);

        if (run.end > begin && run.regions != UINT32_MAX && to != NULL && (run.is_whole || !planner->is_fragmented) &&
            is_worth_moving(planner, &run, from, to)) {
            cw_planner_move(planner, &run.piece, from, to);
            return true;
        }
        begin = run.end > begin ? run.end : begin + 1;
    }
    return false;
}

/* Moves a whole range to the region that its requests come from, if the gain exceeds the price. */
static bool move_near_origin(cw_planner_t *planner, const cw_range_t *range)
{
    cw_planner_piece_t   piece = {range->low, range->last, cw_planner_load_between(planner, range->low, range->last)};
    cw_planner_server_t *from = cw_planner_server_of(planner, range->owner.id);
    cw_planner_server_t *to = cw_planner_best_server(planner, &piece, range->owner.id);

    if (from == NULL || to == NULL || to->region == from->region || !cw_planner_is_moveable(planner, range) ||
        cw_planner_region_gain(planner, &piece, from, to) <= cw_planner_move_price(planner, &piece)) {
        return false;
    }
    cw_planner_move(planner, &piece, from, to);
    return true;
}

void cw_planner_apply_regions(cw_planner_t *planner)
{
    size_t most = planner->settings->moves_max;
    size_t moves = 0;
    size_t index;

    for (index = 0; has_regions(planner) && index < planner->ranges.count && moves < most; index++) {
        cw_range_t range = planner->ranges.items[index]; /* a copy, since a move splits ranges of the list */

        moves += move_run(planner, &range) || move_near_origin(planner, &range) ? 1 : 0;
    }
}
