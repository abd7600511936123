/**
 * @file test_server_view.c
 * @brief Tests which list of servers is in force for different orders in which readings and the leader's lists arrive.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "model/server_view.h"
#include "model/store_epoch.h"

static const cw_absence_settings_t settings = {.outage = CW_MS(1500), .grace = CW_MS(1700), .usable = CW_MS(1800)};

static const cw_time_us_t start = CW_SECONDS(60);

static cw_server_view_t view;

static void setup(void)
{
    cw_server_view_init(&view, &settings);
}

static void teardown(void)
{
    cw_server_view_clear(&view);
}

/* Makes a list from letters: a capital letter is a leaving server, a letter after '-' a server that is kept although it
 * is missing. */
static cw_server_list_t *list_of(const char *names, uint64_t sequence, cw_time_us_t missing_since)
{
    cw_server_list_t *list = cw_server_list_create();
    bool              is_missing = false;

    for (; *names != '\0'; names++) {
        cw_server_entry_t *entry;
        bool               is_leaving = *names >= 'A' && *names <= 'Z';
        char               letter = (char)(is_leaving ? *names - 'A' + 'a' : *names);
        char               id[2] = {letter, '\0'};
        char               address[32];

        if (*names == '-') {
            is_missing = true;
            continue;
        }
        snprintf(address, sizeof(address), "10.0.0.%d:80", letter);
        entry = cw_server_list_add(list);
        entry->id = strdup(id);
        entry->service = strdup("docks");
        entry->address = strdup(address);
        entry->zone = strdup("z1");
        entry->draining = is_leaving;
        entry->sequence = sequence;
        entry->missing_since = is_missing ? missing_since : 0;
        is_missing = false;
    }
    cw_server_list_seal(list);
    return list;
}

static cw_view_result_t offer(const cw_server_reading_t *reading, cw_time_us_t now)
{
    cw_server_list_t *before;
    cw_view_result_t  result = cw_server_view_apply(&view, reading, now, &before);

    cw_server_list_release(before);
    return result;
}

static cw_view_result_t read_at(const char *names, uint64_t revision, uint64_t sequence, cw_time_us_t now)
{
    cw_server_reading_t reading = {
        .list = list_of(names, sequence, 0), .revision = revision, .latest = revision, .evidence.valid_at = now};

    return offer(&reading, now);
}

static cw_view_result_t receive_at(const char *names, uint64_t revision, cw_time_us_t now, cw_time_us_t missing_since)
{
    cw_server_reading_t reading = {
        .list = list_of(names, 0, missing_since), .revision = revision, .is_from_leader = true};

    return offer(&reading, now);
}

/* Returns the list in force in the same notation. */
static const char *in_force(void)
{
    static char text[64];
    size_t      length = 0;
    size_t      index;

    for (index = 0; index < view.list->count; index++) {
        const cw_server_entry_t *entry = &view.list->entries[index];

        if (entry->missing_since != 0) {
            text[length++] = '-';
        }
        text[length++] = (char)(entry->draining ? entry->id[0] - 'a' + 'A' : entry->id[0]);
    }
    text[length] = '\0';
    return text;
}

/* ---- choice of the list in force ---- */

