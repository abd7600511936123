/**
 * @file key_table.c
 * @brief State that a server keeps for each key.
 *
 * A forgotten key's entry stays with a count of 0: entries are bounded by the keys a run uses.
 */
#include "key_table.h"

#include <stdlib.h>
#include <xxhash.h>

#define HASH_FUNCTION(key, length, hash) ((hash) = (unsigned)XXH3_64bits((key), (length)))
#include <uthash.h>

typedef struct key_name {
    cw_service_id_t service;
    cw_key_hash_t   key_hash;
} key_name_t;

typedef struct key_entry {
    key_name_t     name;
    uint64_t       count;
    UT_hash_handle hh;
} key_entry_t;

struct cw_key_table {
    key_entry_t *entries;
};

cw_key_table_t *cw_key_table_create(void)
{
    return calloc(1, sizeof(cw_key_table_t));
}

static key_entry_t *find(const cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t key_hash)
{
    key_name_t   name = {.service = service, .key_hash = key_hash};
    key_entry_t *entry;

    HASH_FIND(hh, table->entries, &name, sizeof(name), entry);
    return entry;
}

bool cw_key_table_is_cold(const cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t key_hash)
{
    const key_entry_t *entry = find(table, service, key_hash);

    return entry == NULL || entry->count == 0;
}

uint64_t cw_key_table_count(cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t key_hash)
{
    key_entry_t *entry = find(table, service, key_hash);

    if (entry == NULL) {
        entry = calloc(1, sizeof(*entry));
        if (entry == NULL) {
            return 0;
        }
        entry->name.service = service;
        entry->name.key_hash = key_hash;
        HASH_ADD(hh, table->entries, name, sizeof(entry->name), entry);
    }
    return ++entry->count;
}

void cw_key_table_forget(cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t low, cw_key_hash_t last)
{
    key_entry_t *entry;

    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        if (entry->name.service == service && entry->name.key_hash >= low && entry->name.key_hash <= last) {
            entry->count = 0;
        }
    }
}
