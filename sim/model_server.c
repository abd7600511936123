/**
 * @file model_server.c
 * @brief Model of a back-end server; see model_server.h and standins/DIALECT.md.
 *
 * Rules:
 * - A grant is accepted only under a fence above every fence seen on any of its key hashes, or when it is the very
 *   grant that is held. Seen fences outlive the grants, never the process.
 * - A lease that is over takes all grants with it; a renewal does not bring them back.
 * - A job is checked when it starts and again when its service time is over; the effect takes place at that moment.
 * - A revoked grant starts no jobs; those that run may still have their effect. It is released when they have ended.
 */
#include "model_server.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { GRANTS_MAX = 512, SEEN_MAX = 2048, WARM_MAX = 256, REVOCATIONS_MAX = 32, REVOKED_GRANTS_MAX = 64 };

typedef struct revocation {
    uint64_t      serial;
    bool          released;
    size_t        count;
    model_grant_t grants[REVOKED_GRANTS_MAX];
} revocation_t;

typedef struct warm_key {
    cw_service_id_t service;
    cw_key_hash_t   key_hash;
} warm_key_t;

struct model_server {
    model_server_options_t   options;
    model_server_callbacks_t callbacks;
    int64_t                  lease_end_us; /**< 0: none */
    bool                     draining;
    model_grant_t            grants[GRANTS_MAX];
    size_t                   grant_count;
    model_grant_t            seen[SEEN_MAX];
    size_t                   seen_count;
    uint64_t                 granted_count;
    model_job_t             *jobs; /**< in order of arrival */
    unsigned                 running;
    warm_key_t               warm[WARM_MAX];
    size_t                   warm_count;
    revocation_t             revocations[REVOCATIONS_MAX];
    size_t                   revocation_count;
    cw_range_id_t            accepted[GRANTS_MAX];
    cw_range_id_t            refused[GRANTS_MAX];
};

model_server_t *model_server_create(const model_server_options_t *options, const model_server_callbacks_t *callbacks)
{
    model_server_t *server = calloc(1, sizeof(*server));

    if (server == NULL) {
        abort();
    }
    server->options = *options;
    server->callbacks = *callbacks;
    return server;
}

void model_server_free(model_server_t *server)
{
    model_job_t *job;

    if (server == NULL) {
        return;
    }
    while (server->jobs != NULL) {
        job = server->jobs;
        server->jobs = job->next;
        free(job);
    }
    free(server);
}

/* ---- grants ---- */

static bool overlap(const model_grant_t *left, const model_grant_t *right)
{
    return left->service == right->service && left->low <= right->last && right->low <= left->last;
}

static bool covers(const model_grant_t *outer, const model_grant_t *inner)
{
    return outer->service == inner->service && outer->low <= inner->low && inner->last <= outer->last;
}

static cw_fence_t highest_seen(const model_server_t *server, const model_grant_t *area)
{
    cw_fence_t highest = {0, 0};
    size_t     index;

    for (index = 0; index < server->seen_count; index++) {
        if (overlap(&server->seen[index], area)) {
            highest = cw_fence_max(highest, server->seen[index].fence);
        }
    }
    return highest;
}

static void remember_seen(model_server_t *server, const model_grant_t *grant)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < server->seen_count; index++) {
        const model_grant_t *seen = &server->seen[index];

        if (!covers(grant, seen) || cw_fence_compare(seen->fence, grant->fence) > 0) {
            server->seen[kept++] = *seen;
        }
    }
    if (kept == SEEN_MAX) {
        abort();
    }
    server->seen[kept++] = *grant;
    server->seen_count = kept;
}

static void add_grant(model_server_t *server, const model_grant_t *grant)
{
    if (server->grant_count == GRANTS_MAX) {
        abort();
    }
    server->grants[server->grant_count++] = *grant;
}

/* Takes an area out of what is held, leaving the parts beside it. */
static void cut_out(model_server_t *server, const model_grant_t *area)
{
    model_grant_t held[GRANTS_MAX];
    size_t        count = server->grant_count;
    size_t        index;

    memcpy(held, server->grants, count * sizeof(held[0]));
    server->grant_count = 0;
    for (index = 0; index < count; index++) {
        model_grant_t part = held[index];

        if (!overlap(&part, area)) {
            add_grant(server, &part);
            continue;
        }
        if (part.low < area->low) {
            part.last = area->low - 1;
            add_grant(server, &part);
        }
        part = held[index];
        if (part.last > area->last) {
            part.low = area->last + 1;
            add_grant(server, &part);
        }
    }
}

