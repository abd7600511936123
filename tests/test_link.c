/**
 * @file test_link.c
 * @brief The fault-injecting proxy between programs (standins/link): effect of each fault on sockets of the test.
 *
 * Tests check that data does not pass by means of data that is sent after it: datagrams to one node are read in
 * order, and a round trip over another connection takes the proxy more than one turn of its event loop.
 */
#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <libgen.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/time.h"

enum {
    WAIT_MS = 10000, /* timeout for expected data: far longer than a busy machine needs */
    REPLY_MAX = 64,
    DATAGRAMS = 100
};

static pid_t    proxy;
static FILE    *to_proxy;
static FILE    *from_proxy;
static char     reply[REPLY_MAX];
static uint16_t ports[6]; /* for each of n1, n2, n3 the port known to others and the port it binds */
static int      nodes[3];
static int      listener; /* socket of the server s */
static uint16_t link_port;

/* ---- the proxy ---- */

static void program_path(char *path, size_t size)
{
    char    own[1024];
    ssize_t length = readlink("/proc/self/exe", own, sizeof(own) - 1);

    ck_assert_int_gt(length, 0);
    own[length] = '\0';
    snprintf(path, size, "%s/../cw-link", dirname(own));
}

static void start_proxy(void)
{
    char path[1100];
    int  input[2];
    int  output[2];

    program_path(path, sizeof(path));
    ck_assert_int_eq(pipe(input), 0);
    ck_assert_int_eq(pipe(output), 0);
    proxy = fork();
    if (proxy == 0) {
        (void)dup2(input[0], STDIN_FILENO);
        (void)dup2(output[1], STDOUT_FILENO);
        (void)close(input[1]);
        (void)close(output[0]);
        (void)execl(path, "cw-link", "--seed", "7", (char *)NULL);
        _exit(127);
    }
    (void)close(input[0]);
    (void)close(output[1]);
    to_proxy = fdopen(input[1], "w");
    from_proxy = fdopen(output[0], "r");
}

static const char *command(const char *line)
{
    fprintf(to_proxy, "%s\n", line);
    (void)fflush(to_proxy);
    ck_assert_ptr_nonnull(fgets(reply, sizeof(reply), from_proxy));
    reply[strcspn(reply, "\n")] = '\0';
    return reply;
}

/* ---- sockets ---- */

static struct sockaddr_in loopback_address(uint16_t port)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET, .sin_port = htons(port)};

    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return socket_address;
}

static int bind_any(int type, uint16_t *port)
{
    struct sockaddr_in socket_address = loopback_address(0);
    socklen_t          length = sizeof(socket_address);
    int                descriptor = socket(AF_INET, type, 0);

    ck_assert_int_eq(bind(descriptor, (const struct sockaddr *)&socket_address, sizeof(socket_address)), 0);
    ck_assert_int_eq(getsockname(descriptor, (struct sockaddr *)&socket_address, &length), 0);
    *port = ntohs(socket_address.sin_port);
    return descriptor;
}

static uint16_t free_port(int type)
{
    uint16_t port;

    (void)close(bind_any(type, &port));
    return port;
}

static bool is_readable(int descriptor, int wait_ms)
{
    struct pollfd polled = {.fd = descriptor, .events = POLLIN};

    return poll(&polled, 1, wait_ms) == 1;
}

static int connect_to(uint16_t port)
{
    struct sockaddr_in socket_address = loopback_address(port);
    int                descriptor = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(connect(descriptor, (const struct sockaddr *)&socket_address, sizeof(socket_address)), 0);
    return descriptor;
}

/* Opens a connection through the proxy: `near` is the client's side, `far` the server's. */
static void open_pair(int *near, int *far)
{
    *near = connect_to(link_port);
    ck_assert(is_readable(listener, WAIT_MS));
    *far = accept(listener, NULL, NULL);
    ck_assert_int_ge(*far, 0);
}

static void send_text(int descriptor, const char *text)
{
    ck_assert_int_eq(write(descriptor, text, strlen(text)), (ssize_t)strlen(text));
}

static void expect_text(int descriptor, const char *expected)
{
    char   text[REPLY_MAX];
    size_t length = 0;

    while (length < strlen(expected)) {
        ssize_t more;

        ck_assert(is_readable(descriptor, WAIT_MS));
        more = read(descriptor, text + length, sizeof(text) - 1 - length);
        ck_assert_int_gt(more, 0);
        length += (size_t)more;
    }
    text[length] = '\0';
    ck_assert_str_eq(text, expected);
}

