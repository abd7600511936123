/**
 * @file main.c
 * @brief Serves the calls of the object store over HTTP, and injects the faults that store.h lists.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/text.h"
#include "store.h"

enum {
    ERRORS_MAX = 10,
    NAME_BYTES_MAX = 128,
    LATE_WRITE_MS = 1000, /* default */
    LAPSE_EVERY_MS = 50,
    WATCH_WAIT_MAX_MS = 30000,
    REQUEST_BYTES_MAX = 4 * 1024 * 1024
};

static const char prefix[] = "/api/objects/";

/** An answer that is delayed by slow_ms. */
typedef struct delayed_answer {
    uv_timer_t          timer;
    store_t            *store;
    cw_http_exchange_t *exchange; /**< NULL: its caller has disconnected */
    int                 status;
    char               *text;
    size_t              length;
} delayed_answer_t;

/** A write that is done some time after its call, which gets no answer. */
typedef struct late_write {
    uv_timer_t timer;
    store_t   *store;
    char       method[8];
    char       kind[NAME_BYTES_MAX];
    char       name[NAME_BYTES_MAX];
    json_t    *body;
} late_write_t;

/* ---- answers ---- */

/* Answers with the store's epoch as of now. */
static void answer_text(const store_t *store, cw_http_exchange_t *exchange, int status, const char *text, size_t length)
{
    char               epoch[32];
    cw_http_field_t    field = {.name = "Store-Era", .value = epoch};
    cw_http_fields_t   fields = {.items = &field, .count = 1};
    cw_http_outbound_t outbound = {
        .status = status, .fields = &fields, .body = text, .body_length = length, .retry_after_s = -1};

    snprintf(epoch, sizeof(epoch), "%" PRIu64, store->epoch);
    cw_http_exchange_answer(exchange, &outbound);
}

static void free_delayed_answer(uv_handle_t *handle)
{
    delayed_answer_t *delayed = handle->data;

    free(delayed->text);
    free(delayed);
}

static void on_delayed_answer(uv_timer_t *timer)
{
    delayed_answer_t *delayed = timer->data;

    if (delayed->exchange != NULL) {
        cw_http_exchange_set_data(delayed->exchange, NULL);
        answer_text(delayed->store, delayed->exchange, delayed->status, delayed->text, delayed->length);
    }
    uv_close((uv_handle_t *)timer, free_delayed_answer);
}

static bool is_about_servers(const char *kind)
{
    return strcmp(kind, "servers") == 0;
}

/* Answers after a delay with what the body contains now. */
static void answer_after(store_t *store, cw_http_exchange_t *exchange, int status, json_t *body, uint64_t delay_ms)
{
    char             *text = body == NULL ? strdup("") : json_dumps(body, JSON_COMPACT);
    size_t            length = store_insert_bytes(text);
    delayed_answer_t *delayed;

    json_decref(body);
    if (delay_ms == 0) {
        answer_text(store, exchange, status, text, length);
        free(text);
        return;
    }
    delayed = calloc(1, sizeof(*delayed));
    if (delayed == NULL) {
        abort();
    }
    delayed->store = store;
    delayed->exchange = exchange;
    delayed->status = status;
    delayed->text = text;
    delayed->length = length;
    delayed->timer.data = delayed;
    uv_timer_init(&store->loop, &delayed->timer);
    uv_timer_start(&delayed->timer, on_delayed_answer, delay_ms, 0);
    cw_http_exchange_set_data(exchange, delayed);
}

static void answer(store_t *store, cw_http_exchange_t *exchange, int status, json_t *body)
{
    answer_after(store, exchange, status, body, store->slow_ms);
}

/* Answers a listing or a watch. */
static void answer_list(store_t *store, cw_http_exchange_t *exchange, const char *kind, int status, json_t *body)
{
    answer_after(store, exchange, status, body, store->slow_ms + (is_about_servers(kind) ? store->list_slow_ms : 0));
}

/* ---- watches ---- */

static void on_watch_closed(uv_handle_t *handle)
{
    store_watch_t *watch = handle->data;

    free(watch->kind);
    free(watch);
}

