/**
 * @file planner.c
 * @brief Makes a plan: forced moves, then regions, hot keys and balance, then merges of ranges.
 */
#include "placement/planner.h"

#include <math.h>
#include <stdlib.h>

#include "placement/planner_internal.h"

enum {
    LOST_MS = 1200, /* an owner counts as lost if its orders have failed for longer than this */
    /* The same if most owners fail. A leader that is itself cut off has resigned before: within 900 ms plus the time of
     * the other nodes' reports. */
    MANY_LOST_MS = 3000,
    ERRORS_SERVERS = 14 /* number of servers with which settings.errors was measured (docs/MEASUREMENTS.md) */
};

static const double idle_per_s = 0.5; /* with less load on all keys the service counts as without load */

const cw_planner_settings_t cw_planner_defaults = {
    .gain_min = 1.5,
    .move_price = 0.22,
    .interruption = 0.5,
    .refusal = 20, /* a refused request has no value, and its caller repeats it */
    .errors = 1.5,
    .moves_max = 12,
    .ranges_per_server = 4,
    .min_stay = CW_MS(900)};

/* ---- ranges and loads ---- */

static void compute_server_loads(cw_planner_t *planner)
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
        cw_planner_update_marginal(&planner->servers[index]);
    }
}

static void compute_mean_busy(cw_planner_t *planner)
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

/* The more servers there are, the busier the busiest one appears by random variation alone: by about sqrt(2 ln n)
 * standard errors. */
static double errors_for_servers(double errors, size_t servers)
{
    return servers <= ERRORS_SERVERS ? errors : errors * sqrt(log((double)servers) / log(ERRORS_SERVERS));
}

/* Whether there are too many ranges to split more. Each range is renewed separately and sent to every node, so balance
 * must not split ranges without a limit. */
static bool is_fragmented(const cw_planner_t *planner)
{
    return planner->ranges.count >= planner->settings->ranges_per_server * planner->server_count;
}

/* ---- forced moves ---- */

static bool is_to_be_emptied(const cw_planner_server_t *server)
{
    return server->entry->draining || server->is_barred;
}

/* Whether the owner was granted nothing, so that its keys move on without a release or a wait. */
static bool is_ungranted(const cw_range_t *range)
{
    return range->phase == CW_RANGE_GRANTING && range->hold_until == 0;
}

static bool is_move_forced(const cw_planner_t *planner, const cw_range_t *range)
{
    const cw_planner_server_t *server = cw_planner_server_of(planner, range->owner.id);

    if (range->owner_ended) {
        return true;
    }
    if (!cw_assigner_may_move(range, planner->now)) {
        return false;
    }
    if (server != NULL && is_to_be_emptied(server)) {
        return true;
    }
    if (server == NULL && !planner->doubts_list) {
        return true;
    }
    return range->phase != CW_RANGE_RELEASING && range->failing_since != 0 &&
           (is_ungranted(range) || planner->now - range->failing_since > CW_MS(LOST_MS));
}

/* Whether a range of an unreachable owner stays for now. If most owners are unreachable, this leader itself may be cut
 * off: in that case other nodes get answers, and the leader resigns. A leader that still leads later and gets answers
 * from some owners moves the keys to these. If no owner answers, a move cannot help. */
static bool is_move_postponed(const cw_planner_t *planner, const cw_range_t *range, double failing_share)
{
    if (failing_share >= 1) {
        return true;
    }
    return failing_share > 0.5 && planner->now - range->failing_since <= CW_MS(MANY_LOST_MS);
}

static void plan_forced_moves(cw_planner_t *planner)
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

        if (!is_move_forced(planner, range) ||
            (from != NULL && !is_to_be_emptied(from) && is_move_postponed(planner, range, failing_share))) {
            continue;
        }
        to = cw_planner_best_server(planner, &piece, range->owner.id);
        if (to != NULL) {
            piece.per_s = cw_planner_load_between(planner, range->low, range->last);
            cw_planner_move(planner, &piece, from, to);
        }
    }
}

/* Makes doubted servers unusable, unless there is no other usable server. */
static void exclude_doubted(cw_planner_t *planner)
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

/* ---- merges ---- */

static void plan_merge(cw_planner_t *planner)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(planner->assigner);
    size_t                 index;

    if (ranges->count <= planner->settings->ranges_per_server * planner->server_count) {
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
    planner.restricted_count = cw_load_window_read_restricted(input->window, planner.now, &planner.restricted);
    if (input->crossing_cost > 0) {
        planner.crossing_cost = input->crossing_cost;
        planner.origin_count = cw_load_window_read_origins(input->window, planner.now, &planner.origins);
    }
    planner.per_s = cw_planner_load_between(&planner, 0, CW_KEY_LAST);
    cw_range_list_copy(&planner.ranges, cw_assigner_ranges(planner.assigner));
    planner.errors = errors_for_servers(input->settings->errors, input->server_count);
    planner.is_fragmented = is_fragmented(&planner);
    exclude_doubted(&planner);
    compute_server_loads(&planner);
    compute_mean_busy(&planner);
    planner.fastest_cost = cw_planner_fastest_cost(&planner);
    plan_forced_moves(&planner);
    if (planner.changes == 0 && planner.per_s < idle_per_s) {
        cw_planner_fill_idle(&planner);
    } else if (planner.changes == 0) {
        cw_planner_apply_regions(&planner);
        cw_planner_place_hot_keys(&planner);
        cw_planner_balance(&planner);
    }
    if (planner.changes == 0) {
        plan_merge(&planner);
    }
    if (planner.changes == 0 && cw_assigner_is_stale(planner.assigner, planner.now)) {
        cw_assigner_plan_rewrite(planner.assigner);
    }
    cw_assigner_plan_write(planner.assigner, planner.now);
    free(planner.origins);
    free(planner.restricted);
    free(planner.loads);
    cw_range_list_clear(&planner.ranges);
    return planner.changes;
}