static void round_trip(int near, int far)
{
    send_text(near, "there");
    expect_text(far, "there");
    send_text(far, "back");
    expect_text(near, "back");
}

/* ---- datagrams ---- */

static void send_datagram(int from, int to, const char *text)
{
    struct sockaddr_in socket_address = loopback_address(ports[2 * to]);

    ck_assert_int_eq(
        sendto(nodes[from], text, strlen(text), 0, (const struct sockaddr *)&socket_address, sizeof(socket_address)),
        (ssize_t)strlen(text));
}

/* Receives a datagram and returns the index of its sender, identified by the port known to others. */
static int receive_datagram(int node, char *text, size_t size)
{
    struct sockaddr_in sender = {0};
    socklen_t          sender_length = sizeof(sender);
    ssize_t            length;
    int                from = 0;

    ck_assert(is_readable(nodes[node], WAIT_MS));
    length = recvfrom(nodes[node], text, size - 1, 0, (struct sockaddr *)&sender, &sender_length);
    ck_assert_int_ge(length, 0);
    text[length] = '\0';
    while (from < 3 && ports[2 * from] != ntohs(sender.sin_port)) {
        from++;
    }
    ck_assert_int_lt(from, 3);
    return from;
}

static void expect_datagram(int node, int from, const char *expected)
{
    char text[REPLY_MAX];

    ck_assert_int_eq(receive_datagram(node, text, sizeof(text)), from);
    ck_assert_str_eq(text, expected);
}

static void setup(void)
{
    char     line[128];
    uint16_t server_port;
    int      node;

    start_proxy();
    for (node = 0; node < 3; node++) {
        nodes[node] = bind_any(SOCK_DGRAM, &ports[2 * node + 1]);
        ports[2 * node] = free_port(SOCK_DGRAM);
        snprintf(line, sizeof(line), "end n%d %s", node + 1, node < 2 ? "west" : "east");
        ck_assert_str_eq(command(line), "ok");
        snprintf(line, sizeof(line), "node n%d 127.0.0.1:%u 127.0.0.1:%u", node + 1, ports[2 * node],
                 ports[2 * node + 1]);
        ck_assert_str_eq(command(line), "ok");
    }
    listener = bind_any(SOCK_STREAM, &server_port);
    ck_assert_int_eq(listen(listener, 16), 0);
    link_port = free_port(SOCK_STREAM);
    ck_assert_str_eq(command("end s servers"), "ok");
    ck_assert_str_eq(command("end callers callers"), "ok");
    snprintf(line, sizeof(line), "link callers s 127.0.0.1:%u 127.0.0.1:%u", link_port, server_port);
    ck_assert_str_eq(command(line), "ok");
}

static void teardown(void)
{
    int status;

    (void)fclose(to_proxy);
    ck_assert_int_eq(waitpid(proxy, &status, 0), proxy);
    ck_assert_int_eq(status, 0);
    (void)fclose(from_proxy);
}

/* ---- tests ---- */

START_TEST(invalid_commands_are_refused)
{
    ck_assert_int_eq(strncmp(command("cut n1"), "error ", 6), 0);
    ck_assert_int_eq(strncmp(command("cut n1 n9"), "error ", 6), 0);
    ck_assert_int_eq(strncmp(command("lose n1 n2 101"), "error ", 6), 0);
    ck_assert_int_eq(strncmp(command("delay n1 n2 soon"), "error ", 6), 0);
    ck_assert_int_eq(strncmp(command("end n1 west"), "error ", 6), 0);
    ck_assert_int_eq(strncmp(command(""), "error ", 6), 0);
    ck_assert_str_eq(command("heal"), "ok");
}
END_TEST

START_TEST(a_datagram_comes_from_the_known_address)
{
    send_datagram(0, 1, "a");
    expect_datagram(1, 0, "a");
    send_datagram(1, 0, "b");
    expect_datagram(0, 1, "b");
}
END_TEST

