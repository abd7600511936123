/**
 * @file router.c
 * @brief A node's life: start, ticks, configuration, readiness, reload, stop.
 *
 * A planned stop: not ready at once, orders and leadership are handed over, answers go on and end their connections;
 * the process ends when nothing is under way and the entry has had time to see that it is not ready, and at the latest
 * a little before the grace ends.
 */
#include "router/router.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "router/loop_start.h"
#include "router/router_internal.h"
#include "router/router_status.h"

enum {
    CONNECT_MS = 150,
    UNACKNOWLEDGED_MS = 900,
    IDLE_MS = 5000,
    REMOTE_WAY_MS = 16, /* to a neighbouring region and back, some 1,000 km of fibre each way and equipment */
    ANSWER_MAX = 16 * 1024 * 1024,
    QUEUE_MAX = 1000,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
    OWN_HEADER_BYTES = 16 * 1024,
    OWN_IDLE_S = 60,
    PEERS_UNKNOWN_S = 3,
    FILE_CHECK_MS = 500,
    STOP_LISTEN_MS = 3600, /* the entry asks each second, and twice */
    STOP_MARGIN_MS = 400,  /* before the grace is over: a busy machine's turn, and the way of the last bytes */
    STOP_ANSWERS_MS = 100  /* before that: the last answers are written */
};

cw_time_us_t cw_router_now(const cw_router_t *router)
{
    return CW_MS(uv_now(&router->loop));
}

static uint64_t new_incarnation(const char *node)
{
    struct {
        struct timespec wall;
        struct timespec steady;
        pid_t           process;
        uint64_t        node;
    } seed;
    uint64_t random = 0;
    int      file = open("/dev/urandom", O_RDONLY | O_CLOEXEC);

    memset(&seed, 0, sizeof(seed));
    clock_gettime(CLOCK_REALTIME, &seed.wall);
    clock_gettime(CLOCK_MONOTONIC, &seed.steady);
    seed.process = getpid();
    seed.node = XXH3_64bits(node, strlen(node));
    if (file >= 0) {
        if (read(file, &random, sizeof(random)) != (ssize_t)sizeof(random)) {
            random = 0;
        }
        close(file);
    }
    return XXH3_64bits(&seed, sizeof(seed)) ^ random;
}

/* ---- readiness, metrics ---- */

static bool is_ready(const cw_router_t *router)
{
    return router->stopping_at == 0 && router->configuration != NULL && router->server_view.list != NULL &&
           cw_router_tables_known(router);
}

static uint64_t resident_bytes(void)
{
    FILE         *file = fopen("/proc/self/statm", "r");
    unsigned long size = 0;
    unsigned long resident = 0;

    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%lu %lu", &size, &resident) != 2) {
        resident = 0;
    }
    fclose(file);
    return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

static void answer_metrics(cw_router_t *router, cw_http_exchange_t *exchange)
{
    cw_http_outbound_t outbound = {.status = STATUS_OK, .retry_after_s = -1};
    cw_bytes_t         text = {0};

    cw_metric_set(CW_METRIC_LOG_DROPPED, cw_event_log_dropped());
    cw_metric_set(CW_METRIC_CONNECTIONS, cw_http_listener_connections(router->callers));
    cw_metric_set(CW_METRIC_BODY_BYTES, cw_http_listener_body_bytes(router->callers));
    cw_metric_set(CW_METRIC_QUEUED, cw_engine_queued(router->engine));
    cw_metric_set(CW_METRIC_CONNECTIONS_OPENED, cw_upstream_opened(router->upstream));
    cw_metric_set(CW_METRIC_MEMORY, resident_bytes());
    cw_metric_set(CW_METRIC_CONFIGURATION_AGE_MS,
                  (uint64_t)(cw_configuration_freshness_age(&router->freshness, cw_router_now(router)) / 1000));
    cw_metric_set(CW_METRIC_PEERS, cw_peer_link_alive(router->link, router->silence, cw_router_now(router)));
    cw_metrics_append(&text);
    cw_router_traffic_metrics(router, &text);
    outbound.body = text.data;
    outbound.body_length = text.length;
    cw_http_exchange_answer(exchange, &outbound);
    cw_bytes_clear(&text);
}

