/**
 * @file test_fair_turns.c
 * @brief Tenants take turns: in the order itself, and at a slot broker that many nodes ask while one tenant sends many
 * times its usual.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance/fair_turns.h"
#include "balance/slot_broker.h"
#include "loop_fixture.h"

/* ---- the order ---- */

static uint64_t wait_in(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant)
{
    uint64_t turn = cw_fair_turns_next(turns, group, tenant);

    cw_fair_turns_wait(turns, group, tenant, turn);
    return turn;
}

START_TEST(a_tenant_of_many_requests_waits_behind_itself)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = wait_in(turns, group, 7);
    uint64_t         second = wait_in(turns, group, 7);
    uint64_t         third = wait_in(turns, group, 7);
    uint64_t         others = wait_in(turns, group, 8);

    ck_assert_uint_lt(first, second);
    ck_assert_uint_lt(second, third);
    ck_assert_uint_lt(others, second);
    cw_fair_turns_serve(turns, group, 7, first);
    cw_fair_turns_serve(turns, group, 7, second);
    ck_assert_uint_ge(wait_in(turns, group, 9), second); /* nobody gets turns that are over */
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(without_tenants_all_have_the_same_turn)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = wait_in(turns, group, 0);
    int              index;

    for (index = 0; index < 10; index++) {
        ck_assert_uint_eq(wait_in(turns, group, 0), first);
        cw_fair_turns_serve(turns, group, 0, first);
    }
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(requests_without_a_tenant_take_turns_with_tenants_that_wait)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = wait_in(turns, group, 7);
    uint64_t         second = wait_in(turns, group, 7);
    uint64_t         last = 0;
    int              index;

    ck_assert_uint_eq(wait_in(turns, group, 0), first);
    for (index = 0; index < 10; index++) {
        last = wait_in(turns, group, 0);
        ck_assert_uint_ge(last, second);
    }
    ck_assert_uint_ge(last, second + 9); /* a flood waits behind itself, */
    ck_assert_uint_lt(wait_in(turns, group, 7), last);
    cw_fair_turns_leave(turns, group, 0);
    ck_assert_uint_eq(wait_in(turns, group, 0), last); /* and what leaves gives its turn to the next one */
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(when_the_last_tenant_has_left_no_request_passes_those_before_it)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         last = 0;
    int              index;

    (void)wait_in(turns, group, 7);
    for (index = 0; index < 10; index++) {
        last = wait_in(turns, group, 0);
    }
    cw_fair_turns_leave(turns, group, 7);
    ck_assert_uint_gt(last, 0);
    ck_assert_uint_eq(wait_in(turns, group, 0), last);
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(what_leaves_among_requests_of_the_same_turn_lets_no_later_one_pass_the_others)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 1);
    uint64_t         shared;
    int              index;

    cw_fair_turns_wait(turns, group, 7, cw_fair_turns_next(turns, group, 7));
    for (index = 0; index < 3; index++) { /* turns 0, 1, 2, beside a tenant's */
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

START_TEST(what_leaves_unserved_costs_its_tenant_no_turn)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  group = cw_fair_turns_group(1, 0);
    uint64_t         first = wait_in(turns, group, 7);
    int              index;

    for (index = 0; index < 1000; index++) {
        (void)wait_in(turns, group, 7);
        cw_fair_turns_leave(turns, group, 7);
    }
    ck_assert_uint_eq(wait_in(turns, group, 7), first + 1);
    cw_fair_turns_free(turns);
}
END_TEST

