/**
 * @file faults.c
 * @brief Faults: generation from a seed, application to the world, healing.
 *
 * The list is made before the run from a stream of random numbers of its own, so leaving one fault out leaves the
 * others as they are.
 */
#include "world.h"

enum {
    FIRST_FAULT_US = 6 * CW_US_PER_S, /**< after the first configurations */
    KILL_SPACING_US = 10 * CW_US_PER_S,
    MEAN_INTERVAL_US = 2500 * CW_US_PER_MS,
    ROUGH_INTERVAL_US = 1000 * CW_US_PER_MS,
    DURATION_MIN_US = 100 * CW_US_PER_MS,
    DURATION_MAX_US = 6 * CW_US_PER_S,
    STORE_DURATION_MAX_US = 15 * CW_US_PER_S,
    PATTERN_ONE_IN = 10, /**< faults that begin each of the patterns */
    LOSS_MIN_PERCENT = 5,
    LOSS_MAX_PERCENT = 40
};

static const char *const names[CW_FAULT_KIND_COUNT] = {
    "node-kill",      "node-pause",      "node-stop",   "leader-kill",       "leader-pause",
    "forwarder-kill", "forwarder-pause", "server-kill", "server-pause",      "server-leave",
    "server-shed",    "link-cut",        "leader-cut",  "partition",         "loss",
    "reset",          "store-hang",      "store-slow",  "store-lose-answer", "store-refuse"};

void cw_fault_print(FILE *file, const cw_fault_t *fault)
{
    fprintf(file, "%.6f %s target=%u other=%u duration=%.3f amount=%u\n", (double)fault->at_us / CW_US_PER_S,
            names[fault->kind], fault->target, fault->other, (double)fault->duration_us / CW_US_PER_S, fault->amount);
}

/* ---- generation ---- */

static bool ends_a_node(cw_fault_kind_t kind)
{
    return kind == CW_FAULT_NODE_KILL || kind == CW_FAULT_NODE_STOP || kind == CW_FAULT_LEADER_KILL ||
           kind == CW_FAULT_FORWARDER_KILL;
}

static bool concerns_server(cw_fault_kind_t kind)
{
    return kind == CW_FAULT_LEADER_CUT || kind == CW_FAULT_FORWARDER_KILL || kind == CW_FAULT_FORWARDER_PAUSE ||
           kind == CW_FAULT_SERVER_KILL || kind == CW_FAULT_SERVER_PAUSE || kind == CW_FAULT_SERVER_LEAVE ||
           kind == CW_FAULT_SERVER_SHED;
}

static size_t server_count(void)
{
    size_t count = 0;
    size_t service;

    for (service = 0; service < SIM_SERVICES; service++) {
        count += sim_services[service].servers;
    }
    return count;
}

static uint32_t draw_endpoint(uint64_t *random, size_t nodes)
{
    uint64_t number = cw_random_below(random, nodes + server_count() + 1);

    if (number < nodes) {
        return (uint32_t)number;
    }
    if (number < nodes + server_count()) {
        return (uint32_t)(number - nodes + SIM_NODES_MAX);
    }
    return SIM_NODES_MAX + SIM_SERVERS_MAX;
}

static void draw_fault(uint64_t *random, size_t nodes, cw_fault_t *fault)
{
    cw_time_us_t longest = DURATION_MAX_US;

    fault->kind = (cw_fault_kind_t)cw_random_below(random, CW_FAULT_KIND_COUNT);
    if (fault->kind >= CW_FAULT_STORE_HANG) {
        longest = STORE_DURATION_MAX_US;
    }
    fault->duration_us = DURATION_MIN_US + (cw_time_us_t)cw_random_below(random, (uint64_t)longest);
    fault->target = (uint32_t)cw_random_below(random, concerns_server(fault->kind) ? server_count() : nodes);
    fault->other = (uint32_t)cw_random_below(random, nodes);
    if (fault->kind == CW_FAULT_LINK_CUT) {
        fault->target = draw_endpoint(random, nodes);
        fault->other = draw_endpoint(random, nodes);
    }
    if (fault->kind == CW_FAULT_PARTITION) {
        fault->target = (uint32_t)cw_random_next(random) & ((1U << SIM_ENDPOINTS_MAX) - 1);
    }
    fault->amount = LOSS_MIN_PERCENT + (uint32_t)cw_random_below(random, LOSS_MAX_PERCENT - LOSS_MIN_PERCENT);
}

