/**
 * @file test_engine_delegation.c
 * @brief Requests that a node without paths to servers passes to another node, and those that it takes from one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/metrics.h"
#include "engine_fixture.h"

enum { NODE_ADDRESS = 9, OTHER_NODE_ADDRESS = 10, LEFT_MS = 4000 };

/** Another node, played by the test. */
typedef struct fake_node {
    cw_http_listener_t    *listener;
    cw_http_exchange_t    *exchange;
    cw_delegated_request_t stated; /* by the last request */
    uint32_t               stated_count;
    uint32_t               requests;
    uint32_t               cancelled;
    bool                   has_request;
    bool                   is_cancelled;
} fake_node_t;

static cw_service_paths_t *table;
static cw_delegate_t       delegates[2];
static fake_node_t         node;
static uint32_t            chosen;
static uint32_t            failed;

static const cw_http_limits_t limits = {16384, 65536, CW_SECONDS(10), CW_SECONDS(10)};

static void on_node_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    const char *field = cw_http_fields_find(inbound->fields, cw_delegation_field);
    size_t      index;

    (void)context;
    ck_assert_ptr_nonnull(field);
    ck_assert_int_eq(cw_delegated_request_read(&node.stated, field), 0);
    node.stated_count = 0;
    for (index = 0; index < inbound->fields->count; index++) {
        node.stated_count += strcasecmp(inbound->fields->items[index].name, cw_delegation_field) == 0 ? 1 : 0;
    }
    node.requests++;
    node.exchange = exchange;
    node.has_request = true;
}

static void on_node_cancelled(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
    node.cancelled++;
    node.is_cancelled = true;
}

static cw_delegate_t *choose(void *context, uint32_t service, uint32_t except)
{
    (void)context;
    (void)service;
    chosen++;
    return &delegates[delegates[0].address == except ? 1 : 0];
}

static void record_failure(void *context, cw_delegate_t *delegate)
{
    (void)context;
    (void)delegate;
    failed++;
}

static uint32_t service_hash(engine_fixture_t *fixture)
{
    return cw_server_pool_find(fixture->pool, "s0")->service_hash;
}

/* An engine that may pass requests to another node. */
static void begin(engine_fixture_t *fixture)
{
    cw_http_listener_handler_t handler = {NULL, on_node_request, on_node_cancelled};
    cw_delegation_port_t       port = {.node = "origin", .choose = choose, .failed = record_failure};
    char                       address[32];

    engine_fixture_init(fixture);
    memset(&node, 0, sizeof(node));
    memset(delegates, 0, sizeof(delegates));
    chosen = 0;
    failed = 0;
    table = cw_service_paths_create();
    cw_engine_set_paths(fixture->engine, table);
    cw_engine_set_delegation(fixture->engine, &port);
    ck_assert_int_eq(cw_http_listener_create(&node.listener, &fixture->loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(node.listener));
    delegates[0] = (cw_delegate_t){.address = NODE_ADDRESS, .incarnation = 77, .node = "n9"};
    delegates[1] = (cw_delegate_t){.address = OTHER_NODE_ADDRESS, .incarnation = 78, .node = "n10"};
    delegates[0].connections = cw_upstream_target_create(fixture->upstream, address);
    delegates[1].connections = cw_upstream_target_create(fixture->upstream, address);
}

static void lose_paths(engine_fixture_t *fixture)
{
    cw_service_paths_of(table, service_hash(fixture))->are_lost = true;
    cw_engine_paths_changed(fixture->engine, service_hash(fixture));
}

static void ask_without_paths(engine_fixture_t *fixture, const char *method, const char *path)
{
    begin(fixture);
    lose_paths(fixture);
    (void)engine_fixture_ask(fixture, method, path, "15000");
    cw_test_run_until_set(&fixture->loop, &node.has_request);
}

/* Answers the request that the other node has. outcome: value of the field; NULL: it is missing. */
static void node_answers(int status, const char *body, const char *outcome, double retry_after_s)
{
    cw_http_field_t    field = {(char *)"signature", (char *)"signed"};
    cw_http_fields_t   fields = {.items = &field, .count = 1};
    cw_http_outbound_t outbound = {.status = status,
                                   .fields = &fields,
                                   .body = body,
                                   .body_length = strlen(body),
                                   .retry_after_s = retry_after_s,
                                   .added_name = cw_delegation_outcome_field,
                                   .added_value = outcome};

    node.has_request = false;
    cw_http_exchange_answer(node.exchange, &outbound);
}

/* ---- the node that passes requests on ---- */

START_TEST(a_request_is_passed_on_with_what_the_other_node_needs)
{
    engine_fixture_t fixture;

    ask_without_paths(&fixture, "POST", "/once/x");
    ck_assert_uint_eq(node.stated.receiver, 77);
    ck_assert_str_eq(node.stated.origin, "origin");
    ck_assert_str_eq(node.stated.route, "once");
    ck_assert_str_eq(node.stated.service, "service");
    ck_assert_ptr_null(node.stated.tenant);
    ck_assert_uint_eq(node.stated.attempts, 0);
    ck_assert_int_gt(node.stated.left, CW_MS(14000));
    ck_assert_int_le(node.stated.left, CW_MS(15000));
    ck_assert_int_le(node.stated.objective_left, CW_SECONDS(10));
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(the_answer_is_relayed_whole_and_without_the_field_between_nodes)
{
    engine_fixture_t fixture;

    ask_without_paths(&fixture, "POST", "/once/x");
    node_answers(200, "the whole answer", "answered s1", -1);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "the whole answer");
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_SERVED), 1);
    ck_assert_uint_eq(delegates[0].in_flight, 0);
}
END_TEST

