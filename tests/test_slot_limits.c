/**
 * @file test_slot_limits.c
 * @brief Slots of servers that name a rate limit: never more than it allows from all nodes together, and as many where
 * so many are asked for.
 */
#include <string.h>

#include "balance/slot_broker.h"
#include "loop_fixture.h"

enum { GRANTS_MAX = 1024, ASK_EVERY_MS = 20, WINDOW_S = 4, WORK_MS = 10 };

static const cw_time_us_t start = CW_SECONDS(10);
static const cw_time_us_t usual = CW_MS(WORK_MS);

/** A node that counts, and one that asks for slots of server a all the time. */
typedef struct limit_world {
    cw_server_pool_t *pool;
    cw_slot_broker_t *broker;
    cw_server_t      *server;
    uint32_t          ticket;
    cw_slot_reply_t   reply;
    cw_time_us_t      granted[GRANTS_MAX];
    size_t            count;
} limit_world_t;

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    ((limit_world_t *)context)->reply = *reply;
}

static void init(limit_world_t *world, const char *zone)
{
    cw_server_list_t  *list = cw_server_list_create();
    cw_server_entry_t *entry = cw_server_list_add(list);

    memset(world, 0, sizeof(*world));
    world->pool = cw_server_pool_create("z1", on_dropped, NULL);
    entry->id = strdup("a");
    entry->service = strdup("docks");
    entry->address = strdup("a");
    entry->zone = strdup(zone);
    entry->capacity = 4;
    cw_server_list_seal(list);
    cw_server_pool_update(world->pool, list, start);
    cw_server_list_release(list);
    world->broker = cw_slot_broker_create(world->pool, "z1", on_replied, world);
    world->server = cw_server_pool_find(world->pool, "a");
}

static void clear(limit_world_t *world)
{
    cw_slot_broker_free(world->broker);
    cw_server_pool_free(world->pool);
}

/* Another node counts from now on. */
static void replace_broker(limit_world_t *world)
{
    cw_slot_broker_free(world->broker);
    world->broker = cw_slot_broker_create(world->pool, "z1", on_replied, world);
}

static void name_limit(limit_world_t *world, double per_s, cw_time_us_t now)
{
    (void)cw_server_limit_note_named(&world->server->limit, per_s, now, now);
}

static cw_slot_outcome_t ask(limit_world_t *world, cw_time_us_t now)
{
    cw_slot_ask_t asked = {.node = 1,
                           .ticket = ++world->ticket,
                           .service = world->server->service_hash,
                           .server = world->server->hash,
                           .objective = CW_MS(WORK_MS),
                           .lease = CW_SECONDS(1),
                           .max_slot_wait = 0};

    cw_slot_broker_ask(world->broker, &asked, usual, now);
    return world->reply.outcome;
}

/* One ask; a slot that is granted is given back at once, with an answer that names the limit. */
static void ask_once(limit_world_t *world, cw_time_us_t now)
{
    cw_slot_return_t returned = {.node = 1, .end = CW_SLOT_ANSWERED};

    cw_slot_broker_tick(world->broker, now);
    if (ask(world, now) != CW_SLOT_GRANTED) {
        return;
    }
    ck_assert_uint_lt(world->count, GRANTS_MAX);
    world->granted[world->count++] = now;
    returned.ticket = world->ticket;
    cw_slot_broker_return(world->broker, &returned, now);
    name_limit(world, world->server->limit.per_s, now);
}

static cw_time_us_t ask_for(limit_world_t *world, cw_time_us_t from, cw_time_us_t time)
{
    cw_time_us_t now;

    for (now = from; now < from + time; now += CW_MS(ASK_EVERY_MS)) {
        ask_once(world, now);
    }
    return now;
}

static size_t most_in_a_window(const limit_world_t *world)
{
    size_t most = 0;
    size_t first = 0;
    size_t index;

    for (index = 0; index < world->count; index++) {
        while (world->granted[first] + CW_SECONDS(WINDOW_S) <= world->granted[index]) {
            first++;
        }
        most = index + 1 - first > most ? index + 1 - first : most;
    }
    return most;
}

/* What the server's terms allow is half as much again, and five; that is left for requests that cross the first
 * answers. */
static void check_bound(const limit_world_t *world, double per_s)
{
    ck_assert_msg((double)most_in_a_window(world) <= per_s * WINDOW_S + 1 + per_s / 5, "%zu in a window at %g a second",
                  most_in_a_window(world), per_s);
}

