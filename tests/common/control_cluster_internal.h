/**
 * @file control_cluster_internal.h
 * @brief Seams between the files of the control tests' world: its events, and the ports of a node that end at the
 *        servers and at the store.
 */
#ifndef CEDARWINCH_TESTS_CONTROL_CLUSTER_INTERNAL_H
#define CEDARWINCH_TESTS_CONTROL_CLUSTER_INTERNAL_H

#include "control_cluster.h"

enum { CLUSTER_CALL_DELAY_US = 2000, CLUSTER_HEARTBEAT_US = 300000 };

typedef enum event_kind { EVENT_MESSAGE, EVENT_CALL, EVENT_CALL_ANSWER, EVENT_STORE } event_kind_t;

/** One thing that happens at a node or a server at a given time. */
struct cluster_event {
    cluster_event_t *next;
    cw_time_us_t     due_us;
    event_kind_t     kind;
    size_t           node; /**< that receives */
    cw_incarnation_t node_incarnation;
    uint8_t         *bytes; /**< message, order of a call, or value read */
    size_t           length;
    uint64_t         id;
    int              error;
    /* call */
    cw_server_call_kind_t call;
    size_t                server;
    cw_incarnation_t      incarnation;
    int64_t               lease_end_us;
    int64_t               clock_us;
    bool                  draining;
    cw_range_id_t        *accepted;
    size_t                accepted_count;
    cw_range_id_t        *refused;
    size_t                refused_count;
    cw_fence_t            highest;
    /* store */
    cw_store_operation_t operation;
    char                 name[64];
    uint64_t             version;
};

/** Adds an event at a node, due after a delay; events due at the same time keep their order. */
cluster_event_t *cluster_add_event(event_kind_t kind, size_t node, cw_time_us_t delay_us);
/** Position of the node that a port's context stands for. */
size_t cluster_node_of(void *context);

/* servers */

void cluster_port_server_call(void *context, const cw_server_call_t *call);
/** The call reaches the server; its answer goes back as another event. */
void cluster_deliver_call(cluster_event_t *event);
void cluster_deliver_call_answer(const cluster_event_t *event);
/** The invariant: no key has two owners. Aborts the test otherwise. */
void cluster_check_owners(void);

/* store */

void cluster_port_store(void *context, const cw_store_request_t *request);
void cluster_deliver_store(const cluster_event_t *event);

#endif
