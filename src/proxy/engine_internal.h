/**
 * @file engine_internal.h
 * @brief State and functions that the engine's source files share.
 *
 * A request is queued (it waits for a slot, an owner of its key or the end of a pause) or sent (one call is under
 * way). It ends with its answer, or when its caller disconnects; request_rules.h has the transitions. Before it is
 * queued it may wait for a token of its tenant's limit (engine_quota.c). Its timer is set to the earliest time at
 * which something is due.
 */
#ifndef CEDARWINCH_PROXY_ENGINE_INTERNAL_H
#define CEDARWINCH_PROXY_ENGINE_INTERNAL_H

#include <uthash.h>

#include "balance/fair_turns.h"
#include "proxy/engine.h"
#include "proxy/run_evidence.h"
#include "proxy/slot_stages.h"
#include "tenancy/caller_identity.h"
#include "tenancy/request_rank.h"
#include "tenancy/tenant_gate.h"

enum { CW_INITIAL_MEAN_TIME_MS = 100 /**< mean time that is assumed before any request was answered */ };

/** State of a route that is kept when the configuration changes: the mean time of its requests and the balance of its
 * split. */
typedef struct cw_route_state {
    char          *name;
    cw_time_us_t   mean_time;    /**< moving mean of the times of complete answers, at a server of normal pace */
    double         answer_bytes; /**< moving mean of the bodies of complete answers, in bytes */
    double        *deficits;     /**< for each part of the split, how far it is behind its share */
    size_t         deficit_count;
    UT_hash_handle hh;
} cw_route_state_t;

/** A request of a caller that is not answered yet. */
typedef struct cw_request cw_request_t;

/** State of a request's claim to a slot. */
typedef enum cw_claim_state {
    CW_CLAIM_NONE,   /**< no slot is requested or held */
    CW_CLAIM_ASKED,  /**< requested, no reply yet */
    CW_CLAIM_QUEUED, /**< the broker has queued the request */
    CW_CLAIM_HELD    /**< a slot is granted and not returned yet */
} cw_claim_state_t;

/** One stage of asking for a slot: a broker, and how long the request may wait there (slot_stages.h). */
typedef struct cw_claim_stage {
    uint32_t     broker;
    cw_time_us_t wait;
} cw_claim_stage_t;

/** A request's claim to a slot. */
typedef struct cw_slot_claim {
    cw_claim_state_t    state;
    uint32_t            ticket;
    uint32_t            broker;
    cw_claim_stage_t    stages[CW_SLOT_STAGES_MAX]; /**< computed before the first broker is asked */
    size_t              stage_count;
    size_t              stage;             /**< index of the present stage */
    cw_time_us_t        wait;              /**< longest wait, as sent to the broker */
    uint32_t            server;            /**< hash of the only acceptable server; 0: any server */
    uint32_t            asks;              /**< messages sent for this ticket */
    cw_time_us_t        due;               /**< time by which a reply is expected */
    cw_time_us_t        free_after;        /**< wait named in the last refusal; 0: none */
    bool                is_declined;       /**< a granted slot of a server at rest was declined */
    bool                is_chosen_locally; /**< brokers do not reply; this node chooses the server */
    cw_slot_end_t       end;               /**< use of the slot, reported when it is returned */
    bool                has_signals;       /**< signals is set */
    cw_server_signals_t signals;           /**< signals in the server's answer */
} cw_slot_claim_t;

/** State of the token that a request needs if its tenant has a rate limit. */
typedef enum cw_token_state {
    CW_TOKEN_NONE,    /**< no token is needed, or the token was spent when the request ran */
    CW_TOKEN_AWAITED, /**< the request waits until the tenant's counting node grants a token */
    CW_TOKEN_HELD     /**< granted and not spent yet */
} cw_token_state_t;

/** An unresponsive broker, and the time until which it is not asked. */
typedef struct cw_unresponsive_broker {
    uint32_t     address;
    cw_time_us_t until;
} cw_unresponsive_broker_t;

/** Number of unresponsive brokers remembered; the oldest entry is overwritten. */
enum { CW_UNRESPONSIVE_BROKERS_MAX = 8 };

