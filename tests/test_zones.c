/**
 * @file test_zones.c
 * @brief Tests of zones out of service and of the rate limit of cold servers: the modules alone, and the server pool
 * that applies them.
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

START_TEST(a_name_set_is_sorted_and_unique)
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

START_TEST(owners_of_a_zone_get_requests_for_a_share_of_the_bound_counted_from_before_the_action)
{
    cw_zone_service_t *zones = cw_zone_service_create(out_within);

    apply(zones, NULL, 0, start);
    apply(zones, "z1", start + CW_MS(400), start + CW_MS(1000));
    ck_assert(cw_zone_service_is_out(zones, "z1") && !cw_zone_service_is_out(zones, "z2"));
    ck_assert_int_gt(cw_zone_service_owners_until(zones, "z1"), start + CW_MS(1000));
    ck_assert_int_le(cw_zone_service_owners_until(zones, "z1"), start + CW_MS(400) + out_within);
    /* the same zone in a later snapshot does not restart the bound */
    apply(zones, "z1", start + CW_MS(3000), start + CW_MS(3500));
    ck_assert_int_le(cw_zone_service_owners_until(zones, "z1"), start + CW_MS(400) + out_within);
    cw_zone_service_free(zones);
}
END_TEST

START_TEST(a_zone_that_is_out_at_the_start_gets_no_requests)
{
    cw_zone_service_t *zones = cw_zone_service_create(out_within);

    apply(zones, "z1", start, start + CW_MS(100));
    ck_assert(cw_zone_service_is_out(zones, "z1"));
    ck_assert_int_eq(cw_zone_service_owners_until(zones, "z1"), 0);
    cw_zone_service_free(zones);
}
END_TEST

START_TEST(a_zone_put_back_and_taken_out_again_gets_a_new_bound)
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

START_TEST(two_zones_are_taken_out_independently)
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

/* ---- rate limit of cold servers ---- */

enum { NODES = 79, SECOND_US = 1000000 };

static const double cold_per_s = 6.7;

/* Returns the rate limit of node `own` among `count` nodes, which are identified by numbers. */
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

START_TEST(only_a_few_nodes_send_to_a_cold_server)
{
    uint32_t server;

    for (server = 1; server < 20; server++) {
        uint32_t sharers = 0;
        uint32_t own;

        for (own = 1; own <= NODES; own++) {
            cw_cold_rate_t *rate = node_of(own, 1, NODES, start);

            sharers += cw_cold_rate_is_sharer(rate, server, cold_per_s, start + CW_SECONDS(3)) ? 1 : 0;
            cw_cold_rate_free(rate);
        }
        ck_assert_uint_eq(sharers, cw_cold_rate_sharers(cold_per_s));
        ck_assert_double_le(sharers * CW_COLD_SENDS_PER_SECOND, cold_per_s);
    }
}
END_TEST

START_TEST(a_node_sends_no_more_than_its_share_in_any_second)
{
    cw_cold_sends_t sends = {0};
    cw_time_us_t    sent[64];
    cw_time_us_t    now;
    size_t          count = 0;
    size_t          index;

    for (now = start; now < start + CW_SECONDS(5); now += CW_MS(7)) {
        if (cw_cold_sends_allowed(&sends, now) && count < 64) {
            cw_cold_sends_record(&sends, now);
            sent[count++] = now;
        }
    }
    ck_assert_uint_ge(count, 4 * CW_COLD_SENDS_PER_SECOND);
    for (index = 0; index + CW_COLD_SENDS_PER_SECOND < count; index++) {
        ck_assert_int_gt(sent[index + CW_COLD_SENDS_PER_SECOND] - sent[index], SECOND_US);
    }
}
END_TEST

START_TEST(a_node_on_the_smaller_side_of_a_partition_sends_nothing)
{
    cw_cold_rate_t *rate = node_of(1, 1, NODES, start);
    uint32_t        few[] = {2, 3, 4};
    cw_time_us_t    later = start + CW_SECONDS(10);
    uint32_t        server;

    cw_cold_rate_set_nodes(rate, few, 3, start + CW_SECONDS(5));
    for (server = 1; server < 200; server++) {
        ck_assert(!cw_cold_rate_is_sharer(rate, server, cold_per_s, later));
    }
    cw_cold_rate_free(rate);
}
END_TEST

START_TEST(a_node_waits_after_its_known_nodes_have_changed)
{
    cw_cold_rate_t *rate = node_of(1, 1, 3, start);
    uint32_t        changed_nodes[] = {2, 3, 4};

    ck_assert(cw_cold_rate_is_sharer(rate, 7, cold_per_s, start + CW_SECONDS(3)));
    cw_cold_rate_set_nodes(rate, changed_nodes, 3, start + CW_SECONDS(3));
    ck_assert(!cw_cold_rate_is_sharer(rate, 7, 100, start + CW_SECONDS(3)));
    ck_assert(!cw_cold_rate_is_sharer(rate, 7, 100, start + CW_SECONDS(4)));
    ck_assert(cw_cold_rate_is_sharer(rate, 7, 100, start + CW_SECONDS(6)));
    cw_cold_rate_free(rate);
}
END_TEST

/* ---- server pool ---- */

typedef struct pool_fixture {
    cw_server_pool_t  *pool;
    cw_zone_service_t *zones;
} pool_fixture_t;

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

