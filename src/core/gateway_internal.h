/**
 * @file gateway_internal.h
 * @brief State of a gateway, shared by its modules:
 *        gateway.c (entry points), gateway_check.c (what is taken in), gateway_request.c (the requests in flight),
 *        gateway_route.c (hand-over and retry), gateway_answer.c (final answers).
 */
#ifndef CEDARWINCH_GATEWAY_INTERNAL_H
#define CEDARWINCH_GATEWAY_INTERNAL_H

#include <uthash.h>

#include "cedarwinch/admission.h"
#include "cedarwinch/gateway.h"
#include "cedarwinch/retry_budget.h"
#include "cedarwinch/timer_heap.h"
#include "cedarwinch/token_bucket.h"

enum { CW_GATEWAY_RETRY_AFTER_MS = 1000 };

/** What a gateway keeps of a tenant. Made at its first authenticated request, so their number is bounded. */
typedef struct cw_gateway_tenant {
    char                 name[CW_NAME_MAX + 1];
    cw_token_bucket_t    rate;
    cw_admission_share_t share;
    cw_retry_budget_t    retries;
    UT_hash_handle       hh;
} cw_gateway_tenant_t;

struct cw_gateway_request;

/** Requests handed over to one node, in the order of hand-over, and whether the node was lost with some. */
typedef struct cw_gateway_node {
    cw_node_id_t               id;
    cw_incarnation_t           lost;     /**< incarnation lost and not heard from since; 0: none */
    cw_time_us_t               probe_us; /**< before this time nothing non-repeatable goes to the lost incarnation */
    struct cw_gateway_request *waiting;
    UT_hash_handle             hh;
} cw_gateway_node_t;

/** One request in flight: handed over to a node, or (node NULL) waiting for its next try. */
typedef struct cw_gateway_request {
    uint64_t                   caller_id;
    UT_hash_handle             by_caller;
    UT_hash_handle             by_hop; /**< key: message.id; only while handed over */
    cw_timer_t                 timer;  /**< end of the deadline while handed over, else the next try */
    cw_time_us_t               deadline_us;
    cw_gateway_tenant_t       *tenant;
    cw_gateway_node_t         *node;
    struct cw_gateway_request *previous; /**< list of the node */
    struct cw_gateway_request *next;
    cw_incarnation_t           forwarder;      /**< incarnation last handed over to */
    cw_incarnation_t           lost_forwarder; /**< incarnation that was lost with this request */
    cw_incarnation_t           avoided;        /**< lost twice: wait until the route names another */
    cw_reason_t                uncertain;      /**< an earlier try may have run, for this reason; NONE: none did */
    uint32_t                   tries;
    uint8_t                    request_id[CW_REQUEST_ID_BYTES];
    Cw__Fence                  fence;
    Cw__ForwardRequest         message; /**< owns nothing: points into content */
    _Alignas(max_align_t) char content[];
} cw_gateway_request_t;

struct cw_gateway {
    cw_gateway_options_t  options;
    const cw_ports_t     *ports;
    cw_relay_t           *relay;
    cw_gateway_tenant_t  *tenants;
    cw_gateway_node_t    *nodes;
    cw_gateway_request_t *by_caller;
    cw_gateway_request_t *by_hop;
    cw_timer_heap_t       timers;
    cw_admission_t        admission;
    cw_gateway_counters_t counters;
    uint64_t              last_hop_id;
    uint64_t              random_state;
    bool                  stopping;
};

/** Why a request was refused or ended, as the caller is told. */
typedef struct cw_gateway_refusal {
    cw_reason_t reason;
    uint32_t    retry_after_ms; /**< 0: the reason's usual one */
} cw_gateway_refusal_t;

/** What the checks found out about a caller's request. */
typedef struct cw_gateway_checked {
    cw_gateway_tenant_t            *tenant;
    const Cw__ServiceConfiguration *service;
    bool                            has_id;
    uint8_t                         request_id[CW_REQUEST_ID_BYTES];
} cw_gateway_checked_t;

/* gateway_check.c */

/** Runs every check on a request; on CW_REASON_NONE it holds a place of its tenant's. */
cw_gateway_refusal_t cw_gateway_check(cw_gateway_t *gateway, const cw_caller_request_t *request,
                                      cw_gateway_checked_t *checked, cw_instant_t now);

/* gateway_request.c */

/** Copies a checked request in one piece of memory and enters it; NULL: no memory. */
cw_gateway_request_t *cw_gateway_request_create(cw_gateway_t *gateway, const cw_caller_request_t *caller,
                                                const cw_gateway_checked_t *checked, cw_instant_t now);
/** Ends a request without an answer and gives its place back. */
void cw_gateway_request_remove(cw_gateway_t *gateway, cw_gateway_request_t *request);
/** The gateway's record of a node; NULL: no memory. */
cw_gateway_node_t *cw_gateway_open_node(cw_gateway_t *gateway, cw_node_id_t id);
/** Notes a hand-over under a new hop id, or its end. */
void cw_gateway_request_attach(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_gateway_node_t *node);
void cw_gateway_request_detach(cw_gateway_t *gateway, cw_gateway_request_t *request);

/* gateway_route.c */

/** Tries to hand a request over by the present route; retries later or ends it where that cannot be done. */
void cw_gateway_hand_over(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now);
/** A node was lost: for a while, nothing non-repeatable is risked on that incarnation of it. */
void cw_gateway_distrust(cw_gateway_node_t *node, cw_incarnation_t incarnation, cw_instant_t now);
/** Sets the next try, if the deadline, the number of tries and the budget allow it. */
bool cw_gateway_retry_later(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now);
/** Tells the forwarder that the answer is no longer wanted. */
void cw_gateway_send_cancel(cw_gateway_t *gateway, const cw_gateway_request_t *request);

/* gateway_answer.c */

/** Refuses a request that was never entered. */
void cw_gateway_refuse(cw_gateway_t *gateway, uint64_t caller_id, const uint8_t *request_id,
                       cw_gateway_refusal_t refusal);
/** Gives the final answer for a reason and removes the request. */
void cw_gateway_end(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_reason_t reason);
/** Passes a forwarder's response on as the final answer and removes the request. */
void cw_gateway_answer(cw_gateway_t *gateway, cw_gateway_request_t *request, const Cw__ForwardResponse *response);

#endif
