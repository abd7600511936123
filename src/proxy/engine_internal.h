/**
 * @file engine_internal.h
 * @brief State shared by the engine's parts.
 *
 * A request is QUEUED (waits for a slot, an owner or its pause) or SENT (one call is under way); it ends with its
 * answer or when its caller leaves: request_rules.h has the transitions. Before it is queued it may wait for a token of
 * its tenant's limit (engine_quota.c). Its timer is armed for whatever comes first.
 */
#ifndef CEDARWINCH_PROXY_ENGINE_INTERNAL_H
#define CEDARWINCH_PROXY_ENGINE_INTERNAL_H

#include <uthash.h>

#include "balance/fair_turns.h"
#include "proxy/engine.h"
#include "proxy/slot_stages.h"
#include "tenancy/caller_identity.h"
#include "tenancy/request_rank.h"
#include "tenancy/tenant_gate.h"

enum { CW_USUAL_FIRST_MS = 100 /**< time of a service's requests before any was answered */ };

/** What outlives configurations: a route's usual time and its split's balance. */
typedef struct cw_route_state {
    char          *name;
    cw_time_us_t   usual;        /**< moving mean of whole answers' times at servers of usual pace */
    double         answer_bytes; /**< moving mean of whole answers' bodies */
    double        *owed;         /**< for each part of the split: what it is behind its share */
    size_t         owed_count;
    UT_hash_handle hh;
} cw_route_state_t;

typedef struct cw_request cw_request_t;

typedef enum cw_claim_state {
    CW_CLAIM_NONE,
    CW_CLAIM_ASKED,  /**< no reply yet */
    CW_CLAIM_QUEUED, /**< the broker has it in its queue */
    CW_CLAIM_HELD    /**< a slot is granted and not given back */
} cw_claim_state_t;

/** One ask to come: of a broker, and how long the request may wait there (slot_stages.h). */
typedef struct cw_claim_stage {
    uint32_t     broker;
    cw_time_us_t wait;
} cw_claim_stage_t;

/** A request's claim to a slot. */
typedef struct cw_slot_claim {
    cw_claim_state_t    state;
    uint32_t            ticket;
    uint32_t            broker;
    cw_claim_stage_t    stages[CW_SLOT_STAGES_MAX]; /**< made once, before the first ask */
    size_t              stage_count;
    size_t              stage;       /**< the present one */
    cw_time_us_t        wait;        /**< told with the ask */
    uint32_t            server;      /**< hash of the only one that will do; 0: any */
    uint32_t            asks;        /**< sent for this ticket */
    cw_time_us_t        due;         /**< a reply should have come by then */
    cw_time_us_t        free_after;  /**< as it was refused last; 0: not told */
    bool                is_declined; /**< a slot of a server that rests was declined */
    bool                is_direct;   /**< brokers do not reply: the server is chosen here */
    cw_slot_end_t       end;
    bool                has_signals;
    cw_server_signals_t signals; /**< said with the answer */
} cw_slot_claim_t;

/** What lets a request of a tenant with a limit go on. */
typedef enum cw_token_state {
    CW_TOKEN_NONE,    /**< it needs none, or its run has cost it */
    CW_TOKEN_AWAITED, /**< asked for at the node that counts for the tenant */
    CW_TOKEN_HELD
} cw_token_state_t;

/** A node that did not reply is not asked for a while. */
typedef struct cw_silent_broker {
    uint32_t     address;
    cw_time_us_t until;
} cw_silent_broker_t;

enum { CW_SILENT_BROKERS = 8 };

typedef struct cw_service_state {
    char              *name;
    uint32_t           hash; /**< of the name, as between nodes */
    cw_shared_budget_t budget;
    cw_request_t      *queue; /**< by rank, then turn, then deadline */
    size_t             queued;
    uint32_t           queued_elsewhere;
    cw_key_route_t    *table;
    size_t             table_count;
    uint64_t           table_version;
    cw_key_samples_t   samples;
    cw_time_us_t       usual;
    double             bytes; /**< moving mean of bodies, of requests and answers together */
    UT_hash_handle     hh;
} cw_service_state_t;

