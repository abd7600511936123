/**
 * @file hollow_group.c
 * @brief Modelled network and store around a real control group and real agents.
 */
#include "hollow_group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"

enum {
    FIRST_CAPACITY = 1024,
    START_US = 10 * CW_US_PER_S,
    SETTLE_STEPS_MAX = 3000,
    SETTLE_MORE_US = 8 * CW_US_PER_S,
    ROUTES_INTERVAL_US = 50000
};

static void fail(const char *text)
{
    fprintf(stderr, "capacity: %s\n", text);
    exit(EXIT_FAILURE);
}

/* ---- network ---- */

static void grow_queue(cw_hollow_group_t *group)
{
    size_t              capacity = group->capacity == 0 ? FIRST_CAPACITY : 2 * group->capacity;
    cw_group_message_t *queue = calloc(capacity, sizeof(*queue));
    size_t              position;

    if (queue == NULL) {
        fail("no memory");
        return;
    }
    for (position = group->head; group->capacity != 0 && position < group->tail; position++) {
        queue[position % capacity] = group->queue[position % group->capacity];
    }
    free(group->queue);
    group->queue = queue;
    group->capacity = capacity;
}

static void enqueue(cw_hollow_group_t *group, cw_node_id_t to, const Cw__Envelope *envelope,
                    cw_capacity_traffic_t *sent)
{
    cw_group_message_t *message;

    if (group->tail - group->head == group->capacity) {
        grow_queue(group);
    }
    message = &group->queue[group->tail++ % group->capacity];
    message->length = cw__envelope__get_packed_size(envelope);
    message->data = malloc(message->length);
    message->kind = cw_capacity_kind(envelope);
    message->to = to;
    cw__envelope__pack(envelope, message->data);
    cw_capacity_traffic_add(sent, message->kind, message->length);
}

static void agent_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_group_node_t *node = context;

    enqueue(node->group, to, envelope, &node->group->agents_sent);
}

static void control_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_group_node_t *node = context;

    enqueue(node->group, to, envelope, &node->account->sent);
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

static void take_server_call(void *context, const cw_server_call_t *call)
{
    cw_group_node_t *node = context;

    cw_hollow_servers_call(&node->group->servers, node->id, call, node->group->now.monotonic_us);
}

static void take_store_call(void *context, const cw_store_request_t *request)
{
    cw_group_node_t       *node = context;
    cw_hollow_group_t     *group = node->group;
    cw_group_store_call_t *call;

    if (group->store_call_count == CW_GROUP_STORE_CALLS_MAX) {
        fail("too many store requests at a time");
    }
    call = &group->store_calls[group->store_call_count++];
    call->node = node->id;
    call->id = request->id;
    call->operation = request->operation;
    snprintf(call->name, sizeof(call->name), "%s", request->name);
    if (request->operation == CW_STORE_WRITE) {
        group->store_writes++;
        group->store_bytes_written += request->value_length;
    } else {
        group->store_reads++;
    }
}

/** To the control replica, or to the agent. */
static bool is_for_control(size_t kind)
{
    return kind != CW__ENVELOPE__BODY_HEARTBEAT_REPLY && kind != CW__ENVELOPE__BODY_GRANT_ORDER &&
           kind != CW__ENVELOPE__BODY_REVOKE_ORDER;
}

static void receive(cw_hollow_group_t *group, cw_group_node_t *node, const cw_group_message_t *message)
{
    cw_capacity_mark_t mark;
    Cw__Envelope      *envelope;
    bool               for_control = is_for_control(message->kind);

    if (node->lost || (for_control && node->control == NULL)) {
        return;
    }
    cw_capacity_traffic_add(for_control ? &node->account->received : &group->agents_received, message->kind,
                            message->length);
    cw_capacity_meter_start(group->meter, &mark);
    envelope = cw__envelope__unpack(NULL, message->length, message->data);
    if (for_control) {
        cw_control_receive(node->control, envelope, group->now);
    } else {
        cw_agent_receive(node->agent, envelope, group->now);
    }
    cw__envelope__free_unpacked(envelope, NULL);
    cw_capacity_meter_stop(group->meter, &mark,
                           for_control ? &node->account->by_kind[message->kind] : &group->agents_cost);
}

