/**
 * @file server_jobs.c
 * @brief Requests that wait or are being worked on.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "server.h"

static void start_job(job_t *job);

static void on_job_closed(uv_handle_t *handle)
{
    free(handle->data);
}

void server_end_job(job_t *job)
{
    server_t *server = job->server;
    job_t    *next;

    DL_DELETE(server->jobs, job);
    server->running--;
    server_print_record(server, "end", job->id, job->key, job->key, 0);
    uv_close((uv_handle_t *)&job->timer, on_job_closed);
    server_answer_releases(server);
    while (server->running < server->capacity && (next = server->waiting) != NULL) {
        DL_DELETE(server->waiting, next);
        server->waiting_count--;
        start_job(next);
    }
}

static void on_work_done(uv_timer_t *timer)
{
    job_t              *job = timer->data;
    server_t           *server = job->server;
    cw_http_exchange_t *exchange = job->exchange;
    bool                has_lost_key =
        job->keyed && !server_holds_key(server, job->key) && !server_has_job_on(server, job->key, job->key);
    char id[sizeof(job->id)];

    memcpy(id, job->id, sizeof(id));
    job->exchange = NULL;
    server_end_job(job);
    if (exchange != NULL) {
        cw_http_exchange_set_data(exchange, NULL);
        server_answer(server, exchange, has_lost_key ? STATUS_ERROR : 200, id, false, NULL, id);
    }
}

static void start_job(job_t *job)
{
    server_t *server = job->server;

    if (job->exchange == NULL || (job->keyed && !server_holds_key(server, job->key))) {
        if (job->exchange != NULL) {
            cw_http_exchange_set_data(job->exchange, NULL);
            server_answer(server, job->exchange, STATUS_MISDIRECTED, job->id, true, NULL, "");
        }
        uv_close((uv_handle_t *)&job->timer, on_job_closed);
        return;
    }
    job->running = true;
    DL_APPEND(server->jobs, job);
    server->running++;
    server_print_record_of_tenant(server, "run", job->id, job->key, job->key,
                                  job->keyed ? server->keys[job->key].fence : 0, job->tenant);
    uv_timer_start(&job->timer, on_work_done, server->work_ms, 0);
}

void server_handle_work(server_t *server, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    const char *target = cw_http_fields_find(inbound->fields, "X-Target-Instance");
    const char *id = cw_http_fields_find(inbound->fields, "X-Request-Id");
    const char *key = cw_http_fields_find(inbound->fields, "X-Shard-Key");
    const char *tenant = cw_http_fields_find(inbound->fields, "X-Tenant");
    job_t      *job;

    if (id == NULL) {
        server_answer(server, exchange, 400, NULL, true, NULL, "");
        return;
    }
    if ((target != NULL && strcmp(target, server->id) != 0) ||
        (server->keyed && (key == NULL || !server_holds_key(server, (uint32_t)atoi(key))))) {
        server_answer(server, exchange, STATUS_MISDIRECTED, id, true, NULL, "");
        return;
    }
    if (answer_faults_draw(&server->answer_faults, ANSWER_FAULT_DENY)) {
        server->answer_faults.on_fault(server->answer_faults.context, ANSWER_FAULT_DENY, id);
        server_answer(server, exchange, STATUS_UNAVAILABLE, id, true, NULL, "");
        return;
    }
    if (server->running >= server->capacity && server->waiting_count >= server->queue_max) {
        if (!server->hangs) {
            server_answer(server, exchange, STATUS_UNAVAILABLE, id, true, NULL, "");
        }
        return;
    }
    job = calloc(1, sizeof(*job));
    if (job == NULL) {
        abort();
    }
    job->server = server;
    job->exchange = exchange;
    job->keyed = server->keyed;
    job->key = key == NULL ? 0 : (uint32_t)atoi(key);
    snprintf(job->id, sizeof(job->id), "%s", id);
    snprintf(job->tenant, sizeof(job->tenant), "%s", tenant == NULL ? "" : tenant);
    uv_timer_init(&server->loop, &job->timer);
    job->timer.data = job;
    cw_http_exchange_set_data(exchange, job);
    if (server->running < server->capacity) {
        start_job(job);
        return;
    }
    DL_APPEND(server->waiting, job);
    server->waiting_count++;
}
