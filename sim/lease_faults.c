/**
 * @file lease_faults.c
 * @brief Random faults, and the run of the simulation from start to end.
 */
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"

enum { TICK_INTERVAL_MS = 20, FAULTS_INTERVAL_MS = 100, REQUEST_INTERVAL_MS = 3, SETTLE_S = 14 };

void cw_sim_settings_with_faults(cw_sim_settings_t *settings, uint64_t seed)
{
    *settings = (cw_sim_settings_t){.seed = seed,
                                    .length = CW_SECONDS(90),
                                    .faults_end_at = CW_SECONDS(60),
                                    .store_lost = 0.1,
                                    .store_late = 0.1,
                                    .order_lost = 0.1,
                                    .order_late = 0.15,
                                    .outages = 0.03,
                                    .kills = 0.08,
                                    .freezes = 0.08,
                                    .cuts = 0.15,
                                    .crashes = 0.1,
                                    .all_node_kills = 0.01,
                                    .moves = 2.0,
                                    .merges = 1.0 / 3};
}

void cw_sim_settings_with_restores(cw_sim_settings_t *settings, uint64_t seed)
{
    cw_sim_settings_with_faults(settings, seed);
    settings->restores = 0.05;
}

void cw_sim_settings_with_lagging_lists(cw_sim_settings_t *settings, uint64_t seed)
{
    cw_sim_settings_with_faults(settings, seed);
    settings->lists_lag = true;
    settings->list_stalls = 0.06;
    settings->lost_entries = 0.1;
    settings->reuses = 0.6;
    settings->crashes = 0.2;
    settings->connects = 0.3;
    settings->connect_failures = 0.1;
    settings->forced_moves = 2.0;
    settings->kept_names = 0.4;
    settings->merges = 1.5;
}

void cw_sim_settings_with_stops(cw_sim_settings_t *settings, uint64_t seed)
{
    cw_sim_settings_with_lagging_lists(settings, seed);
    settings->kept_names = 0.7;
    settings->stops = 0.2;
    settings->late_departures = 0.003;
    settings->late_orders_end = true;
}

static bool begins_in_step(sim_world_t *world, double per_second)
{
    return sim_random_bool(world, per_second * FAULTS_INTERVAL_MS / 1000);
}

static uint32_t pick_node(sim_world_t *world)
{
    uint32_t index;

    if (sim_random_bool(world, 0.5)) { /* half of the faults concern a leader, if there is one */
        for (index = 0; index < CW_SIM_NODES; index++) {
            if (world->nodes[index].up && world->nodes[index].leadership.leading) {
                return index;
            }
        }
    }
    return (uint32_t)sim_random_below(world, CW_SIM_NODES);
}

static void heal(sim_world_t *world, void *data)
{
    sim_node_t *node = data;

    (void)world;
    node->cut_store = false;
    node->cut_nodes = false;
    node->cut_servers = 0;
}

static void cut(sim_world_t *world)
{
    sim_node_t *node = &world->nodes[pick_node(world)];

    node->cut_store = sim_random_bool(world, 0.5);
    node->cut_nodes = sim_random_bool(world, 0.5);
    node->cut_servers = (uint32_t)sim_random_below(world, 1u << CW_SIM_ADDRESSES);
    sim_trace(world, "n%u is cut off: store %d, nodes %d, servers %x", node->index, node->cut_store, node->cut_nodes,
              node->cut_servers);
    sim_schedule(world, world->now + CW_MS(500 + sim_random_below(world, 7000)), heal, node);
}

static void freeze(sim_world_t *world)
{
    cw_time_us_t until = world->now + CW_MS(200 + sim_random_below(world, 6000));
    sim_node_t  *node = &world->nodes[pick_node(world)];

    sim_node_freeze(node, until);
}

static void inject_list_faults(sim_world_t *world)
{
    if (begins_in_step(world, world->settings.list_stalls)) {
        sim_list_stall_copies(world);
    }
    if (begins_in_step(world, world->settings.lost_entries)) {
        sim_list_lose_entry(world);
    }
}

static void kill_all(sim_world_t *world)
{
    cw_time_us_t down = CW_MS(200 + sim_random_below(world, 2000));
    uint32_t     index;

    for (index = 0; index < CW_SIM_NODES; index++) {
        sim_node_kill(world, index, down);
    }
}

