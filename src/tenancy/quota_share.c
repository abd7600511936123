/**
 * @file quota_share.c
 * @brief Decides on requests according to the mode of their tenant on this node.
 */
#include "tenancy/quota_share.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"
#include "tenancy/quota_share_internal.h"

enum {
    /* Time for which the last message of a counting node is relied on: a few report intervals */
    STATUS_FRESH_MS = 2000,
    MAX_RETRY_AFTER_MS = 5000,
    MIN_RETRY_AFTER_MS = 20,
    FORMER_TOKENS_MS = 500, /* as long as a new bucket takes first reports (quota_bucket.c) */
    FORGET_AFTER_WINDOWS = 3
};

/* Multiple of what a report interval usually brings that is admitted without an ask. Occasionally
 * twice the usual number arrives without a particular cause. */
static const double expected_factor = 1.5;
/* Fraction of the depth of the bucket that one node admits without a reply */
static const double unconfirmed_part = 0.5;

cw_quota_share_t *cw_quota_share_create(const cw_quota_settings_t *settings, const cw_quota_port_t *port,
                                        uint32_t address, uint64_t incarnation)
{
    cw_quota_share_t *share = cw_memory_zeroed(sizeof(*share));

    share->settings = *settings;
    share->port = *port;
    share->address = address;
    share->incarnation = incarnation;
    share->nodes = 1;
    return share;
}

static void remove_tenant(cw_quota_share_t *share, cw_quota_tenant_t *tenant)
{
    HASH_DEL(share->tenants, tenant); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(tenant);
}

void cw_quota_share_free(cw_quota_share_t *share)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next_tenant;
    cw_quota_link_t   *link;
    cw_quota_link_t   *next_link;

    HASH_ITER(hh, share->tenants, tenant, next_tenant)
    {
        remove_tenant(share, tenant);
    }
    HASH_ITER(hh, share->links, link, next_link)
    {
        HASH_DEL(share->links, link); /* NOLINT(clang-analyzer-unix.Malloc) */
        free(link);
    }
    free(share);
}

void cw_quota_share_set_nodes(cw_quota_share_t *share, uint32_t nodes)
{
    share->nodes = nodes == 0 ? 1 : nodes;
}

/* ---- tenants ---- */

cw_quota_tenant_t *cw_quota_find_tenant(const cw_quota_share_t *share, uint32_t hash)
{
    cw_quota_tenant_t *tenant;

    HASH_FIND(hh, share->tenants, &hash, sizeof(hash), tenant);
    return tenant;
}

static cw_quota_tenant_t *find_or_add_tenant(cw_quota_share_t *share, uint32_t hash, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    if (tenant == NULL) {
        tenant = cw_memory_zeroed(sizeof(*tenant));
        tenant->hash = hash;
        tenant->mode = CW_QUOTA_FREE;
        tenant->last_received_at = now;
        tenant->last_request_at = now;
        HASH_ADD(hh, share->tenants, hash, sizeof(tenant->hash), tenant);
    }
    return tenant;
}

void cw_quota_set_mode(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_quota_mode_t mode, cw_time_us_t now)
{
    if (tenant->mode == mode) {
        return;
    }
    tenant->mode = mode;
    tenant->was_metered = mode == CW_QUOTA_ALONE ? tenant->was_metered : mode == CW_QUOTA_METERED;
    if (mode == CW_QUOTA_ALONE) {
        cw_quota_local_begin(share, tenant, now);
    }
    share->port.mode_changed(share->port.context, tenant->hash, mode, tenant->counter, now - tenant->last_received_at);
}

cw_quota_usage_t cw_quota_usage_of(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    return (cw_quota_usage_t){.tenant = tenant->hash,
                              .admitted = tenant->admitted,
                              .with_tokens = tenant->with_tokens,
                              .elsewhere = tenant->elsewhere,
                              .recent = cw_quota_recent_sum(share, &tenant->recent, now),
                              .is_metered = tenant->was_metered,
                              .uncounted = cw_quota_local_overdrawn(share, tenant, now) +
                                           (now < tenant->former_until ? tenant->former_tokens : 0)};
}

