/**
 * @file control_lead.c
 * @brief Begin and end of leading, and the leader's tracks of nodes, servers, ranges and services.
 *
 * Tracks are filled once from the replicated state when leading begins, and kept in step with each applied command
 * from then on. Sets of marked ids tell what has to be looked at, so that a tick does not cost what the state holds.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_internal.h"

void cw_control_mark(cw_control_t *control, cw_ordered_table_t *set, uint64_t id)
{
    (void)cw_ordered_table_put(set, id, set); /* sets have no values; any pointer that is not NULL will do */
    control->leading.decide_wanted = true;
}

/* ---- tracks ---- */

cw_node_track_t *cw_control_node_track(const cw_control_t *control, cw_node_id_t node)
{
    return cw_ordered_table_find(&control->leading.nodes, node);
}

cw_server_track_t *cw_control_server_track(const cw_control_t *control, cw_server_id_t server)
{
    return cw_ordered_table_find(&control->leading.servers, server);
}

cw_range_track_t *cw_control_range_track(const cw_control_t *control, cw_range_id_t range)
{
    return cw_ordered_table_find(&control->leading.ranges, range);
}

/* A zeroed track of the given size, in its table under the id; NULL without memory. */
static void *add_track(cw_ordered_table_t *table, uint64_t id, size_t size)
{
    void *track = calloc(1, size);

    if (track != NULL && cw_ordered_table_put(table, id, track) != CW_OK) {
        free(track);
        return NULL;
    }
    return track;
}

cw_node_track_t *cw_control_make_node_track(cw_control_t *control, cw_node_id_t node)
{
    cw_node_track_t *track = cw_control_node_track(control, node);

    if (track == NULL) {
        track = add_track(&control->leading.nodes, node, sizeof(*track));
        if (track != NULL) {
            track->id = node;
            track->heard_us = control->now.monotonic_us;
        }
    }
    return track;
}

cw_range_track_t *cw_control_make_range_track(cw_control_t *control, cw_range_id_t range)
{
    cw_range_track_t *track = cw_control_range_track(control, range);

    if (track == NULL) {
        track = add_track(&control->leading.ranges, range, sizeof(*track));
        if (track != NULL) {
            track->id = range;
        }
    }
    return track;
}

cw_service_track_t *cw_control_make_service_track(cw_control_t *control, cw_service_id_t service)
{
    cw_service_track_t *track = cw_ordered_table_find(&control->leading.services, service);

    if (track == NULL) {
        track = add_track(&control->leading.services, service, sizeof(*track));
        if (track != NULL) {
            track->id = service;
            track->seen_us = control->now.monotonic_us;
        }
    }
    return track;
}

static cw_server_track_t *make_server_track(cw_control_t *control, const Cw__ServerInfo *server)
{
    cw_server_track_t *track = cw_control_server_track(control, server->server);

    if (track == NULL) {
        track = add_track(&control->leading.servers, server->server, sizeof(*track));
        if (track != NULL) {
            track->id = server->server;
            track->service = server->service;
            track->expected_us = control->now.monotonic_us;
        }
    }
    return track;
}

/* ---- what applied commands change in the tracks ---- */

static void note_forwarder(cw_control_t *control, cw_server_track_t *track, const Cw__ServerInfo *server)
{
    cw_node_track_t *former = cw_control_node_track(control, track->forwarder);
    cw_node_track_t *present = NULL;

    if (track->forwarder == server->forwarder && track->forwarder_incarnation == server->forwarder_incarnation) {
        return;
    }
    if (former != NULL) {
        cw_ordered_table_remove(&former->servers, track->id);
    }
    if (server->forwarder != 0) {
        present = cw_control_make_node_track(control, server->forwarder);
    }
    if (present != NULL) {
        (void)cw_ordered_table_put(&present->servers, track->id, track);
    }
    track->forwarder = server->forwarder;
    track->forwarder_incarnation = server->forwarder_incarnation;
    track->expected_us = control->now.monotonic_us;
    track->handover = false;
}

/* Marks a server for everything that may have to be decided or sent. */
static cw_server_track_t *mark_server(cw_control_t *control, const Cw__ServerInfo *server)
{
    cw_server_track_t *track = make_server_track(control, server);

    if (track != NULL) {
        note_forwarder(control, track, server);
        track->orders_us = 0;
        cw_control_mark(control, &control->leading.dirty_servers, track->id);
        cw_control_mark(control, &control->leading.changed_servers, track->id);
        cw_control_mark(control, &control->leading.dirty_services, track->service);
    }
    return track;
}

