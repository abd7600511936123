/**
 * @file agent_internal.h
 * @brief Private parts of the agent: servers, ranges, calls under way, pending orders and load reports.
 */
#ifndef CEDARWINCH_AGENT_INTERNAL_H
#define CEDARWINCH_AGENT_INTERNAL_H

#include <uthash.h>

#include "cedarwinch/agent.h"

enum {
    CW_AGENT_PENDING_ORDERS_MAX = 64, /**< orders kept for servers that the routes do not name yet */
    CW_AGENT_LOADS_PER_HEARTBEAT = 4, /**< keeps a heartbeat small */
    CW_AGENT_HOT_KEYS_MAX = 4         /**< hot keys reported for one range */
};

/** One range at a server of this node. */
typedef struct cw_agent_range {
    cw_range_id_t        id;
    cw_server_id_t       server;
    cw_fence_t           fence;    /**< of the last order taken */
    cw_fence_t           routed;   /**< effective fence in the route table; 0.0: not routed here */
    cw_range_readiness_t state;    /**< CW_RANGE_NOT_MINE: no order taken yet */
    bool                 released; /**< revoked, and the server confirmed it */
    UT_hash_handle       hh;
} cw_agent_range_t;

/** One server that this node forwards to. */
typedef struct cw_agent_server {
    cw_server_id_t           id;
    Cw__ServerConfiguration *configuration;
    cw_incarnation_t         incarnation; /**< 0: no reading yet */
    cw_time_us_t             incarnation_since_us;
    int64_t                  clock_us;       /**< newest reading of the server's clock */
    int64_t                  lapse_clock_us; /**< newest reading that showed no live lease; -1: none */
    int64_t                  lease_end_us;
    int64_t                  reported_clock_us;  /**< reading in the last heartbeat */
    cw_time_us_t             call_us;            /**< last read or renewal call sent */
    cw_time_us_t             local_lease_end_us; /**< lease end on this node's clock, never later than the real one */
    uint32_t                 active_requests;
    bool                     reachable;
    bool                     draining;
    uint64_t                 reading_call;      /**< read or renewal call under way; 0: none */
    int64_t                  next_lease_end_us; /**< renewal that came while a call was under way; 0: none */
    UT_hash_handle           hh;
} cw_agent_server_t;

/** One call under way. */
typedef struct cw_agent_call {
    uint64_t              id;
    cw_server_call_kind_t kind;
    cw_server_id_t        server;
    cw_incarnation_t      incarnation;
    cw_time_us_t          sent_us;
    cw_time_us_t          give_up_us;
    cw_range_id_t        *ranges; /**< of a grant or revoke call */
    cw_fence_t           *fences;
    size_t                range_count;
    UT_hash_handle        hh;
} cw_agent_call_t;

/** Order for a server that the route table does not give to this node yet. Exactly one of the two is set. */
typedef struct cw_agent_order {
    Cw__GrantOrder  *grant;
    Cw__RevokeOrder *revoke;
    cw_time_us_t     expires_us;
} cw_agent_order_t;

/** Load of one range and what was reported of it last. */
typedef struct cw_agent_load {
    cw_range_id_t  id;
    double         requests_per_second;
    double         reported;
    cw_time_us_t   reported_us;
    cw_time_us_t   updated_us;
    bool           ever_reported;
    size_t         hot_key_count;
    Cw__KeyLoad    hot_keys[CW_AGENT_HOT_KEYS_MAX];
    UT_hash_handle hh;
} cw_agent_load_t;