START_TEST(the_leaders_older_list_does_not_replace_a_newer_reading)
{
    ck_assert_int_eq(receive_at("abc", 90, start, 0), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abC", 100, 1, start + CW_MS(10)), CW_VIEW_CHANGED);
    ck_assert_int_eq(receive_at("abc", 90, start + CW_MS(30), 0), CW_VIEW_OLDER);
    ck_assert_int_eq(receive_at("abcd", 99, start + CW_MS(40), 0), CW_VIEW_OLDER);
    ck_assert_str_eq(in_force(), "abC");
    ck_assert_uint_eq(view.revision, 100);
}
END_TEST

START_TEST(a_reading_older_than_the_leaders_list_is_not_applied)
{
    ck_assert_int_eq(receive_at("abC", 100, start, 0), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", 90, 1, start + CW_MS(10)), CW_VIEW_OLDER);
    ck_assert_str_eq(in_force(), "abC");
}
END_TEST

START_TEST(a_confirmed_revision_excludes_earlier_lists)
{
    ck_assert_int_eq(receive_at("abc", 90, start, 0), CW_VIEW_CHANGED);
    cw_server_view_confirm(&view, 120, &(cw_list_evidence_t){.valid_at = start + CW_MS(500)});
    ck_assert_int_eq(read_at("ab", 110, 1, start + CW_MS(600)), CW_VIEW_OLDER);
    cw_server_view_confirm(&view, 100,
                           &(cw_list_evidence_t){.valid_at = start}); /* an earlier confirmation that arrives late */
    ck_assert_uint_eq(view.revision, 120);
    ck_assert_int_eq(view.evidence.valid_at, start + CW_MS(500));
}
END_TEST

START_TEST(a_list_of_the_same_revision_is_applied)
{
    ck_assert_int_eq(read_at("abc", 90, 1, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(receive_at("abc", 90, start + CW_MS(5), 0), CW_VIEW_SAME);
}
END_TEST

/* ---- leaving ---- */

START_TEST(after_a_restore_of_the_store_a_list_with_a_lower_count_is_newer)
{
    ck_assert_int_eq(read_at("abc", cw_store_revision_join(1, 359), 1, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abC", cw_store_revision_join(2, 345), 2, start + CW_MS(10)), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "abC");
    ck_assert_int_eq(receive_at("abc", cw_store_revision_join(1, 360), start + CW_MS(20), 0), CW_VIEW_OLDER);
}
END_TEST

START_TEST(after_a_restore_a_leaving_server_stays_leaving_though_its_entry_is_of_the_copy)
{
    ck_assert_int_eq(read_at("abC", cw_store_revision_join(1, 359), 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", cw_store_revision_join(2, 345), 3, start + CW_MS(10)), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "abC");
}
END_TEST

START_TEST(after_a_restore_the_entry_of_a_server_that_had_gone_proves_nothing)
{
    ck_assert_int_eq(receive_at("abc", cw_store_revision_join(1, 350), start, 0), CW_VIEW_CHANGED); /* no sequences */
    ck_assert_int_eq(read_at("ab", cw_store_revision_join(1, 359), 5, start + CW_MS(10)), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", cw_store_revision_join(2, 345), 3, start + CW_MS(20)), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "ab-c");
    ck_assert_int_eq(read_at("abc", cw_store_revision_join(2, 346), 3, start + CW_MS(30)), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "ab-c");
    ck_assert_int_eq(read_at("abc", cw_store_revision_join(2, 347), 4, start + CW_MS(40)), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "abc");
}
END_TEST

static cw_server_list_t *list_at_address(const char *id)
{
    cw_server_list_t  *list = list_of("cd", 7, 0);
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup("s");
    entry->address = strdup("10.0.9.9:80");
    entry->zone = strdup("z");
    entry->sequence = 7;
    cw_server_list_seal(list);
    return list;
}

static void read_list(cw_server_list_t *list, uint64_t epoch, uint64_t count, cw_time_us_t now)
{
    (void)offer(&(cw_server_reading_t){.list = list,
                                       .revision = cw_store_revision_join(epoch, count),
                                       .evidence.valid_at = now,
                                       .store_failed = epoch > 0},
                now);
}

/* Guards against a server that is dropped at once although it lives: the store came back from a copy of before it had
 * registered, which lists the server that had its address before. */
START_TEST(after_a_restore_a_server_of_the_copy_at_its_address_does_not_end_a_server)
{
    read_list(list_at_address("i-new"), 0, 100, start);
    read_list(list_at_address("i-old"), 1, 90, start + CW_MS(3000));
    ck_assert_ptr_nonnull(cw_server_list_find(view.list, "i-new"));
    read_list(list_at_address("i-old"), 1, 91, start + CW_MS(3300));
    ck_assert_ptr_nonnull(cw_server_list_find(view.list, "i-new")); /* until its time to register again is over */
    read_list(list_at_address("i-old"), 1, 92, start + CW_MS(6000));
    ck_assert_ptr_null(cw_server_list_find(view.list, "i-new"));
}
END_TEST

START_TEST(a_leaving_server_stays_leaving)
{
    ck_assert_int_eq(read_at("abC", 100, 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", 110, 4, start + CW_MS(500)), CW_VIEW_SAME); /* an earlier heartbeat, written late */
    ck_assert_int_eq(receive_at("abc", 120, start + CW_MS(600), 0), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "abC");
}
END_TEST

START_TEST(a_leaving_server_stays_leaving_after_it_was_missing)
{
    ck_assert_int_eq(read_at("abC", 100, 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("ab", 110, 6, start + CW_MS(500)), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", 120, 7, start + CW_MS(900)), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "abC");
}
END_TEST

/* ---- missing ---- */

START_TEST(a_missing_server_is_not_restored_by_an_earlier_heartbeat)
{
    ck_assert_int_eq(read_at("abc", 100, 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", 105, 6, start + CW_MS(300)), CW_VIEW_SAME);
    ck_assert_int_eq(read_at("ab", 110, 6, start + CW_MS(500)), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("abc", 120, 6, start + CW_SECONDS(3)), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "ab");
    ck_assert_int_eq(read_at("abc", 130, 7, start + CW_SECONDS(4)), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "abc");
}
END_TEST

START_TEST(after_an_outage_a_missing_server_is_kept_for_its_first_grace_time_only)
{
    cw_server_list_t   *before;
    cw_time_us_t        missed = start + CW_SECONDS(3);
    cw_server_reading_t after_outage = {
        .list = list_of("a", 6, 0), .revision = 110, .latest = 110, .evidence.valid_at = missed, .store_failed = true};

    ck_assert_int_eq(read_at("abcd", 100, 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(offer(&after_outage, missed), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "a-b-c-d");
    ck_assert_int_eq(read_at("ac", 120, 7, missed + CW_MS(500)), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "a-bc-d");
    ck_assert_int_eq(cw_server_view_expire(&view, missed + CW_MS(1690), &before), CW_VIEW_SAME);
    /* a further outage does not lengthen the grace time */
    ck_assert_int_eq(read_at("ac", 130, 8, missed + CW_MS(1699)), CW_VIEW_SAME);
    ck_assert_int_eq(cw_server_view_expire(&view, missed + CW_MS(1700), &before), CW_VIEW_CHANGED);
    cw_server_list_release(before);
    ck_assert_str_eq(in_force(), "ac");
    ck_assert_uint_eq(view.kept, 0);
}
END_TEST

START_TEST(a_server_kept_by_another_node_is_not_restored)
{
    ck_assert_int_eq(read_at("abc", 100, 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("ab", 110, 6, start + CW_MS(500)), CW_VIEW_CHANGED);
    /* the leader could not reach the store and keeps c from now on; this node has read the store meanwhile */
    ck_assert_int_eq(receive_at("ab-c", 120, start + CW_MS(1500), start + CW_MS(1500)), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "ab");
    ck_assert_int_eq(receive_at("ab-c", 125, start + CW_MS(2300), start + CW_MS(1500)), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "ab");
    ck_assert_int_eq(receive_at("abc", 130, start + CW_MS(2400), 0), CW_VIEW_CHANGED); /* it has registered again */
    ck_assert_str_eq(in_force(), "abc");
}
END_TEST

START_TEST(a_list_that_may_be_older_than_the_absence_does_not_restore_a_server)
{
    cw_server_reading_t paged = {.revision = 100, .latest = 105, .evidence.valid_at = start + CW_MS(500)};

    ck_assert_int_eq(read_at("abc", 90, 5, start), CW_VIEW_CHANGED);
    paged.list = list_of("ab", 6, 0); /* its last page is of revision 105 */
    ck_assert_int_eq(offer(&paged, start + CW_MS(500)), CW_VIEW_CHANGED);
    (void)receive_at("abc", 103, start + CW_SECONDS(3), 0);
    ck_assert_str_eq(in_force(), "ab");
    ck_assert_int_eq(receive_at("abc", 106, start + CW_SECONDS(4), 0), CW_VIEW_CHANGED);
    ck_assert_str_eq(in_force(), "abc");
}
END_TEST

START_TEST(departures_are_discarded_after_a_time)
{
    ck_assert_int_eq(read_at("abC", 100, 5, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("ab", 110, 6, start + CW_MS(500)), CW_VIEW_CHANGED);
    ck_assert_ptr_nonnull(cw_server_view_departure(&view, "c"));
    ck_assert_int_eq(read_at("ab", 120, 7, start + CW_SECONDS(62)), CW_VIEW_SAME);
    ck_assert_ptr_null(cw_server_view_departure(&view, "c"));
}
END_TEST

/* ---- servers that restart under their names ---- */

/* Returns a list with this server and three others that stay unchanged. */
static cw_server_list_t *with_server(const char *id, uint64_t sequence)
{
    cw_server_list_t *list = list_of("abcd", sequence, 0);

    free(list->entries[0].id);
    list->entries[0].id = strdup(id);
    return list;
}

static cw_view_result_t read_one(const char *id, uint64_t revision, uint64_t sequence, cw_time_us_t now)
{
    cw_server_reading_t reading = {
        .list = with_server(id, sequence), .revision = revision, .latest = revision, .evidence.valid_at = now};

    return offer(&reading, now);
}

START_TEST(a_restarted_server_replaces_its_former_incarnation)
{
    ck_assert_int_eq(read_one("a@1000", 90, 40, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_one("a@2000", 91, 1, start + CW_MS(500)), CW_VIEW_CHANGED); /* its heartbeats start again */
    ck_assert_uint_eq(view.list->count, 4);
    ck_assert_str_eq(view.list->entries[0].id, "a@2000");
}
END_TEST

START_TEST(a_late_entry_of_the_former_incarnation_is_ignored)
{
    ck_assert_int_eq(read_one("a@2000", 91, 1, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_one("a@1000", 92, 41, start + CW_MS(500)), CW_VIEW_SAME);
    ck_assert_str_eq(view.list->entries[0].id, "a@2000");
}
END_TEST

START_TEST(a_late_entry_is_ignored_after_the_later_incarnation_has_left)
{
    ck_assert_int_eq(read_one("a@2000", 91, 1, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_at("bcd", 92, 2, start + CW_MS(500)), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_one("a@1000", 93, 41, start + CW_MS(900)), CW_VIEW_SAME);
    ck_assert_str_eq(in_force(), "bcd");
}
END_TEST

START_TEST(leaving_applies_to_one_incarnation)
{
    cw_server_reading_t leaving = {
        .list = with_server("a@1000", 3), .revision = 90, .latest = 90, .evidence.valid_at = start};

    leaving.list->entries[0].draining = true;
    ck_assert_int_eq(offer(&leaving, start), CW_VIEW_CHANGED);
    ck_assert_int_eq(read_one("a@2000", 91, 1, start + CW_MS(500)), CW_VIEW_CHANGED);
    ck_assert(!view.list->entries[0].draining);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server_view");
    TCase *cases = tcase_create("server_view");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, the_leaders_older_list_does_not_replace_a_newer_reading);
    tcase_add_test(cases, a_reading_older_than_the_leaders_list_is_not_applied);
    tcase_add_test(cases, a_confirmed_revision_excludes_earlier_lists);
    tcase_add_test(cases, a_list_of_the_same_revision_is_applied);
    tcase_add_test(cases, after_a_restore_of_the_store_a_list_with_a_lower_count_is_newer);
    tcase_add_test(cases, after_a_restore_a_leaving_server_stays_leaving_though_its_entry_is_of_the_copy);
    tcase_add_test(cases, after_a_restore_the_entry_of_a_server_that_had_gone_proves_nothing);
    tcase_add_test(cases, after_a_restore_a_server_of_the_copy_at_its_address_does_not_end_a_server);
    tcase_add_test(cases, a_leaving_server_stays_leaving);
    tcase_add_test(cases, a_leaving_server_stays_leaving_after_it_was_missing);
    tcase_add_test(cases, a_missing_server_is_not_restored_by_an_earlier_heartbeat);
    tcase_add_test(cases, after_an_outage_a_missing_server_is_kept_for_its_first_grace_time_only);
    tcase_add_test(cases, a_server_kept_by_another_node_is_not_restored);
    tcase_add_test(cases, a_list_that_may_be_older_than_the_absence_does_not_restore_a_server);
    tcase_add_test(cases, departures_are_discarded_after_a_time);
    tcase_add_test(cases, a_restarted_server_replaces_its_former_incarnation);
    tcase_add_test(cases, a_late_entry_of_the_former_incarnation_is_ignored);
    tcase_add_test(cases, a_late_entry_is_ignored_after_the_later_incarnation_has_left);
    tcase_add_test(cases, leaving_applies_to_one_incarnation);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
