/**
 * @file control_membership.c
 * @brief Keeps the control group at its size, on live nodes of different zones, and takes members out that leave.
 *
 * One step at a time, each through the log:
 * 1. a learner whose node is gone, or that does not catch up within LEARNER_PATIENCE_US, is dropped;
 * 2. while a voter is gone or leaving, or there are fewer than wanted: a node of a zone without a healthy voter
 *    becomes a learner, which receives the state;
 * 3. a learner that has caught up is promoted;
 * 4. a voter that is gone or leaving is removed once the others are as many as wanted. One that leaves is also removed
 *    when there is nobody to replace it; one that is gone is not, since it may only be cut off;
 * 5. while two voters share a zone and there is a node in a zone without any, that node joins by the same steps, and
 * one of the two is removed: after a lost zone has come back, the group spans all zones again. The leader does not
 * remove itself: it hands leadership over first.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "core/control_internal.h"

enum {
    CATCH_UP_ENTRIES = 64,
    LEARNER_PATIENCE_US = 10 * CW_US_PER_S,
    LEAVE_SILENCE_US = 1500 * CW_US_PER_MS, /**< no word from the group: it has gone on without this replica */
    LEAVE_MAX_US = 10 * CW_US_PER_S
};

/** Voters and learners of a change that is being made; borrows the nodes. */
typedef struct member_lists {
    Cw__Membership membership;
    Cw__NodeInfo **voters;
    Cw__NodeInfo **learners;
} member_lists_t;

static bool is_leaving(const cw_control_t *control, const Cw__NodeInfo *member)
{
    const Cw__NodeInfo *node = cw_control_state_node(control->state, member->id);

    return node != NULL && node->incarnation == member->incarnation && node->state == CW__NODE_STATE__NODE_LEAVING;
}

/* Gone: silent as a node, and not heard by the raft either. A node that never sent a heartbeat gets its time too. */
static bool is_gone(const cw_control_t *control, const Cw__NodeInfo *member)
{
    cw_time_us_t heard_us = cw_raft_member_heard(control->raft, member->incarnation);

    if (member->incarnation == control->self->incarnation) {
        return false;
    }
    if (heard_us < control->leading.since_us) {
        heard_us = control->leading.since_us;
    }
    return !cw_control_node_live(control, member->id, member->incarnation) &&
           control->now.monotonic_us - heard_us > control->options.node_silence_us;
}

static bool is_healthy(const cw_control_t *control, const Cw__NodeInfo *member)
{
    return !is_gone(control, member) && !is_leaving(control, member);
}

/* Healthy voters of a zone; NULL: of all. */
static size_t count_healthy_in(const cw_control_t *control, const Cw__Membership *membership, const char *zone)
{
    const Cw__NodeInfo *voter;
    size_t              count = 0;
    size_t              position;

    for (position = 0; position < membership->n_voters; position++) {
        voter = membership->voters[position];
        count += is_healthy(control, voter) && (zone == NULL || strcmp(voter->zone, zone) == 0) ? 1 : 0;
    }
    return count;
}

/* ---- candidates ---- */

typedef struct candidate_search {
    const cw_control_t   *control;
    const Cw__Membership *membership;
    const Cw__NodeInfo   *best;
    size_t                best_neighbours; /**< healthy voters in the same zone */
} candidate_search_t;

