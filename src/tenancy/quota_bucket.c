/**
 * @file quota_bucket.c
 * @brief Level of one tenant's bucket: what fills it, what lowers it, when it is metered.
 */
#include "tenancy/quota_bucket.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"

enum {
    BEGIN_FOR_MS = 500,   /* two report pauses: by then each node that lets something through has reported */
    FREE_AFTER_MS = 1000, /* above FREE_ABOVE for so long: longer than a lull between a tenant's requests */
    TOKEN_LIFE_MS = 1000, /* tokens given back later are not taken: twice what nodes keep them (quota_share.c) */
    SPREAD_MOST_MS = 5000 /* requests are told to come back within this: callers do not wait longer */
};

static const double depth_s = 0.25;     /* of the rate: what a second brings comes unevenly */
static const double meter_below = 0.4;  /* of the depth: the rest holds what slips through in a report pause */
static const double free_above = 0.7;   /* of the depth */
static const double begin_part = 0.4;   /* of the depth, for a tenant that nobody counted */
static const double begin_debt_s = 0.6; /* of the rate: nodes learn within this whom the others ask; less */
static const double begin_slack = 0.35; /* of the slack: small tenants need not wait */

double cw_quota_depth(const cw_quota_limit_t *limit)
{
    double depth = fmax(limit->burst, limit->rate_per_s * depth_s);

    return depth < 1 ? 1 : depth;
}

static double depth_of(const cw_quota_bucket_t *bucket, double share)
{
    return cw_quota_depth(&bucket->limit) * share;
}

/* ---- the level ---- */

static void note_level(cw_quota_bucket_t *bucket, double share, cw_time_us_t now)
{
    double depth = depth_of(bucket, share);

    if (bucket->level < depth * meter_below && !bucket->is_metered) {
        bucket->is_metered = true;
        bucket->has_changed = true;
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
    double lost = fmax(0, gained - (level - bucket->level));
    double window = bucket->limit.rate_per_s * (double)bucket->window / 1e6;

    bucket->unused = fmax(0, bucket->unused * (1 - gained / window)) + lost;
    bucket->filled_at = now;
    bucket->level = level;
    note_level(bucket, share, now);
}

/* Part of the slack goes to it, so that small tenants, whose whole burst is below that, need not wait. */
static double level_at_begin(const cw_quota_bucket_t *bucket, double share, bool was_metered, double slack)
{
    double depth = depth_of(bucket, share);
    double extra = slack * begin_slack * share;
    double level = fmin(depth, depth * begin_part + extra);

    return was_metered ? fmin(level, extra - bucket->limit.rate_per_s * share * begin_debt_s) : level;
}

void cw_quota_bucket_begin(cw_quota_bucket_t *bucket, double share, bool was_metered,
                           const cw_quota_settings_t *settings, cw_time_us_t now)
{
    bucket->is_in_use = true;
    bucket->is_metered = true; /* until it has been seen for a while that it need not be */
    bucket->began_at = now;
    bucket->filled_at = now;
    bucket->above_since = 0;
    bucket->spread_at = 0;
    bucket->unused = 0;
    bucket->window = settings->window;
    bucket->level = level_at_begin(bucket, share, was_metered, settings->slack);
    bucket->headroom = bucket->limit.rate_per_s * (double)settings->window / 1e6 + cw_quota_depth(&bucket->limit);
}

void cw_quota_bucket_end(cw_quota_bucket_t *bucket)
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
    bucket->has_changed = false;
}

void cw_quota_bucket_forget(cw_quota_bucket_t *bucket, cw_time_us_t window, cw_time_us_t now)
{
    cw_quota_record_t *record;
    cw_quota_record_t *next;

    HASH_ITER(hh, bucket->records, record, next)
    {
        if (now - record->heard_at >= window) {
            HASH_DEL(bucket->records, record); /* NOLINT(clang-analyzer-unix.Malloc) */
            free(record);
        }
    }
    if (bucket->records == NULL) {
        cw_quota_bucket_end(bucket);
    }
}

/* Where far less is allowed than what was let through by the limit before, nothing is left of the bucket. */
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
    note_level(bucket, share, now);
}

/* ---- reports ---- */

cw_quota_record_t *cw_quota_bucket_find(const cw_quota_bucket_t *bucket, uint32_t node)
{
    cw_quota_record_t *record;

    HASH_FIND(hh, bucket->records, &node, sizeof(node), record);
    return record;
}

