/**
 * @file capacity.c
 * @brief Slopes for docs/CAPACITY.md: sizes of datagrams and records, memory and processor time of each role's state.
 *
 * Runs the product's own modules on made-up servers and ranges, without sockets. Each figure is printed for two sizes
 * and as the slope between them. Sizes and memory are exact; times depend on the machine and are told as measured.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "assignment/range.h"
#include "balance/server_pool.h"
#include "router/router_internal.h"

enum { SMALL = 100, LARGE = 1000, NAME_MAX_BYTES = 48, ROUNDS = 200 };

typedef double (*measure_t)(size_t size);

static double now_us(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static double memory(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)(info.uordblks + info.hblkhd);
}

static void report(const char *name, const char *unit, measure_t measure)
{
    double small = measure(SMALL);
    double large = measure(LARGE);

    printf("| %s | %.4g | %.4g | %.4g | %s |\n", name, small, large, (large - small) / (LARGE - SMALL), unit);
}

static cw_server_list_t *make_list(size_t count)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    for (index = 0; index < count; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);
        char               text[NAME_MAX_BYTES];

        snprintf(text, sizeof(text), "docks-%06zu-1a2b3c4d", index);
        entry->id = strdup(text);
        entry->service = strdup("docks");
        snprintf(text, sizeof(text), "10.%zu.%zu.%zu:8080", index >> 16, (index >> 8) & 255, index & 255);
        entry->address = strdup(text);
        entry->zone = strdup(index % 2 == 0 ? "zone-a" : "zone-b");
        entry->capacity = 4;
    }
    cw_server_list_seal(list);
    return list;
}

static void ignore_drop(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static double list_memory(size_t count)
{
    double            before = memory();
    cw_server_list_t *list = make_list(count);
    double            used = memory() - before;

    cw_server_list_release(list);
    return used;
}

static double pool_memory(size_t count)
{
    cw_server_list_t *list = make_list(count);
    double            before = memory();
    cw_server_pool_t *pool = cw_server_pool_create("zone-a", ignore_drop, NULL);
    double            used;

    cw_server_pool_update(pool, list, 0);
    used = memory() - before;
    cw_server_pool_free(pool);
    cw_server_list_release(list);
    return used;
}

static double choice_time(size_t count)
{
    static const cw_choice_settings_t settings = {.zone_penalty = 0.7, .extra_slots = 0};
    cw_server_list_t                 *list = make_list(count);
    cw_server_pool_t                 *pool = cw_server_pool_create("zone-a", ignore_drop, NULL);
    double                            begun;
    bool                              full;
    size_t                            round;

    cw_server_pool_update(pool, list, 0);
    begun = now_us();
    for (round = 0; round < ROUNDS; round++) {
        if (cw_server_pool_choose(pool, "docks", &settings, NULL, (cw_time_us_t)round, &full) == NULL) {
            abort();
        }
    }
    begun = (now_us() - begun) / ROUNDS;
    cw_server_pool_free(pool);
    cw_server_list_release(list);
    return begun;
}

/* What one other node told: loads and paces of all servers. */
static double report_memory(size_t count)
{
    cw_server_list_t   *list = make_list(count);
    cw_server_pool_t   *pool = cw_server_pool_create("zone-a", ignore_drop, NULL);
    cw_server_report_t *reports = calloc(count, sizeof(*reports));
    cw_server_pace_t   *paces = calloc(count, sizeof(*paces));
    double              before;
    size_t              index;

    if (reports == NULL || paces == NULL) {
        abort();
    }
    cw_server_pool_update(pool, list, 0);
    for (index = 0; index < count; index++) {
        reports[index].hash = cw_short_name(list->entries[index].id);
        paces[index].hash = reports[index].hash;
    }
    before = memory();
    cw_server_pool_report(pool, 1, reports, count, 0);
    cw_server_pool_learn(pool, 1, paces, count, 0);
    before = memory() - before;
    free(reports);
    free(paces);
    cw_server_pool_free(pool);
    cw_server_list_release(list);
    return before;
}

