/**
 * @file raft_leader.c
 * @brief Raft leader: opening a term, heartbeats, check-quorum, answers of members and commit.
 */
#include "core/raft_internal.h"

static void reset_members(cw_raft_t *raft)
{
    size_t index;

    for (index = 0; index < raft->member_count; index++) {
        raft_member_t *member = &raft->members[index];

        member->progress = RAFT_PROGRESS_PROBE;
        member->probe_sent = false;
        member->next_index = raft_log_last_index(&raft->log) + 1;
        member->match_index = 0;
        member->round = 0;
        member->heard_us = 0;
    }
}

void raft_become_leader(cw_raft_t *raft, cw_time_us_t now)
{
    raft->leader = raft->incarnation;
    raft->leader_since_us = now;
    raft->heartbeat_deadline_us = now + raft->heartbeat_us;
    raft->transfer_target = 0;
    raft->round_wanted = false;
    raft->round_confirmed = 0;
    reset_members(raft);
    if (raft_log_append(&raft->log, raft->term, CW__LOG_ENTRY_KIND__ENTRY_NOOP, NULL, 0) != CW_OK) {
        raft_become_follower(raft, raft->term, 0, now);
        return;
    }
    raft->opening_index = raft_log_last_index(&raft->log);
    raft_set_role(raft, CW_RAFT_LEADER);
    raft_broadcast(raft, now);
    raft_advance_commit(raft, now);
}

static bool quorum_is_alive(const cw_raft_t *raft, cw_time_us_t now)
{
    size_t alive = 0;
    size_t index;

    for (index = 0; index < raft->member_count; index++) {
        const raft_member_t *member = &raft->members[index];
        cw_time_us_t         heard = member->heard_us;

        if (heard < raft->leader_since_us) {
            heard = raft->leader_since_us;
        }
        alive += member->voter && (member->incarnation == raft->incarnation || now - heard < raft->election_us);
    }
    return alive >= raft_majority(raft);
}

void raft_leader_tick(cw_raft_t *raft, cw_time_us_t now)
{
    if (now < raft->heartbeat_deadline_us) {
        return;
    }
    if (!quorum_is_alive(raft, now)) {
        raft_become_follower(raft, raft->term, 0, now);
        return;
    }
    raft->heartbeat_deadline_us = now + raft->heartbeat_us;
    raft_transfer_tick(raft, now);
    raft_broadcast(raft, now);
}

int raft_leader_append(cw_raft_t *raft, Cw__LogEntryKind kind, const uint8_t *data, size_t length, cw_time_us_t now)
{
    int    error = raft_log_append(&raft->log, raft->term, kind, data, length);
    size_t index;

    if (error == CW_OK && kind == CW__LOG_ENTRY_KIND__ENTRY_MEMBERSHIP) {
        error = raft_membership_reload(raft);
    }
    if (error != CW_OK) {
        return error;
    }
    for (index = 0; index < raft->member_count; index++) {
        raft_replicate(raft, &raft->members[index], false, now);
    }
    raft_advance_commit(raft, now);
    return CW_OK;
}

static uint64_t matched_index(const cw_raft_t *raft, const raft_member_t *member)
{
    return member->incarnation == raft->incarnation ? raft_log_last_index(&raft->log) : member->match_index;
}

void raft_advance_commit(cw_raft_t *raft, cw_time_us_t now)
{
    uint64_t index = raft_quorum_value(raft, matched_index);

    if (index <= raft->commit_index || raft_log_term(&raft->log, index) != raft->term) {
        return;
    }
    raft->commit_index = index;
    raft_apply_committed(raft, now);
    if (raft->role == CW_RAFT_LEADER) {
        raft_broadcast(raft, now);
    }
}

static void member_matched(cw_raft_t *raft, raft_member_t *member, uint64_t match)
{
    if (match > raft_log_last_index(&raft->log)) {
        return;
    }
    if (match > member->match_index) {
        member->match_index = match;
    }
    if (member->next_index <= member->match_index || member->progress == RAFT_PROGRESS_PROBE) {
        member->next_index = member->match_index + 1;
    }
    if (member->match_index >= raft->log.base_index) {
        member->progress = RAFT_PROGRESS_REPLICATE;
    }
}

/* Is this the answer to a request that no longer matters: overtaken by a match, or not the probe under way? Without
 * this check, requests that arrive out of order would multiply the probes. */
static bool refusal_is_stale(const raft_member_t *member, const Cw__AppendResponse *response)
{
    if (member->progress == RAFT_PROGRESS_SNAPSHOT || response->match_index < member->match_index) {
        return true;
    }
    if (member->progress == RAFT_PROGRESS_PROBE) {
        return response->refused_index + 1 != member->next_index;
    }
    return response->refused_index <= member->match_index;
}

/* Moves the probe to the last entry that may be common, found in this log by the term of the member's hint. */
static void member_refused(cw_raft_t *raft, raft_member_t *member, const Cw__AppendResponse *response)
{
    uint64_t common;

    if (refusal_is_stale(member, response)) {
        return;
    }
    if (response->match_index < raft->log.base_index) {
        common = response->match_index;
    } else {
        common = raft_log_find_term(&raft->log, response->match_index, response->hint_term);
    }
    if (common == raft->log.base_index && raft->log.base_term > response->hint_term) {
        common--; /* even the oldest entry here conflicts: only the snapshot helps */
    }
    member->next_index = common + 1;
    if (member->next_index <= member->match_index) {
        member->next_index = member->match_index + 1;
    }
    member->progress = RAFT_PROGRESS_PROBE;
    member->probe_sent = false;
}

static raft_member_t *member_heard(cw_raft_t *raft, const Cw__RaftMessage *message, uint64_t round, cw_time_us_t now)
{
    raft_member_t *member = raft_member_find(raft, message->from);

    if (raft->role != CW_RAFT_LEADER || member == NULL) {
        return NULL;
    }
    member->heard_us = now;
    if (round > member->round && round <= raft->round_sent) {
        member->round = round;
    }
    return member;
}

static void continue_with(cw_raft_t *raft, cw_incarnation_t incarnation, cw_time_us_t now)
{
    raft_member_t *member;

    raft_advance_commit(raft, now);
    if (raft->role != CW_RAFT_LEADER) {
        return;
    }
    raft_rounds_update(raft, now);
    member = raft_member_find(raft, incarnation);
    if (member == NULL) {
        return;
    }
    raft_replicate(raft, member, false, now);
    if (raft->transfer_target == incarnation) {
        raft_transfer_tick(raft, now);
    }
}

void raft_append_response_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    const Cw__AppendResponse *response = message->append_response;
    raft_member_t            *member = member_heard(raft, message, response->round, now);

    if (member == NULL) {
        return;
    }
    if (!response->success) {
        member_refused(raft, member, response);
    } else if (response->match_index > 0) {
        member_matched(raft, member, response->match_index);
    }
    continue_with(raft, message->from, now);
}

void raft_snapshot_response_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    raft_member_t *member = member_heard(raft, message, message->snapshot_response->round, now);

    if (member == NULL) {
        return;
    }
    member_matched(raft, member, message->snapshot_response->last_index);
    continue_with(raft, message->from, now);
}
