/**
 * @file quota_bucket.h
 * @brief One tenant's bucket at the node that counts for it, and what is known of each node. Part of quota_counter.
 *
 * `share` is the share of the limit that the counting node gives out.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_BUCKET_H
#define CEDARWINCH_TENANCY_QUOTA_BUCKET_H

#include <uthash.h>

#include "tenancy/quota.h"

/** What is known of one node for one tenant. */
typedef struct cw_quota_record {
    uint32_t       node;
    uint64_t       incarnation;
    uint32_t       id; /* of this record: by its time of creation, so that no later one has it */
    uint64_t       admitted;
    uint64_t       with_tokens;
    uint32_t       recent;
    cw_time_us_t   heard_at;
    uint32_t       sequence; /* of its last ask; 0: none */
    uint32_t       granted;  /* for that */
    cw_time_us_t   retry_after;
    uint32_t       open; /* tokens granted lately that it may give back */
    cw_time_us_t   open_until;
    uint32_t       returned; /* number of its last return */
    UT_hash_handle hh;
} cw_quota_record_t;

typedef struct cw_quota_bucket {
    uint32_t           tenant;
    cw_quota_limit_t   limit;
    bool               is_in_use;
    double             level;    /* below zero: debt */
    double             unused;   /* tokens of the last window that this bucket did not keep or give out */
    double             headroom; /* while it begins: what the window leaves of the limit, by the reports so far */
    cw_time_us_t       filled_at;
    cw_time_us_t       window;
    cw_time_us_t       began_at;
    cw_time_us_t       above_since; /* 0: it is not above free_above */
    cw_time_us_t       spread_at;   /* a refused request has been told to come back until then */
    bool               is_metered;
    bool               has_changed; /* it is metered, and the nodes are to be told */
    cw_quota_record_t *records;
    UT_hash_handle     hh;
} cw_quota_bucket_t;

void cw_quota_bucket_begin(cw_quota_bucket_t *bucket, double share, bool was_metered,
                           const cw_quota_settings_t *settings, cw_time_us_t now);
/** Forgets all but the limit. */
void cw_quota_bucket_end(cw_quota_bucket_t *bucket);
void cw_quota_bucket_refill(cw_quota_bucket_t *bucket, double share, cw_time_us_t now);
/** Forgets what is known of nodes of which nothing has come for a window, and ends without any. */
void               cw_quota_bucket_forget(cw_quota_bucket_t *bucket, cw_time_us_t window, cw_time_us_t now);
void               cw_quota_bucket_set_limit(cw_quota_bucket_t *bucket, const cw_quota_limit_t *limit, double share,
                                             cw_time_us_t window, cw_time_us_t now);
cw_quota_record_t *cw_quota_bucket_find(const cw_quota_bucket_t *bucket, uint32_t node);
/** False: the counts are older than those that are known. */
bool cw_quota_bucket_take(cw_quota_bucket_t *bucket, double share, uint32_t node, uint64_t incarnation,
                          const cw_quota_usage_t *usage, cw_time_us_t now);
void cw_quota_bucket_grant(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                           const cw_quota_ask_t *ask, cw_time_us_t now);
void cw_quota_bucket_give_back(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                               const cw_quota_return_t *returned, cw_time_us_t now);

#endif
