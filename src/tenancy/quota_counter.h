/**
 * @file quota_counter.h
 * @brief The counting node's side of tenants' limits: it keeps their buckets, decides which tenants are metered, and
 * grants tokens.
 *
 * Rules:
 *  - A report lowers the bucket by what it adds to the known usage. The level may fall below zero (debt); then no token
 *    is granted until the debt is paid. So all nodes together admit in any window at most the limit and what they can
 *    admit within one report interval, before the counting node receives their reports.
 *  - A tenant whose bucket falls below `meter_below` of its depth is metered. It is free again once the level has been
 *    above `free_above` for FREE_AFTER_MS (quota_bucket.c).
 *  - A node that starts to count (after its start, after the loss of another counting node, or after it was frozen
 *    itself) derives the first level of each bucket from what the nodes report of the last window; the bucket is never
 *    full at first. It has a debt at first if the tenant was metered, since another node may still be granting tokens.
 *  - The counting node gives out only the share of the limit that belongs to the nodes it reaches; the others admit
 *    requests from their own parts.
 *  - An ask that arrives twice gets the same tokens, not additional ones.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_COUNTER_H
#define CEDARWINCH_TENANCY_QUOTA_COUNTER_H

#include "tenancy/quota.h"

/** Buckets of all tenants with a limit, on one node. */
typedef struct cw_quota_counter cw_quota_counter_t;

/** A tenant's limit, by the hash of its name. */
typedef struct cw_quota_tenant_limit {
    uint32_t         tenant;
    cw_quota_limit_t limit;
} cw_quota_tenant_limit_t;

/** Creates a counter that has no limits yet and reaches no node but itself. */
cw_quota_counter_t *cw_quota_counter_create(const cw_quota_settings_t *settings);
/** Frees the counter and its buckets. */
void cw_quota_counter_free(cw_quota_counter_t *counter);
/** Sets all limits of the configuration; tenants that are not listed have none. */
void cw_quota_counter_set_limits(cw_quota_counter_t *counter, const cw_quota_tenant_limit_t *limits, size_t count,
                                 cw_time_us_t now);
/** Sets the version of the configuration that these limits are from. */
void cw_quota_counter_set_version(cw_quota_counter_t *counter, uint64_t version);
/** True if another node's configuration has the given version, which is later than this node's, and the tenant has no
 * limit here. That node has a limit for the tenant and then admits its requests from its own part. */
bool cw_quota_counter_is_outdated(const cw_quota_counter_t *counter, uint32_t tenant, uint64_t version);
/** Sets how many nodes share the limits, and how many of them this one reaches, itself included. */
void cw_quota_counter_set_nodes(cw_quota_counter_t *counter, uint32_t nodes, uint32_t reachable);
/** Applies the report of a node that has chosen this one as its counting node. Another incarnation is another process
 * on that node, whose counters start at zero. */
void cw_quota_counter_report(cw_quota_counter_t *counter, uint32_t node, uint64_t incarnation,
                             const cw_quota_usage_t *usages, size_t count, cw_time_us_t now);
/** Answers an ask for tokens, and applies the usage in it. */
cw_quota_grant_t cw_quota_counter_ask(cw_quota_counter_t *counter, uint32_t node, const cw_quota_ask_t *ask,
                                      cw_time_us_t now);
/** Takes back tokens that a node did not use, at most as many as it was granted lately. */
void cw_quota_counter_give_back(cw_quota_counter_t *counter, uint32_t node, const cw_quota_return_t *returned,
                                cw_time_us_t now);
/** True if the tenant has a bucket in use and needs tokens now. */
bool cw_quota_counter_is_metered(cw_quota_counter_t *counter, uint32_t tenant, cw_time_us_t now);
/** Called every few milliseconds. Calls metered for each node that must be notified that a tenant is metered
 * from now on. */
void cw_quota_counter_tick(cw_quota_counter_t *counter, cw_time_us_t                             now,
                           void (*metered)(void *context, uint32_t node, uint32_t tenant), void *context);
/** Number of tenants with a bucket in use. */
size_t cw_quota_counter_buckets(const cw_quota_counter_t *counter);
/** Number of records kept of nodes, over all tenants. */
size_t cw_quota_counter_records(const cw_quota_counter_t *counter);

#endif