static void end_watch(store_watch_t *watch, int status, json_t *body)
{
    store_watch_t **place = &watch->store->watches;

    while (*place != watch) {
        place = &(*place)->next;
    }
    *place = watch->next;
    if (watch->exchange != NULL) {
        cw_http_exchange_set_data(watch->exchange, NULL);
        answer_list(watch->store, watch->exchange, watch->kind, status, body);
    } else {
        json_decref(body);
    }
    uv_close((uv_handle_t *)&watch->timer, on_watch_closed);
}

static json_t *watch_body(store_t *store, json_t *events)
{
    return json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)store->revision);
}

static void on_watch_timer(uv_timer_t *timer)
{
    store_watch_t *watch = timer->data;

    if (watch->is_muted && watch->exchange != NULL) {
        return;
    }
    end_watch(watch, 200, watch_body(watch->store, json_array()));
}

void store_answer_watches(store_t *store)
{
    store_watch_t *watch = store->watches;

    while (watch != NULL) {
        store_watch_t *next = watch->next;
        json_t        *events = watch->is_muted ? json_array() : store_changes(store, watch->kind, watch->from);

        if (events == NULL) {
            end_watch(watch, 410, NULL);
        } else if (json_array_size(events) > 0) {
            end_watch(watch, 200, watch_body(store, events));
        } else {
            json_decref(events);
        }
        watch = next;
    }
}

static void start_watch(store_t *store, cw_http_exchange_t *exchange, const char *kind, uint64_t from, uint64_t wait)
{
    store_watch_t *watch = calloc(1, sizeof(*watch));

    if (watch == NULL) {
        abort();
    }
    watch->exchange = exchange;
    watch->kind = strdup(kind);
    watch->from = from;
    watch->store = store;
    watch->is_muted = store->is_mute || (store->is_list_mute && is_about_servers(kind));
    watch->timer.data = watch;
    watch->next = store->watches;
    store->watches = watch;
    uv_timer_init(&store->loop, &watch->timer);
    uv_timer_start(&watch->timer, on_watch_timer, wait > WATCH_WAIT_MAX_MS ? WATCH_WAIT_MAX_MS : wait, 0);
    cw_http_exchange_set_data(exchange, NULL);
    store_answer_watches(store);
}

/* ---- queries ---- */

static bool query_text(const char *query, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);

    while (query != NULL && *query != '\0') {
        if (strncmp(query, name, length) == 0 && query[length] == '=') {
            snprintf(value, size, "%.*s", (int)strcspn(query + length + 1, "&"), query + length + 1);
            return true;
        }
        query = strchr(query, '&');
        query = query == NULL ? NULL : query + 1;
    }
    return false;
}

static uint64_t query_number(const char *query, const char *name, uint64_t fallback)
{
    char text[32];

    return query_text(query, name, text, sizeof(text)) ? strtoull(text, NULL, 10) : fallback;
}

/* ---- writes ---- */

static int write_object(store_t *store, const char *method, const char *kind, const char *name, json_t *body,
                        json_t **reply_body)
{
    json_t         *metadata = json_object_get(body, "metadata");
    const char     *object_name = name[0] != '\0' ? name : json_string_value(json_object_get(metadata, "name"));
    json_t         *revision = json_object_get(metadata, "revision");
    json_t         *spec = json_object_get(body, "spec");
    store_object_t *object = object_name == NULL ? NULL : store_find(store, kind, object_name);

    *reply_body = NULL;
    if (object_name == NULL || spec == NULL) {
        return 400;
    }
    if (strcmp(method, "POST") == 0 && object != NULL) {
        *reply_body = store_object_json(object);
        return 409;
    }
    if (strcmp(method, "PUT") == 0 && object == NULL) {
        return 404;
    }
    if (object != NULL && json_is_integer(revision) && (uint64_t)json_integer_value(revision) != object->revision) {
        *reply_body = store_object_json(object);
        return 409;
    }
    *reply_body = store_object_json(store_put(store, kind, object_name, spec));
    store_answer_watches(store);
    return 200;
}

