/**
 * @file measure_relay.c
 * @brief Relay tree: traffic and processor time at rest and for each change, time to all nodes, memory of the table.
 */
#include <stdlib.h>
#include <unistd.h>

#include "bench.h"
#include "hollow.h"
#include "population.h"

enum {
    TABLE_MEMORY_SHARE = 3, /**< memory of all tables must stay below one part in so many of what is installed */
    NODE_TABLE_BYTES = 300, /**< somewhat more than one node takes in one table: chooses how many leaves are real */
    REST_INTERVALS = 20,
    SETTLE_INTERVALS = 20,
    START_INTERVALS_MAX = 2000,
    CHANGES = 10,
    SMALL_TREE = 50,
    SERVERS = 10,
    TENANTS = 2,
    RANGES = 4
};

#define INTERVAL_S ((double)CW_HOLLOW_INTERVAL_US / CW_US_PER_S)

static const size_t sizes[] = {50, 200, 1000, 4000, 10000};

/** Roles of a node in the tree. */
typedef enum position_kind { POSITION_LEADER, POSITION_INNER, POSITION_LEAF, POSITION_KINDS } position_kind_t;

/** Totals of one kind, over the time since the counts were reset. */
typedef struct kind_sum {
    size_t nodes;
    double wire_bytes; /**< sent and received */
    double wire_bytes_max;
    double messages;
    double messages_max;
    double instructions;
    double us;
    size_t measured; /**< nodes that run the real relay */
    double us_max;
} kind_sum_t;

static position_kind_t kind_of(const cw_hollow_t *network, cw_node_id_t id)
{
    if (id == CW_HOLLOW_LEADER) {
        return POSITION_LEADER;
    }
    return cw_hollow_is_inner(network, id) ? POSITION_INNER : POSITION_LEAF;
}

static void add_node(kind_sum_t *sum, const cw_hollow_node_t *node)
{
    double bytes = cw_capacity_traffic_wire_bytes(&node->sent) + cw_capacity_traffic_wire_bytes(&node->received);
    double messages = cw_capacity_traffic_messages(&node->sent) + cw_capacity_traffic_messages(&node->received);

    sum->nodes++;
    sum->wire_bytes += bytes;
    sum->messages += messages;
    sum->wire_bytes_max = bytes > sum->wire_bytes_max ? bytes : sum->wire_bytes_max;
    sum->messages_max = messages > sum->messages_max ? messages : sum->messages_max;
    if (node->relay != NULL) {
        sum->measured++;
        sum->instructions += node->cost.instructions;
        sum->us += node->cost.us;
        sum->us_max = node->cost.us > sum->us_max ? node->cost.us : sum->us_max;
    }
}

static void sum_kinds(const cw_hollow_t *network, kind_sum_t sums[POSITION_KINDS])
{
    cw_node_id_t id;

    for (id = 1; id <= network->count; id++) {
        add_node(&sums[kind_of(network, id)], &network->nodes[id]);
    }
}

static double double_per(double value, size_t count)
{
    return count == 0 ? 0 : value / (double)count;
}

static void measure_rest(cw_capacity_bench_t *bench, cw_hollow_t *network)
{
    kind_sum_t sums[POSITION_KINDS] = {0};
    double     seconds = REST_INTERVALS * INTERVAL_S;
    double     size = (double)network->count;
    double     all_bytes;

    cw_hollow_reset_counts(network);
    cw_hollow_run(network, REST_INTERVALS * CW_HOLLOW_INTERVAL_US);
    sum_kinds(network, sums);
    all_bytes = sums[POSITION_LEADER].wire_bytes + sums[POSITION_INNER].wire_bytes + sums[POSITION_LEAF].wire_bytes;
    cw_capacity_results_add(&bench->results, "relay.rest.bytes.mean", "nodes", "B/s", size, all_bytes / seconds / size);
    cw_capacity_results_add(&bench->results, "relay.rest.bytes.inner.max", "nodes", "B/s", size,
                            sums[POSITION_INNER].wire_bytes_max / seconds);
    cw_capacity_results_add(&bench->results, "relay.rest.messages.inner.max", "nodes", "messages/s", size,
                            sums[POSITION_INNER].messages_max / seconds);
    cw_capacity_results_add(&bench->results, "relay.rest.bytes.leaf", "nodes", "B/s", size,
                            double_per(sums[POSITION_LEAF].wire_bytes, sums[POSITION_LEAF].nodes) / seconds);
    cw_capacity_results_add(&bench->results, "relay.rest.bytes.leader", "nodes", "B/s", size,
                            sums[POSITION_LEADER].wire_bytes / seconds);
    cw_capacity_results_add(&bench->results, "relay.rest.time.inner", "nodes", "µs/s", size,
                            double_per(sums[POSITION_INNER].us, sums[POSITION_INNER].measured) / seconds);
    cw_capacity_results_add(&bench->results, "relay.rest.instructions.inner", "nodes", "instructions/s", size,
                            double_per(sums[POSITION_INNER].instructions, sums[POSITION_INNER].measured) / seconds);
    cw_capacity_results_add(&bench->results, "relay.rest.time.leader", "nodes", "µs/s", size,
                            sums[POSITION_LEADER].us / seconds);
}

