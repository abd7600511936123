/**
 * @file raft_membership.c
 * @brief Raft membership: the member table, majorities, changes of membership and transfer of leadership.
 */
#include <stdlib.h>
#include <string.h>

#include "core/raft_internal.h"

static const raft_member_t *find_in(const raft_member_t *members, size_t count, cw_incarnation_t incarnation)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (members[index].incarnation == incarnation) {
            return &members[index];
        }
    }
    return NULL;
}

raft_member_t *raft_member_find(cw_raft_t *raft, cw_incarnation_t incarnation)
{
    return (raft_member_t *)find_in(raft->members, raft->member_count, incarnation);
}

static void add_members(cw_raft_t *raft, const raft_member_t *former, size_t former_count, Cw__NodeInfo **nodes,
                        size_t node_count, bool voter)
{
    size_t index;

    for (index = 0; index < node_count && raft->member_count < RAFT_MEMBERS_MAX; index++) {
        const raft_member_t *known = find_in(former, former_count, nodes[index]->incarnation);
        raft_member_t       *member = &raft->members[raft->member_count];

        memset(member, 0, sizeof(*member));
        member->next_index = raft_log_last_index(&raft->log) + 1;
        if (known != NULL) {
            *member = *known;
        }
        member->node = nodes[index]->id;
        member->incarnation = nodes[index]->incarnation;
        member->voter = voter;
        raft->member_count++;
    }
}

static Cw__Membership *empty_membership(void)
{
    Cw__Membership *membership = malloc(sizeof(*membership));

    if (membership != NULL) {
        cw__membership__init(membership);
    }
    return membership;
}

