/**
 * @file quota_reports.c
 * @brief Reports to counting nodes, and which of those do not reply.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "tenancy/quota_share_internal.h"

enum {
    SOONER_MS = 100,        /* between reports to one node, when a tenant sends more than is usual for it here; */
    AT_ONCE_MS = 20,        /* when that is a good part of its bucket */
    SOONER_COUNT = 2,       /* requests beyond what is usual */
    REPLY_MS = 50,          /* two ways between zones, and the turn of a node whose processor is busy */
    REPORTS_MOST = 2,       /* without a reply, until a counting node is in doubt; a datagram may be lost */
    PASS_OVER_REPORTS = 40, /* without a reply: 2 s, so that a node that stopped is missed by all before; with 0.4 of
                               the datagrams lost, one run of 50 million reaches it */
    SILENT_MS = 1000,       /* a node that stopped is missed by all by then (CW_PEER_TIMEOUT_MS); */
    SILENT_DOUBLINGS = 3,
    DECLINED_MS = 300,  /* one that has just started counts soon */
    USAGES_MOST = 48,   /* in one datagram of some 1,200 bytes */
    DATAGRAMS_MOST = 8, /* at once to one node: 10 KB, a few ms of a slow link; the rest when these have a reply */
    UNKNOWN_MS = 200,   /* between reports on a tenant that its counter does not know: a version spreads in a second */
    LINK_KEPT_S = 60    /* longer than any silence counts */
};

static const double good_part = 0.125; /* of a bucket */

cw_quota_link_t *cw_quota_link_to(cw_quota_share_t *share, uint32_t address)
{
    cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &address, sizeof(address), link);
    if (link == NULL) {
        link = cw_memory_zeroed(sizeof(*link));
        link->address = address;
        HASH_ADD(hh, share->links, address, sizeof(link->address), link);
    }
    return link;
}

bool cw_quota_share_is_silent(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    const cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &counter, sizeof(counter), link);
    return link != NULL && now < link->silent_until;
}

bool cw_quota_share_has_declined(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    const cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &counter, sizeof(counter), link);
    return link != NULL && link->has_declined && now < link->silent_until;
}

size_t cw_quota_share_declined_count(const cw_quota_share_t *share, cw_time_us_t now)
{
    const cw_quota_link_t *link;
    size_t                 count = 0;

    for (link = share->links; link != NULL; link = link->hh.next) {
        count += link->has_declined && now < link->silent_until ? 1 : 0;
    }
    return count;
}

/* ---- silent nodes ---- */

static void serve_alone(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    cw_quota_set_mode(share, tenant, CW_QUOTA_ALONE, now);
    cw_quota_choose(share, tenant, now);
    tenant->ask.sequence = 0;
    tenant->unconfirmed = 0;
    tenant->is_report_due = true;
    if (tenant->waiting > 0) {
        share->port.decided(share->port.context, tenant->hash);
    }
}

void cw_quota_doubt(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    HASH_ITER(hh, share->tenants, tenant, next)
    {
        if (tenant->counter == counter) {
            serve_alone(share, tenant, now);
        }
    }
}

static void pass_over(cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t until, cw_time_us_t now)
{
    link->silent_until = until;
    link->tries = 0;
    cw_quota_doubt(share, link->address, now);
}

/* Does no tenant need it, or is there a third node to ask? Else it may be counting while this node alone does not reach
 * it: its part goes on being reported to it, so that it is paid there as soon as reports arrive. */
static bool may_be_passed_over(const cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t now)
{
    cw_time_us_t             silent_until = link->silent_until;
    const cw_quota_tenant_t *tenant;
    bool                     is_needed = false;
    bool                     has_another = false;

    link->silent_until = now + 1; /* to choose without it */
    for (tenant = share->tenants; tenant != NULL && !has_another; tenant = tenant->hh.next) {
        if (tenant->counter == link->address) {
            uint32_t other = share->port.counter_of(share->port.context, tenant->hash);

            is_needed = true;
            has_another = other != 0 && other != share->address;
        }
    }
    link->silent_until = silent_until;
    return !is_needed || has_another;
}

/* A counting node did not reply for long: another one is asked for a while. */
static void pass_over_silent(cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t now)
{
    cw_time_us_t silence = CW_MS(SILENT_MS) << link->silences;

    link->has_declined = false;
    link->silences += link->silences < SILENT_DOUBLINGS ? 1 : 0;
    pass_over(share, link, now + silence, now);
}

void cw_quota_share_declined(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    cw_quota_link_t *link = cw_quota_link_to(share, counter);

    if (now >= link->silent_until) {
        link->has_declined = true;
        pass_over(share, link, now + CW_MS(DECLINED_MS), now);
    }
}

static void note_reply(const cw_quota_share_t *share, uint32_t counter)
{
    cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &counter, sizeof(counter), link);
    if (link == NULL) { /* nothing is kept against it */
        return;
    }
    link->tries = 0;
    link->silences = 0;
    link->has_declined = false;
    link->silent_until = 0;
}

/* ---- replies ---- */

static bool is_named(const uint32_t *tenants, size_t count, uint32_t tenant)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (tenants[index] == tenant) {
            return true;
        }
    }
    return false;
}

/* Place of the tenant among those that the sender does not count; redirected_count: it counts it. */
static size_t place_of_redirect(const cw_quota_status_t *status, uint32_t tenant)
{
    size_t place;

    for (place = 0; place < status->redirected_count && status->redirected[place] != tenant; place++) {
    }
    return place;
}

