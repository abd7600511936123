/**
 * @file control_pass.c
 * @brief What the leader looks at before it places the ranges of a service: its servers, its ranges and their loads,
 *        and for each range whether it may be placed, moved, or has to stay.
 */
#include "core/control_assign.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

cw_pass_server_t *cw_pass_find_server(cw_pass_t *pass, cw_server_id_t id)
{
    size_t position;

    for (position = 0; position < pass->server_count; position++) {
        if (pass->servers[position].id == id) {
            return &pass->servers[position];
        }
    }
    return NULL;
}

static void add_servers(cw_pass_t *pass)
{
    const Cw__ServerConfiguration *configuration;
    cw_pass_server_t              *server;
    size_t                         position;

    for (position = 0; position < pass->service->n_servers; position++) {
        configuration = pass->service->servers[position];
        if (cw_control_state_server(pass->control->state, configuration->id) == NULL) {
            cw_control_add_server(pass->control, pass->builder, pass->service->id, configuration);
        }
        server = &pass->servers[pass->server_count++];
        server->id = configuration->id;
        server->zone = configuration->zone;
        server->track = cw_control_server_track(pass->control, configuration->id);
        server->usable = server->track != NULL && cw_control_server_usable(pass->control, server->track);
        server->unsteady =
            server->track != NULL && cw_placement_is_unsteady(&server->track->losses, pass->control->now.monotonic_us);
        pass->usable_count += server->usable ? 1 : 0;
        pass->unsteady_count += server->unsteady ? 1 : 0;
    }
}

static bool is_lost(const cw_control_t *control, const cw_server_track_t *server)
{
    if (server == NULL) {
        return control->now.monotonic_us >= control->leading.predecessors_until_us;
    }
    return cw_control_server_suspected(control, server) && cw_control_leases_over(control, server);
}

/* A server that is neither usable nor draining keeps its ranges for now: it was not heard yet, or not lately. */
static bool may_leave(const cw_control_t *control, const cw_server_track_t *server)
{
    const Cw__ServerInfo *info = cw_control_state_server(control->state, server->id);

    return cw_control_server_usable(control, server) || server->says_draining || (info != NULL && info->draining);
}

/* Fills in what the planner may do with a range: nothing (pinned), place it (no server), or move it. */
static void classify_range(cw_pass_t *pass, const Cw__RangeInfo *range, cw_placement_range_t *item)
{
    const cw_range_track_t  *track = cw_control_range_track(pass->control, range->id);
    const cw_server_track_t *server = cw_control_server_track(pass->control, range->server);

    item->server = range->server;
    if (range->server == 0 || range->state == CW__RANGE_STATE__RANGE_UNASSIGNED) {
        item->server = 0;
    } else if (server != NULL && server->handover) {
        item->pinned = true;
    } else if (range->state == CW__RANGE_STATE__RANGE_REVOKING) {
        pass->moving++;
        item->pinned = !cw_control_range_released(pass->control, range);
        if (!item->pinned) {
            item->server = 0;
        } else if (track != NULL && track->target != 0) {
            item->server = track->target;
        }
    } else if (is_lost(pass->control, server)) {
        item->server = 0;
    } else {
        item->pinned = server == NULL || cw_control_server_suspected(pass->control, server) ||
                       !may_leave(pass->control, server) || (track != NULL && track->renew);
    }
}

static bool add_range(void *context, const Cw__RangeInfo *range)
{
    cw_pass_t              *pass = context;
    cw_placement_range_t   *item = &pass->items[pass->range_count];
    const cw_range_track_t *track = cw_control_range_track(pass->control, range->id);

    memset(item, 0, sizeof(*item));
    pass->ranges[pass->range_count] = range;
    item->id = range->id;
    item->low = range->low;
    item->last = range->last;
    item->load = cw_control_range_load(pass->control, range->id);
    classify_range(pass, range, item);
    if (track != NULL) {
        item->hot_key = track->hot_key;
        item->hot_load = track->hot_load;
    }
    pass->range_count++;
    return true;
}

static bool count_range(void *context, const Cw__RangeInfo *range)
{
    (void)range;
    ++*(size_t *)context;
    return true;
}

int cw_pass_init(cw_pass_t *pass, cw_control_t *control, cw_command_builder_t *builder, cw_service_id_t service)
{
    size_t range_count = 0;
    size_t server_count;

    memset(pass, 0, sizeof(*pass));
    pass->control = control;
    pass->builder = builder;
    pass->service = cw_control_state_service(control->state, service);
    pass->track = cw_control_make_service_track(control, service);
    cw_control_state_each_service_range(control->state, service, count_range, &range_count);
    server_count = pass->service == NULL ? 0 : pass->service->n_servers;
    pass->servers = calloc(server_count + 1, sizeof(*pass->servers));
    pass->items = calloc(range_count + 1, sizeof(*pass->items));
    pass->ranges = calloc(range_count + 1, sizeof(const Cw__RangeInfo *));
    if (pass->track == NULL || pass->servers == NULL || pass->items == NULL || pass->ranges == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    if (pass->service != NULL) {
        add_servers(pass);
    }
    cw_control_state_each_service_range(control->state, service, add_range, pass);
    return CW_OK;
}

void cw_pass_clear(cw_pass_t *pass)
{
    free(pass->servers);
    free(pass->items);
    free(pass->ranges);
}
