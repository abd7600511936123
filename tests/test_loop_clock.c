/**
 * @file test_loop_clock.c
 * @brief Tests that the loop's clock includes the time for which the machine was suspended, and that a node's
 * authority, tables, list and evidence expire by it. Otherwise a node that resumes would serve and order from outdated
 * state.
 */
#include "base/loop_clock.h"
#include "base/metrics.h"
#include "loop_fixture.h"
#include "node_fixture.h"
#include "proxy/engine_internal.h"
#include "tenancy/credential_evidence.h"

enum { SUSPENDED_S = 20, SERVERS = 6 };

static cw_time_us_t fake_suspended;

static cw_time_us_t read_fake(void *context)
{
    (void)context;
    return fake_suspended;
}

static void begin(uv_loop_t *loop)
{
    fake_suspended = CW_SECONDS(1000); /* suspended before this process started */
    ck_assert_int_eq(cw_loop_clock_begin(loop, read_fake, NULL), 0);
}

/* ---- the clock ---- */

START_TEST(time_is_the_loops_time_without_a_suspension)
{
    uv_loop_t loop;

    uv_loop_init(&loop);
    begin(&loop);
    ck_assert_int_eq(cw_loop_now(&loop), CW_MS(uv_now(&loop)));
    ck_assert_int_eq(cw_loop_clock_take_suspension(), 0);
    cw_loop_clock_end();
}
END_TEST

/* Guards against decisions by the time at which the present turn of the loop began: a process that was stopped within
 * the turn believed in an authority that had ended. */
START_TEST(a_refreshed_time_includes_the_present_turn)
{
    uv_loop_t    loop;
    cw_time_us_t before;

    uv_loop_init(&loop);
    begin(&loop);
    before = cw_loop_now(&loop);
    while (uv_hrtime() / 1000000 <= uv_now(&loop)) { /* the turn lasts until the clock has advanced */
    }
    ck_assert_int_eq(cw_loop_now(&loop), before);
    ck_assert_int_gt(cw_loop_refresh(&loop), before);
    ck_assert_int_gt(cw_loop_now(&loop), before);
    cw_loop_clock_end();
}
END_TEST

static void on_never(uv_timer_t *timer)
{
    (void)timer;
}

/* Adds a timer that does not fire in the test: a loop without active handles does not wait. */
static void keep_alive(uv_loop_t *loop, uv_timer_t *timer)
{
    uv_timer_init(loop, timer);
    uv_timer_start(timer, on_never, UINT32_MAX, 0);
}

START_TEST(suspension_is_included_at_the_first_reading_after_a_wait)
{
    uv_loop_t    loop;
    uv_timer_t   timer;
    cw_time_us_t before;

    uv_loop_init(&loop);
    keep_alive(&loop, &timer);
    begin(&loop);
    uv_run(&loop, UV_RUN_NOWAIT);
    before = cw_loop_now(&loop);
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    uv_run(&loop, UV_RUN_NOWAIT);
    ck_assert_int_ge(cw_loop_now(&loop) - before, CW_SECONDS(SUSPENDED_S));
    ck_assert_int_eq(cw_loop_clock_take_suspension(), CW_SECONDS(SUSPENDED_S));
    ck_assert_int_eq(cw_loop_clock_take_suspension(), 0);
    cw_loop_clock_end();
}
END_TEST

START_TEST(time_never_decreases)
{
    uv_loop_t    loop;
    uv_timer_t   timer;
    cw_time_us_t before;

    uv_loop_init(&loop);
    keep_alive(&loop, &timer);
    begin(&loop);
    uv_run(&loop, UV_RUN_NOWAIT);
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    before = cw_loop_now(&loop);
    fake_suspended -= CW_MS(1); /* readings vary slightly, because the two clocks are not read at the same moment */
    uv_run(&loop, UV_RUN_NOWAIT);
    ck_assert_int_ge(cw_loop_now(&loop), before);
    cw_loop_clock_end();
}
END_TEST

START_TEST(another_loop_keeps_its_own_time)
{
    uv_loop_t loop;
    uv_loop_t other;

    uv_loop_init(&loop);
    uv_loop_init(&other);
    begin(&loop);
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    ck_assert_int_eq(cw_loop_now(&other), CW_MS(uv_now(&other)));
    cw_loop_clock_end();
}
END_TEST

