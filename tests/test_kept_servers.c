/**
 * @file test_kept_servers.c
 * @brief Servers that a leader keeps although their entries are missing, at nodes that reached the store meanwhile.
 */
#include <string.h>

#include "loop_fixture.h"
#include "model/server_view.h"

static const cw_time_us_t start = CW_SECONDS(60);
static const cw_time_us_t drain = CW_SECONDS(2);

static cw_server_view_t view;

static void setup(void)
{
    cw_absence_settings_t settings = cw_absence_settings_of(CW_MS(1300), drain);

    cw_server_view_init(&view, &settings);
}

static void teardown(void)
{
    cw_server_view_clear(&view);
}

static void add(cw_server_list_t *list, const char *id, cw_time_us_t missing_since)
{
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup("docks");
    entry->address = strdup(id);
    entry->zone = strdup("z1");
    entry->missing_since = missing_since;
}

static void apply(cw_server_list_t *list, uint64_t revision, cw_server_reading_t reading, cw_time_us_t now)
{
    cw_server_list_t *before;

    cw_server_list_seal(list);
    reading.list = list;
    reading.revision = revision;
    reading.latest = revision;
    (void)cw_server_view_apply(&view, &reading, now, &before);
    cw_server_list_release(before);
}

/* A reading of this node: servers that stay, and one more if `with_other`. */
static void read_at(bool with_other, uint64_t revision, bool store_failed, cw_time_us_t now)
{
    cw_server_list_t   *list = cw_server_list_create();
    cw_server_reading_t reading = {.evidence.valid_at = now, .store_failed = store_failed};

    add(list, "stays1", 0);
    add(list, "stays2", 0);
    if (with_other) {
        add(list, "other", 0);
    }
    apply(list, revision, reading, now);
}

/* A list of the leader, which has been unable to reach the store and keeps the server that it misses since `missing`.
 * store_failed: so was this node. */
static void receive_kept(cw_time_us_t missing, uint64_t revision, bool store_failed, cw_time_us_t now)
{
    cw_server_list_t   *list = cw_server_list_create();
    cw_server_reading_t reading = {.is_from_leader = true, .store_failed = store_failed};

    add(list, "stays1", 0);
    add(list, "stays2", 0);
    add(list, "other", missing);
    apply(list, revision, reading, now);
}

static bool is_listed(cw_time_us_t now)
{
    cw_server_list_t *before;

    (void)cw_server_view_expire(&view, now, &before);
    cw_server_list_release(before);
    return cw_server_list_find(view.list, "other") != NULL;
}

/* Guards against: a leader that was cut off from the store alone brings back servers that other nodes had dropped, as
 * in review/3 (DRAIN). */
START_TEST(a_server_that_this_node_has_dropped_is_not_brought_back_by_a_leader_that_keeps_it)
{
    read_at(true, 90, false, start);
    read_at(false, 100, false, start + CW_MS(900));
    ck_assert(!is_listed(start + CW_MS(900)));
    receive_kept(start + CW_MS(1200), 110, false, start + CW_MS(1250));
    ck_assert(!is_listed(start + CW_MS(1250)));
}
END_TEST

/* Guards against: the time for which such a leader keeps a server counts from the leader's reading, at nodes whose own
 * knowledge of the server is older (DRAIN). */
START_TEST(a_server_that_a_leader_keeps_is_used_no_longer_than_this_node_may_by_its_own_list)
{
    read_at(true, 90, false, start);
    receive_kept(start + CW_MS(1200), 110, false, start + CW_MS(1250));
    ck_assert(is_listed(start + CW_MS(1250)));
    ck_assert(is_listed(start + drain * 85 / 100));
    ck_assert(!is_listed(start + drain * 90 / 100));
}
END_TEST

START_TEST(a_server_that_a_leader_keeps_is_kept_by_a_node_that_did_not_reach_the_store_either)
{
    read_at(true, 90, false, start);
    receive_kept(start + CW_MS(2500), 110, true, start + CW_MS(2550));
    ck_assert(is_listed(start + CW_MS(2550)));
    ck_assert(is_listed(start + CW_MS(3500)));
    ck_assert(!is_listed(start + CW_MS(2500) + CW_SECONDS(2)));
}
END_TEST

/* Guards against: where more than half of the servers are missing at once without an outage, the time for which they
 * are kept counts from the reading, not from when they were last listed (DRAIN). */
START_TEST(servers_that_are_missing_all_at_once_are_kept_no_longer_than_drain_allows)
{
    cw_server_list_t   *list = cw_server_list_create();
    cw_server_reading_t reading = {.evidence.valid_at = start + CW_MS(800)};

    read_at(true, 90, false, start);
    add(list, "stays1", 0);
    apply(list, 100, reading, start + CW_MS(800));
    ck_assert(is_listed(start + CW_MS(800)));
    ck_assert(!is_listed(start + drain * 90 / 100));
}
END_TEST

/* Guards against: a node that was cut off from the store alone keeps a server for the whole grace time, counted from
 * its first answered reading, though the bounds on times hold for it again before: the server had left at the begin of
 * the cut (DRAIN). */
START_TEST(a_server_kept_after_an_outage_of_this_node_is_not_used_once_the_bounds_hold_again)
{
    cw_time_us_t        failed_asked_at = start + CW_MS(2500);
    cw_time_us_t        answered_at = start + CW_MS(4000);
    cw_server_list_t   *list = cw_server_list_create();
    cw_server_reading_t reading = {
        .evidence.valid_at = answered_at, .store_failed = true, .bound_from = failed_asked_at + CW_SECONDS(3)};

    read_at(true, 90, false, start);
    add(list, "stays1", 0);
    add(list, "stays2", 0);
    apply(list, 100, reading, answered_at);
    ck_assert(is_listed(failed_asked_at + CW_MS(2900)));
    ck_assert(!is_listed(failed_asked_at + CW_SECONDS(3)));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("kept servers");
    TCase *cases = tcase_create("kept servers");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, a_server_that_this_node_has_dropped_is_not_brought_back_by_a_leader_that_keeps_it);
    tcase_add_test(cases, a_server_that_a_leader_keeps_is_used_no_longer_than_this_node_may_by_its_own_list);
    tcase_add_test(cases, a_server_that_a_leader_keeps_is_kept_by_a_node_that_did_not_reach_the_store_either);
    tcase_add_test(cases, servers_that_are_missing_all_at_once_are_kept_no_longer_than_drain_allows);
    tcase_add_test(cases, a_server_kept_after_an_outage_of_this_node_is_not_used_once_the_bounds_hold_again);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
