/**
 * @file gateway_fixture.h
 * @brief A gateway on recording ports, with the routes of two tenants "alpha" and "beta", each with a service "svc" of
 *        one range. "POST /unlock" may not be repeated.
 */
#ifndef CEDARWINCH_TESTS_GATEWAY_FIXTURE_H
#define CEDARWINCH_TESTS_GATEWAY_FIXTURE_H

#include "cedarwinch/gateway.h"

enum {
    FIXTURE_RECORDS = 4096,
    FIXTURE_NODE = 7, /**< forwards at first */
    FIXTURE_NODE_INCARNATION = 70,
    FIXTURE_OTHER_NODE = 8,
    FIXTURE_OTHER_INCARNATION = 80,
    FIXTURE_GATEWAY_INCARNATION = 900,
    FIXTURE_TIMEOUT_US = 1000000
};

#define FIXTURE_TOKEN_ALPHA "token of alpha"
#define FIXTURE_TOKEN_BETA  "token of beta"

/** A forward request that the gateway sent. */
typedef struct cw_fixture_hop {
    uint64_t     id;
    uint64_t     caller_id; /**< the key of a request is its caller id */
    cw_node_id_t to;
    cw_fence_t   fence;
    int64_t      timeout_us;
    bool         repeatable;
    uint8_t      request_id[CW_REQUEST_ID_BYTES];
    uint64_t     gateway_incarnation;
} cw_fixture_hop_t;

/** The answer a caller got. */
typedef struct cw_fixture_answer {
    uint32_t    count;
    Cw__Outcome outcome;
    uint32_t    status;
    cw_reason_t reason;
    uint32_t    retry_after_ms;
    bool        has_id;
    uint8_t     request_id[CW_REQUEST_ID_BYTES];
    uint64_t    body; /**< caller id that the server put into the body, 0: no body */
} cw_fixture_answer_t;

typedef struct cw_gateway_fixture {
    cw_gateway_t       *gateway;
    cw_relay_t         *relay;
    cw_control_state_t *state;
    cw_ports_t          ports;
    cw_instant_t        now;
    uint64_t            beat;
    uint64_t            index;
    Cw__TenantLimits    limits;          /**< of alpha */
    Cw__ForwardRequest *last_request;    /**< copy of the last one sent */
    size_t              subscribe_count; /**< asked for new routes */
    size_t              hop_count;
    size_t              cancel_count;
    uint64_t            last_cancel;
    cw_fixture_hop_t    hops[FIXTURE_RECORDS];
    cw_fixture_answer_t answers[FIXTURE_RECORDS]; /**< by caller id */
} cw_gateway_fixture_t;

cw_gateway_fixture_t *cw_fixture_create(uint32_t request_limit, uint32_t retry_budget_percent);
void                  cw_fixture_free(cw_gateway_fixture_t *fixture);
/** Moves the clock, with a beat of the control group, and ticks. */
void cw_fixture_advance(cw_gateway_fixture_t *fixture, int64_t microseconds);
/** Puts the state of all ranges and the forwarder of all servers. */
void cw_fixture_route(cw_gateway_fixture_t *fixture, Cw__RangeState state, cw_node_id_t forwarder,
                      cw_incarnation_t incarnation);
/** Puts fixture->limits in force for tenant alpha. */
void cw_fixture_limit(cw_gateway_fixture_t *fixture);
/** Another node comes to lead the control group: the relay takes its routes from there. */
void cw_fixture_follow(cw_gateway_fixture_t *fixture, cw_node_id_t leader);
/** A request of tenant alpha with its token; change it, then give it to the gateway. */
cw_caller_request_t cw_fixture_request(uint64_t caller_id, const char *method, const char *path);
void                cw_fixture_send(cw_gateway_fixture_t *fixture, const cw_caller_request_t *request);
/** Answers a hop; the body names the hop's caller. */
void cw_fixture_respond(cw_gateway_fixture_t *fixture, const cw_fixture_hop_t *hop, Cw__Outcome outcome,
                        cw_reason_t reason);
void cw_fixture_respond_as(cw_gateway_fixture_t *fixture, const cw_fixture_hop_t *hop, Cw__Outcome outcome,
                           cw_reason_t reason, cw_incarnation_t gateway_incarnation);
const cw_fixture_hop_t *cw_fixture_last_hop(const cw_gateway_fixture_t *fixture);

#endif
