/**
 * @file lease_sim.h
 * @brief Deterministic simulation of leadership, assignments and grants: the router's own state machines over a model
 *        of the store, the servers and the links between them, in logical time.
 *
 * Keys are taken in cells: CW_CELLS equal parts of the key space; moves begin and end at cells. Checked at each request
 * that a server begins: no other server that holds the cell at the same time has begun one during that time. Checked at
 * each grant taken: its fence is above all fences with which other servers had the cell. Checked at the end: the record
 * in the store is whole, and all cells are served again.
 */
#ifndef CEDARWINCH_SIM_LEASE_SIM_H
#define CEDARWINCH_SIM_LEASE_SIM_H

#include "assignment/assigner.h"
#include "lease/leadership.h"

enum {
    CW_CELLS = 32,
    CW_CELL_KEYS = (CW_KEY_LAST + 1) / CW_CELLS,
    CW_SIM_NODES = 5,
    CW_SIM_ADDRESSES = 6,
    CW_SIM_VIOLATIONS_MAX = 8
};

/** How often faults come; chances are for one call or one second, as named. */
typedef struct cw_sim_settings {
    uint64_t     seed;
    cw_time_us_t length;
    cw_time_us_t faults_end_at; /**< no faults from here on */
    double       store_lost;    /**< of writes: done, not answered */
    double       store_late;    /**< of writes: done 1 to 6 s later, not answered */
    double       order_lost;    /**< of orders: carried out, not answered */
    double       order_late;    /**< of orders: carried out 2 to 12 s later, not answered */
    double       outages;       /**< of the store, a second */
    double       kills;         /**< of a node, a second */
    double       freezes;       /**< of a node, a second */
    double       cuts;          /**< of a node from the store, from servers or from nodes, a second */
    double       crashes;       /**< of a server, a second */
    double       herd_kills;    /**< of all nodes at once, a second */
    double       moves;         /**< of cells at random, a second */
    bool         trace;
} cw_sim_settings_t;

typedef struct cw_sim_result {
    uint64_t requests;    /**< begun by servers */
    uint64_t turned_away; /**< by servers that did not hold the key */
    uint64_t unrouted;    /**< no table, or the owner is moving */
    uint64_t grants;
    uint64_t moves;
    uint64_t leaders; /**< changes of leadership */
    uint32_t violations;
    char     violation[CW_SIM_VIOLATIONS_MAX][160];
    bool     served_at_end; /**< every cell, in the last seconds */
} cw_sim_result_t;

void cw_sim_settings_with_faults(cw_sim_settings_t *settings, uint64_t seed);
void cw_sim_run(const cw_sim_settings_t *settings, cw_sim_result_t *result);

#endif