static void note_server(cw_control_t *control, cw_server_id_t id, cw_fence_t new_fence)
{
    const Cw__ServerInfo *server = cw_control_state_server(control->state, id);
    cw_server_track_t    *track = server == NULL ? NULL : mark_server(control, server);

    if (track != NULL && cw_fence_compare(cw_fence_from_message(server->fence), new_fence) == 0) {
        track->fence_wanted = false;
    }
}

static void note_range(cw_control_t *control, const Cw__RangeInfo *range)
{
    cw_range_track_t  *track = cw_control_range_track(control, range->id);
    cw_server_track_t *server = cw_control_server_track(control, range->server);

    if (track != NULL) {
        track->refence = false;
        if (range->state == CW__RANGE_STATE__RANGE_GRANTED) {
            track->target = 0;
        }
    }
    if (server != NULL) {
        server->orders_us = 0;
        cw_control_mark(control, &control->leading.dirty_servers, range->server);
    }
    cw_control_mark(control, &control->leading.dirty_services, range->service);
}

static bool mark_created(void *context, const Cw__RangeInfo *range)
{
    cw_control_note_created(context, range);
    note_range(context, range);
    return true;
}

static void note_removed(cw_control_t *control, cw_range_id_t range)
{
    free(cw_ordered_table_remove(&control->leading.ranges, range));
}

/* A retired server that was dropped from the state leaves no track behind. */
static void drop_lost_servers(cw_control_t *control)
{
    cw_ordered_table_t *servers = &control->leading.servers;
    cw_server_id_t      id;
    size_t              position = 0;

    while (position < servers->count) {
        id = servers->slots[position].key;
        if (cw_control_state_server(control->state, id) != NULL) {
            position++;
            continue;
        }
        cw_ordered_table_remove(&control->leading.dirty_servers, id);
        cw_ordered_table_remove(&control->leading.changed_servers, id);
        free(cw_ordered_table_remove(servers, id));
    }
}

/* A change of a tenant concerns its own services, and those that left the configuration with it. */
static bool is_concerned(const cw_control_t *control, cw_service_id_t service, const Cw__TenantConfiguration *tenant)
{
    const char *owner = cw_control_state_service_tenant(control->state, service);

    return cw_control_state_service(control->state, service) == NULL || owner == NULL ||
           strcmp(owner, tenant->name) == 0;
}

static void note_tenant(cw_control_t *control, const Cw__TenantConfiguration *tenant)
{
    cw_service_id_t service;
    size_t          position;

    for (position = 0; position < tenant->n_services; position++) {
        cw_control_make_service_track(control, tenant->services[position]->id);
    }
    for (position = 0; position < control->leading.services.count; position++) {
        service = control->leading.services.slots[position].key;
        if (is_concerned(control, service, tenant)) {
            cw_control_mark(control, &control->leading.dirty_services, service);
        }
    }
}

/* Is the range before it in the command new too, and of the same service? Then the service was marked for it. */
static bool created_like(const Cw__RangeInfo *former, const Cw__RangeInfo *range)
{
    return former->id == 0 && former->service == range->service;
}

/* What the node did for others may be over: its servers and the journals it keeps are looked at again. */
static void note_node(cw_control_t *control, cw_node_id_t id)
{
    cw_node_track_t *track = cw_control_make_node_track(control, id);

    cw_control_forget_journal_pool(control);
    control->leading.journals_changed = true;
    if (track != NULL) {
        cw_control_mark_servers_of(control, track);
    }
}

void cw_control_note_applied(cw_control_t *control, const Cw__Command *command, uint64_t index)
{
    const cw_fence_t fence = {control->options.generation, index};
    size_t           position;

    for (position = 0; position < command->n_removed_ranges; position++) {
        note_removed(control, command->removed_ranges[position]);
    }
    for (position = 0; position < command->n_nodes; position++) {
        note_node(control, command->nodes[position]->id);
    }
    for (position = 0; position < command->n_tenants; position++) {
        note_tenant(control, command->tenants[position]);
    }
    for (position = 0; position < command->n_servers; position++) {
        note_server(control, command->servers[position]->server, fence);
    }
    for (position = 0; position < command->n_ranges; position++) {
        const Cw__RangeInfo *range = command->ranges[position];

        if (range->id != 0) {
            note_range(control, cw_control_state_range(control->state, range->id));
        } else if (position == 0 || !created_like(command->ranges[position - 1], range)) {
            cw_control_state_each_service_range(control->state, range->service, mark_created, control);
        }
    }
    if (command->n_tenants > 0 || command->n_ranges > 0) {
        drop_lost_servers(control);
    }
}

