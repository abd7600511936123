/**
 * @file test_slot_broker.c
 * @brief Slots handed out with an exact count: who gets one, who waits, who is refused, and what comes back.
 */
#include <string.h>

#include "balance/slot_broker.h"
#include "loop_fixture.h"
#include "router/broker_choice.h"

enum { REPLIES_MAX = 256, SLOTS = 4 /* requests that a server of two slots is given */ };

static const cw_time_us_t start = CW_SECONDS(10);
static const cw_time_us_t usual = CW_MS(100);

typedef struct broker_world {
    cw_server_pool_t *pool;
    cw_slot_broker_t *broker;
    cw_slot_reply_t   replies[REPLIES_MAX];
    size_t            count;
} broker_world_t;

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    broker_world_t *world = context;

    ck_assert_uint_lt(world->count, REPLIES_MAX);
    world->replies[world->count++] = *reply;
}

static void add_server(cw_server_list_t *list, const char *id, const char *zone)
{
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup("docks");
    entry->address = strdup(id);
    entry->zone = strdup(zone);
    entry->capacity = SLOTS / 2;
}

/* Servers a and b in this zone, c in another. */
static void init(broker_world_t *world)
{
    cw_server_list_t *list = cw_server_list_create();

    memset(world, 0, sizeof(*world));
    world->pool = cw_server_pool_create("z1", on_dropped, NULL);
    add_server(list, "a", "z1");
    add_server(list, "b", "z1");
    add_server(list, "c", "z2");
    cw_server_list_seal(list);
    cw_server_pool_update(world->pool, list, start);
    cw_server_list_release(list);
    world->broker = cw_slot_broker_create(world->pool, "z1", on_replied, world);
}

static void clear(broker_world_t *world)
{
    cw_slot_broker_free(world->broker);
    cw_server_pool_free(world->pool);
}

static uint32_t hash_of(const broker_world_t *world, const char *id)
{
    return cw_server_pool_find(world->pool, id)->hash;
}

static cw_slot_ask_t ask_of(const broker_world_t *world, uint32_t ticket)
{
    return (cw_slot_ask_t){.node = 1,
                           .ticket = ticket,
                           .service = cw_server_pool_find(world->pool, "a")->service_hash,
                           .objective = CW_MS(500),
                           .lease = CW_SECONDS(2),
                           .max_slot_wait = CW_SECONDS(2)};
}

static const cw_slot_reply_t *ask(broker_world_t *world, const cw_slot_ask_t *asked, cw_time_us_t now)
{
    cw_slot_broker_ask(world->broker, asked, usual, now);
    return &world->replies[world->count - 1];
}

static void give_back(broker_world_t *world, uint32_t ticket, cw_slot_end_t end, const cw_server_load_t *load,
                      cw_time_us_t now)
{
    cw_server_signals_t signals = {.has_load = load != NULL};
    cw_slot_return_t    returned = {.node = 1, .ticket = ticket, .end = end, .signals = &signals};

    if (load != NULL) {
        signals.load = *load;
    }

    cw_slot_broker_return(world->broker, &returned, now);
}

/* Takes all slots of the zone, with tickets from 1. */
static uint32_t fill(broker_world_t *world)
{
    uint32_t ticket;

    for (ticket = 1; ticket <= 2 * SLOTS; ticket++) {
        cw_slot_ask_t asked = ask_of(world, ticket);

        ck_assert_int_eq(ask(world, &asked, start)->outcome, CW_SLOT_GRANTED);
    }
    return ticket;
}

START_TEST(slots_are_granted_up_to_their_number_and_only_in_this_zone)
{
    broker_world_t world;
    uint32_t       next;
    cw_slot_ask_t  asked;
    size_t         index;
    uint32_t       at_a = 0;

    init(&world);
    next = fill(&world);
    for (index = 0; index < world.count; index++) {
        ck_assert_uint_ne(world.replies[index].server, hash_of(&world, "c"));
        at_a += world.replies[index].server == hash_of(&world, "a") ? 1 : 0;
    }
    ck_assert_uint_eq(at_a, SLOTS);
    asked = ask_of(&world, next);
    ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_QUEUED);
    clear(&world);
}
END_TEST

