/**
 * @file store_restore.c
 * @brief Copies of the store, and its return from one: objects, history and revision are those of the copy, and the
 * epoch rises by one. A moment later the operator's and the servers' lost writes are made again, since they repeat
 * them. Objects of the router, whose kinds begin with OWN_KINDS, stay as they were in the copy.
 */
#include <stdlib.h>
#include <string.h>

#include "store.h"

static const char own_kinds[] = "cedarwinch-";

store_object_t *store_copy_objects(const store_object_t *objects)
{
    store_object_t  *copy = NULL;
    store_object_t **place = &copy;

    for (; objects != NULL; objects = objects->next) {
        store_object_t *object = calloc(1, sizeof(*object));

        if (object == NULL) {
            abort();
        }
        *object = *objects;
        object->kind = strdup(objects->kind);
        object->name = strdup(objects->name);
        object->spec = json_incref(objects->spec); /* replaced as a whole, never changed */
        object->status = json_incref(objects->status);
        object->next = NULL;
        *place = object;
        place = &object->next;
    }
    return copy;
}

void store_free_objects(store_object_t *objects)
{
    while (objects != NULL) {
        store_object_t *next = objects->next;

        store_object_free(objects);
        objects = next;
    }
}

void store_save(store_t *store)
{
    store_free_objects(store->copy.objects);
    store->copy.objects = store_copy_objects(store->objects);
    store->copy.revision = store->revision;
}

static bool is_own(const store_object_t *object)
{
    return strncmp(object->kind, own_kinds, sizeof(own_kinds) - 1) == 0;
}

/* Writes again what the operator and the servers had written until the loss, unless they have written since. */
static void repeat_lost_writes(store_t *store)
{
    store_object_t *lost;
    store_object_t *object;
    store_object_t *next;

    for (lost = store->lost; lost != NULL; lost = lost->next) {
        object = store_find(store, lost->kind, lost->name);
        if (!is_own(lost) && (object == NULL || object->revision <= store->copy.revision)) {
            if (object == NULL || !json_equal(object->spec, lost->spec)) {
                (void)store_put(store, lost->kind, lost->name, lost->spec);
            }
        }
    }
    for (object = store->objects; object != NULL; object = next) {
        next = object->next;
        if (!is_own(object) && object->revision <= store->copy.revision &&
            store_find_in(store->lost, object->kind, object->name) == NULL) {
            store_remove(store, object); /* removed between the copy and the loss */
        }
    }
    store_free_objects(store->lost);
    store->lost = NULL;
}

static void on_rewrite(uv_timer_t *timer)
{
    store_t *store = timer->data;

    repeat_lost_writes(store);
    store_answer_watches(store);
}

static void on_return(uv_timer_t *timer)
{
    store_t *store = timer->data;

    store_free_objects(store->lost);
    store->lost = store->objects;
    store->objects = store_copy_objects(store->copy.objects);
    store->revision = store->copy.revision;
    store_truncate_history(store, store->copy.revision);
    store->epoch++;
    store_drop_copies(store);
    store_answer_watches(store); /* those from a revision that is gone end */
    uv_timer_start(&store->rewrite_timer, on_rewrite, STORE_REWRITE_MS, 0);
}

void store_init_restore(store_t *store)
{
    uv_timer_init(&store->loop, &store->return_timer);
    uv_timer_init(&store->loop, &store->rewrite_timer);
    store->return_timer.data = store;
    store->rewrite_timer.data = store;
}

void store_restore_after(store_t *store, uint64_t after_ms)
{
    if (store->copy.revision != 0) {
        uv_timer_start(&store->return_timer, on_return, after_ms, 0);
    }
}
