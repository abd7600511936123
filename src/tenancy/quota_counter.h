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
 *  - A counter that begins (start, another counter lost) starts each bucket from what the nodes report of the last
 *    window, never full.
 *  - It gives out only the share of the limit of the nodes that report to it: another node may be counting for the
 *    others, and nodes that cannot reach it serve their own part.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_COUNTER_H
#define CEDARWINCH_TENANCY_QUOTA_COUNTER_H

#include "tenancy/quota.h"

typedef struct cw_quota_counter cw_quota_counter_t;

/** Answer to an ask for tokens. */
typedef struct cw_quota_grant {
    uint32_t     tokens;      /**< granted, at most as many as were asked for */
    cw_time_us_t retry_after; /**< for the first request that got none: until one will be free */
} cw_quota_grant_t;

cw_quota_counter_t *cw_quota_counter_create(const cw_quota_settings_t *settings);
void                cw_quota_counter_free(cw_quota_counter_t *counter);
/** The limit of a tenant as configured now. */
void cw_quota_counter_set_limit(cw_quota_counter_t *counter, uint32_t tenant, const cw_quota_limit_t *limit,
                                cw_time_us_t now);
/** Nodes that share limits, over all. */
void cw_quota_counter_set_nodes(cw_quota_counter_t *counter, uint32_t nodes);
/** A node counts on this one, and has let this much through. A lower `incarnation`'s counts are kept. */
void             cw_quota_counter_report(cw_quota_counter_t *counter, uint32_t node, uint64_t incarnation,
                                         const cw_quota_usage_t *usages, size_t count, cw_time_us_t now);
cw_quota_grant_t cw_quota_counter_ask(cw_quota_counter_t *counter, uint32_t node, uint32_t tenant, uint32_t wanted,
                                      cw_time_us_t now);
/** Tokens that were not used. */
void cw_quota_counter_give_back(cw_quota_counter_t *counter, uint32_t tenant, uint32_t tokens, cw_time_us_t now);
/** Tenants metered now; returns how many were written. */
size_t cw_quota_counter_metered(cw_quota_counter_t *counter, uint32_t *tenants, size_t capacity, cw_time_us_t now);

#endif