static void on_own_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_router_t       *router = context;
    cw_http_outbound_t outbound = {.status = STATUS_NOT_FOUND, .retry_after_s = -1};

    if (strcmp(inbound->target, router->settings.metrics_path) == 0) {
        answer_metrics(router, exchange);
        return;
    }
    if (strcmp(inbound->target, CW_STATUS_PATH) == 0) {
        char *text = cw_router_status(router);

        outbound.status = STATUS_OK;
        outbound.body = text;
        outbound.body_length = strlen(text);
        cw_http_exchange_answer(exchange, &outbound);
        free(text);
        return;
    }
    if (strcmp(inbound->target, router->settings.readiness_path) == 0) {
        outbound.status = is_ready(router) ? STATUS_OK : STATUS_UNAVAILABLE;
        outbound.body = outbound.status == STATUS_OK ? "ready\n" : "not ready\n";
        outbound.body_length = strlen(outbound.body);
    }
    cw_http_exchange_answer(exchange, &outbound);
}

static void on_own_gone(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
}

static void on_dropped(void *context, cw_server_t *server)
{
    cw_router_t *router = context;

    cw_engine_forget_server(router->engine, server);
}

/* ---- reload ---- */

static int64_t file_state(const char *file_name)
{
    struct stat status;

    if (stat(file_name, &status) != 0) {
        return 0;
    }
    return (int64_t)status.st_mtim.tv_sec * 1000000007 + status.st_mtim.tv_nsec + status.st_size * 31 +
           (int64_t)status.st_ino;
}

static void reload(cw_router_t *router)
{
    cw_router_settings_t settings;
    cw_findings_t        findings;
    cw_event_t           event;
    bool                 good;

    cw_findings_init(&findings);
    good = cw_router_settings_read(&settings, router->file_name, &findings) == 0;
    if (good) {
        /* Identity, addresses and holds are those of the start; what may change while it runs is taken over. */
        memcpy(router->settings.seeds, settings.seeds, sizeof(settings.seeds));
        router->settings.seed_count = settings.seed_count;
        router->settings.log_level = settings.log_level;
        router->settings.stop_grace = settings.stop_grace;
        cw_event_log_set_level(settings.log_level);
        cw_router_peers_init(router);
    }
    if (cw_event_begin(&event, CW_EVENT_RELOAD)) {
        cw_event_text(&event, CW_FIELD_DETAIL, good ? "taken" : "the file has findings: nothing taken");
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)findings.count);
        cw_event_end(&event);
    }
    cw_findings_clear(&findings);
}

static void check_file(cw_router_t *router, cw_time_us_t now)
{
    int64_t state;

    if (now - router->checked_file_at < CW_MS(FILE_CHECK_MS)) {
        return;
    }
    router->checked_file_at = now;
    state = file_state(router->file_name);
    if (state != 0 && state != router->file_changed) {
        router->file_changed = state;
        reload(router);
    }
}

static void on_hang_up(uv_signal_t *signal, int number)
{
    cw_router_t *router = signal->data;

    (void)number;
    router->file_changed = file_state(router->file_name);
    reload(router);
}

/* ---- stop ---- */

static void on_terminate(uv_signal_t *signal, int number)
{
    cw_router_t *router = signal->data;
    cw_event_t   event;

    (void)number;
    if (router->stopping_at != 0) {
        return;
    }
    router->stopping_at = cw_router_now(router);
    router->all_due = true;
    if (cw_event_begin(&event, CW_EVENT_STOP)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)cw_engine_requests(router->engine));
        cw_event_end(&event);
    }
    cw_http_listener_end_connections(router->callers);
    router->stop_by = router->stopping_at + router->settings.stop_grace - CW_MS(STOP_MARGIN_MS);
    cw_engine_stop(router->engine, router->stop_by - CW_MS(STOP_ANSWERS_MS));
    cw_leadership_resign(&router->leadership, router->stopping_at);
}

static void check_stop(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since = now - router->stopping_at;
    bool         over = now >= router->stop_by;

    if (router->stopping_at == 0) {
        return;
    }
    if (since >= CW_MS(STOP_LISTEN_MS)) {
        cw_http_listener_close(router->callers);
    }
    if (over || (since >= CW_MS(STOP_LISTEN_MS) && cw_http_listener_connections(router->callers) == 0)) {
        uv_stop(&router->loop);
    }
}

