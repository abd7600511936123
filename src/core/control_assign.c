/**
 * @file control_assign.c
 * @brief Which server owns each range: one pass over a service whenever something about it changed.
 *
 * State machine of a range:
 *
 *     (none) --service is new--> UNASSIGNED --placed--> GRANTED
 *     GRANTED --move, drain, new journal replicas--> REVOKING --released--> GRANTED, elsewhere or again
 *     GRANTED --server suspected, all its leases over--> GRANTED elsewhere
 *     GRANTED --service left the configuration--> REVOKING --released--> (removed)
 *
 * Rules:
 * - A range leaves a server that answers only through REVOKING and the server's release, so nothing in flight is cut
 *   off. It leaves a silent server without REVOKING, but only when every lease named to it is over; the server is
 *   sealed until that command has ended.
 * - Moves for balance are bounded and spaced; moves off a draining server are bounded; others are not.
 * - A new service waits a little for all of its servers, so that the first to answer does not get everything.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_assign.h"

enum { FIRST_WAIT_US = 2 * CW_US_PER_S, CREATED_MAX = 32768 };

/* ---- changes of one range ---- */

static void grant(cw_pass_t *pass, const Cw__RangeInfo *range, cw_server_id_t server, const char *reason)
{
    Cw__RangeInfo     *changed = (Cw__RangeInfo *)cw_message_copy(&range->base);
    cw_server_track_t *former = cw_control_server_track(pass->control, range->server);
    cw_range_track_t  *track = cw_control_range_track(pass->control, range->id);

    if (changed == NULL) {
        pass->builder->failed = true;
        return;
    }
    cw_control_set_string(&changed->reason, reason);
    changed->server = server;
    changed->state = CW__RANGE_STATE__RANGE_GRANTED;
    cw_control_choose_journal(pass->control, changed);
    cw_command_add_range(pass->builder, changed);
    cw__range_info__free_unpacked(changed, NULL);
    if (track != NULL) {
        track->renew = false;
    }
    if (former != NULL && former->id != server && range->state == CW__RANGE_STATE__RANGE_GRANTED) {
        former->sealed = true;
    }
}

void cw_control_revoke_range(cw_pass_t *pass, const Cw__RangeInfo *range, cw_server_id_t target, const char *reason)
{
    Cw__RangeInfo     changed = *range;
    cw_range_track_t *track = cw_control_make_range_track(pass->control, range->id);

    if (track == NULL) {
        pass->builder->failed = true;
        return;
    }
    track->target = target;
    snprintf(track->reason, sizeof(track->reason), "%s", reason);
    changed.state = CW__RANGE_STATE__RANGE_REVOKING;
    changed.reason = track->reason;
    cw_command_add_range(pass->builder, &changed);
    pass->moving++;
}

/* A released range goes to the server that it was revoked for, if that one can still take it. */
static bool grant_to_target(cw_pass_t *pass, size_t position)
{
    const Cw__RangeInfo *range = pass->ranges[position];
    cw_range_track_t    *track = cw_control_range_track(pass->control, range->id);
    cw_pass_server_t    *target = track == NULL || track->target == 0 ? NULL : cw_pass_find_server(pass, track->target);

    if (range->state != CW__RANGE_STATE__RANGE_REVOKING || target == NULL || !target->usable) {
        return false;
    }
    pass->items[position].server = target->id;
    pass->items[position].pinned = true;
    grant(pass, range, target->id, track->reason);
    return true;
}

/* Ranges whose fence was refused, and ranges whose journal replicas change. */
static void renew_range(cw_pass_t *pass, size_t position)
{
    const Cw__RangeInfo *range = pass->ranges[position];
    cw_range_track_t    *track = cw_control_range_track(pass->control, range->id);

    if (track == NULL || range->state != CW__RANGE_STATE__RANGE_GRANTED || pass->items[position].server == 0) {
        return;
    }
    if (track->refence) {
        grant(pass, range, range->server, range->reason);
        return;
    }
    if (track->renew && !cw_control_journal_outdated(pass->control, range)) {
        track->renew = false;
    }
    if (track->renew && pass->moving < CW_PLACEMENT_DRAIN_MOVES) {
        cw_control_revoke_range(pass, range, range->server, "journal replicas changed");
    }
}

