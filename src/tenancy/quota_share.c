/**
 * @file quota_share.c
 * @brief What becomes of a request, by the tenant's mode at this node.
 */
#include "tenancy/quota_share.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"
#include "tenancy/quota_share_internal.h"

enum {
    FRESH_MS = 2000, /* a counting node's word is gone by for so long: a few report pauses */
    COME_BACK_MOST_MS = 5000,
    COME_BACK_LEAST_MS = 20,
    FORGET_WINDOWS = 3
};

static const double usual_times =
    1.5; /* of what a report pause usually brings: twice that comes without a cause, too */
static const double unconfirmed_part = 0.5; /* of the bucket, that one node lets through without a reply */

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

static void drop_tenant(cw_quota_share_t *share, cw_quota_tenant_t *tenant)
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
        drop_tenant(share, tenant);
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

static cw_quota_tenant_t *use_tenant(cw_quota_share_t *share, uint32_t hash, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    if (tenant == NULL) {
        tenant = cw_memory_zeroed(sizeof(*tenant));
        tenant->hash = hash;
        tenant->mode = CW_QUOTA_FREE;
        tenant->heard_at = now;
        tenant->came_at = now;
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
        cw_quota_part_begin(share, tenant, now);
    }
    share->port.mode_changed(share->port.context, tenant->hash, mode, tenant->counter, now - tenant->heard_at);
}

cw_quota_usage_t cw_quota_usage_of(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    return (cw_quota_usage_t){.tenant = tenant->hash,
                              .admitted = tenant->admitted,
                              .with_tokens = tenant->with_tokens,
                              .elsewhere = tenant->elsewhere,
                              .recent = cw_quota_recent_sum(share, &tenant->recent, now),
                              .is_metered = tenant->was_metered};
}

cw_quota_mode_t cw_quota_mode_by(bool is_unknown, bool is_metered)
{
    if (is_unknown) {
        return CW_QUOTA_ALONE;
    }
    return is_metered ? CW_QUOTA_METERED : CW_QUOTA_FREE;
}

bool cw_quota_choose(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    uint32_t counter = cw_quota_counter_for(share, tenant, now);

    if (counter != tenant->counter) {
        cw_quota_return_tokens(share, tenant);
        tenant->counter = counter;
        tenant->with_tokens = 0;
        tenant->elsewhere = tenant->admitted;
        tenant->ask.sequence = 0;
        tenant->refuse_until = 0;
        tenant->has_word = false;
        tenant->is_unknown = false;
    }
    if (counter == 0) {
        cw_quota_set_mode(share, tenant, CW_QUOTA_ALONE, now);
        tenant->is_report_due = true; /* the node that counts next says how the tenant stands */
    }
    return counter != 0;
}

/* ---- a request comes ---- */

/* Requests of this node are told moments as far apart as it gets tokens: its part of the rate by what it asks for. */
static cw_time_us_t come_back_after(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double       rate = fmax(tenant->limit.rate_per_s / share->nodes, 1);
    cw_time_us_t least = now + CW_MS(COME_BACK_LEAST_MS);
    cw_time_us_t most = now + CW_MS(COME_BACK_MOST_MS);
    cw_time_us_t at = tenant->come_back_at < least ? least : tenant->come_back_at;

    tenant->come_back_at = at + (cw_time_us_t)(1e6 / rate);
    at = at > most ? most : at;
    return at - now;
}

/* What may be let through without the counting node's word: as much as all nodes together may, and half as much again
 * as is usual here where that word came lately. With a small limit and many nodes that is not even one, and the first
 * request asks. */
static double free_bound(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double most = cw_quota_depth(&tenant->limit) * unconfirmed_part;
    double part = most / share->nodes;
    bool   is_fresh = tenant->has_word && now - tenant->heard_at < CW_MS(FRESH_MS);

    return is_fresh ? fmax(1, fmin(most, part + usual_times * cw_quota_usual(share, tenant, now))) : part;
}

static bool enter_free(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->unreported + tenant->unconfirmed + 1 > free_bound(share, tenant, now)) {
        return false;
    }
    cw_quota_let_through(share, tenant, now);
    tenant->unreported++;
    return true;
}

