/**
 * @file configuration_exchange.c
 * @brief Asking other nodes for the configuration, and answering them.
 */
#include "router/configuration_exchange.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/send_allowance.h"

enum {
    REMEMBERED = 8,     /* earlier configurations, which changes are sent against: a storm brings some four a second */
    NEAR_WAIT_MS = 80,  /* two ticks and a datagram's way: a node of the own zone mostly turns up meanwhile */
    ASK_AGAIN_MS = 150, /* a page's way and a busy small machine's turn; a lost datagram costs this much */
    REDIRECT_MS = 40,   /* two ticks: the last pages' way to the node that is named */
    WINDOW_PAGES = 8,   /* asked for at a time: some 32 KB, a small part of a socket's buffer */
    BURST_MS = 200,     /* of the allowance, that may be sent at once */
    TRANSFERS_MAX = 4,  /* at a time: some end soon and serve others, which many at once would not */
    TRANSFER_IDLE_MS = 2 * ASK_AGAIN_MS, /* a node that asks no more has left, or asks another one */
    SERVED_MAX = 16 /* nodes remembered that have got the version from this one: each can serve as many */
};

/** A node that is being sent a version window by window. */
typedef struct transfer {
    uint32_t     address;  /**< 0: none */
    cw_time_us_t asked_at; /**< last */
} transfer_t;

struct cw_configuration_exchange {
    cw_configuration_exchange_owner_t owner;
    cw_configuration_t               *remembered[REMEMBERED]; /**< the newest first; NULL: none */
    cw_configuration_assembly_t       assembly;
    uint64_t                          newest;      /**< highest version that another node has */
    uint32_t                          holder;      /**< a node that has it */
    uint32_t                          next_holder; /**< another one, in another zone; 0: none */
    bool                              is_near;     /**< that node is in this node's zone */
    bool                              is_waiting;  /**< it was asked, and nothing has come from it since */
    uint32_t                          window_end;  /**< pages below this one were asked for */
    cw_time_us_t                      received_at; /**< the last page that was missing came; 0: none has */
    cw_time_us_t                      ask_at;      /**< next request */
    uint32_t                          answer_to;   /**< node that is being answered */
    cw_send_allowance_t               allowance;   /**< for pages */
    transfer_t                        transfers[TRANSFERS_MAX];
    uint32_t                          served[SERVED_MAX]; /**< nodes that got the last pages of the version in force */
    size_t                            served_count;
    size_t                            served_next; /**< the one to be named next */
};

cw_configuration_exchange_t *cw_configuration_exchange_create(const cw_configuration_exchange_owner_t *owner)
{
    cw_configuration_exchange_t *exchange = cw_memory_zeroed(sizeof(*exchange));

    exchange->owner = *owner;
    cw_send_allowance_init(&exchange->allowance, owner->bytes_per_s, CW_MS(BURST_MS));
    return exchange;
}

static const cw_configuration_t *in_force(const cw_configuration_exchange_t *exchange)
{
    return exchange->remembered[0];
}

static uint64_t version_in_force(const cw_configuration_exchange_t *exchange)
{
    return in_force(exchange) == NULL ? 0 : in_force(exchange)->version;
}

void cw_configuration_exchange_set(cw_configuration_exchange_t *exchange, cw_configuration_t *configuration)
{
    size_t index;

    cw_configuration_release(exchange->remembered[REMEMBERED - 1]);
    for (index = REMEMBERED - 1; index > 0; index--) {
        exchange->remembered[index] = exchange->remembered[index - 1];
    }
    exchange->remembered[0] = cw_configuration_hold(configuration);
    exchange->served_count = 0;
}

/* ---- asking ---- */

void cw_configuration_exchange_note(cw_configuration_exchange_t *exchange, uint32_t address, uint64_t version,
                                    bool is_near, cw_time_us_t now)
{
    bool is_nearer = is_near && !exchange->is_near;

    if (version <= version_in_force(exchange) || version < exchange->newest) {
        return;
    }
    if (version == exchange->newest && !is_near && exchange->is_near) {
        exchange->next_holder = address; /* should the one nearby not answer */
        return;
    }
    if (version > exchange->newest) {
        exchange->newest = version;
        exchange->next_holder = 0;
        exchange->ask_at = now + (is_near ? 0 : CW_MS(NEAR_WAIT_MS));
    } else if (is_nearer) {
        exchange->ask_at = now;
    } else if (!exchange->is_waiting) {
        return; /* the one that was found answers, or is nearer */
    }
    exchange->is_near = is_near;
    exchange->holder = address;
    cw_configuration_exchange_tick(exchange, now);
}

/* What has come of an earlier transfer is of use as long as it leads beyond the version in force. */
static bool is_assembling(const cw_configuration_exchange_t *exchange)
{
    return exchange->assembly.partial != NULL && exchange->assembly.partial->version > version_in_force(exchange);
}

static void ask(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    Cwp__ConfigurationRequest request = CWP__CONFIGURATION_REQUEST__INIT;
    Cwp__Datagram             datagram = CWP__DATAGRAM__INIT;

    if (exchange->is_waiting && exchange->next_holder != 0) {
        exchange->holder = exchange->next_holder;
        exchange->next_holder = 0;
        exchange->is_near = false;
    }
    exchange->ask_at = now + CW_MS(ASK_AGAIN_MS);
    exchange->is_waiting = true; /* the next node that has it is as good, should this one not answer */
    request.has = version_in_force(exchange);
    if (is_assembling(exchange)) {
        request.version = exchange->assembly.partial->version;
        request.first_page = cw_configuration_assembly_first_missing(&exchange->assembly);
    }
    exchange->window_end = request.first_page + WINDOW_PAGES;
    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION_REQUEST;
    datagram.configuration_request = &request;
    exchange->owner.send(exchange->owner.context, exchange->holder, &datagram);
}