START_TEST(a_refusal_is_passed_on_with_its_time_to_retry)
{
    engine_fixture_t fixture;

    ask_without_paths(&fixture, "POST", "/once/x");
    node_answers(503, "", "refused ", 0.7);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 0.69 && fixture.retry_after_s < 0.71);
    ck_assert_uint_eq(node.requests, 1);
}
END_TEST

START_TEST(a_declined_request_is_tried_at_other_nodes_a_few_times)
{
    engine_fixture_t fixture;
    uint32_t         tries;

    ask_without_paths(&fixture, "POST", "/once/x");
    for (tries = 1; tries <= 3; tries++) {
        cw_test_run_until_set(&fixture.loop, &node.has_request);
        ck_assert_uint_eq(node.requests, tries);
        ck_assert_uint_eq(node.stated.receiver, tries % 2 == 1 ? 77 : 78);
        node_answers(503, "", "declined ", -1);
    }
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(node.requests, 3);
    ck_assert_uint_eq(failed, 3);
}
END_TEST

/* Whether it has run is not known, so it is neither refused nor passed to another node. */
START_TEST(a_request_whose_node_did_not_answer_is_not_sent_again)
{
    engine_fixture_t fixture;

    ask_without_paths(&fixture, "GET", "/safe/x");
    cw_http_exchange_abort(node.exchange);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
    ck_assert_uint_eq(node.requests, 1);
}
END_TEST

/* A server may send a field of the same name: the caller got 503 for a request that ran. */
START_TEST(a_servers_field_does_not_stand_for_the_other_nodes)
{
    engine_fixture_t   fixture;
    cw_http_field_t    items[] = {{(char *)cw_delegation_outcome_field, (char *)"refused"},
                                  {(char *)"signature", (char *)"signed"}};
    cw_http_fields_t   fields = {.items = items, .count = 2};
    cw_http_outbound_t outbound = {.status = 200,
                                   .fields = &fields,
                                   .body = "ran",
                                   .body_length = strlen("ran"),
                                   .retry_after_s = -1,
                                   .added_name = cw_delegation_outcome_field,
                                   .added_value = "answered s9"};

    ask_without_paths(&fixture, "POST", "/once/x");
    cw_http_exchange_answer(node.exchange, &outbound);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "ran");
    ck_assert_str_eq(fixture.calls[0].delegation_outcome, "");
}
END_TEST

/* A node of an earlier release passes on the page of another program. */
START_TEST(a_success_that_another_node_passes_on_without_a_signature_is_not_relayed)
{
    engine_fixture_t   fixture;
    cw_http_outbound_t outbound = {.status = 200,
                                   .body = "page",
                                   .body_length = strlen("page"),
                                   .retry_after_s = -1,
                                   .added_name = cw_delegation_outcome_field,
                                   .added_value = "answered s9"};

    ask_without_paths(&fixture, "POST", "/once/x");
    cw_http_exchange_answer(node.exchange, &outbound);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_SERVED), 0);
}
END_TEST

