/**
 * @file agent_routes.c
 * @brief What the route table says of this node's servers and ranges.
 *
 * Costs of a change: the servers and ranges of this node, and the changed servers; all servers only when the table's
 * history does not reach back to the version seen last, or a tenant's configuration changed.
 */
#include "core/agent_internal.h"

/** Context of the visitors. */
typedef struct visit_context {
    cw_agent_t               *agent;
    const cw_control_state_t *routes;
    const Cw__ServerInfo     *server;
} visit_context_t;

static bool is_mine(const cw_agent_t *agent, const Cw__ServerInfo *server)
{
    return server != NULL && server->forwarder == agent->self->id &&
           server->forwarder_incarnation == agent->self->incarnation;
}

static bool adopt_if_mine(void *context, const Cw__ServerInfo *server)
{
    visit_context_t *visit = context;

    if (is_mine(visit->agent, server)) {
        cw_agent_adopt_server(visit->agent, server->server,
                              cw_control_state_server_configuration(visit->routes, server->server));
    }
    return true;
}

static void check_own_servers(visit_context_t *visit)
{
    cw_agent_server_t *server;
    cw_agent_server_t *next;

    HASH_ITER(hh, visit->agent->servers, server, next)
    {
        const Cw__ServerInfo *info = cw_control_state_server(visit->routes, server->id);

        if (is_mine(visit->agent, info)) {
            (void)adopt_if_mine(visit, info);
        } else {
            cw_agent_forget_server(visit->agent, server);
        }
    }
}

/** Looks at the changed servers only. Returns false when all have to be looked at. */
static bool adopt_from_changes(visit_context_t *visit)
{
    cw_control_changes_t changes;
    bool                 enough;
    size_t               i;

    if (visit->agent->route_version == 0 || cw_control_state_version(visit->routes) < visit->agent->route_version) {
        return false;
    }
    cw_control_state_changes_since(visit->routes, visit->agent->route_version, &changes);
    enough = changes.complete && changes.snapshot != NULL && changes.snapshot->n_tenants == 0;
    for (i = 0; enough && i < changes.snapshot->n_servers; i++) {
        (void)adopt_if_mine(visit, changes.snapshot->servers[i]);
    }
    cw_control_state_changes_free(&changes);
    return enough;
}

static bool note_routed(void *context, const Cw__RangeInfo *info)
{
    visit_context_t  *visit = context;
    cw_agent_range_t *range;

    if (info->state != CW__RANGE_STATE__RANGE_GRANTED) {
        return true;
    }
    range = cw_agent_add_range(visit->agent, info->id, visit->server->server);
    if (range != NULL) {
        range->routed = cw_fence_effective(info, visit->server);
    }
    return true;
}

/** Has the table moved past what is known of a range here? An order may be ahead of the table. */
static bool is_over(const visit_context_t *visit, const cw_agent_range_t *range)
{
    const Cw__RangeInfo *info = cw_control_state_range(visit->routes, range->id);

    if (range->state == CW_RANGE_NOT_MINE) {
        return range->routed.index == 0;
    }
    if (info == NULL) {
        return cw_control_state_version(visit->routes) >= range->fence.index;
    }
    return info->server != range->server && cw_fence_compare(cw_fence_from_message(info->fence), range->fence) > 0;
}

static void check_ranges(visit_context_t *visit)
{
    const cw_agent_server_t *server;
    cw_agent_range_t        *range;
    cw_agent_range_t        *next;

    for (range = visit->agent->ranges; range != NULL; range = range->hh.next) {
        range->routed = (cw_fence_t){0, 0};
    }
    for (server = visit->agent->servers; server != NULL; server = server->hh.next) {
        visit->server = cw_control_state_server(visit->routes, server->id);
        cw_control_state_each_server_range(visit->routes, server->id, note_routed, visit);
    }
    HASH_ITER(hh, visit->agent->ranges, range, next)
    {
        if (is_over(visit, range)) {
            cw_agent_remove_range(visit->agent, range);
        }
    }
}

void cw_agent_take_routes(cw_agent_t *agent, const cw_control_state_t *routes)
{
    visit_context_t visit = {.agent = agent, .routes = routes};

    check_own_servers(&visit);
    if (!adopt_from_changes(&visit)) {
        cw_control_state_each_server(routes, adopt_if_mine, &visit);
    }
    check_ranges(&visit);
    agent->route_version = cw_control_state_version(routes);
}
