/**
 * @file measure.c
 * @brief What a run is judged by. The score's units are fixed: they are what
 * one point of each weight buys.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "world.h"

static const double ABOVE = 1.25;             /* imbalance that users notice */
static const double IMBALANCE_UNIT = 0.25;    /* busiest over mean, less one */
static const double TURNOVER_UNIT = 1.0;      /* every key moved once an hour */
static const double UNAVAILABLE_UNIT_S = 1.0; /* of each key an hour */
static const double SECONDS_PER_HOUR = 3600.0;
static const double HOT_SHARE = 0.5; /* of a server's mean load: a key that needs a range of its own */

/* How long keys stay hot without a range of their own. */
static void note_hot_keys(bench_world_t *world, double mean)
{
    bench_result_t *result = world->result;
    bench_key_t    *key;
    bool            hot;
    double          waited_s;
    size_t          position;

    for (position = 0; position < world->deployment->keys; position++) {
        key = &world->keys[position];
        hot = (double)key->window_arrivals > HOT_SHARE * mean && world->ranges[key->range].key_count > 1;
        key->window_arrivals = 0;
        if (!hot) {
            key->hot_since_us = 0;
            continue;
        }
        if (key->hot_since_us == 0) {
            key->hot_since_us = world->now - BENCH_WINDOW_US;
        }
        waited_s = (double)(world->now - key->hot_since_us) / CW_US_PER_S;
        result->split_late_s = waited_s > result->split_late_s ? waited_s : result->split_late_s;
    }
}

void bench_end_window(bench_world_t *world)
{
    bench_result_t *result = world->result;
    size_t          servers = world->deployment->servers;
    size_t          usable = 0;
    double          total = 0;
    double          busiest = 0;
    double          load;
    size_t          server;

    for (server = 0; server < servers; server++) {
        usable += bench_server_usable(world, server) ? 1 : 0;
        total += (double)world->servers[server].window_arrivals;
    }
    for (server = 0; server < servers; server++) {
        load = total <= 0 ? 0 : (double)world->servers[server].window_arrivals * (double)usable / total;
        busiest = load > busiest ? load : busiest;
        result->window_loads[result->window_count][server] = load;
        world->servers[server].window_arrivals = 0;
    }
    if (world->now <= BENCH_WARM_UP_US || result->window_count == BENCH_WINDOWS_MAX - 1) {
        note_hot_keys(world, 1e300);
        return;
    }
    note_hot_keys(world, total / (double)usable);
    world->imbalances[result->window_count++] = busiest;
    world->windows_above += busiest > ABOVE ? 1 : 0;
    result->ranges_most = world->range_count > result->ranges_most ? world->range_count : result->ranges_most;
}

static int compare_times(const void *left, const void *right)
{
    double one = *(const double *)left;
    double other = *(const double *)right;

    return one < other ? -1 : one > other;
}

static int measure_keys(bench_world_t *world)
{
    bench_result_t *result = world->result;
    size_t          count = world->deployment->keys;
    double         *times = calloc(count, sizeof(*times));
    size_t          key;

    if (times == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (key = 0; key < count; key++) {
        times[key] = (double)world->keys[key].unavailable_us / CW_US_PER_S;
        result->unavailable_total_s += times[key];
    }
    qsort(times, count, sizeof(*times), compare_times);
    result->unavailable_p50_s = times[count / 2];
    result->unavailable_p99_s = times[count * 99 / 100];
    free(times);
    return CW_OK;
}

static void measure_imbalance(bench_world_t *world)
{
    bench_result_t *result = world->result;
    double          sum = 0;
    size_t          window;

    for (window = 0; window < result->window_count; window++) {
        sum += world->imbalances[window];
    }
    qsort(world->imbalances, result->window_count, sizeof(double), compare_times);
    result->imbalance = sum / (double)result->window_count;
    result->imbalance_late = world->imbalances[result->window_count * 99 / 100];
    result->time_above = (double)world->windows_above / (double)result->window_count;
}

int bench_end_run(bench_world_t *world)
{
    const bench_deployment_t *deployment = world->deployment;
    bench_result_t           *result = world->result;
    double                    hours = (double)(world->now - BENCH_WARM_UP_US) / CW_US_PER_S / SECONDS_PER_HOUR;
    double                    unavailable_s;
    int                       error = measure_keys(world);

    if (error != CW_OK) {
        return error;
    }
    measure_imbalance(world);
    result->keys = (double)deployment->keys;
    result->turnovers = (double)world->keys_moved / result->keys / hours;
    result->least_turnovers = world->least_share / hours;
    result->latency_p50_ms = (double)cw_histogram_quantile(world->latencies, 0.5) / CW_US_PER_MS;
    result->latency_p99_ms = (double)cw_histogram_quantile(world->latencies, 0.99) / CW_US_PER_MS;
    result->ranges_end = world->range_count;
    unavailable_s = result->unavailable_total_s / result->keys / hours;
    result->score = deployment->weights[0] * (result->imbalance - 1.0) / IMBALANCE_UNIT +
                    deployment->weights[1] * result->turnovers / TURNOVER_UNIT +
                    deployment->weights[2] * unavailable_s / UNAVAILABLE_UNIT_S;
    return CW_OK;
}
