/**
 * @file raft_election.c
 * @brief Raft elections: timers, pre-vote and vote, and the takeover that a leader asks for.
 *
 * A voter that hears no leader for its randomised timeout becomes candidate in the pre-vote phase (term unchanged).
 * With a majority of pre-votes it raises its term, votes for itself and asks for votes. With a majority of votes it
 * becomes leader. Requests are repeated every heartbeat_us to those that have not answered.
 */
#include "core/raft_internal.h"

static void start_vote(cw_raft_t *raft, cw_time_us_t now);

void raft_reset_election_timer(cw_raft_t *raft, cw_time_us_t now)
{
    cw_time_us_t extra = (cw_time_us_t)cw_random_below(&raft->random_state, (uint64_t)raft->election_us);

    raft->election_deadline_us = now + raft->election_us + extra;
}

static void send_vote_request(const cw_raft_t *raft, const raft_member_t *member)
{
    Cw__RaftMessage message;
    Cw__VoteRequest request = CW__VOTE_REQUEST__INIT;

    raft_message_init(raft, &message, member->incarnation, raft->term + (raft->pre_vote ? 1 : 0));
    request.pre_vote = raft->pre_vote;
    request.transfer = raft->transfer;
    request.last_index = raft_log_last_index(&raft->log);
    request.last_term = raft_log_last_term(&raft->log);
    message.body_case = CW__RAFT_MESSAGE__BODY_VOTE_REQUEST;
    message.vote_request = &request;
    raft->callbacks.send(raft->callbacks.context, member->node, &message);
}

static void send_vote_requests(cw_raft_t *raft, cw_time_us_t now)
{
    size_t index;

    raft->resend_deadline_us = now + raft->heartbeat_us;
    for (index = 0; index < raft->member_count; index++) {
        const raft_member_t *member = &raft->members[index];

        if (member->voter && !member->vote_answered) {
            send_vote_request(raft, member);
        }
    }
}

static void clear_votes(cw_raft_t *raft)
{
    size_t index;

    for (index = 0; index < raft->member_count; index++) {
        raft_member_t *member = &raft->members[index];

        member->vote_answered = member->incarnation == raft->incarnation;
        member->vote_granted = member->vote_answered;
    }
}

static void count_votes(cw_raft_t *raft, cw_time_us_t now)
{
    size_t granted = 0;
    size_t refused = 0;
    size_t index;

    for (index = 0; index < raft->member_count; index++) {
        const raft_member_t *member = &raft->members[index];

        granted += member->voter && member->vote_granted;
        refused += member->voter && member->vote_answered && !member->vote_granted;
    }
    if (granted >= raft_majority(raft)) {
        if (raft->pre_vote) {
            start_vote(raft, now);
        } else {
            raft_become_leader(raft, now);
        }
        return;
    }
    if (refused >= raft_majority(raft)) {
        raft_become_follower(raft, raft->term, 0, now);
    }
}

static void start_vote(cw_raft_t *raft, cw_time_us_t now)
{
    raft->pre_vote = false;
    raft->term++;
    raft->voted_for = raft->incarnation;
    raft->leader = 0;
    raft_reset_election_timer(raft, now);
    raft_set_role(raft, CW_RAFT_CANDIDATE);
    clear_votes(raft);
    send_vote_requests(raft, now);
    count_votes(raft, now);
}

static void start_pre_vote(cw_raft_t *raft, cw_time_us_t now)
{
    raft->pre_vote = true;
    raft->transfer = false;
    raft->leader = 0;
    raft_reset_election_timer(raft, now);
    raft_set_role(raft, CW_RAFT_CANDIDATE);
    clear_votes(raft);
    send_vote_requests(raft, now);
    count_votes(raft, now);
}

void raft_election_tick(cw_raft_t *raft, cw_time_us_t now)
{
    if (!raft_is_voter(raft)) {
        return;
    }
    if (now >= raft->election_deadline_us) {
        start_pre_vote(raft, now);
        return;
    }
    if (raft->role == CW_RAFT_CANDIDATE && now >= raft->resend_deadline_us) {
        send_vote_requests(raft, now);
    }
}

/* Has this replica, or this leader, reason to believe that the leader is alive? */
static bool leader_is_alive(const cw_raft_t *raft, cw_time_us_t now)
{
    if (raft->role == CW_RAFT_LEADER) {
        return true;
    }
    return raft->leader != 0 && now < raft->leader_heard_us + raft->election_us;
}

static bool log_is_complete_enough(const cw_raft_t *raft, const Cw__VoteRequest *request)
{
    uint64_t last_term = raft_log_last_term(&raft->log);

    if (request->last_term != last_term) {
        return request->last_term > last_term;
    }
    return request->last_index >= raft_log_last_index(&raft->log);
}

static void send_vote_response(const cw_raft_t *raft, const Cw__RaftMessage *asked, bool granted)
{
    Cw__RaftMessage  message;
    Cw__VoteResponse response = CW__VOTE_RESPONSE__INIT;
    bool             echo_term = asked->vote_request->pre_vote && granted;

    raft_message_init(raft, &message, asked->from, echo_term ? asked->term : raft->term);
    response.pre_vote = asked->vote_request->pre_vote;
    response.granted = granted;
    message.body_case = CW__RAFT_MESSAGE__BODY_VOTE_RESPONSE;
    message.vote_response = &response;
    raft->callbacks.send(raft->callbacks.context, asked->from_node, &message);
}

void raft_vote_request_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    const Cw__VoteRequest *request = message->vote_request;
    bool                   granted;

    if (leader_is_alive(raft, now) && !request->transfer) {
        return;
    }
    if (request->pre_vote) {
        granted = message->term > raft->term && log_is_complete_enough(raft, request);
        send_vote_response(raft, message, granted);
        return;
    }
    if (message->term > raft->term) {
        raft_become_follower(raft, message->term, 0, now);
    }
    granted = message->term == raft->term && raft->leader == 0 &&
              (raft->voted_for == 0 || raft->voted_for == message->from) && log_is_complete_enough(raft, request);
    if (granted) {
        raft->voted_for = message->from;
        raft_reset_election_timer(raft, now);
    }
    send_vote_response(raft, message, granted);
}

void raft_vote_response_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    const Cw__VoteResponse *response = message->vote_response;
    raft_member_t          *member = raft_member_find(raft, message->from);
    uint64_t                asked_term = raft->term + (raft->pre_vote ? 1 : 0);

    if (raft->role != CW_RAFT_CANDIDATE || response->pre_vote != raft->pre_vote) {
        return;
    }
    if (response->granted && message->term != asked_term) {
        return;
    }
    member->vote_answered = true;
    member->vote_granted = response->granted;
    count_votes(raft, now);
}

void raft_timeout_now_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now)
{
    if (raft->role != CW_RAFT_FOLLOWER || message->from != raft->leader) {
        return;
    }
    raft->transfer = true;
    start_vote(raft, now);
}