/** A list that is being made. */
typedef struct fault_list {
    uint64_t     random;
    cw_fault_t  *faults;
    size_t       count;
    size_t       nodes;
    bool         rough;
    cw_time_us_t last_kill_us;
} fault_list_t;

static void add_fault(fault_list_t *list, cw_fault_kind_t kind, cw_time_us_t at_us, uint32_t target,
                      cw_time_us_t duration_us)
{
    cw_fault_t fault = {at_us, kind, target, 0, duration_us, 0};

    if (list->count < CW_FAULTS_MAX) {
        list->faults[list->count++] = fault;
    }
}

static cw_time_us_t draw_time(fault_list_t *list, cw_time_us_t low, cw_time_us_t high)
{
    return low + (cw_time_us_t)cw_random_below(&list->random, (uint64_t)(high - low));
}

/* The old leader can still reach a server that its successor takes for lost, and reads what waited for it. */
static void add_deposed_leader(fault_list_t *list, cw_time_us_t at_us, uint32_t server)
{
    add_fault(list, CW_FAULT_LEADER_CUT, at_us, server, draw_time(list, 5 * CW_US_PER_S, 9 * CW_US_PER_S));
    add_fault(list, CW_FAULT_LEADER_PAUSE, at_us, 0, draw_time(list, 100 * CW_US_PER_MS, 3900 * CW_US_PER_MS));
}

size_t cw_faults_deposed_leader(uint64_t seed, cw_time_us_t at_us, cw_fault_t faults[CW_FAULTS_MAX])
{
    fault_list_t list = {.random = seed, .faults = faults};

    add_deposed_leader(&list, at_us, (uint32_t)cw_random_below(&list.random, server_count()));
    return list.count;
}

/* A grant for a life of the server that has ended waits at a paused forwarder until the range is elsewhere. */
static void add_grant_for_former_life(fault_list_t *list, cw_time_us_t at_us, uint32_t server)
{
    cw_time_us_t second_us = at_us + draw_time(list, 50 * CW_US_PER_MS, 700 * CW_US_PER_MS);
    cw_time_us_t away_us = draw_time(list, 3 * CW_US_PER_S, 5 * CW_US_PER_S);

    add_fault(list, CW_FAULT_SERVER_KILL, at_us, server, 10 * CW_US_PER_MS);
    add_fault(list, CW_FAULT_FORWARDER_PAUSE, second_us, server, away_us + 500 * CW_US_PER_MS);
    add_fault(list, CW_FAULT_SERVER_KILL, second_us, server, away_us);
}

static void add_any(fault_list_t *list, cw_time_us_t at_us)
{
    cw_fault_t fault;

    draw_fault(&list->random, list->nodes, &fault);
    fault.at_us = at_us;
    if (!list->rough && ends_a_node(fault.kind)) {
        if (at_us < list->last_kill_us + KILL_SPACING_US) {
            return;
        }
        list->last_kill_us = at_us;
    }
    list->faults[list->count++] = fault;
}

size_t cw_faults_generate(uint64_t seed, cw_time_us_t duration_us, size_t nodes, bool rough,
                          cw_fault_t faults[CW_FAULTS_MAX])
{
    fault_list_t list = {seed ^ UINT64_C(0xfa0175), faults, 0, nodes, rough, -KILL_SPACING_US};
    cw_time_us_t interval = rough ? ROUGH_INTERVAL_US : MEAN_INTERVAL_US;
    cw_time_us_t at_us = FIRST_FAULT_US;
    uint64_t     choice;

    for (;;) {
        at_us += (cw_time_us_t)cw_random_below(&list.random, 2 * (uint64_t)interval);
        if (at_us >= duration_us || list.count == CW_FAULTS_MAX) {
            return list.count;
        }
        choice = cw_random_below(&list.random, PATTERN_ONE_IN);
        if (choice == 0) {
            add_deposed_leader(&list, at_us, (uint32_t)cw_random_below(&list.random, server_count()));
        } else if (choice == 1) {
            add_grant_for_former_life(&list, at_us, (uint32_t)cw_random_below(&list.random, server_count()));
        } else {
            add_any(&list, at_us);
        }
    }
}

/* ---- targets ---- */