static cw_quota_answer_t decide(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now,
                                cw_time_us_t *retry_after)
{
    if (cw_quota_use_token(share, tenant, now)) {
        return CW_QUOTA_ADMITTED;
    }
    if (tenant->mode == CW_QUOTA_FREE && enter_free(share, tenant, now)) {
        return CW_QUOTA_ADMITTED;
    }
    if (tenant->mode == CW_QUOTA_ALONE) {
        if (!cw_quota_part_take(share, tenant, now, retry_after)) {
            return CW_QUOTA_REFUSED;
        }
        cw_quota_let_through(share, tenant, now);
        tenant->unreported++;
        return CW_QUOTA_ADMITTED;
    }
    if (now < tenant->refuse_until) {
        tenant->refused++;
        *retry_after = come_back_after(share, tenant, now);
        return CW_QUOTA_REFUSED;
    }
    return CW_QUOTA_WAIT;
}

static void set_limit(cw_quota_share_t *share, cw_quota_tenant_t *tenant, const cw_quota_limit_t *limit,
                      cw_time_us_t now)
{
    bool is_lower = limit->rate_per_s < tenant->limit.rate_per_s || limit->burst < tenant->limit.burst;

    tenant->limit = *limit;
    if (is_lower && tenant->mode == CW_QUOTA_FREE) { /* until the counting node says that it is below this one too */
        cw_quota_set_mode(share, tenant, CW_QUOTA_METERED, now);
    }
}

cw_quota_answer_t cw_quota_share_enter(cw_quota_share_t *share, uint32_t hash, const cw_quota_limit_t *limit,
                                       cw_time_us_t now, cw_time_us_t *retry_after)
{
    cw_quota_tenant_t *tenant = use_tenant(share, hash, now);
    cw_quota_answer_t  answer;

    *retry_after = 0;
    set_limit(share, tenant, limit, now);
    tenant->came_at = now;
    if (tenant->counter == 0 || cw_quota_share_is_silent(share, tenant->counter, now)) {
        cw_quota_choose(share, tenant, now);
    }
    answer = decide(share, tenant, now, retry_after);
    if (answer == CW_QUOTA_WAIT) {
        tenant->waiting++;
        cw_quota_ask_if_due(share, tenant, now);
        if (tenant->mode == CW_QUOTA_ALONE) { /* nobody to ask */
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

/* ---- time ---- */

/* Nobody is asked any more for those that wait: this node's own part decides. */
static void decide_alone(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant)
{
    if (tenant->mode == CW_QUOTA_ALONE && tenant->waiting > 0) {
        share->port.decided(share->port.context, tenant->hash);
    }
}

/* The counting nodes have forgotten it by then, so its counts may begin anew. */
static bool is_forgotten(const cw_quota_share_t *share, const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    return tenant->waiting == 0 && tenant->tokens == 0 && tenant->ask.sequence == 0 &&
           now - tenant->came_at >= FORGET_WINDOWS * share->settings.window;
}

void cw_quota_share_tick(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    HASH_ITER(hh, share->tenants, tenant, next)
    {
        cw_quota_ask_again(share, tenant, now);
        cw_quota_expire(share, tenant, now);
        cw_quota_ask_if_due(share, tenant, now);
        decide_alone(share, tenant);
        if (is_forgotten(share, tenant, now)) {
            drop_tenant(share, tenant);
        }
    }
    cw_quota_reports_tick(share, now);
}

/* ---- for the log ---- */

cw_quota_mode_t cw_quota_share_mode(const cw_quota_share_t *share, uint32_t hash)
{
    const cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    return tenant == NULL ? CW_QUOTA_FREE : tenant->mode;
}

cw_time_us_t cw_quota_share_message_age(const cw_quota_share_t *share, uint32_t hash, cw_time_us_t now)
{
    const cw_quota_tenant_t *tenant = cw_quota_find_tenant(share, hash);

    return tenant == NULL ? 0 : now - tenant->heard_at;
}

size_t cw_quota_share_tenants(const cw_quota_share_t *share)
{
    return HASH_COUNT(share->tenants);
}

size_t cw_quota_share_links(const cw_quota_share_t *share)
{
    return HASH_COUNT(share->links);
}
