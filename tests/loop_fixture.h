/**
 * @file loop_fixture.h
 * @brief Runs a libuv loop until a condition holds, for tests. A test whose condition never holds is ended by the
 * timeout of the test runner.
 */
#ifndef CEDARWINCH_TESTS_LOOP_FIXTURE_H
#define CEDARWINCH_TESTS_LOOP_FIXTURE_H

#include <check.h>
#include <stdbool.h>
#include <uv.h>

/** Runs the loop until done(context) returns true. */
void cw_test_run_until(uv_loop_t *loop, bool (*done)(void *context), void *context);
/** Runs the loop until *flag is true. */
void cw_test_run_until_set(uv_loop_t *loop, const bool *flag);
/** Runs `turns` iterations of the loop without waiting, for tests that something does not happen. */
void cw_test_run_some(uv_loop_t *loop, int turns);
/** Runs the suite in this process. Returns the exit code for main. */
int cw_test_main(Suite *suite);

#endif
