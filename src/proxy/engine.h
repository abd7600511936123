/**
 * @file engine.h
 * @brief From a caller's request to its one answer: route, server, queue, attempts, time limits.
 *
 * Rules:
 *  - A request that may not be repeated is sent again only if no byte of it left this process, or the server itself
 *    said that it did not run it. Each caller's attempt has an id of its own, so no other node ever sends it.
 *  - 503 and 429 promise that the request has not run and never will. What was sent, and not denied by the server,
 *    ends as the server's whole answer, 502 (broken or lost) or 504 (time is over).
 *  - A refusal is given as soon as it is clear that the request would come too late, and says when to come back.
 *  - A request is given up at its time limit at the latest (the route's, or the caller's if that is shorter), and the
 *    answer leaves at once.
 *  - Where tenants' callers are known by keys, nothing is sent for a caller whose key is not in force; the key stays
 *    here, and the server is told the tenant (engine_callers.c).
 *  - Requests wait here, in order of rank (request_rank.h) and deadline, not at servers: a server gets no more than its
 * slots (and, for keys that only it holds, a few more).
 */
#ifndef CEDARWINCH_PROXY_ENGINE_H
#define CEDARWINCH_PROXY_ENGINE_H

#include <uv.h>

#include "balance/crossing_cost.h"
#include "balance/server_pool.h"
#include "balance/server_signals.h"
#include "balance/slot_broker.h"
#include "model/configuration.h"
#include "net/http_listener.h"
#include "net/http_upstream.h"
#include "retry/crash_suspects.h"
#include "retry/shared_budget.h"
#include "tenancy/quota_share.h"

/** Names that callers and servers use in headers. */
typedef struct cw_header_names {
    const char *request_id; /**< echoed by servers */
    const char *deadline;   /**< milliseconds the sender will wait */
    const char *target;     /**< to a server: the id of the one that is meant */
    const char *not_run;    /**< from a server: it did not run the request */
    const char *key;        /**< number of the key */
    const char *signature;  /**< from a server: the answer is its own */
    const char *instance;   /**< from a server: its id */
    const char *tenant;     /**< to a server: name of the caller's tenant; NULL: it is not told */
} cw_header_names_t;

typedef struct cw_engine_settings {
    cw_header_names_t           names;
    cw_server_signals_decoder_t decode_signals; /**< of servers' answers; NULL: what they say is not read */
    cw_choice_settings_t        choice;
    cw_crossing_settings_t      crossing; /**< of a region's border */
    cw_budget_settings_t        budget;
    double                      keyed_extra_slots; /**< requests an owner of keys may have beyond its slots */
    cw_time_us_t leave_grace; /**< so long a server that says that it leaves is sent requests for its keys */
    cw_time_us_t connect_timeout;
    double       silence_factor;    /**< a repeatable request is repeated after so many usual times of silence */
    cw_time_us_t margin;            /**< answers leave this much before the caller's own deadline */
    const char  *credential_scheme; /**< of callers' keys, in "Authorization"; NULL: Bearer */
    size_t       answer_max;
    size_t       queue_max; /**< requests waiting for one service */
} cw_engine_settings_t;

/** Where the keys of a service are, as the leader told it. */
typedef struct cw_key_route {
    uint32_t low;
    uint32_t last;
    char     server[48];
    uint64_t fence;
    bool     routable; /**< the owner holds the keys now */
} cw_key_route_t;

/** Keys of requests since the last report, for the leader. */
typedef struct cw_key_samples {
    uint32_t keys[64];
    uint32_t regions[64];           /**< where each of these requests may go (region_mask.h) */
    bool     any_region_restricted; /**< some of them may not go anywhere */
    uint32_t count;
    uint32_t seen; /**< requests they stand for */
} cw_key_samples_t;

/** The nodes that count slots (slot_broker.h), as the engine reaches them. Replies come by cw_engine_slot_reply, never
 * before the call returns. */
typedef struct cw_slot_port {
    void *context;
    bool  only_limited; /**< slots are asked for only of servers with a rate limit: the nodes are few */
    /** Address of the node that counts for the service's servers in a zone; 0: none, the engine chooses by itself.
     * zone: NULL: of the servers of zones without nodes. */
    uint32_t (*broker_of)(void *context, const char *zone, uint32_t service);
    void (*ask)(void *context, uint32_t broker, const cw_slot_ask_t *ask);
    void (*give_back)(void *context, uint32_t broker, const cw_slot_return_t *returned);
} cw_slot_port_t;

/** Requests that crash servers, as the engine meets them. All zeros: none are looked for. */
typedef struct cw_crash_port {
    void                *context;
    cw_crash_suspects_t *suspects; /**< borrowed */
    /** A connection to this server ended while a request was under way: has the server ended? */
    void (*lost)(void *context, const cw_server_t *server);
    /** A server has answered a request that was suspected. */
    void (*cleared)(void *context, uint64_t request);
} cw_crash_port_t;

/** Who else is to know what servers say of themselves. All zeros: nobody. */
typedef struct cw_signal_port {
    void *context;
    /** The server named its rate limit to this node, or no longer does. */
    void (*on_limit_stated)(void *context, const cw_server_t *server, cw_limit_change_t change);
    /** The server said to this node that it leaves; no node had told of it. */
    void (*on_leave_stated)(void *context, const cw_server_t *server);
} cw_signal_port_t;

