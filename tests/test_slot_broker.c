/**
 * @file test_slot_broker.c
 * @brief Slot broker: asks that are granted, queued or refused, their order, and returned slots.
 */
#include <string.h>

#include "balance/slot_broker.h"
#include "loop_fixture.h"
#include "router/broker_choice.h"

enum { REPLIES_MAX = 256, SLOTS = 4 /* requests granted to a server that can process two at once */ };

static const cw_time_us_t start = CW_SECONDS(10);
static const cw_time_us_t mean_time = CW_MS(100);

typedef struct broker_fixture {
    cw_server_pool_t *pool;
    cw_slot_broker_t *broker;
    cw_slot_reply_t   replies[REPLIES_MAX];
    size_t            count;
} broker_fixture_t;

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    broker_fixture_t *fixture = context;

    ck_assert_uint_lt(fixture->count, REPLIES_MAX);
    fixture->replies[fixture->count++] = *reply;
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

/* Creates a broker for servers a and b in this zone and c in another one. */
static void init(broker_fixture_t *fixture)
{
    cw_server_list_t *list = cw_server_list_create();

    memset(fixture, 0, sizeof(*fixture));
    fixture->pool = cw_server_pool_create("z1", on_dropped, NULL);
    add_server(list, "a", "z1");
    add_server(list, "b", "z1");
    add_server(list, "c", "z2");
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->pool, list, start);
    cw_server_list_release(list);
    fixture->broker = cw_slot_broker_create(fixture->pool, "z1", on_replied, fixture);
}

static void clear(broker_fixture_t *fixture)
{
    cw_slot_broker_free(fixture->broker);
    cw_server_pool_free(fixture->pool);
}

static uint32_t hash_of(const broker_fixture_t *fixture, const char *id)
{
    return cw_server_pool_find(fixture->pool, id)->hash;
}

static cw_slot_ask_t ask_of(const broker_fixture_t *fixture, uint32_t ticket)
{
    return (cw_slot_ask_t){.node = 1,
                           .ticket = ticket,
                           .service = cw_server_pool_find(fixture->pool, "a")->service_hash,
                           .objective = CW_MS(500),
                           .lease = CW_SECONDS(2),
                           .max_slot_wait = CW_SECONDS(2)};
}

static const cw_slot_reply_t *ask(broker_fixture_t *fixture, const cw_slot_ask_t *asked, cw_time_us_t now)
{
    cw_slot_broker_ask(fixture->broker, asked, mean_time, now);
    return &fixture->replies[fixture->count - 1];
}

static void give_back(broker_fixture_t *fixture, uint32_t ticket, cw_slot_end_t end, const cw_server_load_t *load,
                      cw_time_us_t now)
{
    cw_server_signals_t signals = {.has_load = load != NULL};
    cw_slot_return_t    returned = {.node = 1, .ticket = ticket, .end = end, .signals = &signals};

    if (load != NULL) {
        signals.load = *load;
    }

    cw_slot_broker_return(fixture->broker, &returned, now);
}

/* Takes all slots of the zone with tickets from 1; returns the next ticket. */
static uint32_t fill(broker_fixture_t *fixture)
{
    uint32_t ticket;

    for (ticket = 1; ticket <= 2 * SLOTS; ticket++) {
        cw_slot_ask_t asked = ask_of(fixture, ticket);

        ck_assert_int_eq(ask(fixture, &asked, start)->outcome, CW_SLOT_GRANTED);
    }
    return ticket;
}

START_TEST(grants_all_slots_of_this_zone_and_no_others)
{
    broker_fixture_t fixture;
    uint32_t         next;
    cw_slot_ask_t    asked;
    size_t           index;
    uint32_t         at_a = 0;

    init(&fixture);
    next = fill(&fixture);
    for (index = 0; index < fixture.count; index++) {
        ck_assert_uint_ne(fixture.replies[index].server, hash_of(&fixture, "c"));
        at_a += fixture.replies[index].server == hash_of(&fixture, "a") ? 1 : 0;
    }
    ck_assert_uint_eq(at_a, SLOTS);
    asked = ask_of(&fixture, next);
    ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_QUEUED);
    clear(&fixture);
}
END_TEST