/* In milliseconds: a record is forgotten only after it has been there for longer. */
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

/* What another counter let through is paid from the tokens that this one did not give out meanwhile. */
static void pay_elsewhere(cw_quota_bucket_t *bucket, double count)
{
    double paid = fmin(count, bucket->unused);

    bucket->unused -= paid;
    bucket->level -= count - paid;
}

/* A node's first report. While the bucket begins, what all let through in the last window bounds it from above;
 * afterwards the node counted on another one before. */
static void take_first(cw_quota_bucket_t *bucket, const cw_quota_usage_t *usage, cw_time_us_t now)
{
    double here = fmin((double)(usage->admitted - usage->elsewhere), usage->recent);

    if (now - bucket->began_at >= CW_MS(BEGIN_FOR_MS)) {
        bucket->level -= here;
        pay_elsewhere(bucket, usage->recent - here);
        return;
    }
    bucket->headroom -= usage->recent;
    bucket->level = fmin(bucket->level, bucket->headroom);
}

/* Whatever went on since the node's last report, what counts is the last window. */
static void take_next(cw_quota_bucket_t *bucket, const cw_quota_record_t *record, const cw_quota_usage_t *usage)
{
    uint64_t known = usage->elsewhere > record->admitted ? usage->elsewhere : record->admitted;
    uint64_t admitted = usage->admitted - known;
    uint64_t paid =
        usage->with_tokens >= record->with_tokens ? usage->with_tokens - record->with_tokens : usage->with_tokens;
    double here = fmin(admitted > paid ? (double)(admitted - paid) : 0, usage->recent);

    bucket->level -= here;
    pay_elsewhere(bucket, fmin((double)(known - record->admitted), usage->recent - here));
}

/* Another process runs there now. */
static void begin_record(cw_quota_record_t *record, uint64_t incarnation, cw_time_us_t now)
{
    record->incarnation = incarnation;
    record->id = id_of(now);
    record->returned = 0;
    record->admitted = 0;
    record->with_tokens = 0;
    record->sequence = 0;
}

bool cw_quota_bucket_take(cw_quota_bucket_t *bucket, double share, uint32_t node, uint64_t incarnation,
                          const cw_quota_usage_t *usage, cw_time_us_t now)
{
    cw_quota_record_t *record = cw_quota_bucket_find(bucket, node);

    if (record == NULL) {
        record = add_record(bucket, node, incarnation, now);
        take_first(bucket, usage, now);
    } else if (incarnation == record->incarnation && usage->admitted < record->admitted) {
        return false;
    } else {
        if (incarnation != record->incarnation) {
            begin_record(record, incarnation, now);
        }
        take_next(bucket, record, usage);
    }
    record->admitted = usage->admitted;
    record->with_tokens = usage->with_tokens;
    record->recent = usage->recent;
    record->heard_at = now;
    note_level(bucket, share, now);
    return true;
}

/* ---- tokens ---- */

/* Refused requests are told moments one token apart, so that they do not come back together. */
static cw_time_us_t spread(cw_quota_bucket_t *bucket, double share, uint32_t refused, cw_time_us_t now)
{
    double       rate = bucket->limit.rate_per_s * share;
    cw_time_us_t first = now + (cw_time_us_t)((1 - bucket->level) / rate * 1e6);
    cw_time_us_t last = now + CW_MS(SPREAD_MOST_MS);

    first = bucket->spread_at > first ? bucket->spread_at : first;
    bucket->spread_at = first + (cw_time_us_t)(refused / rate * 1e6);
    bucket->spread_at = bucket->spread_at > last ? last : bucket->spread_at;
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
        record->retry_after = spread(bucket, share, ask->wanted - record->granted + ask->refused, now);
    }
    record->open = (now < record->open_until ? record->open : 0) + record->granted;
    record->open_until = now + CW_MS(TOKEN_LIFE_MS);
    note_level(bucket, share, now);
}

void cw_quota_bucket_give_back(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                               const cw_quota_return_t *returned, cw_time_us_t now)
{
    uint32_t tokens = returned->tokens > record->open ? record->open : returned->tokens;

    if (returned->record != record->id || returned->number <= record->returned || now >= record->open_until) {
        return;
    }
    record->returned = returned->number;
    record->open -= tokens;
    bucket->level += tokens;
    cw_quota_bucket_refill(bucket, share, now);
}
