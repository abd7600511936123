/**
 * @file configuration.h
 * @brief The operators' accepted configuration: routes, services and limits, as one immutable, counted value.
 *
 * A configuration is built once by an adapter, sealed, checked with cw_configuration_check and then only read. Versions
 * are ordered numbers; a process never goes back to a lower one.
 */
#ifndef CEDARWINCH_MODEL_CONFIGURATION_H
#define CEDARWINCH_MODEL_CONFIGURATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "model/credential_index.h"
#include "model/name_set.h"
#include "model/tenant.h"
#include "net/http_listener.h"

/** One part of a traffic split. */
typedef struct cw_split_part {
    char  *service;
    double weight; /**< share is weight over the sum of the weights */
} cw_split_part_t;

typedef struct cw_route {
    char            *name;
    char            *host;
    char            *prefix;       /**< begins and ends with a slash */
    bool             repeatable;   /**< requests may run more than once */
    cw_time_us_t     timeout;      /**< longest time a request is held; 0: the caller's own */
    cw_time_us_t     aim;          /**< an answer within it has its full worth; 0: not stated */
    uint32_t         max_attempts; /**< servers one request may be sent to; at least 1 */
    uint32_t         priority;     /**< 0 is the most urgent */
    cw_split_part_t *parts;
    size_t           part_count;
    cw_name_set_t    regions;          /**< its requests go to servers there only; empty: anywhere */
    bool             allows_anonymous; /**< callers need no key, also where the configuration has tenants with keys */
} cw_route_t;

typedef struct cw_service {
    char        *name;
    bool         keyed; /**< divided by key: a server runs only requests for keys it was granted */
    uint32_t     max_connections;
    cw_time_us_t warm_time;  /**< keys without their last holder's handover are slow for so long */
    cw_time_us_t cold_time;  /**< a server is cold for so long after its start */
    double       cold_per_s; /**< requests a second that a cold server bears; 0: no bound */
} cw_service_t;

typedef struct cw_configuration {
    uint64_t         version;
    cw_route_t      *routes; /**< sorted by host, then by longer prefix first */
    size_t           route_count;
    cw_service_t    *services;
    size_t           service_count;
    cw_tenant_t     *tenants; /**< sorted by name */
    size_t           tenant_count;
    cw_http_limits_t limits;
    int              references;
    /* set when it is sealed */
    cw_credential_index_t   *credentials;  /**< tenants' keys */
    bool                     needs_keys;   /**< some tenant's callers are known by keys */
    bool                     has_conflict; /**< a key stands at two tenants */
    cw_credential_conflict_t conflict;
} cw_configuration_t;

/** One reference, held by the caller. Never NULL. */
cw_configuration_t *cw_configuration_create(uint64_t version);
/** Room for one more; the strings in it are to be allocated and become the configuration's. */
cw_route_t   *cw_configuration_add_route(cw_configuration_t *configuration);
cw_service_t *cw_configuration_add_service(cw_configuration_t *configuration);
cw_tenant_t  *cw_configuration_add_tenant(cw_configuration_t *configuration);
void          cw_route_add_part(cw_route_t *route, const char *service, double weight);
/** Sorts routes for matching and tenants, and indexes tenants' keys; to be called once after the last was added. */
void cw_configuration_seal(cw_configuration_t *configuration);

enum { CW_PROBLEM_BYTES = 200 };
/** May a sealed configuration come into force? False: a key or a name stands at two tenants; *problem says which. */
bool cw_configuration_check(const cw_configuration_t *configuration, char *problem, size_t size);

/** Order of routes in a sealed configuration: by host, then by longer prefix first, then by prefix. */
int cw_route_compare(const cw_route_t *left, const cw_route_t *right);
/** Same services with the same weights, in the same order. */
bool cw_route_same_parts(const cw_route_t *left, const cw_route_t *right);
/** Same name, place, limits and parts. */
bool cw_route_same(const cw_route_t *left, const cw_route_t *right);
/** Adds a copy of a route to a configuration that is not sealed yet. */
void cw_configuration_copy_route(cw_configuration_t *configuration, const cw_route_t *route);

/** The same for a tenant. */
void cw_configuration_copy_tenant(cw_configuration_t *configuration, const cw_tenant_t *tenant);

cw_configuration_t *cw_configuration_hold(cw_configuration_t *configuration);
void                cw_configuration_release(cw_configuration_t *configuration); /**< NULL is allowed */

const cw_service_t *cw_configuration_service(const cw_configuration_t *configuration, const char *name);
/** Tenant that owns a route or service of this name, in a sealed configuration; NULL: none. */
const cw_tenant_t *cw_configuration_tenant_of(const cw_configuration_t *configuration, const char *name);
/** Route of a host (a port behind it is ignored) and path: the longest prefix that begins the path; NULL: none. */
const cw_route_t *cw_configuration_match(const cw_configuration_t *configuration, const char *host, const char *path);

#endif
