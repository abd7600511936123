/**
 * @file quota_redirects.c
 * @brief A node that was asked about a tenant names another one that counts it.
 */
#include "tenancy/quota_share_internal.h"

enum {
    FIRST_MS = 300,      /* for the first reply of the node that is named */
    CONFIRMED_MS = 1000, /* since its last one: when a node that stopped is missed by all (CW_PEER_TIMEOUT_MS) */
    AGAIN_MS = 300       /* two nodes that name one another agree by then: their reports have crossed */
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
        tenant->redirect.until = now + CW_MS(CONFIRMED_MS);
    }
}

/* As where the counting node does not know the tenant: it is reported again after a pause. */
static void serve_own_part(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    tenant->is_unknown = true;
    tenant->heard_at = now;
    tenant->is_report_due = false;
    tenant->unconfirmed = 0;
    tenant->ask.sequence = 0;
    cw_quota_set_mode(share, tenant, CW_QUOTA_ALONE, now);
    if (tenant->waiting > 0) {
        share->port.decided(share->port.context, tenant->hash);
    }
}

void cw_quota_take_redirect(cw_quota_share_t *share, cw_quota_tenant_t *tenant, uint32_t counter, cw_time_us_t now)
{
    cw_quota_redirect_t *redirect = &tenant->redirect;
    bool                 is_again = redirect->taken_at != 0 && now - redirect->taken_at < CW_MS(AGAIN_MS);

    if (counter == tenant->counter) {
        return; /* it was said before this node followed it */
    }
    if (counter == 0 || is_again || cw_quota_share_has_declined(share, counter, now)) {
        serve_own_part(share, tenant, now);
        return;
    }
    *redirect = (cw_quota_redirect_t){.counter = counter, .until = now + CW_MS(FIRST_MS), .taken_at = now};
    (void)cw_quota_choose(share, tenant, now); /* there is one: it was named just now */
    tenant->is_report_due = true;
    cw_quota_ask_if_due(share, tenant, now);
}
