/**
 * @file test_hop_names.c
 * @brief Guards against fields of one connection that are passed on, and against heads that take time in proportion to
 * the square of their length: a caller's head of 16 KB took 61 ms of a core.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "engine_fixture.h"
#include "net/http_hop_names.h"

enum { LONG_HEAD_BYTES = 64 * 1024, RATIO_MAX = 8, ROUNDS = 8 };

static void add_field(cw_http_fields_t *fields, cw_http_field_builder_t *builder, const char *name, const char *value)
{
    cw_http_field_builder_name(builder, fields, name, strlen(name));
    cw_http_field_builder_value(builder, fields, value, strlen(value));
}

static bool is_listed(const char *list, const char *name)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_http_hop_names_t     names;
    bool                    is_found;

    add_field(&fields, &builder, "Connection", list);
    names = cw_http_hop_names_of(&fields);
    is_found = cw_http_hop_names_have(&names, name);
    cw_http_hop_names_clear(&names);
    cw_http_fields_clear(&fields);
    return is_found;
}

START_TEST(listed_and_well_known_names_are_found_in_any_case)
{
    ck_assert(is_listed("close, X-One ,x-two", "x-one"));
    ck_assert(is_listed("close, X-One ,x-two", "X-Two"));
    ck_assert(is_listed(",,\t x ,", "X"));
    ck_assert(is_listed("", "Keep-Alive"));
    ck_assert(is_listed("", "transfer-encoding"));
    ck_assert(!is_listed("close, X-One", "x-on"));
    ck_assert(!is_listed("close, X-One", "x-one-more"));
    ck_assert(!is_listed("", "x"));
}
END_TEST

/* A field that a second "Connection" lists was passed on to the server. */
START_TEST(fields_that_a_second_list_names_are_not_passed_on)
{
    static const char text[] = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nid: r1\r\ndeadline: 15000\r\n"
                               "Connection: keep-alive, one\r\nConnection: two\r\none: 1\r\ntwo: 2\r\nthree: 3\r\n\r\n";
    engine_fixture_t  fixture;

    engine_fixture_init(&fixture);
    (void)engine_fixture_send(&fixture, 0, text, sizeof(text) - 1);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    ck_assert_ptr_null(strstr(fixture.servers[0].seen, "one: 1"));
    ck_assert_ptr_null(strstr(fixture.servers[0].seen, "two: 2"));
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "three: 3"));
}
END_TEST

/* ---- time ---- */

static double processor_s(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Processor time to ask of all fields of a head whether they are passed on; half of the head is the list. */
static double time_of_head(size_t bytes)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_bytes_t              list = {0};
    size_t                  used = 0;
    size_t                  index;
    double                  began;
    int                     round;

    for (index = 0; used < bytes / 2; index++) {
        char name[16];

        snprintf(name, sizeof(name), "n%zu", index);
        add_field(&fields, &builder, name, "1");
        used += strlen(name) + strlen(": 1\r\n");
    }
    while (list.length < bytes / 2) {
        cw_bytes_append_text(&list, "a,");
    }
    cw_bytes_append(&list, "", 1);
    add_field(&fields, &builder, "connection", list.data);
    began = processor_s();
    for (round = 0; round < ROUNDS; round++) {
        cw_http_hop_names_t names = cw_http_hop_names_of(&fields);

        for (index = 0; index < fields.count; index++) {
            (void)cw_http_hop_names_have(&names, fields.items[index].name);
        }
        cw_http_hop_names_clear(&names);
    }
    began = processor_s() - began;
    cw_http_fields_clear(&fields);
    cw_bytes_clear(&list);
    return began;
}

/* Four times the length: four times the time, or sixteen times if it goes by the square. */
START_TEST(a_head_takes_time_in_proportion_to_its_length)
{
    double shorter = time_of_head(LONG_HEAD_BYTES / 4);
    double longer = time_of_head(LONG_HEAD_BYTES);

    ck_assert_msg(longer < RATIO_MAX * shorter, "%.2f ms and %.2f ms", shorter * 1e3, longer * 1e3);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("hop names");
    TCase *cases = tcase_create("names");

    tcase_add_test(cases, listed_and_well_known_names_are_found_in_any_case);
    tcase_add_test(cases, fields_that_a_second_list_names_are_not_passed_on);
    tcase_add_test(cases, a_head_takes_time_in_proportion_to_its_length);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
