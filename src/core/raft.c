/**
 * @file raft.c
 * @brief Replicated log kept in memory: creation, message dispatch and read access.
 *
 * A group agrees on a sequence of log entries. The parts are in files of their own: raft_log.c (entries),
 * raft_election.c (votes), raft_leader.c and raft_send.c (replication), raft_round.c (quorum rounds),
 * raft_follower.c (the receiving side), raft_apply.c (commit, compaction, snapshots), raft_membership.c.
 *
 * Rules:
 *  - Identity is the process incarnation. A message for another incarnation, group or generation is dropped. Nothing
 *    is kept on disk: an incarnation that ends never comes back, so term and vote live as long as their voter.
 *  - A term has at most one leader: a replica gives one vote in each term, to a candidate whose log is at least as
 *    complete as its own.
 *  - Pre-vote: before it raises its term, a candidate asks whether a majority would vote for it. Replicas that have
 *    heard from a leader within election_us ignore both kinds of request unless the leader itself asked for the
 *    election. So a replica that was cut off or removed does not disturb the group.
 *  - Check-quorum: a leader that has not heard from a majority of voters within election_us steps down.
 *  - Only entries of the leader's own term are committed by counting; earlier ones are committed with them.
 *  - Membership takes effect when its entry is appended. Voters change by at most one incarnation at a time, only
 *    after the leader has committed an entry of its term, and only while no other change is uncommitted; so any two
 *    majorities in use at the same time have a voter in common.
 *  - Anyone who is asked by its incarnation votes, also a replica that does not yet know that it became a voter.
 *    Candidates ask voters only.
 *  - The first log entry has index 2 (or initial_index + 1): the base stands for the founding membership. A learner
 *    starts at index 0, so it always receives a snapshot, and with it the membership, before any entry.
 *
 * Invariants: applied_index <= commit_index <= last index; log.base_index <= applied_index; entries up to
 * commit_index are never removed except by compaction; commit_index and term never go down.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"
#include "core/raft_internal.h"

enum { FOUNDING_INDEX = 1 };

void raft_message_init(const cw_raft_t *raft, Cw__RaftMessage *message, cw_incarnation_t to, uint64_t term)
{
    cw__raft_message__init(message);
    message->group = raft->group;
    message->generation = raft->generation;
    message->from = raft->incarnation;
    message->from_node = raft->node;
    message->to = to;
    message->term = term;
}

void raft_set_role(cw_raft_t *raft, cw_raft_role_t role)
{
    if (raft->role == role) {
        return;
    }
    raft->role = role;
    if (raft->callbacks.role_changed != NULL) {
        raft->callbacks.role_changed(raft->callbacks.context, role, raft->term);
    }
}

void raft_become_follower(cw_raft_t *raft, uint64_t term, cw_incarnation_t leader, cw_time_us_t now)
{
    if (term > raft->term) {
        raft->term = term;
        raft->voted_for = 0;
    }
    raft->leader = leader;
    raft->transfer_target = 0;
    raft->round_wanted = false;
    raft->round_confirmed = 0;
    raft_reset_election_timer(raft, now);
    raft_set_role(raft, raft_is_voter(raft) ? CW_RAFT_FOLLOWER : CW_RAFT_LEARNER);
}

static void set_options(cw_raft_t *raft, const cw_raft_options_t *options, const cw_raft_callbacks_t *callbacks)
{
    raft->callbacks = *callbacks;
    raft->group = options->group;
    raft->generation = options->generation;
    raft->node = options->node;
    raft->incarnation = options->incarnation;
    raft->heartbeat_us = options->heartbeat_us;
    raft->election_us = options->election_us;
    raft->compact_after = options->compact_after;
    raft->random_state = options->seed ^ options->incarnation;
}

/* A founding member starts at the base that all founding members share. */
static int found_log(cw_raft_t *raft, const cw_raft_options_t *options)
{
    uint64_t        base = options->initial_index < FOUNDING_INDEX ? FOUNDING_INDEX : options->initial_index;
    Cw__Membership *membership;

    if (options->membership == NULL) {
        return CW_OK;
    }
    membership = (Cw__Membership *)cw_message_copy(&options->membership->base);
    if (membership == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    raft_log_reset(&raft->log, base, 0, membership);
    raft->commit_index = base;
    raft->applied_index = base;
    if (options->initial_snapshot == NULL) {
        return CW_OK;
    }
    return raft->callbacks.snapshot_load(raft->callbacks.context, options->initial_snapshot,
                                         options->initial_snapshot_length, base);
}

int cw_raft_create(cw_raft_t **created, const cw_raft_options_t *options, const cw_raft_callbacks_t *callbacks,
                   cw_time_us_t now)
{
    cw_raft_t *raft;
    int        error;

    *created = NULL;
    if (options->incarnation == 0 || options->heartbeat_us <= 0 || options->election_us <= options->heartbeat_us) {
        return CW_ERROR_INVALID;
    }
    raft = calloc(1, sizeof(*raft));
    if (raft == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    set_options(raft, options, callbacks);
    error = found_log(raft, options);
    if (error == CW_OK) {
        error = raft_membership_reload(raft);
    }
    if (error != CW_OK) {
        cw_raft_free(raft);
        return error;
    }
    raft->role = raft_is_voter(raft) ? CW_RAFT_FOLLOWER : CW_RAFT_LEARNER;
    raft_reset_election_timer(raft, now);
    if (raft_is_voter(raft) && raft_voter_count(raft) == 1) {
        raft->election_deadline_us = now;
    }
    *created = raft;
    return CW_OK;
}

void cw_raft_free(cw_raft_t *raft)
{
    if (raft == NULL) {
        return;
    }
    raft_log_clear(&raft->log);
    raft_snapshot_clear(&raft->snapshot);
    if (raft->membership != NULL) {
        cw__membership__free_unpacked(raft->membership, NULL);
    }
    free(raft);
}

void cw_raft_tick(cw_raft_t *raft, cw_time_us_t now)
{
    if (raft->role == CW_RAFT_LEADER) {
        raft_leader_tick(raft, now);
    } else {
        raft_election_tick(raft, now);
    }
}

cw_time_us_t cw_raft_next_tick(const cw_raft_t *raft)
{
    if (raft->role == CW_RAFT_LEADER) {
        return raft->heartbeat_deadline_us;
    }
    if (!raft_is_voter(raft)) {
        return INT64_MAX;
    }
    if (raft->role == CW_RAFT_CANDIDATE && raft->resend_deadline_us < raft->election_deadline_us) {
        return raft->resend_deadline_us;
    }
    return raft->election_deadline_us;
}

static bool is_from_leader(const Cw__RaftMessage *message)
{
    return message->body_case == CW__RAFT_MESSAGE__BODY_APPEND_REQUEST ||
           message->body_case == CW__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST;
}

static bool is_response(const Cw__RaftMessage *message)
{
    return message->body_case == CW__RAFT_MESSAGE__BODY_APPEND_RESPONSE ||
           message->body_case == CW__RAFT_MESSAGE__BODY_SNAPSHOT_RESPONSE ||
           message->body_case == CW__RAFT_MESSAGE__BODY_VOTE_RESPONSE;
}

/* A granted pre-vote carries the term that the candidate asked about, which nobody has entered yet. */
static bool is_granted_pre_vote(const Cw__RaftMessage *message)
{
    return message->body_case == CW__RAFT_MESSAGE__BODY_VOTE_RESPONSE && message->vote_response->pre_vote &&
           message->vote_response->granted;
}

static void handle_body(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    switch (message->body_case) {
    case CW__RAFT_MESSAGE__BODY_VOTE_RESPONSE:
        raft_vote_response_received(raft, message, now);
        break;
    case CW__RAFT_MESSAGE__BODY_APPEND_REQUEST:
        raft_append_request_received(raft, message, now);
        break;
    case CW__RAFT_MESSAGE__BODY_APPEND_RESPONSE:
        raft_append_response_received(raft, message, now);
        break;
    case CW__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST:
        raft_snapshot_request_received(raft, message, now);
        break;
    case CW__RAFT_MESSAGE__BODY_SNAPSHOT_RESPONSE:
        raft_snapshot_response_received(raft, message, now);
        break;
    case CW__RAFT_MESSAGE__BODY_TIMEOUT_NOW:
        raft_timeout_now_received(raft, message, now);
        break;
    default:
        break;
    }
}

void cw_raft_receive(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    if (message->group != raft->group || message->generation != raft->generation || message->to != raft->incarnation ||
        message->from == raft->incarnation) {
        return;
    }
    if (message->body_case == CW__RAFT_MESSAGE__BODY_VOTE_REQUEST) {
        raft_vote_request_received(raft, message, now);
        return;
    }
    if (is_response(message) && raft_member_find(raft, message->from) == NULL) {
        return;
    }
    if (message->term < raft->term) {
        if (is_from_leader(message)) {
            raft_refuse_old_term(raft, message);
        }
        return;
    }
    if (message->term > raft->term && !is_granted_pre_vote(message)) {
        raft_become_follower(raft, message->term, is_from_leader(message) ? message->from : 0, now);
    }
    handle_body(raft, message, now);
}

int cw_raft_propose(cw_raft_t *raft, const uint8_t *data, size_t length, uint64_t *index, cw_time_us_t now)
{
    int error;

    if (raft->role != CW_RAFT_LEADER) {
        return CW_ERROR_NOT_LEADER;
    }
    if (raft->transfer_target != 0) {
        return CW_ERROR_UNAVAILABLE;
    }
    if (index != NULL) {
        *index = raft_log_last_index(&raft->log) + 1;
    }
    error = raft_leader_append(raft, CW__LOG_ENTRY_KIND__ENTRY_COMMAND, data, length, now);
    return error;
}

cw_raft_role_t cw_raft_role(const cw_raft_t *raft)
{
    return raft->role;
}

uint64_t cw_raft_term(const cw_raft_t *raft)
{
    return raft->term;
}

uint64_t cw_raft_generation(const cw_raft_t *raft)
{
    return raft->generation;
}

uint64_t cw_raft_commit_index(const cw_raft_t *raft)
{
    return raft->commit_index;
}

uint64_t cw_raft_last_index(const cw_raft_t *raft)
{
    return raft_log_last_index(&raft->log);
}

uint64_t cw_raft_last_term(const cw_raft_t *raft)
{
    return raft_log_last_term(&raft->log);
}

cw_incarnation_t cw_raft_leader(const cw_raft_t *raft)
{
    return raft->leader;
}

const Cw__Membership *cw_raft_membership(const cw_raft_t *raft)
{
    return raft->membership;
}

bool cw_raft_leader_ready(const cw_raft_t *raft)
{
    return raft->role == CW_RAFT_LEADER && raft->applied_index >= raft->opening_index;
}

uint64_t cw_raft_member_match(const cw_raft_t *raft, cw_incarnation_t member)
{
    const raft_member_t *found = raft_member_find((cw_raft_t *)raft, member);

    if (found == NULL || raft->role != CW_RAFT_LEADER) {
        return 0;
    }
    return member == raft->incarnation ? raft_log_last_index(&raft->log) : found->match_index;
}

cw_time_us_t cw_raft_member_heard(const cw_raft_t *raft, cw_incarnation_t member)
{
    const raft_member_t *found = raft_member_find((cw_raft_t *)raft, member);

    return found == NULL || raft->role != CW_RAFT_LEADER ? 0 : found->heard_us;
}
