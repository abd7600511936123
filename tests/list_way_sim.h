/**
 * @file list_way_sim.h
 * @brief Simulates, in logical time, how a fleet's nodes come to know their list of servers: the leader's readings, its
 * heartbeats by way of relays, the notices of readers and the nodes' own readings. Messages are held up and lost, and
 * leader, readers and store fail.
 *
 * The decisions are those of the product (list_renewal.h, clock_offset.h, store_availability.h). Each node knows when
 * its list was valid by its own account; the simulation knows what the list really holds.
 */
#ifndef CEDARWINCH_TESTS_LIST_WAY_SIM_H
#define CEDARWINCH_TESTS_LIST_WAY_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

/** A fleet and its troubles. Times in ms; 0: never. */
typedef struct list_way_setup {
    uint32_t seed;
    size_t   nodes;
    size_t   servers;
    int64_t  drain_ms;
    int64_t  settle_ms;
    bool     is_paged; /**< the list has several pages, and an unchanged answer may lack the last second */
    int64_t  duration_ms;
    int64_t  leader_fails_at_ms; /**< no heartbeat from then on, for leader_fails_for_ms */
    int64_t  leader_fails_for_ms;
    int64_t  leader_cut_at_ms; /**< the leader alone does not reach the store from then on, for leader_cut_for_ms */
    int64_t  leader_cut_for_ms;
    bool     readers_fail;      /**< no node gets notices of readers while the leader fails or is cut off */
    int64_t  store_fails_at_ms; /**< no node reaches the store from then on, for store_fails_for_ms */
    int64_t  store_fails_for_ms;
    double   loss;               /**< part of the messages that are lost */
    int64_t  queue_ms;           /**< longest time for which a message is held up */
    bool     has_no_history;     /**< the changes of the list cannot be read; its whole reading takes seconds */
    bool     starts_from_copies; /**< all nodes start with lists of copies of the store */
} list_way_setup_t;

/** What was seen. */
typedef struct list_way_result {
    cw_time_us_t oldest_ms;  /**< greatest true age, in ms, of a list by which a node in touch would have sent */
    uint64_t     allowed;    /**< node ticks in which a node in touch might send */
    uint64_t     held;       /**< node ticks in which a node in touch held its requests back */
    uint64_t     reads;      /**< own readings of the nodes */
    uint64_t     most_reads; /**< the most of them in one second */
} list_way_result_t;

/** Runs a simulation. */
list_way_result_t list_way_sim_run(const list_way_setup_t *setup);

#endif
