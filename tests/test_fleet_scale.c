/**
 * @file test_fleet_scale.c
 * @brief A leader of a thousand nodes and ten thousand servers, in logical time: its work for each owner of keys is
 *        bounded, and no part of its work grows faster than the fleet.
 *
 * Patterns of load: the first grants to all owners of keys at once; the renewals of all owners; plans over all owners;
 * changes of the list that leave nearly all of it unchanged.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/metrics.h"
#include "loop_fixture.h"
#include "model/server_view.h"
#include "node_fixture.h"

enum {
    OWNERS = 6000,
    SERVERS = 10000,
    ORDERS_IN_FLIGHT_MAX = 512,
    TICKS_MAX = 400,
    RENEWAL_S = 20,
    RENEWALS_PER_SECOND_MAX = 2000 * 11 / 10, /* the budget of half a core, and a tenth for renewals due at both ends */
    FEW = 1500,
    MANY = 4 * FEW,
    REPEATS = 7
};

/* Largest accepted growth of time for four times the size. Linear work takes four times as long, and sorting a little
 * more; quadratic work takes sixteen times as long. */
static const double growth_max = 9;

static node_fixture_t *new_leader(size_t servers)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", servers, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead_unanswered(node);
    return node;
}

static size_t held_ranges(const node_fixture_t *node)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(node->router.assignments[0].assigner);
    size_t                 count = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        count += ranges->items[index].phase == CW_RANGE_HELD ? 1 : 0;
    }
    return count;
}

/* Runs turns until all ranges are held. Returns their number. */
static int tick_until_held(node_fixture_t *node, size_t owners)
{
    int tick = 0;

    while (held_ranges(node) < owners) {
        ck_assert_uint_le(node->order_count, ORDERS_IN_FLIGHT_MAX);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
        node_fixture_answer_store(node);
        node_fixture_tick(node, CW_TICK_MS);
        ck_assert_int_lt(++tick, TICKS_MAX);
    }
    return tick;
}

START_TEST(first_grants_to_thousands_of_owners_are_bounded_and_published_in_few_tables)
{
    node_fixture_t *node = new_leader(OWNERS);
    uint64_t        tables = node->router.leader_tables_version;
    int             ticks;

    ck_assert_uint_eq(cw_assigner_ranges(node->router.assignments[0].assigner)->count, OWNERS);
    ticks = tick_until_held(node, OWNERS);
    ck_assert_uint_le(node->router.leader_tables_version - tables, (uint64_t)ticks * ORDERS_IN_FLIGHT_MAX / 100);
    node_fixture_tick(node, 1000); /* the last changes are published, too */
    ck_assert(!node->router.table_publication.is_due);
    node_fixture_free(node);
}
END_TEST

/* Returns the number of renewals a second over RENEWAL_S seconds. check_leases shows afterwards that no lease
 * expired. */
static double measured_renewals_per_second(node_fixture_t *node)
{
    uint64_t before = 0;
    uint64_t sent = 0;
    int      tick;

    for (tick = 0; tick < RENEWAL_S * 1000 / CW_TICK_MS; tick++) {
        node_fixture_tick(node, CW_TICK_MS);
        sent += node->order_count;
        node_fixture_answer_orders(node, CW_ORDER_DONE);
        node_fixture_answer_store(node);
        if (tick * CW_TICK_MS % 1000 == 0) { /* keeps the list fresh: owners that are not listed are not renewed */
            cw_list_evidence_t evidence = {.valid_at = cw_router_now(&node->router)};

            cw_server_view_confirm(&node->router.server_view, node->router.server_view.revision, &evidence);
        }
    }
    return (double)(sent - before) / RENEWAL_S;
}

static void check_leases(const node_fixture_t *node)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(node->router.assignments[0].assigner);
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t *range = &ranges->items[index];

        ck_assert_int_eq(range->phase, CW_RANGE_HELD);
        ck_assert_int_gt(range->hold_until, cw_router_now(&node->router) + CW_SECONDS(3));
    }
}

START_TEST(renewals_stay_within_their_budget_at_this_size_and_at_twice_this_size)
{
    size_t          owners = _i == 0 ? OWNERS : 2 * OWNERS;
    node_fixture_t *node = new_leader(owners);

    (void)tick_until_held(node, owners);
    ck_assert_double_le(measured_renewals_per_second(node), RENEWALS_PER_SECOND_MAX);
    check_leases(node);
    node_fixture_free(node);
}
END_TEST

/* ---- growth ---- */

