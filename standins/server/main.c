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
 * SIGTERM: announces in its entry and its answers that it leaves, serves for another SERVER_DRAIN_MS, and ends.
 * SIGUSR1: puts the next signal of --signals into force; SIGUSR2: ends the signal in force.
 *
 * With --answer-faults shares of its answers are sent a second time, cut off, replaced by a page, or turn requests away
 * (answer_faults.h); each fault gets a record.
 *
 * With --late-orders a share of the grants and releases gets no answer and is carried out seconds later
 * (late_orders.h). "POST /control?late-orders=SHARE" sets another share from then on.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "server.h"

enum { ERRORS_MAX = 10, REQUEST_BYTES_MAX = 4 * 1024 * 1024 };

/* ---- answers without end ---- */

static void on_endless_begin(void *context, const char *id)
{
    server_print_record(context, "run", id, 0, 0, 0);
}

static void on_endless_end(void *context, const char *id, uint64_t bytes)
{
    server_t *server = context;

    server_print_record(server, "end", id, 0, 0, 0);
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

static void on_answer_fault(void *context, answer_fault_t fault, const char *id)
{
    server_t *server = context;

    printf("{\"ns\":%" PRIu64 ",\"event\":\"answer fault\",\"server\":\"%s\",\"service\":\"%s\",\"id\":\"%s\","
           "\"fault\":\"%s\"}\n",
           uv_hrtime(), server->incarnation, server->service, id, answer_fault_name(fault));
    fflush(stdout);
}

static int listen_for_callers(server_t *server, const char *address, uint16_t port)
{
    cw_http_limits_t           limits = {.header_bytes = REQUEST_BYTES_MAX,
                                         .body_bytes = REQUEST_BYTES_MAX,
                                         .header_timeout = CW_SECONDS(60),
                                         .idle_timeout = CW_SECONDS(10)};
    cw_http_listener_handler_t handler = {server, server_on_request, server_on_cancelled};
    bool                       has_faults = server->answer_faults.is_used;
    int                        error =
        cw_http_listener_create(&server->listener, &server->loop, address, has_faults ? 0 : port, &limits, &handler);

    if (error == 0 && has_faults) {
        server->answer_faults.on_fault = on_answer_fault;
        server->answer_faults.context = server;
        error = answer_faults_start(&server->answer_faults, &server->loop, address, &port,
                                    cw_http_listener_port(server->listener));
    } else if (error == 0) {
        port = cw_http_listener_port(server->listener);
    }
    if (error == 0 && server->address[0] == '\0') {
        snprintf(server->address, sizeof(server->address), "%s:%u", address, port);
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
    server->keys = calloc(SERVER_KEYS, sizeof(*server->keys));
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
    uv_timer_start(&server->heartbeat, server_on_heartbeat, 0, server->heartbeat_ms);
    uv_signal_start(&server->terminate, server_on_terminate, SIGTERM);
    uv_signal_start(&server->next_signal, server_on_signal, SIGUSR1);
    uv_signal_start(&server->end_signals, server_on_signal, SIGUSR2);
    server_print_start(server);
    uv_run(&server->loop, UV_RUN_DEFAULT);
    server_print_record(server, "stop", "", 0, 0, 0);
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
    struct arg_str *answer_faults =
        arg_str0(NULL, "answer-faults", "second=S,unnamed=S,cut=S,page=S,orders=S,deny=S",
                 "shares of answers that are sent twice, cut off, replaced, or turn requests away");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the draws of late orders and faults of answers; default 1");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void           *table[] = {address, port,      advertise, store,       service,       zone, capacity, queue,
                               work,    heartbeat, cold,      late_orders, answer_faults, seed, id,       crash_path,
                               signals, endless,   keyed,     hangs,       silent,        end};
    static server_t server;

    if (arg_parse(argument_count, arguments, table) > 0) {
        arg_print_errors(stderr, end, "cw-server");
        return 2;
    }
    if (!signals_init(&server.signals, signals->count > 0 ? signals->sval[0] : NULL)) {
        fprintf(stderr, "cw-server: --signals is limit=N, rest=S, leaving or none, with commas between\n");
        return 2;
    }
    late_orders_init(&server.late_orders, &server.loop, number_of(seed, 1), server_run_late_order, &server);
    if (late_orders->count > 0 && !late_orders_set_share(&server.late_orders, late_orders->dval[0])) {
        fprintf(stderr, "cw-server: --late-orders is a share of 0 to 1\n");
        return 2;
    }
    if (!answer_faults_init(&server.answer_faults, answer_faults->count > 0 ? answer_faults->sval[0] : NULL,
                            number_of(seed, 1))) {
        fprintf(stderr, "cw-server: --answer-faults is second=S, unnamed=S, cut=S, page=S, orders=S, deny=S, with "
                        "commas between\n");
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
