/**
 * @file jobs.c
 * @brief Queue, slots and service time of the back-end stand-in.
 *
 * A job is QUEUED, then RUNNING in one of the slots for its service time, then ended. Rules:
 * - at the start and again at the end of the service time the lease, the fence and the deadline are checked;
 * - the effect takes place at the end, at the very clock reading that was checked; before it a job leaves no trace but
 *   its "start" line, and an answer "not run" is true;
 * - every job gets exactly one answer.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "backend.h"

enum {
    TIMER_SLACK_US = 500, /**< half of the timers' resolution */
    MICROSECONDS_PER_MS = 1000
};

static void dispatch(cw_backend_standin_t *backend);

cw_job_t *cw_job_create(cw_backend_standin_t *backend, cw_job_kind_t kind, cw_standin_exchange_t *exchange)
{
    cw_job_t *job = calloc(1, sizeof(*job));

    if (job == NULL) {
        abort();
    }
    job->backend = backend;
    job->kind = kind;
    job->exchange = exchange;
    job->deadline_us = INT64_MAX;
    uv_timer_init(backend->loop, &job->timer);
    job->timer.data = job;
    return job;
}

static void on_job_closed(uv_handle_t *handle)
{
    cw_job_t *job = handle->data;

    free(job->key);
    free(job);
}

/* The job is answered: frees its slot, lets the next one start, and tells those who wait for requests to end. */
static void end_job(cw_job_t *job)
{
    cw_backend_standin_t *backend = job->backend;

    DL_DELETE(backend->jobs, job);
    if (job->state == CW_JOB_RUNNING) {
        backend->running--;
    } else {
        backend->queued--;
    }
    uv_close((uv_handle_t *)&job->timer, on_job_closed);
    dispatch(backend);
    cw_revocations_check(backend);
    cw_backend_check_exit(backend);
}

static void refuse_job(cw_job_t *job, const char *reason, int64_t real_us)
{
    if (job->state == CW_JOB_RUNNING) {
        cw_record_job(job->backend, "abandoned", job, real_us);
    }
    cw_application_refuse(job->exchange, reason);
    end_job(job);
}

static const char *verdict_reason(cw_ownership_verdict_t verdict)
{
    switch (verdict) {
    case CW_NOT_OWNED_FENCE:
        return "fence";
    case CW_NOT_OWNED_LEASE:
        return "lease";
    default:
        return NULL;
    }
}

/* Why the job may not start (or take effect) at this moment; NULL: it may. */
static const char *refusal(const cw_job_t *job, int64_t real_us)
{
    const cw_backend_standin_t *backend = job->backend;
    int64_t                     clock_us = cw_server_clock_read(&backend->clock, real_us);
    cw_ownership_verdict_t      verdict;

    if (job->kind == CW_JOB_PROBE) {
        return NULL;
    }
    if (real_us >= job->deadline_us) {
        return "deadline";
    }
    if (job->state == CW_JOB_QUEUED) {
        verdict = cw_ownership_check_start(backend->ownership, job->service, job->key_hash, job->fence, clock_us);
    } else {
        verdict = cw_ownership_check_effect(backend->ownership, job->service, job->key_hash, job->fence, clock_us);
    }
    return verdict_reason(verdict);
}

static void complete_job(cw_job_t *job)
{
    cw_backend_standin_t *backend = job->backend;
    int64_t               real_us = cw_real_us();
    const char           *reason = refusal(job, real_us);

    if (reason != NULL) {
        refuse_job(job, reason, real_us);
        return;
    }
    if (job->kind == CW_JOB_PROBE) {
        cw_probe_answer(job);
    } else {
        cw_record_job(backend, "effect", job, real_us);
        cw_application_answer(job, cw_key_table_count(backend->keys, job->service, job->key_hash));
    }
    end_job(job);
}

static void on_service_timer(uv_timer_t *timer);

static void arm_timer(cw_job_t *job)
{
    int64_t left_us = job->finish_us - cw_real_us();
    int64_t left_ms = (left_us + TIMER_SLACK_US) / MICROSECONDS_PER_MS;

    uv_update_time(job->backend->loop);
    uv_timer_start(&job->timer, on_service_timer, left_ms < 1 ? 1 : (uint64_t)left_ms, 0);
}

