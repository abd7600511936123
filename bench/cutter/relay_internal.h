/**
 * @file relay_internal.h
 * @brief Structures shared by relay.c and flow.c.
 */
#ifndef CEDARWINCH_BENCH_RELAY_INTERNAL_H
#define CEDARWINCH_BENCH_RELAY_INTERNAL_H

#include "relay.h"

typedef struct piece piece_t;
typedef struct pair  pair_t;

/** Bytes of one direction of a connection: read from one end, queued until due, written to the other. */
typedef struct flow {
    pair_t        *pair;
    cw_direction_t direction;
    uv_tcp_t      *from;
    uv_tcp_t      *to;
    uv_timer_t     timer; /**< until the first piece is due */
    piece_t       *queue;
    size_t         queued; /**< bytes */
    bool           reading;
    bool           ended; /**< the sender closed its direction */
    bool           shut;  /**< and the receiver was told */
} flow_t;

/** A connection taken in and the one made for it. */
struct pair {
    cw_tcp_relay_t *relay;
    uv_tcp_t        source;
    uv_tcp_t        target;
    uv_connect_t    connect;
    flow_t          flows[CW_DIRECTION_COUNT];
    bool            connecting;
    bool            connected;
    bool            closing;
    unsigned        open_handles;
    pair_t         *prev;
    pair_t         *next;
};

struct cw_tcp_relay {
    uv_loop_t            *loop;
    uv_tcp_t              listener;
    struct sockaddr_in    target;
    uint16_t              port;
    cw_relay_condition_t  condition;
    cw_relay_statistics_t statistics;
    pair_t               *pairs;
};

/** Brings a flow in line with the relay's condition: reads or not, writes what is due. */
void cw_flow_update(flow_t *flow);
void cw_flow_drop_queue(flow_t *flow);
/** Closes both ends; the pair is freed when all its handles are closed. */
void cw_pair_close(pair_t *pair);

#endif
