/**
 * @file target_relay.c
 * @brief Needs of the relay and of the route table on each node.
 */
#include "target_internal.h"

static void write_rest(target_writer_t *writer)
{
    target_line_t mean = {"relay", "network at rest, mean of all nodes", .unit = "B/s", .bound = TARGET_CONTROL_BYTES};
    target_line_t inner = {"relay", "network at rest, busiest inner node", .unit = "B/s",
                           .bound = TARGET_CONTROL_BYTES};
    target_line_t time = {"relay", "processor at rest, inner node", .unit = "µs/s", .bound = TARGET_CONTROL_US};

    mean.value = target_largest(writer, "relay.rest.bytes.mean");
    snprintf(mean.arithmetic, sizeof(mean.arithmetic), "measured at the largest size of `relay.rest.bytes.mean`");
    target_write_line(writer, &mean);
    inner.value = target_largest(writer, "relay.rest.bytes.inner.max");
    snprintf(inner.arithmetic, sizeof(inner.arithmetic),
             "measured at the largest size of `relay.rest.bytes.inner.max`; %.0f messages/s",
             target_largest(writer, "relay.rest.messages.inner.max"));
    target_write_line(writer, &inner);
    time.value = target_largest(writer, "relay.rest.time.inner");
    snprintf(time.arithmetic, sizeof(time.arithmetic), "measured at the largest size of `relay.rest.time.inner`");
    target_write_line(writer, &time);
}

static void write_configuration(target_writer_t *writer)
{
    double        bytes = target_at(writer, "relay.change.tenant.size", SERVERS_PER_TENANT);
    double        hops;
    target_line_t leaf = {"relay", "configuration changes, received by each node", .unit = "B/s",
                          .bound = TARGET_CONTROL_BYTES};
    target_line_t inner = {"relay", "configuration changes, inner node", .unit = "B/s", .bound = TARGET_CONTROL_BYTES};
    target_line_t time = {"relay", "time of a change to all nodes", .unit = "s", .bound = TARGET_IN_FORCE_S};

    leaf.value = CHANGES_PER_SECOND * bytes;
    snprintf(leaf.arithmetic, sizeof(leaf.arithmetic), "%.2f/s x %.0f B (a tenant of %.0f servers)", CHANGES_PER_SECOND,
             bytes, SERVERS_PER_TENANT);
    target_write_line(writer, &leaf);
    bytes = target_at(writer, "relay.change.tenant.size", SERVERS_PER_TENANT);
    inner.value = CHANGES_PER_SECOND * bytes * 17;
    snprintf(inner.arithmetic, sizeof(inner.arithmetic), "%.2f/s x %.0f B x (1 received + 16 sent)", CHANGES_PER_SECOND,
             bytes);
    target_write_line(writer, &inner);
    hops = target_largest(writer, "relay.change.hops");
    time.value = hops * (ASSUMED_REGION_HOP_S + 3 * ASSUMED_BEAT_S);
    snprintf(time.arithmetic, sizeof(time.arithmetic),
             "%.0f hops x (%.1f s between regions + 3 intervals of %.1f s to leave a silent parent on every level)",
             hops, ASSUMED_REGION_HOP_S, ASSUMED_BEAT_S);
    target_write_line(writer, &time);
}

static void write_table(target_writer_t *writer)
{
    double        node = target_slope(writer, "state.memory.node");
    double        server = target_slope(writer, "state.memory.server");
    double        range = target_slope(writer, "state.memory.range");
    double        tenant = target_slope(writer, "state.memory.tenant");
    target_line_t memory = {"relay", "memory of the route table, every node", .unit = "B",
                            .bound = TARGET_CONTROL_MEMORY};
    target_line_t packed = {"relay", "full route table, sent to each node that starts", .unit = "B"};

    memory.value = TARGET_NODES * node + ASSUMED_SERVERS * server + ASSUMED_RANGES * range + ASSUMED_TENANTS * tenant;
    snprintf(memory.arithmetic, sizeof(memory.arithmetic),
             "%.0f nodes x %.0f B + %.0f servers x %.0f B + %.0f ranges x %.0f B + %.0f tenants x %.0f B", TARGET_NODES,
             node, ASSUMED_SERVERS, server, ASSUMED_RANGES, range, ASSUMED_TENANTS, tenant);
    target_write_line(writer, &memory);
    node = target_slope(writer, "state.packed.node");
    server = target_slope(writer, "state.packed.server");
    range = target_slope(writer, "state.packed.range");
    packed.value = TARGET_NODES * node + ASSUMED_SERVERS * server + ASSUMED_RANGES * range;
    snprintf(packed.arithmetic, sizeof(packed.arithmetic),
             "%.0f nodes x %.0f B + %.0f servers x %.0f B + %.0f ranges x %.0f B", TARGET_NODES, node, ASSUMED_SERVERS,
             server, ASSUMED_RANGES, range);
    target_write_line(writer, &packed);
}

/** A restart changes the node twice, its servers' forwarder twice, and the journal sets that it was in. */
static void write_restarts(target_writer_t *writer)
{
    double        node = target_slope(writer, "state.packed.node");
    double        server = target_slope(writer, "state.packed.server");
    double        range = target_slope(writer, "state.packed.range");
    double        journal_ranges = RANGES_PER_NODE * ASSUMED_JOURNAL_REPLICAS;
    double        bytes = 2 * node + SERVERS_PER_NODE * server + journal_ranges * range;
    target_line_t traffic = {"relay", "restarts and losses, received by each node", .unit = "B/s",
                             .bound = TARGET_CONTROL_BYTES};
    target_line_t time = {"relay", "processor for changes of nodes, inner node", .unit = "µs/s",
                          .bound = TARGET_CONTROL_US};

    traffic.value = RESTARTS_PER_SECOND * bytes;
    snprintf(traffic.arithmetic, sizeof(traffic.arithmetic),
             "%.3f/s x (2 x %.0f B of nodes + %.1f servers x %.0f B + %.0f journal sets x %.0f B)", RESTARTS_PER_SECOND,
             node, SERVERS_PER_NODE, server, journal_ranges, range);
    target_write_line(writer, &traffic);
    time.value = 2 * RESTARTS_PER_SECOND * target_at(writer, "relay.change.node.time.inner", TARGET_NODES);
    snprintf(time.arithmetic, sizeof(time.arithmetic), "2 x %.3f/s x %.0f µs (the tree is computed anew)",
             RESTARTS_PER_SECOND, target_at(writer, "relay.change.node.time.inner", TARGET_NODES));
    target_write_line(writer, &time);
}

void target_write_relay(target_writer_t *writer)
{
    write_rest(writer);
    write_configuration(writer);
    write_restarts(writer);
    write_table(writer);
}
