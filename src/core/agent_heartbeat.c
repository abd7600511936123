/**
 * @file agent_heartbeat.c
 * @brief Heartbeat messages of the agent, with the state of its servers and sparse reports of load.
 */
#include <stdlib.h>

#include "core/agent_internal.h"

enum { LOAD_KEEP_US = 15 * CW_US_PER_S /**< a load that is not updated any more is forgotten */ };

static void fill_load(cw_agent_load_t *load, Cw__RangeLoad *message, Cw__KeyLoad **hot_keys)
{
    size_t i;

    cw__range_load__init(message);
    message->range = load->id;
    message->requests_per_second = load->requests_per_second;
    message->n_hot_keys = load->hot_key_count;
    message->hot_keys = hot_keys;
    for (i = 0; i < load->hot_key_count; i++) {
        hot_keys[i] = &load->hot_keys[i];
    }
}

static void forget_old_loads(cw_agent_t *agent)
{
    cw_agent_load_t *load;
    cw_agent_load_t *next;

    HASH_ITER(hh, agent->loads, load, next)
    {
        if (agent->now_us - load->updated_us >= LOAD_KEEP_US) {
            cw_agent_remove_load(agent, load);
        }
    }
}

void cw_agent_free_loads(cw_agent_t *agent)
{
    cw_agent_load_t *load;
    cw_agent_load_t *next;

    HASH_ITER(hh, agent->loads, load, next)
    {
        cw_agent_remove_load(agent, load);
    }
}

static size_t choose_loads(cw_agent_t *agent, cw_agent_load_t *chosen[CW_AGENT_LOADS_PER_HEARTBEAT])
{
    cw_agent_load_t *load;
    size_t           count = 0;
    size_t           i;

    for (load = agent->loads; load != NULL && count < CW_AGENT_LOADS_PER_HEARTBEAT; load = load->hh.next) {
        if (cw_agent_load_due(agent, load)) {
            chosen[count++] = load;
        }
    }
    for (i = 0; i < count; i++) {
        cw_agent_mark_load_reported(agent, chosen[i]);
    }
    return count;
}

static void fill_server(const cw_agent_server_t *server, Cw__ServerReport *report)
{
    cw__server_report__init(report);
    report->server = server->id;
    report->reachable = server->reachable;
    report->incarnation = server->incarnation;
    report->clock_us = server->clock_us;
    report->lease_end_us = server->lease_end_us;
    report->draining = server->draining;
    report->active_requests = server->active_requests;
}

/** Reports of all servers that were read once, or that cannot be read. */
static size_t fill_servers(const cw_agent_t *agent, Cw__ServerReport *reports, Cw__ServerReport **pointers)
{
    const cw_agent_server_t *server;
    size_t                   count = 0;

    for (server = agent->servers; server != NULL; server = server->hh.next) {
        if (server->incarnation == 0 && server->reachable) {
            continue;
        }
        fill_server(server, &reports[count]);
        pointers[count] = &reports[count];
        count++;
    }
    return count;
}

static void fill_loads(cw_agent_t *agent, Cw__Heartbeat *heartbeat, Cw__RangeLoad *loads, Cw__RangeLoad **pointers,
                       Cw__KeyLoad *hot_keys[][CW_AGENT_HOT_KEYS_MAX])
{
    cw_agent_load_t *chosen[CW_AGENT_LOADS_PER_HEARTBEAT];
    size_t           count = choose_loads(agent, chosen);
    size_t           i;

    for (i = 0; i < count; i++) {
        fill_load(chosen[i], &loads[i], hot_keys[i]);
        pointers[i] = &loads[i];
    }
    heartbeat->n_loads = count;
    heartbeat->loads = pointers;
}

void cw_agent_send_heartbeat(cw_agent_t *agent)
{
    size_t             server_count = HASH_COUNT(agent->servers);
    Cw__ServerReport  *reports;
    Cw__ServerReport **pointers;
    Cw__RangeLoad      loads[CW_AGENT_LOADS_PER_HEARTBEAT];
    Cw__RangeLoad     *load_pointers[CW_AGENT_LOADS_PER_HEARTBEAT];
    Cw__KeyLoad       *hot_keys[CW_AGENT_LOADS_PER_HEARTBEAT][CW_AGENT_HOT_KEYS_MAX];
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__Heartbeat      heartbeat = CW__HEARTBEAT__INIT;

    forget_old_loads(agent);
    if (agent->leader == 0) {
        return;
    }
    reports = calloc(server_count + 1, sizeof(*reports));
    pointers = calloc(server_count + 1, sizeof(Cw__ServerReport *));
    if (reports != NULL && pointers != NULL) {
        heartbeat.node = agent->self;
        heartbeat.sequence = ++agent->sequence;
        heartbeat.route_version = agent->route_version;
        heartbeat.n_servers = fill_servers(agent, reports, pointers);
        heartbeat.servers = pointers;
        fill_loads(agent, &heartbeat, loads, load_pointers, hot_keys);
        envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
        envelope.heartbeat = &heartbeat;
        cw_agent_send(agent, &envelope);
    }
    free(reports);
    free(pointers);
}