cw_quota_mode_t cw_quota_mode_from_flags(bool is_unknown, bool is_metered)
{
    if (is_unknown) {
        return CW_QUOTA_ALONE;
    }
    return is_metered ? CW_QUOTA_METERED : CW_QUOTA_FREE;
}

/* Two nodes that start at the same time may both count for a while. */
static void keep_former_tokens(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    uint32_t newest = cw_quota_recent_newest(share, &tenant->recent, now);

    tenant->former_tokens = tenant->with_tokens < newest ? (uint32_t)tenant->with_tokens : newest;
    tenant->former_until = now + CW_MS(FORMER_TOKENS_MS);
}

bool cw_quota_choose_counter(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    uint32_t counter = cw_quota_counter_for(share, tenant, now);

    if (counter != tenant->counter) {
        cw_quota_return_tokens(share, tenant);
        tenant->counter = counter;
        keep_former_tokens(share, tenant, now);
        tenant->with_tokens = 0;
        tenant->elsewhere = tenant->admitted;
        tenant->ask.sequence = 0;
        tenant->refuse_until = 0;
        tenant->counter_has_replied = false;
        tenant->is_unknown = false;
    }
    if (counter == 0) {
        cw_quota_set_mode(share, tenant, CW_QUOTA_ALONE, now);
        tenant->is_report_due = true; /* the next counting node will reply with the tenant's state */
    }
    return counter != 0;
}

/* ---- requests ---- */

/* Refused requests of this node get retry times as far apart as it is granted tokens: an equal part of the rate, and at
 * least one a second. */
static cw_time_us_t retry_delay(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double       rate = fmax(tenant->limit.rate_per_s / share->nodes, 1);
    cw_time_us_t least = now + CW_MS(MIN_RETRY_AFTER_MS);
    cw_time_us_t most = now + CW_MS(MAX_RETRY_AFTER_MS);
    cw_time_us_t at = tenant->retry_at < least ? least : tenant->retry_at;

    tenant->retry_at = at + (cw_time_us_t)(1e6 / rate);
    at = at > most ? most : at;
    return at - now;
}

/* Number of requests that may be admitted before the counting node confirms them: this node's part of what all nodes
 * together may admit. If the counting node has replied lately, one and a half times the number that is usual on this
 * node is added. With a small limit and many nodes the part is less than one, so that already the first request needs
 * an ask. */
static double free_mode_allowance(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double most = cw_quota_depth(&tenant->limit) * unconfirmed_part;
    double equal_part = most / share->nodes;
    bool   is_fresh = tenant->counter_has_replied && now - tenant->last_received_at < CW_MS(STATUS_FRESH_MS);

    return is_fresh
               ? fmax(1, fmin(most, equal_part + expected_factor * cw_quota_expected_per_report(share, tenant, now)))
               : equal_part;
}

static bool admit_in_free_mode(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->unreported + tenant->unconfirmed + 1 > free_mode_allowance(share, tenant, now)) {
        return false;
    }
    cw_quota_count_admitted(share, tenant, now);
    tenant->unreported++;
    return true;
}

static cw_quota_answer_t decide(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now,
                                cw_time_us_t *retry_after)
{
    if (cw_quota_use_token(share, tenant, now)) {
        return CW_QUOTA_ADMITTED;
    }
    if (tenant->mode == CW_QUOTA_FREE && admit_in_free_mode(share, tenant, now)) {
        return CW_QUOTA_ADMITTED;
    }
    if (tenant->mode == CW_QUOTA_ALONE) {
        if (!cw_quota_local_take(share, tenant, now, retry_after)) {
            return CW_QUOTA_REFUSED;
        }
        cw_quota_count_admitted(share, tenant, now);
        tenant->unreported++;
        return CW_QUOTA_ADMITTED;
    }
    if (now < tenant->refuse_until) {
        tenant->refused++;
        *retry_after = retry_delay(share, tenant, now);
        return CW_QUOTA_REFUSED;
    }
    return CW_QUOTA_WAIT;
}

