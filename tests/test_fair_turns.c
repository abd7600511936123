/**
 * @file test_fair_turns.c
 * @brief Fair queueing between tenants: the order of turns, and a slot broker under load from many nodes while one
 * tenant sends many times its normal rate.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance/fair_turns.h"
#include "balance/slot_broker.h"
#include "loop_fixture.h"

/* ---- order of turns ---- */

static uint64_t add_waiting(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant)
{
    uint64_t turn = cw_fair_turns_next(turns, group, tenant);

    cw_fair_turns_wait(turns, group, tenant, turn);
    return turn;
}

START_TEST(tenant_with_many_requests_delays_only_its_own)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = add_waiting(turns, group, 7);
    uint64_t         second = add_waiting(turns, group, 7);
    uint64_t         third = add_waiting(turns, group, 7);
    uint64_t         others = add_waiting(turns, group, 8);

    ck_assert_uint_lt(first, second);
    ck_assert_uint_lt(second, third);
    ck_assert_uint_lt(others, second);
    cw_fair_turns_serve(turns, group, 7, first);
    cw_fair_turns_serve(turns, group, 7, second);
    ck_assert_uint_ge(add_waiting(turns, group, 9), second); /* no request gets a turn before the current one */
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(requests_without_tenants_all_have_the_same_turn)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = add_waiting(turns, group, 0);
    int              index;

    for (index = 0; index < 10; index++) {
        ck_assert_uint_eq(add_waiting(turns, group, 0), first);
        cw_fair_turns_serve(turns, group, 0, first);
    }
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(requests_without_a_tenant_take_turns_with_tenants_that_wait)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = add_waiting(turns, group, 7);
    uint64_t         second = add_waiting(turns, group, 7);
    uint64_t         last = 0;
    int              index;

    ck_assert_uint_eq(add_waiting(turns, group, 0), first);
    for (index = 0; index < 10; index++) {
        last = add_waiting(turns, group, 0);
        ck_assert_uint_ge(last, second);
    }
    ck_assert_uint_ge(last, second + 9); /* many requests without a tenant delay only one another */
    ck_assert_uint_lt(add_waiting(turns, group, 7), last);
    cw_fair_turns_leave(turns, group, 0);
    ck_assert_uint_eq(add_waiting(turns, group, 0), last); /* a request that leaves gives its turn to the next one */
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(no_request_overtakes_earlier_ones_after_the_last_tenant_has_left)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         last = 0;
    int              index;

    (void)add_waiting(turns, group, 7);
    for (index = 0; index < 10; index++) {
        last = add_waiting(turns, group, 0);
    }
    cw_fair_turns_leave(turns, group, 7);
    ck_assert_uint_gt(last, 0);
    ck_assert_uint_eq(add_waiting(turns, group, 0), last);
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(leaving_among_requests_of_one_turn_lets_no_later_one_overtake)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 1);
    uint64_t         shared;
    int              index;

    cw_fair_turns_wait(turns, group, 7, cw_fair_turns_next(turns, group, 7));
    for (index = 0; index < 3; index++) { /* they get turns 0, 1 and 2, since a tenant's request waits */
        cw_fair_turns_wait(turns, group, 0, cw_fair_turns_next(turns, group, 0));
    }
    cw_fair_turns_serve(turns, group, 7, 0);
    shared = cw_fair_turns_next(turns, group, 0);
    cw_fair_turns_wait(turns, group, 0, shared);
    cw_fair_turns_leave(turns, group, 0);
    ck_assert_uint_ge(cw_fair_turns_next(turns, group, 0), shared);
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(request_that_leaves_unserved_costs_its_tenant_no_turn)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = add_waiting(turns, group, 7);
    int              index;

    for (index = 0; index < 1000; index++) {
        (void)add_waiting(turns, group, 7);
        cw_fair_turns_leave(turns, group, 7);
    }
    ck_assert_uint_eq(add_waiting(turns, group, 7), first + 1);
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(groups_are_independent_and_state_exists_only_for_waiting_requests)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  urgent = cw_fair_turns_group(1, 0);
    cw_turn_group_t  later = cw_fair_turns_group(1, 1);

    (void)add_waiting(turns, urgent, 7);
    (void)add_waiting(turns, urgent, 7);
    ck_assert_uint_eq(add_waiting(turns, later, 7), 0);
    ck_assert_uint_eq(cw_fair_turns_tenant_count(turns), 2);
    cw_fair_turns_serve(turns, urgent, 7, 0);
    cw_fair_turns_leave(turns, urgent, 7);
    cw_fair_turns_leave(turns, later, 7);
    ck_assert_uint_eq(cw_fair_turns_tenant_count(turns), 0);
    cw_fair_turns_free(turns);
}
END_TEST

