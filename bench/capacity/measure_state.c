/**
 * @file measure_state.c
 * @brief Replicated state and route table: memory and packed bytes of each kind of object, cost of look-ups, changes
 *        and snapshots against the number of ranges.
 */
#include <stdlib.h>

#include "bench.h"
#include "population.h"

enum { LOOKUPS = 100000, CHANGES = 2000, SERVERS_OF_RANGES = 10 };

static const size_t node_sizes[] = {50, 200, 1000, 4000, 10000};
static const size_t tenant_sizes[] = {10, 100, 300, 1000};
static const size_t server_sizes[] = {100, 400, 1600, 6400};
static const size_t range_sizes[] = {10, 50, 250, 1000, 5000}; /* for each server */

/** Names of the two series of a kind of object. */
typedef struct object_series {
    const char *size_unit;
    const char *memory;
    const char *packed;
} object_series_t;

static void measure_population(cw_capacity_bench_t *bench, const object_series_t *series,
                               const cw_capacity_population_t *population, size_t size)
{
    size_t              before = cw_capacity_memory();
    cw_control_state_t *state = cw_capacity_population_create(population);
    size_t              after = cw_capacity_memory();
    uint8_t            *data = NULL;
    size_t              length = 0;

    (void)cw_control_state_pack(state, &data, &length);
    cw_capacity_results_add(&bench->results, series->memory, series->size_unit, "B", (double)size,
                            (double)(after - before));
    cw_capacity_results_add(&bench->results, series->packed, series->size_unit, "B", (double)size, (double)length);
    free(data);
    cw_control_state_free(state);
}

static void measure_objects(cw_capacity_bench_t *bench)
{
    static const object_series_t nodes = {"nodes", "state.memory.node", "state.packed.node"};
    static const object_series_t tenants = {"tenants", "state.memory.tenant", "state.packed.tenant"};
    static const object_series_t servers = {"servers", "state.memory.server", "state.packed.server"};
    static const object_series_t ranges = {"ranges", "state.memory.range", "state.packed.range"};
    cw_capacity_population_t     population = {0};
    size_t                       position;

    for (position = 0; position < sizeof(node_sizes) / sizeof(node_sizes[0]); position++) {
        population = (cw_capacity_population_t){.nodes = node_sizes[position]};
        measure_population(bench, &nodes, &population, node_sizes[position]);
    }
    for (position = 0; position < sizeof(tenant_sizes) / sizeof(tenant_sizes[0]); position++) {
        population = (cw_capacity_population_t){.nodes = 1, .tenants = tenant_sizes[position]};
        measure_population(bench, &tenants, &population, tenant_sizes[position]);
    }
    for (position = 0; position < sizeof(server_sizes) / sizeof(server_sizes[0]); position++) {
        population = (cw_capacity_population_t){100, 1, server_sizes[position], 0};
        measure_population(bench, &servers, &population, server_sizes[position]);
    }
    for (position = 0; position < sizeof(range_sizes) / sizeof(range_sizes[0]); position++) {
        population = (cw_capacity_population_t){100, 1, SERVERS_OF_RANGES, range_sizes[position]};
        measure_population(bench, &ranges, &population, SERVERS_OF_RANGES * range_sizes[position]);
    }
}

static cw_service_id_t first_service(void)
{
    char name[32];

    cw_capacity_tenant_name(name, sizeof(name), 0);
    return cw_hash_service(name, cw_capacity_service_name());
}

static void measure_lookups(cw_capacity_bench_t *bench, const cw_control_state_t *state, double ranges)
{
    cw_service_id_t    service = first_service();
    uint64_t           random = 1;
    uint64_t           sum = 0;
    cw_capacity_mark_t mark;
    cw_capacity_cost_t cost = {0};
    size_t             number;

    cw_capacity_meter_start(&bench->meter, &mark);
    for (number = 0; number < LOOKUPS; number++) {
        sum += cw_control_state_find_range(state, service, cw_random_next(&random))->id;
    }
    cw_capacity_meter_stop(&bench->meter, &mark, &cost);
    if (sum != 0) {
        cw_capacity_results_add(&bench->results, "state.lookup.time", "ranges", "µs per look-up", ranges,
                                cost.us / LOOKUPS);
    }
}

