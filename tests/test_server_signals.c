/**
 * @file test_server_signals.c
 * @brief What servers say of themselves with their answers: decoded, and when a rate limit begins and ends.
 */
#include <string.h>

#include "balance/server_limit.h"
#include "loop_fixture.h"
#include "net/http_header.h"
#include "platform_internal.h"

static const cw_time_us_t start = CW_SECONDS(100);

static cw_server_signals_t decoded_of(int status, const char *name, const char *value)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_server_signals_t     signals;

    cw_http_field_builder_name(&builder, &fields, name, strlen(name));
    cw_http_field_builder_value(&builder, &fields, value, strlen(value));
    cw_platform_decode_signals(status, &fields, &signals);
    signals.malformed_value = NULL; /* it ends with the fields */
    cw_http_fields_clear(&fields);
    return signals;
}

static cw_server_signals_t decoded(const char *name, const char *value)
{
    return decoded_of(200, name, value);
}

START_TEST(a_rest_is_the_seconds_of_a_503_and_bounded)
{
    static const char *const wrong[] = {"", "-1", "soon", "1e9", "Thu, 03 Dec 2026 08:00:00 GMT", "3 s"};
    size_t                   index;

    ck_assert_int_eq(decoded_of(503, "Retry-After", "3").rest, CW_SECONDS(3));
    ck_assert_int_eq(decoded_of(503, "Retry-After", "0.25").rest, CW_MS(250));
    ck_assert(!decoded_of(503, "Retry-After", "0").has_rest);
    ck_assert_ptr_null(decoded_of(503, "Retry-After", "0").malformed_name);
    ck_assert(!decoded_of(200, "Retry-After", "3").has_rest);
    ck_assert(!decoded_of(429, "Retry-After", "3").has_rest);
    ck_assert_int_eq(decoded_of(503, "Retry-After", "99999999").rest, CW_SECONDS(CW_SERVER_REST_MAX_S));
    ck_assert_str_eq(decoded_of(503, "Retry-After", "99999999").malformed_name, "Retry-After");
    for (index = 0; index < sizeof(wrong) / sizeof(wrong[0]); index++) {
        ck_assert_msg(!decoded_of(503, "Retry-After", wrong[index]).has_rest, "%s", wrong[index]);
        ck_assert_str_eq(decoded_of(503, "Retry-After", wrong[index]).malformed_name, "Retry-After");
    }
}
END_TEST

START_TEST(an_answer_to_a_request_that_did_not_run_is_told_apart)
{
    ck_assert(decoded("Server-Limit", "6").has_run);
    ck_assert(!decoded_of(421, "X-Not-Executed", "1").has_run);
}
END_TEST

START_TEST(a_server_leaves_that_says_so_and_no_other)
{
    ck_assert(decoded("Server-Leaving", "1").is_leaving);
    ck_assert(decoded_of(503, "server-leaving", "1").is_leaving);
    ck_assert(!decoded("Server-Leaving", "0").is_leaving);
    ck_assert_str_eq(decoded("Server-Leaving", "true").malformed_name, "Server-Leaving");
    ck_assert(!decoded("Connection", "close").is_leaving);
}
END_TEST

START_TEST(a_limit_is_a_decimal_number_and_nothing_else)
{
    static const char *const wrong[] = {"",    "-1",  "six", "6,5", "6.",    ".5",
                                        "1e3", "0x6", "nan", "inf", "+6",    " 6",
                                        "6 7", "6;",  "6/s", "--",  "6.5.4", "Thu, 03 Dec 2026 08:00:00 GMT"};
    size_t                   index;

    ck_assert(decoded("Server-Limit", "6").has_limit);
    ck_assert_double_eq(decoded("server-limit", "6.6").limit_per_s, 6.6);
    ck_assert(decoded("Server-Limit", "0").has_limit);
    ck_assert_double_eq(decoded("Server-Limit", "0").limit_per_s, 0);
    ck_assert_double_eq(decoded("Server-Limit", "99999999999999").limit_per_s, CW_SERVER_LIMIT_MAX);
    for (index = 0; index < sizeof(wrong) / sizeof(wrong[0]); index++) {
        ck_assert_msg(!decoded("Server-Limit", wrong[index]).has_limit, "%s", wrong[index]);
        ck_assert_str_eq(decoded("Server-Limit", wrong[index]).malformed_name, "Server-Limit");
    }
    ck_assert(!decoded("Server-Limits", "6").has_limit);
    ck_assert_ptr_null(decoded("Server-Limits", "6").malformed_name);
}
END_TEST

