/**
 * @file configuration.h
 * @brief The operators' accepted configuration: routes, services, tenants and limits, as one immutable value with a
 * reference count.
 *
 * An adapter builds a configuration, seals it and checks it with cw_configuration_check; after that it is only read.
 * Versions are ordered numbers; a process never applies a lower version than the one that it has.
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
    double weight; /**< the part's share is its weight divided by the sum of the weights */
} cw_split_part_t;

/** Requests of a host and path prefix, and the rules for them. */
typedef struct cw_route {
    char            *name;
    char            *host;
    char            *prefix;       /**< begins and ends with a slash */
    bool             repeatable;   /**< requests may be executed more than once */
    cw_time_us_t     timeout;      /**< longest time for which a request is held; 0: the caller's own timeout */
    cw_time_us_t     objective;    /**< latency objective: a response within it has its full value; 0: not stated */
    uint32_t         max_attempts; /**< number of servers that a request may be sent to; at least 1 */
    uint32_t         priority;     /**< 0 is the most urgent */
    cw_split_part_t *parts;
    size_t           part_count;
    cw_name_set_t    regions;          /**< its requests may be sent to servers there only; empty: anywhere */
    bool             allows_anonymous; /**< callers need no key, even if the configuration has tenants with keys */
} cw_route_t;

/** A group of servers that execute the same requests. */
typedef struct cw_service {
    char        *name;
    bool         keyed; /**< divided by key: a server executes only requests for keys that it was granted */
    uint32_t     max_connections;
    cw_time_us_t warm_time;  /**< how long keys are slow that were granted without the last holder's handover */
    cw_time_us_t cold_time;  /**< how long a server is cold after its start */
    double       cold_per_s; /**< requests per second that a cold server can handle; 0: no limit */
} cw_service_t;

/** A configuration with its reference count. */
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
    /* set by cw_configuration_seal */
    size_t                  *prefix_lengths; /**< different lengths of the routes' prefixes, longest first */
    size_t                   prefix_length_count;
    cw_credential_index_t   *credentials;  /**< index of the tenants' keys */
    bool                     needs_keys;   /**< the callers of some tenant are identified by keys */
    bool                     has_conflict; /**< two tenants have the same key */
    cw_credential_conflict_t conflict;
} cw_configuration_t;

/** Creates a configuration with one reference, which the caller holds. Never NULL. */
cw_configuration_t *cw_configuration_create(uint64_t version);
/** Adds an empty item. Its strings must be allocated by the caller; the configuration takes ownership of them. */
cw_route_t   *cw_configuration_add_route(cw_configuration_t *configuration);
cw_service_t *cw_configuration_add_service(cw_configuration_t *configuration);
cw_tenant_t  *cw_configuration_add_tenant(cw_configuration_t *configuration);
/** Adds a part to the traffic split of a route. */
void cw_route_add_part(cw_route_t *route, const char *service, double weight);
/** Sorts routes and tenants and indexes the tenants' keys. To be called once, after the last item was added. */
void cw_configuration_seal(cw_configuration_t *configuration);

enum { CW_PROBLEM_BYTES = 200 /**< size of the text in which cw_configuration_check describes a problem */ };

/** Whether a sealed configuration may be applied. False: two tenants have the same key or name, or two tenants with
 * limits have the same hash; the text `problem`, a buffer of `size` bytes, names them. */
bool cw_configuration_check(const cw_configuration_t *configuration, char *problem, size_t size);

/** Compares by the order of routes in a sealed configuration: by host, then by longer prefix first, then by prefix. */
int cw_route_compare(const cw_route_t *left, const cw_route_t *right);
/** Whether both have the same services with the same weights, in the same order. */
bool cw_route_same_parts(const cw_route_t *left, const cw_route_t *right);
/** Whether both have the same name, host, prefix, limits, regions and parts. */
bool cw_route_same(const cw_route_t *left, const cw_route_t *right);
/** Adds a copy of a route to a configuration that is not sealed yet. */
void cw_configuration_copy_route(cw_configuration_t *configuration, const cw_route_t *route);

/** Adds a copy of a tenant to a configuration that is not sealed yet. */
void cw_configuration_copy_tenant(cw_configuration_t *configuration, const cw_tenant_t *tenant);

/** Takes another reference. */
cw_configuration_t *cw_configuration_retain(cw_configuration_t *configuration);
/** Releases a reference; the last one frees the configuration. NULL is allowed. */
void cw_configuration_release(cw_configuration_t *configuration);

/** Returns the service of this name; NULL: none. */
const cw_service_t *cw_configuration_service(const cw_configuration_t *configuration, const char *name);
/** Returns the tenant with this name, in a sealed configuration; NULL: none. */
const cw_tenant_t *cw_configuration_tenant_named(const cw_configuration_t *configuration, const char *name);
/** Returns the tenant that owns a route or service of this name, in a sealed configuration; NULL: none. */
const cw_tenant_t *cw_configuration_tenant_of(const cw_configuration_t *configuration, const char *name);
/** Walk through the routes of two sealed configurations in their common order. */
typedef struct cw_route_walk {
    const cw_configuration_t *base;          /**< NULL: an empty configuration */
    const cw_configuration_t *configuration; /**< compared with the base */
    size_t                    base_index;    /**< next route of the base */
    size_t                    index;         /**< next route of the configuration */
    const cw_route_t         *before;        /**< present route in the base; NULL: it is not there */
    const cw_route_t         *after;         /**< present route in the configuration; NULL: it is not there */
} cw_route_walk_t;

/** Advances to the next host and prefix that either configuration has. False: there is none. */
bool cw_route_walk_next(cw_route_walk_t *walk);

/** Returns the route of a host (a port after it is ignored) whose prefix is the longest that the path begins with;
 * NULL: none. */
const cw_route_t *cw_configuration_match(const cw_configuration_t *configuration, const char *host, const char *path);

#endif
