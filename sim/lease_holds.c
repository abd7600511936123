/**
 * @file lease_holds.c
 * @brief Check that no two servers hold the same cell for more than half a second, with or without requests.
 *
 * Only grants count that a leader must take into account in full. Not among them: grants that are carried out seconds
 * after they were sent, which only fences and tables guard against, and grants that arrive within 0.3 s after their
 * sender stood still. Between grants that count, a hold may begin somewhat before the other one ends: a grant may leave
 * some 0.3 s after the leader decided to send it.
 */
#include <string.h>

#include "lease_internal.h"

enum { CHECK_INTERVAL_MS = 10, OVERLAP_MAX_MS = 500 };

void sim_hold_extend(const sim_world_t *world, sim_cell_t *cell, cw_time_us_t until)
{
    if (cell->counted_until <= world->now) {
        cell->counted_since = world->now;
    }
    cell->counted_until = until;
}

static void check_pair(sim_world_t *world, uint32_t cell, const sim_server_t *left, const sim_server_t *right)
{
    const sim_cell_t *one = &left->cells[cell];
    const sim_cell_t *other = &right->cells[cell];
    cw_time_us_t      since = one->counted_since > other->counted_since ? one->counted_since : other->counted_since;

    if (world->now - since > world->result->longest_overlap) {
        world->result->longest_overlap = world->now - since;
    }
    if (world->now - since > CW_MS(OVERLAP_MAX_MS) && world->overlap_reported[cell] != since) {
        world->overlap_reported[cell] = since;
        sim_violation(world, "at %.3f s cell %u is held twice since %.3f s: by %s (fence %llu) and %s (fence %llu)",
                      (double)world->now / 1e6, cell, (double)since / 1e6, left->id,
                      (unsigned long long)one->granted_fence, right->id, (unsigned long long)other->granted_fence);
    }
}

static bool holds(const sim_world_t *world, const sim_server_t *server, uint32_t cell)
{
    return server->up && server->cells[cell].counted_until > world->now;
}

static void check_cell(sim_world_t *world, uint32_t cell)
{
    uint32_t left;
    uint32_t right;

    for (left = 0; left < CW_SIM_ADDRESSES; left++) {
        for (right = left + 1; holds(world, &world->servers[left], cell) && right < CW_SIM_ADDRESSES; right++) {
            if (holds(world, &world->servers[right], cell)) {
                check_pair(world, cell, &world->servers[left], &world->servers[right]);
            }
        }
    }
}

void sim_holds_check(sim_world_t *world, void *data)
{
    uint32_t cell;

    (void)data;
    for (cell = 0; cell < CW_CELLS; cell++) {
        check_cell(world, cell);
    }
    sim_schedule(world, world->now + CW_MS(CHECK_INTERVAL_MS), sim_holds_check, NULL);
}
