/**
 * @file control_cluster.c
 * @brief Nodes and messages of the control tests under one simulated clock.
 */
#include "control_cluster_internal.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { MESSAGE_DELAY_US = 1000, FIRST_WALL_MS = 1000000 };

cluster_t cluster;

/* ---- events ---- */

cluster_event_t *cluster_add_event(event_kind_t kind, size_t node, cw_time_us_t delay_us)
{
    cluster_event_t  *event = calloc(1, sizeof(*event));
    cluster_event_t **place = &cluster.events;

    event->kind = kind;
    event->node = node;
    event->node_incarnation = cluster.nodes[node].info.incarnation;
    event->due_us = cluster.now.monotonic_us + delay_us;
    while (*place != NULL && (*place)->due_us <= event->due_us) {
        place = &(*place)->next;
    }
    event->next = *place;
    *place = event;
    return event;
}

static void free_event(cluster_event_t *event)
{
    free(event->bytes);
    free(event->accepted);
    free(event->refused);
    free(event);
}

size_t cluster_node_of(void *context)
{
    return (size_t)((cluster_node_t *)context - cluster.nodes);
}

static void queue_message(cw_node_id_t to, const Cw__Envelope *envelope, cw_time_us_t delay_us)
{
    cluster_event_t *event = cluster_add_event(EVENT_MESSAGE, to - 1, delay_us);

    event->length = cw__envelope__get_packed_size(envelope);
    event->bytes = malloc(event->length);
    cw__envelope__pack(envelope, event->bytes);
}

static bool chance(uint32_t percent)
{
    return percent > 0 && cw_random_below(&cluster.random_state, 100) < percent;
}

/* Only the latest request is waited for; it is answered once. */
static void take_answer(const Cw__OperatorResponse *response)
{
    if (response->id != cluster.next_request) {
        return;
    }
    ck_assert_uint_eq(cluster.answer_status, 0);
    cluster.answer_status = response->status;
    free(cluster.answer);
    cluster.answer = strdup(response->json);
}

/* As if the request had been sent before there were entries. */
static void strip_entries(Cw__Envelope *envelope)
{
    if (envelope->body_case == CW__ENVELOPE__BODY_RAFT &&
        envelope->raft->body_case == CW__RAFT_MESSAGE__BODY_APPEND_REQUEST) {
        envelope->raft->append_request->n_entries = 0;
    }
}

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    const cluster_node_t *from = context;

    if (envelope->body_case == CW__ENVELOPE__BODY_OPERATOR_RESPONSE) {
        take_answer(envelope->operator_response);
        return;
    }
    if (to == 0 || to > CLUSTER_NODES || from->cut || from->group != cluster.nodes[to - 1].group ||
        chance(cluster.drop_percent)) {
        return;
    }
    if (cluster.drop_entries) {
        strip_entries(envelope);
    }
    queue_message(to, envelope, MESSAGE_DELAY_US + (cw_time_us_t)cw_random_below(&cluster.random_state, 500));
    if (chance(cluster.duplicate_percent)) {
        queue_message(to, envelope, (cw_time_us_t)cw_random_below(&cluster.random_state, 2 * CW_US_PER_S));
    }
}

static void port_learn_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

/* ---- nodes ---- */

static void create_control(cluster_node_t *node, uint64_t generation, const Cw__Membership *membership)
{
    cw_control_options_t options;

    cw_control_options_default(&options);
    options.group = 1;
    options.generation = generation;
    options.self = &node->info;
    options.membership = membership;
    options.seed = cw_random_next(&cluster.random_state);
    ck_assert_int_eq(cw_control_create(&node->control, &options, &node->ports, cluster.now), CW_OK);
}

