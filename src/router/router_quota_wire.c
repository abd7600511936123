/**
 * @file router_quota_wire.c
 * @brief Sends and receives messages about tenants' limits: as datagrams, or from this node to itself.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/router_quota.h"

/* ---- messages to this node itself ---- */

/* Messages that are added during the delivery are delivered in the next iteration of the loop. */
static void on_deliver(uv_timer_t *timer)
{
    cw_router_quota_t  *quota = timer->data;
    cw_quota_message_t *messages = quota->self_messages;
    size_t              count = quota->self_message_count;
    size_t              index;

    quota->self_messages = NULL;
    quota->self_message_count = 0;
    quota->self_message_capacity = 0;
    for (index = 0; index < count; index++) {
        cw_router_quota_deliver(quota, cw_peer_link_own_address(quota->router->link), &messages[index]);
    }
    free(messages);
}

static void add_self_message(cw_router_quota_t *quota, const cw_quota_message_t *message)
{
    if (quota->self_message_count == quota->self_message_capacity) {
        quota->self_message_capacity = quota->self_message_capacity == 0 ? 4 : 2 * quota->self_message_capacity;
        quota->self_messages =
            cw_memory_resize(quota->self_messages, quota->self_message_capacity * sizeof(*quota->self_messages));
    }
    quota->self_messages[quota->self_message_count++] = *message;
    if (!uv_is_active((uv_handle_t *)&quota->deliver)) {
        uv_timer_start(&quota->deliver, on_deliver, 0, 0);
    }
}

void cw_router_quota_wire_init(cw_router_quota_t *quota)
{
    uv_timer_init(&quota->router->loop, &quota->deliver);
    quota->deliver.data = quota;
}

/* ---- sending datagrams ---- */

static void log_unsent(uint32_t to, const char *reason)
{
    struct in_addr address = {.s_addr = to};
    char           text[INET_ADDRSTRLEN] = "";
    cw_event_t     event;

    cw_metric_add(CW_METRIC_LIMIT_UNSENT, 1);
    if (cw_event_begin(&event, CW_EVENT_MESSAGE_UNSENT)) {
        cw_event_text(&event, CW_FIELD_ADDRESS, inet_ntop(AF_INET, &address, text, sizeof(text)));
        cw_event_text(&event, CW_FIELD_REASON, reason);
        cw_event_end(&event);
    }
}

static void send_datagram(cw_router_quota_t *quota, uint32_t to, const Cwp__Datagram *datagram)
{
    cw_router_t *router = quota->router;
    cw_peer_t   *peer = cw_peer_link_learn(router->link, to, cw_router_now(router));

    if (peer == NULL) {
        log_unsent(to, "no such peer");
    } else if (!cw_router_send_to(router, peer, datagram)) {
        log_unsent(to, "too long for a datagram");
    }
}

static void write_usage(Cwp__QuotaUsage *message, const cw_quota_usage_t *usage)
{
    cwp__quota_usage__init(message);
    message->tenant = usage->tenant;
    message->admitted = usage->admitted;
    message->with_tokens = usage->with_tokens;
    message->elsewhere = usage->elsewhere;
    message->recent = usage->recent;
    message->metered = usage->is_metered;
    message->uncounted = usage->uncounted;
}

/* Counts of another node that are parts of `admitted` are limited to it, since datagrams are not trusted. */
static cw_quota_usage_t read_usage(const Cwp__QuotaUsage *message)
{
    uint64_t admitted = message->admitted;

    return (cw_quota_usage_t){.tenant = message->tenant,
                              .admitted = admitted,
                              .with_tokens = message->with_tokens > admitted ? admitted : message->with_tokens,
                              .elsewhere = message->elsewhere > admitted ? admitted : message->elsewhere,
                              .recent = message->recent > admitted ? (uint32_t)admitted : message->recent,
                              .is_metered = message->metered,
                              .uncounted = message->uncounted > admitted ? (uint32_t)admitted : message->uncounted};
}

static void send_report(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message)
{
    Cwp__QuotaReport report = CWP__QUOTA_REPORT__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    Cwp__QuotaUsage  usages[CW_QUOTA_USAGES_MAX];
    Cwp__QuotaUsage *pointers[CW_QUOTA_USAGES_MAX];
    size_t           index;

    for (index = 0; index < message->count; index++) {
        write_usage(&usages[index], &message->usages[index]);
        pointers[index] = &usages[index];
    }
    report.incarnation = message->incarnation;
    report.sequence = message->sequence;
    report.version = message->version;
    report.n_usages = message->count;
    report.usages = pointers;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_REPORT;
    datagram.quota_report = &report;
    cw_metric_add(CW_METRIC_LIMIT_REPORTS, 1);
    send_datagram(quota, to, &datagram);
}

static void send_status(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message)
{
    Cwp__QuotaStatus status = CWP__QUOTA_STATUS__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    status.sequence = message->sequence;
    status.declines = message->declines;
    status.n_metered = message->count;
    status.metered = (uint32_t *)message->metered;
    status.n_unknown = message->unknown_count;
    status.unknown = (uint32_t *)message->unknown;
    status.n_redirected = message->redirected_count;
    status.redirected = (uint32_t *)message->redirected;
    status.n_counters = message->redirected_count;
    status.counters = (uint32_t *)message->counters;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_STATUS;
    datagram.quota_status = &status;
    send_datagram(quota, to, &datagram);
}

