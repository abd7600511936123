/**
 * @file loop_fixture.h
 * @brief Runs a libuv loop until a condition holds; a test that waits for what never comes is ended by the runner.
 */
#ifndef CEDARWINCH_TESTS_LOOP_FIXTURE_H
#define CEDARWINCH_TESTS_LOOP_FIXTURE_H

#include <check.h>
#include <stdbool.h>
#include <uv.h>

/** Turns the loop until `done(context)`. */
void cw_test_run_until(uv_loop_t *loop, bool (*done)(void *context), void *context);
/** Turns the loop until *flag. */
void cw_test_run_until_set(uv_loop_t *loop, const bool *flag);
/** Turns the loop a few times, for what must not happen. */
void cw_test_run_some(uv_loop_t *loop, int turns);
/** Runs the suite; the exit code for main. */
int cw_test_main(Suite *suite);

#endif
