/**
 * @file test_timer_heap.c
 * @brief Tests of the timer heap against a plain ordered search.
 */
#include <check.h>
#include <stdlib.h>

#include "cedarwinch/timer_heap.h"

enum { TIMER_COUNT = 200, STEPS = 5000, DUE_BOUND = 50 };

/* The timer that must come next: earliest, then first set. */
static cw_timer_t *find_earliest(cw_timer_t *timers)
{
    cw_timer_t *earliest = NULL;
    size_t      index;

    for (index = 0; index < TIMER_COUNT; index++) {
        if (cw_timer_is_set(&timers[index]) &&
            (earliest == NULL || timers[index].due_us < earliest->due_us ||
             (timers[index].due_us == earliest->due_us && timers[index].order < earliest->order))) {
            earliest = &timers[index];
        }
    }
    return earliest;
}

START_TEST(heap_agrees_with_a_search_over_random_steps)
{
    cw_timer_heap_t heap = {0};
    cw_timer_t      timers[TIMER_COUNT] = {0};
    uint64_t        random_state = 11;
    size_t          step;

    for (step = 0; step < STEPS; step++) {
        cw_timer_t *timer = &timers[cw_random_below(&random_state, TIMER_COUNT)];

        if (cw_random_below(&random_state, 3) == 0) {
            cw_timer_heap_cancel(&heap, timer);
            ck_assert(!cw_timer_is_set(timer));
        } else {
            ck_assert_int_eq(cw_timer_heap_set(&heap, timer, (int64_t)cw_random_below(&random_state, DUE_BOUND)), 0);
        }
        ck_assert_ptr_eq(cw_timer_heap_first(&heap), find_earliest(timers));
    }
    while (heap.count > 0) {
        cw_timer_t *earliest = find_earliest(timers);

        ck_assert_ptr_null(cw_timer_heap_take_due(&heap, earliest->due_us - 1));
        ck_assert_ptr_eq(cw_timer_heap_take_due(&heap, earliest->due_us), earliest);
    }
    ck_assert_int_eq(cw_timer_heap_next(&heap), CW_TIME_NEVER);
    cw_timer_heap_clear(&heap);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("timer_heap");
    TCase   *tests = tcase_create("timer_heap");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, heap_agrees_with_a_search_over_random_steps);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
