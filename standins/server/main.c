/**
 * @file main.c
 * @brief Stand-in for a tenant's server: works on a few requests at once, holds keys by grants, and registers in the
 *        store.
 *
 * Prints records for the checker (cw-verdict): one JSON line on standard output for each event (run, grant, release and
 * others), with the machine's monotonic time. The record of the start names the address, that of a grant the time of
 * the hold, and how late it was carried out, if it was (late_ms). Records of runs name the tenant that the request
 * named in "X-Tenant". A request that still contains the caller's credential gets a record of its own. As soon as a
 * signal has been in force, the arrival of each request is recorded, too.
 *
 * With --endless it answers requests with bytes without end instead (endless.h), and records how many it has sent.
 *
 * SIGTERM: announces in its entry and its answers that it leaves, serves for another DRAIN_MS, and ends. SIGUSR1: puts
 * the next signal of --signals into force; SIGUSR2: ends the signal in force.
 *
 * With --late-orders a share of the grants and releases gets no answer and is carried out seconds later
 * (late_orders.h). "POST /control?late-orders=SHARE" sets another share from then on.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "endless.h"
#include "late_orders.h"
#include "net/http_listener.h"
#include "net/http_upstream.h"
#include "signals.h"

enum {
    ERRORS_MAX = 10,
    KEYS = 65536,
    DRAIN_MS = 2500,
    REQUEST_BYTES_MAX = 4 * 1024 * 1024,
    STATUS_NOT_FOUND = 404,
    STATUS_MISDIRECTED = 421,
    STATUS_UNAVAILABLE = 503,
    STATUS_ERROR = 500,
    STATUS_CONFLICT = 409
};

static const char control_late_orders[] = "/control?late-orders=";

typedef struct server server_t;

/** A request that waits or is being worked on. */
typedef struct job {
    server_t           *server;
    cw_http_exchange_t *exchange; /**< NULL: its caller has disconnected */
    uv_timer_t          timer;
    char                id[80];
    char                tenant[40]; /**< tenant of the caller, by X-Tenant; empty: none */
    uint32_t            key;
    bool                keyed;   /**< the service is divided by key */
    bool                running; /**< false: it waits */
    struct job         *prev;    /**< prev and next: the names that utlist.h requires */
    struct job         *next;
} job_t;

/** A release that is answered when no request on its keys runs any more. */
typedef struct release {
    cw_http_exchange_t *exchange; /**< NULL: its caller has disconnected */
    uint32_t            low;      /**< first key */
    uint32_t            last;     /**< last key, inclusive */
    struct release     *next;
} release_t;

/** The server's hold of one key. */
typedef struct key_hold {
    uint64_t fence; /**< highest one of grants and releases */
    uint64_t until_ms;
} key_hold_t;

struct server {
    uv_loop_t             loop;
    cw_http_listener_t   *listener;
    endless_t             endless; /**< used instead of the listener if its kind is set */
    cw_upstream_t        *upstream;
    cw_upstream_target_t *store;
    uv_timer_t            heartbeat;
    uv_signal_t           terminate;
    uv_signal_t           next_signal;
    uv_signal_t           end_signals;
    signals_t             signals;
    late_orders_t         late_orders;
    uv_timer_t            leave;
    const char           *service;
    const char           *zone;
    char                  id[40];
    char                  incarnation[64]; /* id and time of the start: name in the records */
    char                  address[40];
    uint32_t              capacity;
    uint32_t              queue_max;
    uint32_t              work_ms;
    uint32_t              heartbeat_ms;
    uint32_t              cold_ms; /**< duration of the warm-up after the start, for its entry in the store */
    uint64_t              started_ms;
    uint64_t              born_ms;    /* time of the start, by the wall clock */
    const char           *crash_path; /* a request whose path contains this text ends the process; NULL: none */
    bool                  keyed;
    bool                  hangs; /**< a request that finds the queue full gets no answer */
    bool                  draining;
    bool                  leaves_silently; /**< it announces in its entry only that it leaves */
    bool                  is_registered;
    uint64_t              sequence;
    uint32_t              running;
    job_t                *waiting; /**< jobs that wait */
    job_t                *jobs;    /**< jobs that run */
    uint32_t              waiting_count;
    release_t            *releases;
    key_hold_t           *keys;
    uint64_t              handovers; /**< number of handovers so far, for their names */
};

