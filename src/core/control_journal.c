/**
 * @file control_journal.c
 * @brief Journal replicas of ranges: three live nodes in different zones, replaced when one goes.
 *
 * Rules:
 * - Members that are up stay; missing places are filled from zones without a member first, spread over nodes by the
 *   range's position so that no node serves them all. A node that is leaving stays while there is nobody else.
 * - A changed set remembers the old one as former_journal, to be sealed and copied from. With a majority of the old set
 *   gone nothing can be sealed: request ids from before the change are answered unknown, by journal_valid_from_ms.
 * - Two changes of a set are CHANGE_INTERVAL_US apart, so that the copying of the first is over before the second, but
 *   for a set that lost its majority.
 * - Nodes that come or go are the only cause to look at all ranges, and to group the nodes by zone anew.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "core/control_internal.h"

enum { CHANGE_INTERVAL_US = 5 * CW_US_PER_S, CLOCK_SKEW_MS = 5000 };

/* ---- pool of nodes by zone ---- */

typedef struct pool_filling {
    cw_journal_pool_t *pool;
    size_t             capacity;
    bool               failed;
} pool_filling_t;

static bool add_to_pool(void *context, const Cw__NodeInfo *node)
{
    pool_filling_t      *filling = context;
    const Cw__NodeInfo **grown;

    if (node->state != CW__NODE_STATE__NODE_UP) {
        return true;
    }
    if (filling->pool->count == filling->capacity) {
        filling->capacity = filling->capacity == 0 ? 16 : 2 * filling->capacity;
        grown = realloc(filling->pool->nodes, filling->capacity * sizeof(const Cw__NodeInfo *));
        if (grown == NULL) {
            filling->failed = true;
            return false;
        }
        filling->pool->nodes = grown;
    }
    filling->pool->nodes[filling->pool->count++] = node;
    return true;
}

static int compare_by_zone(const void *left, const void *right)
{
    const Cw__NodeInfo *left_node = *(const Cw__NodeInfo *const *)left;
    const Cw__NodeInfo *right_node = *(const Cw__NodeInfo *const *)right;
    int                 order = strcmp(left_node->zone, right_node->zone);

    if (order != 0) {
        return order;
    }
    return left_node->id < right_node->id ? -1 : 1;
}

static void find_zones(cw_journal_pool_t *pool)
{
    size_t position;

    for (position = 0; position < pool->count; position++) {
        if (position == 0 || strcmp(pool->nodes[position]->zone, pool->nodes[position - 1]->zone) != 0) {
            pool->zone_starts[pool->zone_count++] = position;
        }
    }
    pool->zone_starts[pool->zone_count] = pool->count;
}

void cw_control_forget_journal_pool(cw_control_t *control)
{
    cw_journal_pool_t *pool = &control->leading.journal_pool;

    free(pool->nodes);
    free(pool->zone_starts);
    memset(pool, 0, sizeof(*pool));
}

/* Nodes that are up, as the state has them now. */
static const cw_journal_pool_t *obtain_pool(cw_control_t *control)
{
    cw_journal_pool_t *pool = &control->leading.journal_pool;
    pool_filling_t     filling = {.pool = pool};

    if (pool->zone_starts != NULL) {
        return pool;
    }
    cw_control_state_each_node(control->state, add_to_pool, &filling);
    pool->zone_starts = calloc(pool->count + 1, sizeof(*pool->zone_starts));
    if (filling.failed || pool->zone_starts == NULL) {
        cw_control_forget_journal_pool(control);
        return pool; /* empty: nothing can be chosen now */
    }
    if (pool->count > 0) {
        qsort(pool->nodes, pool->count, sizeof(const Cw__NodeInfo *), compare_by_zone);
    }
    find_zones(pool);
    return pool;
}

/* ---- sets ---- */

/** Replica set that is being put together. */
typedef struct replica_choice {
    const Cw__NodeInfo *members[CW_JOURNAL_REPLICAS];
    size_t              count;
} replica_choice_t;