START_TEST(a_limit_begins_changes_and_is_renewed)
{
    cw_server_limit_t limit = {0};

    ck_assert(!cw_server_limit_binds(&limit, start));
    ck_assert_int_eq(cw_server_limit_note_named(&limit, 6, start, start), CW_LIMIT_BEGUN);
    ck_assert_int_eq(cw_server_limit_note_named(&limit, 6, start + 1, start + 1), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_note_named(&limit, 4, start + 2, start + 2), CW_LIMIT_CHANGED);
    ck_assert_double_eq(limit.per_s, 4);
    ck_assert(cw_server_limit_binds(&limit, start + CW_SECONDS(5)));
}
END_TEST

START_TEST(what_was_said_earlier_changes_nothing)
{
    cw_server_limit_t limit = {0};

    (void)cw_server_limit_note_named(&limit, 4, start, start);
    ck_assert_int_eq(cw_server_limit_note_named(&limit, 9, start - CW_MS(50), start + 1), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_note_ended(&limit, start - CW_MS(50), start + 1), CW_LIMIT_UNCHANGED);
    ck_assert_double_eq(limit.per_s, 4);
    ck_assert_int_eq(cw_server_limit_note_ended(&limit, start + CW_MS(50), start + CW_MS(60)), CW_LIMIT_ENDED);
    ck_assert_int_eq(cw_server_limit_note_named(&limit, 4, start + CW_MS(40), start + CW_MS(70)), CW_LIMIT_UNCHANGED);
    ck_assert(!cw_server_limit_binds(&limit, start + CW_MS(80)));
}
END_TEST

START_TEST(a_limit_named_by_some_answers_only_goes_on)
{
    cw_server_limit_t limit = {0};
    int               round;

    for (round = 0; round < 50; round++) {
        cw_time_us_t now = start + round * CW_MS(300);

        (void)cw_server_limit_note_named(&limit, 6, now, now);
        ck_assert_int_eq(cw_server_limit_note_unnamed(&limit, now + CW_MS(100)), CW_LIMIT_UNCHANGED);
        ck_assert_int_eq(cw_server_limit_note_unnamed(&limit, now + CW_MS(200)), CW_LIMIT_UNCHANGED);
    }
    ck_assert(cw_server_limit_binds(&limit, start + 50 * CW_MS(300)));
}
END_TEST

START_TEST(a_limit_that_is_no_longer_named_ends)
{
    cw_server_limit_t limit = {0};

    (void)cw_server_limit_note_named(&limit, 6, start, start);
    ck_assert_int_eq(cw_server_limit_note_unnamed(&limit, start + CW_MS(900)), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_note_unnamed(&limit, start + CW_MS(950)), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_note_unnamed(&limit, start + CW_MS(1050)), CW_LIMIT_ENDED);
    ck_assert(!cw_server_limit_binds(&limit, start + CW_MS(1050)));
    ck_assert_int_eq(cw_server_limit_note_unnamed(&limit, start + CW_MS(1060)), CW_LIMIT_UNCHANGED);
}
END_TEST

START_TEST(a_limit_of_a_silent_server_is_forgotten)
{
    cw_server_limit_t limit = {0};

    (void)cw_server_limit_note_named(&limit, 0, start, start);
    ck_assert(cw_server_limit_binds(&limit, start + CW_MS(CW_LIMIT_EXPIRY_MS) - 1));
    ck_assert(!cw_server_limit_binds(&limit, start + CW_MS(CW_LIMIT_EXPIRY_MS)));
    ck_assert_int_eq(cw_server_limit_note_named(&limit, 0, start + CW_SECONDS(20), start + CW_SECONDS(20)),
                     CW_LIMIT_BEGUN);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server signals");
    TCase *cases = tcase_create("all");

    tcase_add_test(cases, a_rest_is_the_seconds_of_a_503_and_bounded);
    tcase_add_test(cases, an_answer_to_a_request_that_did_not_run_is_told_apart);
    tcase_add_test(cases, a_server_leaves_that_says_so_and_no_other);
    tcase_add_test(cases, a_limit_is_a_decimal_number_and_nothing_else);
    tcase_add_test(cases, a_limit_begins_changes_and_is_renewed);
    tcase_add_test(cases, what_was_said_earlier_changes_nothing);
    tcase_add_test(cases, a_limit_named_by_some_answers_only_goes_on);
    tcase_add_test(cases, a_limit_that_is_no_longer_named_ends);
    tcase_add_test(cases, a_limit_of_a_silent_server_is_forgotten);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