void sim_inject_faults(sim_world_t *world)
{
    const cw_sim_settings_t *settings = &world->settings;

    if (begins_in_step(world, settings->kills)) {
        sim_node_kill(world, pick_node(world), CW_MS(100 + sim_random_below(world, 4000)));
    }
    if (begins_in_step(world, settings->freezes)) {
        freeze(world);
    }
    if (begins_in_step(world, settings->outages)) {
        world->store_down_until = world->now + CW_MS(500 + sim_random_below(world, 6500));
    }
    if (settings->restores > 0 &&
        begins_in_step(world, settings->restores)) { /* else a seed's other faults stay as they were */
        sim_store_restore(world, CW_MS(100 + sim_random_below(world, 5000)), CW_MS(sim_random_below(world, 8000)));
    }
    if (begins_in_step(world, settings->crashes)) {
        sim_server_crash(world, (uint32_t)sim_random_below(world, CW_SIM_ADDRESSES));
    }
    if (begins_in_step(world, settings->cuts)) {
        cut(world);
    }
    if (begins_in_step(world, settings->all_node_kills)) {
        kill_all(world);
    }
    if (settings->lists_lag) {
        inject_list_faults(world);
    }
    if (settings->stops > 0 && begins_in_step(world, settings->stops)) {
        sim_stop_servers(world);
    }
}

/* ---- the run ---- */

static void on_tick(sim_world_t *world, void *data)
{
    sim_node_t *node = data;

    sim_node_tick(node);
    sim_schedule(world, world->now + CW_MS(TICK_INTERVAL_MS), on_tick, node);
}

static void on_faults(sim_world_t *world, void *data)
{
    (void)data;
    if (sim_has_faults(world)) {
        sim_inject_faults(world);
        sim_schedule(world, world->now + CW_MS(FAULTS_INTERVAL_MS), on_faults, NULL);
    }
}

static void on_request(sim_world_t *world, void *data)
{
    sim_node_t *node = &world->nodes[sim_random_below(world, CW_SIM_NODES)];

    (void)data;
    if (sim_node_runs(node)) {
        sim_send_request(world, node, (uint32_t)sim_random_below(world, CW_CELLS));
    }
    sim_schedule(world, world->now + CW_MS(REQUEST_INTERVAL_MS), on_request, NULL);
}

static void check_end(sim_world_t *world)
{
    cw_assignment_record_t record;
    uint32_t               cell;

    if (!cw_assignment_record_from_json(&record, world->record.value)) {
        sim_violation(world, "the record in the store is not whole");
    } else {
        cw_range_list_clear(&record.ranges);
    }
    world->result->served_at_end = true;
    for (cell = 0; cell < CW_CELLS; cell++) {
        if (world->served_at[cell] < world->settings.faults_end_at + CW_SECONDS(SETTLE_S)) {
            world->result->served_at_end = false;
        }
    }
}

static void clear(sim_world_t *world)
{
    uint32_t index;

    for (index = 0; index < CW_SIM_NODES; index++) {
        if (world->nodes[index].assigner != NULL) {
            cw_assigner_free(world->nodes[index].assigner);
        }
    }
    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        sim_socket_clear(&world->servers[index]);
    }
    sim_store_clear(world);
    sim_list_clear(world);
    free(world->events);
    free(world);
}

void cw_sim_run(const cw_sim_settings_t *settings, cw_sim_result_t *result)
{
    sim_world_t *world = calloc(1, sizeof(*world));
    uint32_t     index;

    if (world == NULL) {
        abort();
    }
    memset(result, 0, sizeof(*result));
    world->settings = *settings;
    world->result = result;
    world->random = settings->seed * 0x2545f4914f6cdd1du + 1;
    world->now = CW_SECONDS(1);
    world->settings.faults_end_at += world->now;
    sim_servers_start(world);
    for (index = 0; index < CW_SIM_NODES; index++) {
        sim_node_start(world, index);
        sim_schedule(world, world->now + (cw_time_us_t)sim_random_below(world, CW_MS(TICK_INTERVAL_MS)), on_tick,
                     &world->nodes[index]);
    }
    sim_store_copy(world, NULL);
    if (settings->lists_lag) {
        sim_list_record(world, NULL);
    }
    sim_schedule(world, world->now, sim_holds_check, NULL);
    sim_schedule(world, world->now + CW_SECONDS(3), on_faults, NULL);
    sim_schedule(world, world->now, on_request, NULL);
    while (world->now < CW_SECONDS(1) + settings->length && sim_step(world)) {
    }
    check_end(world);
    clear(world);
}