static bool is_held(const model_server_t *server, const model_grant_t *grant)
{
    size_t index;

    for (index = 0; index < server->grant_count; index++) {
        const model_grant_t *held = &server->grants[index];

        if (!held->revoking && held->range == grant->range && held->low == grant->low && held->last == grant->last &&
            held->service == grant->service && cw_fence_compare(held->fence, grant->fence) == 0) {
            return true;
        }
    }
    return false;
}

static bool take_grant(model_server_t *server, const model_grant_t *grant)
{
    if (is_held(server, grant)) {
        return true;
    }
    if (grant->low > grant->last || cw_fence_compare(grant->fence, highest_seen(server, grant)) <= 0) {
        return false;
    }
    cut_out(server, grant);
    add_grant(server, grant);
    remember_seen(server, grant);
    server->granted_count++;
    return true;
}

bool model_server_expire(model_server_t *server, int64_t clock_us)
{
    bool held = server->grant_count > 0;

    if (server->lease_end_us == 0 || clock_us < server->lease_end_us) {
        return false;
    }
    server->lease_end_us = 0;
    server->grant_count = 0;
    server->warm_count = 0;
    return held;
}

/* ---- control calls ---- */

static void fill_state(const model_server_t *server, int64_t clock_us, cw_server_completion_t *completion)
{
    const model_job_t *job;

    completion->incarnation = server->options.incarnation;
    completion->clock_us = clock_us;
    completion->lease_end_us = server->lease_end_us;
    completion->draining = server->draining;
    completion->active_requests = 0;
    for (job = server->jobs; job != NULL; job = job->next) {
        completion->active_requests++;
    }
}

static model_grant_t read_grant(const Cw__Grant *message)
{
    model_grant_t grant = {
        message->range, message->service, message->low, message->last, cw_fence_from_message(message->fence), false};

    return grant;
}

static void accept_grants(model_server_t *server, const cw_server_call_t *call, cw_server_completion_t *completion)
{
    size_t index;

    for (index = 0; index < call->grant_count; index++) {
        model_grant_t grant = read_grant(call->grants[index]);

        if (take_grant(server, &grant)) {
            server->accepted[completion->accepted_count++] = grant.range;
        } else {
            server->refused[completion->refused_count++] = grant.range;
        }
        completion->highest = cw_fence_max(completion->highest, highest_seen(server, &grant));
    }
    completion->accepted = server->accepted;
    completion->refused = server->refused;
}

static void grant(model_server_t *server, const cw_server_call_t *call, int64_t clock_us,
                  cw_server_completion_t *completion)
{
    if (call->lease_end_us <= clock_us) {
        completion->error = CW_ERROR_CONFLICT;
        return;
    }
    if (call->lease_end_us > server->lease_end_us) {
        server->lease_end_us = call->lease_end_us;
    }
    accept_grants(server, call, completion);
}

static void begin_revocation(model_server_t *server, const model_grant_t *revoked)
{
    size_t index;

    remember_seen(server, revoked);
    for (index = 0; index < server->grant_count; index++) {
        model_grant_t *held = &server->grants[index];

        if (overlap(held, revoked) && cw_fence_compare(held->fence, revoked->fence) <= 0) {
            held->revoking = true;
        }
    }
}

static bool has_jobs_in(const model_server_t *server, const model_grant_t *area)
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

static bool is_drained(const model_server_t *server, const revocation_t *revocation)
{
    size_t index;

    for (index = 0; index < revocation->count; index++) {
        if (has_jobs_in(server, &revocation->grants[index])) {
            return false;
        }
    }
    return true;
}

static void drop_revoked(model_server_t *server, const model_grant_t *revoked)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < server->grant_count; index++) {
        const model_grant_t *held = &server->grants[index];

        if (!(held->revoking && overlap(held, revoked) && cw_fence_compare(held->fence, revoked->fence) <= 0)) {
            server->grants[kept++] = *held;
        }
    }
    server->grant_count = kept;
}

