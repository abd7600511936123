/**
 * @file node_recover_probe.c
 * @brief Probes of a recovery: what other nodes know of the control group, and what this one answers.
 *
 * Asked are the seeds, the first PROBES_MAX nodes of the route table and the members in the record. Any node answers,
 * with or without a leader. The first answer of a node in a recovery counts.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "node_recover.h"

enum { PROBES_MAX = 256 };

static void fill_replica(const cw_node_t *node, Cw__ControlProbeReply *reply)
{
    const cw_raft_t      *raft = cw_control_raft(node->control);
    const Cw__Membership *membership = cw_raft_membership(raft);

    reply->replica_generation = node->control_generation;
    reply->n_voters = membership->n_voters;
    reply->voters = membership->voters;
    reply->replica_last_term = cw_raft_last_term(raft);
    reply->replica_last_index = cw_raft_last_index(raft);
}

static void fill_reply(const cw_node_t *node, Cw__ControlProbeReply *reply, uint64_t id, cw_instant_t now)
{
    cw_time_us_t heard_us;

    cw__control_probe_reply__init(reply);
    reply->id = id;
    reply->node = node->self;
    reply->leaving = node->stopping;
    reply->up_us = now.monotonic_us - node->started_us;
    reply->beat_heard = cw_relay_last_beat(node->relay, &heard_us);
    reply->beat_age_us = now.monotonic_us - heard_us;
    (void)cw_recovery_best_state(node, &reply->generation, &reply->version);
    if (node->control != NULL) {
        fill_replica(node, reply);
    }
}

void cw_node_recover_probe(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now)
{
    Cw__Envelope          answer = CW__ENVELOPE__INIT;
    Cw__ControlProbeReply reply;

    fill_reply(node, &reply, envelope->control_probe->id, now);
    answer.body_case = CW__ENVELOPE__BODY_CONTROL_PROBE_REPLY;
    answer.control_probe_reply = &reply;
    cw_node_send(node, envelope->from, &answer);
}

static void keep_reply(cw_recovery_t *recovery, const Cw__ControlProbeReply *reply, cw_instant_t now)
{
    cw_probe_answer_t *answer = cw_ordered_table_find(&recovery->answers, reply->node->id);

    if (answer != NULL) {
        return;
    }
    answer = calloc(1, sizeof(*answer));
    if (answer == NULL) {
        return;
    }
    answer->heard_us = now.monotonic_us;
    answer->reply = (Cw__ControlProbeReply *)cw_message_copy(&reply->base);
    if (answer->reply == NULL || cw_ordered_table_put(&recovery->answers, reply->node->id, answer) != CW_OK) {
        if (answer->reply != NULL) {
            cw__control_probe_reply__free_unpacked(answer->reply, NULL);
        }
        free(answer);
    }
}

void cw_node_recover_probe_reply(cw_node_t *node, const Cw__ControlProbeReply *reply, cw_instant_t now)
{
    if (node->recovery->step == CW_RECOVERY_GATHERING && reply->id == node->recovery->probe_id && reply->node != NULL) {
        keep_reply(node->recovery, reply, now);
    }
}

static void send_probe(cw_node_t *node, cw_node_id_t to)
{
    Cw__Envelope     envelope = CW__ENVELOPE__INIT;
    Cw__ControlProbe probe = CW__CONTROL_PROBE__INIT;

    probe.id = node->recovery->probe_id;
    envelope.body_case = CW__ENVELOPE__BODY_CONTROL_PROBE;
    envelope.control_probe = &probe;
    if (to != node->self->id) {
        cw_node_send(node, to, &envelope);
    }
}

typedef struct probe_visit {
    cw_node_t *node;
    size_t     sent;
} probe_visit_t;

static bool probe_node(void *context, const Cw__NodeInfo *info)
{
    probe_visit_t *visit = context;

    visit->node->inner.learn_node(visit->node->inner.context, info);
    send_probe(visit->node, info->id);
    return ++visit->sent < PROBES_MAX;
}

void cw_recovery_probe_nodes(cw_node_t *node, cw_instant_t now)
{
    probe_visit_t         visit = {node, 0};
    Cw__ControlProbeReply own;
    size_t                position;

    fill_reply(node, &own, node->recovery->probe_id, now);
    keep_reply(node->recovery, &own, now);
    for (position = 0; position < node->options.seed_count; position++) {
        send_probe(node, node->options.seeds[position]->id);
    }
    cw_control_state_each_node(cw_relay_routes(node->relay), probe_node, &visit);
}

void cw_recovery_probe_members(cw_node_t *node)
{
    const Cw__Bootstrap *record = node->recovery->record;
    size_t               position;

    for (position = 0; position < record->n_members; position++) {
        node->inner.learn_node(node->inner.context, record->members[position]);
        send_probe(node, record->members[position]->id);
    }
}

void cw_recovery_forget_answers(cw_recovery_t *recovery)
{
    cw_probe_answer_t *answer;
    size_t             position;

    for (position = 0; position < recovery->answers.count; position++) {
        answer = recovery->answers.slots[position].value;
        cw__control_probe_reply__free_unpacked(answer->reply, NULL);
        free(answer);
    }
    cw_ordered_table_clear(&recovery->answers);
}
