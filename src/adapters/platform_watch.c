/**
 * @file platform_watch.c
 * @brief Watch of the store's objects and polling of the machine list, while enabled.
 *
 * The watch begins with a list, whose objects are all reported, and goes on with long polls for what changed since its
 * revision. A revision that goes backwards means another store: the watch begins anew. The machine list is asked for
 * at an interval; each answer reports every machine, and those that have left the list once as gone.
 */
#include "adapters/platform_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum { INTERVAL_MS = 500, LONG_POLL_MS = 10 * 1000, LONG_POLL_TIMEOUT_US = 15 * CW_US_PER_S, TARGET_MAX = 128 };

static void ask_for_changes(cw_platform_t *platform);
static void on_watch_timer(uv_timer_t *timer);

/* ---- objects ---- */

static void report_objects(cw_platform_t *platform, const json_t *json)
{
    size_t             count;
    size_t             index;
    cw_store_object_t *objects = cw_platform_read_objects(json, &count);

    for (index = 0; index < count && platform->watching; index++) {
        platform->callbacks.object_changed(platform->callbacks.context, objects[index].name, objects[index].version);
    }
    free(objects);
}

/* Takes an answer to a list or a long poll. */
static int take_changes(cw_platform_t *platform, const cw_http_answer_t *answer)
{
    json_t    *json = json_loadb((const char *)answer->body, answer->body_length, 0, NULL);
    json_int_t revision;
    bool       restarted;

    if (answer->status != CW_PLATFORM_STATUS_OK || json_unpack(json, "{s:I}", "revision", &revision) != 0) {
        json_decref(json);
        return CW_ERROR_UNAVAILABLE;
    }
    restarted = platform->listed && (uint64_t)revision < platform->revision;
    platform->listed = !restarted;
    platform->revision = (uint64_t)revision;
    if (!restarted) {
        report_objects(platform, json);
    }
    json_decref(json);
    return CW_OK;
}

static void on_changes(void *context, const cw_http_answer_t *answer)
{
    cw_platform_t *platform = context;
    int            error = CW_ERROR_UNAVAILABLE;

    platform->watch_call = NULL;
    if (answer->result == CW_HTTP_ANSWERED) {
        error = take_changes(platform, answer);
    }
    if (!platform->watching || platform->watch_call != NULL) {
        return;
    }
    if (error == CW_OK) {
        ask_for_changes(platform);
        return;
    }
    uv_timer_start(&platform->watch_timer, on_watch_timer, INTERVAL_MS, 0);
}

static void ask_for_changes(cw_platform_t *platform)
{
    char target[TARGET_MAX];

    if (!platform->listed) {
        platform->watch_call = cw_platform_get(platform, "/objects?prefix=" CW_PLATFORM_PREFIX, CW_PLATFORM_TIMEOUT_US,
                                               on_changes, platform);
        return;
    }
    snprintf(target, sizeof(target), "/watch?prefix=" CW_PLATFORM_PREFIX "&since=%" PRIu64 "&wait_ms=%d",
             platform->revision, LONG_POLL_MS);
    platform->watch_call = cw_platform_get(platform, target, LONG_POLL_TIMEOUT_US, on_changes, platform);
}

static void on_watch_timer(uv_timer_t *timer)
{
    ask_for_changes(timer->data);
}

/* ---- machines ---- */

static void report_machine(cw_platform_t *platform, const char *name, const char *state)
{
    if (platform->watching) {
        platform->callbacks.machine_listed(platform->callbacks.context, name, state);
    }
}

static json_t *read_machines(const cw_http_answer_t *answer)
{
    json_t     *json = json_loadb((const char *)answer->body, answer->body_length, 0, NULL);
    json_t     *machines = json_object();
    json_t     *entry;
    const char *name;
    const char *state;
    size_t      index;

    if (!json_is_array(json_object_get(json, "machines"))) {
        json_decref(machines);
        json_decref(json);
        return NULL;
    }
    json_array_foreach(json_object_get(json, "machines"), index, entry)
    {
        if (json_unpack(entry, "{s:s,s:s}", "name", &name, "state", &state) == 0) {
            json_object_set_new(machines, name, json_string(state));
        }
    }
    json_decref(json);
    return machines;
}

static void report_machines(cw_platform_t *platform, json_t *machines)
{
    json_t     *former = platform->machines;
    json_t     *state;
    const char *name;

    platform->machines = json_incref(machines);
    json_object_foreach(machines, name, state)
    {
        report_machine(platform, name, json_string_value(state));
    }
    json_object_foreach(former, name, state)
    {
        if (json_object_get(machines, name) == NULL) {
            report_machine(platform, name, "gone");
        }
    }
    json_decref(former);
}

static void on_machines(void *context, const cw_http_answer_t *answer)
{
    cw_platform_t *platform = context;
    json_t        *machines = NULL;

    platform->machine_call = NULL;
    if (answer->result == CW_HTTP_ANSWERED && answer->status == CW_PLATFORM_STATUS_OK) {
        machines = read_machines(answer);
    }
    if (machines != NULL) {
        report_machines(platform, machines);
        json_decref(machines);
    }
}

/* One request at a time: a slow list is not asked for again. */
static void on_machine_timer(uv_timer_t *timer)
{
    cw_platform_t *platform = timer->data;

    if (platform->machine_call == NULL) {
        platform->machine_call = cw_platform_get(platform, "/machines", CW_PLATFORM_TIMEOUT_US, on_machines, platform);
    }
}

/* ---- start and stop ---- */

void cw_platform_watch_init(cw_platform_t *platform)
{
    uv_timer_init(platform->loop, &platform->watch_timer);
    uv_timer_init(platform->loop, &platform->machine_timer);
    platform->watch_timer.data = platform;
    platform->machine_timer.data = platform;
    platform->open_handles = 2;
}

void cw_platform_watch_stop(cw_platform_t *platform)
{
    platform->watching = false;
    platform->listed = false;
    uv_timer_stop(&platform->watch_timer);
    uv_timer_stop(&platform->machine_timer);
    if (platform->watch_call != NULL) {
        cw_http_call_abandon(platform->watch_call);
        platform->watch_call = NULL;
    }
    if (platform->machine_call != NULL) {
        cw_http_call_abandon(platform->machine_call);
        platform->machine_call = NULL;
    }
    json_decref(platform->machines);
    platform->machines = NULL;
}

void cw_platform_watch(cw_platform_t *platform, bool enabled)
{
    if (enabled == platform->watching) {
        return;
    }
    if (!enabled) {
        cw_platform_watch_stop(platform);
        return;
    }
    platform->watching = true;
    ask_for_changes(platform);
    uv_timer_start(&platform->machine_timer, on_machine_timer, 0, INTERVAL_MS);
}
