/**
 * @file test_crossing.c
 * @brief Requests that may leave their region: crossing cost, order in which zones are asked for a slot, server choice.
 */
#include <stdlib.h>
#include <string.h>

#include "balance/crossing_cost.h"
#include "balance/server_pool.h"
#include "loop_fixture.h"
#include "proxy/slot_stages.h"

static const cw_time_us_t           start = CW_SECONDS(50);
static const cw_crossing_settings_t crossing = {.ms_per_mb = 30000, .round_trip = CW_MS(16)};
static const cw_zone_region_t       regions[] = {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}, {"z4", "r3"}};

/* ---- crossing cost ---- */

START_TEST(crossing_cost_grows_with_the_size_of_the_body)
{
    ck_assert_int_eq(cw_crossing_cost(&crossing, 60000), CW_MS(1816));
    ck_assert_int_eq(cw_crossing_cost(&crossing, 1000), CW_MS(46));
    ck_assert_int_eq(cw_crossing_cost(&crossing, 0), CW_MS(16));
}
END_TEST

START_TEST(request_waits_in_its_region_if_cheaper_and_within_its_objective)
{
    cw_crossing_input_t input = {
        .cost = CW_MS(1800), .wait = CW_MS(900), .mean_time = CW_MS(200), .objective_left = CW_MS(1500)};

    ck_assert(cw_crossing_should_wait(&input));
    input.cost = CW_MS(46); /* a short request */
    ck_assert(!cw_crossing_should_wait(&input));
    input.cost = CW_MS(1800);
    input.objective_left = CW_MS(1000); /* another region may still meet it */
    ck_assert(!cw_crossing_should_wait(&input));
    input.objective_left = CW_MS(9000);
    input.wait = CW_CROSSING_NO_SLOT;
    ck_assert(!cw_crossing_should_wait(&input));
}
END_TEST

/* ---- zones asked for a slot ---- */

static void check_stages(cw_slot_zone_t *zones, size_t count, cw_time_us_t cost, const char *expected)
{
    cw_slot_waits_t waits = {.near = CW_MS(30), .crossing = cost, .longest = CW_MS(1000)};
    cw_slot_stage_t stages[CW_SLOT_STAGES_MAX];
    size_t          made = cw_slot_stages_make(zones, count, &waits, stages);
    char            text[256] = "";
    size_t          index;

    for (index = 0; index < made; index++) {
        size_t length = strlen(text);

        snprintf(text + length, sizeof(text) - length, "%s%s %d", index == 0 ? "" : ", ", stages[index].zone,
                 (int)(stages[index].wait / 1000));
    }
    ck_assert_str_eq(text, expected);
}

START_TEST(zones_of_one_region_are_asked_for_free_slots_and_the_own_one_again_at_last)
{
    cw_slot_zone_t zones[] = {{"z1", CW_DISTANCE_ZONE}, {"z2", CW_DISTANCE_REGION}, {"z5", CW_DISTANCE_REGION}};

    check_stages(zones, 3, CW_MS(500), "z1 30, z2 0, z5 0, z1 1000");
    check_stages(zones, 1, CW_MS(500), "z1 1000, z1 1000");
    check_stages(zones, 0, CW_MS(500), "");
}
END_TEST

START_TEST(other_regions_are_asked_after_waiting_for_the_crossing_cost)
{
    cw_slot_zone_t zones[] = {
        {"z1", CW_DISTANCE_ZONE}, {"z3", CW_DISTANCE_REMOTE}, {"z2", CW_DISTANCE_REGION}, {"z4", CW_DISTANCE_REMOTE}};

    check_stages(zones, 4, CW_MS(500), "z1 30, z2 0, z1 500, z2 500, z3 0, z4 0, z1 1000");
    check_stages(zones, 4, CW_MS(20),
                 "z1 30, z2 0, z3 0, z4 0, z1 1000"); /* the first stage waits longer than crossing costs already */
    check_stages(zones, 4, CW_MS(9000), "z1 30, z2 0, z1 1000, z2 1000, z3 0, z4 0, z1 1000");
}
END_TEST

START_TEST(nearest_zones_are_kept_if_there_are_too_many)
{
    cw_slot_zone_t zones[CW_SLOT_ZONES_MAX];
    cw_slot_zone_t far = {"far", CW_DISTANCE_REMOTE};
    cw_slot_zone_t near = {"near", CW_DISTANCE_REGION};
    cw_slot_zone_t own = {"own", CW_DISTANCE_ZONE};
    size_t         count = 0;
    size_t         index;

    for (index = 0; index < 2 * CW_SLOT_ZONES_MAX; index++) {
        count = cw_slot_zones_add(zones, count, &far);
    }
    count = cw_slot_zones_add(zones, count, &near);
    count = cw_slot_zones_add(zones, count, &own);
    ck_assert_uint_eq(count, CW_SLOT_ZONES_MAX);
    ck_assert_str_eq(zones[0].name, "own");
    ck_assert_str_eq(zones[1].name, "near");
    ck_assert_str_eq(zones[2].name, "far");
    count = cw_slot_zones_add(zones, count, &far);
    ck_assert_uint_eq(count, CW_SLOT_ZONES_MAX);
}
END_TEST

