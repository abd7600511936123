/**
 * @file exchange_internal.h
 * @brief Shared by the node's side (exchange.c) and the server's side (exchange_server.c) of exchanges.
 */
#ifndef CEDARWINCH_SIM_EXCHANGE_INTERNAL_H
#define CEDARWINCH_SIM_EXCHANGE_INTERNAL_H

#include "world.h"

/** Answer to a call on its way: the completion without its lists, which follow it. */
typedef struct call_answer {
    uint64_t               serial;
    cw_server_completion_t completion;
    cw_range_id_t          ranges[]; /**< accepted, then refused */
} call_answer_t;

/* exchange.c: events at the node */
sim_exchange_t *sim_exchange_find(sim_host_t *host, uint64_t serial);
void            sim_exchange_call_answered(sim_world_t *world, sim_event_t *event);
void            sim_exchange_request_answered(sim_world_t *world, sim_event_t *event);
void            sim_exchange_connection_broken(sim_world_t *world, sim_event_t *event);

/* exchange_server.c: events at the server */
void sim_exchange_call_arrived(sim_world_t *world, sim_event_t *event);
void sim_exchange_request_arrived(sim_world_t *world, sim_event_t *event);
void sim_exchange_cancel_arrived(sim_world_t *world, sim_event_t *event);

#endif
