/**
 * @file measure_control.c
 * @brief Control leader and agents: heartbeats, leases, changes, losses, against the number of nodes, servers, ranges
 *        and tenants.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench.h"
#include "hollow_group.h"

enum {
    VOTERS = 3,
    REST_S = 6,
    NODES_BESIDE = 200, /**< nodes while something else grows */
    TENANTS_BESIDE = 10,
    TENANTS_LEAST = 5, /**< of all populations here */
    RANGES = 4,
    SERVERS_OF_TENANT = 20,
    CHANGES = 8,
    LOSS_STEPS_MAX = 1000
};

static const size_t node_sizes[] = {50, 200, 1000, 4000, 10000};

/** Names of the series of one kind of growth. */
typedef struct rest_series {
    const char *size_unit;
    const char *time;
    const char *instructions;
    const char *bytes;
    const char *ticks;
    const char *follower_time;
    const char *memory;
} rest_series_t;

static double rest_of(double value)
{
    return value / REST_S;
}

static void add(cw_capacity_bench_t *bench, const char *name, const char *size_unit, const char *unit, double size,
                double value)
{
    cw_capacity_results_add(&bench->results, name, size_unit, unit, size, value);
}

static void measure_rest(cw_capacity_bench_t *bench, cw_hollow_group_t *group, const rest_series_t *series, double size)
{
    cw_node_id_t              leader = cw_group_leader(group);
    const cw_group_account_t *account = &group->accounts[leader];
    double                    bytes;

    cw_group_reset_counts(group);
    cw_group_run(group, (cw_time_us_t)REST_S * CW_US_PER_S);
    if (cw_group_leader(group) != leader) {
        fprintf(stderr, "capacity: the leader changed at rest\n");
        exit(EXIT_FAILURE);
    }
    bytes = cw_capacity_traffic_wire_bytes(&account->sent) + cw_capacity_traffic_wire_bytes(&account->received);
    add(bench, series->time, series->size_unit, "µs/s", size, rest_of(cw_group_account_us(account)));
    add(bench, series->instructions, series->size_unit, "instructions/s", size,
        rest_of(cw_group_account_instructions(account)));
    add(bench, series->bytes, series->size_unit, "B/s", size, rest_of(bytes));
    add(bench, series->ticks, series->size_unit, "µs/s", size, rest_of(account->ticks.us));
    add(bench, series->follower_time, series->size_unit, "µs/s", size,
        rest_of(cw_group_account_us(&group->accounts[leader == 1 ? 2 : 1])));
}

/** Memory that a replica takes by leading: what is freed when it ends, less what a follower's takes. */
static double control_memory(cw_hollow_group_t *group, cw_node_id_t node)
{
    size_t before = cw_capacity_memory();

    cw_control_free(group->nodes[node].control);
    group->nodes[node].control = NULL;
    return (double)(before - cw_capacity_memory());
}

static void measure_memory(cw_capacity_bench_t *bench, cw_hollow_group_t *group, const rest_series_t *series,
                           double size)
{
    cw_node_id_t leader = cw_group_leader(group);

    add(bench, series->memory, series->size_unit, "B", size, control_memory(group, leader));
}

static void measure_nodes(cw_capacity_bench_t *bench)
{
    static const rest_series_t series = {"nodes",
                                         "control.nodes.time",
                                         "control.nodes.instructions",
                                         "control.nodes.bytes",
                                         "control.nodes.ticks.time",
                                         "control.nodes.follower.time",
                                         "control.nodes.memory"};
    size_t                     position;

    for (position = 0; position < sizeof(node_sizes) / sizeof(node_sizes[0]); position++) {
        cw_capacity_population_t population = {node_sizes[position], 0, 0, 0};
        cw_hollow_group_t       *group = cw_group_create(&population, VOTERS, &bench->meter);

        cw_group_settle(group);
        measure_rest(bench, group, &series, (double)node_sizes[position]);
        measure_memory(bench, group, &series, (double)node_sizes[position]);
        cw_group_free(group);
    }
}

static void measure_agents(cw_capacity_bench_t *bench, const cw_hollow_group_t *group, double servers_per_node)
{
    double bytes =
        cw_capacity_traffic_wire_bytes(&group->agents_sent) + cw_capacity_traffic_wire_bytes(&group->agents_received);
    double nodes = (double)group->count;

    add(bench, "agent.bytes", "servers of the node", "B/s", servers_per_node, rest_of(bytes) / nodes);
    add(bench, "agent.time", "servers of the node", "µs/s", servers_per_node, rest_of(group->agents_cost.us) / nodes);
    add(bench, "agent.server.calls", "servers of the node", "calls/s to servers", servers_per_node,
        rest_of((double)group->servers.calls) / nodes);
}

