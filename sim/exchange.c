/**
 * @file exchange.c
 * @brief Control calls and application requests of nodes to servers over modelled connections.
 *
 * An exchange ends once: with the server's answer, with its time limit, or at once when the server's process is not
 * there. A request that reached the link counts as sent. Answers that come after the end are dropped.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exchange_internal.h"

static sim_exchange_t *create(sim_host_t *host, uint64_t id, bool is_call, const Cw__ServerConfiguration *server)
{
    sim_world_t    *world = host->world;
    sim_exchange_t *exchange = calloc(1, sizeof(*exchange));
    size_t          index;

    if (exchange == NULL) {
        abort();
    }
    exchange->serial = ++world->next_serial;
    exchange->id = id;
    exchange->is_call = is_call;
    exchange->server = world->server_count;
    for (index = 0; index < world->server_count; index++) {
        const sim_server_t *candidate = &world->servers[index];

        if (strcmp(candidate->address, server->address) == 0 && candidate->port == server->port) {
            exchange->server = index;
        }
    }
    if (exchange->server == world->server_count) {
        sim_violation(world, "node %u calls a server that does not exist: %s:%u", host->info.id, server->address,
                      server->port);
        exchange->server = 0;
    }
    HASH_ADD(hh, host->exchanges, serial, sizeof(exchange->serial), exchange);
    return exchange;
}

sim_exchange_t *sim_exchange_find(sim_host_t *host, uint64_t serial)
{
    sim_exchange_t *exchange;

    HASH_FIND(hh, host->exchanges, &serial, sizeof(serial), exchange);
    return exchange;
}

static void drop(sim_host_t *host, sim_exchange_t *exchange)
{
    HASH_DEL(host->exchanges, exchange);
    free(exchange);
}

static void clear(sim_exchange_t **exchanges)
{
    sim_exchange_t *exchange = *exchanges;
    sim_exchange_t *next;

    HASH_CLEAR(hh, *exchanges);
    for (; exchange != NULL; exchange = next) {
        next = exchange->hh.next;
        free(exchange);
    }
}

void sim_exchanges_clear(sim_host_t *host)
{
    clear(&host->exchanges);
    clear(&host->store_requests);
}

/* ---- at the node: ends of exchanges ---- */

static void complete_call(sim_host_t *host, sim_exchange_t *exchange, cw_server_completion_t *completion)
{
    completion->id = exchange->id;
    drop(host, exchange);
    cw_node_server_completed(host->node, completion, sim_host_now(host));
    sim_host_settled(host);
}

static void fail_call(sim_host_t *host, sim_exchange_t *exchange, int error)
{
    cw_server_completion_t completion;

    memset(&completion, 0, sizeof(completion));
    completion.error = error;
    complete_call(host, exchange, &completion);
}

void sim_exchange_call_answered(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    call_answer_t  *answer = (call_answer_t *)(void *)event->data;
    sim_exchange_t *exchange = sim_exchange_find(host, answer->serial);

    if (exchange == NULL) {
        return;
    }
    answer->completion.accepted = answer->ranges;
    answer->completion.refused = answer->ranges + answer->completion.accepted_count;
    complete_call(host, exchange, &answer->completion);
}

static void complete_request(sim_host_t *host, sim_exchange_t *exchange, cw_server_response_t *response)
{
    response->id = exchange->id;
    drop(host, exchange);
    cw_node_server_responded(host->node, response, sim_host_now(host));
    sim_host_settled(host);
}

static void fail_request(sim_host_t *host, sim_exchange_t *exchange, cw_server_result_t result)
{
    cw_server_response_t response;

    memset(&response, 0, sizeof(response));
    response.result = result;
    complete_request(host, exchange, &response);
}

void sim_exchange_request_answered(sim_world_t *world, sim_event_t *event)
{
    sim_host_t          *host = &world->hosts[event->process->endpoint];
    sim_exchange_t      *exchange = sim_exchange_find(host, event->numbers[0]);
    cw_server_response_t response;

    if (exchange == NULL) {
        return;
    }
    memset(&response, 0, sizeof(response));
    response.result = (cw_server_result_t)event->numbers[1];
    if (response.result == CW_SERVER_ANSWERED) {
        response.status = 200;
        response.body = event->data;
        response.body_length = event->length;
    } else if (response.result == CW_SERVER_REFUSED) {
        response.status = 503;
        response.reason = (const char *)event->data;
    }
    complete_request(host, exchange, &response);
}

static void time_over(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    sim_exchange_t *exchange = sim_exchange_find(host, event->numbers[0]);

    if (exchange == NULL) {
        return;
    }
    if (exchange->is_call) {
        fail_call(host, exchange, exchange->sent ? CW_ERROR_TIMEOUT : CW_ERROR_UNAVAILABLE);
    } else {
        fail_request(host, exchange, exchange->sent ? CW_SERVER_BROKEN : CW_SERVER_NOT_SENT);
    }
}

