/**
 * @file test_own_answers.c
 * @brief Guards against pages of other programs that pass for a server's answer: a caller takes for done what never
 * ran.
 *
 * A faulty server sends such a page in the place of an answer, with a status of its own, with or without the request's
 * id, and never with the server's signature.
 */
#include <stdio.h>
#include <string.h>

#include "base/metrics.h"
#include "proxy/request_rules.h"
#include "scripted_engine.h"

static const char page_text[] = "<html>It works!</html>";

/** An engine, and the only server of its service: it sends one page, then answers. */
typedef struct fixture {
    scripted_engine_t scripted;
    int               page_status;
    bool              page_names_request;
    const char       *page_field; /**< field line of the page; NULL: none */
    uint32_t          pages_left;
    uint32_t          page_connection;  /**< connection of the last page */
    uint32_t          later_connection; /**< connection of the last request that was answered */
} fixture_t;

static void on_request(void *context, scripted_connection_t *connection)
{
    fixture_t *fixture = context;

    if (fixture->pages_left > 0) {
        fixture->pages_left--;
        fixture->page_connection = connection->number;
        scripted_answer(connection, fixture->page_status, fixture->page_names_request ? connection->id : NULL,
                        fixture->page_field, page_text);
        return;
    }
    fixture->later_connection = connection->number;
    scripted_answer(connection, 200, connection->id, "signature: s0", "ok");
}

static void init(fixture_t *fixture, int page_status, bool page_names_request)
{
    memset(fixture, 0, sizeof(*fixture));
    scripted_engine_begin(&fixture->scripted, 3, on_request, fixture);
    fixture->page_status = page_status;
    fixture->page_names_request = page_names_request;
    fixture->pages_left = 1;
}

static int ask(fixture_t *fixture, const char *id)
{
    engine_fixture_t *engine = &fixture->scripted.engine;

    scripted_engine_ask(&fixture->scripted, id);
    cw_test_run_until_set(&engine->loop, &engine->answered);
    return engine->status;
}

/* The caller got the page, as the answer to a request that may not be repeated. Whether it ran is not known. */
static void expect_page_kept(int page_status, bool page_names_request, const char *page_field)
{
    fixture_t fixture;
    int       answered;

    init(&fixture, page_status, page_names_request);
    fixture.page_field = page_field;
    answered = ask(&fixture, "r1");
    ck_assert_int_eq(answered, 502);
    ck_assert_ptr_null(
        strstr(fixture.scripted.engine.body.data == NULL ? "" : fixture.scripted.engine.body.data, "works"));
    ck_assert_uint_eq(fixture.scripted.server.requests, 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_SERVED), 0);
}

START_TEST(a_page_with_the_requests_id_is_no_answer)
{
    expect_page_kept(200, true, NULL);
}
END_TEST

START_TEST(a_page_on_a_new_connection_is_no_answer)
{
    expect_page_kept(200, false, NULL);
}
END_TEST

START_TEST(a_page_with_an_empty_signature_is_no_answer)
{
    expect_page_kept(200, true, "signature: ");
}
END_TEST

START_TEST(another_success_without_a_signature_is_no_answer)
{
    expect_page_kept(206, true, NULL);
}
END_TEST

/* The caller took a request that was never read for one that has no route. */
START_TEST(a_404_without_a_signature_is_no_answer)
{
    expect_page_kept(404, false, NULL);
    expect_page_kept(404, true, NULL);
}
END_TEST

START_TEST(a_500_that_neither_is_signed_nor_names_the_request_is_no_answer)
{
    expect_page_kept(500, false, NULL);
}
END_TEST

/* With the server's signature, too: the status is none that an answer has. */
START_TEST(an_answer_whose_status_is_none_does_not_reach_the_caller)
{
    expect_page_kept(0, true, "signature: s0");
    expect_page_kept(99, true, "signature: s0");
    expect_page_kept(600, true, "signature: s0");
    expect_page_kept(999, true, "signature: s0");
}
END_TEST

/* The caller asked for no encoding. */
START_TEST(a_body_with_an_encoding_does_not_reach_the_caller)
{
    expect_page_kept(200, true, "signature: s0\r\nContent-Encoding: gzip");
}
END_TEST

START_TEST(a_servers_own_failure_is_relayed)
{
    fixture_t fixture;

    init(&fixture, 500, true);
    ck_assert_int_eq(ask(&fixture, "r1"), 500);
    init(&fixture, 500, false);
    fixture.page_field = "signature: s0";
    ck_assert_int_eq(ask(&fixture, "r1"), 500);
}
END_TEST

/* Bytes that belong to no request may follow the page. */
START_TEST(a_connection_that_brought_a_page_carries_no_further_request)
{
    fixture_t fixture;

    init(&fixture, 200, true);
    ck_assert_int_eq(ask(&fixture, "r1"), 502);
    ck_assert_int_eq(ask(&fixture, "r2"), 200);
    ck_assert_uint_ne(fixture.later_connection, fixture.page_connection);
}
END_TEST

START_TEST(a_server_that_sends_pages_only_is_avoided)
{
    fixture_t    fixture;
    cw_server_t *server;
    char         id[16];
    uint32_t     number;

    init(&fixture, 200, true);
    fixture.pages_left = 8;
    for (number = 0; number < 8; number++) {
        snprintf(id, sizeof(id), "r%u", number);
        ck_assert(ask(&fixture, id) != 200);
    }
    server = cw_server_pool_find(fixture.scripted.engine.pool, "s0");
    ck_assert_uint_gt(server->spoiled, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("own answers");
    TCase *cases = tcase_create("pages");

    tcase_add_test(cases, a_page_with_the_requests_id_is_no_answer);
    tcase_add_test(cases, a_page_on_a_new_connection_is_no_answer);
    tcase_add_test(cases, a_page_with_an_empty_signature_is_no_answer);
    tcase_add_test(cases, another_success_without_a_signature_is_no_answer);
    tcase_add_test(cases, a_404_without_a_signature_is_no_answer);
    tcase_add_test(cases, a_500_that_neither_is_signed_nor_names_the_request_is_no_answer);
    tcase_add_test(cases, an_answer_whose_status_is_none_does_not_reach_the_caller);
    tcase_add_test(cases, a_body_with_an_encoding_does_not_reach_the_caller);
    tcase_add_test(cases, a_servers_own_failure_is_relayed);
    tcase_add_test(cases, a_connection_that_brought_a_page_carries_no_further_request);
    tcase_add_test(cases, a_server_that_sends_pages_only_is_avoided);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
