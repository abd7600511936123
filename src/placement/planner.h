/**
 * @file planner.h
 * @brief Plans which ranges to move, and to which servers. The plan depends only on ranges, servers and the keys'
 * loads.
 *
 * Forced moves come first: ranges of servers that are leaving, have ended or cannot be reached. Then follows balance.
 * The cost of a server's load is the request rate times the time of a request there, which depends on the server's pace
 * and on the wait for a slot at that load. Pieces of ranges are moved from the server with the highest marginal cost to
 * the one with the lowest, while the gain exceeds the price of a move. Finally adjacent ranges with the same owner are
 * merged, so that the number of ranges stays bounded.
 */
#ifndef CEDARWINCH_PLACEMENT_PLANNER_H
#define CEDARWINCH_PLACEMENT_PLANNER_H

#include "assignment/assigner.h"
#include "placement/load_window.h"

/** A server of the service as the planner sees it. */
typedef struct cw_planner_server {
    const cw_server_entry_t *entry;
    bool                     usable;     /**< may get keys */
    bool                     is_doubted; /**< recent orders did not reach it: gets keys only if no other server can */
    bool                     is_barred;  /**< out of service, or outside the allowed regions: its ranges must move */
    uint32_t                 region;     /**< bit of its region (region_mask.h); 0: none */
    double                   pace;       /**< its response time divided by the usual response time */
    double                   cost_s;     /**< share of its slots that a load of one request per second takes */
    double                   per_s;      /**< set by the planner: load on its keys, in requests per second */
    uint32_t                 keys;       /**< set by the planner: how many keys it owns */
    double                   marginal;   /**< set by the planner: cost of one more request per second there */
} cw_planner_server_t;

/** Parameters of the planner: prices and limits of moves. Gains and prices are in requests per second times usual
 * response times. */
typedef struct cw_planner_settings {
    double       gain_min;     /**< least gain of a move, and fixed part of its price */
    double       move_price;   /**< price of moving all keys, for each request per second of the whole service */
    double       interruption; /**< price for each request per second on the moved keys, which waits during the move */
    double       refusal;   /**< cost of a request that may not be sent to its key's owner, in usual response times */
    double       errors;    /**< number of standard errors by which measured rates may be wrong */
    size_t       moves_max; /**< moves for balance in one plan, with few servers */
    size_t       ranges_per_server; /**< number of ranges per server above which ranges are merged */
    cw_time_us_t min_stay;          /**< how long a moved range stays before balance may move it again */
} cw_planner_settings_t;

/** Settings that the router uses. */
extern const cw_planner_settings_t cw_planner_defaults;

/** Input of a plan. */
typedef struct cw_planner_input {
    cw_assigner_t               *assigner;
    const cw_planner_settings_t *settings;
    cw_planner_server_t         *servers; /**< of the service, sorted by id; the planner sets some of their fields */
    size_t                       server_count;
    const cw_server_list_t      *list;
    const cw_load_window_t      *window;
    double       crossing_cost; /**< cost of a request from another region, in usual response times; 0: none */
    bool         doubts_list;   /**< owners that are missing in the list may still be running */
    cw_time_us_t now;
} cw_planner_input_t;

/** Makes a plan and submits it to the assigner. Returns the number of changes; 0 also if no plan can be made now. */
size_t cw_planner_run(const cw_planner_input_t *input);
/** Share of the ranges whose owners are missing in the list without proof that they have ended. */
double cw_planner_missing_share(const cw_assigner_t *assigner, const cw_server_list_t *list);

#endif
