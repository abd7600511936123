/**
 * @file tenant.h
 * @brief Tenants: whose routes and services are whose, and what their callers may do.
 *
 * A tenant owns the routes and services whose names begin with its own and a slash ("harbour/maps"). Names without
 * a slash belong to no tenant. A caller's key names its tenant on any route (tenancy/caller_identity.h).
 */
#ifndef CEDARWINCH_MODEL_TENANT_H
#define CEDARWINCH_MODEL_TENANT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/name_set.h"

enum { CW_TENANT_DIGEST_BYTES = 32 /**< SHA-256 */ };

/** SHA-256 of a caller's key. Keys themselves are kept nowhere. */
typedef struct cw_key_digest {
    uint8_t bytes[CW_TENANT_DIGEST_BYTES];
} cw_key_digest_t;

typedef struct cw_tenant {
    char            *name;
    cw_key_digest_t *keys; /**< of its callers, sorted, without duplicates */
    size_t           key_count;
    bool             needs_key;  /**< its callers are known by keys, also when all of them were taken away */
    uint32_t         priority;   /**< goes before its routes' priority; 0 is the most urgent */
    double           rate_per_s; /**< requests a second, over all nodes; 0: no limit */
    double           burst;      /**< so many more may come at once, over all nodes */
    uint32_t         concurrent; /**< over all nodes; 0: no limit */
    cw_name_set_t    regions;    /**< its requests go to servers there only; empty: anywhere */
} cw_tenant_t;

/** Of a tenant's name, as nodes name it to one another; never 0. No two tenants with a limit have the same one
 * (cw_configuration_check). */
uint32_t cw_tenant_hash(const char *name);
/** Does a route's or service's name belong to the tenant? */
bool cw_tenant_owns(const char *tenant, const char *name);
/** Adds a key, unless the tenant has it. */
void cw_tenant_add_key(cw_tenant_t *tenant, const cw_key_digest_t *key);
bool cw_tenant_has_key(const cw_tenant_t *tenant, const cw_key_digest_t *key);
/** The same keys, and both or neither need one. */
bool cw_tenant_same_keys(const cw_tenant_t *left, const cw_tenant_t *right);
/** The same name, keys, limits and regions. */
bool cw_tenant_same(const cw_tenant_t *left, const cw_tenant_t *right);
/** Frees what it holds. */
void cw_tenant_clear(cw_tenant_t *tenant);
/** SHA-256 of a caller's key. */
void cw_tenant_digest_of_key(cw_key_digest_t *digest, const char *key);
/** Hexadecimal digits of a digest; false: the text is not 64 of them. */
bool cw_tenant_digest_from_text(cw_key_digest_t *digest, const char *text);
void cw_tenant_digest_to_text(char *text, size_t size, const cw_key_digest_t *digest);

#endif
