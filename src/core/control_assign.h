/**
 * @file control_assign.h
 * @brief One look at a service by the leader, shared by control_assign.c, control_pass.c and control_split.c.
 */
#ifndef CEDARWINCH_CONTROL_ASSIGN_H
#define CEDARWINCH_CONTROL_ASSIGN_H

#include "core/control_internal.h"

typedef struct cw_pass_server {
    cw_server_id_t     id;
    const char        *zone;
    cw_server_track_t *track; /**< NULL: not known yet */
    bool               usable;
    bool               unsteady;
} cw_pass_server_t;

typedef struct cw_pass {
    cw_control_t                   *control;
    cw_command_builder_t           *builder;
    const Cw__ServiceConfiguration *service; /**< NULL: left the configuration */
    cw_service_track_t             *track;
    cw_pass_server_t               *servers;
    size_t                          server_count;
    size_t                          usable_count;
    size_t                          unsteady_count;
    const Cw__RangeInfo           **ranges; /**< parallel to items */
    cw_placement_range_t           *items;  /**< server 0: free to be placed */
    size_t                          range_count;
    size_t                          moving; /**< ranges being revoked */
} cw_pass_t;

/** Fills a pass in; to be cleared also when it fails. */
int  cw_pass_init(cw_pass_t *pass, cw_control_t *control, cw_command_builder_t *builder, cw_service_id_t service);
void cw_pass_clear(cw_pass_t *pass);
/** Server of the pass by id; NULL: not in the configuration. */
cw_pass_server_t *cw_pass_find_server(cw_pass_t *pass, cw_server_id_t id);

/** Takes a range away from the server that owns it, for another one. */
void cw_control_revoke_range(cw_pass_t *pass, const Cw__RangeInfo *range, cw_server_id_t target, const char *reason);

/** Splits off the hottest key of the service if it is too hot to be balanced. True when it did, or is about to. */
bool cw_control_split_hot(cw_pass_t *pass, const cw_placement_input_t *input);
/** Takes a step towards merging two neighbouring ranges that cooled down. Returns true when it did. */
bool cw_control_merge_cold(cw_pass_t *pass, const cw_placement_input_t *input);

#endif
