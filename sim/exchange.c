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

#include "world.h"

enum { TRUNCATED_PER_THOUSAND = 3, BODY_MAX = 256 };

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

static sim_exchange_t *find(sim_host_t *host, uint64_t serial)
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

/** Answer to a call on its way: the completion without its lists, which follow it. */
typedef struct call_answer {
    uint64_t               serial;
    cw_server_completion_t completion;
    cw_range_id_t          ranges[]; /**< accepted, then refused */
} call_answer_t;

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

static void call_answered(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    call_answer_t  *answer = (call_answer_t *)(void *)event->data;
    sim_exchange_t *exchange = find(host, answer->serial);

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

static void request_answered(sim_world_t *world, sim_event_t *event)
{
    sim_host_t          *host = &world->hosts[event->process->endpoint];
    sim_exchange_t      *exchange = find(host, event->numbers[0]);
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
    sim_exchange_t *exchange = find(host, event->numbers[0]);

    if (exchange == NULL) {
        return;
    }
    if (exchange->is_call) {
        fail_call(host, exchange, exchange->sent ? CW_ERROR_TIMEOUT : CW_ERROR_UNAVAILABLE);
    } else {
        fail_request(host, exchange, exchange->sent ? CW_SERVER_BROKEN : CW_SERVER_NOT_SENT);
    }
}

static void connection_refused(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    sim_exchange_t *exchange = find(host, event->numbers[0]);

    if (exchange == NULL) {
        return;
    }
    if (exchange->is_call) {
        fail_call(host, exchange, CW_ERROR_UNAVAILABLE);
    } else {
        fail_request(host, exchange, CW_SERVER_NOT_SENT);
    }
}

/* ---- at the server ---- */

static void connection_broken(sim_world_t *world, sim_event_t *event)
{
    sim_host_t     *host = &world->hosts[event->process->endpoint];
    sim_exchange_t *exchange = find(host, event->numbers[0]);

    if (exchange == NULL) {
        return;
    }
    if (exchange->is_call) {
        fail_call(host, exchange, exchange->kind == CW_SERVER_READ_STATE ? CW_ERROR_UNAVAILABLE : CW_ERROR_UNKNOWN);
    } else {
        fail_request(host, exchange, CW_SERVER_BROKEN);
    }
}

void sim_exchanges_break(sim_server_t *server)
{
    sim_world_t    *world = server->world;
    sim_exchange_t *exchange;
    sim_event_t    *event;
    size_t          host;

    for (host = 0; host < world->host_count; host++) {
        if (sim_link_is_cut(world, server->process.endpoint, host)) {
            continue;
        }
        for (exchange = world->hosts[host].exchanges; exchange != NULL; exchange = exchange->hh.next) {
            if (&world->servers[exchange->server] != server || !exchange->sent) {
                continue;
            }
            event = sim_schedule(world, "connection broken", world->now + sim_link_delay(world), connection_broken,
                                 &world->hosts[host].process, world->hosts[host].process.life);
            event->numbers[0] = exchange->serial;
        }
    }
}

static void send_back(sim_server_t *server, size_t host_index, uint64_t life, sim_event_run_t run, sim_event_t **event)
{
    sim_world_t *world = server->world;
    sim_host_t  *host = &world->hosts[host_index];

    *event = NULL;
    if (sim_link_is_cut(world, server->process.endpoint, host_index) || sim_link_loses(world)) {
        return;
    }
    *event = sim_schedule(world, "answer", world->now + sim_link_delay(world), run, &host->process, life);
}

static void send_completion(sim_server_t *server, size_t host, uint64_t life, uint64_t serial,
                            const cw_server_completion_t *completion)
{
    size_t         count = completion->accepted_count + completion->refused_count;
    size_t         length = sizeof(call_answer_t) + count * sizeof(cw_range_id_t);
    call_answer_t *answer = calloc(1, length);
    sim_event_t   *event;

    if (answer == NULL) {
        abort();
    }
    answer->serial = serial;
    answer->completion = *completion;
    answer->completion.accepted = NULL;
    answer->completion.refused = NULL;
    if (completion->accepted_count > 0) {
        memcpy(answer->ranges, completion->accepted, completion->accepted_count * sizeof(cw_range_id_t));
    }
    if (completion->refused_count > 0) {
        memcpy(answer->ranges + completion->accepted_count, completion->refused,
               completion->refused_count * sizeof(cw_range_id_t));
    }
    sim_trace(server->world, "%s answers node %zu: %d, %zu accepted or released, %zu refused", server->name, host + 1,
              completion->error, completion->accepted_count, completion->refused_count);
    if (completion->refused_count > 0) {
        server->world->result->fence_refusals += completion->refused_count;
    }
    send_back(server, host, life, call_answered, &event);
    if (event != NULL) {
        sim_event_set_data(event, answer, length);
    }
    free(answer);
}

static void trace_call(const sim_server_t *server, size_t host, const cw_server_call_t *call)
{
    static const char *const kinds[] = {"read", "renew", "grant", "revoke"};
    size_t                   index;

    if (call->kind == CW_SERVER_RENEW_LEASE) {
        sim_trace(server->world, "renew at %s by node %zu: %ld us from now, held %ld us from now", server->name,
                  host + 1, (long)(call->lease_end_us - sim_process_clock(server->world, &server->process)),
                  (long)(model_server_lease_end(server->model) - sim_process_clock(server->world, &server->process)));
    }
    for (index = 0; index < call->grant_count; index++) {
        sim_trace(server->world, "%s at %s by node %zu: range %lu, fence %lu.%lu", kinds[call->kind], server->name,
                  host + 1, (unsigned long)call->grants[index]->range,
                  (unsigned long)call->grants[index]->fence->generation,
                  (unsigned long)call->grants[index]->fence->index);
    }
}

static void call_arrived(sim_world_t *world, sim_event_t *event)
{
    sim_server_t          *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];
    Cw__GrantOrder        *order = cw__grant_order__unpack(NULL, event->length, event->data);
    cw_server_call_t       call = {.kind = (cw_server_call_kind_t)event->numbers[3]};
    cw_server_completion_t completion;

    call.incarnation = order->incarnation;
    call.lease_end_us = order->lease_end_us;
    call.grants = (const Cw__Grant *const *)order->grants;
    call.grant_count = order->n_grants;
    trace_call(server, (size_t)event->numbers[1], &call);
    if (model_server_call(server->model, event->numbers[0], &call, sim_process_clock(world, &server->process),
                          &completion)) {
        send_completion(server, event->numbers[1], event->numbers[2], event->numbers[0], &completion);
    }
    cw__grant_order__free_unpacked(order, NULL);
    sim_server_settled(server);
}

