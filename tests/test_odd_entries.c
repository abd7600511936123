/**
 * @file test_odd_entries.c
 * @brief Guards against an odd entry of another writer among the servers that ends the nodes which read it, stops the
 * list, or is taken for a server: very deep nesting, numbers that are too large, addresses that are none.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "foreign_entries.h"
#include "loop_fixture.h"

enum { LEVELS = 400000, PARSER_LEVELS = 2000, DIGITS = 500000 };

/* Writes an entry whose fields are those of a server, but for this one. */
static void put_with(const char *name, const char *field, const char *value)
{
    static const char *const fields[][2] = {
        {"service", "\"s\""}, {"address", "\"10.0.0.1:80\""}, {"zone", "\"z\""}, {"version", "\"v\""},
        {"capacity", "2"},    {"state", "\"ready\""},         {"sequence", "1"}, {"cold_ms", "0"},
        {"born", "1000"}};
    cw_bytes_t text = {0};
    size_t     index;

    cw_bytes_append_format(&text, "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{\"odd\":0", name,
                           (int)byte_store_next_revision());
    for (index = 0; index < sizeof(fields) / sizeof(fields[0]); index++) {
        cw_bytes_append_format(&text, ",\"%s\":", fields[index][0]);
        cw_bytes_append_text(&text, strcmp(fields[index][0], field) == 0 ? value : fields[index][1]);
    }
    cw_bytes_append_text(&text, "}}");
    byte_store_put("servers", name, text.data, text.length);
    cw_bytes_clear(&text);
}

static char *repeated(const char *unit, size_t count, const char *middle, const char *closing)
{
    cw_bytes_t text = {0};
    size_t     index;

    for (index = 0; index < count; index++) {
        cw_bytes_append_text(&text, unit);
    }
    cw_bytes_append_text(&text, middle);
    for (index = 0; index < count; index++) {
        cw_bytes_append_text(&text, closing);
    }
    cw_bytes_append(&text, "", 1);
    return text.data;
}

/* The odd entry names no server, before and after changes; the others hold. */
static void expect_no_server(const char *field, const char *value)
{
    byte_store_stop();
    byte_store_start(foreign_wide, false);
    foreign_put_server("a", "ready");
    put_with("m", field, value);
    foreign_put_server("z", "ready");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "z");
    put_with("n", field, value);
    foreign_put_server("z", "draining");
    byte_store_read(CW_LIST_READ);
    CHECK_LISTED("a", "z");
    ck_assert(foreign_listed("z")->draining);
}

static const char *const addresses[] = {"\"10.0.0.1:0\"",
                                        "\"10.0.0.1:65536\"",
                                        "\"10.0.0.1:99999\"",
                                        "\"10.0.0.1:-80\"",
                                        "\"10.0.0.1:+80\"",
                                        "\"10.0.0.1:80x\"",
                                        "\"10.0.0.1: 80\"",
                                        "\"10.0.0.1:\"",
                                        "\"10.0.0.1\"",
                                        "\"10.0.0.256:80\"",
                                        "\"host:80\"",
                                        "\":80\"",
                                        "\"10.0.0.1:8080808080808080\"",
                                        "\"[::1]:80\"",
                                        "\"\""};

START_TEST(an_entry_whose_address_is_none_names_no_server)
{
    expect_no_server("address", addresses[_i]);
}
END_TEST

static const char *const numbers[][2] = {{"capacity", "65536"},
                                         {"capacity", "4294967295"},
                                         {"capacity", "4294967296"},
                                         {"capacity", "18446744073709551615"},
                                         {"capacity", "18446744073709551616"},
                                         {"capacity", "1e308"},
                                         {"capacity", "1e400"},
                                         {"capacity", "-1"},
                                         {"capacity", "2.5"},
                                         {"sequence", "1e30"},
                                         {"sequence", "99999999999999999999"},
                                         {"sequence", "-1"},
                                         {"cold_ms", "1e300"},
                                         {"cold_ms", "-5"},
                                         {"born", "9223372036854775808"},
                                         {"born", "1e17"},
                                         {"born", "-1"}};

START_TEST(an_entry_with_a_number_that_is_none_names_no_server)
{
    expect_no_server(numbers[_i][0], numbers[_i][1]);
}
END_TEST

START_TEST(an_entry_with_a_number_of_many_digits_names_no_server)
{
    static const char *const fields[] = {"capacity", "sequence", "cold_ms", "born"};
    char                    *digits = repeated("7", DIGITS, "", "");

    expect_no_server(fields[_i], digits);
    free(digits);
}
END_TEST

START_TEST(an_entry_that_is_nested_deeply_names_no_server)
{
    char *lists = repeated("[", LEVELS, "", "]");
    char *objects = repeated("{\"a\":", LEVELS, "1", "}");
    char *open = repeated("[", LEVELS, "", "");
    char *within_bounds = repeated("[", PARSER_LEVELS, "", "]");

    expect_no_server("service", lists);
    expect_no_server("service", objects);
    expect_no_server("zone", open);
    expect_no_server("state", within_bounds);
    free(lists);
    free(objects);
    free(open);
    free(within_bounds);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("odd entries");
    TCase *cases = tcase_create("odd entries");

    tcase_set_timeout(cases, 60);
    tcase_add_checked_fixture(cases, NULL, byte_store_stop);
    tcase_add_loop_test(cases, an_entry_whose_address_is_none_names_no_server, 0,
                        sizeof(addresses) / sizeof(addresses[0]));
    tcase_add_loop_test(cases, an_entry_with_a_number_that_is_none_names_no_server, 0,
                        sizeof(numbers) / sizeof(numbers[0]));
    tcase_add_loop_test(cases, an_entry_with_a_number_of_many_digits_names_no_server, 0, 4);
    tcase_add_test(cases, an_entry_that_is_nested_deeply_names_no_server);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
