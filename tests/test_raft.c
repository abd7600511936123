/**
 * @file test_raft.c
 * @brief Tests of the replicated log: directed cases, and seeded runs under faults with the safety properties of Raft
 *        checked at every event (see common/raft_network.c).
 */
#include <check.h>
#include <stdlib.h>

#include "common/raft_network.h"

enum { SEEDS = 30, FAULT_STEPS = 400, STEP_US = 20000 };

START_TEST(one_voter_commits_and_confirms_at_once)
{
    raft_network_t *network = raft_network_create(1, 1);

    raft_network_run(network, RAFT_NETWORK_STEP_US);
    ck_assert_int_eq(cw_raft_role(network->replicas[0].raft), CW_RAFT_LEADER);
    ck_assert_int_eq(raft_network_propose(network, 0), CW_OK);
    ck_assert_uint_eq(network->committed_last, 3);
    raft_network_round(network, 0);
    ck_assert_uint_eq(network->rounds_confirmed, 1);
    raft_network_free(network);
}
END_TEST

/* A replica of five driven by hand: only entries of its own term are committed by counting answers. */
static void receive_append(cw_raft_t *raft, uint64_t from, uint64_t term, Cw__LogEntry *entry)
{
    Cw__RaftMessage   message = CW__RAFT_MESSAGE__INIT;
    Cw__AppendRequest request = CW__APPEND_REQUEST__INIT;

    message.group = message.generation = 1;
    message.from = from;
    message.from_node = (uint32_t)(from - 999);
    message.to = 1000;
    message.term = term;
    message.body_case = CW__RAFT_MESSAGE__BODY_APPEND_REQUEST;
    message.append_request = &request;
    request.previous_index = 1;
    request.n_entries = 1;
    request.entries = &entry;
    cw_raft_receive(raft, &message, 1000);
}

static void receive_vote(cw_raft_t *raft, uint64_t from, uint64_t term, bool pre_vote)
{
    Cw__RaftMessage  message = CW__RAFT_MESSAGE__INIT;
    Cw__VoteResponse response = CW__VOTE_RESPONSE__INIT;

    message.group = message.generation = 1;
    message.from = from;
    message.from_node = (uint32_t)(from - 999);
    message.to = 1000;
    message.term = term;
    message.body_case = CW__RAFT_MESSAGE__BODY_VOTE_RESPONSE;
    message.vote_response = &response;
    response.granted = true;
    response.pre_vote = pre_vote;
    cw_raft_receive(raft, &message, CW_US_PER_S);
}

static void receive_match(cw_raft_t *raft, uint64_t from, uint64_t term, uint64_t match, uint64_t round)
{
    Cw__RaftMessage    message = CW__RAFT_MESSAGE__INIT;
    Cw__AppendResponse response = CW__APPEND_RESPONSE__INIT;

    message.group = message.generation = 1;
    message.from = from;
    message.from_node = (uint32_t)(from - 999);
    message.to = 1000;
    message.term = term;
    message.body_case = CW__RAFT_MESSAGE__BODY_APPEND_RESPONSE;
    message.append_response = &response;
    response.success = true;
    response.match_index = match;
    response.round = round;
    cw_raft_receive(raft, &message, CW_US_PER_S);
}

START_TEST(only_entries_of_the_own_term_commit_by_counting)
{
    raft_network_t *network = raft_network_create(2, 5);
    cw_raft_t      *raft = network->replicas[0].raft;
    Cw__LogEntry    entry = CW__LOG_ENTRY__INIT;

    entry.index = 2;
    entry.term = 1;
    receive_append(raft, 1001, 1, &entry);
    cw_raft_tick(raft, CW_US_PER_S);
    receive_vote(raft, 1002, 2, true);
    receive_vote(raft, 1003, 2, true);
    receive_vote(raft, 1002, 2, false);
    receive_vote(raft, 1003, 2, false);
    ck_assert_int_eq(cw_raft_role(raft), CW_RAFT_LEADER);
    receive_match(raft, 1002, 2, 2, 0);
    receive_match(raft, 1003, 2, 2, 0);
    ck_assert_uint_eq(cw_raft_commit_index(raft), 1);
    ck_assert(!cw_raft_leader_ready(raft));
    receive_match(raft, 1002, 2, 3, 0);
    receive_match(raft, 1003, 2, 3, 0);
    ck_assert_uint_eq(cw_raft_commit_index(raft), 3);
    ck_assert(cw_raft_leader_ready(raft));
    raft_network_free(network);
}
END_TEST