static bool has_node(const replica_choice_t *choice, const Cw__NodeInfo *node)
{
    size_t position;

    for (position = 0; position < choice->count; position++) {
        if (choice->members[position]->id == node->id) {
            return true;
        }
    }
    return false;
}

static size_t count_zone(const replica_choice_t *choice, const char *zone)
{
    size_t count = 0;
    size_t position;

    for (position = 0; position < choice->count; position++) {
        count += strcmp(choice->members[position]->zone, zone) == 0 ? 1 : 0;
    }
    return count;
}

/* The node that a replica reference stands for while that incarnation has not ended. */
static const Cw__NodeInfo *find_member(const cw_control_t *control, const Cw__ReplicaReference *reference)
{
    const Cw__NodeInfo *node = cw_control_state_node(control->state, reference->node);

    if (node == NULL || node->incarnation != reference->incarnation || node->state == CW__NODE_STATE__NODE_DOWN) {
        return NULL;
    }
    return node;
}

/* Takes over members in a given node state. Of two in one zone, one makes room when there are zones enough. */
static void keep_members(const cw_control_t *control, const cw_journal_pool_t *pool, const Cw__RangeInfo *range,
                         Cw__NodeState state, replica_choice_t *choice)
{
    const Cw__NodeInfo *node;
    size_t              position;

    for (position = 0; position < range->n_journal && choice->count < CW_JOURNAL_REPLICAS; position++) {
        node = find_member(control, range->journal[position]);
        if (node == NULL || node->state != state || has_node(choice, node)) {
            continue;
        }
        if (count_zone(choice, node->zone) > 0 && pool->zone_count >= CW_JOURNAL_REPLICAS) {
            continue;
        }
        choice->members[choice->count++] = node;
    }
}

/* Adds one node of a zone that has at most the given number of members yet. */
static bool add_member(const cw_journal_pool_t *pool, uint64_t spread, size_t zone_members, replica_choice_t *choice)
{
    const Cw__NodeInfo *node;
    size_t              turn;
    size_t              zone;
    size_t              size;
    size_t              step;

    for (turn = 0; turn < pool->zone_count; turn++) {
        zone = (spread + turn) % pool->zone_count;
        if (count_zone(choice, pool->nodes[pool->zone_starts[zone]]->zone) > zone_members) {
            continue;
        }
        size = pool->zone_starts[zone + 1] - pool->zone_starts[zone];
        for (step = 0; step < size; step++) {
            node = pool->nodes[pool->zone_starts[zone] + (spread / pool->zone_count + step) % size];
            if (!has_node(choice, node)) {
                choice->members[choice->count++] = node;
                return true;
            }
        }
    }
    return false;
}

static void choose(cw_control_t *control, const Cw__RangeInfo *range, replica_choice_t *choice)
{
    const cw_journal_pool_t *pool = obtain_pool(control);
    uint64_t                 spread = range->service ^ range->low;
    size_t                   zone_members = 0;

    choice->count = 0;
    keep_members(control, pool, range, CW__NODE_STATE__NODE_UP, choice);
    spread = cw_random_next(&spread);
    while (choice->count < CW_JOURNAL_REPLICAS && zone_members < CW_JOURNAL_REPLICAS) {
        if (!add_member(pool, spread, zone_members, choice)) {
            zone_members++;
        }
    }
    keep_members(control, pool, range, CW__NODE_STATE__NODE_LEAVING, choice);
}

static bool is_same_set(const replica_choice_t *choice, const Cw__RangeInfo *range)
{
    size_t position;
    size_t member;

    if (choice->count != range->n_journal) {
        return false;
    }
    for (position = 0; position < range->n_journal; position++) {
        for (member = 0; member < choice->count; member++) {
            if (choice->members[member]->incarnation == range->journal[position]->incarnation) {
                break;
            }
        }
        if (member == choice->count) {
            return false;
        }
    }
    return true;
}

