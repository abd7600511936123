/**
 * @file view_sim.h
 * @brief Simulates, in logical time, which servers each node of a fleet uses while servers leave and come back: own
 * readings, the leader's lists and heartbeats, and readers' notices. Nodes are cut off from the store or from one
 * another, one way too, again and again, and the leader changes.
 *
 * Lists and what is known of servers that left are the product's (server_view.h), as are the decisions when to read and
 * whether a list may be used (list_renewal.h, store_availability.h). The simulation knows what the store holds.
 */
#ifndef CEDARWINCH_TESTS_VIEW_SIM_H
#define CEDARWINCH_TESTS_VIEW_SIM_H

#include <stddef.h>
#include <stdint.h>

/** A fleet. Times in ms. */
typedef struct view_sim_setup {
    uint64_t seed;
    size_t   nodes;
    size_t   servers_of_fleet; /**< decides over which time whole readings are spread; lists here are short */
    int64_t  drain_ms;
    int64_t  duration_ms;
    int64_t  leader_cut_ms; /**< the first leader is cut off from the store for so long, 2 s after the start; 0: not */
    int64_t  other_faults;  /**< further faults, drawn */
} view_sim_setup_t;

/** What was seen. */
typedef struct view_sim_result {
    uint64_t judged;    /**< node ticks of nodes in touch that might send */
    uint64_t late;      /**< of them, those in which a server that had left for longer than drain might be used */
    uint64_t held;      /**< node ticks of nodes in touch that held back */
    int64_t  latest_ms; /**< longest time after a leave at which the server might still be used, by a node in touch */
    uint64_t left;      /**< leaves of servers */
    uint64_t leaders;   /**< changes of the leader */
} view_sim_result_t;

/** Runs a simulation. */
view_sim_result_t view_sim_run(const view_sim_setup_t *setup);

#endif