static void on_late_write_closed(uv_handle_t *handle)
{
    late_write_t *late = handle->data;

    json_decref(late->body);
    free(late);
}

static void on_late_write(uv_timer_t *timer)
{
    late_write_t *late = timer->data;
    json_t       *body;

    (void)write_object(late->store, late->method, late->kind, late->name, late->body, &body);
    json_decref(body);
    uv_close((uv_handle_t *)timer, on_late_write_closed);
}

static void schedule_late_write(store_t *store, const char *method, const char *kind, const char *name, json_t *body)
{
    late_write_t *late = calloc(1, sizeof(*late));

    if (late == NULL) {
        abort();
    }
    late->store = store;
    snprintf(late->method, sizeof(late->method), "%s", method);
    cw_text_copy(late->kind, sizeof(late->kind), kind);
    cw_text_copy(late->name, sizeof(late->name), name);
    late->body = json_incref(body);
    late->timer.data = late;
    uv_timer_init(&store->loop, &late->timer);
    uv_timer_start(&late->timer, on_late_write, store->late_ms, 0);
}

static void handle_write(store_t *store, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                         const char *kind, const char *name)
{
    json_t *body = json_loadb(inbound->body == NULL ? "" : inbound->body, inbound->body_length, 0, NULL);
    json_t *reply;
    int     status;

    if (store->late > 0) {
        store->late--;
        schedule_late_write(store, inbound->method, kind, name, body);
        json_decref(body);
        return; /* no answer: the connection stays open */
    }
    status = write_object(store, inbound->method, kind, name, body, &reply);
    json_decref(body);
    if (store->lose > 0 && status == 200) {
        store->lose--;
        json_decref(reply);
        return;
    }
    answer(store, exchange, status, reply);
}

static void handle_delete(store_t *store, cw_http_exchange_t *exchange, const char *kind, const char *name)
{
    store_object_t *object = store_find(store, kind, name);
    json_t         *reply = object == NULL ? NULL : store_object_json(object);

    if (object != NULL) {
        store_remove(store, object);
        store_answer_watches(store);
    }
    answer(store, exchange, reply == NULL ? 404 : 200, reply);
}

/* ---- reads ---- */

static void handle_read(store_t *store, cw_http_exchange_t *exchange, const char *kind, const char *name,
                        const char *query)
{
    char            after[NAME_BYTES_MAX];
    store_copy_t    copy = {.objects = store->objects, .revision = store->revision};
    store_object_t *object;

    if (query != NULL && strstr(query, "stale=1") != NULL) {
        copy = store_lagging_copy(store);
    }
    if (name[0] != '\0') {
        object = store_find_in(copy.objects, kind, name);
        answer(store, exchange, object == NULL ? 404 : 200, object == NULL ? NULL : store_object_json(object));
    } else if (query != NULL && strstr(query, "watch=") != NULL) {
        start_watch(store, exchange, kind, query_number(query, "watch", 0), query_number(query, "wait-ms", 0));
    } else {
        answer_list(store, exchange, kind, 200,
                    store_list(store, &copy, kind, query_text(query, "after", after, sizeof(after)) ? after : NULL));
    }
}

/* ---- faults ---- */

static void begin_outage(const store_t *store, store_outage_t *outage, const char *query, uint64_t for_ms)
{
    char how[sizeof(outage->how)];

    outage->until_ms = uv_now(&store->loop) + for_ms;
    snprintf(outage->how, sizeof(outage->how), "%s", query_text(query, "how", how, sizeof(how)) ? how : "busy");
}

static void on_lapse_timer(uv_timer_t *timer)
{
    store_t        *store = timer->data;
    store_object_t *object;
    store_object_t *next;

    for (object = store->objects; object != NULL; object = next) {
        next = object->next;
        if (is_about_servers(object->kind) && uv_now(&store->loop) >= object->written_ms + store->lapse_ms) {
            store_remove(store, object);
        }
    }
    store_answer_watches(store);
}

