/**
 * @file control_state_store.c
 * @brief Keeps the objects of the replicated state and the indexes over them in step.
 *
 * Invariants:
 * - every object stands in exactly one table by id and once in the list ordered by last change;
 * - a range stands in its service's index under its low and, when it has a server, in that server's index;
 * - a server of the configuration is never retired; a retired server that owns no range is dropped at the end of each
 *   change, so that replicas and route tables drop it alike without being told.
 */
#include "core/control_state_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

/* ---- list by last change ---- */

static void unlink_object(cw_control_state_t *state, cw_object_t *object)
{
    if (object->older != NULL) {
        object->older->newer = object->newer;
    } else if (state->oldest == object) {
        state->oldest = object->newer;
    }
    if (object->newer != NULL) {
        object->newer->older = object->older;
    } else if (state->newest == object) {
        state->newest = object->older;
    }
    object->older = object->newer = NULL;
}

void cw_state_touch(cw_control_state_t *state, cw_object_t *object, uint64_t version)
{
    unlink_object(state, object);
    object->version = version;
    object->older = state->newest;
    if (state->newest != NULL) {
        state->newest->newer = object;
    } else {
        state->oldest = object;
    }
    state->newest = object;
}

cw_object_t *cw_state_create_object(cw_object_kind_t kind)
{
    cw_object_t *object = calloc(1, sizeof(*object));

    if (object != NULL) {
        object->kind = kind;
    }
    return object;
}

static void free_object(cw_object_t *object)
{
    if (object->message != NULL) {
        protobuf_c_message_free_unpacked(object->message, NULL);
    }
    free(object);
}

/* The object under an id, created empty when there is none yet. */
static cw_object_t *obtain_object(cw_ordered_table_t *table, uint64_t key, cw_object_kind_t kind)
{
    cw_object_t *object = cw_ordered_table_find(table, key);

    if (object != NULL) {
        return object;
    }
    object = cw_state_create_object(kind);
    if (object != NULL && cw_ordered_table_put(table, key, object) != CW_OK) {
        free(object);
        return NULL;
    }
    return object;
}

static void replace_message(cw_control_state_t *state, cw_object_t *object, ProtobufCMessage *message, uint64_t version)
{
    if (object->message != NULL) {
        protobuf_c_message_free_unpacked(object->message, NULL);
    }
    object->message = message;
    cw_state_touch(state, object, version);
}

/* ---- indexes ---- */

cw_service_index_t *cw_state_obtain_service(cw_control_state_t *state, cw_service_id_t service)
{
    cw_service_index_t *index;

    HASH_FIND(hh, state->services_by_id, &service, sizeof(service), index);
    if (index == NULL) {
        index = calloc(1, sizeof(*index));
        if (index != NULL) {
            index->id = service;
            HASH_ADD(hh, state->services_by_id, id, sizeof(index->id), index);
        }
    }
    return index;
}

cw_server_index_t *cw_state_obtain_server(cw_control_state_t *state, cw_server_id_t server)
{
    cw_server_index_t *index;

    HASH_FIND(hh, state->servers_by_id, &server, sizeof(server), index);
    if (index == NULL) {
        index = calloc(1, sizeof(*index));
        if (index != NULL) {
            index->id = server;
            HASH_ADD(hh, state->servers_by_id, id, sizeof(index->id), index);
        }
    }
    return index;
}

void cw_state_release_service(cw_control_state_t *state, cw_service_index_t *index)
{
    if (index->configuration == NULL && index->ranges.count == 0) {
        HASH_DEL(state->services_by_id, index);
        cw_ordered_table_clear(&index->ranges);
        free(index);
    }
}

void cw_state_release_server(cw_control_state_t *state, cw_server_index_t *index)
{
    if (index->configuration == NULL && index->ranges.count == 0) {
        HASH_DEL(state->servers_by_id, index);
        cw_ordered_table_clear(&index->ranges);
        free(index);
    }
}

