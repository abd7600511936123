/**
 * @file quota_local.c
 * @brief The local bucket, which holds a node's own part of a limit, and the number of requests admitted in the last
 * window.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "tenancy/quota_share_internal.h"

enum {
    BONUS_MS = 2000, /* after this time another node counts, or this node is cut off from the others */
    /* Longest retry time: after it another node counts, or callers have turned to a node that reaches one */
    MAX_RETRY_AFTER_MS = 1000,
    MIN_RETRY_AFTER_MS = 40
};

/* ---- the last window ---- */

static void advance(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now)
{
    int64_t slot = now * CW_QUOTA_WINDOW_SLOTS / share->settings.window;

    if (slot - recent->slot >= CW_QUOTA_RECENT_SLOTS) {
        memset(recent->slots, 0, sizeof(recent->slots));
        recent->sum = 0;
        recent->slot = slot;
    }
    while (recent->slot < slot) {
        uint32_t *oldest = &recent->slots[++recent->slot % CW_QUOTA_RECENT_SLOTS];

        recent->sum -= *oldest;
        *oldest = 0;
    }
}

void cw_quota_recent_add(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now)
{
    advance(share, recent, now);
    recent->slots[recent->slot % CW_QUOTA_RECENT_SLOTS]++;
    recent->sum++;
}

uint32_t cw_quota_recent_sum(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now)
{
    advance(share, recent, now);
    return recent->sum;
}

uint32_t cw_quota_recent_newest(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now)
{
    advance(share, recent, now);
    return recent->slots[recent->slot % CW_QUOTA_RECENT_SLOTS];
}

double cw_quota_expected_per_report(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    uint32_t recent = cw_quota_recent_sum(share, &tenant->recent, now);

    return recent * (double)CW_MS(CW_QUOTA_REPORT_INTERVAL_MS) / (double)share->settings.window;
}

/* ---- local bucket ---- */

static double local_depth(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant)
{
    return (cw_quota_parts_depth(&tenant->limit) + cw_quota_parts_slack(&share->settings)) / share->nodes;
}

/* Fraction of a token that a node's local bucket holds in addition at first, spread over the nodes by a hash. If the
 * part of a node is less than one request, this lets as many nodes admit one as the parts add up to. */
static double starting_fraction(const cw_quota_share_t *share, uint32_t tenant)
{
    uint32_t hash = (uint32_t)XXH3_64bits_withSeed(&share->address, sizeof(share->address), tenant);

    return (double)hash / ((double)UINT32_MAX + 1);
}

void cw_quota_local_begin(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double recent_per_s = cw_quota_recent_sum(share, &tenant->recent, now) * 1e6 / (double)share->settings.window;

    tenant->local.level = local_depth(share, tenant) + starting_fraction(share, tenant->hash);
    tenant->local.began_level = tenant->local.level;
    tenant->local.bonus_per_s = fmin(recent_per_s, tenant->limit.rate_per_s);
    tenant->local.filled_at = now;
    tenant->local.began_at = now;
}

static double fill_rate_per_s(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double equal = tenant->limit.rate_per_s / share->nodes;

    return now - tenant->local.began_at < CW_MS(BONUS_MS) ? fmax(equal, tenant->local.bonus_per_s) : equal;
}

bool cw_quota_local_take(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now,
                         cw_time_us_t *retry_after)
{
    cw_quota_local_bucket_t *local = &tenant->local;
    double                   rate = fill_rate_per_s(share, tenant, now);
    double                   depth = fmax(1, local_depth(share, tenant));
    cw_time_us_t             delay;

    if (local->filled_at > local->began_at) {
        local->level = fmin(local->level, depth);
    }
    local->level = fmax(local->level, fmin(depth, local->level + rate * (double)(now - local->filled_at) / 1e6));
    local->filled_at = now;
    if (local->level >= 1) {
        local->level -= 1;
        return true;
    }
    delay = (cw_time_us_t)fmin((1 - local->level) / rate * 1e6, (double)CW_MS(MAX_RETRY_AFTER_MS));
    *retry_after = delay < CW_MS(MIN_RETRY_AFTER_MS) ? CW_MS(MIN_RETRY_AFTER_MS) : delay;
    return false;
}

uint32_t cw_quota_local_overdrawn(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    const cw_quota_local_bucket_t *local = &tenant->local;
    double                         equal = tenant->limit.rate_per_s / share->nodes;
    double                         level = local->level + equal * (double)(now - local->filled_at) / 1e6;

    return (uint32_t)fmax(0, round(local->began_level - level));
}
