/**
 * @file test_denials.c
 * @brief Guards against a refusal of a request that has run: a server's denial is taken for the attempt that it is
 * about only.
 *
 * A server answers twice, the second time in the place of the next answer on the connection; or its denial names no
 * request, or another one. The requests may not be repeated.
 */
#include <stdio.h>
#include <string.h>

#include "proxy/request_rules.h"
#include "scripted_engine.h"

enum { ANSWER_AFTER_MS = 30 /* time of a run */ };

static const char denial[] = "not-run: 1";

/** An engine, and the only server of its service. */
typedef struct fixture {
    scripted_engine_t      scripted;
    int                    denial_status;
    const char            *denial_field; /**< field of denials; NULL: none */
    bool                   denies_first; /**< each first attempt is denied */
    bool                   names_second; /**< denials that are sent a second time name their request */
    bool                   owes_second;  /**< a denial is to be sent a second time, before the next answer */
    char                   denied[SCRIPTED_ID_BYTES]; /**< latest request that was denied */
    uint32_t               owing_connection;          /**< connection of that denial */
    uint32_t               runs;
    uint32_t               runs_beside_second; /**< runs during which a denial was sent a second time */
    scripted_connection_t *running;            /**< connection of a run that is not answered yet */
} fixture_t;

static void deny(fixture_t *fixture, scripted_connection_t *connection)
{
    snprintf(fixture->denied, sizeof(fixture->denied), "%s", connection->id);
    fixture->owes_second = true;
    fixture->owing_connection = connection->number;
    scripted_answer(connection, fixture->denial_status, connection->id, fixture->denial_field, "");
}

/* Begins to run the request; the test answers it later. */
static void on_request(void *context, scripted_connection_t *connection)
{
    fixture_t *fixture = context;

    if (fixture->denies_first && strcmp(fixture->denied, connection->id) != 0) {
        deny(fixture, connection);
        return;
    }
    fixture->runs++;
    fixture->running = connection;
    if (fixture->owes_second && fixture->owing_connection == connection->number) {
        fixture->owes_second = false;
        fixture->runs_beside_second++;
        scripted_answer(connection, fixture->denial_status, fixture->names_second ? fixture->denied : NULL,
                        fixture->denial_field, "");
    }
}

static void init(fixture_t *fixture, uint32_t max_attempts)
{
    memset(fixture, 0, sizeof(*fixture));
    scripted_engine_begin(&fixture->scripted, max_attempts, on_request, fixture);
    fixture->denial_status = 503;
    fixture->denial_field = denial;
    fixture->names_second = true;
}

static bool is_running_or_answered(void *context)
{
    fixture_t *fixture = context;

    return fixture->running != NULL || fixture->scripted.engine.answered;
}

/* Sends a request and ends each of its runs with 200 after a while. Returns the caller's status. */
static int ask(fixture_t *fixture, const char *id)
{
    engine_fixture_t *engine = &fixture->scripted.engine;

    fixture->running = NULL;
    scripted_engine_ask(&fixture->scripted, id);
    while (!engine->answered) {
        cw_test_run_until(&engine->loop, is_running_or_answered, fixture);
        engine_fixture_run_for(engine, CW_MS(ANSWER_AFTER_MS));
        if (fixture->running != NULL && !engine->answered) {
            scripted_answer(fixture->running, 200, id, "signature: s", "ok");
            fixture->running = NULL;
        }
        cw_test_run_some(&engine->loop, 1);
    }
    return engine->status;
}

/* The request ran once at most, and was refused only if it did not run. */
static void expect_promise_kept(const fixture_t *fixture, int status, uint32_t runs)
{
    ck_assert_uint_eq(fixture->runs, runs);
    ck_assert_msg(runs == 0 || !cw_status_promises_not_run(status), "answered %d after %u runs", status, runs);
}

/* The caller got 503 for a request that ran: its second attempt went over the connection of the first one, and the
 * first one's denial came once more. */
