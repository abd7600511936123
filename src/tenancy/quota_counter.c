/**
 * @file quota_counter.c
 * @brief Buckets by tenant, and how reports and asks of nodes are applied to them.
 */
#include "tenancy/quota_counter.h"

#include <stdlib.h>

#include "base/memory.h"
#include "tenancy/quota_bucket.h"

enum {
    STALLED_MS = 400, /* a pause of this length between two ticks means that this node was frozen, and another node may
                         have counted meanwhile */
    FORGET_INTERVAL_MS = 1000
};

/* Fraction of all nodes: if this many are reached, the whole limit is given out, since the equal parts of the remaining
 * nodes are within the overshoot */
static const double full_share_reach = 0.895;

struct cw_quota_counter {
    cw_quota_settings_t settings;
    cw_quota_bucket_t  *buckets; /* one for each tenant with a limit */
    uint64_t            version; /* of the configuration in force */
    uint32_t            nodes;
    uint32_t            reachable;
    cw_time_us_t        ticked_at;
    cw_time_us_t        forgotten_at;
};

cw_quota_counter_t *cw_quota_counter_create(const cw_quota_settings_t *settings)
{
    cw_quota_counter_t *counter = cw_memory_zeroed(sizeof(*counter));

    counter->settings = *settings;
    counter->nodes = 1;
    counter->reachable = 1;
    return counter;
}

static void free_buckets(cw_quota_bucket_t *buckets)
{
    cw_quota_bucket_t *bucket;
    cw_quota_bucket_t *next;

    HASH_ITER(hh, buckets, bucket, next)
    {
        cw_quota_bucket_reset(bucket);
        HASH_DEL(buckets, bucket); /* NOLINT(clang-analyzer-core.NullDereference,clang-analyzer-unix.Malloc): it does
                                      not follow uthash's macros */
        free(bucket);
    }
}

void cw_quota_counter_free(cw_quota_counter_t *counter)
{
    free_buckets(counter->buckets);
    free(counter);
}

void cw_quota_counter_set_nodes(cw_quota_counter_t *counter, uint32_t nodes, uint32_t reachable)
{
    counter->nodes = nodes == 0 ? 1 : nodes;
    counter->reachable = reachable == 0 ? 1 : reachable;
}

/* Fraction of the limit that this counter gives out. */
static double share_of(const cw_quota_counter_t *counter)
{
    double share = (double)counter->reachable / counter->nodes;

    return share >= full_share_reach ? 1 : share;
}

static cw_quota_bucket_t *find_bucket(const cw_quota_counter_t *counter, uint32_t tenant)
{
    cw_quota_bucket_t *bucket;

    HASH_FIND(hh, counter->buckets, &tenant, sizeof(tenant), bucket);
    return bucket;
}

/* The tenant's bucket, refilled up to now; NULL: the tenant has no limit. */
static cw_quota_bucket_t *find_and_refill(cw_quota_counter_t *counter, const cw_quota_usage_t *usage, cw_time_us_t now)
{
    cw_quota_bucket_t *bucket = find_bucket(counter, usage->tenant);
    double             share = share_of(counter);

    if (bucket == NULL) {
        return NULL;
    }
    if (!bucket->is_in_use) {
        cw_quota_bucket_start(bucket, share, usage->is_metered, &counter->settings, now);
    }
    cw_quota_bucket_refill(bucket, share, now);
    return bucket;
}

/* ---- limits ---- */

static cw_quota_bucket_t *create_bucket(const cw_quota_tenant_limit_t *tenant_limit)
{
    cw_quota_bucket_t *bucket = cw_memory_zeroed(sizeof(*bucket));

    bucket->tenant = tenant_limit->tenant;
    bucket->limit = tenant_limit->limit;
    return bucket;
}

void cw_quota_counter_set_limits(cw_quota_counter_t *counter, const cw_quota_tenant_limit_t *limits, size_t count,
                                 cw_time_us_t now)
{
    cw_quota_bucket_t *old_buckets = counter->buckets;
    size_t             index;

    counter->buckets = NULL;
    for (index = 0; index < count; index++) {
        cw_quota_bucket_t *bucket;

        if (limits[index].limit.rate_per_s <= 0 || find_bucket(counter, limits[index].tenant) != NULL) {
            continue;
        }
        HASH_FIND(hh, old_buckets, &limits[index].tenant, sizeof(limits[index].tenant), bucket);
        if (bucket == NULL) {
            bucket = create_bucket(&limits[index]);
        } else {
            HASH_DEL(old_buckets, bucket); /* NOLINT(clang-analyzer-unix.Malloc) */
            cw_quota_bucket_set_limit(bucket, &limits[index].limit, share_of(counter), counter->settings.window, now);
        }
        HASH_ADD(hh, counter->buckets, tenant, sizeof(bucket->tenant), bucket);
    }
    free_buckets(old_buckets);
}

void cw_quota_counter_set_version(cw_quota_counter_t *counter, uint64_t version)
{
    counter->version = version;
}

