/**
 * @file configuration_exchange.c
 * @brief Asking other nodes for the configuration, and answering them.
 */
#include "router/configuration_exchange.h"

#include <stdlib.h>

enum {
    REMEMBERED = 8,    /* earlier configurations, for changes told from them: a storm brings some four a second */
    NEAR_WAIT_MS = 80, /* two ticks and a datagram's way: a node of the own zone mostly turns up meanwhile */
    ASK_AGAIN_MS = 150 /* a page's way and a busy small machine's turn; a lost datagram costs this much */
};

struct cw_configuration_exchange {
    cw_configuration_exchange_owner_t owner;
    cw_configuration_t               *remembered[REMEMBERED]; /**< the newest first; NULL: none */
    cw_configuration_assembly_t       assembly;
    uint64_t                          newest;    /**< highest version that another node has */
    uint32_t                          holder;    /**< a node that has it */
    bool                              is_near;   /**< that node is in this node's zone */
    cw_time_us_t                      ask_at;    /**< next request */
    uint32_t                          answer_to; /**< node that is being answered */
};

cw_configuration_exchange_t *cw_configuration_exchange_create(const cw_configuration_exchange_owner_t *owner)
{
    cw_configuration_exchange_t *exchange = calloc(1, sizeof(*exchange));

    if (exchange == NULL) {
        abort();
    }
    exchange->owner = *owner;
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
}

/* ---- asking ---- */

void cw_configuration_exchange_note(cw_configuration_exchange_t *exchange, uint32_t address, uint64_t version,
                                    bool is_near, cw_time_us_t now)
{
    if (version <= version_in_force(exchange) || version < exchange->newest) {
        return;
    }
    if (version > exchange->newest) {
        exchange->newest = version;
        exchange->is_near = is_near;
        exchange->ask_at = now + (is_near ? 0 : CW_MS(NEAR_WAIT_MS));
    } else if (is_near && !exchange->is_near) {
        exchange->is_near = true;
        exchange->ask_at = now;
    } else if (!is_near && exchange->is_near) {
        return; /* a node nearby has it too */
    }
    exchange->holder = address;
    cw_configuration_exchange_tick(exchange, now);
}

void cw_configuration_exchange_tick(cw_configuration_exchange_t *exchange, cw_time_us_t now)
{
    Cwp__ConfigurationRequest request = CWP__CONFIGURATION_REQUEST__INIT;
    Cwp__Datagram             datagram = CWP__DATAGRAM__INIT;

    if (exchange->newest <= version_in_force(exchange) || now < exchange->ask_at) {
        return;
    }
    exchange->ask_at = now + CW_MS(ASK_AGAIN_MS);
    exchange->is_near = false; /* the next node that has it is as good, should this one not answer */
    request.has = version_in_force(exchange);
    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION_REQUEST;
    datagram.configuration_request = &request;
    exchange->owner.send(exchange->owner.context, exchange->holder, &datagram);
}

/* ---- answering ---- */

static void send_page(void *context, const Cwp__ConfigurationPage *page)
{
    cw_configuration_exchange_t *exchange = context;
    Cwp__Datagram                datagram = CWP__DATAGRAM__INIT;

    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION;
    datagram.configuration = (Cwp__ConfigurationPage *)page;
    exchange->owner.send(exchange->owner.context, exchange->answer_to, &datagram);
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

void cw_configuration_exchange_take_request(cw_configuration_exchange_t *exchange, uint32_t address,
                                            const Cwp__ConfigurationRequest *request)
{
    if (version_in_force(exchange) <= request->has) {
        return; /* it has as new a one already */
    }
    exchange->answer_to = address;
    cw_configuration_pages_make(find_remembered(exchange, request->has), in_force(exchange), send_page, exchange);
}

void cw_configuration_exchange_take_page(cw_configuration_exchange_t *exchange, const Cwp__ConfigurationPage *page)
{
    cw_configuration_t *configuration;

    if (page->pages == 0) {
        if (page->version > version_in_force(exchange)) {
            exchange->owner.too_large(exchange->owner.context);
        }
        return;
    }
    configuration = cw_configuration_assembly_take(&exchange->assembly, in_force(exchange), page);
    if (configuration != NULL) {
        exchange->owner.received(exchange->owner.context, configuration);
    }
}
