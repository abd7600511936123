/**
 * @file quota_share_internal.h
 * @brief State shared by the source files of quota_share: a node's side of tenants' limits.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_SHARE_INTERNAL_H
#define CEDARWINCH_TENANCY_QUOTA_SHARE_INTERNAL_H

#include <uthash.h>

#include "tenancy/quota_share.h"

enum {
    CW_QUOTA_WINDOW_SLOTS = 10,                        /**< slots into which a window is divided */
    CW_QUOTA_RECENT_SLOTS = CW_QUOTA_WINDOW_SLOTS + 1, /**< one more than a window has: the newest slot is not over yet,
                                                          so that the slots cover at least one whole window */
    /** Interval between reports while a tenant sends about as much as is usual for it on this node. It costs four
       datagrams a second for each counting node, and what is admitted within it at twice the usual load is within the
       overshoot. */
    CW_QUOTA_REPORT_INTERVAL_MS = 500
};

/** Number of requests admitted in the last window, by slots of time. */
typedef struct cw_quota_recent {
    uint32_t slots[CW_QUOTA_RECENT_SLOTS];
    int64_t  slot; /**< number of the newest slot */
    uint32_t sum;
} cw_quota_recent_t;

/** Local bucket: this node's own part of the limit, used while no counting node replies. */
typedef struct cw_quota_local_bucket {
    double level;
    double began_level; /**< level when the node began to use the bucket */
    double bonus_per_s; /**< rate that the node recently admitted; it is used for a short time instead of the equal
                           part, if it is higher */
    cw_time_us_t filled_at;
    cw_time_us_t began_at;
} cw_quota_local_bucket_t;

/** The counting node of a tenant as named by another node that was asked about the tenant. */
typedef struct cw_quota_redirect {
    uint32_t     counter; /**< 0: none */
    cw_time_us_t until;
    cw_time_us_t taken_at; /**< when this node followed the redirect; 0: never */
} cw_quota_redirect_t;

/** An ask that has no reply yet. */
typedef struct cw_quota_pending_ask {
    uint32_t     sequence; /**< 0: none */
    uint32_t     wanted;
    uint32_t     refused;
    uint32_t     tries;
    cw_time_us_t sent_at;
} cw_quota_pending_ask_t;

/** State of one tenant on this node. */
typedef struct cw_quota_tenant {
    uint32_t         hash;
    cw_quota_mode_t  mode;
    cw_quota_limit_t limit;
    bool             was_metered; /**< according to the last message of a counting node */
    bool is_report_due;      /**< also if nothing is unreported, so that the counting node replies with the state of the
                                tenant */
    bool         is_unknown; /**< the counting node has an earlier configuration, in which the tenant has no limit */
    bool         counter_has_replied; /**< the present counting node has sent a reply about this tenant */
    uint32_t     counter;             /**< address of the counting node; 0: none yet */
    uint64_t     admitted;
    uint64_t     with_tokens;   /**< of admitted, with tokens of that counting node */
    uint64_t     elsewhere;     /**< value of admitted when that counting node was chosen */
    uint32_t     former_tokens; /**< tokens of the counting node before it that were used shortly before that */
    cw_time_us_t former_until;  /**< until then they are reported */
    cw_quota_recent_t recent;
    uint32_t          unreported;  /**< admitted without a token since the last report */
    uint32_t          unconfirmed; /**< admitted without a token and sent in reports or asks that have no reply yet */
    uint32_t          reported_in; /**< sequence of the last report that contains the tenant */
    uint32_t          tokens;      /**< unused tokens */
    cw_time_us_t      reported_at;
    cw_time_us_t      last_received_at; /**< time of the counting node's last message about this tenant */
    cw_time_us_t      tokens_until;     /**< expiry of the unused tokens */
    uint32_t          record;           /**< record number of the grant that they came with */
    uint32_t          refunds;          /**< tokens of admitted requests that did not run */
    cw_time_us_t      refunds_until;
    uint32_t          waiting; /**< number of waiting requests */
    uint32_t          refused; /**< requests refused since the last ask */
    cw_quota_pending_ask_t  ask;
    uint32_t                last_sequence;
    uint32_t                settled_sequence; /**< sequence of the last ask whose grant was taken or returned */
    cw_time_us_t            last_request_at;
    cw_time_us_t            refuse_until; /**< no token is available until then */
    cw_time_us_t            retry_at;     /**< retry time given to the last refused request */
    cw_quota_local_bucket_t local;
    cw_quota_redirect_t     redirect;
    UT_hash_handle          hh;
} cw_quota_tenant_t;

