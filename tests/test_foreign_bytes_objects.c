/**
 * @file test_foreign_bytes_objects.c
 * @brief Bytes of other writers beside the configuration, among the zones, and in locks and records. They may break the
 * structure around them. Good entries hold, and changes come through.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "foreign_entries.h"
#include "loop_fixture.h"

/* ---- configuration ---- */

/* Guards against: one unreadable entry beside the operator's keeps all nodes without a configuration. */
START_TEST(the_configuration_is_read_beside_an_unreadable_entry)
{
    byte_store_start(_i % 2 == 0 ? foreign_wide : foreign_single, false);
    foreign_put_note("config", "foreign", foreign_notes[_i]);
    foreign_put_configuration(3);
    foreign_put_note("config", "other", foreign_notes[_i]);
    foreign_wait_for_version(3);
}
END_TEST

static bool is_proved(void *context)
{
    return byte_store_reports()->newest_proofs > *(const uint64_t *)context;
}

/* Guards against: such an entry comes by the watch, and nothing is proved or read any more. */
START_TEST(changes_of_the_configuration_come_through_beside_an_unreadable_entry)
{
    uint64_t proofs;

    byte_store_start(foreign_wide, false);
    foreign_put_configuration(3);
    foreign_wait_for_version(3);
    byte_store_port()->watch_configuration(byte_store_port()->context, CW_MS(50));
    foreign_put_note("config", "foreign", foreign_notes[_i]);
    foreign_put_configuration(4);
    foreign_wait_for_version(4);
    proofs = byte_store_reports()->newest_proofs;
    foreign_put("config", "other", "{\"spec\":\"\"\"}");
    byte_store_wait(is_proved, &proofs);
    byte_store_forget_history();
    foreign_put_configuration(5);
    foreign_wait_for_version(5);
    ck_assert_uint_eq(byte_store_reports()->failures, 0);
}
END_TEST

/* Guards against: the operator's entry is not on the first page of a listing, behind other writers' ones. */
START_TEST(the_configuration_is_found_behind_pages_of_other_entries)
{
    char   name[16];
    size_t index;

    byte_store_start((byte_store_limits_t){.items = 5, .bytes = 100000}, false);
    for (index = 0; index < 30; index++) {
        snprintf(name, sizeof(name), "f%zu", index + 10);
        foreign_put_note("config", name, "x");
    }
    foreign_put("config", "g", "{}");
    foreign_put_configuration(3);
    foreign_wait_for_version(3);
}
END_TEST

/* Guards against: the operator's entry is unreadable for a time, and the configuration in force is given up, or the
 * next one is not read. */
START_TEST(the_configuration_in_force_stays_while_its_entry_is_unreadable)
{
    uint64_t proofs;

    byte_store_start(foreign_wide, false);
    foreign_put_configuration(3);
    foreign_wait_for_version(3);
    byte_store_port()->watch_configuration(byte_store_port()->context, CW_MS(50));
    proofs = byte_store_reports()->newest_proofs;
    byte_store_wait(is_proved, &proofs);
    foreign_put_note("config", "main", foreign_notes[_i]);
    byte_store_read(CW_LIST_READ);
    ck_assert_uint_eq(byte_store_reports()->version, 3);
    foreign_put_configuration(4);
    foreign_wait_for_version(4);
}
END_TEST

/* ---- zones ---- */

/* Guards against: entries of other writers among the zones out of service end each reading of the servers, too. */
START_TEST(zones_are_read_beside_unreadable_entries_and_on_several_pages)
{
    char   name[16];
    size_t index;

    byte_store_start((byte_store_limits_t){.items = 4, .bytes = 100000}, true);
    foreign_put_server("a", "ready");
    for (index = 0; index < 9; index++) {
        snprintf(name, sizeof(name), "f%zu", index);
        foreign_put_note("evacuations", name, foreign_notes[_i]);
    }
    foreign_put("evacuations", "g", "{\"spec\":\"\"\"}");
    foreign_put_note("evacuations", "quays-hall", "x");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
    ck_assert(cw_name_set_has(&byte_store_reports()->read.list->zones_out, "quays-hall"));
}
END_TEST

/* ---- foreign_single objects ---- */

static cw_store_reply_t reply;
static char            *reply_value;
static bool             is_replied;

static void on_reply(void *context, const cw_store_reply_t *received)
{
    (void)context;
    reply = *received;
    free(reply_value);
    reply_value = received->value == NULL ? NULL : json_dumps(received->value, JSON_COMPACT);
    is_replied = true;
}

static bool has_replied(void *context)
{
    (void)context;
    return is_replied;
}

static void read_object(const char *bytes)
{
    cw_store_port_t *port = byte_store_port();

    byte_store_answer("cedarwinch-leaders", bytes);
    is_replied = false;
    port->read(port->context, "leaders", "leader", on_reply, NULL);
    byte_store_wait(has_replied, NULL);
}

/* What stands before the place where the structure breaks may seem to be the whole value. */
static bool is_value_left_out(void)
{
    return reply_value == NULL || strcmp(reply_value, "{\"note\":\"\"}") == 0;
}

/* Guards against: the lock, or a record of keys, cannot be read, so that it is never replaced: nobody leads, or no key
 * has an owner, for good. Its revision suffices to replace it. */
START_TEST(an_object_that_cannot_be_read_has_its_revision)
{
    char text[1024];

    byte_store_start(foreign_wide, false);
    snprintf(text, sizeof(text), "{\"metadata\":{\"name\":\"leader\",\"revision\":17},\"spec\":{\"note\":\"%s\"}}",
             foreign_notes[_i]);
    read_object(text);
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 17);
    ck_assert(is_value_left_out());
    snprintf(text, sizeof(text), "{\"spec\":{\"note\":\"%s\"},\"metadata\":{\"name\":\"leader\",\"revision\":18}}",
             foreign_notes[_i]);
    read_object(text);
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 18);
    snprintf(text, sizeof(text),
             "{\"metadata\":{\"name\":\"leader\",\"finalizers\":[\"%s\"],\"revision\":19},\"spec\":{\"a\":1},"
             "\"status\":{\"note\":\"%s\"}}",
             "\xff", foreign_notes[_i]);
    read_object(text);
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 19);
    ck_assert_str_eq(reply_value, "{\"a\":1}");
}
END_TEST

START_TEST(an_object_of_another_type_has_its_revision)
{
    byte_store_start(foreign_wide, false);
    read_object("{\"metadata\":{\"name\":\"leader\",\"revision\":17},\"spec\":\"a text\"}");
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 17);
    ck_assert_ptr_null(reply_value);
    read_object("{\"metadata\":{\"name\":\"leader\"},\"spec\":{}}");
    ck_assert_int_eq(reply.result, CW_STORE_UNKNOWN);
    ck_assert(reply.is_answered);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("foreign bytes in objects");
    TCase *cases = tcase_create("foreign bytes");

    tcase_set_timeout(cases, 60);
    tcase_add_checked_fixture(cases, NULL, byte_store_stop);
    tcase_add_loop_test(cases, the_configuration_is_read_beside_an_unreadable_entry, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, changes_of_the_configuration_come_through_beside_an_unreadable_entry, 0, FOREIGN_NOTES);
    tcase_add_test(cases, the_configuration_is_found_behind_pages_of_other_entries);
    tcase_add_loop_test(cases, the_configuration_in_force_stays_while_its_entry_is_unreadable, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, zones_are_read_beside_unreadable_entries_and_on_several_pages, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, an_object_that_cannot_be_read_has_its_revision, 0, FOREIGN_NOTES);
    tcase_add_test(cases, an_object_of_another_type_has_its_revision);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
