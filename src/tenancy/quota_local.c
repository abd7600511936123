/**
 * @file quota_local.c
 * @brief A node's own part of a limit, and what it let through in the last window.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "tenancy/quota_share_internal.h"

enum {
    BONUS_MS = 2000,     /* by then another node counts, or this one is cut off */
    COME_BACK_MS = 1000, /* at most: by then another node counts, or callers have come to one that is in touch */
    COME_BACK_LEAST_MS = 40
};

static const double depth_part = 0.5;  /* of the bucket, and */
static const double slack_part = 0.25; /* of the slack, that all nodes together may let through at once */

/* ---- the last window ---- */

static void advance(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now)
{
    int64_t slot = now * CW_QUOTA_PARTS / share->settings.window;

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

double cw_quota_usual(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    uint32_t recent = cw_quota_recent_sum(share, &tenant->recent, now);

    return recent * (double)CW_MS(CW_QUOTA_PAUSE_MS) / (double)share->settings.window;
}

/* ---- the node's own part ---- */

static double kept_most(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant)
{
    return (cw_quota_depth(&tenant->limit) * depth_part + share->settings.slack * slack_part) / share->nodes;
}

/* Where a node's part is less than one request, as many nodes let one through as the parts come to. */
static double phase(const cw_quota_share_t *share, uint32_t tenant)
{
    uint32_t mixed = (uint32_t)XXH3_64bits_withSeed(&share->address, sizeof(share->address), tenant);

    return (double)mixed / ((double)UINT32_MAX + 1);
}

void cw_quota_part_begin(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double recent_per_s = cw_quota_recent_sum(share, &tenant->recent, now) * 1e6 / (double)share->settings.window;

    tenant->part.level = kept_most(share, tenant) + phase(share, tenant->hash);
    tenant->part.bonus_per_s = fmin(recent_per_s, tenant->limit.rate_per_s);
    tenant->part.filled_at = now;
    tenant->part.began_at = now;
}

static double per_s(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double equal = tenant->limit.rate_per_s / share->nodes;

    return now - tenant->part.began_at < CW_MS(BONUS_MS) ? fmax(equal, tenant->part.bonus_per_s) : equal;
}

bool cw_quota_part_take(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now,
                        cw_time_us_t *retry_after)
{
    cw_quota_part_t *part = &tenant->part;
    double           rate = per_s(share, tenant, now);
    double           most = fmax(1, kept_most(share, tenant));
    cw_time_us_t     due;

    if (part->filled_at > part->began_at) {
        part->level = fmin(part->level, most);
    }
    part->level = fmax(part->level, fmin(most, part->level + rate * (double)(now - part->filled_at) / 1e6));
    part->filled_at = now;
    if (part->level >= 1) {
        part->level -= 1;
        return true;
    }
    due = (cw_time_us_t)fmin((1 - part->level) / rate * 1e6, (double)CW_MS(COME_BACK_MS));
    *retry_after = due < CW_MS(COME_BACK_LEAST_MS) ? CW_MS(COME_BACK_LEAST_MS) : due;
    return false;
}
