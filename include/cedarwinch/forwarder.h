/**
 * @file forwarder.h
 * @brief Forwarder: the one node that sends to a given server. Keeps its slots full from a queue ordered by deadline
 *        and shared fairly, writes non-repeatable requests to the journal first, and decides outcomes.
 *
 * Ports used: send, server_request, server_cancel.
 */
#ifndef CEDARWINCH_FORWARDER_H
#define CEDARWINCH_FORWARDER_H

#include "cedarwinch/agent.h"
#include "cedarwinch/outcome.h"

typedef struct cw_forwarder cw_forwarder_t;

typedef struct cw_forwarder_options {
    cw_node_id_t     node;
    cw_incarnation_t incarnation;
    int64_t          journal_window_ms;
    int64_t          clock_skew_ms; /**< bound on callers' and nodes' wall clocks */
    int64_t          journal_timeout_us;
    bool             journal_everything; /**< baseline for measurement: journal repeatable requests too */
    bool             unfinished_first;   /**< recover started entries before finished ones */
} cw_forwarder_options_t;

typedef struct cw_forwarder_counters {
    uint64_t requests;
    uint64_t sent;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t replayed; /**< answered from the journal */
    uint64_t journal_messages;
    uint64_t queued;
} cw_forwarder_counters_t;

/** Copies the options and the ports; the agent must outlive the forwarder. CW_ERROR_NO_MEMORY. */
int  cw_forwarder_create(cw_forwarder_t **forwarder, const cw_forwarder_options_t *options, const cw_ports_t *ports,
                         cw_agent_t *agent);
void cw_forwarder_free(cw_forwarder_t *forwarder);
/** Takes forward requests, cancels and journal replies. */
void cw_forwarder_receive(cw_forwarder_t *forwarder, const Cw__Envelope *envelope, cw_instant_t now);
void cw_forwarder_server_responded(cw_forwarder_t *forwarder, const cw_server_response_t *response, cw_instant_t now);
/** New route table: open, seal and close ranges. The table is borrowed until the next call. */
void         cw_forwarder_routes_changed(cw_forwarder_t *forwarder, const cw_control_state_t *routes, cw_instant_t now);
void         cw_forwarder_tick(cw_forwarder_t *forwarder, cw_instant_t now);
cw_time_us_t cw_forwarder_next_tick(const cw_forwarder_t *forwarder);
/** Visits the decayed load of each range this node forwards for, with hot keys. */
void cw_forwarder_each_load(cw_forwarder_t *forwarder, void (*visit)(void *context, const Cw__RangeLoad *load),
                            void *context, cw_instant_t now);
/** True when nothing is queued or in flight. */
bool cw_forwarder_idle(const cw_forwarder_t *forwarder);
void cw_forwarder_read_counters(const cw_forwarder_t *forwarder, cw_forwarder_counters_t *counters);

#endif
