/**
 * @file fleet_size.h
 * @brief The number of nodes that the leader announces, and whether a new process reaches nearly all of them.
 *
 * A process that has just started knows no other node, so it cannot distinguish a small fleet from a large one of which
 * it has not received anything yet. Tenants' limits are divided among all nodes, and such a process must not give them
 * out as if it were the only node. Waiting for a fixed time would be safe, but after a power loss of all nodes callers
 * would be refused for all of that time.
 *
 * Rules:
 *  - The leader writes the number of nodes into its lock, and its heartbeat carries the number. Until a new leader has
 *    run long enough to have its own count, it announces at least the number in its predecessor's lock. So the number
 *    survives the loss of all processes.
 *  - The number that a leader announces falls slowly. A leader that is cut off from all other nodes but reaches the
 *    store soon counts only itself, and a process that starts then must not take that count for the size of the fleet.
 *  - A new process has reached the fleet as soon as it reaches nearly all of the announced nodes. If no leader
 *    announces a number, or fewer nodes come back, the process counts as having reached the fleet after a bounded time.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_FLEET_SIZE_H
#define CEDARWINCH_ROUTER_FLEET_SIZE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    /** Largest supported fleet: a limit divided by this number is never exceeded. */
    CW_FLEET_NODES_MAX = 10000,
    /** From this number of nodes on, they learn of one another's requests too late, and together ask too much of a
     * single one of them. */
    CW_FLEET_MANY_NODES = 16,
    /** Within this time after its start a process has received from all other nodes, even at their slowest reports. */
    CW_FLEET_DISCOVERY_MS = 3000,
    /** The equal shares of the missing nodes are within the usual overshoot of a limit, which is a tenth. */
    CW_FLEET_REACHED_PERCENT = 90,
    /** Shortest time in which an announced number halves. A leader that is cut off has been replaced within this time.
     * After a fleet was made smaller, new processes meanwhile wait as if no number were announced. */
    CW_FLEET_HALVING_MS = 60000
};

/** The number of nodes: as leaders announce it, and as this node announces it when it leads. */
typedef struct cw_fleet_size {
    cw_time_us_t started_at;
    cw_time_us_t count_reliable_at; /**< from this time on the process's own count is reliable */
    cw_time_us_t may_fall_at;       /**< earliest time at which the number that this node announces may fall */
    uint32_t     own_announced;     /**< number that this node announced last, as the leader */
    uint32_t     announced;         /**< number announced last by any leader, this node included; 0: none */
} cw_fleet_size_t;

/** Initializes the state at the start of a process. counting: time until its own count is as good as an announced
 * number. */
void cw_fleet_size_init(cw_fleet_size_t *fleet, cw_time_us_t counting, cw_time_us_t now);
/** Records the number of nodes that a lock or a heartbeat announces. 0, from a leader that does not know it, changes
 * nothing. */
void cw_fleet_size_record(cw_fleet_size_t *fleet, uint32_t nodes);
/** Returns the number of nodes to use. counted: largest number of nodes, itself included, that this process has
 * recently seen at once. */
uint32_t cw_fleet_size_nodes(const cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now);
/** Returns the number that this node announces as the leader. 0 while the process is new and no earlier leader has
 * announced a number, since its own count is far too low then. */
uint32_t cw_fleet_size_to_announce(cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now);
/** Whether this process reaches nearly all nodes. reachable: number of reachable nodes, this one included. */
bool cw_fleet_size_is_reached(const cw_fleet_size_t *fleet, uint32_t reachable, cw_time_us_t now);

#endif
