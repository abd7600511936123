/**
 * @file test_platform_http.c
 * @brief Platform adapter: what became of reads and writes, the watch of objects, the machine list.
 */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "common/event_wait.h"

enum { TEXT_MAX = 512 };

static uv_loop_t             loop;
static cw_platform_t        *platform;
static cw_raw_server_t       server;
static size_t                completions;
static cw_store_completion_t completion;
static char                  found[TEXT_MAX];
static char                  events[TEXT_MAX];
static size_t                lists;
static size_t                polls;
static size_t                machine_lists;

static void on_completed(void *context, const cw_store_completion_t *result)
{
    size_t index;
    size_t length = 0;

    (void)context;
    completions++;
    completion = *result;
    for (index = 0; index < result->object_count; index++) {
        length += (size_t)snprintf(found + length, TEXT_MAX - length, "%s=%d:%.*s;", result->objects[index].name,
                                   (int)result->objects[index].version, (int)result->objects[index].value_length,
                                   (const char *)result->objects[index].value);
    }
}

static void on_changed(void *context, const char *name, uint64_t version)
{
    (void)context;
    snprintf(events + strlen(events), TEXT_MAX - strlen(events), "%s=%d;", name, (int)version);
}

static void on_machine(void *context, const char *name, const char *state)
{
    (void)context;
    snprintf(events + strlen(events), TEXT_MAX - strlen(events), "%s:%s;", name, state);
}

static void setup(void)
{
    cw_platform_callbacks_t callbacks = {NULL, on_completed, on_changed, on_machine};
    uint16_t                port;

    signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop);
    port = cw_raw_server_start(&server, &loop);
    ck_assert_int_eq(cw_platform_create(&platform, &loop, "127.0.0.1", port, &callbacks), 0);
}

static bool no_connection(void *context)
{
    (void)context;
    return server.open_connections == 0;
}

static void teardown(void)
{
    cw_platform_free(platform);
    cw_raw_server_stop(&server);
    ck_assert(cw_event_wait(&loop, no_connection, NULL));
    ck_assert(cw_event_drain(&loop));
}

static bool has_completed(void *context)
{
    (void)context;
    return completions > 0;
}

static void run(cw_store_operation_t operation, uint64_t expected_version)
{
    cw_store_request_t request = {7, operation, "cedarwinch/a b", "value", 5, expected_version};

    cw_platform_store(platform, &request);
    ck_assert_uint_eq(completions, 0);
    ck_assert(cw_event_wait(&loop, has_completed, NULL));
    ck_assert_uint_eq(completions, 1);
    ck_assert_uint_eq(completion.id, 7);
}

#define OK_4    "HTTP/1.1 200 OK\r\nx-version: 4\r\ncontent-length: 3\r\n\r\nabc"
#define NOTHING "\r\ncontent-length: 0\r\n\r\n"

