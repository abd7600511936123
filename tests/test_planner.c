/**
 * @file test_planner.c
 * @brief Tests of the planner: forced moves, moves that gain more than their price, and ranges that stay.
 */
#include <stdlib.h>
#include <string.h>

#include "assigner_fixture.h"
#include "base/text.h"
#include "loop_fixture.h"
#include "placement/planner.h"

static const char *const four[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80", "i-d@10.0.0.4:80", NULL};

typedef struct planner_fixture {
    assigner_fixture_t  assigner;
    cw_load_window_t    window;
    cw_planner_server_t servers[8];
    size_t              server_count;
    double              crossing_cost; /* cost of a request from another region, in usual response times */
} planner_fixture_t;

static void refresh_servers(planner_fixture_t *fixture)
{
    size_t index;

    fixture->server_count = fixture->assigner.servers->count;
    for (index = 0; index < fixture->server_count; index++) {
        const cw_server_entry_t *entry = &fixture->assigner.servers->entries[index];

        fixture->servers[index] =
            (cw_planner_server_t){.entry = entry, .usable = !entry->draining, .pace = 1, .cost_s = 0.1 / 2};
    }
}

static void init(planner_fixture_t *fixture, const char *const *texts)
{
    memset(fixture, 0, sizeof(*fixture));
    assigner_fixture_init(&fixture->assigner, 1);
    assigner_fixture_set_servers(&fixture->assigner, texts);
    assigner_fixture_settle(&fixture->assigner);
    fixture->assigner.now += CW_SECONDS(2);
    refresh_servers(fixture);
}

static void clear(planner_fixture_t *fixture)
{
    cw_load_window_clear(&fixture->window);
    assigner_fixture_clear(&fixture->assigner);
}

/* Adds requests of the last two seconds, distributed evenly over keys low to last. */
static void add_load(planner_fixture_t *fixture, uint32_t low, uint32_t last, double per_s)
{
    size_t count = (size_t)(per_s * 2);
    size_t index;

    for (index = 0; index < count; index++) {
        cw_time_us_t at = fixture->assigner.now - CW_SECONDS(2) + (cw_time_us_t)((double)CW_SECONDS(2) * index / count);

        cw_load_window_add(&fixture->window,
                           low + (uint32_t)((uint64_t)(last - low) * ((index * 7919) % count) / count), 1, at);
    }
}

static size_t plan_by_list(planner_fixture_t *fixture, bool doubts_list)
{
    return cw_planner_run(&(cw_planner_input_t){.assigner = fixture->assigner.assigner,
                                                .settings = &cw_planner_defaults,
                                                .servers = fixture->servers,
                                                .server_count = fixture->server_count,
                                                .list = fixture->assigner.servers,
                                                .window = &fixture->window,
                                                .crossing_cost = fixture->crossing_cost,
                                                .doubts_list = doubts_list,
                                                .now = fixture->assigner.now});
}

static size_t plan(planner_fixture_t *fixture)
{
    return plan_by_list(fixture, false);
}

/* Plans and executes the moves, for some rounds. */
static void run_rounds(planner_fixture_t *fixture, int rounds)
{
    while (rounds-- > 0) {
        (void)plan(fixture);
        assigner_fixture_tick(&fixture->assigner, CW_MS(20));
        assigner_fixture_tick(&fixture->assigner, CW_MS(20));
        assigner_fixture_answer(&fixture->assigner, CW_ORDER_DONE, "token");
        assigner_fixture_tick(&fixture->assigner, CW_MS(20));
        assigner_fixture_answer(&fixture->assigner, CW_ORDER_DONE, NULL);
    }
}

static size_t keys_of(const planner_fixture_t *fixture, const char *id)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(fixture->assigner.assigner);
    size_t                 keys = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        if (strcmp(ranges->items[index].owner.id, id) == 0) {
            keys += ranges->items[index].last - ranges->items[index].low + 1;
        }
    }
    return keys;
}

/* Share of the load on keys low to last that the busiest of their owners has. */
static double busiest_share(const planner_fixture_t *fixture, uint32_t low, uint32_t last)
{
    uint32_t counts[8] = {0};
    uint32_t key;
    uint32_t most = 0;
    size_t   index;

    for (key = low; key <= last; key++) {
        for (index = 0; index < fixture->server_count; index++) {
            counts[index] += strcmp(assigner_fixture_range(&fixture->assigner, key)->owner.id,
                                    fixture->servers[index].entry->id) == 0
                                 ? 1
                                 : 0;
        }
    }
    for (index = 0; index < fixture->server_count; index++) {
        most = counts[index] > most ? counts[index] : most;
    }
    return (double)most / (last - low + 1);
}