static void set_lapse(store_t *store, uint64_t lapse_ms)
{
    store->lapse_ms = lapse_ms;
    if (lapse_ms == 0) {
        uv_timer_stop(&store->lapse_timer);
    } else {
        uv_timer_start(&store->lapse_timer, on_lapse_timer, LAPSE_EVERY_MS, LAPSE_EVERY_MS);
    }
}

static void set_mute(store_t *store, bool is_mute, bool is_list_mute)
{
    store_watch_t *watch;

    store->is_mute = is_mute;
    store->is_list_mute = is_list_mute;
    for (watch = store->watches; watch != NULL; watch = watch->next) {
        watch->is_muted = watch->is_muted || is_mute || (is_list_mute && is_about_servers(watch->kind));
    }
}

static void handle_control(store_t *store, cw_http_exchange_t *exchange, const char *query)
{
    uint64_t down = query_number(query, "down", 0);
    uint64_t endpoint = query_number(query, "endpoint", 0);

    if (down > 0) {
        begin_outage(store,
                     endpoint > 0 && endpoint <= store->endpoint_count ? &store->endpoints[endpoint - 1].outage
                                                                       : &store->outage,
                     query, down);
    }
    store->slow_ms = query_number(query, "slow", store->slow_ms);
    store->lose = (uint32_t)query_number(query, "lose", store->lose);
    store->late = (uint32_t)query_number(query, "late", store->late);
    store->late_ms = query_number(query, "late-ms", store->late_ms);
    store->refuse_percent = (uint32_t)query_number(query, "refuse", store->refuse_percent);
    set_mute(store, query_number(query, "mute", store->is_mute ? 1 : 0) != 0,
             query_number(query, "list-mute", store->is_list_mute ? 1 : 0) != 0);
    store->list_slow_ms = query_number(query, "list-slow", store->list_slow_ms);
    set_lapse(store, query_number(query, "lapse", store->lapse_ms));
    store_set_copy_lag(store, query_number(query, "copy-lag", store->recent_copies.lag_ms));
    if (query_number(query, "save", 0) != 0) {
        store_save(store);
    }
    if (query_number(query, "restore", 0) != 0) {
        store_restore_after(store, down);
    }
    if (query_number(query, "forget", 0) != 0) {
        store_forget(store);
        store_answer_watches(store);
    }
    answer_text(store, exchange, 200, "done\n", strlen("done\n"));
}

/* Handles a call during an outage. Returns false if there is none. */
static bool handle_outage(const store_t *store, const store_outage_t *outage, cw_http_exchange_t *exchange)
{
    if (uv_now(&store->loop) >= outage->until_ms) {
        return false;
    }
    if (strcmp(outage->how, "reset") == 0) {
        cw_http_exchange_abort(exchange);
    } else if (strcmp(outage->how, "silent") != 0) {
        answer_text(store, exchange, 503, "", 0);
    }
    return true;
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    const store_endpoint_t *endpoint = context;
    store_t                *store = endpoint->store;
    char                    path[2 * NAME_BYTES_MAX];
    const char             *query = strchr(inbound->target, '?');
    char                   *name;

    if (strncmp(inbound->target, "/control", strlen("/control")) == 0) {
        handle_control(store, exchange, query == NULL ? NULL : query + 1);
        return;
    }
    if (handle_outage(store, &store->outage, exchange) || handle_outage(store, &endpoint->outage, exchange)) {
        return;
    }
    if (store->refuse_percent > 0 && ++store->calls % 100 < store->refuse_percent) {
        answer_text(store, exchange, 429, "", 0);
        return;
    }
    if (strncmp(inbound->target, prefix, strlen(prefix)) != 0) {
        answer_text(store, exchange, 404, "", 0);
        return;
    }
    snprintf(path, sizeof(path), "%.*s", (int)strcspn(inbound->target + strlen(prefix), "?"),
             inbound->target + strlen(prefix));
    name = strchr(path, '/');
    if (name != NULL) {
        *name++ = '\0';
    }
    if (strcmp(inbound->method, "GET") == 0) {
        handle_read(store, exchange, path, name == NULL ? "" : name, query == NULL ? NULL : query + 1);
    } else if (strcmp(inbound->method, "DELETE") == 0) {
        handle_delete(store, exchange, path, name == NULL ? "" : name);
    } else {
        handle_write(store, exchange, inbound, path, name == NULL ? "" : name);
    }
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    const store_endpoint_t *endpoint = context;
    store_t                *store = endpoint->store;
    delayed_answer_t       *delayed = cw_http_exchange_data(exchange);
    store_watch_t          *watch;

    if (delayed != NULL) {
        delayed->exchange = NULL;
    }
    for (watch = store->watches; watch != NULL; watch = watch->next) {
        if (watch->exchange == exchange) {
            watch->exchange = NULL;
            uv_timer_start(&watch->timer, on_watch_timer, 0, 0);
            return;
        }
    }
}