/** Passing of a request to another node, or from one. */
typedef struct cw_request_delegation {
    cw_delegate_t *delegate; /**< the node that has the call in flight; NULL: the call, if any, is at a server */
    uint32_t       tries;    /**< nodes that the request was sent to */
    uint32_t       address;  /**< of the last of them; 0: none */
    char           last[64]; /**< name of the last of them; empty: none */
    char          *origin;   /**< name of the node that passed the request to this one; NULL: it is a caller's */
} cw_request_delegation_t;

/** State of a service: its queue, its table of key ranges and its statistics. */
typedef struct cw_service_state {
    char              *name;
    uint32_t           hash; /**< hash of the name, as used in messages between nodes */
    cw_shared_budget_t budget;
    cw_request_t      *queue;            /**< ordered by rank, then turn, then deadline */
    size_t             queued;           /**< length of the queue */
    uint32_t           queued_elsewhere; /**< requests that wait at other nodes */
    cw_key_route_t    *table;            /**< key ranges, sorted by key */
    size_t             table_count;
    uint64_t           table_version;
    cw_key_samples_t   samples;   /**< keys sampled since the last report */
    cw_time_us_t       mean_time; /**< moving mean of the times of complete answers, at a server of normal pace */
    double             bytes;     /**< moving mean of the bytes of the bodies of a request and its answer together */
    UT_hash_handle     hh;
} cw_service_state_t;

struct cw_request {
    cw_engine_t            *engine;
    cw_http_exchange_t     *exchange;
    cw_configuration_t     *configuration;
    const cw_route_t       *route;
    cw_route_state_t       *route_state;
    cw_service_state_t     *service;
    cw_caller_t             caller;                 /**< its tenant belongs to the configuration */
    uint64_t                caller_checked_version; /**< configuration version of the caller's last check */
    uint32_t                rank;                   /**< 0 is the most urgent (request_rank.h) */
    uint32_t                tenant_hash; /**< hash of the tenant that is accountable for the request; 0: none */
    uint64_t                turn;        /**< turn among the waiting tenants (fair_turns.h) */
    cw_tenant_count_t      *tenant;      /**< counters of the accountable tenant; NULL: no tenant */
    cw_region_rule_t        regions;     /**< regions whose servers may get the request */
    bool                    is_keyed;    /**< the service is divided by key, and the request names a key */
    uint32_t                key;
    const char             *method; /**< this field and those up to id are owned by the exchange */
    const char             *target;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    const char             *id;
    cw_time_us_t            arrived;
    cw_time_us_t            deadline;         /**< time by which the final answer is sent */
    cw_time_us_t            objective_at;     /**< end of the latency objective */
    cw_time_us_t            owner_wait_until; /**< end of its wait for an unknown owner of its key */
    cw_time_us_t            not_before;       /**< end of a pause before the next attempt; 0: no pause */
    cw_time_us_t            sent_at;          /**< of the call in flight */
    cw_time_us_t            first_sent_at;    /**< of the first attempt; 0: not sent yet */
    cw_list_evidence_t      sent_by;          /**< evidence of the list by which the last attempt was sent */
    cw_time_us_t            repeat_at;        /**< when to repeat it if no answer has come; CW_NEVER: never */
    cw_time_us_t            silent_at;        /**< when its call counts as a failed contact, if it is not repeated */
    uint32_t                attempts;         /**< attempts so far */
    uint32_t                unreached;        /**< servers to which no connection was made, in a row */
    cw_run_evidence_t       evidence;         /**< of its latest attempt; CW_RUN_NOT_SENT before the first */
    uint64_t                connection;       /**< of its latest attempt, to a server or another node; 0: none */
    bool                    may_have_run;     /**< a server may have run the request, or may be running it */
    bool                    is_queued;
    bool                    is_ended;
    bool                    is_postponed;       /**< its timer waits until the sockets have been read, after a stall */
    bool                    is_admitted;        /**< could not be placed at first, and was not refused */
    bool                    was_read_late;      /**< its objective was over when it was read, after a stall */
    cw_server_t            *server;             /**< of the call in flight */
    char                    avoided_server[48]; /**< id of the server that failed it last; the next attempt avoids it */
    cw_upstream_call_t     *call;
    cw_slot_claim_t         claim;
    cw_request_delegation_t delegation;
    cw_token_state_t        token;
    cw_request_t           *earlier; /**< links of the list of requests that await a token */
    cw_request_t           *later;
    UT_hash_handle          by_ticket;
    uv_timer_t              timer;
    cw_request_t           *prev; /**< links of the service's queue; utlist expects these names */
    cw_request_t           *next;
    cw_request_t           *older; /**< links of the list of all open requests */
    cw_request_t           *newer;
};

