/**
 * @file store_copies.c
 * @brief Copies of the store that are some seconds old, from which calls with stale=1 are answered.
 */
#include <string.h>

#include "store.h"

static void drop_oldest(store_copies_t *copies, size_t count)
{
    size_t index;

    for (index = 0; index < count; index++) {
        store_free_objects(copies->copies[index].objects);
    }
    copies->count -= count;
    memmove(copies->copies, copies->copies + count, copies->count * sizeof(copies->copies[0]));
    memmove(copies->taken_ms, copies->taken_ms + count, copies->count * sizeof(copies->taken_ms[0]));
}

static void on_copy_timer(uv_timer_t *timer)
{
    store_t        *store = timer->data;
    store_copies_t *copies = &store->recent_copies;

    if (copies->count == STORE_COPIES) {
        drop_oldest(copies, 1);
    }
    copies->copies[copies->count] =
        (store_copy_t){.objects = store_copy_objects(store->objects), .revision = store->revision};
    copies->taken_ms[copies->count++] = uv_now(&store->loop);
}

void store_init_copies(store_t *store)
{
    uv_timer_init(&store->loop, &store->recent_copies.timer);
    store->recent_copies.timer.data = store;
}

void store_drop_copies(store_t *store)
{
    drop_oldest(&store->recent_copies, store->recent_copies.count);
}

void store_set_copy_lag(store_t *store, uint64_t lag_ms)
{
    store_copies_t *copies = &store->recent_copies;

    copies->lag_ms = lag_ms;
    if (lag_ms == 0) {
        uv_timer_stop(&copies->timer);
        store_drop_copies(store);
    } else if (!uv_is_active((uv_handle_t *)&copies->timer)) {
        uv_timer_start(&copies->timer, on_copy_timer, 0, STORE_COPY_EVERY_MS);
    }
}

store_copy_t store_lagging_copy(const store_t *store)
{
    const store_copies_t *copies = &store->recent_copies;
    size_t                index = copies->count;

    if (index == 0) {
        return (store_copy_t){.objects = store->objects, .revision = store->revision};
    }
    do {
        index--;
    } while (index > 0 && copies->taken_ms[index] + copies->lag_ms > uv_now(&store->loop));
    return copies->copies[index];
}
