/**
 * @file node.c
 * @brief One node: creates its parts, hands each event to the part it concerns and keeps them in step.
 *
 * Rules:
 * - Every event (message, completion, tick, request) runs to its end, then cw_node_settle delivers the messages that
 *   the node sent to itself, gives the relay the leader's state, and tells agent and forwarder of a new route table.
 *   Parts therefore never call one another while one of them is at work.
 * - The control replica, once made, lives as long as the process. A process that forgot its votes would break the
 *   replicated log, so a replica is never made anew under the same incarnation within one generation.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "cedarwinch/log.h"
#include "node_internal.h"

enum {
    DEFAULT_HEARTBEAT_US = 300 * CW_US_PER_MS,
    DEFAULT_SILENCE_US = 1000 * CW_US_PER_MS,
    DEFAULT_OUT_OF_TOUCH_US = 3000 * CW_US_PER_MS,
    DEFAULT_DRIFT_PPM = 1000,
    DEFAULT_SKEW_MS = 5000,
    DEFAULT_WINDOW_MS = 120000,
    DEFAULT_RETRY_PERCENT = 10,
    DEFAULT_REQUEST_LIMIT = 4096,
    DEFAULT_CONTROL_SIZE = 3,
    JOURNAL_ENTRY_LIMIT = 1000000,
    JOURNAL_BODY_LIMIT = 4096,
    JOURNAL_TIMEOUT_US = 500 * CW_US_PER_MS,
    LOAD_REPORT_INTERVAL_US = 1000 * CW_US_PER_MS
};

void cw_node_options_default(cw_node_options_t *options)
{
    memset(options, 0, sizeof(*options));
    options->control_size = DEFAULT_CONTROL_SIZE;
    options->heartbeat_us = DEFAULT_HEARTBEAT_US;
    options->node_silence_us = DEFAULT_SILENCE_US;
    options->out_of_touch_us = DEFAULT_OUT_OF_TOUCH_US;
    options->clock_drift_ppm = DEFAULT_DRIFT_PPM;
    options->clock_skew_ms = DEFAULT_SKEW_MS;
    options->journal_window_ms = DEFAULT_WINDOW_MS;
    options->unfinished_first = true;
    options->retry_budget_percent = DEFAULT_RETRY_PERCENT;
    options->request_limit = DEFAULT_REQUEST_LIMIT;
}

cw_time_us_t cw_node_earlier(cw_time_us_t left, cw_time_us_t right)
{
    if (left == 0) {
        return right;
    }
    if (right == 0) {
        return left;
    }
    return left < right ? left : right;
}

static int create_routing_parts(cw_node_t *node, cw_instant_t now)
{
    const cw_node_options_t *options = &node->options;
    cw_relay_options_t       relay = {.self = node->self,
                                      .seeds = options->seeds,
                                      .seed_count = options->seed_count,
                                      .interval_us = options->heartbeat_us,
                                      .out_of_touch_us = options->out_of_touch_us};
    cw_agent_options_t       agent = {.self = node->self, .heartbeat_us = options->heartbeat_us};
    int                      error;

    error = cw_relay_create(&node->relay, &relay, &node->inner, now);
    if (error != CW_OK) {
        return error;
    }
    return cw_agent_create(&node->agent, &agent, &node->inner, now);
}

static int create_request_parts(cw_node_t *node)
{
    const cw_node_options_t *options = &node->options;
    cw_gateway_options_t     gateway = {.node = node->self->id,
                                        .incarnation = node->self->incarnation,
                                        .seed = cw_random_next(&node->random_state),
                                        .retry_budget_percent = options->retry_budget_percent,
                                        .request_limit = options->request_limit,
                                        .clock_skew_ms = options->clock_skew_ms};
    cw_forwarder_options_t   forwarder = {.node = node->self->id,
                                          .incarnation = node->self->incarnation,
                                          .journal_window_ms = options->journal_window_ms,
                                          .clock_skew_ms = options->clock_skew_ms,
                                          .journal_timeout_us = JOURNAL_TIMEOUT_US,
                                          .journal_everything = options->journal_everything,
                                          .unfinished_first = options->unfinished_first};
    cw_journal_options_t     journal = {.incarnation = node->self->incarnation,
                                        .window_ms = options->journal_window_ms,
                                        .entry_limit = JOURNAL_ENTRY_LIMIT,
                                        .body_limit = JOURNAL_BODY_LIMIT};
    int                      error;

    error = cw_gateway_create(&node->gateway, &gateway, &node->inner, node->relay);
    if (error != CW_OK) {
        return error;
    }
    error = cw_forwarder_create(&node->forwarder, &forwarder, &node->inner, node->agent);
    if (error != CW_OK) {
        return error;
    }
    return cw_journal_create(&node->journal, &journal, &node->inner);
}

int cw_node_create(cw_node_t **result, const cw_node_options_t *options, const cw_ports_t *ports, cw_instant_t now)
{
    cw_node_t *node = calloc(1, sizeof(*node));
    int        error;

    if (node == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    node->options = *options;
    node->outer = *ports;
    node->random_state = options->seed;
    node->started_us = now.monotonic_us;
    node->self = (Cw__NodeInfo *)cw_message_copy(&options->self->base);
    cw_node_ports_init(node);
    error = node->self == NULL ? CW_ERROR_NO_MEMORY : cw_node_bootstrap_init(node);
    if (error == CW_OK) {
        error = cw_node_recover_init(node);
    }
    if (error == CW_OK) {
        error = create_routing_parts(node, now);
    }
    if (error == CW_OK) {
        error = create_request_parts(node);
    }
    if (error != CW_OK) {
        cw_node_free(node);
        return error;
    }
    *result = node;
    return CW_OK;
}

void cw_node_free(cw_node_t *node)
{
    if (node == NULL) {
        return;
    }
    cw_node_ports_clear(node);
    cw_node_operator_clear(node);
    cw_node_bootstrap_clear(node);
    cw_node_recover_clear(node);
    cw_control_free(node->control);
    cw_gateway_free(node->gateway);
    cw_forwarder_free(node->forwarder);
    cw_journal_free(node->journal);
    cw_agent_free(node->agent);
    cw_relay_free(node->relay);
    if (node->self != NULL) {
        cw__node_info__free_unpacked(node->self, NULL);
    }
    free(node);
}

static void receive_raft(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now)
{
    const Cw__RaftMessage *raft = envelope->raft;

    if (raft->to != node->self->incarnation) {
        return;
    }
    if (node->control == NULL || raft->generation > node->control_generation) {
        cw_node_join_control(node, raft->group, raft->generation, now);
    }
    if (node->control != NULL) {
        cw_control_receive(node->control, envelope, now);
    }
}

static void refuse_heartbeat(cw_node_t *node, const Cw__Envelope *envelope)
{
    Cw__Envelope       answer = CW__ENVELOPE__INIT;
    Cw__HeartbeatReply reply = CW__HEARTBEAT_REPLY__INIT;

    reply.sequence = envelope->heartbeat->sequence;
    reply.accepted = false;
    reply.leader = (Cw__NodeInfo *)cw_relay_leader(node->relay);
    answer.body_case = CW__ENVELOPE__BODY_HEARTBEAT_REPLY;
    answer.heartbeat_reply = &reply;
    cw_node_send(node, envelope->from, &answer);
}

/* Messages to the control replica; a node without one says so where the sender waits for an answer. */
static void receive_control(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now)
{
    if (node->control != NULL) {
        cw_control_receive(node->control, envelope, now);
    } else if (envelope->body_case == CW__ENVELOPE__BODY_HEARTBEAT) {
        refuse_heartbeat(node, envelope);
    } else if (envelope->body_case == CW__ENVELOPE__BODY_OPERATOR_REQUEST) {
        cw_node_operator_refuse(node, envelope->operator_request);
    }
}

