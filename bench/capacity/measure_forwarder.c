/**
 * @file measure_forwarder.c
 * @brief Forwarder and journal replicas: cost of a request that may be repeated and of one that may not, memory, and
 * the cost of a new route table.
 */
#include <stdio.h>
#include <stdlib.h>

#include "bench.h"
#include "hollow_forwarder.h"
#include "population.h"

enum { SERVERS = 48, RANGES = 4, ROUTE_CHANGES = 50, BATCH = 32 };

static const size_t sizes[] = {250, 1000, 4000, 12000};

/** Names of the series of one kind of request. */
typedef struct request_series {
    bool        repeatable;
    const char *time;
    const char *instructions;
    const char *bytes;
    const char *messages;
    const char *journal_time;
    const char *journal_memory;
} request_series_t;

static void add(cw_capacity_bench_t *bench, const char *name, const char *size_unit, const char *unit, double size,
                double value)
{
    cw_capacity_results_add(&bench->results, name, size_unit, unit, size, value);
}

static void check_answered(const cw_hollow_forwarder_t *world, size_t count)
{
    if (world->answered != count) {
        fprintf(stderr, "capacity: forwarder answered %zu of %zu\n", world->answered, count);
        exit(EXIT_FAILURE);
    }
}

/** Messages and bytes but for those to and from the gateway, which the gateway's series count. */
static double without_gateway(const cw_capacity_traffic_t *traffic, double all, bool bytes)
{
    const size_t kinds[] = {CW__ENVELOPE__BODY_FORWARD_REQUEST, CW__ENVELOPE__BODY_FORWARD_RESPONSE};
    size_t       position;

    for (position = 0; position < sizeof(kinds) / sizeof(kinds[0]); position++) {
        double messages = (double)traffic->messages[kinds[position]];
        double wire = (double)traffic->bytes[kinds[position]] + CW_CAPACITY_HEADER_BYTES * messages;

        all -= bytes ? wire : messages;
    }
    return all;
}

static void run_requests(cw_hollow_forwarder_t *world, size_t count, bool repeatable)
{
    size_t done;

    for (done = 0; done < count; done++) {
        cw_hollow_forwarder_request(world, repeatable);
        if (done % BATCH == BATCH - 1 || done + 1 == count) {
            cw_hollow_forwarder_deliver(world);
            cw_hollow_forwarder_finish(world);
        }
    }
}

static void measure_requests(cw_capacity_bench_t *bench, const request_series_t *series, size_t count)
{
    cw_hollow_forwarder_t *world = cw_hollow_forwarder_create(SERVERS, RANGES, &bench->meter);
    double                 size = (double)count;
    size_t                 before;
    double                 bytes;
    double                 messages;

    run_requests(world, 1, series->repeatable);
    cw_hollow_forwarder_reset(world);
    before = cw_capacity_memory();
    run_requests(world, count, series->repeatable);
    check_answered(world, count);
    bytes = without_gateway(&world->traffic, cw_capacity_traffic_wire_bytes(&world->traffic), true);
    messages = without_gateway(&world->traffic, cw_capacity_traffic_messages(&world->traffic), false);
    add(bench, series->time, "requests", "µs", size, world->forwarder_cost.us);
    add(bench, series->instructions, "requests", "instructions", size, world->forwarder_cost.instructions);
    if (!series->repeatable) {
        add(bench, series->messages, "requests", "messages with 3 journal replicas", size, messages);
        add(bench, series->bytes, "requests", "B with 3 journal replicas", size, bytes);
        add(bench, series->journal_time, "requests", "µs at each replica", size,
            world->journal_cost.us / CW_HOLLOW_REPLICAS);
        add(bench, series->journal_memory, "entries", "B at each replica", size,
            (double)(cw_capacity_memory() - before) / CW_HOLLOW_REPLICAS);
    }
    cw_hollow_forwarder_free(world);
}