struct cw_engine {
    uv_loop_t                *loop;
    cw_engine_settings_t      settings;
    cw_server_pool_t         *pool;
    cw_upstream_t            *upstream;
    cw_configuration_t       *configuration;
    cw_tenant_gate_t         *gate;
    cw_fair_turns_t          *turns;
    cw_quota_share_t         *quota;              /**< NULL: tenants' rates are not enforced */
    cw_request_t             *awaiting_token;     /**< requests that await a token, in order of arrival */
    cw_http_fields_t          challenge;          /**< header field of a 401 that names the scheme (RFC 9110, 15.5.2) */
    cw_time_us_t              keys_trusted_until; /**< callers' keys are accepted until this time; CW_NEVER: always */
    cw_route_state_t         *routes;
    cw_service_state_t       *services;
    cw_time_us_t              tables_confirmed_at; /**< when the tables of key ranges were last confirmed */
    cw_time_us_t              tables_valid_until;  /**< the tables are not used after this time */
    const cw_list_evidence_t *list_evidence;       /**< of the list of servers; NULL: there is none */
    bool                      is_bound_to_list;    /**< requests are held back while that list is too old */
    uint32_t                  nodes;               /**< nodes that share limits */
    cw_request_t             *open;                /**< requests that are not answered yet, in order of arrival */
    cw_time_us_t              end_by; /**< time by which all requests are answered; 0: the node is not stopping */
    cw_time_us_t              stopping_since; /**< when the stop began */
    size_t                    requests;       /**< length of the list of open requests */
    size_t                    queued;         /**< requests in the queues of all services */
    bool                      changed;        /**< requests in flight have changed since the last report */
    bool                      dispatching;    /**< a queue is being dispatched */
    uv_timer_t                wake_timer;     /**< runs once in the next turn of the loop after cw_engine_wake */
    uv_timer_cb               on_wake;        /**< callback of wake_timer */
    uv_timer_cb               on_due;         /**< callback of the requests' timers */
    cw_upstream_answered_t    on_answer;      /**< callback of calls to servers */
    cw_crash_port_t           crashes;
    cw_service_paths_t       *paths; /**< NULL: contacts are not recorded */
    cw_delegation_port_t      delegation;
    size_t                    delegated;    /**< open requests of other nodes */
    cw_upstream_answered_t    on_delegated; /**< callback of calls to other nodes */
    cw_signal_port_t          signal_port;
    cw_slot_port_t            slots;
    bool                      has_slots;   /**< slots are requested from brokers */
    uint32_t                  last_ticket; /**< number of the last request for a slot */
    cw_request_t             *by_ticket;   /**< hash table of the requests that have claims to slots */
    cw_unresponsive_broker_t  unresponsive_brokers[CW_UNRESPONSIVE_BROKERS_MAX];
    size_t                    next_unresponsive; /**< entry of unresponsive_brokers that is overwritten next */
};

/* ---- engine_state.c ---- */
/** Time of the loop. */
cw_time_us_t cw_engine_now(const cw_engine_t *engine);
/** State of the service with this name; created if there is none. */
cw_service_state_t *cw_engine_service(cw_engine_t *engine, const char *name);
/** Entry for a key in a service's table; NULL: there is none, or the table is too old. */
const cw_key_route_t *cw_engine_owner(const cw_engine_t *engine, const cw_service_state_t *service, uint32_t key);
/** Returns whether the request has asked for a slot and has no grant yet. */
bool cw_request_waits_for_slot(const cw_request_t *request);
/** Sets the request's timer to the earliest time at which something is due. */
void cw_request_arm(cw_request_t *request);