void sim_exchange_connection_broken(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    sim_exchange_t *exchange = sim_exchange_find(host, event->numbers[0]);

    if (exchange == NULL) {
        return;
    }
    if (exchange->is_call) {
        fail_call(host, exchange, exchange->kind == CW_SERVER_READ_STATE ? CW_ERROR_UNAVAILABLE : CW_ERROR_UNKNOWN);
    } else {
        fail_request(host, exchange, CW_SERVER_BROKEN);
    }
}

static void connection_refused(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    sim_exchange_t *exchange = sim_exchange_find(host, event->numbers[0]);

    if (exchange == NULL) {
        return;
    }
    if (exchange->is_call) {
        fail_call(host, exchange, CW_ERROR_UNAVAILABLE);
    } else {
        fail_request(host, exchange, CW_SERVER_NOT_SENT);
    }
}

/* ---- from the node to the server ---- */

/* Schedules the exchange's time limit and its arrival; NULL: it does not arrive. */
static sim_event_t *start(sim_host_t *host, sim_exchange_t *exchange, int64_t timeout_us, sim_event_run_t arrived)
{
    sim_world_t  *world = host->world;
    sim_server_t *server = &world->servers[exchange->server];
    size_t        from = host->process.endpoint;
    sim_event_t  *event;

    event = sim_schedule(world, "time over", world->now + timeout_us, time_over, &host->process, host->process.life);
    event->numbers[0] = exchange->serial;
    if (sim_link_is_cut(world, from, server->process.endpoint)) {
        exchange->sent = sim_chance(world, 500); /* on a connection that was open before, or not */
        return NULL;
    }
    if (!server->process.running) {
        event = sim_schedule(world, "connection refused", world->now + sim_link_delay(world), connection_refused,
                             &host->process, host->process.life);
        event->numbers[0] = exchange->serial;
        return NULL;
    }
    exchange->sent = true;
    if (sim_link_loses(world)) {
        return NULL;
    }
    /* Whichever life the server has then: a connection may be accepted after a restart. */
    event = sim_schedule(world, "exchange", world->now + sim_link_delay(world), arrived, &server->process, 0);
    event->numbers[0] = exchange->serial;
    event->numbers[1] = from;
    event->numbers[2] = host->process.life;
    return event;
}

void sim_exchange_call(sim_host_t *host, const cw_server_call_t *call)
{
    sim_exchange_t *exchange = create(host, call->id, true, call->server);
    sim_event_t    *event = start(host, exchange, call->timeout_us, sim_exchange_call_arrived);
    Cw__GrantOrder  order = CW__GRANT_ORDER__INIT;

    exchange->kind = call->kind;
    if (event == NULL) {
        return;
    }
    event->numbers[3] = (uint64_t)call->kind;
    order.incarnation = call->incarnation;
    order.lease_end_us = call->lease_end_us;
    order.n_grants = call->grant_count;
    order.grants = (Cw__Grant **)call->grants;
    event->data = malloc(cw__grant_order__get_packed_size(&order) + 1);
    if (event->data == NULL) {
        abort();
    }
    event->length = cw__grant_order__pack(&order, event->data);
}

void sim_exchange_request(sim_host_t *host, const cw_server_request_t *request)
{
    sim_exchange_t    *exchange = create(host, request->id, false, request->server);
    sim_event_t       *event = start(host, exchange, request->timeout_us, sim_exchange_request_arrived);
    Cw__ForwardRequest message = *request->request;

    memcpy(exchange->request_id, request->request->request_id.data, CW_REQUEST_ID_BYTES);
    if (event == NULL) {
        return;
    }
    message.timeout_us = request->timeout_us;
    event->data = malloc(cw__forward_request__get_packed_size(&message) + 1);
    if (event->data == NULL) {
        abort();
    }
    event->length = cw__forward_request__pack(&message, event->data);
}

void sim_exchange_cancel(sim_host_t *host, uint64_t request_id)
{
    sim_world_t    *world = host->world;
    sim_exchange_t *exchange;
    sim_server_t   *server;
    sim_event_t    *event;

    for (exchange = host->exchanges; exchange != NULL; exchange = exchange->hh.next) {
        if (exchange->is_call || exchange->id != request_id) {
            continue;
        }
        if (!exchange->sent) {
            event =
                sim_schedule(world, "cancelled", world->now, connection_refused, &host->process, host->process.life);
            event->numbers[0] = exchange->serial;
            return;
        }
        server = &world->servers[exchange->server];
        if (sim_link_is_cut(world, host->process.endpoint, server->process.endpoint) || sim_link_loses(world)) {
            return;
        }
        event = sim_schedule(world, "cancel", world->now + sim_link_delay(world), sim_exchange_cancel_arrived,
                             &server->process, server->process.life);
        sim_event_set_data(event, exchange->request_id, CW_REQUEST_ID_BYTES);
        return;
    }
}
