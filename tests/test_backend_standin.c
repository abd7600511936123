/**
 * @file test_backend_standin.c
 * @brief Tests of the back-end stand-in's pure parts: lease and grants, keys, clock.
 */
#include <check.h>
#include <stdlib.h>

#include "../standins/backend/key_table.h"
#include "../standins/backend/ownership.h"
#include "../standins/backend/server_clock.h"
#include "cedarwinch/error.h"

enum {
    SERVICE = 7,
    LEASE_END = 1000,
    HASHES = 16, /* key hashes of the random test */
    STEPS = 20000
};

static cw_ownership_t *ownership;
static unsigned        changes[CW_OWNERSHIP_LAPSED + 1];

static void count_change(void *context, cw_ownership_change_t change, const cw_server_grant_t *part)
{
    (void)context;
    ck_assert_uint_le(part->low, part->last);
    changes[change]++;
}

static void setup(void)
{
    ownership = cw_ownership_create(count_change, NULL);
    ck_assert_int_eq(cw_ownership_start_lease(ownership, 1, LEASE_END), CW_OK);
}

static void teardown(void)
{
    cw_ownership_free(ownership);
}

static cw_server_grant_t make_grant(cw_range_id_t range, cw_key_hash_t low, cw_key_hash_t last, uint64_t index)
{
    cw_server_grant_t grant = {.range = range, .service = SERVICE, .low = low, .last = last, .fence = {1, index}};

    return grant;
}

static int grant(cw_range_id_t range, cw_key_hash_t low, cw_key_hash_t last, uint64_t index)
{
    cw_server_grant_t wanted = make_grant(range, low, last, index);
    cw_fence_t        highest;

    return cw_ownership_grant(ownership, &wanted, &highest);
}

static cw_ownership_verdict_t start(cw_key_hash_t key_hash, uint64_t index, int64_t clock_us)
{
    return cw_ownership_check_start(ownership, SERVICE, key_hash, (cw_fence_t){1, index}, clock_us);
}

static cw_ownership_verdict_t effect(cw_key_hash_t key_hash, uint64_t index, int64_t clock_us)
{
    return cw_ownership_check_effect(ownership, SERVICE, key_hash, (cw_fence_t){1, index}, clock_us);
}

START_TEST(lower_fence_is_refused)
{
    ck_assert_int_eq(grant(1, 0, 99, 5), CW_OK);
    ck_assert_int_eq(grant(2, 50, 150, 4), CW_ERROR_CONFLICT);
    ck_assert_int_eq(grant(1, 0, 99, 5), CW_OK); /* the same again */
    ck_assert_uint_eq(changes[CW_OWNERSHIP_GRANTED], 1);
    ck_assert_int_eq(grant(2, 0, 99, 5), CW_ERROR_CONFLICT); /* same fence, other range */
    ck_assert_int_eq(start(10, 5, 2), CW_OWNED);
    ck_assert_int_eq(start(10, 4, 2), CW_NOT_OWNED_FENCE);
    ck_assert_int_eq(start(10, 6, 2), CW_NOT_OWNED_FENCE);
    ck_assert_int_eq(start(100, 5, 2), CW_NOT_OWNED_FENCE);
}
END_TEST

START_TEST(nothing_runs_after_the_lease)
{
    ck_assert_int_eq(grant(1, 0, 99, 5), CW_OK);
    ck_assert_int_eq(effect(10, 5, LEASE_END - 1), CW_OWNED);
    ck_assert_int_eq(effect(10, 5, LEASE_END), CW_NOT_OWNED_LEASE);
    ck_assert_int_eq(start(10, 5, LEASE_END), CW_NOT_OWNED_LEASE);
    cw_ownership_renew(ownership, LEASE_END, 2 * LEASE_END); /* too late */
    ck_assert_int_eq(start(10, 5, LEASE_END), CW_NOT_OWNED_LEASE);
    cw_ownership_expire(ownership, LEASE_END);
    ck_assert_uint_eq(changes[CW_OWNERSHIP_LAPSED], 1);
    ck_assert_int_eq(cw_ownership_lease_end_us(ownership), 0);
    ck_assert_int_eq(cw_ownership_start_lease(ownership, LEASE_END, 2 * LEASE_END), CW_OK);
    ck_assert_int_eq(start(10, 5, LEASE_END), CW_NOT_OWNED_FENCE); /* a new lease brings no grant back */
    ck_assert_int_eq(grant(1, 0, 99, 5), CW_ERROR_CONFLICT);
    ck_assert_int_eq(grant(1, 0, 99, 6), CW_OK);
}
END_TEST

