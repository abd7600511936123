/**
 * @file control_servers.c
 * @brief Which node forwards to each server, new fences for servers that lost their grants, and draining.
 *
 * Forwarder of a server:
 * - its node is live and UP: kept;
 * - its node is gone or another incarnation: another node at once, which gives the server a new fence;
 * - its node is LEAVING: handover. The server's ranges are revoked and drained first, so that no request in flight is
 *   cut off; once all are released, one command changes the forwarder and grants the ranges again.
 * A new forwarder is the usable node with the fewest servers, in the server's own zone when there is one.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_internal.h"

typedef struct forwarder_choice {
    const cw_control_t *control;
    const char         *zone;
    const Cw__NodeInfo *best;
    size_t              best_servers;
    bool                best_in_zone;
} forwarder_choice_t;

/* Servers of a node, those given to it by the command that is being built included. */
static size_t count_servers(const cw_control_t *control, const Cw__NodeInfo *node)
{
    const cw_node_track_t *track = cw_control_node_track(control, node->id);

    return track == NULL ? 0 : track->servers.count + track->planned;
}

static bool consider_node(void *context, const Cw__NodeInfo *node)
{
    forwarder_choice_t *choice = context;
    bool                in_zone = strcmp(node->zone, choice->zone) == 0;
    size_t              servers;

    if (!cw_control_node_usable(choice->control, node) || (choice->best_in_zone && !in_zone)) {
        return true;
    }
    servers = count_servers(choice->control, node);
    if (choice->best == NULL || (in_zone && !choice->best_in_zone) || servers < choice->best_servers) {
        choice->best = node;
        choice->best_servers = servers;
        choice->best_in_zone = in_zone;
    }
    return true;
}

static const Cw__NodeInfo *choose_forwarder(const cw_control_t *control, const Cw__ServerConfiguration *server)
{
    forwarder_choice_t choice = {.control = control, .zone = server == NULL ? "" : server->zone};

    cw_control_state_each_node(control->state, consider_node, &choice);
    return choice.best;
}

static void give_server(cw_control_t *control, cw_command_builder_t *builder, Cw__ServerInfo *server,
                        const Cw__NodeInfo *forwarder)
{
    cw_node_track_t *track = cw_control_node_track(control, forwarder->id);

    server->forwarder = forwarder->id;
    server->forwarder_incarnation = forwarder->incarnation;
    server->fence = NULL;
    cw_command_add_server(builder, server);
    if (track != NULL) {
        track->planned++;
    }
}

void cw_control_add_server(cw_control_t *control, cw_command_builder_t *builder, cw_service_id_t service,
                           const Cw__ServerConfiguration *server)
{
    const Cw__NodeInfo *forwarder = choose_forwarder(control, server);
    Cw__ServerInfo      info = CW__SERVER_INFO__INIT;

    if (forwarder == NULL || cw_command_has_server(builder, server->id)) {
        return;
    }
    info.server = server->id;
    info.service = service;
    give_server(control, builder, &info, forwarder);
}

/* Another forwarder, or none when no node can take it: then the server is looked at again later. */
static bool change_forwarder(cw_control_t *control, cw_command_builder_t *builder, const Cw__ServerInfo *server)
{
    const Cw__ServerConfiguration *configuration =
        cw_control_state_server_configuration(control->state, server->server);
    const Cw__NodeInfo *forwarder = choose_forwarder(control, configuration);
    Cw__ServerInfo      changed = *server;

    if (forwarder == NULL) {
        return false;
    }
    give_server(control, builder, &changed, forwarder);
    return true;
}

/* ---- handover from a leaving forwarder ---- */

typedef struct handover {
    cw_control_t         *control;
    cw_command_builder_t *builder;
    bool                  drained;
} handover_t;

