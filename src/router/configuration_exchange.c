/**
 * @file configuration_exchange.c
 * @brief Requests for the configuration to other nodes, and replies to theirs.
 */
#include "router/configuration_exchange.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/send_allowance.h"

enum {
    KEPT_VERSIONS = 8, /* changes are sent relative to these; frequent changes produce about four versions a second */
    SAME_ZONE_WAIT_MS = 80, /* two ticks and a datagram's delay: mostly enough to find a node of the same zone */
    RETRY_MS = 150,         /* delay of a page and of a busy small machine; a lost datagram costs this much time */
    REDIRECT_MS = 40,       /* two ticks, in which the last pages reach the node that was named */
    WINDOW_PAGES = 8,       /* pages of one request: about 32 KB, a small part of a socket's buffer */
    BURST_MS = 200,         /* part of the allowance that may be sent at once */
    /* Simultaneous transfers: a few end soon and their receivers serve others; many would all end late. */
    TRANSFERS_MAX = 4,
    TRANSFER_IDLE_MS = 2 * RETRY_MS, /* a node that sends no request for so long has left, or asks another node */
    SERVED_MAX = 16 /* kept addresses of nodes that received the version from this one; each can serve as many */
};

/** A node to which a version is being sent window by window. The version and its base are retained until the end, since
 * newer versions may replace them among the kept ones long before. */
typedef struct transfer {
    uint32_t            address;      /**< 0: none */
    cw_time_us_t        requested_at; /**< last request */
    cw_configuration_t *sent;
    cw_configuration_t *base;    /**< version that the node has; NULL: not kept, so the whole configuration is sent */
    bool                is_sent; /**< the last window was sent; pages of it may have been lost */
} transfer_t;

struct cw_configuration_exchange {
    cw_configuration_exchange_owner_t owner;
    cw_configuration_t *kept_versions[KEPT_VERSIONS]; /**< newest first; the first one is in force; NULL: none */
    cw_configuration_assembly_t assembly;
    uint64_t                    newest;       /**< highest version that another node has */
    uint32_t                    holder;       /**< a node that has the newest version and is asked for it */
    uint32_t                    next_holder;  /**< another node that has the newest version, in another zone; 0: none */
    bool                        is_same_zone; /**< `holder` is in this node's zone */
    bool                        is_awaiting_reply; /**< `holder` was asked and has sent nothing since */
    uint32_t                    window_end;        /**< pages below this one have been requested */
    cw_time_us_t                received_at;       /**< when a missing page was last received; 0: never */
    cw_time_us_t                next_request_at;   /**< time of the next request */
    uint32_t                    reply_address;     /**< node to which pages are being sent */
    cw_send_allowance_t         allowance;         /**< for pages */
    transfer_t                  transfers[TRANSFERS_MAX];
    uint32_t                    served[SERVED_MAX]; /**< nodes that received the last pages of the version in force */
    size_t                      served_count;
    size_t                      served_next; /**< index of the next one to be named in a redirect */
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
    return exchange->kept_versions[0];
}

static uint64_t version_in_force(const cw_configuration_exchange_t *exchange)
{
    return in_force(exchange) == NULL ? 0 : in_force(exchange)->version;
}

void cw_configuration_exchange_set(cw_configuration_exchange_t *exchange, cw_configuration_t *configuration)
{
    size_t index;

    cw_configuration_release(exchange->kept_versions[KEPT_VERSIONS - 1]);
    for (index = KEPT_VERSIONS - 1; index > 0; index--) {
        exchange->kept_versions[index] = exchange->kept_versions[index - 1];
    }
    exchange->kept_versions[0] = cw_configuration_retain(configuration);
    exchange->served_count = 0;
}

static void clear_transfer(transfer_t *transfer)
{
    cw_configuration_release(transfer->sent);
    cw_configuration_release(transfer->base);
    *transfer = (transfer_t){0};
}

static bool is_abandoned(const transfer_t *transfer, cw_time_us_t now)
{
    return transfer->address != 0 && now - transfer->requested_at > CW_MS(TRANSFER_IDLE_MS);
}

static void clear_abandoned_transfers(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < TRANSFERS_MAX; index++) {
        if (is_abandoned(&exchange->transfers[index], now)) {
            clear_transfer(&exchange->transfers[index]);
        }
    }
}

/* ---- requests ---- */