/* ---- engine_answer.c, before there is a request ---- */
/** An answer to a message for which no cw_request_t was created. */
typedef struct cw_rejection {
    int                     status;
    const char             *reason;
    const char             *route;         /**< NULL: none */
    const char             *tenant;        /**< NULL: not known */
    double                  retry_after_s; /**< -1: the field is left out */
    const cw_http_fields_t *fields;        /**< further header fields of the answer; NULL: none */
} cw_rejection_t;
/** Logs the rejection and sends its answer. */
void cw_engine_reject(const cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                      const cw_rejection_t *rejection);

/* ---- engine_admission.c ---- */
/** Creates the request of an exchange for a route and one of its services; NULL: it is chosen by the route's split. */
cw_request_t *cw_request_create(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                                const cw_route_t *route, const cw_caller_t *caller, const char *service);
/** Queues a request that needs nothing more, and tries to place it. */
void cw_request_admit(cw_request_t *request);

/* ---- engine_quota.c ---- */
/** Takes a token of the tenant's limit if the request needs one. Returns false if the request waits for a token, or was
 * refused and answered. */
bool cw_request_take_token(cw_request_t *request);

/* ---- engine_token.c ---- */
/** Removes the request from the list of those that await a token. */
void cw_request_stop_awaiting(cw_request_t *request);
/** Spends the token, since the request has run. */
void cw_request_spend_token(cw_request_t *request);
/** Called when the request ends: returns its token, unless it may have run, for the next request; ends its wait for a
 * token. */
void cw_request_return_token(cw_request_t *request);

/* ---- engine_evidence.c ---- */
/** Records what the end of an attempt shows. Once an attempt may have run, the request counts as possibly run until it
 * ends. */
void cw_request_record_evidence(cw_request_t *request, cw_run_evidence_t evidence);
/** What the end of an attempt at a server shows. */
cw_run_evidence_t cw_request_evidence_of(const cw_request_t *request, const cw_server_t *server,
                                         const cw_upstream_answer_t *answer);
/** What an answer shows that another node has passed on as a server's. */
cw_run_evidence_t cw_request_evidence_of_relayed(const cw_request_t *request, const cw_upstream_answer_t *answer);
/** Whether the answer names another server than the one that the request was sent to. */
bool cw_request_names_other_server(const cw_request_t *request, const cw_server_t *server,
                                   const cw_upstream_answer_t *answer);
/** Whether the connection of the request's call may carry further calls after this answer: bytes that belong to no
 * request may follow one that is not the server's own. context: the request. */
bool cw_request_may_keep_connection(void *context, const cw_upstream_answer_t *answer);

/* ---- engine_paths.c ---- */
/** Records the outcome of the request's call to a server as a contact (server_paths.h). */
void cw_request_record_contact(const cw_request_t *request, const cw_upstream_answer_t *answer);
/** Records that the request's call has brought nothing in the time in which an answer was expected. */
void cw_request_record_silence(const cw_request_t *request);
/** Returns whether this node reaches no server of the service with this hash. */
bool cw_engine_has_lost_paths(const cw_engine_t *engine, uint32_t service);
/** Returns whether the request waits until this node knows that it reaches the service: a request of another node is
 * sent to a server only then, since that node may have passed it on because no node reaches one. Asks for a check. */
bool cw_request_waits_for_paths(const cw_request_t *request, cw_time_us_t now);
/** Returns whether this node does not reach a server that answers other nodes. */
bool cw_engine_is_cut_off_from(const cw_engine_t *engine, const cw_server_t *server, cw_time_us_t now);

/* ---- engine_delegation.c ---- */
/** Returns whether the engine passes requests to other nodes at all. */
bool cw_engine_delegates(const cw_engine_t *engine);
/** Passes the request to another node, if one is known and the request may still be passed on. */
bool cw_request_delegate(cw_request_t *request, cw_time_us_t now);
/** Called when a call to another node has ended; context: the request. */
void cw_request_delegated(void *context, const cw_upstream_answer_t *answer);
/** Ends the call in flight at another node without its callback. */
void cw_request_abandon_delegate(cw_request_t *request);

