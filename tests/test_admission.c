/**
 * @file test_admission.c
 * @brief Tests of the limits: token bucket, retry budget, admission and token digests.
 */
#include <check.h>
#include <stdlib.h>

#include "cedarwinch/admission.h"
#include "cedarwinch/retry_budget.h"
#include "cedarwinch/token_digest.h"

static size_t take_all(cw_token_bucket_t *bucket, cw_time_us_t now)
{
    size_t taken = 0;

    while (cw_token_bucket_take(bucket, now)) {
        taken++;
    }
    return taken;
}

START_TEST(bucket_gives_its_rate_and_burst)
{
    cw_token_bucket_t bucket;
    size_t            taken = 0;
    cw_time_us_t      now;

    cw_token_bucket_init(&bucket, 7, 5, 0);
    ck_assert_uint_eq(take_all(&bucket, 0), 5);
    ck_assert_int_eq(cw_token_bucket_wait_us(&bucket), 142858);
    ck_assert(!cw_token_bucket_take(&bucket, 142857));
    ck_assert(cw_token_bucket_take(&bucket, 142858));
    for (now = 142858; now <= 100 * CW_US_PER_S; now += 13337) {
        taken += take_all(&bucket, now);
    }
    ck_assert_uint_ge(taken, 698);
    ck_assert_uint_le(taken, 700);
    ck_assert_uint_eq(take_all(&bucket, INT64_MAX), 5);
    ck_assert_uint_eq(take_all(&bucket, 0), 0);
    cw_token_bucket_limit(&bucket, 0, 0, INT64_MAX);
    ck_assert(cw_token_bucket_take(&bucket, INT64_MAX));
    cw_token_bucket_limit(&bucket, 7, 4, INT64_MAX);
    ck_assert_uint_eq(take_all(&bucket, INT64_MAX), 4);
}
END_TEST

START_TEST(retries_stay_within_their_share_and_floor)
{
    cw_retry_budget_t budget;
    size_t            retries = 0;
    size_t            request;

    cw_retry_budget_init(&budget, 20, 0);
    for (request = 0; request < 1000; request++) {
        cw_retry_budget_deposit(&budget);
        while (cw_retry_budget_withdraw(&budget, 0)) {
            retries++;
        }
    }
    ck_assert_uint_eq(retries, 200 + CW_RETRY_FLOOR_BURST);
    for (request = 0; request < 100000; request++) {
        cw_retry_budget_deposit(&budget);
    }
    for (retries = 0; cw_retry_budget_withdraw(&budget, 0); retries++) {
    }
    ck_assert_uint_eq(retries, CW_RETRY_SAVED_MAX);
}
END_TEST

static uint32_t enter_all(cw_admission_t *admission, cw_admission_share_t *share)
{
    uint32_t entered = 0;

    while (cw_admission_enter(admission, share, 0) == CW_REASON_NONE) {
        entered++;
    }
    return entered;
}

START_TEST(busy_tenants_leave_room_and_come_to_equal_shares)
{
    cw_admission_t       admission = {.limit = 300};
    cw_admission_share_t first = {0};
    cw_admission_share_t second = {0};
    size_t               step;

    ck_assert_uint_eq(enter_all(&admission, &first), 200);
    ck_assert_uint_ge(enter_all(&admission, &second), 60);
    for (step = 0; step < 300; step++) {
        cw_admission_leave(&admission, &first);
        enter_all(&admission, &second);
        enter_all(&admission, &first);
    }
    ck_assert_uint_eq(first.in_use + second.in_use, admission.in_use);
    ck_assert_uint_ge(second.in_use, 119);
    ck_assert_uint_le(first.in_use, 121);
}
END_TEST

START_TEST(tenant_limit_and_whole_limit_hold)
{
    cw_admission_t       admission = {.limit = 2};
    cw_admission_share_t first = {0};
    cw_admission_share_t second = {0};

    ck_assert_int_eq(cw_admission_enter(&admission, &first, 1), CW_REASON_NONE);
    ck_assert_int_eq(cw_admission_enter(&admission, &first, 1), CW_REASON_CONCURRENCY_LIMIT);
    ck_assert_int_eq(cw_admission_enter(&admission, &second, 0), CW_REASON_NONE);
    ck_assert_int_eq(cw_admission_enter(&admission, &second, 0), CW_REASON_QUEUE_FULL);
    cw_admission_leave(&admission, &first);
    ck_assert_int_eq(cw_admission_enter(&admission, &first, 1), CW_REASON_NONE);
}
END_TEST

START_TEST(only_a_whole_equal_digest_is_accepted)
{
    uint8_t             right[CW_TOKEN_DIGEST_BYTES];
    uint8_t             other[CW_TOKEN_DIGEST_BYTES];
    ProtobufCBinaryData accepted[2] = {{CW_TOKEN_DIGEST_BYTES, other}, {CW_TOKEN_DIGEST_BYTES, right}};

    cw_token_digest("abc", right);
    ck_assert_uint_eq(right[0], 0xba); /* FIPS 180-2, appendix B.1 */
    ck_assert_uint_eq(right[31], 0xad);
    cw_token_digest("abd", other);
    ck_assert(cw_token_digest_is_accepted(right, accepted, 2));
    ck_assert(!cw_token_digest_is_accepted(right, accepted, 1));
    accepted[1].len = 4;
    ck_assert(!cw_token_digest_is_accepted(right, accepted, 2));
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("admission");
    TCase   *tests = tcase_create("admission");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, bucket_gives_its_rate_and_burst);
    tcase_add_test(tests, retries_stay_within_their_share_and_floor);
    tcase_add_test(tests, busy_tenants_leave_room_and_come_to_equal_shares);
    tcase_add_test(tests, tenant_limit_and_whole_limit_hold);
    tcase_add_test(tests, only_a_whole_equal_digest_is_accepted);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