START_TEST(a_cut_stops_datagrams_in_both_directions)
{
    ck_assert_str_eq(command("cut west n3"), "ok");
    send_datagram(0, 2, "lost");
    send_datagram(2, 1, "lost");
    send_datagram(0, 1, "passes");
    expect_datagram(1, 0, "passes");
    ck_assert_str_eq(command("heal"), "ok");
    send_datagram(0, 2, "again");
    expect_datagram(2, 0, "again");
}
END_TEST

START_TEST(a_one_way_cut_stops_one_direction)
{
    ck_assert_str_eq(command("cut-one-way n1 n2"), "ok");
    send_datagram(0, 1, "lost");
    send_datagram(2, 1, "passes");
    expect_datagram(1, 2, "passes");
    send_datagram(1, 0, "passes");
    expect_datagram(0, 1, "passes");
}
END_TEST

/* Sends DATAGRAMS datagrams and returns which were lost, as text: '.' received, '*' lost. */
static void send_draws(char *lost)
{
    char text[REPLY_MAX];
    int  number;

    memset(lost, '*', DATAGRAMS);
    lost[DATAGRAMS] = '\0';
    for (number = 0; number < DATAGRAMS; number++) {
        snprintf(text, sizeof(text), "%d", number);
        send_datagram(0, 1, text);
    }
    send_datagram(2, 1, "end");
    while (receive_datagram(1, text, sizeof(text)) != 2) {
        lost[atoi(text)] = '.';
    }
}

START_TEST(lost_datagrams_are_determined_by_the_seed)
{
    char first[DATAGRAMS + 1];
    char second[DATAGRAMS + 1];

    ck_assert_str_eq(command("lose n1 n2 50"), "ok");
    send_draws(first);
    ck_assert_ptr_nonnull(strchr(first, '*'));
    ck_assert_ptr_nonnull(strchr(first, '.'));
    teardown();
    setup();
    ck_assert_str_eq(command("lose n1 n2 50"), "ok");
    send_draws(second);
    ck_assert_str_eq(first, second);
}
END_TEST

START_TEST(datagrams_are_duplicated)
{
    ck_assert_str_eq(command("double n1 n2 100"), "ok");
    send_datagram(0, 1, "a");
    expect_datagram(1, 0, "a");
    expect_datagram(1, 0, "a");
}
END_TEST

START_TEST(datagrams_are_reordered)
{
    char text[REPLY_MAX];
    int  last = -1;
    int  backwards = 0;
    int  number;

    ck_assert_str_eq(command("reorder n1 n2 30"), "ok");
    for (number = 0; number < DATAGRAMS; number++) {
        snprintf(text, sizeof(text), "%d", number);
        send_datagram(0, 1, text);
    }
    for (number = 0; number < DATAGRAMS; number++) {
        ck_assert_int_eq(receive_datagram(1, text, sizeof(text)), 0);
        backwards += atoi(text) < last ? 1 : 0;
        last = atoi(text);
    }
    ck_assert_int_gt(backwards, 0);
}
END_TEST

START_TEST(a_cut_holds_bytes_until_it_is_healed)
{
    int near;
    int far;
    int other_near;
    int other_far;

    open_pair(&near, &far);
    round_trip(near, far);
    ck_assert_str_eq(command("cut-one-way callers s"), "ok");
    send_text(near, "held");
    send_text(far, "back");
    expect_text(near, "back");
    open_pair(&other_near, &other_far);
    send_text(other_far, "back");
    expect_text(other_near, "back");
    ck_assert(!is_readable(far, 0));
    ck_assert_str_eq(command("heal"), "ok");
    expect_text(far, "held");
}
END_TEST

START_TEST(an_open_connection_stalls_and_a_new_one_works)
{
    int near;
    int far;
    int new_near;
    int new_far;

    open_pair(&near, &far);
    round_trip(near, far);
    ck_assert_str_eq(command("stall callers s"), "ok 1");
    send_text(near, "held");
    open_pair(&new_near, &new_far);
    round_trip(new_near, new_far);
    ck_assert(!is_readable(far, 0));
    ck_assert(!is_readable(near, 0));
    ck_assert_str_eq(command("heal"), "ok");
    expect_text(far, "held");
}
END_TEST

START_TEST(an_open_connection_is_reset)
{
    char byte;
    int  near;
    int  far;

    open_pair(&near, &far);
    round_trip(near, far);
    ck_assert_str_eq(command("reset s callers"), "ok 1");
    ck_assert(is_readable(near, WAIT_MS));
    ck_assert_int_eq(read(near, &byte, 1), -1);
    ck_assert_int_eq(errno, ECONNRESET);
    open_pair(&near, &far);
    round_trip(near, far);
}
END_TEST

