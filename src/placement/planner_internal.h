/**
 * @file planner_internal.h
 * @brief A plan in the making: what the planner's parts share.
 *
 * planner.c makes a plan: what must move, then the rest. planner_cost.c says what load costs at a server;
 * planner_hot.c places keys that are a server's load by themselves; planner_balance.c moves pieces of ranges.
 */
#ifndef CEDARWINCH_PLACEMENT_PLANNER_INTERNAL_H
#define CEDARWINCH_PLACEMENT_PLANNER_INTERNAL_H

#include "model/region_mask.h"
#include "placement/planner.h"

typedef struct cw_planner {
    cw_assigner_t               *assigner;
    const cw_planner_settings_t *settings;
    cw_planner_server_t         *servers;
    size_t                       server_count;
    const cw_server_list_t      *list;
    cw_range_list_t              ranges; /**< as they will be with the moves planned so far */
    cw_key_load_t               *loads;
    size_t                       load_count;
    cw_bound_load_t             *bounds; /**< requests that may go to some regions only, by key */
    size_t                       bound_count;
    cw_bound_load_t *origins; /**< requests by the region that they come from, by key; none if crossing costs nothing */
    size_t           origin_count;
    double           crossing;     /**< what such a request costs at another region's owner, in usual times */
    double           per_s;        /**< of all keys */
    double           fastest_cost; /**< share of its slots that a request a second takes at the fastest */
    double           busy;         /**< mean busy share of the servers that can be given keys */
    double           errors;       /**< of chance, that what a move earns has to stand; more among many servers */
    bool             is_in_pieces; /**< so many ranges already that balance moves whole ones only */
    bool             doubts_list;
    cw_time_us_t     now;
    size_t           changes;
} cw_planner_t;

/** A piece of a range that could move. */
typedef struct cw_planner_piece {
    uint32_t low;
    uint32_t last;
    double   per_s;
} cw_planner_piece_t;

/* Each file calls only files above its own here; planner.c calls them all. */

/* ---- planner_move.c ---- */
/** Server of this id; NULL: not among those of the service. */
cw_planner_server_t *cw_planner_server_of(const cw_planner_t *planner, const char *id);
/** Requests a second on keys low to last. */
double cw_planner_load_between(const cw_planner_t *planner, uint32_t low, uint32_t last);
/** Plans the move of a piece. from: NULL if its owner is not known. */
void cw_planner_move(cw_planner_t *planner, const cw_planner_piece_t *piece, cw_planner_server_t *from,
                     cw_planner_server_t *to);
/** What the move of a piece has to earn. */
double cw_planner_price(const cw_planner_t *planner, const cw_planner_piece_t *piece);
/** May a range move for balance now: settled, and rested since it last moved? */
bool cw_planner_is_moveable(const cw_planner_t *planner, const cw_range_t *range);

/* ---- planner_cost.c ---- */
/** Cost of this many requests a second at a server: their number times what one takes there over what is usual. */
double cw_planner_total_cost(const cw_planner_server_t *server, double per_s);
/** Fills in what one request a second more would cost; after each change of the server's load. */
void cw_planner_price_load(cw_planner_server_t *server);
/** What one request more costs there; ties are broken by the number of keys held. */
double cw_planner_rank(const cw_planner_server_t *server);
/** Server at which one request more costs least, other than the one of this id; NULL: none. */
cw_planner_server_t *cw_planner_least_busy(const cw_planner_t *planner, const char *except);
/** Share of its slots that a request a second takes at the fastest server; 0: there is none. */
double cw_planner_fastest_cost(const cw_planner_t *planner);

/* ---- planner_regions.c ---- */
/** Of the requests for a piece that would be refused at this server, or come there from another region, as requests of
 * usual time. */
double cw_planner_region_cost(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *server);
/** What the move of a piece saves of that, as far as chance does not explain it. */
double cw_planner_region_gain(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                              const cw_planner_server_t *from, const cw_planner_server_t *to);
/** Server that can be given the piece at the least cost, refusals included, other than the one of this id. */
cw_planner_server_t *cw_planner_best_for(const cw_planner_t *planner, const cw_planner_piece_t *piece,
                                         const char *except);
/** Least busy server of the same region, other than this one; NULL: none. */
cw_planner_server_t *cw_planner_least_busy_in(const cw_planner_t *planner, const cw_planner_server_t *server);
/** Moves keys whose requests their owner's region may not serve to where it may. */
void cw_planner_obey_regions(cw_planner_t *planner);

/* ---- planner_hot.c ---- */
bool cw_planner_is_hot(const cw_planner_t *planner, const cw_key_load_t *load);
void cw_planner_place_hot_keys(cw_planner_t *planner);

/* ---- planner_balance.c ---- */
void cw_planner_balance(cw_planner_t *planner);
/** Before there is any load, servers that have come since get their part of the keys, all of them in one plan. */
void cw_planner_fill_idle(cw_planner_t *planner);

#endif
