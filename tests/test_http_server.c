/**
 * @file test_http_server.c
 * @brief Callers' and operators' HTTP: parsing, outcome headers, whose answer goes where, hang-ups, planned stop.
 */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/adapters.h"
#include "common/event_wait.h"

enum { REQUESTS_MAX = 64, TEXT_MAX = 256 };

static struct seen {
    uint64_t caller_id;
    char     key[TEXT_MAX];
    char     path[TEXT_MAX];
    char     token[TEXT_MAX];
    size_t   headers;
    size_t   body_length;
    int64_t  timeout_us;
} seen[REQUESTS_MAX];
static size_t            seen_count;
static size_t            cancelled;
static uint64_t          cancelled_id;
static char              operation[TEXT_MAX];
static uv_loop_t         loop;
static cw_http_server_t *server;
static cw_raw_client_t   client;
static cw_raw_client_t   other;

static void on_caller_request(void *context, const cw_caller_request_t *request)
{
    struct seen *entry = &seen[seen_count++];

    (void)context;
    entry->caller_id = request->caller_id;
    snprintf(entry->key, TEXT_MAX, "%s", request->key);
    snprintf(entry->path, TEXT_MAX, "%s", request->path);
    snprintf(entry->token, TEXT_MAX, "%s", request->token == NULL ? "" : request->token);
    entry->headers = request->header_count;
    entry->body_length = request->body_length;
    entry->timeout_us = request->timeout_us;
}

static void on_caller_cancel(void *context, uint64_t caller_id)
{
    (void)context;
    cancelled++;
    cancelled_id = caller_id;
}

static void on_operator_request(void *context, uint64_t caller_id, const char *name, const char *token,
                                const char *file_name, const char *argument)
{
    Cw__OperatorResponse response = CW__OPERATOR_RESPONSE__INIT;

    (void)context;
    snprintf(operation, TEXT_MAX, "%s|%s|%s|%s", name, token == NULL ? "" : token, file_name, argument);
    response.status = 200;
    response.json = "{\"plan\":1}";
    cw_http_server_operator_respond(server, caller_id, &response);
}

static bool on_ready(void *context)
{
    (void)context;
    return true;
}

static char *on_metrics(void *context)
{
    (void)context;
    return strdup("cedarwinch_up 1\n");
}

static void setup(void)
{
    cw_http_server_callbacks_t callbacks = {NULL,     on_caller_request, on_caller_cancel, on_operator_request,
                                            on_ready, on_metrics};

    signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop);
    ck_assert_int_eq(cw_http_server_create(&server, &loop, "127.0.0.1", 0, &callbacks), 0);
    cw_raw_client_connect(&client, &loop, cw_http_server_port(server));
}

static void teardown(void)
{
    cw_raw_client_close(&client);
    cw_http_server_free(server);
    ck_assert(cw_event_drain(&loop));
}

static void send_text(cw_raw_client_t *to, const char *text)
{
    cw_raw_client_send(to, text, strlen(text));
}

static void answer_status(uint64_t caller_id, uint32_t status, const char *body)
{
    Cw__ForwardResponse response = CW__FORWARD_RESPONSE__INIT;
    Cw__Header          header = CW__HEADER__INIT;
    Cw__Header          forged = CW__HEADER__INIT;
    Cw__Header         *headers[] = {&header, &forged};

    header.name = "X-From-Server";
    header.value = "yes";
    forged.name = "cw-outcome";
    forged.value = "unknown";
    response.outcome = CW__OUTCOME__OUTCOME_ANSWERED;
    response.status = status;
    response.headers = headers;
    response.n_headers = 2;
    response.body.data = (uint8_t *)body;
    response.body.len = strlen(body);
    cw_http_server_respond(server, caller_id, &response);
}

static void answer(uint64_t caller_id, const char *body)
{
    answer_status(caller_id, 200, body);
}

typedef struct wanted {
    const cw_raw_client_t *from;
    const char            *text;
    size_t                 count;
} wanted_t;

static bool text_arrived(void *context)
{
    const wanted_t *wanted = context;

    return cw_raw_client_count(wanted->from, wanted->text) >= wanted->count;
}

static void wait_text(const cw_raw_client_t *from, const char *text, size_t count)
{
    wanted_t wanted = {from, text, count};

    ck_assert_msg(cw_event_wait(&loop, text_arrived, &wanted), "no '%s' in '%s'", text,
                  from->received == NULL ? "" : from->received);
}

static bool requests_arrived(void *context)
{
    return seen_count >= *(size_t *)context;
}

static void wait_requests(size_t count)
{
    ck_assert(cw_event_wait(&loop, requests_arrived, &count));
}

static bool is_cancelled(void *context)
{
    (void)context;
    return cancelled > 0;
}

static bool has_ended(void *context)
{
    return ((cw_raw_client_t *)context)->ended;
}

