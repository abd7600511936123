/**
 * @file node_fixture.h
 * @brief A whole node without a network: its parts are started as a process starts them, the test is its store, its
 * servers, the other nodes and its clock.
 *
 * Datagrams are packed and unpacked, and freed when they have been taken: what keeps a pointer into one is found by
 * AddressSanitizer. Calls to the store wait until the test answers them.
 */
#ifndef CEDARWINCH_TESTS_NODE_FIXTURE_H
#define CEDARWINCH_TESTS_NODE_FIXTURE_H

#include "router/router_internal.h"

enum { NODE_FIXTURE_CALLS_MAX = 256, NODE_FIXTURE_ORDERS_MAX = 4096 };

/** A call to the store that waits for its answer. */
typedef struct node_fixture_call {
    bool               is_write;
    char               kind[32];
    cw_store_replied_t replied;
    void              *data;
    json_t            *value; /**< of a write */
} node_fixture_call_t;

typedef struct node_fixture_order {
    cw_order_t      order;
    cw_order_done_t done;
    void           *context;
} node_fixture_order_t;

typedef struct node_fixture {
    cw_router_t          router;
    cw_adapter_t         adapter;
    cw_store_port_t      port;
    cw_header_names_t    names;
    uint64_t             revision; /**< of the last write that was done */
    uint32_t             list_reads;
    node_fixture_call_t  calls[NODE_FIXTURE_CALLS_MAX];
    size_t               call_count;
    node_fixture_order_t orders[NODE_FIXTURE_ORDERS_MAX];
    size_t               order_count;
} node_fixture_t;

/** In zone z1, of region r1; z2 lies in r1, z3 in r2. */
node_fixture_t *node_fixture_create(void);
void            node_fixture_free(node_fixture_t *node);
/** Lets so many milliseconds pass, and then what a node does every CW_TICK_MS. */
void node_fixture_tick(node_fixture_t *node, int64_t passed_ms);
/** A datagram comes from this address. */
void node_fixture_receive(node_fixture_t *node, const char *from, const Cwp__Datagram *datagram);
/** A report of a node of this zone, with nothing in it but who it is. */
void node_fixture_receive_report(node_fixture_t *node, const char *from, const char *zone, uint32_t sequence);
/** Answers all calls to the store that wait: objects are not found, writes are done. */
void node_fixture_answer_store(node_fixture_t *node);
/** Answers all orders that wait. */
void node_fixture_answer_orders(node_fixture_t *node, cw_order_result_t result);
/** The same, but of servers that are dead (ids before this one) as not sent. Returns how many of those grants. */
size_t node_fixture_answer_orders_of_dead(node_fixture_t *node, const char *first_alive);
/** Requests for keys of the only service have been seen by another node. */
void node_fixture_receive_samples(node_fixture_t *node, const uint32_t *keys, size_t count, uint32_t seen);
/** The node takes the lock and makes its first plans, as far as its configuration and list go. */
void node_fixture_lead(node_fixture_t *node);
/** The same up to the first orders, which wait for their answers. */
void node_fixture_lead_unanswered(node_fixture_t *node);
/** A list of `count` servers of a service is read from the store: i-0 and so on, in zones z1 to z3 by turns. */
void node_fixture_read_servers(node_fixture_t *node, const char *service, size_t count, const char *address);
/** A configuration with one route and one keyed service. */
cw_configuration_t *node_fixture_configuration(uint64_t version, const char *service);

#endif
