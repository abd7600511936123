/**
 * @file credential_index.c
 * @brief Open-addressing hash table of the digests of keys.
 */
#include "model/credential_index.h"

#include <nettle/memops.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

enum {
    SLOTS_MIN = 8,
    /* Largest share of used slots. With it a lookup probes 1.2 to 8.5 slots on average, for a hit or a miss. */
    LOAD_PERCENT = 75
};

typedef struct slot {
    uint32_t tenant; /* position plus one; 0: the slot is empty */
    uint32_t key;    /* position in the tenant's list */
} slot_t;

struct cw_credential_index {
    const cw_tenant_t *tenants;
    slot_t            *slots;
    size_t             slot_count; /* a power of two */
    size_t             count;
};

static size_t slot_count_for(size_t keys)
{
    size_t slots = SLOTS_MIN;

    while (slots * LOAD_PERCENT / 100 < keys) {
        slots *= 2;
    }
    return slots;
}

static size_t first_slot(const cw_credential_index_t *index, const cw_key_digest_t *key)
{
    uint64_t start;

    memcpy(&start, key->bytes, sizeof(start));
    return (size_t)start & (index->slot_count - 1);
}

/* Returns the slot of this key, or the empty slot where it would be inserted. */
static slot_t *slot_of(const cw_credential_index_t *index, const cw_key_digest_t *key)
{
    size_t position = first_slot(index, key);

    while (index->slots[position].tenant != 0) {
        const slot_t      *slot = &index->slots[position];
        const cw_tenant_t *tenant = &index->tenants[slot->tenant - 1];

        if (memeql_sec(tenant->keys[slot->key].bytes, key->bytes, sizeof(key->bytes)) != 0) {
            break;
        }
        position = (position + 1) & (index->slot_count - 1);
    }
    return &index->slots[position];
}

static size_t count_keys(const cw_tenant_t *tenants, size_t count)
{
    size_t keys = 0;
    size_t position;

    for (position = 0; position < count; position++) {
        keys += tenants[position].key_count;
    }
    return keys;
}

/* Inserts a key. False: the tenant *other has it already. */
static bool insert(cw_credential_index_t *index, size_t tenant, size_t key, size_t *other)
{
    slot_t *slot = slot_of(index, &index->tenants[tenant].keys[key]);

    if (slot->tenant != 0) {
        *other = slot->tenant - 1;
        return *other == tenant;
    }
    *slot = (slot_t){.tenant = (uint32_t)tenant + 1, .key = (uint32_t)key};
    index->count++;
    return true;
}

cw_credential_index_t *cw_credential_index_create(const cw_tenant_t *tenants, size_t count, bool *has_conflict,
                                                  cw_credential_conflict_t *conflict)
{
    cw_credential_index_t *index = calloc(1, sizeof(*index));
    size_t                 tenant;
    size_t                 key;
    size_t                 other;

    if (index == NULL) {
        abort();
    }
    index->tenants = tenants;
    index->slot_count = slot_count_for(count_keys(tenants, count));
    index->slots = cw_memory_zeroed_items(index->slot_count, sizeof(*index->slots));
    *has_conflict = false;
    for (tenant = 0; tenant < count; tenant++) {
        for (key = 0; key < tenants[tenant].key_count; key++) {
            if (!insert(index, tenant, key, &other) && !*has_conflict) {
                *has_conflict = true;
                *conflict = (cw_credential_conflict_t){.first = other, .second = tenant};
            }
        }
    }
    return index;
}

void cw_credential_index_free(cw_credential_index_t *index)
{
    if (index != NULL) {
        free(index->slots);
        free(index);
    }
}

const cw_tenant_t *cw_credential_index_find(const cw_credential_index_t *index, const cw_key_digest_t *key)
{
    const slot_t *slot = index == NULL || index->count == 0 ? NULL : slot_of(index, key);

    return slot == NULL || slot->tenant == 0 ? NULL : &index->tenants[slot->tenant - 1];
}

size_t cw_credential_index_count(const cw_credential_index_t *index)
{
    return index == NULL ? 0 : index->count;
}

size_t cw_credential_index_bytes(const cw_credential_index_t *index)
{
    return index == NULL ? 0 : sizeof(*index) + index->slot_count * sizeof(*index->slots);
}
