/**
 * @file quota.h
 * @brief What the counting node and the other nodes share about a tenant's limit over all nodes.
 *
 * A limit is a token bucket: `rate_per_s` tokens a second, at most `burst` kept (and at least what QUOTA_DEPTH_S of the
 * rate brings). One token lets one request through. docs/design/tenant-limits.md says why it is counted as it is.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_H
#define CEDARWINCH_TENANCY_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

/** What is promised over all nodes: in each window no more than (rate x window + burst) x (1 + overshoot) + slack. */
typedef struct cw_quota_settings {
    cw_time_us_t window;
    double       overshoot; /**< share */
    double       slack;     /**< requests */
} cw_quota_settings_t;

typedef struct cw_quota_limit {
    double rate_per_s; /**< 0: no limit */
    double burst;
} cw_quota_limit_t;

/** How a tenant's requests are let through at a node. */
typedef enum cw_quota_mode {
    CW_QUOTA_FREE,    /**< far below the limit: at once, and reported to the counting node */
    CW_QUOTA_METERED, /**< near the limit: each request needs a token of the counting node */
    CW_QUOTA_ALONE    /**< the counting node does not answer: this node's equal part of the limit */
} cw_quota_mode_t;

/** What a node has let through for one tenant without tokens: a state under a count that only rises. */
typedef struct cw_quota_usage {
    uint32_t tenant;   /**< hash of its name */
    uint64_t admitted; /**< since the node's start */
    uint32_t recent;   /**< of them, and of those with tokens, in the last window */
} cw_quota_usage_t;

#endif
