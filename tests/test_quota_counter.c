/**
 * @file test_quota_counter.c
 * @brief Tests the counting node: what each message does to a tenant's bucket.
 */
#include "loop_fixture.h"
#include "tenancy/quota_counter.h"

enum { TENANT = 5, NODE = 1, OTHER = 2 };

static const double       rate = 100;
static const cw_time_us_t start = CW_SECONDS(100);

static cw_quota_counter_t *create(void)
{
    cw_quota_settings_t     settings = {.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    cw_quota_tenant_limit_t limit = {.tenant = TENANT, .limit = {.rate_per_s = rate, .burst = rate}};
    cw_quota_counter_t     *counter = cw_quota_counter_create(&settings);

    cw_quota_counter_set_limits(counter, &limit, 1, start);
    cw_quota_counter_set_nodes(counter, 10, 10);
    return counter;
}

static void on_metered(void *context, uint32_t node, uint32_t tenant)
{
    int *count = context;

    ck_assert_uint_eq(tenant, TENANT);
    ck_assert(node == NODE || node == OTHER);
    (*count)++;
}

/* Ticks as a node's loop does. Returns the number of nodes that were notified that the tenant is metered. */
static int tick_until(cw_quota_counter_t *counter, cw_time_us_t from, cw_time_us_t to)
{
    int notified = 0;

    for (; from <= to; from += CW_MS(20)) {
        cw_quota_counter_tick(counter, from, on_metered, &notified);
    }
    return notified;
}

static void report(cw_quota_counter_t *counter, uint64_t incarnation, uint64_t admitted, uint32_t recent,
                   cw_time_us_t now)
{
    cw_quota_usage_t usage = {.tenant = TENANT, .admitted = admitted, .recent = recent};

    cw_quota_counter_report(counter, NODE, incarnation, &usage, 1, now);
}

static cw_quota_grant_t ask(cw_quota_counter_t *counter, uint32_t sequence, uint32_t wanted, cw_time_us_t now)
{
    cw_quota_ask_t asked = {.incarnation = 9, .sequence = sequence, .wanted = wanted, .usage = {.tenant = TENANT}};

    return cw_quota_counter_ask(counter, OTHER, &asked, now);
}

static void give_back(cw_quota_counter_t *counter, const cw_quota_grant_t *granted, uint32_t number, uint32_t tokens,
                      cw_time_us_t now)
{
    cw_quota_return_t returned = {.tenant = TENANT, .tokens = tokens, .record = granted->record, .number = number};

    cw_quota_counter_give_back(counter, OTHER, &returned, now);
}

/* Lets the tenant send requests until its bucket is full. Returns the time at the end. */
static cw_time_us_t fill(cw_quota_counter_t *counter)
{
    cw_time_us_t now = start + CW_SECONDS(3);

    report(counter, 1, 1, 1, start);
    (void)tick_until(counter, start, now);
    (void)cw_quota_counter_is_metered(counter, TENANT, now - CW_SECONDS(1));
    ck_assert(!cw_quota_counter_is_metered(counter, TENANT, now));
    return now;
}

START_TEST(a_bucket_never_starts_full)
{
    cw_quota_counter_t *counter = create();
    cw_quota_grant_t    granted = ask(counter, 1, 1000, start);

    ck_assert_uint_ge(granted.tokens, 1);
    ck_assert_uint_lt(granted.tokens, (uint32_t)rate / 2);
    ck_assert(granted.is_metered);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(a_new_bucket_lacks_what_the_last_window_admitted)
{
    cw_quota_counter_t *counter = create();

    report(counter, 1, 5000, 600, start); /* rate x window + burst: the whole limit of a window */
    ck_assert_uint_eq(ask(counter, 1, 1000, start).tokens, 0);
    cw_quota_counter_free(counter);
}
END_TEST

/* Guards against a start of all nodes that gives out their own parts and the first level of the bucket. At most half of
 * the depth and 0.6 s of the rate are charged: 110. */
START_TEST(a_new_bucket_lacks_what_nodes_admitted_uncounted)
{
    static const struct {
        uint32_t uncounted;
        uint32_t tokens; /* of 47 that a new bucket holds */
    } cases[] = {{0, 47}, {5, 47} /* a quarter of the slack */, {25, 27}, {55, 0}, {1000, 0}};
    cw_quota_counter_t *counter = create();
    cw_quota_usage_t    usage = {.tenant = TENANT, .admitted = 1000, .elsewhere = 1000, .recent = 100};

    usage.uncounted = cases[_i].uncounted;
    cw_quota_counter_report(counter, NODE, 1, &usage, 1, start);
    ck_assert_uint_eq(ask(counter, 1, 1000, start).tokens, cases[_i].tokens);
    cw_quota_counter_report(counter, NODE, 1, &usage, 1, start); /* charged once */
    ck_assert_uint_ge(ask(counter, 2, 1000, start + CW_MS(640)).tokens, 1);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(a_repeated_ask_gets_the_same_tokens)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);

    ck_assert_uint_eq(ask(counter, 1, 40, now).tokens, 40);
    ck_assert_uint_eq(ask(counter, 1, 40, now).tokens, 40);
    ck_assert_uint_eq(ask(counter, 2, 1000, now).tokens, (uint32_t)rate - 40);
    ck_assert_uint_eq(ask(counter, 1, 40, now + CW_MS(500)).tokens, 0); /* overtaken by a later ask */
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(no_more_tokens_are_returned_than_were_granted)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);
    cw_quota_grant_t    granted = ask(counter, 1, 1000, now);

    ck_assert_uint_eq(granted.tokens, (uint32_t)rate);
    give_back(counter, &granted, 1, 30, now);
    give_back(counter, &granted, 2, 1000, now);
    ck_assert_uint_eq(ask(counter, 2, 1000, now).tokens, (uint32_t)rate);
    give_back(counter, &granted, 3, 1000, now + CW_SECONDS(2)); /* too late: the tokens have expired */
    ck_assert_uint_eq(ask(counter, 3, 1000, now + CW_MS(10)).tokens, 1);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(a_repeated_return_is_applied_once)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);
    cw_quota_grant_t    granted = ask(counter, 1, 1000, now);

    give_back(counter, &granted, 1, 30, now);
    give_back(counter, &granted, 1, 30, now);
    ck_assert_uint_eq(ask(counter, 2, 1000, now).tokens, 30);
    cw_quota_counter_free(counter);
}
END_TEST

