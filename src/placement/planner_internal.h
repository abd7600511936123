/**
 * @file planner_internal.h
 * @brief State of a plan and functions that the planner's files share.
 *
 * planner.c makes a plan: forced moves first, then all others. planner_cost.c computes the cost of load at a server;
 * planner_regions.c moves keys to regions that may serve them; planner_hot.c places keys whose load is large for one
 * server; planner_balance.c moves pieces of ranges.
 */
#ifndef CEDARWINCH_PLACEMENT_PLANNER_INTERNAL_H
#define CEDARWINCH_PLACEMENT_PLANNER_INTERNAL_H

#include "model/region_mask.h"
#include "placement/planner.h"

/** A plan that is being made, with its input. */
typedef struct cw_planner {
    cw_assigner_t               *assigner;
    const cw_planner_settings_t *settings;
    cw_planner_server_t         *servers;
    size_t                       server_count;
    const cw_server_list_t      *list;
    cw_range_list_t              ranges; /**< ranges after the moves planned so far */
    cw_key_load_t               *loads;
    size_t                       load_count;
    cw_region_load_t            *restricted; /**< load that may be sent to some regions only, sorted by key */
    size_t                       restricted_count;
    cw_region_load_t *origins; /**< load with the region that it comes from, sorted by key; empty if crossing is free */
    size_t            origin_count;
    double            crossing_cost; /**< cost of a request from another region, in usual response times */
    double            per_s;         /**< load on all keys */
    double            fastest_cost;  /**< share of its slots that one request per second takes at the fastest server */
    double            busy;          /**< mean busy share of the servers that may get keys */
    double            errors;        /**< standard errors with which a move must still gain; higher with many servers */
    bool              is_fragmented; /**< there are so many ranges that balance moves only whole ones */
    bool              doubts_list;
    cw_time_us_t      now;
    size_t            changes;
} cw_planner_t;

/** A part of a range that could be moved, with its load. */
typedef struct cw_planner_piece {
    uint32_t low;
    uint32_t last;
    double   per_s;
} cw_planner_piece_t;

/* Each file calls only functions of the files listed above it; planner.c calls all of them. */

/* ---- planner_move.c ---- */
/** Returns the server with this id; NULL: it is not a server of the service. */
cw_planner_server_t *cw_planner_server_of(const cw_planner_t *planner, const char *id);
/** Load on keys low to last, in requests per second. */
double cw_planner_load_between(const cw_planner_t *planner, uint32_t low, uint32_t last);
/** Plans the move of a piece, unless its range may not be moved now. from: NULL if the owner is not a listed server. */
void cw_planner_move(cw_planner_t *planner, const cw_planner_piece_t *piece, cw_planner_server_t *from,
                     cw_planner_server_t *to);
/** Price of moving a piece, which the gain must exceed. */
double cw_planner_move_price(const cw_planner_t *planner, const cw_planner_piece_t *piece);
/** Whether a range may be moved for balance now: it is settled and its last move is long enough ago. */
bool cw_planner_is_moveable(const cw_planner_t *planner, const cw_range_t *range);

/* ---- planner_cost.c ---- */
/** Cost of a load at a server: the requests per second times the time of one there, in usual response times. */
double cw_planner_total_cost(const cw_planner_server_t *server, double per_s);
/** Sets the server's marginal cost. To be called after each change of the server's load. */
void cw_planner_update_marginal(cw_planner_server_t *server);
/** The server's marginal cost, with ties broken by its number of keys. */
double cw_planner_rank(const cw_planner_server_t *server);
/** Returns the usable server with the lowest rank, other than the one with this id; NULL: none. */
cw_planner_server_t *cw_planner_least_busy(const cw_planner_t *planner, const char *except);
/** Share of its slots that one request per second takes at the fastest usable server; 0: there is none. */
double cw_planner_fastest_cost(const cw_planner_t *planner);

/* ---- planner_regions.c ---- */
/** Cost, in requests per second times usual response times, of the requests for a piece that would be refused at this
 * server or would come there from another region. */
double cw_planner_region_cost(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *server);
/** Decrease of that cost by the move of a piece, without the part that random variation can explain. */
double cw_planner_region_gain(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *from, const cw_planner_server_t *to);
/** Returns the usable server at which the piece costs least, refusals included, other than the one with this id. */
cw_planner_server_t *cw_planner_best_server(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                                            const char *except);
/** Returns the usable server of the same region with the lowest rank, other than this one; NULL: none. */
cw_planner_server_t *cw_planner_least_busy_in(const cw_planner_t *planner, const cw_planner_server_t *server);
/** Moves keys whose requests must not be sent to the owner's region to a server of an allowed region. */
void cw_planner_apply_regions(cw_planner_t *planner);

/* ---- planner_hot.c ---- */
/** Whether a key's load takes a large share of the fastest server. */
bool cw_planner_is_hot(const cw_planner_t *planner, const cw_key_load_t *load);
/** Moves hot keys to fast servers with little other load. */
void cw_planner_place_hot_keys(cw_planner_t *planner);

/* ---- planner_balance.c ---- */
/** Moves pieces of ranges from busy servers to less busy ones. */
void cw_planner_balance(cw_planner_t *planner);
/** Without any load: gives keys to servers that have none because they were listed later, all of them in one plan. */
void cw_planner_fill_idle(cw_planner_t *planner);

#endif