struct cw_request {
    cw_engine_t            *engine;
    cw_http_exchange_t     *exchange;
    cw_configuration_t     *configuration;
    const cw_route_t       *route;
    cw_route_state_t       *route_state;
    cw_service_state_t     *service;
    cw_caller_t             caller;            /**< its tenant is the configuration's */
    uint64_t                caller_checked_by; /**< version that the caller was held against last */
    uint32_t                rank;              /**< 0 is the most urgent (request_rank.h) */
    uint32_t                tenant_hash;       /**< of the tenant that is accountable for it; 0: none */
    uint64_t                turn;              /**< among the tenants that wait (fair_turns.h) */
    cw_tenant_count_t      *tenant;            /**< NULL: none */
    cw_region_rule_t        regions;           /**< servers there only */
    bool                    is_keyed;          /**< the service is divided by key, and the request names one */
    uint32_t                key;
    const char             *method; /**< this and what follows are the exchange's */
    const char             *target;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    const char             *id;
    cw_time_us_t            arrived;
    cw_time_us_t            deadline;         /**< its final answer leaves by then */
    cw_time_us_t            aim_at;           /**< full worth until then */
    cw_time_us_t            owner_wait_until; /**< it waits for an owner of its key that is not known until then */
    cw_time_us_t            not_before;
    cw_time_us_t            sent_at; /**< of the call under way */
    cw_time_us_t            first_sent_at;
    cw_time_us_t            repeat_at;
    uint32_t                attempts; /**< servers it was sent to */
    bool                    may_have_run;
    bool                    is_queued;
    bool                    is_ended;
    bool                    is_admitted; /**< it was found to be served within its objective */
    cw_server_t            *server;      /**< of the call under way */
    char                    avoid[48];   /**< id of the server that failed it last */
    cw_upstream_call_t     *call;
    cw_slot_claim_t         claim;
    cw_token_state_t        token;
    cw_request_t           *earlier; /**< utlist's names, among those that await a token */
    cw_request_t           *later;
    UT_hash_handle          by_ticket;
    uv_timer_t              timer;
    cw_request_t           *prev; /**< utlist's names, in the queue */
    cw_request_t           *next;
    cw_request_t           *older; /**< of all requests that are not answered */
    cw_request_t           *newer;
};

struct cw_engine {
    uv_loop_t             *loop;
    cw_engine_settings_t   settings;
    cw_server_pool_t      *pool;
    cw_upstream_t         *upstream;
    cw_configuration_t    *configuration;
    cw_tenant_gate_t      *gate;
    cw_fair_turns_t       *turns;
    cw_quota_share_t      *quota;              /**< NULL: tenants' rates bind nobody */
    cw_request_t          *awaiting;           /**< a token, the earliest first */
    cw_http_fields_t       challenge;          /**< of a 401: the scheme that is asked for (RFC 9110, 15.5.2) */
    cw_time_us_t           keys_trusted_until; /**< callers' keys; CW_NEVER: as long as they stand */
    cw_route_state_t      *routes;
    cw_service_state_t    *services;
    cw_time_us_t           tables_confirmed_at;
    cw_time_us_t           tables_valid_until;
    uint32_t               nodes;
    cw_request_t          *open;   /**< not answered yet, the oldest first */
    cw_time_us_t           end_by; /**< all of them are answered by then; 0: this node is not stopping */
    cw_time_us_t           stopping_since;
    size_t                 requests;
    size_t                 queued;
    bool                   changed;
    bool                   dispatching;
    uv_timer_t             wake_timer;
    uv_timer_cb            on_wake;   /**< of wake_timer */
    uv_timer_cb            on_due;    /**< of requests' timers */
    cw_upstream_answered_t on_answer; /**< of calls to servers */
    cw_crash_port_t        crashes;
    cw_signal_port_t       signal_port;
    cw_slot_port_t         slots;
    bool                   has_slots; /**< slots are asked for */
    uint32_t               last_ticket;
    cw_request_t          *by_ticket;
    cw_silent_broker_t     silent_brokers[CW_SILENT_BROKERS];
    size_t                 next_silent;
};

/* ---- engine_state.c ---- */
cw_time_us_t        cw_engine_now(const cw_engine_t *engine);
cw_service_state_t *cw_engine_service(cw_engine_t *engine, const char *name);
/** Entry of a key in a service's table; NULL: none, or the table is too old. */
const cw_key_route_t *cw_engine_owner(const cw_engine_t *engine, const cw_service_state_t *service, uint32_t key);
/** It has asked for a slot, and has no grant yet. */
bool cw_request_waits_for_slot(const cw_request_t *request);
/** Its timer is due at whatever comes first. */
void cw_request_arm(cw_request_t *request);

/* ---- engine_answer.c, before there is a request ---- */
/** An answer to what never became a request. */
typedef struct cw_rejection {
    int                     status;
    const char             *reason;
    const char             *route;         /**< NULL: none */
    const char             *tenant;        /**< NULL: not known */
    double                  retry_after_s; /**< -1: none */
    const cw_http_fields_t *fields;        /**< of the answer; NULL: none */
} cw_rejection_t;
void cw_engine_reject(const cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                      const cw_rejection_t *rejection);

