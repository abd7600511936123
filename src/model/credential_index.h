/**
 * @file credential_index.h
 * @brief Finds the tenant of a key by the key's digest in one lookup.
 *
 * The index is an open-addressing hash table by the first bytes of the digests: SHA-256 distributes them evenly, and
 * choosing a digest's first bytes takes as many hashes as trying for them. A slot has a tenant and the position of the
 * key in the tenant's list, so digests are not stored twice. A match requires the whole digest, which is compared in
 * constant time.
 *
 * Memory: cw_credential_index_bytes. tests/test_credential_index.c checks that it is below 16 bytes per key, in
 * addition to the 32 bytes of the digest (10,000 tenants with two keys each).
 */
#ifndef CEDARWINCH_MODEL_CREDENTIAL_INDEX_H
#define CEDARWINCH_MODEL_CREDENTIAL_INDEX_H

#include "model/tenant.h"

/** Index of the keys of all tenants. */
typedef struct cw_credential_index cw_credential_index_t;

/** Two tenants with the same key. cw_configuration_check reports it. */
typedef struct cw_credential_conflict {
    size_t first; /**< positions of the tenants */
    size_t second;
} cw_credential_conflict_t;

/** Creates the index of tenants, which must outlive it and not change. has_conflict: two tenants have the same key; the
 * first one keeps it, and *conflict is the first such pair. */
cw_credential_index_t *cw_credential_index_create(const cw_tenant_t *tenants, size_t count, bool *has_conflict,
                                                  cw_credential_conflict_t *conflict);
/** Frees the index. NULL is allowed. */
void cw_credential_index_free(cw_credential_index_t *index);
/** Returns the tenant with this key; NULL: none. index: NULL counts as empty. */
const cw_tenant_t *cw_credential_index_find(const cw_credential_index_t *index, const cw_key_digest_t *key);
/** Number of keys in the index. */
size_t cw_credential_index_count(const cw_credential_index_t *index);
/** Memory of the index in bytes, without the digests, which belong to the tenants. */
size_t cw_credential_index_bytes(const cw_credential_index_t *index);

#endif