static void print_record_of_tenant(server_t *server, const char *event, const char *id, uint32_t low, uint32_t last,
                                   uint64_t fence, const char *tenant)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"%s\",\"server\":\"%s\",\"service\":\"%s\",\"id\":\"%s\",\"low\":%u,"
           "\"last\":%u,\"fence\":%" PRIu64 ",\"tenant\":\"%s\"}\n",
           uv_hrtime(), event, server->incarnation, server->service, id, low, last, fence, tenant);
    fflush(stdout);
}

static void print_record(server_t *server, const char *event, const char *id, uint32_t low, uint32_t last,
                         uint64_t fence)
{
    print_record_of_tenant(server, event, id, low, last, fence, "");
}

static void print_start_record(const server_t *server)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"start\",\"server\":\"%s\",\"service\":\"%s\",\"address\":\"%s\"}\n",
           uv_hrtime(), server->incarnation, server->service, server->address);
    fflush(stdout);
}

static void print_grant_record(const server_t *server, uint32_t low, uint32_t last, uint64_t fence, uint64_t hold_ms,
                               uint64_t late_ms)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"grant\",\"server\":\"%s\",\"service\":\"%s\",\"low\":%u,\"last\":%u,"
           "\"fence\":%" PRIu64 ",\"hold_ms\":%" PRIu64 ",\"late_ms\":%" PRIu64 "}\n",
           uv_hrtime(), server->incarnation, server->service, low, last, fence, hold_ms, late_ms);
    fflush(stdout);
}

static void print_limit_record(const server_t *server)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"limit\",\"server\":\"%s\",\"service\":\"%s\",\"per_s\":%g}\n", uv_hrtime(),
           server->incarnation, server->service, server->signals.now.limit_per_s);
    fflush(stdout);
}

static void print_rest_record(const server_t *server, const char *id)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"rest\",\"server\":\"%s\",\"service\":\"%s\",\"id\":\"%s\",\"rest_s\":%g}\n",
           uv_hrtime(), server->incarnation, server->service, id, server->signals.now.rest_s);
    fflush(stdout);
}

/* ---- answers ---- */

static void add_field(cw_http_fields_t *fields, cw_http_field_builder_t *builder, const char *name, const char *value)
{
    cw_http_field_builder_name(builder, fields, name, strlen(name));
    cw_http_field_builder_value(builder, fields, value, strlen(value));
}

static void answer_with_retry_after(server_t *server, cw_http_exchange_t *exchange, int status, const char *id,
                                    bool not_run, const char *handover, const char *body, double rest_s)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_http_outbound_t      outbound = {.status = status,
                                        .fields = &fields,
                                        .body = body,
                                        .body_length = strlen(body),
                                        .retry_after_s = rest_s > 0 ? rest_s : -1};
    char                    signature[160];

    add_field(&fields, &builder, "X-Instance-Id", server->id);
    if (id != NULL) {
        add_field(&fields, &builder, "X-Request-Id", id);
    }
    if (not_run) {
        add_field(&fields, &builder, "X-Not-Executed", "1");
    } else if (id != NULL) {
        snprintf(signature, sizeof(signature), "%s.%s", server->id, id);
        add_field(&fields, &builder, "X-Server-Signature", signature);
    }
    if (handover != NULL) {
        add_field(&fields, &builder, "X-Handover", handover);
    }
    if (id != NULL) {
        signals_add_fields(&server->signals, &fields, &builder);
    }
    cw_http_exchange_answer(exchange, &outbound);
    cw_http_fields_clear(&fields);
}

