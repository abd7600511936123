/**
 * @file router.c
 * @brief A node's process: start, signals, ticks.
 *
 * The planned stop is in router_stop.c, reloading the settings file in router_reload.c, the answers about the node
 * itself in router_admin.c.
 */
#include "router/router.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/loop_clock.h"
#include "base/loop_stall.h"
#include "router/loop_start.h"
#include "router/router_paths.h"

enum {
    CONNECT_TIMEOUT_MS = 150,
    UNACKNOWLEDGED_TIMEOUT_MS = 900,
    IDLE_CONNECTION_MS = 5000,
    REMOTE_ROUND_TRIP_MS = 16, /* to a neighbouring region: some 1,000 km of fibre each way, and equipment */
    ANSWER_BYTES_MAX = 16 * 1024 * 1024,
    QUEUED_REQUESTS_MAX = 1000,
    PEER_DISCOVERY_S = 3
};

cw_time_us_t cw_router_now(const cw_router_t *router)
{
    return cw_loop_now(&router->loop);
}

cw_time_us_t cw_router_refresh_now(cw_router_t *router)
{
    return cw_loop_refresh(&router->loop);
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

static void on_server_dropped(void *context, cw_server_t *server)
{
    cw_router_t *router = context;

    cw_engine_forget_server(router->engine, server);
    cw_order_trust_forget_contact(router->order_trust, server->hash);
}

/* ---- ticks ---- */

/* Number of nodes that send requests to the same servers. A process that has just started does not know most of them
 * yet; if it counted only those that it knows, it would choose the same servers as all others that have just started.
 */
static uint32_t nodes_sharing_servers(const cw_router_t *router, cw_time_us_t now)
{
    if (now - router->started_at < CW_SECONDS(PEER_DISCOVERY_S)) {
        return CW_NODES_UNKNOWN;
    }
    return cw_peer_link_count_alive(router->link, router->peer_timeout, now);
}

/* Number of nodes that share the fixed part of the retry budget: the most seen alive within the budget's window; 0: not
 * known. A process that has run for less than a window knows neither their number nor what its predecessor has spent.
 */
static uint32_t nodes_for_budget(cw_router_t *router, cw_time_us_t now)
{
    uint32_t alive = cw_peer_link_count_alive(router->link, router->settings.retry_window, now) + 1;

    cw_peak_nodes_record(&router->peak_nodes, alive, router->settings.retry_window, now);
    return now - router->started_at < router->settings.retry_window ? 0 : router->peak_nodes.count;
}

/* Handles time limits that passed while the machine was suspended, which the loop's timers do not take into account. */
static void check_suspension(cw_router_t *router)
{
    cw_time_us_t suspended = cw_loop_clock_take_suspension();
    cw_event_t   event;

    if (suspended == 0) {
        return;
    }
    cw_metric_add(CW_METRIC_SUSPENDED_MS, (uint64_t)(suspended / 1000));
    if (cw_event_begin(&event, CW_EVENT_SUSPENDED)) {
        cw_event_ms(&event, CW_FIELD_SUSPENDED_MS, suspended);
        cw_event_end(&event);
    }
    cw_engine_restart_timers(router->engine);
}

static void report_stall(void)
{
    cw_time_us_t stalled = cw_loop_stall_take();
    cw_event_t   event;

    if (stalled == 0) {
        return;
    }
    cw_metric_add(CW_METRIC_LOOP_STALLED_MS, (uint64_t)(stalled / 1000));
    if (cw_event_begin(&event, CW_EVENT_LOOP_STALLED)) {
        cw_event_ms(&event, CW_FIELD_STALLED_MS, stalled);
        cw_event_end(&event);
    }
}

static void on_tick(uv_timer_t *timer)
{
    cw_router_t *router = timer->data;
    cw_time_us_t now = cw_router_refresh_now(router);

    check_suspension(router);
    if (cw_loop_stall_skips_tick()) { /* the other nodes seem silent although their datagrams have arrived */
        return;
    }
    report_stall();
    cw_router_paths_tick(router, now);
    cw_router_lead_tick(router, now);
    cw_router_view_tick(router, now);
    cw_router_configuration_tick(router, now);
    cw_router_share_tick(router, now);
    cw_router_peers_tick(router, now);
    cw_router_zones_tick(router, now);
    cw_router_slots_tick(router, now);
    cw_router_relay_tick(router, now);
    cw_router_forward_tick(router, now);
    cw_router_list_exchange_tick(router, now);
    cw_router_detours_tick(router, now);
    cw_router_quota_tick(router, now);
    cw_router_crashes_tick(router, now);
    cw_router_signals_tick(router, now);
    cw_engine_set_nodes(router->engine, nodes_for_budget(router, now), nodes_sharing_servers(router, now));
    cw_router_store_calls_tick(now);
    cw_router_check_file(router, now);
    cw_router_check_stop(router, now);
    cw_event_log_flush(now);
}

/* ---- start ---- */

/* The largest answer: at most half of the memory for all of them. */
static size_t answer_max(const cw_router_t *router)
{
    size_t most = router->settings.answer_bytes_most / 2;

    return most < ANSWER_BYTES_MAX ? most : ANSWER_BYTES_MAX;
}

static cw_engine_settings_t engine_settings(const cw_router_t *router)
{
    cw_engine_settings_t settings = {
        .names = *router->adapter->header_names,
        .decode_signals = router->adapter->decode_signals,
        .choice = {.zone_penalty = 0.7, .extra_slots = 0},
        .crossing = {.ms_per_mb = router->settings.remote_byte_cost, .round_trip = CW_MS(REMOTE_ROUND_TRIP_MS)},
        .budget = {.ratio = router->settings.retry_ratio,
                   .extra = router->settings.retry_extra,
                   .window = router->settings.retry_window,
                   .share = 0.75},
        .keyed_extra_slots = 2,
        .leave_grace = router->settings.drain / 2,
        .list_usable = cw_list_usable_age(router->settings.drain),
        .connect_timeout = CW_MS(CONNECT_TIMEOUT_MS),
        .repeat_factor = 4,
        .margin = CW_MS(15),
        .credential_scheme = router->settings.credential_scheme,
        .answer_max = answer_max(router),
        .queue_max = QUEUED_REQUESTS_MAX};

    return settings;
}

static void on_terminate(uv_signal_t *signal, int number)
{
    (void)number;
    cw_router_stop(signal->data);
}

static void on_hang_up(uv_signal_t *signal, int number)
{
    (void)number;
    cw_router_reload(signal->data);
}

static int watch_signal(cw_router_t *router, uv_signal_t *signal, uv_signal_cb callback, int number)
{
    int error = uv_signal_init(&router->loop, signal);

    signal->data = router;
    return error != 0 ? error : uv_signal_start(signal, callback, number);
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
    cw_upstream_options_t upstream = {.idle_max = CW_MS(IDLE_CONNECTION_MS),
                                      .unacknowledged = CW_MS(UNACKNOWLEDGED_TIMEOUT_MS),
                                      .memory = &router->answer_memory};
    cw_peer_handler_t     peers = {router, cw_router_on_datagram};
    cw_store_callbacks_t  readers = {.context = router,
                                     .configuration = cw_router_on_configuration,
                                     .configuration_within = router->settings.configuration_within,
                                     .configuration_newest = cw_router_on_configuration_evidence,
                                     .epoch = cw_router_on_store_epoch,
                                     .answered = cw_router_on_answered,
                                     .zones_can_be_taken_out = router->settings.zone_out_within > 0,
                                     .servers = cw_router_on_servers};
    cw_absence_settings_t absence;
    char                  store_address[32];
    int                   error;

    router->answer_memory.budget.limit_bytes = router->settings.answer_bytes_most;
    router->upstream = cw_upstream_create(&router->loop, &upstream);
    router->pool = cw_server_pool_create(router->settings.zone, on_server_dropped, router);
    cw_server_pool_set_node(router->pool, router->settings.node);
    cw_server_pool_set_regions(router->pool, router->settings.zone_regions, router->settings.zone_region_count);
    router->engine = cw_engine_create(&router->loop, &settings, router->pool, router->upstream);
    error = cw_router_callers_start(router);
    if (error == 0) {
        error = cw_router_admin_start(router);
    }
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
    cw_peer_link_set_zone(router->link, router->settings.zone, router->settings.zone_regions,
                          router->settings.zone_region_count);
    router->started_at = cw_router_now(router);
    cw_fleet_size_init(&router->fleet_size, router->settings.retry_window, router->started_at);
    absence = cw_absence_settings_of(router->settings.heartbeat, router->settings.drain);
    cw_server_view_init(&router->server_view, &absence);
    cw_engine_set_list_evidence(router->engine, &router->server_view.evidence);
    router->list_is_usable = true;
    cw_router_lead_init(router);
    cw_router_share_init(router);
    cw_router_zones_init(router);
    cw_router_detours_init(router);
    cw_router_slots_init(router);
    cw_router_push_init(router);
    cw_router_forward_init(router);
    router->view_updates = cw_view_updates_create();
    cw_router_relay_init(router);
    cw_router_list_exchange_init(router);
    cw_router_quota_init(router);
    cw_router_crashes_init(router);
    cw_router_paths_init(router);
    cw_router_signals_init(router);
    cw_router_peers_init(router);
    snprintf(store_address, sizeof(store_address), "%s:%u", router->settings.store.address,
             router->settings.store.port);
    router->platform = router->adapter->create(&router->loop, store_address, &readers);
    router->store = router->adapter->store(router->platform);
    error = cw_router_delegation_start(router);
    if (error == 0) {
        error = watch_signals(router);
    }
    uv_timer_init(&router->loop, &router->tick);
    router->tick.data = router;
    uv_timer_start(&router->tick, on_tick, 0, CW_TICK_MS);
    return error;
}

static void log_start(const cw_router_t *router)
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
    cw_settings_file_init(&router->settings_file, file_name);
    router->incarnation = new_incarnation(settings->node);
    cw_event_log_open(STDOUT_FILENO, settings->node, settings->log_level);
    error = cw_loop_start(&router->loop);
    if (error == 0) {
        error = cw_loop_clock_begin(&router->loop, NULL, NULL);
    }
    if (error == 0) {
        error = cw_loop_stall_begin(&router->loop);
    }
    if (error == 0) {
        error = start(router);
    }
    if (error != 0) {
        fprintf(stderr, "cedarwinch: cannot start: %s\n", uv_strerror(error));
        return error;
    }
    log_start(router);
    uv_run(&router->loop, UV_RUN_DEFAULT);
    cw_router_log_traffic(router);
    if (cw_event_begin(&event, CW_EVENT_END)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)cw_engine_requests(router->engine));
        cw_event_end(&event);
    }
    cw_event_log_flush(cw_router_now(router));
    return 0;
}