struct cw_agent {
    Cw__NodeInfo      *self;
    cw_ports_t         ports;
    cw_time_us_t       heartbeat_us;
    cw_time_us_t       now_us;           /**< of the latest event */
    cw_time_us_t       next_us;          /**< next regular heartbeat */
    cw_time_us_t       last_urgent_us;   /**< last heartbeat sent ahead of its time */
    bool               urgent;           /**< send a heartbeat as soon as allowed */
    cw_node_id_t       leader;           /**< 0: not known */
    cw_node_id_t       told_leader;      /**< last value given to cw_agent_set_leader */
    uint64_t           sequence;         /**< of the last heartbeat */
    uint64_t           replied_sequence; /**< of the last reply taken */
    uint64_t           next_call;
    uint64_t           route_version;
    cw_agent_server_t *servers;
    cw_agent_range_t  *ranges;
    cw_agent_call_t   *calls;
    cw_agent_load_t   *loads;
    cw_agent_order_t   orders[CW_AGENT_PENDING_ORDERS_MAX];
    size_t             order_count;
};

/* agent.c */
void cw_agent_send(cw_agent_t *agent, Cw__Envelope *envelope);

/* agent_server.c: servers and their readings. */
cw_agent_server_t *cw_agent_find_server(const cw_agent_t *agent, cw_server_id_t id);
void               cw_agent_adopt_server(cw_agent_t *agent, cw_server_id_t id, const Cw__ServerConfiguration *source);
void               cw_agent_forget_server(cw_agent_t *agent, cw_agent_server_t *server);
void               cw_agent_read_state(cw_agent_t *agent, cw_agent_server_t *server);
void               cw_agent_renew(cw_agent_t *agent, const Cw__LeaseRenewal *renewal);
/** Takes the answer's state. False when it belongs to another incarnation than the call named. */
bool cw_agent_take_reading(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call,
                           const cw_server_completion_t *completion);
void cw_agent_call_failed(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call, int error);
void cw_agent_reading_call_ended(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call);

/* agent_call.c: calls under way. */
cw_agent_call_t *cw_agent_start_call(cw_agent_t *agent, const cw_agent_server_t *server, cw_server_call_t *call);
void             cw_agent_end_call(cw_agent_t *agent, cw_agent_call_t *call);
void             cw_agent_give_up_calls(cw_agent_t *agent);
/** Is a call of this kind for the range under way that names the fence or a lower one? */
bool cw_agent_range_in_call(const cw_agent_t *agent, cw_server_call_kind_t kind, cw_range_id_t range, cw_fence_t fence);

/* agent_orders.c: grant and revoke orders. */
cw_agent_range_t *cw_agent_find_range(const cw_agent_t *agent, cw_range_id_t id);
cw_agent_range_t *cw_agent_add_range(cw_agent_t *agent, cw_range_id_t id, cw_server_id_t server);
void              cw_agent_remove_range(cw_agent_t *agent, cw_agent_range_t *range);
void              cw_agent_take_grant_order(cw_agent_t *agent, const Cw__GrantOrder *order);
void              cw_agent_take_revoke_order(cw_agent_t *agent, const Cw__RevokeOrder *order);
void              cw_agent_grant_completed(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call,
                                           const cw_server_completion_t *completion, bool lapsed_before);
void              cw_agent_revoke_completed(cw_agent_t *agent, const cw_agent_call_t *call,
                                            const cw_server_completion_t *completion);

/* agent_pending.c: orders that wait for routes. */
void cw_agent_keep_order(cw_agent_t *agent, const Cw__GrantOrder *grant, const Cw__RevokeOrder *revoke);
void cw_agent_replay_orders(cw_agent_t *agent);
void cw_agent_expire_orders(cw_agent_t *agent);
void cw_agent_free_orders(cw_agent_t *agent);

/* agent_routes.c */
void cw_agent_take_routes(cw_agent_t *agent, const cw_control_state_t *routes);

/* agent_heartbeat.c */
void cw_agent_send_heartbeat(cw_agent_t *agent);
void cw_agent_free_loads(cw_agent_t *agent);

/* agent_load.c */
bool cw_agent_load_due(const cw_agent_t *agent, const cw_agent_load_t *load);
void cw_agent_mark_load_reported(cw_agent_t *agent, cw_agent_load_t *load);
void cw_agent_remove_load(cw_agent_t *agent, cw_agent_load_t *load);

#endif