START_TEST(an_answer_without_a_statement_counts_as_possibly_run)
{
    engine_fixture_t fixture;

    ask_without_paths(&fixture, "POST", "/once/x");
    node_answers(503, "", NULL, 0.1);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
}
END_TEST

START_TEST(a_late_answer_of_the_other_node_is_504)
{
    engine_fixture_t fixture;

    ask_without_paths(&fixture, "POST", "/once/x");
    node_answers(504, "", "failed ", -1);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 504);
}
END_TEST

START_TEST(a_caller_that_leaves_ends_the_request_at_the_other_node)
{
    engine_fixture_t    fixture;
    cw_upstream_call_t *call;

    begin(&fixture);
    lose_paths(&fixture);
    call = engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &node.has_request);
    cw_upstream_call_abandon(call);
    cw_test_run_until_set(&fixture.loop, &node.is_cancelled);
    ck_assert_uint_eq(delegates[0].in_flight, 0);
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
}
END_TEST

static void send_forged(engine_fixture_t *fixture)
{
    static const char text[] = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nid: forged\r\ndeadline: 15000\r\n"
                               "Cedarwinch-Delegated: 00\r\ncedarwinch_delegated: 01\r\nContent-Length: 0\r\n\r\n";

    (void)engine_fixture_send(fixture, 0, text, sizeof(text) - 1);
}

START_TEST(a_callers_own_field_reaches_no_node)
{
    engine_fixture_t fixture;

    begin(&fixture);
    lose_paths(&fixture);
    send_forged(&fixture);
    cw_test_run_until_set(&fixture.loop, &node.has_request);
    ck_assert_uint_eq(node.stated_count, 1);
    ck_assert_str_eq(node.stated.origin, "origin");
}
END_TEST

START_TEST(a_callers_own_field_reaches_no_server)
{
    engine_fixture_t fixture;

    begin(&fixture);
    send_forged(&fixture);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    ck_assert_ptr_null(strcasestr(fixture.servers[0].seen, "delegated"));
}
END_TEST

START_TEST(a_request_that_may_have_run_is_not_passed_on)
{
    engine_fixture_t fixture;

    begin(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    lose_paths(&fixture);
    engine_fixture_run_for(&fixture, CW_MS(50));
    ck_assert_uint_eq(node.requests, 0);
    ck_assert(!fixture.answered);
}
END_TEST

START_TEST(a_repeatable_request_that_may_have_run_is_passed_on_with_its_attempts)
{
    engine_fixture_t fixture;

    begin(&fixture);
    cw_engine_set_nodes(fixture.engine, 1, 0); /* otherwise nothing is repeated */
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    lose_paths(&fixture);
    cw_test_run_until_set(&fixture.loop, &node.has_request);
    ck_assert_uint_eq(node.stated.attempts, 1);
    node_answers(503, "", "refused ", 0.1);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502); /* a server may have run it, so no refusal is true */
}
END_TEST

/* This node fails at the server twice in a row, and another node got an answer from it a moment ago. */
START_TEST(a_request_goes_by_way_of_another_node_if_its_server_answers_only_others)
{
    engine_fixture_t fixture;
    cw_server_t     *server;
    cw_time_us_t     now;

    begin(&fixture);
    now = cw_engine_now(fixture.engine);
    cw_server_pool_find(fixture.pool, "s1")->listed = false;
    server = cw_server_pool_find(fixture.pool, "s0");
    cw_server_pool_record_fault(server, now);
    cw_server_pool_record_fault(server, now);
    server->answered_others_at = now;
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &node.has_request);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

/* ---- the node that takes them ---- */

static void send_delegated(engine_fixture_t *fixture, const cw_delegated_request_t *stated, const char *path)
{
    cw_bytes_t text = {0};

    cw_bytes_append_format(&text, "POST %s HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nContent-Length: 0\r\n%s: ", path,
                           cw_delegation_field);
    cw_delegated_request_write(stated, &text);
    cw_bytes_append_text(&text, "\r\n\r\n");
    fixture->answered = false;
    (void)engine_fixture_send(fixture, 0, text.data, text.length);
    cw_bytes_clear(&text);
}

