/**
 * @file quota_share_internal.h
 * @brief State shared by the parts of a node's share in tenants' limits.
 */
#ifndef CEDARWINCH_TENANCY_QUOTA_SHARE_INTERNAL_H
#define CEDARWINCH_TENANCY_QUOTA_SHARE_INTERNAL_H

#include <uthash.h>

#include "tenancy/quota_share.h"

enum {
    CW_QUOTA_PARTS = 10,                        /**< of a window, that are counted apart */
    CW_QUOTA_RECENT_SLOTS = CW_QUOTA_PARTS + 1, /**< the newest is not over: a whole window is in them, or more */
    /** Between reports while a tenant sends what is usual for it here: with four datagrams a second to each counting
     * node, what slips through in it at twice the usual is within the overshoot. */
    CW_QUOTA_PAUSE_MS = 500
};

/** What was let through in the last window, in slots. */
typedef struct cw_quota_recent {
    uint32_t slots[CW_QUOTA_RECENT_SLOTS];
    int64_t  slot; /**< number of the newest */
    uint32_t sum;
} cw_quota_recent_t;

/** This node's own part, while no counting node replies. */
typedef struct cw_quota_part {
    double       level;
    double       bonus_per_s; /**< what the node lately let through, for a moment */
    cw_time_us_t filled_at;
    cw_time_us_t began_at;
} cw_quota_part_t;

/** The node that counts a tenant by what another node says that was asked about it. */
typedef struct cw_quota_redirect {
    uint32_t     counter; /**< 0: none */
    cw_time_us_t until;
    cw_time_us_t taken_at; /**< 0: never */
} cw_quota_redirect_t;

/** An ask that has no reply yet. */
typedef struct cw_quota_open_ask {
    uint32_t     sequence; /**< 0: none */
    uint32_t     wanted;
    uint32_t     refused;
    uint32_t     tries;
    cw_time_us_t sent_at;
} cw_quota_open_ask_t;

typedef struct cw_quota_tenant {
    uint32_t            hash;
    cw_quota_mode_t     mode;
    cw_quota_limit_t    limit;
    bool                was_metered;   /**< by the last word of a counting node */
    bool                is_report_due; /**< though nothing is unreported: its counter is to say how it stands */
    bool                is_unknown;    /**< its counter goes by an earlier configuration, without a limit for it */
    bool                has_word;      /**< of the present counter */
    uint32_t            counter;       /**< node that counts for it; 0: none yet */
    uint64_t            admitted;
    uint64_t            with_tokens; /**< of that counter */
    uint64_t            elsewhere;   /**< of admitted, before that counter was chosen */
    cw_quota_recent_t   recent;
    uint32_t            unreported;  /**< let through without a token since the last report */
    uint32_t            unconfirmed; /**< in reports without a reply */
    uint32_t            reported_in; /**< sequence of the last report that names it */
    uint32_t            tokens;      /**< not used yet */
    cw_time_us_t        reported_at;
    cw_time_us_t        heard_at;     /**< the counter's last word on this tenant */
    cw_time_us_t        tokens_until; /**< they expire then */
    uint32_t            record;       /**< of their grant */
    uint32_t            spares;       /**< of requests that did not run */
    cw_time_us_t        spares_until;
    uint32_t            waiting; /**< requests */
    uint32_t            refused; /**< since the last ask */
    cw_quota_open_ask_t ask;
    uint32_t            last_sequence;
    uint32_t            settled_sequence; /**< of the last ask whose grant was taken or given back */
    cw_time_us_t        came_at;
    cw_time_us_t        refuse_until; /**< no token is to be had till then */
    cw_time_us_t        come_back_at; /**< told to the last refused request */
    cw_quota_part_t     part;
    cw_quota_redirect_t redirect;
    UT_hash_handle      hh;
} cw_quota_tenant_t;

/** A counting node, as this node knows it. */
typedef struct cw_quota_link {
    uint32_t       address;
    uint32_t       sequence; /**< of the last report to it */
    uint32_t       tries;    /**< reports in a row without a reply */
    cw_time_us_t   sent_at;  /**< of that */
    cw_time_us_t   silent_until;
    bool           has_declined; /* until then */
    uint32_t       silences;     /**< in a row */
    bool           is_due;       /**< a tenant's usage is to be reported */
    bool           has_more;     /**< more tenants were due than were reported at once */
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
/** NULL: nothing is kept of it. */
cw_quota_tenant_t *cw_quota_find_tenant(const cw_quota_share_t *share, uint32_t hash);
void cw_quota_set_mode(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_quota_mode_t mode, cw_time_us_t now);
/** By what its counting node says of it. */
cw_quota_mode_t cw_quota_mode_by(bool is_unknown, bool is_metered);
/** What it tells the counting node. */
cw_quota_usage_t cw_quota_usage_of(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Chooses the counting node again. False: there is none. */
bool cw_quota_choose(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);

/* ---- quota_redirects.c ---- */
/** Address of the node that counts for a tenant: as another node said lately, or else by this one's own choice. */
uint32_t cw_quota_counter_for(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now);
/** The node that counts for the tenant has replied. */
void cw_quota_confirm_redirect(cw_quota_tenant_t *tenant, cw_time_us_t now);
/** The node that was asked does not count the tenant, and names the one that does; 0: it knows none. */
void cw_quota_take_redirect(cw_quota_share_t *share, cw_quota_tenant_t *tenant, uint32_t counter, cw_time_us_t now);

/* ---- quota_tokens.c ---- */
/** Asks for what waits, if tokens may be had. */
void cw_quota_ask_if_due(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Asks once more where no reply has come, or doubts the counting node. */
void cw_quota_ask_again(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Counts a request that is let through. */
void cw_quota_let_through(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** False: there is no token now. */
bool cw_quota_use_token(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Gives all tokens back to the counting node. */
void cw_quota_return_tokens(cw_quota_share_t *share, cw_quota_tenant_t *tenant);
/** Gives back what has not been used in time. */
void cw_quota_expire(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);

/* ---- quota_local.c ---- */
void cw_quota_recent_add(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now);
/** Let through in the last window. */
uint32_t cw_quota_recent_sum(const cw_quota_share_t *share, cw_quota_recent_t *recent, cw_time_us_t now);
/** What a report pause usually brings. */
double cw_quota_usual(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
void   cw_quota_part_begin(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now);
/** Takes one from this node's own part; false: retry_after says when one will be there. */
bool cw_quota_part_take(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now,
                        cw_time_us_t *retry_after);

/* ---- quota_reports.c ---- */
void             cw_quota_reports_tick(cw_quota_share_t *share, cw_time_us_t now);
cw_quota_link_t *cw_quota_link_to(cw_quota_share_t *share, uint32_t address);
/** A counting node did not reply: its tenants are served by this node's part, which is reported to it until it does. */
void cw_quota_doubt(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now);

#endif
