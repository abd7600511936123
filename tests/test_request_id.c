/**
 * @file test_request_id.c
 * @brief Tests of request ids (UUIDv7).
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/outcome.h"

START_TEST(example_of_the_standard_is_read)
{
    /* RFC 9562, appendix A.6. */
    const char *text = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    uint8_t     id[CW_REQUEST_ID_BYTES];
    char        formatted[37];

    ck_assert_int_eq(cw_request_id_parse(text, strlen(text), id), CW_OK);
    ck_assert_int_eq(cw_request_id_time_ms(id), INT64_C(0x017f22e279b0));
    cw_request_id_format(id, formatted);
    ck_assert_str_eq(formatted, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
}
END_TEST

START_TEST(made_ids_carry_their_time_and_differ)
{
    const int64_t wall_ms = INT64_C(1790000000123);
    uint64_t      random_state = 5;
    uint8_t       first[CW_REQUEST_ID_BYTES];
    uint8_t       second[CW_REQUEST_ID_BYTES];
    uint8_t       parsed[CW_REQUEST_ID_BYTES];
    char          text[37];

    cw_request_id_make(first, wall_ms, &random_state);
    cw_request_id_make(second, wall_ms, &random_state);
    ck_assert_int_ne(memcmp(first, second, sizeof(first)), 0);
    cw_request_id_format(first, text);
    ck_assert_int_eq(cw_request_id_parse(text, strlen(text), parsed), CW_OK);
    ck_assert_mem_eq(first, parsed, sizeof(first));
    ck_assert_int_eq(cw_request_id_time_ms(first), wall_ms);
}
END_TEST

static const char *const malformed_ids[] = {
    "",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398ff",
    "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
    "017f22e2-79b0-7cc3-58c4-dc0c0c07398f",
    "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
    "{17f22e2-79b0-7cc3-98c4-dc0c0c07398}",
};

START_TEST(malformed_ids_are_refused)
{
    uint8_t id[CW_REQUEST_ID_BYTES];

    ck_assert_int_eq(cw_request_id_parse(malformed_ids[_i], strlen(malformed_ids[_i]), id), CW_ERROR_PARSE);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("request_id");
    TCase   *tests = tcase_create("request_id");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, example_of_the_standard_is_read);
    tcase_add_test(tests, made_ids_carry_their_time_and_differ);
    tcase_add_loop_test(tests, malformed_ids_are_refused, 0, (int)(sizeof(malformed_ids) / sizeof(malformed_ids[0])));
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
