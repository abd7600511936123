/**
 * @file test_zones.c
 * @brief Zones out of service, and the rate of cold servers: the modules by themselves, and the pool that goes by them.
 */
#include <stdlib.h>
#include <string.h>

#include "balance/server_pool.h"
#include "loop_fixture.h"
#include "model/zone_service.h"

static const cw_time_us_t start = CW_SECONDS(100);
static const cw_time_us_t out_within = CW_SECONDS(5);

/* ---- zones ---- */

static void apply(cw_zone_service_t *zones, const char *zone, cw_time_us_t before_valid_at, cw_time_us_t now)
{
    cw_name_set_t out = {0};

    if (zone != NULL) {
        cw_name_set_add(&out, zone);
    }
    cw_zone_service_apply(zones, &out, before_valid_at, now, NULL, NULL);
    cw_name_set_clear(&out);
}

START_TEST(a_set_has_each_name_once_and_in_order)
{
    cw_name_set_t left = {0};
    cw_name_set_t right = {0};

    cw_name_set_add(&left, "b");
    cw_name_set_add(&left, "a");
    cw_name_set_add(&left, "b");
    cw_name_set_add(&right, "a");
    ck_assert(!cw_name_set_same(&left, &right));
    ck_assert_uint_ne(cw_name_set_hash(&left), cw_name_set_hash(&right));
    cw_name_set_add(&right, "b");
    ck_assert(cw_name_set_same(&left, &right));
    ck_assert_uint_eq(cw_name_set_hash(&left), cw_name_set_hash(&right));
    ck_assert(cw_name_set_has(&left, "a") && !cw_name_set_has(&left, "c"));
    cw_name_set_clear(&left);
    cw_name_set_clear(&right);
}
END_TEST

START_TEST(owners_of_a_zone_are_reached_for_a_part_of_the_bound_that_counts_from_before_the_act)
{
    cw_zone_service_t *zones = cw_zone_service_create(out_within);

    apply(zones, NULL, 0, start);
    apply(zones, "z1", start + CW_MS(400), start + CW_MS(1000));
    ck_assert(cw_zone_service_is_out(zones, "z1") && !cw_zone_service_is_out(zones, "z2"));
    ck_assert_int_gt(cw_zone_service_owners_until(zones, "z1"), start + CW_MS(1000));
    ck_assert_int_le(cw_zone_service_owners_until(zones, "z1"), start + CW_MS(400) + out_within);
    /* the same zone in a later snapshot does not begin a new time */
    apply(zones, "z1", start + CW_MS(3000), start + CW_MS(3500));
    ck_assert_int_le(cw_zone_service_owners_until(zones, "z1"), start + CW_MS(400) + out_within);
    cw_zone_service_free(zones);
}
END_TEST

START_TEST(a_zone_that_is_out_at_the_start_has_been_so_for_an_unknown_time)
{
    cw_zone_service_t *zones = cw_zone_service_create(out_within);

    apply(zones, "z1", start, start + CW_MS(100));
    ck_assert(cw_zone_service_is_out(zones, "z1"));
    ck_assert_int_eq(cw_zone_service_owners_until(zones, "z1"), 0);
    cw_zone_service_free(zones);
}
END_TEST

START_TEST(a_zone_put_back_and_taken_out_again_begins_anew)
{
    cw_zone_service_t *zones = cw_zone_service_create(out_within);
    cw_time_us_t       first;

    apply(zones, NULL, 0, start);
    apply(zones, "z1", start, start + CW_MS(100));
    first = cw_zone_service_owners_until(zones, "z1");
    apply(zones, NULL, start + CW_MS(100), start + CW_MS(500));
    ck_assert(!cw_zone_service_is_out(zones, "z1"));
    ck_assert_int_eq(cw_zone_service_put_back_at(zones, "z1"), start + CW_MS(500));
    apply(zones, "z1", start + CW_MS(500), start + CW_MS(900));
    ck_assert(cw_zone_service_is_out(zones, "z1"));
    ck_assert_int_gt(cw_zone_service_owners_until(zones, "z1"), first);
    cw_zone_service_free(zones);
}
END_TEST

