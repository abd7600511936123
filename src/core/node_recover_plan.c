/**
 * @file node_recover_plan.c
 * @brief Decides from what was gathered whether the control group can be formed anew, of whom and from what state.
 *
 * Rules:
 * - Refused while a majority of the members answers, by what one of the replicas that answer says of its group, and
 * none of that majority has a longer log: then that replica can be elected. Members in the record or known to a replica
 *   that fell behind do not count as such, since they may have been replaced.
 * - State: the newest of the record's snapshot and what this node holds, by (generation, version). When another node
 *   that answers holds a newer one, the operator is sent there.
 * - Members: nodes that answer, this one first, then those of zones not used yet, in ascending order of their ids.
 * - Wait: every lease that the lost group can have named must be over. It ends the longest lease, stretched by the
 *   bound on drift, after the last sign of that group: the last beat heard by any node that answers, or the start of
 *   this process or of a former member's machine, whichever is latest.
 * - The longest lease is that of every state known. When the store lists a configuration that none of them holds, its
 *   lease is not known, and the longest that an intent may ask for counts.
 */
#include <inttypes.h>
#include <openssl/sha.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "node_recover.h"

enum { STATUS_OK = 200, STATUS_CONFLICT = 409, STATUS_UNAVAILABLE = 503, PARTS_PER_MILLION = 1000000 };

