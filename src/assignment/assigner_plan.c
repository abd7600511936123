/**
 * @file assigner_plan.c
 * @brief Builds a plan: a changed copy of the record, which is then submitted to be written.
 */
#include "assignment/assigner_internal.h"

#include <stdio.h>
#include <string.h>

static void open_plan(cw_assigner_t *assigner)
{
    if (assigner->plan.ranges.count > 0) {
        return;
    }
    cw_range_list_copy(&assigner->plan.ranges, &assigner->record.ranges);
    assigner->plan.last_fence = assigner->record.last_fence;
}

void cw_assigner_begin_write(cw_assigner_t *assigner)
{
    assigner->writing = true;
    assigner->write_due = true;
    assigner->plan.term = assigner->term;
    assigner->plan.writer = assigner->incarnation;
    assigner->plan.write = ++assigner->last_write;
    assigner->stale_since = 0;
}

static void set_owner(cw_assigner_t *assigner, cw_range_t *range, const char *id, const char *address)
{
    snprintf(range->owner.id, sizeof(range->owner.id), "%s", id);
    snprintf(range->owner.address, sizeof(range->owner.address), "%s", address);
    range->owner.fence = ++assigner->plan.last_fence;
}

void cw_assigner_plan_first(cw_assigner_t *assigner, const cw_server_entry_t *const *servers, size_t count,
                            cw_time_us_t now)
{
    size_t index;

    if (assigner->state != CW_ASSIGNER_EMPTY || assigner->writing || count == 0) {
        return;
    }
    assigner->now = now;
    assigner->plan.ranges.count = 0;
    for (index = 0; index < count; index++) {
        cw_range_t *range = cw_range_list_add(&assigner->plan.ranges);

        range->low = (uint32_t)(index * (CW_KEY_LAST + 1) / count);
        range->last = (uint32_t)((index + 1) * (CW_KEY_LAST + 1) / count - 1);
        set_owner(assigner, range, servers[index]->id, servers[index]->address);
    }
    cw_assigner_begin_write(assigner);
}

/* Before the owner changes to `to`: sets the holder that may still hold the keys, and clears the handover. A later
 * incarnation of the owner itself needs no release: it is the only process that the owner's grants can reach. */
static void set_former(cw_range_t *range, const char *to)
{
    if (range->former.id[0] != '\0') {
        return; /* the previous move is not finished: the same former holder still has to release the range, and the
                   owner holds nothing (cw_assigner_may_move) */
    }
    if (range->owner_ended || range->hold_until == 0 || cw_server_id_succeeds(to, range->owner.id)) {
        return;
    }
    range->former = range->owner;
    range->handover[0] = '\0';
}

bool cw_assigner_may_move(const cw_range_t *range, cw_time_us_t now)
{
    return range->former.id[0] == '\0' || range->owner_ended || range->hold_until <= now;
}

bool cw_assigner_plan_move(cw_assigner_t *assigner, uint32_t low, uint32_t last, const cw_server_entry_t *to)
{
    cw_range_t *range;
    size_t      index;

    if (!cw_assigner_may_move(cw_range_list_find(&assigner->record.ranges, low), assigner->now)) {
        return false;
    }
    open_plan(assigner);
    range = cw_range_list_find(&assigner->plan.ranges, low);
    index = (size_t)(range - assigner->plan.ranges.items);
    if (cw_range_list_split(&assigner->plan.ranges, index, low)) {
        index++;
    }
    (void)cw_range_list_split(&assigner->plan.ranges, index, last + 1); /* false: the range ends there already */
    range = &assigner->plan.ranges.items[index];
    set_former(range, to->id);
    range->keeps_serving = false;
    set_owner(assigner, range, to->id, to->address);
    return true;
}

bool cw_assigner_plan_merge(cw_assigner_t *assigner, uint32_t low)
{
    cw_range_t *left;
    cw_range_t *right;
    size_t      index;

    open_plan(assigner);
    left = cw_range_list_find(&assigner->plan.ranges, low);
    index = (size_t)(left - assigner->plan.ranges.items);
    if (index + 1 >= assigner->plan.ranges.count) {
        return false;
    }
    right = left + 1;
    if (strcmp(left->owner.id, right->owner.id) != 0 || left->phase != CW_RANGE_HELD || right->phase != CW_RANGE_HELD ||
        left->former.id[0] != '\0' || right->former.id[0] != '\0') {
        return false;
    }
    left->last = right->last;
    cw_assigner_extend_hold(left, left->hold_order, right->hold_until);
    memmove(right, right + 1, (assigner->plan.ranges.count - index - 2) * sizeof(*right));
    assigner->plan.ranges.count--;
    left->owner.fence = ++assigner->plan.last_fence;
    left->keeps_serving = true;
    left->handover[0] = '\0';
    return true;
}

/* The owner stays and gets a fence above all others: it has seen a higher fence than its own, or may have restarted. */
void cw_assigner_plan_new_fence(cw_assigner_t *assigner, const cw_range_t *range)
{
    cw_range_t *planned;

    open_plan(assigner);
    planned = cw_range_list_find(&assigner->plan.ranges, range->low);
    planned->owner.fence = ++assigner->plan.last_fence;
    planned->keeps_serving = range->needs_fence && (range->phase == CW_RANGE_HELD || range->keeps_serving);
}

void cw_assigner_plan_rewrite(cw_assigner_t *assigner)
{
    open_plan(assigner);
}

void cw_assigner_plan_write(cw_assigner_t *assigner, cw_time_us_t now)
{
    assigner->now = now;
    if (assigner->state != CW_ASSIGNER_READY || assigner->writing || assigner->plan.ranges.count == 0) {
        return;
    }
    cw_assigner_begin_write(assigner);
}