static void deliver(cw_hollow_group_t *group)
{
    size_t end = group->tail;

    while (group->head < end) {
        cw_group_message_t message = group->queue[group->head++ % group->capacity];

        receive(group, &group->nodes[message.to], &message);
        free(message.data);
    }
}

static void answer_server_calls(cw_hollow_group_t *group)
{
    size_t              count;
    cw_hollow_answer_t *answers = cw_hollow_servers_take(&group->servers, &count);
    cw_capacity_mark_t  mark;
    size_t              position;

    cw_capacity_meter_start(group->meter, &mark);
    for (position = 0; position < count; position++) {
        const cw_group_node_t *node = &group->nodes[answers[position].node];

        if (!node->lost) {
            cw_agent_server_completed(node->agent, &answers[position].completion, group->now);
        }
        free(answers[position].ranges);
    }
    cw_capacity_meter_stop(group->meter, &mark, &group->agents_cost);
    free(answers);
}

/* ---- store ---- */

/** A read of a tenant's object finds the present configuration, as if written anew. */
static void answer_read(cw_hollow_group_t *group, const cw_group_store_call_t *call)
{
    const char                    *name = strchr(call->name, '/');
    const Cw__TenantConfiguration *tenant;
    cw_store_object_t              object = {.name = call->name, .version = group->store_version};
    cw_store_completion_t          completion = {.id = call->id, .version = group->store_version};
    uint8_t                       *value;

    tenant = name == NULL ? NULL : cw_control_state_tenant(cw_group_state(group), name + 1);
    if (call->operation != CW_STORE_READ || tenant == NULL) {
        completion.error = CW_ERROR_NOT_FOUND;
        cw_control_store_completed(group->nodes[call->node].control, &completion, group->now);
        return;
    }
    object.value_length = cw__tenant_configuration__get_packed_size(tenant);
    value = malloc(object.value_length + 1);
    object.value = value;
    cw__tenant_configuration__pack(tenant, value);
    completion.objects = &object;
    completion.object_count = 1;
    cw_control_store_completed(group->nodes[call->node].control, &completion, group->now);
    free(value);
}

static void answer_store_call(cw_hollow_group_t *group, const cw_group_store_call_t *call)
{
    cw_store_completion_t completion = {.id = call->id, .version = group->store_version};
    cw_capacity_mark_t    mark;

    if (group->nodes[call->node].lost) {
        return;
    }
    cw_capacity_meter_start(group->meter, &mark);
    if (call->operation == CW_STORE_WRITE) {
        cw_control_store_completed(group->nodes[call->node].control, &completion, group->now);
    } else {
        answer_read(group, call);
    }
    cw_capacity_meter_stop(group->meter, &mark, &group->nodes[call->node].account->ticks);
}

static void answer_store_calls(cw_hollow_group_t *group)
{
    cw_group_store_call_t calls[64];
    size_t                count;
    size_t                position;

    while (group->store_call_count > 0) {
        count = group->store_call_count < 64 ? group->store_call_count : 64;
        memcpy(calls, &group->store_calls[group->store_call_count - count], count * sizeof(*calls));
        group->store_call_count -= count;
        for (position = 0; position < count; position++) {
            answer_store_call(group, &calls[position]);
        }
    }
}

/* ---- time ---- */

static void tick_controls(cw_hollow_group_t *group)
{
    cw_capacity_mark_t mark;
    cw_node_id_t       id;

    for (id = 1; id <= group->voters; id++) {
        cw_group_node_t *node = &group->nodes[id];

        if (node->lost || node->control == NULL || group->now.monotonic_us < cw_control_next_tick(node->control)) {
            continue;
        }
        cw_capacity_meter_start(group->meter, &mark);
        cw_control_tick(node->control, group->now);
        cw_capacity_meter_stop(group->meter, &mark, &node->account->ticks);
    }
}

