/**
 * @file test_spoiled_answers.c
 * @brief Servers that spoil each of their answers are avoided, for a growing time; lone spoiled answers change nothing.
 */
#include <stdio.h>
#include <string.h>

#include "balance/slot_broker.h"
#include "balance/spoiled_answers.h"
#include "endless_server.h"
#include "engine_fixture.h"

static const cw_time_us_t         start = CW_SECONDS(50);
static const cw_choice_settings_t settings = {.zone_penalty = 0.7};

/* ---- the pool ---- */

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

/* Creates a pool of the first `count` of the servers a, b and c, with two slots each. */
static cw_server_pool_t *new_pool(size_t count)
{
    static const char *const ids[] = {"a", "b", "c"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);
    cw_server_list_t        *list = cw_server_list_create();
    size_t                   index;

    for (index = 0; index < count; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        entry->id = strdup(ids[index]);
        entry->service = strdup("docks");
        entry->address = strdup(ids[index]);
        entry->zone = strdup("z1");
        entry->capacity = 2;
    }
    cw_server_list_seal(list);
    cw_server_pool_update(pool, list, start);
    cw_server_list_release(list);
    return pool;
}

/* The server spoils answers. Returns whether it is avoided since the last of them. */
static bool spoil(cw_server_pool_t *pool, const char *id, size_t answers, cw_time_us_t now)
{
    bool is_avoided = false;

    while (answers-- > 0) {
        is_avoided = cw_server_pool_record_spoiled(pool, cw_server_pool_find(pool, id), now);
    }
    return is_avoided;
}

static cw_time_us_t avoided_for(cw_server_pool_t *pool, const char *id, cw_time_us_t now)
{
    cw_time_us_t until = cw_server_pool_find(pool, id)->avoid_until;

    return until > now ? until - now : 0;
}

static void serve(cw_server_pool_t *pool, const char *id)
{
    cw_server_pool_record_served(cw_server_pool_find(pool, id), CW_MS(10), CW_MS(10), start);
}

/* True if the server is among those chosen until all slots are taken. The requests stay in flight. */
static bool is_chosen(cw_server_pool_t *pool, const char *id, cw_time_us_t now)
{
    const cw_server_t *server;
    bool               full;
    bool               found = false;

    while ((server = cw_server_pool_choose(pool, "docks", &settings, NULL, now, &full)) != NULL) {
        found = found || strcmp(server->id, id) == 0;
        cw_server_pool_begin_request((cw_server_t *)server, now);
    }
    return found;
}