static void second_denial(int status)
{
    fixture_t fixture;
    int       answered;

    init(&fixture, 2);
    fixture.denies_first = true;
    fixture.denial_status = status;
    answered = ask(&fixture, "r1");
    expect_promise_kept(&fixture, answered, 1);
    ck_assert_int_eq(answered, 200);
}

START_TEST(a_denial_that_comes_twice_does_not_refuse_the_attempt_that_runs)
{
    second_denial(503);
}
END_TEST

START_TEST(a_misdirected_answer_that_comes_twice_does_not_refuse_the_attempt_that_runs)
{
    second_denial(421);
}
END_TEST

/* With attempts left the same denial made the request run twice. */
START_TEST(a_denial_that_comes_twice_does_not_make_a_request_run_twice)
{
    fixture_t fixture;
    int       answered;

    init(&fixture, 3);
    fixture.denies_first = true;
    answered = ask(&fixture, "r1");
    expect_promise_kept(&fixture, answered, 1);
    ck_assert_int_eq(answered, 200);
}
END_TEST

/* The caller got 503 for a request that ran: the denial of another request came once more, without its id. */
static void unnamed_denial(const char *field, int status)
{
    fixture_t fixture;

    init(&fixture, 1);
    ck_assert_int_eq(ask(&fixture, "r1"), 200);
    fixture.denial_status = status;
    fixture.denial_field = field;
    fixture.names_second = false;
    fixture.owes_second = true;
    fixture.owing_connection = 1;
    expect_promise_kept(&fixture, ask(&fixture, "r2"), 2);
    ck_assert_uint_eq(fixture.runs_beside_second, 1);
}

START_TEST(a_denial_without_an_id_in_the_place_of_an_answer_denies_nothing)
{
    unnamed_denial(denial, 503);
}
END_TEST

START_TEST(a_400_without_an_id_in_the_place_of_an_answer_denies_nothing)
{
    unnamed_denial(denial, 400);
}
END_TEST

START_TEST(a_421_without_an_id_in_the_place_of_an_answer_denies_nothing)
{
    unnamed_denial(denial, 421);
}
END_TEST

/* Of the server itself, on a connection of its own: only the field says that it was not run. */
START_TEST(a_421_that_does_not_say_that_it_was_not_run_is_no_promise)
{
    fixture_t fixture;
    int       answered;

    init(&fixture, 1);
    fixture.denies_first = true;
    fixture.denial_status = 421;
    fixture.denial_field = NULL;
    answered = ask(&fixture, "r1");
    ck_assert(!cw_status_promises_not_run(answered));
}
END_TEST

START_TEST(a_denial_of_another_request_denies_nothing)
{
    fixture_t fixture;

    init(&fixture, 1);
    ck_assert_int_eq(ask(&fixture, "r1"), 200);
    snprintf(fixture.denied, sizeof(fixture.denied), "r1");
    fixture.owes_second = true;
    fixture.owing_connection = 1;
    ck_assert_int_eq(ask(&fixture, "r2"), 200);
    ck_assert_uint_eq(fixture.runs, 2);
    ck_assert_uint_eq(fixture.runs_beside_second, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("denials");
    TCase *cases = tcase_create("denials");

    tcase_add_test(cases, a_denial_that_comes_twice_does_not_refuse_the_attempt_that_runs);
    tcase_add_test(cases, a_misdirected_answer_that_comes_twice_does_not_refuse_the_attempt_that_runs);
    tcase_add_test(cases, a_denial_that_comes_twice_does_not_make_a_request_run_twice);
    tcase_add_test(cases, a_denial_without_an_id_in_the_place_of_an_answer_denies_nothing);
    tcase_add_test(cases, a_400_without_an_id_in_the_place_of_an_answer_denies_nothing);
    tcase_add_test(cases, a_421_without_an_id_in_the_place_of_an_answer_denies_nothing);
    tcase_add_test(cases, a_421_that_does_not_say_that_it_was_not_run_is_no_promise);
    tcase_add_test(cases, a_denial_of_another_request_denies_nothing);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