static double report_bytes(size_t count)
{
    static Cwp__ServerLoad  loads[LARGE];
    static Cwp__ServerLoad *pointers[LARGE];
    Cwp__NodeReport         content = CWP__NODE_REPORT__INIT;
    Cwp__Datagram           datagram = CWP__DATAGRAM__INIT;
    size_t                  index;
    double                  size;

    for (index = 0; index < count; index++) {
        cwp__server_load__init(&loads[index]);
        loads[index].server = 0x12345678;
        loads[index].under_way = 1;
        pointers[index] = &loads[index];
    }
    content.incarnation = 1;
    content.sequence = 100000;
    content.configuration = 1000;
    content.n_loads = count;
    content.loads = pointers;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &content;
    size = (double)cwp__datagram__get_packed_size(&datagram);
    return size;
}

static void make_ranges(cw_range_list_t *ranges, size_t count)
{
    uint32_t width = (uint32_t)((CW_KEY_LAST + 1) / count);
    size_t   index;

    memset(ranges, 0, sizeof(*ranges));
    for (index = 0; index < count; index++) {
        cw_range_t *range = cw_range_list_add(ranges);

        range->low = (uint32_t)index * width;
        range->last = index + 1 == count ? CW_KEY_LAST : range->low + width - 1;
        range->phase = CW_RANGE_HELD;
        range->owner.fence = 100000 + index;
        snprintf(range->owner.id, sizeof(range->owner.id), "docks-%06zu-1a2b3c4d", index);
        snprintf(range->owner.address, sizeof(range->owner.address), "10.0.%zu.%zu:8080", index >> 8, index & 255);
    }
}

static double range_memory(size_t count)
{
    cw_range_list_t ranges;
    double          before = memory();

    make_ranges(&ranges, count);
    before = memory() - before;
    cw_range_list_clear(&ranges);
    return before;
}

static double table_bytes(size_t count)
{
    static cw_table_page_room_t room;
    cw_key_tables_t             tables = {0};
    cw_range_list_t             ranges;
    double                      size = 0;
    uint32_t                    part;

    make_ranges(&ranges, count);
    (void)cw_key_tables_update(&tables, "docks", &ranges, 1);
    for (part = 0; part < cw_table_pages_of(count); part++) {
        Cwp__TablePage page = CWP__TABLE_PAGE__INIT;

        page.service = (char *)"docks";
        cw_table_page_fill(&page, &room, tables.items[0].entries, tables.items[0].count, part);
        size += (double)cwp__table_page__get_packed_size(&page);
    }
    cw_key_tables_clear(&tables);
    cw_range_list_clear(&ranges);
    return size;
}

static double record_bytes(size_t count)
{
    cw_assignment_record_t record = {.term = 1, .write = 1, .writer = 1, .last_fence = 1};
    json_t                *value;
    char                  *text;
    double                 size;

    make_ranges(&record.ranges, count);
    value = cw_assignment_record_to_json(&record);
    text = json_dumps(value, JSON_COMPACT);
    size = (double)strlen(text);
    free(text);
    json_decref(value);
    cw_range_list_clear(&record.ranges);
    return size;
}

static double record_time(size_t count)
{
    cw_assignment_record_t record = {.term = 1, .write = 1, .writer = 1, .last_fence = 1};
    double                 begun = now_us();
    size_t                 round;

    make_ranges(&record.ranges, count);
    for (round = 0; round < ROUNDS; round++) {
        json_t *value = cw_assignment_record_to_json(&record);
        char   *text = json_dumps(value, JSON_COMPACT);

        free(text);
        json_decref(value);
    }
    cw_range_list_clear(&record.ranges);
    return (now_us() - begun) / ROUNDS;
}

int main(void)
{
    printf("| what | at %d | at %d | slope | unit |\n| --- | --- | --- | --- | --- |\n", SMALL, LARGE);
    report("list of servers, memory", "bytes, for each server", list_memory);
    report("pool of servers, memory", "bytes, for each server", pool_memory);
    report("one other node's report kept, memory", "bytes, for each server", report_memory);
    report("choice of a server, time", "us, for each server of the list", choice_time);
    report("report of a node, size", "bytes, for each server with requests", report_bytes);
    report("ranges at the leader, memory", "bytes, for each range", range_memory);
    report("table of keys, size", "bytes, for each range", table_bytes);
    report("record of assignments, size", "bytes, for each range", record_bytes);
    report("record of assignments, time to write it", "us, for each range", record_time);
    printf("\nA node known: %zu bytes. A grant's route in a node's table: %zu bytes.\n", sizeof(cw_peer_t),
           sizeof(cw_key_route_t));
    return 0;
}
