/**
 * @file planner.h
 * @brief Which ranges should move, and where: a pure function of ranges, servers and the keys' loads.
 *
 * First what must move: ranges of servers that leave, are gone or cannot be reached. Then balance: a server's requests
 * cost their number times the time one takes there (its pace, and the wait for a slot at that load); pieces of ranges
 * go from where one request more costs most to where it costs least, as long as that earns more than a move costs.
 * Last, neighbours with one owner are joined, so that the number of ranges stays bounded.
 */
#ifndef CEDARWINCH_PLACEMENT_PLANNER_H
#define CEDARWINCH_PLACEMENT_PLANNER_H

#include "assignment/assigner.h"
#include "placement/load_window.h"

/** A server of the service as the planner sees it. */
typedef struct cw_planner_server {
    const cw_server_entry_t *entry;
    bool                     usable;     /**< may be given keys */
    bool                     is_doubted; /**< orders have not reached it: given keys only if no other can be */
    bool                     is_barred;  /**< out of service, or outside the regions allowed: what it holds must move */
    uint32_t                 region;     /**< its region's bit (region_mask.h); 0: none */
    double                   pace;       /**< time of its answers over what is usual */
    double                   cost_s;     /**< share of its slots that one request a second takes */
    double                   per_s;      /**< filled by the planner: requests a second on its keys */
    uint32_t                 keys;       /**< filled by the planner */
    double                   marginal;   /**< filled by the planner: what one request a second more would cost there */
} cw_planner_server_t;

typedef struct cw_planner_settings {
    double       gain_min;     /**< what a move has to earn: requests a second times usual times saved, and */
    double       move_price;   /**< besides that, for each request a second of the whole service, if all keys moved */
    double       interruption; /**< and for each request a second of what moves: these wait while it does */
    double       refusal;      /**< usual times that a request which may not go to its key's owner counts */
    double       errors;       /**< standard errors by which rates may be off */
    size_t       moves_max;    /**< in one plan, for balance, among few servers */
    size_t       ranges_each;  /**< joins begin above this many ranges for each server */
    cw_time_us_t rest;         /**< a range that has moved stays for so long */
} cw_planner_settings_t;

/** What the router plans by. */
extern const cw_planner_settings_t cw_planner_defaults;

/** What a plan is made from. */
typedef struct cw_planner_input {
    cw_assigner_t               *assigner;
    const cw_planner_settings_t *settings;
    cw_planner_server_t         *servers; /**< of the service, in order of their ids; what the planner fills in is */
    size_t                       server_count;
    const cw_server_list_t      *list;
    const cw_load_window_t      *window;
    double       crossing;    /**< what a request costs that crosses a region's border, in usual times; 0: nothing */
    bool         doubts_list; /**< owners that are missing in the list may still be there */
    cw_time_us_t now;
} cw_planner_input_t;

/** Plans into the assigner and hands the plan in. Returns the number of changes. */
size_t cw_planner_run(const cw_planner_input_t *input);
/** Share of the ranges whose owners are missing in the list, though nothing shows that they ended. */
double cw_planner_missing_share(const cw_assigner_t *assigner, const cw_server_list_t *list);

#endif
