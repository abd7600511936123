/**
 * @file tenant.h
 * @brief Tenants: their routes and services, and the limits of their callers.
 *
 * A tenant owns the routes and services whose names begin with its own name and a slash ("harbour/maps"). Names without
 * a slash belong to no tenant. A caller's key identifies its tenant on any route (tenancy/caller_identity.h).
 */
#ifndef CEDARWINCH_MODEL_TENANT_H
#define CEDARWINCH_MODEL_TENANT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/name_set.h"

enum { CW_TENANT_DIGEST_BYTES = 32 /**< SHA-256 */ };

/** SHA-256 digest of a caller's key. Keys themselves are not stored anywhere. */
typedef struct cw_key_digest {
    uint8_t bytes[CW_TENANT_DIGEST_BYTES];
} cw_key_digest_t;

/** A tenant with its limits. */
typedef struct cw_tenant {
    char            *name;
    cw_key_digest_t *keys; /**< digests of its callers' keys, sorted, without duplicates */
    size_t           key_count;
    bool             needs_key;  /**< its callers are identified by keys, even after all keys were removed */
    uint32_t         priority;   /**< takes precedence over its routes' priority; 0 is the most urgent */
    double           rate_per_s; /**< requests per second on all nodes together; 0: no limit */
    double           burst;      /**< requests above the rate that may arrive at once, on all nodes together */
    uint32_t         concurrent; /**< concurrent requests on all nodes together; 0: no limit */
    cw_name_set_t    regions;    /**< its requests may be sent to servers there only; empty: anywhere */
} cw_tenant_t;

/** Hash of a tenant's name, which identifies the tenant in messages between nodes; never 0. No two tenants with a limit
 * have the same hash (cw_configuration_check). */
uint32_t cw_tenant_hash(const char *name);
/** Whether the tenant owns the route or service of this name. */
bool cw_tenant_owns(const char *tenant, const char *name);
/** Adds a key, unless the tenant has it. */
void cw_tenant_add_key(cw_tenant_t *tenant, const cw_key_digest_t *key);
/** Whether the tenant has this key. */
bool cw_tenant_has_key(const cw_tenant_t *tenant, const cw_key_digest_t *key);
/** Whether both have the same keys and the same needs_key. */
bool cw_tenant_same_keys(const cw_tenant_t *left, const cw_tenant_t *right);
/** Whether both have the same name, keys, limits and regions. */
bool cw_tenant_same(const cw_tenant_t *left, const cw_tenant_t *right);
/** Frees the contents of the tenant. */
void cw_tenant_clear(cw_tenant_t *tenant);
/** Computes the SHA-256 digest of a caller's key. */
void cw_tenant_digest_of_key(cw_key_digest_t *digest, const char *key);
/** Decodes a digest. False: the text is not 64 hexadecimal digits. */
bool cw_tenant_digest_from_text(cw_key_digest_t *digest, const char *text);
/** Writes a digest as hexadecimal digits. */
void cw_tenant_digest_to_text(char *text, size_t size, const cw_key_digest_t *digest);

#endif
