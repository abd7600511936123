/**
 * @file test_foreign_bytes.c
 * @brief Bytes of other writers in what is read from the store: servers, configuration, zones, locks and records. They
 * may break the structure around them. Good entries hold, and changes come through.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "byte_store.h"
#include "loop_fixture.h"

static const byte_store_limits_t wide = {.items = 500, .bytes = 1000000};
static const byte_store_limits_t single = {.items = 1, .bytes = 1000000};

/* ---- what is written ---- */

static void put(const char *kind, const char *name, const char *bytes)
{
    byte_store_put(kind, name, bytes, strlen(bytes));
}

static void put_server(const char *name, const char *state)
{
    char text[512];

    snprintf(text, sizeof(text),
             "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
             "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\",\"sequence\":1,\"cold_ms\":0}}",
             name, (int)byte_store_next_revision(), state);
    put("servers", name, text);
}

/* An entry of another writer with these bytes in the place of a text. */
static void put_foreign(const char *kind, const char *name, const char *note)
{
    char text[4096];

    snprintf(text, sizeof(text), "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{\"note\":\"%s\"}}", name,
             (int)byte_store_next_revision(), note);
    put(kind, name, text);
}

static void put_configuration(int version)
{
    char text[512];

    snprintf(
        text, sizeof(text),
        "{\"metadata\":{\"name\":\"main\",\"revision\":%d},\"spec\":{\"version\":%d,\"routes\":[],\"services\":[]}}",
        (int)byte_store_next_revision(), version);
    put("config", "main", text);
}

static const char *const notes[] = {
    "\"\"\"\"\"\"\"\"\"\"\"",             /* the text ends, and the structure around it breaks */
    "\\\\\\\\\\\\\\\\\\\\\\",             /* the text does not end where it should */
    "\xff\xfe",                           /* no UTF-8 */
    "\"}},{\"",                           /* the entry seems to end */
    "\"}}],\"has-more\":false,\"at\":1}", /* the list seems to end */
    "\"}},",                              /* another entry seems to follow */
    "\",\"a\":[[[{\"b\":\"",              /* brackets are opened and not closed */
    "\"}}}}}]]]]",                        /* brackets are closed that were not opened */
    "\\u00",                              /* half of an escape */
    "\\ud800",                            /* half of a character */
    "\\u0000",                            /* a zero byte */
    "\n\r\t\x01",                         /* control characters */
    "\",\"note\":\"",                     /* a member twice */
};

#define COUNT(list) ((int)(sizeof(list) / sizeof((list)[0])))

/* ---- what is known ---- */

static const cw_server_entry_t *listed(const char *name)
{
    const cw_server_list_t *list = byte_store_reports()->read.list;

    ck_assert_msg(list != NULL, "the list was not read");
    return cw_server_list_find(list, name);
}

static void check_listed(size_t count, const char *const *names)
{
    size_t index;

    for (index = 0; index < count; index++) {
        ck_assert_msg(listed(names[index]) != NULL, "%s is not listed", names[index]);
    }
    ck_assert_uint_eq(byte_store_reports()->read.list->count, count);
}

#define CHECK_LISTED(...)                                                                                              \
    do {                                                                                                               \
        static const char *const names_listed[] = {__VA_ARGS__};                                                       \
        check_listed(sizeof(names_listed) / sizeof(names_listed[0]), names_listed);                                    \
    } while (0)

static bool has_version(void *context)
{
    return byte_store_reports()->version == *(const uint64_t *)context;
}

static void wait_for_version(uint64_t version)
{
    byte_store_wait(has_version, &version);
}

/* ---- servers ---- */

/* Guards against: one entry whose bytes break the structure around it empties the list of servers at the next start of
 * all nodes (review/2 with quotation marks or backslashes: RECOVER). */