START_TEST(system_clocks_agree_while_the_machine_runs)
{
    uv_loop_t  loop;
    uv_timer_t timer;

    uv_loop_init(&loop);
    keep_alive(&loop, &timer);
    ck_assert_int_eq(cw_loop_clock_begin(&loop, NULL, NULL), 0);
    uv_run(&loop, UV_RUN_NOWAIT);
    ck_assert_int_lt(cw_loop_now(&loop) - CW_MS(uv_now(&loop)), CW_SECONDS(1));
    cw_loop_clock_end();
}
END_TEST

/* ---- state of a node ---- */

static node_fixture_t *new_leader(void)
{
    node_fixture_t *node = node_fixture_create();

    begin(&node->router.loop);
    cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store");
    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80");
    node_fixture_lead(node);
    return node;
}

static void free_node(node_fixture_t *node)
{
    cw_loop_clock_end();
    node_fixture_free(node);
}

START_TEST(suspended_leader_loses_authority_before_its_next_tick)
{
    node_fixture_t *node = new_leader();
    cw_router_t    *router = &node->router;
    size_t          orders = node->order_count;

    ck_assert(cw_router_has_authority(router, cw_router_now(router)));
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    router->loop.time++; /* the loop has woken up: CLOCK_MONOTONIC has hardly advanced */
    ck_assert(!cw_router_has_authority(router, cw_router_now(router)));
    node_fixture_tick(node, 1);
    ck_assert_uint_eq(node->order_count, orders); /* the tick sends no order */
    free_node(node);
}
END_TEST

START_TEST(tables_and_list_age_during_a_suspension)
{
    node_fixture_t *node = new_leader();
    cw_router_t    *router = &node->router;
    cw_time_us_t    confirmed_at = router->tables_valid_at;
    cw_time_us_t    list_valid_at = router->server_view.evidence.valid_at;

    ck_assert_ptr_nonnull(cw_engine_owner(router->engine, cw_engine_service(router->engine, "s"), 0));
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    router->loop.time++;
    ck_assert_int_ge(cw_router_now(router) - confirmed_at, CW_SECONDS(SUSPENDED_S));
    ck_assert_int_ge(cw_router_now(router) - list_valid_at, CW_SECONDS(SUSPENDED_S));
    ck_assert_ptr_null(cw_engine_owner(router->engine, cw_engine_service(router->engine, "s"), 0));
    free_node(node);
}
END_TEST

START_TEST(evidence_about_configuration_and_keys_ages_during_a_suspension)
{
    node_fixture_t          *node = new_leader();
    cw_router_t             *router = &node->router;
    cw_credential_evidence_t evidence = {.stale_after = CW_SECONDS(5), .fails_closed = true};
    cw_time_us_t             until;

    cw_router_on_configuration_evidence(router, 1, cw_router_now(router));
    until = cw_credential_evidence_trusted_until(&evidence, router->freshness.complete_at);
    ck_assert_int_gt(until, cw_router_now(router));
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    router->loop.time++;
    ck_assert_int_lt(until, cw_router_now(router));
    ck_assert_int_ge(cw_configuration_freshness_age(&router->freshness, cw_router_now(router)),
                     CW_SECONDS(SUSPENDED_S));
    free_node(node);
}
END_TEST

START_TEST(suspension_is_found_at_a_tick)
{
    node_fixture_t *node = new_leader();

    (void)cw_loop_clock_take_suspension();
    fake_suspended += CW_SECONDS(SUSPENDED_S);
    node_fixture_tick(node, 1);
    ck_assert_int_eq(cw_loop_clock_take_suspension(), CW_SECONDS(SUSPENDED_S));
    free_node(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("loop_clock");
    TCase *cases = tcase_create("loop_clock");

    tcase_add_test(cases, time_is_the_loops_time_without_a_suspension);
    tcase_add_test(cases, a_refreshed_time_includes_the_present_turn);
    tcase_add_test(cases, suspension_is_included_at_the_first_reading_after_a_wait);
    tcase_add_test(cases, time_never_decreases);
    tcase_add_test(cases, another_loop_keeps_its_own_time);
    tcase_add_test(cases, system_clocks_agree_while_the_machine_runs);
    tcase_add_test(cases, suspended_leader_loses_authority_before_its_next_tick);
    tcase_add_test(cases, tables_and_list_age_during_a_suspension);
    tcase_add_test(cases, evidence_about_configuration_and_keys_ages_during_a_suspension);
    tcase_add_test(cases, suspension_is_found_at_a_tick);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