static bool holds_range(const model_server_t *server, cw_range_id_t range)
{
    size_t index;

    for (index = 0; index < server->grant_count; index++) {
        if (server->grants[index].range == range) {
            return true;
        }
    }
    return false;
}

static revocation_t *find_revocation(model_server_t *server, uint64_t serial)
{
    size_t index;

    for (index = 0; index < server->revocation_count; index++) {
        if (server->revocations[index].serial == serial) {
            return &server->revocations[index];
        }
    }
    return NULL;
}

static void remove_revocation(model_server_t *server, revocation_t *revocation)
{
    *revocation = server->revocations[--server->revocation_count];
}

void model_server_read_released(model_server_t *server, uint64_t serial, int64_t clock_us,
                                cw_server_completion_t *completion)
{
    revocation_t *revocation = find_revocation(server, serial);
    size_t        index;

    memset(completion, 0, sizeof(*completion));
    model_server_expire(server, clock_us);
    for (index = 0; revocation != NULL && index < revocation->count; index++) {
        drop_revoked(server, &revocation->grants[index]);
        if (!holds_range(server, revocation->grants[index].range)) {
            server->accepted[completion->accepted_count++] = revocation->grants[index].range;
        }
    }
    completion->accepted = server->accepted;
    if (revocation != NULL) {
        remove_revocation(server, revocation);
    }
    fill_state(server, clock_us, completion);
}

static void check_revocations(model_server_t *server)
{
    size_t index;

    for (index = 0; index < server->revocation_count; index++) {
        revocation_t *revocation = &server->revocations[index];

        if (!revocation->released && is_drained(server, revocation)) {
            revocation->released = true;
            server->callbacks.released(server->callbacks.context, revocation->serial);
        }
    }
}

/* Queued jobs under a revoked grant are refused when their turn comes; refuse them now, so that it can be released. */
static void refuse_unowned(model_server_t *server, int64_t clock_us);

static bool revoke(model_server_t *server, uint64_t serial, const cw_server_call_t *call, int64_t clock_us,
                   cw_server_completion_t *completion)
{
    revocation_t *revocation;
    size_t        index;

    if (server->revocation_count == REVOCATIONS_MAX || call->grant_count > REVOKED_GRANTS_MAX) {
        completion->error = CW_ERROR_UNAVAILABLE;
        return true;
    }
    revocation = &server->revocations[server->revocation_count++];
    revocation->serial = serial;
    revocation->released = false;
    revocation->count = call->grant_count;
    for (index = 0; index < call->grant_count; index++) {
        revocation->grants[index] = read_grant(call->grants[index]);
        begin_revocation(server, &revocation->grants[index]);
    }
    refuse_unowned(server, clock_us);
    revocation = find_revocation(server, serial);
    if (!is_drained(server, revocation)) {
        return false;
    }
    model_server_read_released(server, serial, clock_us, completion);
    return true;
}

bool model_server_call(model_server_t *server, uint64_t serial, const cw_server_call_t *call, int64_t clock_us,
                       cw_server_completion_t *completion)
{
    memset(completion, 0, sizeof(*completion));
    model_server_expire(server, clock_us);
    if (call->kind != CW_SERVER_READ_STATE && call->incarnation != server->options.incarnation) {
        completion->error = CW_ERROR_CONFLICT;
        return true;
    }
    if (call->kind == CW_SERVER_REVOKE) {
        return revoke(server, serial, call, clock_us, completion);
    }
    if (call->kind == CW_SERVER_GRANT) {
        grant(server, call, clock_us, completion);
    }
    if (call->kind == CW_SERVER_RENEW_LEASE && server->lease_end_us > clock_us &&
        call->lease_end_us > server->lease_end_us) {
        server->lease_end_us = call->lease_end_us;
    }
    fill_state(server, clock_us, completion);
    return true;
}

/* ---- jobs ---- */

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
    check_revocations(server);
}

static void refuse_unowned(model_server_t *server, int64_t clock_us)
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

const model_grant_t *model_server_grants(const model_server_t *server, size_t *count)
{
    *count = server->grant_count;
    return server->grants;
}

int64_t model_server_lease_end(const model_server_t *server)
{
    return server->lease_end_us;
}

uint64_t model_server_granted_count(const model_server_t *server)
{
    return server->granted_count;
}

bool model_server_idle(const model_server_t *server)
{
    return server->jobs == NULL && server->grant_count == 0;
}