START_TEST(test_request_is_read_and_answered)
{
    send_text(&client, "POST /v1/acme/docks/dock%2F7/bikes?x=1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"
                       "Request-Timeout-Ms: 250\r\nCw-Fence: 9.9\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n"
                       "X-Kept: 1\r\nContent-Length: 3\r\n\r\nabc");
    wait_requests(1);
    ck_assert_str_eq(seen[0].key, "dock/7");
    ck_assert_str_eq(seen[0].path, "/bikes?x=1");
    ck_assert_str_eq(seen[0].token, "secret");
    ck_assert_uint_eq(seen[0].headers, 1);
    ck_assert_uint_eq(seen[0].body_length, 3);
    ck_assert_int_eq(seen[0].timeout_us, 250000);
    answer(seen[0].caller_id, "whole body");
    wait_text(&client, "whole body", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "HTTP/1.1 200"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "cw-outcome: answered"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "cw-outcome:"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "x-from-server: yes"), 1);
    ck_assert_uint_eq(cancelled, 0);
}
END_TEST

START_TEST(test_refusal_says_outcome_reason_and_retry)
{
    Cw__ForwardResponse response = CW__FORWARD_RESPONSE__INIT;
    uint8_t             id[CW_REQUEST_ID_BYTES] = {1, 2, 3, 4, 5, 6, 0x77, 8, 0x89};

    send_text(&client, "GET /v1/acme/docks/7 HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_requests(1);
    response.outcome = CW__OUTCOME__OUTCOME_NOT_RUN;
    response.status = 503;
    response.reason = "queue-full";
    response.retry_after_ms = 1200;
    response.request_id.data = id;
    response.request_id.len = sizeof(id);
    cw_http_server_respond(server, seen[0].caller_id, &response);
    wait_text(&client, "{\"outcome\":\"not-run\",\"reason\":\"queue-full\"}", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "HTTP/1.1 503"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "cw-reason: queue-full"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "retry-after: 2"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "request-id: 01020304-0506-7708-8900-000000000000"), 1);
}
END_TEST

/* Answers given in the opposite order, twice and for an unknown id: each caller gets its own answer, once. */
START_TEST(test_answers_are_never_swapped)
{
    cw_raw_client_connect(&other, &loop, cw_http_server_port(server));
    send_text(&client, "GET /v1/acme/docks/first HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_requests(1);
    send_text(&client, "GET /v1/acme/docks/pipelined HTTP/1.1\r\nHost: h\r\n\r\n");
    send_text(&other, "GET /v1/acme/docks/second HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_requests(2);
    ck_assert_str_eq(seen[1].key, "second");
    answer(seen[1].caller_id, "for second");
    answer(seen[1].caller_id, "again");
    answer(4711, "nobody");
    wait_text(&other, "for second", 1);
    answer(seen[0].caller_id, "for first");
    wait_text(&client, "for first", 1);
    wait_requests(3);
    ck_assert_str_eq(seen[2].key, "pipelined");
    answer(seen[0].caller_id, "late for first");
    answer(seen[2].caller_id, "for pipelined");
    wait_text(&client, "for pipelined", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "HTTP/1.1 200"), 2);
    ck_assert_uint_eq(cw_raw_client_count(&other, "HTTP/1.1 200"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "late") + cw_raw_client_count(&other, "again"), 0);
    cw_raw_client_close(&other);
}
END_TEST

/* Answers that have no body by their method or status must not write one, or the next answer would be misread. */
START_TEST(test_answers_without_body_keep_their_framing)
{
    static const uint32_t statuses[] = {200, 204, 304};

    send_text(&client, _i == 0 ? "HEAD /v1/acme/docks/7 HTTP/1.1\r\nHost: h\r\n\r\n"
                               : "GET /v1/acme/docks/7 HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_requests(1);
    answer_status(seen[0].caller_id, statuses[_i], "must not be written");
    send_text(&client, "GET /v1/acme/docks/8 HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_requests(2);
    answer(seen[1].caller_id, "second");
    wait_text(&client, "second", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "must not be written"), 0);
    ck_assert_uint_eq(cw_raw_client_count(&client, "\r\n\r\nHTTP/1.1 200"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "transfer-encoding"), 0);
}
END_TEST

static bool no_connection(void *context)
{
    (void)context;
    return cw_http_server_open_connections(server) == 0;
}

START_TEST(test_hang_up_cancels_once)
{
    cw_raw_client_connect(&other, &loop, cw_http_server_port(server));
    send_text(&other, "POST /v1/acme/docks/7 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    wait_requests(1);
    cw_raw_client_close(&other);
    ck_assert(cw_event_wait(&loop, is_cancelled, NULL));
    ck_assert_uint_eq(cancelled_id, seen[0].caller_id);
    answer(seen[0].caller_id, "too late");
    cw_http_server_stop(server);
    ck_assert(cw_event_wait(&loop, no_connection, NULL));
    ck_assert_uint_eq(cancelled, 1);
}
END_TEST

START_TEST(test_too_large_body_is_refused)
{
    send_text(&client, "POST /v1/acme/docks/7 HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n");
    wait_text(&client, "cw-reason: too-large", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "HTTP/1.1 413"), 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "cw-outcome: not-run"), 1);
    ck_assert_uint_eq(seen_count, 0);
}
END_TEST

START_TEST(test_malformed_request_is_refused)
{
    static const char *const requests[] = {
        "GET /v1/acme/docks/%zz HTTP/1.1\r\nHost: h\r\n\r\n", "GET /v1/acme/docks HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/acme/docks/a%0d%0ab HTTP/1.1\r\nHost: h\r\n\r\n", "GET /v1/acme/docks/.. HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/a/d/k HTTP/1.1\r\nHost: h\r\nrequest-timeout-ms: soon\r\n\r\n"};

    send_text(&client, requests[_i]);
    wait_text(&client, "{\"outcome\":\"not-run\",\"reason\":\"bad-request\"}", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "HTTP/1.1 400"), 1);
    ck_assert_uint_eq(seen_count, 0);
}
END_TEST

