/**
 * @file router_quota.h
 * @brief Tenants' limits at this node, as its parts see them: messages, and how they are sent and come.
 */
#ifndef CEDARWINCH_ROUTER_ROUTER_QUOTA_H
#define CEDARWINCH_ROUTER_ROUTER_QUOTA_H

#include "router/router_internal.h"
#include "tenancy/quota_counter.h"
#include "tenancy/quota_share.h"

enum { CW_QUOTA_USAGES_MAX = 64 /**< in one datagram; more than a share reports at once */ };

typedef enum cw_quota_message_kind {
    CW_QUOTA_REPORT,
    CW_QUOTA_STATUS,
    CW_QUOTA_ASK,
    CW_QUOTA_GRANT,
    CW_QUOTA_RETURN
} cw_quota_message_kind_t;

/** One message between nodes, or of this node to itself. */
typedef struct cw_quota_message {
    cw_quota_message_kind_t kind;
    uint64_t                incarnation; /**< report */
    uint32_t                sequence;    /**< report, status */
    uint64_t                version;     /**< report: of the sender's configuration */
    bool                    declines;    /**< status: the sender does not count */
    cw_quota_return_t       returned;
    cw_quota_ask_t          ask;
    cw_quota_grant_t        grant;
    size_t                  count; /**< of usages (report), or of metered (status) */
    cw_quota_usage_t        usages[CW_QUOTA_USAGES_MAX];
    uint32_t                metered[CW_QUOTA_USAGES_MAX];
    size_t                  unknown_count;
    uint32_t                unknown[CW_QUOTA_USAGES_MAX];
    size_t                  redirected_count; /**< status: tenants that the sender does not count */
    uint32_t                redirected[CW_QUOTA_USAGES_MAX];
    uint32_t                counters[CW_QUOTA_USAGES_MAX]; /**< for each of them the node that does */
} cw_quota_message_t;

/** Which node counts a tenant, as of one look around. */
typedef struct cw_quota_choice {
    uint32_t       tenant;
    uint32_t       counter;
    cw_time_us_t   chosen_at;
    UT_hash_handle hh;
} cw_quota_choice_t;

struct cw_router_quota {
    cw_router_t           *router;
    cw_quota_share_t      *share;
    cw_quota_counter_t    *counter;
    cw_broker_candidate_t *candidates; /**< that may count */
    cw_broker_candidate_t *able;       /**< as many: those of them that do not keep silent */
    size_t                 candidate_count;
    size_t                 candidate_capacity;
    cw_quota_choice_t     *choices;
    uint64_t               candidates_state; /**< what choices depend on, mixed, and when it changed */
    cw_time_us_t           changed_at;
    cw_time_us_t           gathered_at;
    cw_time_us_t           last_received_at; /**< from any other node */
    uint32_t               nodes;            /**< that share the limits */
    uint32_t               in_reach;         /**< nodes received from lately, this one among them */
    uint64_t               version;          /**< of the configuration whose limits are known */
    uv_timer_t             deliver;
    cw_quota_message_t    *own; /**< of this node to itself */
    size_t                 own_count;
    size_t                 own_capacity;
};

/* ---- router_quota_choice.c ---- */
/** Looks again which nodes may count, and for how many. */
void cw_router_quota_update_nodes(cw_router_quota_t *quota, cw_time_us_t now);
/** Has this process just started, so that it does not know the other nodes yet? */
bool cw_router_quota_is_new(const cw_router_quota_t *quota);
/** Does this node not count for anybody now? */
bool cw_router_quota_declines(const cw_router_quota_t *quota);
/** Address of the node that this one would ask about a tenant now, of those that may count and reply; 0: none. */
uint32_t cw_router_quota_counting_node(cw_router_quota_t *quota, uint32_t tenant);
/** The node that this one would ask if others had not declined a moment ago, as of the last look around: who asks this
 * one is not to wait for that. At less cost: for each tenant that a datagram names. */
uint32_t cw_router_quota_known_choice(cw_router_quota_t *quota, uint32_t tenant);

/* ---- router_quota.c ---- */
/** A message has come. */
void cw_router_quota_deliver(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message);

/* ---- router_quota_wire.c ---- */
void cw_router_quota_wire_init(cw_router_quota_t *quota);
/** What goes to this node itself comes with the next turn of the loop. */
void cw_router_quota_send(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message);

#endif
