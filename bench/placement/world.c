/**
 * @file world.c
 * @brief Servers that come and go, and the ranges they own.
 */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

static const double DRIFT = 1.001;

/* ---- making ---- */

static int compare_keys(const void *left, const void *right)
{
    const bench_key_t *one = left;
    const bench_key_t *other = right;

    return one->hash < other->hash ? -1 : one->hash > other->hash;
}

static void make_keys(bench_world_t *world)
{
    size_t count = world->deployment->keys;
    size_t number;
    size_t position;

    for (number = 0; number < count; number++) {
        world->keys[number].hash = world->requests.hashes[number];
    }
    qsort(world->keys, count, sizeof(*world->keys), compare_keys);
    for (number = 0; number < count; number++) {
        for (position = 0; world->keys[position].hash != world->requests.hashes[number];) {
            position++;
        }
        world->key_positions[number] = position;
    }
}

/* Finds the keys of each range again. */
static void index_keys(bench_world_t *world)
{
    size_t range = 0;
    size_t key;

    for (range = 0; range < world->range_count; range++) {
        world->ranges[range].key_count = 0;
    }
    range = 0;
    for (key = 0; key < world->deployment->keys; key++) {
        while (world->keys[key].hash > world->ranges[range].last) {
            range++;
        }
        if (world->ranges[range].key_count++ == 0) {
            world->ranges[range].first_key = key;
        }
        world->keys[key].range = range;
    }
}

static void make_servers(bench_world_t *world)
{
    char   name[32];
    size_t server;

    for (server = 0; server < world->deployment->servers; server++) {
        snprintf(name, sizeof(name), "server-%zu", server + 1);
        world->servers[server].id = cw_hash_server("tenant", world->deployment->name, name);
        world->servers[server].zone[0] = (char)('a' + server % BENCH_ZONES);
        world->servers[server].up = true;
        world->servers[server].incarnation = 1;
        world->servers[server].changed_us = -BENCH_RETURN_US;
    }
}

static void make_ranges(bench_world_t *world)
{
    uint64_t width = UINT64_MAX / (world->range_count == 0 ? 1 : world->range_count);
    size_t   range;

    for (range = 0; range < world->range_count; range++) {
        world->ranges[range].id = world->next_range_id++;
        world->ranges[range].low = range * width;
        world->ranges[range].last = range + 1 == world->range_count ? UINT64_MAX : (range + 1) * width - 1;
        world->ranges[range].owner = BENCH_NO_OWNER;
    }
    index_keys(world);
}

static void make_service(bench_world_t *world)
{
    const bench_deployment_t *deployment = world->deployment;

    world->weights = (Cw__PlacementWeights)CW__PLACEMENT_WEIGHTS__INIT;
    world->weights.imbalance = deployment->weights[0];
    world->weights.churn = deployment->weights[1];
    world->weights.unavailable = deployment->weights[2];
    world->service = (Cw__ServiceConfiguration)CW__SERVICE_CONFIGURATION__INIT;
    world->service.weights = &world->weights;
    world->service.cold_start_ms = deployment->cold_start_ms;
    world->service.ranges_per_server = deployment->ranges_per_server;
    world->service.slots_per_server = (uint32_t)deployment->slots;
    world->service.lease_ms = deployment->lease_ms;
}

