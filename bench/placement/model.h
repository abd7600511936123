/**
 * @file model.h
 * @brief Logical-time model of one service: keys, requests, queues of servers,
 * faults, and the moves that a planner asks for. The planner under test is the
 * product's own code or a baseline with the same interface.
 *
 * Deterministic: every random number comes from the seed, and arrivals do not
 * depend on the planner, so all planners of one scenario meet the same
 * requests.
 */
#ifndef CEDARWINCH_BENCH_PLACEMENT_MODEL_H
#define CEDARWINCH_BENCH_PLACEMENT_MODEL_H

#include "../common/histogram.h"
#include "cedarwinch/placement.h"
#include "core/forwarder_internal.h"

enum { BENCH_SERVERS_MAX = 32, BENCH_SLOTS_MAX = 4, BENCH_ZONES = 3, BENCH_WINDOWS_MAX = 512, BENCH_EVENTS_MAX = 128 };

/** Sizes and costs of one service as its tenant states them. */
typedef struct bench_deployment {
    const char  *name;
    size_t       servers;
    size_t       slots;
    size_t       keys;
    uint32_t     ranges_per_server;
    double       zone_delay_ms; /**< one way between zones */
    double       client_delay_ms;
    double       connect_ms;
    double       probe_ms;
    double       service_ms; /**< mean time of a request in its slot */
    uint32_t     cold_start_ms;
    uint32_t     lease_ms;
    uint32_t     timeout_ms;
    double       requests_per_second;
    const double weights[3]; /**< imbalance, churn, unavailable */
} bench_deployment_t;

typedef enum bench_event_kind {
    BENCH_DRAIN,  /**< the server asks for its ranges to be taken away */
    BENCH_STOP,   /**< its process ends; also a lost machine */
    BENCH_START,  /**< a new process, cold */
    BENCH_FREEZE, /**< stops answering, keeps its state */
    BENCH_THAW
} bench_event_kind_t;

typedef struct bench_event {
    cw_time_us_t       at_us;
    bench_event_kind_t kind;
    size_t             server;
} bench_event_t;

typedef enum bench_traffic { BENCH_EVEN, BENCH_WANDERING, BENCH_FEW_KEYS } bench_traffic_t;

typedef struct bench_scenario {
    const char               *name;
    const char               *plot; /**< NULL: not plotted */
    const bench_deployment_t *deployment;
    bench_traffic_t           traffic;
    uint32_t                  duration_s;
    size_t (*events)(const struct bench_scenario *scenario,
                     bench_event_t               *events); /**< in order of time; may be NULL */
    int lying_server;                        /**< its load endpoint says idle; -1: none */
} bench_scenario_t;

/** A way to place ranges. plan is given the same input whoever it is. */
typedef struct bench_planner {
    const char *name;
    int (*plan)(const cw_placement_input_t *input, cw_placement_result_t *result);
    bool (*split)(const cw_placement_input_t *input, size_t *range); /**< NULL: never splits */
    bool (*merge)(const cw_placement_input_t *input,
                  cw_placement_merge_t       *merge); /**< joins it with the next; NULL: never */
    cw_time_us_t move_pause_us;                 /**< after a plan with moves */
    cw_time_us_t split_pause_us;                /**< between splits */
    cw_time_us_t shape_pause_us;                /**< after a split or merge */
    bool         asks_servers;                  /**< takes loads from the servers' own load endpoints */
    bool         forgets_loads;                 /**< believes a new forwarder's count from its first report on */
    bool         bounds_moves;                  /**< moves at most so many ranges at once */
    uint32_t     ranges;                        /**< 0: as configured; else this many, so that each is about
                                                   a key */
} bench_planner_t;

typedef struct bench_result {
    double   imbalance;       /**< mean over windows of busiest over mean */
    double   imbalance_late;  /**< 99th percentile of the same */
    double   time_above;      /**< share of windows above 1.25 */
    double   turnovers;       /**< keys moved an hour over the number of keys */
    double   least_turnovers; /**< what the membership changes force */
    uint64_t moves;
    double   unavailable_p50_s; /**< of a key over the run */
    double   unavailable_p99_s;
    double   unavailable_total_s;
    double   latency_p50_ms;
    double   latency_p99_ms;
    uint64_t requests;
    uint64_t failed;       /**< not answered in time */
    double   split_late_s; /**< longest time for a hot key to get a range of its
                              own; 0: none, -1: never */
    size_t ranges_most;
    size_t ranges_end;
    double score; /**< weighted sum, less is better */
    double keys;  /**< number of keys */
    size_t window_count;
    double window_loads[BENCH_WINDOWS_MAX][BENCH_SERVERS_MAX]; /**< over the mean */
} bench_result_t;

/** Runs a scenario under a planner. Returns an error of cedarwinch/error.h. */
int bench_run(const bench_scenario_t *scenario, const bench_planner_t *planner, uint64_t seed, bench_result_t *result);

extern const bench_scenario_t bench_scenarios[];
extern const size_t           bench_scenario_count;
extern const bench_planner_t  bench_planners[];
extern const size_t           bench_planner_count;

const bench_scenario_t *bench_find_scenario(const char *name); /**< NULL: none of that name */
const bench_planner_t  *bench_find_planner(const char *name);

#endif
