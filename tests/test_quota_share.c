/**
 * @file test_quota_share.c
 * @brief Tests a node's side of a tenant's limit message by message; the test acts as the counting node.
 */
#include "loop_fixture.h"
#include "quota_port.h"
#include "tenancy/quota_share.h"

enum { TENANT = 7, COUNTER = 4, RECORD = 99 };

static const cw_quota_limit_t limit = {.rate_per_s = 100, .burst = 100};
static const cw_time_us_t     start = CW_SECONDS(100);

static cw_quota_share_t *create(quota_sent_t *sent, uint32_t nodes)
{
    cw_quota_settings_t settings = {.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    cw_quota_port_t     port = quota_port(sent);
    cw_quota_share_t   *share = cw_quota_share_create(&settings, &port, 1, 1);

    cw_quota_share_set_nodes(share, nodes);
    return share;
}

static cw_quota_answer_t enter(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_time_us_t retry_after;

    return cw_quota_share_enter(share, TENANT, &limit, now, &retry_after);
}

static void grant(cw_quota_share_t *share, uint32_t sequence, uint32_t tokens, cw_time_us_t now)
{
    cw_quota_grant_t granted = {
        .tenant = TENANT, .sequence = sequence, .tokens = tokens, .is_metered = true, .record = RECORD};

    cw_quota_share_granted(share, COUNTER, &granted, now);
}

/* Replies to a report: no tenant is metered. */
static void reply(cw_quota_share_t *share, uint32_t sequence, cw_time_us_t now)
{
    cw_quota_status_t status = {.sequence = sequence};

    cw_quota_share_status(share, COUNTER, &status, now);
}

static cw_quota_answer_t decide(cw_quota_share_t *share, cw_time_us_t now)
{
    cw_time_us_t retry_after;

    return cw_quota_share_decide(share, TENANT, now, &retry_after);
}

/* A slow counting node replies both to an ask and to its repetition. */
START_TEST(a_repeated_grant_is_taken_once_and_not_returned)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);
    uint32_t          first;

    ck_assert_int_eq(enter(share, start), CW_QUOTA_WAIT);
    first = sent.ask.sequence;
    cw_quota_share_tick(share, start + CW_MS(45));
    ck_assert_uint_eq(sent.ask_count, 2);
    ck_assert_uint_eq(sent.ask.sequence, first);
    grant(share, first, 1, start + CW_MS(50));
    ck_assert_int_eq(decide(share, start + CW_MS(50)), CW_QUOTA_ADMITTED);
    ck_assert_int_eq(enter(share, start + CW_MS(51)), CW_QUOTA_WAIT);
    ck_assert_uint_gt(sent.ask.sequence, first);
    grant(share, first, 1, start + CW_MS(52));
    ck_assert_uint_eq(sent.given_back, 0);
    cw_quota_share_free(share);
}
END_TEST

START_TEST(a_late_grant_is_returned_once)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);
    cw_time_us_t      now;

    ck_assert_int_eq(enter(share, start), CW_QUOTA_WAIT);
    for (now = start; now < start + CW_MS(300); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
    }
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_ALONE);
    grant(share, sent.ask.sequence, 3, now);
    grant(share, sent.ask.sequence, 3, now);
    ck_assert_uint_eq(sent.given_back, 3);
    ck_assert_uint_eq(sent.returned.record, RECORD);
    cw_quota_share_free(share);
}
END_TEST

START_TEST(a_tenant_admitted_without_a_counting_node_is_reported_to_the_next_one)
{
    quota_sent_t      sent = {.counter = 0};
    cw_quota_share_t *share = create(&sent, 1000);
    cw_time_us_t      now = start;

    (void)enter(share, now);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_ALONE);
    sent.counter = COUNTER;
    for (; now < start + CW_MS(200); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
    }
    ck_assert_uint_ge(sent.reports, 1);
    reply(share, sent.sequence, now);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_FREE);
    cw_quota_share_free(share);
}
END_TEST

