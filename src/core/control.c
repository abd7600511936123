/**
 * @file control.c
 * @brief Control replica: life cycle, dispatch of events, the raft's callbacks.
 *
 * Rules of the control group, and where they are kept:
 * - Every decision is a command of the replicated log first. Orders to servers follow from the applied state only, so
 *   no order is sent before its decision is committed (control_command.c, control_grant.c).
 * - One command is under way at a time. It carries the version of the state it was decided on.
 * - A lease's end is named in the server's own clock: a reading plus the lease. It is named only after a quorum round
 *   that began when the reading had arrived, so a leader that was paused or deposed cannot lengthen a lease beyond
 *   what its successor waits for (control_lease.c).
 * - Ranges leave a server only when the server released them, its incarnation ended, or every lease named to it is
 *   over (control_lease.c, control_assign.c).
 * - A replica that does not lead keeps nothing but the replicated state. A new leader starts its observations anew and
 *   waits a full lease from its own election before it trusts silence (control_lead.c).
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_internal.h"

enum {
    DEFAULT_NODE_SILENCE_US = 1000 * CW_US_PER_MS,
    DEFAULT_DRIFT_PPM = 1000,
    DEFAULT_CONTROL_SIZE = 3,
    RAFT_HEARTBEAT_US = 100 * CW_US_PER_MS,
    RAFT_ELECTION_US = 500 * CW_US_PER_MS,
    RAFT_COMPACT_AFTER = 2048,
    STORE_ID_GENERATION_SHIFT = 32,
    FIRST_GENERATION = 1
};

/* ---- the raft's callbacks ---- */

static void raft_send(void *context, cw_node_id_t to, Cw__RaftMessage *message)
{
    cw_control_t *control = context;
    Cw__Envelope  envelope = CW__ENVELOPE__INIT;

    envelope.body_case = CW__ENVELOPE__BODY_RAFT;
    envelope.raft = message;
    cw_control_send(control, to, &envelope);
}

static bool learn_node(void *context, const Cw__NodeInfo *node)
{
    cw_control_t *control = context;

    if (node->id != control->self->id) {
        control->ports.learn_node(control->ports.context, node);
    }
    return true;
}

static void learn_members(cw_control_t *control, const Cw__Membership *membership)
{
    size_t position;

    for (position = 0; position < membership->n_voters; position++) {
        learn_node(control, membership->voters[position]);
    }
    for (position = 0; position < membership->n_learners; position++) {
        learn_node(control, membership->learners[position]);
    }
}

static bool note_leases(void *context, const Cw__TenantConfiguration *tenant)
{
    cw_control_t *control = context;
    size_t        position;

    for (position = 0; position < tenant->n_services; position++) {
        if (tenant->services[position]->lease_ms > control->longest_lease_ms) {
            control->longest_lease_ms = tenant->services[position]->lease_ms;
        }
    }
    return true;
}

static void apply_command(cw_control_t *control, const Cw__LogEntry *entry)
{
    Cw__Command *command = cw__command__unpack(NULL, entry->data.len, entry->data.data);
    size_t       position;
    int          error;

    if (command == NULL) {
        return;
    }
    error = cw_control_state_apply(control->state, command, control->options.generation, entry->index);
    for (position = 0; position < command->n_nodes && error == CW_OK; position++) {
        learn_node(control, command->nodes[position]);
    }
    for (position = 0; position < command->n_tenants; position++) {
        note_leases(control, command->tenants[position]);
    }
    if (control->leading.active) {
        if (error == CW_OK) {
            cw_control_log_applied(control, command, entry->index);
            cw_control_note_applied(control, command, entry->index);
        } else {
            cw_control_mark_all(control);
        }
        cw_control_command_ended(control);
    }
    cw__command__free_unpacked(command, NULL);
}

static void raft_apply(void *context, const Cw__LogEntry *entry)
{
    cw_control_t   *control = context;
    Cw__Membership *membership;

    if (entry->kind == CW__LOG_ENTRY_KIND__ENTRY_COMMAND) {
        apply_command(control, entry);
    } else if (entry->kind == CW__LOG_ENTRY_KIND__ENTRY_MEMBERSHIP) {
        membership = cw__membership__unpack(NULL, entry->data.len, entry->data.data);
        if (membership != NULL) {
            learn_members(control, membership);
            cw__membership__free_unpacked(membership, NULL);
        }
        control->leading.bootstrap_wanted = true;
    }
}

static int raft_snapshot_save(void *context, uint8_t **data, size_t *length)
{
    cw_control_t *control = context;

    return cw_control_state_pack(control->state, data, length);
}

