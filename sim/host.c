/**
 * @file host.c
 * @brief Simulated nodes: start, stop, kill, ticks and the ports that cw_node_t is given.
 */
#include <stdio.h>
#include <string.h>

#include "cedarwinch/token_digest.h"
#include "world.h"

enum {
    ZONES = 3,
    FIRST_PORT = 7000,
    TICK_MIN_US = 200,
    STOP_POLL_US = 50 * CW_US_PER_MS,
    STOP_PATIENCE_US = 15 * CW_US_PER_S,
    LOST_NOTICE_MAX_US = 5 * CW_US_PER_MS
};

static const char *const zones[ZONES] = {"zone-a", "zone-b", "zone-c"};

cw_instant_t sim_host_now(const sim_host_t *host)
{
    cw_instant_t now;

    now.monotonic_us = sim_process_clock(host->world, &host->process);
    now.wall_ms =
        (int64_t)SIM_TRUE_WALL_MS * CW_US_PER_MS + host->world->now / CW_US_PER_MS + host->process.wall_skew_ms;
    return now;
}

/* ---- ports ---- */

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    sim_network_send(context, to, envelope);
}

static void port_learn_node(void *context, const Cw__NodeInfo *node)
{
    sim_host_t *host = context;

    if (node->id > 0 && node->id <= host->world->host_count) {
        host->learned[node->id - 1] = true;
    }
}

static void port_store(void *context, const cw_store_request_t *request)
{
    sim_platform_request(context, request);
}

static void port_server_call(void *context, const cw_server_call_t *call)
{
    sim_exchange_call(context, call);
}

static void port_server_request(void *context, const cw_server_request_t *request)
{
    sim_exchange_request(context, request);
}

static void port_server_cancel(void *context, uint64_t request_id)
{
    sim_exchange_cancel(context, request_id);
}

static void port_respond(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    sim_callers_respond(context, caller_id, response);
}

static void port_operator_respond(void *context, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    sim_operators_respond(context, caller_id, response);
}

/* ---- life ---- */

void sim_host_init(sim_world_t *world, size_t index)
{
    sim_host_t *host = &world->hosts[index];

    host->world = world;
    host->process.endpoint = index;
    cw__node_info__init(&host->info);
    snprintf(host->address, sizeof(host->address), "127.1.0.%zu", index + 1);
    host->info.id = (uint32_t)index + 1;
    host->info.address = host->address;
    host->info.peer_port = FIRST_PORT;
    host->info.http_port = FIRST_PORT + 1;
    host->info.zone = (char *)zones[index % ZONES];
    host->info.region = "region";
    host->info.state = CW__NODE_STATE__NODE_UP;
    world->seed_infos[index] = host->info;
    world->seeds[index] = &world->seed_infos[index];
    cw_token_digest("administrator", world->administrator_digest[0]);
}

static void create_node(sim_host_t *host)
{
    sim_world_t      *world = host->world;
    cw_node_options_t options;
    cw_ports_t        ports = {host,
                               port_send,
                               port_learn_node,
                               port_store,
                               port_server_call,
                               port_server_request,
                               port_server_cancel,
                               port_respond,
                               port_operator_respond};
    size_t            index;

    for (index = 0; index < world->host_count; index++) {
        host->learned[index] = true;
    }
    cw_node_options_default(&options);
    options.self = &host->info;
    options.seeds = world->seeds;
    options.seed_count = world->host_count;
    options.bootstrap = host->process.endpoint < options.control_size;
    options.seed = cw_random_next(&world->random);
    options.clock_drift_ppm = SIM_DRIFT_PPM;
    options.clock_skew_ms = SIM_WALL_SKEW_MS;
    options.administrator_token_sha256 = world->administrator_digest;
    options.administrator_token_count = 1;
    if (cw_node_create(&host->node, &options, &ports, sim_host_now(host)) != CW_OK) {
        sim_violation(world, "node %u cannot be created", host->info.id);
    }
}

static void run_tick(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->process->endpoint];

    cw_node_tick(host->node, sim_host_now(host));
    sim_host_settled(host);
}