START_TEST(nothing_moves_under_even_load)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    add_load(&fixture, 0, CW_KEY_LAST, 40);
    ck_assert_uint_eq(plan(&fixture), 0);
    clear(&fixture);
}
END_TEST

START_TEST(a_hot_part_of_the_keys_is_spread_in_one_plan)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    add_load(&fixture, 1000, 1199, 50);
    ck_assert_double_eq(busiest_share(&fixture, 1000, 1199), 1);
    run_rounds(&fixture, 1);
    ck_assert_double_le(busiest_share(&fixture, 1000, 1199), 0.55);
    clear(&fixture);
}
END_TEST

/* A server keeps the pieces that it gets for some time, so none may get so much that it becomes overloaded itself. */
START_TEST(a_hot_part_with_the_load_of_many_servers_is_spread_without_overloading_any)
{
    static const char *const eight[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                        "i-d@10.0.0.4:80", "i-e@10.0.0.5:80", "i-f@10.0.0.6:80",
                                        "i-g@10.0.0.7:80", "i-h@10.0.0.8:80", NULL};
    planner_fixture_t        fixture;

    init(&fixture, eight);
    add_load(&fixture, 1000, 1199, 100); /* each server can serve 20 requests per second */
    run_rounds(&fixture, 1);
    ck_assert_double_le(busiest_share(&fixture, 1000, 1199), 0.25);
    clear(&fixture);
}
END_TEST

static cw_planner_server_t *server_named(planner_fixture_t *fixture, const char *id)
{
    size_t index;

    for (index = 0; index < fixture->server_count; index++) {
        if (strcmp(fixture->servers[index].entry->id, id) == 0) {
            return &fixture->servers[index];
        }
    }
    ck_abort_msg("no server %s", id);
    return NULL;
}

START_TEST(a_hot_key_gets_a_fast_server_with_few_other_keys)
{
    planner_fixture_t    fixture;
    cw_planner_server_t *slow;
    const cw_range_t    *range;
    char                 owner[48];
    int                  round;

    init(&fixture, four);
    slow = server_named(&fixture, assigner_fixture_range(&fixture.assigner, 1000)->owner.id);
    slow->cost_s *= 2.3;
    slow->pace = 2.3;
    for (round = 0; round < 4; round++) { /* each server serves 20 requests per second, the slow one 9 */
        add_load(&fixture, 1000, 1000, 17);
        add_load(&fixture, 0, CW_KEY_LAST, 12);
        run_rounds(&fixture, 1);
        fixture.assigner.now += CW_SECONDS(2);
    }
    range = assigner_fixture_range(&fixture.assigner, 1000);
    ck_assert_uint_eq(range->low, 1000);
    ck_assert_uint_eq(range->last, 1000);
    ck_assert_str_ne(range->owner.id, slow->entry->id);
    ck_assert_uint_le(keys_of(&fixture, range->owner.id), (CW_KEY_LAST + 1) / 8);
    /* the key's server appears slower because it is busy, which must not move the key again */
    cw_text_copy(owner, sizeof(owner), range->owner.id);
    server_named(&fixture, owner)->cost_s *= 1.9;
    server_named(&fixture, owner)->pace = 1.9;
    add_load(&fixture, 1000, 1000, 17);
    add_load(&fixture, 0, CW_KEY_LAST, 12);
    run_rounds(&fixture, 3);
    ck_assert_str_eq(assigner_fixture_range(&fixture.assigner, 1000)->owner.id, owner);
    clear(&fixture);
}
END_TEST

START_TEST(a_single_hot_key_is_not_moved_repeatedly)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    add_load(&fixture, 1000, 1000, 15);
    run_rounds(&fixture, 1);
    fixture.assigner.now += CW_SECONDS(2);
    add_load(&fixture, 1000, 1000, 15);
    ck_assert_uint_eq(plan(&fixture), 0);
    clear(&fixture);
}
END_TEST

START_TEST(a_slow_server_gets_fewer_keys)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    fixture.servers[0].pace = 2;
    fixture.servers[0].cost_s *= 2;
    add_load(&fixture, 0, CW_KEY_LAST, 60);
    run_rounds(&fixture, 1);
    ck_assert_uint_lt(keys_of(&fixture, "i-a"), 12000);
    clear(&fixture);
}
END_TEST

