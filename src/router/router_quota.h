/**
 * @file router_quota.h
 * @brief Internal state of tenants' limits at a node, shared by router_quota*.c: messages, how they are sent and
 * handled, and which node counts a tenant.
 */
#ifndef CEDARWINCH_ROUTER_ROUTER_QUOTA_H
#define CEDARWINCH_ROUTER_ROUTER_QUOTA_H

#include "router/interim_counter.h"
#include "router/router_internal.h"
#include "tenancy/quota_counter.h"
#include "tenancy/quota_share.h"

enum { CW_QUOTA_USAGES_MAX = 64 /**< in one datagram; cw_quota_share_t reports fewer at once */ };

/** Kinds of messages about tenants' limits. */
typedef enum cw_quota_message_kind {
    CW_QUOTA_REPORT, /**< to a counting node: requests that were admitted */
    CW_QUOTA_STATUS, /**< from a counting node: reply to a report, or a notice that a tenant is metered */
    CW_QUOTA_ASK,    /**< to a counting node: request for tokens */
    CW_QUOTA_GRANT,  /**< from a counting node: tokens */
    CW_QUOTA_RETURN  /**< to a counting node: unused tokens */
} cw_quota_message_kind_t;

/** A message between nodes, or of this node to itself. The kinds that use a field stand before the colon. */
typedef struct cw_quota_message {
    cw_quota_message_kind_t kind;
    uint64_t                incarnation; /**< report */
    uint32_t                sequence;    /**< report, status */
    uint64_t                version;     /**< report: of the sender's configuration */
    bool                    declines;    /**< status: the sender does not count any tenant */
    cw_quota_return_t       returned;
    cw_quota_ask_t          ask;
    cw_quota_grant_t        grant;
    size_t                  count; /**< of `usages` (report), or of `metered` (status) */
    cw_quota_usage_t        usages[CW_QUOTA_USAGES_MAX];
    uint32_t                metered[CW_QUOTA_USAGES_MAX]; /**< status: tenants that are metered */
    size_t                  unknown_count;
    uint32_t unknown[CW_QUOTA_USAGES_MAX]; /**< status: tenants whose limit the sender does not know yet */
    size_t   redirected_count;             /**< status: number of tenants that the sender does not count */
    uint32_t redirected[CW_QUOTA_USAGES_MAX];
    uint32_t counters[CW_QUOTA_USAGES_MAX]; /**< for each of these, the address of the node that counts it; 0: none */
} cw_quota_message_t;

/** Cached choice of the node that counts a tenant. */
typedef struct cw_quota_choice {
    uint32_t       tenant;  /**< hash of its name */
    uint32_t       counter; /**< address of the node; 0: none */
    cw_time_us_t   chosen_at;
    UT_hash_handle hh;
} cw_quota_choice_t;

/** State of tenants' limits at this node. */
struct cw_router_quota {
    cw_router_t           *router;
    cw_quota_share_t      *share;
    cw_quota_counter_t    *counter;
    cw_broker_candidate_t *candidates; /**< nodes that may count */
    /** Scratch array of the same capacity: the candidates that are neither unresponsive nor declining. */
    cw_broker_candidate_t *eligible;
    size_t                 candidate_count;
    size_t                 candidate_capacity;
    cw_quota_choice_t     *choices;
    uint64_t               candidates_fingerprint; /**< hash of all that choices depend on */
    cw_time_us_t           changed_at;             /**< when that hash last changed */
    cw_time_us_t           gathered_at;            /**< last update of the candidates */
    cw_time_us_t           last_received_at;       /**< from any other node */
    cw_interim_counter_t   interim;                /**< as of the latest heartbeat of a leader */
    uint32_t               interim_address;        /**< node that counts all tenants, as of the last update; 0: none */
    uint32_t               nodes;                  /**< number of nodes that share the limits */
    uint32_t               in_reach;               /**< number of reachable nodes, including this one */
    uint64_t               version;                /**< of the configuration whose limits the counter has */
    uv_timer_t             deliver;
    cw_quota_message_t    *self_messages; /**< messages of this node to itself, to be delivered */
    size_t                 self_message_count;
    size_t                 self_message_capacity;
};

/* ---- router_quota_choice.c ---- */
/** Updates which nodes may count, and the number of nodes that share the limits. */
void cw_router_quota_update_nodes(cw_router_quota_t *quota, cw_time_us_t now);
/** Whether this process started so recently that it does not know the other nodes yet. */
bool cw_router_quota_is_new(const cw_router_quota_t *quota);
/** Whether this node does not count any tenant now. */
bool cw_router_quota_declines(const cw_router_quota_t *quota);
/** Address of the node that this one asks about a tenant now, of those that may count and do reply; 0: none. */
uint32_t cw_router_quota_counting_node(cw_router_quota_t *quota, uint32_t tenant);
/** Address of the node that counts a tenant as of the last update of the candidates. Unlike
 * cw_router_quota_counting_node, the function also returns the node while several others have declined recently, so
 * that a node that asks this one need not wait until that is over. The result is cached, since the function is called
 * for each tenant that a datagram names. */
uint32_t cw_router_quota_cached_counter(cw_router_quota_t *quota, uint32_t tenant);

/* ---- router_quota.c ---- */
/** Handles a received message. from: address of the sender. */
void cw_router_quota_deliver(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message);

/* ---- router_quota_wire.c ---- */
/** Sets up the delivery of messages of this node to itself. */
void cw_router_quota_wire_init(cw_router_quota_t *quota);
/** Sends a message. One to this node itself is delivered in the next iteration of the loop. */
void cw_router_quota_send(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message);

#endif
