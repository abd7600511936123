/**
 * @file test_cutter.c
 * @brief Tests of the cutting relay on one loop: an echo server behind it, a caller in front.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../bench/cutter/relay.h"
#include "cedarwinch/error.h"

enum {
    IDLE_TURNS = 200, /* turns of the loop in which everything that can happen without time passing has happened */
    BUFFER_SIZE = 65536,
    BIG = 3 * 1024 * 1024
};

typedef struct caller {
    uv_tcp_t     tcp;
    uv_connect_t connect;
    uv_write_t   write;
    size_t       received;
    bool         connected;
    bool         closed;
} caller_t;

typedef struct echo {
    uv_write_t write;
    char       bytes[BUFFER_SIZE];
} echo_t;

static uv_loop_t       loop;
static uv_tcp_t        echo_listener;
static cw_tcp_relay_t *relay;
static char            read_buffer[BUFFER_SIZE];

static void give_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_echo_written(uv_write_t *write, int status)
{
    (void)status;
    free(write->data);
}

static void on_echo_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    echo_t  *echo;
    uv_buf_t copy;

    if (length < 0) {
        uv_close((uv_handle_t *)stream, (uv_close_cb)free);
        return;
    }
    echo = calloc(1, sizeof(*echo));
    memcpy(echo->bytes, buffer->base, (size_t)length);
    echo->write.data = echo;
    copy = uv_buf_init(echo->bytes, (unsigned)length);
    uv_write(&echo->write, stream, &copy, 1, on_echo_written);
}

static void on_echo_connection(uv_stream_t *listener, int status)
{
    uv_tcp_t *tcp = calloc(1, sizeof(*tcp));

    ck_assert_int_eq(status, 0);
    uv_tcp_init(&loop, tcp);
    uv_accept(listener, (uv_stream_t *)tcp);
    uv_read_start((uv_stream_t *)tcp, give_buffer, on_echo_read);
}

static void setup(void)
{
    struct sockaddr_in any;
    struct sockaddr_in target;
    int                length = sizeof(target);

    uv_loop_init(&loop);
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_init(&loop, &echo_listener);
    ck_assert_int_eq(uv_tcp_bind(&echo_listener, (struct sockaddr *)&any, 0), 0);
    ck_assert_int_eq(uv_listen((uv_stream_t *)&echo_listener, 8, on_echo_connection), 0);
    uv_tcp_getsockname(&echo_listener, (struct sockaddr *)&target, &length);
    ck_assert_int_eq(cw_tcp_relay_create(&relay, &loop, &any, &target), CW_OK);
}

static void on_answer(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    caller_t *caller = stream->data;

    (void)buffer;
    if (length < 0) {
        caller->closed = true;
        uv_read_stop(stream);
        return;
    }
    caller->received += (size_t)length;
}

static void on_connected(uv_connect_t *connect, int status)
{
    caller_t *caller = connect->data;

    ck_assert_int_eq(status, 0);
    caller->connected = true;
    uv_read_start((uv_stream_t *)&caller->tcp, give_buffer, on_answer);
}

static void call(caller_t *caller)
{
    struct sockaddr_in address;

    memset(caller, 0, sizeof(*caller));
    uv_ip4_addr("127.0.0.1", cw_tcp_relay_port(relay), &address);
    uv_tcp_init(&loop, &caller->tcp);
    caller->tcp.data = caller;
    caller->connect.data = caller;
    uv_tcp_connect(&caller->connect, &caller->tcp, (struct sockaddr *)&address, on_connected);
    while (!caller->connected) {
        uv_run(&loop, UV_RUN_ONCE);
    }
}

static void send_bytes(caller_t *caller, size_t length)
{
    static char bytes[BIG];
    uv_buf_t    buffer = uv_buf_init(bytes, (unsigned)length);

    ck_assert_int_eq(uv_write(&caller->write, (uv_stream_t *)&caller->tcp, &buffer, 1, NULL), 0);
}

static void wait_received(caller_t *caller, size_t length)
{
    while (caller->received < length) {
        ck_assert(!caller->closed);
        uv_run(&loop, UV_RUN_ONCE);
    }
}

static void run_until_idle(void)
{
    int turn;

    for (turn = 0; turn < IDLE_TURNS; turn++) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
}

static void set(bool to_target, bool to_source, uint32_t delay_ms)
{
    cw_relay_condition_t condition = {.held = {to_target, to_source}, .delay_ms = delay_ms};

    cw_tcp_relay_set_condition(relay, &condition);
}

START_TEST(bytes_pass_whole)
{
    caller_t caller;

    call(&caller);
    send_bytes(&caller, BIG);
    wait_received(&caller, BIG);
    ck_assert_uint_eq(cw_tcp_relay_statistics(relay)->bytes[CW_TO_SOURCE], BIG);
}
END_TEST

START_TEST(cut_holds_until_healed)
{
    caller_t caller;
    caller_t later;

    call(&caller);
    send_bytes(&caller, 5);
    wait_received(&caller, 5);
    set(true, true, 0);
    send_bytes(&caller, 7);
    call(&later);
    send_bytes(&later, 3);
    run_until_idle();
    ck_assert_uint_eq(cw_tcp_relay_statistics(relay)->bytes[CW_TO_TARGET], 5);
    ck_assert_uint_eq(caller.received, 5);
    set(false, false, 0);
    wait_received(&caller, 12);
    wait_received(&later, 3);
}
END_TEST

START_TEST(one_way_holds_answers_only)
{
    caller_t caller;

    call(&caller);
    set(false, true, 0);
    send_bytes(&caller, 7);
    while (cw_tcp_relay_statistics(relay)->bytes[CW_TO_TARGET] < 7) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    run_until_idle();
    ck_assert_uint_eq(caller.received, 0);
    set(false, false, 0);
    wait_received(&caller, 7);
}
END_TEST

START_TEST(delay_takes_time_and_keeps_order)
{
    enum { DELAY_MS = 30 };
    caller_t caller;
    uint64_t start_ms;

    call(&caller);
    set(false, false, DELAY_MS);
    uv_update_time(&loop);
    start_ms = uv_now(&loop);
    send_bytes(&caller, 7);
    wait_received(&caller, 7);
    ck_assert_uint_ge(uv_now(&loop) - start_ms, 2 * DELAY_MS); /* there and back */
}
END_TEST

START_TEST(reset_closes_and_refuses)
{
    cw_relay_condition_t refusing = {.refuse = true};
    caller_t             caller;
    caller_t             later;

    call(&caller);
    send_bytes(&caller, 5);
    wait_received(&caller, 5);
    cw_tcp_relay_set_condition(relay, &refusing);
    cw_tcp_relay_reset(relay);
    call(&later);
    while (!caller.closed || !later.closed || cw_tcp_relay_statistics(relay)->open > 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_tcp_relay_statistics(relay)->accepted, 1);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("cutter");
    TCase   *tests = tcase_create("relay");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_test(tests, bytes_pass_whole);
    tcase_add_test(tests, cut_holds_until_healed);
    tcase_add_test(tests, one_way_holds_answers_only);
    tcase_add_test(tests, delay_takes_time_and_keeps_order);
    tcase_add_test(tests, reset_closes_and_refuses);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
