/**
 * @file test_engine_stall.c
 * @brief Requests while the process does not look at its sockets: their callers leave unnoticed, and their time passes.
 *
 * The test is the caller: it uses a blocking socket, so that bytes and closes reach the node's socket while the loop
 * does not run.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/loop_stall.h"
#include "base/metrics.h"
#include "engine_fixture.h"

enum {
    TURNS = 50,     /* more turns than any request here needs from its arrival to its end */
    STALL_MS = 600, /* time for which the loop does not run */
    ANSWER_BYTES = 2048,
    CLOCK_STEP_US = 2000, /* more than a step of the loop's clock */
    SHORT_DEADLINE_MS = 300,
    LONG_DEADLINE_MS = 15000,
    MARGIN_MS = 150 /* allowed for the test's own steps before and after a stall */
};

static int connect_caller(const engine_fixture_t *fixture)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(cw_http_listener_port(fixture->front))};
    int                caller = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(inet_pton(AF_INET, "127.0.0.1", &address.sin_addr), 1);
    ck_assert_int_eq(connect(caller, (const struct sockaddr *)&address, sizeof(address)), 0);
    return caller;
}

static void send_request(int caller, const char *path, int deadline_ms)
{
    char text[256];
    int  length = snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\nHost: a.example\r\nid: r1\r\ndeadline: %d\r\n\r\n",
                           path, deadline_ms);

    ck_assert_int_eq(send(caller, text, (size_t)length, 0), length);
}

/* Returns the status of the answer that has arrived; 0: none has. */
static int received_status(int caller)
{
    char    text[ANSWER_BYTES] = "";
    ssize_t length = recv(caller, text, sizeof(text) - 1, MSG_DONTWAIT);

    ck_assert(length >= 0 || errno == EAGAIN);
    return length <= 0 ? 0 : atoi(text + strlen("HTTP/1.1 "));
}

static int run_until_answered(engine_fixture_t *fixture, int caller)
{
    int status;

    while ((status = received_status(caller)) == 0) {
        cw_test_run_some(&fixture->loop, 1);
    }
    return status;
}

static void stand_still(void)
{
    usleep(STALL_MS * 1000);
}

/* Starts an engine whose servers answer at once, with one idle connection to the first server. */
static void begin(engine_fixture_t *fixture)
{
    int caller;

    engine_fixture_init(fixture);
    ck_assert_int_eq(cw_loop_stall_begin(&fixture->loop), 0);
    fixture->servers[0].status = 200;
    fixture->servers[1].status = 200;
    caller = connect_caller(fixture);
    send_request(caller, "/safe/x", LONG_DEADLINE_MS);
    ck_assert_int_eq(run_until_answered(fixture, caller), 200);
    close(caller);
    cw_test_run_some(&fixture->loop, TURNS);
}

static void end(void)
{
    cw_loop_stall_end();
}

/* Connects a caller that has had an answer already. */
static int connect_used(engine_fixture_t *fixture)
{
    int caller = connect_caller(fixture);

    send_request(caller, "/safe/x", LONG_DEADLINE_MS);
    ck_assert_int_eq(run_until_answered(fixture, caller), 200);
    return caller;
}

static uint64_t requests_sent(void)
{
    return cw_metric_value(CW_METRIC_SENT);
}

/* Guards against: bytes and close of a caller arrive while the loop stands still, and the request is sent on before the
 * close is read. */
START_TEST(a_request_whose_caller_left_during_a_stall_is_not_sent)
{
    engine_fixture_t fixture;
    uint64_t         sent;
    int              caller;

    begin(&fixture);
    caller = connect_used(&fixture);
    sent = requests_sent();
    send_request(caller, _i == 0 ? "/safe/x" : "/once/x", LONG_DEADLINE_MS);
    close(caller);
    cw_test_run_some(&fixture.loop, TURNS);
    ck_assert_uint_eq(requests_sent(), sent);
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
    end();
}
END_TEST

/* The same on a connection that the node had not accepted. */
START_TEST(a_request_on_a_new_connection_whose_caller_left_is_not_sent)
{
    engine_fixture_t fixture;
    uint64_t         sent;
    int              caller;

    begin(&fixture);
    sent = requests_sent();
    caller = connect_caller(&fixture);
    send_request(caller, "/safe/x", LONG_DEADLINE_MS);
    close(caller);
    cw_test_run_some(&fixture.loop, TURNS);
    ck_assert_uint_eq(requests_sent(), sent);
    end();
}
END_TEST

