/**
 * @file planner.c
 * @brief A plan: what must move, then hot keys and balance, then joins.
 */
#include "placement/planner.h"

#include <math.h>
#include <stdlib.h>

#include "placement/planner_internal.h"

enum {
    LOST_MS = 1200,
    MOST_LOST_MS = 3000,   /* a leader that is cut off by itself has resigned by then: 900 ms, and reports of others */
    SERVERS_OF_ERRORS = 14 /* servers among which the settings' errors were measured (docs/MEASUREMENTS.md) */
};

static const double idle_per_s = 0.5;

const cw_planner_settings_t cw_planner_defaults = {.gain_min = 1.5,
                                                   .move_price = 0.22,
                                                   .interruption = 0.5,
                                                   .refusal = 20, /* its worth is lost, and it comes again */
                                                   .errors = 1.5,
                                                   .moves_max = 12,
                                                   .ranges_each = 4,
                                                   .rest = CW_MS(900)};

/* ---- ranges and loads ---- */

static void measure_servers(cw_planner_t *planner)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(planner->assigner);
    size_t                 index;

    for (index = 0; index < planner->server_count; index++) {
        planner->servers[index].per_s = 0;
        planner->servers[index].keys = 0;
    }
    for (index = 0; index < ranges->count; index++) {
        const cw_range_t    *range = &ranges->items[index];
        cw_planner_server_t *server = cw_planner_server_of(planner, range->owner.id);

        if (server != NULL) {
            server->per_s += cw_planner_load_between(planner, range->low, range->last);
            server->keys += range->last - range->low + 1;
        }
    }
    for (index = 0; index < planner->server_count; index++) {
        cw_planner_price_load(&planner->servers[index]);
    }
}

static void measure_busy(cw_planner_t *planner)
{
    double slots = 0;
    double busy = 0;
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        const cw_planner_server_t *server = &planner->servers[index];

        slots += server->usable ? server->entry->capacity : 0;
        busy += server->per_s * server->cost_s * server->entry->capacity;
    }
    planner->busy = slots > 0 ? busy / slots : 0;
}

/* Of more servers the busiest looks busier by chance alone: by some sqrt(2 ln n) errors. */
static double errors_among(double errors, size_t servers)
{
    return servers <= SERVERS_OF_ERRORS ? errors : errors * sqrt(log((double)servers) / log(SERVERS_OF_ERRORS));
}

/* Each range is renewed by itself, and sent to each node: balance must not cut without end. */
static bool is_in_pieces(const cw_planner_t *planner)
{
    return planner->ranges.count >= planner->settings->ranges_each * planner->server_count;
}

/* ---- what must move ---- */

static bool is_to_be_emptied(const cw_planner_server_t *server)
{
    return server->entry->draining || server->is_barred;
}

static bool must_move(const cw_planner_t *planner, const cw_range_t *range)
{
    const cw_planner_server_t *server = cw_planner_server_of(planner, range->owner.id);

    if (range->owner_ended) {
        return true;
    }
    if (range->phase == CW_RANGE_RELEASING && range->hold_until > planner->now) {
        return false; /* both its owner and the former holder may hold it: the move under way comes first */
    }
    if (server != NULL && is_to_be_emptied(server)) {
        return true;
    }
    if (server == NULL && !planner->doubts_list) {
        return true;
    }
    return range->phase != CW_RANGE_RELEASING && range->failing_since != 0 &&
           planner->now - range->failing_since > CW_MS(LOST_MS);
}

/* Most owners out of reach may be this leader's own fault: others get answers then, and it resigns. One that still
 * leads later, and gets answers from some owners, gives these the keys. Without any answer a move helps nobody. */
static bool is_held_back(const cw_planner_t *planner, const cw_range_t *range, double failing_share)
{
    if (failing_share >= 1) {
        return true;
    }
    return failing_share > 0.5 && planner->now - range->failing_since <= CW_MS(MOST_LOST_MS);
}

