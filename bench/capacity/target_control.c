/**
 * @file target_control.c
 * @brief Needs of the control group with one group for all nodes, as it is today, and of every node's agent.
 */
#include "target_internal.h"

/** What one node with its servers costs the leader. */
typedef struct leader_share {
    double time_us;
    double bytes;
    double memory;
} leader_share_t;

static leader_share_t leader_share(target_writer_t *writer)
{
    leader_share_t share = {0};

    share.time_us =
        target_slope(writer, "control.nodes.time") + SERVERS_PER_NODE * target_slope(writer, "control.servers.time");
    share.bytes =
        target_slope(writer, "control.nodes.bytes") + SERVERS_PER_NODE * target_slope(writer, "control.servers.bytes");
    share.memory = target_slope(writer, "control.nodes.memory") +
                   SERVERS_PER_NODE * target_slope(writer, "control.servers.memory");
    return share;
}

static void write_leader_need(target_writer_t *writer, const char *need, double share, const char *unit, double bound)
{
    target_line_t line = {"control leader", need, .unit = unit, .bound = bound};

    line.value = TARGET_NODES * share;
    target_explain(&line, "%.0f nodes x %.1f %s (a node and its %.1f servers); the bound is reached at %.0f nodes",
                   TARGET_NODES, share, unit, SERVERS_PER_NODE, bound / share);
    target_write_line(writer, &line);
}

static void write_leader(target_writer_t *writer)
{
    leader_share_t share = leader_share(writer);
    bool           missing = writer->missing;

    write_leader_need(writer, "processor at rest, one group", share.time_us, "µs/s", TARGET_CONTROL_US);
    writer->missing = missing;
    write_leader_need(writer, "network at rest, one group", share.bytes, "B/s", TARGET_CONTROL_BYTES);
    writer->missing = missing;
    write_leader_need(writer, "memory, one group", share.memory, "B", TARGET_CONTROL_MEMORY);
}

static void write_changes(target_writer_t *writer)
{
    static const char grown[] = "at 4000 nodes, 400 tenants, 8000 servers, 32000 ranges";
    target_line_t     change = {"control leader", "processor for configuration changes", .unit = "µs/s",
                                .bound = TARGET_CONTROL_US};
    target_line_t loss = {"control leader", "processor for one node lost", .unit = "µs", .bound = ASSUMED_BEAT_S * 1e6};

    change.value = CHANGES_PER_SECOND * target_largest(writer, "control.grown.change.time");
    target_explain(&change, "%.2f/s x %.0f µs %s", CHANGES_PER_SECOND,
                   target_largest(writer, "control.grown.change.time"), grown);
    target_write_line(writer, &change);
    loss.value = target_largest(writer, "control.grown.loss.time");
    target_explain(&loss, "%s; bound: one heartbeat interval, so that leases live on", grown);
    target_write_line(writer, &loss);
}

static void write_failover_line(target_writer_t *writer, const char *need, const char *series)
{
    double        hops = target_largest(writer, "relay.change.hops");
    double        decided = target_largest(writer, series);
    target_line_t line = {"control leader", need, .unit = "s", .bound = TARGET_FAILOVER_S};

    line.value = decided + hops * ASSUMED_REGION_HOP_S;
    target_explain(&line, "%.2f s until granted anew (lease of 1.5 s, logical time) + %.0f hops x %.1f s", decided,
                   hops, ASSUMED_REGION_HOP_S);
    target_write_line(writer, &line);
}

static void write_failover(target_writer_t *writer)
{
    write_failover_line(writer, "key served again after its forwarder is lost", "control.failover.node");
    write_failover_line(writer, "key served again after its server is lost", "control.failover.server");
    write_failover_line(writer, "key served again after the leader is lost", "control.failover.leader");
}

static double packed_state(target_writer_t *writer)
{
    return TARGET_NODES * target_slope(writer, "state.packed.node") +
           ASSUMED_SERVERS * target_slope(writer, "state.packed.server") +
           ASSUMED_RANGES * target_slope(writer, "state.packed.range");
}