static void measure_servers(cw_capacity_bench_t *bench)
{
    static const rest_series_t series = {"servers",
                                         "control.servers.time",
                                         "control.servers.instructions",
                                         "control.servers.bytes",
                                         "control.servers.ticks.time",
                                         "control.servers.follower.time",
                                         "control.servers.memory"};
    static const size_t        servers_per_tenant[] = {20, 80, 160, 320};
    size_t                     position;

    for (position = 0; position < sizeof(servers_per_tenant) / sizeof(servers_per_tenant[0]); position++) {
        cw_capacity_population_t population = {NODES_BESIDE, TENANTS_BESIDE, servers_per_tenant[position], RANGES};
        cw_hollow_group_t       *group = cw_group_create(&population, VOTERS, &bench->meter);
        size_t                   servers = TENANTS_BESIDE * servers_per_tenant[position];

        cw_group_settle(group);
        measure_rest(bench, group, &series, (double)servers);
        measure_agents(bench, group, (double)servers / NODES_BESIDE);
        measure_memory(bench, group, &series, (double)servers);
        cw_group_free(group);
    }
}

/** Processor time at the leader beyond that at rest, over a time in which something happens. */
typedef struct extra_cost {
    double us;
    double log_bytes; /**< entries sent to one follower */
    double store_reads;
} extra_cost_t;

static double raft_bytes(const cw_group_account_t *account)
{
    return (double)account->sent.bytes[CW__ENVELOPE__BODY_RAFT];
}

/** Instructions where they are counted, which vary less than time does. */
static double work_of(const cw_group_account_t *account)
{
    double instructions = cw_group_account_instructions(account);

    return instructions > 0 ? instructions : cw_group_account_us(account);
}

/** Processor time of a unit of work, as the account shows it. */
static double us_of_work(const cw_group_account_t *account)
{
    return cw_group_account_us(account) / work_of(account);
}

typedef void (*happening_t)(cw_hollow_group_t *group, size_t number);

/** Work at rest over a time. */
static double measure_quiet(cw_hollow_group_t *group, cw_time_us_t time_us, double *log_bytes)
{
    const cw_group_account_t *account = &group->accounts[cw_group_leader(group)];

    cw_group_reset_counts(group);
    cw_group_run(group, CHANGES * time_us);
    *log_bytes = raft_bytes(account);
    return work_of(account);
}

/** The rest is measured before and after. The smaller one counts, so that the extra cost is rather too high. */
static extra_cost_t measure_happening(cw_hollow_group_t *group, happening_t happening, cw_time_us_t time_us)
{
    const cw_group_account_t *account = &group->accounts[cw_group_leader(group)];
    extra_cost_t              extra = {0};
    double                    rest_bytes;
    double                    rest_bytes_after;
    double                    rest = measure_quiet(group, time_us, &rest_bytes);
    double                    work;
    double                    bytes;
    double                    us;
    size_t                    number;

    cw_group_reset_counts(group);
    for (number = 0; number < CHANGES; number++) {
        happening(group, number);
        cw_group_run(group, time_us);
    }
    work = work_of(account);
    us = us_of_work(account);
    bytes = raft_bytes(account);
    extra.store_reads = (double)group->store_reads / CHANGES;
    rest = fmin(rest, measure_quiet(group, time_us, &rest_bytes_after));
    extra.us = (work - rest) / CHANGES * us;
    extra.log_bytes = (bytes - fmin(rest_bytes, rest_bytes_after)) / CHANGES / (VOTERS - 1);
    return extra;
}

static void change_tenant(cw_hollow_group_t *group, size_t number)
{
    cw_group_change_tenant(group, number % TENANTS_LEAST);
}

/** Losses of nodes that are no voters and are far apart. */
static void lose_node(cw_hollow_group_t *group, size_t number)
{
    cw_group_lose_node(group, (cw_node_id_t)(CW_GROUP_VOTERS_MAX + 1 + 4 * number));
}

static void measure_changes(cw_capacity_bench_t *bench)
{
    static const size_t tenants[] = {10, 30, 100, 300};
    extra_cost_t        extra;
    size_t              position;

    for (position = 0; position < sizeof(tenants) / sizeof(tenants[0]); position++) {
        cw_capacity_population_t population = {NODES_BESIDE, tenants[position], 2, RANGES};
        cw_hollow_group_t       *group = cw_group_create(&population, VOTERS, &bench->meter);

        cw_group_settle(group);
        extra = measure_happening(group, change_tenant, CW_US_PER_S);
        add(bench, "control.change.tenant.time", "tenants", "µs at the leader per change", (double)tenants[position],
            extra.us);
        add(bench, "store.reads.change", "tenants", "reads per change", (double)tenants[position], extra.store_reads);
        cw_group_free(group);
    }
}