START_TEST(the_end_of_one_side_is_forwarded_after_its_bytes)
{
    char byte;
    int  near;
    int  far;

    open_pair(&near, &far);
    send_text(near, "last");
    ck_assert_int_eq(shutdown(near, SHUT_WR), 0);
    expect_text(far, "last");
    ck_assert(is_readable(far, WAIT_MS));
    ck_assert_int_eq(read(far, &byte, 1), 0);
    send_text(far, "answer");
    expect_text(near, "answer");
}
END_TEST

START_TEST(a_connection_reset_during_a_cut_passes_nothing_after_healing)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    char          byte;
    int           near;
    int           far;

    open_pair(&near, &far);
    round_trip(near, far);
    ck_assert_str_eq(command("cut callers s"), "ok");
    send_text(near, "held");
    ck_assert_int_eq(setsockopt(near, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once)), 0);
    ck_assert_int_eq(close(near), 0);
    ck_assert_str_eq(command("heal"), "ok");
    ck_assert(is_readable(far, WAIT_MS));
    ck_assert_int_eq(read(far, &byte, 1), -1);
    ck_assert_int_eq(errno, ECONNRESET);
}
END_TEST

static cw_time_us_t now(void)
{
    struct timespec time;

    (void)clock_gettime(CLOCK_MONOTONIC, &time);
    return CW_SECONDS(time.tv_sec) + time.tv_nsec / 1000;
}

START_TEST(bytes_and_datagrams_are_delayed)
{
    cw_time_us_t began;
    int          near;
    int          far;

    open_pair(&near, &far);
    ck_assert_str_eq(command("delay all all 60"), "ok");
    began = now();
    send_datagram(0, 1, "a");
    expect_datagram(1, 0, "a");
    ck_assert_int_gt(now() - began, CW_MS(50));
    began = now();
    round_trip(near, far);
    ck_assert_int_gt(now() - began, CW_MS(100));
}
END_TEST

START_TEST(bytes_are_throttled)
{
    cw_time_us_t began;
    int          near;
    int          far;

    open_pair(&near, &far);
    ck_assert_str_eq(command("throttle callers s 100"), "ok");
    began = now();
    send_text(near, "twenty bytes of text");
    expect_text(far, "twenty bytes of text");
    ck_assert_int_gt(now() - began, CW_MS(150));
}
END_TEST

START_TEST(a_connection_belongs_to_the_end_of_its_process)
{
    char line[64];
    int  near;
    int  far;

    snprintf(line, sizeof(line), "process n1 %d", (int)getpid());
    ck_assert_str_eq(command(line), "ok");
    open_pair(&near, &far);
    round_trip(near, far);
    ck_assert_str_eq(command("stall callers s"), "ok 0");
    ck_assert_str_eq(command("stall n1 s"), "ok 1");
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("link");
    TCase   *cases = tcase_create("link");
    SRunner *runner;
    int      failed;

    tcase_set_timeout(cases, 30);
    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, invalid_commands_are_refused);
    tcase_add_test(cases, a_datagram_comes_from_the_known_address);
    tcase_add_test(cases, a_cut_stops_datagrams_in_both_directions);
    tcase_add_test(cases, a_one_way_cut_stops_one_direction);
    tcase_add_test(cases, lost_datagrams_are_determined_by_the_seed);
    tcase_add_test(cases, datagrams_are_duplicated);
    tcase_add_test(cases, datagrams_are_reordered);
    tcase_add_test(cases, a_cut_holds_bytes_until_it_is_healed);
    tcase_add_test(cases, an_open_connection_stalls_and_a_new_one_works);
    tcase_add_test(cases, an_open_connection_is_reset);
    tcase_add_test(cases, a_connection_reset_during_a_cut_passes_nothing_after_healing);
    tcase_add_test(cases, the_end_of_one_side_is_forwarded_after_its_bytes);
    tcase_add_test(cases, bytes_and_datagrams_are_delayed);
    tcase_add_test(cases, bytes_are_throttled);
    tcase_add_test(cases, a_connection_belongs_to_the_end_of_its_process);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
