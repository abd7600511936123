/**
 * @file raft_follower.c
 * @brief Raft's receiving side: append and snapshot requests of the leader.
 *
 * An entry that conflicts with the leader's (same index, other term) is removed with all that follow it. A refusal
 * carries the index and term of the last entry that may still match. Both answers echo the request's quorum round.
 */
#include "cedarwinch/intent.h"
#include "core/raft_internal.h"

static void send_append_response(const cw_raft_t *raft, const Cw__RaftMessage *request,
                                 const Cw__AppendResponse *response)
{
    Cw__RaftMessage message;

    raft_message_init(raft, &message, request->from, raft->term);
    message.body_case = CW__RAFT_MESSAGE__BODY_APPEND_RESPONSE;
    message.append_response = (Cw__AppendResponse *)response;
    raft->callbacks.send(raft->callbacks.context, request->from_node, &message);
}

void raft_refuse_old_term(cw_raft_t *raft, const Cw__RaftMessage *message)
{
    Cw__AppendResponse response = CW__APPEND_RESPONSE__INIT;

    send_append_response(raft, message, &response);
}

static void leader_heard(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    if (raft->role == CW_RAFT_CANDIDATE || raft->leader != message->from) {
        raft_become_follower(raft, raft->term, message->from, now);
    } else {
        raft_reset_election_timer(raft, now);
    }
    raft->leader_heard_us = now;
}

static void set_conflict_hint(const cw_raft_t *raft, const Cw__AppendRequest *request, Cw__AppendResponse *response)
{
    uint64_t hint = raft_log_find_term(&raft->log, request->previous_index, request->previous_term);

    if (hint < raft->commit_index) {
        hint = raft->commit_index;
    }
    response->match_index = hint;
    response->refused_index = request->previous_index;
    response->hint_term = raft_log_term(&raft->log, hint);
}

static bool entries_are_contiguous(const Cw__AppendRequest *request)
{
    size_t position;

    for (position = 0; position < request->n_entries; position++) {
        if (request->entries[position]->index != request->previous_index + 1 + position) {
            return false;
        }
    }
    return true;
}

/* Returns the position of the first entry that this log does not hold. */
static size_t skip_known_entries(const cw_raft_t *raft, const Cw__AppendRequest *request)
{
    size_t position = 0;

    while (position < request->n_entries) {
        const Cw__LogEntry *entry = request->entries[position];
        const Cw__LogEntry *held = raft_log_entry(&raft->log, entry->index);

        if (held == NULL || held->term != entry->term) {
            return position;
        }
        position++;
    }
    return position;
}

static int store_entries(cw_raft_t *raft, const Cw__AppendRequest *request)
{
    size_t position = skip_known_entries(raft, request);
    bool   membership_changes;
    int    error = CW_OK;

    if (position == request->n_entries) {
        return CW_OK;
    }
    if (request->entries[position]->index <= raft->commit_index) {
        return CW_ERROR_CONFLICT;
    }
    membership_changes = request->entries[position]->index <= raft->membership_index;
    raft_log_truncate(&raft->log, request->entries[position]->index - 1);
    while (position < request->n_entries && error == CW_OK) {
        const Cw__LogEntry *entry = request->entries[position];

        error = raft_log_append(&raft->log, entry->term, entry->kind, entry->data.data, entry->data.len);
        membership_changes = membership_changes || entry->kind == CW__LOG_ENTRY_KIND__ENTRY_MEMBERSHIP;
        position++;
    }
    if (membership_changes) {
        int reload_error = raft_membership_reload(raft);

        error = error == CW_OK ? reload_error : error;
    }
    return error;
}

void raft_append_request_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    const Cw__AppendRequest *request = message->append_request;
    Cw__AppendResponse       response = CW__APPEND_RESPONSE__INIT;
    uint64_t                 match = request->previous_index + request->n_entries;

    if (raft->role == CW_RAFT_LEADER || !entries_are_contiguous(request)) {
        return;
    }
    leader_heard(raft, message, now);
    response.round = request->round;
    if (request->previous_index < raft->commit_index) {
        response.success = true;
        response.match_index = raft->commit_index;
        send_append_response(raft, message, &response);
        return;
    }
    if (request->previous_index > raft_log_last_index(&raft->log) ||
        raft_log_term(&raft->log, request->previous_index) != request->previous_term) {
        set_conflict_hint(raft, request, &response);
        send_append_response(raft, message, &response);
        return;
    }
    if (store_entries(raft, request) != CW_OK) {
        return;
    }
    response.success = true;
    response.match_index = match;
    send_append_response(raft, message, &response);
    if (request->commit_index > raft->commit_index && match > raft->commit_index) {
        raft->commit_index = request->commit_index < match ? request->commit_index : match;
        raft_apply_committed(raft, now);
    }
}

static void send_snapshot_response(const cw_raft_t *raft, const Cw__RaftMessage *request)
{
    Cw__RaftMessage      message;
    Cw__SnapshotResponse response = CW__SNAPSHOT_RESPONSE__INIT;

    raft_message_init(raft, &message, request->from, raft->term);
    response.last_index = raft->commit_index;
    response.round = request->snapshot_request->round;
    message.body_case = CW__RAFT_MESSAGE__BODY_SNAPSHOT_RESPONSE;
    message.snapshot_response = &response;
    raft->callbacks.send(raft->callbacks.context, request->from_node, &message);
}

static int install_snapshot(cw_raft_t *raft, const Cw__SnapshotRequest *request)
{
    Cw__Membership *membership;
    int             error;

    if (request->membership == NULL) {
        return CW_ERROR_INVALID;
    }
    membership = (Cw__Membership *)cw_message_copy(&request->membership->base);
    if (membership == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    error = raft->callbacks.snapshot_load(raft->callbacks.context, request->data.data, request->data.len,
                                          request->last_index);
    if (error != CW_OK) {
        cw__membership__free_unpacked(membership, NULL);
        return error;
    }
    raft_log_reset(&raft->log, request->last_index, request->last_term, membership);
    raft_snapshot_clear(&raft->snapshot);
    raft->commit_index = request->last_index;
    raft->applied_index = request->last_index;
    return raft_membership_reload(raft);
}

void raft_snapshot_request_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    const Cw__SnapshotRequest *request = message->snapshot_request;
    int                        error = CW_OK;

    if (raft->role == CW_RAFT_LEADER) {
        return;
    }
    leader_heard(raft, message, now);
    if (request->last_index > raft->commit_index) {
        if (raft_log_entry(&raft->log, request->last_index) != NULL &&
            raft_log_term(&raft->log, request->last_index) == request->last_term) {
            raft->commit_index = request->last_index;
            raft_apply_committed(raft, now);
        } else {
            error = install_snapshot(raft, request);
        }
    }
    if (error == CW_OK) {
        send_snapshot_response(raft, message);
    }
}