static bool settle_ranges(cw_pass_t *pass)
{
    size_t position;

    for (position = 0; position < pass->range_count; position++) {
        if (cw_command_full(pass->builder)) {
            return false;
        }
        if (cw_command_has_range(pass->builder, pass->ranges[position]->id)) {
            pass->items[position].pinned = true;
            continue;
        }
        if (pass->items[position].server == 0) {
            (void)grant_to_target(pass, position);
        } else {
            renew_range(pass, position);
        }
    }
    return true;
}

/* ---- planned moves ---- */

static void make_move(cw_pass_t *pass, const cw_placement_move_t *move)
{
    const Cw__RangeInfo *range = pass->ranges[move->range];

    if (cw_command_full(pass->builder) || cw_command_has_range(pass->builder, range->id)) {
        return;
    }
    if (pass->items[move->range].server == 0) {
        grant(pass, range, move->to, move->reason);
    } else if (pass->moving < (move->forced ? CW_PLACEMENT_DRAIN_MOVES : CW_PLACEMENT_BALANCE_MOVES)) {
        cw_control_revoke_range(pass, range, move->to, move->reason);
    }
}

static int fill_input(const cw_pass_t *pass, cw_placement_input_t *input, bool balance)
{
    cw_placement_server_t *servers = calloc(pass->server_count + 1, sizeof(*servers));
    size_t                 position;

    if (servers == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < pass->server_count; position++) {
        servers[position].id = pass->servers[position].id;
        servers[position].zone = pass->servers[position].zone;
        servers[position].usable = pass->servers[position].usable;
        servers[position].unsteady = pass->servers[position].unsteady;
    }
    input->service = pass->service;
    input->servers = servers;
    input->server_count = pass->server_count;
    input->ranges = pass->items;
    input->range_count = pass->range_count;
    input->unsettled =
        pass->track->left_us > 0 && pass->control->now.monotonic_us - pass->track->left_us < CW_PLACEMENT_SETTLE_US;
    if (balance && pass->moving < CW_PLACEMENT_BALANCE_MOVES) {
        input->moves_allowed = CW_PLACEMENT_BALANCE_MOVES - pass->moving;
    }
    return CW_OK;
}

static void plan_moves(cw_pass_t *pass, const cw_placement_input_t *input, bool balance)
{
    cw_placement_result_t result = {0};
    int                   error = cw_placement_plan(input, &result);
    size_t                position;

    for (position = 0; position < result.move_count && error == CW_OK; position++) {
        make_move(pass, &result.moves[position]);
    }
    if (balance) {
        pass->track->balance_wanted = result.move_count > 0 || input->unsettled || pass->unsteady_count > 0;
        pass->track->rebalance_us =
            pass->control->now.monotonic_us +
            (result.move_count > 0 ? CW_PLACEMENT_BALANCE_PAUSE_US : CW_PLACEMENT_IDLE_PAUSE_US);
    }
    cw_placement_result_clear(&result);
}

/* ---- creation and removal ---- */

/* Range number position of count equal parts of the key space. */
static void cut_range(Cw__RangeInfo *range, uint64_t position, uint64_t count)
{
    uint64_t width = UINT64_MAX / count;

    range->low = position * width;
    range->last = position + 1 == count ? UINT64_MAX : (position + 1) * width - 1;
}

static void create_ranges(cw_pass_t *pass, uint64_t count)
{
    const char    *tenant = cw_control_state_service_tenant(pass->control->state, pass->service->id);
    Cw__RangeInfo *range;
    uint64_t       position;

    for (position = 0; position < count && !pass->builder->failed; position++) {
        range = malloc(sizeof(*range));
        if (range == NULL) {
            pass->builder->failed = true;
            return;
        }
        cw__range_info__init(range);
        range->service = pass->service->id;
        cw_control_set_string(&range->tenant, tenant);
        cut_range(range, position, count);
        cw_control_choose_journal(pass->control, range);
        cw_command_add_range(pass->builder, range);
        cw__range_info__free_unpacked(range, NULL);
    }
}