typedef struct range_list {
    cw_range_id_t *ids;
    size_t         count;
} range_list_t;

static bool collect_range(void *context, const Cw__RangeInfo *range)
{
    range_list_t *list = context;

    list->ids[list->count++] = range->id;
    return true;
}

static void measure_changes(cw_capacity_bench_t *bench, cw_control_state_t *state, size_t ranges)
{
    range_list_t         list = {calloc(ranges + 1, sizeof(cw_range_id_t)), 0};
    cw_capacity_mark_t   mark;
    cw_capacity_cost_t   apply = {0};
    cw_capacity_cost_t   delta = {0};
    cw_control_changes_t changes;
    size_t               number;

    cw_control_state_each_range(state, collect_range, &list);
    for (number = 0; number < CHANGES; number++) {
        cw_capacity_meter_start(&bench->meter, &mark);
        cw_capacity_change_range(state, list.ids[number * 7919 % list.count]);
        cw_capacity_meter_stop(&bench->meter, &mark, &apply);
        cw_capacity_meter_start(&bench->meter, &mark);
        cw_control_state_changes_since(state, cw_control_state_version(state) - 1, &changes);
        cw_control_state_changes_free(&changes);
        cw_capacity_meter_stop(&bench->meter, &mark, &delta);
    }
    cw_capacity_results_add(&bench->results, "state.apply.time", "ranges", "µs per range changed", (double)ranges,
                            apply.us / CHANGES);
    cw_capacity_results_add(&bench->results, "state.delta.time", "ranges", "µs per delta of one range", (double)ranges,
                            delta.us / CHANGES);
    free(list.ids);
}

static void measure_snapshot(cw_capacity_bench_t *bench, const cw_control_state_t *state, double ranges)
{
    cw_control_state_t *copy = cw_control_state_create();
    uint8_t            *data = NULL;
    size_t              length = 0;
    cw_capacity_mark_t  mark;
    cw_capacity_cost_t  pack = {0};
    cw_capacity_cost_t  load = {0};

    cw_capacity_meter_start(&bench->meter, &mark);
    (void)cw_control_state_pack(state, &data, &length);
    cw_capacity_meter_stop(&bench->meter, &mark, &pack);
    cw_capacity_meter_start(&bench->meter, &mark);
    (void)cw_control_state_unpack(copy, data, length);
    cw_capacity_meter_stop(&bench->meter, &mark, &load);
    cw_capacity_results_add(&bench->results, "state.snapshot.save.time", "ranges", "µs", ranges, pack.us);
    cw_capacity_results_add(&bench->results, "state.snapshot.load.time", "ranges", "µs", ranges, load.us);
    free(data);
    cw_control_state_free(copy);
}

void cw_capacity_measure_state(cw_capacity_bench_t *bench)
{
    cw_capacity_population_t warm_up = {1, 1, 1, 1};
    size_t                   position;

    cw_control_state_free(cw_capacity_population_create(&warm_up)); /* lets libraries allocate what they keep */
    measure_objects(bench);
    for (position = 0; position < sizeof(range_sizes) / sizeof(range_sizes[0]); position++) {
        cw_capacity_population_t population = {100, 1, SERVERS_OF_RANGES, range_sizes[position]};
        cw_control_state_t      *state = cw_capacity_population_create(&population);
        size_t                   ranges = SERVERS_OF_RANGES * range_sizes[position];

        measure_lookups(bench, state, (double)ranges);
        measure_changes(bench, state, ranges);
        measure_snapshot(bench, state, (double)ranges);
        cw_control_state_free(state);
    }
}
