/**
 * @file control_state.c
 * @brief Look-ups and iteration over the replicated state.
 */
#include "cedarwinch/control_state.h"

#include <stdlib.h>
#include <string.h>

#include "core/control_state_internal.h"

cw_control_state_t *cw_control_state_create(void)
{
    return calloc(1, sizeof(cw_control_state_t));
}

void cw_control_state_free(cw_control_state_t *state)
{
    if (state == NULL) {
        return;
    }
    cw_state_clear(state);
    free(state);
}

uint64_t cw_control_state_version(const cw_control_state_t *state)
{
    return state->version;
}

static cw_service_index_t *find_service(const cw_control_state_t *state, cw_service_id_t service)
{
    cw_service_index_t *index;

    HASH_FIND(hh, state->services_by_id, &service, sizeof(service), index);
    return index;
}

static cw_server_index_t *find_server(const cw_control_state_t *state, cw_server_id_t server)
{
    cw_server_index_t *index;

    HASH_FIND(hh, state->servers_by_id, &server, sizeof(server), index);
    return index;
}

const Cw__NodeInfo *cw_control_state_node(const cw_control_state_t *state, cw_node_id_t node)
{
    const cw_object_t *object = cw_ordered_table_find(&state->nodes, node);

    return object == NULL ? NULL : object->node;
}

const Cw__TenantConfiguration *cw_control_state_tenant(const cw_control_state_t *state, const char *name)
{
    bool   found;
    size_t position = cw_state_tenant_position(state, name, &found);

    return found ? state->tenants[position]->tenant : NULL;
}

const Cw__ServiceConfiguration *cw_control_state_service(const cw_control_state_t *state, cw_service_id_t service)
{
    const cw_service_index_t *index = find_service(state, service);

    return index == NULL ? NULL : index->configuration;
}

const char *cw_control_state_service_tenant(const cw_control_state_t *state, cw_service_id_t service)
{
    const cw_service_index_t *index = find_service(state, service);

    return index == NULL || index->tenant == NULL ? NULL : index->tenant->name;
}

const Cw__ServerConfiguration *cw_control_state_server_configuration(const cw_control_state_t *state,
                                                                     cw_server_id_t            server)
{
    const cw_server_index_t *index = find_server(state, server);
    const Cw__ServerInfo    *info;

    if (index != NULL && index->configuration != NULL) {
        return index->configuration;
    }
    info = cw_control_state_server(state, server);
    return info == NULL ? NULL : info->retired;
}

const Cw__ServerInfo *cw_control_state_server(const cw_control_state_t *state, cw_server_id_t server)
{
    const cw_object_t *object = cw_ordered_table_find(&state->servers, server);

    return object == NULL ? NULL : object->server;
}

const Cw__RangeInfo *cw_control_state_range(const cw_control_state_t *state, cw_range_id_t range)
{
    const cw_object_t *object = cw_ordered_table_find(&state->ranges, range);

    return object == NULL ? NULL : object->range;
}

const Cw__RangeInfo *cw_control_state_find_range(const cw_control_state_t *state, cw_service_id_t service,
                                                 cw_key_hash_t key_hash)
{
    const cw_service_index_t *index = find_service(state, service);
    const cw_object_t        *object;

    if (index == NULL) {
        return NULL;
    }
    object = cw_ordered_table_floor(&index->ranges, key_hash);
    if (object == NULL || key_hash > object->range->last) {
        return NULL;
    }
    return object->range;
}

void cw_control_state_each_node(const cw_control_state_t *state, cw_visit_node_t visit, void *context)
{
    const cw_object_t *object;
    size_t             position;

    for (position = 0; position < state->nodes.count; position++) {
        object = state->nodes.slots[position].value;
        if (!visit(context, object->node)) {
            return;
        }
    }
}

void cw_control_state_each_tenant(const cw_control_state_t *state, cw_visit_tenant_t visit, void *context)
{
    size_t position;

    for (position = 0; position < state->tenant_count; position++) {
        if (!visit(context, state->tenants[position]->tenant)) {
            return;
        }
    }
}

static void each_range_of(const cw_ordered_table_t *ranges, cw_visit_range_t visit, void *context)
{
    const cw_object_t *object;
    size_t             position;

    for (position = 0; position < ranges->count; position++) {
        object = ranges->slots[position].value;
        if (!visit(context, object->range)) {
            return;
        }
    }
}

void cw_control_state_each_range(const cw_control_state_t *state, cw_visit_range_t visit, void *context)
{
    each_range_of(&state->ranges, visit, context);
}

void cw_control_state_each_service_range(const cw_control_state_t *state, cw_service_id_t service,
                                         cw_visit_range_t visit, void *context)
{
    const cw_service_index_t *index = find_service(state, service);

    if (index != NULL) {
        each_range_of(&index->ranges, visit, context);
    }
}

void cw_control_state_each_server_range(const cw_control_state_t *state, cw_server_id_t server, cw_visit_range_t visit,
                                        void *context)
{
    const cw_server_index_t *index = find_server(state, server);

    if (index != NULL) {
        each_range_of(&index->ranges, visit, context);
    }
}

void cw_control_state_each_server(const cw_control_state_t *state, cw_visit_server_t visit, void *context)
{
    const cw_object_t *object;
    size_t             position;

    for (position = 0; position < state->servers.count; position++) {
        object = state->servers.slots[position].value;
        if (!visit(context, object->server)) {
            return;
        }
    }
}