START_TEST(a_slot_given_back_goes_to_the_most_urgent_that_waits)
{
    broker_world_t world;
    uint32_t       next;
    cw_slot_ask_t  low;
    cw_slot_ask_t  late;
    cw_slot_ask_t  urgent;

    init(&world);
    next = fill(&world);
    low = ask_of(&world, next);
    low.priority = 2;
    late = ask_of(&world, next + 1);
    urgent = ask_of(&world, next + 2);
    urgent.objective = CW_MS(400);
    (void)ask(&world, &low, start);
    (void)ask(&world, &late, start);
    (void)ask(&world, &urgent, start);
    give_back(&world, 1, CW_SLOT_ANSWERED, NULL, start + CW_MS(10));
    ck_assert_uint_eq(world.replies[world.count - 1].ticket, urgent.ticket);
    ck_assert_int_eq(world.replies[world.count - 1].outcome, CW_SLOT_GRANTED);
    give_back(&world, 2, CW_SLOT_ANSWERED, NULL, start + CW_MS(11));
    ck_assert_uint_eq(world.replies[world.count - 1].ticket, late.ticket);
    give_back(&world, 3, CW_SLOT_ANSWERED, NULL, start + CW_MS(12));
    ck_assert_uint_eq(world.replies[world.count - 1].ticket, low.ticket);
    clear(&world);
}
END_TEST

START_TEST(of_asks_that_are_equal_the_first_to_come_is_the_first_to_be_served)
{
    broker_world_t world;
    uint32_t       next;
    uint32_t       index;

    init(&world);
    next = fill(&world);
    for (index = 0; index < 3; index++) {
        cw_slot_ask_t asked = ask_of(&world, next + index);

        ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_QUEUED);
    }
    for (index = 0; index < 3; index++) {
        give_back(&world, index + 1, CW_SLOT_ANSWERED, NULL, start + CW_MS(10));
        ck_assert_int_eq(world.replies[world.count - 1].outcome, CW_SLOT_GRANTED);
        ck_assert_uint_eq(world.replies[world.count - 1].ticket, next + index);
    }
    clear(&world);
}
END_TEST

START_TEST(what_would_come_too_late_is_refused_at_once_and_told_when_a_slot_is_free)
{
    broker_world_t         world;
    uint32_t               next;
    const cw_slot_reply_t *reply;
    int                    refused = 0;
    int                    index;

    init(&world);
    next = fill(&world);
    for (index = 0; index < 40; index++) {
        cw_slot_ask_t asked = ask_of(&world, next + (uint32_t)index);

        reply = ask(&world, &asked, start);
        if (reply->outcome == CW_SLOT_REFUSED) {
            refused++;
            ck_assert_int_gt(reply->free_after, 0);
        }
    }
    ck_assert_int_gt(refused, 10);
    ck_assert_uint_eq(cw_slot_broker_waiting(world.broker), (size_t)(40 - refused));
    clear(&world);
}
END_TEST

START_TEST(an_ask_that_may_not_wait_is_refused_when_no_slot_is_free)
{
    broker_world_t world;
    cw_slot_ask_t  asked;

    init(&world);
    asked = ask_of(&world, fill(&world));
    asked.max_slot_wait = 0;
    ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_REFUSED);
    clear(&world);
}
END_TEST

START_TEST(what_waits_too_long_is_refused_by_the_tick)
{
    broker_world_t world;
    cw_slot_ask_t  asked;

    init(&world);
    asked = ask_of(&world, fill(&world));
    ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_QUEUED);
    cw_slot_broker_tick(world.broker, start + CW_MS(100));
    ck_assert_uint_eq(cw_slot_broker_waiting(world.broker), 1);
    cw_slot_broker_tick(world.broker, start + CW_MS(450));
    ck_assert_uint_eq(cw_slot_broker_waiting(world.broker), 0);
    ck_assert_int_eq(world.replies[world.count - 1].outcome, CW_SLOT_REFUSED);
    clear(&world);
}
END_TEST

