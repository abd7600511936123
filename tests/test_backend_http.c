/**
 * @file test_backend_http.c
 * @brief Back-end adapter: what counts as answered, refused, not sent and broken; reuse, cancellation, control calls.
 */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "common/event_wait.h"

enum { TEXT_MAX = 256, LONG_TIMEOUT_US = 15 * CW_US_PER_S, SHORT_TIMEOUT_US = 50 * CW_US_PER_MS };

static uv_loop_t               loop;
static cw_backend_t           *backend;
static cw_raw_server_t         server;
static Cw__ServerConfiguration configuration;
static size_t                  responses;
static cw_server_response_t    last;
static char                    last_body[TEXT_MAX];
static char                    last_reason[TEXT_MAX];
static size_t                  completions;
static cw_server_completion_t  completion;
static cw_range_id_t           accepted[4];

static void on_responded(void *context, const cw_server_response_t *response)
{
    (void)context;
    responses++;
    last = *response;
    snprintf(last_body, TEXT_MAX, "%.*s", (int)response->body_length, (const char *)response->body);
    snprintf(last_reason, TEXT_MAX, "%s", response->reason == NULL ? "" : response->reason);
}

static void on_completed(void *context, const cw_server_completion_t *found)
{
    size_t index;

    (void)context;
    completions++;
    completion = *found;
    for (index = 0; index < found->accepted_count && index < 4; index++) {
        accepted[index] = found->accepted[index];
    }
}

static void setup(void)
{
    cw_backend_callbacks_t callbacks = {NULL, on_completed, on_responded};

    signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop);
    cw__server_configuration__init(&configuration);
    configuration.address = "127.0.0.1";
    configuration.port = cw_raw_server_start(&server, &loop);
    ck_assert_int_eq(cw_backend_create(&backend, &loop, &callbacks), 0);
}

static bool no_connection(void *context)
{
    (void)context;
    return server.open_connections == 0;
}

static void teardown(void)
{
    cw_backend_free(backend);
    cw_raw_server_stop(&server);
    ck_assert(cw_event_wait(&loop, no_connection, NULL));
    ck_assert(cw_event_drain(&loop));
}

static bool has_responded(void *context)
{
    return responses >= *(size_t *)context;
}

static void start(uint64_t id, int64_t timeout_us, char *header_value)
{
    static uint8_t      request_id[CW_REQUEST_ID_BYTES] = {1, 0, 0, 0, 0, 0, 0x70, 0, 0x80};
    Cw__ForwardRequest  request = CW__FORWARD_REQUEST__INIT;
    Cw__Fence           fence = CW__FENCE__INIT;
    Cw__Header          header = CW__HEADER__INIT;
    Cw__Header         *headers[] = {&header};
    cw_server_request_t server_request = {id, &configuration, &request, timeout_us};

    header.name = "x-kept";
    header.value = header_value;
    fence.generation = 3;
    fence.index = 44;
    request.fence = &fence;
    request.key = "dock/7";
    request.key_hash = 0xab;
    request.method = "POST";
    request.path = "/unlock?x=1";
    request.headers = headers;
    request.n_headers = 1;
    request.body.data = (uint8_t *)"body";
    request.body.len = 4;
    request.request_id.data = request_id;
    request.request_id.len = sizeof(request_id);
    cw_backend_request(backend, &server_request);
}

static void wait_response(size_t count)
{
    ck_assert(cw_event_wait(&loop, has_responded, &count));
    ck_assert_uint_eq(responses, count);
}

static bool request_seen(void *context)
{
    (void)context;
    return server.requests > 0;
}

