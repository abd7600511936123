/**
 * @file control_nodes.c
 * @brief Nodes as the leader sees them: heartbeats, silence, leaving, and the commands that record it.
 *
 * State machine of a node, in the replicated state:
 *
 *     (none) --heartbeat--> UP --says that it leaves, or the list does--> LEAVING --silent--> DOWN
 *     UP --silent--> DOWN; any state --heartbeat of another incarnation--> UP with that incarnation
 *
 * Rules: silence is node_silence_us without a heartbeat, or half of it when the machine list says that the node is
 * gone; the list alone decides nothing. An incarnation that was replaced never comes back: its late heartbeats are
 * ignored.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_internal.h"

enum { HEARTBEATS_MAX = 65536 /**< waiting for a quorum round */ };

static cw_listed_t node_listed(const cw_control_t *control, cw_node_id_t node)
{
    return (cw_listed_t)(uintptr_t)cw_ordered_table_find(&control->listed, node);
}

static bool heard_lately(const cw_control_t *control, const cw_node_track_t *track)
{
    cw_time_us_t silence_us = control->options.node_silence_us;

    if (node_listed(control, track->id) == CW_LISTED_GONE) {
        silence_us /= 2;
    }
    return control->now.monotonic_us - track->heard_us <= silence_us;
}

bool cw_control_node_live(const cw_control_t *control, cw_node_id_t node, cw_incarnation_t incarnation)
{
    const Cw__NodeInfo    *info = cw_control_state_node(control->state, node);
    const cw_node_track_t *track = cw_control_node_track(control, node);

    return info != NULL && track != NULL && info->incarnation == incarnation &&
           info->state != CW__NODE_STATE__NODE_DOWN && heard_lately(control, track);
}

bool cw_control_node_usable(const cw_control_t *control, const Cw__NodeInfo *node)
{
    return node->state == CW__NODE_STATE__NODE_UP && cw_control_node_live(control, node->id, node->incarnation);
}

/* ---- heartbeats ---- */

static void refuse_heartbeat(cw_control_t *control, const Cw__Envelope *envelope)
{
    Cw__Envelope       answer = CW__ENVELOPE__INIT;
    Cw__HeartbeatReply reply = CW__HEARTBEAT_REPLY__INIT;

    reply.sequence = envelope->heartbeat->sequence;
    reply.accepted = false;
    reply.leader = (Cw__NodeInfo *)cw_control_leader_node(control);
    answer.body_case = CW__ENVELOPE__BODY_HEARTBEAT_REPLY;
    answer.heartbeat_reply = &reply;
    cw_control_send(control, envelope->from, &answer);
}

static bool is_former(const cw_node_track_t *track, cw_incarnation_t incarnation)
{
    size_t position;

    for (position = 0; position < CW_FORMER_INCARNATIONS; position++) {
        if (track->former[position] == incarnation) {
            return true;
        }
    }
    return false;
}

static bool same_node(const Cw__NodeInfo *left, const Cw__NodeInfo *right)
{
    return left->incarnation == right->incarnation && left->state == right->state &&
           left->peer_port == right->peer_port && left->http_port == right->http_port &&
           strcmp(left->address, right->address) == 0 && strcmp(left->zone, right->zone) == 0 &&
           strcmp(left->region, right->region) == 0;
}

/* Remembers what a node says of itself. False: an incarnation that was replaced, or a message out of order. */
static bool note_heartbeat(cw_control_t *control, cw_node_track_t *track, const Cw__Heartbeat *heartbeat)
{
    const Cw__NodeInfo *told = heartbeat->node;

    if (is_former(track, told->incarnation)) {
        return false;
    }
    if (track->told != NULL && track->told->incarnation == told->incarnation &&
        heartbeat->sequence <= track->sequence) {
        return false;
    }
    track->heard_us = control->now.monotonic_us;
    track->sequence = heartbeat->sequence;
    track->route_version = heartbeat->route_version;
    if (track->told != NULL && same_node(track->told, told)) {
        return true;
    }
    if (track->told != NULL) {
        if (track->told->incarnation != told->incarnation) {
            track->former[track->former_next] = track->told->incarnation;
            track->former_next = (track->former_next + 1) % CW_FORMER_INCARNATIONS;
        }
        cw__node_info__free_unpacked(track->told, NULL);
    }
    track->told = (Cw__NodeInfo *)cw_message_copy(&told->base);
    if (told->id != control->self->id) {
        control->ports.learn_node(control->ports.context, told);
    }
    return true;
}

static Cw__NodeState told_state(const cw_control_t *control, const cw_node_track_t *track)
{
    if (track->told->state == CW__NODE_STATE__NODE_LEAVING || node_listed(control, track->id) == CW_LISTED_LEAVING) {
        return CW__NODE_STATE__NODE_LEAVING;
    }
    return CW__NODE_STATE__NODE_UP;
}

/* Does the replicated state say of the node what its heartbeats say? */
static bool is_recorded(const cw_control_t *control, const cw_node_track_t *track)
{
    const Cw__NodeInfo *recorded = cw_control_state_node(control->state, track->id);
    Cw__NodeInfo        wanted;

    if (recorded == NULL) {
        return false;
    }
    wanted = *track->told;
    wanted.state = told_state(control, track);
    return same_node(recorded, &wanted);
}

