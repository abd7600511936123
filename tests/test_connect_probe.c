/**
 * @file test_connect_probe.c
 * @brief What a probe of a port says of the process that listens there, or is just ending.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_fixture.h"
#include "net/connect_probe.h"

enum { PROBE_TIMEOUT_MS = 2000, BACKLOG = 8 };

/** A port of the loopback interface that accepts connections. */
typedef struct port {
    int  listener;
    char address[32];
} port_t;

static port_t listen_at_port(void)
{
    port_t             port = {.listener = socket(AF_INET, SOCK_STREAM, 0)};
    struct sockaddr_in own = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t          length = sizeof(own);

    ck_assert_int_eq(bind(port.listener, (struct sockaddr *)&own, sizeof(own)), 0);
    ck_assert_int_eq(listen(port.listener, BACKLOG), 0);
    ck_assert_int_eq(getsockname(port.listener, (struct sockaddr *)&own, &length), 0);
    snprintf(port.address, sizeof(port.address), "127.0.0.1:%u", (unsigned)ntohs(own.sin_port));
    return port;
}

static void record_result(void *context, cw_probe_result_t result)
{
    *(cw_probe_result_t *)context = result;
}

/* Begins a probe, closes the listener before the loop turns if asked to, and returns the result. */
static cw_probe_result_t probe(const port_t *port, bool closes_meanwhile)
{
    cw_probe_result_t result = CW_PROBE_UNKNOWN;
    uv_loop_t         loop;

    uv_loop_init(&loop);
    ck_assert_int_eq(cw_connect_probe(&loop, port->address, CW_MS(PROBE_TIMEOUT_MS), record_result, &result), 0);
    if (closes_meanwhile) {
        close(port->listener);
    }
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
    return result;
}

START_TEST(listening_process)
{
    port_t port = listen_at_port();

    ck_assert_int_eq(probe(&port, false), CW_PROBE_CONNECTED);
    close(port.listener);
}
END_TEST

START_TEST(ended_process)
{
    port_t port = listen_at_port();

    close(port.listener);
    ck_assert_int_eq(probe(&port, false), CW_PROBE_REFUSED);
}
END_TEST

/* Guards against a crashed server that is never found: its port took the connection, and reset it when the process's
 * listener closed, which was counted as no answer and not tried again (process/crashing_request.sh). */
START_TEST(process_that_ends_meanwhile)
{
    port_t port = listen_at_port();

    ck_assert_int_eq(probe(&port, true), CW_PROBE_RESET);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("connect_probe");
    TCase *results = tcase_create("results");

    tcase_add_test(results, listening_process);
    tcase_add_test(results, ended_process);
    tcase_add_test(results, process_that_ends_meanwhile);
    suite_add_tcase(suite, results);
    return cw_test_main(suite);
}
