/**
 * @file hollow.h
 * @brief Many relays in one process below one source, on a modelled network that packs, counts and unpacks messages.
 *
 * Node 1 is the source; node i has rank i - 2 in the tree. Nodes that pass routes on ("inner") always run the real
 * relay. When tables of all nodes would not fit into memory, only each so-manieth leaf does; the others are modelled:
 * they send the same subscriptions at the same intervals and take updates without keeping a table.
 */
#ifndef CEDARWINCH_CAPACITY_HOLLOW_H
#define CEDARWINCH_CAPACITY_HOLLOW_H

#include "cedarwinch/relay.h"
#include "meter.h"
#include "traffic.h"

enum {
    CW_HOLLOW_LEADER = 1,
    CW_HOLLOW_INTERVAL_US = 300000,
    CW_HOLLOW_OUT_OF_TOUCH_US = 3000000,
    CW_HOLLOW_STEP_US = 10000 /**< time of one hop */
};

typedef struct cw_hollow_node {
    struct cw_hollow     *network;
    cw_node_id_t          id;
    cw_relay_t           *relay; /**< NULL: modelled leaf */
    cw_time_us_t          next_us;
    uint64_t              version;
    cw_capacity_traffic_t sent;
    cw_capacity_traffic_t received;
    cw_capacity_cost_t    cost;
} cw_hollow_node_t;

typedef struct cw_hollow_message {
    uint8_t     *data;
    size_t       length;
    size_t       kind;
    cw_node_id_t to;
} cw_hollow_message_t;

typedef struct cw_hollow {
    const cw_capacity_meter_t *meter;
    cw_control_state_t        *state;
    cw_hollow_node_t          *nodes; /**< by id, from 1 */
    size_t                     count;
    size_t                     real_count;
    cw_instant_t               now;
    uint64_t                   beat;
    cw_hollow_message_t       *queue; /**< ring */
    size_t                     capacity;
    size_t                     head;
    size_t                     tail;
} cw_hollow_t;

/** The state is the source's, and the caller's. leaf_stride: one in so many leaves runs the real relay; 1: all. */
cw_hollow_t *cw_hollow_create(cw_control_state_t *state, size_t count, size_t leaf_stride,
                              const cw_capacity_meter_t *meter);
void         cw_hollow_free(cw_hollow_t *network);
/** One step of time: deliver what was sent in the last step, tick. */
void cw_hollow_step(cw_hollow_t *network);
void cw_hollow_run(cw_hollow_t *network, cw_time_us_t time_us);
/** Tells the source of a change at once. */
void cw_hollow_publish(cw_hollow_t *network);
/** Nodes that do not hold the state's version or are out of touch. */
size_t cw_hollow_count_behind(const cw_hollow_t *network);
void   cw_hollow_reset_counts(cw_hollow_t *network);
bool   cw_hollow_is_inner(const cw_hollow_t *network, cw_node_id_t id);

#endif
