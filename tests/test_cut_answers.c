/**
 * @file test_cut_answers.c
 * @brief Guards against an answer that is relayed as a whole one though its server broke it off: heads and bodies cut
 * at every byte, by a close and by a reset, from a server and from another node.
 */
#include <stdio.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "scripted_engine.h"

enum { STATUS_BAD_GATEWAY = 502, NODE_ADDRESS = 9 };

/** How the end of the answer's body is told. */
typedef enum framing { FRAMING_LENGTH, FRAMING_CHUNKS, FRAMING_CLOSE } framing_t;

/** An engine, and the server or node whose answers are cut. */
typedef struct fixture {
    scripted_engine_t scripted;
    scripted_server_t node;   /**< another node, if requests go by way of one */
    cw_bytes_t        answer; /**< the whole answer to the latest request */
    size_t            head_length;
    size_t            cut;        /**< bytes that are sent */
    bool              with_reset; /**< the connection ends by a reset */
    bool              ends;       /**< the connection ends after these bytes */
    framing_t         framing;
    cw_delegate_t     delegate;
} fixture_t;

static const char body[] = "the whole body";

static void write_answer(fixture_t *fixture, const char *id)
{
    static const char *const ends[] = {[FRAMING_LENGTH] = "Content-Length: 14\r\n\r\n",
                                       [FRAMING_CHUNKS] = "Transfer-Encoding: chunked\r\n\r\n",
                                       [FRAMING_CLOSE] = "Connection: close\r\n\r\n"};

    fixture->answer.length = 0;
    cw_bytes_append_format(&fixture->answer, "HTTP/1.1 200 OK\r\nid: %s\r\nsignature: s\r\n%s: answered s0\r\n%s", id,
                           cw_delegation_outcome_field, ends[fixture->framing]);
    fixture->head_length = fixture->answer.length;
    if (fixture->framing == FRAMING_CHUNKS) {
        cw_bytes_append_format(&fixture->answer, "4\r\n%.4s\r\na\r\n%s\r\n0\r\n\r\n", body, body + 4);
    } else {
        cw_bytes_append_text(&fixture->answer, body);
    }
}

static void on_request(void *context, scripted_connection_t *connection)
{
    fixture_t *fixture = context;

    write_answer(fixture, connection->id);
    scripted_send(connection, fixture->answer.data,
                  fixture->cut < fixture->answer.length ? fixture->cut : fixture->answer.length);
    if (fixture->ends) {
        scripted_end(connection, fixture->with_reset);
    }
}

static cw_delegate_t *choose(void *context, uint32_t service, uint32_t except)
{
    fixture_t *fixture = context;

    (void)service;
    (void)except;
    return &fixture->delegate;
}

static void record_failure(void *context, cw_delegate_t *delegate)
{
    (void)context;
    (void)delegate;
}

/* Requests go by way of another node, since this one reaches no server. */
static void pass_on(fixture_t *fixture)
{
    engine_fixture_t    *engine = &fixture->scripted.engine;
    cw_service_paths_t  *paths = cw_service_paths_create();
    cw_delegation_port_t port = {.context = fixture, .node = "origin", .choose = choose, .failed = record_failure};
    uint32_t             service = cw_server_pool_find(engine->pool, "s0")->service_hash;

    scripted_server_start(&fixture->node, &engine->loop, on_request, fixture);
    fixture->delegate = (cw_delegate_t){.address = NODE_ADDRESS, .incarnation = 77, .node = "n9"};
    fixture->delegate.connections = cw_upstream_target_create(engine->upstream, fixture->node.address);
    cw_engine_set_paths(engine->engine, paths);
    cw_engine_set_delegation(engine->engine, &port);
    cw_service_paths_of(paths, service)->are_lost = true;
    cw_engine_paths_changed(engine->engine, service);
}

static void init(fixture_t *fixture, framing_t framing, bool over_hop)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->framing = framing;
    scripted_engine_begin(&fixture->scripted, 1, on_request, fixture);
    if (over_hop) {
        pass_on(fixture);
    }
}