/* ---- ticks ---- */

/* Nodes that take from the same servers. A process that has just started has not heard of most of them yet, and would
 * choose the same servers as all others that have just started. */
static uint32_t nodes_in_reach(const cw_router_t *router, cw_time_us_t now)
{
    if (now - router->started_at < CW_SECONDS(PEERS_UNKNOWN_S)) {
        return CW_NODES_UNKNOWN;
    }
    return cw_peer_link_alive(router->link, router->silence, now);
}

/* Nodes among which the retry budget's fixed part is shared: the most seen within a window. A process that has run for
 * less than a window knows neither them nor what its former life has spent. */
static uint32_t nodes_for_budget(cw_router_t *router, cw_time_us_t now)
{
    uint32_t alive = cw_peer_link_alive(router->link, router->settings.retry_window, now) + 1;

    if (alive >= router->nodes_most || now - router->nodes_most_at > router->settings.retry_window) {
        router->nodes_most = alive;
        router->nodes_most_at = now;
    }
    return now - router->started_at < router->settings.retry_window ? 0 : router->nodes_most;
}

static void on_tick(uv_timer_t *timer)
{
    cw_router_t *router = timer->data;
    cw_time_us_t now = cw_router_now(router);

    cw_router_lead_tick(router, now);
    cw_router_view_tick(router, now);
    cw_router_configuration_tick(router, now);
    cw_router_share_tick(router, now);
    cw_router_peers_tick(router, now);
    cw_router_zones_tick(router, now);
    cw_router_slots_tick(router, now);
    cw_router_relay_tick(router, now);
    cw_router_quota_tick(router, now);
    cw_engine_set_nodes(router->engine, nodes_for_budget(router, now), nodes_in_reach(router, now));
    check_file(router, now);
    check_stop(router, now);
    cw_event_log_flush(now);
}

/* ---- start ---- */

static cw_engine_settings_t engine_settings(const cw_router_t *router)
{
    cw_engine_settings_t settings = {
        .names = *router->adapter->header_names,
        .decode_load = router->adapter->decode_load,
        .choice = {.zone_penalty = 0.7, .extra_slots = 0},
        .crossing = {.ms_per_mb = router->settings.remote_byte_cost, .way = CW_MS(REMOTE_WAY_MS)},
        .budget = {.ratio = router->settings.retry_ratio,
                   .extra = router->settings.retry_extra,
                   .window = router->settings.retry_window,
                   .share = 0.75},
        .keyed_extra_slots = 2,
        .connect_timeout = CW_MS(CONNECT_MS),
        .silence_factor = 4,
        .margin = CW_MS(15),
        .credential_scheme = router->settings.credential_scheme,
        .answer_max = ANSWER_MAX,
        .queue_max = QUEUE_MAX};

    return settings;
}

static int start_listeners(cw_router_t *router)
{
    cw_http_limits_t           own_limits = {.header_bytes = OWN_HEADER_BYTES,
                                             .body_bytes = OWN_HEADER_BYTES,
                                             .header_timeout = CW_SECONDS(OWN_IDLE_S),
                                             .idle_timeout = CW_SECONDS(OWN_IDLE_S)};
    cw_http_listener_handler_t own = {router, on_own_request, on_own_gone};
    int                        error = cw_router_callers_start(router);

    if (error == 0) {
        error = cw_http_listener_create(&router->readiness, &router->loop, router->settings.readiness.address,
                                        router->settings.readiness.port, &own_limits, &own);
    }
    if (error == 0 && router->settings.metrics_port != 0) {
        error = cw_http_listener_create(&router->metrics, &router->loop, router->settings.address,
                                        router->settings.metrics_port, &own_limits, &own);
    }
    return error;
}

static int watch_signal(cw_router_t *router, uv_signal_t *signal, uv_signal_cb taken, int number)
{
    int error = uv_signal_init(&router->loop, signal);

    signal->data = router;
    return error != 0 ? error : uv_signal_start(signal, taken, number);
}

