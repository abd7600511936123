/**
 * @file agent_server.c
 * @brief Servers of the agent: readings of their clocks, lease renewals and reachability.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/agent_internal.h"

enum {
    READING_TIMEOUT_HEARTBEATS = 2,
    DRIFT_DIVISOR = 1000 /**< two clocks may differ in rate by one part in this many */
};

cw_agent_server_t *cw_agent_find_server(const cw_agent_t *agent, cw_server_id_t id)
{
    cw_agent_server_t *server;

    HASH_FIND(hh, agent->servers, &id, sizeof(id), server);
    return server;
}

static bool same_configuration(const Cw__ServerConfiguration *left, const Cw__ServerConfiguration *right)
{
    return left->port == right->port && strcmp(left->address, right->address) == 0 &&
           strcmp(left->name, right->name) == 0;
}

static void update_configuration(cw_agent_server_t *server, const Cw__ServerConfiguration *source)
{
    Cw__ServerConfiguration *copy;

    if (source == NULL || same_configuration(server->configuration, source)) {
        return;
    }
    copy = (Cw__ServerConfiguration *)cw_message_copy(&source->base);
    if (copy != NULL) {
        cw__server_configuration__free_unpacked(server->configuration, NULL);
        server->configuration = copy;
    }
}

void cw_agent_adopt_server(cw_agent_t *agent, cw_server_id_t id, const Cw__ServerConfiguration *source)
{
    cw_agent_server_t *server = cw_agent_find_server(agent, id);

    if (server != NULL) {
        update_configuration(server, source);
        return;
    }
    if (source == NULL) {
        return;
    }
    server = calloc(1, sizeof(*server));
    if (server == NULL) {
        return;
    }
    server->id = id;
    server->reachable = true;
    server->lapse_clock_us = -1;
    server->configuration = (Cw__ServerConfiguration *)cw_message_copy(&source->base);
    if (server->configuration == NULL) {
        free(server);
        return;
    }
    HASH_ADD(hh, agent->servers, id, sizeof(server->id), server);
    cw_agent_read_state(agent, server);
}

/** The server holds nothing of what it accepted before. */
static void drop_ranges(cw_agent_t *agent, const cw_agent_server_t *server, bool new_incarnation)
{
    cw_agent_range_t *range;

    for (range = agent->ranges; range != NULL; range = range->hh.next) {
        if (range->server != server->id) {
            continue;
        }
        if (range->state == CW_RANGE_READY) {
            range->state = CW_RANGE_PENDING;
        }
        if (new_incarnation) {
            range->released = false;
        }
    }
}

void cw_agent_forget_server(cw_agent_t *agent, cw_agent_server_t *server)
{
    cw_agent_range_t *range;
    cw_agent_range_t *next_range;
    cw_agent_call_t  *call;
    cw_agent_call_t  *next_call;

    HASH_ITER(hh, agent->ranges, range, next_range)
    {
        if (range->server == server->id) {
            cw_agent_remove_range(agent, range);
        }
    }
    HASH_ITER(hh, agent->calls, call, next_call)
    {
        if (call->server == server->id) {
            HASH_DEL(agent->calls, call);
            cw_agent_end_call(agent, call);
        }
    }
    HASH_DEL(agent->servers, server);
    cw__server_configuration__free_unpacked(server->configuration, NULL);
    free(server);
}

static void start_reading(cw_agent_t *agent, cw_agent_server_t *server, cw_server_call_t *call)
{
    cw_agent_call_t *record;

    call->timeout_us = READING_TIMEOUT_HEARTBEATS * agent->heartbeat_us;
    record = cw_agent_start_call(agent, server, call);
    if (record != NULL) {
        server->reading_call = record->id;
        server->call_us = agent->now_us;
    }
}

void cw_agent_read_state(cw_agent_t *agent, cw_agent_server_t *server)
{
    cw_server_call_t call = {.kind = CW_SERVER_READ_STATE};

    if (server->reading_call == 0) {
        start_reading(agent, server, &call);
    }
}