static double cpu_s(void)
{
    struct timespec time;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* CPU time in seconds of a turn with a plan: the shortest of several. */
static double time_of_plan(size_t owners)
{
    node_fixture_t *node = new_leader(owners);
    uint32_t        keys[64];
    double          best = 1e9;
    size_t          index;
    int             repeat;

    (void)tick_until_held(node, owners);
    for (repeat = 0; repeat < REPEATS; repeat++) {
        double begun;

        for (index = 0; index < 64; index++) {
            keys[index] = (uint32_t)((repeat * 64 + index) * 977 % (CW_KEY_LAST + 1));
        }
        node_fixture_receive_samples(node, keys, 64, 600);
        begun = cpu_s();
        node_fixture_tick(node, 400);
        best = cpu_s() - begun < best ? cpu_s() - begun : best;
        node_fixture_answer_orders(node, CW_ORDER_DONE);
        node_fixture_answer_store(node);
    }
    node_fixture_free(node);
    return best;
}

START_TEST(the_time_of_a_plan_grows_with_the_owners_not_with_their_square)
{
    double few = time_of_plan(FEW);
    double many = time_of_plan(MANY);

    ck_assert_double_lt(many / few, growth_max);
}
END_TEST

static cw_server_list_t *list_of(size_t count)
{
    cw_server_list_t *list = cw_server_list_create();
    char              text[32];
    size_t            index;

    for (index = 0; index < count; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        snprintf(text, sizeof(text), "i-%08zu@1796276400123", index);
        entry->id = strdup(text);
        snprintf(text, sizeof(text), "10.%zu.%zu.1:80", index / 250, index % 250);
        entry->address = strdup(text);
        entry->service = strdup("s");
        entry->zone = strdup("z1");
    }
    cw_server_list_seal(list);
    return list;
}

/* CPU time in seconds for applying a list, as if read from the store, of which one entry in fifty has changed: the
 * shortest of several. */
static double time_of_change(size_t servers)
{
    static const cw_absence_settings_t settings = {.outage = CW_MS(1500), .grace = CW_MS(1700)};
    double                             best = 1e9;
    int                                repeat;

    for (repeat = 0; repeat < REPEATS; repeat++) {
        cw_server_view_t    view;
        cw_server_list_t   *before;
        cw_server_reading_t reading = {.list = list_of(servers), .revision = 1, .latest = 1, .evidence.valid_at = 1};
        size_t              index;
        double              begun;

        cw_server_view_init(&view, &settings);
        (void)cw_server_view_apply(&view, &reading, CW_SECONDS(1), &before);
        begun = cpu_s();
        reading = (cw_server_reading_t){.list = cw_server_list_copy_without(view.list, NULL, 0),
                                        .revision = 2,
                                        .latest = 2,
                                        .evidence.valid_at = CW_SECONDS(2)};
        for (index = 0; index < servers / 50; index++) {
            reading.list->entries[50 * index].draining = true;
        }
        ck_assert_int_eq(cw_server_view_apply(&view, &reading, CW_SECONDS(2), &before), CW_VIEW_CHANGED);
        ck_assert_ptr_nonnull(cw_server_list_successor(view.list, "i-old", view.list->entries[0].address));
        best = cpu_s() - begun < best ? cpu_s() - begun : best;
        cw_server_list_release(before);
        cw_server_view_clear(&view);
    }
    return best;
}

START_TEST(the_time_of_a_list_change_grows_with_the_servers_not_with_their_square)
{
    ck_assert_double_lt(time_of_change(SERVERS) / time_of_change(SERVERS / 4), growth_max);
}
END_TEST

/* The work for each request loops over the servers of the request's service only. */
START_TEST(servers_of_one_service_are_listed_separately)
{
    enum { SERVICES = 40, EACH = SERVERS / SERVICES };
    node_fixture_t    *node = node_fixture_create();
    cw_server_pool_t  *pool = node->router.pool;
    cw_server_list_t  *list = cw_server_list_create();
    cw_server_list_t  *fewer = cw_server_list_create();
    const cw_server_t *server;
    char               service[32];
    uint32_t           odd_service;
    size_t             count = 0;
    size_t             index;

    for (index = 0; index < SERVERS; index++) {
        cw_server_entry_t entry = {.service = service, .address = "10.0.1.1:80", .zone = "z1", .capacity = 1};
        char              id[32];

        (void)snprintf(service, sizeof(service), "service-%zu", index % SERVICES);
        (void)snprintf(id, sizeof(id), "s-%05zu@1", index);
        entry.id = id;
        cw_server_list_put(list, 0, &entry);
        if (index % 2 == 0) {
            cw_server_list_put(fewer, 0, &entry);
        }
    }
    cw_server_list_seal(list);
    cw_server_list_seal(fewer);
    cw_server_pool_update(pool, list, 0);
    server = cw_server_pool_find(pool, "s-00004@1");
    for (server = cw_server_pool_of_service(pool, server->service_hash); server != NULL; server = server->next) {
        ck_assert_str_eq(server->service, "service-4");
        count++;
    }
    ck_assert_uint_eq(count, EACH);
    odd_service = cw_server_pool_find(pool, "s-00005@1")->service_hash;
    cw_server_pool_update(pool, fewer, 0);
    ck_assert_ptr_null(cw_server_pool_of_service(pool, odd_service));
    cw_server_list_release(list);
    cw_server_list_release(fewer);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("fleet_scale");
    TCase *cases = tcase_create("fleet_scale");

    tcase_set_timeout(cases, 120);
    tcase_add_test(cases, first_grants_to_thousands_of_owners_are_bounded_and_published_in_few_tables);
    tcase_add_loop_test(cases, renewals_stay_within_their_budget_at_this_size_and_at_twice_this_size, 0, 2);
    tcase_add_test(cases, the_time_of_a_plan_grows_with_the_owners_not_with_their_square);
    tcase_add_test(cases, servers_of_one_service_are_listed_separately);
    tcase_add_test(cases, the_time_of_a_list_change_grows_with_the_servers_not_with_their_square);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
