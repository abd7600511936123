/**
 * @file world.h
 * @brief State of one run, shared by the parts of the model.
 */
#ifndef CEDARWINCH_BENCH_PLACEMENT_WORLD_H
#define CEDARWINCH_BENCH_PLACEMENT_WORLD_H

#include "model.h"
#include "traffic.h"

enum {
    BENCH_TICK_US = 100 * CW_US_PER_MS,
    BENCH_REPORT_US = 300 * CW_US_PER_MS,  /**< heartbeat */
    BENCH_SUSPECT_US = 900 * CW_US_PER_MS, /**< silence after which a server is suspected */
    BENCH_RETURN_US = 500 * CW_US_PER_MS,  /**< first reading and quorum round of a
                                              server that came back */
    BENCH_WINDOW_US = 10 * CW_US_PER_S,    /**< imbalance is measured over such windows */
    BENCH_WARM_UP_US = 60 * CW_US_PER_S,   /**< nothing is measured before */
    BENCH_NO_OWNER = BENCH_SERVERS_MAX
};

typedef struct bench_server {
    cw_server_id_t        id;
    char                  zone[2];
    bool                  up;
    bool                  draining;
    uint32_t              incarnation;
    cw_time_us_t          changed_us; /**< came up or went down */
    cw_time_us_t          slot_free_us[BENCH_SLOTS_MAX];
    uint64_t              window_arrivals;
    bool                  in_use; /**< usable since it was last lost */
    cw_placement_losses_t losses;
} bench_server_t;

typedef struct bench_range {
    cw_range_id_t       id;
    cw_key_hash_t       low;
    cw_key_hash_t       last;
    size_t              owner; /**< or BENCH_NO_OWNER; the target while it moves */
    cw_time_us_t        ready_us;
    cw_time_us_t        lost_us; /**< without service since; -1: served */
    size_t              first_key;
    size_t              key_count;
    cw_range_load_t     load; /**< at its forwarder */
    bool                reported;
    cw_placement_load_t known; /**< to the leader */
    cw_key_hash_t       hot_key;
    double              hot_load;
} bench_range_t;

/** Keys are kept in the order of their hashes. */
typedef struct bench_key {
    cw_key_hash_t hash;
    size_t        range;
    uint64_t      warm; /**< server and incarnation that hold its state; 0: none */
    cw_time_us_t  unavailable_us;
    cw_time_us_t  hot_since_us; /**< 0: not hot */
    uint64_t      window_arrivals;
} bench_key_t;

typedef struct bench_world {
    const bench_scenario_t   *scenario;
    const bench_deployment_t *deployment;
    const bench_planner_t    *planner;
    bench_result_t           *result;
    cw_time_us_t              now;
    bench_requests_t          requests;
    bench_key_t              *keys;
    size_t                   *key_positions; /**< by the number that an arrival names */
    bench_server_t            servers[BENCH_SERVERS_MAX];
    bench_range_t            *ranges; /**< in order of keys */
    size_t                    range_count;
    cw_range_id_t             next_range_id;
    bench_event_t             events[BENCH_EVENTS_MAX];
    size_t                    event_count;
    size_t                    next_event;
    cw_time_us_t              rebalance_us;
    cw_time_us_t              split_us; /**< next split, not before */
    cw_time_us_t              left_us;  /**< a server was lost or drained last; 0: none */
    bool                      changed;  /**< servers came or went: place at once */
    Cw__ServiceConfiguration  service;
    Cw__PlacementWeights      weights;
    uint64_t                  keys_moved;
    double                    least_share;
    uint64_t                  windows_above;
    double                    imbalances[BENCH_WINDOWS_MAX];
    cw_histogram_t           *latencies;
} bench_world_t;

/* world.c */
int  bench_world_init(bench_world_t *world);
void bench_world_clear(bench_world_t *world);
bool bench_server_usable(const bench_world_t *world, size_t server);
/** No lease of it can be in force any more. */
bool bench_server_lost(const bench_world_t *world, size_t server);
void bench_apply_events(bench_world_t *world);
void bench_note_losses(bench_world_t *world);
/** The range goes to a server and is served again after outage_us. */
void bench_give(bench_world_t *world, size_t range, size_t server, cw_time_us_t outage_us);
/** Returns the number of parts. */
size_t bench_split(bench_world_t *world, size_t range, cw_key_hash_t key);
void   bench_merge(bench_world_t *world, size_t range);

/* leader.c */
void bench_report_loads(bench_world_t *world);
int  bench_place(bench_world_t *world);

/* serving.c */
void bench_serve(bench_world_t *world, const bench_arrival_t *arrival);

/* measure.c */
void bench_end_window(bench_world_t *world);
int  bench_end_run(bench_world_t *world);

#endif