static void start_node(size_t position)
{
    static char *const zones[] = {"a", "b", "c"};
    cluster_node_t    *node = &cluster.nodes[position];
    cw_agent_options_t options = {&node->info, CLUSTER_HEARTBEAT_US};

    memset(node, 0, sizeof(*node));
    cw__node_info__init(&node->info);
    node->info.id = (uint32_t)position + 1;
    node->info.incarnation = ++cluster.next_incarnation;
    node->info.zone = zones[position % 3];
    node->info.address = "127.0.0.1";
    node->info.state = CW__NODE_STATE__NODE_UP;
    node->ports.context = node;
    node->ports.send = port_send;
    node->ports.learn_node = port_learn_node;
    node->ports.store = cluster_port_store;
    node->ports.server_call = cluster_port_server_call;
    node->running = true;
    ck_assert_int_eq(cw_agent_create(&node->agent, &options, &node->ports, cluster.now), CW_OK);
}

void cluster_stop_node(size_t position)
{
    cluster_node_t *node = &cluster.nodes[position];

    if (node->running) {
        node->running = false;
        cw_control_free(node->control);
        cw_agent_free(node->agent);
        node->control = NULL;
    }
}

void cluster_restart_node(size_t position)
{
    cluster_stop_node(position);
    start_node(position);
}

static void deliver_message(cluster_node_t *node, const cluster_event_t *event)
{
    Cw__Envelope *envelope = cw__envelope__unpack(NULL, event->length, event->bytes);

    switch (envelope->body_case) {
    case CW__ENVELOPE__BODY_HEARTBEAT_REPLY:
    case CW__ENVELOPE__BODY_GRANT_ORDER:
    case CW__ENVELOPE__BODY_REVOKE_ORDER:
        cw_agent_receive(node->agent, envelope, cluster.now);
        break;
    case CW__ENVELOPE__BODY_RAFT:
        if (node->control == NULL && envelope->raft->to == node->info.incarnation) {
            create_control(node, envelope->raft->generation, NULL);
        }
        /* fall through */
    default:
        if (node->control != NULL) {
            cw_control_receive(node->control, envelope, cluster.now);
        }
    }
    cw__envelope__free_unpacked(envelope, NULL);
}

static void deliver(cluster_event_t *event)
{
    cluster_node_t *node = &cluster.nodes[event->node];

    if (event->kind == EVENT_CALL) {
        cluster_deliver_call(event); /* left the node already, whatever became of it */
        return;
    }
    if (!node->running || (event->kind == EVENT_MESSAGE && node->cut)) {
        return;
    }
    if (event->kind == EVENT_MESSAGE) {
        deliver_message(node, event);
    } else if (event->node_incarnation == node->info.incarnation) {
        event->kind == EVENT_STORE ? cluster_deliver_store(event) : cluster_deliver_call_answer(event);
    }
}

static void deliver_due(void)
{
    cluster_event_t **place = &cluster.events;
    cluster_event_t  *event;

    while (*place != NULL && (*place)->due_us <= cluster.now.monotonic_us) {
        event = *place;
        if (cluster.nodes[event->node].paused && event->kind != EVENT_CALL) {
            place = &event->next;
            continue;
        }
        *place = event->next;
        deliver(event);
        free_event(event);
        place = &cluster.events; /* delivery may have added events */
    }
}

static bool is_newer_leader(const cluster_node_t *node, const cluster_node_t *leader)
{
    if (!node->running || node->paused || node->cut || node->control == NULL || !cw_control_is_leader(node->control)) {
        return false;
    }
    return leader == NULL ||
           cw_raft_term(cw_control_raft(node->control)) > cw_raft_term(cw_control_raft(leader->control));
}

cluster_node_t *cluster_leader_of(int group)
{
    cluster_node_t *leader = NULL;
    cluster_node_t *node;

    for (node = cluster.nodes; node < cluster.nodes + CLUSTER_NODES; node++) {
        if (node->group == group && is_newer_leader(node, leader)) {
            leader = node;
        }
    }
    return leader;
}

cluster_node_t *cluster_leader(void)
{
    cluster_node_t *leader = NULL;
    cluster_node_t *node;

    for (node = cluster.nodes; node < cluster.nodes + CLUSTER_NODES; node++) {
        if (is_newer_leader(node, leader)) {
            leader = node;
        }
    }
    return leader;
}

