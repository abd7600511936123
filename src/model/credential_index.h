/**
 * @file credential_index.h
 * @brief Tenant of a key's digest, by one look-up.
 *
 * An open-addressing table under the first bytes of the digests: SHA-256 spreads them evenly, and nobody chooses a
 * digest's first bytes without hashing for it. A slot names a tenant and the position of the key in its list, so no
 * digest is kept twice. Only the whole digest decides, and it is compared in constant time.
 *
 * Memory: cw_credential_index_bytes; tests/test_credential_index.c holds it below 16 bytes a key beside the
 * 32 of the digest (10,000 tenants with two keys each).
 */
#ifndef CEDARWINCH_MODEL_CREDENTIAL_INDEX_H
#define CEDARWINCH_MODEL_CREDENTIAL_INDEX_H

#include "model/tenant.h"

typedef struct cw_credential_index cw_credential_index_t;

/** A key that two tenants claim; owners of configurations report it. */
typedef struct cw_credential_conflict {
    size_t first; /**< positions of the tenants */
    size_t second;
} cw_credential_conflict_t;

/** Of tenants that outlive it and do not change. has_conflict: a key stands at two tenants; the first keeps it, and
 * *conflict names the first such pair. */
cw_credential_index_t *cw_credential_index_create(const cw_tenant_t *tenants, size_t count, bool *has_conflict,
                                                  cw_credential_conflict_t *conflict);
void                   cw_credential_index_free(cw_credential_index_t *index); /**< NULL is allowed */
/** NULL: no tenant has this key. index NULL: an empty one. */
const cw_tenant_t *cw_credential_index_find(const cw_credential_index_t *index, const cw_key_digest_t *key);
/** Keys in it. */
size_t cw_credential_index_count(const cw_credential_index_t *index);
/** Memory it takes, without the digests, which are the tenants'. */
size_t cw_credential_index_bytes(const cw_credential_index_t *index);

#endif