/* The return arrives after the counting node was frozen, dropped its records and granted tokens anew. */
START_TEST(a_return_of_tokens_granted_before_a_reset_is_ignored)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);
    cw_quota_grant_t    before = ask(counter, 1, 30, now);
    cw_quota_grant_t    after;

    now += CW_SECONDS(2);
    (void)tick_until(counter, now, now);
    after = ask(counter, 2, 1000, now);
    ck_assert_uint_gt(after.tokens, 0);
    ck_assert_uint_ne(after.record, before.record);
    give_back(counter, &before, 1, 30, now);
    ck_assert_uint_eq(ask(counter, 3, 1000, now).tokens, 0);
    give_back(counter, &after, 2, after.tokens, now);
    ck_assert_uint_ge(ask(counter, 4, 1000, now).tokens, 1);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(debt_is_paid_before_tokens_are_granted)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);
    cw_quota_grant_t    granted;

    report(counter, 1, 1 + 150, 151, now);
    ck_assert_int_eq(tick_until(counter, now, now), 1);
    granted = ask(counter, 1, 10, now);
    ck_assert_uint_eq(granted.tokens, 0);
    ck_assert(granted.is_metered);
    ck_assert_int_ge(granted.retry_after, CW_MS(500));
    ck_assert_int_gt(ask(counter, 2, 1, now).retry_after, granted.retry_after); /* after the retry times given before */
    (void)tick_until(counter, now, now + CW_MS(500));
    ck_assert_uint_eq(ask(counter, 3, 10, now + CW_MS(500)).tokens, 0);
    (void)tick_until(counter, now, now + CW_MS(520));
    ck_assert_uint_ge(ask(counter, 4, 10, now + CW_MS(520)).tokens, 1);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(reports_that_arrive_out_of_order_change_nothing)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);

    report(counter, 1, 31, 31, now);
    report(counter, 1, 11, 11, now);
    report(counter, 1, 31, 31, now);
    ck_assert_uint_eq(ask(counter, 1, 1000, now).tokens, (uint32_t)rate - 30);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(a_restarted_node_reports_from_zero)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);

    report(counter, 1, 31, 31, now);
    report(counter, 2, 20, 20, now);
    ck_assert_uint_eq(ask(counter, 1, 1000, now).tokens, (uint32_t)rate - 50);
    cw_quota_counter_free(counter);
}
END_TEST

