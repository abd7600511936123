/**
 * @file engine.h
 * @brief Takes each request of a caller to its one answer: route, server, queue, attempts and time limits.
 *
 * Rules:
 *  - A request that may not be repeated is sent again only if no byte of it has left this process, or if the server
 *    itself said that it did not run it. Each attempt of a caller has an id of its own and goes to one node, so no
 *    other node ever sends the same attempt.
 *  - 503 and 429 promise that the request has not run and never will. A request that was sent, and that the server did
 *    not report as not run, ends with the server's complete answer, with 502 (the answer was broken or lost) or with
 *    504 (its time is over).
 *  - A request is refused as soon as it is clear that its answer would be too late. The refusal says when to retry.
 *  - A request is given up at its time limit at the latest (the limit of the route, or the caller's if that is
 *    shorter), and the answer is sent at once.
 *  - Where callers of tenants authenticate with keys, nothing is sent for a caller whose key is not in force. The key
 *    is not forwarded; the server receives the name of the tenant instead (engine_callers.c).
 *  - Requests wait in the engine, ordered by rank (request_rank.h) and deadline, and not at servers: a server gets no
 *    more requests than it has slots (and a few more for keys that only this server holds).
 */
#ifndef CEDARWINCH_PROXY_ENGINE_H
#define CEDARWINCH_PROXY_ENGINE_H

#include <uv.h>

#include "balance/crossing_cost.h"
#include "balance/server_pool.h"
#include "balance/server_signals.h"
#include "balance/service_paths.h"
#include "balance/slot_broker.h"
#include "model/configuration.h"
#include "model/list_evidence.h"
#include "net/http_listener.h"
#include "net/http_upstream.h"
#include "peer/delegated_request.h"
#include "retry/crash_suspects.h"
#include "retry/shared_budget.h"
#include "tenancy/quota_share.h"

/** Names of the header fields that callers and servers use. */
typedef struct cw_header_names {
    const char *request_id; /**< id of the request; servers echo it */
    const char *deadline;   /**< how long the sender waits for the answer, in milliseconds */
    const char *target;     /**< to a server: id of the server that the request is meant for */
    const char *not_run;    /**< from a server: it did not run the request */
    const char *key;        /**< number of the key that the request is about */
    const char *signature; /**< from a server: shows that the answer is the server's own (run_evidence.h). NULL: servers
                              do not sign */
    const char *instance;  /**< from a server: its id */
    const char *tenant;    /**< to a server: name of the caller's tenant; NULL: the name is not sent */
} cw_header_names_t;

/** Settings of an engine. */
typedef struct cw_engine_settings {
    cw_header_names_t           names;
    cw_server_signals_decoder_t decode_signals; /**< decodes servers' signals in answers; NULL: not decoded */
    cw_choice_settings_t        choice;         /**< how a server is chosen for a request without a key */
    cw_crossing_settings_t      crossing;       /**< cost of sending a request across a region's border */
    cw_budget_settings_t        budget;         /**< retry budget of each service */
    double       keyed_extra_slots;             /**< requests that an owner of keys may have in addition to its slots */
    cw_time_us_t leave_grace;     /**< how long a server that announced leaving still gets requests for its keys, unless
                                       the list in which it did not leave yet gets too old before (list_usable) */
    cw_time_us_t list_usable;     /**< greatest age of the list of servers by which requests are sent */
    cw_time_us_t connect_timeout; /**< for a new connection to a server */
    double repeat_factor; /**< a repeatable request is repeated if no answer has come within this many mean times */
    cw_time_us_t margin;  /**< the final answer is sent this long before the caller's own deadline */
    const char  *credential_scheme; /**< scheme of callers' keys in the "Authorization" field; NULL: Bearer */
    size_t       answer_max;        /**< largest answer of a server, in bytes */
    size_t       queue_max;         /**< limit of the requests that wait for one service */
} cw_engine_settings_t;