static int raft_snapshot_load(void *context, const uint8_t *data, size_t length, uint64_t last_index)
{
    cw_control_t *control = context;
    int           error = cw_control_state_unpack(control->state, data, length);

    (void)last_index;
    if (error == CW_OK) {
        cw_control_state_each_node(control->state, learn_node, control);
        cw_control_state_each_tenant(control->state, note_leases, control);
    }
    return error;
}

/* ---- life cycle ---- */

void cw_control_options_default(cw_control_options_t *options)
{
    memset(options, 0, sizeof(*options));
    options->generation = FIRST_GENERATION;
    options->node_silence_us = DEFAULT_NODE_SILENCE_US;
    options->clock_drift_ppm = DEFAULT_DRIFT_PPM;
    options->control_size = DEFAULT_CONTROL_SIZE;
}

static void raft_role_changed(void *context, cw_raft_role_t role, uint64_t term)
{
    cw_control_log_role(context, role, term);
}

static int create_raft(cw_control_t *control, const cw_control_options_t *options)
{
    cw_raft_options_t         raft_options = {0};
    const cw_raft_callbacks_t callbacks = {.context = control,
                                           .send = raft_send,
                                           .apply = raft_apply,
                                           .snapshot_save = raft_snapshot_save,
                                           .snapshot_load = raft_snapshot_load,
                                           .role_changed = raft_role_changed};

    raft_options.group = options->group;
    raft_options.generation = options->generation;
    raft_options.node = control->self->id;
    raft_options.incarnation = control->self->incarnation;
    raft_options.membership = options->membership;
    raft_options.initial_snapshot = options->initial_snapshot;
    raft_options.initial_snapshot_length = options->initial_snapshot_length;
    raft_options.initial_index = cw_control_state_version(control->state);
    raft_options.heartbeat_us = RAFT_HEARTBEAT_US;
    raft_options.election_us = RAFT_ELECTION_US;
    raft_options.compact_after = RAFT_COMPACT_AFTER;
    raft_options.seed = options->seed;
    return cw_raft_create(&control->raft, &raft_options, &callbacks, control->now.monotonic_us);
}

static int load_initial_snapshot(cw_control_t *control, const cw_control_options_t *options)
{
    if (options->initial_snapshot == NULL) {
        return CW_OK;
    }
    return raft_snapshot_load(control, options->initial_snapshot, options->initial_snapshot_length, 0);
}

static void note_options(cw_control_t *control, const cw_control_options_t *options, const cw_ports_t *ports,
                         cw_instant_t now)
{
    control->options = *options;
    control->options.self = NULL;
    control->options.membership = NULL;
    control->options.initial_snapshot = NULL;
    control->ports = *ports;
    control->now = now;
    control->next_tick_us = now.monotonic_us;
    control->leader_heard_us = now.monotonic_us;
    control->random_state = options->seed;
    /* A late completion for a replica of a former generation must not pass for one of this replica's. */
    control->next_store_id = options->generation << STORE_ID_GENERATION_SHIFT;
}

