/**
 * @file control_state_apply.c
 * @brief Changes of the replicated state: committed commands on control replicas, route updates on every node.
 *
 * Rules of apply:
 * - a command is checked as a whole first; a refused one leaves the state as it was;
 * - every range in a command gets the fence (generation, index);
 * - a server gets a new fence unless the command carries its present one and its forwarder stays;
 * - a tenant's configuration never goes back to a lower version; the present version again changes nothing.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_state_internal.h"

enum { RANGE_POSITION_BITS = 16 };

static int check_command(const cw_control_state_t *state, const Cw__Command *command)
{
    const Cw__TenantConfiguration *present;
    size_t                         created = 0;
    size_t                         position;

    if (command->expected_version != 0 && command->expected_version != state->version) {
        return CW_ERROR_CONFLICT;
    }
    for (position = 0; position < command->n_tenants; position++) {
        present = cw_control_state_tenant(state, command->tenants[position]->name);
        if (present != NULL && command->tenants[position]->version < present->version) {
            return CW_ERROR_CONFLICT;
        }
    }
    for (position = 0; position < command->n_ranges; position++) {
        if (command->ranges[position]->id == 0) {
            created++;
        } else if (cw_control_state_range(state, command->ranges[position]->id) == NULL) {
            return CW_ERROR_NOT_FOUND;
        }
    }
    return created >> RANGE_POSITION_BITS == 0 ? CW_OK : CW_ERROR_FULL;
}

static int set_fence(Cw__Fence **fence, uint64_t generation, uint64_t index)
{
    if (*fence == NULL) {
        *fence = malloc(sizeof(**fence));
        if (*fence == NULL) {
            return CW_ERROR_NO_MEMORY;
        }
        cw__fence__init(*fence);
    }
    (*fence)->generation = generation;
    (*fence)->index = index;
    return CW_OK;
}

static bool same_forwarder(const Cw__ServerInfo *left, const Cw__ServerInfo *right)
{
    return left->forwarder == right->forwarder && left->forwarder_incarnation == right->forwarder_incarnation;
}

static bool keeps_fence(const Cw__ServerInfo *present, const Cw__ServerInfo *changed)
{
    if (present == NULL || present->fence == NULL || changed->fence == NULL) {
        return false;
    }
    return same_forwarder(present, changed) &&
           cw_fence_compare(cw_fence_from_message(present->fence), cw_fence_from_message(changed->fence)) == 0;
}

static int apply_server(cw_control_state_t *state, const Cw__ServerInfo *server, uint64_t generation, uint64_t index)
{
    Cw__ServerInfo *copy = (Cw__ServerInfo *)cw_message_copy(&server->base);

    if (copy == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    if (!keeps_fence(cw_control_state_server(state, server->server), server) &&
        set_fence(&copy->fence, generation, index) != CW_OK) {
        cw__server_info__free_unpacked(copy, NULL);
        return CW_ERROR_NO_MEMORY;
    }
    return cw_state_put_server(state, copy, index);
}

static int apply_range(cw_control_state_t *state, const Cw__RangeInfo *range, cw_range_id_t id, uint64_t generation,
                       uint64_t index)
{
    Cw__RangeInfo *copy = (Cw__RangeInfo *)cw_message_copy(&range->base);

    if (copy == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    copy->id = id;
    if (set_fence(&copy->fence, generation, index) != CW_OK) {
        cw__range_info__free_unpacked(copy, NULL);
        return CW_ERROR_NO_MEMORY;
    }
    return cw_state_put_range(state, copy, index);
}

static int apply_ranges(cw_control_state_t *state, const Cw__Command *command, uint64_t generation, uint64_t index)
{
    uint64_t             created = 0;
    const Cw__RangeInfo *range;
    cw_range_id_t        id;
    int                  error = CW_OK;
    size_t               position;

    for (position = 0; position < command->n_ranges && error == CW_OK; position++) {
        range = command->ranges[position];
        id = range->id;
        if (id == 0) {
            id = (index << RANGE_POSITION_BITS) + created;
            created++;
        }
        error = apply_range(state, range, id, generation, index);
    }
    return error;
}

static int apply_tenant(cw_control_state_t *state, const Cw__TenantConfiguration *tenant, uint64_t index)
{
    const Cw__TenantConfiguration *present = cw_control_state_tenant(state, tenant->name);
    Cw__TenantConfiguration       *copy;

    if (present != NULL && present->version == tenant->version) {
        return CW_OK;
    }
    copy = (Cw__TenantConfiguration *)cw_message_copy(&tenant->base);
    return copy == NULL ? CW_ERROR_NO_MEMORY : cw_state_put_tenant(state, copy, index);
}

static int put_node_copy(cw_control_state_t *state, const Cw__NodeInfo *node, uint64_t version)
{
    Cw__NodeInfo *copy = (Cw__NodeInfo *)cw_message_copy(&node->base);

    return copy == NULL ? CW_ERROR_NO_MEMORY : cw_state_put_node(state, copy, version);
}

int cw_control_state_apply(cw_control_state_t *state, const Cw__Command *command, uint64_t generation, uint64_t index)
{
    int    error = check_command(state, command);
    size_t position;

    if (error != CW_OK) {
        return error;
    }
    for (position = 0; position < command->n_removed_ranges; position++) {
        cw_state_remove_range(state, command->removed_ranges[position], index);
    }
    for (position = 0; position < command->n_tenants && error == CW_OK; position++) {
        error = apply_tenant(state, command->tenants[position], index);
    }
    for (position = 0; position < command->n_nodes && error == CW_OK; position++) {
        error = put_node_copy(state, command->nodes[position], index);
    }
    for (position = 0; position < command->n_servers && error == CW_OK; position++) {
        error = apply_server(state, command->servers[position], generation, index);
    }
    if (error == CW_OK) {
        error = apply_ranges(state, command, generation, index);
    }
    cw_state_drop_empty_retired(state);
    state->version = index;
    return error;
}

static int merge_objects(cw_control_state_t *state, const Cw__ControlSnapshot *changes)
{
    int    error = CW_OK;
    size_t position;
    void  *copy;

    for (position = 0; position < changes->n_tenants && error == CW_OK; position++) {
        copy = cw_message_copy(&changes->tenants[position]->base);
        error = copy == NULL ? CW_ERROR_NO_MEMORY : cw_state_put_tenant(state, copy, changes->version);
    }
    for (position = 0; position < changes->n_nodes && error == CW_OK; position++) {
        error = put_node_copy(state, changes->nodes[position], changes->version);
    }
    for (position = 0; position < changes->n_servers && error == CW_OK; position++) {
        copy = cw_message_copy(&changes->servers[position]->base);
        error = copy == NULL ? CW_ERROR_NO_MEMORY : cw_state_put_server(state, copy, changes->version);
    }
    for (position = 0; position < changes->n_ranges && error == CW_OK; position++) {
        copy = cw_message_copy(&changes->ranges[position]->base);
        error = copy == NULL ? CW_ERROR_NO_MEMORY : cw_state_put_range(state, copy, changes->version);
    }
    return error;
}

int cw_control_state_merge(cw_control_state_t *state, const Cw__ControlSnapshot *changes,
                           const uint64_t *removed_ranges, size_t removed_count, bool replace_all)
{
    int    error;
    size_t position;

    if (replace_all) {
        cw_state_clear(state);
        state->history_start = changes->version;
    } else if (changes->version < state->version) {
        return CW_ERROR_CONFLICT;
    }
    for (position = 0; position < removed_count; position++) {
        cw_state_remove_range(state, removed_ranges[position], changes->version);
    }
    error = merge_objects(state, changes);
    cw_state_drop_empty_retired(state);
    state->version = changes->version;
    return error;
}