START_TEST(returned_slot_goes_to_the_most_urgent_waiting_ask)
{
    broker_fixture_t fixture;
    uint32_t         next;
    cw_slot_ask_t    low;
    cw_slot_ask_t    late;
    cw_slot_ask_t    urgent;

    init(&fixture);
    next = fill(&fixture);
    low = ask_of(&fixture, next);
    low.priority = 2;
    late = ask_of(&fixture, next + 1);
    urgent = ask_of(&fixture, next + 2);
    urgent.objective = CW_MS(400);
    (void)ask(&fixture, &low, start);
    (void)ask(&fixture, &late, start);
    (void)ask(&fixture, &urgent, start);
    give_back(&fixture, 1, CW_SLOT_ANSWERED, NULL, start + CW_MS(10));
    ck_assert_uint_eq(fixture.replies[fixture.count - 1].ticket, urgent.ticket);
    ck_assert_int_eq(fixture.replies[fixture.count - 1].outcome, CW_SLOT_GRANTED);
    give_back(&fixture, 2, CW_SLOT_ANSWERED, NULL, start + CW_MS(11));
    ck_assert_uint_eq(fixture.replies[fixture.count - 1].ticket, late.ticket);
    give_back(&fixture, 3, CW_SLOT_ANSWERED, NULL, start + CW_MS(12));
    ck_assert_uint_eq(fixture.replies[fixture.count - 1].ticket, low.ticket);
    clear(&fixture);
}
END_TEST

START_TEST(equal_asks_are_served_in_order_of_arrival)
{
    broker_fixture_t fixture;
    uint32_t         next;
    uint32_t         index;

    init(&fixture);
    next = fill(&fixture);
    for (index = 0; index < 3; index++) {
        cw_slot_ask_t asked = ask_of(&fixture, next + index);

        ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_QUEUED);
    }
    for (index = 0; index < 3; index++) {
        give_back(&fixture, index + 1, CW_SLOT_ANSWERED, NULL, start + CW_MS(10));
        ck_assert_int_eq(fixture.replies[fixture.count - 1].outcome, CW_SLOT_GRANTED);
        ck_assert_uint_eq(fixture.replies[fixture.count - 1].ticket, next + index);
    }
    clear(&fixture);
}
END_TEST

START_TEST(ask_that_would_be_late_is_refused_with_the_time_until_a_slot_is_free)
{
    broker_fixture_t       fixture;
    uint32_t               next;
    const cw_slot_reply_t *reply;
    int                    refused = 0;
    int                    index;

    init(&fixture);
    next = fill(&fixture);
    for (index = 0; index < 40; index++) {
        cw_slot_ask_t asked = ask_of(&fixture, next + (uint32_t)index);

        reply = ask(&fixture, &asked, start);
        if (reply->outcome == CW_SLOT_REFUSED) {
            refused++;
            ck_assert_int_gt(reply->free_after, 0);
        }
    }
    ck_assert_int_gt(refused, 10);
    ck_assert_uint_eq(cw_slot_broker_waiting(fixture.broker), (size_t)(40 - refused));
    clear(&fixture);
}
END_TEST

START_TEST(ask_that_may_not_wait_is_refused_if_no_slot_is_free)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;

    init(&fixture);
    asked = ask_of(&fixture, fill(&fixture));
    asked.max_slot_wait = 0;
    ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_REFUSED);
    clear(&fixture);
}
END_TEST

START_TEST(tick_refuses_asks_that_wait_too_long)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;

    init(&fixture);
    asked = ask_of(&fixture, fill(&fixture));
    ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_QUEUED);
    cw_slot_broker_tick(fixture.broker, start + CW_MS(100));
    ck_assert_uint_eq(cw_slot_broker_waiting(fixture.broker), 1);
    cw_slot_broker_tick(fixture.broker, start + CW_MS(450));
    ck_assert_uint_eq(cw_slot_broker_waiting(fixture.broker), 0);
    ck_assert_int_eq(fixture.replies[fixture.count - 1].outcome, CW_SLOT_REFUSED);
    clear(&fixture);
}
END_TEST

