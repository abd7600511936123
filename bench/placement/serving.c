/**
 * @file serving.c
 * @brief One request: waits for its range, then in its server's queue for a
 * slot, then is served.
 */
#include "world.h"

static size_t first_free(const bench_world_t *world, const bench_server_t *server)
{
    size_t first = 0;
    size_t slot;

    for (slot = 1; slot < world->deployment->slots; slot++) {
        if (server->slot_free_us[slot] < server->slot_free_us[first]) {
            first = slot;
        }
    }
    return first;
}

static void record(bench_world_t *world, const bench_arrival_t *arrival, cw_time_us_t end_us, bool answered)
{
    const bench_deployment_t *deployment = world->deployment;
    double                    network_ms = 2 * deployment->client_delay_ms + 4 * deployment->zone_delay_ms;

    if (arrival->at_us < BENCH_WARM_UP_US) {
        return;
    }
    world->result->requests++;
    world->result->failed += answered ? 0 : 1;
    cw_histogram_add(world->latencies, end_us - arrival->at_us + (cw_time_us_t)(network_ms * CW_US_PER_MS));
}

/* A key that this life of the server has not seen yet costs a cold start, in
 * the slot of its first request. */
static cw_time_us_t warm_up(bench_world_t *world, bench_key_t *key, size_t owner)
{
    uint64_t     life = (uint64_t)world->servers[owner].incarnation << 32 | (owner + 1);
    cw_time_us_t cold_us = (cw_time_us_t)world->deployment->cold_start_ms * CW_US_PER_MS;

    if (key->warm == life) {
        return 0;
    }
    key->warm = life;
    if (world->now >= BENCH_WARM_UP_US) {
        key->unavailable_us += cold_us;
    }
    return cold_us;
}

void bench_serve(bench_world_t *world, const bench_arrival_t *arrival)
{
    bench_key_t    *key = &world->keys[world->key_positions[arrival->key]];
    bench_range_t  *range = &world->ranges[key->range];
    cw_time_us_t    timeout_us = (cw_time_us_t)world->deployment->timeout_ms * CW_US_PER_MS;
    bench_server_t *server;
    cw_time_us_t    start_us = arrival->at_us > range->ready_us ? arrival->at_us : range->ready_us;
    size_t          slot;

    key->window_arrivals++;
    if (range->owner == BENCH_NO_OWNER || !world->servers[range->owner].up) {
        record(world, arrival, arrival->at_us + timeout_us, false);
        return;
    }
    server = &world->servers[range->owner];
    server->window_arrivals++;
    cw_range_load_add(&range->load, key->hash, arrival->at_us);
    slot = first_free(world, server);
    if (server->slot_free_us[slot] > start_us) {
        start_us = server->slot_free_us[slot];
    }
    if (start_us - arrival->at_us > timeout_us) {
        record(world, arrival, arrival->at_us + timeout_us, false);
        return;
    }
    server->slot_free_us[slot] = start_us + warm_up(world, key, range->owner) + arrival->service_us;
    record(world, arrival, server->slot_free_us[slot], true);
}
