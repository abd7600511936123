/**
 * @file store_objects.c
 * @brief Stores objects with the history of their changes, and lists them.
 */
#include <stdlib.h>
#include <string.h>

#include "store.h"

static int compare_names(const store_object_t *object, const char *kind, const char *name)
{
    int order = strcmp(object->kind, kind);

    return order != 0 ? order : strcmp(object->name, name);
}

store_object_t *store_find_in(store_object_t *objects, const char *kind, const char *name)
{
    store_object_t *object;

    for (object = objects; object != NULL; object = object->next) {
        if (compare_names(object, kind, name) == 0) {
            return object;
        }
    }
    return NULL;
}

store_object_t *store_find(store_t *store, const char *kind, const char *name)
{
    return store_find_in(store->objects, kind, name);
}

void store_object_free(store_object_t *object)
{
    free(object->kind);
    free(object->name);
    json_decref(object->spec);
    json_decref(object->status);
    free(object);
}

json_t *store_object_json(const store_object_t *object)
{
    return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:O}", "metadata", "name", object->name, "revision",
                     (json_int_t)object->revision, "created", (json_int_t)object->created, "finalizers",
                     "delete-requested", 0, "spec", object->spec, "status", object->status);
}

static void add_change(store_t *store, const store_object_t *object, bool is_removed)
{
    store_change_t *change;

    if (store->history_count == STORE_HISTORY) {
        store->forgotten_revision = store->history[0].revision;
        free(store->history[0].kind);
        json_decref(store->history[0].event);
        memmove(store->history, store->history + 1, (STORE_HISTORY - 1) * sizeof(store->history[0]));
        store->history_count--;
    }
    change = &store->history[store->history_count++];
    change->revision = store->revision;
    change->kind = strdup(object->kind);
    change->event = json_pack("{s:b, s:o}", "gone", is_removed, "object", store_object_json(object));
}

static store_object_t *insert(store_t *store, const char *kind, const char *name)
{
    store_object_t **place = &store->objects;
    store_object_t  *object = calloc(1, sizeof(*object));

    if (object == NULL) {
        abort();
    }
    while (*place != NULL && compare_names(*place, kind, name) < 0) {
        place = &(*place)->next;
    }
    object->kind = strdup(kind);
    object->name = strdup(name);
    object->status = json_null();
    object->next = *place;
    *place = object;
    return object;
}

store_object_t *store_put(store_t *store, const char *kind, const char *name, json_t *spec)
{
    store_object_t *object = store_find(store, kind, name);

    store->revision++;
    if (object == NULL) {
        object = insert(store, kind, name);
        object->created = store->revision;
    }
    json_decref(object->spec);
    object->spec = json_incref(spec);
    object->written_ms = uv_now(&store->loop);
    object->revision = store->revision;
    add_change(store, object, false);
    return object;
}

void store_remove(store_t *store, store_object_t *object)
{
    store_object_t **place = &store->objects;

    store->revision++;
    object->revision = store->revision;
    add_change(store, object, true);
    while (*place != object) {
        place = &(*place)->next;
    }
    *place = object->next;
    store_object_free(object);
}

json_t *store_list(const store_t *store, const store_copy_t *copy, const char *kind, const char *after)
{
    json_t               *items = json_array();
    bool                  has_more = false;
    const store_object_t *object;

    for (object = copy->objects; object != NULL; object = object->next) {
        if (strcmp(object->kind, kind) != 0 || (after != NULL && strcmp(object->name, after) <= 0)) {
            continue;
        }
        if (json_array_size(items) == store->page_items) {
            has_more = true;
            break;
        }
        json_array_append_new(items, store_object_json(object));
    }
    return json_pack("{s:o, s:b, s:I}", "items", items, "has-more", has_more, "at", (json_int_t)copy->revision);
}

json_t *store_changes(store_t *store, const char *kind, uint64_t after)
{
    json_t *events;
    size_t  index;

    if (after < store->forgotten_revision || after > store->revision) {
        return NULL;
    }
    events = json_array();
    for (index = 0; index < store->history_count; index++) {
        if (store->history[index].revision > after && strcmp(store->history[index].kind, kind) == 0) {
            json_array_append(events, store->history[index].event);
        }
    }
    return events;
}

void store_truncate_history(store_t *store, uint64_t revision)
{
    while (store->history_count > 0 && store->history[store->history_count - 1].revision > revision) {
        store->history_count--;
        free(store->history[store->history_count].kind);
        json_decref(store->history[store->history_count].event);
    }
    if (store->forgotten_revision > revision) {
        store->forgotten_revision = revision;
    }
}

void store_forget(store_t *store)
{
    store_truncate_history(store, 0);
    store->forgotten_revision = store->revision;
}