START_TEST(an_entry_that_breaks_the_structure_leaves_all_others_listed)
{
    byte_store_start(wide, false);
    put_server("a", "ready");
    put_foreign("servers", "b", notes[_i]);
    put_server("c", "draining");
    put_server("d", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "c", "d");
    ck_assert(listed("c")->draining);
    ck_assert(!listed("d")->draining);
}
END_TEST

/* The same, alone in an answer of the store, and at the begin and the end of the list. */
START_TEST(an_entry_that_breaks_the_structure_is_passed_alone_on_its_page)
{
    byte_store_start(single, false);
    put_foreign("servers", "a", notes[_i]);
    put_server("b", "ready");
    put_foreign("servers", "c", notes[_i]);
    put_foreign("servers", "d", notes[_i]);
    put_server("e", "ready");
    put_foreign("servers", "f", notes[_i]);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("b", "e");
}
END_TEST

/* Guards against: such an entry comes while nodes watch, and no later leave is noticed (review/2 by the watch: DRAIN).
 */
START_TEST(changes_beside_an_entry_that_breaks_the_structure_come_through)
{
    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
    put_foreign("servers", "c", notes[_i]);
    put_server("b", "draining");
    put_server("d", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b", "d");
    ck_assert(listed("b")->draining);
    put_foreign("servers", "c", notes[_i]);
    byte_store_remove("servers", "a");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("b", "d");
}
END_TEST

/* Guards against: the list stands still once the history is forgotten beside such an entry (review/2: DRAIN). */
START_TEST(the_list_is_read_whole_beside_an_entry_that_breaks_the_structure)
{
    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    put_foreign("servers", "c", notes[_i]);
    byte_store_read(CW_LIST_READ);
    byte_store_remove("servers", "a");
    byte_store_forget_history();
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("b");
}
END_TEST

/* Guards against: a server whose entry becomes unreadable is used on for as long as nothing makes the node read the
 * whole list, though such an entry names no server. */
START_TEST(a_server_whose_entry_becomes_unreadable_is_not_used)
{
    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    put_foreign("servers", "b", notes[_i]);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
    put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
}
END_TEST

static const char *const nameless[] = {
    "{\"metadata\":{},\"spec\":{}}",
    "{\"metadata\":{\"name\":7},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"\"},\"spec\":{}}",
    "{\"metadata\":\"\",\"spec\":{\"note\":\"\"\"}}",
    "{\"spec\":{\"note\":\"\"\"}}",
    "7",
    "null",
    "\"\"\"",
    "{\"metadata\":{\"name\":\"\\ud800\"},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"\\x\\u12\"},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"b\"b\"},\"spec\":{}}",
    "}}}}",
};

/* Guards against: a listing cannot continue behind an entry that has no name, or one that cannot be read. */
START_TEST(an_entry_without_a_name_is_passed)
{
    static const byte_store_limits_t limits[] = {{.items = 1, .bytes = 100000}, {.items = 2, .bytes = 100000}};
    size_t                           index;

    for (index = 0; index < 2; index++) {
        byte_store_start(limits[index], false);
        put("servers", "a", nameless[_i]);
        put_server("i-7f3a91c2", "ready");
        put("servers", "i-7f3a91c3", nameless[(_i + 1) % COUNT(nameless)]);
        put_server("i-7f3a91c4", "ready");
        put_server("i-8", "ready");
        put("servers", "z", nameless[(_i + 2) % COUNT(nameless)]);
        byte_store_read(CW_LIST_READ);
        CHECK_LISTED("i-7f3a91c2", "i-7f3a91c4", "i-8");
        byte_store_remove("servers", "i-8");
        byte_store_forget_history();
        byte_store_read(CW_LIST_READ);
        CHECK_LISTED("i-7f3a91c2", "i-7f3a91c4");
        byte_store_stop();
    }
}
END_TEST

/* The place behind such an entry is remembered. */
START_TEST(a_place_behind_an_entry_without_a_name_is_searched_for_once)
{
    size_t calls;

    byte_store_start(single, false);
    put_server("i-1", "ready");
    put("servers", "i-2", "{\"spec\":{}}");
    put_server("i-3", "ready");
    byte_store_read(CW_LIST_READ);
    calls = byte_store_calls();
    byte_store_forget_history();
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("i-1", "i-3");
    ck_assert_uint_le(byte_store_calls() - calls, 6);
}
END_TEST

/* Guards against: an event that does not say which entry has changed is passed over, and with it a leave. */
START_TEST(after_an_event_without_a_name_the_list_is_read_whole)
{
    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    put("servers", "b", nameless[_i]);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
}
END_TEST

/* Guards against: a node that reads only changes passes over such an event once it has asked for the whole list. */
START_TEST(after_an_event_without_a_name_changes_alone_do_not_renew_the_list)
{
    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    put("servers", "b", nameless[_i]);
    byte_store_read(CW_LIST_READ_CHANGES);
    ck_assert(byte_store_reports()->read.needs_whole);
    byte_store_read(CW_LIST_READ_CHANGES);
    ck_assert(byte_store_reports()->read.needs_whole);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
}
END_TEST

/* Guards against: a name with a zero byte is taken for the name before that byte. */
START_TEST(a_name_with_a_zero_byte_is_no_other_name)
{
    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    put("servers", "b-", "{\"metadata\":{\"name\":\"b\\u0000\"},\"spec\":{}}");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
    byte_store_forget_history();
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
}
END_TEST

/* Guards against: what an unreadable entry holds inside itself is taken for entries. */
START_TEST(entries_inside_an_entry_are_no_entries)
{
    static const char inside[] =
        "{\"metadata\":{\"name\":\"b\"},\"spec\":{\"copies\":[{\"metadata\":{\"name\":\"x\"},"
        "\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"capacity\":2,"
        "\"state\":\"ready\",\"sequence\":1,\"cold_ms\":0}}],\"note\":\"%s\"}}";
    char text[1024];

    byte_store_start(wide, false);
    put_server("a", "ready");
    snprintf(text, sizeof(text), inside, notes[_i]);
    put("servers", "b", text);
    put_server("c", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "c");
}
END_TEST

/* More of them than calls are made for: what one answer shows is used. */
START_TEST(servers_are_listed_beside_many_entries_that_break_the_structure)
{
    char   name[16];
    size_t index;

    byte_store_start(wide, false);
    put_server("a", "ready");
    for (index = 0; index < 60; index++) {
        snprintf(name, sizeof(name), "b%zu", index + 100);
        put_foreign("servers", name, notes[_i]);
    }
    put_server("b130-", "ready");
    put_server("c", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b130-", "c");
    ck_assert_uint_le(byte_store_calls(), 40);
}
END_TEST

/* Guards against: an entry with much that looks like other entries uses up the search behind it, and what follows
 * counts as not there. */
START_TEST(an_entry_that_looks_like_many_hides_nothing_behind_it)
{
    static char text[60000];
    size_t      length = 0;

    byte_store_start(wide, false);
    put_server("a", "ready");
    length = (size_t)snprintf(text, sizeof(text), "{\"spec\":{\"note\":\"\"\"");
    while (length < 50000) {
        length += (size_t)snprintf(text + length, sizeof(text) - length, ",{\"x\":[0");
    }
    put("servers", "b", text);
    put_server("c", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "c");
}
END_TEST

/* Guards against: an answer that cannot be read at all counts as a failed call, so that nodes go on by an old list as
 * if the store were out of reach. */
START_TEST(an_unreadable_answer_is_an_answer)
{
    static const char *const bodies[] = {"", "nonsense", "{\"items\":[],\"has-more\":false}", "[]", "{\"at\":5"};
    size_t                   index;

    byte_store_start(single, false);
    put_server("a", "ready");
    put_server("b", "ready");
    for (index = 0; index < sizeof(bodies) / sizeof(bodies[0]); index++) {
        byte_store_answer("servers", bodies[index]);
        byte_store_read(CW_LIST_READ);
        ck_assert_ptr_null(byte_store_reports()->read.list);
        ck_assert(byte_store_reports()->read.is_answered);
    }
    byte_store_answer("servers", NULL);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
}
END_TEST

/* Guards against: an answer with few changes that ends before, or after, an entry of many bytes is taken for all. */
START_TEST(changes_around_an_entry_of_many_bytes_are_all_read)
{
    static const byte_store_limits_t limits = {.items = 500, .bytes = 200000};
    static char                      note[199701];
    static char                      text[200000];

    memset(note, 'x', sizeof(note) - 1);
    snprintf(text, sizeof(text), "{\"metadata\":{\"name\":\"large\",\"revision\":3},\"spec\":{\"note\":\"%s\"}}", note);
    byte_store_start(limits, false);
    put_server("a", "ready");
    put_server("b", "ready");
    put("servers", "large", text);
    put("servers", "larger", text); /* a page of its own */
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
    put("servers", "large", text);
    put_server("a", "draining");
    byte_store_read(CW_LIST_READ);
    ck_assert(listed("a")->draining);
    put_server("c", "ready");
    put("servers", "large", text);
    put_server("b", "draining");
    byte_store_read(CW_LIST_READ);
    ck_assert(listed("b")->draining);
}
END_TEST

/* ---- configuration ---- */

/* Guards against: one unreadable entry beside the operator's keeps all nodes without a configuration. */
START_TEST(the_configuration_is_read_beside_an_unreadable_entry)
{
    byte_store_start(_i % 2 == 0 ? wide : single, false);
    put_foreign("config", "foreign", notes[_i]);
    put_configuration(3);
    put_foreign("config", "other", notes[_i]);
    wait_for_version(3);
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

    byte_store_start(wide, false);
    put_configuration(3);
    wait_for_version(3);
    byte_store_port()->watch_configuration(byte_store_port()->context, CW_MS(50));
    put_foreign("config", "foreign", notes[_i]);
    put_configuration(4);
    wait_for_version(4);
    proofs = byte_store_reports()->newest_proofs;
    put("config", "other", "{\"spec\":\"\"\"}");
    byte_store_wait(is_proved, &proofs);
    byte_store_forget_history();
    put_configuration(5);
    wait_for_version(5);
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
        put_foreign("config", name, "x");
    }
    put("config", "g", "{}");
    put_configuration(3);
    wait_for_version(3);
}
END_TEST

/* Guards against: the operator's entry is unreadable for a time, and the configuration in force is given up, or the
 * next one is not read. */
START_TEST(the_configuration_in_force_stays_while_its_entry_is_unreadable)
{
    uint64_t proofs;

    byte_store_start(wide, false);
    put_configuration(3);
    wait_for_version(3);
    byte_store_port()->watch_configuration(byte_store_port()->context, CW_MS(50));
    proofs = byte_store_reports()->newest_proofs;
    byte_store_wait(is_proved, &proofs);
    put_foreign("config", "main", notes[_i]);
    byte_store_read(CW_LIST_READ);
    ck_assert_uint_eq(byte_store_reports()->version, 3);
    put_configuration(4);
    wait_for_version(4);
}
END_TEST

/* ---- zones ---- */

/* Guards against: entries of other writers among the zones out of service end each reading of the servers, too. */
START_TEST(zones_are_read_beside_unreadable_entries_and_on_several_pages)
{
    char   name[16];
    size_t index;

    byte_store_start((byte_store_limits_t){.items = 4, .bytes = 100000}, true);
    put_server("a", "ready");
    for (index = 0; index < 9; index++) {
        snprintf(name, sizeof(name), "f%zu", index);
        put_foreign("evacuations", name, notes[_i]);
    }
    put("evacuations", "g", "{\"spec\":\"\"\"}");
    put_foreign("evacuations", "quays-hall", "x");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
    ck_assert(cw_name_set_has(&byte_store_reports()->read.list->zones_out, "quays-hall"));
}
END_TEST

/* ---- single objects ---- */

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

    byte_store_start(wide, false);
    snprintf(text, sizeof(text), "{\"metadata\":{\"name\":\"leader\",\"revision\":17},\"spec\":{\"note\":\"%s\"}}",
             notes[_i]);
    read_object(text);
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 17);
    ck_assert(is_value_left_out());
    snprintf(text, sizeof(text), "{\"spec\":{\"note\":\"%s\"},\"metadata\":{\"name\":\"leader\",\"revision\":18}}",
             notes[_i]);
    read_object(text);
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 18);
    snprintf(text, sizeof(text),
             "{\"metadata\":{\"name\":\"leader\",\"finalizers\":[\"%s\"],\"revision\":19},\"spec\":{\"a\":1},"
             "\"status\":{\"note\":\"%s\"}}",
             "\xff", notes[_i]);
    read_object(text);
    ck_assert_int_eq(reply.result, CW_STORE_DONE);
    ck_assert_uint_eq(reply.revision, 19);
    ck_assert_str_eq(reply_value, "{\"a\":1}");
}
END_TEST