START_TEST(test_what_an_answer_means)
{
    static const struct {
        const char        *answer;
        bool               cut;
        cw_server_result_t result;
        const char        *body;
    } rows[] = {
        {"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull", false, CW_SERVER_ANSWERED, "full"},
        {"HTTP/1.1 201 OK\r\ncontent-length: 0\r\n\r\n", false, CW_SERVER_ANSWERED, ""},
        {"HTTP/1.1 204 OK\r\n\r\n", false, CW_SERVER_ANSWERED, ""},
        {"HTTP/1.1 500 E\r\ncontent-length: 3\r\n\r\nerr", true, CW_SERVER_ANSWERED, "err"},
        {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", false, CW_SERVER_ANSWERED,
         "full"},
        {"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfull", true, CW_SERVER_BROKEN, ""},
        {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n", true, CW_SERVER_BROKEN, ""},
        {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfu", true, CW_SERVER_BROKEN, ""},
        {"HTTP/1.1 200 OK\r\n\r\nuntil the end", true, CW_SERVER_BROKEN, ""},
        {"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nfull", true, CW_SERVER_BROKEN, ""},
        {"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", true, CW_SERVER_BROKEN,
         ""},
        {"HTTP/1.1 200", true, CW_SERVER_BROKEN, ""},
        {"nonsense\r\n\r\n", true, CW_SERVER_BROKEN, ""},
        {NULL, true, CW_SERVER_BROKEN, ""},
        {"HTTP/1.1 503 E\r\ncw-not-run: fence\r\ncontent-length: 0\r\n\r\n", false, CW_SERVER_REFUSED, ""},
    };

    server.answer = rows[_i].answer;
    server.cut = rows[_i].cut;
    start(1, LONG_TIMEOUT_US, "1");
    wait_response(1);
    ck_assert_uint_eq(server.requests, 1);
    ck_assert_int_eq(last.result, rows[_i].result);
    ck_assert_str_eq(last_body, rows[_i].body);
    ck_assert_str_eq(last_reason, rows[_i].result == CW_SERVER_REFUSED ? "fence" : "");
}
END_TEST

START_TEST(test_request_carries_fence_and_key)
{
    static const char *const lines[] = {"POST /dock%2F7/unlock?x=1 HTTP/1.1\r\n",
                                        "\r\ncw-fence: 3.44\r\n",
                                        "\r\ncw-key: dock%2F7\r\n",
                                        "\r\ncw-key-hash: 00000000000000ab\r\n",
                                        "\r\ncw-request-id: 01000000-0000-7000-8000-000000000000\r\n",
                                        "\r\ncw-timeout-ms: 15000\r\n",
                                        "\r\nx-kept: 1\r\n",
                                        "\r\ncontent-length: 4\r\n",
                                        "\r\n\r\nbody"};
    size_t                   index;

    server.answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    start(1, LONG_TIMEOUT_US, "1");
    wait_response(1);
    for (index = 0; index < sizeof(lines) / sizeof(lines[0]); index++) {
        ck_assert_msg(strstr(server.last, lines[index]) != NULL, "no '%s' in '%s'", lines[index], server.last);
    }
}
END_TEST

START_TEST(test_refused_connection_is_not_sent)
{
    cw_raw_server_stop(&server);
    uv_run(&loop, UV_RUN_NOWAIT);
    start(1, LONG_TIMEOUT_US, "1");
    ck_assert_uint_eq(responses, 0);
    wait_response(1);
    ck_assert_int_eq(last.result, CW_SERVER_NOT_SENT);
    memset(&server, 0, sizeof(server));
    cw_raw_server_start(&server, &loop);
}
END_TEST

START_TEST(test_header_cannot_add_lines)
{
    start(1, LONG_TIMEOUT_US, "1\r\ncw-fence: 9.9");
    wait_response(1);
    ck_assert_int_eq(last.result, CW_SERVER_NOT_SENT);
    ck_assert_uint_eq(server.requests, 0);
}
END_TEST

/* Time over after the request was sent: broken, and the connection is closed so that a late answer finds nobody. */
START_TEST(test_timeout_is_broken_and_closes)
{
    start(1, SHORT_TIMEOUT_US, "1");
    ck_assert(cw_event_wait(&loop, request_seen, NULL));
    wait_response(1);
    ck_assert_int_eq(last.result, CW_SERVER_BROKEN);
    ck_assert(cw_event_wait(&loop, no_connection, NULL));
}
END_TEST

START_TEST(test_connection_is_reused)
{
    server.answer = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nA";
    start(1, LONG_TIMEOUT_US, "1");
    wait_response(1);
    start(2, LONG_TIMEOUT_US, "1");
    wait_response(2);
    ck_assert_uint_eq(last.id, 2);
    ck_assert_uint_eq(server.connections, 1);
}
END_TEST

/* A server that answers once too often: the surplus answer never becomes that of the next request. */
START_TEST(test_surplus_answer_is_never_used)
{
    static const char *const answers[] = {
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nAHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nB",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nB",
        "HTTP/1.1 204 OK\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nB"};

    server.answer = answers[_i];
    start(1, LONG_TIMEOUT_US, "1");
    wait_response(1);
    start(2, LONG_TIMEOUT_US, "1");
    wait_response(2);
    ck_assert_str_ne(last_body, "B");
}
END_TEST

/* A connection on which an answer broke is not used again. */
START_TEST(test_refused_framing_is_not_reused)
{
    server.answer = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n";
    start(1, LONG_TIMEOUT_US, "1");
    wait_response(1);
    start(2, LONG_TIMEOUT_US, "1");
    wait_response(2);
    ck_assert_uint_eq(server.connections, 2);
}
END_TEST

START_TEST(test_long_answer_is_broken)
{
    static char answer[CW_BODY_MAX + TEXT_MAX];
    int         head = sprintf(answer, "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n", CW_BODY_MAX + 1);

    memset(answer + head, 'x', CW_BODY_MAX + 1);
    server.answer = answer;
    start(1, LONG_TIMEOUT_US, "1");
    wait_response(1);
    ck_assert_int_eq(last.result, CW_SERVER_BROKEN);
}
END_TEST

static bool cancellation_seen(void *context)
{
    (void)context;
    return strstr(server.last, "DELETE /control/requests/01000000-0000-7000-8000-000000000000 ") != NULL;
}

START_TEST(test_cancel_before_and_after_sending)
{
    start(1, LONG_TIMEOUT_US, "1");
    cw_backend_cancel(backend, 1);
    ck_assert_uint_eq(responses, 0);
    wait_response(1);
    ck_assert_int_eq(last.result, CW_SERVER_NOT_SENT);
    ck_assert_uint_eq(server.requests, 0);
    start(2, LONG_TIMEOUT_US, "1");
    ck_assert(cw_event_wait(&loop, request_seen, NULL));
    cw_backend_cancel(backend, 2);
    ck_assert(cw_event_wait(&loop, cancellation_seen, NULL));
    ck_assert_uint_eq(responses, 1);
}
END_TEST

static bool has_completed(void *context)
{
    (void)context;
    return completions > 0;
}

static void call(cw_server_call_kind_t kind)
{
    Cw__Fence        fence = CW__FENCE__INIT;
    Cw__Grant        grant = CW__GRANT__INIT;
    const Cw__Grant *grants[] = {&grant};
    cw_server_call_t server_call = {9, kind, &configuration, 0xfeed, 777, grants, 1, LONG_TIMEOUT_US};

    fence.generation = 1;
    fence.index = 5;
    grant.range = 65536;
    grant.last = UINT64_MAX;
    grant.fence = &fence;
    cw_backend_call(backend, &server_call);
    ck_assert(cw_event_wait(&loop, has_completed, NULL));
    ck_assert_uint_eq(completions, 1);
    ck_assert_uint_eq(completion.id, 9);
}

START_TEST(test_grant_is_written_and_read)
{
    server.answer = "HTTP/1.1 200 OK\r\ncontent-length: 144\r\n\r\n{\"accepted\":[65536],\"refused\":[1,2],"
                    "\"highest\":\"1.9\",\"incarnation\":\"000000000000feed\",\"clock_us\":5,\"lease_end_us\":777,"
                    "\"draining\":true,\"active\":2}";
    call(CW_SERVER_GRANT);
    ck_assert_int_eq(completion.error, 0);
    ck_assert_uint_eq(completion.accepted_count, 1);
    ck_assert_uint_eq(accepted[0], 65536);
    ck_assert_uint_eq(completion.refused_count, 2);
    ck_assert_uint_eq(completion.highest.index, 9);
    ck_assert_uint_eq(completion.incarnation, 0xfeed);
    ck_assert(completion.draining);
    ck_assert_ptr_nonnull(strstr(server.last, "{\"incarnation\":\"000000000000feed\",\"lease_end_us\":777,\"grants\":[{"
                                              "\"range\":65536,\"service\":\"0000000000000000\","
                                              "\"low\":\"0000000000000000\",\"last\":\"ffffffffffffffff\","
                                              "\"fence\":\"1.5\"}]}"));
}
END_TEST

START_TEST(test_control_errors)
{
    static const struct {
        cw_server_call_kind_t kind;
        const char           *answer;
        int                   error;
    } rows[] = {{CW_SERVER_GRANT, "HTTP/1.1 409 C\r\ncontent-length: 2\r\n\r\n{}", CW_ERROR_CONFLICT},
                {CW_SERVER_GRANT, "HTTP/1.1 503 U\r\ncontent-length: 0\r\n\r\n", CW_ERROR_UNAVAILABLE},
                {CW_SERVER_GRANT, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{\"inc", CW_ERROR_UNKNOWN},
                {CW_SERVER_RENEW_LEASE, NULL, CW_ERROR_UNKNOWN},
                {CW_SERVER_READ_STATE, NULL, CW_ERROR_UNAVAILABLE}};

    server.answer = rows[_i].answer;
    server.cut = true;
    call(rows[_i].kind);
    ck_assert_int_eq(completion.error, rows[_i].error);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("backend_http");
    TCase   *group = tcase_create("backend");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(group, setup, teardown);
    tcase_set_timeout(group, 60);
    tcase_add_loop_test(group, test_what_an_answer_means, 0, 15);
    tcase_add_test(group, test_request_carries_fence_and_key);
    tcase_add_test(group, test_refused_connection_is_not_sent);
    tcase_add_test(group, test_header_cannot_add_lines);
    tcase_add_test(group, test_timeout_is_broken_and_closes);
    tcase_add_test(group, test_connection_is_reused);
    tcase_add_loop_test(group, test_surplus_answer_is_never_used, 0, 3);
    tcase_add_test(group, test_refused_framing_is_not_reused);
    tcase_add_test(group, test_long_answer_is_broken);
    tcase_add_test(group, test_cancel_before_and_after_sending);
    tcase_add_test(group, test_grant_is_written_and_read);
    tcase_add_loop_test(group, test_control_errors, 0, 5);
    suite_add_tcase(suite, group);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
