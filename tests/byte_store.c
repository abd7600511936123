/**
 * @file byte_store.c
 * @brief A store in this process whose objects hold any bytes.
 */
#include "byte_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "loop_fixture.h"
#include "net/http_listener.h"

enum {
    OBJECTS_MAX = 2000,
    EVENTS_MAX = 4000,
    REQUEST_BYTES_MAX = 65536,
    NAME_BYTES = 2500,
    STATUS_GONE = 410,
    EVENTS_MIN = 500,
    BYTES_MIN = 100000
};

/** An object, or a change of one. */
typedef struct stored {
    char     kind[32];
    char    *name;
    char    *bytes;
    size_t   length;
    uint64_t revision;
    bool     is_gone;
} stored_t;

static uv_loop_t            loop;
static cw_http_listener_t  *listener;
static void                *adapter;
static cw_store_port_t     *port;
static stored_t             objects[OBJECTS_MAX]; /* in the order of their names */
static size_t               object_count;
static stored_t             events[EVENTS_MAX];
static size_t               event_count;
static uint64_t             revision;
static uint64_t             forgotten; /* watches from revisions before this one are refused */
static byte_store_limits_t  limits;
static size_t               calls;
static const char          *fixed_kind;
static const char          *fixed_bytes;
static byte_store_reports_t reports;

/* ---- objects ---- */

static void set(stored_t *stored, const char *kind, const char *name, const char *bytes, size_t length)
{
    snprintf(stored->kind, sizeof(stored->kind), "%s", kind);
    stored->name = strdup(name);
    stored->bytes = malloc(length + 1);
    memcpy(stored->bytes, bytes, length);
    stored->length = length;
    stored->revision = revision;
    stored->is_gone = false;
}

static void clear(stored_t *stored)
{
    free(stored->name);
    free(stored->bytes);
}

static void add_event(const stored_t *object, bool is_gone)
{
    stored_t *event = &events[event_count++];

    ck_assert_uint_le(event_count, EVENTS_MAX);
    set(event, object->kind, object->name, object->bytes, object->length);
    event->is_gone = is_gone;
}

static size_t place_of(const char *kind, const char *name, bool *is_there)
{
    size_t index;

    *is_there = false;
    for (index = 0; index < object_count; index++) {
        if (strcmp(objects[index].kind, kind) == 0 && strcmp(objects[index].name, name) >= 0) {
            *is_there = strcmp(objects[index].name, name) == 0;
            return index;
        }
    }
    return object_count;
}

bool byte_store_has(const char *kind, const char *name)
{
    bool is_there;

    (void)place_of(kind, name, &is_there);
    return is_there;
}

void byte_store_put(const char *kind, const char *name, const char *bytes, size_t length)
{
    bool   is_there;
    size_t place = place_of(kind, name, &is_there);

    revision++;
    if (is_there) {
        clear(&objects[place]);
    } else {
        ck_assert_uint_lt(object_count, OBJECTS_MAX);
        memmove(&objects[place + 1], &objects[place], (object_count - place) * sizeof(objects[0]));
        object_count++;
    }
    set(&objects[place], kind, name, bytes, length);
    add_event(&objects[place], false);
}

void byte_store_remove(const char *kind, const char *name)
{
    bool   is_there;
    size_t place = place_of(kind, name, &is_there);

    ck_assert(is_there);
    revision++;
    add_event(&objects[place], true);
    clear(&objects[place]);
    object_count--;
    memmove(&objects[place], &objects[place + 1], (object_count - place) * sizeof(objects[0]));
}

uint64_t byte_store_next_revision(void)
{
    return revision + 1;
}

void byte_store_forget_history(void)
{
    forgotten = revision;
    revision++; /* another kind's write: the watches from before are behind it */
}

void byte_store_answer(const char *kind, const char *bytes)
{
    fixed_kind = kind;
    fixed_bytes = bytes;
}

size_t byte_store_calls(void)
{
    return calls;
}

/* ---- answers ---- */

/* Whether one more element fits into an answer. The first one always does. */
static bool fits(const cw_bytes_t *body, size_t count, size_t length, byte_store_limits_t of_answer)
{
    return count == 0 || (count < of_answer.items && body->length + length <= of_answer.bytes);
}

static void append_listing(cw_bytes_t *body, const char *kind, const char *after)
{
    size_t count = 0;
    bool   has_more = false;
    size_t index;

    cw_bytes_append_text(body, "{\"items\":[");
    for (index = 0; index < object_count && !has_more; index++) {
        const stored_t *object = &objects[index];

        if (strcmp(object->kind, kind) != 0 || strcmp(object->name, after) <= 0) {
            continue;
        }
        has_more = !fits(body, count, object->length, limits);
        if (!has_more) {
            cw_bytes_append_text(body, count++ == 0 ? "" : ",");
            cw_bytes_append(body, object->bytes, object->length);
        }
    }
    cw_bytes_append_format(body, "],\"has-more\":%s,\"at\":%" PRIu64 "}", has_more ? "true" : "false", revision);
}