/* Reads the clock within each turn, after connections were accepted in it. */
static void on_within_turn(uv_check_t *check)
{
    usleep(CLOCK_STEP_US);
    uv_update_time(check->loop);
}

/* Guards against: a request whose time was over before it was read runs, since the clock was read between the
 * acceptance of its connection and the end of that turn (GONE, stall_soak.sh with seed 84003). */
START_TEST(a_request_on_a_new_connection_whose_time_passed_during_a_stall_is_not_sent)
{
    engine_fixture_t fixture;
    uv_check_t       within_turn;
    uint64_t         sent;
    int              caller;

    begin(&fixture);
    (void)uv_check_init(&fixture.loop, &within_turn);
    (void)uv_check_start(&within_turn, on_within_turn);
    stand_still();
    cw_test_run_some(&fixture.loop, 1); /* the wait that ends a stall does not count as a look at the sockets */
    sent = requests_sent();
    caller = connect_caller(&fixture);
    send_request(caller, "/once/x", SHORT_DEADLINE_MS);
    stand_still();
    ck_assert_int_eq(run_until_answered(&fixture, caller), 503);
    ck_assert_uint_eq(requests_sent(), sent);
    (void)uv_check_stop(&within_turn);
    end();
}
END_TEST

/* Guards against: timers run before the sockets are read, so a request that waits in the queue is sent although its
 * caller has closed its connection. */
START_TEST(a_waiting_request_whose_caller_left_is_not_sent)
{
    engine_fixture_t fixture;
    uint64_t         sent;
    int              busy[ENGINE_FIXTURE_SERVERS];
    int              caller;

    begin(&fixture);
    fixture.servers[0].status = 0;
    fixture.servers[1].status = 0;
    fixture.servers[0].has_request = false;
    busy[0] = connect_caller(&fixture);
    busy[1] = connect_caller(&fixture);
    send_request(busy[0], "/safe/x", LONG_DEADLINE_MS);
    send_request(busy[1], "/safe/y", LONG_DEADLINE_MS);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    caller = connect_caller(&fixture);
    send_request(caller, "/safe/z", LONG_DEADLINE_MS);
    while (cw_engine_queued(fixture.engine) == 0) {
        cw_test_run_some(&fixture.loop, 1);
    }
    sent = requests_sent();
    close(caller);
    cw_server_pool_end_request(fixture.pool, (cw_server_t *)cw_server_pool_find(fixture.pool, "s0"));
    cw_engine_wake(fixture.engine); /* runs before the sockets are read */
    cw_test_run_some(&fixture.loop, TURNS);
    ck_assert_uint_eq(requests_sent(), sent);
    ck_assert_uint_eq(cw_engine_queued(fixture.engine), 0);
    end();
}
END_TEST

/* Guards against: while a new connection to the server comes up the caller leaves, and the request is written on it
 * before the close is read. */
START_TEST(a_request_whose_caller_left_while_the_node_connected_is_not_written)
{
    engine_fixture_t fixture;
    uint64_t         sent;
    uint32_t         received;
    int              caller;

    begin(&fixture);
    cw_engine_forget_server(fixture.engine, (cw_server_t *)cw_server_pool_find(fixture.pool, "s0"));
    cw_test_run_some(&fixture.loop, TURNS);
    received = fixture.servers[0].requests;
    sent = requests_sent();
    caller = connect_caller(&fixture);
    send_request(caller, "/once/x", LONG_DEADLINE_MS);
    while (requests_sent() == sent) {
        cw_test_run_some(&fixture.loop, 1);
    }
    close(caller);
    cw_test_run_some(&fixture.loop, TURNS);
    ck_assert_uint_eq(fixture.servers[0].requests, received);
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
    end();
}
END_TEST

/* Guards against: a new connection to the server comes up during a stall, and the request is written on it although its
 * time is over. */