START_TEST(a_server_that_spoils_several_answers_in_a_row_is_avoided)
{
    cw_server_pool_t *pool = new_pool(3);

    ck_assert(!spoil(pool, "a", CW_SPOILED_MAX - 1, start));
    ck_assert_int_eq(avoided_for(pool, "a", start), 0);
    ck_assert(spoil(pool, "a", 1, start));
    ck_assert_int_gt(avoided_for(pool, "a", start), 0);
    ck_assert(!is_chosen(pool, "a", start));
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(it_is_avoided_for_a_growing_time_and_gets_single_requests_after_it)
{
    cw_server_pool_t *pool = new_pool(3);
    cw_time_us_t      now = start;
    cw_time_us_t      last = 0;
    size_t            index;

    (void)spoil(pool, "a", CW_SPOILED_MAX, now);
    for (index = 0; index < 2; index++) {
        cw_time_us_t time = avoided_for(pool, "a", now);

        ck_assert_int_gt(time, last);
        last = time;
        now += time;
        ck_assert(!spoil(pool, "a", 1, now)); /* it was avoided before: this is not reported again */
    }
    now += avoided_for(pool, "a", now);
    ck_assert(is_chosen(pool, "a", now));
    ck_assert_uint_eq(cw_server_pool_find(pool, "a")->own, 1);
    ck_assert_uint_eq(cw_server_pool_find(pool, "b")->own, 2);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(a_whole_answer_ends_it)
{
    cw_server_pool_t *pool = new_pool(3);

    (void)spoil(pool, "a", CW_SPOILED_MAX, start);
    serve(pool, "a");
    ck_assert_int_eq(avoided_for(pool, "a", start), 0);
    ck_assert(!spoil(pool, "a", CW_SPOILED_MAX - 1, start));
    ck_assert(is_chosen(pool, "a", start));
    ck_assert_uint_eq(cw_server_pool_find(pool, "a")->own, 2);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(lone_spoiled_answers_change_nothing)
{
    cw_server_pool_t *pool = new_pool(3);
    size_t            index;

    for (index = 0; index < 100; index++) {
        ck_assert(!spoil(pool, "a", CW_SPOILED_MAX - 1, start));
        serve(pool, "a");
    }
    ck_assert_int_eq(avoided_for(pool, "a", start), 0);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(if_all_spoil_none_is_avoided)
{
    cw_server_pool_t *pool = new_pool(3);

    ck_assert(spoil(pool, "a", CW_SPOILED_MAX, start));
    ck_assert(spoil(pool, "b", CW_SPOILED_MAX, start));
    ck_assert(!spoil(pool, "c", CW_SPOILED_MAX, start));
    ck_assert_int_eq(avoided_for(pool, "a", start), 0);
    ck_assert_int_eq(avoided_for(pool, "b", start), 0);
    ck_assert_int_eq(avoided_for(pool, "c", start), 0);
    ck_assert(!spoil(pool, "b", 1, start));
    ck_assert(is_chosen(pool, "a", start));
    ck_assert_uint_eq(cw_server_pool_find(pool, "a")->own, 2);
    ck_assert_uint_eq(cw_server_pool_find(pool, "b")->own, 2);
    ck_assert_uint_eq(cw_server_pool_find(pool, "c")->own, 2);
    cw_server_pool_free(pool);
}
END_TEST

/* After all have spoiled, the first whole answer makes its server the only sound one. */
START_TEST(the_others_are_avoided_again_once_one_is_sound)
{
    cw_server_pool_t *pool = new_pool(2);

    (void)spoil(pool, "a", CW_SPOILED_MAX, start);
    (void)spoil(pool, "b", CW_SPOILED_MAX, start);
    serve(pool, "b");
    ck_assert(spoil(pool, "a", 1, start));
    ck_assert(!is_chosen(pool, "a", start));
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(the_only_server_is_not_avoided)
{
    cw_server_pool_t *pool = new_pool(1);

    ck_assert(!spoil(pool, "a", 10 * CW_SPOILED_MAX, start));
    ck_assert_int_eq(avoided_for(pool, "a", start), 0);
    cw_server_pool_free(pool);
}
END_TEST

/* A server that does not answer at all is no sound one. */
START_TEST(a_server_is_not_avoided_if_the_others_do_not_answer)
{
    cw_server_pool_t *pool = new_pool(2);

    cw_server_pool_record_fault(cw_server_pool_find(pool, "b"), start);
    cw_server_pool_record_fault(cw_server_pool_find(pool, "b"), start);
    ck_assert(!spoil(pool, "a", CW_SPOILED_MAX, start));
    ck_assert(is_chosen(pool, "a", start));
    cw_server_pool_free(pool);
}
END_TEST

/* ---- the broker ---- */

static void on_reply(void *context, const cw_slot_reply_t *reply)
{
    *(cw_slot_reply_t *)context = *reply;
}

/* Takes a slot and returns it with this end. Returns the server that was granted. */
static const char *use_slot(cw_slot_broker_t *broker, cw_server_pool_t *pool, cw_slot_reply_t *reply, cw_slot_end_t end)
{
    static uint32_t ticket = 0;
    cw_slot_ask_t   ask = {.node = 1,
                           .ticket = ++ticket,
                           .service = cw_server_pool_find(pool, "a")->service_hash,
                           .objective = CW_MS(500),
                           .lease = CW_SECONDS(2),
                           .max_slot_wait = CW_SECONDS(2)};

    cw_slot_return_t returned = {.node = 1, .ticket = ask.ticket, .end = end};

    cw_slot_broker_ask(broker, &ask, CW_MS(20), start);
    ck_assert_int_eq(reply->outcome, CW_SLOT_GRANTED);
    cw_slot_broker_return(broker, &returned, start);
    return cw_server_pool_find_hash(pool, reply->server)->id;
}

START_TEST(a_broker_avoids_a_server_whose_slots_are_returned_as_spoiled)
{
    cw_server_pool_t *pool = new_pool(2);
    cw_slot_reply_t   reply = {0};
    cw_slot_broker_t *broker = cw_slot_broker_create(pool, "z1", on_reply, &reply);
    char              spoiling[8];
    size_t            index;

    snprintf(spoiling, sizeof(spoiling), "%s", use_slot(broker, pool, &reply, CW_SLOT_SPOILED));
    for (index = 1; index < CW_SPOILED_MAX; index++) {
        ck_assert_str_eq(use_slot(broker, pool, &reply, CW_SLOT_SPOILED), spoiling);
    }
    ck_assert_str_ne(use_slot(broker, pool, &reply, CW_SLOT_ANSWERED), spoiling);
    cw_slot_broker_free(broker);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(a_broker_counts_spoiled_answers_in_a_row)
{
    cw_server_pool_t *pool = new_pool(2);
    cw_slot_reply_t   reply = {0};
    cw_slot_broker_t *broker = cw_slot_broker_create(pool, "z1", on_reply, &reply);
    size_t            index;

    for (index = 0; index < 50; index++) {
        (void)use_slot(broker, pool, &reply, index % CW_SPOILED_MAX == 0 ? CW_SLOT_ANSWERED : CW_SLOT_SPOILED);
    }
    ck_assert_int_eq(avoided_for(pool, "a", start), 0);
    ck_assert_int_eq(avoided_for(pool, "b", start), 0);
    cw_slot_broker_free(broker);
    cw_server_pool_free(pool);
}
END_TEST

/* ---- the engine ---- */

static const char whole_answer[] = "HTTP/1.1 200 OK\r\nsignature: s0\r\nContent-Length: 5\r\n\r\nwhole";

/* The spoiling server is in the engine's zone, and is preferred to s1 while both are idle. */
static void init_engine(engine_fixture_t *fixture, endless_server_t *spoiling, const char *begin, const char *unit)
{
    cw_server_list_t  *list = cw_server_list_create();
    cw_server_entry_t *entry = cw_server_list_add(list);

    engine_fixture_init(fixture);
    endless_server_start(spoiling, &fixture->loop, begin, unit);
    entry->id = strdup("spoiling");
    entry->service = strdup("service");
    entry->address = strdup(spoiling->address);
    entry->zone = strdup("z1");
    entry->capacity = 1;
    entry = cw_server_list_add(list);
    entry->id = strdup("s1");
    entry->service = strdup("service");
    entry->address = strdup(fixture->servers[1].address);
    entry->zone = strdup("z2");
    entry->capacity = 1;
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->pool, list, cw_engine_now(fixture->engine));
    cw_server_list_release(list);
    fixture->servers[1].status = 200;
}

static int status_of(engine_fixture_t *fixture, const char *method, const char *path)
{
    (void)engine_fixture_ask(fixture, method, path, "15000");
    cw_test_run_until_set(&fixture->loop, &fixture->answered);
    return fixture->status;
}

static void expect_avoided(const char *begin, const char *unit)
{
    engine_fixture_t fixture;
    endless_server_t spoiling;
    size_t           index;

    init_engine(&fixture, &spoiling, begin, unit);
    for (index = 0; index < CW_SPOILED_MAX; index++) {
        ck_assert_int_eq(status_of(&fixture, "POST", "/once/x"), 502);
    }
    ck_assert_uint_eq(spoiling.requests, CW_SPOILED_MAX);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
    ck_assert_int_eq(status_of(&fixture, "POST", "/once/x"), 200);
    ck_assert_uint_eq(spoiling.requests, CW_SPOILED_MAX);
}

START_TEST(requests_go_to_other_servers_after_several_spoiled_answers)
{
    expect_avoided("HTTP/1.1 200 OK\r\n\r\n", "endless ");
    expect_avoided("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n");
    expect_avoided("not an answer\r\n", NULL);
    expect_avoided("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", NULL);
}
END_TEST

START_TEST(a_repeatable_request_is_repeated_elsewhere)
{
    engine_fixture_t fixture;
    endless_server_t spoiling;

    init_engine(&fixture, &spoiling, "HTTP/1.1 200 OK\r\n\r\n", "endless ");
    cw_engine_set_nodes(fixture.engine, 1, 0);
    ck_assert_int_eq(status_of(&fixture, "GET", "/safe/x"), 200);
    ck_assert_uint_eq(spoiling.requests, 1);
    ck_assert_uint_eq(fixture.servers[1].requests, 1);
}
END_TEST

START_TEST(a_server_that_answers_whole_again_gets_requests_again)
{
    engine_fixture_t fixture;
    endless_server_t spoiling;
    size_t           index;

    init_engine(&fixture, &spoiling, "not an answer\r\n", NULL);
    for (index = 0; index < CW_SPOILED_MAX; index++) {
        ck_assert_int_eq(status_of(&fixture, "POST", "/once/x"), 502);
    }
    spoiling.begin = whole_answer;
    engine_fixture_run_for(&fixture, cw_server_pool_find(fixture.pool, "spoiling")->avoid_until -
                                         cw_engine_now(fixture.engine) + CW_MS(1));
    for (index = 0; index < 3; index++) {
        ck_assert_int_eq(status_of(&fixture, "POST", "/once/x"), 200);
        ck_assert_str_eq(fixture.body.data, "whole");
    }
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

/* An answer in eight is spoiled, as a server with a fault now and then would. */
START_TEST(a_server_that_spoils_an_answer_now_and_then_goes_on)
{
    engine_fixture_t fixture;
    endless_server_t spoiling;
    size_t           index;

    init_engine(&fixture, &spoiling, whole_answer, NULL);
    for (index = 0; index < 80; index++) {
        bool is_spoiled = index % 8 == 7;

        spoiling.begin = is_spoiled ? "not an answer\r\n" : whole_answer;
        ck_assert_int_eq(status_of(&fixture, "POST", "/once/x"), is_spoiled ? 502 : 200);
    }
    ck_assert_uint_eq(spoiling.requests, 80);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("spoiled answers");
    TCase *cases = tcase_create("spoiled answers");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_server_that_spoils_several_answers_in_a_row_is_avoided);
    tcase_add_test(cases, it_is_avoided_for_a_growing_time_and_gets_single_requests_after_it);
    tcase_add_test(cases, a_whole_answer_ends_it);
    tcase_add_test(cases, lone_spoiled_answers_change_nothing);
    tcase_add_test(cases, if_all_spoil_none_is_avoided);
    tcase_add_test(cases, the_others_are_avoided_again_once_one_is_sound);
    tcase_add_test(cases, the_only_server_is_not_avoided);
    tcase_add_test(cases, a_server_is_not_avoided_if_the_others_do_not_answer);
    tcase_add_test(cases, a_broker_avoids_a_server_whose_slots_are_returned_as_spoiled);
    tcase_add_test(cases, a_broker_counts_spoiled_answers_in_a_row);
    tcase_add_test(cases, requests_go_to_other_servers_after_several_spoiled_answers);
    tcase_add_test(cases, a_repeatable_request_is_repeated_elsewhere);
    tcase_add_test(cases, a_server_that_answers_whole_again_gets_requests_again);
    tcase_add_test(cases, a_server_that_spoils_an_answer_now_and_then_goes_on);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
