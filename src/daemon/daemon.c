/**
 * @file daemon.c
 * @brief Wires a node to its adapters on a libuv loop.
 *
 * Every callback of an adapter becomes one call of the node with the time of that moment. The node's next tick is
 * armed as a timer before each wait of the loop. SIGTERM and SIGINT begin a planned stop: the node hands over its
 * roles, what is in flight ends, then the loop ends.
 */
#include "daemon/daemon.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <uv.h>

#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "cedarwinch/log.h"
#include "cedarwinch/node.h"
#include "cedarwinch/version.h"

enum {
    STOP_LIMIT_US = 30 * CW_US_PER_S, /* a planned stop gives up handing over after this */
    STOP_POLL_MS = 20,
    LINGER_US = 1000 * CW_US_PER_MS,    /* what callers have sent meanwhile is still refused with an answer */
    LINGER_MAX_US = 2000 * CW_US_PER_MS /* answers still being written */
};

typedef struct cw_daemon {
    const cw_settings_t *settings;
    uv_loop_t            loop;
    uv_timer_t           tick_timer;
    uv_prepare_t         prepare;
    uv_signal_t          terminate_signal;
    uv_signal_t          interrupt_signal;
    uv_timer_t           stop_timer;
    uv_check_t           after_poll; /* active while the HTTP server is to be stopped */
    cw_peer_transport_t *peers;
    cw_http_server_t    *http;
    cw_backend_t        *backend;
    cw_platform_t       *platform;
    cw_node_t           *node;
    Cw__NodeInfo         self;
    Cw__NodeInfo        *seed_info;
    const Cw__NodeInfo **seeds;
    bool                 watching;
    cw_time_us_t         stop_began;  /* 0: not stopping */
    cw_time_us_t         handed_over; /* 0: not yet */
} cw_daemon_t;

static cw_instant_t read_clocks(void)
{
    cw_instant_t    now;
    struct timespec wall;

    clock_gettime(CLOCK_REALTIME, &wall);
    now.monotonic_us = (cw_time_us_t)(uv_hrtime() / 1000);
    now.wall_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
    return now;
}

/* ---- ports of the node ---- */

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_daemon_t *daemon = context;

    cw_peer_transport_send(daemon->peers, to, envelope);
}

static void port_learn_node(void *context, const Cw__NodeInfo *node)
{
    cw_daemon_t *daemon = context;

    cw_peer_transport_learn(daemon->peers, node->id, node->address, (uint16_t)node->peer_port);
}

static void port_store(void *context, const cw_store_request_t *request)
{
    cw_daemon_t *daemon = context;

    cw_platform_store(daemon->platform, request);
}

static void port_server_call(void *context, const cw_server_call_t *call)
{
    cw_daemon_t *daemon = context;

    cw_backend_call(daemon->backend, call);
}

static void port_server_request(void *context, const cw_server_request_t *request)
{
    cw_daemon_t *daemon = context;

    cw_backend_request(daemon->backend, request);
}

static void port_server_cancel(void *context, uint64_t request_id)
{
    cw_daemon_t *daemon = context;

    cw_backend_cancel(daemon->backend, request_id);
}

static void port_respond(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    cw_daemon_t *daemon = context;

    cw_http_server_respond(daemon->http, caller_id, response);
}

static void port_operator_respond(void *context, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    cw_daemon_t *daemon = context;

    cw_http_server_operator_respond(daemon->http, caller_id, response);
}

/* ---- events from the adapters ---- */

static void on_peer_received(void *context, const Cw__Envelope *envelope)
{
    cw_daemon_t *daemon = context;

    cw_node_receive(daemon->node, envelope, read_clocks());
}

static void on_peer_lost(void *context, cw_node_id_t node)
{
    cw_daemon_t *daemon = context;

    cw_node_peer_lost(daemon->node, node, read_clocks());
}

static void on_caller_request(void *context, const cw_caller_request_t *request)
{
    cw_daemon_t *daemon = context;

    cw_node_caller_request(daemon->node, request, read_clocks());
}

static void on_caller_cancel(void *context, uint64_t caller_id)
{
    cw_daemon_t *daemon = context;

    cw_node_caller_cancel(daemon->node, caller_id, read_clocks());
}