static cw_delegated_request_t default_statement(void)
{
    return (cw_delegated_request_t){.origin = (char *)"n1",
                                    .route = (char *)"once",
                                    .service = (char *)"service",
                                    .left = CW_MS(LEFT_MS),
                                    .objective_left = CW_MS(LEFT_MS)};
}

static void begin_taking_without_contacts(engine_fixture_t *fixture)
{
    begin(fixture);
    fixture->takes_delegated = true;
}

static void reach_a_server(engine_fixture_t *fixture)
{
    cw_server_paths_record_reached(cw_service_paths_of(table, service_hash(fixture)), cw_engine_now(fixture->engine));
    cw_engine_wake(fixture->engine);
}

static void begin_taking(engine_fixture_t *fixture)
{
    begin_taking_without_contacts(fixture);
    reach_a_server(fixture);
}

static bool is_declined(const engine_fixture_t *fixture)
{
    return strncmp(fixture->calls[0].delegation_outcome, "declined", strlen("declined")) == 0;
}

START_TEST(a_request_of_another_node_gets_a_server_and_the_time_that_is_left)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    ck_assert_uint_eq(cw_engine_delegated_requests(fixture.engine), 1);
    ck_assert_int_gt(atoi(fixture.servers[0].deadline), LEFT_MS / 2);
    ck_assert_int_lt(atoi(fixture.servers[0].deadline), LEFT_MS);
    ck_assert_ptr_null(strcasestr(fixture.servers[0].seen, "delegated"));
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(cw_engine_delegated_requests(fixture.engine), 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_SERVED), 0); /* counted at the node that it came from */
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_DELEGATED_SERVED), 1);
}
END_TEST

START_TEST(a_servers_field_between_nodes_is_not_relayed)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    engine_server_answer(&fixture.servers[0], 200, "s0", cw_delegation_outcome_field);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_str_eq(fixture.calls[0].delegation_outcome, "answered s0");
}
END_TEST

START_TEST(a_request_of_another_node_is_never_passed_on)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    lose_paths(&fixture);
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(chosen, 0);
    ck_assert_uint_eq(node.requests, 0);
}
END_TEST

START_TEST(a_request_of_another_node_waiting_when_the_paths_are_lost_is_refused)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    send_delegated(&fixture, &stated, "/once/x");
    engine_fixture_run_for(&fixture, CW_MS(20));
    lose_paths(&fixture);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(node.requests, 0);
}
END_TEST

/* Guards against a request that is sent to servers that stand still: two nodes sent it there one after the other, and
 * it ended with 504 where it had been refused at once. */
START_TEST(a_request_of_another_node_is_sent_once_this_node_has_reached_a_server)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking_without_contacts(&fixture);
    send_delegated(&fixture, &stated, "/once/x");
    engine_fixture_run_for(&fixture, CW_MS(50));
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
    ck_assert(cw_service_paths_of(table, service_hash(&fixture))->is_check_wanted);
    reach_a_server(&fixture);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
}
END_TEST

START_TEST(a_request_of_another_node_is_declined_if_this_one_reaches_no_server_either)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking_without_contacts(&fixture);
    send_delegated(&fixture, &stated, "/once/x");
    engine_fixture_run_for(&fixture, CW_MS(50));
    lose_paths(&fixture);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(is_declined(&fixture));
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
}
END_TEST

/* Without an evidence of its own: it knows of no server that it could ask for one. */
START_TEST(a_request_of_another_node_for_a_service_without_servers_is_refused_as_any_other)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking_without_contacts(&fixture);
    stated.service = (char *)"service-without-servers";
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(!is_declined(&fixture));
}
END_TEST

START_TEST(a_request_for_a_route_that_is_not_known_here_is_declined)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    send_delegated(&fixture, &stated, "/newer-route/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
    ck_assert_uint_eq(cw_engine_delegated_requests(fixture.engine), 0);
}
END_TEST

START_TEST(a_node_that_stops_declines)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    cw_engine_stop(fixture.engine, cw_engine_now(fixture.engine) + CW_SECONDS(5));
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
}
END_TEST