START_TEST(groups_do_not_touch_each_other_and_only_what_waits_is_kept)
{
    cw_fair_turns_t *turns = cw_fair_turns_create();
    cw_turn_group_t  urgent = cw_fair_turns_group(1, 0);
    cw_turn_group_t  later = cw_fair_turns_group(1, 1);

    (void)wait_in(turns, urgent, 7);
    (void)wait_in(turns, urgent, 7);
    ck_assert_uint_eq(wait_in(turns, later, 7), 0);
    ck_assert_uint_eq(cw_fair_turns_kept(turns), 2);
    cw_fair_turns_serve(turns, urgent, 7, 0);
    cw_fair_turns_leave(turns, urgent, 7);
    cw_fair_turns_leave(turns, later, 7);
    ck_assert_uint_eq(cw_fair_turns_kept(turns), 0);
    cw_fair_turns_free(turns);
}
END_TEST

/* ---- a broker under load ---- */

enum {
    NODES = 81,
    TENANTS = 20,
    SERVERS = 20,
    WORKERS = 2, /* of a server: it works on so many requests at once */
    WORK_MS = 100,
    PLAY_MS = 20000,
    RUNNING_MAX = 1024,
    TICK_MS = 5
};

static const double usual_per_s = 18; /* of each tenant; all together 0.9 of what the servers can do */
static const double hot_times = 7.5;

typedef struct running {
    cw_slot_return_t returned;
    cw_time_us_t     ends_at;
} running_t;

typedef struct asked {
    uint32_t     tenant;
    cw_time_us_t at;
} asked_t;

typedef struct load_world {
    cw_server_pool_t *pool;
    cw_slot_broker_t *broker;
    cw_time_us_t      now;
    uint64_t          random;
    uint32_t          servers[SERVERS];
    cw_time_us_t      busy_until[SERVERS][WORKERS];
    running_t         running[RUNNING_MAX];
    size_t            running_count;
    asked_t          *asked; /* by ticket */
    uint32_t          tickets;
    uint32_t          came[TENANTS + 1]; /* tenants are numbered from 1 */
    uint32_t          served[TENANTS + 1];
    double            waited_ms[TENANTS + 1];
} load_world_t;

static double draw(load_world_t *world)
{
    world->random = world->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(world->random >> 11) / (double)(1ULL << 53);
}

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

/* The server begins with it when one of its workers is free. */
static void run(load_world_t *world, const cw_slot_reply_t *reply)
{
    cw_time_us_t *worker = NULL;
    size_t        server;
    size_t        index;

    for (server = 0; world->servers[server] != reply->server; server++) {
    }
    for (index = 0; index < WORKERS; index++) {
        if (worker == NULL || world->busy_until[server][index] < *worker) {
            worker = &world->busy_until[server][index];
        }
    }
    *worker = (*worker > world->now ? *worker : world->now) + CW_MS(WORK_MS);
    ck_assert_uint_lt(world->running_count, RUNNING_MAX);
    world->running[world->running_count++] = (running_t){
        .returned = {.node = reply->node, .ticket = reply->ticket, .end = CW_SLOT_ANSWERED}, .ends_at = *worker};
}

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    load_world_t  *world = context;
    const asked_t *asked = &world->asked[reply->ticket];

    if (reply->outcome == CW_SLOT_GRANTED) {
        world->served[asked->tenant]++;
        world->waited_ms[asked->tenant] += (double)(world->now - asked->at) / 1000;
        run(world, reply);
    }
}

static void init(load_world_t *world)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    memset(world, 0, sizeof(*world));
    world->now = CW_SECONDS(10);
    world->random = 12345;
    world->asked = calloc(100000, sizeof(*world->asked));
    ck_assert_ptr_nonnull(world->asked);
    world->pool = cw_server_pool_create("z1", on_dropped, NULL);
    for (index = 0; index < SERVERS; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);
        char               id[16];

        snprintf(id, sizeof(id), "s%zu", index);
        entry->id = strdup(id);
        entry->service = strdup("docks");
        entry->address = strdup(id);
        entry->zone = strdup("z1");
        entry->capacity = WORKERS;
    }
    cw_server_list_seal(list);
    cw_server_pool_update(world->pool, list, world->now);
    cw_server_list_release(list);
    for (index = 0; index < SERVERS; index++) {
        char id[16];

        snprintf(id, sizeof(id), "s%zu", index);
        world->servers[index] = cw_server_pool_find(world->pool, id)->hash;
    }
    world->broker = cw_slot_broker_create(world->pool, "z1", on_replied, world);
}

