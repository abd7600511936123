/**
 * @file placement.h
 * @brief Placement planner: which server should own each range of a service. Deterministic from its inputs.
 */
#ifndef CEDARWINCH_PLACEMENT_H
#define CEDARWINCH_PLACEMENT_H

#include "cedarwinch/types.h"

/** When and how much the leader moves. Here so that models of it use the same figures. */
enum {
    CW_PLACEMENT_BALANCE_MOVES = 8, /**< ranges moving at once for balance */
    CW_PLACEMENT_DRAIN_MOVES = 16,  /**< ranges moving at once off draining servers */
    CW_PLACEMENT_BALANCE_PAUSE_US = 5 * CW_US_PER_S,
    CW_PLACEMENT_IDLE_PAUSE_US = 5 * CW_US_PER_S,
    CW_PLACEMENT_SPLIT_PAUSE_US = 3 * CW_US_PER_S, /**< between splits of a service */
    CW_PLACEMENT_MERGE_PAUSE_US = 1 * CW_US_PER_S, /**< after a split or merge */
    CW_PLACEMENT_SETTLE_US = 60 * CW_US_PER_S,     /**< unsettled for so long after a server left */
    CW_PLACEMENT_LOAD_DECAY_US = 10 * CW_US_PER_S, /**< time constant of the rates that forwarders count */
    CW_PLACEMENT_LOAD_KEEP_US = 15 * CW_US_PER_S   /**< a rate that is not told again is forgotten */
};

typedef struct cw_placement_server {
    cw_server_id_t id;
    const char    *zone;
    bool           usable;   /**< alive and not draining */
    bool           unsteady; /**< was lost lately: takes ranges only when no other server can */
} cw_placement_server_t;

typedef struct cw_placement_range {
    cw_range_id_t  id; /**< 0: not created yet */
    cw_key_hash_t  low;
    cw_key_hash_t  last;
    cw_server_id_t server;   /**< present owner; 0: none */
    double         load;     /**< requests per second, decayed */
    bool           pinned;   /**< counts for its owner, but is not moved now */
    cw_key_hash_t  hot_key;  /**< its hottest key, if hot_load is above 0 */
    double         hot_load; /**< requests per second of that key alone */
} cw_placement_range_t;

typedef struct cw_placement_input {
    const Cw__ServiceConfiguration *service;
    const cw_placement_server_t    *servers;
    size_t                          server_count;
    const cw_placement_range_t     *ranges;
    size_t                          range_count;
    bool                            unsettled;     /**< servers left lately: others may follow, or come back */
    size_t                          moves_allowed; /**< moves of healthy ranges; forced moves are not bounded */
} cw_placement_input_t;

typedef struct cw_placement_move {
    size_t         range; /**< index into the input's ranges */
    cw_server_id_t to;
    bool           forced; /**< owner missing, draining or gone */
    char           reason[96];
} cw_placement_move_t;

typedef struct cw_placement_result {
    cw_placement_move_t *moves;
    size_t               move_count;
    double               imbalance_before; /**< busiest over mean; 1 when idle */
    double               imbalance_after;
    double               churn;          /**< share of the key space that moves */
    double               unavailable_ms; /**< expected, summed over moved ranges */
} cw_placement_result_t;

int  cw_placement_plan(const cw_placement_input_t *input, cw_placement_result_t *result);
void cw_placement_result_clear(cw_placement_result_t *result);

/**
 * Load of a range as told by one forwarder after the other. A new forwarder counts from nothing, so what the former
 * one counted is carried on and decays at the pace at which the new count grows.
 */
typedef struct cw_placement_load {
    double       told;
    cw_time_us_t told_us;
    double       carried;
    cw_time_us_t carried_us;
} cw_placement_load_t;

double cw_placement_load_at(const cw_placement_load_t *load, cw_time_us_t now);
void   cw_placement_load_tell(cw_placement_load_t *load, double requests_per_second, cw_time_us_t now);
/** Starts a new count; requests_per_second is what is known from before. */
void cw_placement_load_carry(cw_placement_load_t *load, double requests_per_second, cw_time_us_t now);

/** How often a server was lost: its leases ran out while it was silent. */
typedef struct cw_placement_losses {
    uint32_t     count;
    cw_time_us_t last_us;
} cw_placement_losses_t;

void cw_placement_note_loss(cw_placement_losses_t *losses, cw_time_us_t now);
bool cw_placement_is_unsteady(const cw_placement_losses_t *losses, cw_time_us_t now);

/** Chooses the range whose hottest key is to get a range of its own. False: none is worth it. */
bool cw_placement_choose_split(const cw_placement_input_t *input, size_t *range);

/** A step towards one range in place of two neighbours. */
typedef struct cw_placement_merge {
    size_t         left;       /**< to be merged with the next one */
    bool           move_first; /**< their owners differ: move one of them */
    size_t         moved;
    cw_server_id_t to;
} cw_placement_merge_t;

/** Chooses ranges that cooled down and can be one again. Ranges are in order of keys. False: none. */
bool cw_placement_choose_merge(const cw_placement_input_t *input, cw_placement_merge_t *merge);

#endif
