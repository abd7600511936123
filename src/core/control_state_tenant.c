/**
 * @file control_state_tenant.c
 * @brief Tenants' configurations in the replicated state, and what follows for the indexes and for servers that leave.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_state_internal.h"

enum { FIRST_TENANTS = 8 };

size_t cw_state_tenant_position(const cw_control_state_t *state, const char *name, bool *found)
{
    size_t low = 0;
    size_t high = state->tenant_count;
    size_t middle;
    int    order;

    *found = false;
    while (low < high) {
        middle = low + (high - low) / 2;
        order = strcmp(state->tenants[middle]->tenant->name, name);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

/* Retires a server that left the configuration, keeping how to reach it; brings it back when it is named again. */
static int set_retired(cw_control_state_t *state, cw_server_id_t server, const Cw__ServerConfiguration *retired,
                       uint64_t version)
{
    const Cw__ServerInfo *present = cw_control_state_server(state, server);
    Cw__ServerInfo       *changed;

    if (present == NULL || (present->retired != NULL) == (retired != NULL)) {
        return CW_OK;
    }
    changed = (Cw__ServerInfo *)cw_message_copy(&present->base);
    if (changed == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    if (changed->retired != NULL) {
        cw__server_configuration__free_unpacked(changed->retired, NULL);
        changed->retired = NULL;
    }
    if (retired != NULL) {
        changed->retired = (Cw__ServerConfiguration *)cw_message_copy(&retired->base);
    }
    changed->draining = retired != NULL;
    return cw_state_put_server(state, changed, version);
}

static int link_service(cw_control_state_t *state, const Cw__TenantConfiguration *tenant,
                        const Cw__ServiceConfiguration *service, uint64_t version)
{
    cw_service_index_t *service_index = cw_state_obtain_service(state, service->id);
    cw_server_index_t  *server_index;
    size_t              position;

    if (service_index == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    service_index->configuration = service;
    service_index->tenant = tenant;
    for (position = 0; position < service->n_servers; position++) {
        server_index = cw_state_obtain_server(state, service->servers[position]->id);
        if (server_index == NULL || set_retired(state, server_index->id, NULL, version) != CW_OK) {
            return CW_ERROR_NO_MEMORY;
        }
        server_index->configuration = service->servers[position];
    }
    return CW_OK;
}

/* Takes the former configuration out of the indexes; what the new one does not name any more is retired. */
static int unlink_service(cw_control_state_t *state, const Cw__TenantConfiguration *former,
                          const Cw__ServiceConfiguration *service, uint64_t version)
{
    cw_service_index_t *service_index = cw_state_obtain_service(state, service->id);
    cw_server_index_t  *server_index;
    int                 error = CW_OK;
    size_t              position;

    if (service_index != NULL && service_index->tenant == former) {
        service_index->configuration = NULL;
        service_index->tenant = NULL;
        cw_state_release_service(state, service_index);
    }
    for (position = 0; position < service->n_servers; position++) {
        server_index = cw_state_obtain_server(state, service->servers[position]->id);
        if (server_index == NULL || server_index->configuration != service->servers[position]) {
            continue;
        }
        server_index->configuration = NULL;
        if (set_retired(state, server_index->id, service->servers[position], version) != CW_OK) {
            error = CW_ERROR_NO_MEMORY;
        }
        cw_state_release_server(state, server_index);
    }
    return error;
}

static cw_object_t *obtain_tenant(cw_control_state_t *state, const char *name)
{
    bool          found;
    size_t        position = cw_state_tenant_position(state, name, &found);
    size_t        capacity;
    cw_object_t **tenants;
    cw_object_t  *object;

    if (found) {
        return state->tenants[position];
    }
    if (state->tenant_count == state->tenant_capacity) {
        capacity = state->tenant_capacity == 0 ? FIRST_TENANTS : 2 * state->tenant_capacity;
        tenants = realloc(state->tenants, capacity * sizeof(cw_object_t *));
        if (tenants == NULL) {
            return NULL;
        }
        state->tenants = tenants;
        state->tenant_capacity = capacity;
    }
    object = cw_state_create_object(CW_OBJECT_TENANT);
    if (object == NULL) {
        return NULL;
    }
    memmove(&state->tenants[position + 1], &state->tenants[position],
            (state->tenant_count - position) * sizeof(cw_object_t *));
    state->tenants[position] = object;
    state->tenant_count++;
    return object;
}

int cw_state_put_tenant(cw_control_state_t *state, Cw__TenantConfiguration *tenant, uint64_t version)
{
    cw_object_t             *object = obtain_tenant(state, tenant->name);
    Cw__TenantConfiguration *former;
    int                      error = CW_OK;
    size_t                   position;

    if (object == NULL) {
        cw__tenant_configuration__free_unpacked(tenant, NULL);
        return CW_ERROR_NO_MEMORY;
    }
    former = object->tenant;
    object->tenant = tenant;
    cw_state_touch(state, object, version);
    for (position = 0; position < tenant->n_services && error == CW_OK; position++) {
        error = link_service(state, tenant, tenant->services[position], version);
    }
    for (position = 0; former != NULL && position < former->n_services && error == CW_OK; position++) {
        error = unlink_service(state, former, former->services[position], version);
    }
    if (former != NULL) {
        cw__tenant_configuration__free_unpacked(former, NULL);
    }
    return error;
}