START_TEST(own_region_without_servers_is_skipped)
{
    cw_slot_zone_t zones[] = {{"z3", CW_DISTANCE_REMOTE}, {"z4", CW_DISTANCE_REMOTE}};

    check_stages(zones, 2, CW_MS(500), "z3 30, z4 0, z3 1000");
}
END_TEST

START_TEST(stages_of_the_greatest_number_of_zones_fit)
{
    cw_slot_zone_t  zones[CW_SLOT_ZONES_MAX];
    cw_slot_waits_t waits = {.near = 1, .crossing = 2, .longest = 3};
    cw_slot_stage_t stages[CW_SLOT_STAGES_MAX];
    size_t          near;
    size_t          index;

    for (near = 0; near <= CW_SLOT_ZONES_MAX; near++) {
        for (index = 0; index < CW_SLOT_ZONES_MAX; index++) {
            zones[index] = (cw_slot_zone_t){"z", index < near ? CW_DISTANCE_REGION : CW_DISTANCE_REMOTE};
        }
        ck_assert_uint_le(cw_slot_stages_make(zones, CW_SLOT_ZONES_MAX, &waits, stages), CW_SLOT_STAGES_MAX);
    }
}
END_TEST

/* ---- server choice ---- */

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

/* One server with two slots in each zone; this node is in z1. */
static cw_server_pool_t *new_pool(void)
{
    static const char *const ids[] = {"a", "b", "c", "d"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);
    cw_server_list_t        *list = cw_server_list_create();
    size_t                   index;

    cw_server_pool_set_regions(pool, regions, 4);
    for (index = 0; index < 4; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        entry->id = strdup(ids[index]);
        entry->service = strdup("docks");
        entry->address = strdup(ids[index]);
        entry->zone = strdup(regions[index].zone);
        entry->capacity = 2;
    }
    cw_server_list_seal(list);
    cw_server_pool_update(pool, list, start);
    cw_server_list_release(list);
    return pool;
}

static void fill(cw_server_pool_t *pool, const char *id)
{
    cw_server_t *server = cw_server_pool_find(pool, id);

    while (server->own < server->capacity) {
        cw_server_pool_begin_request(server, start);
    }
}

static const char *chosen(cw_server_pool_t *pool, double remote_penalty, bool stays, bool *full)
{
    cw_choice_settings_t settings = {.zone_penalty = 0.7, .remote_penalty = remote_penalty, .stays_in_region = stays};
    const cw_server_t   *server;

    server = cw_server_pool_choose(pool, "docks", &settings, NULL, start, full);
    return server == NULL ? "none" : server->id;
}

START_TEST(another_zone_of_the_region_is_preferred_to_other_regions)
{
    cw_server_pool_t *pool = new_pool();
    bool              full;

    fill(pool, "a");
    cw_server_pool_begin_request(cw_server_pool_find(pool, "b"), start); /* busier than the servers of other regions */
    ck_assert_str_eq(chosen(pool, 0.3, false, &full), "b");
    ck_assert_str_eq(chosen(pool, 0, false, &full), "c");
    fill(pool, "b");
    ck_assert_str_eq(chosen(pool, 0.3, false, &full), "c");
    ck_assert_str_eq(chosen(pool, 0.3, true, &full), "none");
    ck_assert(full);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(speed_of_the_region_counts_only_servers_that_answer)
{
    cw_server_pool_t *pool = new_pool();
    cw_name_set_t     none = {0};
    cw_region_rule_t  anywhere = {.route = &none};
    cw_server_t      *server = cw_server_pool_find(pool, "b");

    ck_assert(cw_server_pool_has_regions(pool));
    ck_assert_double_eq(cw_server_pool_speed(pool, "docks", start), 8);
    ck_assert_double_eq(cw_server_pool_speed_near(pool, "docks", &anywhere, start), 4);
    cw_server_pool_record_fault(server, start);
    ck_assert_double_eq(cw_server_pool_speed_near(pool, "docks", &anywhere, start), 2);
    cw_server_pool_record_fault(cw_server_pool_find(pool, "a"), start); /* the region has lost all its servers */
    ck_assert_double_eq(cw_server_pool_speed_near(pool, "docks", &anywhere, start), 0);
    cw_server_pool_free(pool);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("crossing");
    TCase *cases = tcase_create("regions and requests without a key");

    tcase_add_test(cases, crossing_cost_grows_with_the_size_of_the_body);
    tcase_add_test(cases, request_waits_in_its_region_if_cheaper_and_within_its_objective);
    tcase_add_test(cases, zones_of_one_region_are_asked_for_free_slots_and_the_own_one_again_at_last);
    tcase_add_test(cases, other_regions_are_asked_after_waiting_for_the_crossing_cost);
    tcase_add_test(cases, own_region_without_servers_is_skipped);
    tcase_add_test(cases, nearest_zones_are_kept_if_there_are_too_many);
    tcase_add_test(cases, stages_of_the_greatest_number_of_zones_fit);
    tcase_add_test(cases, another_zone_of_the_region_is_preferred_to_other_regions);
    tcase_add_test(cases, speed_of_the_region_counts_only_servers_that_answer);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
