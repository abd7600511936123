/**
 * @file test_server_absence.c
 * @brief Which servers that are missing in a reading of the list are taken for gone.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "model/server_absence.h"

static const cw_absence_settings_t settings = {.outage = CW_MS(1500), .grace = CW_MS(2000)};

/* Servers named by letters, each at an address of its own; a capital one is leaving, a digit stands at b's address. */
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

/* The list in force after a reading: what is kept goes on from one reading to the next. */
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

/* Servers of the reading after what is kept was added. */
static size_t count_after(const char *names, cw_time_us_t age, cw_time_us_t now)
{
    cw_server_list_t *reading = list_of(names);

    (void)cw_server_absence_fill(&settings, reading, known, now - age, store_failed, now);
    cw_server_list_release(known);
    known = reading;
    return reading->count;
}

START_TEST(a_server_missing_on_a_calm_day_is_gone)
{
    begin("abcd");
    ck_assert_uint_eq(count_after("acd", CW_MS(500), CW_SECONDS(60)), 3);
    end();
}
END_TEST

/* A node that had no need to read the list for a while, or whose leader could not: the store served it all the time. */
START_TEST(a_server_missing_in_an_old_list_is_gone_unless_calls_to_the_store_failed)
{
    begin("abcd");
    store_failed = false;
    ck_assert_uint_eq(count_after("acd", CW_SECONDS(5), CW_SECONDS(60)), 3);
    end();
}
END_TEST

START_TEST(after_an_outage_missing_servers_are_kept_for_the_grace)
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

START_TEST(a_further_outage_does_not_lengthen_the_grace)
{
    cw_time_us_t now = CW_SECONDS(60);

    begin("abcd");
    ck_assert_uint_eq(count_after("abc", CW_SECONDS(5), now), 4);
    ck_assert_uint_eq(count_after("abc", CW_MS(1900), now + CW_MS(1900)), 4);
    ck_assert_uint_eq(count_after("abc", CW_MS(1900), now + CW_MS(2000)), 3);
    end();
}
END_TEST

START_TEST(most_servers_missing_at_once_are_kept_and_then_believed)
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

START_TEST(neither_leaving_nor_replaced_servers_are_kept)
{
    begin("aBcd");
    ck_assert_uint_eq(count_after("acd", CW_SECONDS(5), CW_SECONDS(60)), 3);
    end();
    begin("abcd");
    ck_assert_uint_eq(count_after("ac1", CW_SECONDS(5), CW_SECONDS(80)), 4); /* d is kept, b is not */
    end();
}
END_TEST

START_TEST(the_grace_ends_before_the_drain_time)
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

    tcase_add_test(cases, a_server_missing_on_a_calm_day_is_gone);
    tcase_add_test(cases, a_server_missing_in_an_old_list_is_gone_unless_calls_to_the_store_failed);
    tcase_add_test(cases, after_an_outage_missing_servers_are_kept_for_the_grace);
    tcase_add_test(cases, a_further_outage_does_not_lengthen_the_grace);
    tcase_add_test(cases, most_servers_missing_at_once_are_kept_and_then_believed);
    tcase_add_test(cases, neither_leaving_nor_replaced_servers_are_kept);
    tcase_add_test(cases, the_grace_ends_before_the_drain_time);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