const cw_control_state_t *cluster_state(void)
{
    cluster_node_t *leader = cluster_leader();

    return leader == NULL ? NULL : cw_control_state(leader->control);
}

/* In place of the relay: nodes that are not cut off see the leader's state at once. */
static void tick_node(cluster_node_t *node)
{
    cluster_node_t           *leader = cluster_leader_of(node->group);
    const cw_control_state_t *state;

    if (!node->running || node->paused) {
        return;
    }
    if (leader != NULL && !node->cut) {
        state = cw_control_state(leader->control);
        cw_agent_set_leader(node->agent, leader->info.id);
        if (cw_control_state_version(state) > node->route_version) {
            node->route_version = cw_control_state_version(state);
            cw_agent_routes_changed(node->agent, state, cluster.now);
        }
    }
    cw_agent_tick(node->agent, cluster.now);
    if (node->control != NULL && cluster.now.monotonic_us >= cw_control_next_tick(node->control)) {
        cw_control_tick(node->control, cluster.now);
    }
}

static void step(void)
{
    size_t position;

    cluster.now.monotonic_us += CLUSTER_STEP_US;
    cluster.now.wall_ms += CLUSTER_STEP_US / CW_US_PER_MS;
    deliver_due();
    for (position = 0; position < CLUSTER_NODES; position++) {
        tick_node(&cluster.nodes[position]);
    }
    cluster_check_owners();
}

void cluster_run(cw_time_us_t duration_us)
{
    cw_time_us_t end_us = cluster.now.monotonic_us + duration_us;

    while (cluster.now.monotonic_us < end_us) {
        step();
    }
}

bool cluster_run_until(bool (*condition)(void), cw_time_us_t limit_us)
{
    cw_time_us_t end_us = cluster.now.monotonic_us + limit_us;

    while (!condition() && cluster.now.monotonic_us < end_us) {
        step();
    }
    return condition();
}

void cluster_create(uint64_t seed, uint32_t lease_ms)
{
    static char *const zones[] = {"a", "b", "c"};
    Cw__Membership     membership = CW__MEMBERSHIP__INIT;
    Cw__NodeInfo      *voters[CLUSTER_CONTROLS];
    cluster_server_t  *server;
    size_t             position;

    memset(&cluster, 0, sizeof(cluster));
    cluster.now = (cw_instant_t){CW_US_PER_S, FIRST_WALL_MS};
    cluster.random_state = seed;
    cluster.lease_ms = lease_ms;
    for (position = 0; position < CLUSTER_NODES; position++) {
        start_node(position);
    }
    for (position = 0; position < CLUSTER_CONTROLS; position++) {
        voters[position] = &cluster.nodes[position].info;
    }
    membership.n_voters = CLUSTER_CONTROLS;
    membership.voters = voters;
    for (position = 0; position < CLUSTER_CONTROLS; position++) {
        create_control(&cluster.nodes[position], 1, &membership);
    }
    for (position = 0; position < CLUSTER_SERVERS; position++) {
        server = &cluster.servers[position];
        snprintf(server->name, sizeof(server->name), "s%zu", position);
        cw__server_configuration__init(&server->configuration);
        server->configuration.id = cw_hash_server("t", "s", server->name);
        server->configuration.zone = zones[2 - position % 3]; /* not in step with the nodes' ids */
        cluster_restart_server(position);
        server->clock_offset_us = (int64_t)cw_random_below(&cluster.random_state, 1000) * CW_US_PER_S + 1;
        server->clock_drift_ppm = (int64_t)cw_random_below(&cluster.random_state, 1000) - 500;
    }
}

void cluster_free(void)
{
    cluster_event_t *event;
    size_t           position;

    for (position = 0; position < CLUSTER_NODES; position++) {
        cluster_stop_node(position);
    }
    while (cluster.events != NULL) {
        event = cluster.events;
        cluster.events = event->next;
        free_event(event);
    }
    for (position = 0; position < cluster.object_count; position++) {
        free(cluster.objects[position].value);
    }
    free(cluster.answer);
}
