/**
 * @file test_slot_limits.c
 * @brief Slots of servers that name a rate limit: the grants of all nodes together stay within the limit, and use it up
 * when enough slots are asked for.
 */
#include <string.h>

#include "balance/slot_broker.h"
#include "loop_fixture.h"

enum { GRANTS_MAX = 1024, ASK_EVERY_MS = 20, WINDOW_S = 4, WORK_MS = 10 };

static const cw_time_us_t start = CW_SECONDS(10);
static const cw_time_us_t mean_time = CW_MS(WORK_MS);

/** A broker, and a node that continuously asks for slots of server a. */
typedef struct limit_fixture {
    cw_server_pool_t *pool;
    cw_slot_broker_t *broker;
    cw_server_t      *server;
    uint32_t          ticket;
    cw_slot_reply_t   reply;
    cw_time_us_t      granted[GRANTS_MAX];
    size_t            count;
} limit_fixture_t;

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    ((limit_fixture_t *)context)->reply = *reply;
}

static void init(limit_fixture_t *fixture, const char *zone)
{
    cw_server_list_t  *list = cw_server_list_create();
    cw_server_entry_t *entry = cw_server_list_add(list);

    memset(fixture, 0, sizeof(*fixture));
    fixture->pool = cw_server_pool_create("z1", on_dropped, NULL);
    entry->id = strdup("a");
    entry->service = strdup("docks");
    entry->address = strdup("a");
    entry->zone = strdup(zone);
    entry->capacity = 4;
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->pool, list, start);
    cw_server_list_release(list);
    fixture->broker = cw_slot_broker_create(fixture->pool, "z1", on_replied, fixture);
    fixture->server = cw_server_pool_find(fixture->pool, "a");
}

static void clear(limit_fixture_t *fixture)
{
    cw_slot_broker_free(fixture->broker);
    cw_server_pool_free(fixture->pool);
}

/* Another node becomes the broker. */
static void replace_broker(limit_fixture_t *fixture)
{
    cw_slot_broker_free(fixture->broker);
    fixture->broker = cw_slot_broker_create(fixture->pool, "z1", on_replied, fixture);
}

static void name_limit(limit_fixture_t *fixture, double per_s, cw_time_us_t now)
{
    (void)cw_server_limit_record_named(&fixture->server->limit, per_s, now, now);
}

static cw_slot_outcome_t ask(limit_fixture_t *fixture, cw_time_us_t now)
{
    cw_slot_ask_t asked = {.node = 1,
                           .ticket = ++fixture->ticket,
                           .service = fixture->server->service_hash,
                           .server = fixture->server->hash,
                           .objective = CW_MS(WORK_MS),
                           .lease = CW_SECONDS(1),
                           .max_slot_wait = 0};

    cw_slot_broker_ask(fixture->broker, &asked, mean_time, now);
    return fixture->reply.outcome;
}

/* Asks once; a granted slot is returned at once with an answer that names the limit. */
static void ask_once(limit_fixture_t *fixture, cw_time_us_t now)
{
    cw_slot_return_t returned = {.node = 1, .end = CW_SLOT_ANSWERED};

    cw_slot_broker_tick(fixture->broker, now);
    if (ask(fixture, now) != CW_SLOT_GRANTED) {
        return;
    }
    ck_assert_uint_lt(fixture->count, GRANTS_MAX);
    fixture->granted[fixture->count++] = now;
    returned.ticket = fixture->ticket;
    cw_slot_broker_return(fixture->broker, &returned, now);
    name_limit(fixture, fixture->server->limit.per_s, now);
}

static cw_time_us_t ask_for(limit_fixture_t *fixture, cw_time_us_t from, cw_time_us_t time)
{
    cw_time_us_t now;

    for (now = from; now < from + time; now += CW_MS(ASK_EVERY_MS)) {
        ask_once(fixture, now);
    }
    return now;
}

static size_t max_grants_in_window(const limit_fixture_t *fixture)
{
    size_t most = 0;
    size_t first = 0;
    size_t index;

    for (index = 0; index < fixture->count; index++) {
        while (fixture->granted[first] + CW_SECONDS(WINDOW_S) <= fixture->granted[index]) {
            first++;
        }
        most = index + 1 - first > most ? index + 1 - first : most;
    }
    return most;
}

/* Servers accept half as many requests again as this bound, plus five: that tolerance is reserved for requests that
 * were sent before the first answers arrived. */
static void check_bound(const limit_fixture_t *fixture, double per_s)
{
    ck_assert_msg((double)max_grants_in_window(fixture) <= per_s * WINDOW_S + 1 + per_s / 5,
                  "%zu in a window at %g a second", max_grants_in_window(fixture), per_s);
}

START_TEST(limited_server_gets_as_many_requests_as_its_limit_allows)
{
    static const double limits[] = {0.5, 1, 6, 6.6, 10, 30};
    size_t              index;

    for (index = 0; index < sizeof(limits) / sizeof(limits[0]); index++) {
        limit_fixture_t fixture;

        init(&fixture, "z1");
        name_limit(&fixture, limits[index], start);
        (void)ask_for(&fixture, start, CW_SECONDS(20));
        check_bound(&fixture, limits[index]);
        ck_assert_msg((double)fixture.count >= limits[index] * 20 * 0.9 - 1, "%zu of %g a second", fixture.count,
                      limits[index]);
        clear(&fixture);
    }
}
END_TEST

START_TEST(server_with_a_limit_of_zero_gets_probe_requests)
{
    limit_fixture_t fixture;

    init(&fixture, "z1");
    name_limit(&fixture, 0, start);
    (void)ask_for(&fixture, start, CW_SECONDS(30));
    ck_assert_uint_ge(fixture.count, 4); /* otherwise no node would know that it accepts requests again */
    ck_assert_uint_le(fixture.count, 6);
    clear(&fixture);
}
END_TEST

