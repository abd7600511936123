/**
 * @file agent_call.c
 * @brief Calls of the agent to back-end servers that are under way.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "core/agent_internal.h"

static int copy_grants(cw_agent_call_t *record, const cw_server_call_t *call)
{
    size_t i;

    if (call->grant_count == 0) {
        return CW_OK;
    }
    record->ranges = calloc(call->grant_count, sizeof(*record->ranges));
    record->fences = calloc(call->grant_count, sizeof(*record->fences));
    if (record->ranges == NULL || record->fences == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (i = 0; i < call->grant_count; i++) {
        record->ranges[i] = call->grants[i]->range;
        record->fences[i] = cw_fence_from_message(call->grants[i]->fence);
    }
    record->range_count = call->grant_count;
    return CW_OK;
}

cw_agent_call_t *cw_agent_start_call(cw_agent_t *agent, const cw_agent_server_t *server, cw_server_call_t *call)
{
    cw_agent_call_t *record = calloc(1, sizeof(*record));

    if (record == NULL || copy_grants(record, call) != CW_OK) {
        cw_agent_end_call(agent, record);
        return NULL;
    }
    call->id = ++agent->next_call;
    call->server = server->configuration;
    record->id = call->id;
    record->kind = call->kind;
    record->server = server->id;
    record->incarnation = call->incarnation;
    record->sent_us = agent->now_us;
    record->give_up_us = agent->now_us + call->timeout_us + agent->heartbeat_us;
    HASH_ADD(hh, agent->calls, id, sizeof(record->id), record);
    agent->ports.server_call(agent->ports.context, call);
    return record;
}

void cw_agent_end_call(cw_agent_t *agent, cw_agent_call_t *call)
{
    (void)agent;
    if (call == NULL) {
        return;
    }
    free(call->ranges);
    free(call->fences);
    free(call);
}

/** Ends calls whose completion never came, well behind their own timeout. */
void cw_agent_give_up_calls(cw_agent_t *agent)
{
    cw_agent_call_t   *call;
    cw_agent_call_t   *next;
    cw_agent_server_t *server;

    HASH_ITER(hh, agent->calls, call, next)
    {
        if (agent->now_us < call->give_up_us) {
            continue;
        }
        HASH_DEL(agent->calls, call);
        server = cw_agent_find_server(agent, call->server);
        cw_agent_reading_call_ended(agent, server, call);
        cw_agent_call_failed(agent, server, call, CW_ERROR_TIMEOUT);
        cw_agent_end_call(agent, call);
    }
}

bool cw_agent_range_in_call(const cw_agent_t *agent, cw_server_call_kind_t kind, cw_range_id_t range, cw_fence_t fence)
{
    const cw_agent_call_t *call;
    size_t                 i;

    for (call = agent->calls; call != NULL; call = call->hh.next) {
        for (i = 0; call->kind == kind && i < call->range_count; i++) {
            if (call->ranges[i] == range && cw_fence_compare(call->fences[i], fence) <= 0) {
                return true;
            }
        }
    }
    return false;
}