static void dispatch(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now)
{
    switch (envelope->body_case) {
    case CW__ENVELOPE__BODY_HELLO:
        cw_node_bootstrap_hello(node, envelope->hello, now);
        node->routes_changed |= cw_relay_receive(node->relay, envelope, now);
        break;
    case CW__ENVELOPE__BODY_ROUTE_SUBSCRIBE:
    case CW__ENVELOPE__BODY_ROUTE_UPDATE:
        node->routes_changed |= cw_relay_receive(node->relay, envelope, now);
        break;
    case CW__ENVELOPE__BODY_CONTROL_PROBE:
        cw_node_recover_probe(node, envelope, now);
        break;
    case CW__ENVELOPE__BODY_CONTROL_PROBE_REPLY:
        cw_node_recover_probe_reply(node, envelope->control_probe_reply, now);
        break;
    case CW__ENVELOPE__BODY_RAFT:
        receive_raft(node, envelope, now);
        break;
    case CW__ENVELOPE__BODY_HEARTBEAT:
    case CW__ENVELOPE__BODY_OPERATOR_REQUEST:
    case CW__ENVELOPE__BODY_GRANT_REPORT:
    case CW__ENVELOPE__BODY_REVOKE_REPORT:
        receive_control(node, envelope, now);
        break;
    case CW__ENVELOPE__BODY_HEARTBEAT_REPLY:
    case CW__ENVELOPE__BODY_GRANT_ORDER:
    case CW__ENVELOPE__BODY_REVOKE_ORDER:
        cw_agent_receive(node->agent, envelope, now);
        break;
    case CW__ENVELOPE__BODY_OPERATOR_RESPONSE:
        cw_node_operator_response(node, envelope->operator_response);
        break;
    case CW__ENVELOPE__BODY_FORWARD_RESPONSE:
        cw_gateway_receive(node->gateway, envelope, now);
        break;
    case CW__ENVELOPE__BODY_FORWARD_REQUEST:
    case CW__ENVELOPE__BODY_FORWARD_CANCEL:
    case CW__ENVELOPE__BODY_JOURNAL_REPLY:
        cw_forwarder_receive(node->forwarder, envelope, now);
        break;
    case CW__ENVELOPE__BODY_JOURNAL_START:
    case CW__ENVELOPE__BODY_JOURNAL_FINISH:
    case CW__ENVELOPE__BODY_JOURNAL_SEAL:
    case CW__ENVELOPE__BODY_JOURNAL_COPY:
        cw_journal_receive(node->journal, envelope, now);
        break;
    default:
        cw_log(CW_LOG_WARNING, "node", "message of unknown kind dropped", "from=%u kind=%d", envelope->from,
               (int)envelope->body_case);
        break;
    }
}