START_TEST(old_answers_do_not_confirm_a_later_round)
{
    raft_network_t *network = raft_network_create(3, 3);
    cw_raft_t      *raft = network->replicas[0].raft;
    uint64_t        first;
    uint64_t        second;

    cw_raft_tick(raft, CW_US_PER_S);
    receive_vote(raft, 1001, 1, true);
    receive_vote(raft, 1001, 1, false);
    ck_assert_int_eq(cw_raft_role(raft), CW_RAFT_LEADER);
    first = cw_raft_round_begin(raft, CW_US_PER_S);
    second = cw_raft_round_begin(raft, CW_US_PER_S);
    ck_assert_uint_gt(second, first);
    receive_match(raft, 1001, 1, 2, first);
    receive_match(raft, 1002, 1, 2, first);
    ck_assert_uint_eq(cw_raft_round_confirmed(raft), first);
    receive_match(raft, 1002, 0, 2, second); /* of an earlier term */
    ck_assert_uint_eq(cw_raft_round_confirmed(raft), first);
    receive_match(raft, 1002, 1, 2, second);
    ck_assert_uint_eq(cw_raft_round_confirmed(raft), second);
    raft_network_free(network);
}
END_TEST

START_TEST(message_for_another_incarnation_group_or_generation_is_dropped)
{
    raft_network_t   *network = raft_network_create(10, 3);
    cw_raft_t        *raft = network->replicas[0].raft;
    Cw__RaftMessage   message = CW__RAFT_MESSAGE__INIT;
    Cw__AppendRequest request = CW__APPEND_REQUEST__INIT;
    int               field;

    message.from = 1001;
    message.from_node = 2;
    message.body_case = CW__RAFT_MESSAGE__BODY_APPEND_REQUEST;
    message.append_request = &request;
    for (field = 0; field < 3; field++) {
        message.to = field == 0 ? 999 : 1000;
        message.group = field == 1 ? 2 : 1;
        message.generation = field == 2 ? 2 : 1;
        message.term = 5;
        cw_raft_receive(raft, &message, 1000);
        ck_assert_uint_eq(cw_raft_term(raft), 0);
    }
    raft_network_free(network);
}
END_TEST

START_TEST(cut_off_leader_confirms_no_round_and_steps_down)
{
    raft_network_t *network = raft_network_create(4, 3);
    size_t          old = raft_network_wait_leader(network);
    size_t          confirmed;

    raft_network_isolate(network, old);
    raft_network_round(network, old);
    confirmed = network->rounds_confirmed;
    raft_network_run(network, CW_US_PER_S);
    ck_assert_uint_eq(network->rounds_confirmed, confirmed);
    ck_assert_int_ne(cw_raft_role(network->replicas[old].raft), CW_RAFT_LEADER);
    ck_assert_uint_ne(raft_network_wait_leader(network), old);
    raft_network_free(network);
}
END_TEST

START_TEST(removed_replica_does_not_disturb)
{
    raft_network_t *network = raft_network_create(5, 3);
    size_t          leader = raft_network_wait_leader(network);
    size_t          removed = (leader + 1) % 3;
    uint64_t        term = cw_raft_term(network->replicas[leader].raft);

    raft_network_isolate(network, removed);
    ck_assert_int_eq(raft_network_change(network, leader, (int)removed, -1, -1), CW_OK);
    raft_network_run(network, CW_US_PER_S);
    raft_network_heal(network);
    raft_network_run(network, 3 * CW_US_PER_S);
    ck_assert_uint_eq(raft_network_leader(network), leader);
    ck_assert_uint_eq(cw_raft_term(network->replicas[leader].raft), term);
    raft_network_free(network);
}
END_TEST

