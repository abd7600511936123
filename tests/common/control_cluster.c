/**
 * @file control_cluster.c
 * @brief Nodes, servers and store of the control tests under one simulated clock.
 */
#include "control_cluster.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/token_digest.h"

enum { MESSAGE_DELAY_US = 1000, CALL_DELAY_US = 2000, HEARTBEAT_US = 300000, PPM = 1000000, FIRST_WALL_MS = 1000000 };

typedef enum event_kind { EVENT_MESSAGE, EVENT_CALL, EVENT_CALL_ANSWER, EVENT_STORE } event_kind_t;

struct cluster_event {
    cluster_event_t *next;
    cw_time_us_t     due_us;
    event_kind_t     kind;
    size_t           node; /**< that receives */
    cw_incarnation_t node_incarnation;
    uint8_t         *bytes; /**< message, order of a call, or value read */
    size_t           length;
    uint64_t         id;
    int              error;
    /* call */
    cw_server_call_kind_t call;
    size_t                server;
    cw_incarnation_t      incarnation;
    int64_t               lease_end_us;
    int64_t               clock_us;
    bool                  draining;
    cw_range_id_t        *accepted;
    size_t                accepted_count;
    cw_range_id_t        *refused;
    size_t                refused_count;
    cw_fence_t            highest;
    /* store */
    cw_store_operation_t operation;
    char                 name[64];
    uint64_t             version;
};

cluster_t cluster;

/* ---- events ---- */

static cluster_event_t *add_event(event_kind_t kind, size_t node, cw_time_us_t delay_us)
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

static size_t node_of(void *context)
{
    return (size_t)((cluster_node_t *)context - cluster.nodes);
}