/** One range of keys of a service, as the leader has published it. */
typedef struct cw_key_route {
    uint32_t low;        /**< first key of the range */
    uint32_t last;       /**< last key of the range, included */
    char     server[48]; /**< id of the owner */
    uint64_t fence;      /**< fence number of the owner's grant */
    bool     routable;   /**< the owner holds the keys now, so requests may be sent to it */
} cw_key_route_t;

/** Sample of the keys of requests since the last report to the leader. */
typedef struct cw_key_samples {
    uint32_t keys[64];
    uint32_t regions[64];           /**< regions that each of these requests may go to (region_mask.h) */
    bool     any_region_restricted; /**< at least one of these requests is restricted to some regions */
    uint32_t count;                 /**< entries in keys and regions */
    uint32_t seen;                  /**< requests that the sample stands for */
} cw_key_samples_t;

/** Connects the engine to the nodes that count slots (slot_broker.h). Replies are passed to cw_engine_slot_reply, never
 * before the call that sends the request for a slot has returned. */
typedef struct cw_slot_port {
    void *context;
    bool  only_limited; /**< slots are requested only for servers with a rate limit, because there are few nodes */
    /** Address of the node that counts slots of the service's servers in a zone; 0: there is none, and the engine
     * chooses servers by itself. zone NULL: the servers of zones without nodes. */
    uint32_t (*broker_of)(void *context, const char *zone, uint32_t service);
    /** Sends a request for a slot to a broker. */
    void (*ask)(void *context, uint32_t broker, const cw_slot_ask_t *ask);
    /** Returns a slot to its broker, or withdraws the request for it. */
    void (*give_back)(void *context, uint32_t broker, const cw_slot_return_t *returned);
} cw_slot_port_t;

/** Connects the engine to the detection of requests that crash servers. All zeros: there is no detection. */
typedef struct cw_crash_port {
    void                *context;
    cw_crash_suspects_t *suspects; /**< borrowed; NULL: no detection */
    /** Called when a connection to this server ended while a request was in flight, to find out whether the server has
     * ended. */
    void (*on_server_lost)(void *context, const cw_server_t *server);
    /** Called when a server has answered a request that was suspected, so that the other nodes are notified. */
    void (*on_request_cleared)(void *context, uint64_t request);
} cw_crash_port_t;

/** Callbacks through which the node forwards servers' signals to the other nodes. All zeros: nothing is forwarded. */
typedef struct cw_signal_port {
    void *context;
    /** The server has named its rate limit in an answer to this node, or its limit has changed or ended. */
    void (*on_limit_named)(void *context, const cw_server_t *server, cw_limit_change_t change);
    /** The server has announced to this node that it leaves, and no other node had reported that before. */
    void (*on_leaving_announced)(void *context, const cw_server_t *server);
} cw_signal_port_t;

/** A node that takes requests of this one. The object exists while it may be chosen or has requests in flight. */
typedef struct cw_delegate {
    uint32_t              address; /**< IPv4, network byte order */
    uint64_t              incarnation;
    char                  node[64];    /**< name */
    cw_upstream_target_t *connections; /**< to its listener for requests of other nodes */
    uint32_t              in_flight;   /**< requests of this node there */
} cw_delegate_t;

/** Connects the engine to the nodes to which it passes requests while this node reaches no server. All zeros: there are
 * none. */
typedef struct cw_delegation_port {
    void       *context;
    const char *node; /**< name of this node */
    /** Returns a node that takes requests for the service with this hash, other than the one at the address `except`
     * (0: any); NULL: none is known. */
    cw_delegate_t *(*choose)(void *context, uint32_t service, uint32_t except);
    /** No connection to the node was made, or it does not take requests now. */
    void (*failed)(void *context, cw_delegate_t *delegate);
} cw_delegation_port_t;

/** Routes, queues, sends and answers the requests of one node. */
typedef struct cw_engine cw_engine_t;

