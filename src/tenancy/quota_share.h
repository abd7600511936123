/**
 * @file quota_share.h
 * @brief A node's side of tenants' limits: it decides which requests are admitted at once, which need a token and which
 * are refused.
 *
 * Rules:
 *  - A request of a free tenant only increments a counter; a report is sent in each report interval in which some were
 *    admitted.
 *  - A request of a metered tenant needs a token. Tokens are requested ahead, according to the recent load; unused
 *    tokens expire and are returned to the counting node.
 *  - An ask or a report without a reply is repeated. After that the counting node is suspect: this node admits requests
 *    from its own part of the limit, which is equal for all nodes, and for a short time at the rate it recently
 *    admitted, if that is higher. It continues to report to the same node, which so deducts these requests from its
 *    bucket, until that node replies or is lost as a peer. So lost datagrams do not make a second node count.
 *  - A node that is not lost as a peer but has not replied for two seconds is skipped for a while, and the next one
 * counts.
 *  - A node that receives an ask and would itself ask another node names that one. This node then asks the named node,
 *    for as long as that node replies. If two nodes name each other, they do not agree on which nodes are alive: this
 * node admits requests from its own part until they do.
 *  - A request is refused before anything of it is sent, so it has not run. The refusal names the time at which a
 *    token will be free; each further refusal names a later time.
 *  - If an admitted request did not run, its token is kept on this node for the next request.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_SHARE_H
#define CEDARWINCH_TENANCY_QUOTA_SHARE_H

#include "tenancy/quota.h"

/** State of one node's admission of tenants with limits. */
typedef struct cw_quota_share cw_quota_share_t;

/** Decision on a request. */
typedef enum cw_quota_answer {
    CW_QUOTA_ADMITTED,
    CW_QUOTA_WAIT,   /**< a token has been requested; the reply decides */
    CW_QUOTA_REFUSED /**< answered with 429 */
} cw_quota_answer_t;

/** How the share sends messages to counting nodes. Replies are delivered through the functions below, never before a
 * call returns. */
typedef struct cw_quota_port {
    void *context;
    /** Address of a tenant's counting node, chosen among nodes for which cw_quota_share_is_skipped is false; 0: none */
    uint32_t (*counter_of)(void *context, uint32_t tenant);
    /** Sends a report of tenants' usage to a counting node. */
    void (*report)(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count);
    /** Sends an ask for tokens. */
    void (*ask)(void *context, uint32_t counter, const cw_quota_ask_t *ask);
    /** Returns unused tokens. */
    void (*give_back)(void *context, uint32_t counter, const cw_quota_return_t *returned);
    /** Waiting requests of the tenant can be decided now (cw_quota_share_decide). Never called within
     * cw_quota_share_enter. */
    void (*decided)(void *context, uint32_t tenant);
    /** For the log. age: time since the counting node last sent something about this tenant. */
    void (*mode_changed)(void *context, uint32_t tenant, cw_quota_mode_t mode, uint32_t counter, cw_time_us_t age);
} cw_quota_port_t;

/** Creates a share without tenants. address: of this node; incarnation: of this process. */
cw_quota_share_t *cw_quota_share_create(const cw_quota_settings_t *settings, const cw_quota_port_t *port,
                                        uint32_t address, uint64_t incarnation);
/** Frees the share and all its state. */
void cw_quota_share_free(cw_quota_share_t *share);
/** Sets how many nodes share the limits. */
void cw_quota_share_set_nodes(cw_quota_share_t *share, uint32_t nodes);
/** Decides on a new request. retry_after: set with CW_QUOTA_REFUSED. */
cw_quota_answer_t cw_quota_share_enter(cw_quota_share_t *share, uint32_t tenant, const cw_quota_limit_t *limit,
                                       cw_time_us_t now, cw_time_us_t *retry_after);
/** Decides on a request that has been waiting. */
cw_quota_answer_t cw_quota_share_decide(cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now,
                                        cw_time_us_t *retry_after);
/** A waiting request has been abandoned. */
void cw_quota_share_leave(cw_quota_share_t *share, uint32_t tenant);
/** An admitted request was not run: its token is kept for the next request. */
void cw_quota_share_give_back(cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now);

/** Handles the reply of a counting node to a report, or its notice. */
void cw_quota_share_status(cw_quota_share_t *share, uint32_t counter, const cw_quota_status_t *status,
                           cw_time_us_t now);
/** A node refuses to count, since it has just started or is stopping: it is skipped at once. */
void cw_quota_share_declined(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);
/** Handles a counting node's reply to an ask. */
void cw_quota_share_granted(cw_quota_share_t *share, uint32_t counter, const cw_quota_grant_t *grant, cw_time_us_t now);
/** Called every few milliseconds: sends reports, repeats messages and lets tokens expire. */
void cw_quota_share_tick(cw_quota_share_t *share, cw_time_us_t now);

/** Number of nodes that have recently refused to count. Several of them mean that all nodes have just started: the
 * next ones in order would all begin to count too, each with a bucket of its own. */
size_t cw_quota_share_declined_count(const cw_quota_share_t *share, cw_time_us_t now);
/** True while a counting node is skipped, either because it is unresponsive or because it refused to count. */
bool cw_quota_share_is_skipped(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);
/** True while a node is skipped because it has itself declined to count. It is unknown whether unresponsive nodes
 * that are skipped count. */
bool cw_quota_share_has_declined(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);
/** Mode of a tenant on this node; CW_QUOTA_FREE if there is no state for it. */
cw_quota_mode_t cw_quota_share_mode(const cw_quota_share_t *share, uint32_t tenant);
/** Time since the counting node last sent something about this tenant. */
cw_time_us_t cw_quota_share_message_age(const cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now);
/** Number of tenants with state on this node. */
size_t cw_quota_share_tenants(const cw_quota_share_t *share);
/** Number of counting nodes with state on this node. */
size_t cw_quota_share_links(const cw_quota_share_t *share);

#endif
