/**
 * @file simulation.h
 * @brief Deterministic simulation: many nodes, modelled back-end servers, store, callers and operators in one process
 *        with logical time. A seed replays exactly.
 *
 * Nothing here reads a clock or depends on addresses of objects: events are ordered by due time, then by the order in
 * which they were scheduled, and every random number comes from the seed.
 */
#ifndef CEDARWINCH_SIMULATION_H
#define CEDARWINCH_SIMULATION_H

#include <stdio.h>

#include "cedarwinch/types.h"

typedef enum cw_fault_kind {
    CW_FAULT_NODE_KILL,         /**< target: node; restarted after duration with a new incarnation */
    CW_FAULT_NODE_PAUSE,        /**< target: node */
    CW_FAULT_NODE_STOP,         /**< target: node; planned stop, restarted after duration */
    CW_FAULT_LEADER_KILL,       /**< whichever node leads the control group then */
    CW_FAULT_LEADER_PAUSE,      /**< whichever node leads the control group then */
    CW_FAULT_FORWARDER_KILL,    /**< the node that forwards to the target server then */
    CW_FAULT_FORWARDER_PAUSE,   /**< the node that forwards to the target server then */
    CW_FAULT_SERVER_KILL,       /**< target: server */
    CW_FAULT_SERVER_PAUSE,      /**< target: server */
    CW_FAULT_SERVER_LEAVE,      /**< target: server; it drains, ends, and is restarted after duration */
    CW_FAULT_SERVER_SHED,       /**< target: server; refuses half of its requests */
    CW_FAULT_LINK_CUT,          /**< one way, from target endpoint to other endpoint */
    CW_FAULT_LEADER_CUT,        /**< leader, target server and its forwarder are cut off from all others */
    CW_FAULT_PARTITION,         /**< target: bit set of endpoints on one side */
    CW_FAULT_LOSS,              /**< amount: percent of messages lost; also long delays and duplicates */
    CW_FAULT_CONNECTION_RESET,  /**< target tells other that its connection broke, though it is alive */
    CW_FAULT_STORE_HANG,        /**< requests take effect or not and are never answered */
    CW_FAULT_STORE_SLOW,        /**< answers take up to seconds */
    CW_FAULT_STORE_LOSE_ANSWER, /**< writes take effect, the answer is lost */
    CW_FAULT_STORE_REFUSE,      /**< nothing happens, said at once */
    CW_FAULT_KIND_COUNT
} cw_fault_kind_t;

typedef struct cw_fault {
    cw_time_us_t    at_us;
    cw_fault_kind_t kind;
    uint32_t        target;
    uint32_t        other;
    cw_time_us_t    duration_us;
    uint32_t        amount;
} cw_fault_t;

enum { CW_FAULTS_MAX = 128 };

typedef struct cw_simulation_options {
    uint64_t          seed;
    size_t            nodes;
    uint32_t          lease_ms;    /**< of every service */
    cw_time_us_t      duration_us; /**< of callers, operators and faults; healing time is added */
    const cw_fault_t *faults;
    size_t            fault_count;
    FILE             *trace; /**< NULL: none; else one line for each event */
} cw_simulation_options_t;

typedef struct cw_simulation_result {
    char         violation[256]; /**< "": every invariant held */
    uint64_t     digest;         /**< of all events in order */
    uint64_t     events;
    uint64_t     requests;
    uint64_t     answered;
    uint64_t     not_run;
    uint64_t     unknown;
    uint64_t     in_progress;
    uint64_t     lost_with_gateway;  /**< their gateway process ended first */
    uint64_t     stops_cut;          /**< planned stops that were not done in time */
    uint64_t     work_while_leaving; /**< requests that a server began over 4 s after it said that it leaves */
    uint64_t     effects;
    uint64_t     non_repeatable_effects;
    uint64_t     grants;
    uint64_t     lapses; /**< leases that ran out with grants held */
    uint64_t     fence_refusals;
    uint64_t     plans;
    uint64_t     confirmed;
    uint64_t     stale_plans;
    uint64_t     recoveries;     /**< of the control group, by the administrator */
    uint64_t     leaders;        /**< times a node became ready to lead */
    cw_time_us_t longest_gap_us; /**< longest time in which a key was asked for and not served */
    cw_time_us_t longest_gap_end_us;
    bool         served_at_end; /**< every key was served after the faults were healed */
} cw_simulation_result_t;

void cw_simulation_options_default(cw_simulation_options_t *options);
/** Defaults for a seed's run under random faults: every third has long leases, which old leaders can misuse longer. */
void cw_simulation_options_for_seed(cw_simulation_options_t *options, uint64_t seed);
int  cw_simulation_run(const cw_simulation_options_t *options, cw_simulation_result_t *result);

/** Fills a fault list from a seed. rough: no regard for how much of the control group survives. */
size_t cw_faults_generate(uint64_t seed, cw_time_us_t duration_us, size_t nodes, bool rough,
                          cw_fault_t faults[CW_FAULTS_MAX]);
/** A leader that is paused while it and one server with its forwarder are cut off from all others. */
size_t cw_faults_deposed_leader(uint64_t seed, cw_time_us_t at_us, cw_fault_t faults[CW_FAULTS_MAX]);
void   cw_fault_print(FILE *file, const cw_fault_t *fault);
/** Drops faults one by one while the run still breaks an invariant. Returns how many are left. */
size_t cw_faults_minimise(const cw_simulation_options_t *options, cw_fault_t *faults, size_t count);

#endif