START_TEST(only_the_owner_will_do_for_a_key)
{
    broker_world_t world;
    cw_slot_ask_t  asked;
    uint32_t       ticket;

    init(&world);
    for (ticket = 1; ticket <= SLOTS; ticket++) {
        asked = ask_of(&world, ticket);
        asked.server = hash_of(&world, "b");
        ck_assert_uint_eq(ask(&world, &asked, start)->server, hash_of(&world, "b"));
    }
    asked.ticket = ticket;
    ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_QUEUED); /* though a is free */
    asked = ask_of(&world, ticket + 1);
    ck_assert_uint_eq(ask(&world, &asked, start)->server, hash_of(&world, "a"));
    asked.ticket = ticket + 2;
    asked.server = hash_of(&world, "c"); /* of another zone: its slots are counted there */
    ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_REFUSED);
    clear(&world);
}
END_TEST

START_TEST(an_ask_repeated_gets_the_same_reply_and_no_second_slot)
{
    broker_world_t world;
    cw_slot_ask_t  asked;

    init(&world);
    asked = ask_of(&world, 7);
    (void)ask(&world, &asked, start);
    (void)ask(&world, &asked, start + CW_MS(20));
    ck_assert_uint_eq(world.count, 2);
    ck_assert_uint_eq(world.replies[0].server, world.replies[1].server);
    ck_assert_uint_eq(cw_slot_broker_granted(world.broker), 1);
    clear(&world);
}
END_TEST

START_TEST(a_slot_that_is_not_given_back_is_free_after_its_lease)
{
    broker_world_t world;

    init(&world);
    (void)fill(&world);
    cw_slot_broker_tick(world.broker, start + CW_MS(1999));
    ck_assert_uint_eq(cw_slot_broker_granted(world.broker), 2 * SLOTS);
    cw_slot_broker_tick(world.broker, start + CW_SECONDS(2));
    ck_assert_uint_eq(cw_slot_broker_granted(world.broker), 0);
    give_back(&world, 1, CW_SLOT_ANSWERED, NULL, start + CW_SECONDS(3)); /* too late: ignored */
    ck_assert_uint_eq(cw_slot_broker_granted(world.broker), 0);
    clear(&world);
}
END_TEST

START_TEST(requests_from_elsewhere_count_by_the_servers_own_load)
{
    broker_world_t   world;
    cw_slot_ask_t    asked;
    cw_server_load_t load = {.running = 2, .waiting = 2, .slots = 2};

    init(&world);
    asked = ask_of(&world, 1);
    asked.server = hash_of(&world, "a");
    (void)ask(&world, &asked, start);
    give_back(&world, 1, CW_SLOT_ANSWERED, &load, start + CW_MS(50));
    asked.ticket = 2;
    ck_assert_int_eq(ask(&world, &asked, start + CW_MS(60))->outcome, CW_SLOT_QUEUED);
    cw_slot_broker_tick(world.broker, start + CW_MS(360)); /* the sample is old: it says nothing any more */
    ck_assert_int_eq(world.replies[world.count - 1].outcome, CW_SLOT_GRANTED);
    clear(&world);
}
END_TEST

START_TEST(a_server_whose_work_takes_longer_now_comes_last)
{
    broker_world_t   world;
    cw_slot_ask_t    asked;
    cw_server_load_t load = {.running = 0, .waiting = 0, .slots = 2, .work_percent = 300};
    uint32_t         first;

    init(&world);
    asked = ask_of(&world, 1);
    first = ask(&world, &asked, start)->server;
    give_back(&world, 1, CW_SLOT_ANSWERED, &load, start + CW_MS(100));
    asked.ticket = 2;
    ck_assert_uint_ne(ask(&world, &asked, start + CW_MS(110))->server, first);
    clear(&world);
}
END_TEST

START_TEST(a_server_that_fails_requests_of_all_nodes_is_passed_over)
{
    broker_world_t world;
    cw_slot_ask_t  asked;
    uint32_t       ticket;

    init(&world);
    for (ticket = 1; ticket <= 2; ticket++) {
        asked = ask_of(&world, ticket);
        asked.server = hash_of(&world, "a");
        (void)ask(&world, &asked, start);
        give_back(&world, ticket, CW_SLOT_FAILED, NULL, start);
    }
    for (; ticket < 3 + SLOTS; ticket++) {
        asked = ask_of(&world, ticket);
        ck_assert_uint_eq(ask(&world, &asked, start)->server, hash_of(&world, "b"));
    }
    asked = ask_of(&world, ticket);
    ck_assert_int_eq(ask(&world, &asked, start)->outcome, CW_SLOT_QUEUED);
    clear(&world);
}
END_TEST