/* ---- engine_delegated.c ---- */
/** Adds how this node has ended a request of another node to the answer. value: buffer that lives until the answer is
 * sent. Does nothing for a caller's request. */
void cw_request_state_outcome(const cw_request_t *request, cw_delegation_outcome_t outcome,
                              cw_http_outbound_t *outbound, char *value, size_t size);
/** Releases what a request of another node holds. */
void cw_request_end_delegated(cw_request_t *request);

/* ---- engine_callers.c ---- */
/** Called once, when the engine is created. */
void cw_engine_init_callers(cw_engine_t *engine);
/** Identifies the caller. Returns false if the caller was rejected or refused, and answered. */
bool cw_engine_admit_caller(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                            const cw_route_t *route, cw_caller_t *caller);
/** Checks the caller of a request that is at no server against the configuration in force. Returns false if the request
 * was refused. */
bool cw_request_recheck_caller(cw_request_t *request);
/** Checks the callers of all requests that are at no server, after another configuration has come into force. */
void cw_engine_check_callers(cw_engine_t *engine);
/** Returns whether nothing has changed for the caller in the configuration in force; changes nothing itself. */
bool cw_request_is_caller_valid(const cw_request_t *request);
/** Returns whether a header field of the caller is not forwarded to servers, because it is meant for this system or set
 * by it. */
bool cw_request_hides_field(const cw_request_t *request, const char *name);

/* ---- engine_stop.c ---- */
/** Called for a new request. If the node is stopping, the deadline is moved to the end of the stop; false: the request
 * must be refused. */
bool cw_request_fits_stop(cw_request_t *request, cw_time_us_t now);

/* ---- engine_split.c ---- */
/** The service that a request of this route goes to: chosen by the weights of the route's split, among services with
 * servers in the request's regions. */
const char *cw_route_choose_part(const cw_request_t *request, const cw_route_t *route);

/* ---- engine_queue.c ---- */
/** Puts the request into its service's queue. */
void cw_request_enqueue(cw_request_t *request);
/** Removes the request from its queue, if it is in it, without serving its tenant's turn. */
void cw_request_unqueue(cw_request_t *request);
/** Removes the request from its queue because it is sent now; its tenant's turn is served. */
void cw_request_take_turn(cw_request_t *request);
/** Estimated time at which the request would be answered; CW_NEVER: not known. */
cw_time_us_t cw_request_estimate(const cw_request_t *request, cw_time_us_t now);
/** Server that owns the request's key; NULL: not known, or ended. */
cw_server_t *cw_request_owner(const cw_request_t *request);

/** Number of requests before this one in its service's queue. */
uint32_t cw_request_count_ahead(const cw_request_t *request);

/* ---- engine_regions.c ---- */
/** Cost of sending the request and its answer across a region's border, as the waiting time that is worth accepting to
 * avoid it. */
cw_time_us_t cw_request_crossing_cost(const cw_request_t *request);
/** Adds an answer's size to the means of the route and the service. */
void cw_request_record_answer_bytes(cw_request_t *request, size_t bytes);
/** Returns whether the request waits for a server of this region although servers elsewhere may be free. */
bool cw_request_stays_in_region(const cw_request_t *request, cw_time_us_t now);

/** Best server for a request without a key, by what this node knows itself; NULL: no server has a free slot. zones:
 * acceptable zones; NULL: all. full: set if there are servers, but none has a free slot. */
cw_server_t *cw_request_choose(const cw_request_t *request, const cw_zone_filter_t *zones, cw_time_us_t now,
                               bool *full);

/* ---- engine_placement.c ---- */
/** Sends the requests in a service's queue that can be sent. */
void cw_service_dispatch(cw_engine_t *engine, cw_service_state_t *service);
/** Sends a queued request, asks for a slot for it, keeps it in the queue, or refuses it. */
void cw_request_place(cw_request_t *request, cw_time_us_t now);

/* ---- engine_crashes.c ---- */
/** Returns whether the request is refused because it crashes servers; if so, refused_for is set to the remaining time.
 */
