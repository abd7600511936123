/**
 * @file quota.h
 * @brief Types shared by the counting node of a tenant's limit and the nodes that admit the tenant's requests.
 *
 * A tenant's limit holds over all nodes. It is a token bucket: `rate_per_s` tokens are added per second, and the bucket
 * holds at most `burst` tokens, or what a quarter of a second of the rate brings if that is more (cw_quota_depth). One
 * token admits one request. One node, the counting node of the tenant, keeps the bucket.
 * docs/design/tenant-limits.md gives the reasons for this design.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_H
#define CEDARWINCH_TENANCY_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

/** Bound that holds over all nodes: each window admits at most (rate x window + burst) x (1 + overshoot) + slack
 * requests. */
typedef struct cw_quota_settings {
    cw_time_us_t window;
    double       overshoot; /**< as a fraction, 0.1 for a tenth */
    double       slack;     /**< number of requests */
} cw_quota_settings_t;

/** Limit of one tenant over all nodes. */
typedef struct cw_quota_limit {
    double rate_per_s; /**< 0: no limit */
    double burst;
} cw_quota_limit_t;

/** How a node admits the requests of a tenant. */
typedef enum cw_quota_mode {
    CW_QUOTA_FREE,    /**< far below the limit: requests are admitted at once and reported to the counting node */
    CW_QUOTA_METERED, /**< near the limit: each request needs a token from the counting node */
    /** The counting node does not reply: requests are admitted from this node's own part of the limit. */
    CW_QUOTA_ALONE
} cw_quota_mode_t;

/** What a node has admitted for one tenant. The counters only rise and each report carries their present values, so the
 * next report makes up for a lost one. */
typedef struct cw_quota_usage {
    uint32_t tenant;      /**< hash of the tenant's name */
    uint64_t admitted;    /**< since the node's process started, with and without tokens */
    uint64_t with_tokens; /**< of admitted, with tokens of the receiving node, since the sender last chose that node as
                             the counting node */
    uint64_t elsewhere;   /**< value of admitted when the sender last chose the receiving node as the counting node */
    uint32_t recent;      /**< of admitted, within the last window */
    bool     is_metered;  /**< according to the last message of any counting node */
    /** Of admitted, lately and without the receiver's knowledge: from the sender's own part, as far as its refill has
     * not made up for it, or with tokens of its former counting node. */
    uint32_t uncounted;
} cw_quota_usage_t;

/** A request for tokens, which a node sends to the counting node ("ask"). */
typedef struct cw_quota_ask {
    uint64_t         incarnation; /**< of the process of the asking node */
    uint64_t         version;     /**< of the configuration in force on the asking node */
    uint32_t         sequence;    /**< rises with each ask for a tenant; a repeated ask keeps its number */
    uint32_t         wanted;
    uint32_t         refused; /**< requests that the node has refused without an ask since its last ask */
    cw_quota_usage_t usage;
} cw_quota_ask_t;

/** Reply to an ask. */
typedef struct cw_quota_grant {
    uint32_t     tenant;
    uint32_t     sequence;
    uint32_t     tokens;      /**< number granted, at most the number asked for */
    cw_time_us_t retry_after; /**< time until a token is free for the first request that got none */
    bool         is_metered;
    uint32_t record; /**< identifies the counting node's record of the asking node; it changes when the counting node
                        has dropped the record and made a new one */
    bool is_unknown; /**< the counting node has an earlier configuration, in which the tenant has no limit */
} cw_quota_grant_t;

/** Tokens that a node returns unused. The counting node ignores a return that arrives twice, and one whose tokens were
 * granted before it dropped its record of the node, since these tokens may have been granted to others since. */
typedef struct cw_quota_return {
    uint32_t tenant;
    uint32_t tokens;
    uint32_t record; /**< of the grant */
    uint32_t number; /**< rises with each return of a node */
} cw_quota_return_t;

/** Reply of a counting node to a report. Without a sequence it is a notice: that tenants are metered from now on, or
 * that the sender does not count a tenant about which it was asked. */
typedef struct cw_quota_status {
    uint32_t        sequence; /**< of the report; 0: a notice */
    const uint32_t *metered;  /**< hashes of the tenants that are metered */
    size_t          metered_count;
    const uint32_t *unknown; /**< tenants that have no limit in the sender's configuration, which is earlier than that
                                of the report */
    size_t          unknown_count;
    const uint32_t *redirected; /**< tenants that the sender does not count */
    const uint32_t *counters; /**< for each redirected tenant, the node that counts it in the view of the sender; 0: the
                                 sender knows none */
    size_t redirected_count;
} cw_quota_status_t;

/** Maximum number of tokens in a limit's bucket: the burst, or a quarter of a second of the rate if that is more, and
 * at least one. */
double cw_quota_depth(const cw_quota_limit_t *limit);
/** Number of requests, of a limit's bucket, that all nodes together may admit at once from their own parts. */
double cw_quota_parts_depth(const cw_quota_limit_t *limit);
/** Number of requests, of the slack, that they may admit beyond that. */
double cw_quota_parts_slack(const cw_quota_settings_t *settings);

#endif
