/**
 * @file raft_send.c
 * @brief Raft's sending side: what the leader sends to one member, by its progress.
 */
#include "core/raft_internal.h"

static void send_append(const cw_raft_t *raft, const raft_member_t *member, uint64_t previous, size_t count)
{
    Cw__RaftMessage   message;
    Cw__AppendRequest request = CW__APPEND_REQUEST__INIT;
    Cw__LogEntry     *entries[RAFT_APPEND_ENTRIES_MAX];
    size_t            position;

    for (position = 0; position < count; position++) {
        entries[position] = raft_log_entry(&raft->log, previous + 1 + position);
    }
    raft_message_init(raft, &message, member->incarnation, raft->term);
    request.previous_index = previous;
    request.previous_term = raft_log_term(&raft->log, previous);
    request.commit_index = raft->commit_index;
    request.round = raft->round_sent;
    request.n_entries = count;
    request.entries = entries;
    message.body_case = CW__RAFT_MESSAGE__BODY_APPEND_REQUEST;
    message.append_request = &request;
    raft->callbacks.send(raft->callbacks.context, member->node, &message);
}

/* Keeps a member that waits for a snapshot in touch: index 0 precedes every log. */
static void send_heartbeat_only(const cw_raft_t *raft, const raft_member_t *member)
{
    send_append(raft, member, 0, 0);
}

static void send_snapshot(cw_raft_t *raft, raft_member_t *member, cw_time_us_t now)
{
    Cw__RaftMessage     message;
    Cw__SnapshotRequest request = CW__SNAPSHOT_REQUEST__INIT;

    if (raft_snapshot_refresh(raft) != CW_OK) {
        return;
    }
    member->progress = RAFT_PROGRESS_SNAPSHOT;
    member->snapshot_sent_us = now;
    raft_message_init(raft, &message, member->incarnation, raft->term);
    request.last_index = raft->snapshot.index;
    request.last_term = raft->snapshot.term;
    request.membership = raft->snapshot.membership;
    request.data.data = raft->snapshot.data;
    request.data.len = raft->snapshot.length;
    request.round = raft->round_sent;
    message.body_case = CW__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST;
    message.snapshot_request = &request;
    raft->callbacks.send(raft->callbacks.context, member->node, &message);
}

/* Entries for one request: as many as fit, at least one when there is any. */
static size_t batch_size(const cw_raft_t *raft, uint64_t first)
{
    size_t   count = 0;
    size_t   bytes = 0;
    uint64_t last = raft_log_last_index(&raft->log);

    while (first + count <= last && count < RAFT_APPEND_ENTRIES_MAX) {
        bytes += raft_log_entry(&raft->log, first + count)->data.len;
        if (count > 0 && bytes > RAFT_APPEND_BYTES_MAX) {
            break;
        }
        count++;
    }
    return count;
}

static bool send_ahead(cw_raft_t *raft, raft_member_t *member)
{
    bool sent = false;

    while (member->next_index <= raft_log_last_index(&raft->log) &&
           member->next_index <= member->match_index + RAFT_APPEND_WINDOW) {
        size_t count = batch_size(raft, member->next_index);

        send_append(raft, member, member->next_index - 1, count);
        member->next_index += count;
        sent = true;
    }
    return sent;
}

static void send_probe(cw_raft_t *raft, raft_member_t *member, bool send_empty)
{
    if (member->probe_sent && !send_empty) {
        return;
    }
    member->probe_sent = true;
    send_append(raft, member, member->next_index - 1, batch_size(raft, member->next_index));
}

void raft_replicate(cw_raft_t *raft, raft_member_t *member, bool send_empty, cw_time_us_t now)
{
    if (member->incarnation == raft->incarnation) {
        return;
    }
    if (member->progress == RAFT_PROGRESS_SNAPSHOT) {
        if (now - member->snapshot_sent_us >= raft->election_us) {
            send_snapshot(raft, member, now);
        } else if (send_empty) {
            send_heartbeat_only(raft, member);
        }
        return;
    }
    if (member->next_index <= raft->log.base_index) {
        send_snapshot(raft, member, now);
        return;
    }
    if (member->progress == RAFT_PROGRESS_PROBE) {
        send_probe(raft, member, send_empty);
        return;
    }
    if (!send_ahead(raft, member) && send_empty) {
        send_append(raft, member, member->next_index - 1, 0);
    }
}

void raft_broadcast(cw_raft_t *raft, cw_time_us_t now)
{
    size_t index;

    if (raft->round_wanted) {
        raft->round_wanted = false;
        raft->round_sent++;
    }
    for (index = 0; index < raft->member_count; index++) {
        raft_replicate(raft, &raft->members[index], true, now);
    }
    raft_rounds_confirm(raft);
}