static void send_ask(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message)
{
    Cwp__QuotaAsk   ask = CWP__QUOTA_ASK__INIT;
    Cwp__QuotaUsage usage;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    write_usage(&usage, &message->ask.usage);
    ask.incarnation = message->ask.incarnation;
    ask.sequence = message->ask.sequence;
    ask.version = message->ask.version;
    ask.wanted = message->ask.wanted;
    ask.refused = message->ask.refused;
    ask.usage = &usage;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_ASK;
    datagram.quota_ask = &ask;
    cw_metric_add(CW_METRIC_LIMIT_ASKS, 1);
    send_datagram(quota, to, &datagram);
}

static void send_grant(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message)
{
    Cwp__QuotaGrant grant = CWP__QUOTA_GRANT__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    grant.tenant = message->grant.tenant;
    grant.sequence = message->grant.sequence;
    grant.tokens = message->grant.tokens;
    grant.retry_after_ms = (uint32_t)(message->grant.retry_after / 1000);
    grant.metered = message->grant.is_metered;
    grant.unknown = message->grant.is_unknown;
    grant.record = message->grant.record;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_GRANT;
    datagram.quota_grant = &grant;
    send_datagram(quota, to, &datagram);
}

static void send_return(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message)
{
    Cwp__QuotaReturn returned = CWP__QUOTA_RETURN__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    returned.tenant = message->returned.tenant;
    returned.tokens = message->returned.tokens;
    returned.record = message->returned.record;
    returned.number = message->returned.number;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_RETURN;
    datagram.quota_return = &returned;
    send_datagram(quota, to, &datagram);
}

void cw_router_quota_send(cw_router_quota_t *quota, uint32_t to, const cw_quota_message_t *message)
{
    static void (*const senders[])(cw_router_quota_t *, uint32_t, const cw_quota_message_t *) = {
        [CW_QUOTA_REPORT] = send_report, [CW_QUOTA_STATUS] = send_status, [CW_QUOTA_ASK] = send_ask,
        [CW_QUOTA_GRANT] = send_grant,   [CW_QUOTA_RETURN] = send_return,
    };

    if (to == cw_peer_link_own_address(quota->router->link)) {
        add_self_message(quota, message);
        return;
    }
    senders[message->kind](quota, to, message);
}

/* ---- receiving datagrams ---- */

void cw_router_handle_quota_report(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaReport *report)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_REPORT,
                                  .incarnation = report->incarnation,
                                  .sequence = report->sequence,
                                  .version = report->version};

    for (; message.count < report->n_usages && message.count < CW_QUOTA_USAGES_MAX; message.count++) {
        message.usages[message.count] = read_usage(report->usages[message.count]);
    }
    cw_router_quota_deliver(router->quota, peer->address, &message);
}

void cw_router_handle_quota_status(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaStatus *status)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_STATUS, .sequence = status->sequence, .declines = status->declines};

    for (; message.count < status->n_metered && message.count < CW_QUOTA_USAGES_MAX; message.count++) {
        message.metered[message.count] = status->metered[message.count];
    }
    for (; message.unknown_count < status->n_unknown && message.unknown_count < CW_QUOTA_USAGES_MAX;
         message.unknown_count++) {
        message.unknown[message.unknown_count] = status->unknown[message.unknown_count];
    }
    for (; message.redirected_count < status->n_redirected && message.redirected_count < status->n_counters &&
           message.redirected_count < CW_QUOTA_USAGES_MAX;
         message.redirected_count++) {
        message.redirected[message.redirected_count] = status->redirected[message.redirected_count];
        message.counters[message.redirected_count] = status->counters[message.redirected_count];
    }
    cw_router_quota_deliver(router->quota, peer->address, &message);
}

void cw_router_handle_quota_ask(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaAsk *ask)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_ASK,
                                  .ask = {.incarnation = ask->incarnation,
                                          .version = ask->version,
                                          .sequence = ask->sequence,
                                          .wanted = ask->wanted,
                                          .refused = ask->refused}};

    if (ask->usage == NULL) {
        return; /* of a later version: it gets no reply, so the sender asks another node */
    }
    message.ask.usage = read_usage(ask->usage);
    cw_router_quota_deliver(router->quota, peer->address, &message);
}

void cw_router_handle_quota_grant(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaGrant *grant)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_GRANT,
                                  .grant = {.tenant = grant->tenant,
                                            .sequence = grant->sequence,
                                            .tokens = grant->tokens,
                                            .retry_after = CW_MS(grant->retry_after_ms),
                                            .is_metered = grant->metered,
                                            .is_unknown = grant->unknown,
                                            .record = grant->record}};

    cw_router_quota_deliver(router->quota, peer->address, &message);
}

void cw_router_handle_quota_return(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaReturn *returned)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_RETURN,
                                  .returned = {.tenant = returned->tenant,
                                               .tokens = returned->tokens,
                                               .record = returned->record,
                                               .number = returned->number}};

    cw_router_quota_deliver(router->quota, peer->address, &message);
}
