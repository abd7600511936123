/**
 * @file test_configuration.c
 * @brief Tests of route matching, configurations and the list of servers.
 */
#include <string.h>

#include "loop_fixture.h"
#include "model/configuration.h"
#include "model/server_list.h"

static void add_route(cw_configuration_t *configuration, const char *name, const char *host, const char *prefix)
{
    cw_route_t *route = cw_configuration_add_route(configuration);

    route->name = strdup(name);
    route->host = strdup(host);
    route->prefix = strdup(prefix);
    cw_route_add_part(route, "service", 1);
}

static cw_configuration_t *some_configuration(void)
{
    cw_configuration_t *configuration = cw_configuration_create(7);

    add_route(configuration, "short", "a.example", "/docks/");
    add_route(configuration, "long", "a.example", "/docks/quay/");
    add_route(configuration, "other", "b.example", "/");
    add_route(configuration, "before", "0.example", "/docks/");
    cw_configuration_seal(configuration);
    return configuration;
}

static const char *match(const cw_configuration_t *configuration, const char *host, const char *path)
{
    const cw_route_t *route = cw_configuration_match(configuration, host, path);

    return route == NULL ? "none" : route->name;
}

START_TEST(longest_prefix_wins)
{
    cw_configuration_t *configuration = some_configuration();

    ck_assert_str_eq(match(configuration, "a.example", "/docks/quay/1"), "long");
    ck_assert_str_eq(match(configuration, "a.example", "/docks/quays/1"), "short");
    ck_assert_str_eq(match(configuration, "a.example", "/docks/"), "short");
    ck_assert_str_eq(match(configuration, "a.example", "/docks"), "none");
    ck_assert_str_eq(match(configuration, "b.example", "/anything"), "other");
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(hosts_are_compared_completely_without_case_and_port)
{
    cw_configuration_t *configuration = some_configuration();

    ck_assert_str_eq(match(configuration, "A.Example:8080", "/docks/1"), "short");
    ck_assert_str_eq(match(configuration, "a.exampl", "/docks/1"), "none");
    ck_assert_str_eq(match(configuration, "a.example2", "/docks/1"), "none");
    ck_assert_str_eq(match(configuration, "", "/docks/1"), "none");
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_copied_route_keeps_its_regions_and_differs_without_them)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_configuration_t *other = cw_configuration_create(2);
    const cw_route_t   *route;

    add_route(configuration, "bound", "a.example", "/");
    route = &configuration->routes[0];
    cw_name_set_add(&configuration->routes[0].regions, "leinster");
    cw_configuration_copy_route(other, route);
    ck_assert(cw_route_same(route, &other->routes[0]));
    cw_name_set_clear(&other->routes[0].regions);
    ck_assert(!cw_route_same(route, &other->routes[0]));
    ck_assert(cw_name_set_has(&route->regions, "leinster"));
    cw_configuration_release(configuration);
    cw_configuration_release(other);
}
END_TEST

START_TEST(a_configuration_with_a_reference_outlives_a_release)
{
    cw_configuration_t *configuration = some_configuration();
    cw_configuration_t *held = cw_configuration_retain(configuration);

    cw_configuration_release(configuration);
    ck_assert_uint_eq(held->version, 7);
    ck_assert_str_eq(match(held, "b.example", "/x"), "other");
    cw_configuration_release(held);
}
END_TEST

static void add_server(cw_server_list_t *list, const char *id, const char *address, bool draining)
{
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup("service");
    entry->address = strdup(address);
    entry->zone = strdup("z");
    entry->capacity = 2;
    entry->draining = draining;
}

START_TEST(servers_are_found_by_id_and_successors_by_address)
{
    cw_server_list_t *list = cw_server_list_create();

    add_server(list, "i-b", "10.0.0.2:80", false);
    add_server(list, "i-a", "10.0.0.1:80", false);
    cw_server_list_seal(list);
    ck_assert_ptr_nonnull(cw_server_list_find(list, "i-a"));
    ck_assert_ptr_null(cw_server_list_find(list, "i-c"));
    ck_assert_ptr_null(cw_server_list_successor(list, "i-a", "10.0.0.1:80"));
    ck_assert_str_eq(cw_server_list_successor(list, "i-old", "10.0.0.1:80")->id, "i-a");
    cw_server_list_release(list);
}
END_TEST

START_TEST(lists_differ_by_state_but_not_by_heartbeat)
{
    cw_server_list_t *left = cw_server_list_create();
    cw_server_list_t *right = cw_server_list_create();

    add_server(left, "i-a", "10.0.0.1:80", false);
    add_server(right, "i-a", "10.0.0.1:80", false);
    right->entries[0].sequence = 9;
    ck_assert(cw_server_list_same(left, right));
    right->entries[0].draining = true;
    ck_assert(!cw_server_list_same(left, right));
    cw_server_list_release(left);
    cw_server_list_release(right);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration");
    TCase *cases = tcase_create("configuration");

    tcase_add_test(cases, longest_prefix_wins);
    tcase_add_test(cases, hosts_are_compared_completely_without_case_and_port);
    tcase_add_test(cases, a_copied_route_keeps_its_regions_and_differs_without_them);
    tcase_add_test(cases, a_configuration_with_a_reference_outlives_a_release);
    tcase_add_test(cases, servers_are_found_by_id_and_successors_by_address);
    tcase_add_test(cases, lists_differ_by_state_but_not_by_heartbeat);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