/* A wrong list or several losses may leave one server with all keys, in many small ranges. */
START_TEST(load_is_moved_from_a_server_with_all_keys_in_many_ranges)
{
    planner_fixture_t        fixture;
    const cw_server_entry_t *to;
    uint32_t                 low;

    init(&fixture, four);
    to = cw_server_list_find(fixture.assigner.servers, "i-a");
    for (low = 0; low <= CW_KEY_LAST; low += 2048) {
        cw_assigner_plan_move(fixture.assigner.assigner, low, low + 2047, to);
    }
    cw_assigner_plan_write(fixture.assigner.assigner, fixture.assigner.now);
    run_rounds(&fixture, 1);
    ck_assert_uint_eq(keys_of(&fixture, "i-a"), CW_KEY_LAST + 1);
    fixture.assigner.now += CW_SECONDS(2);
    add_load(&fixture, 0, CW_KEY_LAST, 200);
    run_rounds(&fixture, 3);
    ck_assert_uint_lt(keys_of(&fixture, "i-a"), 28000);
    clear(&fixture);
}
END_TEST

START_TEST(a_draining_server_is_emptied)
{
    static const char *const draining[] = {"i-a@10.0.0.1:80!", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80", "i-d@10.0.0.4:80",
                                           NULL};
    planner_fixture_t        fixture;

    init(&fixture, four);
    assigner_fixture_set_servers(&fixture.assigner, draining);
    refresh_servers(&fixture);
    run_rounds(&fixture, 1);
    ck_assert_uint_eq(keys_of(&fixture, "i-a"), 0);
    clear(&fixture);
}
END_TEST

START_TEST(a_barred_server_is_emptied_and_gets_no_keys)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    fixture.servers[0].is_barred = true;
    fixture.servers[0].usable = false;
    run_rounds(&fixture, 1);
    ck_assert_uint_eq(keys_of(&fixture, "i-a"), 0);
    add_load(&fixture, 0, CW_KEY_LAST, 60);
    run_rounds(&fixture, 3);
    ck_assert_uint_eq(keys_of(&fixture, "i-a"), 0);
    clear(&fixture);
}
END_TEST

START_TEST(a_server_that_no_order_reaches_loses_its_keys)
{
    planner_fixture_t fixture;
    size_t            index;

    init(&fixture, four);
    for (index = 0; index < 20; index++) {
        assigner_fixture_tick(&fixture.assigner, CW_MS(150));
        while (fixture.assigner.answered < fixture.assigner.order_count) {
            cw_order_t order = fixture.assigner.orders[fixture.assigner.answered++];

            cw_assigner_order_done(fixture.assigner.assigner, order.id,
                                   strcmp(order.server, "i-a") == 0 ? CW_ORDER_NOT_SENT : CW_ORDER_DONE, NULL,
                                   fixture.assigner.now);
        }
    }
    ck_assert_uint_ge(plan(&fixture), 1);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    ck_assert_uint_eq(keys_of(&fixture, "i-a"), 0);
    clear(&fixture);
}
END_TEST

/* Guards against keys without an owner for more than a second: a new owner that answers no probe was granted nothing,
 * and its keys waited as long as those of an owner that may hold them. */
START_TEST(keys_of_a_new_owner_that_answers_no_probe_move_on_at_once)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    ck_assert(cw_assigner_plan_move(fixture.assigner.assigner, 0, 99, fixture.servers[3].entry));
    cw_assigner_plan_write(fixture.assigner.assigner, fixture.assigner.now);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    fixture.assigner.keeps_probes = true;
    assigner_fixture_answer(&fixture.assigner, CW_ORDER_DONE, NULL); /* the release */
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    assigner_fixture_tick(&fixture.assigner, CW_MS(ASSIGNER_ORDER_TIMEOUT_MS));
    assigner_fixture_answer(&fixture.assigner, CW_ORDER_UNANSWERED, NULL);
    ck_assert_str_eq(assigner_fixture_range(&fixture.assigner, 50)->owner.id, "i-d");
    ck_assert_uint_gt(plan(&fixture), 0);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    ck_assert_str_ne(assigner_fixture_range(&fixture.assigner, 50)->owner.id, "i-d");
    ck_assert_int_ne(assigner_fixture_range(&fixture.assigner, 50)->phase, CW_RANGE_RELEASING);
    clear(&fixture);
}
END_TEST

