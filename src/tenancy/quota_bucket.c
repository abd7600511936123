/**
 * @file quota_bucket.c
 * @brief Level of one tenant's bucket: what raises and lowers it, and when the tenant is metered.
 */
#include "tenancy/quota_bucket.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"

enum {
    START_PHASE_MS = 500, /* two report intervals: within it every node that admits requests has reported */
    FREE_AFTER_MS = 1000, /* a tenant is free after its level was above free_above for this time, which is longer than a
                             usual gap between its requests */
    /* Tokens returned later are ignored: twice the time for which nodes keep unused ones (quota_tokens.c) */
    TOKEN_LIFETIME_MS = 1000,
    MAX_RETRY_AFTER_MS = 5000 /* longest retry time given to a refused request: callers do not wait longer */
};

/* Seconds of the rate that a bucket holds at least, since the requests of a second do not arrive evenly */
static const double depth_s = 0.25;
/* Fraction of the depth: the rest holds what is admitted without a token within a report interval */
static const double meter_below = 0.4;
static const double free_above = 0.7; /* fraction of the depth */
static const double start_part = 0.4; /* fraction of the depth at the start, for a tenant that no node counted before */
static const double start_debt_s = 0.6; /* seconds of the rate by which the level of a metered tenant is below zero at
                                           the start: within this time nodes learn which node the others ask */
/* Fraction of the depth that all nodes together may admit at once from their own parts */
static const double parts_of_depth = 0.5;
static const double parts_of_slack = 0.25; /* fraction of the slack that is added to that */
/* Fraction of the slack that is added at the start, so that small tenants need not wait */
static const double start_slack_part = 0.35;

double cw_quota_depth(const cw_quota_limit_t *limit)
{
    double depth = fmax(limit->burst, limit->rate_per_s * depth_s);

    return depth < 1 ? 1 : depth;
}

double cw_quota_parts_depth(const cw_quota_limit_t *limit)
{
    return cw_quota_depth(limit) * parts_of_depth;
}

double cw_quota_parts_slack(const cw_quota_settings_t *settings)
{
    return settings->slack * parts_of_slack;
}

static double depth_of(const cw_quota_bucket_t *bucket, double share)
{
    return cw_quota_depth(&bucket->limit) * share;
}

/* ---- level ---- */

static void update_metered(cw_quota_bucket_t *bucket, double share, cw_time_us_t now)
{
    double depth = depth_of(bucket, share);

    if (bucket->level < depth * meter_below && !bucket->is_metered) {
        bucket->is_metered = true;
        bucket->is_notice_due = true;
    }
    if (bucket->level < depth * free_above) {
        bucket->above_since = 0;
    } else if (bucket->above_since == 0) {
        bucket->above_since = now;
    } else if (now - bucket->above_since >= CW_MS(FREE_AFTER_MS)) {
        bucket->is_metered = false;
    }
}

void cw_quota_bucket_refill(cw_quota_bucket_t *bucket, double share, cw_time_us_t now)
{
    double gained = bucket->limit.rate_per_s * (double)(now - bucket->filled_at) / 1e6;
    double level = fmin(bucket->level + gained * share, depth_of(bucket, share));
    double overflow = fmax(0, gained - (level - bucket->level));
    double window = bucket->limit.rate_per_s * (double)bucket->window / 1e6;

    bucket->unused = fmax(0, bucket->unused * (1 - gained / window)) + overflow;
    bucket->filled_at = now;
    bucket->level = level;
    update_metered(bucket, share, now);
}

/* A part of the slack is added, so that small tenants, whose whole burst is less than that, need not wait. */
static double starting_level(const cw_quota_bucket_t *bucket, double share, bool was_metered, double slack)
{
    double depth = depth_of(bucket, share);
    double extra = slack * start_slack_part * share;
    double level = fmin(depth, depth * start_part + extra);

    return was_metered ? fmin(level, extra - bucket->limit.rate_per_s * share * start_debt_s) : level;
}

void cw_quota_bucket_start(cw_quota_bucket_t *bucket, double share, bool was_metered,
                           const cw_quota_settings_t *settings, cw_time_us_t now)
{
    bucket->is_in_use = true;
    bucket->is_metered = true; /* until the level has been high enough for a while */
    bucket->started_at = now;
    bucket->filled_at = now;
    bucket->above_since = 0;
    bucket->next_retry_at = 0;
    bucket->unused = 0;
    bucket->window = settings->window;
    bucket->level = starting_level(bucket, share, was_metered, settings->slack);
    bucket->uncounted = -share * cw_quota_parts_slack(settings);
    if (was_metered) { /* the debt covers it */
        bucket->uncounted -= share * bucket->limit.rate_per_s * start_debt_s;
    }
    bucket->headroom = bucket->limit.rate_per_s * (double)settings->window / 1e6 + cw_quota_depth(&bucket->limit);
}