static void on_operator_request(void *context, uint64_t caller_id, const char *operation, const char *token,
                                const char *file_name, const char *argument)
{
    cw_daemon_t *daemon = context;

    cw_node_operator_request(daemon->node, caller_id, operation, token, file_name, argument, read_clocks());
}

static bool on_ready(void *context)
{
    cw_daemon_t *daemon = context;

    return cw_node_ready(daemon->node, read_clocks());
}

static char *on_metrics(void *context)
{
    cw_daemon_t *daemon = context;

    return cw_node_metrics(daemon->node, read_clocks());
}

static void on_call_completed(void *context, const cw_server_completion_t *completion)
{
    cw_daemon_t *daemon = context;

    cw_node_server_completed(daemon->node, completion, read_clocks());
}

static void on_server_responded(void *context, const cw_server_response_t *response)
{
    cw_daemon_t *daemon = context;

    cw_node_server_responded(daemon->node, response, read_clocks());
}

static void on_store_completed(void *context, const cw_store_completion_t *completion)
{
    cw_daemon_t *daemon = context;

    cw_node_store_completed(daemon->node, completion, read_clocks());
}

static void on_object_changed(void *context, const char *name, uint64_t version)
{
    cw_daemon_t *daemon = context;

    cw_node_object_changed(daemon->node, name, version, read_clocks());
}

static void on_machine_listed(void *context, const char *name, const char *state)
{
    cw_daemon_t *daemon = context;

    cw_node_machine_listed(daemon->node, name, state, read_clocks());
}

/* ---- loop ---- */

static void on_tick(uv_timer_t *timer)
{
    cw_daemon_t *daemon = timer->data;

    cw_node_tick(daemon->node, read_clocks());
}

static void update_watch(cw_daemon_t *daemon)
{
    bool wanted = cw_node_should_watch_store(daemon->node);

    if (wanted != daemon->watching) {
        daemon->watching = wanted;
        cw_platform_watch(daemon->platform, wanted);
    }
}

/* Before the loop waits: arm the timer for the node's next tick. */
static void on_prepare(uv_prepare_t *prepare)
{
    cw_daemon_t *daemon = prepare->data;
    cw_time_us_t left = cw_node_next_tick(daemon->node) - read_clocks().monotonic_us;
    uint64_t     milliseconds = left <= 0 ? 0 : (uint64_t)((left + CW_US_PER_MS - 1) / CW_US_PER_MS);

    update_watch(daemon);
    uv_timer_start(&daemon->tick_timer, on_tick, milliseconds, 0);
}

/* Has the node handed over its roles, or is the time for that over? */
static bool check_handed_over(cw_daemon_t *daemon, cw_instant_t now)
{
    bool done;

    if (daemon->handed_over != 0) {
        return true;
    }
    done = cw_node_stop(daemon->node, now);
    if (!done && now.monotonic_us - daemon->stop_began <= STOP_LIMIT_US) {
        return false;
    }
    if (!done) {
        cw_log(CW_LOG_WARNING, "daemon", "stopping without a whole hand-over", "waited_ms=%" PRId64,
               (now.monotonic_us - daemon->stop_began) / CW_US_PER_MS);
    }
    cw_http_server_close_listener(daemon->http);
    daemon->handed_over = now.monotonic_us;
    return true;
}

/* Steps of a planned stop: roles are handed over while answers end callers' connections; then no new connections, but
 * what callers have sent is still answered; then the connections left are closed. */
/* Runs right after the loop has read and accepted all there was: what a caller has sent by then is answered, and only a
 * request that arrives within these microseconds can meet a connection that is being closed. */
static void on_after_poll(uv_check_t *check)
{
    cw_daemon_t *daemon = check->data;

    cw_http_server_stop(daemon->http);
    uv_check_stop(check);
}

static void on_stop_poll(uv_timer_t *timer)
{
    cw_daemon_t *daemon = timer->data;
    cw_instant_t now = read_clocks();
    cw_time_us_t lingered;

    if (!check_handed_over(daemon, now)) {
        return;
    }
    lingered = now.monotonic_us - daemon->handed_over;
    if (lingered < LINGER_US) {
        return;
    }
    uv_check_start(&daemon->after_poll, on_after_poll);
    if (cw_http_server_open_connections(daemon->http) == 0 || lingered >= LINGER_MAX_US) {
        uv_stop(&daemon->loop);
    }
}

