/**
 * @file gateway.h
 * @brief Gateway: authenticates the caller, applies its tenant's limits, finds the owner, passes the request to the
 *        owner's forwarder, retries where that is safe, and gives the one final answer.
 *
 * Ports used: send, respond. A forwarder on the same node is reached through send as well. Every answer to a request
 * that has an id, given or made, names it in request_id.
 */
#ifndef CEDARWINCH_GATEWAY_H
#define CEDARWINCH_GATEWAY_H

#include "cedarwinch/outcome.h"
#include "cedarwinch/relay.h"

enum { CW_CLOCK_SKEW_DEFAULT_MS = 5000 };

typedef struct cw_gateway cw_gateway_t;

/** A caller's request as the HTTP adapter read it. Strings are borrowed for the call. */
typedef struct cw_caller_request {
    uint64_t     caller_id; /**< the adapter's handle, unique; echoed in respond() */
    const char  *tenant;
    const char  *service;
    const char  *key; /**< percent-decoded */
    size_t       key_length;
    const char  *method;
    const char  *path;       /**< behind the key, starts with "/" or is "" ; with query */
    const char  *token;      /**< bearer token, NULL: none */
    const char  *request_id; /**< NULL: none */
    int64_t      timeout_us; /**< 0: the service's default */
    Cw__Header **headers;    /**< only those that pass to the server */
    size_t       header_count;
    const void  *body;
    size_t       body_length;
} cw_caller_request_t;

typedef struct cw_gateway_options {
    cw_node_id_t     node;
    cw_incarnation_t incarnation;
    uint64_t         seed;
    uint32_t         retry_budget_percent; /**< retries allowed per hundred requests, plus a small floor */
    uint32_t         request_limit;        /**< requests in flight at this gateway */
    int64_t          clock_skew_ms;        /**< bound on how far ahead a request id's time may be; 0: the default */
} cw_gateway_options_t;

typedef struct cw_gateway_counters {
    uint64_t requests;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t in_progress;
    uint64_t retries;
    uint64_t by_reason[CW_REASON_COUNT];
    uint64_t in_flight;
    uint64_t late_responses; /**< dropped: late, foreign or of a former incarnation */
} cw_gateway_counters_t;

/** Copies the options; the ports and the relay must outlive the gateway. CW_ERROR_NO_MEMORY. */
int  cw_gateway_create(cw_gateway_t **gateway, const cw_gateway_options_t *options, const cw_ports_t *ports,
                       cw_relay_t *relay);
void cw_gateway_free(cw_gateway_t *gateway);
/** Takes a request; respond() is called exactly once for it, at the earliest after this returns or within it. */
void cw_gateway_request(cw_gateway_t *gateway, const cw_caller_request_t *request, cw_instant_t now);
/** The caller hung up: cancels; no respond() follows. */
void cw_gateway_cancel(cw_gateway_t *gateway, uint64_t caller_id, cw_instant_t now);
/** Takes forward responses. Late or foreign ones are dropped and counted. */
void cw_gateway_receive(cw_gateway_t *gateway, const Cw__Envelope *envelope, cw_instant_t now);
/** A node was lost (connection cut or known down): requests waiting on it end or are retried. */
void         cw_gateway_node_lost(cw_gateway_t *gateway, cw_node_id_t node, cw_instant_t now);
void         cw_gateway_tick(cw_gateway_t *gateway, cw_instant_t now);
cw_time_us_t cw_gateway_next_tick(const cw_gateway_t *gateway);
/** Planned stop: refuse new requests; true when nothing is in flight. */
bool cw_gateway_stop(cw_gateway_t *gateway);
void cw_gateway_read_counters(const cw_gateway_t *gateway, cw_gateway_counters_t *counters);

#endif