START_TEST(a_limited_server_gets_what_its_limit_allows_and_not_more)
{
    static const double limits[] = {0.5, 1, 6, 6.6, 10, 30};
    size_t              index;

    for (index = 0; index < sizeof(limits) / sizeof(limits[0]); index++) {
        limit_world_t world;

        init(&world, "z1");
        name_limit(&world, limits[index], start);
        (void)ask_for(&world, start, CW_SECONDS(20));
        check_bound(&world, limits[index]);
        ck_assert_msg((double)world.count >= limits[index] * 20 * 0.9 - 1, "%zu of %g a second", world.count,
                      limits[index]);
        clear(&world);
    }
}
END_TEST

START_TEST(a_server_that_wants_nothing_gets_a_request_now_and_then)
{
    limit_world_t world;

    init(&world, "z1");
    name_limit(&world, 0, start);
    (void)ask_for(&world, start, CW_SECONDS(30));
    ck_assert_uint_ge(world.count, 4); /* else nobody would learn that it wants some again */
    ck_assert_uint_le(world.count, 6);
    clear(&world);
}
END_TEST

START_TEST(a_limit_holds_while_one_node_after_another_counts)
{
    limit_world_t world;
    cw_time_us_t  now = start;
    int           round;

    init(&world, "z1");
    name_limit(&world, 6, start);
    for (round = 0; round < 20; round++) {
        now = ask_for(&world, now, CW_MS(700));
        replace_broker(&world);
    }
    check_bound(&world, 6);
    clear(&world);
}
END_TEST

START_TEST(a_node_that_reaches_half_of_the_others_gives_out_half_of_a_limit)
{
    limit_world_t world;

    init(&world, "z1");
    cw_slot_broker_set_share(world.broker, 0.5);
    name_limit(&world, 8, start);
    (void)ask_for(&world, start, CW_SECONDS(20));
    check_bound(&world, 4);
    ck_assert_uint_ge(world.count, 70);
    clear(&world);
}
END_TEST

START_TEST(a_limit_that_is_lowered_or_raised_binds_from_then_on)
{
    limit_world_t world;
    cw_time_us_t  now;

    init(&world, "z1");
    name_limit(&world, 20, start);
    now = ask_for(&world, start, CW_SECONDS(5));
    name_limit(&world, 2, now);
    world.count = 0;
    now = ask_for(&world, now, CW_SECONDS(10));
    check_bound(&world, 2);
    name_limit(&world, 20, now);
    world.count = 0;
    (void)ask_for(&world, now, CW_SECONDS(5));
    ck_assert_uint_ge(world.count, 90);
    clear(&world);
}
END_TEST

START_TEST(what_is_beyond_the_limit_is_told_when_there_is_room)
{
    limit_world_t world;

    init(&world, "z1");
    name_limit(&world, 2, start);
    ck_assert_int_eq(ask(&world, start), CW_SLOT_REFUSED);
    ck_assert_int_eq(world.reply.free_after, CW_MS(500));
    ck_assert_int_eq(ask(&world, start + CW_MS(400)), CW_SLOT_REFUSED);
    ck_assert_int_eq(world.reply.free_after, CW_MS(100));
    ck_assert_int_eq(ask(&world, start + CW_MS(500)), CW_SLOT_GRANTED);
    clear(&world);
}
END_TEST

START_TEST(a_limited_server_of_a_zone_without_nodes_is_counted_elsewhere)
{
    limit_world_t world;

    init(&world, "z2");
    ck_assert_int_eq(ask(&world, start), CW_SLOT_REFUSED);
    name_limit(&world, 6, start);
    (void)ask_for(&world, start, CW_SECONDS(10));
    check_bound(&world, 6);
    ck_assert_uint_ge(world.count, 50);
    clear(&world);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("slots of limited servers");
    TCase *cases = tcase_create("limits");

    tcase_add_test(cases, a_limited_server_gets_what_its_limit_allows_and_not_more);
    tcase_add_test(cases, a_server_that_wants_nothing_gets_a_request_now_and_then);
    tcase_add_test(cases, a_limit_holds_while_one_node_after_another_counts);
    tcase_add_test(cases, a_node_that_reaches_half_of_the_others_gives_out_half_of_a_limit);
    tcase_add_test(cases, a_limit_that_is_lowered_or_raised_binds_from_then_on);
    tcase_add_test(cases, what_is_beyond_the_limit_is_told_when_there_is_room);
    tcase_add_test(cases, a_limited_server_of_a_zone_without_nodes_is_counted_elsewhere);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