START_TEST(follower_that_was_cut_off_does_not_disturb)
{
    raft_network_t *network = raft_network_create(6, 3);
    size_t          leader = raft_network_wait_leader(network);
    uint64_t        term = cw_raft_term(network->replicas[leader].raft);

    raft_network_isolate(network, (leader + 1) % 3);
    raft_network_run(network, 2 * CW_US_PER_S);
    raft_network_heal(network);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_uint_eq(cw_raft_term(network->replicas[leader].raft), term);
    raft_network_free(network);
}
END_TEST

START_TEST(late_joiner_catches_up_by_snapshot_and_replaces_a_dead_voter)
{
    raft_network_t *network = raft_network_create(7, 3);
    size_t          leader = raft_network_wait_leader(network);
    size_t          dead = (leader + 1) % 3;
    size_t          joiner;
    int             count;

    raft_network_crash(network, dead);
    joiner = raft_network_add(network, network->replicas[dead].info.id);
    raft_network_isolate(network, joiner);
    ck_assert_int_eq(raft_network_change(network, leader, -1, -1, (int)joiner), CW_OK);
    ck_assert_int_eq(raft_network_change(network, leader, (int)dead, -1, -1), CW_ERROR_CONFLICT);
    for (count = 0; count < 5 * RAFT_NETWORK_COMPACT_AFTER; count++) {
        ck_assert_int_eq(raft_network_propose(network, leader), CW_OK);
        raft_network_run(network, RAFT_NETWORK_STEP_US);
    }
    raft_network_heal(network);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_uint_eq(network->replicas[joiner].snapshots_loaded, 1);
    ck_assert_int_eq(cw_raft_role(network->replicas[joiner].raft), CW_RAFT_LEARNER);
    ck_assert_uint_eq(cw_raft_membership(network->replicas[joiner].raft)->n_learners, 1);
    ck_assert_int_eq(raft_network_change(network, leader, (int)dead, (int)joiner, -1), CW_ERROR_INVALID);
    ck_assert_int_eq(raft_network_change(network, leader, -1, (int)joiner, -1), CW_OK);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_int_eq(raft_network_change(network, leader, (int)dead, -1, -1), CW_OK);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_int_eq(cw_raft_role(network->replicas[joiner].raft), CW_RAFT_FOLLOWER);
    ck_assert_uint_eq(network->replicas[joiner].state, network->replicas[leader].state);
    raft_network_crash(network, leader);
    leader = raft_network_wait_leader(network);
    ck_assert_uint_eq(cw_raft_membership(network->replicas[leader].raft)->n_voters, 3);
    raft_network_free(network);
}
END_TEST

START_TEST(conflicting_entries_at_a_compacted_index_need_the_snapshot)
{
    raft_network_t *network = raft_network_create(9, 3);
    size_t          old = raft_network_wait_leader(network);
    size_t          leader;
    int             count;

    /* The former leader's log conflicts from the cut on, beyond where the others' logs will begin. */
    raft_network_isolate(network, old);
    for (count = 0; count < 10 * RAFT_NETWORK_COMPACT_AFTER; count++) {
        ck_assert_int_eq(raft_network_propose(network, old), CW_OK);
    }
    raft_network_run(network, CW_US_PER_S);
    leader = raft_network_wait_leader(network);
    ck_assert_uint_ne(leader, old);
    for (count = 0; count < 3 * RAFT_NETWORK_COMPACT_AFTER; count++) {
        ck_assert_int_eq(raft_network_propose(network, leader), CW_OK);
        raft_network_run(network, RAFT_NETWORK_STEP_US);
    }
    /* The next leader knows nothing of the former one's log and probes from its own end. */
    raft_network_crash(network, leader);
    raft_network_heal(network);
    leader = raft_network_wait_leader(network);
    ck_assert_uint_ne(leader, old);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_uint_eq(network->replicas[old].snapshots_loaded, 1);
    ck_assert_uint_eq(network->replicas[old].state, network->replicas[leader].state);
    raft_network_free(network);
}
END_TEST

