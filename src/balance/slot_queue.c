/**
 * @file slot_queue.c
 * @brief Queue of asks for slots, ordered by priority, then by their tenants' turns, then by objective.
 */
#include <utlist.h>

#include "balance/slot_broker_internal.h"

static cw_turn_group_t group_of(const cw_slot_lease_t *lease)
{
    return cw_fair_turns_group(lease->ask.service, lease->ask.priority);
}

static int compare_leases(const cw_slot_lease_t *left, const cw_slot_lease_t *right)
{
    if (left->ask.priority != right->ask.priority) {
        return left->ask.priority < right->ask.priority ? -1 : 1;
    }
    if (left->turn != right->turn) {
        return left->turn < right->turn ? -1 : 1;
    }
    return left->objective_at < right->objective_at ? -1 : left->objective_at > right->objective_at;
}

/* Order for inserting a new ask: behind those that are equal to it. */
static int compare_with_added(const cw_slot_lease_t *waiting, const cw_slot_lease_t *added)
{
    return compare_leases(waiting, added) <= 0 ? -1 : 1;
}

/* True if a waiting ask is for the same slots as `lease`. */
static bool competes(const cw_slot_lease_t *waiting, const cw_slot_lease_t *lease)
{
    return lease->ask.server != 0 ? waiting->ask.server == lease->ask.server
                                  : waiting->ask.server == 0 && waiting->ask.service == lease->ask.service;
}

void cw_slot_queue_assign_turn(const cw_slot_broker_t *broker, cw_slot_lease_t *lease)
{
    lease->turn = cw_fair_turns_next(broker->turns, group_of(lease), lease->ask.tenant);
}

uint32_t cw_slot_queue_ahead(const cw_slot_broker_t *broker, const cw_slot_lease_t *lease)
{
    const cw_slot_lease_t *waiting;
    uint32_t               ahead = 0;

    DL_FOREACH(broker->queue, waiting)
    {
        if (compare_leases(waiting, lease) > 0) {
            break;
        }
        ahead += competes(waiting, lease) ? 1 : 0;
    }
    return ahead;
}

void cw_slot_queue_join(cw_slot_broker_t *broker, cw_slot_lease_t *lease)
{
    DL_INSERT_INORDER(broker->queue, lease, compare_with_added);
    broker->waiting++;
    cw_fair_turns_wait(broker->turns, group_of(lease), lease->ask.tenant, lease->turn);
}

void cw_slot_queue_serve(cw_slot_broker_t *broker, cw_slot_lease_t *lease)
{
    DL_DELETE(broker->queue, lease);
    broker->waiting--;
    cw_fair_turns_serve(broker->turns, group_of(lease), lease->ask.tenant, lease->turn);
}

void cw_slot_queue_leave(cw_slot_broker_t *broker, cw_slot_lease_t *lease)
{
    DL_DELETE(broker->queue, lease);
    broker->waiting--;
    cw_fair_turns_leave(broker->turns, group_of(lease), lease->ask.tenant);
}
