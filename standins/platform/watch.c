/**
 * @file watch.c
 * @brief Long polls of the platform stand-in.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "platform.h"

struct cw_watch {
    uv_timer_t             timer;
    cw_platform_standin_t *platform;
    cw_standin_exchange_t *exchange;
    char                  *prefix;
    uint64_t               since;
    cw_watch_t            *prev;
    cw_watch_t            *next;
};

static void add_object(void *context, const cw_object_t *object)
{
    json_array_append_new(context,
                          json_pack("{s:s,s:I}", "name", object->name, "version", (json_int_t)object->version));
}

static void answer_changes(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, const char *prefix,
                           uint64_t since)
{
    json_t *objects = json_array();

    cw_object_store_changed(platform->store, prefix, since, add_object, objects);
    cw_standin_respond_json(
        exchange, 200,
        json_pack("{s:I,s:o}", "revision", (json_int_t)cw_object_store_revision(platform->store), "objects", objects));
}

static void on_watch_closed(uv_handle_t *handle)
{
    cw_watch_t *watch = handle->data;

    free(watch->prefix);
    free(watch);
}

static void watch_answer(cw_watch_t *watch)
{
    DL_DELETE(watch->platform->watches, watch);
    answer_changes(watch->platform, watch->exchange, watch->prefix, watch->since);
    uv_close((uv_handle_t *)&watch->timer, on_watch_closed);
}

static void on_wait_over(uv_timer_t *timer)
{
    watch_answer(timer->data);
}

void cw_watch_start(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, const char *prefix,
                    uint64_t since, uint64_t wait_ms)
{
    cw_watch_t *watch;

    if (wait_ms == 0 || cw_object_store_changed(platform->store, prefix, since, NULL, NULL) > 0) {
        answer_changes(platform, exchange, prefix, since);
        return;
    }
    watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        cw_standin_respond_error(exchange, 503, "memory");
        return;
    }
    watch->platform = platform;
    watch->exchange = exchange;
    watch->prefix = strdup(prefix);
    watch->since = since;
    DL_APPEND(platform->watches, watch);
    uv_timer_init(platform->loop, &watch->timer);
    watch->timer.data = watch;
    uv_update_time(platform->loop);
    uv_timer_start(&watch->timer, on_wait_over, wait_ms, 0);
}

void cw_watch_notify(cw_platform_standin_t *platform)
{
    cw_watch_t *watch;
    cw_watch_t *next;

    DL_FOREACH_SAFE(platform->watches, watch, next)
    {
        if (cw_object_store_changed(platform->store, watch->prefix, watch->since, NULL, NULL) > 0) {
            watch_answer(watch);
        }
    }
}