void cw_quota_bucket_reset(cw_quota_bucket_t *bucket)
{
    cw_quota_record_t *record;
    cw_quota_record_t *next;

    HASH_ITER(hh, bucket->records, record, next)
    {
        HASH_DEL(bucket->records, record); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
        free(record);
    }
    bucket->is_in_use = false;
    bucket->is_metered = false;
    bucket->is_notice_due = false;
}

void cw_quota_bucket_forget(cw_quota_bucket_t *bucket, cw_time_us_t window, cw_time_us_t now)
{
    cw_quota_record_t *record;
    cw_quota_record_t *next;

    HASH_ITER(hh, bucket->records, record, next)
    {
        if (now - record->last_received_at >= window) {
            HASH_DEL(bucket->records, record); /* NOLINT(clang-analyzer-unix.Malloc) */
            free(record);
        }
    }
    if (bucket->records == NULL) {
        cw_quota_bucket_reset(bucket);
    }
}

/* If the new limit allows less in a window than was admitted in the last one under the old limit, the bucket is
 * emptied. */
void cw_quota_bucket_set_limit(cw_quota_bucket_t *bucket, const cw_quota_limit_t *limit, double share,
                               cw_time_us_t window, cw_time_us_t now)
{
    const cw_quota_record_t *record;
    double                   recent = 0;

    if (bucket->limit.rate_per_s == limit->rate_per_s && bucket->limit.burst == limit->burst) {
        return;
    }
    if (bucket->is_in_use) {
        cw_quota_bucket_refill(bucket, share, now);
    }
    bucket->limit = *limit;
    if (!bucket->is_in_use) {
        return;
    }
    for (record = bucket->records; record != NULL; record = record->hh.next) {
        recent += record->recent;
    }
    bucket->level = fmin(bucket->level, depth_of(bucket, share));
    if (recent > limit->rate_per_s * (double)window / 1e6) {
        bucket->level = fmin(bucket->level, 0);
    }
    update_metered(bucket, share, now);
}

/* ---- reports ---- */

cw_quota_record_t *cw_quota_bucket_find(const cw_quota_bucket_t *bucket, uint32_t node)
{
    cw_quota_record_t *record;

    HASH_FIND(hh, bucket->records, &node, sizeof(node), record);
    return record;
}

/* The time in milliseconds is unique for each record of a node, since a record exists for longer than a millisecond
 * before it is dropped. */
static uint32_t id_of(cw_time_us_t now)
{
    return (uint32_t)(now / 1000);
}

static cw_quota_record_t *add_record(cw_quota_bucket_t *bucket, uint32_t node, uint64_t incarnation, cw_time_us_t now)
{
    cw_quota_record_t *record = cw_memory_zeroed(sizeof(*record));

    record->node = node;
    record->incarnation = incarnation;
    record->id = id_of(now);
    HASH_ADD(hh, bucket->records, node, sizeof(record->node), record);
    return record;
}

/* Charges requests that a node admitted while another node counted: first to the tokens that this bucket did not give
 * out meanwhile, then to its level. */
static void charge_elsewhere(cw_quota_bucket_t *bucket, double count)
{
    double paid = fmin(count, bucket->unused);

    bucket->unused -= paid;
    bucket->level -= count - paid;
}

/* Requests to be charged: at most what all own parts hold, and the debt of a bucket whose tenant was metered. */
static double uncounted_requests(const cw_quota_bucket_t *bucket, double share)
{
    double most = cw_quota_parts_depth(&bucket->limit) + bucket->limit.rate_per_s * start_debt_s;

    return fmin(fmax(bucket->uncounted, 0), most * share);
}

/* Charges requests that a node admitted lately from its own part or with tokens of another counting node. Otherwise
 * each start of all nodes would give out all own parts and the first level of each bucket besides the rate. */
static void charge_uncounted(cw_quota_bucket_t *bucket, double share, const cw_quota_usage_t *usage)
{
    double before = uncounted_requests(bucket, share);

    bucket->uncounted += fmin(usage->uncounted, usage->recent);
    bucket->level -= uncounted_requests(bucket, share) - before;
}

/* Applies a node's first report. During the start phase the sum of what all nodes admitted in the last window is an
 * upper bound of the level. Later, a first report means that another node counted for the reporting node before. */
