/**
 * @file control_status.c
 * @brief Answers to status and explain, as JSON.
 *
 * status: {leader, term, generation, version, control: [{node, zone}], tenants: [{name, version, plan, services:
 * [{name, lease_ms, servers: [{name, zone, state, forwarder, lease_left_ms, draining}], ranges: [{id, low, last,
 * owner, state, confirmed, fence, reason}]}]}]}, and for administrators also nodes: [{id, zone, address, state,
 * route_version, heard_ms_ago, servers}]. An operator sees the own tenant's part only.
 *
 * Server states: serving, draining, unreachable, suspected (silent), unknown (not heard by this leader yet).
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/control_plan.h"

enum { HEX_SIZE = 17, FENCE_SIZE = 48 };

static json_t *hex(uint64_t value)
{
    char text[HEX_SIZE];

    snprintf(text, sizeof(text), "%016" PRIx64, value);
    return json_string(text);
}

static json_t *fence_text(const cw_control_t *control, const Cw__RangeInfo *range)
{
    cw_fence_t fence = cw_fence_effective(range, cw_control_state_server(control->state, range->server));
    char       text[FENCE_SIZE];

    snprintf(text, sizeof(text), "%" PRIu64 ".%" PRIu64, fence.generation, fence.index);
    return json_string(text);
}

static const char *range_state(Cw__RangeState state)
{
    switch (state) {
    case CW__RANGE_STATE__RANGE_GRANTED:
        return "granted";
    case CW__RANGE_STATE__RANGE_REVOKING:
        return "revoking";
    default:
        return "unassigned";
    }
}

static json_t *owner_name(const cw_control_t *control, const Cw__RangeInfo *range)
{
    const Cw__ServerConfiguration *owner = cw_control_state_server_configuration(control->state, range->server);

    return owner == NULL ? json_null() : json_string(owner->name);
}

static json_t *describe_range(const cw_control_t *control, const Cw__RangeInfo *range)
{
    return json_pack("{s:I, s:o, s:o, s:o, s:s, s:b, s:o, s:s, s:i}", "id", (json_int_t)range->id, "low",
                     hex(range->low), "last", hex(range->last), "owner", owner_name(control, range), "state",
                     range_state(range->state), "confirmed", cw_control_range_acked(control, range) ? 1 : 0, "fence",
                     fence_text(control, range), "reason", range->reason, "journal_replicas", (int)range->n_journal);
}

/* ---- servers ---- */

static const char *server_state(const cw_control_t *control, const cw_server_track_t *track, bool draining)
{
    if (track == NULL || track->incarnation == 0) {
        return "unknown";
    }
    if (cw_control_server_suspected(control, track)) {
        return "suspected";
    }
    if (!track->reachable) {
        return "unreachable";
    }
    return draining || track->says_draining ? "draining" : "serving";
}

/* Time left of the lease by what was named to the server last, as if its clock ran like this one. */
static int64_t lease_left_ms(const cw_control_t *control, const cw_server_track_t *track)
{
    int64_t clock_us;
    int64_t left_us;

    if (track == NULL || track->issued_end_us == 0) {
        return 0;
    }
    clock_us = track->clock_us + (control->now.monotonic_us - track->reading_us);
    left_us = track->issued_end_us - clock_us;
    return left_us > 0 ? left_us / CW_US_PER_MS : 0;
}

static json_t *describe_server(const cw_control_t *control, const Cw__ServerConfiguration *server)
{
    const Cw__ServerInfo    *info = cw_control_state_server(control->state, server->id);
    const cw_server_track_t *track = cw_control_server_track(control, server->id);
    bool                     draining = info != NULL && info->draining;

    return json_pack("{s:s, s:s, s:s, s:i, s:I, s:b}", "name", server->name, "zone", server->zone, "state",
                     server_state(control, track, draining), "forwarder", info == NULL ? 0 : (int)info->forwarder,
                     "lease_left_ms", (json_int_t)lease_left_ms(control, track), "draining", draining ? 1 : 0);
}

/* ---- tenants ---- */

typedef struct status_build {
    const cw_control_t        *control;
    const Cw__OperatorRequest *request;
    json_t                    *list;
} status_build_t;

static bool add_range(void *context, const Cw__RangeInfo *range)
{
    status_build_t *build = context;

    json_array_append_new(build->list, describe_range(build->control, range));
    return true;
}

static json_t *describe_service(const cw_control_t *control, const Cw__ServiceConfiguration *service)
{
    json_t        *servers = json_array();
    status_build_t build = {control, NULL, json_array()};
    size_t         position;

    for (position = 0; position < service->n_servers; position++) {
        json_array_append_new(servers, describe_server(control, service->servers[position]));
    }
    cw_control_state_each_service_range(control->state, service->id, add_range, &build);
    return json_pack("{s:s, s:i, s:o, s:o}", "name", service->name, "lease_ms", (int)service->lease_ms, "servers",
                     servers, "ranges", build.list);
}