/* ---- engine_admission.c ---- */
/** It needs nothing more to be queued. */
void cw_request_admit(cw_request_t *request);

/* ---- engine_quota.c ---- */
/** False: it waits for a token, or was refused and is answered. */
bool cw_request_take_token(cw_request_t *request);

/* ---- engine_token.c ---- */
/** It no longer waits for a token. */
void cw_request_stop_awaiting(cw_request_t *request);
/** It has run. */
void cw_request_spend_token(cw_request_t *request);
/** It ends: its token, if it has not run, is the next request's; it no longer waits for one. */
void cw_request_return_token(cw_request_t *request);

/* ---- engine_callers.c ---- */
/** Once, when the engine is created. */
void cw_engine_init_callers(cw_engine_t *engine);
/** False: the caller was rejected, and is answered. */
bool cw_engine_admit_caller(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                            const cw_route_t *route, cw_caller_t *caller);
/** Holds a request that is at no server against the configuration in force. False: it was refused. */
bool cw_request_still_admitted(cw_request_t *request);
/** The same for all of them: another configuration has come into force. */
void cw_engine_check_callers(cw_engine_t *engine);
/** Has its caller the same standing in the configuration in force? Changes nothing. */
bool cw_request_caller_stays(const cw_request_t *request);
/** A field of the caller that is for this system, or that the system sets itself: it does not go to servers. */
bool cw_request_hides_field(const cw_request_t *request, const char *name);

/* ---- engine_stop.c ---- */
/** A new request: one that may last longer than what is left of a stop is cut, or (false) is to be refused. */
bool cw_request_fits_stop(cw_request_t *request, cw_time_us_t now);

/* ---- engine_split.c ---- */
/** The service that a request of this route goes to: by the weights of its split, in the request's regions. */
const char *cw_route_choose_part(const cw_request_t *request, const cw_route_t *route);

/* ---- engine_queue.c ---- */
void cw_request_enqueue(cw_request_t *request);
void cw_request_unqueue(cw_request_t *request);
/** The same, since it is sent now: its tenant's turn is over. */
void cw_request_take_turn(cw_request_t *request);
/** When the request's turn would come and its answer be there, as far as can be told; CW_NEVER: unknown. */
cw_time_us_t cw_request_estimate(const cw_request_t *request, cw_time_us_t now);
/** Server that owns its key; NULL: not known, or gone. */
cw_server_t *cw_request_owner(const cw_request_t *request);

/** Requests before it in its service's queue. */
uint32_t cw_request_ahead(const cw_request_t *request);

/* ---- engine_regions.c ---- */
/** Waiting that it is worth not to send the request and its answer across a region's border. */
cw_time_us_t cw_request_crossing_cost(const cw_request_t *request);
void         cw_request_note_answer_bytes(cw_request_t *request, size_t bytes);
/** Is it to wait for a server of this region though others may be free? */
bool cw_request_stays_in_region(const cw_request_t *request, cw_time_us_t now);

/** Best server for a request without a key, by what this node knows itself; NULL: none has a free slot. zones: those
 * that will do; NULL: all. full: there are servers, but none has a slot. */
cw_server_t *cw_request_choose(const cw_request_t *request, const cw_zone_filter_t *zones, cw_time_us_t now,
                               bool *full);

/* ---- engine_placement.c ---- */
/** Sends what can be sent of a service's queue. */
void cw_service_dispatch(cw_engine_t *engine, cw_service_state_t *service);
/** Places a request that is queued, or decides what becomes of it. */
void cw_request_place(cw_request_t *request, cw_time_us_t now);

/* ---- engine_crashes.c ---- */
/** Is the request refused since it crashes servers? How long still: `refused_for`. */
bool cw_request_is_crash_suspect(const cw_request_t *request, cw_time_us_t now, cw_time_us_t *refused_for);
/** May it be sent once more after a server was lost with it? */
bool cw_request_may_repeat_after_crash(const cw_request_t *request);
/** The connection to the server ended without a whole answer to it. */
void cw_request_note_server_lost(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now);
/** A server has answered it. */
void cw_request_note_server_survived(const cw_request_t *request, cw_time_us_t now);

