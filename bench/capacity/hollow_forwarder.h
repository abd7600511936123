/**
 * @file hollow_forwarder.h
 * @brief One real forwarder with three real journal replicas; servers and gateway are modelled.
 *
 * Node 1 runs the forwarder and a replica, nodes 2 and 3 the other replicas. Every range is granted and its lease
 * lives.
 */
#ifndef CEDARWINCH_CAPACITY_HOLLOW_FORWARDER_H
#define CEDARWINCH_CAPACITY_HOLLOW_FORWARDER_H

#include "cedarwinch/journal.h"
#include "core/forwarder_internal.h"
#include "meter.h"
#include "traffic.h"

enum { CW_HOLLOW_REPLICAS = 3, CW_HOLLOW_GATEWAY = 90, CW_HOLLOW_ANSWER_BYTES = 1000 };

/** Range that the forwarder serves, as a gateway knows it. */
typedef struct cw_hollow_route {
    cw_range_id_t  range;
    cw_server_id_t server;
    cw_key_hash_t  low;
    Cw__Fence      fence;
} cw_hollow_route_t;

typedef struct cw_hollow_packet {
    uint8_t     *data;
    size_t       length;
    size_t       kind;
    cw_node_id_t to;
} cw_hollow_packet_t;

typedef struct cw_hollow_forwarder {
    const cw_capacity_meter_t *meter;
    cw_control_state_t        *state;
    cw_service_id_t            service;
    cw_forwarder_t            *forwarder;
    cw_journal_t              *journals[CW_HOLLOW_REPLICAS];
    cw_instant_t               now;
    cw_hollow_route_t         *routes;
    size_t                     route_count;
    cw_hollow_packet_t        *packets; /**< ring */
    size_t                     capacity;
    size_t                     head;
    size_t                     tail;
    uint64_t                  *sent; /**< requests that the servers run */
    size_t                     sent_count;
    size_t                     sent_capacity;
    uint64_t                   last_gateway_id;
    size_t                     answered; /**< requests with the outcome "answered" */
    cw_capacity_traffic_t      traffic;
    cw_capacity_cost_t         forwarder_cost;
    cw_capacity_cost_t         journal_cost; /**< of all replicas */
} cw_hollow_forwarder_t;

/** ranges: of the whole table; the forwarder serves a third of them. */
cw_hollow_forwarder_t *cw_hollow_forwarder_create(size_t servers, size_t ranges_per_server,
                                                  const cw_capacity_meter_t *meter);
void                   cw_hollow_forwarder_free(cw_hollow_forwarder_t *world);
/** A request arrives from the gateway. */
void cw_hollow_forwarder_request(cw_hollow_forwarder_t *world, bool repeatable);
/** Delivers messages until there are none. */
void cw_hollow_forwarder_deliver(cw_hollow_forwarder_t *world);
/** The servers answer all that they run; repeats until nothing is left. */
void cw_hollow_forwarder_finish(cw_hollow_forwarder_t *world);
void cw_hollow_forwarder_reset(cw_hollow_forwarder_t *world);

#endif