static bool drain_range(void *context, const Cw__RangeInfo *range)
{
    handover_t   *handover = context;
    Cw__RangeInfo changed = *range;

    if (cw_command_has_range(handover->builder, range->id)) {
        handover->drained = false;
        return true;
    }
    if (range->state == CW__RANGE_STATE__RANGE_REVOKING) {
        handover->drained &= cw_control_range_released(handover->control, range);
        return true;
    }
    handover->drained = false;
    changed.state = CW__RANGE_STATE__RANGE_REVOKING;
    changed.reason = "forwarder is leaving: drained first";
    cw_command_add_range(handover->builder, &changed);
    return !cw_command_full(handover->builder);
}

static bool grant_range(void *context, const Cw__RangeInfo *range)
{
    handover_t    *handover = context;
    Cw__RangeInfo *changed = (Cw__RangeInfo *)cw_message_copy(&range->base);

    if (changed == NULL) {
        handover->builder->failed = true;
        return false;
    }
    changed->state = CW__RANGE_STATE__RANGE_GRANTED;
    cw_control_choose_journal(handover->control, changed);
    cw_command_add_range(handover->builder, changed);
    cw__range_info__free_unpacked(changed, NULL);
    return true;
}

/* Returns true when the handover is complete in the command that is being built. */
static bool hand_over(cw_control_t *control, cw_command_builder_t *builder, const Cw__ServerInfo *server,
                      cw_server_track_t *track)
{
    handover_t handover = {control, builder, true};

    if (choose_forwarder(control, NULL) == NULL) {
        track->handover = false;
        return false;
    }
    track->handover = true;
    cw_control_state_each_server_range(control->state, server->server, drain_range, &handover);
    if (!handover.drained) {
        return false;
    }
    if (change_forwarder(control, builder, server) && !server->draining && server->retired == NULL) {
        cw_control_state_each_server_range(control->state, server->server, grant_range, &handover);
    }
    return true;
}

/* ---- decisions ---- */

static bool keep_forwarder(cw_control_t *control, cw_command_builder_t *builder, const Cw__ServerInfo *server,
                           cw_server_track_t *track)
{
    cw_listed_t    listed = (cw_listed_t)(uintptr_t)cw_ordered_table_find(&control->listed, server->server);
    Cw__ServerInfo changed = *server;

    track->handover = false;
    if (track->fence_wanted) {
        changed.fence = NULL;
        cw_command_add_server(builder, &changed);
    } else if (listed == CW_LISTED_LEAVING && !server->draining) {
        changed.draining = true;
        cw_command_add_server(builder, &changed);
    }
    return true;
}

/* Returns false when the server has to be looked at again. */
static bool decide_server(cw_control_t *control, cw_command_builder_t *builder, const Cw__ServerInfo *server,
                          cw_server_track_t *track)
{
    const Cw__NodeInfo *forwarder = cw_control_state_node(control->state, server->forwarder);

    if (cw_command_has_server(builder, server->server)) {
        return false;
    }
    if (!cw_control_node_live(control, server->forwarder, server->forwarder_incarnation)) {
        return change_forwarder(control, builder, server);
    }
    if (forwarder->state == CW__NODE_STATE__NODE_LEAVING) {
        return hand_over(control, builder, server, track);
    }
    return keep_forwarder(control, builder, server, track);
}

void cw_control_decide_servers(cw_control_t *control, cw_command_builder_t *builder)
{
    cw_ordered_table_t   *changed = &control->leading.changed_servers;
    size_t                position = changed->count;
    const Cw__ServerInfo *server;
    cw_server_track_t    *track;
    cw_server_id_t        id;

    while (position > 0 && !cw_command_full(builder)) {
        position--;
        id = changed->slots[position].key;
        server = cw_control_state_server(control->state, id);
        track = cw_control_server_track(control, id);
        cw_ordered_table_remove(changed, id);
        if (server != NULL && track != NULL && !decide_server(control, builder, server, track)) {
            (void)cw_ordered_table_put(&control->leading.waiting_servers, id, track);
        }
    }
}