/** Steps until all nodes hold the version of the state. */
static size_t steps_to_all(cw_hollow_t *network)
{
    size_t steps = 0;

    while (cw_hollow_count_behind(network) > 0 && steps < REST_INTERVALS * CW_HOLLOW_INTERVAL_US / CW_HOLLOW_STEP_US) {
        cw_hollow_step(network);
        steps++;
    }
    return steps;
}

/** Bytes of updates with changes sent by all nodes since the counts were reset. */
static double change_bytes(const cw_hollow_t *network)
{
    double       bytes = 0;
    cw_node_id_t id;

    for (id = 1; id <= network->count; id++) {
        bytes += (double)network->nodes[id].sent.bytes[CW_CAPACITY_CHANGES];
    }
    return bytes;
}

static double inner_instructions(const cw_hollow_t *network)
{
    kind_sum_t sums[POSITION_KINDS] = {0};

    sum_kinds(network, sums);
    return double_per(sums[POSITION_INNER].instructions, sums[POSITION_INNER].measured);
}

static double inner_us(const cw_hollow_t *network)
{
    kind_sum_t sums[POSITION_KINDS] = {0};

    sum_kinds(network, sums);
    return double_per(sums[POSITION_INNER].us, sums[POSITION_INNER].measured);
}

typedef void (*change_t)(cw_control_state_t *state, size_t number);

static void change_a_tenant(cw_control_state_t *state, size_t number)
{
    cw_capacity_change_tenant(state, number % TENANTS);
}

static bool first_range(void *context, const Cw__RangeInfo *range)
{
    *(cw_range_id_t *)context = range->id;
    return false;
}

static void change_a_range(cw_control_state_t *state, size_t number)
{
    cw_range_id_t range = 0;

    (void)number;
    cw_control_state_each_range(state, first_range, &range);
    cw_capacity_change_range(state, range);
}

/** A node goes down and comes up in turn; nobody is removed, so the tree's shape changes twice. */
static void change_a_node(cw_control_state_t *state, size_t number)
{
    cw_node_id_t id = (cw_node_id_t)(number / 2) + 40;

    cw_capacity_change_node(state, id, number % 2 == 0 ? CW__NODE_STATE__NODE_LEAVING : CW__NODE_STATE__NODE_UP);
}

typedef struct change_result {
    double steps_max;
    double bytes_per_node; /**< for each change */
    double inner_instructions;
    double inner_us;
} change_result_t;

static change_result_t run_changes(cw_hollow_t *network, change_t change)
{
    change_result_t result = {0};
    double          rest_instructions;
    double          rest_us;
    size_t          number;

    cw_hollow_reset_counts(network);
    cw_hollow_run(network, CHANGES * CW_HOLLOW_INTERVAL_US);
    rest_instructions = inner_instructions(network);
    rest_us = inner_us(network);
    cw_hollow_reset_counts(network);
    for (number = 0; number < CHANGES; number++) {
        cw_time_us_t begin = network->now.monotonic_us;
        size_t       steps;

        change(network->state, number);
        cw_hollow_publish(network);
        steps = steps_to_all(network);
        result.steps_max = (double)steps > result.steps_max ? (double)steps : result.steps_max;
        if (network->now.monotonic_us < begin + CW_HOLLOW_INTERVAL_US) {
            cw_hollow_run(network, begin + CW_HOLLOW_INTERVAL_US - network->now.monotonic_us);
        }
    }
    result.bytes_per_node = change_bytes(network) / CHANGES / (double)(network->count - 1);
    result.inner_instructions = (inner_instructions(network) - rest_instructions) / CHANGES;
    result.inner_us = (inner_us(network) - rest_us) / CHANGES;
    return result;
}