/* ---- a broker under load ---- */

enum {
    NODES = 81,
    TENANTS = 20,
    SERVERS = 20,
    WORKERS_PER_SERVER = 2, /* requests that a server processes at once */
    WORK_MS = 100,
    LOAD_MS = 20000,
    RUNNING_MAX = 1024,
    TICK_MS = 5
};

static const double normal_per_s = 18; /* rate of each tenant; all together 0.9 of the servers' capacity */
static const double hot_factor = 7.5;  /* of the normal rate, for the hot tenant */

typedef struct running {
    cw_slot_return_t returned;
    cw_time_us_t     ends_at;
} running_t;

typedef struct asked {
    uint32_t     tenant;
    cw_time_us_t at;
} ask_record_t;

typedef struct load_fixture {
    cw_server_pool_t *pool;
    cw_slot_broker_t *broker;
    cw_time_us_t      now;
    uint64_t          random;
    uint32_t          servers[SERVERS];
    cw_time_us_t      busy_until[SERVERS][WORKERS_PER_SERVER];
    running_t         running[RUNNING_MAX];
    size_t            running_count;
    ask_record_t     *asked; /* indexed by ticket */
    uint32_t          tickets;
    uint32_t          asked_count[TENANTS + 1]; /* indexed by tenant, from 1 */
    uint32_t          served[TENANTS + 1];
    double            waited_ms[TENANTS + 1];
} load_fixture_t;

static double next_random(load_fixture_t *fixture)
{
    fixture->random = fixture->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(fixture->random >> 11) / (double)(1ULL << 53);
}

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

/* Lets the granted server process a request as soon as one of its workers is free. */
static void process_request(load_fixture_t *fixture, const cw_slot_reply_t *reply)
{
    cw_time_us_t *worker = NULL;
    size_t        server;
    size_t        index;

    for (server = 0; fixture->servers[server] != reply->server; server++) {
    }
    for (index = 0; index < WORKERS_PER_SERVER; index++) {
        if (worker == NULL || fixture->busy_until[server][index] < *worker) {
            worker = &fixture->busy_until[server][index];
        }
    }
    *worker = (*worker > fixture->now ? *worker : fixture->now) + CW_MS(WORK_MS);
    ck_assert_uint_lt(fixture->running_count, RUNNING_MAX);
    fixture->running[fixture->running_count++] = (running_t){
        .returned = {.node = reply->node, .ticket = reply->ticket, .end = CW_SLOT_ANSWERED}, .ends_at = *worker};
}

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    load_fixture_t     *fixture = context;
    const ask_record_t *asked = &fixture->asked[reply->ticket];

    if (reply->outcome == CW_SLOT_GRANTED) {
        fixture->served[asked->tenant]++;
        fixture->waited_ms[asked->tenant] += (double)(fixture->now - asked->at) / 1000;
        process_request(fixture, reply);
    }
}

static void init(load_fixture_t *fixture)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    memset(fixture, 0, sizeof(*fixture));
    fixture->now = CW_SECONDS(10);
    fixture->random = 12345;
    fixture->asked = calloc(100000, sizeof(*fixture->asked));
    ck_assert_ptr_nonnull(fixture->asked);
    fixture->pool = cw_server_pool_create("z1", on_dropped, NULL);
    for (index = 0; index < SERVERS; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);
        char               id[16];

        snprintf(id, sizeof(id), "s%zu", index);
        entry->id = strdup(id);
        entry->service = strdup("docks");
        entry->address = strdup(id);
        entry->zone = strdup("z1");
        entry->capacity = WORKERS_PER_SERVER;
    }
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->pool, list, fixture->now);
    cw_server_list_release(list);
    for (index = 0; index < SERVERS; index++) {
        char id[16];

        snprintf(id, sizeof(id), "s%zu", index);
        fixture->servers[index] = cw_server_pool_find(fixture->pool, id)->hash;
    }
    fixture->broker = cw_slot_broker_create(fixture->pool, "z1", on_replied, fixture);
}

static void send_ask(load_fixture_t *fixture, uint32_t tenant)
{
    cw_slot_ask_t ask = {.node = 1 + (uint32_t)(next_random(fixture) * NODES),
                         .ticket = ++fixture->tickets,
                         .service = cw_server_pool_find(fixture->pool, "s0")->service_hash,
                         .tenant = tenant,
                         .objective = CW_MS(600),
                         .lease = CW_SECONDS(4),
                         .max_slot_wait = CW_SECONDS(4)};

    fixture->asked_count[tenant]++;
    fixture->asked[ask.ticket] = (ask_record_t){.tenant = tenant, .at = fixture->now};
    cw_slot_broker_ask(fixture->broker, &ask, CW_MS(WORK_MS), fixture->now);
}