static void write_replica(target_writer_t *writer)
{
    double        entry = target_at(writer, "relay.change.tenant.size", SERVERS_PER_TENANT);
    double        time = target_at(writer, "raft.3.leader.time", entry);
    target_line_t log = {"control replica", "processor for log entries, leader of 3", .unit = "µs/s",
                         .bound = TARGET_CONTROL_US};
    target_line_t network = {"control replica", "network for log entries, all 3", .unit = "B/s"};
    target_line_t follower = {"control replica", "processor at rest, follower", .unit = "µs/s",
                              .bound = TARGET_CONTROL_US};

    log.value = TABLE_CHANGES_PER_SECOND * time;
    target_explain(&log, "%.2f entries/s x %.1f µs (entries of %.0f B)", TABLE_CHANGES_PER_SECOND, time, entry);
    target_write_line(writer, &log);
    network.value = CHANGES_PER_SECOND * target_at(writer, "raft.3.bytes", entry);
    target_explain(&network, "%.2f configurations/s x %.0f B", CHANGES_PER_SECOND,
                   target_at(writer, "raft.3.bytes", entry));
    target_write_line(writer, &network);
    follower.value = target_largest(writer, "control.nodes.follower.time");
    target_explain(&follower, "measured at the largest size of `control.nodes.follower.time`");
    target_write_line(writer, &follower);
}

static void write_store(target_writer_t *writer)
{
    target_line_t reads = {"platform's store", "reads for configuration changes", .unit = "reads/s"};
    target_line_t record = {"platform's store", "state written by the leader", .unit = "B/s",
                            .bound = TARGET_CONTROL_BYTES};

    reads.value = CHANGES_PER_SECOND * target_largest(writer, "store.reads.change");
    target_explain(&reads, "%.2f/s x %.0f read, by the leader; watchers: leader and standby", CHANGES_PER_SECOND,
                   target_largest(writer, "store.reads.change"));
    target_write_line(writer, &reads);
    record.value = packed_state(writer) / ASSUMED_BOOTSTRAP_S;
    target_explain(&record, "%.1f MB of state every %.0f s", packed_state(writer) / 1e6, ASSUMED_BOOTSTRAP_S);
    target_write_line(writer, &record);
}

void target_write_control(target_writer_t *writer)
{
    write_leader(writer);
    write_changes(writer);
    write_failover(writer);
    write_replica(writer);
    write_store(writer);
}

/* ---- every node ---- */

static void write_agent(target_writer_t *writer)
{
    target_line_t network = {"agent", "network with the leader", .unit = "B/s", .bound = TARGET_CONTROL_BYTES};
    target_line_t processor = {"agent", "processor", .unit = "µs/s", .bound = TARGET_CONTROL_US};
    target_line_t calls = {"agent", "control calls to servers", .unit = "calls/s"};

    network.value = target_at(writer, "agent.bytes", SERVERS_PER_NODE);
    target_explain(&network, "%.0f B/s + %.1f servers x %.0f B/s", target_intercept(writer, "agent.bytes"),
                   SERVERS_PER_NODE, target_slope(writer, "agent.bytes"));
    target_write_line(writer, &network);
    processor.value = target_at(writer, "agent.time", SERVERS_PER_NODE);
    target_explain(&processor, "%.1f µs/s + %.1f servers x %.1f µs/s", target_intercept(writer, "agent.time"),
                   SERVERS_PER_NODE, target_slope(writer, "agent.time"));
    target_write_line(writer, &processor);
    calls.value = target_at(writer, "agent.server.calls", SERVERS_PER_NODE);
    target_explain(&calls, "%.1f servers x %.2f calls/s", SERVERS_PER_NODE, target_slope(writer, "agent.server.calls"));
    target_write_line(writer, &calls);
}

static void write_sum(target_writer_t *writer, const char *need, double relay, double passed_on)
{
    double        agent = target_at(writer, "agent.bytes", SERVERS_PER_NODE);
    double        changes = CHANGES_PER_SECOND * target_at(writer, "relay.change.tenant.size", SERVERS_PER_TENANT);
    target_line_t line = {"every node", need, .unit = "B/s", .bound = TARGET_CONTROL_BYTES};

    line.value = relay + agent + passed_on * changes;
    target_explain(&line, "%.0f relay + %.0f agent + %.0f x %.0f configuration", relay, agent, passed_on, changes);
    target_write_line(writer, &line);
}

void target_write_node(target_writer_t *writer)
{
    write_sum(writer, "control network, leaf of the tree", target_largest(writer, "relay.rest.bytes.leaf"), 1);
    write_sum(writer, "control network, mean of all nodes", target_largest(writer, "relay.rest.bytes.mean"), 2);
    write_sum(writer, "control network, busiest inner node", target_largest(writer, "relay.rest.bytes.inner.max"), 17);
    write_agent(writer);
}
