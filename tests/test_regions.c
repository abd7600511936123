/**
 * @file test_regions.c
 * @brief Tests of keyed services whose routes or tenants are restricted to different regions: the regions that may own
 * keys, and the placement of keys.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"
#include "placement/region_owners.h"

enum { SERVERS = 6, KEYS = 16, ROUND_TICKS = 10 };

static const cw_zone_region_t zones[] = {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}, {"z4", "r3"}};

/* ---- masks ---- */

START_TEST(a_mask_has_the_regions_that_both_rules_allow)
{
    cw_region_table_t table;
    cw_name_set_t     none = {0};
    cw_name_set_t     first = {0};
    cw_name_set_t     second = {0};
    cw_name_set_t     unknown = {0};

    cw_region_table_init(&table, zones, 4);
    cw_name_set_add(&first, "r1");
    cw_name_set_add(&first, "r2");
    cw_name_set_add(&second, "r2");
    cw_name_set_add(&second, "r3");
    cw_name_set_add(&unknown, "elsewhere");
    ck_assert_uint_eq(cw_region_mask(&table, &none, NULL), CW_REGIONS_ANY);
    ck_assert_uint_eq(cw_region_mask(&table, &first, &second), cw_region_bit(&table, "r2"));
    ck_assert_uint_eq(cw_region_mask(&table, &none, &second),
                      cw_region_bit(&table, "r2") | cw_region_bit(&table, "r3"));
    ck_assert_uint_eq(cw_region_mask(&table, &unknown, NULL), CW_REGIONS_NOWHERE);
    ck_assert(cw_region_mask_allows(CW_REGIONS_ANY, 0));
    ck_assert(!cw_region_mask_allows(cw_region_bit(&table, "r2"), cw_region_bit(&table, "r1")));
    ck_assert(!cw_region_mask_allows(CW_REGIONS_NOWHERE, cw_region_bit(&table, "r1")));
    cw_name_set_clear(&first);
    cw_name_set_clear(&second);
    cw_name_set_clear(&unknown);
}
END_TEST

/* ---- regions that may own keys ---- */

static cw_route_t *add_route(cw_configuration_t *configuration, const char *name, const char *region)
{
    cw_route_t *route = cw_configuration_add_route(configuration);

    route->name = strdup(name);
    route->host = strdup("h");
    route->prefix = strdup(name);
    route->max_attempts = 1;
    cw_route_add_part(route, "s", 1);
    if (region != NULL) {
        cw_name_set_add(&route->regions, region);
    }
    return route;
}

/* Two routes to a keyed service, restricted to these regions. */
static cw_configuration_t *configuration_of(const char *first, const char *second)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_service_t       *service = cw_configuration_add_service(configuration);

    service->name = strdup("s");
    service->keyed = true;
    (void)add_route(configuration, "/a", first);
    (void)add_route(configuration, "/b", second);
    cw_configuration_seal(configuration);
    return configuration;
}

START_TEST(a_region_may_own_keys_if_some_route_allows_it)
{
    cw_configuration_t *configuration = configuration_of("r1", "r2");

    ck_assert(cw_region_may_own(configuration, "s", "r1"));
    ck_assert(cw_region_may_own(configuration, "s", "r2"));
    ck_assert(!cw_region_may_own(configuration, "s", "r3"));
    ck_assert(cw_region_may_own(configuration, "other", "r3"));
    cw_configuration_release(configuration);
    configuration = configuration_of("r1", NULL);
    ck_assert(cw_region_may_own(configuration, "s", "r3"));
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(restrictions_of_routes_and_tenants_both_apply)
{
    cw_configuration_t *configuration = configuration_of("r1", "r2");
    cw_tenant_t        *tenant = cw_configuration_add_tenant(configuration);

    tenant->name = strdup("t");
    cw_name_set_add(&tenant->regions, "r2");
    cw_name_set_add(&tenant->regions, "r3");
    configuration->needs_keys = true; /* all requests are this tenant's */
    ck_assert(!cw_region_may_own(configuration, "s", "r1"));
    ck_assert(cw_region_may_own(configuration, "s", "r2"));
    ck_assert(!cw_region_may_own(configuration, "s", "r3"));
    cw_configuration_release(configuration);
}
END_TEST

/* ---- placement of keys ---- */

static const char *region_of_owner(node_fixture_t *node, uint32_t key)
{
    const cw_range_t *range = cw_range_list_find(cw_assigner_ranges(node->router.assignments[0].assigner), key);

    return cw_server_pool_find(node->router.pool, range->owner.id)->region;
}

static size_t count_held(const node_fixture_t *node)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(node->router.assignments[0].assigner);
    size_t                 held = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        held += ranges->items[index].phase == CW_RANGE_HELD ? 1 : 0;
    }
    return held;
}

static node_fixture_t *lead_with(const char *first, const char *second)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80"); /* four in r1, two in r2 */
    ck_assert(cw_router_apply_configuration(&node->router, configuration_of(first, second), "store"));
    node_fixture_lead(node);
    return node;
}

START_TEST(a_service_with_routes_restricted_to_different_regions_has_owners)
{
    node_fixture_t *node = lead_with("r1", "r2");

    ck_assert_uint_eq(cw_assigner_ranges(node->router.assignments[0].assigner)->count, SERVERS);
    ck_assert_uint_eq(count_held(node), SERVERS);
    node_fixture_free(node);
}
END_TEST

