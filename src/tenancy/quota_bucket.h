/**
 * @file quota_bucket.h
 * @brief The bucket of one tenant at its counting node, with a record for each reporting node. Part of quota_counter.
 *
 * The parameter `share` is the fraction of the limit that the counting node gives out.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_BUCKET_H
#define CEDARWINCH_TENANCY_QUOTA_BUCKET_H

#include <uthash.h>

#include "tenancy/quota.h"

/** The counting node's record of one node, for one tenant. */
typedef struct cw_quota_record {
    uint32_t node;
    uint64_t incarnation;
    uint32_t id; /* identifies this record; derived from its creation time, so that no later record has the same one */
    uint64_t admitted;
    uint64_t with_tokens;
    uint32_t recent;
    cw_time_us_t   last_received_at; /* when its last report or ask was received */
    uint32_t       sequence;         /* of its last ask; 0: none */
    uint32_t       granted;          /* tokens granted for that ask */
    cw_time_us_t   retry_after;
    uint32_t       outstanding; /* tokens granted lately, which the node may still return */
    cw_time_us_t   outstanding_until;
    uint32_t       last_return; /* number of its last return */
    UT_hash_handle hh;
} cw_quota_record_t;

/** Token bucket of one tenant. */
typedef struct cw_quota_bucket {
    uint32_t         tenant;
    cw_quota_limit_t limit;
    bool             is_in_use;
    double           level; /* tokens; below zero it is a debt */
    double unused;    /* tokens of the last window that this bucket neither granted nor kept, since it was full or gives
                         out only a share of the limit */
    double headroom;  /* during the start phase: the limit of one window less what the nodes' first reports say they
                         admitted */
    double uncounted; /* during the start phase: requests that the nodes' first reports say were admitted lately and
                         not charged here, less what is allowed for */
    cw_time_us_t filled_at;
    cw_time_us_t window;
    cw_time_us_t started_at;
    cw_time_us_t above_since; /* since when the level has been at least free_above of the depth; 0: it is below that */
    cw_time_us_t next_retry_at; /* refused requests have been given retry times up to this one */
    bool         is_metered;
    bool         is_notice_due; /* the tenant has become metered, and the nodes are yet to be notified */
    cw_quota_record_t *records;
    UT_hash_handle     hh;
} cw_quota_bucket_t;

/** Begins to use the bucket. was_metered: the first node that reported says that the tenant was metered before. */
void cw_quota_bucket_start(cw_quota_bucket_t *bucket, double share, bool was_metered,
                           const cw_quota_settings_t *settings, cw_time_us_t now);
/** Drops all records and marks the bucket as unused; the limit stays. */
void cw_quota_bucket_reset(cw_quota_bucket_t *bucket);
/** Adds the tokens due since the last call and updates whether the tenant is metered. */
void cw_quota_bucket_refill(cw_quota_bucket_t *bucket, double share, cw_time_us_t now);
/** Drops the records of nodes that have sent nothing for a window, and resets the bucket when none is left. */
void cw_quota_bucket_forget(cw_quota_bucket_t *bucket, cw_time_us_t window, cw_time_us_t now);
/** Changes the limit. window: length of the window in which the limit holds. */
void cw_quota_bucket_set_limit(cw_quota_bucket_t *bucket, const cw_quota_limit_t *limit, double share,
                               cw_time_us_t window, cw_time_us_t now);
/** Record of a node; NULL: there is none. */
cw_quota_record_t *cw_quota_bucket_find(const cw_quota_bucket_t *bucket, uint32_t node);
/** Applies the usage that a node reports. False: it is older than what is known of that node. */
bool cw_quota_bucket_apply_usage(cw_quota_bucket_t *bucket, double share, uint32_t node, uint64_t incarnation,
                                 const cw_quota_usage_t *usage, cw_time_us_t now);
/** Grants tokens for a new ask and stores the reply in the record. */
void cw_quota_bucket_grant(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                           const cw_quota_ask_t *ask, cw_time_us_t now);
/** Takes back unused tokens; ignores a return that is a duplicate, late, or of another record. */
void cw_quota_bucket_give_back(cw_quota_bucket_t *bucket, double share, cw_quota_record_t *record,
                               const cw_quota_return_t *returned, cw_time_us_t now);

#endif
