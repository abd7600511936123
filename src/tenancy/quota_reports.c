/**
 * @file quota_reports.c
 * @brief Sends reports to counting nodes and detects which of them do not reply.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "tenancy/quota_share_internal.h"

enum {
    FAST_INTERVAL_MS = 100,     /* between reports to one node while a tenant sends more than is usual for it here */
    IMMEDIATE_INTERVAL_MS = 20, /* between reports to one node while the unreported requests are a large part of the
                                   bucket, or a reply is needed */
    FAST_EXCESS_REQUESTS = 2,   /* requests beyond the usual number from which reports are sent at FAST_INTERVAL_MS */
    /* Two transits between zones, and the time until a node with a busy processor gets to the message */
    REPLY_TIMEOUT_MS = 50,
    SUSPECT_AFTER_REPORTS = 2, /* reports without a reply after which a counting node is suspect; more than one, since a
                                  datagram may be lost */
    SKIP_AFTER_REPORTS = 40,   /* reports without a reply after which a counting node is skipped. They take 2 s, so that
                                  all nodes lose a node that stopped as a peer before that. If 0.4 of the datagrams are
                                  lost, one in 50 million series of reports gets this far. */
    SKIP_UNRESPONSIVE_MS = 1000, /* first time for which an unresponsive node is skipped: within it all nodes have lost
                              a node that stopped as a peer (CW_PEER_TIMEOUT_MS) */
    MAX_SKIP_DOUBLINGS = 3,
    SKIP_DECLINED_MS = 300,       /* a node that has just started will count soon */
    MAX_USAGES_PER_DATAGRAM = 48, /* they fill a datagram of about 1,200 bytes */
    MAX_FULL_DATAGRAMS = 8, /* sent at once to one node: 10 KB, which take a slow link a few ms; the rest is sent when
                               these have a reply */
    UNKNOWN_INTERVAL_MS = 200, /* between reports about a tenant that its counting node does not know: a version of the
                                  configuration reaches all nodes in about a second */
    FORGET_LINK_S = 60         /* longer than any time for which a node is skipped */
};

static const double large_part = 0.125; /* fraction of the depth of a bucket */

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

bool cw_quota_share_is_skipped(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    const cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &counter, sizeof(counter), link);
    return link != NULL && now < link->skipped_until;
}

bool cw_quota_share_has_declined(const cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    const cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &counter, sizeof(counter), link);
    return link != NULL && link->has_declined && now < link->skipped_until;
}

size_t cw_quota_share_declined_count(const cw_quota_share_t *share, cw_time_us_t now)
{
    const cw_quota_link_t *link;
    size_t                 count = 0;

    for (link = share->links; link != NULL; link = link->hh.next) {
        count += link->has_declined && now < link->skipped_until ? 1 : 0;
    }
    return count;
}

/* ---- unresponsive counting nodes ---- */

static void enter_alone_mode(cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    cw_quota_set_mode(share, tenant, CW_QUOTA_ALONE, now);
    cw_quota_choose_counter(share, tenant, now);
    tenant->ask.sequence = 0;
    tenant->unconfirmed = 0;
    tenant->is_report_due = true;
    if (tenant->waiting > 0) {
        share->port.decided(share->port.context, tenant->hash);
    }
}

void cw_quota_suspect_counter(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    HASH_ITER(hh, share->tenants, tenant, next)
    {
        if (tenant->counter == counter) {
            enter_alone_mode(share, tenant, now);
        }
    }
}

static void skip_until(cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t until, cw_time_us_t now)
{
    link->skipped_until = until;
    link->tries = 0;
    cw_quota_suspect_counter(share, link->address, now);
}

/* True if no tenant needs the counting node, or if there is a third node to ask for one. Otherwise that node may be
 * counting while only this node cannot reach it. In that case this node continues to report to it, so that what it
 * admits is deducted there as soon as reports arrive. */
