/**
 * @file leader.c
 * @brief What the leader of the control group does for the service: takes
 * reports of load, asks the planner at its pace, and carries out its moves with
 * the delays that the protocol has.
 */
#include <math.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "world.h"

enum { LOAD_REPORT_US = 5 * CW_US_PER_S, TICK_WAIT_MS = 25 };

static const double LOAD_CHANGE_SHARE = 0.1;
static const double LOAD_CHANGE_LEAST = 0.1;
static const double GRANT_HOPS = 6.0;  /* log round trip, order, answer, new route */
static const double REVOKE_HOPS = 5.0; /* log round trip, order, answer */

/* ---- reports ---- */

static void tell(bench_range_t *range, cw_time_us_t now)
{
    const cw_hot_key_t *key;
    size_t              position;

    cw_placement_load_tell(&range->known, range->load.requests_per_second, now);
    range->reported = true;
    range->hot_load = 0;
    for (position = 0; position < range->load.key_count; position++) {
        key = &range->load.keys[position];
        if (key->count - key->error > range->hot_load) {
            range->hot_key = key->key_hash;
            range->hot_load = key->count - key->error;
        }
    }
}

void bench_report_loads(bench_world_t *world)
{
    bench_range_t *range;
    double         change;
    size_t         position;

    for (position = 0; position < world->range_count; position++) {
        range = &world->ranges[position];
        if (range->owner == BENCH_NO_OWNER || !world->servers[range->owner].up) {
            continue;
        }
        cw_range_load_decay(&range->load, world->now);
        change = fabs(range->load.requests_per_second - range->known.told);
        if (!range->reported || world->now - range->known.told_us >= LOAD_REPORT_US ||
            (change > LOAD_CHANGE_LEAST && change > LOAD_CHANGE_SHARE * range->known.told)) {
            tell(range, world->now);
        }
    }
}

/* ---- placement ---- */

typedef struct pass {
    cw_placement_server_t servers[BENCH_SERVERS_MAX];
    cw_placement_range_t *items;
    cw_placement_input_t  input;
    size_t                moving;
    size_t                unplaced;
} pass_t;

static void fill_item(const bench_world_t *world, const bench_range_t *range, cw_placement_range_t *item, pass_t *pass)
{
    *item = (cw_placement_range_t){.id = range->id, .low = range->low, .last = range->last};
    item->load = cw_placement_load_at(&range->known, world->now);
    item->hot_key = range->hot_key;
    item->hot_load = range->hot_load;
    if (range->owner == BENCH_NO_OWNER || bench_server_lost(world, range->owner)) {
        pass->unplaced++;
        return;
    }
    item->server = world->servers[range->owner].id;
    if (range->ready_us > world->now) {
        item->pinned = true;
        pass->moving++;
    } else if (!world->servers[range->owner].up) {
        item->pinned = true;
    }
    if (world->planner->asks_servers && (int)range->owner == world->scenario->lying_server) {
        item->load = 0;
    }
}

static int pass_init(pass_t *pass, const bench_world_t *world)
{
    size_t position;

    *pass = (pass_t){.items = calloc(world->range_count, sizeof(*pass->items))};
    if (pass->items == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < world->deployment->servers; position++) {
        pass->servers[position].id = world->servers[position].id;
        pass->servers[position].zone = world->servers[position].zone;
        pass->servers[position].usable = bench_server_usable(world, position);
        pass->servers[position].unsteady = cw_placement_is_unsteady(&world->servers[position].losses, world->now);
    }
    for (position = 0; position < world->range_count; position++) {
        fill_item(world, &world->ranges[position], &pass->items[position], pass);
    }
    pass->input.service = &world->service;
    pass->input.unsettled = world->left_us > 0 && world->now - world->left_us < CW_PLACEMENT_SETTLE_US;
    pass->input.servers = pass->servers;
    pass->input.server_count = world->deployment->servers;
    pass->input.ranges = pass->items;
    pass->input.range_count = world->range_count;
    return CW_OK;
}

static size_t server_by_id(const bench_world_t *world, cw_server_id_t id)
{
    size_t server = 0;

    while (world->servers[server].id != id) {
        server++;
    }
    return server;
}