static int link_range(cw_control_state_t *state, cw_object_t *object)
{
    const Cw__RangeInfo *range = object->range;
    cw_service_index_t  *service = cw_state_obtain_service(state, range->service);
    cw_server_index_t   *server;

    if (service == NULL || cw_ordered_table_put(&service->ranges, range->low, object) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    if (range->server == 0) {
        return CW_OK;
    }
    server = cw_state_obtain_server(state, range->server);
    if (server == NULL || cw_ordered_table_put(&server->ranges, range->id, object) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    return CW_OK;
}

static void unlink_range(cw_control_state_t *state, cw_object_t *object)
{
    const Cw__RangeInfo *range = object->range;
    cw_service_index_t  *service = cw_state_obtain_service(state, range->service);
    cw_server_index_t   *server;

    if (service != NULL) {
        if (cw_ordered_table_find(&service->ranges, range->low) == object) {
            cw_ordered_table_remove(&service->ranges, range->low);
        }
        cw_state_release_service(state, service);
    }
    server = range->server == 0 ? NULL : cw_state_obtain_server(state, range->server);
    if (server != NULL) {
        cw_ordered_table_remove(&server->ranges, range->id);
        cw_state_release_server(state, server);
    }
}

/* ---- nodes, ranges, servers ---- */

int cw_state_put_node(cw_control_state_t *state, Cw__NodeInfo *node, uint64_t version)
{
    cw_object_t *object = obtain_object(&state->nodes, node->id, CW_OBJECT_NODE);

    if (object == NULL) {
        cw__node_info__free_unpacked(node, NULL);
        return CW_ERROR_NO_MEMORY;
    }
    replace_message(state, object, &node->base, version);
    return CW_OK;
}

int cw_state_put_range(cw_control_state_t *state, Cw__RangeInfo *range, uint64_t version)
{
    cw_object_t *object = obtain_object(&state->ranges, range->id, CW_OBJECT_RANGE);

    if (object == NULL) {
        cw__range_info__free_unpacked(range, NULL);
        return CW_ERROR_NO_MEMORY;
    }
    if (object->message != NULL) {
        unlink_range(state, object);
    }
    replace_message(state, object, &range->base, version);
    return link_range(state, object);
}

static void remember_removal(cw_control_state_t *state, cw_range_id_t range, uint64_t version)
{
    cw_removed_range_t *removed;

    if (state->removed_count == CW_REMOVED_HISTORY) {
        state->history_start = state->removed[state->removed_first].version;
        state->removed_first = (state->removed_first + 1) % CW_REMOVED_HISTORY;
        state->removed_count--;
    }
    removed = &state->removed[(state->removed_first + state->removed_count) % CW_REMOVED_HISTORY];
    removed->version = version;
    removed->range = range;
    state->removed_count++;
}

void cw_state_remove_range(cw_control_state_t *state, cw_range_id_t range, uint64_t version)
{
    cw_object_t *object = cw_ordered_table_remove(&state->ranges, range);

    if (object == NULL) {
        return;
    }
    unlink_range(state, object);
    unlink_object(state, object);
    free_object(object);
    remember_removal(state, range, version);
}

int cw_state_put_server(cw_control_state_t *state, Cw__ServerInfo *server, uint64_t version)
{
    cw_object_t *object = obtain_object(&state->servers, server->server, CW_OBJECT_SERVER);

    if (object == NULL) {
        cw__server_info__free_unpacked(server, NULL);
        return CW_ERROR_NO_MEMORY;
    }
    replace_message(state, object, &server->base, version);
    if (server->retired == NULL) {
        cw_ordered_table_remove(&state->retired, server->server);
        return CW_OK;
    }
    return cw_ordered_table_put(&state->retired, server->server, object);
}

void cw_state_drop_empty_retired(cw_control_state_t *state)
{
    cw_object_t             *object;
    const cw_server_index_t *index;
    cw_server_id_t           server;
    size_t                   position = 0;

    while (position < state->retired.count) {
        object = state->retired.slots[position].value;
        server = object->server->server;
        HASH_FIND(hh, state->servers_by_id, &server, sizeof(server), index);
        if (index != NULL && index->ranges.count > 0) {
            position++;
            continue;
        }
        cw_ordered_table_remove(&state->retired, server);
        cw_ordered_table_remove(&state->servers, server);
        unlink_object(state, object);
        free_object(object);
    }
}

/* ---- all ---- */

static void clear_services(cw_control_state_t *state)
{
    cw_service_index_t *index = state->services_by_id;
    cw_service_index_t *next;

    HASH_CLEAR(hh, state->services_by_id);
    for (; index != NULL; index = next) {
        next = index->hh.next;
        cw_ordered_table_clear(&index->ranges);
        free(index);
    }
}

static void clear_servers(cw_control_state_t *state)
{
    cw_server_index_t *index = state->servers_by_id;
    cw_server_index_t *next;

    HASH_CLEAR(hh, state->servers_by_id);
    for (; index != NULL; index = next) {
        next = index->hh.next;
        cw_ordered_table_clear(&index->ranges);
        free(index);
    }
}

void cw_state_clear(cw_control_state_t *state)
{
    cw_object_t *object;
    cw_object_t *newer;

    clear_services(state);
    clear_servers(state);
    for (object = state->oldest; object != NULL; object = newer) {
        newer = object->newer;
        free_object(object);
    }
    cw_ordered_table_clear(&state->nodes);
    cw_ordered_table_clear(&state->ranges);
    cw_ordered_table_clear(&state->servers);
    cw_ordered_table_clear(&state->retired);
    free(state->tenants);
    memset(state, 0, sizeof(*state));
}