static void on_service_timer(uv_timer_t *timer)
{
    cw_job_t *job = timer->data;

    if (job->finish_us - cw_real_us() > TIMER_SLACK_US) {
        arm_timer(job);
        return;
    }
    complete_job(job);
}

/* Draws the service time: the mean with a uniform jitter, more for the first request of a key. */
static int64_t draw_service_us(cw_job_t *job)
{
    cw_backend_standin_t       *backend = job->backend;
    const cw_backend_options_t *options = &backend->options;
    double                      unit = (double)(cw_random_next(&backend->random_state) >> 11) / (double)(1ULL << 53);
    double                      service_ms;

    if (job->kind == CW_JOB_PROBE) {
        return (int64_t)(options->probe_ms * MICROSECONDS_PER_MS);
    }
    service_ms = options->service_ms * (1 + options->service_jitter * (2 * unit - 1));
    if (cw_key_table_is_cold(backend->keys, job->service, job->key_hash)) {
        service_ms += options->cold_ms;
    }
    return (int64_t)(service_ms * MICROSECONDS_PER_MS);
}

static void start_job(cw_job_t *job)
{
    cw_backend_standin_t *backend = job->backend;
    int64_t               real_us = cw_real_us();
    const char           *reason = refusal(job, real_us);

    if (reason != NULL) {
        refuse_job(job, reason, real_us);
        return;
    }
    job->state = CW_JOB_RUNNING;
    backend->queued--;
    backend->running++;
    cw_record_job(backend, "start", job, real_us);
    job->finish_us = real_us + draw_service_us(job);
    arm_timer(job);
}

static cw_job_t *first_queued(const cw_backend_standin_t *backend)
{
    cw_job_t *job;

    DL_FOREACH(backend->jobs, job)
    {
        if (job->state == CW_JOB_QUEUED) {
            return job;
        }
    }
    return NULL;
}

static void dispatch(cw_backend_standin_t *backend)
{
    cw_job_t *job;

    while (backend->running < backend->options.slots) {
        job = first_queued(backend);
        if (job == NULL) {
            return;
        }
        start_job(job);
    }
}

void cw_job_submit(cw_job_t *job)
{
    cw_backend_standin_t *backend = job->backend;

    job->state = CW_JOB_QUEUED;
    DL_APPEND(backend->jobs, job);
    backend->queued++;
    dispatch(backend);
}

/* Finds one job at a time: ending one may end others. */
static cw_job_t *find_by_request(const cw_backend_standin_t *backend, const char *request_id)
{
    cw_job_t *job;

    DL_FOREACH(backend->jobs, job)
    {
        if (job->kind == CW_JOB_APPLICATION && strcmp(job->request_id, request_id) == 0) {
            return job;
        }
    }
    return NULL;
}

void cw_jobs_cancel(cw_backend_standin_t *backend, const char *request_id)
{
    cw_job_t *job;

    while ((job = find_by_request(backend, request_id)) != NULL) {
        refuse_job(job, "cancelled", cw_real_us());
    }
}

static cw_job_t *find_refusable(const cw_backend_standin_t *backend, int64_t real_us)
{
    cw_job_t *job;

    DL_FOREACH(backend->jobs, job)
    {
        if (job->state == CW_JOB_QUEUED && refusal(job, real_us) != NULL) {
            return job;
        }
    }
    return NULL;
}

void cw_jobs_refuse_unowned(cw_backend_standin_t *backend)
{
    int64_t   real_us = cw_real_us();
    cw_job_t *job;

    while ((job = find_refusable(backend, real_us)) != NULL) {
        refuse_job(job, refusal(job, real_us), real_us);
    }
}

bool cw_jobs_active_in(const cw_backend_standin_t *backend, const cw_server_grant_t *area)
{
    const cw_job_t *job;

    DL_FOREACH(backend->jobs, job)
    {
        if (job->kind == CW_JOB_APPLICATION && job->service == area->service && job->key_hash >= area->low &&
            job->key_hash <= area->last && cw_fence_compare(job->fence, area->fence) <= 0) {
            return true;
        }
    }
    return false;
}