START_TEST(leadership_is_handed_over_without_waiting_for_silence)
{
    raft_network_t *network = raft_network_create(8, 3);
    size_t          old = raft_network_wait_leader(network);

    raft_network_run(network, 100 * RAFT_NETWORK_STEP_US);
    ck_assert_int_eq(cw_raft_step_down(network->replicas[old].raft, network->now), CW_OK);
    raft_network_run(network, 20 * RAFT_NETWORK_STEP_US);
    ck_assert_uint_lt(raft_network_leader(network), 3);
    ck_assert_uint_ne(raft_network_leader(network), old);
    raft_network_free(network);
}
END_TEST

START_TEST(removed_leader_hands_the_group_on)
{
    raft_network_t *network = raft_network_create(9, 3);
    size_t          old = raft_network_wait_leader(network);

    ck_assert_int_eq(raft_network_change(network, old, (int)old, -1, -1), CW_OK);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_int_eq(cw_raft_role(network->replicas[old].raft), CW_RAFT_LEARNER);
    ck_assert_uint_ne(raft_network_wait_leader(network), old);
    raft_network_free(network);
}
END_TEST

/* ---- seeded runs ---- */

static bool is_alive(const raft_network_t *network, cw_incarnation_t incarnation)
{
    return network->replicas[incarnation - network->replicas[0].info.incarnation].raft != NULL;
}

/* Would every membership in use keep a living majority without this replica? */
static bool may_crash(const raft_network_t *network, size_t victim)
{
    size_t index;

    for (index = 0; index < network->replica_count; index++) {
        const raft_replica_t *replica = &network->replicas[index];
        const Cw__Membership *membership;
        size_t                alive = 0;
        size_t                voter;

        if (replica->raft == NULL) {
            continue;
        }
        membership = cw_raft_membership(replica->raft);
        for (voter = 0; voter < membership->n_voters; voter++) {
            cw_incarnation_t incarnation = membership->voters[voter]->incarnation;

            alive += incarnation != network->replicas[victim].info.incarnation && is_alive(network, incarnation);
        }
        if (alive < membership->n_voters / 2 + 1 && membership->n_voters > 0) {
            return false;
        }
    }
    return true;
}

/* Replaces a learner that crashed before it was promoted, or adds the first one. */
static void add_learner(raft_network_t *network, size_t leader, int dead_voter)
{
    size_t joiner = raft_network_add(network, network->replicas[dead_voter].info.id);

    if (raft_network_change(network, leader, -1, -1, (int)joiner) != CW_OK) {
        raft_network_crash(network, joiner);
    }
}

/* The leader's repair: a learner for each crashed voter, promoted once caught up, then the crashed one removed. */
static void repair(raft_network_t *network, size_t leader)
{
    cw_raft_t            *raft = network->replicas[leader].raft;
    const Cw__Membership *membership = cw_raft_membership(raft);
    size_t                index;
    int                   dead = -1;

    for (index = 0; index < membership->n_voters; index++) {
        if (!is_alive(network, membership->voters[index]->incarnation)) {
            dead = (int)(membership->voters[index]->incarnation - network->replicas[0].info.incarnation);
        }
    }
    if (membership->n_voters > 3 && dead >= 0) {
        (void)raft_network_change(network, leader, dead, -1, -1);
        return;
    }
    if (dead < 0) {
        return;
    }
    for (index = 0; index < membership->n_learners; index++) {
        cw_incarnation_t learner = membership->learners[index]->incarnation;
        int              joiner = (int)(learner - network->replicas[0].info.incarnation);

        if (!is_alive(network, learner)) {
            continue;
        }
        if (cw_raft_member_match(raft, learner) + 5 > cw_raft_last_index(raft)) {
            (void)raft_network_change(network, leader, -1, joiner, -1);
        }
        return;
    }
    add_learner(network, leader, dead);
}