/* While a counting node was frozen, another one may have counted, so its buckets are no longer valid. */
START_TEST(a_counter_that_stalled_starts_over)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);

    report(counter, 1, 2, 2, now);
    ck_assert_uint_eq(cw_quota_counter_buckets(counter), 1);
    (void)tick_until(counter, now + CW_SECONDS(2), now + CW_SECONDS(2));
    ck_assert_uint_eq(cw_quota_counter_buckets(counter), 0);
    ck_assert_uint_lt(ask(counter, 1, 1000, now + CW_SECONDS(2)).tokens, (uint32_t)rate / 2);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(a_limit_lowered_below_the_load_empties_the_bucket)
{
    cw_quota_counter_t     *counter = create();
    cw_quota_tenant_limit_t lower = {.tenant = TENANT, .limit = {.rate_per_s = 10, .burst = 10}};
    cw_time_us_t            now = fill(counter);

    report(counter, 1, 101, 300, now); /* requests in the last window: below the old limit, above the new one */
    (void)tick_until(counter, now, now + CW_SECONDS(1));
    now += CW_SECONDS(1);
    cw_quota_counter_set_limits(counter, &lower, 1, now);
    ck_assert(cw_quota_counter_is_metered(counter, TENANT, now));
    ck_assert_uint_eq(ask(counter, 1, 10, now).tokens, 0);
    cw_quota_counter_set_limits(counter, NULL, 0, now); /* the limit is removed */
    ck_assert_uint_eq(ask(counter, 2, 10, now).tokens, 10);
    cw_quota_counter_free(counter);
}
END_TEST

/* The configuration of the counting node is earlier than that of the asking node. */
START_TEST(a_limit_unknown_to_the_counting_node_grants_nothing)
{
    cw_quota_counter_t *counter = create();
    cw_quota_ask_t      asked = {.version = 8, .sequence = 1, .wanted = 10, .usage = {.tenant = TENANT + 1}};
    cw_quota_grant_t    granted;

    cw_quota_counter_set_version(counter, 7);
    granted = cw_quota_counter_ask(counter, NODE, &asked, start);
    ck_assert_uint_eq(granted.tokens, 0);
    ck_assert(granted.is_unknown);
    ck_assert(cw_quota_counter_is_outdated(counter, TENANT + 1, 8));
    ck_assert(!cw_quota_counter_is_outdated(counter, TENANT, 8));
    asked.version = 6; /* the limit was removed since that version */
    granted = cw_quota_counter_ask(counter, NODE, &asked, start);
    ck_assert_uint_eq(granted.tokens, 10);
    ck_assert(!granted.is_unknown);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(requests_admitted_under_another_counter_are_charged_to_unused_tokens_first)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);
    cw_quota_usage_t    back = {.tenant = TENANT, .admitted = 1 + 150, .elsewhere = 1 + 150, .recent = 150};

    cw_quota_counter_report(counter, NODE, 1, &back, 1, now);
    ck_assert_uint_ge(ask(counter, 1, 1000, now).tokens, (uint32_t)rate / 2);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(nodes_that_stop_reporting_are_forgotten)
{
    cw_quota_counter_t *counter = create();
    cw_time_us_t        now = fill(counter);

    ck_assert_uint_eq(cw_quota_counter_records(counter), 1);
    (void)tick_until(counter, now, now + CW_SECONDS(4));
    ck_assert_uint_eq(cw_quota_counter_records(counter), 0);
    ck_assert_uint_eq(cw_quota_counter_buckets(counter), 0);
    cw_quota_counter_free(counter);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("quota counter");
    TCase *cases = tcase_create("counter");

    tcase_add_test(cases, a_bucket_never_starts_full);
    tcase_add_test(cases, a_new_bucket_lacks_what_the_last_window_admitted);
    tcase_add_loop_test(cases, a_new_bucket_lacks_what_nodes_admitted_uncounted, 0, 5);
    tcase_add_test(cases, a_repeated_ask_gets_the_same_tokens);
    tcase_add_test(cases, no_more_tokens_are_returned_than_were_granted);
    tcase_add_test(cases, a_repeated_return_is_applied_once);
    tcase_add_test(cases, a_return_of_tokens_granted_before_a_reset_is_ignored);
    tcase_add_test(cases, debt_is_paid_before_tokens_are_granted);
    tcase_add_test(cases, reports_that_arrive_out_of_order_change_nothing);
    tcase_add_test(cases, a_restarted_node_reports_from_zero);
    tcase_add_test(cases, a_counter_that_stalled_starts_over);
    tcase_add_test(cases, a_limit_unknown_to_the_counting_node_grants_nothing);
    tcase_add_test(cases, a_limit_lowered_below_the_load_empties_the_bucket);
    tcase_add_test(cases, requests_admitted_under_another_counter_are_charged_to_unused_tokens_first);
    tcase_add_test(cases, nodes_that_stop_reporting_are_forgotten);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