START_TEST(owners_missing_in_a_doubted_list_keep_their_keys)
{
    static const char *const only_d[] = {"i-d@10.0.0.4:80", NULL};
    planner_fixture_t        fixture;

    init(&fixture, four);
    assigner_fixture_set_servers(&fixture.assigner, only_d);
    refresh_servers(&fixture);
    ck_assert_double_eq(cw_planner_missing_share(fixture.assigner.assigner, fixture.assigner.servers), 0.75);
    ck_assert_uint_eq(plan_by_list(&fixture, true), 0);
    ck_assert_uint_eq(plan_by_list(&fixture, false), 3);
    clear(&fixture);
}
END_TEST

START_TEST(no_keys_move_when_most_owners_are_unreachable)
{
    planner_fixture_t fixture;
    size_t            index;

    init(&fixture, four);
    for (index = 0; index < 20; index++) {
        assigner_fixture_tick(&fixture.assigner, CW_MS(150));
        assigner_fixture_answer(&fixture.assigner, CW_ORDER_NOT_SENT, NULL);
    }
    ck_assert_uint_eq(plan(&fixture), 0);
    clear(&fixture);
}
END_TEST

/* Makes this number of ticks of 150 ms, in which only orders to i-d are answered. */
static void answer_only_orders_to_d(planner_fixture_t *fixture, int ticks)
{
    while (ticks-- > 0) {
        assigner_fixture_tick(&fixture->assigner, CW_MS(150));
        while (fixture->assigner.answered < fixture->assigner.order_count) {
            cw_order_t order = fixture->assigner.orders[fixture->assigner.answered++];

            cw_assigner_order_done(fixture->assigner.assigner, order.id,
                                   strcmp(order.server, "i-d") == 0 ? CW_ORDER_DONE : CW_ORDER_NOT_SENT, NULL,
                                   fixture->assigner.now);
        }
    }
}

/* This happens when a region that holds most keys is cut off and the leader is outside of it. */
START_TEST(owners_that_stay_unreachable_lose_their_keys_to_one_that_answers)
{
    planner_fixture_t fixture;
    size_t            index;

    init(&fixture, four);
    answer_only_orders_to_d(&fixture, 10);
    ck_assert_uint_eq(plan(&fixture), 0);
    answer_only_orders_to_d(&fixture, 30);
    for (index = 0; index < fixture.server_count; index++) {
        fixture.servers[index].is_doubted = strcmp(fixture.servers[index].entry->id, "i-d") != 0;
    }
    ck_assert_uint_eq(plan(&fixture), 3);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    ck_assert_uint_eq(keys_of(&fixture, "i-d"), CW_KEY_LAST + 1);
    clear(&fixture);
}
END_TEST

START_TEST(servers_listed_before_any_load_get_a_part_of_the_keys)
{
    static const char *const five[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                       "i-d@10.0.0.4:80", "i-e@10.0.0.5:80", NULL};
    planner_fixture_t        fixture;

    init(&fixture, four);
    assigner_fixture_set_servers(&fixture.assigner, five);
    refresh_servers(&fixture);
    run_rounds(&fixture, 2);
    ck_assert_uint_gt(keys_of(&fixture, "i-e"), 4000);
    clear(&fixture);
}
END_TEST

START_TEST(many_servers_listed_before_any_load_get_their_parts_in_one_plan)
{
    static const char *const eight[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                        "i-d@10.0.0.4:80", "i-e@10.0.0.5:80", "i-f@10.0.0.6:80",
                                        "i-g@10.0.0.7:80", "i-h@10.0.0.8:80", NULL};
    planner_fixture_t        fixture;
    size_t                   index;

    init(&fixture, four);
    assigner_fixture_set_servers(&fixture.assigner, eight);
    refresh_servers(&fixture);
    run_rounds(&fixture, 1);
    for (index = 0; index < 8; index++) {
        ck_assert_uint_eq(keys_of(&fixture, fixture.servers[index].entry->id), (CW_KEY_LAST + 1) / 8);
    }
    clear(&fixture);
}
END_TEST

START_TEST(a_move_is_finished_before_the_next_one_of_its_range)
{
    static const char *const without_b[] = {"i-a@10.0.0.1:80", "i-c@10.0.0.3:80", "i-d@10.0.0.4:80", NULL};
    planner_fixture_t        fixture;
    const cw_server_entry_t *to;

    init(&fixture, four);
    to = cw_server_list_find(fixture.assigner.servers, "i-b");
    cw_assigner_plan_move(fixture.assigner.assigner, 0, 99, to);
    cw_assigner_plan_write(fixture.assigner.assigner, fixture.assigner.now);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    /* The record shows an unfinished move from i-a to i-b, and i-b may hold the keys. */
    assigner_fixture_take_over(&fixture.assigner, 2);
    assigner_fixture_set_servers(&fixture.assigner, without_b);
    refresh_servers(&fixture);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    ck_assert_int_eq(cw_assigner_state(fixture.assigner.assigner), CW_ASSIGNER_READY);
    (void)plan(&fixture);
    assigner_fixture_tick(&fixture.assigner, CW_MS(20));
    ck_assert_str_eq(assigner_fixture_range(&fixture.assigner, 50)->owner.id, "i-b");
    clear(&fixture);
}
END_TEST