static sim_host_t *find_leader(sim_world_t *world)
{
    sim_host_t *leader = NULL;
    uint64_t    best = 0;
    size_t      index;

    for (index = 0; index < world->host_count; index++) {
        sim_host_t *host = &world->hosts[index];
        cw_raft_t  *raft;

        if (!host->process.running || cw_node_control(host->node) == NULL) {
            continue;
        }
        raft = cw_control_raft((cw_control_t *)cw_node_control(host->node));
        if (cw_raft_leader_ready(raft) && cw_raft_term(raft) >= best) {
            leader = host;
            best = cw_raft_term(raft);
        }
    }
    return leader;
}

static sim_host_t *find_forwarder(sim_world_t *world, size_t index)
{
    sim_host_t           *leader = find_leader(world);
    const sim_server_t   *server = &world->servers[index];
    const Cw__ServerInfo *info;

    if (leader == NULL) {
        return NULL;
    }
    info = cw_control_state_server(
        cw_control_state(cw_node_control(leader->node)),
        cw_hash_server(sim_tenants[server->tenant], sim_services[server->service].name, server->name));
    if (info == NULL || info->forwarder == 0 || info->forwarder > world->host_count) {
        return NULL;
    }
    return &world->hosts[info->forwarder - 1];
}

/* ---- application ---- */

static void restart_node(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->numbers[0]];

    if (!host->process.running) {
        sim_host_start(host);
    }
}

static void restart_server(sim_world_t *world, sim_event_t *event)
{
    sim_server_t *server = &world->servers[event->numbers[0]];

    if (!server->process.running) {
        sim_server_start(server);
    }
}

static void kill_node(sim_host_t *host, cw_time_us_t duration_us)
{
    sim_event_t *event;

    if (host == NULL || !host->process.running) {
        return;
    }
    sim_host_kill(host);
    event = sim_schedule(host->world, "restart", host->world->now + duration_us, restart_node, NULL, 0);
    event->numbers[0] = host->process.endpoint;
}

static void kill_server(sim_server_t *server, cw_time_us_t duration_us)
{
    sim_event_t *event;

    if (!server->process.running) {
        return;
    }
    sim_server_kill(server);
    event = sim_schedule(server->world, "restart", server->world->now + duration_us, restart_server, NULL, 0);
    event->numbers[0] = server->process.endpoint - SIM_NODES_MAX;
}

static void pause_node(sim_host_t *host, cw_time_us_t duration_us)
{
    if (host != NULL) {
        sim_process_pause(host->world, &host->process, duration_us);
    }
}

static void cut(sim_world_t *world, size_t from, size_t to, cw_time_us_t duration_us)
{
    if (from != to && world->cut_until[from][to] < world->now + duration_us) {
        world->cut_until[from][to] = world->now + duration_us;
    }
}

static void cut_off(sim_world_t *world, const bool side[SIM_ENDPOINTS_MAX], cw_time_us_t duration_us)
{
    size_t from;
    size_t to;

    for (from = 0; from < SIM_ENDPOINTS_MAX; from++) {
        for (to = 0; to < SIM_ENDPOINTS_MAX; to++) {
            if (side[from] != side[to]) {
                cut(world, from, to, duration_us);
            }
        }
    }
}

static void partition(sim_world_t *world, const cw_fault_t *fault)
{
    bool   side[SIM_ENDPOINTS_MAX];
    size_t endpoint;

    for (endpoint = 0; endpoint < SIM_ENDPOINTS_MAX; endpoint++) {
        side[endpoint] = ((fault->target >> endpoint) & 1U) != 0;
    }
    cut_off(world, side, fault->duration_us);
}

static void cut_leader(sim_world_t *world, const cw_fault_t *fault)
{
    size_t      server = fault->target % world->server_count;
    sim_host_t *leader = find_leader(world);
    sim_host_t *forwarder = find_forwarder(world, server);
    bool        side[SIM_ENDPOINTS_MAX] = {false};

    if (leader == NULL || forwarder == NULL) {
        return;
    }
    side[leader->process.endpoint] = true;
    side[forwarder->process.endpoint] = true;
    side[world->servers[server].process.endpoint] = true;
    cut_off(world, side, fault->duration_us);
}