/* A quarter of the limit is this node's own part: 13 requests of the bucket, one of the slack, and 25 a second. */
START_TEST(a_node_reports_what_it_has_overdrawn)
{
    quota_sent_t      sent = {.counter = 0};
    cw_quota_share_t *share = create(&sent, 4);
    uint32_t          admitted = 0;

    while (enter(share, start) == CW_QUOTA_ADMITTED) {
        admitted++;
    }
    ck_assert_uint_ge(admitted, 13);
    sent.counter = COUNTER;
    cw_quota_share_tick(share, start + CW_MS(20));
    ck_assert_uint_eq(sent.usage.uncounted, admitted);
    cw_quota_share_tick(share, start + CW_MS(320));
    ck_assert_uint_eq(sent.usage.uncounted, admitted - 8); /* 0.32 s of its part of the rate */
    cw_quota_share_tick(share, start + CW_SECONDS(2));
    ck_assert_uint_eq(sent.usage.uncounted, 0);
    cw_quota_share_free(share);
}
END_TEST

START_TEST(a_node_reports_the_tokens_of_its_former_counting_node)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);

    ck_assert_int_eq(enter(share, start), CW_QUOTA_WAIT);
    grant(share, sent.ask.sequence, 3, start);
    ck_assert_int_eq(decide(share, start), CW_QUOTA_ADMITTED);
    grant(share, sent.ask.sequence, 0, start); /* the reply to an ask sent with the first grant */
    ck_assert_int_eq(enter(share, start), CW_QUOTA_ADMITTED);
    sent.counter = COUNTER + 1;
    ck_assert_int_eq(enter(share, start + CW_MS(10)), CW_QUOTA_ADMITTED);
    ck_assert_int_eq(enter(share, start + CW_MS(20)), CW_QUOTA_WAIT);
    ck_assert_uint_eq(sent.ask.usage.uncounted, 3);
    cw_quota_share_tick(share, start + CW_MS(100)); /* the ask is repeated */
    ck_assert_uint_eq(sent.ask.usage.uncounted, 3);
    cw_quota_share_tick(share, start + CW_SECONDS(1)); /* too late for a bucket that started beside the former one */
    ck_assert_uint_eq(sent.ask.usage.uncounted, 0);
    cw_quota_share_free(share);
}
END_TEST

/* Tokens that are returned to the node later do not prolong the lifetime of earlier ones. */
START_TEST(tokens_of_requests_that_did_not_run_expire)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);
    cw_time_us_t      now = start;
    int               index;

    ck_assert_int_eq(enter(share, now), CW_QUOTA_WAIT);
    grant(share, sent.ask.sequence, 1, now);
    ck_assert_int_eq(decide(share, now), CW_QUOTA_ADMITTED);
    for (index = 0; index < 50; index++) {
        cw_quota_share_give_back(share, TENANT, now);
    }
    for (index = 0; index < 2;
         index++) { /* one token is used and returned, each time before the expiry of the last ones */
        now += CW_MS(200);
        if (enter(share, now) == CW_QUOTA_ADMITTED) {
            cw_quota_share_give_back(share, TENANT, now);
        }
    }
    ck_assert_int_eq(enter(share, now + CW_MS(150)), CW_QUOTA_WAIT);
    cw_quota_share_free(share);
}
END_TEST

/* The counting node is lost, and no other one is known. */
START_TEST(waiting_requests_are_decided_when_no_node_counts_any_more)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1);
    cw_time_us_t      now = start;
    int               index;

    ck_assert_int_eq(enter(share, now), CW_QUOTA_ADMITTED);
    now += CW_SECONDS(1);
    cw_quota_share_tick(share, now);
    for (index = 0; enter(share, now) == CW_QUOTA_ADMITTED; index++) {
        ck_assert_int_lt(index, 1000);
    }
    reply(share, sent.sequence, now); /* the reply belongs to the report before the ask; after it the next request need
                                         not wait, and a report is due */
    ck_assert_int_eq(enter(share, now), CW_QUOTA_ADMITTED);
    sent.counter = 0;
    cw_quota_share_tick(share, now + CW_MS(5));
    cw_quota_share_tick(share, now + CW_MS(10));
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_ALONE);
    ck_assert_uint_ge(sent.decided, 1);
    ck_assert_int_ne(decide(share, now), CW_QUOTA_WAIT);
    cw_quota_share_free(share);
}
END_TEST