START_TEST(renewal_never_shortens)
{
    cw_ownership_renew(ownership, 1, LEASE_END - 1);
    ck_assert_int_eq(cw_ownership_lease_end_us(ownership), LEASE_END);
    cw_ownership_renew(ownership, 1, LEASE_END + 1);
    ck_assert_int_eq(cw_ownership_lease_end_us(ownership), LEASE_END + 1);
    ck_assert_int_eq(cw_ownership_start_lease(ownership, 5, 5), CW_ERROR_CONFLICT);
}
END_TEST

START_TEST(revocation_lets_running_requests_end)
{
    cw_server_grant_t revoked = make_grant(1, 0, 99, 5);

    ck_assert_int_eq(grant(1, 0, 99, 5), CW_OK);
    cw_ownership_revoke_begin(ownership, &revoked);
    ck_assert_int_eq(start(10, 5, 2), CW_NOT_OWNED_FENCE);
    ck_assert_int_eq(effect(10, 5, 2), CW_OWNED);
    cw_ownership_revoke_finish(ownership, &revoked);
    ck_assert_int_eq(effect(10, 5, 2), CW_NOT_OWNED_FENCE);
    ck_assert(!cw_ownership_holds_any(ownership));
}
END_TEST

START_TEST(revocation_outlives_a_late_grant)
{
    cw_server_grant_t revoked = make_grant(1, 0, 99, 6);

    ck_assert_int_eq(grant(1, 0, 99, 5), CW_OK);
    cw_ownership_revoke_begin(ownership, &revoked);
    cw_ownership_revoke_finish(ownership, &revoked);
    ck_assert_int_eq(grant(1, 0, 99, 6), CW_ERROR_CONFLICT); /* sent before the revocation, arrived after it */
    ck_assert_int_eq(grant(1, 0, 99, 7), CW_OK);
    cw_ownership_revoke_begin(ownership, &revoked);
    ck_assert_int_eq(start(10, 7, 2), CW_OWNED); /* a higher fence stays */
}
END_TEST

START_TEST(part_of_a_range_changes_hands)
{
    ck_assert_int_eq(grant(1, 0, UINT64_MAX, 5), CW_OK);
    ck_assert_int_eq(grant(2, 10, 20, 6), CW_OK);
    ck_assert_int_eq(start(9, 5, 2), CW_OWNED);
    ck_assert_int_eq(start(10, 5, 2), CW_NOT_OWNED_FENCE);
    ck_assert_int_eq(start(20, 6, 2), CW_OWNED);
    ck_assert_int_eq(start(UINT64_MAX, 5, 2), CW_OWNED);
    ck_assert_uint_eq(changes[CW_OWNERSHIP_SUPERSEDED], 1);
}
END_TEST

/* What one key hash should hold, kept apart for each. */
typedef struct expected {
    uint64_t highest;
    uint64_t held; /* 0: none */
    uint64_t range;
    bool     revoking;
} expected_t;

static void step_grant(expected_t *model, const cw_server_grant_t *wanted)
{
    uint64_t      index = wanted->fence.index;
    cw_fence_t    highest;
    cw_key_hash_t hash;
    bool          refused = false;

    for (hash = wanted->low; hash <= wanted->last; hash++) {
        refused = refused || index < model[hash].highest ||
                  (index == model[hash].highest &&
                   (model[hash].held != index || model[hash].range != wanted->range || model[hash].revoking));
    }
    ck_assert_int_eq(cw_ownership_grant(ownership, wanted, &highest), refused ? CW_ERROR_CONFLICT : CW_OK);
    for (hash = wanted->low; hash <= wanted->last && !refused; hash++) {
        model[hash] = (expected_t){.highest = index, .held = index, .range = wanted->range};
    }
}