static void tick_agents(cw_hollow_group_t *group)
{
    cw_capacity_mark_t mark;
    cw_node_id_t       id;

    cw_capacity_meter_start(group->meter, &mark);
    for (id = 1; id <= group->count; id++) {
        const cw_group_node_t *node = &group->nodes[id];

        if (!node->lost && group->now.monotonic_us >= cw_agent_next_tick(node->agent)) {
            cw_agent_tick(node->agent, group->now);
        }
    }
    cw_capacity_meter_stop(group->meter, &mark, &group->agents_cost);
}

/** Agents learn leader and routes as a relay would tell them, without its cost. */
static void tell_agents(cw_hollow_group_t *group)
{
    cw_node_id_t              leader = cw_group_leader(group);
    const cw_control_state_t *state = cw_group_state(group);
    cw_node_id_t              id;

    if (leader == 0 || group->now.monotonic_us < group->routes_us ||
        cw_control_state_version(state) == group->routes_version) {
        return;
    }
    group->routes_version = cw_control_state_version(state);
    group->routes_us = group->now.monotonic_us + ROUTES_INTERVAL_US;
    for (id = 1; id <= group->count; id++) {
        if (!group->nodes[id].lost) {
            cw_agent_set_leader(group->nodes[id].agent, leader);
            cw_agent_routes_changed(group->nodes[id].agent, state, group->now);
        }
    }
}

void cw_group_step(cw_hollow_group_t *group)
{
    group->now.monotonic_us += CW_GROUP_STEP_US;
    group->now.wall_ms += CW_GROUP_STEP_US / CW_US_PER_MS;
    deliver(group);
    answer_server_calls(group);
    answer_store_calls(group);
    tick_controls(group);
    tick_agents(group);
    tell_agents(group);
}

void cw_group_run(cw_hollow_group_t *group, cw_time_us_t time_us)
{
    cw_time_us_t end = group->now.monotonic_us + time_us;

    while (group->now.monotonic_us < end) {
        cw_group_step(group);
    }
}

/* ---- life cycle ---- */

static void create_agent(cw_hollow_group_t *group, cw_group_node_t *node, const Cw__NodeInfo *self)
{
    cw_ports_t         ports = {.context = node, .send = agent_send, .server_call = take_server_call};
    cw_agent_options_t options = {.self = self, .heartbeat_us = CW_GROUP_HEARTBEAT_US};
    cw_instant_t       first = group->now;

    first.monotonic_us += (cw_time_us_t)(node->id * 7919U % CW_GROUP_HEARTBEAT_US); /* spread over an interval */
    if (cw_agent_create(&node->agent, &options, &ports, first) != CW_OK) {
        fail("an agent was not made");
    }
}

static void create_control(cw_hollow_group_t *group, cw_group_node_t *node, const Cw__NodeInfo *self,
                           const Cw__Membership *membership, const ProtobufCBinaryData *snapshot)
{
    cw_ports_t ports = {.context = node, .send = control_send, .learn_node = ignore_node, .store = take_store_call};
    cw_control_options_t options;

    cw_control_options_default(&options);
    options.self = self;
    options.membership = membership;
    options.initial_snapshot = snapshot->data;
    options.initial_snapshot_length = snapshot->len;
    options.control_size = (uint32_t)group->voters;
    options.seed = UINT64_C(0x9e3779b97f4a7c15) * node->id;
    node->account = &group->accounts[node->id];
    if (cw_control_create(&node->control, &options, &ports, group->now) != CW_OK) {
        fail("a control replica was not made");
    }
}

static void create_nodes(cw_hollow_group_t *group, const ProtobufCBinaryData *snapshot)
{
    cw_capacity_node_t selves[CW_GROUP_VOTERS_MAX];
    Cw__NodeInfo      *voters[CW_GROUP_VOTERS_MAX];
    Cw__Membership     membership = CW__MEMBERSHIP__INIT;
    cw_capacity_node_t self;
    cw_node_id_t       id;

    for (id = 1; id <= group->voters; id++) {
        cw_capacity_node_init(&selves[id - 1], id);
        voters[id - 1] = &selves[id - 1].info;
    }
    membership.n_voters = group->voters;
    membership.voters = voters;
    for (id = 1; id <= group->count; id++) {
        cw_group_node_t *node = &group->nodes[id];

        cw_capacity_node_init(&self, id);
        node->group = group;
        node->id = id;
        create_agent(group, node, &self.info);
        if (id <= group->voters) {
            create_control(group, node, &self.info, &membership, snapshot);
        }
    }
}