int bench_world_init(bench_world_t *world)
{
    const bench_deployment_t *deployment = world->deployment;
    size_t                    capacity;

    world->range_count =
        world->planner->ranges > 0 ? world->planner->ranges : deployment->ranges_per_server * deployment->servers;
    capacity = world->range_count + 2 * deployment->keys + 2;
    world->keys = calloc(deployment->keys, sizeof(*world->keys));
    world->key_positions = calloc(deployment->keys, sizeof(*world->key_positions));
    world->ranges = calloc(capacity, sizeof(*world->ranges));
    world->latencies = cw_histogram_create();
    if (world->keys == NULL || world->key_positions == NULL || world->ranges == NULL || world->latencies == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    world->next_range_id = 1;
    make_keys(world);
    make_servers(world);
    make_ranges(world);
    make_service(world);
    world->changed = true;
    if (world->scenario->events != NULL) {
        world->event_count = world->scenario->events(world->scenario, world->events);
    }
    return CW_OK;
}

void bench_world_clear(bench_world_t *world)
{
    free(world->keys);
    free(world->key_positions);
    free(world->ranges);
    free(world->latencies);
    bench_requests_clear(&world->requests);
}

/* ---- servers ---- */

bool bench_server_usable(const bench_world_t *world, size_t server)
{
    const bench_server_t *state = &world->servers[server];

    return state->up && !state->draining && world->now - state->changed_us >= BENCH_RETURN_US;
}

bool bench_server_lost(const bench_world_t *world, size_t server)
{
    const bench_server_t *state = &world->servers[server];
    double                lease_us = DRIFT * world->deployment->lease_ms * CW_US_PER_MS;

    return !state->up && (double)(world->now - state->changed_us) >= lease_us + BENCH_SUSPECT_US;
}

static size_t count_up(const bench_world_t *world)
{
    size_t count = 0;
    size_t server;

    for (server = 0; server < world->deployment->servers; server++) {
        count += world->servers[server].up && !world->servers[server].draining ? 1 : 0;
    }
    return count;
}

static void add_outage(bench_world_t *world, const bench_range_t *range, cw_time_us_t outage_us)
{
    size_t key;

    if (world->now < BENCH_WARM_UP_US) {
        return;
    }
    for (key = range->first_key; key < range->first_key + range->key_count; key++) {
        world->keys[key].unavailable_us += outage_us;
    }
}

static void lose_server(bench_world_t *world, size_t server)
{
    bench_range_t *range;
    size_t         position;

    world->servers[server].up = false;
    world->servers[server].changed_us = world->now;
    for (position = 0; position < world->range_count; position++) {
        range = &world->ranges[position];
        if (range->owner == server) {
            range->lost_us = range->ready_us > world->now ? range->ready_us : world->now;
        }
    }
}

static void return_server(bench_world_t *world, size_t server, bool cold)
{
    bench_range_t *range;
    size_t         position;
    size_t         slot;

    world->servers[server].up = true;
    world->servers[server].draining = false;
    world->servers[server].changed_us = world->now;
    world->servers[server].incarnation += cold ? 1 : 0;
    for (slot = 0; slot < world->deployment->slots; slot++) {
        world->servers[server].slot_free_us[slot] = world->now;
    }
    for (position = 0; position < world->range_count; position++) {
        range = &world->ranges[position];
        if (range->owner == server && cold) {
            range->owner = BENCH_NO_OWNER;
        } else if (range->owner == server && range->lost_us >= 0) {
            add_outage(world, range, world->now - range->lost_us);
            range->lost_us = -1;
        }
    }
}

/* Share of the keys that has to move for this event; events at the same time
 * share it. */
static void count_least(bench_world_t *world, const bench_event_t *event)
{
    bool   joins = event->kind == BENCH_START || event->kind == BENCH_THAW;
    size_t together = 0;
    size_t position;

    if (event->kind == BENCH_STOP && world->servers[event->server].draining) {
        return;
    }
    for (position = 0; position < world->event_count; position++) {
        together += world->events[position].at_us == event->at_us ? 1 : 0;
    }
    if (event != &world->events[0] && (event - 1)->at_us == event->at_us) {
        return; /* counted with the first */
    }
    world->least_share += (double)together / (double)(count_up(world) + (joins ? together : 0));
}

void bench_apply_events(bench_world_t *world)
{
    const bench_event_t *event;

    while (world->next_event < world->event_count && world->events[world->next_event].at_us <= world->now) {
        event = &world->events[world->next_event++];
        count_least(world, event);
        if (event->kind == BENCH_DRAIN) {
            world->servers[event->server].draining = true;
            world->left_us = world->now;
        } else if (event->kind == BENCH_START || event->kind == BENCH_THAW) {
            return_server(world, event->server, event->kind == BENCH_START);
        } else {
            lose_server(world, event->server);
            world->left_us = world->now;
        }
        world->changed = true;
    }
}

void bench_note_losses(bench_world_t *world)
{
    bench_server_t *state;
    size_t          server;

    for (server = 0; server < world->deployment->servers; server++) {
        state = &world->servers[server];
        if (bench_server_usable(world, server)) {
            state->in_use = true;
        } else if (state->in_use && bench_server_lost(world, server)) {
            cw_placement_note_loss(&state->losses, world->now);
            state->in_use = false;
        } else if (state->draining) {
            state->in_use = false;
        }
    }
}

/* ---- ranges ---- */

/* Another forwarder counts from nothing. */
static void restart_count(const bench_world_t *world, bench_range_t *range, double known_load)
{
    memset(&range->load, 0, sizeof(range->load));
    range->load.updated_us = world->now;
    range->reported = false;
    if (!world->planner->forgets_loads) {
        cw_placement_load_carry(&range->known, known_load, world->now);
    }
}

void bench_give(bench_world_t *world, size_t range, size_t server, cw_time_us_t outage_us)
{
    bench_range_t *moved = &world->ranges[range];
    cw_time_us_t   since_us = moved->lost_us >= 0 ? moved->lost_us : world->now;

    if (moved->owner != server) {
        restart_count(world, moved, cw_placement_load_at(&moved->known, world->now));
        if (world->now >= BENCH_WARM_UP_US) {
            world->keys_moved += moved->key_count;
            world->result->moves++;
        }
    }
    moved->owner = server;
    moved->ready_us = world->now + outage_us;
    moved->lost_us = -1;
    add_outage(world, moved, moved->ready_us - since_us);
}

static void cut(bench_world_t *world, size_t range, cw_key_hash_t last)
{
    bench_range_t *whole = &world->ranges[range];

    memmove(whole + 1, whole, (world->range_count - range) * sizeof(*whole));
    world->range_count++;
    whole->last = last;
    whole[1].low = last + 1;
}

static void renew(bench_world_t *world, size_t range, double known_load)
{
    bench_range_t *part = &world->ranges[range];

    part->id = world->next_range_id++;
    part->hot_load = 0;
    part->known = (cw_placement_load_t){0};
    restart_count(world, part, known_load);
}

static double part_load(const bench_range_t *whole, const bench_range_t *part, cw_key_hash_t key, double load)
{
    double hot_load = whole->hot_load < load ? whole->hot_load : load;

    if (part->low <= key && key <= part->last) {
        return hot_load;
    }
    return (load - hot_load) * (double)(part->last - part->low) / (double)(whole->last - whole->low);
}

size_t bench_split(bench_world_t *world, size_t range, cw_key_hash_t key)
{
    const bench_range_t whole = world->ranges[range];
    double              load = cw_placement_load_at(&whole.known, world->now);
    size_t              first = range;
    size_t              parts = 1;
    size_t              position;

    if (key > world->ranges[range].low) {
        cut(world, range, key - 1);
        parts++;
        range++;
    }
    if (key < world->ranges[range].last) {
        cut(world, range, key);
        parts++;
    }
    index_keys(world);
    for (position = first; position < first + parts; position++) {
        renew(world, position, part_load(&whole, &world->ranges[position], key, load));
    }
    return parts;
}

void bench_merge(bench_world_t *world, size_t range)
{
    bench_range_t *left = &world->ranges[range];
    double load = cw_placement_load_at(&left[0].known, world->now) + cw_placement_load_at(&left[1].known, world->now);

    left->last = left[1].last;
    memmove(left + 1, left + 2, (world->range_count - range - 2) * sizeof(*left));
    world->range_count--;
    renew(world, range, load);
    index_keys(world);
}