int raft_membership_reload(cw_raft_t *raft)
{
    uint64_t        last = raft_log_last_index(&raft->log);
    Cw__Membership *membership;
    raft_member_t   former[RAFT_MEMBERS_MAX];
    size_t          former_count = raft->member_count;

    membership = raft->log.base_index == 0 ? empty_membership() : raft_log_membership(&raft->log, last);
    if (membership == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    if (raft->membership != NULL) {
        cw__membership__free_unpacked(raft->membership, NULL);
    }
    raft->membership = membership;
    raft->membership_index = raft_log_membership_index(&raft->log, last);
    memcpy(former, raft->members, sizeof(former));
    raft->member_count = 0;
    add_members(raft, former, former_count, membership->voters, membership->n_voters, true);
    add_members(raft, former, former_count, membership->learners, membership->n_learners, false);
    if (raft->role == CW_RAFT_FOLLOWER || raft->role == CW_RAFT_LEARNER) {
        raft_set_role(raft, raft_is_voter(raft) ? CW_RAFT_FOLLOWER : CW_RAFT_LEARNER);
    }
    return CW_OK;
}

bool raft_is_voter(const cw_raft_t *raft)
{
    const raft_member_t *self = find_in(raft->members, raft->member_count, raft->incarnation);

    return self != NULL && self->voter;
}

size_t raft_voter_count(const cw_raft_t *raft)
{
    return raft->membership->n_voters;
}

size_t raft_majority(const cw_raft_t *raft)
{
    return raft_voter_count(raft) / 2 + 1;
}

uint64_t raft_quorum_value(const cw_raft_t *raft, uint64_t (*value)(const cw_raft_t *, const raft_member_t *))
{
    uint64_t sorted[RAFT_MEMBERS_MAX]; /* descending */
    size_t   count = 0;
    size_t   index;

    for (index = 0; index < raft->member_count; index++) {
        uint64_t next;
        size_t   place;

        if (!raft->members[index].voter) {
            continue;
        }
        next = value(raft, &raft->members[index]);
        for (place = count; place > 0 && sorted[place - 1] < next; place--) {
            sorted[place] = sorted[place - 1];
        }
        sorted[place] = next;
        count++;
    }
    return count == 0 ? 0 : sorted[count / 2];
}

static bool listed(Cw__NodeInfo **nodes, size_t count, cw_incarnation_t incarnation)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (nodes[index]->incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

static bool is_well_formed(const Cw__Membership *membership)
{
    size_t index;

    if (membership->n_voters == 0 || membership->n_voters + membership->n_learners > RAFT_MEMBERS_MAX) {
        return false;
    }
    for (index = 0; index < membership->n_voters; index++) {
        cw_incarnation_t incarnation = membership->voters[index]->incarnation;

        if (incarnation == 0 || listed(membership->voters, index, incarnation) ||
            listed(membership->learners, membership->n_learners, incarnation)) {
            return false;
        }
    }
    for (index = 0; index < membership->n_learners; index++) {
        cw_incarnation_t incarnation = membership->learners[index]->incarnation;

        if (incarnation == 0 || listed(membership->learners, index, incarnation)) {
            return false;
        }
    }
    return true;
}

/* Voters of one membership that the other does not list. */
static size_t count_missing(const Cw__Membership *membership, const Cw__Membership *other)
{
    size_t missing = 0;
    size_t index;

    for (index = 0; index < membership->n_voters; index++) {
        missing += !listed(other->voters, other->n_voters, membership->voters[index]->incarnation);
    }
    return missing;
}

int cw_raft_propose_membership(cw_raft_t *raft, const Cw__Membership *membership, cw_time_us_t now)
{
    uint8_t *data;
    size_t   length;
    int      error;

    if (raft->role != CW_RAFT_LEADER) {
        return CW_ERROR_NOT_LEADER;
    }
    if (!is_well_formed(membership) ||
        count_missing(membership, raft->membership) + count_missing(raft->membership, membership) > 1) {
        return CW_ERROR_INVALID;
    }
    if (!cw_raft_leader_ready(raft) || raft->membership_index > raft->commit_index || raft->transfer_target != 0) {
        return CW_ERROR_CONFLICT;
    }
    length = cw__membership__get_packed_size(membership);
    data = malloc(length);
    if (data == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    cw__membership__pack(membership, data);
    error = raft_leader_append(raft, CW__LOG_ENTRY_KIND__ENTRY_MEMBERSHIP, data, length, now);
    free(data);
    return error;
}

static const raft_member_t *best_successor(const cw_raft_t *raft, cw_time_us_t now)
{
    const raft_member_t *best = NULL;
    size_t               index;

    for (index = 0; index < raft->member_count; index++) {
        const raft_member_t *member = &raft->members[index];
        bool                 alive = member->heard_us != 0 && now - member->heard_us < raft->election_us;

        if (!member->voter || member->incarnation == raft->incarnation || !alive) {
            continue;
        }
        if (best == NULL || member->match_index > best->match_index) {
            best = member;
        }
    }
    return best;
}

int cw_raft_step_down(cw_raft_t *raft, cw_time_us_t now)
{
    const raft_member_t *successor;

    if (raft->role != CW_RAFT_LEADER) {
        return CW_ERROR_NOT_LEADER;
    }
    if (raft->transfer_target != 0) {
        return CW_OK;
    }
    successor = best_successor(raft, now);
    if (successor == NULL) {
        return CW_ERROR_UNAVAILABLE;
    }
    raft->transfer_target = successor->incarnation;
    raft->transfer_deadline_us = now + raft->election_us;
    raft_transfer_tick(raft, now);
    return CW_OK;
}

void raft_transfer_tick(cw_raft_t *raft, cw_time_us_t now)
{
    raft_member_t  *target = raft_member_find(raft, raft->transfer_target);
    Cw__RaftMessage message;
    Cw__TimeoutNow  timeout_now = CW__TIMEOUT_NOW__INIT;

    if (raft->transfer_target == 0) {
        return;
    }
    if (target == NULL || now >= raft->transfer_deadline_us) {
        raft->transfer_target = 0;
        return;
    }
    if (target->match_index < raft_log_last_index(&raft->log)) {
        raft_replicate(raft, target, false, now);
        return;
    }
    raft_message_init(raft, &message, target->incarnation, raft->term);
    message.body_case = CW__RAFT_MESSAGE__BODY_TIMEOUT_NOW;
    message.timeout_now = &timeout_now;
    raft->callbacks.send(raft->callbacks.context, target->node, &message);
}