static bool majority_lost(const cw_control_t *control, const Cw__RangeInfo *range)
{
    size_t live = 0;
    size_t position;

    for (position = 0; position < range->n_journal; position++) {
        live += find_member(control, range->journal[position]) != NULL ? 1 : 0;
    }
    return range->n_journal > 0 && live < range->n_journal / 2 + 1;
}

static bool changed_lately(const cw_control_t *control, const Cw__RangeInfo *range)
{
    const cw_range_track_t *track = cw_control_range_track(control, range->id);

    return track != NULL && track->journal_us != 0 &&
           control->now.monotonic_us - track->journal_us < CHANGE_INTERVAL_US;
}

bool cw_control_journal_outdated(cw_control_t *control, const Cw__RangeInfo *range)
{
    replica_choice_t choice;

    if (changed_lately(control, range) && !majority_lost(control, range)) {
        return false;
    }
    choose(control, range, &choice);
    return choice.count > 0 && !is_same_set(&choice, range);
}

static Cw__ReplicaReference *create_reference(const Cw__NodeInfo *node)
{
    Cw__ReplicaReference *reference = malloc(sizeof(*reference));

    if (reference != NULL) {
        cw__replica_reference__init(reference);
        reference->node = node->id;
        reference->incarnation = node->incarnation;
    }
    return reference;
}

static void free_references(Cw__ReplicaReference **references, size_t count)
{
    size_t position;

    for (position = 0; position < count; position++) {
        cw__replica_reference__free_unpacked(references[position], NULL);
    }
    free(references);
}

static Cw__ReplicaReference **create_references(const replica_choice_t *choice)
{
    Cw__ReplicaReference **references = calloc(CW_JOURNAL_REPLICAS, sizeof(Cw__ReplicaReference *));
    size_t                 position;

    for (position = 0; position < choice->count && references != NULL; position++) {
        references[position] = create_reference(choice->members[position]);
        if (references[position] == NULL) {
            free_references(references, position);
            return NULL;
        }
    }
    return references;
}

int64_t cw_control_journal_valid_from(const cw_control_t *control)
{
    return control->now.wall_ms + CLOCK_SKEW_MS;
}

void cw_control_choose_journal(cw_control_t *control, Cw__RangeInfo *range)
{
    replica_choice_t       choice;
    Cw__ReplicaReference **references;
    cw_range_track_t      *track;

    if (!cw_control_journal_outdated(control, range)) {
        return;
    }
    choose(control, range, &choice);
    references = create_references(&choice);
    if (references == NULL) {
        return;
    }
    if (majority_lost(control, range)) {
        range->journal_valid_from_ms = cw_control_journal_valid_from(control);
    }
    free_references(range->former_journal, range->n_former_journal);
    range->former_journal = range->journal;
    range->n_former_journal = range->n_journal;
    range->journal = references;
    range->n_journal = choice.count;
    track = range->id == 0 ? NULL : cw_control_make_range_track(control, range->id);
    if (track != NULL) {
        track->journal_us = control->now.monotonic_us;
    }
}

/* ---- looking for sets to change ---- */

typedef struct journal_scan {
    cw_control_t *control;
    bool          later; /**< some range has to be looked at again */
} journal_scan_t;

static bool scan_range(void *context, const Cw__RangeInfo *range)
{
    journal_scan_t   *scan = context;
    cw_range_track_t *track;

    if (changed_lately(scan->control, range)) {
        scan->later = true;
    }
    if (!cw_control_journal_outdated(scan->control, range)) {
        return true;
    }
    track = cw_control_make_range_track(scan->control, range->id);
    if (track != NULL) {
        track->renew = true;
        cw_control_mark(scan->control, &scan->control->leading.dirty_services, range->service);
    }
    return true;
}

void cw_control_scan_journals(cw_control_t *control)
{
    journal_scan_t scan = {.control = control};

    if (!control->leading.journals_changed || control->now.monotonic_us < control->leading.journals_us) {
        return;
    }
    cw_control_state_each_range(control->state, scan_range, &scan);
    control->leading.journals_changed = scan.later;
    control->leading.journals_us = control->now.monotonic_us + CW_US_PER_S;
}