/* Updates the pool with server a in zone z1, whose remaining warm-up time is `cold_time`, and server b in z2. */
static void update(pool_fixture_t *fixture, cw_time_us_t cold_time, cw_time_us_t now)
{
    cw_server_list_t *list = cw_server_list_create();

    add_server(list, "a", "z1", cold_time);
    add_server(list, "b", "z2", 0);
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->pool, list, now);
    cw_server_list_release(list);
}

static void init(pool_fixture_t *fixture)
{
    cw_warm_up_t warm_up = {.duration = CW_SECONDS(3), .per_s = cold_per_s};

    fixture->pool = cw_server_pool_create("z1", on_dropped, NULL);
    fixture->zones = cw_zone_service_create(out_within);
    cw_server_pool_set_warm_up(fixture->pool, "docks", &warm_up);
    update(fixture, 0, start);
    apply(fixture->zones, NULL, 0, start);
    cw_server_pool_set_zones(fixture->pool, fixture->zones);
}

static void clear(pool_fixture_t *fixture)
{
    cw_server_pool_free(fixture->pool);
    cw_zone_service_free(fixture->zones);
}

static const char *chosen(pool_fixture_t *fixture, cw_time_us_t now)
{
    cw_choice_settings_t settings = {.zone_penalty = 0.7};
    bool                 full;
    const cw_server_t   *server = cw_server_pool_choose(fixture->pool, "docks", &settings, NULL, now, &full);

    return server == NULL ? "" : server->id;
}

START_TEST(unkeyed_requests_avoid_a_zone_immediately_and_owners_get_requests_longer)
{
    pool_fixture_t     fixture;
    const cw_server_t *owner;

    init(&fixture);
    ck_assert_str_eq(chosen(&fixture, start), "a");
    apply(fixture.zones, "z1", start, start + CW_MS(500));
    cw_server_pool_set_zones(fixture.pool, fixture.zones);
    ck_assert_str_eq(chosen(&fixture, start + CW_MS(500)), "b");
    owner = cw_server_pool_find(fixture.pool, "a");
    ck_assert(cw_server_pool_may_send(fixture.pool, owner, true, start + CW_MS(500)));
    ck_assert(!cw_server_pool_may_send(fixture.pool, owner, true, start + out_within - CW_MS(500)));
    clear(&fixture);
}
END_TEST

START_TEST(a_zone_that_is_put_back_counts_as_cold)
{
    pool_fixture_t     fixture;
    const cw_server_t *server;

    init(&fixture);
    apply(fixture.zones, "z1", start, start + CW_MS(500));
    cw_server_pool_set_zones(fixture.pool, fixture.zones);
    apply(fixture.zones, NULL, start, start + CW_SECONDS(8));
    cw_server_pool_set_zones(fixture.pool, fixture.zones);
    server = cw_server_pool_find(fixture.pool, "a");
    ck_assert(cw_server_is_rate_bounded(server, start + CW_MS(10900)));
    ck_assert(!cw_server_pool_may_send(fixture.pool, server, false, start + CW_SECONDS(9)));
    ck_assert(!cw_server_is_cold(server, start + CW_MS(11000)));
    ck_assert_str_eq(chosen(&fixture, start + CW_MS(11000)), "a");
    clear(&fixture);
}
END_TEST

START_TEST(a_server_that_is_cold_again_gets_no_more_than_its_rate)
{
    pool_fixture_t  fixture;
    cw_cold_rate_t *rate = node_of(1, 1, 2, start - CW_SECONDS(10));
    cw_server_t    *server;
    cw_time_us_t    now;
    size_t          sent = 0;

    init(&fixture);
    cw_server_pool_set_cold_rate(fixture.pool, rate);
    update(&fixture, CW_SECONDS(3), start);
    server = cw_server_pool_find(fixture.pool, "a");
    for (now = start; now < start + CW_SECONDS(1); now += CW_MS(5)) {
        if (cw_server_pool_may_send(fixture.pool, server, false, now)) {
            cw_server_pool_begin_request(server, now);
            sent++;
        }
    }
    ck_assert_uint_eq(sent, CW_COLD_SENDS_PER_SECOND);
    ck_assert(!cw_server_is_cold(server, start + CW_SECONDS(3)));
    clear(&fixture);
    cw_cold_rate_free(rate);
}
END_TEST

START_TEST(lists_differ_by_zones_out_and_by_cold_servers)
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

    tcase_add_test(cases, a_name_set_is_sorted_and_unique);
    tcase_add_test(cases, owners_of_a_zone_get_requests_for_a_share_of_the_bound_counted_from_before_the_action);
    tcase_add_test(cases, a_zone_that_is_out_at_the_start_gets_no_requests);
    tcase_add_test(cases, a_zone_put_back_and_taken_out_again_gets_a_new_bound);
    tcase_add_test(cases, two_zones_are_taken_out_independently);
    tcase_add_test(cases, only_a_few_nodes_send_to_a_cold_server);
    tcase_add_test(cases, a_node_sends_no_more_than_its_share_in_any_second);
    tcase_add_test(cases, a_node_on_the_smaller_side_of_a_partition_sends_nothing);
    tcase_add_test(cases, a_node_waits_after_its_known_nodes_have_changed);
    tcase_add_test(cases, unkeyed_requests_avoid_a_zone_immediately_and_owners_get_requests_longer);
    tcase_add_test(cases, a_zone_that_is_put_back_counts_as_cold);
    tcase_add_test(cases, a_server_that_is_cold_again_gets_no_more_than_its_rate);
    tcase_add_test(cases, lists_differ_by_zones_out_and_by_cold_servers);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
