/**
 * @file quota_share.h
 * @brief A node's part in tenants' limits: which requests go through at once, which need a token, which are refused.
 *
 * Rules:
 *  - A tenant that is free costs a count. One that is metered costs a token, asked for ahead by what lately came.
 *  - Without an answer of the counting node for ALONE_AFTER, the node serves its equal part of the limit.
 *  - A refusal is given before anything is sent: it has not run. It names the time after which a token will be free.
 *  - A request that was let through and did not run gives its token back to this node, for its next one.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_SHARE_H
#define CEDARWINCH_TENANCY_QUOTA_SHARE_H

#include "tenancy/quota.h"

typedef struct cw_quota_share cw_quota_share_t;

typedef enum cw_quota_answer {
    CW_QUOTA_ADMITTED,
    CW_QUOTA_WAIT,   /**< a token has been asked for: its reply decides */
    CW_QUOTA_REFUSED /**< 429 */
} cw_quota_answer_t;

cw_quota_share_t *cw_quota_share_create(const cw_quota_settings_t *settings);
void              cw_quota_share_free(cw_quota_share_t *share);
void              cw_quota_share_set_nodes(cw_quota_share_t *share, uint32_t nodes);
/** A request comes. retry_after: with CW_QUOTA_REFUSED. */
cw_quota_answer_t cw_quota_share_enter(cw_quota_share_t *share, uint32_t tenant, const cw_quota_limit_t *limit,
                                       cw_time_us_t now, cw_time_us_t *retry_after);
/** A request that was let through was not run. */
void            cw_quota_share_give_back(cw_quota_share_t *share, uint32_t tenant, cw_time_us_t now);
cw_quota_mode_t cw_quota_share_mode(const cw_quota_share_t *share, uint32_t tenant);

#endif