static void come(load_world_t *world, uint32_t tenant)
{
    cw_slot_ask_t ask = {.node = 1 + (uint32_t)(draw(world) * NODES),
                         .ticket = ++world->tickets,
                         .service = cw_server_pool_find(world->pool, "s0")->service_hash,
                         .tenant = tenant,
                         .objective = CW_MS(600),
                         .lease = CW_SECONDS(4),
                         .max_slot_wait = CW_SECONDS(4)};

    world->came[tenant]++;
    world->asked[ask.ticket] = (asked_t){.tenant = tenant, .at = world->now};
    cw_slot_broker_ask(world->broker, &ask, CW_MS(WORK_MS), world->now);
}

static void give_back_done(load_world_t *world)
{
    size_t index = 0;

    while (index < world->running_count) {
        running_t done = world->running[index];

        if (done.ends_at > world->now) {
            index++;
            continue;
        }
        world->running[index] = world->running[--world->running_count];
        cw_slot_broker_return(world->broker, &done.returned, world->now);
    }
}

/* Tenant 1 sends so many times the usual. */
static void play(load_world_t *world, double times)
{
    int ms;

    for (ms = 0; ms < PLAY_MS; ms++) {
        uint32_t tenant;

        give_back_done(world);
        for (tenant = 1; tenant <= TENANTS; tenant++) {
            if (draw(world) < usual_per_s * (tenant == 1 ? times : 1) / 1000) {
                come(world, tenant);
            }
        }
        if (ms % TICK_MS == 0) {
            cw_slot_broker_tick(world->broker, world->now);
        }
        world->now += CW_MS(1);
    }
}

static void clear(load_world_t *world)
{
    cw_slot_broker_free(world->broker);
    cw_server_pool_free(world->pool);
    free(world->asked);
}

/* Of all but the first tenant. */
static double mean_wait_ms(const load_world_t *world)
{
    double   waited = 0;
    uint32_t served = 0;
    uint32_t tenant;

    for (tenant = 2; tenant <= TENANTS; tenant++) {
        waited += world->waited_ms[tenant];
        served += world->served[tenant];
    }
    return waited / served;
}

static double share_served(const load_world_t *world, uint32_t first, uint32_t last)
{
    double   came = 0;
    double   served = 0;
    uint32_t tenant;

    for (tenant = first; tenant <= last; tenant++) {
        came += world->came[tenant];
        served += world->served[tenant];
    }
    return served / came;
}

START_TEST(one_tenant_at_many_times_its_usual_does_not_take_the_others_slots)
{
    load_world_t before;
    load_world_t hot;
    double       least = 1;
    uint32_t     tenant;

    init(&before);
    play(&before, 1);
    init(&hot);
    play(&hot, hot_times);
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
    /* Each waits for a slot at most: servers have twice as many as workers, and one is given back each 2.5 ms. */
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
    tcase_add_test(cases, a_tenant_of_many_requests_waits_behind_itself);
    tcase_add_test(cases, without_tenants_all_have_the_same_turn);
    tcase_add_test(cases, requests_without_a_tenant_take_turns_with_tenants_that_wait);
    tcase_add_test(cases, when_the_last_tenant_has_left_no_request_passes_those_before_it);
    tcase_add_test(cases, what_leaves_among_requests_of_the_same_turn_lets_no_later_one_pass_the_others);
    tcase_add_test(cases, what_leaves_unserved_costs_its_tenant_no_turn);
    tcase_add_test(cases, groups_do_not_touch_each_other_and_only_what_waits_is_kept);
    tcase_add_test(cases, one_tenant_at_many_times_its_usual_does_not_take_the_others_slots);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