/* The configuration of the counting node is earlier and has no limit for the tenant. */
START_TEST(a_tenant_unknown_to_its_counting_node_is_served_from_the_local_part)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);
    uint32_t          unknown[] = {TENANT};
    cw_quota_status_t status = {.unknown = unknown, .unknown_count = 1};
    cw_quota_grant_t  granted = {.tenant = TENANT, .is_unknown = true};
    cw_time_us_t      now = start;

    ck_assert_int_eq(enter(share, now), CW_QUOTA_WAIT);
    granted.sequence = sent.ask.sequence;
    cw_quota_share_granted(share, COUNTER, &granted, now);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_ALONE);
    ck_assert_int_ne(decide(share, now), CW_QUOTA_WAIT);
    for (; now < start + CW_MS(300); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
    }
    ck_assert_uint_ge(sent.reports, 1); /* asks whether the counting node knows the tenant now */
    status.sequence = sent.sequence;
    cw_quota_share_status(share, COUNTER, &status, now);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_ALONE);
    for (; now < start + CW_MS(600); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
    }
    reply(share, sent.sequence, now);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_FREE);
    cw_quota_share_free(share);
}
END_TEST

START_TEST(all_due_tenants_are_reported_at_once)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1);
    cw_time_us_t      retry_after;
    cw_time_us_t      now;
    uint32_t          tenant;

    for (tenant = 0; tenant < QUOTA_PORT_TENANTS; tenant++) {
        ck_assert_int_eq(cw_quota_share_enter(share, tenant, &limit, start, &retry_after), CW_QUOTA_ADMITTED);
    }
    for (now = start; now <= start + CW_MS(40); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
    }
    for (tenant = 0; tenant < QUOTA_PORT_TENANTS; tenant++) {
        ck_assert_uint_eq(sent.named[tenant], 1);
    }
    cw_quota_share_free(share);
}
END_TEST

/* One of the datagrams of the report, or a reply to it, is lost. */
START_TEST(tenants_of_a_report_without_a_reply_are_reported_again)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1);
    cw_time_us_t      retry_after;
    cw_time_us_t      now;
    uint32_t          again = 0;
    uint32_t          tenant;

    for (tenant = 0; tenant < QUOTA_PORT_TENANTS; tenant++) {
        (void)cw_quota_share_enter(share, tenant, &limit, start, &retry_after);
    }
    cw_quota_share_tick(share, start + CW_SECONDS(1));
    reply(share, sent.sequence, start + CW_SECONDS(1));
    for (now = start + CW_SECONDS(1); now < start + CW_SECONDS(2); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
        reply(share, sent.sequence, now);
    }
    for (tenant = 0; tenant < QUOTA_PORT_TENANTS; tenant++) {
        again += sent.named[tenant] > 1 ? 1 : 0;
    }
    ck_assert_uint_gt(again, QUOTA_PORT_TENANTS / 2);
    cw_quota_share_free(share);
}
END_TEST

START_TEST(counting_nodes_that_are_gone_are_forgotten)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1);
    cw_time_us_t      now = start;

    ck_assert_int_eq(enter(share, now), CW_QUOTA_ADMITTED);
    for (; now < start + CW_SECONDS(1); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
    }
    ck_assert_uint_eq(cw_quota_share_links(share), 1);
    sent.counter = COUNTER + 1;
    for (; now < start + CW_SECONDS(130); now += CW_MS(20)) {
        cw_quota_share_tick(share, now);
        cw_quota_share_status(share, COUNTER + 1, &(cw_quota_status_t){.sequence = sent.sequence}, now);
    }
    ck_assert_uint_eq(cw_quota_share_links(share), 0);
    cw_quota_share_free(share);
}
END_TEST