START_TEST(a_new_load_window_gives_the_full_rate)
{
    cw_load_window_t window = {0};
    cw_key_load_t   *loads;
    size_t           index;

    for (index = 0; index < 40; index++) {
        cw_load_window_add(&window, 5, 1, CW_SECONDS(50) + CW_MS(10) * (cw_time_us_t)index);
    }
    ck_assert_uint_eq(cw_load_window_read(&window, CW_SECONDS(50) + CW_MS(400), &loads), 1);
    ck_assert_double_gt(loads[0].per_s, 80);
    ck_assert_double_lt(loads[0].per_s, 120);
    free(loads);
    cw_load_window_clear(&window);
}
END_TEST

/* ---- origins of requests ---- */

enum { REGION_1 = 1, REGION_2 = 2 };

/* i-a and i-b are in one region, i-c and i-d in the other. */
static void set_regions(planner_fixture_t *fixture, double crossing_cost)
{
    size_t index;

    fixture->crossing_cost = crossing_cost;
    for (index = 0; index < fixture->server_count; index++) {
        fixture->servers[index].region = strcmp(fixture->servers[index].entry->id, "i-c") < 0 ? REGION_1 : REGION_2;
    }
}

/* Adds requests of the last two seconds from a region; 0: from both regions in an apparently random order. */
static void add_load_from(planner_fixture_t *fixture, uint32_t low, uint32_t last, double per_s, uint32_t from)
{
    size_t   count = (size_t)(per_s * 2);
    size_t   index;
    uint32_t state = 1;

    for (index = 0; index < count; index++) {
        cw_time_us_t at = fixture->assigner.now - CW_SECONDS(2) + (cw_time_us_t)((double)CW_SECONDS(2) * index / count);
        uint32_t     random_region = (state >> 16) % 2 + 1;
        cw_key_report_t report = {.key = low + (uint32_t)((uint64_t)(last - low) * ((index * 7919) % count) / count),
                                  .from = from == 0 ? random_region : from,
                                  .weight = 1};

        state = state * 1103515245 + 12345;
        cw_load_window_add_sample(&fixture->window, &report, at);
    }
}

START_TEST(keys_of_a_leaving_server_go_to_the_region_of_their_requests)
{
    static const char *const c_drains[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80!", "i-d@10.0.0.4:80",
                                           NULL};
    planner_fixture_t        fixture;
    uint32_t                 key;

    init(&fixture, four);
    key = cw_range_list_find(cw_assigner_ranges(fixture.assigner.assigner), 40000)->low;
    ck_assert_str_eq(assigner_fixture_range(&fixture.assigner, key)->owner.id, "i-c");
    assigner_fixture_set_servers(&fixture.assigner, c_drains);
    refresh_servers(&fixture);
    set_regions(&fixture, 0.5);
    add_load_from(&fixture, key, key + 16383, 16, REGION_1);
    add_load_from(&fixture, 0, key - 1, 20, REGION_1); /* i-d has no load and therefore the lowest cost */
    run_rounds(&fixture, 1);
    ck_assert_str_lt(assigner_fixture_range(&fixture.assigner, key)->owner.id, "i-c");
    clear(&fixture);
}
END_TEST

START_TEST(a_range_moves_to_the_origin_of_large_requests)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    set_regions(&fixture, 0.3); /* short requests */
    add_load_from(&fixture, 32768, 49151, 17, REGION_1);
    add_load_from(&fixture, 0, 32767, 20, REGION_1);
    ck_assert_uint_eq(plan(&fixture), 0);
    set_regions(&fixture, 10); /* large bodies */
    run_rounds(&fixture, 1);
    ck_assert_str_lt(assigner_fixture_range(&fixture.assigner, 40000)->owner.id, "i-c");
    clear(&fixture);
}
END_TEST

