/**
 * @file measure_raft.c
 * @brief Replicated log: processor time, bytes and memory of entries, with three and with five voters.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "cedarwinch/error.h"
#include "cedarwinch/raft.h"
#include "population.h"
#include "traffic.h"

enum {
    VOTERS_MAX = 5,
    STEP_US = 1000,
    HEARTBEAT_US = 100000,
    ELECTION_US = 500000,
    ELECTION_STEPS_MAX = 20000,
    ENTRIES = 1000,
    QUEUE_MAX = 4096,
    COMPACT_AFTER = 100000
};

typedef struct raft_world raft_world_t;

typedef struct raft_replica {
    raft_world_t      *world;
    cw_raft_t         *raft;
    uint64_t           applied;
    cw_capacity_cost_t cost;
} raft_replica_t;

typedef struct raft_packet {
    uint8_t     *data;
    size_t       length;
    cw_node_id_t to;
} raft_packet_t;

struct raft_world {
    const cw_capacity_meter_t *meter;
    raft_replica_t             replicas[VOTERS_MAX + 1]; /**< by node id, from 1 */
    size_t                     voters;
    cw_time_us_t               now;
    raft_packet_t              queue[QUEUE_MAX]; /**< ring */
    size_t                     head;
    size_t                     tail;
    cw_capacity_traffic_t      traffic;
};

static void take_send(void *context, cw_node_id_t to, Cw__RaftMessage *message)
{
    raft_replica_t *from = context;
    raft_world_t   *world = from->world;
    raft_packet_t  *packet = &world->queue[world->tail++ % QUEUE_MAX];
    Cw__Envelope    envelope = CW__ENVELOPE__INIT;

    envelope.from = message->from_node;
    envelope.from_incarnation = message->from;
    envelope.to = to;
    envelope.body_case = CW__ENVELOPE__BODY_RAFT;
    envelope.raft = message;
    packet->length = cw__envelope__get_packed_size(&envelope);
    packet->data = malloc(packet->length);
    packet->to = to;
    cw__envelope__pack(&envelope, packet->data);
    cw_capacity_traffic_add(&world->traffic, CW__ENVELOPE__BODY_RAFT, packet->length);
}

static void take_entry(void *context, const Cw__LogEntry *entry)
{
    raft_replica_t *replica = context;

    replica->applied += entry->kind == CW__LOG_ENTRY_KIND__ENTRY_COMMAND;
}

static int save_nothing(void *context, uint8_t **data, size_t *length)
{
    (void)context;
    *data = calloc(1, 1);
    *length = 1;
    return *data == NULL ? CW_ERROR_NO_MEMORY : CW_OK;
}

static int load_nothing(void *context, const uint8_t *data, size_t length, uint64_t last_index)
{
    (void)context;
    (void)data;
    (void)length;
    (void)last_index;
    return CW_OK;
}

static void create_replica(raft_world_t *world, cw_node_id_t id, const Cw__Membership *membership)
{
    raft_replica_t     *replica = &world->replicas[id];
    cw_raft_callbacks_t callbacks = {.context = replica,
                                     .send = take_send,
                                     .apply = take_entry,
                                     .snapshot_save = save_nothing,
                                     .snapshot_load = load_nothing};
    cw_raft_options_t   options = {.generation = CW_CAPACITY_GENERATION,
                                   .node = id,
                                   .incarnation = CW_CAPACITY_INCARNATIONS + id,
                                   .membership = membership,
                                   .heartbeat_us = HEARTBEAT_US,
                                   .election_us = ELECTION_US,
                                   .compact_after = COMPACT_AFTER};

    options.seed = UINT64_C(0x9e3779b97f4a7c15) * id;
    replica->world = world;
    if (cw_raft_create(&replica->raft, &options, &callbacks, world->now) != CW_OK) {
        fprintf(stderr, "capacity: no raft\n");
        exit(EXIT_FAILURE);
    }
}

static raft_world_t *world_create(size_t voters, const cw_capacity_meter_t *meter)
{
    raft_world_t      *world = calloc(1, sizeof(*world));
    cw_capacity_node_t nodes[VOTERS_MAX];
    Cw__NodeInfo      *pointers[VOTERS_MAX];
    Cw__Membership     membership = CW__MEMBERSHIP__INIT;
    cw_node_id_t       id;

    world->meter = meter;
    world->voters = voters;
    world->now = CW_US_PER_S;
    for (id = 1; id <= voters; id++) {
        cw_capacity_node_init(&nodes[id - 1], id);
        pointers[id - 1] = &nodes[id - 1].info;
    }
    membership.n_voters = voters;
    membership.voters = pointers;
    for (id = 1; id <= voters; id++) {
        create_replica(world, id, &membership);
    }
    return world;
}