void cw_configuration_exchange_record_holder(cw_configuration_exchange_t *exchange, uint32_t address, uint64_t version,
                                             bool is_same_zone, cw_time_us_t now)
{
    bool is_closer = is_same_zone && !exchange->is_same_zone;

    if (version <= version_in_force(exchange) || version < exchange->newest) {
        return;
    }
    if (version == exchange->newest && !is_same_zone && exchange->is_same_zone) {
        exchange->next_holder = address; /* asked if the one in the same zone does not reply */
        return;
    }
    if (version > exchange->newest) {
        bool         is_request_due = exchange->newest > version_in_force(exchange);
        cw_time_us_t request_at = now + (is_same_zone ? 0 : CW_MS(SAME_ZONE_WAIT_MS));

        exchange->newest = version;
        exchange->next_holder = 0;
        if (!is_request_due || request_at < exchange->next_request_at) {
            exchange->next_request_at = request_at;
        }
    } else if (is_closer) {
        exchange->next_request_at = now;
    } else if (!exchange->is_awaiting_reply) {
        return; /* the present holder replies, or is in the same zone */
    }
    exchange->is_same_zone = is_same_zone;
    exchange->holder = address;
    cw_configuration_exchange_tick(exchange, now);
}

/* True if pages have been received of a version that is still higher than the one in force. */
static bool is_assembling(const cw_configuration_exchange_t *exchange)
{
    return exchange->assembly.partial != NULL && exchange->assembly.partial->version > version_in_force(exchange);
}

static void send_request(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    Cwp__ConfigurationRequest request = CWP__CONFIGURATION_REQUEST__INIT;
    Cwp__Datagram             datagram = CWP__DATAGRAM__INIT;

    if (exchange->is_awaiting_reply && exchange->next_holder != 0) {
        exchange->holder = exchange->next_holder;
        exchange->next_holder = 0;
        exchange->is_same_zone = false;
    }
    exchange->next_request_at = now + CW_MS(RETRY_MS);
    exchange->is_awaiting_reply = true; /* meanwhile any other node that has the version may replace the holder */
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
    clear_abandoned_transfers(exchange, now);
    if (exchange->newest > version_in_force(exchange) && now >= exchange->next_request_at) {
        send_request(exchange, now);
    }
}

bool cw_configuration_exchange_is_receiving(const cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    return is_assembling(exchange) && now - exchange->received_at < 2 * CW_MS(RETRY_MS);
}

/* ---- replies ---- */

static void send_page(void *context, const Cwp__ConfigurationPage *page)
{
    cw_configuration_exchange_t *exchange = context;
    Cwp__Datagram                datagram = CWP__DATAGRAM__INIT;

    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION;
    datagram.configuration = (Cwp__ConfigurationPage *)page;
    cw_send_allowance_spend(&exchange->allowance, cwp__datagram__get_packed_size(&datagram));
    exchange->owner.send(exchange->owner.context, exchange->reply_address, &datagram);
}

/* Returns true if more may be sent now. */
static bool refill_allowance(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    cw_send_allowance_refill(&exchange->allowance, now);
    return cw_send_allowance_has_any(&exchange->allowance);
}

static cw_configuration_t *find_kept_version(const cw_configuration_exchange_t *exchange, uint64_t version)
{
    size_t index;

    for (index = 0; index < KEPT_VERSIONS && exchange->kept_versions[index] != NULL; index++) {
        if (exchange->kept_versions[index]->version == version) {
            return exchange->kept_versions[index];
        }
    }
    return NULL;
}

/* The entry of this node's transfer, a free one, or one whose last window was sent; NULL: all are in use. */
static transfer_t *find_transfer(cw_configuration_exchange_t *exchange, uint32_t address)
{
    transfer_t *found = NULL;
    size_t      index;

    for (index = 0; index < TRANSFERS_MAX; index++) {
        transfer_t *transfer = &exchange->transfers[index];

        if (transfer->address == address) {
            return transfer;
        }
        if (transfer->address == 0 || (transfer->is_sent && found == NULL)) {
            found = transfer;
        }
    }
    return found;
}

/* True if the request continues this transfer. */
static bool is_continued(const transfer_t *transfer, uint32_t address, const Cwp__ConfigurationRequest *request)
{
    uint64_t base = transfer->base == NULL ? 0 : transfer->base->version;

    return transfer->address == address && transfer->sent != NULL && transfer->sent->version == request->version &&
           (base == 0 || base == request->has);
}

/* Names a node that has received the version from this one. If there is none yet, nothing is sent, and the requesting
 * node repeats its request. */