START_TEST(two_zones_are_out_independently)
{
    cw_zone_service_t *zones = cw_zone_service_create(out_within);
    cw_name_set_t      out = {0};

    apply(zones, NULL, 0, start);
    apply(zones, "z1", start, start + CW_MS(100));
    cw_name_set_add(&out, "z1");
    cw_name_set_add(&out, "z2");
    cw_zone_service_apply(zones, &out, start + CW_MS(200), start + CW_MS(300), NULL, NULL);
    ck_assert(cw_zone_service_is_out(zones, "z1") && cw_zone_service_is_out(zones, "z2"));
    apply(zones, "z2", start + CW_MS(300), start + CW_MS(400));
    ck_assert(!cw_zone_service_is_out(zones, "z1") && cw_zone_service_is_out(zones, "z2"));
    cw_name_set_clear(&out);
    cw_zone_service_free(zones);
}
END_TEST

/* ---- the rate of cold servers ---- */

enum { NODES = 79, SECOND_US = 1000000 };

static const double bears = 6.7;

/* Node `own` of `count` nodes, each known by its number. */
static cw_cold_rate_t *node_of(uint32_t own, uint32_t first, uint32_t count, cw_time_us_t now)
{
    cw_cold_rate_t *rate = cw_cold_rate_create(own);
    uint32_t        others[NODES];
    uint32_t        known = 0;
    uint32_t        number;

    for (number = first; number < first + count; number++) {
        if (number != own) {
            others[known++] = number;
        }
    }
    cw_cold_rate_set_nodes(rate, others, known, now);
    return rate;
}

START_TEST(a_few_nodes_share_a_cold_server_and_others_send_none)
{
    uint32_t server;

    for (server = 1; server < 20; server++) {
        uint32_t sharers = 0;
        uint32_t own;

        for (own = 1; own <= NODES; own++) {
            cw_cold_rate_t *rate = node_of(own, 1, NODES, start);

            sharers += cw_cold_rate_is_sharer(rate, server, bears, start + CW_SECONDS(3)) ? 1 : 0;
            cw_cold_rate_free(rate);
        }
        ck_assert_uint_eq(sharers, cw_cold_rate_sharers(bears));
        ck_assert_double_le(sharers * CW_COLD_SENDS_PER_SECOND, bears);
    }
}
END_TEST

START_TEST(a_node_sends_no_more_than_its_part_in_any_second)
{
    cw_cold_sends_t sends = {0};
    cw_time_us_t    sent[64];
    cw_time_us_t    now;
    size_t          count = 0;
    size_t          index;

    for (now = start; now < start + CW_SECONDS(5); now += CW_MS(7)) {
        if (cw_cold_sends_allowed(&sends, now) && count < 64) {
            cw_cold_sends_note(&sends, now);
            sent[count++] = now;
        }
    }
    ck_assert_uint_ge(count, 4 * CW_COLD_SENDS_PER_SECOND);
    for (index = 0; index + CW_COLD_SENDS_PER_SECOND < count; index++) {
        ck_assert_int_gt(sent[index + CW_COLD_SENDS_PER_SECOND] - sent[index], SECOND_US);
    }
}
END_TEST

START_TEST(a_node_on_the_smaller_side_of_a_partition_sends_none)
{
    cw_cold_rate_t *rate = node_of(1, 1, NODES, start);
    uint32_t        few[] = {2, 3, 4};
    cw_time_us_t    later = start + CW_SECONDS(10);
    uint32_t        server;

    cw_cold_rate_set_nodes(rate, few, 3, start + CW_SECONDS(5));
    for (server = 1; server < 200; server++) {
        ck_assert(!cw_cold_rate_is_sharer(rate, server, bears, later));
    }
    cw_cold_rate_free(rate);
}
END_TEST