/* A service without ranges: creates them, unassigned; the next pass places them. Returns true when done. */
static bool begin_service(cw_pass_t *pass)
{
    uint64_t count = (uint64_t)pass->service->ranges_per_server * pass->service->n_servers;
    bool     waited = pass->control->now.monotonic_us - pass->track->seen_us >= FIRST_WAIT_US;

    if (pass->usable_count == 0 || (pass->usable_count < pass->server_count && !waited)) {
        return false;
    }
    if (pass->builder->object_count > 0) {
        return false; /* a command of its own */
    }
    create_ranges(pass, count == 0 ? 1 : count > CREATED_MAX ? CREATED_MAX : count);
    return true;
}

static bool end_service(cw_pass_t *pass)
{
    const Cw__RangeInfo *range;
    bool                 done = true;
    size_t               position;

    for (position = 0; position < pass->range_count && !cw_command_full(pass->builder); position++) {
        range = pass->ranges[position];
        if (cw_command_has_range(pass->builder, range->id)) {
            done = false;
        } else if (pass->items[position].server == 0) {
            cw_command_remove_range(pass->builder, range->id);
        } else if (range->state == CW__RANGE_STATE__RANGE_GRANTED) {
            cw_control_revoke_range(pass, range, 0, "service left the configuration");
        } else {
            done = false;
        }
    }
    return done && position == pass->range_count;
}

/* ---- passes ---- */

static bool has_unplaced(const cw_pass_t *pass)
{
    size_t position;

    for (position = 0; position < pass->range_count; position++) {
        if (pass->items[position].server == 0) {
            return true;
        }
    }
    return false;
}

/* Returns true when nothing is left to do until something changes. */
static bool place_service(cw_pass_t *pass)
{
    cw_time_us_t         now_us = pass->control->now.monotonic_us;
    bool                 balance = now_us >= pass->track->rebalance_us;
    cw_placement_input_t input = {0};
    bool                 reshaped;

    if (!settle_ranges(pass) || pass->usable_count == 0) {
        return pass->usable_count == 0 && !has_unplaced(pass);
    }
    if (fill_input(pass, &input, balance) != CW_OK) {
        return false;
    }
    reshaped = balance && (cw_control_split_hot(pass, &input) || cw_control_merge_cold(pass, &input));
    if (reshaped) {
        pass->track->balance_wanted = true;
        pass->track->rebalance_us = now_us + CW_PLACEMENT_MERGE_PAUSE_US;
    } else {
        plan_moves(pass, &input, balance);
    }
    free((void *)input.servers);
    return !reshaped && pass->moving == 0;
}

static bool decide_service(cw_control_t *control, cw_command_builder_t *builder, cw_service_id_t service)
{
    cw_pass_t pass;
    bool      done = false;

    if (cw_pass_init(&pass, control, builder, service) == CW_OK) {
        if (pass.service == NULL) {
            done = end_service(&pass);
        } else if (pass.range_count == 0) {
            done = begin_service(&pass);
        } else {
            done = place_service(&pass);
        }
    }
    cw_pass_clear(&pass);
    return done;
}

/* Services whose loads or servers changed are balanced again once their pause is over. */
static void mark_loaded(cw_control_t *control)
{
    cw_service_track_t *track;
    size_t              position;

    for (position = 0; position < control->leading.services.count; position++) {
        track = control->leading.services.slots[position].value;
        if (track->balance_wanted && control->now.monotonic_us >= track->rebalance_us) {
            (void)cw_ordered_table_put(&control->leading.dirty_services, track->id, track);
        }
    }
}

void cw_control_decide_ranges(cw_control_t *control, cw_command_builder_t *builder)
{
    cw_ordered_table_t *dirty = &control->leading.dirty_services;
    cw_service_id_t     service;
    size_t              position;

    mark_loaded(control);
    position = dirty->count;
    while (position > 0 && !cw_command_full(builder)) {
        position--;
        service = dirty->slots[position].key;
        cw_ordered_table_remove(dirty, service);
        if (!decide_service(control, builder, service)) {
            (void)cw_ordered_table_put(&control->leading.waiting_services, service, dirty);
        }
    }
}
