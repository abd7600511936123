/**
 * @file service_paths.h
 * @brief The paths of this node to the servers of each service (server_paths.h).
 *
 * A node may lose its paths to the servers of some services only, since these may stand elsewhere. Services are
 * identified by the hash of their names. A service without contacts counts as reached.
 */
#ifndef CEDARWINCH_BALANCE_SERVICE_PATHS_H
#define CEDARWINCH_BALANCE_SERVICE_PATHS_H

#include <stddef.h>

#include "balance/server_paths.h"

/** Paths of all services that this node has contacted. */
typedef struct cw_service_paths cw_service_paths_t;

/** Creates a table without contacts. */
cw_service_paths_t *cw_service_paths_create(void);
/** Frees the table. */
void cw_service_paths_free(cw_service_paths_t *table);
/** The paths to a service's servers; created if there are none. Valid as long as the table. */
cw_server_paths_t *cw_service_paths_of(cw_service_paths_t *table, uint32_t service);
/** Whether the paths to all servers of the service are lost. */
bool cw_service_paths_are_lost(const cw_service_paths_t *table, uint32_t service);
/** Whether something has come from a server of any service lately. */
bool cw_service_paths_any_open(const cw_service_paths_t *table, cw_time_us_t now);
/** Number of services whose paths are lost; the first `room` of them are written to `lost`. */
size_t cw_service_paths_lost(const cw_service_paths_t *table, uint32_t *lost, size_t room);
/** Number of services in the table. */
size_t cw_service_paths_count(const cw_service_paths_t *table);
/** Calls `visit` for each service. */
void cw_service_paths_each(cw_service_paths_t *table,
                           void (*visit)(void *context, uint32_t service, cw_server_paths_t *paths), void *context);

#endif