static void answer(server_t *server, cw_http_exchange_t *exchange, int status, const char *id, bool not_run,
                   const char *handover, const char *body)
{
    answer_with_retry_after(server, exchange, status, id, not_run, handover, body, 0);
}

/* ---- keys ----
 *
 * An order that is carried out late has no exchange any more, and gets no answer. */

static void answer_order(server_t *server, cw_http_exchange_t *exchange, int status, const char *handover)
{
    if (exchange != NULL) {
        answer(server, exchange, status, NULL, true, handover, status == 200 ? "{}" : "");
    }
}

static bool holds_key(const server_t *server, uint32_t key)
{
    return key < KEYS && server->keys[key].until_ms > uv_now(&server->loop);
}

static void handle_grant(server_t *server, cw_http_exchange_t *exchange, const json_t *body, uint64_t late_ms)
{
    uint32_t low = (uint32_t)json_integer_value(json_object_get(body, "from"));
    uint32_t last = (uint32_t)json_integer_value(json_object_get(body, "last"));
    uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
    uint64_t hold_ms = (uint64_t)json_number_value(json_object_get(body, "hold_ms"));
    uint32_t key;

    if (last >= KEYS || low > last || fence == 0) {
        answer_order(server, exchange, 400, NULL);
        return;
    }
    for (key = low; key <= last; key++) {
        if (server->keys[key].fence > fence) {
            answer_order(server, exchange, STATUS_CONFLICT, NULL);
            return;
        }
    }
    for (key = low; key <= last; key++) {
        server->keys[key].fence = fence;
        server->keys[key].until_ms = uv_now(&server->loop) + hold_ms;
    }
    print_grant_record(server, low, last, fence, hold_ms, late_ms);
    answer_order(server, exchange, 200, NULL);
}

static bool has_job_on(const server_t *server, uint32_t low, uint32_t last)
{
    const job_t *job;

    DL_FOREACH(server->jobs, job)
    {
        if (job->keyed && job->key >= low && job->key <= last) {
            return true;
        }
    }
    return false;
}

static void answer_releases(server_t *server)
{
    release_t **place = &server->releases;
    char        handover[80];

    while (*place != NULL) {
        release_t *release = *place;

        if (has_job_on(server, release->low, release->last)) {
            place = &release->next;
            continue;
        }
        *place = release->next;
        if (release->exchange != NULL) {
            snprintf(handover, sizeof(handover), "h%" PRIu64 "-%s", ++server->handovers, server->id);
            cw_http_exchange_set_data(release->exchange, NULL);
            answer_order(server, release->exchange, 200, handover);
        }
        free(release);
    }
}

static void handle_release(server_t *server, cw_http_exchange_t *exchange, const json_t *body)
{
    release_t *release = calloc(1, sizeof(*release));
    uint64_t   fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
    uint32_t   key;

    if (release == NULL) {
        abort();
    }
    release->low = (uint32_t)json_integer_value(json_object_get(body, "from"));
    release->last = (uint32_t)json_integer_value(json_object_get(body, "last"));
    for (key = release->low; key <= release->last && key < KEYS; key++) {
        server->keys[key].until_ms = 0;
        server->keys[key].fence = fence > server->keys[key].fence ? fence : server->keys[key].fence;
    }
    print_record(server, "release", "", release->low, release->last, fence);
    release->exchange = exchange;
    release->next = server->releases;
    server->releases = release;
    answer_releases(server);
}

/* Carries out a grant or a release. exchange: NULL if it gets no answer; late_ms: 0 if it was read just now. */
static void handle_order(server_t *server, cw_http_exchange_t *exchange, const char *target, const json_t *body,
                         uint64_t late_ms)
{
    if (strcmp(target, "/api/grant") == 0) {
        handle_grant(server, exchange, body, late_ms);
    } else {
        handle_release(server, exchange, body);
    }
}

