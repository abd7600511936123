/**
 * @file test_platform_standin.c
 * @brief Tests of the platform stand-in's pure parts: object store and machine list.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standins/platform/machine_list.h"
#include "../standins/platform/object_store.h"
#include "cedarwinch/error.h"

START_TEST(write_needs_the_present_version)
{
    cw_object_store_t *store = cw_object_store_create();
    uint64_t           version;

    ck_assert_int_eq(cw_object_store_write(store, "a/b", "1", 1, CW_OBJECT_MUST_NOT_EXIST, &version), CW_OK);
    ck_assert_uint_eq(version, 1);
    ck_assert_int_eq(cw_object_store_write(store, "a/b", "2", 1, CW_OBJECT_MUST_NOT_EXIST, &version),
                     CW_ERROR_CONFLICT);
    ck_assert_uint_eq(version, 1);
    ck_assert_int_eq(cw_object_store_write(store, "a/a", "3", 1, CW_OBJECT_MUST_NOT_EXIST, &version), CW_OK);
    ck_assert_int_eq(cw_object_store_write(store, "a/b", "4", 1, 1, &version), CW_OK);
    ck_assert_int_eq(cw_object_store_write(store, "a/b", "5", 1, 1, &version), CW_ERROR_CONFLICT);
    ck_assert_uint_eq(version, 3);
    ck_assert_str_eq(cw_object_store_find(store, "a/b")->value, "4");
    ck_assert_int_eq(cw_object_store_write(store, "none", "6", 1, 9, &version), CW_ERROR_CONFLICT);
    ck_assert_uint_eq(cw_object_store_revision(store), 3);
    ck_assert_uint_eq(cw_object_store_changed(store, "a/", 0, NULL, NULL), 2);
    ck_assert_uint_eq(cw_object_store_changed(store, "a/", 2, NULL, NULL), 1);
    ck_assert_uint_eq(cw_object_store_changed(store, "b/", 0, NULL, NULL), 0);
    cw_object_store_free(store);
}
END_TEST

enum { LIST_TEXT = 200 };

static void collect(void *context, const char *name, cw_machine_state_t state)
{
    char  *text = context;
    size_t length = strlen(text);

    snprintf(text + length, LIST_TEXT - length, "%s=%s ", name, state == CW_MACHINE_LIVE ? "live" : "leaving");
}

static void expect_list(cw_machine_list_t *list, int64_t now_us, const char *expected)
{
    char text[LIST_TEXT] = "";

    cw_machine_list_visit(list, now_us, collect, text);
    ck_assert_str_eq(text, expected);
}

START_TEST(machine_list_lags)
{
    cw_machine_list_t *list = cw_machine_list_create(100);

    cw_machine_list_set(list, "one", CW_MACHINE_LIVE, 0);
    cw_machine_list_set(list, "two", CW_MACHINE_LIVE, 10);
    cw_machine_list_set(list, "one", CW_MACHINE_LEAVING, 20);
    cw_machine_list_set(list, "two", CW_MACHINE_GONE, 30);
    expect_list(list, 99, "");
    expect_list(list, 110, "one=live two=live ");
    expect_list(list, 120, "one=leaving two=live ");
    expect_list(list, 130, "one=leaving ");
    cw_machine_list_free(list);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("platform_standin");
    TCase   *tests = tcase_create("platform");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, write_needs_the_present_version);
    tcase_add_test(tests, machine_list_lags);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