static int open_endpoint(store_t *store, const char *address, uint16_t port)
{
    store_endpoint_t          *endpoint = &store->endpoints[store->endpoint_count];
    cw_http_limits_t           limits = {.header_bytes = REQUEST_BYTES_MAX,
                                         .body_bytes = REQUEST_BYTES_MAX,
                                         .header_timeout = CW_SECONDS(60),
                                         .idle_timeout = CW_SECONDS(600)};
    cw_http_listener_handler_t handler = {endpoint, on_request, on_cancelled};
    int error = cw_http_listener_create(&endpoint->listener, &store->loop, address, port, &limits, &handler);

    if (error != 0) {
        fprintf(stderr, "cw-store: %s\n", uv_strerror(error));
        return error;
    }
    endpoint->store = store;
    store->endpoint_count++;
    return 0;
}

/* Prints a line of "port" and the port number of each endpoint. */
static void print_ports(const store_t *store)
{
    size_t index;

    printf("port");
    for (index = 0; index < store->endpoint_count; index++) {
        printf(" %u", cw_http_listener_port(store->endpoints[index].listener));
    }
    printf("\n");
    fflush(stdout);
}

static int serve(const char *address, uint16_t port, size_t page, size_t endpoints)
{
    static store_t store;

    uv_loop_init(&store.loop);
    store.revision = 1;
    store.page_items = page;
    store.late_ms = LATE_WRITE_MS;
    store_init_restore(&store);
    store_init_copies(&store);
    uv_timer_init(&store.loop, &store.lapse_timer);
    store.lapse_timer.data = &store;
    while (store.endpoint_count < endpoints) {
        if (open_endpoint(&store, address, store.endpoint_count == 0 ? port : 0) != 0) {
            return EXIT_FAILURE;
        }
    }
    print_ports(&store);
    return uv_run(&store.loop, UV_RUN_DEFAULT);
}

int main(int argument_count, char **arguments)
{
    struct arg_str *address = arg_str0("a", "address", "IPV4", "default 127.0.0.1");
    struct arg_int *port = arg_int0("p", "port", "PORT", "default 0: chosen by the system and printed");
    struct arg_int *page = arg_int0(NULL, "page", "ITEMS", "items of a listing in one answer; default 50");
    struct arg_int *endpoints =
        arg_int0(NULL, "endpoints", "PORTS", "ports to listen at, chosen by the system but the first");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void           *table[] = {address, port, page, endpoints, end};
    int             endpoint_count;

    if (arg_parse(argument_count, arguments, table) > 0) {
        arg_print_errors(stderr, end, "cw-store");
        return 2;
    }
    endpoint_count = endpoints->count > 0 ? endpoints->ival[0] : 1;
    if (endpoint_count < 1 || endpoint_count > STORE_ENDPOINTS_MAX) {
        fprintf(stderr, "cw-store: 1 to %d endpoints\n", STORE_ENDPOINTS_MAX);
        return 2;
    }
    return serve(address->count > 0 ? address->sval[0] : "127.0.0.1", port->count > 0 ? (uint16_t)port->ival[0] : 0,
                 page->count > 0 && page->ival[0] > 0 ? (size_t)page->ival[0] : STORE_PAGE_ITEMS,
                 (size_t)endpoint_count);
}
