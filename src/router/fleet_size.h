/**
 * @file fleet_size.h
 * @brief How many nodes there are, as the leader states it, and whether a new process reaches nearly all of them.
 *
 * A process that has just started knows no other node, so it cannot tell a small fleet from a large one of which it has
 * not received anything yet. What is divided among all nodes (tenants' limits) must not be given out by such a process
 * as if it were alone. Waiting for a fixed time is safe, but refuses callers for that long after all nodes lost power.
 *
 * Rules:
 *  - The leader writes the number of nodes into its lock, and its heartbeat carries it. A new leader states at least
 *    what its predecessor's lock says until it has run long enough to have counted by itself. So the number outlives
 *    the loss of all processes.
 *  - What a leader states falls slowly: one that is cut off from all others, but reaches the store, soon counts itself
 *    alone, and a process that starts then must not take that for the size of the fleet.
 *  - A new process has reached the fleet as soon as nearly all of the nodes stated are in reach; where nobody states a
 *    number, or fewer come back, after a bounded time.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_FLEET_SIZE_H
#define CEDARWINCH_ROUTER_FLEET_SIZE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_FLEET_NODES_MAX = 10000, /**< so many are designed for: what is divided among all is safe by this number */
    CW_FLEET_MANY_NODES = 16, /**< so many learn of one another's requests too late, and ask too much of one of them */
    CW_FLEET_DISCOVERY_MS = 3000,  /**< by then a process has received from all others, at their slowest reports */
    CW_FLEET_REACHED_PERCENT = 90, /**< the rest's equal parts are within the usual overshoot of a limit, a tenth */
    /** A number stated halves in no less: a leader that is cut off has been replaced by then, and after a fleet was
     * made smaller new processes wait as if none were stated. */
    CW_FLEET_FALL_MS = 60000
};

typedef struct cw_fleet_size {
    cw_time_us_t started_at;
    cw_time_us_t counted_at; /**< from then on this process has counted by itself for long enough */
    cw_time_us_t falls_at;   /**< what this node states may fall then */
    uint32_t     states;     /**< what this node stated last, as a leader */
    uint32_t     stated;     /**< by a leader, this node among them; 0: by none */
} cw_fleet_size_t;

/** counting: how long it takes until a process's own count is as good as what was stated. */
void cw_fleet_size_init(cw_fleet_size_t *fleet, cw_time_us_t counting, cw_time_us_t now);
/** A lock or a heartbeat states so many nodes; 0, from one that does not know, changes nothing. */
void cw_fleet_size_note(cw_fleet_size_t *fleet, uint32_t nodes);
/** Nodes to go by. counted: the most that this process has seen at once lately, itself among them. */
uint32_t cw_fleet_size_nodes(const cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now);
/** What a leader states: 0 while it is new itself and no leader before it has stated any, since its own count is far
 * too low then.
 */
uint32_t cw_fleet_size_to_state(cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now);
/** Does this process know the others? in_reach: nodes received from lately, this one among them. */
bool cw_fleet_size_is_reached(const cw_fleet_size_t *fleet, uint32_t in_reach, cw_time_us_t now);

#endif