static void drop_source(cw_node_t *node, cw_instant_t now)
{
    if (node->is_source) {
        node->is_source = false;
        node->routes_changed |= cw_relay_set_source(node->relay, NULL, 0, 0, 0, NULL, now);
    }
}

/* Gives the relay the leader's state, or takes it away from a former leader. */
static void update_source(cw_node_t *node, cw_instant_t now)
{
    const cw_control_state_t *state;
    cw_raft_t                *raft;
    uint64_t                  version;
    uint64_t                  beat;

    if (node->control == NULL || !cw_control_is_leader(node->control)) {
        drop_source(node, now);
        return;
    }
    state = cw_control_state(node->control);
    raft = cw_control_raft(node->control);
    version = cw_control_state_version(state);
    beat = cw_control_beat(node->control);
    if (node->is_source && version == node->source_version && beat == node->source_beat) {
        return;
    }
    node->is_source = true;
    node->source_version = version;
    node->source_beat = beat;
    node->routes_changed |= cw_relay_set_source(node->relay, state, node->control_generation, cw_raft_term(raft), beat,
                                                cw_raft_membership(raft), now);
}

static void update_leader(cw_node_t *node)
{
    const Cw__NodeInfo *leader = cw_relay_leader(node->relay);

    cw_agent_set_leader(node->agent, leader != NULL ? leader->id : 0);
}

static void announce_routes(cw_node_t *node, cw_instant_t now)
{
    const cw_control_state_t *routes = cw_relay_routes(node->relay);

    node->routes_changed = false;
    cw_node_operator_leader_lost(node, 0);
    cw_agent_routes_changed(node->agent, routes, now);
    cw_forwarder_routes_changed(node->forwarder, routes, now);
}

static void deliver_local(cw_node_t *node, cw_instant_t now)
{
    Cw__Envelope *envelope;

    while (cw_node_take_local(node, &envelope)) {
        if (envelope != NULL) {
            dispatch(node, envelope, now);
            cw__envelope__free_unpacked(envelope, NULL);
        }
    }
}

void cw_node_settle(cw_node_t *node, cw_instant_t now)
{
    if (node->settling) {
        return;
    }
    node->settling = true;
    do {
        update_source(node, now);
        update_leader(node);
        if (node->routes_changed) {
            announce_routes(node, now);
        }
        deliver_local(node, now);
        update_source(node, now);
    } while (node->routes_changed || node->local_first != NULL);
    node->settling = false;
}

void cw_node_receive(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now)
{
    dispatch(node, envelope, now);
    cw_node_settle(node, now);
}

static void report_load(void *context, const Cw__RangeLoad *load)
{
    cw_node_t *node = context;

    cw_agent_report_load(node->agent, load);
}

void cw_node_tick(cw_node_t *node, cw_instant_t now)
{
    cw_node_bootstrap_tick(node, now);
    cw_node_operator_tick(node, now);
    cw_node_recover_tick(node, now);
    cw_relay_tick(node->relay, now);
    if (now.monotonic_us >= node->next_load_report) {
        node->next_load_report = now.monotonic_us + LOAD_REPORT_INTERVAL_US;
        cw_forwarder_each_load(node->forwarder, report_load, node, now);
    }
    cw_agent_tick(node->agent, now);
    cw_gateway_tick(node->gateway, now);
    cw_forwarder_tick(node->forwarder, now);
    cw_journal_tick(node->journal, now);
    if (node->control != NULL) {
        cw_control_tick(node->control, now);
    }
    cw_node_settle(node, now);
}