static void return_finished(load_fixture_t *fixture)
{
    size_t index = 0;

    while (index < fixture->running_count) {
        running_t done = fixture->running[index];

        if (done.ends_at > fixture->now) {
            index++;
            continue;
        }
        fixture->running[index] = fixture->running[--fixture->running_count];
        cw_slot_broker_return(fixture->broker, &done.returned, fixture->now);
    }
}

/* Runs the load for LOAD_MS; tenant 1 sends at `times` the normal rate. */
static void run_load(load_fixture_t *fixture, double times)
{
    int ms;

    for (ms = 0; ms < LOAD_MS; ms++) {
        uint32_t tenant;

        return_finished(fixture);
        for (tenant = 1; tenant <= TENANTS; tenant++) {
            if (next_random(fixture) < normal_per_s * (tenant == 1 ? times : 1) / 1000) {
                send_ask(fixture, tenant);
            }
        }
        if (ms % TICK_MS == 0) {
            cw_slot_broker_tick(fixture->broker, fixture->now);
        }
        fixture->now += CW_MS(1);
    }
}

static void clear(load_fixture_t *fixture)
{
    cw_slot_broker_free(fixture->broker);
    cw_server_pool_free(fixture->pool);
    free(fixture->asked);
}

/* Mean wait for a slot, over the requests of all tenants but the first. */
static double mean_wait_ms(const load_fixture_t *fixture)
{
    double   waited = 0;
    uint32_t served = 0;
    uint32_t tenant;

    for (tenant = 2; tenant <= TENANTS; tenant++) {
        waited += fixture->waited_ms[tenant];
        served += fixture->served[tenant];
    }
    return waited / served;
}

/* Share of requests that were granted a slot, of tenants `first` to `last`. */
static double share_served(const load_fixture_t *fixture, uint32_t first, uint32_t last)
{
    double   asked_count = 0;
    double   served = 0;
    uint32_t tenant;

    for (tenant = first; tenant <= last; tenant++) {
        asked_count += fixture->asked_count[tenant];
        served += fixture->served[tenant];
    }
    return served / asked_count;
}

START_TEST(tenant_at_many_times_its_normal_rate_does_not_take_the_others_slots)
{
    load_fixture_t before;
    load_fixture_t hot;
    double         least = 1;
    uint32_t       tenant;

    init(&before);
    run_load(&before, 1);
    init(&hot);
    run_load(&hot, hot_factor);
    for (tenant = 1; tenant <= TENANTS; tenant++) {
        double share = share_served(&hot, tenant, tenant);

        least = share < least ? share : least;
    }
    printf("served: all %.3f, the hot tenant %.3f, the others %.3f (before %.3f), least %.3f; the others wait %.1f ms, "
           "before %.1f ms\n",
           share_served(&hot, 1, TENANTS), share_served(&hot, 1, 1), share_served(&hot, 2, TENANTS),
           share_served(&before, 2, TENANTS), least, mean_wait_ms(&hot), mean_wait_ms(&before));
    fflush(stdout);
    ck_assert_double_ge(least, share_served(&hot, 1, TENANTS) / 4);
    ck_assert_double_ge(share_served(&hot, 2, TENANTS), share_served(&before, 2, TENANTS) - 0.01);
    /* Each waits for one slot at most: servers have twice as many slots as workers, and one is returned every 2.5 ms.
     */
    ck_assert_double_le(mean_wait_ms(&hot), mean_wait_ms(&before) + WORK_MS / 2.0);
    clear(&before);
    clear(&hot);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("fair turns");
    TCase *cases = tcase_create("turns");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, tenant_with_many_requests_delays_only_its_own);
    tcase_add_test(cases, requests_without_tenants_all_have_the_same_turn);
    tcase_add_test(cases, requests_without_a_tenant_take_turns_with_tenants_that_wait);
    tcase_add_test(cases, no_request_overtakes_earlier_ones_after_the_last_tenant_has_left);
    tcase_add_test(cases, leaving_among_requests_of_one_turn_lets_no_later_one_overtake);
    tcase_add_test(cases, request_that_leaves_unserved_costs_its_tenant_no_turn);
    tcase_add_test(cases, groups_are_independent_and_state_exists_only_for_waiting_requests);
    tcase_add_test(cases, tenant_at_many_times_its_normal_rate_does_not_take_the_others_slots);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
