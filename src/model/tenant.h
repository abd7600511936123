/**
 * @file tenant.h
 * @brief Tenants: whose routes and services are whose, and what their callers may do.
 *
 * A tenant owns the routes and services whose names begin with its own and a slash ("harbour/maps"). Names without
 * a slash belong to no tenant: their routes are open.
 */
#ifndef CEDARWINCH_MODEL_TENANT_H
#define CEDARWINCH_MODEL_TENANT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/name_set.h"

enum { CW_TENANT_DIGEST_BYTES = 32, CW_TENANT_TOKENS_MAX = 8 };

typedef struct cw_tenant {
    char         *name;
    uint8_t       tokens[CW_TENANT_TOKENS_MAX][CW_TENANT_DIGEST_BYTES]; /**< SHA-256 of callers' tokens */
    size_t        token_count;                                          /**< 0: its routes are open */
    uint32_t      requests_per_s;                                       /**< over all nodes; 0: no limit */
    uint32_t      concurrent;                                           /**< over all nodes; 0: no limit */
    cw_name_set_t regions; /**< its requests go to servers there only; empty: anywhere */
} cw_tenant_t;

/** Does a route's or service's name belong to the tenant? */
bool cw_tenant_owns(const char *tenant, const char *name);
/** Hexadecimal digits of a digest; false: the text is not 64 of them. */
bool cw_tenant_digest_from_text(uint8_t digest[CW_TENANT_DIGEST_BYTES], const char *text);
void cw_tenant_digest_to_text(char *text, size_t size, const uint8_t digest[CW_TENANT_DIGEST_BYTES]);

#endif