int cw_control_create(cw_control_t **created, const cw_control_options_t *options, const cw_ports_t *ports,
                      cw_instant_t now)
{
    cw_control_t *control;
    int           error = CW_ERROR_NO_MEMORY;

    *created = NULL;
    if (options->self == NULL || options->self->incarnation == 0) {
        return CW_ERROR_INVALID;
    }
    control = calloc(1, sizeof(*control));
    if (control == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    note_options(control, options, ports, now);
    control->self = (Cw__NodeInfo *)cw_message_copy(&options->self->base);
    control->state = cw_control_state_create();
    if (control->self != NULL && control->state != NULL) {
        error = load_initial_snapshot(control, options);
    }
    if (error == CW_OK) {
        error = create_raft(control, options);
    }
    if (error != CW_OK) {
        cw_control_free(control);
        return error;
    }
    if (options->membership != NULL) {
        learn_members(control, options->membership);
    }
    *created = control;
    return CW_OK;
}

void cw_control_free(cw_control_t *control)
{
    if (control == NULL) {
        return;
    }
    cw_control_end_leading(control);
    cw_raft_free(control->raft);
    cw_control_state_free(control->state);
    cw_ordered_table_clear(&control->listed);
    if (control->self != NULL) {
        cw__node_info__free_unpacked(control->self, NULL);
    }
    free(control);
}

/* ---- events ---- */

void cw_control_send(cw_control_t *control, cw_node_id_t to, Cw__Envelope *envelope)
{
    envelope->from = control->self->id;
    envelope->from_incarnation = control->self->incarnation;
    envelope->to = to;
    control->ports.send(control->ports.context, to, envelope);
}

/* Runs after every event: what the raft has confirmed or applied may let more happen. */
static void settle(cw_control_t *control)
{
    uint64_t round = cw_raft_round_confirmed(control->raft);

    cw_control_check_leading(control);
    if (!control->leading.active) {
        return;
    }
    if (round > control->confirmed_round) {
        control->confirmed_round = round;
        control->beat++;
        cw_control_answer_heartbeats(control);
    }
    cw_control_decide(control);
    cw_control_send_orders(control);
    cw_control_answer_drains(control);
    cw_control_tend_confirmations(control);
}

static void tick_leader(cw_control_t *control)
{
    (void)cw_raft_round_begin(control->raft, control->now.monotonic_us);
    cw_control_scan_nodes(control);
    cw_control_scan_servers(control);
    cw_control_scan_journals(control);
    cw_control_tend_membership(control);
    cw_control_tend_store(control);
    cw_control_mark_waiting(control);
}

void cw_control_tick(cw_control_t *control, cw_instant_t now)
{
    control->now = now;
    cw_raft_tick(control->raft, now.monotonic_us);
    cw_control_check_leading(control);
    if (now.monotonic_us >= control->next_tick_us) {
        if (control->leading.active) {
            tick_leader(control);
        }
        control->next_tick_us = now.monotonic_us + CW_CONTROL_TICK_US;
    }
    settle(control);
}

cw_time_us_t cw_control_next_tick(const cw_control_t *control)
{
    cw_time_us_t raft_us = cw_raft_next_tick(control->raft);

    return raft_us < control->next_tick_us ? raft_us : control->next_tick_us;
}

static void receive_raft(cw_control_t *control, const Cw__RaftMessage *message)
{
    if (message->generation == control->options.generation && message->to == control->self->incarnation) {
        control->leader_heard_us = control->now.monotonic_us;
    }
    cw_raft_receive(control->raft, message, control->now.monotonic_us);
}

void cw_control_receive(cw_control_t *control, const Cw__Envelope *envelope, cw_instant_t now)
{
    control->now = now;
    switch (envelope->body_case) {
    case CW__ENVELOPE__BODY_RAFT:
        receive_raft(control, envelope->raft);
        break;
    case CW__ENVELOPE__BODY_HEARTBEAT:
        cw_control_receive_heartbeat(control, envelope);
        break;
    case CW__ENVELOPE__BODY_GRANT_REPORT:
        cw_control_receive_grant_report(control, envelope->grant_report);
        break;
    case CW__ENVELOPE__BODY_REVOKE_REPORT:
        cw_control_receive_revoke_report(control, envelope->revoke_report);
        break;
    case CW__ENVELOPE__BODY_OPERATOR_REQUEST:
        cw_control_receive_operator(control, envelope->operator_request);
        break;
    default:
        break;
    }
    settle(control);
}

void cw_control_store_completed(cw_control_t *control, const cw_store_completion_t *completion, cw_instant_t now)
{
    control->now = now;
    if (control->leading.active && !cw_control_take_store(control, completion)) {
        (void)cw_control_take_confirmation(control, completion);
    }
    settle(control);
}

/* ---- access ---- */

bool cw_control_is_leader(const cw_control_t *control)
{
    return control->leading.active;
}

/* The standby is the voter after the leader in the order of the membership. */
static bool is_standby(const cw_control_t *control)
{
    const Cw__Membership *membership = cw_raft_membership(control->raft);
    cw_incarnation_t      leader = cw_raft_leader(control->raft);
    size_t                position;
    size_t                next;

    for (position = 0; membership != NULL && position < membership->n_voters; position++) {
        if (membership->voters[position]->incarnation == leader) {
            next = (position + 1) % membership->n_voters;
            return membership->voters[next]->incarnation == control->self->incarnation;
        }
    }
    return false;
}

bool cw_control_should_watch(const cw_control_t *control)
{
    return control->leading.active || is_standby(control);
}

const cw_control_state_t *cw_control_state(const cw_control_t *control)
{
    return control->state;
}

cw_raft_t *cw_control_raft(cw_control_t *control)
{
    return control->raft;
}

const Cw__NodeInfo *cw_control_leader_node(const cw_control_t *control)
{
    const Cw__Membership *membership = cw_raft_membership(control->raft);
    cw_incarnation_t      leader = cw_raft_leader(control->raft);
    size_t                position;

    if (leader == control->self->incarnation) {
        return control->self;
    }
    for (position = 0; membership != NULL && leader != 0 && position < membership->n_voters; position++) {
        if (membership->voters[position]->incarnation == leader) {
            return membership->voters[position];
        }
    }
    return NULL;
}

uint64_t cw_control_beat(const cw_control_t *control)
{
    return control->beat;
}