static void send_redirect(cw_configuration_exchange_t *exchange, uint32_t address)
{
    Cwp__ConfigurationPage page = CWP__CONFIGURATION_PAGE__INIT;

    if (exchange->served_count == 0) {
        return;
    }
    page.version = version_in_force(exchange);
    page.ask_instead = exchange->served[exchange->served_next++ % exchange->served_count];
    if (page.ask_instead != address) {
        exchange->reply_address = address;
        send_page(exchange, &page);
    }
}

/* Records that all pages were sent. The transfer is kept for a moment, since some of them may have to be sent again. */
static void mark_sent(cw_configuration_exchange_t *exchange, transfer_t *transfer)
{
    bool has_newest = transfer->sent == in_force(exchange);

    if (has_newest && !transfer->is_sent && exchange->served_count < SERVED_MAX) { /* enough for redirects */
        exchange->served[exchange->served_count++] = transfer->address;
    }
    transfer->is_sent = true;
}

/* Begins a transfer of the requested version if it is kept, otherwise of the version in force. */
static void begin_transfer(cw_configuration_exchange_t *exchange, transfer_t *transfer, uint32_t address,
                           const Cwp__ConfigurationRequest *request)
{
    cw_configuration_t *sent = request->version == 0 ? NULL : find_kept_version(exchange, request->version);
    cw_configuration_t *base = find_kept_version(exchange, request->has);

    clear_transfer(transfer);
    transfer->address = address;
    transfer->sent = cw_configuration_retain(sent == NULL ? exchange->kept_versions[0] : sent);
    transfer->base = base == NULL ? NULL : cw_configuration_retain(base);
}

void cw_configuration_exchange_handle_request(cw_configuration_exchange_t *exchange, uint32_t address,
                                              const Cwp__ConfigurationRequest *request, cw_time_us_t now)
{
    cw_page_window_t window = {.first = request->first_page, .count = WINDOW_PAGES};
    transfer_t      *transfer;

    if (version_in_force(exchange) <= request->has) {
        return; /* the requesting node already has this version or a higher one */
    }
    clear_abandoned_transfers(exchange, now);
    transfer = find_transfer(exchange, address);
    if (transfer == NULL || !refill_allowance(exchange, now)) {
        send_redirect(exchange, address);
        return;
    }
    if (!is_continued(transfer, address, request)) {
        begin_transfer(exchange, transfer, address, request);
    }
    if (transfer->sent->version != request->version) { /* the pages that the requesting node has are of no use */
        window.first = 0;
    }
    transfer->requested_at = now;
    exchange->reply_address = address;
    if (cw_configuration_pages_make(transfer->base, transfer->sent, window, send_page, exchange)) {
        mark_sent(exchange, transfer);
    }
}

/* When all requested pages have been received, the next ones are requested at once. */
static void request_next_window(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    if (is_assembling(exchange) &&
        cw_configuration_assembly_first_missing(&exchange->assembly) >= exchange->window_end) {
        send_request(exchange, now);
    }
}

/* Asks the node that was named, after a delay: it may not have received the last pages itself yet. */
static void follow_redirect(cw_configuration_exchange_t *exchange, uint32_t address, cw_time_us_t now)
{
    exchange->holder = address;
    exchange->is_awaiting_reply = false;
    exchange->next_request_at = now + CW_MS(REDIRECT_MS);
}

void cw_configuration_exchange_handle_page(cw_configuration_exchange_t *exchange, uint32_t address,
                                           const Cwp__ConfigurationPage *page, cw_time_us_t now)
{
    uint32_t            before = exchange->assembly.received;
    cw_configuration_t *configuration;

    if (page->version <= version_in_force(exchange)) {
        return;
    }
    if (page->pages == 0 && page->ask_instead != 0) {
        follow_redirect(exchange, page->ask_instead, now);
        return;
    }
    if (page->pages == 0) {
        exchange->owner.too_large(exchange->owner.context);
        return;
    }
    configuration = cw_configuration_assembly_add_page(&exchange->assembly, in_force(exchange), page);
    if (configuration != NULL) {
        exchange->is_awaiting_reply = false;
        exchange->owner.received(exchange->owner.context, configuration);
    } else if (exchange->assembly.received != before) {
        exchange->received_at = now;
        exchange->is_awaiting_reply = exchange->is_awaiting_reply && address != exchange->holder;
        exchange->next_request_at = now + CW_MS(RETRY_MS);
        request_next_window(exchange, now);
    }
}