START_TEST(limit_is_kept_while_the_broker_changes)
{
    limit_fixture_t fixture;
    cw_time_us_t    now = start;
    int             round;

    init(&fixture, "z1");
    name_limit(&fixture, 6, start);
    for (round = 0; round < 20; round++) {
        now = ask_for(&fixture, now, CW_MS(700));
        replace_broker(&fixture);
    }
    check_bound(&fixture, 6);
    clear(&fixture);
}
END_TEST

START_TEST(broker_that_reaches_half_of_the_nodes_grants_half_of_a_limit)
{
    limit_fixture_t fixture;

    init(&fixture, "z1");
    cw_slot_broker_set_share(fixture.broker, 0.5);
    name_limit(&fixture, 8, start);
    (void)ask_for(&fixture, start, CW_SECONDS(20));
    check_bound(&fixture, 4);
    ck_assert_uint_ge(fixture.count, 70);
    clear(&fixture);
}
END_TEST

/* Guards against servers that get nothing for minutes after all nodes have restarted (server_limit_restart_all.sh): a
 * broker that did not know the other nodes yet named a wait of 2,000 s, by its share of a 10,000th. */
START_TEST(broker_with_a_small_share_names_a_short_wait)
{
    limit_fixture_t fixture;

    init(&fixture, "z1");
    cw_slot_broker_set_share(fixture.broker, 0.0001);
    name_limit(&fixture, 5, start);
    ck_assert_int_eq(ask(&fixture, start), CW_SLOT_REFUSED);
    ck_assert_int_eq(fixture.reply.free_after, CW_SECONDS(1));
    name_limit(&fixture, 0.25, start);
    ck_assert_int_eq(ask(&fixture, start), CW_SLOT_REFUSED);
    ck_assert_int_eq(fixture.reply.free_after, CW_SECONDS(4)); /* as long as with the whole limit */
    clear(&fixture);
}
END_TEST

/* As above, for a request that any server of the service may get. */
START_TEST(broker_with_a_small_share_names_a_short_wait_for_any_server)
{
    limit_fixture_t fixture;
    cw_slot_ask_t   asked = {.node = 1, .ticket = 1, .objective = CW_MS(WORK_MS), .lease = CW_SECONDS(1)};

    init(&fixture, "z1");
    cw_slot_broker_set_share(fixture.broker, 0.0001);
    name_limit(&fixture, 5, start);
    asked.service = fixture.server->service_hash;
    cw_slot_broker_ask(fixture.broker, &asked, mean_time, start);
    ck_assert_int_eq(fixture.reply.outcome, CW_SLOT_REFUSED);
    ck_assert_int_eq(fixture.reply.free_after, CW_SECONDS(1));
    clear(&fixture);
}
END_TEST

START_TEST(changed_limit_applies_at_once)
{
    limit_fixture_t fixture;
    cw_time_us_t    now;

    init(&fixture, "z1");
    name_limit(&fixture, 20, start);
    now = ask_for(&fixture, start, CW_SECONDS(5));
    name_limit(&fixture, 2, now);
    fixture.count = 0;
    now = ask_for(&fixture, now, CW_SECONDS(10));
    check_bound(&fixture, 2);
    name_limit(&fixture, 20, now);
    fixture.count = 0;
    (void)ask_for(&fixture, now, CW_SECONDS(5));
    ck_assert_uint_ge(fixture.count, 90);
    clear(&fixture);
}
END_TEST

START_TEST(ask_beyond_the_limit_is_refused_with_the_time_until_a_token)
{
    limit_fixture_t fixture;

    init(&fixture, "z1");
    name_limit(&fixture, 2, start);
    ck_assert_int_eq(ask(&fixture, start), CW_SLOT_REFUSED);
    ck_assert_int_eq(fixture.reply.free_after, CW_MS(500));
    ck_assert_int_eq(ask(&fixture, start + CW_MS(400)), CW_SLOT_REFUSED);
    ck_assert_int_eq(fixture.reply.free_after, CW_MS(100));
    ck_assert_int_eq(ask(&fixture, start + CW_MS(500)), CW_SLOT_GRANTED);
    clear(&fixture);
}
END_TEST

START_TEST(limited_server_of_a_zone_without_nodes_is_counted_in_another_zone)
{
    limit_fixture_t fixture;

    init(&fixture, "z2");
    ck_assert_int_eq(ask(&fixture, start), CW_SLOT_REFUSED);
    name_limit(&fixture, 6, start);
    (void)ask_for(&fixture, start, CW_SECONDS(10));
    check_bound(&fixture, 6);
    ck_assert_uint_ge(fixture.count, 50);
    clear(&fixture);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("slots of limited servers");
    TCase *cases = tcase_create("limits");

    tcase_add_test(cases, limited_server_gets_as_many_requests_as_its_limit_allows);
    tcase_add_test(cases, server_with_a_limit_of_zero_gets_probe_requests);
    tcase_add_test(cases, limit_is_kept_while_the_broker_changes);
    tcase_add_test(cases, broker_that_reaches_half_of_the_nodes_grants_half_of_a_limit);
    tcase_add_test(cases, broker_with_a_small_share_names_a_short_wait);
    tcase_add_test(cases, broker_with_a_small_share_names_a_short_wait_for_any_server);
    tcase_add_test(cases, changed_limit_applies_at_once);
    tcase_add_test(cases, ask_beyond_the_limit_is_refused_with_the_time_until_a_token);
    tcase_add_test(cases, limited_server_of_a_zone_without_nodes_is_counted_in_another_zone);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