START_TEST(ask_for_a_key_gets_only_slots_of_its_owner)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;
    uint32_t         ticket;

    init(&fixture);
    for (ticket = 1; ticket <= SLOTS; ticket++) {
        asked = ask_of(&fixture, ticket);
        asked.server = hash_of(&fixture, "b");
        ck_assert_uint_eq(ask(&fixture, &asked, start)->server, hash_of(&fixture, "b"));
    }
    asked.ticket = ticket;
    ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_QUEUED); /* although a has free slots */
    asked = ask_of(&fixture, ticket + 1);
    ck_assert_uint_eq(ask(&fixture, &asked, start)->server, hash_of(&fixture, "a"));
    asked.ticket = ticket + 2;
    asked.server = hash_of(&fixture, "c"); /* in another zone, whose broker counts its slots */
    ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_REFUSED);
    clear(&fixture);
}
END_TEST

START_TEST(repeated_ask_gets_the_same_reply_and_no_second_slot)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;

    init(&fixture);
    asked = ask_of(&fixture, 7);
    (void)ask(&fixture, &asked, start);
    (void)ask(&fixture, &asked, start + CW_MS(20));
    ck_assert_uint_eq(fixture.count, 2);
    ck_assert_uint_eq(fixture.replies[0].server, fixture.replies[1].server);
    ck_assert_uint_eq(cw_slot_broker_granted(fixture.broker), 1);
    clear(&fixture);
}
END_TEST

START_TEST(slot_that_is_not_returned_is_free_after_its_lease)
{
    broker_fixture_t fixture;

    init(&fixture);
    (void)fill(&fixture);
    cw_slot_broker_tick(fixture.broker, start + CW_MS(1999));
    ck_assert_uint_eq(cw_slot_broker_granted(fixture.broker), 2 * SLOTS);
    cw_slot_broker_tick(fixture.broker, start + CW_SECONDS(2));
    ck_assert_uint_eq(cw_slot_broker_granted(fixture.broker), 0);
    give_back(&fixture, 1, CW_SLOT_ANSWERED, NULL, start + CW_SECONDS(3)); /* too late: ignored */
    ck_assert_uint_eq(cw_slot_broker_granted(fixture.broker), 0);
    clear(&fixture);
}
END_TEST

START_TEST(requests_not_granted_here_count_by_the_servers_load_sample)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;
    cw_server_load_t load = {.running = 2, .waiting = 2, .slots = 2};

    init(&fixture);
    asked = ask_of(&fixture, 1);
    asked.server = hash_of(&fixture, "a");
    (void)ask(&fixture, &asked, start);
    give_back(&fixture, 1, CW_SLOT_ANSWERED, &load, start + CW_MS(50));
    asked.ticket = 2;
    ck_assert_int_eq(ask(&fixture, &asked, start + CW_MS(60))->outcome, CW_SLOT_QUEUED);
    cw_slot_broker_tick(fixture.broker, start + CW_MS(360)); /* the sample has expired */
    ck_assert_int_eq(fixture.replies[fixture.count - 1].outcome, CW_SLOT_GRANTED);
    clear(&fixture);
}
END_TEST

START_TEST(server_with_longer_processing_time_is_chosen_last)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;
    cw_server_load_t load = {.running = 0, .waiting = 0, .slots = 2, .work_percent = 300};
    uint32_t         first;

    init(&fixture);
    asked = ask_of(&fixture, 1);
    first = ask(&fixture, &asked, start)->server;
    give_back(&fixture, 1, CW_SLOT_ANSWERED, &load, start + CW_MS(100));
    asked.ticket = 2;
    ck_assert_uint_ne(ask(&fixture, &asked, start + CW_MS(110))->server, first);
    clear(&fixture);
}
END_TEST

