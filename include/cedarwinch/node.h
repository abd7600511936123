/**
 * @file node.h
 * @brief One node: its relay, agent, gateway, forwarder, journal replica and, when chosen, control replica, wired
 *        together. The same code runs in the daemon, in the simulator and in hollow nodes.
 */
#ifndef CEDARWINCH_NODE_H
#define CEDARWINCH_NODE_H

#include "cedarwinch/agent.h"
#include "cedarwinch/control.h"
#include "cedarwinch/forwarder.h"
#include "cedarwinch/gateway.h"
#include "cedarwinch/journal.h"
#include "cedarwinch/relay.h"

typedef struct cw_node cw_node_t;

typedef struct cw_node_options {
    const Cw__NodeInfo        *self;
    const Cw__NodeInfo *const *seeds;
    size_t                     seed_count;
    bool                       bootstrap;    /**< may create the control group (listed first among the seeds) */
    uint32_t                   control_size; /**< voters wanted: 3 or 5 */
    uint64_t                   seed;         /**< of its random numbers */
    cw_time_us_t               heartbeat_us;
    cw_time_us_t               node_silence_us;      /**< heartbeats missing this long: suspected */
    cw_time_us_t               out_of_touch_us;      /**< no new beat this long: refuse new work */
    uint32_t                   clock_drift_ppm;      /**< bound on the rate difference of any two clocks */
    int64_t                    clock_skew_ms;        /**< bound on callers' and nodes' wall clocks */
    int64_t                    journal_window_ms;    /**< request ids stay usable this long */
    bool                       journal_everything;   /**< see cw_forwarder_options_t; for measurement */
    bool                       unfinished_first;     /**< see cw_forwarder_options_t */
    uint32_t                   retry_budget_percent; /**< see cw_gateway_options_t */
    uint32_t                   request_limit;        /**< in flight at the gateway */
    const uint8_t (*administrator_token_sha256)[CW_TOKEN_DIGEST_BYTES];
    size_t administrator_token_count;
} cw_node_options_t;

/** Sets every option that has a default; self and seeds are the caller's. */
void cw_node_options_default(cw_node_options_t *options);
/** Copies self and the ports; seeds and tokens of the options must outlive the node. */
int  cw_node_create(cw_node_t **node, const cw_node_options_t *options, const cw_ports_t *ports, cw_instant_t now);
void cw_node_free(cw_node_t *node);
void cw_node_tick(cw_node_t *node, cw_instant_t now);
cw_time_us_t cw_node_next_tick(const cw_node_t *node);
void         cw_node_receive(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now);
void         cw_node_store_completed(cw_node_t *node, const cw_store_completion_t *completion, cw_instant_t now);
void         cw_node_server_completed(cw_node_t *node, const cw_server_completion_t *completion, cw_instant_t now);
void         cw_node_server_responded(cw_node_t *node, const cw_server_response_t *response, cw_instant_t now);
void         cw_node_caller_request(cw_node_t *node, const cw_caller_request_t *request, cw_instant_t now);
void         cw_node_caller_cancel(cw_node_t *node, uint64_t caller_id, cw_instant_t now);
/** Operator's request read by the HTTP adapter: operation, token, argument. Answered by operator_respond. */
void cw_node_operator_request(cw_node_t *node, uint64_t caller_id, const char *operation, const char *token,
                              const char *file_name, const char *argument, cw_instant_t now);
/** The connection to a peer broke: requests that wait for it are retried or answered at once. */
void cw_node_peer_lost(cw_node_t *node, cw_node_id_t peer, cw_instant_t now);
/** An entry of the platform's machine list; only a control replica uses it. */
void cw_node_machine_listed(cw_node_t *node, const char *name, const char *state, cw_instant_t now);
/** The store has a new version of an object; only a control replica uses it. */
void cw_node_object_changed(cw_node_t *node, const char *name, uint64_t version, cw_instant_t now);
bool cw_node_should_watch_store(const cw_node_t *node);
bool cw_node_ready(const cw_node_t *node, cw_instant_t now); /**< in touch with the control group */
/** Planned stop; call on each tick. True when the process may end. */
bool cw_node_stop(cw_node_t *node, cw_instant_t now);
/** Metrics in the Prometheus text format; free with free(). */
char               *cw_node_metrics(const cw_node_t *node, cw_instant_t now);
const cw_relay_t   *cw_node_relay(const cw_node_t *node);
const cw_control_t *cw_node_control(const cw_node_t *node); /**< NULL: no control replica */

#endif
