/**
 * @file engine_internal.h
 * @brief State shared by the engine's parts.
 *
 * A request is QUEUED (waits for a slot, an owner or its pause) or SENT (one call is under way); it ends with its
 * answer or when its caller leaves. Its timer is armed for whatever comes first.
 */
#ifndef CEDARWINCH_PROXY_ENGINE_INTERNAL_H
#define CEDARWINCH_PROXY_ENGINE_INTERNAL_H

#include <uthash.h>

#include "proxy/engine.h"
#include "tenancy/tenant_gate.h"

#define CW_NEVER INT64_MAX

/** What outlives configurations: a route's usual time and its split's balance. */
typedef struct cw_route_state {
    char          *name;
    cw_time_us_t   usual; /**< moving mean of whole answers' times at servers of usual pace */
    double        *owed;  /**< for each part of the split: what it is behind its share */
    size_t         owed_count;
    UT_hash_handle hh;
} cw_route_state_t;

typedef struct cw_request cw_request_t;

typedef struct cw_service_state {
    char              *name;
    cw_shared_budget_t budget;
    cw_request_t      *queue; /**< by priority, then deadline */
    size_t             queued;
    uint32_t           queued_elsewhere;
    cw_key_route_t    *table;
    size_t             table_count;
    uint64_t           table_version;
    cw_key_samples_t   samples;
    cw_time_us_t       usual;
    UT_hash_handle     hh;
} cw_service_state_t;

struct cw_request {
    cw_engine_t            *engine;
    cw_http_exchange_t     *exchange;
    cw_configuration_t     *configuration;
    const cw_route_t       *route;
    cw_route_state_t       *route_state;
    cw_service_state_t     *service;
    cw_tenant_count_t      *tenant;   /**< NULL: none */
    bool                    is_keyed; /**< the service is divided by key, and the request names one */
    uint32_t                key;
    const char             *method; /**< this and what follows are the exchange's */
    const char             *target;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    const char             *id;
    cw_time_us_t            arrived;
    cw_time_us_t            deadline;  /**< its final answer leaves by then */
    cw_time_us_t            aim_at;    /**< full worth until then */
    cw_time_us_t            decide_at; /**< refusals after this are late */
    cw_time_us_t            not_before;
    cw_time_us_t            sent_at; /**< of the call under way */
    cw_time_us_t            first_sent_at;
    cw_time_us_t            repeat_at;
    uint32_t                attempts; /**< servers it was sent to */
    bool                    may_have_run;
    bool                    is_queued;
    bool                    is_ended;
    bool                    decided;
    cw_server_t            *server;    /**< of the call under way */
    char                    avoid[48]; /**< id of the server that failed it last */
    cw_upstream_call_t     *call;
    uv_timer_t              timer;
    cw_request_t           *prev; /**< utlist's names, in the queue */
    cw_request_t           *next;
};

struct cw_engine {
    uv_loop_t           *loop;
    cw_engine_settings_t settings;
    cw_server_pool_t    *pool;
    cw_upstream_t       *upstream;
    cw_configuration_t  *configuration;
    cw_tenant_gate_t    *gate;
    cw_route_state_t    *routes;
    cw_service_state_t  *services;
    cw_time_us_t         tables_confirmed_at;
    cw_time_us_t         tables_valid_until;
    uint32_t             nodes;
    size_t               requests;
    size_t               queued;
    bool                 changed;
    bool                 dispatching;
    uv_timer_t           wake_timer;
};

/* ---- engine.c ---- */
cw_time_us_t        cw_engine_now(const cw_engine_t *engine);
cw_service_state_t *cw_engine_service(cw_engine_t *engine, const char *name);
/** Entry of a key in a service's table; NULL: none, or the table is too old. */
const cw_key_route_t *cw_engine_owner(const cw_engine_t *engine, const cw_service_state_t *service, uint32_t key);

/* ---- engine_queue.c ---- */
void cw_request_enqueue(cw_request_t *request);
void cw_request_unqueue(cw_request_t *request);
/** Sends what can be sent of a service's queue. */
void cw_service_dispatch(cw_engine_t *engine, cw_service_state_t *service);
/** When the request's turn would come and its answer be there, as far as can be told; CW_NEVER: unknown. */
cw_time_us_t cw_request_estimate(const cw_request_t *request, cw_time_us_t now);
void         cw_request_arm(cw_request_t *request);

/* ---- engine_attempt.c ---- */
void cw_request_send(cw_request_t *request, cw_server_t *server);
/** Gives the call under way up; its connection closes. */
void cw_request_abandon(cw_request_t *request);
/** The server has been silent for long: once more, if that may be. */
void cw_request_repeat_after_silence(cw_request_t *request);

/* ---- engine_answer.c ---- */
typedef enum cw_refusal { CW_REFUSED_LOAD, CW_REFUSED_OWNER, CW_REFUSED_SERVERS } cw_refusal_t;
/** Not run, and never will: 503 with the time to come back. */
void cw_request_refuse(cw_request_t *request, cw_refusal_t reason);
void cw_request_fail_unknown(cw_request_t *request, const char *fault);
void cw_request_fail_late(cw_request_t *request);
void cw_request_relay(cw_request_t *request, const cw_upstream_answer_t *answer);
/** Lets go of everything; the exchange is answered or gone. */
void cw_request_end(cw_request_t *request);

#endif
