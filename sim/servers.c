/**
 * @file servers.c
 * @brief Simulated back-end servers: start, kill, drain, service times.
 */
#include <stdio.h>

#include "world.h"

enum {
    FIRST_PORT = 9000,
    SLOTS = 2,
    SERVICE_MIN_US = 2000,
    SERVICE_MAX_US = 20000,
    SLOW_PER_THOUSAND = 20,
    SLOW_MAX_US = 600000, /**< longer than some callers wait */
    COLD_US = 40000,
    LEAVE_POLL_US = 50 * CW_US_PER_MS,
    LEAVING_WORK_US = 4 * CW_US_PER_S,
    LEAVE_PATIENCE_US = 10 * CW_US_PER_S
};

static void on_answer(void *context, const model_job_t *job, cw_server_result_t result, const char *reason)
{
    sim_exchange_answer(context, job, result, reason);
}

static void on_effect(void *context, const model_job_t *job)
{
    sim_checks_effect(context, job);
}

static void finish(sim_world_t *world, sim_event_t *event)
{
    sim_server_t *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];

    model_server_finish(server->model, event->numbers[0], sim_process_clock(world, &server->process));
    sim_server_settled(server);
}

static void on_serve(void *context, const model_job_t *job, bool cold)
{
    sim_server_t *server = context;
    sim_world_t  *world = server->world;
    cw_time_us_t  service_us = sim_between(world, SERVICE_MIN_US, SERVICE_MAX_US) + (cold ? COLD_US : 0);
    sim_event_t  *event;

    if (server->leaving && world->now > server->leaving_since + LEAVING_WORK_US) {
        world->result->work_while_leaving++;
    }
    if (sim_chance(world, SLOW_PER_THOUSAND)) {
        service_us += sim_between(world, 0, SLOW_MAX_US);
    }
    event = sim_schedule(world, "served", world->now + service_us, finish, &server->process, server->process.life);
    event->numbers[0] = job->serial;
}

static void on_released(void *context, uint64_t serial)
{
    sim_exchange_revocation_done(context, serial);
}

static void init_server(sim_world_t *world, size_t service, size_t position)
{
    sim_server_t *server = &world->servers[world->server_count];

    server->world = world;
    server->process.endpoint = SIM_NODES_MAX + world->server_count;
    server->tenant = sim_services[service].tenant;
    server->service = service;
    server->port = (uint32_t)(FIRST_PORT + world->server_count);
    snprintf(server->name, sizeof(server->name), "%s-%zu", sim_services[service].name, position + 1);
    snprintf(server->address, sizeof(server->address), "127.2.0.%zu", world->server_count + 1);
    world->server_count++;
    sim_server_start(server);
}

void sim_servers_init(sim_world_t *world)
{
    size_t service;
    size_t position;

    for (service = 0; service < SIM_SERVICES; service++) {
        for (position = 0; position < sim_services[service].servers; position++) {
            init_server(world, service, position);
        }
    }
}

void sim_server_start(sim_server_t *server)
{
    model_server_callbacks_t callbacks = {server, on_answer, on_effect, on_serve, on_released};
    model_server_options_t   options = {.slots = SLOTS};

    sim_process_start(server->world, &server->process);
    server->leaving = false;
    options.incarnation = ((uint64_t)server->process.endpoint << 32) + server->process.life;
    server->model = model_server_create(&options, &callbacks);
    sim_platform_machine(server->world, server->process.endpoint, "live");
    sim_trace(server->world, "server %s started, life %lu", server->name, (unsigned long)server->process.life);
}

void sim_server_kill(sim_server_t *server)
{
    if (!server->process.running) {
        return;
    }
    sim_trace(server->world, "server %s ended", server->name);
    server->process.running = false;
    sim_exchanges_break(server);
    model_server_free(server->model);
    server->model = NULL;
    sim_platform_machine(server->world, server->process.endpoint, "gone");
}

static void restart(sim_world_t *world, sim_event_t *event)
{
    sim_server_t *server = &world->servers[event->numbers[0]];

    if (!server->process.running) {
        sim_server_start(server);
    }
}

static void poll_leave(sim_world_t *world, sim_event_t *event)
{
    sim_server_t *server = &world->servers[event->process->endpoint - SIM_NODES_MAX];
    sim_event_t  *next;

    model_server_expire(server->model, sim_process_clock(world, &server->process));
    if (!model_server_idle(server->model) && world->now < (cw_time_us_t)event->numbers[0]) {
        next = sim_schedule(world, "leave", world->now + LEAVE_POLL_US, poll_leave, &server->process,
                            server->process.life);
        next->numbers[0] = event->numbers[0];
        next->numbers[1] = event->numbers[1];
        return;
    }
    next = sim_schedule(world, "restart", world->now + (cw_time_us_t)event->numbers[1], restart, NULL, 0);
    next->numbers[0] = server->process.endpoint - SIM_NODES_MAX;
    sim_server_kill(server);
}

void sim_server_leave(sim_server_t *server, cw_time_us_t restart_us)
{
    sim_world_t *world = server->world;
    sim_event_t *event;

    if (!server->process.running || server->leaving) {
        return;
    }
    server->leaving = true;
    server->leaving_since = world->now;
    model_server_drain(server->model);
    sim_platform_machine(world, server->process.endpoint, "leaving");
    event = sim_schedule(world, "leave", world->now, poll_leave, &server->process, server->process.life);
    event->numbers[0] = (uint64_t)(world->now + LEAVE_PATIENCE_US);
    event->numbers[1] = (uint64_t)restart_us;
}

void sim_server_settled(sim_server_t *server)
{
    if (model_server_expire(server->model, sim_process_clock(server->world, &server->process))) {
        server->world->result->lapses++;
    }
    sim_checks_granted(server);
}
