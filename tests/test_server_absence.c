/**
 * @file test_server_absence.c
 * @brief Tests which servers that are missing in a reading of the list count as having left.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "model/server_absence.h"

static const cw_absence_settings_t settings = {.outage = CW_MS(1500), .grace = CW_MS(2000), .usable = CW_MS(1800)};

/* Servers are named by letters and have different addresses. A capital letter is a leaving server; a digit is a server
 * at b's address. */
static cw_server_list_t *list_of(const char *names)
{
    cw_server_list_t *list = cw_server_list_create();

    for (; *names != '\0'; names++) {
        cw_server_entry_t *entry = cw_server_list_add(list);
        bool               leaving = *names >= 'A' && *names <= 'Z';
        char               letter = (char)(leaving ? *names - 'A' + 'a' : *names);
        char               address[32];
        char               id[4] = {letter, '\0'};

        snprintf(address, sizeof(address), "10.0.0.%d:80", letter >= '0' && letter <= '9' ? 'b' : letter);
        entry->id = strdup(id);
        entry->service = strdup("docks");
        entry->address = strdup(address);
        entry->zone = strdup("z1");
        entry->draining = leaving;
    }
    cw_server_list_seal(list);
    return list;
}

/* The list in force after the last reading; servers kept in it stay known for the next reading. */
static cw_server_list_t *known;
static bool              store_failed;

static void begin(const char *names)
{
    store_failed = true;
    known = list_of(names);
}

static void end(void)
{
    cw_server_list_release(known);
    known = NULL;
}

/* Returns the number of servers in the reading after the kept ones were added. */
static size_t count_after(const char *names, cw_time_us_t age, cw_time_us_t now)
{
    cw_server_list_t *reading = list_of(names);

    (void)cw_server_absence_fill(&settings, reading, known,
                                 &(cw_absence_reading_t){.known_at = now - age, .store_failed = store_failed}, now);
    cw_server_list_release(known);
    known = reading;
    return reading->count;
}

START_TEST(a_server_missing_without_an_outage_has_left)
{
    begin("abcd");
    ck_assert_uint_eq(count_after("acd", CW_MS(500), CW_SECONDS(60)), 3);
    end();
}
END_TEST

/* The list is old because the node did not need to read it, or because its leader could not. The store was available
 * all the time. */
START_TEST(a_server_missing_after_an_old_list_has_left_unless_calls_to_the_store_failed)
{
    begin("abcd");
    store_failed = false;
    ck_assert_uint_eq(count_after("acd", CW_SECONDS(5), CW_SECONDS(60)), 3);
    end();
}
END_TEST

START_TEST(after_an_outage_missing_servers_are_kept_for_the_grace_time)
{
    cw_time_us_t now = CW_SECONDS(60);

    begin("abcd");
    ck_assert_uint_eq(count_after("a", CW_SECONDS(5), now), 4);
    ck_assert_uint_eq(count_after("ab", CW_MS(500), now + CW_MS(500)), 4);
    ck_assert_uint_eq(count_after("abc", CW_MS(500), now + CW_MS(1900)), 4);
    ck_assert_uint_eq(count_after("abc", CW_MS(500), now + CW_MS(2100)), 3);
    end();
}
END_TEST

START_TEST(a_further_outage_does_not_lengthen_the_grace_time)
{
    cw_time_us_t now = CW_SECONDS(60);

    begin("abcd");
    ck_assert_uint_eq(count_after("abc", CW_SECONDS(5), now), 4);
    ck_assert_uint_eq(count_after("abc", CW_MS(1900), now + CW_MS(1900)), 4);
    ck_assert_uint_eq(count_after("abc", CW_MS(1900), now + CW_MS(2000)), 3);
    end();
}
END_TEST

START_TEST(many_servers_missing_at_once_are_kept_for_the_grace_time_only)
{
    cw_time_us_t now = CW_SECONDS(60);

    begin("abcd");
    ck_assert_uint_eq(count_after("a", CW_MS(500), now), 4);
    ck_assert_uint_eq(count_after("a", CW_MS(500), now + CW_MS(2100)), 1);
    ck_assert_uint_eq(count_after("abcd", CW_MS(500), now + CW_SECONDS(10)), 4);
    ck_assert_uint_eq(count_after("a", CW_MS(500), now + CW_SECONDS(20)), 4);
    end();
}
END_TEST

START_TEST(leaving_and_replaced_servers_are_not_kept)
{
    begin("aBcd");
    ck_assert_uint_eq(count_after("acd", CW_SECONDS(5), CW_SECONDS(60)), 3);
    end();
    begin("abcd");
    ck_assert_uint_eq(count_after("ac1", CW_SECONDS(5), CW_SECONDS(80)), 4); /* d is kept, b is not */
    end();
}
END_TEST

START_TEST(the_grace_time_ends_before_the_drain_time)
{
    ck_assert_int_eq(cw_absence_settings_of(CW_MS(870), CW_SECONDS(2)).grace, CW_MS(1570));
    ck_assert_int_eq(cw_absence_settings_of(CW_MS(1300), CW_MS(1500)).grace, CW_MS(1250));
    ck_assert_int_eq(cw_absence_settings_of(CW_SECONDS(5), CW_SECONDS(10)).grace, CW_SECONDS(2));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server_absence");
    TCase *cases = tcase_create("server_absence");

    tcase_add_test(cases, a_server_missing_without_an_outage_has_left);
    tcase_add_test(cases, a_server_missing_after_an_old_list_has_left_unless_calls_to_the_store_failed);
    tcase_add_test(cases, after_an_outage_missing_servers_are_kept_for_the_grace_time);
    tcase_add_test(cases, a_further_outage_does_not_lengthen_the_grace_time);
    tcase_add_test(cases, many_servers_missing_at_once_are_kept_for_the_grace_time_only);
    tcase_add_test(cases, leaving_and_replaced_servers_are_not_kept);
    tcase_add_test(cases, the_grace_time_ends_before_the_drain_time);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