/** Creates an engine without a configuration; it refuses all requests until cw_engine_set_configuration. */
cw_engine_t *cw_engine_create(uv_loop_t *loop, const cw_engine_settings_t *settings, cw_server_pool_t *pool,
                              cw_upstream_t *upstream);
/** From now on slots are requested through the port; NULL: the engine chooses servers by what this node itself knows.
 */
void cw_engine_set_slots(cw_engine_t *engine, const cw_slot_port_t *port);
/** A broker has replied to a request for a slot. */
void cw_engine_slot_reply(cw_engine_t *engine, const cw_slot_reply_t *reply);
/** Sets the callbacks that forward servers' signals to the other nodes. */
void cw_engine_set_signal_port(cw_engine_t *engine, const cw_signal_port_t *port);
/** Applies the signals of a server's answer, either to this node or to a node that returned the server's slot here.
 * request: id of the request, for the log; NULL: the request of another node. */
void cw_engine_apply_signals(cw_engine_t *engine, cw_server_t *server, const cw_server_signals_t *signals,
                             const char *request);
/** Another node reports the rate limit that a server named at that time; per_s below 0: its limit had ended. */
void cw_engine_apply_reported_limit(cw_engine_t *engine, cw_server_t *server, double per_s, cw_time_us_t made_at);
/** Another node reports that the server incarnation with this hash has announced that it leaves. */
void cw_engine_apply_reported_leave(cw_engine_t *engine, uint32_t server);
/** Sets where the outcome of each contact with a server is recorded; borrowed. */
void cw_engine_set_paths(cw_engine_t *engine, cw_service_paths_t *paths);
/** Requests are passed to other nodes through the port while this node reaches no server. */
void cw_engine_set_delegation(cw_engine_t *engine, const cw_delegation_port_t *port);
/** A request of another node has arrived; `delegated` is what that node states. The texts are taken over. */
void cw_engine_request_delegated(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                                 cw_delegated_request_t *delegated);
/** Answers that this node does not take the request of another node. request: its id, for the log; NULL: none. */
void cw_delegation_decline(cw_http_exchange_t *exchange, const char *request, const char *reason);
/** Number of requests of other nodes that are not answered yet. */
size_t cw_engine_delegated_requests(const cw_engine_t *engine);
/** The paths to the servers of the service with this hash have been lost, or are back: returns the slots that requests
 * hold in vain, gives up calls that were not sent, forgets the faults of servers that the loss explains, and examines
 * the waiting requests again. */
void cw_engine_paths_changed(cw_engine_t *engine, uint32_t service);
/** Requests that crash servers are detected and refused from now on. */
void cw_engine_set_crash_suspects(cw_engine_t *engine, const cw_crash_port_t *port);
/** The tenants' limits are enforced from now on. The share is borrowed. It calls cw_engine_quota_decided, never within
 * a call from the engine, when waiting requests of a tenant can be decided. */
void cw_engine_set_quota(cw_engine_t *engine, cw_quota_share_t *share);
/** Decides the waiting requests of the tenant with this hash, as far as the share can. */
void cw_engine_quota_decided(cw_engine_t *engine, uint32_t tenant);
/** Puts a configuration in force, and rechecks the callers of requests that are at no server. */
void cw_engine_set_configuration(cw_engine_t *engine, cw_configuration_t *configuration);
/** Callers' keys are accepted until this time; after that the evidence that no key was revoked is too old. CW_NEVER:
 * keys are always accepted. */
void cw_engine_trust_keys(cw_engine_t *engine, cw_time_us_t until);
/** The number of reachable nodes is not known yet; many are assumed. */
#define CW_NODES_UNKNOWN UINT32_MAX
/** Sets the number of nodes that share limits, and the number of nodes that are reachable now. */
void cw_engine_set_nodes(cw_engine_t *engine, uint32_t nodes, uint32_t reachable);
/** Replaces the table of a service's key ranges, sorted by key; the ranges are copied. */
void cw_engine_set_table(cw_engine_t *engine, const char *service, const cw_key_route_t *routes, size_t count,
                         uint64_t version);
