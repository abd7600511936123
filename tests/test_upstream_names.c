/**
 * @file test_upstream_names.c
 * @brief Guards against an answer that is taken for that of another call: which calls may share a connection, and which
 * answers a call takes, by the name that answers echo.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "net/http_upstream.h"
#include "scripted_server.h"

enum { TIMEOUT_S = 20, NAMES = 20 };

/** A client and a server. Requests are answered at once: by `extra`, if set, and then under the name `echoed`. */
typedef struct fixture {
    uv_loop_t             loop;
    cw_upstream_t        *upstream;
    cw_upstream_target_t *target;
    scripted_server_t     server;
    const char           *extra;       /**< name of an answer before the one to the request; NULL: it names none */
    bool                  sends_extra; /**< sent before the next answer */
    bool                  leaves_out;  /**< answers name no request */
    bool                  is_answered;
    bool                  is_first;
    bool                  names_request;
    uint32_t              discarded;
    uint64_t              connection;
    int                   status;
} fixture_t;

static void on_request(void *context, scripted_connection_t *connection)
{
    fixture_t *fixture = context;

    if (fixture->sends_extra) {
        fixture->sends_extra = false;
        scripted_answer(connection, 503, fixture->extra, NULL, "");
    }
    scripted_answer(connection, 200, fixture->leaves_out ? NULL : connection->id, NULL, "ok");
}

static void init(fixture_t *fixture)
{
    cw_upstream_options_t options = {.idle_max = CW_SECONDS(TIMEOUT_S)};

    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    fixture->upstream = cw_upstream_create(&fixture->loop, &options);
    scripted_server_start(&fixture->server, &fixture->loop, on_request, fixture);
    fixture->target = cw_upstream_target_create(fixture->upstream, fixture->server.address);
}

static void on_answered(void *context, const cw_upstream_answer_t *answer)
{
    fixture_t *fixture = context;

    ck_assert_int_eq(answer->result, CW_UPSTREAM_ANSWERED);
    fixture->is_answered = true;
    fixture->is_first = answer->is_first;
    fixture->names_request = answer->names_request;
    fixture->discarded = answer->discarded;
    fixture->connection = answer->connection;
    fixture->status = answer->status;
}

/* name: NULL: the call has none. */
static void call(fixture_t *fixture, const char *name)
{
    char                  text[128];
    cw_upstream_request_t request = {.bytes = text,
                                     .connect_timeout = CW_SECONDS(TIMEOUT_S),
                                     .timeout = CW_SECONDS(TIMEOUT_S),
                                     .answer_max = 1000,
                                     .match_name = "id",
                                     .match_value = name,
                                     .is_match_required = true};

    request.length = (size_t)snprintf(text, sizeof(text), "GET / HTTP/1.1\r\nHost: a\r\n%s%s%s\r\n",
                                      name == NULL ? "" : "id: ", name == NULL ? "" : name, name == NULL ? "" : "\r\n");
    fixture->is_answered = false;
    ck_assert_ptr_nonnull(cw_upstream_call(fixture->target, &request, on_answered, fixture));
    cw_test_run_until_set(&fixture->loop, &fixture->is_answered);
}

START_TEST(calls_of_one_name_never_share_a_connection)
{
    fixture_t fixture;

    init(&fixture);
    call(&fixture, "r1");
    ck_assert(fixture.is_first);
    call(&fixture, "r2");
    ck_assert(!fixture.is_first);
    ck_assert_uint_eq(fixture.connection, 1);
    call(&fixture, "r1");
    ck_assert(fixture.is_first);
    ck_assert_uint_eq(fixture.connection, 2);
}
END_TEST

/* Connections piled up at a server while a caller gave all its requests one name. */
START_TEST(calls_of_one_name_do_not_pile_up_connections)
{
    fixture_t fixture;
    int       number;

    init(&fixture);
    for (number = 0; number < NAMES; number++) {
        call(&fixture, "r1");
        ck_assert(fixture.is_first);
        ck_assert_uint_eq(cw_upstream_target_idle(fixture.target), 1);
    }
}
END_TEST

START_TEST(calls_of_many_names_share_a_connection)
{
    fixture_t fixture;
    char      name[16];
    int       number;

    init(&fixture);
    for (number = 0; number < NAMES; number++) {
        snprintf(name, sizeof(name), "r%d", number);
        call(&fixture, name);
    }
    ck_assert_uint_eq(cw_upstream_opened(fixture.upstream), 1);
}
END_TEST

START_TEST(an_answer_without_a_name_in_the_place_of_the_next_is_discarded)
{
    fixture_t fixture;

    init(&fixture);
    call(&fixture, "r1");
    fixture.sends_extra = true;
    call(&fixture, "r2");
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(fixture.discarded, 1);
    ck_assert_uint_eq(cw_upstream_target_idle(fixture.target), 0);
}
END_TEST

START_TEST(an_answer_with_another_name_is_discarded)
{
    fixture_t fixture;

    init(&fixture);
    call(&fixture, "r1");
    fixture.sends_extra = true;
    fixture.extra = "r1";
    call(&fixture, "r2");
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(fixture.discarded, 1);
}
END_TEST

/* A server that never echoes names gets one call on a connection: then each answer is the first one there. */
START_TEST(a_connection_is_kept_only_after_an_answer_with_the_name)
{
    fixture_t fixture;

    init(&fixture);
    fixture.leaves_out = true;
    call(&fixture, "r1");
    ck_assert(fixture.is_first);
    ck_assert(!fixture.names_request);
    ck_assert_uint_eq(cw_upstream_target_idle(fixture.target), 0);
    call(&fixture, "r2");
    ck_assert(fixture.is_first);
}
END_TEST

START_TEST(a_call_without_a_name_has_a_connection_of_its_own)
{
    fixture_t fixture;

    init(&fixture);
    call(&fixture, "r1");
    call(&fixture, NULL);
    ck_assert(fixture.is_first);
    ck_assert_uint_eq(fixture.connection, 2);
    ck_assert_uint_eq(cw_upstream_target_idle(fixture.target), 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("names of calls");
    TCase *cases = tcase_create("names");

    tcase_add_test(cases, calls_of_one_name_never_share_a_connection);
    tcase_add_test(cases, calls_of_one_name_do_not_pile_up_connections);
    tcase_add_test(cases, calls_of_many_names_share_a_connection);
    tcase_add_test(cases, an_answer_without_a_name_in_the_place_of_the_next_is_discarded);
    tcase_add_test(cases, an_answer_with_another_name_is_discarded);
    tcase_add_test(cases, a_connection_is_kept_only_after_an_answer_with_the_name);
    tcase_add_test(cases, a_call_without_a_name_has_a_connection_of_its_own);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
