/**
 * @file quota_tokens.c
 * @brief Tokens of the counting node: how they are requested, granted, used and returned.
 */
#include "tenancy/quota_share_internal.h"

enum {
    REPLY_TIMEOUT_MS = 40, /* two transits between zones, and twice the time until a busy node gets to the message; then
                              the ask is repeated */
    MAX_ASKS = 3, /* asks without a reply after which the counting node is suspect; more than one, since a datagram may
                     be lost */
    SHORTAGE_MS = 100,        /* after a grant of too few tokens, requests are refused without an ask for this time */
    TOKEN_LIFETIME_MS = 500,  /* tokens that were requested ahead and not used are returned after this time */
    REFUND_LIFETIME_MS = 300, /* lifetime of the tokens of requests that did not run: a request may run this much later
                             than its token was counted */
};

static const double prefetch_s = 0.1; /* seconds of the recent load for which tokens are requested ahead */

/* ---- returning tokens ---- */

static void send_return(cw_quota_share_t *share, uint32_t counter, uint32_t tenant, uint32_t tokens, uint32_t record)
{
    cw_quota_return_t returned = {.tenant = tenant, .tokens = tokens, .record = record};

    if (tokens > 0) {
        returned.number = ++share->last_return;
        share->port.give_back(share->port.context, counter, &returned);
    }
}

void cw_quota_return_tokens(cw_quota_share_t *share, cw_quota_tenant_t *tenant)
{
    send_return(share, tenant->counter, tenant->hash, tenant->tokens, tenant->record);
    tenant->tokens = 0;
}

void cw_quota_expire_tokens(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (now >= tenant->tokens_until) {
        cw_quota_return_tokens(share, tenant);
    }
}

void cw_quota_share_give_back(cw_quota_share_t *share, uint32_t hash, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    if (tenant == NULL) {
        return;
    }
    if (now >= tenant->refunds_until) { /* tokens added later do not prolong the lifetime of earlier ones */
        tenant->refunds = 0;
        tenant->refunds_until = now + CW_MS(REFUND_LIFETIME_MS);
    }
    tenant->refunds++;
}

/* ---- asking for tokens ---- */

static void send_ask(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    cw_quota_ask_t ask = {.incarnation = share->incarnation,
                          .sequence = tenant->ask.sequence,
                          .wanted = tenant->ask.wanted,
                          .refused = tenant->ask.refused,
                          .usage = cw_quota_usage_of(share, tenant, now)};

    tenant->ask.tries++;
    tenant->ask.sent_at = now;
    tenant->unconfirmed += tenant->unreported; /* the usage in the ask contains them */
    tenant->unreported = 0;
    share->port.ask(share->port.context, tenant->counter, &ask);
}

void cw_quota_ask_if_due(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double recent_per_s;

    if (tenant->mode == CW_QUOTA_ALONE || tenant->waiting == 0 || tenant->ask.sequence != 0 ||
        now < tenant->refuse_until || !cw_quota_choose_counter(share, tenant, now)) {
        return;
    }
    recent_per_s = cw_quota_recent_sum(share, &tenant->recent, now) * 1e6 / (double)share->settings.window;
    tenant->ask.sequence = ++tenant->last_sequence;
    tenant->ask.wanted = tenant->waiting + (uint32_t)(recent_per_s * prefetch_s);
    tenant->ask.refused = tenant->refused;
    tenant->refused = 0;
    tenant->ask.tries = 0;
    send_ask(share, tenant, now);
}

void cw_quota_retry_ask(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->ask.sequence == 0 || now - tenant->ask.sent_at < CW_MS(REPLY_TIMEOUT_MS)) {
        return;
    }
    if (tenant->ask.tries < MAX_ASKS) {
        send_ask(share, tenant, now);
        return;
    }
    cw_quota_suspect_counter(share, tenant->counter, now);
}

/* ---- using tokens ---- */

void cw_quota_count_admitted(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    tenant->admitted++;
    cw_quota_recent_add(share, &tenant->recent, now);
}

bool cw_quota_use_token(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->refunds > 0 && now < tenant->refunds_until) {
        tenant->refunds--;
        return true;
    }
    if (tenant->tokens > 0 && now < tenant->tokens_until) {
        tenant->tokens--;
        tenant->with_tokens++;
        cw_quota_count_admitted(share, tenant, now);
        return true;
    }
    return false;
}

/* ---- grants ---- */

static void store_tokens(cw_quota_tenant_t *tenant, const cw_quota_grant_t *grant, cw_time_us_t now)
{
    tenant->tokens = (now < tenant->tokens_until ? tenant->tokens : 0) + grant->tokens;
    tenant->tokens_until = now + CW_MS(TOKEN_LIFETIME_MS);
    tenant->record = grant->record;
    if (grant->tokens < tenant->ask.wanted && tenant->tokens < tenant->waiting) {
        tenant->refuse_until =
            now + (grant->retry_after < CW_MS(SHORTAGE_MS) ? grant->retry_after : CW_MS(SHORTAGE_MS));
        tenant->retry_at = now + grant->retry_after;
    }
    tenant->ask.sequence = 0;
}

/* Returns the tokens of a grant that came too late. A second copy of a grant, which comes if the ask was repeated, is
 * ignored, since the tokens were taken or returned with the first copy. */
static void reject_grant(cw_quota_share_t *share, cw_quota_tenant_t *tenant, uint32_t counter,
                         const cw_quota_grant_t *grant)
{
    if (tenant != NULL && grant->sequence <= tenant->settled_sequence) {
        return;
    }
    if (tenant != NULL) {
        tenant->settled_sequence = grant->sequence;
    }
    send_return(share, counter, grant->tenant, grant->tokens, grant->record);
}

void cw_quota_share_granted(cw_quota_share_t *share, uint32_t counter, const cw_quota_grant_t *grant, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, grant->tenant);

    if (tenant == NULL || tenant->counter != counter || grant->sequence != tenant->ask.sequence) {
        reject_grant(share, tenant, counter, grant);
        return;
    }
    tenant->settled_sequence = grant->sequence;
    cw_quota_confirm_redirect(tenant, now);
    tenant->last_received_at = now;
    tenant->counter_has_replied = true;
    tenant->unconfirmed = 0;
    tenant->is_report_due = false;
    store_tokens(tenant, grant, now);
    tenant->is_unknown = grant->is_unknown;
    cw_quota_set_mode(share, tenant, cw_quota_mode_from_flags(grant->is_unknown, grant->is_metered), now);
    share->port.decided(share->port.context, tenant->hash);
    cw_quota_ask_if_due(share, tenant, now);
}