cw_hollow_group_t *cw_group_create(const cw_capacity_population_t *population, size_t voters,
                                   const cw_capacity_meter_t *meter)
{
    cw_hollow_group_t  *group = calloc(1, sizeof(*group));
    cw_control_state_t *state = cw_capacity_population_create(population);
    ProtobufCBinaryData snapshot = {0};

    group->nodes = calloc(population->nodes + 1, sizeof(*group->nodes));
    group->meter = meter;
    group->count = population->nodes;
    group->voters = voters;
    group->now = (cw_instant_t){START_US, INT64_C(1790000000000)};
    group->store_version = 1;
    if (cw_control_state_pack(state, &snapshot.data, &snapshot.len) != CW_OK) {
        fail("no memory");
    }
    cw_control_state_free(state);
    create_nodes(group, &snapshot);
    free(snapshot.data);
    return group;
}

void cw_group_free(cw_hollow_group_t *group)
{
    cw_node_id_t id;

    for (; group->head < group->tail; group->head++) {
        free(group->queue[group->head % group->capacity].data);
    }
    for (id = 1; id <= group->count; id++) {
        cw_agent_free(group->nodes[id].agent);
        cw_control_free(group->nodes[id].control);
    }
    cw_hollow_servers_clear(&group->servers);
    free(group->queue);
    free(group->nodes);
    free(group);
}

cw_node_id_t cw_group_leader(const cw_hollow_group_t *group)
{
    cw_node_id_t id;

    for (id = 1; id <= group->voters; id++) {
        if (!group->nodes[id].lost && cw_control_is_leader(group->nodes[id].control)) {
            return id;
        }
    }
    return 0;
}

const cw_control_state_t *cw_group_state(const cw_hollow_group_t *group)
{
    cw_node_id_t leader = cw_group_leader(group);

    return cw_control_state(group->nodes[leader == 0 ? 1 : leader].control);
}

void cw_group_settle(cw_hollow_group_t *group)
{
    size_t steps;

    for (steps = 0; cw_group_leader(group) == 0; steps++) {
        if (steps == SETTLE_STEPS_MAX) {
            fail("the control group found no leader");
        }
        cw_group_step(group);
    }
    cw_group_run(group, SETTLE_MORE_US);
}

void cw_group_reset_counts(cw_hollow_group_t *group)
{
    memset(group->accounts, 0, sizeof(group->accounts));
    memset(&group->agents_sent, 0, sizeof(group->agents_sent));
    memset(&group->agents_received, 0, sizeof(group->agents_received));
    memset(&group->agents_cost, 0, sizeof(group->agents_cost));
    group->servers.calls = 0;
    group->store_reads = group->store_writes = group->store_bytes_written = 0;
}

void cw_group_lose_node(cw_hollow_group_t *group, cw_node_id_t node)
{
    group->nodes[node].lost = true;
}

void cw_group_change_tenant(cw_hollow_group_t *group, size_t tenant)
{
    char         tenant_name[CW_NAME_MAX];
    char         name[2 * CW_NAME_MAX];
    cw_node_id_t leader = cw_group_leader(group);

    group->store_version++;
    cw_capacity_tenant_name(tenant_name, sizeof(tenant_name), tenant);
    snprintf(name, sizeof(name), "config/%s", tenant_name);
    if (leader != 0) {
        cw_control_object_changed(group->nodes[leader].control, name, group->store_version, group->now);
    }
}

double cw_group_account_us(const cw_group_account_t *account)
{
    double us = account->ticks.us;
    size_t kind;

    for (kind = 0; kind < CW_CAPACITY_KINDS; kind++) {
        us += account->by_kind[kind].us;
    }
    return us;
}

double cw_group_account_instructions(const cw_group_account_t *account)
{
    double instructions = account->ticks.instructions;
    size_t kind;

    for (kind = 0; kind < CW_CAPACITY_KINDS; kind++) {
        instructions += account->by_kind[kind].instructions;
    }
    return instructions;
}