static void run_late_order(void *context, const char *target, const json_t *body, uint64_t late_ms)
{
    handle_order(context, NULL, target, body, late_ms);
}

/* Reads an order. One that is drawn to be late gets no answer, so that its connection says nothing any more. */
static void read_order(server_t *server, cw_http_exchange_t *exchange, const char *target, json_t *body)
{
    if (late_orders_take(&server->late_orders, target, body)) {
        print_record(server, "late", target, (uint32_t)json_integer_value(json_object_get(body, "from")),
                     (uint32_t)json_integer_value(json_object_get(body, "last")),
                     (uint64_t)json_integer_value(json_object_get(body, "fence")));
        return;
    }
    handle_order(server, exchange, target, body, 0);
}

/* ---- jobs ---- */

static void start_job(job_t *job);

static void on_job_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void end_job(job_t *job)
{
    server_t *server = job->server;
    job_t    *next;

    DL_DELETE(server->jobs, job);
    server->running--;
    print_record(server, "end", job->id, job->key, job->key, 0);
    uv_close((uv_handle_t *)&job->timer, on_job_closed);
    answer_releases(server);
    while (server->running < server->capacity && (next = server->waiting) != NULL) {
        DL_DELETE(server->waiting, next);
        server->waiting_count--;
        start_job(next);
    }
}

static void on_work_done(uv_timer_t *timer)
{
    job_t              *job = timer->data;
    server_t           *server = job->server;
    cw_http_exchange_t *exchange = job->exchange;
    bool has_lost_key = job->keyed && !holds_key(server, job->key) && !has_job_on(server, job->key, job->key);
    char id[sizeof(job->id)];

    memcpy(id, job->id, sizeof(id));
    job->exchange = NULL;
    end_job(job);
    if (exchange != NULL) {
        cw_http_exchange_set_data(exchange, NULL);
        answer(server, exchange, has_lost_key ? STATUS_ERROR : 200, id, false, NULL, id);
    }
}

static void start_job(job_t *job)
{
    server_t *server = job->server;

    if (job->exchange == NULL || (job->keyed && !holds_key(server, job->key))) {
        if (job->exchange != NULL) {
            cw_http_exchange_set_data(job->exchange, NULL);
            answer(server, job->exchange, STATUS_MISDIRECTED, job->id, true, NULL, "");
        }
        uv_close((uv_handle_t *)&job->timer, on_job_closed);
        return;
    }
    job->running = true;
    DL_APPEND(server->jobs, job);
    server->running++;
    print_record_of_tenant(server, "run", job->id, job->key, job->key, job->keyed ? server->keys[job->key].fence : 0,
                           job->tenant);
    uv_timer_start(&job->timer, on_work_done, server->work_ms, 0);
}

static void handle_work_request(server_t *server, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    const char *target = cw_http_fields_find(inbound->fields, "X-Target-Instance");
    const char *id = cw_http_fields_find(inbound->fields, "X-Request-Id");
    const char *key = cw_http_fields_find(inbound->fields, "X-Shard-Key");
    const char *tenant = cw_http_fields_find(inbound->fields, "X-Tenant");
    job_t      *job;

    if (id == NULL) {
        answer(server, exchange, 400, NULL, true, NULL, "");
        return;
    }
    if ((target != NULL && strcmp(target, server->id) != 0) ||
        (server->keyed && (key == NULL || !holds_key(server, (uint32_t)atoi(key))))) {
        answer(server, exchange, STATUS_MISDIRECTED, id, true, NULL, "");
        return;
    }
    if (server->running >= server->capacity && server->waiting_count >= server->queue_max) {
        if (!server->hangs) {
            answer(server, exchange, STATUS_UNAVAILABLE, id, true, NULL, "");
        }
        return;
    }
    job = calloc(1, sizeof(*job));
    if (job == NULL) {
        abort();
    }
    job->server = server;
    job->exchange = exchange;
    job->keyed = server->keyed;
    job->key = key == NULL ? 0 : (uint32_t)atoi(key);
    snprintf(job->id, sizeof(job->id), "%s", id);
    snprintf(job->tenant, sizeof(job->tenant), "%s", tenant == NULL ? "" : tenant);
    uv_timer_init(&server->loop, &job->timer);
    job->timer.data = job;
    cw_http_exchange_set_data(exchange, job);
    if (server->running < server->capacity) {
        start_job(job);
        return;
    }
    DL_APPEND(server->waiting, job);
    server->waiting_count++;
}

