/**
 * @file assigner_commit.c
 * @brief Applies a written plan: each range either keeps its state, or its move or grant begins.
 */
#include "assignment/assigner_internal.h"

#include <string.h>

static const cw_range_t *source_of(const cw_assigner_t *assigner, const cw_range_t *planned)
{
    return cw_range_list_find(&assigner->record.ranges, planned->low);
}

/* Copies the leader's state of a range whose owner and fence the plan did not change. */
static void keep_state(const cw_assigner_t *assigner, cw_range_t *planned, const cw_range_t *source)
{
    uint32_t low = planned->low;
    uint32_t last = planned->last;

    *planned = *source;
    planned->low = low;
    planned->last = last;
    planned->awaits_answer = false;
    planned->orders = cw_assigner_orders_in_flight(assigner, planned); /* a part may have others than the whole */
}

/* Sets the state of a range whose owner or fence the plan changed. */
static void begin_move(const cw_assigner_t *assigner, cw_range_t *planned, const cw_range_t *source, cw_time_us_t now)
{
    bool same_owner = source != NULL && strcmp(source->owner.id, planned->owner.id) == 0;

    cw_assigner_set_planned_holds(assigner, planned, now);
    planned->confirmed_at = 0;
    planned->failing_since = same_owner ? source->failing_since : 0;
    planned->fence_used = false;
    planned->needs_fence = false;
    planned->awaits_answer = false;
    planned->owner_ended = false;
    planned->orders = 0;
    planned->next_order = now > assigner->first_grant_at ? now : assigner->first_grant_at;
    planned->moved_at = now;
    if (planned->former.id[0] == '\0') {
        planned->phase = CW_RANGE_GRANTING;
        return;
    }
    planned->phase = CW_RANGE_RELEASING;
    planned->keeps_serving = false;
}

/* Logs the change of a range's owner, with the end of the former holder's hold. */
static void log_move(const cw_assigner_t *assigner, const cw_range_t *planned, const cw_range_t *source)
{
    if (source == NULL || strcmp(source->owner.id, planned->owner.id) == 0) {
        return;
    }
    if (planned->former.id[0] != '\0') {
        cw_assigner_log(assigner, "move begun", planned, "the former holder has to release the keys");
    } else if (source->owner_ended) {
        cw_assigner_log(assigner, "move begun", planned, "another incarnation answers at the former owner's address");
    } else if (cw_server_id_succeeds(planned->owner.id, source->owner.id)) {
        cw_assigner_log(assigner, "move begun", planned, "to a later incarnation of the former owner");
    } else {
        cw_assigner_log(assigner, "move begun", planned, "the former owner was granted nothing");
    }
}

static void commit_change(cw_assigner_t *assigner, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < assigner->plan.ranges.count; index++) {
        cw_range_t       *planned = &assigner->plan.ranges.items[index];
        const cw_range_t *source = source_of(assigner, planned);

        if (source != NULL && source->owner.fence == planned->owner.fence) {
            keep_state(assigner, planned, source);
        } else {
            begin_move(assigner, planned, source, now);
            log_move(assigner, planned, source);
        }
    }
}

/* Sets the state of all ranges after an earlier leader's record was adopted. Only the record shows what that leader
 * did. It sent its last grant before this leader took the lock, so holds are counted from this leader's first tick with
 * authority; the time that the write of the record took does not lengthen them. */
static void commit_adoption(cw_assigner_t *assigner, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < assigner->plan.ranges.count; index++) {
        cw_range_t  *range = &assigner->plan.ranges.items[index];
        cw_time_us_t until = cw_assigner_earlier_holds_end(assigner);

        range->next_order = now;
        range->fence_used = true;
        range->needs_fence = cw_server_id_start_ms(range->owner.id) != 0;
        range->hold_until = until;
        range->former_until = until;
        if (range->former.id[0] != '\0') {
            range->phase = CW_RANGE_RELEASING;
        } else {
            range->phase = CW_RANGE_GRANTING;
            range->keeps_serving = true;
        }
    }
}

void cw_assigner_commit(cw_assigner_t *assigner, uint64_t revision, cw_time_us_t now)
{
    cw_assignment_record_t written = assigner->plan;

    if (assigner->adopting) {
        commit_adoption(assigner, now);
    } else {
        commit_change(assigner, now);
    }
    written.ranges = assigner->plan.ranges;
    cw_range_list_clear(&assigner->record.ranges);
    assigner->record = written;
    memset(&assigner->plan, 0, sizeof(assigner->plan));
    assigner->revision = revision;
    assigner->writing = false;
    assigner->adopting = false;
    assigner->state = CW_ASSIGNER_READY;
    assigner->ports.on_change(assigner->ports.context);
}
