/**
 * @file key_tables.c
 * @brief Tables of keys: update from assignments, application of changes, hash.
 */
#include "router/key_tables.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/memory.h"

uint32_t cw_name_hash(const char *text)
{
    return (uint32_t)XXH3_64bits(text, strlen(text));
}

void cw_key_tables_clear(cw_key_tables_t *tables)
{
    size_t index;

    for (index = 0; index < tables->count; index++) {
        free(tables->items[index].service);
        free(tables->items[index].entries);
    }
    memset(tables, 0, sizeof(*tables));
}

static cw_key_table_t *find_table(cw_key_tables_t *tables, const char *service)
{
    size_t index;

    for (index = 0; index < tables->count; index++) {
        if (strcmp(tables->items[index].service, service) == 0) {
            return &tables->items[index];
        }
    }
    return NULL;
}

cw_key_table_t *cw_key_tables_service(cw_key_tables_t *tables, const char *service)
{
    cw_key_table_t *table = find_table(tables, service);

    if (table != NULL || tables->count == CW_TABLE_SERVICES_MAX) {
        return table;
    }
    table = &tables->items[tables->count++];
    table->service = strdup(service);
    if (table->service == NULL) {
        abort();
    }
    return table;
}

void cw_key_table_add(cw_key_table_t *table, const cw_table_entry_t *entries, size_t count)
{
    if (count == 0) {
        return;
    }
    table->entries = cw_memory_resize(table->entries, (table->count + count) * sizeof(*entries));
    memcpy(&table->entries[table->count], entries, count * sizeof(*entries));
    table->count += count;
}

void cw_key_tables_copy(cw_key_tables_t *to, const cw_key_tables_t *from)
{
    size_t index;

    cw_key_tables_clear(to);
    for (index = 0; index < from->count; index++) {
        const cw_key_table_t *table = &from->items[index];

        cw_key_table_add(cw_key_tables_service(to, table->service), table->entries, table->count);
    }
}

static int compare_low(const void *left, const void *right)
{
    const cw_table_entry_t *first = left;
    const cw_table_entry_t *second = right;

    return (first->low > second->low) - (first->low < second->low);
}

void cw_key_tables_seal(cw_key_tables_t *tables)
{
    size_t index;

    for (index = 0; index < tables->count; index++) {
        if (tables->items[index].count > 1) {
            qsort(tables->items[index].entries, tables->items[index].count, sizeof(cw_table_entry_t), compare_low);
        }
    }
}

/* ---- at the leader ---- */

static bool is_same(const cw_table_entry_t *left, const cw_table_entry_t *right)
{
    return left->low == right->low && left->last == right->last && left->server == right->server &&
           left->fence == right->fence && left->routable == right->routable;
}

static cw_table_entry_t entry_of(const cw_range_t *range)
{
    return (cw_table_entry_t){.low = range->low,
                              .last = range->last,
                              .server = cw_name_hash(range->owner.id),
                              .fence = range->owner.fence,
                              .routable = cw_range_is_routable(range)};
}

bool cw_key_tables_update(cw_key_tables_t *tables, const char *service, const cw_range_list_t *ranges, uint64_t version)
{
    cw_key_table_t *table = cw_key_tables_service(tables, service);
    cw_key_table_t  fresh = {0};
    size_t          before = 0;
    size_t          index;
    bool            is_changed;

    if (table == NULL) {
        return false;
    }
    is_changed = table->count != ranges->count;
    fresh.entries = cw_memory_zeroed_items(ranges->count + 1, sizeof(*fresh.entries));
    for (index = 0; index < ranges->count; index++) {
        cw_table_entry_t entry = entry_of(&ranges->items[index]);

        while (before < table->count && table->entries[before].low < entry.low) {
            before++;
        }
        entry.changed_in = version;
        if (before < table->count && is_same(&table->entries[before], &entry)) {
            entry.changed_in = table->entries[before].changed_in;
        }
        is_changed = is_changed || entry.changed_in == version;
        fresh.entries[fresh.count++] = entry;
    }
    free(table->entries);
    table->entries = fresh.entries;
    table->count = fresh.count;
    return is_changed;
}

/* ---- at the other nodes ---- */

/** Entries of the table that results from applying changes. */
typedef struct merged_entries {
    cw_table_entry_t *entries;
    size_t            count;
    size_t            capacity;
} merged_entries_t;

static void reserve(merged_entries_t *merged, size_t capacity)
{
    merged->capacity = capacity;
    merged->entries = cw_memory_resize(merged->entries, capacity * sizeof(*merged->entries));
}

static void add_merged(merged_entries_t *merged, const cw_table_entry_t *entry)
{
    if (merged->count == merged->capacity) {
        reserve(merged, 2 * merged->capacity);
    }
    merged->entries[merged->count++] = *entry;
}

/* Keeps the parts of an entry that no change covers. `first`: the first change that may overlap the entry, carried from
 * one entry to the next, as both tables are in order of keys. */
static void keep_uncovered(merged_entries_t *merged, const cw_table_entry_t *entry, const cw_key_table_t *changes,
                           size_t *first)
{
    cw_table_entry_t rest = *entry;
    size_t           index;

    while (*first < changes->count && changes->entries[*first].last < entry->low) {
        (*first)++;
    }
    for (index = *first; index < changes->count && changes->entries[index].low <= entry->last; index++) {
        const cw_table_entry_t *change = &changes->entries[index];

        if (change->last < rest.low) {
            continue;
        }
        if (change->low > rest.low) {
            cw_table_entry_t uncovered = rest;

            uncovered.last = change->low - 1;
            add_merged(merged, &uncovered);
        }
        if (change->last >= entry->last) {
            return;
        }
        rest.low = change->last + 1;
    }
    add_merged(merged, &rest);
}

static void apply_changes(cw_key_table_t *table, const cw_key_table_t *changes)
{
    merged_entries_t merged = {0};
    size_t           first = 0;
    size_t           index;

    reserve(&merged, table->count + 2 * changes->count + 1); /* a change may split one entry in two */
    for (index = 0; index < table->count; index++) {
        keep_uncovered(&merged, &table->entries[index], changes, &first);
    }
    for (index = 0; index < changes->count; index++) {
        add_merged(&merged, &changes->entries[index]);
    }
    free(table->entries);
    table->entries = merged.entries;
    table->count = merged.count;
}

void cw_key_tables_apply_changes(cw_key_tables_t *tables, const cw_key_tables_t *changes)
{
    size_t index;

    for (index = 0; index < changes->count; index++) {
        cw_key_table_t *table = cw_key_tables_service(tables, changes->items[index].service);

        if (table != NULL) {
            apply_changes(table, &changes->items[index]);
        }
    }
    cw_key_tables_seal(tables);
}

/* The order of the tables does not matter, so that their hashes are added up. */
uint64_t cw_key_tables_hash(const cw_key_tables_t *tables)
{
    uint64_t sum = 0;
    size_t   index;
    size_t   position;

    for (index = 0; index < tables->count; index++) {
        const cw_key_table_t *table = &tables->items[index];
        uint64_t              hash = XXH3_64bits(table->service, strlen(table->service));

        for (position = 0; position < table->count; position++) {
            const cw_table_entry_t *entry = &table->entries[position];
            uint64_t                words[3] = {((uint64_t)entry->low << 32) | entry->last,
                                                ((uint64_t)entry->server << 1) | (entry->routable ? 1 : 0), entry->fence};

            hash = XXH3_64bits_withSeed(words, sizeof(words), hash);
        }
        sum += hash;
    }
    return sum;
}