static bool is_member(const Cw__Membership *membership, cw_incarnation_t incarnation)
{
    size_t position;

    for (position = 0; position < membership->n_voters; position++) {
        if (membership->voters[position]->incarnation == incarnation) {
            return true;
        }
    }
    for (position = 0; position < membership->n_learners; position++) {
        if (membership->learners[position]->incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

static bool consider_candidate(void *context, const Cw__NodeInfo *node)
{
    candidate_search_t *search = context;
    size_t              neighbours;

    if (!cw_control_node_usable(search->control, node) || is_member(search->membership, node->incarnation)) {
        return true;
    }
    neighbours = count_healthy_in(search->control, search->membership, node->zone);
    if (search->best == NULL || neighbours < search->best_neighbours) {
        search->best = node;
        search->best_neighbours = neighbours;
    }
    return true;
}

/* The usable node with the fewest healthy voters in its zone, which are counted too; NULL: none. */
static const Cw__NodeInfo *find_candidate(const cw_control_t *control, const Cw__Membership *membership,
                                          size_t *neighbours)
{
    candidate_search_t search = {.control = control, .membership = membership};

    cw_control_state_each_node(control->state, consider_candidate, &search);
    *neighbours = search.best_neighbours;
    return search.best;
}

/* A healthy voter that shares its zone with another one, but not this replica itself; NULL: none. */
static const Cw__NodeInfo *find_crowded(const cw_control_t *control, const Cw__Membership *present)
{
    const Cw__NodeInfo *voter;
    size_t              position;

    for (position = 0; position < present->n_voters; position++) {
        voter = present->voters[position];
        if (voter->incarnation != control->self->incarnation && is_healthy(control, voter) &&
            count_healthy_in(control, present, voter->zone) > 1) {
            return voter;
        }
    }
    return NULL;
}

/* ---- changes ---- */

/* The present members without one of them (NULL: all), with room for one more in each list. */
static bool lists_init(member_lists_t *lists, const Cw__Membership *present, const Cw__NodeInfo *without)
{
    size_t position;

    cw__membership__init(&lists->membership);
    lists->voters = calloc(present->n_voters + 1, sizeof(Cw__NodeInfo *));
    lists->learners = calloc(present->n_learners + 1, sizeof(Cw__NodeInfo *));
    if (lists->voters == NULL || lists->learners == NULL) {
        return false;
    }
    for (position = 0; position < present->n_voters; position++) {
        if (present->voters[position] != without) {
            lists->voters[lists->membership.n_voters++] = present->voters[position];
        }
    }
    for (position = 0; position < present->n_learners; position++) {
        if (present->learners[position] != without) {
            lists->learners[lists->membership.n_learners++] = present->learners[position];
        }
    }
    lists->membership.voters = lists->voters;
    lists->membership.learners = lists->learners;
    return true;
}

static void propose_lists(cw_control_t *control, member_lists_t *lists, bool ready)
{
    if (ready) {
        (void)cw_raft_propose_membership(control->raft, &lists->membership, control->now.monotonic_us);
    }
    free(lists->voters);
    free(lists->learners);
}

static void remove_member(cw_control_t *control, const Cw__Membership *present, const Cw__NodeInfo *member)
{
    member_lists_t lists;
    bool           ready = lists_init(&lists, present, member);

    propose_lists(control, &lists, ready);
}

static void add_learner(cw_control_t *control, const Cw__Membership *present, const Cw__NodeInfo *node)
{
    member_lists_t lists;
    bool           ready = lists_init(&lists, present, NULL);

    if (ready) {
        lists.learners[lists.membership.n_learners++] = (Cw__NodeInfo *)node;
    }
    control->leading.learner = node->incarnation;
    control->leading.learner_us = control->now.monotonic_us;
    propose_lists(control, &lists, ready);
}

static void promote_learner(cw_control_t *control, const Cw__Membership *present, Cw__NodeInfo *learner)
{
    member_lists_t lists;
    bool           ready = lists_init(&lists, present, learner);

    if (ready) {
        lists.voters[lists.membership.n_voters++] = learner;
    }
    propose_lists(control, &lists, ready);
}

/* ---- steps ---- */

static bool has_caught_up(const cw_control_t *control, const Cw__NodeInfo *learner)
{
    uint64_t match = cw_raft_member_match(control->raft, learner->incarnation);

    return match != 0 && match + CATCH_UP_ENTRIES >= cw_raft_commit_index(control->raft);
}

static void tend_learner(cw_control_t *control, const Cw__Membership *present)
{
    Cw__NodeInfo *learner = present->learners[0];

    if (control->leading.learner != learner->incarnation) {
        control->leading.learner = learner->incarnation;
        control->leading.learner_us = control->now.monotonic_us;
    }
    if (!is_healthy(control, learner) ||
        control->now.monotonic_us - control->leading.learner_us > LEARNER_PATIENCE_US) {
        remove_member(control, present, learner);
    } else if (has_caught_up(control, learner)) {
        promote_learner(control, present, learner);
    }
}

/* A voter to take out: gone first, then leaving; never this replica itself. */
static const Cw__NodeInfo *find_unhealthy(const cw_control_t *control, const Cw__Membership *present, bool gone)
{
    const Cw__NodeInfo *voter;
    size_t              position;

    for (position = 0; position < present->n_voters; position++) {
        voter = present->voters[position];
        if (voter->incarnation == control->self->incarnation) {
            continue;
        }
        if (gone ? is_gone(control, voter) : is_leaving(control, voter)) {
            return voter;
        }
    }
    return NULL;
}

/* Some voter that is not this replica itself. */
static const Cw__NodeInfo *find_other(const cw_control_t *control, const Cw__Membership *present)
{
    const Cw__NodeInfo *last = present->voters[present->n_voters - 1];

    return last->incarnation != control->self->incarnation ? last : present->voters[0];
}

/* There are healthy voters enough: the others go, and the zones are evened out. */
static void tend_full_group(cw_control_t *control, const Cw__Membership *present, size_t healthy)
{
    const Cw__NodeInfo *removable = find_unhealthy(control, present, true);
    const Cw__NodeInfo *crowded = find_crowded(control, present);
    const Cw__NodeInfo *candidate;
    size_t              neighbours;

    if (removable == NULL) {
        removable = find_unhealthy(control, present, false);
    }
    if (removable == NULL && healthy > control->options.control_size) {
        removable = crowded != NULL ? crowded : find_other(control, present);
    }
    if (removable != NULL) {
        remove_member(control, present, removable);
        return;
    }
    candidate = crowded == NULL ? NULL : find_candidate(control, present, &neighbours);
    if (candidate != NULL && neighbours == 0 && healthy == control->options.control_size) {
        add_learner(control, present, candidate);
    }
}

void cw_control_tend_membership(cw_control_t *control)
{
    const Cw__Membership *present = cw_raft_membership(control->raft);
    const Cw__NodeInfo   *leaving = find_unhealthy(control, present, false);
    const Cw__NodeInfo   *candidate;
    size_t                healthy = count_healthy_in(control, present, NULL);
    size_t                neighbours;

    if (present->n_learners > 0) {
        tend_learner(control, present);
        return;
    }
    if (healthy >= control->options.control_size) {
        tend_full_group(control, present, healthy);
        return;
    }
    candidate = find_candidate(control, present, &neighbours);
    if (candidate != NULL) {
        add_learner(control, present, candidate);
    } else if (leaving != NULL) {
        remove_member(control, present, leaving);
    }
}

/* ---- planned stop ---- */

bool cw_control_leave(cw_control_t *control, cw_instant_t now)
{
    const Cw__Membership *membership = cw_raft_membership(control->raft);
    bool                  silent;

    control->now = now;
    if (control->leaving_us == 0) {
        control->leaving_us = now.monotonic_us;
    }
    if (now.monotonic_us - control->leaving_us > LEAVE_MAX_US) {
        return true;
    }
    if (cw_raft_role(control->raft) == CW_RAFT_LEADER) {
        (void)cw_raft_step_down(control->raft, now.monotonic_us);
        return false;
    }
    silent = now.monotonic_us - control->leader_heard_us > LEAVE_SILENCE_US;
    return silent || membership == NULL || !is_member(membership, control->self->incarnation);
}