static bool add_tenant(void *context, const Cw__TenantConfiguration *tenant)
{
    status_build_t *build = context;
    json_t         *services;
    size_t          position;

    if (!cw_control_authorized(build->request, tenant)) {
        return true;
    }
    services = json_array();
    for (position = 0; position < tenant->n_services; position++) {
        json_array_append_new(services, describe_service(build->control, tenant->services[position]));
    }
    json_array_append_new(build->list,
                          json_pack("{s:s, s:I, s:s, s:o}", "name", tenant->name, "version",
                                    (json_int_t)tenant->version, "plan", tenant->plan_id, "services", services));
    return true;
}

/* ---- nodes ---- */

static const char *node_state(Cw__NodeState state)
{
    switch (state) {
    case CW__NODE_STATE__NODE_UP:
        return "up";
    case CW__NODE_STATE__NODE_LEAVING:
        return "leaving";
    case CW__NODE_STATE__NODE_DOWN:
        return "down";
    default:
        return "unknown";
    }
}

static bool add_node(void *context, const Cw__NodeInfo *node)
{
    status_build_t        *build = context;
    const cw_node_track_t *track = cw_control_node_track(build->control, node->id);
    int64_t                silent_us = track == NULL ? 0 : build->control->now.monotonic_us - track->heard_us;

    json_array_append_new(build->list,
                          json_pack("{s:i, s:s, s:s, s:s, s:I, s:I, s:I}", "id", (int)node->id, "zone", node->zone,
                                    "address", node->address, "state", node_state(node->state), "route_version",
                                    (json_int_t)(track == NULL ? 0 : track->route_version), "heard_ms_ago",
                                    (json_int_t)(silent_us / CW_US_PER_MS), "servers",
                                    (json_int_t)(track == NULL ? 0 : track->servers.count)));
    return true;
}

static json_t *describe_members(const cw_control_t *control)
{
    const Cw__Membership *membership = cw_raft_membership(control->raft);
    json_t               *list = json_array();
    size_t                position;

    for (position = 0; position < membership->n_voters; position++) {
        json_array_append_new(list, json_pack("{s:i, s:s}", "node", (int)membership->voters[position]->id, "zone",
                                              membership->voters[position]->zone));
    }
    return list;
}

void cw_control_operate_status(cw_control_t *control, const Cw__OperatorRequest *request)
{
    status_build_t tenants = {control, request, json_array()};
    status_build_t nodes = {control, request, json_array()};
    json_t        *body;
    char          *text;

    cw_control_state_each_tenant(control->state, add_tenant, &tenants);
    body = json_pack("{s:i, s:I, s:I, s:I, s:o, s:o}", "leader", (int)control->self->id, "term",
                     (json_int_t)control->leading.term, "generation", (json_int_t)control->options.generation,
                     "version", (json_int_t)cw_control_state_version(control->state), "control",
                     describe_members(control), "tenants", tenants.list);
    if (request->authorized_administrator) {
        cw_control_state_each_node(control->state, add_node, &nodes);
        json_object_set(body, "nodes", nodes.list);
    }
    text = json_dumps(body, JSON_COMPACT);
    cw_control_answer(control, request->origin, request->id, CW_STATUS_OK, text == NULL ? "{}" : text, 0);
    free(text);
    json_decref(nodes.list);
    json_decref(body);
}

/* ---- explain ---- */

/* Splits "TENANT/SERVICE KEY"; the key may hold spaces. */
static bool split_argument(const char *argument, char *tenant, char *service, const char **key)
{
    const char *space = strchr(argument, ' ');

    if (space == NULL || sscanf(argument, "%63[^/ ]/%63[^/ ] ", tenant, service) != 2) {
        return false;
    }
    *key = space + 1;
    return **key != '\0';
}

static void explain_range(cw_control_t *control, const Cw__OperatorRequest *request, const char *key,
                          const Cw__RangeInfo *range)
{
    const Cw__ServerConfiguration *owner = cw_control_state_server_configuration(control->state, range->server);
    json_t                        *body = describe_range(control, range);
    char                          *text;

    json_object_set_new(body, "key", json_string(key));
    json_object_set_new(body, "key_hash", hex(cw_hash_key(key, strlen(key))));
    json_object_set_new(body, "load", json_real(cw_control_range_load(control, range->id)));
    if (owner != NULL) {
        json_object_set_new(body, "server", describe_server(control, owner));
    }
    text = json_dumps(body, JSON_COMPACT);
    cw_control_answer(control, request->origin, request->id, CW_STATUS_OK, text == NULL ? "{}" : text, 0);
    free(text);
    json_decref(body);
}

void cw_control_operate_explain(cw_control_t *control, const Cw__OperatorRequest *request)
{
    char                 tenant[CW_NAME_MAX + 1] = "";
    char                 service[CW_NAME_MAX + 1] = "";
    const char          *key = NULL;
    const Cw__RangeInfo *range = NULL;

    if (split_argument(request->argument, tenant, service, &key) &&
        cw_control_authorized(request, cw_control_state_tenant(control->state, tenant))) {
        range = cw_control_state_find_range(control->state, cw_hash_service(tenant, service),
                                            cw_hash_key(key, strlen(key)));
    }
    if (range == NULL) {
        cw_control_answer_error(control, request->origin, request->id, CW_STATUS_NOT_FOUND,
                                "no such service, or it has no ranges yet; expected TENANT/SERVICE KEY", 0);
        return;
    }
    explain_range(control, request, key, range);
}
