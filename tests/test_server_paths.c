/**
 * @file test_server_paths.c
 * @brief Tests when a node counts as having lost its paths to all servers.
 */
#include "balance/server_paths.h"
#include "loop_fixture.h"

enum { SERVERS = 20 };

static cw_server_paths_t reached_paths(cw_time_us_t at)
{
    cw_server_paths_t paths = {0};

    cw_server_paths_record_reached(&paths, at);
    return paths;
}

static void fail_contacts(cw_server_paths_t *paths, uint32_t count)
{
    while (count-- > 0) {
        cw_server_paths_record_failed(paths);
    }
}

static void end_probes(cw_server_paths_t *paths, uint32_t count, bool are_reached, cw_time_us_t now)
{
    while (count-- > 0) {
        cw_server_paths_record_probe(paths, are_reached, now);
    }
}

/* Returns the paths after a check in which no probe was answered, at 500 ms. */
static cw_server_paths_t lost_paths(void)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    fail_contacts(&paths, CW_PATHS_FAILURES);
    end_probes(&paths, cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(250)), false, CW_MS(500));
    return paths;
}

START_TEST(one_failed_contact_is_no_reason_to_probe)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    fail_contacts(&paths, 1);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), 0);
    ck_assert(!paths.are_lost);
}
END_TEST

START_TEST(a_wanted_check_probes_once_without_failed_contacts)
{
    cw_server_paths_t paths = {0};

    cw_server_paths_want_check(&paths);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), CW_PATHS_PROBES);
    end_probes(&paths, CW_PATHS_PROBES, true, CW_MS(210));
    ck_assert(cw_server_paths_are_known_open(&paths, CW_MS(210)));
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_SECONDS(2)), 0);
}
END_TEST

START_TEST(a_wanted_check_finds_lost_paths)
{
    cw_server_paths_t paths = {0};

    cw_server_paths_want_check(&paths);
    end_probes(&paths, cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), false, CW_MS(550));
    ck_assert(paths.are_lost);
}
END_TEST

START_TEST(paths_are_lost_if_no_probe_is_answered)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    fail_contacts(&paths, CW_PATHS_FAILURES);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), CW_PATHS_PROBES);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(220)), 0);
    end_probes(&paths, CW_PATHS_PROBES - 1, false, CW_MS(450));
    ck_assert(!paths.are_lost);
    end_probes(&paths, 1, false, CW_MS(450));
    ck_assert(paths.are_lost);
    ck_assert(!cw_server_paths_are_known_open(&paths, CW_MS(450)));
}
END_TEST

START_TEST(one_answered_probe_shows_a_path)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    fail_contacts(&paths, CW_PATHS_FAILURES);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), CW_PATHS_PROBES);
    end_probes(&paths, 1, true, CW_MS(210));
    end_probes(&paths, CW_PATHS_PROBES - 1, false, CW_MS(450));
    ck_assert(!paths.are_lost);
}
END_TEST

/* Connections that were open before a cut live on, while new ones are refused: answers on them are contacts too. */
START_TEST(an_answer_during_the_check_shows_a_path)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    fail_contacts(&paths, CW_PATHS_FAILURES);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), CW_PATHS_PROBES);
    cw_server_paths_record_reached(&paths, CW_MS(300));
    end_probes(&paths, CW_PATHS_PROBES, false, CW_MS(450));
    ck_assert(!paths.are_lost);
}
END_TEST

START_TEST(lost_paths_are_probed_until_a_server_answers)
{
    cw_server_paths_t paths = lost_paths();
    cw_time_us_t      begun = CW_MS(250);
    cw_time_us_t      next = begun + CW_MS(CW_PATHS_PROBE_INTERVAL_MS);

    ck_assert(paths.are_lost);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, next - 1), 0);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, next), 1);
    end_probes(&paths, 1, false, next + CW_MS(CW_PATHS_PROBE_TIMEOUT_MS));
    ck_assert(paths.are_lost);
    next += CW_MS(CW_PATHS_PROBE_INTERVAL_MS);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, next), 1);
    end_probes(&paths, 1, true, next + 1);
    ck_assert(!paths.are_lost);
    ck_assert(cw_server_paths_are_known_open(&paths, next + 1));
}
END_TEST

START_TEST(a_node_without_contacts_does_not_probe)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(60000)), 0);
    ck_assert(!paths.are_lost);
    ck_assert(!cw_server_paths_are_known_open(&paths, CW_MS(60000)));
}
END_TEST

/* A service with one slow server fails contacts in a row: at most one check a second is worth it. */
START_TEST(checks_are_spaced)
{
    cw_server_paths_t paths = reached_paths(CW_MS(100));

    fail_contacts(&paths, CW_PATHS_FAILURES);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(200)), CW_PATHS_PROBES);
    end_probes(&paths, CW_PATHS_PROBES, true, CW_MS(210));
    fail_contacts(&paths, 10);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(1190)), 0);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, SERVERS, CW_MS(1200)), CW_PATHS_PROBES);
}
END_TEST

START_TEST(a_node_that_never_reached_a_server_is_not_known_to_reach_one)
{
    cw_server_paths_t paths = {0};

    ck_assert(!cw_server_paths_are_known_open(&paths, CW_MS(10)));
    fail_contacts(&paths, CW_PATHS_FAILURES);
    ck_assert_uint_eq(cw_server_paths_begin_probes(&paths, 0, CW_MS(5000)), 0);
    cw_server_paths_record_reached(&paths, CW_MS(5001));
    ck_assert(cw_server_paths_are_known_open(&paths, CW_MS(5001)));
    ck_assert(!cw_server_paths_are_known_open(&paths, CW_MS(5001 + CW_PATHS_FRESH_MS + 1)));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server_paths");
    TCase *cases = tcase_create("server_paths");

    tcase_add_test(cases, one_failed_contact_is_no_reason_to_probe);
    tcase_add_test(cases, a_wanted_check_probes_once_without_failed_contacts);
    tcase_add_test(cases, a_wanted_check_finds_lost_paths);
    tcase_add_test(cases, paths_are_lost_if_no_probe_is_answered);
    tcase_add_test(cases, one_answered_probe_shows_a_path);
    tcase_add_test(cases, an_answer_during_the_check_shows_a_path);
    tcase_add_test(cases, lost_paths_are_probed_until_a_server_answers);
    tcase_add_test(cases, a_node_without_contacts_does_not_probe);
    tcase_add_test(cases, checks_are_spaced);
    tcase_add_test(cases, a_node_that_never_reached_a_server_is_not_known_to_reach_one);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