/* The route allows three servers, and two have had the request before. */
START_TEST(attempts_at_the_other_node_count)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    cw_engine_set_nodes(fixture.engine, 1, 0);
    stated.attempts = 2;
    fixture.servers[0].status = 503;
    fixture.servers[0].not_run = true;
    fixture.servers[1].status = 200;
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(a_request_whose_node_leaves_is_taken_from_its_server)
{
    engine_fixture_t       fixture;
    cw_delegated_request_t stated = default_statement();

    begin_taking(&fixture);
    send_delegated(&fixture, &stated, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_upstream_call_abandon(fixture.calls[0].call);
    while (fixture.servers[0].cancelled == 0) {
        engine_fixture_run_for(&fixture, CW_MS(5));
    }
    ck_assert_uint_eq(cw_engine_delegated_requests(fixture.engine), 0);
}
END_TEST

/* ---- the fields ---- */

START_TEST(values_that_cannot_be_read_are_rejected)
{
    static const char *const values[] = {"", "0", "zz", "ABCD", "0a0b0c", "not hexadecimal"};
    cw_delegated_request_t   request;
    const char              *server;
    size_t                   index;

    for (index = 0; index < sizeof(values) / sizeof(values[0]); index++) {
        ck_assert_int_eq(cw_delegated_request_read(&request, values[index]), CW_ERROR_PARSE);
    }
    ck_assert_int_eq(cw_delegation_outcome_read(NULL, &server), CW_DELEGATION_FAILED);
    ck_assert_int_eq(cw_delegation_outcome_read("refusedx", &server), CW_DELEGATION_FAILED);
    ck_assert_int_eq(cw_delegation_outcome_read("answered i-1", &server), CW_DELEGATION_ANSWERED);
    ck_assert_str_eq(server, "i-1");
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine_delegation");
    TCase *sending = tcase_create("sending");
    TCase *taking = tcase_create("taking");

    tcase_add_test(sending, a_request_is_passed_on_with_what_the_other_node_needs);
    tcase_add_test(sending, the_answer_is_relayed_whole_and_without_the_field_between_nodes);
    tcase_add_test(sending, a_refusal_is_passed_on_with_its_time_to_retry);
    tcase_add_test(sending, a_declined_request_is_tried_at_other_nodes_a_few_times);
    tcase_add_test(sending, a_request_whose_node_did_not_answer_is_not_sent_again);
    tcase_add_test(sending, a_servers_field_does_not_stand_for_the_other_nodes);
    tcase_add_test(sending, a_success_that_another_node_passes_on_without_a_signature_is_not_relayed);
    tcase_add_test(sending, an_answer_without_a_statement_counts_as_possibly_run);
    tcase_add_test(sending, a_late_answer_of_the_other_node_is_504);
    tcase_add_test(sending, a_caller_that_leaves_ends_the_request_at_the_other_node);
    tcase_add_test(sending, a_callers_own_field_reaches_no_node);
    tcase_add_test(sending, a_callers_own_field_reaches_no_server);
    tcase_add_test(sending, a_request_that_may_have_run_is_not_passed_on);
    tcase_add_test(sending, a_repeatable_request_that_may_have_run_is_passed_on_with_its_attempts);
    tcase_add_test(sending, a_request_goes_by_way_of_another_node_if_its_server_answers_only_others);
    tcase_add_test(taking, a_request_of_another_node_gets_a_server_and_the_time_that_is_left);
    tcase_add_test(taking, a_servers_field_between_nodes_is_not_relayed);
    tcase_add_test(taking, a_request_of_another_node_is_never_passed_on);
    tcase_add_test(taking, a_request_of_another_node_waiting_when_the_paths_are_lost_is_refused);
    tcase_add_test(taking, a_request_of_another_node_is_sent_once_this_node_has_reached_a_server);
    tcase_add_test(taking, a_request_of_another_node_is_declined_if_this_one_reaches_no_server_either);
    tcase_add_test(taking, a_request_of_another_node_for_a_service_without_servers_is_refused_as_any_other);
    tcase_add_test(taking, a_request_for_a_route_that_is_not_known_here_is_declined);
    tcase_add_test(taking, a_node_that_stops_declines);
    tcase_add_test(taking, attempts_at_the_other_node_count);
    tcase_add_test(taking, a_request_whose_node_leaves_is_taken_from_its_server);
    tcase_add_test(taking, values_that_cannot_be_read_are_rejected);
    suite_add_tcase(suite, sending);
    suite_add_tcase(suite, taking);
    return cw_test_main(suite);
}
