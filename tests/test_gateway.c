/**
 * @file test_gateway.c
 * @brief Tests of the gateway: checks, routes, retries, deadlines and limits.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/gateway_fixture.h"

enum { LIMIT = 1000, BUDGET = 20, BACKOFF_MAX_US = 80000, PROBE_US = 100000, MANY = 300 };

#define ANSWERED CW__OUTCOME__OUTCOME_ANSWERED
#define NOT_RUN  CW__OUTCOME__OUTCOME_NOT_RUN
#define UNKNOWN  CW__OUTCOME__OUTCOME_UNKNOWN
#define GRANTED  CW__RANGE_STATE__RANGE_GRANTED

static cw_gateway_fixture_t *fixture;

static void set_up(void)
{
    fixture = cw_fixture_create(LIMIT, BUDGET);
}

static void tear_down(void)
{
    cw_fixture_free(fixture);
}

static void send_request(uint64_t caller_id, const char *method, const char *path)
{
    cw_caller_request_t request = cw_fixture_request(caller_id, method, path);

    cw_fixture_send(fixture, &request);
}

static void expect_answer(uint64_t caller_id, Cw__Outcome outcome, cw_reason_t reason)
{
    const cw_fixture_answer_t *answer = &fixture->answers[caller_id];

    ck_assert_uint_eq(answer->count, 1);
    ck_assert_int_eq(answer->outcome, outcome);
    ck_assert_int_eq(answer->reason, reason);
    ck_assert_uint_eq(answer->status, cw_reason_status(reason));
    ck_assert_int_eq(answer->retry_after_ms > 0, cw_reason_is_transient(reason));
}

static uint64_t count_in_flight(void)
{
    cw_gateway_counters_t counters;

    cw_gateway_read_counters(fixture->gateway, &counters);
    return counters.in_flight;
}

START_TEST(request_goes_to_the_forwarder_and_its_answer_to_the_caller)
{
    const cw_fixture_hop_t *hop;

    send_request(1, "GET", "/map");
    hop = cw_fixture_last_hop(fixture);
    ck_assert_uint_eq(hop->to, FIXTURE_NODE);
    ck_assert_uint_eq(hop->fence.index, fixture->index - 1);
    ck_assert_int_gt(hop->timeout_us, FIXTURE_TIMEOUT_US * 9 / 10);
    ck_assert_int_lt(hop->timeout_us, FIXTURE_TIMEOUT_US);
    ck_assert(hop->repeatable);
    cw_fixture_respond(fixture, hop, ANSWERED, CW_REASON_NONE);
    expect_answer(1, ANSWERED, CW_REASON_NONE);
    ck_assert_uint_eq(fixture->answers[1].body, 1);
    ck_assert_uint_eq(count_in_flight(), 0);
    ck_assert_int_eq(cw_gateway_next_tick(fixture->gateway), INT64_MAX);
}
END_TEST

START_TEST(every_try_carries_the_whole_request)
{
    Cw__Header          headers[2] = {CW__HEADER__INIT, CW__HEADER__INIT};
    Cw__Header         *header_list[2] = {&headers[0], &headers[1]};
    cw_caller_request_t request = cw_fixture_request(1, "PUT", "/dock?x=1");
    char                body[] = "bikes: 4";
    uint64_t            digest = 0;
    int                 attempt;

    headers[0].name = headers[1].value = (char *)"accept";
    headers[1].name = headers[0].value = (char *)"x-other";
    request.headers = header_list;
    request.header_count = 2;
    request.body = body;
    request.body_length = sizeof(body);
    cw_fixture_send(fixture, &request);
    memset(body, 0, sizeof(body));
    for (attempt = 0; attempt < 2; attempt++) {
        const Cw__ForwardRequest *sent = fixture->last_request;

        ck_assert_str_eq(sent->tenant, "alpha");
        ck_assert_uint_eq(sent->gateway, 1);
        ck_assert_uint_eq(sent->service, cw_hash_service("alpha", "svc"));
        ck_assert_uint_eq(sent->server, cw_hash_server("alpha", "svc", "s"));
        ck_assert_uint_eq(sent->range, cw_control_state_find_range(fixture->state, sent->service, 0)->id);
        ck_assert_str_eq(sent->key, "1");
        ck_assert_uint_eq(sent->key_hash, cw_hash_key("1", 1));
        ck_assert_str_eq(sent->method, "PUT");
        ck_assert_str_eq(sent->path, "/dock?x=1");
        ck_assert_uint_eq(sent->n_headers, 2);
        ck_assert_str_eq(sent->headers[1]->name, "x-other");
        ck_assert_str_eq(sent->headers[1]->value, "accept");
        ck_assert_uint_eq(sent->body.len, sizeof(body));
        ck_assert_str_eq((char *)sent->body.data, "bikes: 4");
        ck_assert(digest == 0 || digest == sent->request_digest);
        digest = sent->request_digest;
        cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, CW_REASON_MOVING);
        cw_fixture_advance(fixture, BACKOFF_MAX_US);
    }
    request.caller_id = 2;
    cw_fixture_send(fixture, &request);
    ck_assert_uint_ne(fixture->last_request->request_digest, digest);
}
END_TEST

START_TEST(made_id_is_sent_and_said)
{
    send_request(1, "POST", "/unlock");
    ck_assert(!cw_fixture_last_hop(fixture)->repeatable);
    ck_assert_int_eq(cw_request_id_time_ms(cw_fixture_last_hop(fixture)->request_id), fixture->now.wall_ms);
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), ANSWERED, CW_REASON_NONE);
    ck_assert(fixture->answers[1].has_id);
    ck_assert_mem_eq(fixture->answers[1].request_id, cw_fixture_last_hop(fixture)->request_id, CW_REQUEST_ID_BYTES);
}
END_TEST

START_TEST(strangers_cannot_tell_tenants_apart)
{
    cw_caller_request_t request = cw_fixture_request(1, "GET", "/");

    request.token = FIXTURE_TOKEN_BETA;
    cw_fixture_send(fixture, &request);
    request.caller_id = 2;
    request.tenant = "gamma";
    cw_fixture_send(fixture, &request);
    request.caller_id = 3;
    request.tenant = "alpha";
    request.token = NULL;
    cw_fixture_send(fixture, &request);
    request.caller_id = 4;
    request.token = FIXTURE_TOKEN_BETA;
    request.service = "none";
    request.request_id = "malformed";
    cw_fixture_send(fixture, &request);
    expect_answer(1, NOT_RUN, CW_REASON_UNAUTHORIZED);
    ck_assert_mem_eq(&fixture->answers[1], &fixture->answers[2], sizeof(cw_fixture_answer_t));
    ck_assert_mem_eq(&fixture->answers[1], &fixture->answers[3], sizeof(cw_fixture_answer_t));
    ck_assert_mem_eq(&fixture->answers[1], &fixture->answers[4], sizeof(cw_fixture_answer_t));
    ck_assert_uint_eq(fixture->hop_count, 0);
}
END_TEST

START_TEST(malformed_requests_are_refused)
{
    static char         long_key[CW_KEY_MAX + 1];
    static uint8_t      body[CW_BODY_MAX + 1];
    uint8_t             id[CW_REQUEST_ID_BYTES];
    uint64_t            random_state = 1;
    char                text[37];
    cw_caller_request_t cases[7];
    const cw_reason_t   reasons[7] = {CW_REASON_NOT_FOUND,   CW_REASON_BAD_REQUEST, CW_REASON_BAD_REQUEST,
                                      CW_REASON_BAD_REQUEST, CW_REASON_TOO_LARGE,   CW_REASON_BAD_REQUEST,
                                      CW_REASON_ID_IN_FUTURE};
    size_t              index;

    memset(long_key, 'k', sizeof(long_key));
    cw_request_id_make(id, fixture->now.wall_ms + CW_CLOCK_SKEW_DEFAULT_MS + 1, &random_state);
    cw_request_id_format(id, text);
    for (index = 0; index < 7; index++) {
        cases[index] = cw_fixture_request(index + 1, "GET", "/map");
    }
    cases[0].service = "none";
    cases[1].key = "";
    cases[2].key = long_key;
    cases[2].key_length = sizeof(long_key);
    cases[3].key = "a\r\nb";
    cases[3].key_length = 4;
    cases[4].body = body;
    cases[4].body_length = sizeof(body);
    cases[5].request_id = "017f22e2-79b0-4cc3-98c4-dc0c0c07398f";
    cases[6].request_id = text;
    for (index = 0; index < 7; index++) {
        cw_fixture_send(fixture, &cases[index]);
        expect_answer(index + 1, NOT_RUN, reasons[index]);
    }
    ck_assert_uint_eq(fixture->hop_count, 0);
    cases[6].caller_id = 9;
    fixture->now.wall_ms++;
    cw_fixture_send(fixture, &cases[6]);
    ck_assert_uint_eq(fixture->hop_count, 1);
    ck_assert_mem_eq(fixture->hops[0].request_id, id, sizeof(id));
}
END_TEST

START_TEST(node_out_of_touch_takes_nothing)
{
    cw_caller_request_t request = cw_fixture_request(1, "GET", "/map");

    request.tenant = "not known to this node yet";
    fixture->now.monotonic_us += 2 * CW_US_PER_S + 1;
    cw_fixture_send(fixture, &request);
    send_request(2, "GET", "/map");
    expect_answer(1, NOT_RUN, CW_REASON_OUT_OF_TOUCH);
    expect_answer(2, NOT_RUN, CW_REASON_OUT_OF_TOUCH);
    ck_assert_uint_eq(fixture->hop_count, 0);
}
END_TEST

START_TEST(retry_is_not_sent_out_of_touch)
{
    cw_caller_request_t request = cw_fixture_request(1, "GET", "/map");

    request.timeout_us = 10 * CW_US_PER_S;
    cw_fixture_send(fixture, &request);
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, CW_REASON_MOVING);
    fixture->now.monotonic_us += 2 * CW_US_PER_S + 1;
    cw_gateway_tick(fixture->gateway, fixture->now);
    expect_answer(1, NOT_RUN, CW_REASON_OUT_OF_TOUCH);
    ck_assert_uint_eq(fixture->hop_count, 1);
}
END_TEST

START_TEST(late_and_foreign_responses_are_dropped)
{
    cw_gateway_counters_t counters;
    cw_fixture_hop_t      first;

    send_request(1, "GET", "/map");
    first = *cw_fixture_last_hop(fixture);
    cw_fixture_respond_as(fixture, &first, ANSWERED, CW_REASON_NONE, FIXTURE_GATEWAY_INCARNATION - 1);
    ck_assert_uint_eq(fixture->answers[1].count, 0);
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    cw_fixture_respond(fixture, &first, ANSWERED, CW_REASON_NONE);
    ck_assert_uint_eq(fixture->answers[1].count, 0);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    send_request(2, "GET", "/map");
    ck_assert_uint_eq(fixture->hop_count, 3);
    cw_fixture_respond(fixture, &first, ANSWERED, CW_REASON_NONE);
    ck_assert_uint_eq(fixture->answers[2].count, 0);
    cw_fixture_respond(fixture, &fixture->hops[1], ANSWERED, CW_REASON_NONE);
    cw_fixture_respond(fixture, &fixture->hops[1], ANSWERED, CW_REASON_NONE);
    expect_answer(1, ANSWERED, CW_REASON_NONE);
    ck_assert_uint_eq(fixture->answers[1].body, 1);
    cw_gateway_read_counters(fixture->gateway, &counters);
    ck_assert_uint_eq(counters.late_responses, 4);
}
END_TEST

START_TEST(moving_range_is_retried_then_refused)
{
    cw_fixture_route(fixture, CW__RANGE_STATE__RANGE_REVOKING, FIXTURE_NODE, FIXTURE_NODE_INCARNATION);
    send_request(1, "POST", "/unlock");
    send_request(2, "POST", "/unlock");
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    ck_assert_uint_eq(fixture->answers[1].count, 0);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    expect_answer(1, NOT_RUN, CW_REASON_MOVING);
    expect_answer(2, NOT_RUN, CW_REASON_MOVING);
    send_request(3, "POST", "/unlock");
    cw_fixture_route(fixture, GRANTED, FIXTURE_OTHER_NODE, FIXTURE_OTHER_INCARNATION);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    ck_assert_uint_eq(cw_fixture_last_hop(fixture)->to, FIXTURE_OTHER_NODE);
    cw_fixture_route(fixture, GRANTED, 0, 0);
    send_request(4, "POST", "/unlock");
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    expect_answer(4, NOT_RUN, CW_REASON_NO_OWNER);
}
END_TEST

START_TEST(refusal_that_cannot_be_retried_in_time_is_given_at_once)
{
    cw_caller_request_t request = cw_fixture_request(1, "GET", "/map");

    request.timeout_us = 20000;
    cw_fixture_route(fixture, CW__RANGE_STATE__RANGE_UNASSIGNED, 0, 0);
    cw_fixture_send(fixture, &request);
    expect_answer(1, NOT_RUN, CW_REASON_NO_OWNER);
}
END_TEST

START_TEST(transient_refusals_are_retried_for_every_request)
{
    const cw_reason_t transient[] = {CW_REASON_STALE_ROUTE, CW_REASON_MOVING, CW_REASON_STOPPING};
    size_t            index;

    for (index = 0; index < 3; index++) {
        send_request(index + 1, "POST", "/unlock");
        cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, transient[index]);
        cw_fixture_advance(fixture, BACKOFF_MAX_US);
        ck_assert_uint_eq(fixture->hop_count, 2 * (index + 1));
        cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), ANSWERED, CW_REASON_NONE);
        expect_answer(index + 1, ANSWERED, CW_REASON_NONE);
    }
    send_request(4, "POST", "/unlock");
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, CW_REASON_SERVER_REFUSED);
    expect_answer(4, NOT_RUN, CW_REASON_SERVER_REFUSED);
}
END_TEST

START_TEST(stale_route_asks_for_new_ones)
{
    size_t asked;

    cw_fixture_follow(fixture, 9);
    fixture->now.monotonic_us += BACKOFF_MAX_US * 2;
    send_request(1, "GET", "/map");
    asked = fixture->subscribe_count;
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, CW_REASON_STALE_ROUTE);
    ck_assert_uint_eq(fixture->subscribe_count, asked + 1);
}
END_TEST

START_TEST(unknown_outcome_is_retried_only_when_repeatable)
{
    send_request(1, "POST", "/unlock");
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), UNKNOWN, CW_REASON_CONNECTION_LOST);
    expect_answer(1, UNKNOWN, CW_REASON_CONNECTION_LOST);
    send_request(2, "POST", "/unlock");
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    expect_answer(2, UNKNOWN, CW_REASON_FORWARDER_LOST);
    send_request(3, "GET", "/map");
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), UNKNOWN, CW_REASON_CONNECTION_LOST);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    ck_assert_uint_eq(fixture->hop_count, 4);
    ck_assert_uint_eq(cw_fixture_last_hop(fixture)->caller_id, 3);
}
END_TEST

START_TEST(refusal_after_an_unknown_try_is_not_called_not_run)
{
    send_request(1, "GET", "/map");
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), UNKNOWN, CW_REASON_CONNECTION_LOST);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, CW_REASON_SERVER_REFUSED);
    expect_answer(1, UNKNOWN, CW_REASON_CONNECTION_LOST);
    send_request(2, "GET", "/map");
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    cw_fixture_route(fixture, CW__RANGE_STATE__RANGE_UNASSIGNED, 0, 0);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    expect_answer(2, UNKNOWN, CW_REASON_FORWARDER_LOST);
}
END_TEST

START_TEST(nothing_non_repeatable_is_risked_on_a_lost_forwarder)
{
    send_request(1, "POST", "/unlock");
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    expect_answer(1, UNKNOWN, CW_REASON_FORWARDER_LOST);
    send_request(2, "POST", "/unlock");
    send_request(3, "GET", "/map");
    ck_assert_uint_eq(fixture->hop_count, 2);
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), ANSWERED, CW_REASON_NONE);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    ck_assert_uint_eq(cw_fixture_last_hop(fixture)->caller_id, 2);
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    cw_fixture_advance(fixture, PROBE_US);
    send_request(4, "POST", "/unlock");
    send_request(5, "POST", "/unlock");
    ck_assert_uint_eq(fixture->hop_count, 4);
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    expect_answer(4, UNKNOWN, CW_REASON_FORWARDER_LOST);
    cw_fixture_route(fixture, GRANTED, FIXTURE_NODE, FIXTURE_NODE_INCARNATION + 1);
    send_request(6, "POST", "/unlock");
    ck_assert_uint_eq(fixture->hop_count, 5);
}
END_TEST

START_TEST(repeatable_request_follows_the_route_away_from_a_lost_forwarder)
{
    size_t step;

    send_request(1, "GET", "/map");
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    for (step = 0; step < 5; step++) {
        cw_fixture_advance(fixture, BACKOFF_MAX_US);
    }
    cw_fixture_route(fixture, CW__RANGE_STATE__RANGE_REVOKING, FIXTURE_NODE, FIXTURE_NODE_INCARNATION);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    ck_assert_uint_eq(fixture->hop_count, 2);
    cw_fixture_route(fixture, GRANTED, FIXTURE_OTHER_NODE, FIXTURE_OTHER_INCARNATION);
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    ck_assert_uint_eq(cw_fixture_last_hop(fixture)->to, FIXTURE_OTHER_NODE);
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), ANSWERED, CW_REASON_NONE);
    expect_answer(1, ANSWERED, CW_REASON_NONE);
}
END_TEST

START_TEST(deadline_ends_a_request_at_once)
{
    send_request(1, "POST", "/unlock");
    ck_assert_int_eq(cw_gateway_next_tick(fixture->gateway), fixture->now.monotonic_us + FIXTURE_TIMEOUT_US);
    cw_fixture_advance(fixture, FIXTURE_TIMEOUT_US - 1);
    ck_assert_uint_eq(fixture->answers[1].count, 0);
    cw_fixture_advance(fixture, 1);
    expect_answer(1, UNKNOWN, CW_REASON_TIMEOUT);
    ck_assert_uint_eq(fixture->last_cancel, fixture->hops[0].id);
    cw_fixture_respond(fixture, &fixture->hops[0], ANSWERED, CW_REASON_NONE);
    ck_assert_uint_eq(fixture->answers[1].count, 1);
    send_request(2, "POST", "/unlock");
    cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), NOT_RUN, CW_REASON_MOVING);
    cw_fixture_advance(fixture, FIXTURE_TIMEOUT_US);
    expect_answer(2, NOT_RUN, CW_REASON_DEADLINE);
    ck_assert_uint_eq(fixture->cancel_count, 1);
}
END_TEST

START_TEST(caller_that_hung_up_gets_no_answer)
{
    send_request(1, "GET", "/map");
    cw_gateway_cancel(fixture->gateway, 1, fixture->now);
    ck_assert_uint_eq(fixture->last_cancel, fixture->hops[0].id);
    cw_fixture_respond(fixture, &fixture->hops[0], ANSWERED, CW_REASON_NONE);
    cw_gateway_node_lost(fixture->gateway, FIXTURE_NODE, fixture->now);
    cw_fixture_advance(fixture, FIXTURE_TIMEOUT_US);
    cw_gateway_cancel(fixture->gateway, 1, fixture->now);
    ck_assert_uint_eq(fixture->answers[1].count, 0);
    ck_assert_uint_eq(count_in_flight(), 0);
}
END_TEST

START_TEST(retries_stay_within_the_budget)
{
    cw_gateway_counters_t counters;
    uint64_t              caller_id;

    for (caller_id = 1; caller_id <= MANY; caller_id++) {
        send_request(caller_id, "GET", "/map");
        cw_fixture_respond(fixture, cw_fixture_last_hop(fixture), UNKNOWN, CW_REASON_CONNECTION_LOST);
    }
    cw_fixture_advance(fixture, BACKOFF_MAX_US);
    cw_gateway_read_counters(fixture->gateway, &counters);
    ck_assert_uint_eq(counters.retries, fixture->hop_count - MANY);
    ck_assert_uint_ge(counters.retries, MANY * BUDGET / 100);
    ck_assert_uint_le(counters.retries, MANY * BUDGET / 100 + 10);
    ck_assert_uint_eq(counters.unknown, MANY - counters.retries);
}
END_TEST

START_TEST(flood_of_one_tenant_leaves_the_other_its_share)
{
    cw_caller_request_t request;
    uint64_t            caller_id;

    for (caller_id = 1; caller_id <= 2 * LIMIT; caller_id++) {
        send_request(caller_id, "GET", "/map");
    }
    expect_answer(2 * LIMIT, NOT_RUN, CW_REASON_CONCURRENCY_LIMIT);
    ck_assert_uint_eq(fixture->answers[1].count, 0);
    for (caller_id = 2 * LIMIT + 1; caller_id <= 2 * LIMIT + LIMIT / 5; caller_id++) {
        request = cw_fixture_request(caller_id, "GET", "/map");
        request.tenant = "beta";
        request.token = FIXTURE_TOKEN_BETA;
        cw_fixture_send(fixture, &request);
        ck_assert_uint_eq(fixture->answers[caller_id].count, 0);
        ck_assert_uint_eq(cw_fixture_last_hop(fixture)->caller_id, caller_id);
    }
}
END_TEST

START_TEST(rate_limit_counts_only_its_own_tenant)
{
    cw_caller_request_t request = cw_fixture_request(1, "GET", "/map");

    fixture->limits.requests_per_second = 1;
    cw_fixture_limit(fixture);
    request.token = "wrong";
    cw_fixture_send(fixture, &request);
    send_request(2, "GET", "/map");
    send_request(3, "GET", "/map");
    expect_answer(1, NOT_RUN, CW_REASON_UNAUTHORIZED);
    ck_assert_uint_eq(fixture->answers[2].count, 0);
    expect_answer(3, NOT_RUN, CW_REASON_RATE_LIMIT);
    request = cw_fixture_request(4, "GET", "/map");
    request.tenant = "beta";
    request.token = FIXTURE_TOKEN_BETA;
    cw_fixture_send(fixture, &request);
    ck_assert_uint_eq(fixture->answers[4].count, 0);
    cw_fixture_advance(fixture, CW_US_PER_S);
    send_request(5, "GET", "/map");
    ck_assert_uint_eq(cw_fixture_last_hop(fixture)->caller_id, 5);
}
END_TEST

START_TEST(stopping_gateway_finishes_what_it_holds)
{
    send_request(1, "GET", "/map");
    ck_assert(!cw_gateway_stop(fixture->gateway));
    send_request(2, "GET", "/map");
    expect_answer(2, NOT_RUN, CW_REASON_STOPPING);
    cw_fixture_respond(fixture, &fixture->hops[0], ANSWERED, CW_REASON_NONE);
    expect_answer(1, ANSWERED, CW_REASON_NONE);
    ck_assert(cw_gateway_stop(fixture->gateway));
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("gateway");
    TCase   *tests = tcase_create("gateway");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, set_up, tear_down);
    tcase_add_test(tests, request_goes_to_the_forwarder_and_its_answer_to_the_caller);
    tcase_add_test(tests, every_try_carries_the_whole_request);
    tcase_add_test(tests, made_id_is_sent_and_said);
    tcase_add_test(tests, strangers_cannot_tell_tenants_apart);
    tcase_add_test(tests, malformed_requests_are_refused);
    tcase_add_test(tests, node_out_of_touch_takes_nothing);
    tcase_add_test(tests, retry_is_not_sent_out_of_touch);
    tcase_add_test(tests, late_and_foreign_responses_are_dropped);
    tcase_add_test(tests, moving_range_is_retried_then_refused);
    tcase_add_test(tests, refusal_that_cannot_be_retried_in_time_is_given_at_once);
    tcase_add_test(tests, transient_refusals_are_retried_for_every_request);
    tcase_add_test(tests, stale_route_asks_for_new_ones);
    tcase_add_test(tests, unknown_outcome_is_retried_only_when_repeatable);
    tcase_add_test(tests, refusal_after_an_unknown_try_is_not_called_not_run);
    tcase_add_test(tests, nothing_non_repeatable_is_risked_on_a_lost_forwarder);
    tcase_add_test(tests, repeatable_request_follows_the_route_away_from_a_lost_forwarder);
    tcase_add_test(tests, deadline_ends_a_request_at_once);
    tcase_add_test(tests, caller_that_hung_up_gets_no_answer);
    tcase_add_test(tests, retries_stay_within_the_budget);
    tcase_add_test(tests, flood_of_one_tenant_leaves_the_other_its_share);
    tcase_add_test(tests, rate_limit_counts_only_its_own_tenant);
    tcase_add_test(tests, stopping_gateway_finishes_what_it_holds);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
