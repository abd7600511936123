/**
 * @file test_server_signals.c
 * @brief Signals of servers in answers: decoding, and when a rate limit begins and ends.
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
    signals.malformed_value = NULL; /* it is freed with the fields */
    cw_http_fields_clear(&fields);
    return signals;
}

static cw_server_signals_t decoded(const char *name, const char *value)
{
    return decoded_of(200, name, value);
}

START_TEST(rest_is_decoded_from_retry_after_of_a_503_and_bounded)
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

START_TEST(recognises_answers_to_requests_that_did_not_run)
{
    ck_assert(decoded("Server-Limit", "6").has_run);
    ck_assert(!decoded_of(421, "X-Not-Executed", "1").has_run);
}
END_TEST

START_TEST(server_is_leaving_only_if_it_says_so)
{
    ck_assert(decoded("Server-Leaving", "1").is_leaving);
    ck_assert(decoded_of(503, "server-leaving", "1").is_leaving);
    ck_assert(!decoded("Server-Leaving", "0").is_leaving);
    ck_assert_str_eq(decoded("Server-Leaving", "true").malformed_name, "Server-Leaving");
    ck_assert(!decoded("Connection", "close").is_leaving);
}
END_TEST

START_TEST(decodes_limits_that_are_decimal_numbers_only)
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

START_TEST(limit_begins_changes_and_is_renewed)
{
    cw_server_limit_t limit = {0};

    ck_assert(!cw_server_limit_binds(&limit, start));
    ck_assert_int_eq(cw_server_limit_record_named(&limit, 6, start, start), CW_LIMIT_BEGUN);
    ck_assert_int_eq(cw_server_limit_record_named(&limit, 6, start + 1, start + 1), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_record_named(&limit, 4, start + 2, start + 2), CW_LIMIT_CHANGED);
    ck_assert_double_eq(limit.per_s, 4);
    ck_assert(cw_server_limit_binds(&limit, start + CW_SECONDS(5)));
}
END_TEST

START_TEST(statements_older_than_the_known_state_are_ignored)
{
    cw_server_limit_t limit = {0};

    (void)cw_server_limit_record_named(&limit, 4, start, start);
    ck_assert_int_eq(cw_server_limit_record_named(&limit, 9, start - CW_MS(50), start + 1), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_record_ended(&limit, start - CW_MS(50), start + 1), CW_LIMIT_UNCHANGED);
    ck_assert_double_eq(limit.per_s, 4);
    ck_assert_int_eq(cw_server_limit_record_ended(&limit, start + CW_MS(50), start + CW_MS(60)), CW_LIMIT_ENDED);
    ck_assert_int_eq(cw_server_limit_record_named(&limit, 4, start + CW_MS(40), start + CW_MS(70)), CW_LIMIT_UNCHANGED);
    ck_assert(!cw_server_limit_binds(&limit, start + CW_MS(80)));
}
END_TEST

START_TEST(limit_named_by_only_some_answers_continues)
{
    cw_server_limit_t limit = {0};
    int               round;

    for (round = 0; round < 50; round++) {
        cw_time_us_t now = start + round * CW_MS(300);

        (void)cw_server_limit_record_named(&limit, 6, now, now);
        ck_assert_int_eq(cw_server_limit_record_unnamed(&limit, now + CW_MS(100)), CW_LIMIT_UNCHANGED);
        ck_assert_int_eq(cw_server_limit_record_unnamed(&limit, now + CW_MS(200)), CW_LIMIT_UNCHANGED);
    }
    ck_assert(cw_server_limit_binds(&limit, start + 50 * CW_MS(300)));
}
END_TEST

START_TEST(limit_that_is_no_longer_named_ends)
{
    cw_server_limit_t limit = {0};

    (void)cw_server_limit_record_named(&limit, 6, start, start);
    ck_assert_int_eq(cw_server_limit_record_unnamed(&limit, start + CW_MS(900)), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_record_unnamed(&limit, start + CW_MS(950)), CW_LIMIT_UNCHANGED);
    ck_assert_int_eq(cw_server_limit_record_unnamed(&limit, start + CW_MS(1050)), CW_LIMIT_ENDED);
    ck_assert(!cw_server_limit_binds(&limit, start + CW_MS(1050)));
    ck_assert_int_eq(cw_server_limit_record_unnamed(&limit, start + CW_MS(1060)), CW_LIMIT_UNCHANGED);
}
END_TEST

START_TEST(limit_of_a_server_without_answers_expires)
{
    cw_server_limit_t limit = {0};

    (void)cw_server_limit_record_named(&limit, 0, start, start);
    ck_assert(cw_server_limit_binds(&limit, start + CW_MS(CW_LIMIT_EXPIRY_MS) - 1));
    ck_assert(!cw_server_limit_binds(&limit, start + CW_MS(CW_LIMIT_EXPIRY_MS)));
    ck_assert_int_eq(cw_server_limit_record_named(&limit, 0, start + CW_SECONDS(20), start + CW_SECONDS(20)),
                     CW_LIMIT_BEGUN);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server signals");
    TCase *cases = tcase_create("all");

    tcase_add_test(cases, rest_is_decoded_from_retry_after_of_a_503_and_bounded);
    tcase_add_test(cases, recognises_answers_to_requests_that_did_not_run);
    tcase_add_test(cases, server_is_leaving_only_if_it_says_so);
    tcase_add_test(cases, decodes_limits_that_are_decimal_numbers_only);
    tcase_add_test(cases, limit_begins_changes_and_is_renewed);
    tcase_add_test(cases, statements_older_than_the_known_state_are_ignored);
    tcase_add_test(cases, limit_named_by_only_some_answers_continues);
    tcase_add_test(cases, limit_that_is_no_longer_named_ends);
    tcase_add_test(cases, limit_of_a_server_without_answers_expires);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