static void on_stop_signal(uv_signal_t *signal, int number)
{
    cw_daemon_t *daemon = signal->data;

    if (daemon->stop_began != 0) {
        return;
    }
    cw_log(CW_LOG_NOTICE, "daemon", "planned stop begins", "signal=%d", number);
    daemon->stop_began = read_clocks().monotonic_us;
    cw_http_server_end_connections(daemon->http);
    uv_timer_start(&daemon->stop_timer, on_stop_poll, 0, STOP_POLL_MS);
}

/* ---- start ---- */

static int create_adapters(cw_daemon_t *daemon)
{
    const cw_settings_t       *settings = daemon->settings;
    cw_peer_callbacks_t        peers = {daemon, on_peer_received, on_peer_lost};
    cw_http_server_callbacks_t http = {daemon,   on_caller_request, on_caller_cancel, on_operator_request,
                                       on_ready, on_metrics};
    cw_backend_callbacks_t     backend = {daemon, on_call_completed, on_server_responded};
    cw_platform_callbacks_t    platform = {daemon, on_store_completed, on_object_changed, on_machine_listed};
    int                        error;

    error = cw_peer_transport_create(&daemon->peers, &daemon->loop, settings->address, settings->peer_port, &peers);
    if (error != CW_OK) {
        cw_log(CW_LOG_ERROR, "daemon", "cannot listen for peers", "address=%s port=%u error=\"%s\"", settings->address,
               settings->peer_port, cw_error_text(error));
        return error;
    }
    error = cw_http_server_create(&daemon->http, &daemon->loop, settings->address, settings->http_port, &http);
    if (error != CW_OK) {
        cw_log(CW_LOG_ERROR, "daemon", "cannot listen for HTTP", "address=%s port=%u error=\"%s\"", settings->address,
               settings->http_port, cw_error_text(error));
        return error;
    }
    error = cw_backend_create(&daemon->backend, &daemon->loop, &backend);
    if (error != CW_OK) {
        return error;
    }
    return cw_platform_create(&daemon->platform, &daemon->loop, settings->store_address, settings->store_port,
                              &platform);
}

static uint64_t random_number(void)
{
    uint64_t number = 0;

    while (number == 0) {
        if (getrandom(&number, sizeof(number), 0) != (ssize_t)sizeof(number)) {
            number = uv_hrtime() ^ ((uint64_t)uv_os_getpid() << 32);
        }
    }
    return number;
}

static void describe_self(cw_daemon_t *daemon)
{
    const cw_settings_t *settings = daemon->settings;
    Cw__NodeInfo        *self = &daemon->self;

    cw__node_info__init(self);
    self->id = settings->node_id;
    self->incarnation = random_number();
    self->zone = settings->zone;
    self->region = settings->region != NULL ? settings->region : "";
    self->address = settings->address;
    self->peer_port = cw_peer_transport_port(daemon->peers);
    self->http_port = cw_http_server_port(daemon->http);
    self->state = CW__NODE_STATE__NODE_UP;
}

static int describe_seeds(cw_daemon_t *daemon)
{
    const cw_settings_t *settings = daemon->settings;
    size_t               position;

    daemon->seed_info = calloc(settings->seed_count, sizeof(*daemon->seed_info));
    daemon->seeds = calloc(settings->seed_count, sizeof(void *));
    if (daemon->seed_info == NULL || daemon->seeds == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < settings->seed_count; position++) {
        cw__node_info__init(&daemon->seed_info[position]);
        daemon->seed_info[position].id = settings->seeds[position].id;
        daemon->seed_info[position].address = settings->seeds[position].address;
        daemon->seed_info[position].peer_port = settings->seeds[position].peer_port;
        daemon->seed_info[position].zone = settings->seeds[position].zone;
        daemon->seeds[position] = &daemon->seed_info[position];
        if (settings->seeds[position].id != settings->node_id) {
            cw_peer_transport_learn(daemon->peers, settings->seeds[position].id, settings->seeds[position].address,
                                    settings->seeds[position].peer_port);
        }
    }
    return CW_OK;
}

static bool is_candidate(const cw_settings_t *settings)
{
    size_t position;

    for (position = 0; position < settings->seed_count && position < settings->control_size; position++) {
        if (settings->seeds[position].id == settings->node_id) {
            return true;
        }
    }
    return false;
}

