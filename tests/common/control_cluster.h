/**
 * @file control_cluster.h
 * @brief World of the control tests: nodes with agents and control replicas, back-end servers, a store and a message
 *        queue, all under one simulated clock. After every step it checks that no key has two owners.
 */
#ifndef CEDARWINCH_TESTS_CONTROL_CLUSTER_H
#define CEDARWINCH_TESTS_CONTROL_CLUSTER_H

#include "cedarwinch/agent.h"
#include "cedarwinch/control.h"

enum {
    CLUSTER_NODES = 6,
    CLUSTER_CONTROLS = 3, /**< nodes 1 to 3 found the control group */
    CLUSTER_SERVERS = 6,
    CLUSTER_GRANTS = 512,
    CLUSTER_STEP_US = 2 * CW_US_PER_MS
};

typedef enum cluster_store_mode { STORE_OK, STORE_REFUSES, STORE_LOSES_ANSWERS, STORE_HANGS } cluster_store_mode_t;

typedef struct cluster_grant {
    Cw__Grant grant;
    Cw__Fence fence;
    bool      held;
} cluster_grant_t;

/** Back-end server: lease, grants and the fences it has seen. */
typedef struct cluster_server {
    Cw__ServerConfiguration configuration;
    char                    name[8];
    cw_incarnation_t        incarnation;
    int64_t                 clock_offset_us;
    int64_t                 clock_drift_ppm;
    cw_time_us_t            started_us;
    int64_t                 lease_end_us;
    bool                    cut;      /**< cannot be reached, but runs on */
    int                     group;    /**< nodes of other groups cannot reach it */
    bool                    draining; /**< its own word */
    cw_time_us_t            drain_us; /**< time that a revocation takes */
    cluster_grant_t         grants[CLUSTER_GRANTS];
    size_t                  grant_count;
    size_t                  accepted; /**< grants accepted so far */
} cluster_server_t;

typedef struct cluster_node {
    Cw__NodeInfo  info;
    cw_agent_t   *agent;
    cw_control_t *control; /**< NULL: none */
    bool          running;
    bool          paused; /**< messages pile up */
    bool          cut;    /**< sends and receives nothing */
    int           group;  /**< nodes of different groups cannot reach each other */
    uint64_t      route_version;
    cw_ports_t    ports;
} cluster_node_t;

typedef struct cluster_event cluster_event_t;

typedef struct cluster_object {
    char     name[64];
    uint64_t version;
    uint8_t *value;
    size_t   length;
} cluster_object_t;

typedef struct cluster {
    cw_instant_t         now;
    cluster_node_t       nodes[CLUSTER_NODES];
    cluster_server_t     servers[CLUSTER_SERVERS];
    cluster_event_t     *events; /**< ordered by time */
    cluster_object_t     objects[16];
    size_t               object_count;
    uint64_t             store_revision;
    cluster_store_mode_t store_mode;
    uint64_t             random_state;
    uint32_t             drop_percent;
    bool                 drop_entries;      /**< log entries do not reach other replicas, all else does */
    uint32_t             duplicate_percent; /**< messages that arrive again, up to two seconds later */
    uint32_t             lease_ms;
    uint64_t             next_request;
    uint32_t             answer_status; /**< of the last operator answer; 0: none yet */
    char                *answer;
    cw_incarnation_t     next_incarnation;
} cluster_t;

extern cluster_t cluster;

/** Nodes 1..CLUSTER_NODES in zones a, b, c, a, b, c; the first CLUSTER_CONTROLS have control replicas. */
void cluster_create(uint64_t seed, uint32_t lease_ms);
void cluster_free(void);
void cluster_run(cw_time_us_t duration_us);
/** Runs until a condition holds, at most the given time; returns whether it does. */
bool cluster_run_until(bool (*condition)(void), cw_time_us_t limit_us);

cluster_node_t *cluster_leader(void); /**< the newest leader that is neither paused nor cut; NULL: none */
/** The newest one that a group of nodes can reach, as the relay would tell them. */
cluster_node_t *cluster_leader_of(int group);
/** State of the leader; NULL: none. */
const cw_control_state_t *cluster_state(void);
void                      cluster_stop_node(size_t node); /**< the process ends */
void                      cluster_restart_node(size_t node);
void                      cluster_restart_server(size_t server);

cluster_object_t *cluster_object(const char *name); /**< of the store; NULL: none */

/** Asks the leader as an administrator, or with a tenant's operator token; the answer is in cluster.answer. */
void cluster_ask(const char *operation, const char *argument, const char *token);
bool cluster_answered(void);
/** Text member of the last answer; "" when there is none. The caller frees it. */
char *cluster_answer_text(const char *member);
/** Intent of tenant t with service s on the first server_count servers. */
void cluster_intent(char *text, size_t size, size_t server_count);
/** Plans and confirms that intent, and checks that it was accepted. */
void cluster_accept(size_t server_count);
/** Is every range of the service granted, and held by its owner under the fence in force? */
bool cluster_settled(void);
/** Ranges that the state gives to a server. */
size_t          cluster_ranges_of(size_t server);
cw_service_id_t cluster_service(void);
/** Does the server hold a live grant that covers the key hash? */
bool cluster_holds(const cluster_server_t *server, cw_key_hash_t key_hash);

#endif