/** Sets when the tables were last confirmed, and until when they may be used without another heartbeat. */
void cw_engine_set_tables_valid(cw_engine_t *engine, cw_time_us_t confirmed_at, cw_time_us_t until);
/** Sets the evidence of the list of servers, which the node keeps up to date; borrowed. */
void cw_engine_set_list_evidence(cw_engine_t *engine, const cw_list_evidence_t *evidence);
/** Sets whether requests are held back while that list is older than the settings' list_usable. */
void cw_engine_bind_to_list_age(cw_engine_t *engine, bool is_bound);
/** Whether requests may be sent by the list of servers. */
bool cw_engine_list_is_usable(const cw_engine_t *engine, cw_time_us_t now);
/** Slots, servers or tables have changed: the waiting requests are examined again in the next turn of the loop. */
void cw_engine_wake(cw_engine_t *engine);
/** The clock has advanced by more than the loop's timers know (loop_clock.h): restarts the timers of all requests. */
void cw_engine_restart_timers(cw_engine_t *engine);
/** A server has left the pool: closes its connections. */
void cw_engine_forget_server(cw_engine_t *engine, cw_server_t *server);

/** Returns whether a request with this head is rejected with 401, whatever its body is. */
bool cw_engine_rejects_head(const cw_engine_t *engine, const cw_http_inbound_t *head);
/** This node is stopping: all requests, later ones included, are answered by end_by. */
void cw_engine_stop(cw_engine_t *engine, cw_time_us_t end_by);

/** A request of a caller has arrived. */
void cw_engine_request(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
/** The caller has disconnected before its request was answered. */
void cw_engine_caller_disconnected(cw_engine_t *engine, cw_http_exchange_t *exchange);

size_t cw_engine_requests(const cw_engine_t *engine); /**< requests that are not answered yet */
size_t cw_engine_queued(const cw_engine_t *engine);   /**< requests that wait in the queues of all services */

/** Returns whether any service has sampled keys that were not taken yet. */
bool cw_engine_has_samples(const cw_engine_t *engine);
/** Calls `take` for each service with keys sampled since the last call, and clears the samples. */
void cw_engine_take_samples(cw_engine_t *engine,
                            void (*take)(void *context, const char *service, const cw_key_samples_t *samples),
                            void *context);
/** Counts the requests that wait on this node for each owner of keys, and stores the counts in the servers
 * (cw_server_t, own_waiting). */
void cw_engine_count_waiting(cw_engine_t *engine);
/** Calls `visit` for each service that has waiting requests on this node. */
void cw_engine_each_queue(cw_engine_t *engine, void (*visit)(void *context, const char *service, uint32_t queued),
                          void        *context);
/** Calls `visit` for each service that any request was routed to. */
void cw_engine_each_service(cw_engine_t *engine, void (*visit)(void *context, const char *service, uint32_t queued),
                            void        *context);
/** Sets the number of requests that wait for a service at other nodes. */
void cw_engine_set_queued_elsewhere(cw_engine_t *engine, const char *service, uint32_t queued);
/** Mean time of a service's requests at a server, in microseconds. */
cw_time_us_t cw_engine_mean_time(cw_engine_t *engine, const char *service);
/** Cost of sending a request of the service across a region's border, in mean times of its requests; 0: there is one
 * region. */
double cw_engine_crossing_share(cw_engine_t *engine, const char *service);
/** The same as cw_engine_mean_time, by the hash of the service's name. */
cw_time_us_t cw_engine_mean_time_by_hash(const cw_engine_t *engine, uint32_t service);
/** Returns whether requests in flight have changed since the last call, which is a reason to report soon; clears the
 * flag. */
bool cw_engine_take_changed(cw_engine_t *engine);

#endif