/** State that this node keeps about a counting node. */
typedef struct cw_quota_link {
    uint32_t       address;
    uint32_t       sequence;          /**< of the last report to it */
    uint32_t       tries;             /**< consecutive reports without a reply */
    cw_time_us_t   sent_at;           /**< of the last report */
    cw_time_us_t   skipped_until;     /**< it is not asked before this time */
    bool           has_declined;      /**< it is skipped because it refused to count */
    uint32_t       timeouts_in_a_row; /**< consecutive times that it was skipped as unresponsive */
    bool           is_due;            /**< a tenant's usage is to be reported to it */
    bool           has_more;          /**< more tenants were due than the last round of reports could hold */
    UT_hash_handle hh;
} cw_quota_link_t;

struct cw_quota_share {
    cw_quota_settings_t settings;
    cw_quota_port_t     port;
    uint32_t            address;
    uint64_t            incarnation;
    uint32_t            nodes;
    cw_quota_tenant_t  *tenants;
    cw_quota_link_t    *links;
    uint32_t            last_report;
    uint32_t            last_return;
};

/* ---- quota_share.c ---- */
/** State of the tenant with this hash; NULL: there is none. */
cw_quota_tenant_t *cw_quota_find_tenant(const cw_quota_share_t *share, uint32_t hash);
/** Changes the mode of a tenant and reports the change to the port. */
void cw_quota_set_mode(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_quota_mode_t mode, cw_time_us_t now);
/** Mode of a tenant according to the flags in a reply of its counting node. */
cw_quota_mode_t cw_quota_mode_from_flags(bool is_unknown, bool is_metered);
/** Usage to be sent to the counting node. */
cw_quota_usage_t cw_quota_usage_of(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Chooses the counting node again. False: there is none. */
bool cw_quota_choose_counter(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);

/* ---- quota_redirects.c ---- */
/** Address of the counting node of a tenant: the one that another node named recently, otherwise this node's own
 * choice. */
uint32_t cw_quota_counter_for(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Called when the counting node of the tenant has replied: prolongs a redirect to it. */
void cw_quota_confirm_redirect(cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Handles the reply of a node that does not count the tenant. counter: the node that it names; 0: it knows none. */
void cw_quota_follow_redirect(cw_quota_share_t *share, cw_quota_tenant_t *tenant, uint32_t counter, cw_time_us_t now);

/* ---- quota_tokens.c ---- */
/** Sends an ask for the waiting requests if none is in flight and tokens may be available. */
void cw_quota_ask_if_due(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Repeats an ask that has no reply, or marks the counting node as suspect. */
void cw_quota_retry_ask(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Counts an admitted request. */
void cw_quota_count_admitted(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Uses a token for a request. False: there is none now. */
bool cw_quota_use_token(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Returns all tokens to the counting node. */
void cw_quota_return_tokens(cw_quota_share_t *share, cw_quota_tenant_t *tenant);
/** Returns the tokens that were not used before they expired. */
void cw_quota_expire_tokens(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);

/* ---- quota_local.c ---- */
/** Counts one admitted request in the last window. */
void cw_quota_recent_add(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now);
/** Number of requests admitted in the last window. */
uint32_t cw_quota_recent_sum(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now);
/** Number of them in the newest slot, a tenth of a window at most. */
uint32_t cw_quota_recent_newest(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now);
/** Number of requests that one report interval usually brings, by the average over the last window. */
double cw_quota_expected_per_report(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Fills the local bucket when the tenant enters CW_QUOTA_ALONE. */
void cw_quota_local_begin(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Takes a token from the local bucket. False: retry_after is set to the time until one is available. */
bool cw_quota_local_take(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now,
                         cw_time_us_t *retry_after);
/** Number of requests that were taken from the local bucket and that its refill at the equal rate has not made up for.
 */
uint32_t cw_quota_local_overdrawn(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now);

/* ---- quota_reports.c ---- */
/** Sends the reports that are due, and marks or skips counting nodes that do not reply. */
void cw_quota_reports_tick(cw_quota_share_t *share, cw_time_us_t now);
/** State of a counting node; it is created if there is none. */
cw_quota_link_t *cw_quota_link_to(cw_quota_share_t *share, uint32_t address);
/** A counting node did not reply: the requests of its tenants are admitted from the local buckets. Their usage is still
 * reported to that node until it replies. */
void cw_quota_suspect_counter(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);

#endif