static void renew(cw_agent_t *agent, cw_agent_server_t *server, int64_t lease_end_us)
{
    cw_server_call_t call = {.kind = CW_SERVER_RENEW_LEASE};

    call.incarnation = server->incarnation;
    call.lease_end_us = lease_end_us;
    start_reading(agent, server, &call);
}

void cw_agent_renew(cw_agent_t *agent, const Cw__LeaseRenewal *renewal)
{
    cw_agent_server_t *server = cw_agent_find_server(agent, renewal->server);

    if (server == NULL || renewal->incarnation != server->incarnation) {
        return;
    }
    if (server->reading_call != 0) {
        server->next_lease_end_us = renewal->lease_end_us;
        return;
    }
    renew(agent, server, renewal->lease_end_us);
}

void cw_agent_reading_call_ended(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call)
{
    (void)agent;
    if (server->reading_call == call->id) {
        server->reading_call = 0;
    }
}

static void use_incarnation(cw_agent_t *agent, cw_agent_server_t *server, cw_incarnation_t incarnation)
{
    drop_ranges(agent, server, true);
    server->incarnation = incarnation;
    server->incarnation_since_us = agent->now_us;
    server->clock_us = 0;
    server->reported_clock_us = -1;
    server->lapse_clock_us = -1;
    server->lease_end_us = 0;
    server->local_lease_end_us = agent->now_us;
    server->next_lease_end_us = 0;
    agent->urgent = true;
}

/** Lease end on this node's clock: the reading is taken as made when the call was sent, the server's clock as fast. */
static cw_time_us_t local_lease_end(const cw_agent_call_t *call, const cw_server_completion_t *completion)
{
    int64_t left = completion->lease_end_us - completion->clock_us;

    return call->sent_us + left - left / DRIFT_DIVISOR;
}

static void use_reading(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call,
                        const cw_server_completion_t *completion)
{
    if (server->draining != completion->draining) {
        agent->urgent = true;
    }
    server->clock_us = completion->clock_us;
    server->lease_end_us = completion->lease_end_us;
    server->draining = completion->draining;
    server->active_requests = completion->active_requests;
    if (completion->lease_end_us <= completion->clock_us) {
        server->local_lease_end_us = agent->now_us;
        server->lapse_clock_us = completion->clock_us;
        drop_ranges(agent, server, false);
        return;
    }
    if (local_lease_end(call, completion) > server->local_lease_end_us) {
        server->local_lease_end_us = local_lease_end(call, completion);
    }
}

static void renew_if_waiting(cw_agent_t *agent, cw_agent_server_t *server)
{
    int64_t lease_end_us = server->next_lease_end_us;

    server->next_lease_end_us = 0;
    if (server->reading_call == 0 && lease_end_us > server->lease_end_us) {
        renew(agent, server, lease_end_us);
    }
}

bool cw_agent_take_reading(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call,
                           const cw_server_completion_t *completion)
{
    if (!server->reachable) {
        server->reachable = true;
        agent->urgent = true;
    }
    if (completion->incarnation != server->incarnation) {
        if (call->sent_us < server->incarnation_since_us) {
            cw_agent_read_state(agent, server);
            return false;
        }
        use_incarnation(agent, server, completion->incarnation);
    }
    if (call->kind == CW_SERVER_READ_STATE && completion->clock_us > server->clock_us) {
        agent->urgent = true;
    }
    if (completion->clock_us >= server->clock_us) {
        use_reading(agent, server, call, completion);
    }
    renew_if_waiting(agent, server);
    return call->incarnation == 0 || call->incarnation == completion->incarnation;
}

void cw_agent_call_failed(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call, int error)
{
    bool draining = call->kind == CW_SERVER_REVOKE && error == CW_ERROR_TIMEOUT;

    if (error == CW_ERROR_CONFLICT || draining) {
        cw_agent_read_state(agent, server);
        return;
    }
    server->next_lease_end_us = 0;
    if (server->reachable) {
        server->reachable = false;
        agent->urgent = true;
    }
}