static void inject_fault(raft_network_t *network)
{
    size_t          victim = (size_t)cw_random_below(&network->random, network->replica_count);
    raft_replica_t *replica = &network->replicas[victim];
    bool            room = network->replica_count + 2 < RAFT_NETWORK_REPLICAS;

    if (replica->raft == NULL) {
        return;
    }
    switch (cw_random_below(&network->random, 12)) {
    case 0:
        replica->partition = 1 + (int)cw_random_below(&network->random, 2);
        break;
    case 1:
    case 2:
        raft_network_heal(network);
        break;
    case 3:
        replica->paused_until = network->now + (cw_time_us_t)cw_random_below(&network->random, 500000);
        break;
    case 4:
        if (room && may_crash(network, victim)) {
            raft_network_crash(network, victim);
        }
        break;
    case 5:
        (void)cw_raft_step_down(replica->raft, network->now);
        break;
    default:
        break;
    }
}

static void run_faults(raft_network_t *network)
{
    size_t index;
    int    step;

    network->drop_percent = (unsigned)cw_random_below(&network->random, 15);
    network->duplicate_percent = (unsigned)cw_random_below(&network->random, 10);
    network->delay_us = 1000 + (cw_time_us_t)cw_random_below(&network->random, 60000);
    for (step = 0; step < FAULT_STEPS; step++) {
        inject_fault(network);
        for (index = 0; index < network->replica_count; index++) {
            cw_raft_t *raft = network->replicas[index].raft;

            if (raft == NULL || cw_raft_role(raft) != CW_RAFT_LEADER) {
                continue;
            }
            (void)raft_network_propose(network, index);
            if (network->replicas[index].round == 0) {
                raft_network_round(network, index);
            }
            if (cw_raft_leader_ready(raft)) {
                repair(network, index);
            }
        }
        raft_network_run(network, STEP_US);
    }
}

/* After the faults the group serves again, nothing committed is lost, and all members agree. */
START_TEST(safety_holds_under_faults_and_progress_returns)
{
    raft_network_t *network = raft_network_create((uint64_t)_i * 7919 + 1, _i % 2 == 0 ? 3 : 5);
    uint64_t        committed;
    size_t          leader;
    size_t          index;

    run_faults(network);
    network->drop_percent = 0;
    network->delay_us = 2000;
    raft_network_heal(network);
    raft_network_run(network, 2 * CW_US_PER_S);
    leader = raft_network_wait_leader(network);
    committed = network->committed_last;
    ck_assert_uint_gt(committed, 20);
    ck_assert_uint_gt(network->rounds_confirmed, 5);
    ck_assert_int_eq(raft_network_propose(network, leader), CW_OK);
    raft_network_run(network, CW_US_PER_S);
    ck_assert_uint_gt(network->committed_last, committed);
    for (index = 0; index < network->replicas[leader].raft->member_count; index++) {
        size_t member = (size_t)(network->replicas[leader].raft->members[index].incarnation -
                                 network->replicas[0].info.incarnation);

        if (network->replicas[member].raft != NULL) {
            ck_assert_uint_eq(network->replicas[member].applied, network->committed_last);
            ck_assert_uint_eq(network->replicas[member].state, network->replicas[leader].state);
        }
    }
    raft_network_free(network);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("raft");
    TCase   *tests = tcase_create("raft");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, one_voter_commits_and_confirms_at_once);
    tcase_add_test(tests, only_entries_of_the_own_term_commit_by_counting);
    tcase_add_test(tests, old_answers_do_not_confirm_a_later_round);
    tcase_add_test(tests, message_for_another_incarnation_group_or_generation_is_dropped);
    tcase_add_test(tests, cut_off_leader_confirms_no_round_and_steps_down);
    tcase_add_test(tests, removed_replica_does_not_disturb);
    tcase_add_test(tests, follower_that_was_cut_off_does_not_disturb);
    tcase_add_test(tests, late_joiner_catches_up_by_snapshot_and_replaces_a_dead_voter);
    tcase_add_test(tests, conflicting_entries_at_a_compacted_index_need_the_snapshot);
    tcase_add_test(tests, leadership_is_handed_over_without_waiting_for_silence);
    tcase_add_test(tests, removed_leader_hands_the_group_on);
    tcase_add_loop_test(tests, safety_holds_under_faults_and_progress_returns, 0, SEEDS);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