static void apply_to_node(sim_world_t *world, const cw_fault_t *fault)
{
    sim_host_t *host = &world->hosts[fault->target % world->host_count];

    switch (fault->kind) {
    case CW_FAULT_NODE_KILL:
        kill_node(host, fault->duration_us);
        break;
    case CW_FAULT_NODE_PAUSE:
        pause_node(host, fault->duration_us);
        break;
    case CW_FAULT_NODE_STOP:
        sim_host_stop(host, fault->duration_us);
        break;
    case CW_FAULT_LEADER_KILL:
        kill_node(find_leader(world), fault->duration_us);
        break;
    case CW_FAULT_LEADER_PAUSE:
        pause_node(find_leader(world), fault->duration_us);
        break;
    default:
        break;
    }
}

static void apply_to_server(sim_world_t *world, const cw_fault_t *fault)
{
    size_t        index = fault->target % world->server_count;
    sim_server_t *server = &world->servers[index];

    switch (fault->kind) {
    case CW_FAULT_LEADER_CUT:
        cut_leader(world, fault);
        break;
    case CW_FAULT_FORWARDER_KILL:
        kill_node(find_forwarder(world, index), fault->duration_us);
        break;
    case CW_FAULT_FORWARDER_PAUSE:
        pause_node(find_forwarder(world, index), fault->duration_us);
        break;
    case CW_FAULT_SERVER_KILL:
        kill_server(server, fault->duration_us);
        break;
    case CW_FAULT_SERVER_PAUSE:
        sim_process_pause(world, &server->process, fault->duration_us);
        break;
    case CW_FAULT_SERVER_LEAVE:
        sim_server_leave(server, fault->duration_us);
        break;
    default:
        server->shed_until = world->now + fault->duration_us;
        break;
    }
}

static void apply_to_network(sim_world_t *world, const cw_fault_t *fault)
{
    switch (fault->kind) {
    case CW_FAULT_LINK_CUT:
        cut(world, fault->target, fault->other, fault->duration_us);
        break;
    case CW_FAULT_PARTITION:
        partition(world, fault);
        break;
    case CW_FAULT_LOSS:
        world->loss_until = world->now + fault->duration_us;
        world->loss_percent = fault->amount;
        break;
    case CW_FAULT_CONNECTION_RESET:
        sim_host_connection_reset(&world->hosts[fault->target % world->host_count], fault->other);
        break;
    case CW_FAULT_STORE_HANG:
        sim_platform_set_mode(world, SIM_STORE_HANG, fault->duration_us);
        break;
    case CW_FAULT_STORE_SLOW:
        sim_platform_set_mode(world, SIM_STORE_SLOW, fault->duration_us);
        break;
    case CW_FAULT_STORE_LOSE_ANSWER:
        sim_platform_set_mode(world, SIM_STORE_LOSE_ANSWER, fault->duration_us);
        break;
    default:
        sim_platform_set_mode(world, SIM_STORE_REFUSE, fault->duration_us);
        break;
    }
}

static void apply(sim_world_t *world, sim_event_t *event)
{
    const cw_fault_t *fault = &world->options.faults[event->numbers[0]];

    sim_trace(world, "FAULT %s target %u other %u for %ld us", names[fault->kind], fault->target, fault->other,
              (long)fault->duration_us);
    if (concerns_server(fault->kind)) {
        apply_to_server(world, fault);
    } else if (fault->kind <= CW_FAULT_LEADER_PAUSE) {
        apply_to_node(world, fault);
    } else {
        apply_to_network(world, fault);
    }
}

void sim_faults_schedule(sim_world_t *world)
{
    size_t       index;
    sim_event_t *event;

    for (index = 0; index < world->options.fault_count; index++) {
        event = sim_schedule(world, "fault", world->options.faults[index].at_us, apply, NULL, 0);
        event->numbers[0] = index;
    }
}

void sim_heal(sim_world_t *world)
{
    size_t from;
    size_t to;
    size_t index;

    sim_trace(world, "healing");
    world->healing = true;
    for (from = 0; from < SIM_ENDPOINTS_MAX; from++) {
        for (to = 0; to < SIM_ENDPOINTS_MAX; to++) {
            world->cut_until[from][to] = 0;
        }
    }
    world->loss_until = 0;
    world->platform.mode_until = 0;
    for (index = 0; index < world->server_count; index++) {
        world->servers[index].shed_until = 0;
    }
}