START_TEST(a_request_whose_time_passed_while_the_node_connected_is_not_written)
{
    engine_fixture_t fixture;
    uint64_t         sent;
    uint32_t         received;
    int              caller;

    begin(&fixture);
    caller = connect_used(&fixture);
    cw_engine_forget_server(fixture.engine, (cw_server_t *)cw_server_pool_find(fixture.pool, "s0"));
    cw_test_run_some(&fixture.loop, TURNS);
    received = fixture.servers[0].requests;
    sent = requests_sent();
    send_request(caller, "/once/x", SHORT_DEADLINE_MS);
    while (requests_sent() == sent) {
        cw_test_run_some(&fixture.loop, 1);
    }
    stand_still();
    ck_assert_int_eq(run_until_answered(&fixture, caller), 503);
    cw_test_run_some(&fixture.loop, TURNS);
    ck_assert_uint_eq(fixture.servers[0].requests, received);
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
    end();
}
END_TEST

/* Guards against: the time of a request that arrived during a stall is counted from when it was read, so it runs after
 * its caller has given it up. */
START_TEST(a_request_whose_time_passed_during_a_stall_is_refused_unsent)
{
    engine_fixture_t fixture;
    uint64_t         sent;
    int              caller;

    begin(&fixture);
    caller = _i == 0 ? connect_used(&fixture) : connect_caller(&fixture);
    sent = requests_sent();
    send_request(caller, "/once/x", SHORT_DEADLINE_MS);
    stand_still();
    ck_assert_int_eq(run_until_answered(&fixture, caller), 503);
    ck_assert_uint_eq(requests_sent(), sent);
    end();
}
END_TEST

/* Guards against: a server is told more time than the caller still waits. */
START_TEST(the_time_left_counts_from_the_arrival_during_a_stall)
{
    engine_fixture_t fixture;
    int              caller;

    begin(&fixture);
    caller = _i == 0 ? connect_used(&fixture) : connect_caller(&fixture);
    send_request(caller, "/safe/x", LONG_DEADLINE_MS);
    stand_still();
    ck_assert_int_eq(run_until_answered(&fixture, caller), 200);
    ck_assert_int_le(atoi(fixture.servers[0].deadline), LONG_DEADLINE_MS - STALL_MS + MARGIN_MS);
    end();
}
END_TEST

/* A request that arrives just before the loop goes on has its whole time, however long the loop stood still. */
START_TEST(a_request_that_arrived_at_the_end_of_a_stall_is_served)
{
    engine_fixture_t fixture;
    int              caller;

    begin(&fixture);
    caller = connect_used(&fixture);
    stand_still();
    send_request(caller, "/safe/x", SHORT_DEADLINE_MS);
    ck_assert_int_eq(run_until_answered(&fixture, caller), 200);
    end();
}
END_TEST

/* Guards against: after a stall the timer of a request fires before the server's answer is read, which lies in the
 * node's socket. */
START_TEST(an_answer_that_came_during_a_stall_is_delivered)
{
    engine_fixture_t fixture;
    int              caller;

    begin(&fixture);
    caller = connect_used(&fixture);
    fixture.servers[0].status = 0;
    fixture.servers[0].has_request = false;
    send_request(caller, "/once/x", STALL_MS - MARGIN_MS);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    stand_still();
    ck_assert_int_eq(run_until_answered(&fixture, caller), 200);
    end();
}
END_TEST

static Suite *make_suite(void)
{
    Suite *suite = suite_create("engine_stall");
    TCase *cases = tcase_create("engine_stall");

    tcase_set_timeout(cases, 60);
    tcase_add_loop_test(cases, a_request_whose_caller_left_during_a_stall_is_not_sent, 0, 2);
    tcase_add_test(cases, a_request_on_a_new_connection_whose_caller_left_is_not_sent);
    tcase_add_test(cases, a_request_on_a_new_connection_whose_time_passed_during_a_stall_is_not_sent);
    tcase_add_test(cases, a_waiting_request_whose_caller_left_is_not_sent);
    tcase_add_test(cases, a_request_whose_caller_left_while_the_node_connected_is_not_written);
    tcase_add_test(cases, a_request_whose_time_passed_while_the_node_connected_is_not_written);
    tcase_add_loop_test(cases, a_request_whose_time_passed_during_a_stall_is_refused_unsent, 0, 2);
    tcase_add_loop_test(cases, the_time_left_counts_from_the_arrival_during_a_stall, 0, 2);
    tcase_add_test(cases, a_request_that_arrived_at_the_end_of_a_stall_is_served);
    tcase_add_test(cases, an_answer_that_came_during_a_stall_is_delivered);
    suite_add_tcase(suite, cases);
    return suite;
}

int main(void)
{
    return cw_test_main(make_suite());
}