static void measure_changes(cw_capacity_bench_t *bench, cw_hollow_t *network)
{
    double          size = (double)network->count;
    change_result_t tenant = run_changes(network, change_a_tenant);
    change_result_t range = run_changes(network, change_a_range);
    change_result_t node = run_changes(network, change_a_node);

    cw_capacity_results_add(&bench->results, "relay.change.hops", "nodes", "hops to all", size, tenant.steps_max);
    cw_capacity_results_add(&bench->results, "relay.change.range.bytes", "nodes", "B per node and change", size,
                            range.bytes_per_node);
    cw_capacity_results_add(&bench->results, "relay.change.range.time.inner", "nodes", "µs per change", size,
                            range.inner_us);
    cw_capacity_results_add(&bench->results, "relay.change.tenant.bytes", "nodes", "B per node and change", size,
                            tenant.bytes_per_node);
    cw_capacity_results_add(&bench->results, "relay.change.node.bytes", "nodes", "B per node and change", size,
                            node.bytes_per_node);
    cw_capacity_results_add(&bench->results, "relay.change.node.time.inner", "nodes", "µs per change", size,
                            node.inner_us);
    cw_capacity_results_add(&bench->results, "relay.change.node.instructions.inner", "nodes", "instructions per change",
                            size, node.inner_instructions);
}

/** All nodes start at once without a table. */
static void measure_cold_start(cw_capacity_bench_t *bench, cw_hollow_t *network)
{
    size_t intervals = 0;
    double seconds;

    while (cw_hollow_count_behind(network) > 0 && intervals < START_INTERVALS_MAX) {
        cw_hollow_run(network, CW_HOLLOW_INTERVAL_US);
        intervals++;
    }
    seconds = (double)intervals * INTERVAL_S;
    cw_capacity_results_add(&bench->results, "relay.start.seconds", "relays started", "s until all hold the table",
                            (double)network->real_count, seconds);
}

static size_t installed_memory(void)
{
    long pages = sysconf(_SC_PHYS_PAGES);
    long page = sysconf(_SC_PAGESIZE);

    return (size_t)pages * (size_t)page;
}

/** One in how many leaves may run the real relay, so that all tables together stay within the bound. */
static size_t leaf_stride(size_t count)
{
    size_t allowed = installed_memory() / TABLE_MEMORY_SHARE / (count * NODE_TABLE_BYTES);
    size_t inner = count / CW_RELAY_FANOUT + 1;

    if (allowed >= count) {
        return 1;
    }
    return allowed > inner ? (count - inner) / (allowed - inner) + 1 : count;
}

static void measure_size(cw_capacity_bench_t *bench, size_t count)
{
    cw_capacity_population_t population = {count, TENANTS, SERVERS, RANGES};
    cw_control_state_t      *state = cw_capacity_population_create(&population);
    size_t                   before = cw_capacity_memory();
    cw_hollow_t             *network = cw_hollow_create(state, count, leaf_stride(count), &bench->meter);

    measure_cold_start(bench, network);
    cw_hollow_run(network, SETTLE_INTERVALS * CW_HOLLOW_INTERVAL_US);
    cw_capacity_results_add(&bench->results, "relay.memory", "nodes", "B per relay", (double)count,
                            (double)(cw_capacity_memory() - before) / (double)network->real_count);
    measure_rest(bench, network);
    measure_changes(bench, network);
    bench->nodes_run = count;
    bench->nodes_real = network->real_count;
    bench->memory_most = cw_capacity_memory();
    cw_hollow_free(network);
    cw_control_state_free(state);
}

/** Bytes of a change of one tenant's configuration against the number of its servers. */
static void measure_tenant_size(cw_capacity_bench_t *bench)
{
    static const size_t server_counts[] = {10, 30, 100, 300};
    size_t              position;

    for (position = 0; position < sizeof(server_counts) / sizeof(server_counts[0]); position++) {
        cw_capacity_population_t population = {SMALL_TREE, TENANTS, server_counts[position], RANGES};
        cw_control_state_t      *state = cw_capacity_population_create(&population);
        cw_hollow_t             *network = cw_hollow_create(state, SMALL_TREE, 1, &bench->meter);

        cw_hollow_run(network, SETTLE_INTERVALS * CW_HOLLOW_INTERVAL_US);
        cw_capacity_results_add(&bench->results, "relay.change.tenant.size", "servers of the tenant",
                                "B per node and change", (double)server_counts[position],
                                run_changes(network, change_a_tenant).bytes_per_node);
        cw_hollow_free(network);
        cw_control_state_free(state);
    }
}

void cw_capacity_measure_relay(cw_capacity_bench_t *bench)
{
    size_t position;

    for (position = 0; position < sizeof(sizes) / sizeof(sizes[0]); position++) {
        if (sizes[position] <= bench->nodes_max) {
            measure_size(bench, sizes[position]);
        }
    }
    measure_tenant_size(bench);
}