/* ---- begin and end ---- */

static bool begin_node(void *context, const Cw__NodeInfo *node)
{
    (void)cw_control_make_node_track(context, node->id);
    return true;
}

static bool begin_server(void *context, const Cw__ServerInfo *server)
{
    (void)mark_server(context, server);
    return true;
}

static bool begin_range(void *context, const Cw__RangeInfo *range)
{
    cw_control_make_service_track(context, range->service);
    note_range(context, range);
    return true;
}

static bool begin_tenant(void *context, const Cw__TenantConfiguration *tenant)
{
    note_tenant(context, tenant);
    return true;
}

void cw_control_mark_all(cw_control_t *control)
{
    cw_control_state_each_node(control->state, begin_node, control);
    cw_control_state_each_tenant(control->state, begin_tenant, control);
    cw_control_state_each_server(control->state, begin_server, control);
    cw_control_state_each_range(control->state, begin_range, control);
    control->leading.journals_changed = true;
}

static void mark_again(cw_control_t *control, cw_ordered_table_t *waiting, cw_ordered_table_t *set)
{
    size_t position;

    for (position = 0; position < waiting->count; position++) {
        cw_control_mark(control, set, waiting->slots[position].key);
    }
    cw_ordered_table_clear(waiting);
}

void cw_control_mark_waiting(cw_control_t *control)
{
    mark_again(control, &control->leading.waiting_servers, &control->leading.changed_servers);
    mark_again(control, &control->leading.waiting_services, &control->leading.dirty_services);
    control->leading.decide_wanted = true;
}

static void begin_leading(cw_control_t *control)
{
    cw_leading_t *leading = &control->leading;
    int64_t       longest_us = (int64_t)control->longest_lease_ms * CW_US_PER_MS;

    leading->active = true;
    leading->term = cw_raft_term(control->raft);
    leading->since_us = control->now.monotonic_us;
    leading->predecessors_until_us = leading->since_us + cw_control_wait_us(control, longest_us);
    leading->list_wanted = true;
    leading->bootstrap_wanted = true;
    control->confirmed_round = 0;
    cw_control_mark_all(control);
}

static void free_nodes(cw_ordered_table_t *nodes)
{
    cw_node_track_t *track;
    size_t           position;

    for (position = 0; position < nodes->count; position++) {
        track = nodes->slots[position].value;
        if (track->told != NULL) {
            cw__node_info__free_unpacked(track->told, NULL);
        }
        cw_ordered_table_clear(&track->servers);
        free(track);
    }
    cw_ordered_table_clear(nodes);
}

static void free_values(cw_ordered_table_t *table)
{
    size_t position;

    for (position = 0; position < table->count; position++) {
        free(table->slots[position].value);
    }
    cw_ordered_table_clear(table);
}

static void free_waits(cw_leading_t *leading)
{
    cw_store_wait_t *wait;
    size_t           position;

    while (leading->store_waits != NULL) {
        wait = leading->store_waits;
        leading->store_waits = wait->next;
        free(wait);
    }
    for (position = 0; position < leading->heartbeat_count; position++) {
        free(leading->heartbeats[position].readings);
    }
    free(leading->heartbeats);
}

void cw_control_end_leading(cw_control_t *control)
{
    cw_leading_t *leading = &control->leading;

    if (!leading->active) {
        return;
    }
    cw_control_end_operators(control);
    free_nodes(&leading->nodes);
    free_values(&leading->servers);
    free_values(&leading->ranges);
    free_values(&leading->services);
    cw_ordered_table_clear(&leading->dirty_nodes);
    cw_ordered_table_clear(&leading->dirty_servers);
    cw_ordered_table_clear(&leading->changed_servers);
    cw_ordered_table_clear(&leading->dirty_services);
    cw_ordered_table_clear(&leading->waiting_servers);
    cw_ordered_table_clear(&leading->waiting_services);
    cw_control_forget_journal_pool(control);
    free_waits(leading);
    *leading = (cw_leading_t){0};
}

void cw_control_check_leading(cw_control_t *control)
{
    bool ready = cw_raft_leader_ready(control->raft) && !control->superseded;

    if (control->leading.active && (!ready || control->leading.term != cw_raft_term(control->raft))) {
        cw_control_end_leading(control);
    }
    if (ready && !control->leading.active) {
        begin_leading(control);
    }
}