static void set_late_orders(server_t *server, cw_http_exchange_t *exchange, const char *share)
{
    bool is_set = late_orders_set_share(&server->late_orders, atof(share));

    answer(server, exchange, is_set ? 200 : 400, NULL, true, NULL, "");
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    server_t   *server = context;
    const char *target = cw_http_fields_find(inbound->fields, "X-Target-Instance");
    bool        is_router_order = strncmp(inbound->target, "/api/", strlen("/api/")) == 0;
    const char *id = cw_http_fields_find(inbound->fields, "X-Request-Id");
    json_t     *body;

    if (cw_http_fields_find(inbound->fields, "Authorization") != NULL) {
        print_record(server, "credential", id == NULL ? "" : id, 0, 0, 0);
    }
    if (strcmp(inbound->target, "/health") == 0) {
        answer(server, exchange, server->draining ? STATUS_UNAVAILABLE : 200, NULL, true, NULL, "");
        return;
    }
    if (strncmp(inbound->target, control_late_orders, strlen(control_late_orders)) == 0) {
        set_late_orders(server, exchange, inbound->target + strlen(control_late_orders));
        return;
    }
    if (!is_router_order) {
        if (server->signals.is_used) {
            print_record(server, "arrive", id == NULL ? "" : id, 0, 0, 0);
        }
        if (server->signals.now.rest_s > 0 && id != NULL) {
            print_rest_record(server, id);
            answer_with_retry_after(server, exchange, STATUS_UNAVAILABLE, id, true, NULL, "",
                                    server->signals.now.rest_s);
            return;
        }
        if (server->crash_path != NULL && strstr(inbound->target, server->crash_path) != NULL) {
            print_record(server, "crash", id == NULL ? "" : id, 0, 0, 0);
            (void)fflush(stdout);
            _exit(EXIT_FAILURE);
        }
        handle_work_request(server, exchange, inbound);
        return;
    }
    if (target != NULL && strcmp(target, server->id) != 0) {
        answer(server, exchange, STATUS_MISDIRECTED, NULL, true, NULL, "");
        return;
    }
    body = json_loadb(inbound->body == NULL ? "" : inbound->body, inbound->body_length, 0, NULL);
    read_order(server, exchange, inbound->target, body);
    json_decref(body);
}

/* The caller has disconnected: a running job ends at once, a waiting one is dropped when its turn comes. */
static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    server_t  *server = context;
    job_t     *job = cw_http_exchange_data(exchange);
    release_t *release;

    for (release = server->releases; release != NULL; release = release->next) {
        if (release->exchange == exchange) {
            release->exchange = NULL;
            return;
        }
    }
    if (job != NULL) {
        job->exchange = NULL;
        if (job->running) {
            end_job(job);
        }
    }
}

/* ---- the store ---- */

static void on_registered(void *context, const cw_upstream_answer_t *answer)
{
    server_t *server = context;

    if (answer->result == CW_UPSTREAM_ANSWERED && (answer->status < 300 || answer->status == STATUS_CONFLICT)) {
        server->is_registered = true; /* 409: the entry may be that of its previous incarnation */
    } else if (answer->result == CW_UPSTREAM_ANSWERED && answer->status == STATUS_NOT_FOUND) {
        server->is_registered = false; /* its entry has lapsed: the next heartbeat creates it again */
    }
}

