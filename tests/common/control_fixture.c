/**
 * @file control_fixture.c
 * @brief Fixture of the tests of the control replicas.
 */
#include "control_fixture.h"

#include <stdlib.h>

enum { TIMEOUT_S = 120 };

void control_create(void)
{
    cluster_create(1, CONTROL_LEASE_MS);
}

void control_create_with_long_lease(void)
{
    cluster_create(2, CONTROL_LONG_LEASE_MS);
}

void control_begin_service(void)
{
    cluster_accept(CONTROL_SERVERS);
    ck_assert(cluster_run_until(cluster_settled, 5 * SECOND));
}

const Cw__RangeInfo *control_first_range(void)
{
    return cw_control_state_find_range(cluster_state(), cluster_service(), 0);
}

const Cw__ServerInfo *control_server_info(size_t server)
{
    return cw_control_state_server(cluster_state(), cluster.servers[server].configuration.id);
}

bool control_check_zones(void *context, const Cw__RangeInfo *range)
{
    const cw_control_state_t *state = context;
    const char               *zones[3];
    size_t                    position;

    ck_assert_uint_eq(range->n_journal, 3);
    for (position = 0; position < 3; position++) {
        zones[position] = cw_control_state_node(state, range->journal[position]->node)->zone;
    }
    ck_assert_str_ne(zones[0], zones[1]);
    ck_assert_str_ne(zones[1], zones[2]);
    ck_assert_str_ne(zones[0], zones[2]);
    return true;
}

bool control_first_server_is_empty(void)
{
    return cluster_state() != NULL && cluster_ranges_of(0) == 0 && cluster_settled();
}

TCase *control_case(const char *name, bool long_leases)
{
    TCase *tests = tcase_create(name);

    tcase_set_timeout(tests, TIMEOUT_S);
    tcase_add_checked_fixture(tests, long_leases ? control_create_with_long_lease : control_create, cluster_free);
    return tests;
}

int control_run_suite(Suite *suite)
{
    SRunner *runner = srunner_create(suite);
    int      failed;

    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