static void read_released(sim_world_t *world, sim_event_t *event)
{
    sim_server_t          *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];
    cw_server_completion_t completion;
    size_t                 index;

    model_server_read_released(server->model, event->numbers[0], sim_process_clock(world, &server->process),
                               &completion);
    for (index = 0; index < world->host_count; index++) {
        if (find(&world->hosts[index], event->numbers[0]) != NULL) {
            send_completion(server, index, world->hosts[index].process.life, event->numbers[0], &completion);
        }
    }
    sim_server_settled(server);
}

void sim_exchange_revocation_done(sim_server_t *server, uint64_t serial)
{
    sim_event_t *event = sim_schedule(server->world, "released", server->world->now, read_released, &server->process,
                                      server->process.life);

    event->numbers[0] = serial;
}

void sim_exchange_answer(sim_server_t *server, const model_job_t *job, cw_server_result_t result, const char *reason)
{
    char         body[BODY_MAX];
    char         id[37];
    sim_event_t *event;

    if (result == CW_SERVER_ANSWERED && sim_chance(server->world, TRUNCATED_PER_THOUSAND)) {
        result = CW_SERVER_BROKEN;
    }
    send_back(server, job->host, job->host_life, request_answered, &event);
    if (event == NULL) {
        return;
    }
    event->numbers[0] = job->serial;
    event->numbers[1] = (uint64_t)result;
    if (result == CW_SERVER_ANSWERED) {
        cw_request_id_format(job->request_id, id);
        snprintf(body, sizeof(body), "%s %s", id, job->key);
        sim_event_set_data(event, body, strlen(body));
    } else if (result == CW_SERVER_REFUSED) {
        sim_event_set_data(event, reason, strlen(reason) + 1);
    }
}

static int64_t read_attempt(const Cw__ForwardRequest *request)
{
    size_t index;

    for (index = 0; index < request->n_headers; index++) {
        if (strcmp(request->headers[index]->name, "x-attempt") == 0) {
            return strtoll(request->headers[index]->value, NULL, 10);
        }
    }
    return MODEL_ATTEMPT_NONE;
}

static void request_arrived(sim_world_t *world, sim_event_t *event)
{
    sim_server_t       *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];
    Cw__ForwardRequest *request = cw__forward_request__unpack(NULL, event->length, event->data);
    int64_t             clock_us = sim_process_clock(world, &server->process);
    model_job_t         job;

    memset(&job, 0, sizeof(job));
    job.serial = event->numbers[0];
    job.host = (size_t)event->numbers[1];
    job.host_life = event->numbers[2];
    memcpy(job.request_id, request->request_id.data, CW_REQUEST_ID_BYTES);
    snprintf(job.key, sizeof(job.key), "%s", request->key);
    job.service = request->service;
    job.key_hash = request->key_hash;
    job.fence = cw_fence_from_message(request->fence);
    job.attempt = read_attempt(request);
    job.deadline_us = clock_us + request->timeout_us;
    cw__forward_request__free_unpacked(request, NULL);
    if (server->shed_until > world->now && sim_chance(world, 500)) {
        sim_exchange_answer(server, &job, CW_SERVER_REFUSED, "shed");
        return;
    }
    model_server_request(server->model, &job, clock_us);
    sim_server_settled(server);
}

static void cancel_arrived(sim_world_t *world, sim_event_t *event)
{
    sim_server_t *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];

    model_server_cancel(server->model, event->data, sim_process_clock(world, &server->process));
    sim_server_settled(server);
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
    sim_event_t    *event = start(host, exchange, call->timeout_us, call_arrived);
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
    sim_event_t       *event = start(host, exchange, request->timeout_us, request_arrived);
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
        event = sim_schedule(world, "cancel", world->now + sim_link_delay(world), cancel_arrived, &server->process,
                             server->process.life);
        sim_event_set_data(event, exchange->request_id, CW_REQUEST_ID_BYTES);
        return;
    }
}
