/**
 * @file hollow_group.h
 * @brief A real control group with the real agents of many nodes, on a modelled network, servers and store.
 *
 * The first nodes hold the control replicas. The agents take routes straight from the leader's state: the relay tree
 * is measured apart, and tables of its own for each node would not fit into memory.
 */
#ifndef CEDARWINCH_CAPACITY_HOLLOW_GROUP_H
#define CEDARWINCH_CAPACITY_HOLLOW_GROUP_H

#include "cedarwinch/agent.h"
#include "cedarwinch/control.h"
#include "hollow_servers.h"
#include "meter.h"
#include "population.h"
#include "traffic.h"

enum { CW_GROUP_VOTERS_MAX = 5, CW_GROUP_STEP_US = 10000, CW_GROUP_HEARTBEAT_US = 300000 };

/** What a control replica or an agent was sent, sent, and took in processor time. */
typedef struct cw_group_account {
    cw_capacity_traffic_t sent;
    cw_capacity_traffic_t received;
    cw_capacity_cost_t    by_kind[CW_CAPACITY_KINDS]; /**< messages received */
    cw_capacity_cost_t    ticks;
} cw_group_account_t;

typedef struct cw_group_node {
    struct cw_hollow_group *group;
    cw_node_id_t            id;
    cw_agent_t             *agent;
    cw_control_t           *control; /**< NULL: no voter */
    cw_group_account_t     *account; /**< of the control replica */
    bool                    lost;
} cw_group_node_t;

typedef struct cw_group_message {
    uint8_t     *data;
    size_t       length;
    size_t       kind;
    cw_node_id_t to;
} cw_group_message_t;

/** Store request that is answered in the next step. */
typedef struct cw_group_store_call {
    cw_node_id_t         node;
    uint64_t             id;
    cw_store_operation_t operation;
    char                 name[96];
} cw_group_store_call_t;

enum { CW_GROUP_STORE_CALLS_MAX = 4096 };

typedef struct cw_hollow_group {
    const cw_capacity_meter_t *meter;
    cw_group_node_t           *nodes; /**< by id, from 1 */
    size_t                     count;
    size_t                     voters;
    cw_instant_t               now;
    cw_group_account_t         accounts[CW_GROUP_VOTERS_MAX + 1]; /**< by node id */
    cw_capacity_traffic_t      agents_sent;
    cw_capacity_traffic_t      agents_received;
    cw_capacity_cost_t         agents_cost;
    cw_hollow_servers_t        servers;
    cw_group_message_t        *queue; /**< ring */
    size_t                     capacity;
    size_t                     head;
    size_t                     tail;
    cw_group_store_call_t      store_calls[CW_GROUP_STORE_CALLS_MAX];
    size_t                     store_call_count;
    uint64_t                   store_reads;
    uint64_t                   store_writes;
    uint64_t                   store_bytes_written;
    uint64_t                   store_version;
    uint64_t                   routes_version; /**< that the agents were told */
    cw_time_us_t               routes_us;
} cw_hollow_group_t;

cw_hollow_group_t *cw_group_create(const cw_capacity_population_t *population, size_t voters,
                                   const cw_capacity_meter_t *meter);
void               cw_group_free(cw_hollow_group_t *group);
void               cw_group_step(cw_hollow_group_t *group);
void               cw_group_run(cw_hollow_group_t *group, cw_time_us_t time_us);
/** Runs until there is a leader that decides and its servers hold what they own. Exits the program when that fails. */
void                      cw_group_settle(cw_hollow_group_t *group);
cw_node_id_t              cw_group_leader(const cw_hollow_group_t *group); /**< 0: none now */
const cw_control_state_t *cw_group_state(const cw_hollow_group_t *group);
void                      cw_group_reset_counts(cw_hollow_group_t *group);
/** The node's agent and control replica end without a word. */
void cw_group_lose_node(cw_hollow_group_t *group, cw_node_id_t node);
/** The store's watch reports a new version of a tenant's configuration. */
void cw_group_change_tenant(cw_hollow_group_t *group, size_t tenant);
/** Processor time of a replica since the counts were reset, µs. */
double cw_group_account_us(const cw_group_account_t *account);
double cw_group_account_instructions(const cw_group_account_t *account);

#endif
