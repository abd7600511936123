/**
 * @file quota_redirects.c
 * @brief Handles replies in which a node that was asked about a tenant names another node as its counting node.
 */
#include "tenancy/quota_share_internal.h"

enum {
    FIRST_REPLY_MS = 300,     /* time for the named node to send its first reply */
    KEEP_CONFIRMED_MS = 1000, /* time after the named node's last reply for which the redirect holds: within it all
                                 nodes notice that a node has stopped (CW_PEER_TIMEOUT_MS) */
    REPEATED_WITHIN_MS = 300  /* a second redirect within this time means that two nodes name each other; they agree
                                 after it, when their reports have reached each other */
};

uint32_t cw_quota_counter_for(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    const cw_quota_redirect_t *redirect = &tenant->redirect;

    if (redirect->counter != 0 && now < redirect->until &&
        !cw_quota_share_has_declined(share, redirect->counter, now)) {
        return redirect->counter;
    }
    return share->port.counter_of(share->port.context, tenant->hash);
}

void cw_quota_confirm_redirect(cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->redirect.counter == tenant->counter) {
        tenant->redirect.until = now + CW_MS(KEEP_CONFIRMED_MS);
    }
}

/* Treats the tenant as one that its counting node does not know: this node admits requests from its own part and
 * reports again after an interval (UNKNOWN_INTERVAL_MS in quota_reports.c). */
static void serve_locally(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    tenant->is_unknown = true;
    tenant->last_received_at = now;
    tenant->is_report_due = false;
    tenant->unconfirmed = 0;
    tenant->ask.sequence = 0;
    cw_quota_set_mode(share, tenant, CW_QUOTA_ALONE, now);
    if (tenant->waiting > 0) {
        share->port.decided(share->port.context, tenant->hash);
    }
}

void cw_quota_follow_redirect(cw_quota_share_t *share, cw_quota_tenant_t *tenant, uint32_t counter, cw_time_us_t now)
{
    cw_quota_redirect_t *redirect = &tenant->redirect;
    bool                 is_repeated = redirect->taken_at != 0 && now - redirect->taken_at < CW_MS(REPEATED_WITHIN_MS);

    if (counter == tenant->counter) {
        return; /* the reply was sent before this node followed the redirect */
    }
    if (counter == 0 || is_repeated || cw_quota_share_has_declined(share, counter, now)) {
        serve_locally(share, tenant, now);
        return;
    }
    *redirect = (cw_quota_redirect_t){.counter = counter, .until = now + CW_MS(FIRST_REPLY_MS), .taken_at = now};
    (void)cw_quota_choose_counter(share, tenant, now); /* the result is true: a node has just been named */
    tenant->is_report_due = true;
    cw_quota_ask_if_due(share, tenant, now);
}