START_TEST(test_broken_http_ends_the_connection)
{
    send_text(&client, "this is \x01 not HTTP\r\n\r\n");
    ck_assert(cw_event_wait(&loop, has_ended, &client));
    ck_assert_uint_eq(seen_count, 0);
}
END_TEST

START_TEST(test_operators_and_probes)
{
    send_text(&client, "POST /operator/v1/plan HTTP/1.1\r\nHost: h\r\nAuthorization: bearer op\r\n"
                       "cw-file-name: a.yaml\r\nContent-Length: 6\r\n\r\nintent");
    wait_text(&client, "{\"plan\":1}", 1);
    ck_assert_str_eq(operation, "plan|op|a.yaml|intent");
    send_text(&client, "POST /operator/v1/nothing HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_text(&client, "HTTP/1.1 404", 1);
    send_text(&client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\nGET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"
                       "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_text(&client, "cedarwinch_up 1", 1);
    ck_assert_uint_eq(cw_raw_client_count(&client, "HTTP/1.1 200"), 4);
}
END_TEST

/* Planned stop: idle connections end at once, a request in flight still gets its answer, then its connection ends. */
START_TEST(test_stop_lets_requests_finish)
{
    cw_raw_client_connect(&other, &loop, cw_http_server_port(server));
    send_text(&other, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_text(&other, "alive", 1);
    send_text(&client, "GET /v1/acme/docks/7 HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_requests(1);
    cw_http_server_stop(server);
    ck_assert(cw_event_wait(&loop, has_ended, &other));
    ck_assert_uint_eq(cw_http_server_open_connections(server), 1);
    ck_assert_uint_eq(cancelled, 0);
    answer(seen[0].caller_id, "still answered");
    ck_assert(cw_event_wait(&loop, has_ended, &client));
    ck_assert_uint_eq(cw_raw_client_count(&client, "still answered"), 1);
    cw_raw_client_close(&other);
}
END_TEST

/* Before it stops, the server answers on new connections too, and ends each one with its answer. */
START_TEST(test_answers_end_connections_before_the_stop)
{
    cw_http_server_end_connections(server);
    cw_raw_client_connect(&other, &loop, cw_http_server_port(server));
    send_text(&other, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(cw_event_wait(&loop, has_ended, &other));
    ck_assert_uint_eq(cw_raw_client_count(&other, "alive"), 1);
    ck_assert_uint_eq(cw_http_server_open_connections(server), 1);
    cw_raw_client_close(&other);
    cw_http_server_close_listener(server);
    send_text(&client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(cw_event_wait(&loop, has_ended, &client));
    ck_assert_uint_eq(cw_raw_client_count(&client, "alive"), 1);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("http_server");
    TCase   *group = tcase_create("server");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(group, setup, teardown);
    tcase_set_timeout(group, 60);
    tcase_add_test(group, test_request_is_read_and_answered);
    tcase_add_test(group, test_refusal_says_outcome_reason_and_retry);
    tcase_add_test(group, test_answers_are_never_swapped);
    tcase_add_loop_test(group, test_answers_without_body_keep_their_framing, 0, 3);
    tcase_add_test(group, test_hang_up_cancels_once);
    tcase_add_test(group, test_too_large_body_is_refused);
    tcase_add_loop_test(group, test_malformed_request_is_refused, 0, 5);
    tcase_add_test(group, test_broken_http_ends_the_connection);
    tcase_add_test(group, test_operators_and_probes);
    tcase_add_test(group, test_stop_lets_requests_finish);
    tcase_add_test(group, test_answers_end_connections_before_the_stop);
    suite_add_tcase(suite, group);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
