/**
 * @file node_fixture.h
 * @brief A whole node without a network. Its parts are started as in a process; the test plays the store, the servers,
 * the other nodes and the clock.
 *
 * Datagrams are packed, unpacked, and freed after they have been handled, so that AddressSanitizer detects code that
 * keeps a pointer into one. Calls to the store and orders to servers wait until the test answers them.
 */
#ifndef CEDARWINCH_TESTS_NODE_FIXTURE_H
#define CEDARWINCH_TESTS_NODE_FIXTURE_H

#include "router/router_internal.h"

enum { NODE_FIXTURE_CALLS_MAX = 256, NODE_FIXTURE_ORDERS_MAX = 4096 };

/** A pending call to the store. */
typedef struct node_fixture_call {
    bool               is_write;
    char               kind[32];
    cw_store_replied_t replied;
    void              *data;
    json_t            *value; /**< that is written; NULL: a read */
} node_fixture_call_t;

/** A pending order to a server. */
typedef struct node_fixture_order {
    cw_order_t           order;
    cw_order_callbacks_t callbacks;
    void                *context;
} node_fixture_order_t;

/** A node, its fakes, and the calls and orders that wait for an answer. */
typedef struct node_fixture {
    cw_router_t          router;
    cw_adapter_t         adapter;
    cw_store_port_t      port;
    cw_header_names_t    names;
    uint64_t             revision;   /**< of the last write that was answered, as the store counts it */
    uint64_t             epoch;      /**< of the store */
    uint32_t             list_reads; /**< reads of the list of servers so far */
    cw_list_read_t       list_read;  /**< how the last one was asked for */
    node_fixture_call_t  calls[NODE_FIXTURE_CALLS_MAX];
    size_t               call_count;
    node_fixture_order_t orders[NODE_FIXTURE_ORDERS_MAX];
    size_t               order_count;
    bool                 servers_answer_probes; /**< initially true */
    json_t              *record;                /**< of an earlier leader, which is read; NULL: there is none */
} node_fixture_t;

/** Creates a node in zone z1. Zones z1 and z2 are in region r1, z3 in r2. */
node_fixture_t *node_fixture_create(void);
void            node_fixture_free(node_fixture_t *node);
/** Advances the clock by passed_ms and then does what a node does every CW_TICK_MS. */
void node_fixture_tick(node_fixture_t *node, int64_t passed_ms);
/** Delivers a datagram from this address. */
void node_fixture_receive(node_fixture_t *node, const char *from, const Cwp__Datagram *datagram);
/** Delivers a report of the node at this address that holds only its name (the address), zone and sequence number. */
void node_fixture_receive_report(node_fixture_t *node, const char *from, const char *zone, uint32_t sequence);
/** Answers all pending calls to the store: objects are not found, writes succeed. */
void node_fixture_answer_store(node_fixture_t *node);
/** Answers the pending probes of servers as done; the other orders stay pending. */
void node_fixture_answer_probes(node_fixture_t *node);
/** Answers all pending orders with this result. */
void node_fixture_answer_orders(node_fixture_t *node, cw_order_result_t result);
/** Answers all pending orders: those to dead servers (whose ids sort before first_alive) as not sent, the others as
 * done. Returns the number of grants to dead servers. */
size_t node_fixture_answer_orders_of_dead(node_fixture_t *node, const char *first_alive);
/** Delivers a sample, from a node of zone z2, of the keys of requests for the only service. seen: requests that it
 * stands for. */
void node_fixture_receive_samples(node_fixture_t *node, const uint32_t *keys, size_t count, uint32_t seen);
/** Lets the node take the lock, make its first plans as far as its configuration and list permit, and get its orders
 * answered. */
void node_fixture_lead(node_fixture_t *node);
/** The same up to the first orders, which stay pending. */
void node_fixture_lead_unanswered(node_fixture_t *node);
/** Delivers a list, read from the store, of `count` servers of a service: i-000000 and so on, in zones z1 to z3 in
 * turn. */
void node_fixture_read_servers(node_fixture_t *node, const char *service, size_t count, const char *address);
/** Creates a configuration with one route, to one service divided by key. */
cw_configuration_t *node_fixture_configuration(uint64_t version, const char *service);

#endif