static uint32_t cold_left_ms(const server_t *server)
{
    uint64_t passed = uv_now(&server->loop) - server->started_ms;

    return passed >= server->cold_ms ? 0 : server->cold_ms - (uint32_t)passed;
}

static void call_store(server_t *server, const char *method, bool with_body)
{
    char                  text[1024];
    char                  body[512] = "";
    char                  path[80] = "";
    cw_upstream_request_t request = {
        .bytes = text, .connect_timeout = CW_MS(500), .timeout = CW_MS(1000), .answer_max = 65536};

    if (with_body) {
        snprintf(body, sizeof(body),
                 "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                 "\"version\":\"v1\",\"capacity\":%u,\"state\":\"%s\",\"cold_ms\":%u,\"sequence\":%" PRIu64
                 ",\"born\":%" PRIu64 "}}",
                 server->id, server->service, server->address, server->zone, server->capacity,
                 server->draining ? "draining" : "ready", cold_left_ms(server), ++server->sequence, server->born_ms);
    }
    if (strcmp(method, "POST") != 0) {
        snprintf(path, sizeof(path), "/%s", server->id);
    }
    request.length = (size_t)snprintf(
        text, sizeof(text), "%s /api/objects/servers%s HTTP/1.1\r\nHost: store\r\nContent-Length: %zu\r\n\r\n%s",
        method, path, strlen(body), body);
    (void)cw_upstream_call(server->store, &request, on_registered, server);
}

static void on_heartbeat(uv_timer_t *timer)
{
    server_t *server = timer->data;

    call_store(server, server->is_registered ? "PUT" : "POST", true);
}

static void on_removed(uv_timer_t *timer)
{
    server_t *server = timer->data;

    uv_stop(&server->loop);
}

static void on_leave(uv_timer_t *timer)
{
    server_t *server = timer->data;

    uv_timer_stop(&server->heartbeat);
    call_store(server, "DELETE", false);
    uv_timer_start(&server->leave, on_removed, 300, 0);
}

static void on_terminate(uv_signal_t *handle, int number)
{
    server_t *server = handle->data;

    (void)number;
    if (server->draining) {
        return;
    }
    server->draining = true;
    server->signals.now.is_leaving = !server->leaves_silently;
    server->signals.is_used = true;
    on_heartbeat(&server->heartbeat);
    uv_timer_start(&server->leave, on_leave, DRAIN_MS, 0);
}

static void on_signal(uv_signal_t *handle, int number)
{
    server_t *server = handle->data;

    if (number == SIGUSR1) {
        signals_next(&server->signals);
    } else {
        signals_end(&server->signals);
    }
    print_limit_record(server);
}

/* ---- answers without end ---- */

static void on_endless_begin(void *context, const char *id)
{
    print_record(context, "run", id, 0, 0, 0);
}

static void on_endless_end(void *context, const char *id, uint64_t bytes)
{
    server_t *server = context;

    print_record(server, "end", id, 0, 0, 0);
    printf("{\"ns\":%" PRIu64 ",\"event\":\"endless\",\"server\":\"%s\",\"service\":\"%s\",\"id\":\"%s\","
           "\"bytes\":%" PRIu64 "}\n",
           uv_hrtime(), server->incarnation, server->service, id, bytes);
    fflush(stdout);
}

/* ---- start ---- */

/* Sets the server's address, unless it is given. */
static int listen_endless(server_t *server, const char *address, uint16_t port)
{
    int error;

    server->endless.instance = server->id;
    server->endless.context = server;
    server->endless.on_begin = on_endless_begin;
    server->endless.on_end = on_endless_end;
    error = endless_start(&server->endless, &server->loop, address, &port);
    if (server->address[0] == '\0') {
        snprintf(server->address, sizeof(server->address), "%s:%u", address, port);
    }
    return error;
}

