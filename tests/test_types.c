/**
 * @file test_types.c
 * @brief Tests of fences, hashes and random numbers.
 */
#include <check.h>
#include <stdlib.h>

#include "cedarwinch/types.h"

START_TEST(fence_orders_by_generation_then_index)
{
    cw_fence_t low = {1, 900};
    cw_fence_t high = {2, 3};

    ck_assert_int_lt(cw_fence_compare(low, high), 0);
    ck_assert_int_gt(cw_fence_compare(high, low), 0);
    ck_assert_int_eq(cw_fence_compare(high, high), 0);
    ck_assert_uint_eq(cw_fence_max(low, high).index, 3);
}
END_TEST

START_TEST(effective_fence_is_larger_of_range_and_server)
{
    Cw__Fence      range_fence = CW__FENCE__INIT;
    Cw__Fence      server_fence = CW__FENCE__INIT;
    Cw__RangeInfo  range = CW__RANGE_INFO__INIT;
    Cw__ServerInfo server = CW__SERVER_INFO__INIT;

    range_fence.generation = server_fence.generation = 1;
    range_fence.index = 7;
    server_fence.index = 9;
    range.fence = &range_fence;
    server.fence = &server_fence;
    ck_assert_uint_eq(cw_fence_effective(&range, &server).index, 9);
    range_fence.index = 12;
    ck_assert_uint_eq(cw_fence_effective(&range, &server).index, 12);
    ck_assert_uint_eq(cw_fence_effective(&range, NULL).index, 12);
}
END_TEST

START_TEST(service_and_server_hashes_differ)
{
    ck_assert_uint_ne(cw_hash_service("a", "b"), cw_hash_service("b", "a"));
    ck_assert_uint_ne(cw_hash_service("a", "b"), cw_hash_server("a", "b", "c"));
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("types");
    TCase   *tests = tcase_create("types");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, fence_orders_by_generation_then_index);
    tcase_add_test(tests, effective_fence_is_larger_of_range_and_server);
    tcase_add_test(tests, service_and_server_hashes_differ);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