START_TEST(a_node_waits_after_the_nodes_it_knows_have_changed)
{
    cw_cold_rate_t *rate = node_of(1, 1, 3, start);
    uint32_t        two[] = {2, 3, 4};

    ck_assert(cw_cold_rate_is_sharer(rate, 7, bears, start + CW_SECONDS(3)));
    cw_cold_rate_set_nodes(rate, two, 3, start + CW_SECONDS(3));
    ck_assert(!cw_cold_rate_is_sharer(rate, 7, 100, start + CW_SECONDS(3)));
    ck_assert(!cw_cold_rate_is_sharer(rate, 7, 100, start + CW_SECONDS(4)));
    ck_assert(cw_cold_rate_is_sharer(rate, 7, 100, start + CW_SECONDS(6)));
    cw_cold_rate_free(rate);
}
END_TEST

/* ---- the pool ---- */

typedef struct pool_world {
    cw_server_pool_t  *pool;
    cw_zone_service_t *zones;
} pool_world_t;

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static void add_server(cw_server_list_t *list, const char *id, const char *zone, cw_time_us_t cold_time)
{
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup("docks");
    entry->address = strdup(id);
    entry->zone = strdup(zone);
    entry->capacity = 2;
    entry->cold_time = cold_time;
}

/* Server a in zone z1, which has taken `cold_time` to tell when it is cold, and b in z2. */
static void update(pool_world_t *world, cw_time_us_t cold_time, cw_time_us_t now)
{
    cw_server_list_t *list = cw_server_list_create();

    add_server(list, "a", "z1", cold_time);
    add_server(list, "b", "z2", 0);
    cw_server_list_seal(list);
    cw_server_pool_update(world->pool, list, now);
    cw_server_list_release(list);
}

static void init(pool_world_t *world)
{
    cw_warm_up_t warm_up = {.duration = CW_SECONDS(3), .per_s = bears};

    world->pool = cw_server_pool_create("z1", on_dropped, NULL);
    world->zones = cw_zone_service_create(out_within);
    cw_server_pool_set_warm_up(world->pool, "docks", &warm_up);
    update(world, 0, start);
    apply(world->zones, NULL, 0, start);
    cw_server_pool_set_zones(world->pool, world->zones);
}

static void clear(pool_world_t *world)
{
    cw_server_pool_free(world->pool);
    cw_zone_service_free(world->zones);
}

static const char *chosen(pool_world_t *world, cw_time_us_t now)
{
    cw_choice_settings_t settings = {.zone_penalty = 0.7};
    bool                 full;
    const cw_server_t   *server = cw_server_pool_choose(world->pool, "docks", &settings, NULL, now, &full);

    return server == NULL ? "" : server->id;
}

START_TEST(requests_for_any_server_leave_a_zone_at_once_and_owners_are_reached_a_while_longer)
{
    pool_world_t       world;
    const cw_server_t *owner;

    init(&world);
    ck_assert_str_eq(chosen(&world, start), "a");
    apply(world.zones, "z1", start, start + CW_MS(500));
    cw_server_pool_set_zones(world.pool, world.zones);
    ck_assert_str_eq(chosen(&world, start + CW_MS(500)), "b");
    owner = cw_server_pool_find(world.pool, "a");
    ck_assert(cw_server_pool_may_send(world.pool, owner, true, start + CW_MS(500)));
    ck_assert(!cw_server_pool_may_send(world.pool, owner, true, start + out_within - CW_MS(500)));
    clear(&world);
}
END_TEST

