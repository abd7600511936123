/**
 * @file control_state_internal.h
 * @brief Storage of the replicated state, shared by its look-ups, its changes and its history.
 */
#ifndef CEDARWINCH_CONTROL_STATE_INTERNAL_H
#define CEDARWINCH_CONTROL_STATE_INTERNAL_H

#include <uthash.h>

#include "cedarwinch/control_state.h"
#include "core/ordered_table.h"

/** Removed ranges remembered for route updates; further back a full update is sent. */
enum { CW_REMOVED_HISTORY = 512 };

typedef enum cw_object_kind { CW_OBJECT_NODE, CW_OBJECT_TENANT, CW_OBJECT_RANGE, CW_OBJECT_SERVER } cw_object_kind_t;

/** One object of the state, in the list of objects ordered by last change (newest last). */
typedef struct cw_object {
    cw_object_kind_t  kind;
    uint64_t          version; /**< of the state at the object's last change */
    struct cw_object *older;
    struct cw_object *newer;
    union {
        ProtobufCMessage        *message;
        Cw__NodeInfo            *node;
        Cw__TenantConfiguration *tenant;
        Cw__RangeInfo           *range;
        Cw__ServerInfo          *server;
    };
} cw_object_t;

/** Ranges of a service, and its configuration while it has one. */
typedef struct cw_service_index {
    cw_service_id_t                 id;
    const Cw__ServiceConfiguration *configuration; /**< NULL: no longer configured */
    const Cw__TenantConfiguration  *tenant;
    cw_ordered_table_t              ranges; /**< by low */
    UT_hash_handle                  hh;
} cw_service_index_t;

/** Ranges of a server, and its configuration while it has one. */
typedef struct cw_server_index {
    cw_server_id_t                 id;
    const Cw__ServerConfiguration *configuration; /**< NULL: no longer configured */
    cw_ordered_table_t             ranges;        /**< by id */
    UT_hash_handle                 hh;
} cw_server_index_t;

typedef struct cw_removed_range {
    uint64_t      version;
    cw_range_id_t range;
} cw_removed_range_t;

struct cw_control_state {
    uint64_t            version;
    uint64_t            history_start; /**< changes after this version are all known */
    cw_ordered_table_t  nodes;
    cw_ordered_table_t  ranges;
    cw_ordered_table_t  servers;
    cw_ordered_table_t  retired; /**< servers out of the configuration that may still own ranges */
    cw_object_t       **tenants; /**< by name */
    size_t              tenant_count;
    size_t              tenant_capacity;
    cw_service_index_t *services_by_id;
    cw_server_index_t  *servers_by_id;
    cw_object_t        *oldest;
    cw_object_t        *newest;
    cw_removed_range_t  removed[CW_REMOVED_HISTORY]; /**< ring, oldest first */
    size_t              removed_first;
    size_t              removed_count;
};

/** Stores a message (the state owns it from here, also on error) under its id, at a version. */
int cw_state_put_node(cw_control_state_t *state, Cw__NodeInfo *node, uint64_t version);
int cw_state_put_range(cw_control_state_t *state, Cw__RangeInfo *range, uint64_t version);
int cw_state_put_server(cw_control_state_t *state, Cw__ServerInfo *server, uint64_t version);
int cw_state_put_tenant(cw_control_state_t *state, Cw__TenantConfiguration *tenant, uint64_t version);
/** Removes a range and remembers that; nothing when it is not there. */
void cw_state_remove_range(cw_control_state_t *state, cw_range_id_t range, uint64_t version);
/** Drops retired servers whose last range has left. */
void cw_state_drop_empty_retired(cw_control_state_t *state);
/** Empties the state but for its history of removals, which is forgotten too. */
void cw_state_clear(cw_control_state_t *state);
/** Position of a tenant, or where it belongs; *found tells which. */
size_t cw_state_tenant_position(const cw_control_state_t *state, const char *name, bool *found);

/* Between control_state_store.c and control_state_tenant.c. */
cw_object_t *cw_state_create_object(cw_object_kind_t kind);
/** Marks an object as changed at a version. */
void cw_state_touch(cw_control_state_t *state, cw_object_t *object, uint64_t version);
/** Index entries, made when missing; NULL without memory. */
cw_service_index_t *cw_state_obtain_service(cw_control_state_t *state, cw_service_id_t service);
cw_server_index_t  *cw_state_obtain_server(cw_control_state_t *state, cw_server_id_t server);
/** Drops an index entry that stands for nothing any more. */
void cw_state_release_service(cw_control_state_t *state, cw_service_index_t *index);
void cw_state_release_server(cw_control_state_t *state, cw_server_index_t *index);

#endif
