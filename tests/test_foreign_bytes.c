/**
 * @file test_foreign_bytes.c
 * @brief Bytes of other writers among the servers in the store. They may break the structure around them. Good entries
 * hold, and changes come through.
 */
#include <stdio.h>
#include <string.h>

#include "foreign_entries.h"
#include "loop_fixture.h"

#define COUNT(list) ((int)(sizeof(list) / sizeof((list)[0])))

/* Guards against: one entry whose bytes break the structure around it empties the list of servers at the next start of
 * all nodes (review/2 with quotation marks or backslashes: RECOVER). */
START_TEST(an_entry_that_breaks_the_structure_leaves_all_others_listed)
{
    byte_store_start(foreign_wide, false);
    foreign_put_server("a", "ready");
    foreign_put_note("servers", "b", foreign_notes[_i]);
    foreign_put_server("c", "draining");
    foreign_put_server("d", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "c", "d");
    ck_assert(foreign_listed("c")->draining);
    ck_assert(!foreign_listed("d")->draining);
}
END_TEST

/* The same, alone in an answer of the store, and at the begin and the end of the list. */
START_TEST(an_entry_that_breaks_the_structure_is_passed_alone_on_its_page)
{
    byte_store_start(foreign_single, false);
    foreign_put_note("servers", "a", foreign_notes[_i]);
    foreign_put_server("b", "ready");
    foreign_put_note("servers", "c", foreign_notes[_i]);
    foreign_put_note("servers", "d", foreign_notes[_i]);
    foreign_put_server("e", "ready");
    foreign_put_note("servers", "f", foreign_notes[_i]);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("b", "e");
}
END_TEST

/* Guards against: such an entry comes while nodes watch, and no later leave is noticed (review/2 by the watch: DRAIN).
 */
START_TEST(changes_beside_an_entry_that_breaks_the_structure_come_through)
{
    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
    foreign_put_note("servers", "c", foreign_notes[_i]);
    foreign_put_server("b", "draining");
    foreign_put_server("d", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b", "d");
    ck_assert(foreign_listed("b")->draining);
    foreign_put_note("servers", "c", foreign_notes[_i]);
    byte_store_remove("servers", "a");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("b", "d");
}
END_TEST

/* Guards against: the list stands still once the history is forgotten beside such an entry (review/2: DRAIN). */
START_TEST(the_list_is_read_whole_beside_an_entry_that_breaks_the_structure)
{
    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    foreign_put_note("servers", "c", foreign_notes[_i]);
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
    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    foreign_put_note("servers", "b", foreign_notes[_i]);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
    foreign_put_server("b", "ready");
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
        foreign_put("servers", "a", nameless[_i]);
        foreign_put_server("i-7f3a91c2", "ready");
        foreign_put("servers", "i-7f3a91c3", nameless[(_i + 1) % COUNT(nameless)]);
        foreign_put_server("i-7f3a91c4", "ready");
        foreign_put_server("i-8", "ready");
        foreign_put("servers", "z", nameless[(_i + 2) % COUNT(nameless)]);
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

    byte_store_start(foreign_single, false);
    foreign_put_server("i-1", "ready");
    foreign_put("servers", "i-2", "{\"spec\":{}}");
    foreign_put_server("i-3", "ready");
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
    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    foreign_put("servers", "b", nameless[_i]);
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a");
}
END_TEST

/* Guards against: a node that reads only changes passes over such an event once it has asked for the whole list. */
START_TEST(after_an_event_without_a_name_changes_alone_do_not_renew_the_list)
{
    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    foreign_put("servers", "b", nameless[_i]);
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
    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    byte_store_read(CW_LIST_READ);
    foreign_put("servers", "b-", "{\"metadata\":{\"name\":\"b\\u0000\"},\"spec\":{}}");
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

    byte_store_start(foreign_wide, false);
    foreign_put_server("a", "ready");
    snprintf(text, sizeof(text), inside, foreign_notes[_i]);
    foreign_put("servers", "b", text);
    foreign_put_server("c", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "c");
}
END_TEST

/* More of them than calls are made for: what one answer shows is used. */
START_TEST(servers_are_listed_beside_many_entries_that_break_the_structure)
{
    char   name[16];
    size_t index;

    byte_store_start(foreign_wide, false);
    foreign_put_server("a", "ready");
    for (index = 0; index < 60; index++) {
        snprintf(name, sizeof(name), "b%zu", index + 100);
        foreign_put_note("servers", name, foreign_notes[_i]);
    }
    foreign_put_server("b130-", "ready");
    foreign_put_server("c", "ready");
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

    byte_store_start(foreign_wide, false);
    foreign_put_server("a", "ready");
    length = (size_t)snprintf(text, sizeof(text), "{\"spec\":{\"note\":\"\"\"");
    while (length < 50000) {
        length += (size_t)snprintf(text + length, sizeof(text) - length, ",{\"x\":[0");
    }
    foreign_put("servers", "b", text);
    foreign_put_server("c", "ready");
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

    byte_store_start(foreign_single, false);
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
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
    foreign_put_server("a", "ready");
    foreign_put_server("b", "ready");
    foreign_put("servers", "large", text);
    foreign_put("servers", "larger", text); /* a page of its own */
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "b");
    foreign_put("servers", "large", text);
    foreign_put_server("a", "draining");
    byte_store_read(CW_LIST_READ);
    ck_assert(foreign_listed("a")->draining);
    foreign_put_server("c", "ready");
    foreign_put("servers", "large", text);
    foreign_put_server("b", "draining");
    byte_store_read(CW_LIST_READ);
    ck_assert(foreign_listed("b")->draining);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("foreign bytes");
    TCase *cases = tcase_create("foreign bytes");

    tcase_set_timeout(cases, 60);
    tcase_add_checked_fixture(cases, NULL, byte_store_stop);
    tcase_add_loop_test(cases, an_entry_that_breaks_the_structure_leaves_all_others_listed, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, an_entry_that_breaks_the_structure_is_passed_alone_on_its_page, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, changes_beside_an_entry_that_breaks_the_structure_come_through, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, the_list_is_read_whole_beside_an_entry_that_breaks_the_structure, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, a_server_whose_entry_becomes_unreadable_is_not_used, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, an_entry_without_a_name_is_passed, 0, COUNT(nameless));
    tcase_add_test(cases, a_place_behind_an_entry_without_a_name_is_searched_for_once);
    tcase_add_loop_test(cases, after_an_event_without_a_name_the_list_is_read_whole, 0, COUNT(nameless));
    tcase_add_loop_test(cases, after_an_event_without_a_name_changes_alone_do_not_renew_the_list, 0, COUNT(nameless));
    tcase_add_test(cases, a_name_with_a_zero_byte_is_no_other_name);
    tcase_add_loop_test(cases, entries_inside_an_entry_are_no_entries, 0, FOREIGN_NOTES);
    tcase_add_loop_test(cases, servers_are_listed_beside_many_entries_that_break_the_structure, 0, FOREIGN_NOTES);
    tcase_add_test(cases, an_entry_that_looks_like_many_hides_nothing_behind_it);
    tcase_add_test(cases, an_unreadable_answer_is_an_answer);
    tcase_add_test(cases, changes_around_an_entry_of_many_bytes_are_all_read);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