void sim_host_start(sim_host_t *host)
{
    sim_world_t *world = host->world;

    sim_process_start(world, &host->process);
    host->info.incarnation = ((uint64_t)host->info.id << 32) + host->process.life;
    host->stopping = false;
    host->watching = false;
    host->was_ready_leader = false;
    host->seen_route_version = UINT64_MAX;
    host->seen_state_version = UINT64_MAX;
    host->last_pause_end = 0;
    memset(&host->seen, 0, sizeof(host->seen));
    create_node(host);
    host->tick = sim_schedule(world, "tick", world->now, run_tick, &host->process, host->process.life);
    host->tick->kept = true;
    sim_platform_machine(world, host->process.endpoint, "live");
    sim_trace(world, "node %u started, life %lu", host->info.id, (unsigned long)host->process.life);
}

static void tell_lost(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->process->endpoint];

    cw_node_peer_lost(host->node, (cw_node_id_t)event->numbers[0], sim_host_now(host));
    sim_host_settled(host);
}

void sim_host_connection_reset(sim_host_t *host, size_t peer)
{
    sim_world_t *world = host->world;
    sim_event_t *event;

    if (!host->process.running || peer == host->process.endpoint) {
        return;
    }
    event = sim_schedule(world, "peer lost", world->now + sim_between(world, 0, LOST_NOTICE_MAX_US), tell_lost,
                         &host->process, host->process.life);
    event->numbers[0] = peer + 1;
}

/* A process that ends resets its connections; the others are told, unless the link is cut. */
static void tell_peers(sim_host_t *host)
{
    sim_world_t *world = host->world;
    size_t       index;

    for (index = 0; index < world->host_count; index++) {
        if (!sim_link_is_cut(world, host->process.endpoint, index) && !sim_link_loses(world)) {
            sim_host_connection_reset(&world->hosts[index], host->process.endpoint);
        }
    }
}

void sim_host_kill(sim_host_t *host)
{
    sim_world_t *world = host->world;

    if (!host->process.running) {
        return;
    }
    sim_trace(world, "node %u ended", host->info.id);
    host->process.running = false;
    cw_timer_heap_cancel(&world->events, &host->tick->timer);
    sim_event_free(host->tick);
    host->tick = NULL;
    cw_node_free(host->node);
    host->node = NULL;
    sim_exchanges_clear(host);
    sim_platform_machine(world, host->process.endpoint, "gone");
    tell_peers(host);
}

static void restart(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->numbers[0]];

    if (!host->process.running) {
        sim_host_start(host);
    }
}

static void poll_stop(sim_world_t *world, sim_event_t *event)
{
    sim_host_t  *host = &world->hosts[event->process->endpoint];
    bool         done = cw_node_stop(host->node, sim_host_now(host));
    sim_event_t *next;

    sim_host_settled(host);
    if (!done && world->now < (cw_time_us_t)event->numbers[0]) {
        next = sim_schedule(world, "stop", world->now + STOP_POLL_US, poll_stop, &host->process, host->process.life);
        next->numbers[0] = event->numbers[0];
        next->numbers[1] = event->numbers[1];
        return;
    }
    world->result->stops_cut += !done;
    sim_trace(world, "node %u stopped, %s", host->info.id, done ? "done" : "out of patience");
    next = sim_schedule(world, "restart", world->now + (cw_time_us_t)event->numbers[1], restart, NULL, 0);
    next->numbers[0] = host->process.endpoint;
    sim_host_kill(host);
}

void sim_host_stop(sim_host_t *host, cw_time_us_t restart_us)
{
    sim_world_t *world = host->world;
    sim_event_t *event;

    if (!host->process.running || host->stopping) {
        return;
    }
    host->stopping = true;
    sim_platform_machine(world, host->process.endpoint, "leaving");
    event = sim_schedule(world, "stop", world->now, poll_stop, &host->process, host->process.life);
    event->numbers[0] = (uint64_t)(world->now + STOP_PATIENCE_US);
    event->numbers[1] = (uint64_t)restart_us;
}

void sim_host_settled(sim_host_t *host)
{
    sim_world_t *world = host->world;
    int64_t      next = cw_node_next_tick(host->node);
    cw_time_us_t due = world->now + CW_US_PER_S;

    if (next != 0 && next < sim_process_clock_at(&host->process, due)) {
        due = sim_process_true_time(&host->process, next);
    }
    if (due < world->now + TICK_MIN_US) {
        due = world->now + TICK_MIN_US;
    }
    (void)cw_timer_heap_set(&world->events, &host->tick->timer, due);
    if (host->watching != cw_node_should_watch_store(host->node)) {
        host->watching = !host->watching;
        sim_platform_watch(host);
    }
    sim_checks_host(host);
}