cw_time_us_t cw_node_next_tick(const cw_node_t *node)
{
    cw_time_us_t next = node->next_load_report;

    next = cw_node_earlier(next, cw_relay_next_tick(node->relay));
    next = cw_node_earlier(next, cw_agent_next_tick(node->agent));
    next = cw_node_earlier(next, cw_gateway_next_tick(node->gateway));
    next = cw_node_earlier(next, cw_forwarder_next_tick(node->forwarder));
    if (node->control != NULL) {
        next = cw_node_earlier(next, cw_control_next_tick(node->control));
    }
    if (node->operator_waits != NULL) {
        next = cw_node_earlier(next, node->operator_waits->deadline);
    }
    next = cw_node_earlier(next, cw_node_recover_next_tick(node));
    return cw_node_earlier(next, node->bootstrap.next_attempt);
}

void cw_node_store_completed(cw_node_t *node, const cw_store_completion_t *completion, cw_instant_t now)
{
    if ((completion->id & CW_NODE_STORE_ID_BIT) != 0) {
        if (!cw_node_recover_store_completed(node, completion, now)) {
            cw_node_bootstrap_store_completed(node, completion, now);
        }
    } else if (node->control != NULL) {
        cw_control_store_completed(node->control, completion, now);
    }
    cw_node_settle(node, now);
}

void cw_node_server_completed(cw_node_t *node, const cw_server_completion_t *completion, cw_instant_t now)
{
    cw_agent_server_completed(node->agent, completion, now);
    cw_node_settle(node, now);
}

void cw_node_server_responded(cw_node_t *node, const cw_server_response_t *response, cw_instant_t now)
{
    cw_node_log_server_response(response);
    cw_forwarder_server_responded(node->forwarder, response, now);
    cw_node_settle(node, now);
}

void cw_node_caller_request(cw_node_t *node, const cw_caller_request_t *request, cw_instant_t now)
{
    cw_gateway_request(node->gateway, request, now);
    cw_node_settle(node, now);
}

void cw_node_caller_cancel(cw_node_t *node, uint64_t caller_id, cw_instant_t now)
{
    cw_gateway_cancel(node->gateway, caller_id, now);
    cw_node_settle(node, now);
}

void cw_node_peer_lost(cw_node_t *node, cw_node_id_t peer, cw_instant_t now)
{
    cw_gateway_node_lost(node->gateway, peer, now);
    cw_node_operator_leader_lost(node, peer);
    cw_node_settle(node, now);
}

void cw_node_machine_listed(cw_node_t *node, const char *name, const char *state, cw_instant_t now)
{
    if (node->control != NULL) {
        cw_control_machine_listed(node->control, name, state, now);
    }
    cw_node_settle(node, now);
}

void cw_node_object_changed(cw_node_t *node, const char *name, uint64_t version, cw_instant_t now)
{
    if (node->control != NULL) {
        cw_control_object_changed(node->control, name, version, now);
    }
    cw_node_settle(node, now);
}

bool cw_node_should_watch_store(const cw_node_t *node)
{
    return node->control != NULL && cw_control_should_watch(node->control);
}

bool cw_node_ready(const cw_node_t *node, cw_instant_t now)
{
    return !node->stopping && cw_relay_in_touch(node->relay, now);
}

typedef struct cw_forwarder_search {
    cw_node_id_t     node;
    cw_incarnation_t incarnation;
    bool             found;
} cw_forwarder_search_t;

static bool is_forwarded_here(void *context, const Cw__ServerInfo *server)
{
    cw_forwarder_search_t *search = context;

    search->found = server->forwarder == search->node && server->forwarder_incarnation == search->incarnation;
    return !search->found;
}

static bool forwards_for_any(const cw_node_t *node)
{
    cw_forwarder_search_t search = {node->self->id, node->self->incarnation, false};

    cw_control_state_each_server(cw_relay_routes(node->relay), is_forwarded_here, &search);
    return search.found;
}

bool cw_node_stop(cw_node_t *node, cw_instant_t now)
{
    bool callers_done;
    bool control_done;

    if (!node->stopping) {
        node->stopping = true;
        cw_agent_set_state(node->agent, CW__NODE_STATE__NODE_LEAVING);
    }
    callers_done = cw_gateway_stop(node->gateway);
    control_done = node->control == NULL || cw_control_leave(node->control, now);
    cw_node_settle(node, now);
    return callers_done && control_done && cw_forwarder_idle(node->forwarder) && !forwards_for_any(node);
}

const cw_relay_t *cw_node_relay(const cw_node_t *node)
{
    return node->relay;
}

const cw_control_t *cw_node_control(const cw_node_t *node)
{
    return node->control;
}
