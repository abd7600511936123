/**
 * @file quota_share.h
 * @brief A node's part in tenants' limits: which requests go through at once, which need a token, which are refused.
 *
 * Rules:
 *  - A tenant that is free costs a count, and a report each pause in which something was let through.
 *  - One that is metered costs a token, asked for ahead by what lately came; tokens that are not used expire, and go
 *    back to the counting node.
 *  - An ask or a report without a reply is repeated. Then the counting node is in doubt: this node serves its own part
 *    of the limit, an equal one, and for a moment what it lately let through, if that is more. It goes on reporting to
 *    the same node, so that its part is paid there, until that replies or is missed as a peer. Lost datagrams do not
 *    make a second node count.
 *  - One that is not missed and does not reply for two seconds is passed over for a while; the next one counts.
 *  - A node that is asked and would ask another one itself names that one: it is asked then, as long as it replies.
 * Where the two name one another, they do not agree on who is alive: this node serves its own part until they do.
 *  - A refusal is given before anything is sent: it has not run. It names the time after which a token will be free;
 *    each further one a later time.
 *  - A request that was let through and did not run gives its token back to this node, for its next one.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_SHARE_H
#define CEDARWINCH_TENANCY_QUOTA_SHARE_H

#include "tenancy/quota.h"

typedef struct cw_quota_share cw_quota_share_t;

typedef enum cw_quota_answer {
    CW_QUOTA_ADMITTED,
    CW_QUOTA_WAIT,   /**< a token has been asked for: its reply decides */
    CW_QUOTA_REFUSED /**< 429 */
} cw_quota_answer_t;

/** How the share reaches counting nodes. Replies come by the functions below, never before a call returns. */
typedef struct cw_quota_port {
    void *context;
    /** Address of the node that counts for a tenant, among those that cw_quota_share_is_silent does not name; 0: none
     */
    uint32_t (*counter_of)(void *context, uint32_t tenant);
    void (*report)(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count);
    void (*ask)(void *context, uint32_t counter, const cw_quota_ask_t *ask);
    void (*give_back)(void *context, uint32_t counter, const cw_quota_return_t *returned);
    /** Requests of the tenant that wait are to be decided (cw_quota_share_decide). Never called within _enter. */
    void (*decided)(void *context, uint32_t tenant);
    /** For the log. age: since the counting node was last heard about this tenant. */
    void (*mode_changed)(void *context, uint32_t tenant, cw_quota_mode_t mode, uint32_t counter, cw_time_us_t age);
} cw_quota_port_t;

/** address: of this node; incarnation: of this process. */
cw_quota_share_t *cw_quota_share_create(const cw_quota_settings_t *settings, const cw_quota_port_t *port,
                                        uint32_t address, uint64_t incarnation);
void              cw_quota_share_free(cw_quota_share_t *share);
/** Nodes that share limits, over all. */
void cw_quota_share_set_nodes(cw_quota_share_t *share, uint32_t nodes);
/** A request comes. retry_after: with CW_QUOTA_REFUSED. */
cw_quota_answer_t cw_quota_share_enter(cw_quota_share_t *share, uint32_t tenant, const cw_quota_limit_t *limit,
                                       cw_time_us_t now, cw_time_us_t *retry_after);
/** The same for one that waits. */
cw_quota_answer_t cw_quota_share_decide(cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now,
                                        cw_time_us_t *retry_after);
/** One that waits is given up. */
void cw_quota_share_leave(cw_quota_share_t *share, uint32_t tenant);
/** A request that was let through was not run. */
void cw_quota_share_give_back(cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now);

/** A counting node's reply to a report, or its notice. */
void cw_quota_share_status(cw_quota_share_t *share, uint32_t counter, const cw_quota_status_t *status,
                           cw_time_us_t now);
/** A node that is asked does not count (it has just started, or stops): it is passed over at once. */
void cw_quota_share_declined(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);
void cw_quota_share_granted(cw_quota_share_t *share, uint32_t counter, const cw_quota_grant_t *grant, cw_time_us_t now);
/** To be called every few milliseconds: reports, repeats, expiry. */
void cw_quota_share_tick(cw_quota_share_t *share, cw_time_us_t now);

/** Nodes that have declined a moment ago. Where several do, all have just started: the next ones would all begin to
 * count too, each with a bucket of its own. */
size_t cw_quota_share_declined_count(const cw_quota_share_t *share, cw_time_us_t now);
bool   cw_quota_share_is_silent(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);
/** Is it silent since it said itself that it does not count? Of others nobody knows whether they do. */
bool            cw_quota_share_has_declined(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);
cw_quota_mode_t cw_quota_share_mode(const cw_quota_share_t *share, uint32_t tenant);
/** Since the counting node was last heard about this tenant. */
cw_time_us_t cw_quota_share_message_age(const cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now);
/** Tenants of which something is kept. */
size_t cw_quota_share_tenants(const cw_quota_share_t *share);
/** Counting nodes of which something is kept. */
size_t cw_quota_share_links(const cw_quota_share_t *share);

#endif