void cw_configuration_exchange_tick(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    if (exchange->newest > version_in_force(exchange) && now >= exchange->ask_at) {
        ask(exchange, now);
    }
}

bool cw_configuration_exchange_is_receiving(const cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    return is_assembling(exchange) && now - exchange->received_at < 2 * CW_MS(ASK_AGAIN_MS);
}

/* ---- answering ---- */

static void send_page(void *context, const Cwp__ConfigurationPage *page)
{
    cw_configuration_exchange_t *exchange = context;
    Cwp__Datagram                datagram = CWP__DATAGRAM__INIT;

    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION;
    datagram.configuration = (Cwp__ConfigurationPage *)page;
    cw_send_allowance_spend(&exchange->allowance, cwp__datagram__get_packed_size(&datagram));
    exchange->owner.send(exchange->owner.context, exchange->answer_to, &datagram);
}

/* May more be sent now? */
static bool refill_allowance(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    cw_send_allowance_refill(&exchange->allowance, now);
    return cw_send_allowance_has_any(&exchange->allowance);
}

static const cw_configuration_t *find_remembered(const cw_configuration_exchange_t *exchange, uint64_t version)
{
    size_t index;

    for (index = 0; index < REMEMBERED && exchange->remembered[index] != NULL; index++) {
        if (exchange->remembered[index]->version == version) {
            return exchange->remembered[index];
        }
    }
    return NULL;
}

/* The place of this node's transfer, or one for it; NULL: all are taken. */
static transfer_t *find_transfer(cw_configuration_exchange_t *exchange, uint32_t address, cw_time_us_t now)
{
    transfer_t *found = NULL;
    size_t      index;

    for (index = 0; index < TRANSFERS_MAX; index++) {
        transfer_t *transfer = &exchange->transfers[index];

        if (transfer->address == address) {
            return transfer;
        }
        if (transfer->address == 0 || now - transfer->asked_at > CW_MS(TRANSFER_IDLE_MS)) {
            found = transfer;
        }
    }
    return found;
}

/* Names a node that has got the version from this one; while there is none, the asking node asks again. */
static void send_elsewhere(cw_configuration_exchange_t *exchange, uint32_t address)
{
    Cwp__ConfigurationPage page = CWP__CONFIGURATION_PAGE__INIT;

    if (exchange->served_count == 0) {
        return;
    }
    page.version = version_in_force(exchange);
    page.ask_instead = exchange->served[exchange->served_next++ % exchange->served_count];
    if (page.ask_instead != address) {
        exchange->answer_to = address;
        send_page(exchange, &page);
    }
}

static void end_transfer(cw_configuration_exchange_t *exchange, transfer_t *transfer, bool has_newest)
{
    if (has_newest && exchange->served_count < SERVED_MAX) { /* else enough are known that can be named */
        exchange->served[exchange->served_count++] = transfer->address;
    }
    transfer->address = 0;
}

void cw_configuration_exchange_take_request(cw_configuration_exchange_t *exchange, uint32_t address,
                                            const Cwp__ConfigurationRequest *request, cw_time_us_t now)
{
    const cw_configuration_t *sent = request->version == 0 ? NULL : find_remembered(exchange, request->version);
    cw_page_window_t          window = {.first = request->first_page, .count = WINDOW_PAGES};
    transfer_t               *transfer;

    if (sent == NULL) { /* it begins anew, with the newest */
        sent = in_force(exchange);
        window.first = 0;
    }
    if (sent == NULL || sent->version <= request->has) {
        return; /* it has as new a one already */
    }
    transfer = find_transfer(exchange, address, now);
    if (transfer == NULL || !refill_allowance(exchange, now)) {
        send_elsewhere(exchange, address);
        return;
    }
    *transfer = (transfer_t){.address = address, .asked_at = now};
    exchange->answer_to = address;
    if (cw_configuration_pages_make(find_remembered(exchange, request->has), sent, window, send_page, exchange)) {
        end_transfer(exchange, transfer, sent == in_force(exchange));
    }
}

/* All pages that were asked for have come: the next ones are asked for at once. */
static void go_on(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    if (is_assembling(exchange) &&
        cw_configuration_assembly_first_missing(&exchange->assembly) >= exchange->window_end) {
        ask(exchange, now);
    }
}

/* A while later: that node may not have the last pages itself yet. */
static void turn_to(cw_configuration_exchange_t *exchange, uint32_t address, cw_time_us_t now)
{
    exchange->holder = address;
    exchange->is_waiting = false;
    exchange->ask_at = now + CW_MS(REDIRECT_MS);
}

void cw_configuration_exchange_take_page(cw_configuration_exchange_t *exchange, uint32_t address,
                                         const Cwp__ConfigurationPage *page, cw_time_us_t now)
{
    uint32_t            before = exchange->assembly.received;
    cw_configuration_t *configuration;

    if (page->version <= version_in_force(exchange)) {
        return;
    }
    if (page->pages == 0 && page->ask_instead != 0) {
        turn_to(exchange, page->ask_instead, now);
        return;
    }
    if (page->pages == 0) {
        exchange->owner.too_large(exchange->owner.context);
        return;
    }
    configuration = cw_configuration_assembly_add_page(&exchange->assembly, in_force(exchange), page);
    if (configuration != NULL) {
        exchange->is_waiting = false;
        exchange->owner.received(exchange->owner.context, configuration);
    } else if (exchange->assembly.received != before) {
        exchange->received_at = now;
        exchange->is_waiting = exchange->is_waiting && address != exchange->holder;
        exchange->ask_at = now + CW_MS(ASK_AGAIN_MS);
        go_on(exchange, now);
    }
}