static void refuse(cw_recovery_plan_t *plan, uint32_t status, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void refuse(cw_recovery_plan_t *plan, uint32_t status, const char *format, ...)
{
    va_list arguments;

    plan->status = status;
    va_start(arguments, format);
    vsnprintf(plan->error, sizeof(plan->error), format, arguments);
    va_end(arguments);
}

/* ---- who answers ---- */

static const cw_probe_answer_t *answer_of(const cw_recovery_t *recovery, cw_node_id_t node)
{
    return cw_ordered_table_find(&recovery->answers, node);
}

static bool answers_as(const cw_recovery_t *recovery, const Cw__NodeInfo *member)
{
    const cw_probe_answer_t *answer = answer_of(recovery, member->id);

    return answer != NULL && answer->reply->node->incarnation == member->incarnation;
}

/* Is the voter's log no more complete than the candidate's, so that it would vote for it? */
static bool would_vote(const Cw__ControlProbeReply *voter, const Cw__ControlProbeReply *candidate)
{
    if (voter->replica_last_term != candidate->replica_last_term) {
        return voter->replica_last_term < candidate->replica_last_term;
    }
    return voter->replica_last_index <= candidate->replica_last_index;
}

/* Has the candidate, as far as it knows its group, the votes of a majority among those that answer? */
static bool can_be_elected(const cw_recovery_t *recovery, const Cw__ControlProbeReply *candidate)
{
    size_t votes = 0;
    size_t position;

    for (position = 0; position < candidate->n_voters; position++) {
        const Cw__NodeInfo          *member = candidate->voters[position];
        const Cw__ControlProbeReply *voter;

        if (!answers_as(recovery, member)) {
            continue;
        }
        voter = answer_of(recovery, member->id)->reply;
        votes += voter->replica_generation == candidate->replica_generation && would_vote(voter, candidate);
    }
    return 2 * votes > candidate->n_voters;
}

static bool majority_answers(const cw_recovery_t *recovery)
{
    const Cw__ControlProbeReply *reply;
    size_t                       position;

    for (position = 0; position < recovery->answers.count; position++) {
        reply = ((const cw_probe_answer_t *)recovery->answers.slots[position].value)->reply;
        if (reply->replica_generation == recovery->record->generation && can_be_elected(recovery, reply)) {
            return true;
        }
    }
    return false;
}

/* ---- state ---- */

static bool is_newer(uint64_t generation, uint64_t version, uint64_t other_generation, uint64_t other_version)
{
    return generation != other_generation ? generation > other_generation : version > other_version;
}

const cw_control_state_t *cw_recovery_best_state(const cw_node_t *node, uint64_t *generation, uint64_t *version)
{
    const cw_control_state_t *best = NULL;
    const cw_control_state_t *replicated;

    *generation = cw_relay_generation(node->relay);
    *version = cw_relay_version(node->relay);
    if (*generation != 0) {
        best = cw_relay_routes(node->relay);
    }
    if (node->control == NULL) {
        return best;
    }
    replicated = cw_control_state(node->control);
    if (cw_control_state_version(replicated) > 0 &&
        is_newer(node->control_generation, cw_control_state_version(replicated), *generation, *version)) {
        *generation = node->control_generation;
        *version = cw_control_state_version(replicated);
        best = replicated;
    }
    return best;
}

static uint64_t snapshot_version(const Cw__Bootstrap *record)
{
    Cw__ControlSnapshot *snapshot = cw__control_snapshot__unpack(NULL, record->snapshot.len, record->snapshot.data);
    uint64_t             version = 0;

    if (snapshot != NULL) {
        version = snapshot->version;
        cw__control_snapshot__free_unpacked(snapshot, NULL);
    }
    return version;
}

static void choose_state(const cw_node_t *node, cw_recovery_plan_t *plan)
{
    const Cw__Bootstrap *record = node->recovery->record;
    uint64_t             generation;
    uint64_t             version;

    plan->state_generation = record->generation;
    plan->state_version = snapshot_version(record);
    plan->state = cw_recovery_best_state(node, &generation, &version);
    if (plan->state != NULL && is_newer(generation, version, plan->state_generation, plan->state_version)) {
        plan->state_generation = generation;
        plan->state_version = version;
    } else {
        plan->state = NULL;
    }
}

/* A node that answers and holds a newer state than the one chosen; NULL: none. */
static const Cw__ControlProbeReply *find_newer_state(const cw_recovery_t *recovery, const cw_recovery_plan_t *plan)
{
    const Cw__ControlProbeReply *best = NULL;
    const Cw__ControlProbeReply *reply;
    uint64_t                     generation = plan->state_generation;
    uint64_t                     version = plan->state_version;
    size_t                       position;

    for (position = 0; position < recovery->answers.count; position++) {
        reply = ((const cw_probe_answer_t *)recovery->answers.slots[position].value)->reply;
        if (is_newer(reply->generation, reply->version, generation, version)) {
            best = reply;
            generation = reply->generation;
            version = reply->version;
        }
    }
    return best;
}

/* ---- members ---- */

static bool zone_used(const cw_recovery_plan_t *plan, const char *zone)
{
    size_t position;

    for (position = 0; position < plan->member_count; position++) {
        if (strcmp(plan->members[position]->zone, zone) == 0) {
            return true;
        }
    }
    return false;
}

static bool is_chosen(const cw_recovery_plan_t *plan, const Cw__NodeInfo *node)
{
    size_t position;

    for (position = 0; position < plan->member_count; position++) {
        if (plan->members[position]->id == node->id) {
            return true;
        }
    }
    return false;
}

static void add_members(const cw_node_t *node, cw_recovery_plan_t *plan, bool new_zones_only)
{
    const Cw__ControlProbeReply *reply;
    size_t                       wanted = node->options.control_size;
    size_t                       position;

    wanted = wanted > CW_RECOVERY_MEMBERS_MAX ? CW_RECOVERY_MEMBERS_MAX : wanted;
    for (position = 0; position < node->recovery->answers.count && plan->member_count < wanted; position++) {
        reply = ((const cw_probe_answer_t *)node->recovery->answers.slots[position].value)->reply;
        if (reply->leaving || is_chosen(plan, reply->node) || (new_zones_only && zone_used(plan, reply->node->zone))) {
            continue;
        }
        plan->members[plan->member_count++] = reply->node;
    }
}

static void choose_members(const cw_node_t *node, cw_recovery_plan_t *plan)
{
    plan->members[plan->member_count++] = node->self;
    add_members(node, plan, true);
    add_members(node, plan, false);
}

/* ---- wait ---- */

static bool note_lease(void *context, const Cw__TenantConfiguration *tenant)
{
    uint32_t *longest_ms = context;
    size_t    position;

    for (position = 0; position < tenant->n_services; position++) {
        if (tenant->services[position]->lease_ms > *longest_ms) {
            *longest_ms = tenant->services[position]->lease_ms;
        }
    }
    return true;
}

/* Does the state hold this version of the tenant's configuration, or a newer one? */
static bool is_held(const cw_control_state_t *state, const cw_listed_configuration_t *listed)
{
    const Cw__TenantConfiguration *tenant = state == NULL ? NULL : cw_control_state_tenant(state, listed->tenant);

    return tenant != NULL && tenant->version >= listed->version;
}

static uint32_t longest_lease_ms(const cw_node_t *node)
{
    const cw_recovery_t      *recovery = node->recovery;
    cw_control_state_t       *snapshot = cw_control_state_create();
    const cw_control_state_t *own;
    uint32_t                  longest_ms = 0;
    uint64_t                  generation;
    uint64_t                  version;
    size_t                    position;

    if (snapshot == NULL) {
        return CW_LEASE_MAX_MS;
    }
    (void)cw_control_state_unpack(snapshot, recovery->record->snapshot.data, recovery->record->snapshot.len);
    own = cw_recovery_best_state(node, &generation, &version);
    cw_control_state_each_tenant(snapshot, note_lease, &longest_ms);
    if (own != NULL) {
        cw_control_state_each_tenant(own, note_lease, &longest_ms);
    }
    for (position = 0; position < recovery->listed_count; position++) {
        if (!is_held(snapshot, &recovery->listed[position]) && !is_held(own, &recovery->listed[position])) {
            longest_ms = CW_LEASE_MAX_MS;
        }
    }
    cw_control_state_free(snapshot);
    return longest_ms;
}

static bool was_member(const Cw__Bootstrap *record, cw_node_id_t node)
{
    size_t position;

    for (position = 0; position < record->n_members; position++) {
        if (record->members[position]->id == node) {
            return true;
        }
    }
    return false;
}

/* Latest time at which the former group may still have had a leader. */
static cw_time_us_t last_sign(const cw_node_t *node)
{
    const cw_recovery_t     *recovery = node->recovery;
    const cw_probe_answer_t *answer;
    cw_time_us_t             latest = node->started_us;
    cw_time_us_t             sign;
    size_t                   position;

    for (position = 0; position < recovery->answers.count; position++) {
        answer = recovery->answers.slots[position].value;
        sign = answer->heard_us - answer->reply->beat_age_us;
        if (answer->reply->beat_heard && sign > latest) {
            latest = sign;
        }
        sign = answer->heard_us - answer->reply->up_us;
        if (was_member(recovery->record, answer->reply->node->id) && sign > latest) {
            latest = sign;
        }
    }
    return latest;
}

static cw_time_us_t wait_left(const cw_node_t *node, cw_instant_t now)
{
    int64_t lease_us = (int64_t)longest_lease_ms(node) * CW_US_PER_MS;
    int64_t wait_us = lease_us + lease_us * node->options.clock_drift_ppm / PARTS_PER_MILLION + 1;

    if (wait_us < node->options.out_of_touch_us) {
        wait_us = node->options.out_of_touch_us;
    }
    return last_sign(node) + wait_us - now.monotonic_us;
}

/* ---- the plan ---- */

static void make_id(const cw_recovery_t *recovery, cw_recovery_plan_t *plan)
{
    uint8_t digest[SHA256_DIGEST_LENGTH];
    char   *text = NULL;
    size_t  length = 0;
    FILE   *stream = open_memstream(&text, &length);
    size_t  position;

    if (stream == NULL) {
        refuse(plan, STATUS_UNAVAILABLE, "no memory");
        return;
    }
    fprintf(stream, "%" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64, recovery->record_version, plan->generation,
            plan->state_generation, plan->state_version);
    for (position = 0; position < plan->member_count; position++) {
        fprintf(stream, " %016" PRIx64, plan->members[position]->incarnation);
    }
    fclose(stream);
    SHA256((const unsigned char *)text, length, digest);
    free(text);
    for (position = 0; position < CW_RECOVERY_ID_CHARACTERS / 2; position++) {
        snprintf(plan->id + 2 * position, 3, "%02x", digest[position]);
    }
}

void cw_recovery_make_plan(const cw_node_t *node, cw_recovery_plan_t *plan, cw_instant_t now)
{
    const cw_recovery_t         *recovery = node->recovery;
    const Cw__ControlProbeReply *newer;

    memset(plan, 0, sizeof(*plan));
    plan->status = STATUS_OK;
    if (recovery->record_missing) {
        refuse(plan, STATUS_CONFLICT,
               "no control group was ever formed; it forms by itself once its first members run");
        return;
    }
    if (majority_answers(recovery)) {
        refuse(plan, STATUS_CONFLICT, "a majority of the members of generation %" PRIu64 " answers; see status",
               recovery->record->generation);
        return;
    }
    choose_state(node, plan);
    newer = find_newer_state(recovery, plan);
    if (newer != NULL) {
        refuse(plan, STATUS_CONFLICT, "node %u (%s:%u) holds a newer state, version %" PRIu64 "; run recover there",
               newer->node->id, newer->node->address, newer->node->http_port, newer->version);
        return;
    }
    plan->generation = recovery->record->generation + 1;
    choose_members(node, plan);
    plan->wait_us = wait_left(node, now);
    make_id(recovery, plan);
}

/* ---- for the operator ---- */

static const char *member_state(const cw_recovery_t *recovery, const Cw__NodeInfo *member)
{
    if (answers_as(recovery, member)) {
        return "answers";
    }
    return answer_of(recovery, member->id) != NULL ? "restarted" : "silent";
}

static json_t *describe_former(const cw_recovery_t *recovery)
{
    json_t             *members = json_array();
    const Cw__NodeInfo *member;
    size_t              position;

    for (position = 0; position < recovery->record->n_members; position++) {
        member = recovery->record->members[position];
        json_array_append_new(members,
                              json_pack("{s:I,s:s,s:s,s:s}", "node", (json_int_t)member->id, "zone", member->zone,
                                        "address", member->address, "state", member_state(recovery, member)));
    }
    return members;
}

static json_t *describe_members(const cw_recovery_plan_t *plan)
{
    json_t *members = json_array();
    size_t  position;

    for (position = 0; position < plan->member_count; position++) {
        json_array_append_new(members,
                              json_pack("{s:I,s:s,s:s}", "node", (json_int_t)plan->members[position]->id, "zone",
                                        plan->members[position]->zone, "address", plan->members[position]->address));
    }
    return members;
}

json_t *cw_recovery_describe(const cw_node_t *node, const cw_recovery_plan_t *plan)
{
    const cw_recovery_t *recovery = node->recovery;
    json_t              *lost = json_array();
    json_int_t           wait_ms = plan->wait_us > 0 ? (json_int_t)(plan->wait_us / CW_US_PER_MS + 1) : 0;

    json_array_append_new(lost,
                          json_string("decisions of the lost group after this state: their ranges are placed anew, "
                                      "under fences of the new generation"));
    json_array_append_new(lost, json_string("plans that were not confirmed"));
    json_array_append_new(lost,
                          json_string("journal entries whose replicas lost their majority: a repeated id of such a "
                                      "request is answered unknown, never run"));
    return json_pack(
        "{s:s,s:I,s:I,s:o,s:o,s:{s:s,s:I,s:I,s:I},s:I,s:I,s:o,s:s}", "plan", plan->id, "generation",
        (json_int_t)plan->generation, "record_version", (json_int_t)recovery->record_version, "former_members",
        describe_former(recovery), "members", describe_members(plan), "state", "source",
        plan->state != NULL ? "this node" : "record in the store", "generation", (json_int_t)plan->state_generation,
        "version", (json_int_t)plan->state_version, "record_snapshot", (json_int_t)snapshot_version(recovery->record),
        "answering_nodes", (json_int_t)recovery->answers.count, "wait_ms", wait_ms, "lost", lost, "condition",
        "every former member that does not answer must have ended or be cut off from its servers for good");
}