START_TEST(test_what_became_of_a_request)
{
    static const struct {
        cw_store_operation_t operation;
        const char          *answer; /* the connection is cut behind it */
        int                  error;
        uint64_t             version;
    } rows[] = {
        {CW_STORE_WRITE, OK_4, 0, 4},
        {CW_STORE_WRITE, "HTTP/1.1 412 P\r\nx-version: 9" NOTHING, CW_ERROR_CONFLICT, 9},
        {CW_STORE_WRITE, "HTTP/1.1 503 U" NOTHING, CW_ERROR_UNAVAILABLE, 0},
        {CW_STORE_WRITE, "HTTP/1.1 500 E" NOTHING, CW_ERROR_UNKNOWN, 0},
        {CW_STORE_WRITE, "HTTP/1.1 200 OK" NOTHING, CW_ERROR_UNKNOWN, 0},
        {CW_STORE_WRITE, NULL, CW_ERROR_UNKNOWN, 0},
        {CW_STORE_READ, OK_4, 0, 4},
        {CW_STORE_READ, "HTTP/1.1 404 N" NOTHING, CW_ERROR_NOT_FOUND, 0},
        {CW_STORE_READ, "HTTP/1.1 200 OK\r\nx-version: 4\r\ncontent-length: 9\r\n\r\nabc", CW_ERROR_UNAVAILABLE, 0},
        {CW_STORE_READ, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", CW_ERROR_UNAVAILABLE, 0},
        {CW_STORE_READ, NULL, CW_ERROR_UNAVAILABLE, 0},
        {CW_STORE_LIST, OK_4, CW_ERROR_UNAVAILABLE, 0}};

    server.answer = rows[_i].answer;
    server.cut = true;
    run(rows[_i].operation, 3);
    ck_assert_int_eq(completion.error, rows[_i].error);
    ck_assert_uint_eq(completion.version, rows[_i].version);
    ck_assert_uint_eq(server.requests, 1);
}
END_TEST

START_TEST(test_refused_connection_is_unavailable)
{
    cw_raw_server_stop(&server);
    uv_run(&loop, UV_RUN_NOWAIT);
    run(CW_STORE_WRITE, 3);
    ck_assert_int_eq(completion.error, CW_ERROR_UNAVAILABLE);
    memset(&server, 0, sizeof(server));
    cw_raw_server_start(&server, &loop);
}
END_TEST

/* The store stays silent: after two seconds a write is unknown, a read unavailable. */
START_TEST(test_silence)
{
    run(_i == 0 ? CW_STORE_WRITE : CW_STORE_READ, 3);
    ck_assert_int_eq(completion.error, _i == 0 ? CW_ERROR_UNKNOWN : CW_ERROR_UNAVAILABLE);
}
END_TEST

START_TEST(test_write_carries_its_condition)
{
    server.answer = OK_4;
    run(CW_STORE_WRITE, _i == 0 ? 0 : 12);
    ck_assert_ptr_nonnull(strstr(server.last, "PUT /objects/cedarwinch/a%20b HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(strstr(server.last, _i == 0 ? "\r\nif-none-match: *\r\n" : "\r\nif-match: 12\r\n"));
    ck_assert_ptr_null(strstr(server.last, _i == 0 ? "if-match" : "if-none-match"));
    ck_assert_ptr_nonnull(strstr(server.last, "\r\n\r\nvalue"));
}
END_TEST

START_TEST(test_read_and_list)
{
    server.answer = _i == 0 ? OK_4
                            : "HTTP/1.1 200 OK\r\ncontent-length: 76\r\n\r\n"
                              "{\"revision\":5,\"objects\":[{\"name\":\"x\",\"version\":1},"
                              "{\"name\":\"y\",\"version\":2}]}";
    run(_i == 0 ? CW_STORE_READ : CW_STORE_LIST, 0);
    ck_assert_int_eq(completion.error, 0);
    ck_assert_str_eq(found, _i == 0 ? "cedarwinch/a b=4:abc;" : "x=1:;y=2:;");
}
END_TEST

static const char *json_answer(const char *json)
{
    static char text[TEXT_MAX];

    snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n%s", strlen(json), json);
    return text;
}

/* A store that has one object at first, changes it, is restarted empty-handed, then has nothing new. */
static const char *choose(const char *request)
{
    if (strstr(request, "GET /machines ") == request) {
        machine_lists++;
        return json_answer(machine_lists == 1 ? "{\"machines\":[{\"name\":\"m\",\"state\":\"leaving\"}]}"
                                              : "{\"machines\":[]}");
    }
    if (strstr(request, "GET /objects?prefix=config/ ") == request) {
        lists++;
        return json_answer(lists == 1 ? "{\"revision\":5,\"objects\":[{\"name\":\"o\",\"version\":5}]}"
                                      : "{\"revision\":2,\"objects\":[{\"name\":\"o\",\"version\":2}]}");
    }
    polls++;
    if (polls == 1) {
        return json_answer(strstr(request, "&since=5&") != NULL
                               ? "{\"revision\":6,\"objects\":[{\"name\":\"o\",\"version\":6}]}"
                               : "{}");
    }
    return polls == 2 ? json_answer("{\"revision\":1,\"objects\":[]}") : NULL;
}

static bool watch_settled(void *context)
{
    (void)context;
    return polls >= 3 && strstr(events, "m:gone;") != NULL;
}

START_TEST(test_watch)
{
    const char *objects[] = {"o=5;", "o=6;", "o=2;"};
    const char *position = events;
    size_t      index;

    server.choose = choose;
    cw_platform_watch(platform, true);
    ck_assert(cw_event_wait(&loop, watch_settled, NULL));
    for (index = 0; index < 3; index++) {
        position = strstr(position, objects[index]);
        ck_assert_msg(position != NULL, "no '%s' in '%s'", objects[index], events);
    }
    ck_assert_ptr_nonnull(strstr(events, "m:leaving;"));
    ck_assert_uint_eq(lists, 2);
    cw_platform_watch(platform, false);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("platform_http");
    TCase   *group = tcase_create("platform");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(group, setup, teardown);
    tcase_set_timeout(group, 60);
    tcase_add_loop_test(group, test_what_became_of_a_request, 0, 12);
    tcase_add_test(group, test_refused_connection_is_unavailable);
    tcase_add_loop_test(group, test_silence, 0, 2);
    tcase_add_loop_test(group, test_write_carries_its_condition, 0, 2);
    tcase_add_loop_test(group, test_read_and_list, 0, 2);
    tcase_add_test(group, test_watch);
    suite_add_tcase(suite, group);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
