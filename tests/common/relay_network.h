/**
 * @file relay_network.h
 * @brief Modelled network of relays below one source, for tests: logical time, losses and delays from a seed, and
 *        counts of what was sent.
 */
#ifndef CEDARWINCH_TESTS_RELAY_NETWORK_H
#define CEDARWINCH_TESTS_RELAY_NETWORK_H

#include "cedarwinch/relay.h"

enum {
    RELAY_NODES = 60, /* three levels below the leader */
    RELAY_LEADER = 1,
    RELAY_INTERVAL_US = 300000,
    RELAY_OUT_OF_TOUCH_US = 2000000,
    RELAY_STEP_US = 10000,
    RELAY_QUEUE_MAX = 100000
};

typedef struct relay_message {
    uint8_t     *data;
    size_t       length;
    cw_node_id_t to;
} relay_message_t;

typedef struct relay_network relay_network_t;

typedef struct relay_endpoint {
    relay_network_t *network;
    cw_node_id_t     id;
    cw_relay_t      *relay;
    bool             cut;
} relay_endpoint_t;

struct relay_network {
    relay_endpoint_t    nodes[RELAY_NODES + 1];
    cw_control_state_t *state;
    cw_node_id_t        leader;
    uint64_t            term;
    uint64_t            beat;
    uint64_t            index;
    cw_instant_t        now;
    relay_message_t     queue[RELAY_QUEUE_MAX];
    size_t              head;
    size_t              tail;
    size_t              changes_sent;
    size_t              bytes_sent;
    size_t              subscribed_to[RELAY_NODES + 1];
    size_t              hellos;
    size_t              alternatives;
    uint64_t            random;
    uint64_t            loss_percent;
    uint64_t            versions[RELAY_NODES + 1]; /* seen last */
    size_t              full_updates;
};

/** All nodes know all others; nothing was sent yet. */
relay_network_t *relay_network_create(void);
void             relay_network_free(relay_network_t *network);
void             relay_network_create_relay(relay_network_t *network, cw_node_id_t id);
void             relay_network_fill_node(Cw__NodeInfo *node, cw_node_id_t id);
/** A change of the state that names the nodes first to last. */
void relay_network_apply_nodes(relay_network_t *network, cw_node_id_t first, cw_node_id_t last);
/** Tells the leader's relay the state and the beat as they are now. */
void relay_network_set_source(relay_network_t *network);
void relay_network_run(relay_network_t *network, int64_t time_us);
/** Nodes that are out of touch or not at the newest version. Nodes that are cut off are left out. */
size_t relay_network_count_behind(const relay_network_t *network);
/** A subscription as if one node had sent it to another. */
void relay_network_subscribe(relay_network_t *network, cw_node_id_t to, cw_node_id_t from, uint64_t generation,
                             uint64_t version);

#endif
