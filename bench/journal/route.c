/**
 * @file route.c
 * @brief Routes, requests and answers of the journal's measurements: one service, one server, one range.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/outcome.h"
#include "world.h"

enum {
    SERVICE = 5,
    SERVER = 6,
    RANGE = 70,
    SLOTS = 2,
    SET_SIZE = 3,
    GATEWAY_INCARNATION = 900,
    REQUEST_TIMEOUT_US = CW_US_PER_S,
    STATUS_OK = 200
};

/** The parts of a route table, to be pointed at by its message. */
typedef struct table {
    Cw__ControlSnapshot       snapshot;
    Cw__TenantConfiguration   tenant;
    Cw__ServiceConfiguration  service;
    Cw__ServerConfiguration   server;
    Cw__ServerInfo            server_info;
    Cw__RangeInfo             range;
    Cw__Fence                 range_fence;
    Cw__Fence                 server_fence;
    Cw__ReplicaReference      references[2 * SET_SIZE];
    Cw__NodeInfo              nodes[CW_WORLD_REPLICAS];
    Cw__ReplicaReference     *reference_pointers[2 * SET_SIZE];
    Cw__NodeInfo             *node_pointers[CW_WORLD_REPLICAS];
    Cw__TenantConfiguration  *tenants[1];
    Cw__ServiceConfiguration *services[1];
    Cw__ServerConfiguration  *servers[1];
    Cw__ServerInfo           *server_infos[1];
    Cw__RangeInfo            *ranges[1];
} table_t;

static void fill_set(table_t *table, size_t place, int first)
{
    Cw__ReplicaReference *reference;
    size_t                index;

    for (index = 0; index < SET_SIZE; index++) {
        reference = &table->references[place + index];
        cw__replica_reference__init(reference);
        reference->node = (uint32_t)first + (uint32_t)index + 1;
        reference->incarnation = 100 + (uint64_t)first + index;
        table->reference_pointers[place + index] = reference;
    }
}

static void fill_nodes(table_t *table, const cw_world_t *world)
{
    size_t index;

    for (index = 0; index < CW_WORLD_REPLICAS; index++) {
        cw__node_info__init(&table->nodes[index]);
        table->nodes[index].id = (uint32_t)index + 1;
        table->nodes[index].incarnation = 100 + index;
        table->nodes[index].state = world->replica_lost[index] ? CW__NODE_STATE__NODE_DOWN : CW__NODE_STATE__NODE_UP;
        table->node_pointers[index] = &table->nodes[index];
    }
    table->snapshot.nodes = table->node_pointers;
    table->snapshot.n_nodes = CW_WORLD_REPLICAS;
}

static void fill_configuration(table_t *table)
{
    cw__tenant_configuration__init(&table->tenant);
    cw__service_configuration__init(&table->service);
    cw__server_configuration__init(&table->server);
    table->server.id = SERVER;
    table->server.name = table->server.address = table->server.zone = "server";
    table->service.id = SERVICE;
    table->service.name = table->tenant.name = "name";
    table->service.slots_per_server = SLOTS;
    table->servers[0] = &table->server;
    table->service.servers = table->servers;
    table->service.n_servers = 1;
    table->services[0] = &table->service;
    table->tenant.services = table->services;
    table->tenant.n_services = 1;
    table->tenants[0] = &table->tenant;
    table->snapshot.tenants = table->tenants;
    table->snapshot.n_tenants = 1;
}

static void fill_server(table_t *table, int forwarder, uint64_t epoch)
{
    cw__server_info__init(&table->server_info);
    cw__fence__init(&table->server_fence);
    table->server_fence.generation = 1;
    table->server_fence.index = epoch;
    table->server_info.server = SERVER;
    table->server_info.service = SERVICE;
    table->server_info.forwarder = (uint32_t)(CW_WORLD_FIRST_FORWARDER + forwarder);
    table->server_info.forwarder_incarnation = 200 + (uint64_t)forwarder;
    table->server_info.fence = &table->server_fence;
    table->server_infos[0] = &table->server_info;
    table->snapshot.servers = table->server_infos;
    table->snapshot.n_servers = 1;
}

static void fill_range(table_t *table, int own, int former)
{
    cw__range_info__init(&table->range);
    cw__fence__init(&table->range_fence);
    table->range_fence.generation = table->range_fence.index = 1;
    table->range.id = RANGE;
    table->range.service = SERVICE;
    table->range.server = SERVER;
    table->range.tenant = "name";
    table->range.last = UINT64_MAX;
    table->range.state = CW__RANGE_STATE__RANGE_GRANTED;
    table->range.fence = &table->range_fence;
    fill_set(table, 0, own);
    table->range.journal = table->reference_pointers;
    table->range.n_journal = SET_SIZE;
    if (former >= 0) {
        fill_set(table, SET_SIZE, former);
        table->range.former_journal = &table->reference_pointers[SET_SIZE];
        table->range.n_former_journal = SET_SIZE;
    }
    table->ranges[0] = &table->range;
    table->snapshot.ranges = table->ranges;
    table->snapshot.n_ranges = 1;
}

int cw_world_route(cw_world_t *world, int forwarder, uint64_t epoch, int own, int former)
{
    table_t table;
    int     error;

    memset(&table, 0, sizeof(table));
    cw__control_snapshot__init(&table.snapshot);
    table.snapshot.version = epoch;
    fill_configuration(&table);
    fill_nodes(&table, world);
    fill_server(&table, forwarder, epoch);
    fill_range(&table, own, former);
    error = cw_control_state_merge(world->routes[forwarder], &table.snapshot, NULL, 0, true);
    if (error == CW_OK) {
        cw_forwarder_routes_changed(world->forwarders[forwarder], world->routes[forwarder], cw_world_instant(world));
    }
    return error;
}

void cw_world_request(cw_world_t *world, int forwarder, uint64_t epoch, bool repeatable)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__ForwardRequest message = CW__FORWARD_REQUEST__INIT;
    Cw__Fence          fence = CW__FENCE__INIT;
    uint8_t            id[CW_REQUEST_ID_BYTES];
    uint64_t           random_state = ++world->last_request;

    cw_request_id_make(id, cw_world_instant(world).wall_ms, &random_state);
    fence.generation = 1;
    fence.index = epoch;
    message.id = world->last_request;
    message.gateway = CW_WORLD_GATEWAY;
    message.gateway_incarnation = GATEWAY_INCARNATION;
    message.service = SERVICE;
    message.server = SERVER;
    message.range = RANGE;
    message.fence = &fence;
    message.timeout_us = REQUEST_TIMEOUT_US;
    message.request_id.data = id;
    message.request_id.len = sizeof(id);
    message.repeatable = repeatable;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_REQUEST;
    envelope.forward_request = &message;
    cw_forwarder_receive(world->forwarders[forwarder], &envelope, cw_world_instant(world));
}

void cw_world_respond(cw_world_t *world, int forwarder)
{
    static char          body[CW_JOURNAL_ANSWER_MAX];
    cw_server_response_t response = {.id = world->last_sent_id,
                                     .result = CW_SERVER_ANSWERED,
                                     .status = STATUS_OK,
                                     .body = body,
                                     .body_length = world->options.answer_bytes};

    cw_forwarder_server_responded(world->forwarders[forwarder], &response, cw_world_instant(world));
}