static int watch_signals(cw_router_t *router)
{
    int error = watch_signal(router, &router->terminate, on_terminate, SIGTERM);

    if (error == 0) {
        error = watch_signal(router, &router->interrupt, on_terminate, SIGINT);
    }
    return error != 0 ? error : watch_signal(router, &router->hang_up, on_hang_up, SIGHUP);
}

static int start(cw_router_t *router)
{
    cw_engine_settings_t  settings = engine_settings(router);
    cw_upstream_options_t upstream = {.idle_max = CW_MS(IDLE_MS), .unacknowledged = CW_MS(UNACKNOWLEDGED_MS)};
    cw_peer_handler_t     peers = {router, cw_router_datagram};
    cw_store_readers_t    readers = {.context = router,
                                     .configuration = cw_router_on_configuration,
                                     .configuration_within = router->settings.configuration_within,
                                     .configuration_newest = cw_router_on_newest,
                                     .answered = cw_router_on_answered,
                                     .zones_may_be_out = router->settings.zone_out_within > 0,
                                     .servers = cw_router_on_servers};
    cw_absence_settings_t absence;
    char                  store_address[32];
    int                   error;

    router->upstream = cw_upstream_create(&router->loop, &upstream);
    router->pool = cw_server_pool_create(router->settings.zone, on_dropped, router);
    cw_server_pool_set_node(router->pool, router->settings.node);
    cw_server_pool_set_regions(router->pool, router->settings.zone_regions, router->settings.zone_region_count);
    router->engine = cw_engine_create(&router->loop, &settings, router->pool, router->upstream);
    error = start_listeners(router);
    if (error == 0) {
        error = cw_peer_link_create(&router->link, &router->loop, router->settings.peer_bind,
                                    router->settings.peer_port, &peers);
    }
    if (error == 0) {
        error = cw_peer_link_advertise(router->link, router->settings.address);
    }
    if (error != 0) {
        return error;
    }
    cw_peer_link_set_place(router->link, router->settings.zone, router->settings.zone_regions,
                           router->settings.zone_region_count);
    router->started_at = cw_router_now(router);
    absence = cw_absence_settings_of(router->settings.heartbeat, router->settings.drain);
    cw_server_view_init(&router->server_view, &absence);
    cw_router_lead_init(router);
    cw_router_share_init(router);
    cw_router_zones_init(router);
    cw_router_slots_init(router);
    cw_router_relay_init(router);
    cw_router_quota_init(router);
    cw_router_peers_init(router);
    snprintf(store_address, sizeof(store_address), "%s:%u", router->settings.store.address,
             router->settings.store.port);
    router->platform = router->adapter->create(&router->loop, store_address, &readers);
    router->store = router->adapter->store(router->platform);
    error = watch_signals(router);
    uv_timer_init(&router->loop, &router->tick);
    router->tick.data = router;
    uv_timer_start(&router->tick, on_tick, 0, CW_TICK_MS);
    return error;
}

static void note_start(const cw_router_t *router)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_START)) {
        cw_event_text(&event, CW_FIELD_DETAIL, router->settings.zone);
        cw_event_number(&event, CW_FIELD_VERSION, (int64_t)(router->incarnation >> 1));
        cw_event_end(&event);
    }
}

int cw_router_run(const cw_router_settings_t *settings, const char *file_name, const cw_adapter_t *adapter)
{
    cw_router_t *router = calloc(1, sizeof(*router));
    cw_event_t   event;
    int          error;

    if (router == NULL) {
        return UV_ENOMEM;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    router->settings = *settings;
    router->adapter = adapter;
    snprintf(router->file_name, sizeof(router->file_name), "%s", file_name);
    router->file_changed = file_state(file_name);
    router->incarnation = new_incarnation(settings->node);
    cw_event_log_open(STDOUT_FILENO, settings->node, settings->log_level);
    error = cw_loop_start(&router->loop);
    if (error == 0) {
        error = start(router);
    }
    if (error != 0) {
        fprintf(stderr, "cedarwinch: cannot start: %s\n", uv_strerror(error));
        return error;
    }
    note_start(router);
    uv_run(&router->loop, UV_RUN_DEFAULT);
    cw_router_note_traffic(router);
    if (cw_event_begin(&event, CW_EVENT_END)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)cw_engine_requests(router->engine));
        cw_event_end(&event);
    }
    cw_event_log_flush(cw_router_now(router));
    return 0;
}
