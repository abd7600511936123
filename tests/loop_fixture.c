/**
 * @file loop_fixture.c
 * @brief Runs a libuv loop until a condition holds, for tests.
 */
#include "loop_fixture.h"

#include <stdlib.h>

void cw_test_run_until(uv_loop_t *loop, bool (*done)(void *context), void *context)
{
    while (!done(context)) {
        uv_run(loop, UV_RUN_ONCE);
    }
}

static bool is_set(void *context)
{
    return *(const bool *)context;
}

void cw_test_run_until_set(uv_loop_t *loop, const bool *flag)
{
    cw_test_run_until(loop, is_set, (void *)flag);
}

void cw_test_run_some(uv_loop_t *loop, int turns)
{
    int turn;

    for (turn = 0; turn < turns; turn++) {
        uv_run(loop, UV_RUN_NOWAIT);
    }
}

int cw_test_main(Suite *suite)
{
    SRunner *runner = srunner_create(suite);
    int      failed;

    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