/** A change and losses in a group that grows in everything: two servers and eight ranges for each node. */
static void measure_grown(cw_capacity_bench_t *bench)
{
    static const char   size_unit[] = "nodes (2 servers, 8 ranges, 0.1 tenants each)";
    static const size_t nodes[] = {50, 200, 1000, 4000};
    extra_cost_t        extra;
    size_t              position;

    for (position = 0; position < sizeof(nodes) / sizeof(nodes[0]); position++) {
        cw_capacity_population_t population = {nodes[position], nodes[position] / 10, SERVERS_OF_TENANT, RANGES};
        cw_hollow_group_t       *group = cw_group_create(&population, VOTERS, &bench->meter);
        double                   size = (double)nodes[position];

        cw_group_settle(group);
        extra = measure_happening(group, change_tenant, CW_US_PER_S);
        add(bench, "control.grown.change.time", size_unit, "µs at the leader per change", size, extra.us);
        extra = measure_happening(group, lose_node, 8 * CW_US_PER_S);
        add(bench, "control.grown.loss.time", size_unit, "µs at the leader per node lost", size, extra.us);
        add(bench, "control.grown.loss.log", size_unit, "B of log per node lost", size, extra.log_bytes);
        cw_group_free(group);
    }
}

/** Ranges that the leader does not hold for granted at a server that is up. */
typedef struct unserved {
    const cw_hollow_group_t  *group;
    const cw_control_state_t *state;
    cw_server_id_t            lost_server;
    size_t                    count;
} unserved_t;

static bool count_unserved(void *context, const Cw__RangeInfo *range)
{
    unserved_t            *unserved = context;
    const Cw__ServerInfo  *server = cw_control_state_server(unserved->state, range->server);
    const cw_group_node_t *node = server == NULL ? NULL : &unserved->group->nodes[server->forwarder];
    cw_fence_t             fence = cw_fence_effective(range, server);

    if (node == NULL || node->lost || range->server == unserved->lost_server ||
        cw_agent_readiness(node->agent, range->id, fence) != CW_RANGE_READY) {
        unserved->count++;
    }
    return true;
}

static size_t unserved_ranges(const cw_hollow_group_t *group, cw_server_id_t lost_server)
{
    unserved_t unserved = {group, cw_group_state(group), lost_server, 0};

    cw_control_state_each_range(unserved.state, count_unserved, &unserved);
    return unserved.count;
}

/** Seconds until every range is ready at a forwarder again. */
static double seconds_until_served(cw_hollow_group_t *group, cw_server_id_t lost_server)
{
    size_t steps = 0;

    while ((cw_group_leader(group) == 0 || unserved_ranges(group, lost_server) > 0) && steps < LOSS_STEPS_MAX) {
        cw_group_step(group);
        steps++;
    }
    return (double)steps * CW_GROUP_STEP_US / CW_US_PER_S;
}

static bool take_server(void *context, const Cw__ServerInfo *server)
{
    *(cw_server_id_t *)context = server->server;
    return false;
}

/** Time without service after the loss of a node, of a server, of the leader. */
static void measure_failovers(cw_capacity_bench_t *bench)
{
    static const size_t nodes[] = {50, 200, 1000, 2000};
    size_t              position;

    for (position = 0; position < sizeof(nodes) / sizeof(nodes[0]); position++) {
        cw_capacity_population_t population = {nodes[position], nodes[position] / 10, SERVERS_OF_TENANT, RANGES};
        cw_hollow_group_t       *group = cw_group_create(&population, VOTERS, &bench->meter);
        double                   size = (double)nodes[position];
        cw_server_id_t           server = 0;

        cw_group_settle(group);
        add(bench, "control.failover.unserved", "nodes", "ranges not ready at rest", size,
            (double)unserved_ranges(group, 0));
        cw_group_lose_node(group, CW_GROUP_VOTERS_MAX + 4);
        add(bench, "control.failover.node", "nodes", "s without service", size, seconds_until_served(group, 0));
        cw_group_run(group, 10 * CW_US_PER_S);
        cw_control_state_each_server(cw_group_state(group), take_server, &server);
        cw_hollow_servers_lose(&group->servers, server);
        add(bench, "control.failover.server", "nodes", "s without service", size, seconds_until_served(group, server));
        cw_group_run(group, 10 * CW_US_PER_S);
        cw_group_lose_node(group, cw_group_leader(group));
        add(bench, "control.failover.leader", "nodes", "s without service", size, seconds_until_served(group, server));
        cw_group_free(group);
    }
}

void cw_capacity_measure_control(cw_capacity_bench_t *bench)
{
    measure_nodes(bench);
    measure_servers(bench);
}

void cw_capacity_measure_control_changes(cw_capacity_bench_t *bench)
{
    measure_changes(bench);
    measure_grown(bench);
}

void cw_capacity_measure_failover(cw_capacity_bench_t *bench)
{
    measure_failovers(bench);
}
