/**
 * @file raft_apply.c
 * @brief Applies committed entries in order, drops old ones and prepares snapshots for members that need one.
 *
 * Nothing is written to disk, so compaction only drops entries; a snapshot of the applied state is saved when a
 * member needs one, and used again while the log still continues it.
 */
#include <stdlib.h>
#include <string.h>

#include "core/raft_internal.h"

static void compact(cw_raft_t *raft)
{
    uint64_t held = raft->applied_index - raft->log.base_index;

    if (raft->compact_after == 0 || held < 2 * (uint64_t)raft->compact_after) {
        return;
    }
    /* Without memory for it, the log stays longer until the next time. */
    (void)raft_log_compact(&raft->log, raft->applied_index - raft->compact_after);
}

/* A leader that was removed keeps its role until the removal is committed. */
static void step_down_when_removed(cw_raft_t *raft, cw_time_us_t now)
{
    if (raft->role != CW_RAFT_LEADER || raft_is_voter(raft) || raft->membership_index > raft->commit_index) {
        return;
    }
    raft_broadcast(raft, now);
    raft_become_follower(raft, raft->term, 0, now);
}

void raft_apply_committed(cw_raft_t *raft, cw_time_us_t now)
{
    if (raft->applying) {
        return; /* a callback proposed and its entry is committed already: the loop below goes on to it */
    }
    raft->applying = true;
    while (raft->applied_index < raft->commit_index) {
        const Cw__LogEntry *entry = raft_log_entry(&raft->log, raft->applied_index + 1);

        raft->applied_index++;
        raft->callbacks.apply(raft->callbacks.context, entry);
    }
    raft->applying = false;
    compact(raft);
    step_down_when_removed(raft, now);
}

void raft_snapshot_clear(raft_snapshot_t *snapshot)
{
    free(snapshot->data);
    if (snapshot->membership != NULL) {
        cw__membership__free_unpacked(snapshot->membership, NULL);
    }
    memset(snapshot, 0, sizeof(*snapshot));
}

int raft_snapshot_refresh(cw_raft_t *raft)
{
    raft_snapshot_t *snapshot = &raft->snapshot;
    int              error;

    if (snapshot->index != 0 && snapshot->index >= raft->log.base_index) {
        return CW_OK;
    }
    if (raft->applying) {
        return CW_ERROR_UNAVAILABLE; /* the state is between two entries */
    }
    raft_snapshot_clear(snapshot);
    snapshot->membership = raft_log_membership(&raft->log, raft->applied_index);
    if (snapshot->membership == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    error = raft->callbacks.snapshot_save(raft->callbacks.context, &snapshot->data, &snapshot->length);
    if (error != CW_OK) {
        raft_snapshot_clear(snapshot);
        return error;
    }
    snapshot->index = raft->applied_index;
    snapshot->term = raft_log_term(&raft->log, raft->applied_index);
    return CW_OK;
}
