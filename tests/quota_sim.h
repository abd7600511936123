/**
 * @file quota_sim.h
 * @brief Many nodes' shares and counters in logical time, with messages that are late and lost, links that are cut in
 * one direction or both, and detours round them, for tests.
 */
#ifndef CEDARWINCH_TESTS_QUOTA_SIM_H
#define CEDARWINCH_TESTS_QUOTA_SIM_H

#include "peer/detours.h"
#include "router/fleet_size.h"
#include "tenancy/quota_counter.h"
#include "tenancy/quota_share.h"

enum {
    QUOTA_WORLD_NODES = 96,
    QUOTA_WORLD_TENANTS = 8,
    QUOTA_WORLD_SECONDS = 60,
    QUOTA_WORLD_STEP_MS = 5,
    QUOTA_WORLD_STEPS = QUOTA_WORLD_SECONDS * 1000 / QUOTA_WORLD_STEP_MS,
    QUOTA_WORLD_PEER_LAG_MS = 1000, /* a node that is gone is missed by then */
    QUOTA_WORLD_BACK_LAG_MS = 150,  /* one that is back is known by then */
    QUOTA_WORLD_SUSPECT_MS = 500    /* one that is silent is looked for by way of others from then on */
};

typedef struct world_tenant {
    uint32_t         hash;
    cw_quota_limit_t limit;      /* as configured */
    double           load_per_s; /* over all nodes */
    uint32_t         first_node; /* its requests come to these nodes */
    uint32_t         nodes;      /* 0: to all */
    double           not_run;    /* share of what is let through that does not run */
    uint64_t         came;
    uint64_t         ran;
    uint64_t         refused;
    uint64_t         refused_alone; /* of them, at nodes that serve their own part */
    uint32_t         runs[QUOTA_WORLD_STEPS];
    cw_time_us_t     waited_most;
} world_tenant_t;

typedef struct world_node {
    uint32_t            address;
    bool                is_up;
    bool                is_frozen;
    uint32_t            group;                      /* only nodes of the same one reach each other */
    double              loss_to[QUOTA_WORLD_NODES]; /* part of its datagrams that do not arrive there; 1: it is cut */
    uint64_t            incarnation;
    bool                is_late; /* goes by the limits that were configured before */
    cw_quota_share_t   *share;
    cw_quota_counter_t *counter;
    cw_detours_t       *detours;
    cw_fleet_size_t     fleet_size;
    uint32_t            in_touch;
    uint32_t            in_touch_most;
    cw_time_us_t        reach_changed[QUOTA_WORLD_NODES];
    bool                reaches[QUOTA_WORLD_NODES];
    uint32_t            waiting[QUOTA_WORLD_TENANTS];
    cw_time_us_t        waiting_since[QUOTA_WORLD_TENANTS];
    struct quota_world *world;
} world_node_t;

typedef struct world_message world_message_t;

typedef struct quota_world {
    cw_time_us_t        now;
    size_t              step;
    uint64_t            random;
    cw_quota_settings_t settings;
    size_t              node_count;
    size_t              capable; /* the first ones count */
    world_node_t        nodes[QUOTA_WORLD_NODES];
    size_t              tenant_count;
    world_tenant_t      tenants[QUOTA_WORLD_TENANTS];
    cw_quota_limit_t    before[QUOTA_WORLD_TENANTS]; /* for nodes that are late */
    double              loss;
    cw_time_us_t        back_spread;      /* nodes know of one that is back later by up to this */
    bool                new_ones_decline; /* one that has started counts as soon as it is in touch with nearly all */
    cw_time_us_t        stated_after;     /* a node learns after its start how many there are; below 0: never */
    world_message_t    *messages;
    size_t              sent; /* datagrams between nodes */
    size_t              asks;
    size_t              reports;
} quota_world_t;

quota_world_t *quota_world_create(size_t nodes, size_t capable, uint64_t seed);
void           quota_world_free(quota_world_t *world);
/** Returns the tenant's index. */
size_t quota_world_add_tenant(quota_world_t *world, double rate_per_s, double burst, double load_per_s);
void   quota_world_run(quota_world_t *world, double seconds);
void   quota_world_kill(quota_world_t *world, size_t node);
/** This part of one node's datagrams does not arrive at the other from now on; 1: the link is cut in that direction. */
void quota_world_lose(quota_world_t *world, size_t from, size_t to, double part);
/** Starts with empty memory. */
void quota_world_start(quota_world_t *world, size_t node);
/** Nodes that are late keep the limit that was. */
void quota_world_set_limit(quota_world_t *world, size_t tenant, double rate_per_s, double burst);
/** Index of the node that counts for a tenant, as a node sees it. */
size_t quota_world_counter_of(const quota_world_t *world, size_t node, size_t tenant);
/** Most that ran in a window, less what is allowed: above zero the limit is broken. from_s: windows that begin later.
 */
double quota_world_excess(const quota_world_t *world, size_t tenant, double from_s);
/** What ran between two moments. */
uint64_t quota_world_ran(const quota_world_t *world, size_t tenant, double from_s, double to_s);

#endif