static void redirect(cw_quota_share_t *share, uint32_t from, uint32_t sequence, uint32_t counter, cw_time_us_t now)
{
    const uint32_t    tenant = TENANT;
    cw_quota_status_t status = {
        .sequence = sequence, .redirected = &tenant, .counters = &counter, .redirected_count = 1};

    cw_quota_share_status(share, from, &status, now);
}

/* Guards against a request that waits for a second although the asked node names the counting node. */
START_TEST(a_request_follows_a_redirect)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);
    cw_quota_grant_t  granted = {.tenant = TENANT, .tokens = 1, .is_metered = true, .record = RECORD};

    ck_assert_int_eq(enter(share, start), CW_QUOTA_WAIT);
    redirect(share, COUNTER, 0, COUNTER + 1, start + CW_MS(5));
    ck_assert_uint_eq(sent.ask_count, 2);
    granted.sequence = sent.ask.sequence;
    cw_quota_share_granted(share, COUNTER + 1, &granted, start + CW_MS(10));
    ck_assert_int_eq(decide(share, start + CW_MS(10)), CW_QUOTA_ADMITTED);
    cw_quota_share_free(share);
}
END_TEST

/* Guards against two nodes that name each other as the counting node, and a request that is sent back and forth between
 * them. */
START_TEST(two_nodes_that_redirect_to_each_other_leave_the_local_part)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);

    ck_assert_int_eq(enter(share, start), CW_QUOTA_WAIT);
    redirect(share, COUNTER, 0, COUNTER + 1, start + CW_MS(5));
    redirect(share, COUNTER + 1, 0, COUNTER, start + CW_MS(10));
    ck_assert_uint_eq(sent.ask_count, 2);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_ALONE);
    ck_assert_int_ne(decide(share, start + CW_MS(10)), CW_QUOTA_WAIT);
    cw_quota_share_free(share);
}
END_TEST

/* Guards against a tenant that becomes free because a node that does not count it has replied. */
START_TEST(a_redirect_does_not_change_the_mode)
{
    quota_sent_t      sent = {.counter = COUNTER};
    cw_quota_share_t *share = create(&sent, 1000);

    ck_assert_int_eq(enter(share, start), CW_QUOTA_WAIT);
    grant(share, sent.ask.sequence, 1, start + CW_MS(5));
    ck_assert_int_eq(decide(share, start + CW_MS(5)), CW_QUOTA_ADMITTED);
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_METERED);
    redirect(share, COUNTER, sent.sequence, COUNTER + 1, start + CW_MS(700));
    ck_assert_int_eq(cw_quota_share_mode(share, TENANT), CW_QUOTA_METERED);
    cw_quota_share_free(share);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("quota share");
    TCase *cases = tcase_create("message by message");

    tcase_add_test(cases, a_repeated_grant_is_taken_once_and_not_returned);
    tcase_add_test(cases, a_late_grant_is_returned_once);
    tcase_add_test(cases, a_tenant_admitted_without_a_counting_node_is_reported_to_the_next_one);
    tcase_add_test(cases, tokens_of_requests_that_did_not_run_expire);
    tcase_add_test(cases, waiting_requests_are_decided_when_no_node_counts_any_more);
    tcase_add_test(cases, a_node_reports_what_it_has_overdrawn);
    tcase_add_test(cases, a_node_reports_the_tokens_of_its_former_counting_node);
    tcase_add_test(cases, a_tenant_unknown_to_its_counting_node_is_served_from_the_local_part);
    tcase_add_test(cases, all_due_tenants_are_reported_at_once);
    tcase_add_test(cases, tenants_of_a_report_without_a_reply_are_reported_again);
    tcase_add_test(cases, counting_nodes_that_are_gone_are_forgotten);
    tcase_add_test(cases, a_request_follows_a_redirect);
    tcase_add_test(cases, two_nodes_that_redirect_to_each_other_leave_the_local_part);
    tcase_add_test(cases, a_redirect_does_not_change_the_mode);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