static void world_free(raft_world_t *world)
{
    cw_node_id_t id;

    for (; world->head < world->tail; world->head++) {
        free(world->queue[world->head % QUEUE_MAX].data);
    }
    for (id = 1; id <= world->voters; id++) {
        cw_raft_free(world->replicas[id].raft);
    }
    free(world);
}

static void deliver(raft_world_t *world)
{
    size_t             end = world->tail;
    cw_capacity_mark_t mark;

    while (world->head < end) {
        raft_packet_t   packet = world->queue[world->head++ % QUEUE_MAX];
        raft_replica_t *replica = &world->replicas[packet.to];
        Cw__Envelope   *envelope;

        cw_capacity_meter_start(world->meter, &mark);
        envelope = cw__envelope__unpack(NULL, packet.length, packet.data);
        cw_raft_receive(replica->raft, envelope->raft, world->now);
        cw__envelope__free_unpacked(envelope, NULL);
        cw_capacity_meter_stop(world->meter, &mark, &replica->cost);
        free(packet.data);
    }
}

static void step(raft_world_t *world)
{
    cw_node_id_t id;

    world->now += STEP_US;
    deliver(world);
    for (id = 1; id <= world->voters; id++) {
        if (world->now >= cw_raft_next_tick(world->replicas[id].raft)) {
            cw_raft_tick(world->replicas[id].raft, world->now);
        }
    }
}

static cw_node_id_t elect(raft_world_t *world)
{
    cw_node_id_t id;
    size_t       steps;

    for (steps = 0; steps < ELECTION_STEPS_MAX; steps++) {
        for (id = 1; id <= world->voters; id++) {
            if (cw_raft_leader_ready(world->replicas[id].raft)) {
                return id;
            }
        }
        step(world);
    }
    fprintf(stderr, "capacity: no leader was elected\n");
    exit(EXIT_FAILURE);
}

static void propose(raft_world_t *world, cw_node_id_t leader, size_t length)
{
    raft_replica_t    *replica = &world->replicas[leader];
    uint8_t           *data = calloc(1, length);
    cw_capacity_mark_t mark;

    cw_capacity_meter_start(world->meter, &mark);
    (void)cw_raft_propose(replica->raft, data, length, NULL, world->now);
    cw_capacity_meter_stop(world->meter, &mark, &replica->cost);
    free(data);
}

/** Names of the series for a number of voters. */
typedef struct raft_series {
    size_t      voters;
    const char *leader_time;
    const char *follower_time;
    const char *bytes;
    const char *messages;
} raft_series_t;

static void measure_entries(cw_capacity_bench_t *bench, const raft_series_t *series, size_t length)
{
    raft_world_t *world = world_create(series->voters, &bench->meter);
    cw_node_id_t  leader = elect(world);
    cw_node_id_t  follower = leader == 1 ? 2 : 1;
    double        size = (double)length;
    size_t        entry;

    memset(&world->traffic, 0, sizeof(world->traffic));
    memset(&world->replicas[leader].cost, 0, sizeof(cw_capacity_cost_t));
    memset(&world->replicas[follower].cost, 0, sizeof(cw_capacity_cost_t));
    for (entry = 0; entry < ENTRIES; entry++) {
        propose(world, leader, length);
        step(world);
        step(world);
    }
    if (world->replicas[leader].applied != ENTRIES) {
        fprintf(stderr, "capacity: %lu of %d entries were committed\n", world->replicas[leader].applied, ENTRIES);
        exit(EXIT_FAILURE);
    }
    cw_capacity_results_add(&bench->results, series->leader_time, "B of the entry", "µs per entry", size,
                            world->replicas[leader].cost.us / ENTRIES);
    cw_capacity_results_add(&bench->results, series->follower_time, "B of the entry", "µs per entry", size,
                            world->replicas[follower].cost.us / ENTRIES);
    cw_capacity_results_add(&bench->results, series->bytes, "B of the entry", "B per entry, all replicas", size,
                            cw_capacity_traffic_wire_bytes(&world->traffic) / ENTRIES);
    cw_capacity_results_add(&bench->results, series->messages, "B of the entry", "messages per entry, all replicas",
                            size, cw_capacity_traffic_messages(&world->traffic) / ENTRIES);
    world_free(world);
}

void cw_capacity_measure_raft(cw_capacity_bench_t *bench)
{
    static const raft_series_t three = {3, "raft.3.leader.time", "raft.3.follower.time", "raft.3.bytes",
                                        "raft.3.messages"};
    static const raft_series_t five = {5, "raft.5.leader.time", "raft.5.follower.time", "raft.5.bytes",
                                       "raft.5.messages"};
    static const size_t        lengths[] = {100, 400, 1600, 6400};
    size_t                     position;

    for (position = 0; position < sizeof(lengths) / sizeof(lengths[0]); position++) {
        measure_entries(bench, &three, lengths[position]);
        measure_entries(bench, &five, lengths[position]);
    }
}
