/**
 * @file test_refused_probes.c
 * @brief Tests when a refused connection proves that a server has ended. A node whose paths to all servers are refused
 * told the other nodes that the requests in flight there had crashed the servers.
 */
#include "loop_fixture.h"
#include "retry/refused_probes.h"

enum { SERVER = 7, SERVICE = 3, OTHER_SERVICE = 4 };

/* Successful contacts with servers of SERVICE; there are none with those of another service. */
static uint32_t successes;

static uint32_t successes_at(void *context, uint32_t service)
{
    (void)context;
    return service == SERVICE ? successes : 0;
}

static bool take(cw_refused_probes_t *probes, cw_time_us_t now)
{
    uint32_t server;
    bool     is_proved = cw_refused_probes_take(probes, successes_at, NULL, now, &server);

    ck_assert(!is_proved || server == SERVER);
    return is_proved;
}

static void add(cw_refused_probes_t *probes, uint32_t service, cw_time_us_t refused_at)
{
    cw_refused_probe_t probe = {SERVER, service, refused_at, service == SERVICE ? successes : 0};

    ck_assert(cw_refused_probes_add(probes, &probe));
}

START_TEST(a_refusal_alone_proves_nothing)
{
    cw_refused_probes_t probes = {0};

    successes = 5;
    add(&probes, SERVICE, CW_MS(100));
    ck_assert(!take(&probes, CW_MS(200)));
}
END_TEST

START_TEST(a_refusal_is_a_proof_once_another_server_was_reached_after_it)
{
    cw_refused_probes_t probes = {0};

    successes = 5;
    add(&probes, SERVICE, CW_MS(100));
    successes = 6;
    ck_assert(take(&probes, CW_MS(200)));
    ck_assert(!take(&probes, CW_MS(200)));
}
END_TEST

START_TEST(servers_of_other_services_prove_nothing)
{
    cw_refused_probes_t probes = {0};

    add(&probes, OTHER_SERVICE, CW_MS(100));
    successes = 6;
    ck_assert(!take(&probes, CW_MS(200)));
}
END_TEST

START_TEST(an_old_refusal_is_forgotten)
{
    cw_refused_probes_t probes = {0};

    successes = 0;
    add(&probes, SERVICE, CW_MS(100));
    ck_assert(!take(&probes, CW_MS(100) + CW_SECONDS(CW_REFUSED_PROBE_S) + 1));
    successes = 1;
    ck_assert(!take(&probes, CW_SECONDS(60)));
}
END_TEST

START_TEST(more_refusals_than_there_is_room_for_are_not_added)
{
    cw_refused_probes_t probes = {0};
    cw_refused_probe_t  probe = {SERVER, SERVICE, CW_MS(100), successes};
    size_t              index;

    for (index = 0; index < CW_REFUSED_PROBES_MAX; index++) {
        add(&probes, SERVICE, CW_MS(100));
    }
    ck_assert(!cw_refused_probes_add(&probes, &probe));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("refused_probes");
    TCase *cases = tcase_create("refused_probes");

    tcase_add_test(cases, a_refusal_alone_proves_nothing);
    tcase_add_test(cases, a_refusal_is_a_proof_once_another_server_was_reached_after_it);
    tcase_add_test(cases, servers_of_other_services_prove_nothing);
    tcase_add_test(cases, an_old_refusal_is_forgotten);
    tcase_add_test(cases, more_refusals_than_there_is_room_for_are_not_added);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