static int listen_for_callers(server_t *server, const char *address, uint16_t port)
{
    cw_http_limits_t           limits = {.header_bytes = REQUEST_BYTES_MAX,
                                         .body_bytes = REQUEST_BYTES_MAX,
                                         .header_timeout = CW_SECONDS(60),
                                         .idle_timeout = CW_SECONDS(10)};
    cw_http_listener_handler_t handler = {server, on_request, on_cancelled};
    int error = cw_http_listener_create(&server->listener, &server->loop, address, port, &limits, &handler);

    if (error == 0 && server->address[0] == '\0') {
        snprintf(server->address, sizeof(server->address), "%s:%u", address, cw_http_listener_port(server->listener));
    }
    return error;
}

static uint64_t wall_clock_ms(void)
{
    uv_timeval64_t now = {0};

    (void)uv_gettimeofday(&now); /* fails for a bad address only */
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
}

static int run(server_t *server, const char *address, uint16_t port, const char *store_address)
{
    cw_upstream_options_t options = {.idle_max = CW_SECONDS(10)};
    int                   error;

    (void)signal(SIGPIPE, SIG_IGN);
    server->keys = calloc(KEYS, sizeof(*server->keys));
    uv_loop_init(&server->loop);
    error = server->endless.kind != NULL ? listen_endless(server, address, port)
                                         : listen_for_callers(server, address, port);
    if (error != 0) {
        fprintf(stderr, "cw-server: %s\n", uv_strerror(error));
        return EXIT_FAILURE;
    }
    if (server->id[0] == '\0') {
        snprintf(server->id, sizeof(server->id), "i-%08x%04x", (unsigned)(uv_hrtime() & 0xffffffffu),
                 (unsigned)getpid() & 0xffffu);
    }
    server->started_ms = uv_now(&server->loop);
    server->born_ms = wall_clock_ms();
    snprintf(server->incarnation, sizeof(server->incarnation), "%s@%" PRIu64, server->id, server->born_ms);
    server->upstream = cw_upstream_create(&server->loop, &options);
    server->store = cw_upstream_target_create(server->upstream, store_address);
    if (server->store == NULL) {
        fprintf(stderr, "cw-server: --store must be IPv4:PORT\n");
        return 2;
    }
    uv_timer_init(&server->loop, &server->heartbeat);
    uv_timer_init(&server->loop, &server->leave);
    uv_signal_init(&server->loop, &server->terminate);
    server->heartbeat.data = server;
    server->leave.data = server;
    uv_signal_init(&server->loop, &server->next_signal);
    uv_signal_init(&server->loop, &server->end_signals);
    server->terminate.data = server;
    server->next_signal.data = server;
    server->end_signals.data = server;
    uv_timer_start(&server->heartbeat, on_heartbeat, 0, server->heartbeat_ms);
    uv_signal_start(&server->terminate, on_terminate, SIGTERM);
    uv_signal_start(&server->next_signal, on_signal, SIGUSR1);
    uv_signal_start(&server->end_signals, on_signal, SIGUSR2);
    print_start_record(server);
    uv_run(&server->loop, UV_RUN_DEFAULT);
    print_record(server, "stop", "", 0, 0, 0);
    return EXIT_SUCCESS;
}

static uint32_t number_of(const struct arg_int *argument, uint32_t fallback)
{
    return argument->count > 0 ? (uint32_t)argument->ival[0] : fallback;
}