static void step_revoke(expected_t *model, const cw_server_grant_t *wanted, bool finish)
{
    uint64_t      index = wanted->fence.index;
    cw_key_hash_t hash;

    cw_ownership_revoke_begin(ownership, wanted);
    for (hash = wanted->low; hash <= wanted->last; hash++) {
        model[hash].highest = model[hash].highest > index ? model[hash].highest : index;
        model[hash].revoking = model[hash].revoking || (model[hash].held != 0 && model[hash].held <= index);
        if (finish && model[hash].revoking && model[hash].held <= index) {
            model[hash].held = 0;
            model[hash].revoking = false;
        }
    }
    if (finish) {
        cw_ownership_revoke_finish(ownership, wanted);
    }
}

START_TEST(every_key_hash_agrees_with_a_plain_model)
{
    expected_t        model[HASHES] = {0};
    uint64_t          random = 11;
    cw_server_grant_t wanted;
    cw_key_hash_t     hash;
    unsigned          step;
    bool              held;

    for (step = 0; step < STEPS; step++) {
        wanted = make_grant(1 + cw_random_below(&random, 3), cw_random_below(&random, HASHES), 0,
                            1 + step / 50 + cw_random_below(&random, 4));
        wanted.last = wanted.low + cw_random_below(&random, HASHES - wanted.low);
        if (cw_random_below(&random, 3) > 0) {
            step_grant(model, &wanted);
        } else {
            step_revoke(model, &wanted, cw_random_below(&random, 2) == 0);
        }
        for (hash = 0; hash < HASHES; hash++) {
            held = model[hash].held != 0;
            ck_assert_int_eq(effect(hash, model[hash].held, 2) == CW_OWNED, held);
            ck_assert_int_eq(start(hash, model[hash].held, 2) == CW_OWNED, held && !model[hash].revoking);
        }
    }
}
END_TEST

START_TEST(lost_keys_are_cold)
{
    cw_key_table_t *keys = cw_key_table_create();

    ck_assert(cw_key_table_is_cold(keys, SERVICE, 5));
    ck_assert_uint_eq(cw_key_table_count(keys, SERVICE, 5), 1);
    ck_assert_uint_eq(cw_key_table_count(keys, SERVICE, 5), 2);
    ck_assert_uint_eq(cw_key_table_count(keys, SERVICE, 9), 1);
    cw_key_table_forget(keys, SERVICE, 0, 5);
    ck_assert(cw_key_table_is_cold(keys, SERVICE, 5));
    ck_assert(!cw_key_table_is_cold(keys, SERVICE, 9));
    ck_assert_uint_eq(cw_key_table_count(keys, SERVICE, 5), 1); /* starts anew */
}
END_TEST

START_TEST(clock_drifts_and_converts_back)
{
    cw_server_clock_t clock = {.boot_real_us = 500, .offset_us = 70, .drift_ppm = 1000};
    int64_t           reading = cw_server_clock_read(&clock, 500 + 1000000);

    ck_assert_int_eq(reading, 70 + 1001000);
    ck_assert_int_le(llabs(cw_server_clock_real(&clock, reading) - (500 + 1000000)), 1);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("backend_standin");
    TCase   *tests = tcase_create("ownership");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, lower_fence_is_refused);
    tcase_add_test(tests, nothing_runs_after_the_lease);
    tcase_add_test(tests, renewal_never_shortens);
    tcase_add_test(tests, revocation_lets_running_requests_end);
    tcase_add_test(tests, revocation_outlives_a_late_grant);
    tcase_add_test(tests, part_of_a_range_changes_hands);
    tcase_add_test(tests, every_key_hash_agrees_with_a_plain_model);
    tcase_add_test(tests, lost_keys_are_cold);
    tcase_add_test(tests, clock_drifts_and_converts_back);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
