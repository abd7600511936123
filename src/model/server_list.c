/**
 * @file server_list.c
 * @brief Snapshot of the servers.
 */
#include "model/server_list.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { GROWTH = 16 };

cw_server_list_t *cw_server_list_create(void)
{
    cw_server_list_t *list = calloc(1, sizeof(*list));

    if (list == NULL) {
        abort();
    }
    list->references = 1;
    return list;
}

cw_server_entry_t *cw_server_list_add(cw_server_list_t *list)
{
    if (list->count % GROWTH == 0) {
        list->entries = realloc(list->entries, (list->count + GROWTH) * sizeof(*list->entries));
        if (list->entries == NULL) {
            abort();
        }
    }
    memset(&list->entries[list->count], 0, sizeof(*list->entries));
    return &list->entries[list->count++];
}

static int compare_entries(const void *left, const void *right)
{
    return strcmp(((const cw_server_entry_t *)left)->id, ((const cw_server_entry_t *)right)->id);
}

void cw_server_list_seal(cw_server_list_t *list)
{
    if (list->count > 1) {
        qsort(list->entries, list->count, sizeof(*list->entries), compare_entries);
    }
}

static char *copy_text(const char *text)
{
    char *copy = strdup(text);

    if (copy == NULL) {
        abort();
    }
    return copy;
}

static cw_server_entry_t copy_entry(const cw_server_entry_t *entry)
{
    cw_server_entry_t copy = *entry;

    copy.id = copy_text(entry->id);
    copy.service = copy_text(entry->service);
    copy.address = copy_text(entry->address);
    copy.zone = copy_text(entry->zone);
    return copy;
}

static void free_entry(cw_server_entry_t *entry)
{
    free(entry->id);
    free(entry->service);
    free(entry->address);
    free(entry->zone);
}

void cw_server_list_put(cw_server_list_t *list, size_t sealed, const cw_server_entry_t *entry)
{
    cw_server_list_t   known = {.entries = list->entries, .count = sealed};
    cw_server_entry_t *place = (cw_server_entry_t *)cw_server_list_find(&known, entry->id);
    cw_server_entry_t  copy = copy_entry(entry);

    if (place == NULL) {
        place = cw_server_list_add(list);
    } else {
        free_entry(place);
    }
    *place = copy;
}

static bool is_among(const char *id, char *const *ids, size_t count)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (strcmp(ids[index], id) == 0) {
            return true;
        }
    }
    return false;
}

cw_server_list_t *cw_server_list_copy_without(const cw_server_list_t *list, char *const *ids, size_t count)
{
    cw_server_list_t *copy = cw_server_list_create();
    size_t            index;

    for (index = 0; index < list->count; index++) {
        if (!is_among(list->entries[index].id, ids, count)) {
            *cw_server_list_add(copy) = copy_entry(&list->entries[index]);
        }
    }
    cw_name_set_copy(&copy->zones_out, &list->zones_out);
    return copy;
}

uint64_t cw_server_list_hash(const cw_server_list_t *list)
{
    uint64_t hash = list->count + cw_name_set_hash(&list->zones_out);
    size_t   index;

    for (index = 0; index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[index];

        hash = XXH3_64bits_withSeed(entry->id, strlen(entry->id), hash);
        hash = XXH3_64bits_withSeed(entry->service, strlen(entry->service), hash);
        hash = XXH3_64bits_withSeed(entry->address, strlen(entry->address), hash);
        hash += 8 * (uint64_t)entry->capacity + (entry->draining ? 1 : 0) + (entry->missing_since != 0 ? 2 : 0) +
                (entry->cold_time != 0 ? 4 : 0);
    }
    return hash;
}

cw_server_list_t *cw_server_list_hold(cw_server_list_t *list)
{
    list->references++;
    return list;
}

void cw_server_list_release(cw_server_list_t *list)
{
    size_t index;

    if (list == NULL || --list->references > 0) {
        return;
    }
    for (index = 0; index < list->count; index++) {
        free_entry(&list->entries[index]);
    }
    free(list->entries);
    cw_name_set_clear(&list->zones_out);
    free(list);
}

const cw_server_entry_t *cw_server_list_find(const cw_server_list_t *list, const char *id)
{
    size_t low = 0;
    size_t high = list == NULL ? 0 : list->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int    order = strcmp(list->entries[middle].id, id);

        if (order == 0) {
            return &list->entries[middle];
        }
        if (order < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return NULL;
}

const cw_server_entry_t *cw_server_list_successor(const cw_server_list_t *list, const char *id, const char *address)
{
    size_t index;

    for (index = 0; list != NULL && index < list->count; index++) {
        if (strcmp(list->entries[index].address, address) == 0 && strcmp(list->entries[index].id, id) != 0) {
            return &list->entries[index];
        }
    }
    return NULL;
}

bool cw_server_entry_same(const cw_server_entry_t *left, const cw_server_entry_t *right)
{
    return strcmp(left->id, right->id) == 0 && strcmp(left->service, right->service) == 0 &&
           strcmp(left->address, right->address) == 0 && left->draining == right->draining &&
           (left->missing_since != 0) == (right->missing_since != 0) &&
           (left->cold_time != 0) == (right->cold_time != 0) && left->capacity == right->capacity;
}

bool cw_server_list_same(const cw_server_list_t *left, const cw_server_list_t *right)
{
    size_t index;

    if (left == NULL || right == NULL || left->count != right->count) {
        return left == right;
    }
    if (!cw_name_set_same(&left->zones_out, &right->zones_out)) {
        return false;
    }
    for (index = 0; index < left->count; index++) {
        if (!cw_server_entry_same(&left->entries[index], &right->entries[index])) {
            return false;
        }
    }
    return true;
}
