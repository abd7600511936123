/**
 * @file exchange_server.c
 * @brief Control calls and application requests as they arrive at the modelled servers, and the servers' answers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/outcome.h"
#include "exchange_internal.h"

enum { TRUNCATED_PER_THOUSAND = 3, BODY_MAX = 256 };

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
            event = sim_schedule(world, "connection broken", world->now + sim_link_delay(world),
                                 sim_exchange_connection_broken, &world->hosts[host].process,
                                 world->hosts[host].process.life);
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
    send_back(server, host, life, sim_exchange_call_answered, &event);
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

void sim_exchange_call_arrived(sim_world_t *world, sim_event_t *event)
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
        if (sim_exchange_find(&world->hosts[index], event->numbers[0]) != NULL) {
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
    send_back(server, job->host, job->host_life, sim_exchange_request_answered, &event);
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

void sim_exchange_request_arrived(sim_world_t *world, sim_event_t *event)
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

void sim_exchange_cancel_arrived(sim_world_t *world, sim_event_t *event)
{
    sim_server_t *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];

    model_server_cancel(server->model, event->data, sim_process_clock(world, &server->process));
    sim_server_settled(server);
}