static cw_pending_heartbeat_t *add_pending(cw_control_t *control, const Cw__Heartbeat *heartbeat)
{
    cw_leading_t           *leading = &control->leading;
    cw_pending_heartbeat_t *grown;
    cw_pending_heartbeat_t *pending;
    size_t                  capacity;

    if (leading->heartbeat_count == HEARTBEATS_MAX) {
        return NULL;
    }
    if (leading->heartbeat_count == leading->heartbeat_capacity) {
        capacity = leading->heartbeat_capacity == 0 ? 16 : 2 * leading->heartbeat_capacity;
        grown = realloc(leading->heartbeats, capacity * sizeof(*grown));
        if (grown == NULL) {
            return NULL;
        }
        leading->heartbeats = grown;
        leading->heartbeat_capacity = capacity;
    }
    pending = &leading->heartbeats[leading->heartbeat_count++];
    memset(pending, 0, sizeof(*pending));
    pending->node = heartbeat->node->id;
    pending->incarnation = heartbeat->node->incarnation;
    pending->sequence = heartbeat->sequence;
    pending->arrived_us = control->now.monotonic_us;
    return pending;
}

void cw_control_receive_heartbeat(cw_control_t *control, const Cw__Envelope *envelope)
{
    const Cw__Heartbeat    *heartbeat = envelope->heartbeat;
    cw_node_track_t        *track;
    cw_pending_heartbeat_t *pending;

    if (heartbeat->node == NULL || heartbeat->node->id == 0) {
        return;
    }
    if (!control->leading.active) {
        refuse_heartbeat(control, envelope);
        return;
    }
    track = cw_control_make_node_track(control, heartbeat->node->id);
    if (track == NULL || !note_heartbeat(control, track, heartbeat)) {
        return;
    }
    if (!is_recorded(control, track)) {
        cw_control_mark(control, &control->leading.dirty_nodes, track->id);
    }
    pending = add_pending(control, heartbeat);
    if (pending != NULL) {
        cw_control_take_reports(control, heartbeat, pending);
        pending->round = cw_raft_round_begin(control->raft, control->now.monotonic_us);
    }
    cw_control_take_loads(control, heartbeat);
}

/* ---- silence ---- */

void cw_control_mark_servers_of(cw_control_t *control, const cw_node_track_t *track)
{
    size_t position;

    for (position = 0; position < track->servers.count; position++) {
        cw_control_mark(control, &control->leading.changed_servers, track->servers.slots[position].key);
    }
}

void cw_control_scan_nodes(cw_control_t *control)
{
    const Cw__NodeInfo    *info;
    const cw_node_track_t *track;
    size_t                 position;

    for (position = 0; position < control->leading.nodes.count; position++) {
        track = control->leading.nodes.slots[position].value;
        info = cw_control_state_node(control->state, track->id);
        if (info == NULL || info->state == CW__NODE_STATE__NODE_DOWN) {
            continue;
        }
        if (!heard_lately(control, track) || (track->told != NULL && !is_recorded(control, track))) {
            cw_control_mark(control, &control->leading.dirty_nodes, track->id);
        }
        if (info->state != CW__NODE_STATE__NODE_UP || !heard_lately(control, track)) {
            cw_control_mark_servers_of(control, track);
        }
    }
}

static void decide_node(cw_control_t *control, cw_command_builder_t *builder, const cw_node_track_t *track)
{
    const Cw__NodeInfo *recorded = cw_control_state_node(control->state, track->id);
    Cw__NodeInfo        wanted;

    if (!heard_lately(control, track)) {
        if (recorded != NULL && recorded->state != CW__NODE_STATE__NODE_DOWN) {
            wanted = *recorded;
            wanted.state = CW__NODE_STATE__NODE_DOWN;
            cw_command_add_node(builder, &wanted);
            cw_control_mark_servers_of(control, track);
        }
        return;
    }
    if (track->told != NULL && !is_recorded(control, track)) {
        wanted = *track->told;
        wanted.state = told_state(control, track);
        cw_command_add_node(builder, &wanted);
        cw_control_mark_servers_of(control, track);
    }
}

void cw_control_decide_nodes(cw_control_t *control, cw_command_builder_t *builder)
{
    cw_ordered_table_t *dirty = &control->leading.dirty_nodes;
    cw_node_track_t    *track;

    while (dirty->count > 0 && !cw_command_full(builder)) {
        track = cw_control_node_track(control, (cw_node_id_t)dirty->slots[dirty->count - 1].key);
        cw_ordered_table_remove(dirty, dirty->slots[dirty->count - 1].key);
        if (track != NULL) {
            decide_node(control, builder, track);
        }
    }
}

/* ---- machine list ---- */

static cw_listed_t listed_state(const char *state)
{
    if (strcmp(state, "live") == 0) {
        return CW_LISTED_LIVE;
    }
    return strcmp(state, "leaving") == 0 ? CW_LISTED_LEAVING : CW_LISTED_GONE;
}

void cw_control_machine_listed(cw_control_t *control, const char *name, const char *state, cw_instant_t now)
{
    static const char node_prefix[] = "node/";
    uint64_t          key = cw_hash_key(name, strlen(name)); /* equals the id of a server */
    bool              is_node = strncmp(name, node_prefix, strlen(node_prefix)) == 0;

    control->now = now;
    if (is_node) {
        key = strtoul(name + strlen(node_prefix), NULL, 10);
    }
    (void)cw_ordered_table_put(&control->listed, key, (void *)(uintptr_t)listed_state(state));
    if (control->leading.active && !is_node && cw_control_server_track(control, key) != NULL) {
        cw_control_mark(control, &control->leading.changed_servers, key);
    }
}