static void apply_first_usage(cw_quota_bucket_t *bucket, double share, const cw_quota_usage_t *usage, cw_time_us_t now)
{
    double admitted_here = fmin((double)(usage->admitted - usage->elsewhere), usage->recent);

    if (now - bucket->started_at >= CW_MS(START_PHASE_MS)) {
        bucket->level -= admitted_here;
        charge_elsewhere(bucket, usage->recent - admitted_here);
        return;
    }
    bucket->headroom -= usage->recent;
    bucket->level = fmin(bucket->level, bucket->headroom);
    charge_uncounted(bucket, share, usage);
}

/* Applies a node's further report. No matter how long ago its last report was, at most what it admitted in the last
 * window is charged. */
static void apply_next_usage(cw_quota_bucket_t *bucket, const cw_quota_record_t *record, const cw_quota_usage_t *usage)
{
    uint64_t known = usage->elsewhere > record->admitted ? usage->elsewhere : record->admitted;
    uint64_t admitted = usage->admitted - known;
    uint64_t paid =
        usage->with_tokens >= record->with_tokens ? usage->with_tokens - record->with_tokens : usage->with_tokens;
    double admitted_here = fmin(admitted > paid ? (double)(admitted - paid) : 0, usage->recent);

    bucket->level -= admitted_here;
    charge_elsewhere(bucket, fmin((double)(known - record->admitted), usage->recent - admitted_here));
}

/* Starts the record anew when another process runs on the node. */
static void restart_record(cw_quota_record_t *record, uint64_t incarnation, cw_time_us_t now)
{
    record->incarnation = incarnation;
    record->id = id_of(now);
    record->last_return = 0;
    record->admitted = 0;
    record->with_tokens = 0;
    record->sequence = 0;
}

bool cw_quota_bucket_apply_usage(cw_quota_bucket_t *bucket, double share, uint32_t node, uint64_t incarnation,
                                 const cw_quota_usage_t *usage, cw_time_us_t now)
{
    cw_quota_record_t *record = cw_quota_bucket_find(bucket, node);

    if (record == NULL) {
        record = add_record(bucket, node, incarnation, now);
        apply_first_usage(bucket, share, usage, now);
    } else if (incarnation == record->incarnation && usage->admitted < record->admitted) {
        return false;
    } else {
        if (incarnation != record->incarnation) {
            restart_record(record, incarnation, now);
        }
        apply_next_usage(bucket, record, usage);
    }
    record->admitted = usage->admitted;
    record->with_tokens = usage->with_tokens;
    record->recent = usage->recent;
    record->last_received_at = now;
    update_metered(bucket, share, now);
    return true;
}

/* ---- tokens ---- */

/* Retry times of refused requests are one token apart, so that the requests do not return all at once. */
static cw_time_us_t schedule_retry(cw_quota_bucket_t *bucket, double share, uint32_t refused, cw_time_us_t now)
{
    double       rate = bucket->limit.rate_per_s * share;
    cw_time_us_t first = now + (cw_time_us_t)((1 - bucket->level) / rate * 1e6);
    cw_time_us_t last = now + CW_MS(MAX_RETRY_AFTER_MS);

    first = bucket->next_retry_at > first ? bucket->next_retry_at : first;
    bucket->next_retry_at = first + (cw_time_us_t)(refused / rate * 1e6);
    bucket->next_retry_at = bucket->next_retry_at > last ? last : bucket->next_retry_at;
    return first - now;
}

void cw_quota_bucket_grant(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                           const cw_quota_ask_t *ask, cw_time_us_t now)
{
    record->sequence = ask->sequence;
    record->granted = bucket->level < 1 ? 0 : (uint32_t)fmin(floor(bucket->level), ask->wanted);
    bucket->level -= record->granted;
    record->retry_after = 0;
    if (record->granted < ask->wanted) {
        record->retry_after = schedule_retry(bucket, share, ask->wanted - record->granted + ask->refused, now);
    }
    record->outstanding = (now < record->outstanding_until ? record->outstanding : 0) + record->granted;
    record->outstanding_until = now + CW_MS(TOKEN_LIFETIME_MS);
    update_metered(bucket, share, now);
}

void cw_quota_bucket_give_back(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                               const cw_quota_return_t *returned, cw_time_us_t now)
{
    uint32_t tokens = returned->tokens > record->outstanding ? record->outstanding : returned->tokens;

    if (returned->record != record->id || returned->number <= record->last_return || now >= record->outstanding_until) {
        return;
    }
    record->last_return = returned->number;
    record->outstanding -= tokens;
    bucket->level += tokens;
    cw_quota_bucket_refill(bucket, share, now);
}