static void plan_forced(cw_planner_t *planner)
{
    /* The assigner's own list does not change while a plan is made. */
    const cw_range_list_t *ranges = cw_assigner_ranges(planner->assigner);
    double                 failing_share = cw_assigner_failing_share(planner->assigner, planner->now);
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t    *range = &ranges->items[index];
        cw_planner_server_t *from = cw_planner_server_of(planner, range->owner.id);
        cw_planner_server_t *to;
        cw_planner_piece_t   piece = {range->low, range->last, 0};

        if (!must_move(planner, range) ||
            (from != NULL && !is_to_be_emptied(from) && is_held_back(planner, range, failing_share))) {
            continue;
        }
        to = cw_planner_best_for(planner, &piece, range->owner.id);
        if (to != NULL) {
            piece.per_s = cw_planner_load_between(planner, range->low, range->last);
            cw_planner_move(planner, &piece, from, to);
        }
    }
}

/* A server that orders did not reach may be given keys only where nothing else can. */
static void set_doubted_aside(cw_planner_t *planner)
{
    bool   any = false;
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        any = any || (planner->servers[index].usable && !planner->servers[index].is_doubted);
    }
    for (index = 0; any && index < planner->server_count; index++) {
        planner->servers[index].usable = planner->servers[index].usable && !planner->servers[index].is_doubted;
    }
}

/* ---- joins ---- */

static void plan_joins(cw_planner_t *planner)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(planner->assigner);
    size_t                 index;

    if (ranges->count <= planner->settings->ranges_each * planner->server_count) {
        return;
    }
    for (index = 0; index + 1 < ranges->count; index++) {
        if (cw_assigner_is_settled(planner->assigner, &ranges->items[index], planner->now) &&
            cw_assigner_is_settled(planner->assigner, &ranges->items[index + 1], planner->now) &&
            cw_assigner_plan_merge(planner->assigner, ranges->items[index].low)) {
            planner->changes++;
            return;
        }
    }
}

double cw_planner_missing_share(const cw_assigner_t *assigner, const cw_server_list_t *list)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(assigner);
    size_t                 missing = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_holder_t *owner = &ranges->items[index].owner;

        if (cw_server_list_find(list, owner->id) == NULL &&
            cw_server_list_successor(list, owner->id, owner->address) == NULL) {
            missing++;
        }
    }
    return ranges->count == 0 ? 0 : (double)missing / (double)ranges->count;
}

size_t cw_planner_run(const cw_planner_input_t *input)
{
    cw_planner_t planner = {.assigner = input->assigner,
                            .settings = input->settings,
                            .servers = input->servers,
                            .server_count = input->server_count,
                            .list = input->list,
                            .doubts_list = input->doubts_list,
                            .now = input->now};

    if (cw_assigner_state(planner.assigner) != CW_ASSIGNER_READY || !cw_assigner_may_plan(planner.assigner)) {
        return 0;
    }
    planner.load_count = cw_load_window_read(input->window, planner.now, &planner.loads);
    planner.bound_count = cw_load_window_read_bound(input->window, planner.now, &planner.bounds);
    if (input->crossing > 0) {
        planner.crossing = input->crossing;
        planner.origin_count = cw_load_window_read_origins(input->window, planner.now, &planner.origins);
    }
    planner.per_s = cw_planner_load_between(&planner, 0, CW_KEY_LAST);
    cw_range_list_copy(&planner.ranges, cw_assigner_ranges(planner.assigner));
    planner.errors = errors_among(input->settings->errors, input->server_count);
    planner.is_in_pieces = is_in_pieces(&planner);
    set_doubted_aside(&planner);
    measure_servers(&planner);
    measure_busy(&planner);
    planner.fastest_cost = cw_planner_fastest_cost(&planner);
    plan_forced(&planner);
    if (planner.changes == 0 && planner.per_s < idle_per_s) {
        cw_planner_fill_idle(&planner);
    } else if (planner.changes == 0) {
        cw_planner_obey_regions(&planner);
        cw_planner_place_hot_keys(&planner);
        cw_planner_balance(&planner);
    }
    if (planner.changes == 0) {
        plan_joins(&planner);
    }
    if (planner.changes == 0 && cw_assigner_is_stale(planner.assigner, planner.now)) {
        cw_assigner_plan_rewrite(planner.assigner);
    }
    cw_assigner_plan_write(planner.assigner, planner.now);
    free(planner.origins);
    free(planner.bounds);
    free(planner.loads);
    cw_range_list_clear(&planner.ranges);
    return planner.changes;
}