static bool may_be_skipped(const cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t now)
{
    cw_time_us_t             skipped_until = link->skipped_until;
    const cw_quota_tenant_t *tenant;
    bool                     is_needed = false;
    bool                     has_another = false;

    link->skipped_until = now + 1; /* so that the choice leaves it out */
    for (tenant = share->tenants; tenant != NULL && !has_another; tenant = tenant->hh.next) {
        if (tenant->counter == link->address) {
            uint32_t other = share->port.counter_of(share->port.context, tenant->hash);

            is_needed = true;
            has_another = other != 0 && other != share->address;
        }
    }
    link->skipped_until = skipped_until;
    return !is_needed || has_another;
}

/* Skips a counting node that has not replied for long: another one is asked for a while. */
static void skip_unresponsive(cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t now)
{
    cw_time_us_t skip_time = CW_MS(SKIP_UNRESPONSIVE_MS) << link->timeouts_in_a_row;

    link->has_declined = false;
    link->timeouts_in_a_row += link->timeouts_in_a_row < MAX_SKIP_DOUBLINGS ? 1 : 0;
    skip_until(share, link, now + skip_time, now);
}

void cw_quota_share_declined(cw_quota_share_t *share, uint32_t counter, cw_time_us_t now)
{
    cw_quota_link_t *link = cw_quota_link_to(share, counter);

    if (now >= link->skipped_until) {
        link->has_declined = true;
        skip_until(share, link, now + CW_MS(SKIP_DECLINED_MS), now);
    }
}

