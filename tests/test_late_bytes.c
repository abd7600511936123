/**
 * @file test_late_bytes.c
 * @brief Checks, on the kernel of this machine, of what docs/design/ends-of-holds.md rests on: which bytes of an order
 * reach a server after the sender has given it up.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "assignment/order.h"
#include "loop_fixture.h"
#include "net/http_upstream.h"

enum { BODY_BYTES = 8 * 1024 * 1024, RECEIVE_BUFFER_BYTES = 4096, ORDER_TIMEOUT_MS = CW_ORDER_TIMEOUT_MS };

typedef struct fixture {
    uv_loop_t             loop;
    cw_upstream_t        *upstream;
    cw_upstream_target_t *target;
    int                   listener; /**< of a server that does not run until the test accepts */
    bool                  called_back;
    cw_upstream_result_t  result;
} fixture_t;

static void init(fixture_t *fixture)
{
    cw_upstream_options_t options = {
        .idle_max = CW_SECONDS(20), .unacknowledged = CW_MS(ORDER_TIMEOUT_MS), .reset_on_abandon = true};
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t          length = sizeof(address);
    int                size = RECEIVE_BUFFER_BYTES;
    char               text[32];

    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    fixture->upstream = cw_upstream_create(&fixture->loop, &options);
    fixture->listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(setsockopt(fixture->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)), 0);
    ck_assert_int_eq(bind(fixture->listener, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(fixture->listener, 8), 0);
    ck_assert_int_eq(getsockname(fixture->listener, (struct sockaddr *)&address, &length), 0);
    snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
    fixture->target = cw_upstream_target_create(fixture->upstream, text);
}

static void on_answered(void *context, const cw_upstream_answer_t *answer)
{
    fixture_t *fixture = context;

    fixture->called_back = true;
    fixture->result = answer->result;
}

/* Sends a request with this body, waits until its sender gives up, and lets the connection end. */
static void call_until_given_up(fixture_t *fixture, const char *body, size_t body_length)
{
    static const char     head[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n";
    cw_upstream_request_t request = {.bytes = head,
                                     .length = sizeof(head) - 1,
                                     .body = body,
                                     .body_length = body_length,
                                     .uses_new_connection = true,
                                     .connect_timeout = CW_MS(ORDER_TIMEOUT_MS),
                                     .timeout = CW_MS(ORDER_TIMEOUT_MS),
                                     .answer_max = 1000};

    ck_assert_ptr_nonnull(cw_upstream_call(fixture->target, &request, on_answered, fixture));
    cw_test_run_until_set(&fixture->loop, &fixture->called_back);
    cw_upstream_target_release(fixture->target);
    cw_test_run_some(&fixture->loop, 10);
}

/* The server goes on: it accepts the connection and reads all that comes, until the connection ends. */
static size_t read_all(const fixture_t *fixture)
{
    static char   buffer[65536];
    int           accepted = accept(fixture->listener, NULL, NULL);
    size_t        total = 0;
    ssize_t       length;
    struct pollfd readable = {.fd = accepted, .events = POLLIN};

    ck_assert_int_ge(accepted, 0);
    while (poll(&readable, 1, -1) > 0 && (length = recv(accepted, buffer, sizeof(buffer), 0)) > 0) {
        total += (size_t)length;
    }
    close(accepted);
    return total;
}

/* A server that stands still takes an order seconds after the sender's wait has ended and its connection was reset. */
START_TEST(bytes_of_a_reset_connection_are_read_when_the_server_goes_on)
{
    fixture_t fixture;

    init(&fixture);
    call_until_given_up(&fixture, "order", 5);
    ck_assert_int_eq(fixture.result, CW_UPSTREAM_TIMED_OUT); /* connected and sent, though no process has accepted */
    ck_assert_uint_gt(read_all(&fixture), 5);
    close(fixture.listener);
}
END_TEST

/* Starts a process that sends an order whose bytes the server's kernel does not take all, and kills it. */
static void send_and_be_killed(fixture_t *fixture)
{
    static char   body[BODY_BYTES];
    struct pollfd connected = {.fd = fixture->listener, .events = POLLIN};
    pid_t         sender = fork();

    ck_assert_int_ge(sender, 0);
    if (sender == 0) {
        uv_loop_fork(&fixture->loop);
        call_until_given_up(fixture, body, sizeof(body));
        _exit(EXIT_FAILURE); /* it was not killed in time */
    }
    ck_assert_int_eq(poll(&connected, 1, -1), 1);
    uv_sleep(ORDER_TIMEOUT_MS / 3); /* it writes as soon as it is connected */
    ck_assert_int_eq(kill(sender, SIGKILL), 0);
    ck_assert_int_eq(waitpid(sender, NULL, 0), sender);
}

/* Guards against OWNER: a leader was killed right after it had written a grant, and its kernel delivered it up to
 * seconds later, when the next leader counted it as arrived long before. */
START_TEST(bytes_of_a_killed_sender_that_were_not_acknowledged_in_time_never_leave)
{
    fixture_t fixture;

    init(&fixture);
    send_and_be_killed(&fixture);
    uv_sleep(2 * ORDER_TIMEOUT_MS);
    ck_assert_uint_lt(read_all(&fixture), 16 * RECEIVE_BUFFER_BYTES);
    close(fixture.listener);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("late_bytes");
    TCase *cases = tcase_create("late_bytes");

    tcase_add_test(cases, bytes_of_a_reset_connection_are_read_when_the_server_goes_on);
    tcase_add_test(cases, bytes_of_a_killed_sender_that_were_not_acknowledged_in_time_never_leave);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
