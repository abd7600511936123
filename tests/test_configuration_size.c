/**
 * @file test_configuration_size.c
 * @brief Cost of a large configuration: putting it in force, and finding the route of a request.
 *
 * Bounds are ratios of processor time within one run.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum {
    FEW_ROUTES = 1000,
    MANY_ROUTES = 8 * FEW_ROUTES,
    TRIES = 3,     /* the shortest of these is compared */
    RATIO_MAX = 24 /* three times the ratio of the sizes: sorting, caches; a comparison of all pairs gives 64 */
};

static double processor_seconds(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* All routes are of one host. The last one has this weight, so versions differ in one route. */
static cw_configuration_t *configuration_of(uint64_t version, int routes)
{
    cw_configuration_t *configuration = cw_configuration_create(version);
    int                 index;

    for (index = 0; index < routes; index++) {
        cw_route_t *route = cw_configuration_add_route(configuration);
        char        text[32];

        snprintf(text, sizeof(text), "r%d", index);
        route->name = strdup(text);
        route->host = strdup("a.example");
        snprintf(text, sizeof(text), "/p%d/", index);
        route->prefix = strdup(text);
        route->max_attempts = 1;
        cw_route_add_part(route, "s", index == routes - 1 ? (double)version : 1);
    }
    cw_configuration_seal(configuration);
    return configuration;
}

/* Processor time for one changed route in a configuration of this size. */
static double time_to_apply(int routes)
{
    double shortest = 1e9;
    int    tries;

    for (tries = 0; tries < TRIES; tries++) {
        node_fixture_t     *node = node_fixture_create();
        cw_configuration_t *next = configuration_of(2, routes);
        double              begun;

        ck_assert(cw_router_apply_configuration(&node->router, configuration_of(1, routes), "store"));
        begun = processor_seconds();
        ck_assert(cw_router_apply_configuration(&node->router, next, "store"));
        begun = processor_seconds() - begun;
        shortest = begun < shortest ? begun : shortest;
        node_fixture_free(node);
    }
    return shortest;
}

/* Guards against: a node stands still for seconds while it puts thousands of routes in force, since each is looked for
 * among all others. */
START_TEST(the_time_to_put_routes_in_force_grows_as_their_number)
{
    double few = time_to_apply(FEW_ROUTES);
    double many = time_to_apply(MANY_ROUTES);

    ck_assert_msg(many < few * RATIO_MAX, "%d routes: %.2f ms, %d routes: %.2f ms", FEW_ROUTES, few * 1e3, MANY_ROUTES,
                  many * 1e3);
}
END_TEST

static double time_to_match(const cw_configuration_t *configuration, size_t lookups)
{
    double shortest = 1e9;
    int    tries;

    for (tries = 0; tries < TRIES; tries++) {
        double begun = processor_seconds();
        size_t index;

        for (index = 0; index < lookups; index++) {
            const cw_route_t *route = &configuration->routes[index * 7919 % configuration->route_count];

            ck_assert_ptr_eq(cw_configuration_match(configuration, "a.example", route->prefix), route);
            ck_assert_ptr_null(cw_configuration_match(configuration, "a.example", "/none/of/them"));
        }
        begun = processor_seconds() - begun;
        shortest = begun < shortest ? begun : shortest;
    }
    return shortest;
}

/* Guards against: each request is compared with all routes of its host. */
START_TEST(the_time_to_find_a_route_hardly_grows_with_their_number)
{
    cw_configuration_t *few = configuration_of(1, FEW_ROUTES);
    cw_configuration_t *many = configuration_of(1, MANY_ROUTES);
    double              in_few = time_to_match(few, FEW_ROUTES);
    double              in_many = time_to_match(many, FEW_ROUTES);

    ck_assert_msg(in_many < in_few * 3, "among %d: %.2f ms, among %d: %.2f ms", FEW_ROUTES, in_few * 1e3, MANY_ROUTES,
                  in_many * 1e3);
    cw_configuration_release(few);
    cw_configuration_release(many);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration_size");
    TCase *cases = tcase_create("configuration_size");

    tcase_set_timeout(cases, 120);
    tcase_add_test(cases, the_time_to_put_routes_in_force_grows_as_their_number);
    tcase_add_test(cases, the_time_to_find_a_route_hardly_grows_with_their_number);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