static void take_status(cw_quota_share_t *share, cw_quota_tenant_t *tenant, const cw_quota_status_t *status,
                        cw_time_us_t now)
{
    bool is_reply = status->sequence != 0 && tenant->reported_in == status->sequence;
    bool is_metered = is_named(status->metered, status->metered_count, tenant->hash);

    if (is_reply) {
        cw_quota_confirm_redirect(tenant, now);
        tenant->heard_at = now;
        tenant->has_word = true;
        tenant->unconfirmed = 0;
        tenant->is_report_due = false;
        tenant->is_unknown = is_named(status->unknown, status->unknown_count, tenant->hash);
    }
    if (is_metered || (is_reply && (tenant->is_unknown || tenant->waiting == 0))) {
        cw_quota_set_mode(share, tenant, cw_quota_mode_by(tenant->is_unknown, is_metered), now);
    }
}

void cw_quota_share_status(cw_quota_share_t *share, uint32_t counter, const cw_quota_status_t *status, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    note_reply(share, counter);
    HASH_ITER(hh, share->tenants, tenant, next)
    {
        size_t place = place_of_redirect(status, tenant->hash);

        if (tenant->counter != counter) {
            continue;
        }
        if (place < status->redirected_count) {
            cw_quota_take_redirect(share, tenant, status->counters[place], now);
        } else {
            take_status(share, tenant, status, now);
        }
    }
}

/* ---- reports ---- */

static bool is_due(const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->is_report_due) { /* until the reply has come */
        return now - tenant->reported_at >= CW_MS(AT_ONCE_MS);
    }
    return tenant->unreported > 0 || (tenant->is_unknown && now - tenant->heard_at >= CW_MS(UNKNOWN_MS));
}

static cw_time_us_t pause_of(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double usual = cw_quota_recent_sum(share, &tenant->recent, now) * (double)CW_MS(CW_QUOTA_PAUSE_MS) /
                   (double)share->settings.window;

    if (tenant->is_report_due || tenant->unreported >= cw_quota_depth(&tenant->limit) * good_part) {
        return CW_MS(AT_ONCE_MS);
    }
    return tenant->unreported >= usual + SOONER_COUNT ? CW_MS(SOONER_MS) : CW_MS(CW_QUOTA_PAUSE_MS);
}

/* Named in a report, or in an ask, that got no reply in time. */
static bool is_unconfirmed(const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    return tenant->unconfirmed > 0 && now - tenant->reported_at >= CW_MS(REPLY_MS);
}

static void send_report(cw_quota_share_t *share, cw_quota_link_t *link, const cw_quota_usage_t *usages, size_t count)
{
    share->port.report(share->port.context, link->address, link->sequence, usages, count);
    link->sequence = ++share->last_report;
}

/* Each datagram has its own sequence, and gets its own reply. What one may hold no more goes with the next. */
static void report(cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t now)
{
    cw_quota_usage_t   usages[USAGES_MOST];
    size_t             count = 0;
    size_t             full = 0;
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    link->sequence = ++share->last_report;
    link->tries++;
    link->sent_at = now;
    link->has_more = false;
    HASH_ITER(hh, share->tenants, tenant, next)
    {
        if (tenant->counter != link->address || !(is_due(tenant, now) || is_unconfirmed(tenant, now))) {
            continue;
        }
        if (full == DATAGRAMS_MOST) {
            link->has_more = true;
            break;
        }
        usages[count++] = cw_quota_usage_of(share, tenant, now);
        tenant->unconfirmed += tenant->unreported;
        tenant->unreported = 0;
        tenant->reported_in = link->sequence;
        tenant->reported_at = now;
        if (count == USAGES_MOST) {
            send_report(share, link, usages, count);
            full++;
            count = 0;
        }
    }
    if (count > 0 || full == 0) {
        send_report(share, link, usages, count);
    }
}

static void mark_due(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    HASH_ITER(hh, share->tenants, tenant, next)
    {
        cw_quota_link_t *link;

        if (!(is_due(tenant, now) || is_unconfirmed(tenant, now)) || !cw_quota_choose(share, tenant, now)) {
            continue;
        }
        link = cw_quota_link_to(share, tenant->counter);
        link->is_due = link->is_due || link->has_more || now - link->sent_at >= pause_of(share, tenant, now);
    }
}

static bool is_forgotten(const cw_quota_link_t *link, cw_time_us_t now)
{
    return link->tries == 0 && now - link->sent_at >= CW_SECONDS(LINK_KEPT_S) &&
           now - link->silent_until >= CW_SECONDS(LINK_KEPT_S);
}

void cw_quota_reports_tick(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_quota_link_t *link;
    cw_quota_link_t *next;

    mark_due(share, now);
    HASH_ITER(hh, share->links, link, next)
    {
        bool has_reply = link->tries == 0;
        bool is_overdue = !has_reply && now - link->sent_at >= CW_MS(REPLY_MS);

        if (is_overdue && link->tries == REPORTS_MOST) {
            cw_quota_doubt(share, link->address, now);
        }
        if (is_overdue && link->tries >= PASS_OVER_REPORTS && may_be_passed_over(share, link, now)) {
            pass_over_silent(share, link, now);
        } else if ((has_reply && link->is_due) || is_overdue) {
            report(share, link, now);
        }
        link->is_due = false;
        if (is_forgotten(link, now)) {
            HASH_DEL(share->links, link); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
            free(link);
        }
    }
}