static void append_changes(cw_bytes_t *body, const char *kind, uint64_t since)
{
    byte_store_limits_t of_watch = {.items = EVENTS_MIN, .bytes = limits.bytes > BYTES_MIN ? limits.bytes : BYTES_MIN};
    size_t              count = 0;
    uint64_t            at = revision;
    size_t              index;

    cw_bytes_append_text(body, "{\"events\":[");
    for (index = 0; index < event_count; index++) {
        const stored_t *event = &events[index];

        if (strcmp(event->kind, kind) != 0 || event->revision <= since) {
            continue;
        }
        if (!fits(body, count, event->length, of_watch)) {
            at = event->revision - 1;
            break;
        }
        cw_bytes_append_text(body, count++ == 0 ? "{\"object\":" : ",{\"object\":");
        cw_bytes_append(body, event->bytes, event->length);
        cw_bytes_append_format(body, ",\"gone\":%s}", event->is_gone ? "true" : "false");
    }
    cw_bytes_append_format(body, "],\"at\":%" PRIu64 "}", at);
}

/* Decodes the escapes of a parameter of a query, up to its end. */
static void decode(char *decoded, const char *text)
{
    size_t length = 0;

    while (*text != '\0' && *text != '&') {
        char digits[3] = {0};

        ck_assert_uint_lt(length, NAME_BYTES - 1);
        if (*text == '%') {
            memcpy(digits, text + 1, 2);
            decoded[length++] = (char)strtol(digits, NULL, 16);
            text += 3;
        } else {
            decoded[length++] = *text++;
        }
    }
    decoded[length] = '\0';
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    static const char  prefix[] = "/api/objects/";
    const char        *after = strstr(inbound->target, "after=");
    const char        *watch = strstr(inbound->target, "watch=");
    cw_http_outbound_t outbound = {.status = 200, .retry_after_s = -1};
    char               name[NAME_BYTES] = "";
    char               kind[32];
    cw_bytes_t         body = {0};

    (void)context;
    calls++;
    snprintf(kind, sizeof(kind), "%.*s", (int)strcspn(inbound->target + strlen(prefix), "?/"),
             inbound->target + strlen(prefix));
    if (after != NULL) {
        decode(name, after + strlen("after="));
    }
    if (fixed_bytes != NULL && strcmp(kind, fixed_kind) == 0) {
        cw_bytes_append_text(&body, fixed_bytes);
    } else if (watch == NULL) {
        append_listing(&body, kind, name);
    } else if (strtoull(watch + strlen("watch="), NULL, 10) < forgotten) {
        outbound.status = STATUS_GONE;
        cw_bytes_append_text(&body, "{}");
    } else {
        append_changes(&body, kind, strtoull(watch + strlen("watch="), NULL, 10));
    }
    outbound.body = body.data;
    outbound.body_length = body.length;
    cw_http_exchange_answer(exchange, &outbound);
    cw_bytes_clear(&body);
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
}

/* ---- the adapter ---- */

static void on_configuration(void *context, cw_configuration_t *configuration, const char *problem)
{
    (void)context;
    (void)problem;
    if (configuration != NULL) {
        reports.version = configuration->version;
        cw_configuration_release(configuration);
    }
}

static void on_newest(void *context, uint64_t version, cw_time_us_t at)
{
    (void)context;
    (void)version;
    (void)at;
    reports.newest_proofs++;
}

static void on_answered(void *context, bool is_answered, cw_time_us_t asked_at)
{
    (void)asked_at;
    (void)context;
    reports.failures += is_answered ? 0 : 1;
}

static void on_servers(void *context, const cw_servers_read_t *read)
{
    (void)context;
    cw_server_list_release(reports.read.list);
    reports.read = *read;
    reports.is_read = true;
}

void byte_store_start(byte_store_limits_t answer_limits, bool zones_can_be_taken_out)
{
    cw_http_limits_t           http = {.header_bytes = REQUEST_BYTES_MAX,
                                       .body_bytes = REQUEST_BYTES_MAX,
                                       .header_timeout = CW_SECONDS(30),
                                       .idle_timeout = CW_SECONDS(30)};
    cw_http_listener_handler_t handler = {NULL, on_request, on_cancelled};
    cw_store_callbacks_t       readers = {.configuration = on_configuration,
                                          .configuration_within = CW_MS(400),
                                          .configuration_newest = on_newest,
                                          .answered = on_answered,
                                          .zones_can_be_taken_out = zones_can_be_taken_out,
                                          .servers = on_servers};
    char                       address[32];

    limits = answer_limits;
    revision = 1;
    forgotten = 0;
    calls = 0;
    fixed_bytes = NULL;
    memset(&reports, 0, sizeof(reports));
    uv_loop_init(&loop);
    ck_assert_int_eq(cw_http_listener_create(&listener, &loop, "127.0.0.1", 0, &http, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(listener));
    adapter = cw_adapter.create(&loop, address, &readers);
    port = cw_adapter.store(adapter);
}

void byte_store_stop(void)
{
    if (adapter == NULL) {
        return;
    }
    cw_adapter.close(adapter);
    adapter = NULL;
    cw_http_listener_close(listener);
    cw_test_run_some(&loop, 20);
    cw_server_list_release(reports.read.list);
    reports.read.list = NULL;
    while (object_count > 0) {
        clear(&objects[--object_count]);
    }
    while (event_count > 0) {
        clear(&events[--event_count]);
    }
}

void byte_store_read(cw_list_read_t how)
{
    reports.is_read = false;
    port->read_servers(port->context, how);
    cw_test_run_until_set(&loop, &reports.is_read);
}

void byte_store_wait(bool (*done)(void *context), void *context)
{
    cw_test_run_until(&loop, done, context);
}

byte_store_reports_t *byte_store_reports(void)
{
    return &reports;
}

cw_store_port_t *byte_store_port(void)
{
    return port;
}