bool cw_quota_counter_is_outdated(const cw_quota_counter_t *counter, uint32_t tenant, uint64_t version)
{
    return version > counter->version && find_bucket(counter, tenant) == NULL;
}

/* ---- reports and asks ---- */

void cw_quota_counter_report(cw_quota_counter_t *counter, uint32_t node, uint64_t incarnation,
                             const cw_quota_usage_t *usages, size_t count, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < count; index++) {
        cw_quota_bucket_t *bucket = find_and_refill(counter, &usages[index], now);

        if (bucket != NULL) {
            cw_quota_bucket_apply_usage(bucket, share_of(counter), node, incarnation, &usages[index], now);
        }
    }
}

cw_quota_grant_t cw_quota_counter_ask(cw_quota_counter_t *counter, uint32_t node, const cw_quota_ask_t *ask,
                                      cw_time_us_t now)
{
    cw_quota_grant_t   reply = {.tenant = ask->usage.tenant, .sequence = ask->sequence, .tokens = ask->wanted};
    cw_quota_bucket_t *bucket = find_and_refill(counter, &ask->usage, now);
    cw_quota_record_t *record;

    if (bucket == NULL) { /* the tenant has no limit here: the asking node has another version of the configuration */
        reply.is_unknown = cw_quota_counter_is_outdated(counter, ask->usage.tenant, ask->version);
        reply.tokens = reply.is_unknown ? 0 : ask->wanted;
        return reply;
    }
    cw_quota_bucket_apply_usage(bucket, share_of(counter), node, ask->incarnation, &ask->usage, now);
    record = cw_quota_bucket_find(bucket, node);
    reply.is_metered = bucket->is_metered;
    reply.record = record->id;
    if (ask->sequence < record->sequence) {
        reply.tokens = 0; /* a later ask has arrived before this one: the node no longer waits for this reply */
        return reply;
    }
    if (ask->sequence > record->sequence) {
        cw_quota_bucket_grant(bucket, share_of(counter), record, ask, now);
    }
    reply.tokens = record->granted;
    reply.retry_after = record->retry_after;
    return reply;
}

void cw_quota_counter_give_back(cw_quota_counter_t *counter, uint32_t node, const cw_quota_return_t *returned,
                                cw_time_us_t now)
{
    cw_quota_bucket_t *bucket = find_bucket(counter, returned->tenant);
    cw_quota_record_t *record = bucket == NULL ? NULL : cw_quota_bucket_find(bucket, node);

    if (record != NULL) {
        cw_quota_bucket_give_back(bucket, share_of(counter), record, returned, now);
    }
}

bool cw_quota_counter_is_metered(cw_quota_counter_t *counter, uint32_t tenant, cw_time_us_t now)
{
    cw_quota_bucket_t *bucket = find_bucket(counter, tenant);

    if (bucket == NULL || !bucket->is_in_use) {
        return false;
    }
    cw_quota_bucket_refill(bucket, share_of(counter), now);
    return bucket->is_metered;
}

/* ---- periodic work ---- */

static void notify_metered(cw_quota_bucket_t *bucket, void (*metered)(void *context, uint32_t node, uint32_t tenant),
                           void              *context)
{
    const cw_quota_record_t *record;

    for (record = bucket->records; bucket->is_notice_due && record != NULL; record = record->hh.next) {
        metered(context, record->node, bucket->tenant);
    }
    bucket->is_notice_due = false;
}

void cw_quota_counter_tick(cw_quota_counter_t *counter, cw_time_us_t                             now,
                           void (*metered)(void *context, uint32_t node, uint32_t tenant), void *context)
{
    bool               has_stalled = counter->ticked_at != 0 && now - counter->ticked_at >= CW_MS(STALLED_MS);
    bool               is_forget_due = now - counter->forgotten_at >= CW_MS(FORGET_INTERVAL_MS);
    cw_quota_bucket_t *bucket;
    cw_quota_bucket_t *next;

    counter->ticked_at = now;
    counter->forgotten_at = is_forget_due ? now : counter->forgotten_at;
    HASH_ITER(hh, counter->buckets, bucket, next)
    {
        if (!bucket->is_in_use) {
            continue;
        }
        notify_metered(bucket, metered, context);
        if (has_stalled) {
            cw_quota_bucket_reset(bucket);
        } else if (is_forget_due) {
            cw_quota_bucket_forget(bucket, counter->settings.window, now);
        }
    }
}

size_t cw_quota_counter_buckets(const cw_quota_counter_t *counter)
{
    const cw_quota_bucket_t *bucket;
    size_t                   count = 0;

    for (bucket = counter->buckets; bucket != NULL; bucket = bucket->hh.next) {
        count += bucket->is_in_use ? 1 : 0;
    }
    return count;
}

size_t cw_quota_counter_records(const cw_quota_counter_t *counter)
{
    const cw_quota_bucket_t *bucket;
    size_t                   count = 0;

    for (bucket = counter->buckets; bucket != NULL; bucket = bucket->hh.next) {
        count += HASH_COUNT(bucket->records);
    }
    return count;
}
