/**
 * @file application.c
 * @brief Application requests of the back-end stand-in, and its health and load endpoints.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"

enum { TIMEOUT_MS_MAX = 24 * 3600 * 1000 };

/* Not-run words and the status that goes with each. */
static int refusal_status(const char *reason)
{
    if (strcmp(reason, "fence") == 0) {
        return 409;
    }
    if (strcmp(reason, "shed") == 0) {
        return 429;
    }
    if (strcmp(reason, "request") == 0) {
        return 400;
    }
    return 503;
}

void cw_application_refuse(cw_standin_exchange_t *exchange, const char *reason)
{
    cw_standin_header_t headers[] = {{"cw-not-run", reason}};
    cw_standin_answer_t answer = {.status = refusal_status(reason), .headers = headers, .header_count = 1};

    cw_standin_respond(exchange, &answer);
}

static bool chance(cw_backend_standin_t *backend, double probability)
{
    enum { MILLION = 1000000 };

    return probability > 0 && (double)cw_random_below(&backend->random_state, MILLION) < probability * MILLION;
}

void cw_application_answer(cw_job_t *job, uint64_t count)
{
    cw_backend_standin_t *backend = job->backend;
    cw_standin_header_t   headers[] = {{"content-type", "application/json"}, {"cw-executed", backend->options.name}};
    cw_standin_answer_t   answer = {.status = 200, .headers = headers, .header_count = 2};
    char                  fence[CW_FENCE_TEXT];
    json_t               *key = json_string(job->key);
    json_t               *body;
    char                 *text;

    cw_fence_format(job->fence, fence);
    body = json_pack("{s:s,s:s,s:o,s:s,s:I}", "server", backend->options.name, "request", job->request_id, "key",
                     key != NULL ? key : json_string("(not UTF-8)"), "fence", fence, "count", (json_int_t)count);
    text = json_dumps(body, JSON_COMPACT | JSON_PRESERVE_ORDER);
    answer.body = text;
    answer.body_length = strlen(text);
    answer.truncate = chance(backend, backend->faults.truncate);
    cw_standin_respond(job->exchange, &answer);
    json_decref(body);
    free(text);
}

/* Reads the router's headers; false: one is missing or malformed. */
static bool parse_job(cw_job_t *job)
{
    const cw_standin_exchange_t *exchange = job->exchange;
    const char                  *key = cw_standin_exchange_header(exchange, "cw-key");
    const char                  *request_id = cw_standin_exchange_header(exchange, "cw-request-id");
    const char                  *timeout = cw_standin_exchange_header(exchange, "cw-timeout-ms");
    int64_t                      timeout_ms = timeout == NULL ? TIMEOUT_MS_MAX : strtoll(timeout, NULL, 10);

    if (key == NULL || request_id == NULL || strlen(request_id) >= CW_REQUEST_ID_TEXT ||
        !cw_hex_parse(cw_standin_exchange_header(exchange, "cw-service"), &job->service) ||
        !cw_hex_parse(cw_standin_exchange_header(exchange, "cw-key-hash"), &job->key_hash) ||
        !cw_fence_parse(cw_standin_exchange_header(exchange, "cw-fence"), &job->fence)) {
        return false;
    }
    job->key = strdup(key);
    memcpy(job->request_id, request_id, strlen(request_id) + 1);
    job->deadline_us = cw_real_us() + (timeout_ms < TIMEOUT_MS_MAX ? timeout_ms : TIMEOUT_MS_MAX) * CW_US_PER_MS;
    return job->key != NULL;
}

static void discard_job(uv_handle_t *handle)
{
    cw_job_t *job = handle->data;

    free(job->key);
    free(job);
}

static const char *entry_refusal(cw_backend_standin_t *backend, cw_job_t *job)
{
    if (!parse_job(job)) {
        return "request";
    }
    if (backend->drain_over) {
        return "draining";
    }
    if (chance(backend, backend->faults.shed) ||
        (backend->queued >= backend->options.queue && backend->running >= backend->options.slots)) {
        return "shed";
    }
    return NULL;
}

void cw_application_request(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange)
{
    cw_job_t   *job = cw_job_create(backend, CW_JOB_APPLICATION, exchange);
    const char *reason;

    cw_backend_clock(backend);
    reason = entry_refusal(backend, job);
    if (reason != NULL) {
        cw_application_refuse(exchange, reason);
        uv_close((uv_handle_t *)&job->timer, discard_job);
        return;
    }
    cw_job_submit(job);
    cw_jobs_refuse_unowned(backend);
}

/* The load that is reported was read at least load_lag_ms ago, or a moment ago after a long silence: never now. */
static uint32_t lagging_load(cw_backend_standin_t *backend)
{
    uint32_t reported = backend->load_active;
    int64_t  now_us = cw_real_us();

    if (now_us - backend->load_read_us >= (int64_t)backend->options.load_lag_ms * CW_US_PER_MS) {
        backend->load_active = backend->queued + backend->running;
        backend->load_read_us = now_us;
    }
    return reported;
}

void cw_probe_request(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange)
{
    cw_job_submit(cw_job_create(backend, CW_JOB_PROBE, exchange));
}

void cw_probe_answer(cw_job_t *job)
{
    cw_backend_standin_t *backend = job->backend;
    uint32_t              load = lagging_load(backend);
    bool                  healthy = backend->faults.mislead || !backend->draining;

    if (strcmp(job->exchange->path, "/health") == 0) {
        cw_standin_respond_json(job->exchange, healthy ? 200 : 503,
                                json_pack("{s:s}", "status", healthy ? "ok" : "draining"));
        return;
    }
    cw_standin_respond_json(job->exchange, 200,
                            json_pack("{s:i,s:i}", "active", backend->faults.mislead ? 0 : (int)load, "slots",
                                      (int)backend->options.slots));
}