bool cw_request_is_crash_suspect(const cw_request_t *request, cw_time_us_t now, cw_time_us_t *refused_for);
/** Returns whether the request may be repeated after a server was lost while running it. */
bool cw_request_may_repeat_after_crash(const cw_request_t *request);
/** Records that the connection to the server ended without a complete answer to the request. */
void cw_request_record_server_lost(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now);
/** Records that a server has answered the request, so the request does not crash every server. */
void cw_request_record_server_survived(const cw_request_t *request, cw_time_us_t now);

/* ---- engine_claim.c ---- */
/** Asks for a slot at the present stage, or at the next one whose broker replies; false: no stage is left. */
bool cw_claim_ask_next(cw_request_t *request, cw_time_us_t now);
/** Sends the same request for a slot again. required: the only acceptable server; NULL: any server. */
void cw_claim_ask_again(cw_request_t *request, const cw_server_t *required, cw_time_us_t now);
/** Clears the claim after its broker has refused; nothing is returned. */
void cw_claim_clear(cw_request_t *request);
/** Records that the claim's broker has not replied: it is not asked for a while. */
void cw_claim_mark_broker_unresponsive(cw_request_t *request, cw_time_us_t now);
/** Returns whether no broker can be asked for slots in the zone now; context: the request. */
bool cw_claim_has_no_broker(void *context, const char *zone);
/** Asks for a slot of the required server (the owner of the key, or a server with a rate limit), or (NULL) of any
 * server. Returns false if the request is to be placed without a slot. */
bool cw_request_ask_slot(cw_request_t *request, const cw_server_t *required, cw_time_us_t now);
/** Returns the request's slot, or withdraws its request for one; does nothing if there is neither. */
void cw_request_return_slot(cw_request_t *request);

/* ---- engine_holdoff.c ---- */
/** Returns whether the request may be sent to this server without a slot. If the server has a rate limit, this takes a
 * token of this node's own part of the limit. */
bool cw_request_may_send_without_slot(const cw_request_t *request, cw_server_t *server, cw_time_us_t now);
/** Like cw_request_choose, but the chosen server may be sent to without a slot. */
cw_server_t *cw_request_choose_without_slot(const cw_request_t *request, const cw_zone_filter_t *zones,
                                            cw_time_us_t now, bool *full);
/** Like cw_request_choose, but a slot is requested if the chosen server has a rate limit; asked is set then. */
cw_server_t *cw_request_choose_or_ask(cw_request_t *request, cw_time_us_t now, bool *full, bool *asked);
/** Returns whether every server that the request may go to has a rate limit or has asked for rest. */
bool cw_request_is_held_off(const cw_request_t *request, cw_time_us_t now);
/** Returns whether the owner of the request's key has asked this node for rest. */
bool cw_request_owner_rests(const cw_request_t *request, cw_time_us_t now);
/** Returns whether all servers that the request may go to have asked this node for rest. */
bool cw_request_all_servers_rest(const cw_request_t *request, cw_time_us_t now);
/** Returns whether the request waits for a slot of an owner that has since asked this node for rest. */
bool cw_request_waits_for_resting_owner(const cw_request_t *request, cw_time_us_t now);
/** Time after which the request's server, or one of the servers it may go to, is expected to have room. */
cw_time_us_t cw_request_holdoff(const cw_request_t *request, cw_time_us_t now);

/* ---- engine_slots.c ---- */
/** Called when no reply to a request for a slot has come in time. */
void cw_request_slot_overdue(cw_request_t *request, cw_time_us_t now);

/* ---- engine_wanted.c ---- */
/** Returns whether the request's caller is still connected and its time is not over. Asks the caller's socket. */
bool cw_request_is_wanted(const cw_request_t *request, cw_time_us_t now);
/** Returns whether the request may be written on a connection that has just come up; context: the request. */
bool cw_request_may_be_written(void *context);
/** Ends a request that is not wanted any more and is at no server. */
void cw_request_end_unwanted(cw_request_t *request, cw_time_us_t now);
/** Ends a request whose time is over: refuses it, or answers 504 if it may have run. */
void cw_request_end_at_deadline(cw_request_t *request);
/** Ends a request whose caller has disconnected. */
void cw_request_end_caller_gone(cw_request_t *request);

