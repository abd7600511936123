/**
 * @file model_jobs.c
 * @brief Application requests at the model server: queue, slots, checks, effects.
 */
#include <stdlib.h>
#include <string.h>

#include "model_server_internal.h"

static const char *refusal(model_server_t *server, const model_job_t *job, int64_t clock_us)
{
    size_t index;

    model_server_expire(server, clock_us);
    if (clock_us >= job->deadline_us) {
        return "deadline";
    }
    if (server->lease_end_us == 0) {
        return "lease";
    }
    for (index = 0; index < server->grant_count; index++) {
        const model_grant_t *held = &server->grants[index];

        if (held->service == job->service && held->low <= job->key_hash && job->key_hash <= held->last &&
            cw_fence_compare(held->fence, job->fence) == 0 && (!held->revoking || job->running)) {
            return NULL;
        }
    }
    return "fence";
}

static void end_job(model_server_t *server, model_job_t *job, cw_server_result_t result, const char *reason)
{
    model_job_t **place = &server->jobs;

    while (*place != job) {
        place = &(*place)->next;
    }
    *place = job->next;
    if (job->running) {
        server->running--;
    }
    server->callbacks.answer(server->callbacks.context, job, result, reason);
    free(job);
}

static bool warm_up(model_server_t *server, const model_job_t *job)
{
    size_t index;

    for (index = 0; index < server->warm_count; index++) {
        if (server->warm[index].service == job->service && server->warm[index].key_hash == job->key_hash) {
            return false;
        }
    }
    if (server->warm_count < WARM_MAX) {
        server->warm[server->warm_count].service = job->service;
        server->warm[server->warm_count].key_hash = job->key_hash;
        server->warm_count++;
    }
    return true;
}

static model_job_t *first_queued(const model_server_t *server)
{
    model_job_t *job = server->jobs;

    while (job != NULL && job->running) {
        job = job->next;
    }
    return job;
}

static void dispatch(model_server_t *server, int64_t clock_us)
{
    model_job_t *job;
    const char  *reason;

    while (server->running < server->options.slots && (job = first_queued(server)) != NULL) {
        reason = refusal(server, job, clock_us);
        if (reason != NULL) {
            end_job(server, job, CW_SERVER_REFUSED, reason);
            continue;
        }
        job->running = true;
        server->running++;
        server->callbacks.serve(server->callbacks.context, job, warm_up(server, job));
    }
    model_check_revocations(server);
}

void model_refuse_unowned(model_server_t *server, int64_t clock_us)
{
    model_job_t *job = server->jobs;
    model_job_t *next;
    const char  *reason;

    for (; job != NULL; job = next) {
        next = job->next;
        reason = job->running ? NULL : refusal(server, job, clock_us);
        if (reason != NULL) {
            end_job(server, job, CW_SERVER_REFUSED, reason);
        }
    }
}

void model_server_request(model_server_t *server, const model_job_t *job, int64_t clock_us)
{
    model_job_t **end = &server->jobs;
    model_job_t  *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        abort();
    }
    *copy = *job;
    copy->running = false;
    copy->next = NULL;
    while (*end != NULL) {
        end = &(*end)->next;
    }
    *end = copy;
    dispatch(server, clock_us);
}

void model_server_finish(model_server_t *server, uint64_t serial, int64_t clock_us)
{
    model_job_t *job = server->jobs;
    const char  *reason;

    while (job != NULL && (job->serial != serial || !job->running)) {
        job = job->next;
    }
    if (job == NULL) {
        return; /* cancelled while it ran */
    }
    reason = refusal(server, job, clock_us);
    if (reason == NULL) {
        server->callbacks.effect(server->callbacks.context, job);
        end_job(server, job, CW_SERVER_ANSWERED, NULL);
    } else {
        end_job(server, job, CW_SERVER_REFUSED, reason);
    }
    dispatch(server, clock_us);
}

void model_server_cancel(model_server_t *server, const uint8_t request_id[CW_REQUEST_ID_BYTES], int64_t clock_us)
{
    model_job_t *job = server->jobs;
    model_job_t *next;

    for (; job != NULL; job = next) {
        next = job->next;
        if (memcmp(job->request_id, request_id, CW_REQUEST_ID_BYTES) == 0) {
            end_job(server, job, CW_SERVER_REFUSED, "cancelled");
        }
    }
    dispatch(server, clock_us);
}

void model_server_drain(model_server_t *server)
{
    server->draining = true;
}

bool model_has_jobs_in(const model_server_t *server, const model_grant_t *area)
{
    const model_job_t *job;

    for (job = server->jobs; job != NULL; job = job->next) {
        if (job->service == area->service && job->key_hash >= area->low && job->key_hash <= area->last &&
            cw_fence_compare(job->fence, area->fence) <= 0) {
            return true;
        }
    }
    return false;
}
