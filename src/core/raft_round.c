/**
 * @file raft_round.c
 * @brief Quorum rounds: proof that this replica was still leader after a given moment.
 *
 * Every request to a member carries the number of the last round sent; its answer echoes it. A round is confirmed
 * once a majority of voters has answered, in the present term, requests that carried it or a later one. Such a voter
 * had not entered a higher term when it answered, hence no later leader was elected before the round began. Answers
 * to requests sent before the round began carry a lower number and do not count, however late they are read.
 *
 * While a round is under way, all further wishes share the next one, which is sent when the first is confirmed or
 * with the next heartbeat.
 */
#include "core/raft_internal.h"

static uint64_t answered_round(const cw_raft_t *raft, const raft_member_t *member)
{
    return member->incarnation == raft->incarnation ? raft->round_sent : member->round;
}

void raft_rounds_confirm(cw_raft_t *raft)
{
    uint64_t round = raft_quorum_value(raft, answered_round);

    if (round > raft->round_confirmed) {
        raft->round_confirmed = round;
    }
}

void raft_rounds_update(cw_raft_t *raft, cw_time_us_t now)
{
    raft_rounds_confirm(raft);
    if (raft->round_wanted && raft->round_confirmed >= raft->round_sent) {
        raft_broadcast(raft, now);
    }
}

uint64_t cw_raft_round_begin(cw_raft_t *raft, cw_time_us_t now)
{
    uint64_t round = raft->round_sent + 1;

    if (raft->role != CW_RAFT_LEADER) {
        return 0;
    }
    raft->round_wanted = true;
    raft_rounds_update(raft, now);
    return round;
}

uint64_t cw_raft_round_confirmed(const cw_raft_t *raft)
{
    return raft->role == CW_RAFT_LEADER ? raft->round_confirmed : 0;
}