static int create_node(cw_daemon_t *daemon)
{
    const cw_settings_t *settings = daemon->settings;
    cw_node_options_t    options;
    cw_ports_t           ports = {.context = daemon,
                                  .send = port_send,
                                  .learn_node = port_learn_node,
                                  .store = port_store,
                                  .server_call = port_server_call,
                                  .server_request = port_server_request,
                                  .server_cancel = port_server_cancel,
                                  .respond = port_respond,
                                  .operator_respond = port_operator_respond};

    cw_node_options_default(&options);
    options.self = &daemon->self;
    options.seeds = daemon->seeds;
    options.seed_count = settings->seed_count;
    options.bootstrap = is_candidate(settings);
    options.control_size = settings->control_size;
    options.seed = random_number();
    options.heartbeat_us = (cw_time_us_t)settings->heartbeat_ms * CW_US_PER_MS;
    options.node_silence_us = (cw_time_us_t)settings->node_silence_ms * CW_US_PER_MS;
    options.out_of_touch_us = (cw_time_us_t)settings->out_of_touch_ms * CW_US_PER_MS;
    options.clock_drift_ppm = settings->clock_drift_ppm;
    options.clock_skew_ms = settings->clock_skew_ms;
    options.journal_window_ms = (int64_t)settings->journal_window_s * 1000;
    options.retry_budget_percent = settings->retry_budget_percent;
    options.request_limit = settings->request_limit;
    options.journal_everything = settings->journal_everything;
    options.unfinished_first = settings->unfinished_first;
    options.administrator_token_sha256 = (const uint8_t(*)[CW_TOKEN_DIGEST_BYTES])settings->administrator_token_sha256;
    options.administrator_token_count = settings->administrator_token_count;
    return cw_node_create(&daemon->node, &options, &ports, read_clocks());
}

static void start_handles(cw_daemon_t *daemon)
{
    uv_timer_init(&daemon->loop, &daemon->tick_timer);
    uv_timer_init(&daemon->loop, &daemon->stop_timer);
    uv_check_init(&daemon->loop, &daemon->after_poll);
    uv_prepare_init(&daemon->loop, &daemon->prepare);
    uv_signal_init(&daemon->loop, &daemon->terminate_signal);
    uv_signal_init(&daemon->loop, &daemon->interrupt_signal);
    daemon->tick_timer.data = daemon;
    daemon->stop_timer.data = daemon;
    daemon->after_poll.data = daemon;
    daemon->prepare.data = daemon;
    daemon->terminate_signal.data = daemon;
    daemon->interrupt_signal.data = daemon;
    uv_prepare_start(&daemon->prepare, on_prepare);
    uv_signal_start(&daemon->terminate_signal, on_stop_signal, SIGTERM);
    uv_signal_start(&daemon->interrupt_signal, on_stop_signal, SIGINT);
}

static int start(cw_daemon_t *daemon)
{
    int error;

    error = create_adapters(daemon);
    if (error != CW_OK) {
        return error;
    }
    describe_self(daemon);
    error = describe_seeds(daemon);
    if (error != CW_OK) {
        return error;
    }
    error = create_node(daemon);
    if (error != CW_OK) {
        return error;
    }
    start_handles(daemon);
    cw_log(CW_LOG_NOTICE, "daemon", "started",
           "version=%s incarnation=%016" PRIx64 " zone=%s address=%s peer_port=%u http_port=%u", CW_VERSION,
           daemon->self.incarnation, daemon->self.zone, daemon->self.address, daemon->self.peer_port,
           daemon->self.http_port);
    return CW_OK;
}

/* The process ends right after: handles that are still open are left to the system. */
static void release(cw_daemon_t *daemon)
{
    cw_node_free(daemon->node);
    free(daemon->seeds);
    free(daemon->seed_info);
}

int cw_daemon_run(const cw_settings_t *settings)
{
    cw_daemon_t daemon;
    int         error;

    memset(&daemon, 0, sizeof(daemon));
    daemon.settings = settings;
    signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&daemon.loop);
    error = start(&daemon);
    if (error == CW_OK) {
        uv_run(&daemon.loop, UV_RUN_DEFAULT);
        cw_log(CW_LOG_NOTICE, "daemon", "stopped", "incarnation=%016" PRIx64, daemon.self.incarnation);
    }
    release(&daemon);
    return error;
}