/* Sends a request whose answer is cut there; returns the caller's status. */
static int ask(fixture_t *fixture, size_t cut, bool with_reset, bool ends)
{
    char id[32];

    fixture->cut = cut;
    fixture->with_reset = with_reset;
    fixture->ends = ends;
    snprintf(id, sizeof(id), "r%03zu-%d", cut, with_reset ? 1 : 0);
    scripted_engine_ask(&fixture->scripted, id);
    cw_test_run_until_set(&fixture->scripted.engine.loop, &fixture->scripted.engine.answered);
    return fixture->scripted.engine.status;
}

/* Bytes from which on the answer counts as whole if the connection is closed there. */
static size_t whole_from(const fixture_t *fixture)
{
    return fixture->framing == FRAMING_CLOSE ? fixture->head_length : fixture->answer.length;
}

/* No answer that is cut is relayed as a success. */
static void expect_no_cut_answer(framing_t framing, bool with_reset, bool over_hop)
{
    fixture_t fixture;
    size_t    cut;

    init(&fixture, framing, over_hop);
    write_answer(&fixture, "r000-0"); /* ids are of one length */
    for (cut = 0; cut < (with_reset ? fixture.answer.length : whole_from(&fixture)); cut++) {
        int status = ask(&fixture, cut, with_reset, true);

        ck_assert_msg(status == STATUS_BAD_GATEWAY, "answered %d for an answer that was cut after %zu bytes", status,
                      cut);
        write_answer(&fixture, "r000-0");
    }
    ck_assert_uint_gt(cut, strlen("HTTP/1.1 200 OK"));
}

START_TEST(an_answer_of_a_stated_length_that_is_closed_early_is_no_success)
{
    expect_no_cut_answer(FRAMING_LENGTH, false, _i == 1);
}
END_TEST

START_TEST(an_answer_of_a_stated_length_that_is_reset_early_is_no_success)
{
    expect_no_cut_answer(FRAMING_LENGTH, true, _i == 1);
}
END_TEST

START_TEST(an_answer_in_chunks_that_is_closed_early_is_no_success)
{
    expect_no_cut_answer(FRAMING_CHUNKS, false, _i == 1);
}
END_TEST

START_TEST(an_answer_in_chunks_that_is_reset_early_is_no_success)
{
    expect_no_cut_answer(FRAMING_CHUNKS, true, _i == 1);
}
END_TEST

START_TEST(an_answer_without_a_length_that_is_closed_in_its_head_is_no_success)
{
    expect_no_cut_answer(FRAMING_CLOSE, false, _i == 1);
}
END_TEST

START_TEST(an_answer_without_a_length_that_is_reset_is_no_success)
{
    expect_no_cut_answer(FRAMING_CLOSE, true, _i == 1);
}
END_TEST

START_TEST(a_whole_answer_is_relayed)
{
    static const framing_t framings[] = {FRAMING_LENGTH, FRAMING_CHUNKS, FRAMING_CLOSE};
    size_t                 index;

    for (index = 0; index < sizeof(framings) / sizeof(framings[0]); index++) {
        fixture_t fixture;

        init(&fixture, framings[index], _i == 1);
        ck_assert_int_eq(ask(&fixture, SIZE_MAX, false, framings[index] == FRAMING_CLOSE), 200);
        ck_assert_str_eq(fixture.scripted.engine.body.data, body);
    }
}
END_TEST

int main(void)
{
    enum { WAYS = 2 /* 0: from the server, 1: by way of another node */ };

    Suite *suite = suite_create("cut answers");
    TCase *cases = tcase_create("cut");

    tcase_add_loop_test(cases, an_answer_of_a_stated_length_that_is_closed_early_is_no_success, 0, WAYS);
    tcase_add_loop_test(cases, an_answer_of_a_stated_length_that_is_reset_early_is_no_success, 0, WAYS);
    tcase_add_loop_test(cases, an_answer_in_chunks_that_is_closed_early_is_no_success, 0, WAYS);
    tcase_add_loop_test(cases, an_answer_in_chunks_that_is_reset_early_is_no_success, 0, WAYS);
    tcase_add_loop_test(cases, an_answer_without_a_length_that_is_closed_in_its_head_is_no_success, 0, WAYS);
    tcase_add_loop_test(cases, an_answer_without_a_length_that_is_reset_is_no_success, 0, WAYS);
    tcase_add_loop_test(cases, a_whole_answer_is_relayed, 0, WAYS);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
