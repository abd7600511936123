/**
 * @file credential_index.h
 * @brief Tenant of a key's digest, by one look-up.
 *
 * An open-addressing table of tenants' positions under the first bytes of the digests: SHA-256 spreads them evenly.
 * Only the whole digest decides, and it is compared in constant time. Memory: 32 bytes of digest and some 8 of table
 * for a key; 10,000 tenants with two keys each take 0.8 MB in each configuration that is kept.
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

/** Of tenants that outlive it. conflict: set if a key stands at two tenants (the first keeps it); true: one does. */
cw_credential_index_t *cw_credential_index_create(const cw_tenant_t *tenants, size_t count, bool *has_conflict,
                                                  cw_credential_conflict_t *conflict);
void                   cw_credential_index_free(cw_credential_index_t *index); /**< NULL is allowed */
/** NULL: no tenant has this key. */
const cw_tenant_t *cw_credential_index_find(const cw_credential_index_t *index, const cw_key_digest_t *key);
/** Keys in it; 0: callers need none. */
size_t cw_credential_index_count(const cw_credential_index_t *index);

#endif
