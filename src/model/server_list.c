/**
 * @file server_list.c
 * @brief Snapshot of the servers.
 */
#include "model/server_list.h"

#include <stdlib.h>
#include <string.h>

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
        free(list->entries[index].id);
        free(list->entries[index].service);
        free(list->entries[index].address);
        free(list->entries[index].zone);
    }
    free(list->entries);
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

bool cw_server_list_same(const cw_server_list_t *left, const cw_server_list_t *right)
{
    size_t index;

    if (left == NULL || right == NULL || left->count != right->count) {
        return left == right;
    }
    for (index = 0; index < left->count; index++) {
        const cw_server_entry_t *a = &left->entries[index];
        const cw_server_entry_t *b = &right->entries[index];

        if (strcmp(a->id, b->id) != 0 || strcmp(a->service, b->service) != 0 || strcmp(a->address, b->address) != 0 ||
            a->draining != b->draining || a->capacity != b->capacity) {
            return false;
        }
    }
    return true;
}
