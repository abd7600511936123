/**
 * @file test_replay_filter.c
 * @brief Tests of the windows that let each message pass once.
 */
#include <check.h>
#include <stdlib.h>

#include "core/replay_filter.h"

enum { SENDER = 7, OTHER = 8, NUMBERS = 20000 };

START_TEST(number_passes_once_in_any_order_within_the_window)
{
    cw_replay_filter_t filter = {0};

    ck_assert(cw_replay_filter_pass(&filter, SENDER, 5, 0));
    ck_assert(cw_replay_filter_pass(&filter, SENDER, 3, 0));
    ck_assert(!cw_replay_filter_pass(&filter, SENDER, 5, 0));
    ck_assert(!cw_replay_filter_pass(&filter, SENDER, 3, 0));
    ck_assert(cw_replay_filter_pass(&filter, OTHER, 3, 0));
    ck_assert(cw_replay_filter_pass(&filter, SENDER, 3 + CW_REPLAY_WINDOW, 0));
    ck_assert(!cw_replay_filter_pass(&filter, SENDER, 3, 0));
    ck_assert(cw_replay_filter_pass(&filter, SENDER, 6, 0));
    ck_assert(!cw_replay_filter_pass(&filter, SENDER, 6, 0));
    cw_replay_filter_clear(&filter);
}
END_TEST

/* Against a plain table of all numbers: nothing passes twice, and nothing recent is held back. */
START_TEST(window_agrees_with_a_full_table)
{
    cw_replay_filter_t filter = {0};
    bool              *seen = calloc(NUMBERS + CW_REPLAY_WINDOW, sizeof(*seen));
    uint64_t           random = 1;
    uint64_t           highest = 0;
    uint64_t           step;

    for (step = 1; step < NUMBERS; step++) {
        uint64_t back = cw_random_below(&random, 2 * CW_REPLAY_WINDOW);
        uint64_t number = step + CW_REPLAY_WINDOW > back ? step + CW_REPLAY_WINDOW - back : 0;
        bool     recent = number > highest || highest - number < CW_REPLAY_WINDOW;

        ck_assert_int_eq(cw_replay_filter_pass(&filter, SENDER, number, 0), recent && !seen[number]);
        seen[number] = seen[number] || recent;
        highest = number > highest ? number : highest;
    }
    free(seen);
    cw_replay_filter_clear(&filter);
}
END_TEST

START_TEST(silent_sender_is_forgotten_when_another_comes)
{
    cw_replay_filter_t filter = {0};

    ck_assert(cw_replay_filter_pass(&filter, SENDER, 1, 0));
    ck_assert(cw_replay_filter_pass(&filter, OTHER, 1, CW_REPLAY_IDLE_US - 1));
    ck_assert(!cw_replay_filter_pass(&filter, SENDER, 1, CW_REPLAY_IDLE_US - 1));
    ck_assert(cw_replay_filter_pass(&filter, OTHER + 1, 1, 3 * CW_REPLAY_IDLE_US));
    ck_assert(cw_replay_filter_pass(&filter, OTHER + 2, 1, 3 * CW_REPLAY_IDLE_US));
    ck_assert(cw_replay_filter_pass(&filter, SENDER, 1, 3 * CW_REPLAY_IDLE_US));
    cw_replay_filter_clear(&filter);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("replay_filter");
    TCase   *tests = tcase_create("replay_filter");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, number_passes_once_in_any_order_within_the_window);
    tcase_add_test(tests, window_agrees_with_a_full_table);
    tcase_add_test(tests, silent_sender_is_forgotten_when_another_comes);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
