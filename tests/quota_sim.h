/**
 * @file quota_sim.h
 * @brief Simulates the shares and counters of many nodes in logical time, with messages that are delayed and lost,
 * links that are cut in one or both directions, and detours around them.
 */
#ifndef CEDARWINCH_TESTS_QUOTA_SIM_H
#define CEDARWINCH_TESTS_QUOTA_SIM_H

#include "peer/detours.h"
#include "router/fleet_size.h"
#include "router/interim_counter.h"
#include "tenancy/quota_counter.h"
#include "tenancy/quota_share.h"

/** Bounds and times of a simulation. */
enum {
    QUOTA_SIM_MAX_NODES = 96,
    QUOTA_SIM_MAX_TENANTS = 8,
    QUOTA_SIM_MAX_SECONDS = 60,
    QUOTA_SIM_STEP_MS = 5,
    QUOTA_SIM_MAX_STEPS = QUOTA_SIM_MAX_SECONDS * 1000 / QUOTA_SIM_STEP_MS,
    QUOTA_SIM_PEER_LOSS_MS = 1000,  /* after this time a node that has ended is lost as a peer */
    QUOTA_SIM_PEER_RETURN_MS = 150, /* after this time a node that is back is known as a peer */
    QUOTA_SIM_SUSPECT_MS = 500      /* a node that was not received from for this time is probed through others */
};

/** A simulated tenant: its limit, its load and what became of its requests. */
typedef struct quota_sim_tenant {
    uint32_t         hash;
    cw_quota_limit_t limit;        /* as configured */
    double           load_per_s;   /* requests per second over all nodes */
    uint32_t         first_node;   /* its requests arrive at `nodes` nodes from this one on */
    uint32_t         nodes;        /* 0: at all nodes */
    double           not_run_part; /* fraction of the admitted requests that do not run */
    uint64_t         arrived;
    uint64_t         ran;
    uint64_t         refused;
    uint64_t         refused_alone; /* of refused, at nodes in CW_QUOTA_ALONE */
    uint32_t         runs[QUOTA_SIM_MAX_STEPS];
    cw_time_us_t     longest_wait;
} quota_sim_tenant_t;

/** A simulated node. */
typedef struct quota_sim_node {
    uint32_t address;
    bool     is_up;
    bool     is_frozen;
    uint32_t group;                        /* only nodes of the same group reach each other */
    double   loss_to[QUOTA_SIM_MAX_NODES]; /* fraction of its datagrams that are lost on the way to each other node; 1:
                                              the link is cut */
    uint64_t             incarnation;
    bool                 has_old_limits; /* the node still has the limits that were configured before */
    cw_quota_share_t    *share;
    cw_quota_counter_t  *counter;
    cw_detours_t        *detours;
    cw_fleet_size_t      fleet_size;
    cw_interim_counter_t interim;
    uint32_t             reachable_nodes;
    uint32_t             max_reachable_nodes;
    cw_time_us_t         reach_changed[QUOTA_SIM_MAX_NODES];
    bool                 reaches[QUOTA_SIM_MAX_NODES];
    uint32_t             waiting[QUOTA_SIM_MAX_TENANTS];
    cw_time_us_t         waiting_since[QUOTA_SIM_MAX_TENANTS];
    struct quota_sim    *sim;
} quota_sim_node_t;

/** A message on its way between two nodes. */
typedef struct quota_sim_message quota_sim_message_t;

/** A simulated cluster. */
typedef struct quota_sim {
    cw_time_us_t         now;
    size_t               step;
    uint64_t             random;
    cw_quota_settings_t  settings;
    size_t               node_count;
    size_t               capable; /* number of nodes, the first ones, that are preferred as counting nodes */
    quota_sim_node_t     nodes[QUOTA_SIM_MAX_NODES];
    size_t               tenant_count;
    quota_sim_tenant_t   tenants[QUOTA_SIM_MAX_TENANTS];
    cw_quota_limit_t     old_limits[QUOTA_SIM_MAX_TENANTS]; /* for nodes with has_old_limits */
    double               loss;
    cw_time_us_t         reconnect_range;   /* a node that is back is known to others after up to this time more */
    bool                 new_nodes_decline; /* a started node counts only when it reaches nearly all others */
    cw_time_us_t         size_known_after;  /* from its start until a node learns the number of nodes; below 0: never */
    cw_time_us_t         first_led_at;      /* when node 0 becomes the first leader that there ever is; 0: never */
    quota_sim_message_t *messages;
    size_t               sent; /* datagrams between nodes */
    size_t               asks;
    size_t               reports;
} quota_sim_t;

/** Creates a cluster whose nodes are up and know each other. */
quota_sim_t *quota_sim_create(size_t nodes, size_t capable, uint64_t seed);
/** Frees the cluster. */
void quota_sim_free(quota_sim_t *sim);
/** Adds a tenant and returns its index. */
size_t quota_sim_add_tenant(quota_sim_t *sim, double rate_per_s, double burst, double load_per_s);
/** Advances the simulation. */
void quota_sim_run(quota_sim_t *sim, double seconds);
/** Ends the process of a node. */
void quota_sim_kill(quota_sim_t *sim, size_t node);
/** From now on this fraction of one node's datagrams to the other is lost; 1: the link is cut in that direction. */
void quota_sim_lose(quota_sim_t *sim, size_t from, size_t to, double part);
/** Starts the process of a node with empty memory. */
void quota_sim_start(quota_sim_t *sim, size_t node);
/** Changes a limit; nodes with has_old_limits keep the limit before it. */
void quota_sim_set_limit(quota_sim_t *sim, size_t tenant, double rate_per_s, double burst);
/** Index of the counting node of a tenant in the view of a node. */
size_t quota_sim_counter_of(const quota_sim_t *sim, size_t node, size_t tenant);
/** Maximum number of requests that ran in any window beginning at from_s or later, less the number allowed. A value
 * above zero means that the limit was exceeded. */
double quota_sim_excess(const quota_sim_t *sim, size_t tenant, double from_s);
/** Number of requests that ran between two times. */
uint64_t quota_sim_ran(const quota_sim_t *sim, size_t tenant, double from_s, double to_s);

#endif
