/**
 * @file quota_counter.h
 * @brief The node that counts for some tenants: their buckets, which are near their limit, and who gets tokens.
 *
 * Rules:
 *  - Reports lower the bucket by what they add; it may fall below zero (debt), and then no token is granted until the
 *    debt is paid. So what is let through over all nodes in any window is at most the limit and what one report pause
 *    lets slip.
 *  - A tenant whose bucket falls below METER_BELOW of its depth is metered, and free again once it has been above
 *    FREE_ABOVE for a while.
 *  - A counter that begins (start, another counter lost, itself frozen) starts each bucket from what the nodes report
 *    of the last window, never full; with a debt if it was metered: another node may
 *    still be granting.
 *  - It gives out only the share of the limit of the nodes that it reaches: others serve their own part.
 *  - An ask that comes twice gets the same tokens, not further ones.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_COUNTER_H
#define CEDARWINCH_TENANCY_QUOTA_COUNTER_H

#include "tenancy/quota.h"

typedef struct cw_quota_counter cw_quota_counter_t;

/** A tenant's limit, by the hash of its name. */
typedef struct cw_quota_tenant_limit {
    uint32_t         tenant;
    cw_quota_limit_t limit;
} cw_quota_tenant_limit_t;

cw_quota_counter_t *cw_quota_counter_create(const cw_quota_settings_t *settings);
void                cw_quota_counter_free(cw_quota_counter_t *counter);
/** All limits as configured now; tenants that are not named have none. */
void cw_quota_counter_set_limits(cw_quota_counter_t *counter, const cw_quota_tenant_limit_t *limits, size_t count,
                                 cw_time_us_t now);
/** Version of the configuration that has these limits. */
void cw_quota_counter_set_version(cw_quota_counter_t *counter, uint64_t version);
/** A node goes by that version of the configuration, which is later than this one's, and has a limit for a tenant that
 * has none here: it serves its own part of it. */
bool cw_quota_counter_is_outdated(const cw_quota_counter_t *counter, uint32_t tenant, uint64_t version);
/** Nodes that share limits, over all, and how many of them this one reaches, itself included. */
void cw_quota_counter_set_nodes(cw_quota_counter_t *counter, uint32_t nodes, uint32_t in_reach);
/** A node counts on this one, and has let this much through. Another incarnation is another process there,
 * whose counts begin anew. */
void             cw_quota_counter_report(cw_quota_counter_t *counter, uint32_t node, uint64_t incarnation,
                                         const cw_quota_usage_t *usages, size_t count, cw_time_us_t now);
cw_quota_grant_t cw_quota_counter_ask(cw_quota_counter_t *counter, uint32_t node, const cw_quota_ask_t *ask,
                                      cw_time_us_t now);
/** Tokens of a node that were not used; no more than it got lately are taken. */
void cw_quota_counter_give_back(cw_quota_counter_t *counter, uint32_t node, const cw_quota_return_t *returned,
                                cw_time_us_t now);
bool cw_quota_counter_is_metered(cw_quota_counter_t *counter, uint32_t tenant, cw_time_us_t now);
/** To be called every few milliseconds. Calls back for each node to tell that a tenant is metered from now on. */
void cw_quota_counter_tick(cw_quota_counter_t *counter, cw_time_us_t                             now,
                           void (*metered)(void *context, uint32_t node, uint32_t tenant), void *context);
/** Tenants with a bucket in use, and what is kept of nodes for them. */
size_t cw_quota_counter_buckets(const cw_quota_counter_t *counter);
size_t cw_quota_counter_records(const cw_quota_counter_t *counter);

#endif