static void set_limit(cw_quota_share_t *share, cw_quota_tenant_t *tenant, const cw_quota_limit_t *limit,
                      cw_time_us_t now)
{
    bool is_lower = limit->rate_per_s < tenant->limit.rate_per_s || limit->burst < tenant->limit.burst;

    tenant->limit = *limit;
    if (is_lower &&
        tenant->mode == CW_QUOTA_FREE) { /* until the counting node reports that the load is below the new limit too */
        cw_quota_set_mode(share, tenant, CW_QUOTA_METERED, now);
    }
}

cw_quota_answer_t cw_quota_share_enter(cw_quota_share_t *share, uint32_t hash, const cw_quota_limit_t *limit,
                                       cw_time_us_t now, cw_time_us_t *retry_after)
{
    cw_quota_tenant_t *tenant = find_or_add_tenant(share, hash, now);
    cw_quota_answer_t  answer;

    *retry_after = 0;
    set_limit(share, tenant, limit, now);
    tenant->last_request_at = now;
    if (tenant->counter == 0 || cw_quota_share_is_skipped(share, tenant->counter, now)) {
        cw_quota_choose_counter(share, tenant, now);
    }
    answer = decide(share, tenant, now, retry_after);
    if (answer == CW_QUOTA_WAIT) {
        tenant->waiting++;
        cw_quota_ask_if_due(share, tenant, now);
        if (tenant->mode == CW_QUOTA_ALONE) { /* there is no node to ask */
            return cw_quota_share_decide(share, hash, now, retry_after);
        }
    }
    return answer;
}

cw_quota_answer_t cw_quota_share_decide(cw_quota_share_t *share, uint32_t hash, cw_time_us_t now,
                                        cw_time_us_t *retry_after)
{
    cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);
    cw_quota_answer_t  answer;

    *retry_after = 0;
    if (tenant == NULL) {
        return CW_QUOTA_ADMITTED;
    }
    answer = decide(share, tenant, now, retry_after);
    if (answer != CW_QUOTA_WAIT && tenant->waiting > 0) {
        tenant->waiting--;
    }
    return answer;
}

void cw_quota_share_leave(cw_quota_share_t *share, uint32_t hash)
{
    cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    if (tenant != NULL && tenant->waiting > 0) {
        tenant->waiting--;
    }
}

/* ---- periodic work ---- */

/* Lets waiting requests be decided by the local bucket once no node is asked for them any more. */
static void decide_waiting_locally(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant)
{
    if (tenant->mode == CW_QUOTA_ALONE && tenant->waiting > 0) {
        share->port.decided(share->port.context, tenant->hash);
    }
}

/* True if the tenant has been idle for so long that the counting nodes have dropped their records: its counters may
 * start at zero again. */
static bool is_idle(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    return tenant->waiting == 0 && tenant->tokens == 0 && tenant->ask.sequence == 0 &&
           now - tenant->last_request_at >= FORGET_AFTER_WINDOWS * share->settings.window;
}

void cw_quota_share_tick(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    HASH_ITER(hh, share->tenants, tenant, next)
    {
        cw_quota_retry_ask(share, tenant, now);
        cw_quota_expire_tokens(share, tenant, now);
        cw_quota_ask_if_due(share, tenant, now);
        decide_waiting_locally(share, tenant);
        if (is_idle(share, tenant, now)) {
            remove_tenant(share, tenant);
        }
    }
    cw_quota_reports_tick(share, now);
}

/* ---- state for the log ---- */

cw_quota_mode_t cw_quota_share_mode(const cw_quota_share_t *share, uint32_t hash)
{
    const cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    return tenant == NULL ? CW_QUOTA_FREE : tenant->mode;
}

cw_time_us_t cw_quota_share_message_age(const cw_quota_share_t *share, uint32_t hash, cw_time_us_t now)
{
    const cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    return tenant == NULL ? 0 : now - tenant->last_received_at;
}

size_t cw_quota_share_tenants(const cw_quota_share_t *share)
{
    return HASH_COUNT(share->tenants);
}

size_t cw_quota_share_links(const cw_quota_share_t *share)
{
    return HASH_COUNT(share->links);
}
