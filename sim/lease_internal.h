/**
 * @file lease_internal.h
 * @brief State of the simulated world.
 */
#ifndef CEDARWINCH_SIM_LEASE_INTERNAL_H
#define CEDARWINCH_SIM_LEASE_INTERNAL_H

#include "lease_sim.h"

typedef struct sim_world sim_world_t;

/** Something that happens at a time. */
typedef struct sim_event {
    cw_time_us_t at;
    uint64_t     order; /**< of two at the same time, the one made first */
    void (*happen)(sim_world_t *world, void *data);
    void *data;
} sim_event_t;

/** What one life of a server knows of one cell. */
typedef struct sim_cell {
    uint64_t     seen;  /**< highest fence */
    uint64_t     held;  /**< fence it was granted with; 0: never */
    cw_time_us_t since; /**< holds without a pause since */
    cw_time_us_t until;
    cw_time_us_t begun; /**< last request begun */
} sim_cell_t;

/** A server's present life at an address. */
typedef struct sim_server {
    char         id[CW_SERVER_ID_MAX];
    char         address[CW_SERVER_ADDRESS_MAX];
    bool         up;
    bool         listed;
    cw_time_us_t listed_until; /**< its entry goes, when it is down */
    sim_cell_t   cells[CW_CELLS];
} sim_server_t;

typedef struct sim_object {
    json_t  *value;
    uint64_t revision;
} sim_object_t;

/** Table a node routes by. */
typedef struct sim_table {
    uint64_t     term;
    uint64_t     number;
    char         owner[CW_CELLS][CW_SERVER_ID_MAX];
    bool         routable[CW_CELLS];
    cw_time_us_t valid_until;
} sim_table_t;

typedef struct sim_node {
    sim_world_t    *world;
    uint32_t        index;
    uint64_t        life; /**< calls of an earlier life bring nothing */
    bool            up;
    cw_time_us_t    frozen_until;
    bool            cut_store;
    bool            cut_nodes;
    uint32_t        cut_servers; /**< one bit an address */
    cw_leadership_t leadership;
    cw_assigner_t  *assigner;
    cw_store_port_t port;
    uint64_t        assigner_term;
    uint64_t        number; /**< of the tables it told as a leader */
    bool            tables_due;
    cw_time_us_t    told_at;
    cw_time_us_t    word_at; /**< last word of a leader with authority */
    cw_time_us_t    read_at;
    cw_time_us_t    next_plan;
    sim_table_t     table;
} sim_node_t;

struct sim_world {
    cw_sim_settings_t settings;
    cw_sim_result_t  *result;
    cw_time_us_t      now;
    uint64_t          random;
    sim_event_t      *events; /**< a heap */
    size_t            event_count;
    size_t            event_capacity;
    uint64_t          event_order;
    sim_object_t      lock;
    sim_object_t      record;
    uint64_t          revision;
    cw_time_us_t      store_down_until;
    sim_node_t        nodes[CW_SIM_NODES];
    sim_server_t      servers[CW_SIM_ADDRESSES];
    uint64_t          lives;
    uint64_t          fences[CW_CELLS]; /**< highest taken */
    char              fence_of[CW_CELLS][CW_SERVER_ID_MAX];
    cw_time_us_t      served_at[CW_CELLS];
    cw_server_list_t *list;
};

/* ---- lease_events.c ---- */
void     sim_at(sim_world_t *world, cw_time_us_t at, void (*happen)(sim_world_t *world, void *data), void *data);
bool     sim_step(sim_world_t *world);
double   sim_chance(sim_world_t *world);
uint64_t sim_below(sim_world_t *world, uint64_t bound);
bool     sim_is(sim_world_t *world, double chance);
bool     sim_is_rough(const sim_world_t *world);
void     sim_violation(sim_world_t *world, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* ---- lease_store.c ---- */
void sim_store_port(sim_node_t *node);

/* ---- lease_servers.c ---- */
void sim_servers_start(sim_world_t *world);
void sim_server_crash(sim_world_t *world, uint32_t address);
void sim_list_servers(sim_world_t *world);
void sim_order(sim_node_t *node, const cw_order_t *order);
/** A request for a cell comes from a node. */
void sim_request(sim_world_t *world, sim_node_t *node, uint32_t cell);

/* ---- lease_nodes.c ---- */
void sim_node_start(sim_world_t *world, uint32_t index);
void sim_node_kill(sim_world_t *world, uint32_t index, cw_time_us_t down);
void sim_node_tick(sim_node_t *node);
bool sim_node_runs(const sim_node_t *node);

/* ---- lease_faults.c ---- */
void sim_faults(sim_world_t *world);

#endif