START_TEST(a_zone_that_is_put_back_counts_as_cold)
{
    pool_world_t       world;
    const cw_server_t *server;

    init(&world);
    apply(world.zones, "z1", start, start + CW_MS(500));
    cw_server_pool_set_zones(world.pool, world.zones);
    apply(world.zones, NULL, start, start + CW_SECONDS(8));
    cw_server_pool_set_zones(world.pool, world.zones);
    server = cw_server_pool_find(world.pool, "a");
    ck_assert(cw_server_is_rate_bounded(server, start + CW_MS(10900)));
    ck_assert(!cw_server_pool_may_send(world.pool, server, false, start + CW_SECONDS(9)));
    ck_assert(!cw_server_is_cold(server, start + CW_MS(11000)));
    ck_assert_str_eq(chosen(&world, start + CW_MS(11000)), "a");
    clear(&world);
}
END_TEST

START_TEST(a_server_that_is_cold_again_gets_no_more_than_its_rate_from_those_that_share_it)
{
    pool_world_t    world;
    cw_cold_rate_t *rate = node_of(1, 1, 2, start - CW_SECONDS(10));
    cw_server_t    *server;
    cw_time_us_t    now;
    size_t          sent = 0;

    init(&world);
    cw_server_pool_set_cold_rate(world.pool, rate);
    update(&world, CW_SECONDS(3), start);
    server = cw_server_pool_find(world.pool, "a");
    for (now = start; now < start + CW_SECONDS(1); now += CW_MS(5)) {
        if (cw_server_pool_may_send(world.pool, server, false, now)) {
            cw_server_pool_begin_request(server, now);
            sent++;
        }
    }
    ck_assert_uint_eq(sent, CW_COLD_SENDS_PER_SECOND);
    ck_assert(!cw_server_is_cold(server, start + CW_SECONDS(3)));
    clear(&world);
    cw_cold_rate_free(rate);
}
END_TEST

START_TEST(a_list_is_another_one_when_a_zone_goes_out_or_a_server_turns_cold)
{
    cw_server_list_t *before = cw_server_list_create();
    cw_server_list_t *after;

    add_server(before, "a", "z1", 0);
    cw_server_list_seal(before);
    after = cw_server_list_copy_without(before, NULL, 0);
    ck_assert(cw_server_list_same(before, after));
    cw_name_set_add(&after->zones_out, "z1");
    ck_assert(!cw_server_list_same(before, after));
    ck_assert_uint_ne(cw_server_list_hash(before), cw_server_list_hash(after));
    cw_name_set_clear(&after->zones_out);
    after->entries[0].cold_time = CW_SECONDS(1);
    ck_assert(!cw_server_list_same(before, after));
    ck_assert_uint_ne(cw_server_list_hash(before), cw_server_list_hash(after));
    cw_server_list_release(before);
    cw_server_list_release(after);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("zones");
    TCase *cases = tcase_create("zones and cold servers");

    tcase_add_test(cases, a_set_has_each_name_once_and_in_order);
    tcase_add_test(cases, owners_of_a_zone_are_reached_for_a_part_of_the_bound_that_counts_from_before_the_act);
    tcase_add_test(cases, a_zone_that_is_out_at_the_start_has_been_so_for_an_unknown_time);
    tcase_add_test(cases, a_zone_put_back_and_taken_out_again_begins_anew);
    tcase_add_test(cases, two_zones_are_out_independently);
    tcase_add_test(cases, a_few_nodes_share_a_cold_server_and_others_send_none);
    tcase_add_test(cases, a_node_sends_no_more_than_its_part_in_any_second);
    tcase_add_test(cases, a_node_on_the_smaller_side_of_a_partition_sends_none);
    tcase_add_test(cases, a_node_waits_after_the_nodes_it_knows_have_changed);
    tcase_add_test(cases, requests_for_any_server_leave_a_zone_at_once_and_owners_are_reached_a_while_longer);
    tcase_add_test(cases, a_zone_that_is_put_back_counts_as_cold);
    tcase_add_test(cases, a_server_that_is_cold_again_gets_no_more_than_its_rate_from_those_that_share_it);
    tcase_add_test(cases, a_list_is_another_one_when_a_zone_goes_out_or_a_server_turns_cold);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
