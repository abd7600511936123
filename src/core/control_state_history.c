/**
 * @file control_state_history.c
 * @brief Snapshots of the replicated state and the changes since a version.
 *
 * Objects stand in a list ordered by last change, so a delta costs what has changed, not what there is. Removed ranges
 * leave no object behind and are kept in a bounded ring; further back than that only a full update is right.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "core/control_state_internal.h"

/* Puts an object into the message that is being built; the arrays are large enough for all that were counted. */
static void add_object(Cw__ControlSnapshot *snapshot, const cw_object_t *object)
{
    switch (object->kind) {
    case CW_OBJECT_NODE:
        snapshot->nodes[snapshot->n_nodes++] = object->node;
        break;
    case CW_OBJECT_TENANT:
        snapshot->tenants[snapshot->n_tenants++] = object->tenant;
        break;
    case CW_OBJECT_RANGE:
        snapshot->ranges[snapshot->n_ranges++] = object->range;
        break;
    case CW_OBJECT_SERVER:
        snapshot->servers[snapshot->n_servers++] = object->server;
        break;
    }
}

static void snapshot_free(Cw__ControlSnapshot *snapshot)
{
    if (snapshot == NULL) {
        return;
    }
    free(snapshot->nodes);
    free(snapshot->tenants);
    free(snapshot->ranges);
    free(snapshot->servers);
    free(snapshot);
}

static Cw__ControlSnapshot *snapshot_create(const cw_control_state_t *state, const size_t counts[])
{
    Cw__ControlSnapshot *snapshot = malloc(sizeof(*snapshot));

    if (snapshot == NULL) {
        return NULL;
    }
    cw__control_snapshot__init(snapshot);
    snapshot->version = state->version;
    snapshot->nodes = calloc(counts[CW_OBJECT_NODE] + 1, sizeof(Cw__NodeInfo *));
    snapshot->tenants = calloc(counts[CW_OBJECT_TENANT] + 1, sizeof(Cw__TenantConfiguration *));
    snapshot->ranges = calloc(counts[CW_OBJECT_RANGE] + 1, sizeof(Cw__RangeInfo *));
    snapshot->servers = calloc(counts[CW_OBJECT_SERVER] + 1, sizeof(Cw__ServerInfo *));
    if (snapshot->nodes == NULL || snapshot->tenants == NULL || snapshot->ranges == NULL || snapshot->servers == NULL) {
        snapshot_free(snapshot);
        return NULL;
    }
    return snapshot;
}

static void add_table(Cw__ControlSnapshot *snapshot, const cw_ordered_table_t *table)
{
    size_t position;

    for (position = 0; position < table->count; position++) {
        add_object(snapshot, table->slots[position].value);
    }
}

/* All objects in ascending order of their ids. */
static Cw__ControlSnapshot *snapshot_of_all(const cw_control_state_t *state)
{
    const size_t         counts[] = {[CW_OBJECT_NODE] = state->nodes.count,
                                     [CW_OBJECT_TENANT] = state->tenant_count,
                                     [CW_OBJECT_RANGE] = state->ranges.count,
                                     [CW_OBJECT_SERVER] = state->servers.count};
    Cw__ControlSnapshot *snapshot = snapshot_create(state, counts);
    size_t               position;

    if (snapshot == NULL) {
        return NULL;
    }
    for (position = 0; position < state->tenant_count; position++) {
        add_object(snapshot, state->tenants[position]);
    }
    add_table(snapshot, &state->nodes);
    add_table(snapshot, &state->servers);
    add_table(snapshot, &state->ranges);
    return snapshot;
}

static Cw__ControlSnapshot *snapshot_since(const cw_control_state_t *state, uint64_t version)
{
    size_t               counts[CW_OBJECT_SERVER + 1] = {0};
    Cw__ControlSnapshot *snapshot;
    const cw_object_t   *object;
    const cw_object_t   *first = NULL;

    for (object = state->newest; object != NULL && object->version > version; object = object->older) {
        counts[object->kind]++;
        first = object;
    }
    snapshot = snapshot_create(state, counts);
    for (object = first; snapshot != NULL && object != NULL; object = object->newer) {
        add_object(snapshot, object);
    }
    return snapshot;
}

static void collect_removed(const cw_control_state_t *state, uint64_t version, cw_control_changes_t *changes)
{
    const cw_removed_range_t *removed;
    size_t                    first = state->removed_count;
    size_t                    position;

    while (first > 0 && state->removed[(state->removed_first + first - 1) % CW_REMOVED_HISTORY].version > version) {
        first--;
    }
    changes->removed_ranges = calloc(state->removed_count - first + 1, sizeof(uint64_t));
    for (position = first; changes->removed_ranges != NULL && position < state->removed_count; position++) {
        removed = &state->removed[(state->removed_first + position) % CW_REMOVED_HISTORY];
        changes->removed_ranges[changes->removed_count++] = removed->range;
    }
}

void cw_control_state_changes_since(const cw_control_state_t *state, uint64_t version, cw_control_changes_t *changes)
{
    changes->snapshot = NULL;
    changes->removed_ranges = NULL;
    changes->removed_count = 0;
    changes->complete = version == 0 || (version >= state->history_start && version <= state->version);
    if (!changes->complete) {
        return;
    }
    if (version == 0) {
        changes->snapshot = snapshot_of_all(state);
        return;
    }
    changes->snapshot = snapshot_since(state, version);
    collect_removed(state, version, changes);
}

void cw_control_state_changes_free(cw_control_changes_t *changes)
{
    snapshot_free(changes->snapshot);
    free(changes->removed_ranges);
    changes->snapshot = NULL;
    changes->removed_ranges = NULL;
    changes->removed_count = 0;
}

int cw_control_state_pack(const cw_control_state_t *state, uint8_t **data, size_t *length)
{
    Cw__ControlSnapshot *snapshot = snapshot_of_all(state);

    if (snapshot == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    *length = cw__control_snapshot__get_packed_size(snapshot);
    *data = malloc(*length + 1);
    if (*data != NULL) {
        cw__control_snapshot__pack(snapshot, *data);
    }
    snapshot_free(snapshot);
    return *data == NULL ? CW_ERROR_NO_MEMORY : CW_OK;
}

int cw_control_state_unpack(cw_control_state_t *state, const uint8_t *data, size_t length)
{
    Cw__ControlSnapshot *snapshot = cw__control_snapshot__unpack(NULL, length, data);
    int                  error;

    if (snapshot == NULL) {
        return CW_ERROR_PARSE;
    }
    error = cw_control_state_merge(state, snapshot, NULL, 0, true);
    cw__control_snapshot__free_unpacked(snapshot, NULL);
    return error;
}