/* ---- engine_attempt.c ---- */
/** The call that sends the request with this head, which is borrowed, and its body. */
cw_upstream_request_t cw_request_call_with(const cw_request_t *request, const cw_bytes_t *head);
/** Writes the request line and the header fields that are forwarded, without the empty line at the end. */
void cw_request_write_head(const cw_request_t *request, cw_bytes_t *out);
/** Sends the request to the server and starts the timer for its answer. A request that is not wanted any more is ended
 * instead. */
void cw_request_send(cw_request_t *request, cw_server_t *server);
/** Abandons the call in flight and closes its connection. */
void cw_request_abandon(cw_request_t *request);
/** Ends the call in flight and returns its slot. */
void cw_request_leave_server(cw_request_t *request);

/* ---- engine_outcome.c ---- */
/** Puts the request into its queue again, after a pause (0: none), unless its caller is no longer admitted. */
void cw_request_send_again(cw_request_t *request, cw_time_us_t pause);
/** Called when a call to a server has ended; context: the request. */
void cw_request_answered(void *context, const cw_upstream_answer_t *answer);
/** The server has not answered until repeat_at: repeats the request elsewhere if the rules and the budget allow it. */
void cw_request_repeat_unanswered(cw_request_t *request);

/* ---- engine_signals.c ---- */
/** Decodes and applies the signals in a server's answer. */
void cw_request_apply_signals(cw_request_t *request, cw_server_t *server, const cw_upstream_answer_t *answer,
                              cw_time_us_t now);

/* ---- engine_answer.c ---- */
/** Why a request is refused with 503. */
typedef enum cw_refusal {
    CW_REFUSED_LOAD,         /**< no slot in time */
    CW_REFUSED_OWNER,        /**< the owner of its key is not known, or the key is moving */
    CW_REFUSED_SERVERS,      /**< no server */
    CW_REFUSED_REGIONS,      /**< the owner of its key is outside the regions that the request may go to */
    CW_REFUSED_STOPPING,     /**< this node is stopping */
    CW_REFUSED_KEY_MOVED,    /**< the caller's key now belongs to another tenant */
    CW_REFUSED_CRASHES,      /**< the request crashes the servers that run it */
    CW_REFUSED_SERVER_LIMIT, /**< beyond the rate limit of its server, or of all servers that it may go to */
    /** Its server has asked for rest, or no server that it may go to has room and one of them has asked for rest. */
    CW_REFUSED_REST,
    CW_REFUSED_PATHS, /**< this node reaches no server */
    CW_REFUSED_LIST   /**< the list of servers is too old */
} cw_refusal_t;
/** Ends a request that has not run and never will: 503 with the time to retry. A request that may have run ends with
 * 502 instead. */
void cw_request_refuse(cw_request_t *request, cw_refusal_t reason);
/** Ends a request above the limit of its tenant: 429. */
void cw_request_refuse_limit(cw_request_t *request, cw_time_us_t retry_after);
/** Ends a request whose caller's key was revoked: 401. The answer does not say whether the request has run. */
void cw_request_refuse_revoked(cw_request_t *request);
/** Ends a request that may have run: 502. */
void cw_request_fail_unknown(cw_request_t *request, const char *failure);
/** Ends a request whose time is over and that may have run: 504. */
void cw_request_fail_late(cw_request_t *request);
/** Ends a request that another node has refused, with its time to retry. */
void cw_request_refuse_as_delegate(cw_request_t *request, const char *retry_after);
/** Ends a request with the answer of a server, which another node has passed on. fields: of the answer, without those
 * between nodes. server: id of the server. */
void cw_request_relay_delegated(cw_request_t *request, const cw_upstream_answer_t *answer,
                                const cw_http_fields_t *fields, const char *server);
/** Ends a request with a server's answer. */
void cw_request_relay(cw_request_t *request, const cw_upstream_answer_t *answer);
/** Releases all that the request holds. The exchange has been answered or is about to be, or its caller has
 * disconnected. */
void cw_request_end(cw_request_t *request);

#endif
