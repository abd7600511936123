/**
 * @file service_paths.c
 * @brief Hash table of the paths, by service.
 */
#include "balance/service_paths.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

typedef struct service_entry {
    uint32_t          service;
    cw_server_paths_t paths;
    UT_hash_handle    hh;
} service_entry_t;

struct cw_service_paths {
    service_entry_t *entries;
};

cw_service_paths_t *cw_service_paths_create(void)
{
    cw_service_paths_t *table = cw_memory_zeroed(sizeof(*table));

    return table;
}

void cw_service_paths_free(cw_service_paths_t *table)
{
    service_entry_t *entry;
    service_entry_t *next;

    HASH_ITER(hh, table->entries, entry, next)
    {
        HASH_DEL(table->entries, entry); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
        free(entry);
    }
    free(table);
}

static service_entry_t *find(const cw_service_paths_t *table, uint32_t service)
{
    service_entry_t *entry;

    HASH_FIND(hh, table->entries, &service, sizeof(service), entry);
    return entry;
}

cw_server_paths_t *cw_service_paths_of(cw_service_paths_t *table, uint32_t service)
{
    service_entry_t *entry = find(table, service);

    if (entry == NULL) {
        entry = cw_memory_zeroed(sizeof(*entry));
        entry->service = service;
        HASH_ADD(hh, table->entries, service, sizeof(entry->service), entry);
    }
    return &entry->paths;
}

bool cw_service_paths_are_lost(const cw_service_paths_t *table, uint32_t service)
{
    const service_entry_t *entry = find(table, service);

    return entry != NULL && entry->paths.are_lost;
}

bool cw_service_paths_any_open(const cw_service_paths_t *table, cw_time_us_t now)
{
    const service_entry_t *entry;

    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        if (cw_server_paths_are_known_open(&entry->paths, now)) {
            return true;
        }
    }
    return false;
}

size_t cw_service_paths_lost(const cw_service_paths_t *table, uint32_t *lost, size_t room)
{
    const service_entry_t *entry;
    size_t                 count = 0;

    for (entry = table->entries; entry != NULL; entry = entry->hh.next) {
        if (entry->paths.are_lost) {
            if (count < room) {
                lost[count] = entry->service;
            }
            count++;
        }
    }
    return count;
}

size_t cw_service_paths_count(const cw_service_paths_t *table)
{
    return HASH_COUNT(table->entries);
}

void cw_service_paths_each(cw_service_paths_t *table,
                           void (*visit)(void *context, uint32_t service, cw_server_paths_t *paths), void *context)
{
    service_entry_t *entry;
    service_entry_t *next;

    HASH_ITER(hh, table->entries, entry, next)
    {
        visit(context, entry->service, &entry->paths);
    }
}
