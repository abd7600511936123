/**
 * @file object_store.c
 * @brief Versioned objects with conditional writes.
 *
 * Objects are kept in an array sorted by name: the store holds few of them (one for each tenant and a few more).
 */
#include "object_store.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

struct cw_object_store {
    cw_object_t *objects;
    size_t       count;
    size_t       capacity;
    uint64_t     revision;
};

cw_object_store_t *cw_object_store_create(void)
{
    return calloc(1, sizeof(cw_object_store_t));
}

void cw_object_store_free(cw_object_store_t *store)
{
    size_t i;

    for (i = 0; i < store->count; i++) {
        free(store->objects[i].name);
        free(store->objects[i].value);
    }
    free(store->objects);
    free(store);
}

uint64_t cw_object_store_revision(const cw_object_store_t *store)
{
    return store->revision;
}

/* Position of a name, or where it would be inserted. */
static size_t position_of(const cw_object_store_t *store, const char *name)
{
    size_t low = 0;
    size_t high = store->count;
    size_t middle;

    while (low < high) {
        middle = low + (high - low) / 2;
        if (strcmp(store->objects[middle].name, name) < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

const cw_object_t *cw_object_store_find(const cw_object_store_t *store, const char *name)
{
    size_t position = position_of(store, name);

    if (position < store->count && strcmp(store->objects[position].name, name) == 0) {
        return &store->objects[position];
    }
    return NULL;
}

static int insert_object(cw_object_store_t *store, const char *name)
{
    size_t       position = position_of(store, name);
    size_t       capacity = store->capacity == 0 ? 16 : store->capacity * 2;
    cw_object_t *grown;
    char        *copy = strdup(name);

    if (copy == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    if (store->count == store->capacity) {
        grown = realloc(store->objects, capacity * sizeof(*grown));
        if (grown == NULL) {
            free(copy);
            return CW_ERROR_NO_MEMORY;
        }
        store->objects = grown;
        store->capacity = capacity;
    }
    memmove(&store->objects[position + 1], &store->objects[position],
            (store->count - position) * sizeof(*store->objects));
    store->objects[position] = (cw_object_t){.name = copy};
    store->count++;
    return CW_OK;
}

int cw_object_store_write(cw_object_store_t *store, const char *name, const char *value, size_t length,
                          uint64_t expected_version, uint64_t *version)
{
    const cw_object_t *present = cw_object_store_find(store, name);
    cw_object_t       *object;
    char              *copy;

    *version = present == NULL ? CW_OBJECT_MUST_NOT_EXIST : present->version;
    if (*version != expected_version) {
        return CW_ERROR_CONFLICT;
    }
    copy = malloc(length + 1);
    if (copy == NULL || (present == NULL && insert_object(store, name) != CW_OK)) {
        free(copy);
        return CW_ERROR_NO_MEMORY;
    }
    memcpy(copy, value, length);
    copy[length] = '\0';
    object = &store->objects[position_of(store, name)];
    free(object->value);
    object->value = copy;
    object->length = length;
    object->version = ++store->revision;
    *version = object->version;
    return CW_OK;
}

size_t cw_object_store_changed(const cw_object_store_t *store, const char *prefix, uint64_t since,
                               void (*visit)(void *context, const cw_object_t *object), void *context)
{
    size_t found = 0;
    size_t i;

    for (i = 0; i < store->count; i++) {
        if (store->objects[i].version <= since || strncmp(store->objects[i].name, prefix, strlen(prefix)) != 0) {
            continue;
        }
        found++;
        if (visit != NULL) {
            visit(context, &store->objects[i]);
        }
    }
    return found;
}