int main(int argument_count, char **arguments)
{
    struct arg_str *address = arg_str0("a", "address", "IPV4", "default 127.0.0.1");
    struct arg_int *port = arg_int0("p", "port", "PORT", "default 0: chosen by the system");
    struct arg_str *advertise =
        arg_str0(NULL, "advertise", "IPV4:PORT", "signs in with this; default: where it listens");
    struct arg_str *store = arg_str1("s", "store", "IPV4:PORT", "the store");
    struct arg_str *service = arg_str1("n", "service", "NAME", "service it belongs to");
    struct arg_str *zone = arg_str0("z", "zone", "NAME", "default z1");
    struct arg_int *capacity = arg_int0("c", "capacity", "N", "requests at once; default 2");
    struct arg_int *queue = arg_int0("q", "queue", "N", "requests that wait besides; default 8");
    struct arg_int *work = arg_int0("w", "work-ms", "MS", "time of a request; default 20");
    struct arg_int *heartbeat = arg_int0("b", "heartbeat-ms", "MS", "default 500");
    struct arg_int *cold = arg_int0(NULL, "cold-ms", "MS", "warm-up that it signs in with; default 0");
    struct arg_str *id = arg_str0("i", "id", "NAME", "default: another one at each start");
    struct arg_str *crash_path =
        arg_str0(NULL, "crash-path", "TEXT", "a request with this in its path ends the process");
    struct arg_str *signals = arg_str0(NULL, "signals", "limit=N|rest=S|leaving|none,...",
                                       "what it says of itself in its answers, in turn; the next at each SIGUSR1");
    struct arg_str *endless = arg_str0(NULL, "endless", "interim|head|body|chunks|noise",
                                       "answers with bytes without end, until its caller closes");
    struct arg_lit *keyed = arg_lit0("k", "keyed", "runs a request only while it holds its key");
    struct arg_lit *hangs = arg_lit0("x", "hangs", "does not answer what it cannot queue");
    struct arg_lit *silent = arg_lit0(NULL, "leaves-silently", "announces in its entry only that it leaves");
    struct arg_dbl *late_orders =
        arg_dbl0(NULL, "late-orders", "SHARE", "of orders without an answer, carried out 2 to 12 s later; default 0");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the draws of late orders; default 1");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void           *table[] = {address,    port,    advertise, store, service,     zone,   capacity,
                               queue,      work,    heartbeat, cold,  late_orders, seed,   id,
                               crash_path, signals, endless,   keyed, hangs,       silent, end};
    static server_t server;

    if (arg_parse(argument_count, arguments, table) > 0) {
        arg_print_errors(stderr, end, "cw-server");
        return 2;
    }
    if (!signals_init(&server.signals, signals->count > 0 ? signals->sval[0] : NULL)) {
        fprintf(stderr, "cw-server: --signals is limit=N, rest=S, leaving or none, with commas between\n");
        return 2;
    }
    late_orders_init(&server.late_orders, &server.loop, number_of(seed, 1), run_late_order, &server);
    if (late_orders->count > 0 && !late_orders_set_share(&server.late_orders, late_orders->dval[0])) {
        fprintf(stderr, "cw-server: --late-orders is a share of 0 to 1\n");
        return 2;
    }
    if (endless->count > 0 && (server.endless.kind = endless_kind(endless->sval[0])) == NULL) {
        fprintf(stderr, "cw-server: --endless is interim, head, body, chunks or noise\n");
        return 2;
    }
    server.service = service->sval[0];
    if (advertise->count > 0) {
        snprintf(server.address, sizeof(server.address), "%s", advertise->sval[0]);
    }
    server.crash_path = crash_path->count > 0 ? crash_path->sval[0] : NULL;
    if (id->count > 0) {
        snprintf(server.id, sizeof(server.id), "%s", id->sval[0]);
    }
    server.zone = zone->count > 0 ? zone->sval[0] : "z1";
    server.capacity = number_of(capacity, 2);
    server.queue_max = number_of(queue, 8);
    server.work_ms = number_of(work, 20);
    server.heartbeat_ms = number_of(heartbeat, 500);
    server.cold_ms = number_of(cold, 0);
    server.keyed = keyed->count > 0;
    server.hangs = hangs->count > 0;
    server.leaves_silently = silent->count > 0;
    return run(&server, address->count > 0 ? address->sval[0] : "127.0.0.1", (uint16_t)number_of(port, 0),
               store->sval[0]);
}