typedef struct cw_engine cw_engine_t;

cw_engine_t *cw_engine_create(uv_loop_t *loop, const cw_engine_settings_t *settings, cw_server_pool_t *pool,
                              cw_upstream_t *upstream);
/** Slots are asked for from now on; NULL: the engine chooses servers by what it knows itself. */
void cw_engine_set_slots(cw_engine_t *engine, const cw_slot_port_t *port);
void cw_engine_slot_reply(cw_engine_t *engine, const cw_slot_reply_t *reply);
void cw_engine_set_signal_port(cw_engine_t *engine, const cw_signal_port_t *port);
/** A server said this with an answer, to this node or to one that has given its slot back here. request: the id, for
 * the log; NULL: another node's. */
void cw_engine_note_signals(cw_engine_t *engine, cw_server_t *server, const cw_server_signals_t *signals,
                            const char *request);
/** Another node states what a server named as its limit at that moment; per_s below 0: that it had ended. */
void cw_engine_apply_reported_limit(cw_engine_t *engine, cw_server_t *server, double per_s, cw_time_us_t made_at);
/** Another node states that the incarnation of this hash has said that it leaves. */
void cw_engine_apply_reported_leave(cw_engine_t *engine, uint32_t server);
/** Requests that crash servers are refused from now on. */
void cw_engine_set_crash_suspects(cw_engine_t *engine, const cw_crash_port_t *port);
/** Tenants' limits bind from now on. The share is borrowed; it says by cw_engine_quota_decided, never within a call of
 * the engine, that requests which wait can be decided. */
void cw_engine_set_quota(cw_engine_t *engine, cw_quota_share_t *share);
void cw_engine_quota_decided(cw_engine_t *engine, uint32_t tenant);
void cw_engine_set_configuration(cw_engine_t *engine, cw_configuration_t *configuration);
/** Callers' keys are used until then: the evidence that none was taken away is older after that (CW_NEVER: always). */
void cw_engine_trust_keys(cw_engine_t *engine, cw_time_us_t until);
/** How many nodes are in reach is not known yet: many are assumed. */
#define CW_NODES_UNKNOWN UINT32_MAX
/** Nodes that share limits, and that are in reach now. */
void cw_engine_set_nodes(cw_engine_t *engine, uint32_t nodes, uint32_t in_reach);
void cw_engine_set_table(cw_engine_t *engine, const char *service, const cw_key_route_t *routes, size_t count,
                         uint64_t version);
/** When the tables were last confirmed, and until when they may be used without a fresh heartbeat. */
void cw_engine_set_tables_valid(cw_engine_t *engine, cw_time_us_t confirmed_at, cw_time_us_t until);
/** Slots, servers or tables have changed: looks at what waits. */
void cw_engine_wake(cw_engine_t *engine);
/** The clock has gone on by more than the loop's timers know (loop_clock.h): all requests' timers are set anew. */
void cw_engine_restart_timers(cw_engine_t *engine);
/** A server has left the pool: its connections go. */
void cw_engine_forget_server(cw_engine_t *engine, cw_server_t *server);

/** Is a request with this head rejected (401), whatever its body is? */
bool cw_engine_rejects_head(const cw_engine_t *engine, const cw_http_inbound_t *head);
/** This node stops: all requests are answered by then, also those that are still to come. */
void cw_engine_stop(cw_engine_t *engine, cw_time_us_t end_by);

void cw_engine_request(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
void cw_engine_caller_disconnected(cw_engine_t *engine, cw_http_exchange_t *exchange);

size_t cw_engine_requests(const cw_engine_t *engine); /**< not answered yet */
size_t cw_engine_queued(const cw_engine_t *engine);

bool cw_engine_has_samples(const cw_engine_t *engine);
/** Calls back for each service with keys seen since the last call, and forgets them. */
void cw_engine_take_samples(cw_engine_t *engine,
                            void (*take)(void *context, const char *service, const cw_key_samples_t *samples),
                            void *context);
/** Counts the requests that wait here for each owner of keys (cw_server_t, own_waiting). */
void cw_engine_count_waiting(cw_engine_t *engine);
/** Requests waiting here for a service. */
void cw_engine_each_queue(cw_engine_t *engine, void (*tell)(void *context, const char *service, uint32_t queued),
                          void        *context);
/** All services that requests went to. */
void cw_engine_each_service(cw_engine_t *engine, void (*tell)(void *context, const char *service, uint32_t queued),
                            void        *context);
/** Requests that wait at other nodes for a service. */
void cw_engine_set_queued_elsewhere(cw_engine_t *engine, const char *service, uint32_t queued);
/** Usual time of a request of a service, microseconds. */
cw_time_us_t cw_engine_mean_time(cw_engine_t *engine, const char *service);
/** What a request of the service costs that crosses a region's border, in its usual times; 0: there is one region. */
double cw_engine_crossing_share(cw_engine_t *engine, const char *service);
/** The same by the hash of its name. */
cw_time_us_t cw_engine_mean_time_by_hash(const cw_engine_t *engine, uint32_t service);
/** Set while requests under way changed since it was last cleared: a reason to report soon. */
bool cw_engine_take_changed(cw_engine_t *engine);

#endif