START_TEST(server_that_fails_repeatedly_is_avoided)
{
    broker_fixture_t fixture;
    cw_slot_ask_t    asked;
    uint32_t         ticket;

    init(&fixture);
    for (ticket = 1; ticket <= 2; ticket++) {
        asked = ask_of(&fixture, ticket);
        asked.server = hash_of(&fixture, "a");
        (void)ask(&fixture, &asked, start);
        give_back(&fixture, ticket, CW_SLOT_FAILED, NULL, start);
    }
    for (; ticket < 3 + SLOTS; ticket++) {
        asked = ask_of(&fixture, ticket);
        ck_assert_uint_eq(ask(&fixture, &asked, start)->server, hash_of(&fixture, "b"));
    }
    asked = ask_of(&fixture, ticket);
    ck_assert_int_eq(ask(&fixture, &asked, start)->outcome, CW_SLOT_QUEUED);
    clear(&fixture);
}
END_TEST

START_TEST(cold_server_is_granted_no_more_than_it_can_handle_a_second)
{
    broker_fixture_t fixture;
    cw_warm_up_t     warm_up = {.duration = CW_SECONDS(3), .per_s = 6.7};
    cw_slot_ask_t    asked;
    cw_time_us_t     now;
    uint32_t         ticket = 1;
    uint32_t         granted = 0;

    init(&fixture);
    cw_server_pool_set_warm_up(fixture.pool, "docks", &warm_up);
    cw_server_pool_find(fixture.pool, "a")->cold_until = start + CW_SECONDS(3);
    for (now = start; now < start + CW_SECONDS(1); now += CW_MS(5)) {
        asked = ask_of(&fixture, ticket++);
        asked.server = hash_of(&fixture, "a");
        asked.max_slot_wait = 0;
        if (ask(&fixture, &asked, now)->outcome == CW_SLOT_GRANTED) {
            granted++;
            give_back(&fixture, asked.ticket, CW_SLOT_ANSWERED, NULL, now + CW_MS(1));
        }
        fixture.count = 0;
    }
    ck_assert_uint_eq(granted, 6);
    clear(&fixture);
}
END_TEST

START_TEST(state_of_unlisted_servers_is_removed)
{
    broker_fixture_t  fixture;
    cw_server_list_t *list = cw_server_list_create();
    cw_slot_ask_t     asked;

    init(&fixture);
    asked = ask_of(&fixture, 1);
    (void)ask(&fixture, &asked, start);
    ck_assert_uint_eq(cw_slot_broker_server_count(fixture.broker), 2);
    add_server(list, "c", "z2");
    cw_server_list_seal(list);
    cw_server_pool_update(fixture.pool, list, start);
    cw_slot_broker_tick(fixture.broker, start + CW_SECONDS(10)); /* the slot's lease has ended, too */
    ck_assert_uint_eq(cw_slot_broker_server_count(fixture.broker), 0);
    cw_server_list_release(list);
    clear(&fixture);
}
END_TEST

START_TEST(broker_is_among_the_most_capable_nodes_of_the_zone)
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

    tcase_add_test(cases, grants_all_slots_of_this_zone_and_no_others);
    tcase_add_test(cases, returned_slot_goes_to_the_most_urgent_waiting_ask);
    tcase_add_test(cases, equal_asks_are_served_in_order_of_arrival);
    tcase_add_test(cases, ask_that_would_be_late_is_refused_with_the_time_until_a_slot_is_free);
    tcase_add_test(cases, ask_that_may_not_wait_is_refused_if_no_slot_is_free);
    tcase_add_test(cases, tick_refuses_asks_that_wait_too_long);
    tcase_add_test(cases, ask_for_a_key_gets_only_slots_of_its_owner);
    tcase_add_test(cases, repeated_ask_gets_the_same_reply_and_no_second_slot);
    tcase_add_test(cases, slot_that_is_not_returned_is_free_after_its_lease);
    tcase_add_test(cases, requests_not_granted_here_count_by_the_servers_load_sample);
    tcase_add_test(cases, server_with_longer_processing_time_is_chosen_last);
    tcase_add_test(cases, server_that_fails_repeatedly_is_avoided);
    tcase_add_test(cases, cold_server_is_granted_no_more_than_it_can_handle_a_second);
    tcase_add_test(cases, state_of_unlisted_servers_is_removed);
    tcase_add_test(cases, broker_is_among_the_most_capable_nodes_of_the_zone);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
