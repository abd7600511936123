/**
 * @file lease_sim.h
 * @brief Deterministic simulation of leadership, assignments and grants: runs the router's own state machines with a
 *        model of the store, the servers and the links between them, in logical time.
 *
 * The key space is divided into CW_CELLS equal cells; moves begin and end at bounds of cells. The simulation checks
 *
 *  - at each request that a server begins: no other server that holds the cell at the same time has begun a request on
 *    it since both hold it,
 *  - at each grant that a server accepts: its fence is above all fences with which other servers held the cell. Grants
 *    are not checked that are taken late and are the same as one that this incarnation has taken before. Late grants
 * that no sender can prevent are counted instead (cw_sim_late_grants_t),
 *  - at any time: no two servers that are up hold the same cell for more than half a second, by grants that count.
 * Those that are carried out late, or are sent by a node that has just stood still, do not (lease_holds.c),
 *  - at the end: the assignment record in the store covers all keys, and all cells are served again.
 */
#ifndef CEDARWINCH_SIM_LEASE_SIM_H
#define CEDARWINCH_SIM_LEASE_SIM_H

#include "assignment/assigner.h"
#include "lease/leadership.h"

enum {
    CW_CELLS = 32, /**< parts of the key space */
    CW_CELL_KEYS = (CW_KEY_LAST + 1) / CW_CELLS,
    CW_SIM_NODES = 5,
    CW_SIM_ADDRESSES = 6,
    CW_SIM_VIOLATIONS_MAX = 8,
    CW_SIM_ANSWER_AGE_MS = 10,    /**< see cw_sim_late_grants_t */
    CW_SIM_LATE_WORK_MAX_MS = 50, /**< the release that lies in the same socket is taken by then */
    CW_SIM_ANSWER_AGE_MAX_MS = 52 /**< the same for a grant that waits for its connection */
};

/** Length of a run and frequency of faults: probabilities of a call, or rates per second. */
typedef struct cw_sim_settings {
    uint64_t     seed;
    cw_time_us_t length;         /**< duration of the run */
    cw_time_us_t faults_end_at;  /**< no faults from this time on */
    double       store_lost;     /**< probability that a write is done and not answered */
    double       store_late;     /**< probability that a write is done 1 to 6 s later and not answered */
    double       order_lost;     /**< probability that an order is carried out and not answered */
    double       order_late;     /**< probability that an order is carried out 2 to 12 s later and not answered */
    double       outages;        /**< outages of the store per second */
    double       restores;       /**< outages per second after which the store comes back from a copy */
    double       kills;          /**< kills of a node per second */
    double       freezes;        /**< freezes of a node per second */
    double       cuts;           /**< cuts of a node from the store, from servers or from nodes, per second */
    double       crashes;        /**< crashes of a server per second */
    double       all_node_kills; /**< kills of all nodes at once per second */
    double       moves;          /**< moves of a random cell per second */
    /** Times per second that one or several servers stand still (lease_stops.c). */
    double stops;
    /** Probability that an order, and what else the node writes in the next milliseconds, leaves the node's kernel
     * seconds later, since the node is killed or stands still, or its link to the server is cut (lease_late_orders.c).
     */
    double late_departures;
    /** An order that is carried out late ends with the server, which kept it; else a later life of its name takes it.
     */
    bool late_orders_end;
    /** Each node goes by a list of servers of its own, which lags the truth (lease_lists.c). */
    bool   lists_lag;
    double list_stalls;  /**< times per second that the copies of the store cease to follow it for seconds */
    double lost_entries; /**< losses of the entry of a server that runs, per second */
    double reuses;       /**< probability that another server starts at the address of a crashed one at once */
    double kept_names;   /**< probability that a server starts under the name of its address, with the start time in its
                            id */
    double connects;     /**< probability that an order has to wait for a connection */
    double connect_failures; /**< probability that the connection fails, so that the order is not sent */
    double forced_moves;     /**< moves of a random cell in any state per second */
    double merges;           /**< merges of a random range with the next one per second */
    bool   leaves_unchecked; /**< orders that waited for a connection leave with or without authority */
    bool   trace;            /**< print each decision of a leader's assigner */
} cw_sim_settings_t;

/** Grants with a fence below one with which another server had the cell, and which the server had not taken before,
 * that no sender can prevent: by grants, counted once for each cell. They were written within CW_SIM_ANSWER_AGE_MAX_MS
 * after the server had answered a probe of the same node, and were taken late nevertheless. All others are violations.
 */
typedef struct cw_sim_late_grants {
    uint64_t drawn;     /**< carried out seconds later at random */
    uint64_t in_socket; /**< the server stood still before the grant arrived */
    uint64_t in_sender; /**< left the sender's kernel late */
    uint64_t waited;    /**< of these three, those that were written over CW_SIM_ANSWER_AGE_MS after the answer */
    /** Requests that began beside another owner's, within CW_SIM_LATE_WORK_MAX_MS after one of them took a late grant.
     */
    uint64_t at_work;
    /** Repeats, at random seconds later, to a server that had restarted under its name meanwhile. */
    uint64_t     later_life;
    cw_time_us_t longest; /**< longest time between the answer to the probe and the writing of the grant */
} cw_sim_late_grants_t;

/** Counts and violations of a run. */
typedef struct cw_sim_result {
    uint64_t requests;    /**< requests that servers began */
    uint64_t turned_away; /**< requests rejected by servers that did not hold the cell */
    uint64_t unrouted;    /**< requests that a node did not route: no valid table, or the cell is being moved */
    uint64_t grants;      /**< grants that servers accepted */
    uint64_t moves;       /**< random moves */
    uint64_t leaders;     /**< changes of leadership */
    uint64_t restores;    /**< returns of the store from a copy */
    uint64_t continued;   /**< of them, those after which a leader went on with its own state */
    /** Longest time for which two servers held a cell by grants that count, to 10 ms. */
    cw_time_us_t         longest_overlap;
    uint64_t             stops;              /**< servers that stood still */
    uint64_t             from_socket;        /**< orders that servers took as they went on, after their sender's wait */
    uint64_t             grants_from_socket; /**< of them, grants that they did not refuse */
    uint64_t             departures;         /**< orders that left their sender's kernel late */
    cw_sim_late_grants_t late;
    uint32_t             violations;
    char                 violation[CW_SIM_VIOLATIONS_MAX][160];
    bool                 served_at_end; /**< each cell has been served in the last seconds */
} cw_sim_result_t;

/** Sets the usual frequencies of faults. */
void cw_sim_settings_with_faults(cw_sim_settings_t *settings, uint64_t seed);
/** Sets the same, and outages after which the store comes back from a copy. */
void cw_sim_settings_with_restores(cw_sim_settings_t *settings, uint64_t seed);
/** Sets the same as cw_sim_settings_with_faults, lists of servers that lag, addresses that are used again, and orders
 * that wait for connections. */
void cw_sim_settings_with_lagging_lists(cw_sim_settings_t *settings, uint64_t seed);
/** Sets the same, servers that stand still, and orders that leave their sender's kernel late. */
void cw_sim_settings_with_stops(cw_sim_settings_t *settings, uint64_t seed);
/** Runs the simulation; runs with equal settings are equal. */
void cw_sim_run(const cw_sim_settings_t *settings, cw_sim_result_t *result);

#endif