START_TEST(an_object_of_another_type_has_its_revision)
{
    byte_store_start(wide, false);
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
    Suite *suite = suite_create("foreign bytes");
    TCase *cases = tcase_create("foreign bytes");

    tcase_set_timeout(cases, 60);
    tcase_add_checked_fixture(cases, NULL, byte_store_stop);
    tcase_add_loop_test(cases, an_entry_that_breaks_the_structure_leaves_all_others_listed, 0, COUNT(notes));
    tcase_add_loop_test(cases, an_entry_that_breaks_the_structure_is_passed_alone_on_its_page, 0, COUNT(notes));
    tcase_add_loop_test(cases, changes_beside_an_entry_that_breaks_the_structure_come_through, 0, COUNT(notes));
    tcase_add_loop_test(cases, the_list_is_read_whole_beside_an_entry_that_breaks_the_structure, 0, COUNT(notes));
    tcase_add_loop_test(cases, a_server_whose_entry_becomes_unreadable_is_not_used, 0, COUNT(notes));
    tcase_add_loop_test(cases, an_entry_without_a_name_is_passed, 0, COUNT(nameless));
    tcase_add_test(cases, a_place_behind_an_entry_without_a_name_is_searched_for_once);
    tcase_add_loop_test(cases, after_an_event_without_a_name_the_list_is_read_whole, 0, COUNT(nameless));
    tcase_add_loop_test(cases, after_an_event_without_a_name_changes_alone_do_not_renew_the_list, 0, COUNT(nameless));
    tcase_add_test(cases, a_name_with_a_zero_byte_is_no_other_name);
    tcase_add_loop_test(cases, entries_inside_an_entry_are_no_entries, 0, COUNT(notes));
    tcase_add_loop_test(cases, servers_are_listed_beside_many_entries_that_break_the_structure, 0, COUNT(notes));
    tcase_add_test(cases, an_entry_that_looks_like_many_hides_nothing_behind_it);
    tcase_add_test(cases, an_unreadable_answer_is_an_answer);
    tcase_add_test(cases, changes_around_an_entry_of_many_bytes_are_all_read);
    tcase_add_loop_test(cases, the_configuration_is_read_beside_an_unreadable_entry, 0, COUNT(notes));
    tcase_add_loop_test(cases, changes_of_the_configuration_come_through_beside_an_unreadable_entry, 0, COUNT(notes));
    tcase_add_test(cases, the_configuration_is_found_behind_pages_of_other_entries);
    tcase_add_loop_test(cases, the_configuration_in_force_stays_while_its_entry_is_unreadable, 0, COUNT(notes));
    tcase_add_loop_test(cases, zones_are_read_beside_unreadable_entries_and_on_several_pages, 0, COUNT(notes));
    tcase_add_loop_test(cases, an_object_that_cannot_be_read_has_its_revision, 0, COUNT(notes));
    tcase_add_test(cases, an_object_of_another_type_has_its_revision);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