START_TEST(requests_from_all_regions_move_no_range)
{
    planner_fixture_t fixture;

    init(&fixture, four);
    set_regions(&fixture, 10);
    add_load_from(&fixture, 0, CW_KEY_LAST, 40, 0);
    ck_assert_uint_eq(plan(&fixture), 0);
    clear(&fixture);
}
END_TEST

/* The doubted server has no load and therefore the lowest cost. */
START_TEST(a_doubted_server_gets_no_keys_while_another_server_can)
{
    static const char *const a_drains[] = {"i-a@10.0.0.1:80!", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                           "i-d@10.0.0.4:80",  "i-e@10.0.0.5:80", NULL};
    planner_fixture_t        fixture;

    init(&fixture, four);
    assigner_fixture_set_servers(&fixture.assigner, a_drains);
    refresh_servers(&fixture);
    server_named(&fixture, "i-e")->is_doubted = true;
    add_load(&fixture, 0, CW_KEY_LAST, 60);
    run_rounds(&fixture, 3);
    ck_assert_uint_eq(keys_of(&fixture, "i-a"), 0);
    ck_assert_uint_eq(keys_of(&fixture, "i-e"), 0);
    clear(&fixture);
}
END_TEST

START_TEST(a_doubted_server_keeps_its_keys)
{
    planner_fixture_t fixture;
    size_t            before;

    init(&fixture, four);
    before = keys_of(&fixture, "i-b");
    server_named(&fixture, "i-b")->is_doubted = true;
    add_load(&fixture, 0, CW_KEY_LAST, 40);
    run_rounds(&fixture, 3);
    ck_assert_uint_eq(keys_of(&fixture, "i-b"), before);
    clear(&fixture);
}
END_TEST

START_TEST(doubted_servers_get_keys_when_no_other_is_left)
{
    static const char *const only_d[] = {"i-a@10.0.0.1:80!", "i-b@10.0.0.2:80!", "i-c@10.0.0.3:80!", "i-d@10.0.0.4:80",
                                         NULL};
    planner_fixture_t        fixture;

    init(&fixture, four);
    assigner_fixture_set_servers(&fixture.assigner, only_d);
    refresh_servers(&fixture);
    server_named(&fixture, "i-d")->is_doubted = true;
    run_rounds(&fixture, 3);
    ck_assert_uint_eq(keys_of(&fixture, "i-d"), CW_KEY_LAST + 1);
    clear(&fixture);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("planner");
    TCase *cases = tcase_create("planner");

    tcase_add_test(cases, nothing_moves_under_even_load);
    tcase_add_test(cases, a_hot_part_of_the_keys_is_spread_in_one_plan);
    tcase_add_test(cases, a_hot_part_with_the_load_of_many_servers_is_spread_without_overloading_any);
    tcase_add_test(cases, a_hot_key_gets_a_fast_server_with_few_other_keys);
    tcase_add_test(cases, a_single_hot_key_is_not_moved_repeatedly);
    tcase_add_test(cases, a_slow_server_gets_fewer_keys);
    tcase_add_test(cases, load_is_moved_from_a_server_with_all_keys_in_many_ranges);
    tcase_add_test(cases, a_draining_server_is_emptied);
    tcase_add_test(cases, a_barred_server_is_emptied_and_gets_no_keys);
    tcase_add_test(cases, a_server_that_no_order_reaches_loses_its_keys);
    tcase_add_test(cases, keys_of_a_new_owner_that_answers_no_probe_move_on_at_once);
    tcase_add_test(cases, owners_missing_in_a_doubted_list_keep_their_keys);
    tcase_add_test(cases, no_keys_move_when_most_owners_are_unreachable);
    tcase_add_test(cases, owners_that_stay_unreachable_lose_their_keys_to_one_that_answers);
    tcase_add_test(cases, servers_listed_before_any_load_get_a_part_of_the_keys);
    tcase_add_test(cases, many_servers_listed_before_any_load_get_their_parts_in_one_plan);
    tcase_add_test(cases, a_move_is_finished_before_the_next_one_of_its_range);
    tcase_add_test(cases, a_new_load_window_gives_the_full_rate);
    tcase_add_test(cases, keys_of_a_leaving_server_go_to_the_region_of_their_requests);
    tcase_add_test(cases, a_range_moves_to_the_origin_of_large_requests);
    tcase_add_test(cases, requests_from_all_regions_move_no_range);
    tcase_add_test(cases, a_doubted_server_gets_no_keys_while_another_server_can);
    tcase_add_test(cases, a_doubted_server_keeps_its_keys);
    tcase_add_test(cases, doubted_servers_get_keys_when_no_other_is_left);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