/* ---- engine_claim.c ---- */
/** Asks at the present stage, or at the next whose broker replies; false: there is none. */
bool cw_claim_ask_next(cw_request_t *request, cw_time_us_t now);
/** The same ask once more. */
void cw_claim_ask_again(cw_request_t *request, const cw_server_t *only, cw_time_us_t now);
/** Its broker has refused. */
void cw_claim_forget(cw_request_t *request);
/** Its broker has not replied: it is not asked for a while. */
void cw_claim_note_unresponsive(cw_request_t *request, cw_time_us_t now);
/** Is nobody there to be asked for the zone's slots now? context: the request. */
bool cw_claim_has_no_broker(void *context, const char *zone);
/** Asks for a slot at the owner of its key, at a server with a rate limit, or (NULL) at any server. False: to be placed
 * without. */
bool cw_request_ask_slot(cw_request_t *request, const cw_server_t *only, cw_time_us_t now);
/** Gives its slot back, or withdraws its ask; nothing if it has neither. */
void cw_request_return_slot(cw_request_t *request);

/* ---- engine_holdoff.c ---- */
/** May it be sent to this server without a slot? One with a rate limit takes a token of this node's own part. */
bool cw_request_may_send_unasked(const cw_request_t *request, cw_server_t *server, cw_time_us_t now);
/** As cw_request_choose; what is chosen may be sent to without a slot. */
cw_server_t *cw_request_choose_unasked(const cw_request_t *request, const cw_zone_filter_t *zones, cw_time_us_t now,
                                       bool *full);
/** As cw_request_choose, but a slot is asked for if the server has a rate limit. */
cw_server_t *cw_request_choose_or_ask(cw_request_t *request, cw_time_us_t now, bool *full, bool *asked);
/** All servers that it may go to have a rate limit, or rest. */
bool cw_request_is_held_off(const cw_request_t *request, cw_time_us_t now);
/** The owner of its key has asked this node for a rest. */
bool cw_request_rests(const cw_request_t *request, cw_time_us_t now);
/** So have all servers that it may go to. */
bool cw_request_all_rest(const cw_request_t *request, cw_time_us_t now);
/** It waits for a slot of an owner that rests meanwhile. */
bool cw_request_waits_in_vain(const cw_request_t *request, cw_time_us_t now);
/** Time after which its server, or one of those it may go to, is expected to have room. */
cw_time_us_t cw_request_holdoff(const cw_request_t *request, cw_time_us_t now);

/* ---- engine_slots.c ---- */
/** No reply has come when it was due. */
void cw_request_slot_overdue(cw_request_t *request, cw_time_us_t now);

/* ---- engine_attempt.c ---- */
void cw_request_send(cw_request_t *request, cw_server_t *server);
/** Gives the call under way up; its connection closes. */
void cw_request_abandon(cw_request_t *request);
/** The call under way is over: its slot is given back. */
void cw_request_leave_server(cw_request_t *request);

/* ---- engine_outcome.c ---- */
/** A call has ended; context: the request. */
void cw_request_answered(void *context, const cw_upstream_answer_t *answer);
/** The server has been silent for long: once more, if that may be. */
void cw_request_repeat_after_silence(cw_request_t *request);

/* ---- engine_signals.c ---- */
/** What a server said of itself with its answer. */
void cw_request_note_signals(cw_request_t *request, cw_server_t *server, const cw_upstream_answer_t *answer,
                             cw_time_us_t now);

/* ---- engine_answer.c ---- */
typedef enum cw_refusal {
    CW_REFUSED_LOAD,
    CW_REFUSED_OWNER,
    CW_REFUSED_SERVERS,
    CW_REFUSED_REGIONS, /**< its key's owner lies where it may not go */
    CW_REFUSED_STOPPING,
    CW_REFUSED_KEY_MOVED,    /**< the caller's key is another tenant's now */
    CW_REFUSED_CRASHES,      /**< it crashes the servers that run it */
    CW_REFUSED_SERVER_LIMIT, /**< beyond the rate limit of its server, or of all that it may go to */
    CW_REFUSED_REST /**< its server, or one of those that it may go to while none has room, has asked for rest */
} cw_refusal_t;
/** Not run, and never will: 503 with the time to come back. */
void cw_request_refuse(cw_request_t *request, cw_refusal_t reason);
/** 429: above the limit of its tenant. */
void cw_request_refuse_limit(cw_request_t *request, cw_time_us_t retry_after);
/** 401: its caller's key was taken away. Says nothing of whether the request has run. */
void cw_request_refuse_revoked(cw_request_t *request);
void cw_request_fail_unknown(cw_request_t *request, const char *fault);
void cw_request_fail_late(cw_request_t *request);
void cw_request_relay(cw_request_t *request, const cw_upstream_answer_t *answer);
/** Lets go of everything; the exchange is answered or gone. */
void cw_request_end(cw_request_t *request);

#endif