/** Requests that wait for a slot or run. */
static void measure_waiting(cw_capacity_bench_t *bench, size_t count)
{
    cw_hollow_forwarder_t *world = cw_hollow_forwarder_create(SERVERS, RANGES, &bench->meter);
    size_t                 before = cw_capacity_memory();
    size_t                 done;

    for (done = 0; done < count; done++) {
        cw_hollow_forwarder_request(world, true);
        cw_hollow_forwarder_deliver(world);
    }
    add(bench, "forwarder.memory", "requests held", "B", (double)count, (double)(cw_capacity_memory() - before));
    cw_hollow_forwarder_finish(world);
    check_answered(world, count);
    cw_hollow_forwarder_free(world);
}

/** A seal reads all entries of a range; the others stand between them. */
static void measure_seal(cw_capacity_bench_t *bench, size_t count)
{
    cw_hollow_forwarder_t *world = cw_hollow_forwarder_create(SERVERS, RANGES, &bench->meter);
    Cw__Envelope           envelope = CW__ENVELOPE__INIT;
    Cw__JournalSeal        seal = CW__JOURNAL_SEAL__INIT;
    Cw__Fence              epoch = world->routes[0].fence;
    cw_capacity_mark_t     mark;
    cw_capacity_cost_t     cost = {0};

    run_requests(world, count, false);
    epoch.index += 1000;
    seal.replica_incarnation = CW_CAPACITY_INCARNATIONS + 1;
    seal.service = world->service;
    seal.low = world->routes[0].low;
    seal.last = world->routes[0].low;
    seal.epoch = &epoch;
    seal.started_only = true;
    envelope.to = 1;
    envelope.from = CW_HOLLOW_GATEWAY + 1;
    envelope.body_case = CW__ENVELOPE__BODY_JOURNAL_SEAL;
    envelope.journal_seal = &seal;
    cw_capacity_meter_start(&bench->meter, &mark);
    cw_journal_receive(world->journals[0], &envelope, world->now);
    cw_capacity_meter_stop(&bench->meter, &mark, &cost);
    add(bench, "journal.seal.time", "entries of all ranges at the replica", "µs per page", (double)count, cost.us);
    world->head = world->tail; /* the answer is for nobody here */
    cw_hollow_forwarder_free(world);
}

/** What a node pays for each new version of the route table, whatever changed in it. */
static void measure_routes(cw_capacity_bench_t *bench, size_t ranges_per_server)
{
    cw_hollow_forwarder_t *world = cw_hollow_forwarder_create(SERVERS, ranges_per_server, &bench->meter);
    cw_capacity_mark_t     mark;
    cw_capacity_cost_t     cost = {0};
    size_t                 number;

    for (number = 0; number < ROUTE_CHANGES; number++) {
        cw_capacity_change_tenant(world->state, 0);
        cw_capacity_meter_start(&bench->meter, &mark);
        cw_forwarder_routes_changed(world->forwarder, world->state, world->now);
        cw_capacity_meter_stop(&bench->meter, &mark, &cost);
        cw_hollow_forwarder_deliver(world);
    }
    add(bench, "forwarder.routes.time", "ranges in the table, a third its own", "µs per change of the table",
        (double)(SERVERS * ranges_per_server), cost.us / ROUTE_CHANGES);
    cw_hollow_forwarder_free(world);
}

void cw_capacity_measure_forwarder(cw_capacity_bench_t *bench)
{
    static const request_series_t repeatable = {
        true, "forwarder.repeatable.time", "forwarder.repeatable.instructions", NULL, NULL, NULL, NULL};
    static const request_series_t journaled = {false,
                                               "forwarder.journaled.time",
                                               "forwarder.journaled.instructions",
                                               "forwarder.journaled.bytes",
                                               "forwarder.journaled.messages",
                                               "journal.time",
                                               "journal.memory"};
    static const size_t           ranges[] = {4, 16, 64, 256};
    size_t                        position;

    for (position = 0; position < sizeof(sizes) / sizeof(sizes[0]); position++) {
        measure_requests(bench, &repeatable, sizes[position]);
        measure_requests(bench, &journaled, sizes[position]);
        measure_waiting(bench, sizes[position]);
        measure_seal(bench, sizes[position]);
    }
    for (position = 0; position < sizeof(ranges) / sizeof(ranges[0]); position++) {
        measure_routes(bench, ranges[position]);
    }
}