static cw_time_us_t grant_us(const bench_world_t *world)
{
    double delay_ms = GRANT_HOPS * world->deployment->zone_delay_ms + TICK_WAIT_MS;

    return (cw_time_us_t)(delay_ms * CW_US_PER_MS);
}

/* Requests under way end first. */
static cw_time_us_t drain_us(const bench_world_t *world, size_t server)
{
    cw_time_us_t last_us = world->now;
    size_t       slot;

    for (slot = 0; slot < world->deployment->slots; slot++) {
        if (world->servers[server].slot_free_us[slot] > last_us) {
            last_us = world->servers[server].slot_free_us[slot];
        }
    }
    return last_us - world->now;
}

static void make_move(bench_world_t *world, pass_t *pass, const cw_placement_move_t *move)
{
    const cw_placement_range_t *item = &pass->items[move->range];
    size_t                      bound = move->forced ? CW_PLACEMENT_DRAIN_MOVES : CW_PLACEMENT_BALANCE_MOVES;
    cw_time_us_t                outage_us = grant_us(world);

    if (item->server != 0) {
        if (world->planner->bounds_moves && pass->moving >= bound) {
            return;
        }
        outage_us += (cw_time_us_t)(REVOKE_HOPS * world->deployment->zone_delay_ms * CW_US_PER_MS) +
                     drain_us(world, world->ranges[move->range].owner);
        pass->moving++;
    }
    bench_give(world, move->range, server_by_id(world, move->to), outage_us);
}

static int make_moves(bench_world_t *world, pass_t *pass, bool balance)
{
    cw_placement_result_t result;
    size_t                position;
    int                   error;

    if (balance && pass->moving < CW_PLACEMENT_BALANCE_MOVES) {
        pass->input.moves_allowed = CW_PLACEMENT_BALANCE_MOVES - pass->moving;
    }
    error = world->planner->plan(&pass->input, &result);
    if (error != CW_OK) {
        return error;
    }
    for (position = 0; position < result.move_count; position++) {
        make_move(world, pass, &result.moves[position]);
    }
    if (balance) {
        world->rebalance_us =
            world->now + (result.move_count > 0 ? world->planner->move_pause_us : CW_PLACEMENT_IDLE_PAUSE_US);
    }
    cw_placement_result_clear(&result);
    return CW_OK;
}

/* Each part gets a new fence from the same server. */
static void split(bench_world_t *world, const pass_t *pass, size_t range)
{
    size_t owner = world->ranges[range].owner;
    size_t parts = bench_split(world, range, pass->items[range].hot_key);
    size_t position;

    for (position = range; position < range + parts; position++) {
        bench_give(world, position, owner, grant_us(world));
    }
}

static void merge(bench_world_t *world, pass_t *pass, const cw_placement_merge_t *step)
{
    cw_placement_move_t move = {.range = step->moved, .to = step->to};

    if (step->move_first) {
        make_move(world, pass, &move);
        return;
    }
    bench_merge(world, step->left);
    bench_give(world, step->left, world->ranges[step->left].owner, grant_us(world));
}

static bool reshape(bench_world_t *world, pass_t *pass)
{
    cw_placement_merge_t step;
    size_t               range;

    if (world->planner->split != NULL && world->planner->split(&pass->input, &range)) {
        if (world->now >= world->split_us) {
            split(world, pass, range);
            world->split_us = world->now + world->planner->split_pause_us;
        }
        return true;
    }
    if (world->planner->merge != NULL && world->planner->merge(&pass->input, &step)) {
        merge(world, pass, &step);
        return true;
    }
    return false;
}

int bench_place(bench_world_t *world)
{
    bool   balance = world->now >= world->rebalance_us;
    pass_t pass;
    int    error;

    if (pass_init(&pass, world) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    if (balance && reshape(world, &pass)) {
        world->rebalance_us = world->now + world->planner->shape_pause_us;
        error = CW_OK;
    } else {
        error = make_moves(world, &pass, balance);
    }
    free(pass.items);
    return error;
}