/* Runs the node for this number of seconds with requests: those for keys of the lower half are restricted to
 * `low_regions`, those for the upper half to `high_regions`. */
static void run_seconds(node_fixture_t *node, int seconds, uint32_t low_regions, uint32_t high_regions)
{
    uint32_t            keys[KEYS];
    uint32_t            regions[KEYS];
    cw_router_samples_t samples = {keys, regions, KEYS, KEYS, "z1"};
    int                 tick;
    uint32_t            index;

    for (tick = 0; tick < seconds * 1000 / CW_TICK_MS; tick++) {
        for (index = 0; index < KEYS; index++) {
            uint32_t half = (CW_KEY_LAST + 1) / 2;

            keys[index] = (index % 2) * half + ((uint32_t)tick * 7919 + index * 1021) % half;
            regions[index] = index % 2 == 0 ? low_regions : high_regions;
        }
        if (tick % ROUND_TICKS == 0) {
            cw_router_add_samples(&node->router, cw_name_hash("s"), &samples, cw_router_now(&node->router));
        }
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
    }
}

static uint32_t bit_of(const node_fixture_t *node, const char *region)
{
    cw_region_table_t table;

    cw_region_table_init(&table, node->router.settings.zone_regions, node->router.settings.zone_region_count);
    return cw_region_bit(&table, region);
}

/* Share of sampled keys of one half whose owner is in the region. */
static double share_in(node_fixture_t *node, uint32_t half, const char *region)
{
    uint32_t in = 0;
    uint32_t step;

    for (step = 0; step < 256; step++) {
        uint32_t key = half * (CW_KEY_LAST + 1) / 2 + step * 128;

        in += strcmp(region_of_owner(node, key), region) == 0 ? 1 : 0;
    }
    return in / 256.0;
}

START_TEST(keys_move_to_the_region_that_may_serve_their_requests)
{
    node_fixture_t *node = lead_with("r1", "r2");

    run_seconds(node, 30, bit_of(node, "r2"), bit_of(node, "r1"));
    ck_assert_double_ge(share_in(node, 0, "r2"), 0.95);
    ck_assert_double_ge(share_in(node, 1, "r1"), 0.95);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_key_requested_from_two_regions_stays_with_the_larger_part)
{
    node_fixture_t     *node = lead_with("r1", "r2");
    uint32_t            keys[] = {1000, 1000, 1000, 1000, 1000};
    uint32_t            regions[] = {1, 1, 1, 1, 1};
    cw_router_samples_t samples = {keys, regions, 5, 5, "z1"};
    size_t              moves = 0;
    int                 tick;

    regions[0] = bit_of(node, "r1");
    for (tick = 1; tick < 5; tick++) {
        regions[tick] = bit_of(node, "r2");
    }
    for (tick = 0; tick < 1000; tick++) {
        const char *before = region_of_owner(node, 1000);

        cw_router_add_samples(&node->router, cw_name_hash("s"), &samples, cw_router_now(&node->router));
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
        moves += strcmp(before, region_of_owner(node, 1000)) != 0 ? 1 : 0;
    }
    ck_assert_str_eq(region_of_owner(node, 1000), "r2");
    ck_assert_uint_le(moves, 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(unrestricted_requests_move_no_key_because_of_regions)
{
    node_fixture_t *node = lead_with(NULL, NULL);
    size_t          before = node->router.assignments[0].assigner == NULL
                                 ? 0
                                 : cw_assigner_ranges(node->router.assignments[0].assigner)->count;

    run_seconds(node, 10, CW_REGIONS_ANY, CW_REGIONS_ANY);
    ck_assert_uint_eq(cw_assigner_ranges(node->router.assignments[0].assigner)->count, before);
    node_fixture_free(node);
}
END_TEST

/* ---- failures ---- */

START_TEST(keys_of_a_lost_region_move_to_an_allowed_region)
{
    node_fixture_t *node = lead_with("r1", "r2");
    int             tick;

    run_seconds(node, 5, bit_of(node, "r1"), bit_of(node, "r2"));
    node_fixture_read_servers(node, "s", 2, "10.0.1.1:80"); /* only the servers of z1 and z2 are left */
    for (tick = 0; tick < 1000; tick++) {
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
    }
    ck_assert_double_eq(share_in(node, 0, "r1"), 1);
    /* Requests restricted to r2 are refused, unrestricted ones are served. */
    ck_assert_double_eq(share_in(node, 1, "r1"), 1);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("regions");
    TCase *cases = tcase_create("owners of keys");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_mask_has_the_regions_that_both_rules_allow);
    tcase_add_test(cases, a_region_may_own_keys_if_some_route_allows_it);
    tcase_add_test(cases, restrictions_of_routes_and_tenants_both_apply);
    tcase_add_test(cases, a_service_with_routes_restricted_to_different_regions_has_owners);
    tcase_add_test(cases, keys_move_to_the_region_that_may_serve_their_requests);
    tcase_add_test(cases, a_key_requested_from_two_regions_stays_with_the_larger_part);
    tcase_add_test(cases, unrestricted_requests_move_no_key_because_of_regions);
    tcase_add_test(cases, keys_of_a_lost_region_move_to_an_allowed_region);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
