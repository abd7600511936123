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
#include <stdlib.h>
#include <string.h>

#include "model_server_internal.h"

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

        if (model_take_grant(server, &grant)) {
            server->accepted[completion->accepted_count++] = grant.range;
        } else {
            server->refused[completion->refused_count++] = grant.range;
        }
        completion->highest = cw_fence_max(completion->highest, model_highest_seen(server, &grant));
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

static bool is_drained(const model_server_t *server, const revocation_t *revocation)
{
    size_t index;

    for (index = 0; index < revocation->count; index++) {
        if (model_has_jobs_in(server, &revocation->grants[index])) {
            return false;
        }
    }
    return true;
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
        model_drop_revoked(server, &revocation->grants[index]);
        if (!model_holds_range(server, revocation->grants[index].range)) {
            server->accepted[completion->accepted_count++] = revocation->grants[index].range;
        }
    }
    completion->accepted = server->accepted;
    if (revocation != NULL) {
        remove_revocation(server, revocation);
    }
    fill_state(server, clock_us, completion);
}

void model_check_revocations(model_server_t *server)
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
        model_begin_revocation(server, &revocation->grants[index]);
    }
    model_refuse_unowned(server, clock_us);
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

bool model_server_idle(const model_server_t *server)
{
    return server->jobs == NULL && server->grant_count == 0;
}