static void queue_message(cw_node_id_t to, const Cw__Envelope *envelope, cw_time_us_t delay_us)
{
    cluster_event_t *event = add_event(EVENT_MESSAGE, to - 1, delay_us);

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

/* ---- servers ---- */

static int64_t clock_of(const cluster_server_t *server)
{
    cw_time_us_t age_us = cluster.now.monotonic_us - server->started_us;

    return server->clock_offset_us + age_us + age_us * server->clock_drift_ppm / PPM;
}

static bool is_alive(const cluster_server_t *server)
{
    return server->lease_end_us > clock_of(server);
}

static void port_server_call(void *context, const cw_server_call_t *call)
{
    cluster_event_t *event = add_event(EVENT_CALL, node_of(context), CALL_DELAY_US);
    Cw__GrantOrder   order = CW__GRANT_ORDER__INIT;

    event->id = call->id;
    event->call = call->kind;
    event->incarnation = call->incarnation;
    event->lease_end_us = call->lease_end_us;
    while (event->server < CLUSTER_SERVERS && cluster.servers[event->server].configuration.id != call->server->id) {
        event->server++;
    }
    order.n_grants = call->grant_count;
    order.grants = (Cw__Grant **)call->grants;
    event->length = cw__grant_order__get_packed_size(&order);
    event->bytes = malloc(event->length + 1);
    cw__grant_order__pack(&order, event->bytes);
}

static bool overlaps(const Cw__Grant *left, const Cw__Grant *right)
{
    return left->service == right->service && left->low <= right->last && right->low <= left->last;
}

static int compare(const Cw__Grant *left, const Cw__Grant *right)
{
    return cw_fence_compare(cw_fence_from_message(left->fence), cw_fence_from_message(right->fence));
}

static void drop_lapsed(cluster_server_t *server)
{
    size_t position;

    for (position = 0; !is_alive(server) && position < server->grant_count; position++) {
        server->grants[position].held = false;
    }
}

static void remember_grant(cluster_server_t *server, const Cw__Grant *grant, bool held)
{
    cluster_grant_t *place;

    if (server->grant_count == CLUSTER_GRANTS) {
        ck_abort_msg("too many grants");
    }
    place = &server->grants[server->grant_count++];
    place->grant = *grant;
    place->fence = *grant->fence;
    place->grant.fence = &place->fence;
    place->held = held;
}

/* Forgets grants that a later one covers whole, so that the list stays short. */
static void forget_covered(cluster_server_t *server, const Cw__Grant *grant)
{
    size_t position = 0;

    while (position < server->grant_count) {
        cluster_grant_t *old = &server->grants[position];

        if (old->grant.service == grant->service && old->grant.low >= grant->low && old->grant.last <= grant->last &&
            compare(&old->grant, grant) <= 0) {
            *old = server->grants[--server->grant_count];
            old->grant.fence = &old->fence;
        } else {
            position++;
        }
    }
}

static bool accept_grant(cluster_server_t *server, const Cw__Grant *grant, cw_fence_t *highest)
{
    size_t position;
    bool   above = true;

    for (position = 0; position < server->grant_count; position++) {
        cluster_grant_t *old = &server->grants[position];

        if (!overlaps(&old->grant, grant)) {
            continue;
        }
        if (old->held && old->grant.range == grant->range && compare(&old->grant, grant) == 0) {
            return true;
        }
        *highest = cw_fence_max(*highest, cw_fence_from_message(&old->fence));
        above &= compare(grant, &old->grant) > 0;
    }
    if (!above) {
        return false;
    }
    for (position = 0; position < server->grant_count; position++) {
        server->grants[position].held &= !overlaps(&server->grants[position].grant, grant);
    }
    forget_covered(server, grant);
    remember_grant(server, grant, true);
    server->accepted++;
    return true;
}

static bool release_grant(cluster_server_t *server, const Cw__Grant *grant)
{
    size_t position;

    for (position = 0; position < server->grant_count; position++) {
        cluster_grant_t *old = &server->grants[position];

        if (overlaps(&old->grant, grant)) {
            if (compare(&old->grant, grant) > 0) {
                return false;
            }
            old->held = false;
        }
    }
    forget_covered(server, grant);
    remember_grant(server, grant, false);
    return true;
}

static void run_grants(cluster_server_t *server, cluster_event_t *event)
{
    Cw__GrantOrder *order = cw__grant_order__unpack(NULL, event->length, event->bytes);
    size_t          position;
    bool            done;

    event->accepted = calloc(order->n_grants + 1, sizeof(cw_range_id_t));
    event->refused = calloc(order->n_grants + 1, sizeof(cw_range_id_t));
    for (position = 0; position < order->n_grants; position++) {
        done = event->call == CW_SERVER_GRANT ? accept_grant(server, order->grants[position], &event->highest)
                                              : release_grant(server, order->grants[position]);
        if (done) {
            event->accepted[event->accepted_count++] = order->grants[position]->range;
        } else if (event->call == CW_SERVER_GRANT) {
            event->refused[event->refused_count++] = order->grants[position]->range;
        }
    }
    cw__grant_order__free_unpacked(order, NULL);
}

static void run_call(cluster_event_t *event)
{
    cluster_server_t *server = &cluster.servers[event->server];
    int64_t           clock_us = clock_of(server);

    drop_lapsed(server);
    if (event->call != CW_SERVER_READ_STATE && event->incarnation != server->incarnation) {
        event->error = CW_ERROR_CONFLICT;
    } else if (event->call == CW_SERVER_GRANT && event->lease_end_us <= clock_us) {
        event->error = CW_ERROR_CONFLICT;
    } else if (event->call == CW_SERVER_RENEW_LEASE && is_alive(server) && event->lease_end_us > server->lease_end_us) {
        server->lease_end_us = event->lease_end_us;
    } else if (event->call == CW_SERVER_GRANT || event->call == CW_SERVER_REVOKE) {
        run_grants(server, event);
    }
    if (event->call == CW_SERVER_GRANT && event->error == CW_OK && event->lease_end_us > server->lease_end_us) {
        server->lease_end_us = event->lease_end_us;
    }
    event->incarnation = server->incarnation;
    event->clock_us = clock_us;
    event->lease_end_us = server->lease_end_us;
    event->draining = server->draining;
}

static bool can_reach(const cluster_node_t *node, size_t server)
{
    return server < CLUSTER_SERVERS && !cluster.servers[server].cut && !node->cut &&
           cluster.servers[server].group == node->group;
}

/* The call reaches the server; its answer goes back as another event. */
static void deliver_call(cluster_event_t *event)
{
    cw_time_us_t     delay_us = CALL_DELAY_US;
    cluster_event_t *answer;

    if (!can_reach(&cluster.nodes[event->node], event->server)) {
        event->error = CW_ERROR_TIMEOUT;
        delay_us = HEARTBEAT_US;
    } else {
        delay_us += event->call == CW_SERVER_REVOKE ? cluster.servers[event->server].drain_us : 0;
        run_call(event);
    }
    answer = add_event(EVENT_CALL_ANSWER, event->node, delay_us);
    answer->node_incarnation = event->node_incarnation;
    answer->id = event->id;
    answer->error = event->error;
    answer->call = event->call;
    answer->incarnation = event->incarnation;
    answer->lease_end_us = event->lease_end_us;
    answer->clock_us = event->clock_us;
    answer->draining = event->draining;
    answer->accepted = event->accepted;
    answer->accepted_count = event->accepted_count;
    answer->refused = event->refused;
    answer->refused_count = event->refused_count;
    answer->highest = event->highest;
    event->accepted = event->refused = NULL;
}

static void deliver_call_answer(const cluster_event_t *event)
{
    cw_server_completion_t completion = {.id = event->id, .error = event->error};

    completion.incarnation = event->incarnation;
    completion.clock_us = event->clock_us;
    completion.lease_end_us = event->lease_end_us;
    completion.draining = event->draining;
    completion.accepted = event->accepted;
    completion.accepted_count = event->accepted_count;
    completion.refused = event->refused;
    completion.refused_count = event->refused_count;
    completion.highest = event->highest;
    cw_agent_server_completed(cluster.nodes[event->node].agent, &completion, cluster.now);
}

bool cluster_holds(const cluster_server_t *server, cw_key_hash_t key_hash)
{
    size_t position;

    for (position = 0; is_alive(server) && position < server->grant_count; position++) {
        const Cw__Grant *grant = &server->grants[position].grant;

        if (server->grants[position].held && grant->low <= key_hash && key_hash <= grant->last) {
            return true;
        }
    }
    return false;
}

/* The invariant: no key has two owners. Borders of held grants are where an overlap would begin. */
static void check_owners(void)
{
    size_t left;
    size_t right;
    size_t position;

    for (left = 0; left < CLUSTER_SERVERS; left++) {
        drop_lapsed(&cluster.servers[left]);
        for (position = 0; position < cluster.servers[left].grant_count; position++) {
            if (!cluster.servers[left].grants[position].held) {
                continue;
            }
            for (right = 0; right < CLUSTER_SERVERS; right++) {
                if (left != right &&
                    cluster_holds(&cluster.servers[right], cluster.servers[left].grants[position].grant.low)) {
                    ck_abort_msg("two owners of one key: servers %zu and %zu at %ld us", left, right,
                                 (long)cluster.now.monotonic_us);
                }
            }
        }
    }
}

/* ---- store ---- */

cluster_object_t *cluster_object(const char *name)
{
    size_t position;

    for (position = 0; position < cluster.object_count; position++) {
        if (strcmp(cluster.objects[position].name, name) == 0) {
            return &cluster.objects[position];
        }
    }
    return NULL;
}

static int write_object(const cw_store_request_t *request, uint64_t *version)
{
    cluster_object_t *object = cluster_object(request->name);

    if ((object == NULL ? 0 : object->version) != request->expected_version) {
        return CW_ERROR_CONFLICT;
    }
    if (object == NULL) {
        object = &cluster.objects[cluster.object_count++];
        snprintf(object->name, sizeof(object->name), "%s", request->name);
    }
    free(object->value);
    object->value = malloc(request->value_length + 1);
    memcpy(object->value, request->value, request->value_length);
    object->length = request->value_length;
    object->version = *version = ++cluster.store_revision;
    return CW_OK;
}

static void port_store(void *context, const cw_store_request_t *request)
{
    cluster_event_t *event;

    if (cluster.store_mode == STORE_HANGS) {
        return;
    }
    event = add_event(EVENT_STORE, node_of(context), CALL_DELAY_US);
    event->id = request->id;
    event->operation = request->operation;
    snprintf(event->name, sizeof(event->name), "%s", request->name);
    if (cluster.store_mode == STORE_REFUSES) {
        event->error = CW_ERROR_UNAVAILABLE;
    } else if (request->operation == CW_STORE_WRITE) {
        event->error = write_object(request, &event->version);
        if (cluster.store_mode == STORE_LOSES_ANSWERS) {
            event->error = CW_ERROR_UNKNOWN;
        }
    }
}

static void deliver_store(const cluster_event_t *event)
{
    cw_store_completion_t   completion = {.id = event->id, .error = event->error, .version = event->version};
    cw_store_object_t       objects[16];
    size_t                  position;
    const cluster_object_t *object;

    completion.objects = objects;
    for (position = 0; event->error == CW_OK && position < cluster.object_count; position++) {
        object = &cluster.objects[position];
        if (event->operation == CW_STORE_READ ? strcmp(object->name, event->name) == 0
                                              : strncmp(object->name, event->name, strlen(event->name)) == 0) {
            objects[completion.object_count++] =
                (cw_store_object_t){object->name, object->version, object->value, object->length};
        }
    }
    if (event->operation == CW_STORE_READ && event->error == CW_OK && completion.object_count == 0) {
        completion.error = CW_ERROR_NOT_FOUND;
    }
    if (cluster.nodes[event->node].control != NULL) {
        cw_control_store_completed(cluster.nodes[event->node].control, &completion, cluster.now);
    }
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
    cw_agent_options_t options = {&node->info, HEARTBEAT_US};

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
    node->ports.store = port_store;
    node->ports.server_call = port_server_call;
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

void cluster_restart_server(size_t position)
{
    cluster_server_t *server = &cluster.servers[position];

    server->incarnation = ++cluster.next_incarnation;
    server->started_us = cluster.now.monotonic_us;
    server->clock_offset_us = 1;
    server->lease_end_us = 0;
    server->grant_count = 0;
    server->draining = false;
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
        deliver_call(event); /* left the node already, whatever became of it */
        return;
    }
    if (!node->running || (event->kind == EVENT_MESSAGE && node->cut)) {
        return;
    }
    if (event->kind == EVENT_MESSAGE) {
        deliver_message(node, event);
    } else if (event->node_incarnation == node->info.incarnation) {
        event->kind == EVENT_STORE ? deliver_store(event) : deliver_call_answer(event);
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
    check_owners();
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

/* ---- operators ---- */

static bool has_leader(void)
{
    return cluster_leader() != NULL;
}

bool cluster_answered(void)
{
    return cluster.answer_status != 0;
}

void cluster_ask(const char *operation, const char *argument, const char *token)
{
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__OperatorRequest request = CW__OPERATOR_REQUEST__INIT;
    uint8_t             digest[CW_TOKEN_DIGEST_BYTES];

    ck_assert(cluster_run_until(has_leader, 5 * CW_US_PER_S));
    cw_token_digest(token, digest);
    request.id = ++cluster.next_request;
    request.origin = 1;
    request.operation = (char *)operation;
    request.argument = (char *)argument;
    request.file_name = "intent.yaml";
    request.token_sha256.data = digest;
    request.token_sha256.len = sizeof(digest);
    request.authorized_administrator = token == NULL;
    envelope.body_case = CW__ENVELOPE__BODY_OPERATOR_REQUEST;
    envelope.operator_request = &request;
    cluster.answer_status = 0;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
}

char *cluster_answer_text(const char *member)
{
    json_t     *body = json_loads(cluster.answer, 0, NULL);
    const char *found = json_string_value(json_object_get(body, member));
    char       *text = strdup(found == NULL ? "" : found);

    json_decref(body);
    return text;
}

void cluster_intent(char *text, size_t size, size_t server_count)
{
    uint8_t bytes[CW_TOKEN_DIGEST_BYTES];
    char    digest[2 * CW_TOKEN_DIGEST_BYTES + 1];
    size_t  length;
    size_t  position;

    cw_token_digest("token", bytes);
    for (position = 0; position < CW_TOKEN_DIGEST_BYTES; position++) {
        snprintf(digest + 2 * position, 3, "%02x", bytes[position]);
    }
    length = (size_t)snprintf(text, size,
                              "tenant: t\noperator_tokens: [%s]\ncaller_tokens: [%s]\nservices:\n- name: s\n"
                              "  lease_ms: %u\n  slots_per_server: 2\n  servers:\n",
                              digest, digest, cluster.lease_ms);
    for (position = 0; position < server_count; position++) {
        length += (size_t)snprintf(text + length, size - length,
                                   "  - {name: s%zu, address: 127.0.0.1, port: %zu, zone: %s}\n", position,
                                   9000 + position, cluster.servers[position].configuration.zone);
    }
}

void cluster_accept(size_t server_count)
{
    char  text[2048];
    char *plan;

    cluster_intent(text, sizeof(text), server_count);
    cluster_ask("plan", text, NULL);
    ck_assert_msg(cluster.answer_status == 200, "plan: %u %s", cluster.answer_status, cluster.answer);
    plan = cluster_answer_text("plan");
    cluster_ask("confirm", plan, NULL);
    free(plan);
    ck_assert(cluster_run_until(cluster_answered, 5 * CW_US_PER_S));
    ck_assert_msg(cluster.answer_status == 200, "confirm: %u %s", cluster.answer_status, cluster.answer);
}

/* ---- ranges ---- */

cw_service_id_t cluster_service(void)
{
    return cw_hash_service("t", "s");
}

static const cluster_server_t *find_server(cw_server_id_t id)
{
    size_t position;

    for (position = 0; position < CLUSTER_SERVERS; position++) {
        if (cluster.servers[position].configuration.id == id) {
            return &cluster.servers[position];
        }
    }
    return NULL;
}

typedef struct range_check {
    size_t         ranges;
    size_t         held;
    cw_server_id_t server;
} range_check_t;

static bool check_range(void *context, const Cw__RangeInfo *range)
{
    range_check_t          *check = context;
    const cluster_server_t *server = find_server(range->server);
    cw_fence_t              fence = cw_fence_effective(range, cw_control_state_server(cluster_state(), range->server));
    size_t                  position;

    check->ranges++;
    if (server == NULL || range->state != CW__RANGE_STATE__RANGE_GRANTED || !cluster_holds(server, range->low)) {
        return true;
    }
    for (position = 0; position < server->grant_count; position++) {
        if (server->grants[position].held && server->grants[position].grant.range == range->id &&
            cw_fence_compare(cw_fence_from_message(&server->grants[position].fence), fence) == 0) {
            check->held++;
        }
    }
    return true;
}

bool cluster_settled(void)
{
    const cw_control_state_t *state = cluster_state();
    range_check_t             check = {0};

    if (state == NULL) {
        return false;
    }
    cw_control_state_each_service_range(state, cluster_service(), check_range, &check);
    return check.ranges > 0 && check.ranges == check.held;
}

static bool count_range(void *context, const Cw__RangeInfo *range)
{
    (void)range;
    ++*(size_t *)context;
    return true;
}

size_t cluster_ranges_of(size_t server)
{
    size_t count = 0;

    cw_control_state_each_server_range(cluster_state(), cluster.servers[server].configuration.id, count_range, &count);
    return count;
}
