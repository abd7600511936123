/**
 * @file control_state.h
 * @brief The replicated state: nodes, accepted configuration, key ranges and their owners. Changed only by applying
 *        committed commands, so it is the same on every replica. Also used as the route table on every node.
 */
#ifndef CEDARWINCH_CONTROL_STATE_H
#define CEDARWINCH_CONTROL_STATE_H

#include "cedarwinch/types.h"

typedef struct cw_control_state cw_control_state_t;

cw_control_state_t *cw_control_state_create(void);
void                cw_control_state_free(cw_control_state_t *state);

/** Applies a committed command at a log index: sets fences and new range ids to (generation, index).
 *  Several ranges created by one command get ids (index << 16) + position, so log indexes stay below 2^48.
 *  Returns CW_ERROR_CONFLICT (state unchanged) when expected_version has moved on. */
int cw_control_state_apply(cw_control_state_t *state, const Cw__Command *command, uint64_t generation, uint64_t index);

/** Merges a route update's changes (objects replace those with the same id), or replaces all with base_version 0. */
int cw_control_state_merge(cw_control_state_t *state, const Cw__ControlSnapshot *changes,
                           const uint64_t *removed_ranges, size_t removed_count, bool replace_all);

/** Log index of the last change. */
uint64_t cw_control_state_version(const cw_control_state_t *state);

/** Packs the state; free with free(). */
int cw_control_state_pack(const cw_control_state_t *state, uint8_t **data, size_t *length);
int cw_control_state_unpack(cw_control_state_t *state, const uint8_t *data, size_t length);

/** Objects changed after a version, for route updates. Sets *complete to false when history does not reach back that
 *  far (send the full state then: since 0). The message borrows the state's objects: free with
 *  cw_control_state_changes_free before the state changes. */
typedef struct cw_control_changes {
    Cw__ControlSnapshot *snapshot;
    uint64_t            *removed_ranges;
    size_t               removed_count;
    bool                 complete;
} cw_control_changes_t;

/** See cw_control_changes_t. */
void cw_control_state_changes_since(const cw_control_state_t *state, uint64_t version, cw_control_changes_t *changes);
void cw_control_state_changes_free(cw_control_changes_t *changes);

/* Look-ups: pointers stay valid until the state changes. NULL: not there. */
const Cw__NodeInfo             *cw_control_state_node(const cw_control_state_t *state, cw_node_id_t node);
const Cw__TenantConfiguration  *cw_control_state_tenant(const cw_control_state_t *state, const char *name);
const Cw__ServiceConfiguration *cw_control_state_service(const cw_control_state_t *state, cw_service_id_t service);
const char *cw_control_state_service_tenant(const cw_control_state_t *state, cw_service_id_t service);
const Cw__ServerConfiguration *cw_control_state_server_configuration(const cw_control_state_t *state,
                                                                     cw_server_id_t            server);
const Cw__ServerInfo          *cw_control_state_server(const cw_control_state_t *state, cw_server_id_t server);
const Cw__RangeInfo           *cw_control_state_range(const cw_control_state_t *state, cw_range_id_t range);
/** Range of a service that covers a key hash: O(log ranges). */
const Cw__RangeInfo *cw_control_state_find_range(const cw_control_state_t *state, cw_service_id_t service,
                                                 cw_key_hash_t key_hash);

/* Iteration, in ascending id order (deterministic); return false from visit to stop. */
typedef bool (*cw_visit_node_t)(void *context, const Cw__NodeInfo *node);
typedef bool (*cw_visit_tenant_t)(void *context, const Cw__TenantConfiguration *tenant);
typedef bool (*cw_visit_range_t)(void *context, const Cw__RangeInfo *range);
typedef bool (*cw_visit_server_t)(void *context, const Cw__ServerInfo *server);
void cw_control_state_each_node(const cw_control_state_t *state, cw_visit_node_t visit, void *context);
void cw_control_state_each_tenant(const cw_control_state_t *state, cw_visit_tenant_t visit, void *context);
void cw_control_state_each_range(const cw_control_state_t *state, cw_visit_range_t visit, void *context);
/** Ranges of one service in ascending order of low. */
void cw_control_state_each_service_range(const cw_control_state_t *state, cw_service_id_t service,
                                         cw_visit_range_t visit, void *context);
/** Ranges owned by one server, without a scan of all ranges. */
void cw_control_state_each_server_range(const cw_control_state_t *state, cw_server_id_t server, cw_visit_range_t visit,
                                        void *context);
void cw_control_state_each_server(const cw_control_state_t *state, cw_visit_server_t visit, void *context);

#endif