static void record_reply(const cw_quota_share_t *share, uint32_t counter)
{
    cw_quota_link_t *link;

    HASH_FIND(hh, share->links, &counter, sizeof(counter), link);
    if (link == NULL) { /* no state to clear */
        return;
    }
    link->tries = 0;
    link->timeouts_in_a_row = 0;
    link->has_declined = false;
    link->skipped_until = 0;
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

/* Index of the tenant among those that the sender does not count; redirected_count if it counts the tenant. */
static size_t redirect_index(const cw_quota_status_t *status, uint32_t tenant)
{
    size_t index;

    for (index = 0; index < status->redirected_count && status->redirected[index] != tenant; index++) {
    }
    return index;
}

static void apply_status(cw_quota_share_t *share, cw_quota_tenant_t *tenant, const cw_quota_status_t *status,
                         cw_time_us_t now)
{
    bool is_reply = status->sequence != 0 && tenant->reported_in == status->sequence;
    bool is_metered = is_named(status->metered, status->metered_count, tenant->hash);

    if (is_reply) {
        cw_quota_confirm_redirect(tenant, now);
        tenant->last_received_at = now;
        tenant->counter_has_replied = true;
        tenant->unconfirmed = 0;
        tenant->is_report_due = false;
        tenant->is_unknown = is_named(status->unknown, status->unknown_count, tenant->hash);
    }
    if (is_metered || (is_reply && (tenant->is_unknown || tenant->waiting == 0))) {
        cw_quota_set_mode(share, tenant, cw_quota_mode_from_flags(tenant->is_unknown, is_metered), now);
    }
}

void cw_quota_share_status(cw_quota_share_t *share, uint32_t counter, const cw_quota_status_t *status, cw_time_us_t now)
{
    cw_quota_tenant_t *tenant;
    cw_quota_tenant_t *next;

    record_reply(share, counter);
    HASH_ITER(hh, share->tenants, tenant, next)
    {
        size_t index = redirect_index(status, tenant->hash);

        if (tenant->counter != counter) {
            continue;
        }
        if (index < status->redirected_count) {
            cw_quota_follow_redirect(share, tenant, status->counters[index], now);
        } else {
            apply_status(share, tenant, status, now);
        }
    }
}

/* ---- reports ---- */

static bool is_due(const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    if (tenant->is_report_due) { /* repeated until a reply arrives */
        return now - tenant->reported_at >= CW_MS(IMMEDIATE_INTERVAL_MS);
    }
    return tenant->unreported > 0 ||
           (tenant->is_unknown && now - tenant->last_received_at >= CW_MS(UNKNOWN_INTERVAL_MS));
}

static cw_time_us_t report_interval(const cw_quota_share_t *share, cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    double expected = cw_quota_recent_sum(share, &tenant->recent, now) * (double)CW_MS(CW_QUOTA_REPORT_INTERVAL_MS) /
                      (double)share->settings.window;

    if (tenant->is_report_due || tenant->unreported >= cw_quota_depth(&tenant->limit) * large_part) {
        return CW_MS(IMMEDIATE_INTERVAL_MS);
    }
    return tenant->unreported >= expected + FAST_EXCESS_REQUESTS ? CW_MS(FAST_INTERVAL_MS)
                                                                 : CW_MS(CW_QUOTA_REPORT_INTERVAL_MS);
}

/* True if the tenant was in a report or an ask that got no reply in time. */
static bool is_unconfirmed(const cw_quota_tenant_t *tenant, cw_time_us_t now)
{
    return tenant->unconfirmed > 0 && now - tenant->reported_at >= CW_MS(REPLY_TIMEOUT_MS);
}

static void send_report(cw_quota_share_t *share, cw_quota_link_t *link, const cw_quota_usage_t *usages, size_t count)
{
    share->port.report(share->port.context, link->address, link->sequence, usages, count);
    link->sequence = ++share->last_report;
}

/* Each datagram has its own sequence and gets its own reply. Usage that does not fit into a datagram goes into the next
 * one. */
static void report(cw_quota_share_t *share, cw_quota_link_t *link, cw_time_us_t now)
{
    cw_quota_usage_t   usages[MAX_USAGES_PER_DATAGRAM];
    size_t             count = 0;
    size_t             full_datagrams = 0;
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
        if (full_datagrams == MAX_FULL_DATAGRAMS) {
            link->has_more = true;
            break;
        }
        usages[count++] = cw_quota_usage_of(share, tenant, now);
        tenant->unconfirmed += tenant->unreported;
        tenant->unreported = 0;
        tenant->reported_in = link->sequence;
        tenant->reported_at = now;
        if (count == MAX_USAGES_PER_DATAGRAM) {
            send_report(share, link, usages, count);
            full_datagrams++;
            count = 0;
        }
    }
    if (count > 0 || full_datagrams == 0) {
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

        if (!(is_due(tenant, now) || is_unconfirmed(tenant, now)) || !cw_quota_choose_counter(share, tenant, now)) {
            continue;
        }
        link = cw_quota_link_to(share, tenant->counter);
        link->is_due = link->is_due || link->has_more || now - link->sent_at >= report_interval(share, tenant, now);
    }
}

static bool is_unused(const cw_quota_link_t *link, cw_time_us_t now)
{
    return link->tries == 0 && now - link->sent_at >= CW_SECONDS(FORGET_LINK_S) &&
           now - link->skipped_until >= CW_SECONDS(FORGET_LINK_S);
}

void cw_quota_reports_tick(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_quota_link_t *link;
    cw_quota_link_t *next;

    mark_due(share, now);
    HASH_ITER(hh, share->links, link, next)
    {
        bool has_reply = link->tries == 0;
        bool is_overdue = !has_reply && now - link->sent_at >= CW_MS(REPLY_TIMEOUT_MS);

        if (is_overdue && link->tries == SUSPECT_AFTER_REPORTS) {
            cw_quota_suspect_counter(share, link->address, now);
        }
        if (is_overdue && link->tries >= SKIP_AFTER_REPORTS && may_be_skipped(share, link, now)) {
            skip_unresponsive(share, link, now);
        } else if ((has_reply && link->is_due) || is_overdue) {
            report(share, link, now);
        }
        link->is_due = false;
        if (is_unused(link, now)) {
            HASH_DEL(share->links, link); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
            free(link);
        }
    }
}