START_TEST(a_cold_server_is_given_what_it_bears_in_any_second)
{
    broker_world_t world;
    cw_warm_up_t   warm_up = {.duration = CW_SECONDS(3), .per_s = 6.7};
    cw_slot_ask_t  asked;
    cw_time_us_t   now;
    uint32_t       ticket = 1;
    uint32_t       granted = 0;

    init(&world);
    cw_server_pool_set_warm_up(world.pool, "docks", &warm_up);
    cw_server_pool_find(world.pool, "a")->cold_until = start + CW_SECONDS(3);
    for (now = start; now < start + CW_SECONDS(1); now += CW_MS(5)) {
        asked = ask_of(&world, ticket++);
        asked.server = hash_of(&world, "a");
        asked.max_slot_wait = 0;
        if (ask(&world, &asked, now)->outcome == CW_SLOT_GRANTED) {
            granted++;
            give_back(&world, asked.ticket, CW_SLOT_ANSWERED, NULL, now + CW_MS(1));
        }
        world.count = 0;
    }
    ck_assert_uint_eq(granted, 6);
    clear(&world);
}
END_TEST

START_TEST(what_is_known_of_servers_that_are_gone_goes_too)
{
    broker_world_t    world;
    cw_server_list_t *list = cw_server_list_create();
    cw_slot_ask_t     asked;

    init(&world);
    asked = ask_of(&world, 1);
    (void)ask(&world, &asked, start);
    ck_assert_uint_eq(cw_slot_broker_servers(world.broker), 2);
    add_server(list, "c", "z2");
    cw_server_list_seal(list);
    cw_server_pool_update(world.pool, list, start);
    cw_slot_broker_tick(world.broker, start + CW_SECONDS(10)); /* the slot's lease is over, too */
    ck_assert_uint_eq(cw_slot_broker_servers(world.broker), 0);
    cw_server_list_release(list);
    clear(&world);
}
END_TEST

START_TEST(the_one_that_counts_is_among_the_most_capable_of_the_zone)
{
    cw_broker_candidate_t candidates[] = {
        {1, 100, "z1"}, {2, 500, "z1"}, {3, 500, "z1"}, {4, 900, "z2"}, {5, 100, "z1"}};
    uint32_t service;
    int      of_second = 0;

    for (service = 1; service <= 64; service++) {
        uint32_t address = cw_broker_choose(candidates, 5, "z1", service);

        ck_assert(address == 2 || address == 3);
        of_second += address == 2 ? 1 : 0;
    }
    ck_assert_int_gt(of_second, 10);
    ck_assert_int_lt(of_second, 54);
    ck_assert_uint_eq(cw_broker_choose(candidates, 5, "z3", 1), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("slot broker");
    TCase *cases = tcase_create("slots");

    tcase_add_test(cases, slots_are_granted_up_to_their_number_and_only_in_this_zone);
    tcase_add_test(cases, a_slot_given_back_goes_to_the_most_urgent_that_waits);
    tcase_add_test(cases, of_asks_that_are_equal_the_first_to_come_is_the_first_to_be_served);
    tcase_add_test(cases, what_would_come_too_late_is_refused_at_once_and_told_when_a_slot_is_free);
    tcase_add_test(cases, an_ask_that_may_not_wait_is_refused_when_no_slot_is_free);
    tcase_add_test(cases, what_waits_too_long_is_refused_by_the_tick);
    tcase_add_test(cases, only_the_owner_will_do_for_a_key);
    tcase_add_test(cases, an_ask_repeated_gets_the_same_reply_and_no_second_slot);
    tcase_add_test(cases, a_slot_that_is_not_given_back_is_free_after_its_lease);
    tcase_add_test(cases, requests_from_elsewhere_count_by_the_servers_own_load);
    tcase_add_test(cases, a_server_whose_work_takes_longer_now_comes_last);
    tcase_add_test(cases, a_server_that_fails_requests_of_all_nodes_is_passed_over);
    tcase_add_test(cases, a_cold_server_is_given_what_it_bears_in_any_second);
    tcase_add_test(cases, what_is_known_of_servers_that_are_gone_goes_too);
    tcase_add_test(cases, the_one_that_counts_is_among_the_most_capable_of_the_zone);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
