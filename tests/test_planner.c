/**
 * @file test_planner.c
 * @brief Which ranges move: what must, what earns it, and what stays.
 */
#include <stdlib.h>
#include <string.h>

#include "assigner_fixture.h"
#include "base/text.h"
#include "loop_fixture.h"
#include "placement/planner.h"

static const char *const four[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80", "i-d@10.0.0.4:80", NULL};

typedef struct planner_world {
    assigner_world_t    assigner;
    cw_load_window_t    window;
    cw_planner_server_t servers[8];
    size_t              server_count;
    double              crossing; /* usual times of a request that crosses a region's border */
} planner_world_t;

static void refresh_servers(planner_world_t *world)
{
    size_t index;

    world->server_count = world->assigner.servers->count;
    for (index = 0; index < world->server_count; index++) {
        const cw_server_entry_t *entry = &world->assigner.servers->entries[index];

        world->servers[index] =
            (cw_planner_server_t){.entry = entry, .usable = !entry->draining, .pace = 1, .cost_s = 0.1 / 2};
    }
}

static void init(planner_world_t *world, const char *const *texts)
{
    memset(world, 0, sizeof(*world));
    assigner_world_init(&world->assigner, 1);
    assigner_world_servers(&world->assigner, texts);
    assigner_world_settle(&world->assigner);
    world->assigner.now += CW_SECONDS(2);
    refresh_servers(world);
}

static void clear(planner_world_t *world)
{
    cw_load_window_clear(&world->window);
    assigner_world_clear(&world->assigner);
}

/* Requests of the last two seconds, spread evenly over keys low to last. */
static void add_load(planner_world_t *world, uint32_t low, uint32_t last, double per_s)
{
    size_t count = (size_t)(per_s * 2);
    size_t index;

    for (index = 0; index < count; index++) {
        cw_time_us_t at = world->assigner.now - CW_SECONDS(2) + (cw_time_us_t)((double)CW_SECONDS(2) * index / count);

        cw_load_window_add(&world->window, low + (uint32_t)((uint64_t)(last - low) * ((index * 7919) % count) / count),
                           1, at);
    }
}

static size_t plan_by_list(planner_world_t *world, bool doubts_list)
{
    return cw_planner_run(&(cw_planner_input_t){.assigner = world->assigner.assigner,
                                                .settings = &cw_planner_defaults,
                                                .servers = world->servers,
                                                .server_count = world->server_count,
                                                .list = world->assigner.servers,
                                                .window = &world->window,
                                                .crossing = world->crossing,
                                                .doubts_list = doubts_list,
                                                .now = world->assigner.now});
}

static size_t plan(planner_world_t *world)
{
    return plan_by_list(world, false);
}

/* Plans and carries the moves out, some rounds. */
static void run_rounds(planner_world_t *world, int rounds)
{
    while (rounds-- > 0) {
        (void)plan(world);
        assigner_world_tick(&world->assigner, CW_MS(20));
        assigner_world_tick(&world->assigner, CW_MS(20));
        assigner_world_answer(&world->assigner, CW_ORDER_DONE, "token");
        assigner_world_tick(&world->assigner, CW_MS(20));
        assigner_world_answer(&world->assigner, CW_ORDER_DONE, NULL);
    }
}

static size_t keys_of(const planner_world_t *world, const char *id)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(world->assigner.assigner);
    size_t                 keys = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        if (strcmp(ranges->items[index].owner.id, id) == 0) {
            keys += ranges->items[index].last - ranges->items[index].low + 1;
        }
    }
    return keys;
}

/* Share of the load on keys low to last that its busiest owner has. */
static double busiest_share(const planner_world_t *world, uint32_t low, uint32_t last)
{
    uint32_t counts[8] = {0};
    uint32_t key;
    uint32_t most = 0;
    size_t   index;

    for (key = low; key <= last; key++) {
        for (index = 0; index < world->server_count; index++) {
            counts[index] +=
                strcmp(assigner_world_range(&world->assigner, key)->owner.id, world->servers[index].entry->id) == 0 ? 1
                                                                                                                    : 0;
        }
    }
    for (index = 0; index < world->server_count; index++) {
        most = counts[index] > most ? counts[index] : most;
    }
    return (double)most / (last - low + 1);
}

START_TEST(nothing_moves_under_even_load)
{
    planner_world_t world;

    init(&world, four);
    add_load(&world, 0, CW_KEY_LAST, 40);
    ck_assert_uint_eq(plan(&world), 0);
    clear(&world);
}
END_TEST

START_TEST(a_hot_piece_is_spread_in_one_plan)
{
    planner_world_t world;

    init(&world, four);
    add_load(&world, 1000, 1199, 50);
    ck_assert_double_eq(busiest_share(&world, 1000, 1199), 1);
    run_rounds(&world, 1);
    ck_assert_double_le(busiest_share(&world, 1000, 1199), 0.55);
    clear(&world);
}
END_TEST

/* Those that take pieces over keep them for a while: none may be given so much that it is the next one overloaded. */
START_TEST(a_hot_piece_of_many_servers_load_is_spread_without_overloading_any)
{
    static const char *const eight[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                        "i-d@10.0.0.4:80", "i-e@10.0.0.5:80", "i-f@10.0.0.6:80",
                                        "i-g@10.0.0.7:80", "i-h@10.0.0.8:80", NULL};
    planner_world_t          world;

    init(&world, eight);
    add_load(&world, 1000, 1199, 100); /* each can serve 20 a second */
    run_rounds(&world, 1);
    ck_assert_double_le(busiest_share(&world, 1000, 1199), 0.25);
    clear(&world);
}
END_TEST

static cw_planner_server_t *server_named(planner_world_t *world, const char *id)
{
    size_t index;

    for (index = 0; index < world->server_count; index++) {
        if (strcmp(world->servers[index].entry->id, id) == 0) {
            return &world->servers[index];
        }
    }
    ck_abort_msg("no server %s", id);
    return NULL;
}

START_TEST(a_hot_key_gets_a_fast_server_and_nothing_else_is_left_there)
{
    planner_world_t      world;
    cw_planner_server_t *slow;
    const cw_range_t    *range;
    char                 owner[48];
    int                  round;

    init(&world, four);
    slow = server_named(&world, assigner_world_range(&world.assigner, 1000)->owner.id);
    slow->cost_s *= 2.3;
    slow->pace = 2.3;
    for (round = 0; round < 4; round++) { /* each server serves 20 a second, the slow one 9 */
        add_load(&world, 1000, 1000, 17);
        add_load(&world, 0, CW_KEY_LAST, 12);
        run_rounds(&world, 1);
        world.assigner.now += CW_SECONDS(2);
    }
    range = assigner_world_range(&world.assigner, 1000);
    ck_assert_uint_eq(range->low, 1000);
    ck_assert_uint_eq(range->last, 1000);
    ck_assert_str_ne(range->owner.id, slow->entry->id);
    ck_assert_uint_le(keys_of(&world, range->owner.id), (CW_KEY_LAST + 1) / 8);
    /* its server looks slower now that it is busy: that is no reason to move it again */
    cw_text_copy(owner, sizeof(owner), range->owner.id);
    server_named(&world, owner)->cost_s *= 1.9;
    server_named(&world, owner)->pace = 1.9;
    add_load(&world, 1000, 1000, 17);
    add_load(&world, 0, CW_KEY_LAST, 12);
    run_rounds(&world, 3);
    ck_assert_str_eq(assigner_world_range(&world.assigner, 1000)->owner.id, owner);
    clear(&world);
}
END_TEST

START_TEST(a_single_hot_key_is_not_carried_back_and_forth)
{
    planner_world_t world;

    init(&world, four);
    add_load(&world, 1000, 1000, 15);
    run_rounds(&world, 1);
    world.assigner.now += CW_SECONDS(2);
    add_load(&world, 1000, 1000, 15);
    ck_assert_uint_eq(plan(&world), 0);
    clear(&world);
}
END_TEST

START_TEST(a_slow_server_gets_less)
{
    planner_world_t world;

    init(&world, four);
    world.servers[0].pace = 2;
    world.servers[0].cost_s *= 2;
    add_load(&world, 0, CW_KEY_LAST, 60);
    run_rounds(&world, 1);
    ck_assert_uint_lt(keys_of(&world, "i-a"), 12000);
    clear(&world);
}
END_TEST

/* What a wrong list or a row of losses may leave behind: one server with all keys, in many small ranges. */
START_TEST(a_server_with_all_keys_in_many_ranges_is_relieved)
{
    planner_world_t          world;
    const cw_server_entry_t *to;
    uint32_t                 low;

    init(&world, four);
    to = cw_server_list_find(world.assigner.servers, "i-a");
    for (low = 0; low <= CW_KEY_LAST; low += 2048) {
        cw_assigner_plan_move(world.assigner.assigner, low, low + 2047, to, world.assigner.servers);
    }
    cw_assigner_plan_write(world.assigner.assigner, world.assigner.now);
    run_rounds(&world, 1);
    ck_assert_uint_eq(keys_of(&world, "i-a"), CW_KEY_LAST + 1);
    world.assigner.now += CW_SECONDS(2);
    add_load(&world, 0, CW_KEY_LAST, 200);
    run_rounds(&world, 3);
    ck_assert_uint_lt(keys_of(&world, "i-a"), 28000);
    clear(&world);
}
END_TEST

START_TEST(a_draining_server_is_emptied)
{
    static const char *const draining[] = {"i-a@10.0.0.1:80!", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80", "i-d@10.0.0.4:80",
                                           NULL};
    planner_world_t          world;

    init(&world, four);
    assigner_world_servers(&world.assigner, draining);
    refresh_servers(&world);
    run_rounds(&world, 1);
    ck_assert_uint_eq(keys_of(&world, "i-a"), 0);
    clear(&world);
}
END_TEST

START_TEST(a_server_whose_is_barred_of_service_is_emptied_and_gets_nothing_back)
{
    planner_world_t world;

    init(&world, four);
    world.servers[0].is_barred = true;
    world.servers[0].usable = false;
    run_rounds(&world, 1);
    ck_assert_uint_eq(keys_of(&world, "i-a"), 0);
    add_load(&world, 0, CW_KEY_LAST, 60);
    run_rounds(&world, 3);
    ck_assert_uint_eq(keys_of(&world, "i-a"), 0);
    clear(&world);
}
END_TEST

START_TEST(a_server_that_no_order_reaches_loses_its_keys)
{
    planner_world_t world;
    size_t          index;

    init(&world, four);
    for (index = 0; index < 20; index++) {
        assigner_world_tick(&world.assigner, CW_MS(150));
        while (world.assigner.answered < world.assigner.order_count) {
            cw_order_t order = world.assigner.orders[world.assigner.answered++];

            cw_assigner_order_done(world.assigner.assigner, order.id,
                                   strcmp(order.server, "i-a") == 0 ? CW_ORDER_NOT_SENT : CW_ORDER_DONE, NULL,
                                   world.assigner.now);
        }
    }
    ck_assert_uint_ge(plan(&world), 1);
    assigner_world_tick(&world.assigner, CW_MS(20));
    ck_assert_uint_eq(keys_of(&world, "i-a"), 0);
    clear(&world);
}
END_TEST

START_TEST(owners_missing_in_a_doubtful_list_keep_their_keys)
{
    static const char *const only_d[] = {"i-d@10.0.0.4:80", NULL};
    planner_world_t          world;

    init(&world, four);
    assigner_world_servers(&world.assigner, only_d);
    refresh_servers(&world);
    ck_assert_double_eq(cw_planner_missing_share(world.assigner.assigner, world.assigner.servers), 0.75);
    ck_assert_uint_eq(plan_by_list(&world, true), 0);
    ck_assert_uint_eq(plan_by_list(&world, false), 3);
    clear(&world);
}
END_TEST

START_TEST(when_most_owners_cannot_be_reached_nothing_is_taken_away)
{
    planner_world_t world;
    size_t          index;

    init(&world, four);
    for (index = 0; index < 20; index++) {
        assigner_world_tick(&world.assigner, CW_MS(150));
        assigner_world_answer(&world.assigner, CW_ORDER_NOT_SENT, NULL);
    }
    ck_assert_uint_eq(plan(&world), 0);
    clear(&world);
}
END_TEST

/* Orders reach i-d alone, for so many ticks of 150 ms. */
static void let_only_d_answer(planner_world_t *world, int ticks)
{
    while (ticks-- > 0) {
        assigner_world_tick(&world->assigner, CW_MS(150));
        while (world->assigner.answered < world->assigner.order_count) {
            cw_order_t order = world->assigner.orders[world->assigner.answered++];

            cw_assigner_order_done(world->assigner.assigner, order.id,
                                   strcmp(order.server, "i-d") == 0 ? CW_ORDER_DONE : CW_ORDER_NOT_SENT, NULL,
                                   world->assigner.now);
        }
    }
}

/* As when a region is cut off that holds most keys, and the leader is outside. */
START_TEST(most_owners_that_stay_out_of_reach_lose_their_keys_to_one_that_answers)
{
    planner_world_t world;
    size_t          index;

    init(&world, four);
    let_only_d_answer(&world, 10);
    ck_assert_uint_eq(plan(&world), 0);
    let_only_d_answer(&world, 30);
    for (index = 0; index < world.server_count; index++) {
        world.servers[index].is_doubted = strcmp(world.servers[index].entry->id, "i-d") != 0;
    }
    ck_assert_uint_eq(plan(&world), 3);
    assigner_world_tick(&world.assigner, CW_MS(20));
    ck_assert_uint_eq(keys_of(&world, "i-d"), CW_KEY_LAST + 1);
    clear(&world);
}
END_TEST

START_TEST(servers_that_come_before_any_load_get_their_part)
{
    static const char *const five[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                       "i-d@10.0.0.4:80", "i-e@10.0.0.5:80", NULL};
    planner_world_t          world;

    init(&world, four);
    assigner_world_servers(&world.assigner, five);
    refresh_servers(&world);
    run_rounds(&world, 2);
    ck_assert_uint_gt(keys_of(&world, "i-e"), 4000);
    clear(&world);
}
END_TEST

START_TEST(many_servers_that_come_before_any_load_get_their_parts_in_one_plan)
{
    static const char *const eight[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                        "i-d@10.0.0.4:80", "i-e@10.0.0.5:80", "i-f@10.0.0.6:80",
                                        "i-g@10.0.0.7:80", "i-h@10.0.0.8:80", NULL};
    planner_world_t          world;
    size_t                   index;

    init(&world, four);
    assigner_world_servers(&world.assigner, eight);
    refresh_servers(&world);
    run_rounds(&world, 1);
    for (index = 0; index < 8; index++) {
        ck_assert_uint_eq(keys_of(&world, world.servers[index].entry->id), (CW_KEY_LAST + 1) / 8);
    }
    clear(&world);
}
END_TEST

START_TEST(a_move_under_way_is_finished_before_the_next)
{
    static const char *const without_b[] = {"i-a@10.0.0.1:80", "i-c@10.0.0.3:80", "i-d@10.0.0.4:80", NULL};
    planner_world_t          world;
    const cw_server_entry_t *to;

    init(&world, four);
    to = cw_server_list_find(world.assigner.servers, "i-b");
    cw_assigner_plan_move(world.assigner.assigner, 0, 99, to, world.assigner.servers);
    cw_assigner_plan_write(world.assigner.assigner, world.assigner.now);
    assigner_world_tick(&world.assigner, CW_MS(20));
    assigner_world_take_over(&world.assigner, 2); /* the record shows a move from i-a to i-b; i-b may hold the keys */
    assigner_world_servers(&world.assigner, without_b);
    refresh_servers(&world);
    assigner_world_tick(&world.assigner, CW_MS(20));
    assigner_world_tick(&world.assigner, CW_MS(20));
    ck_assert_int_eq(cw_assigner_state(world.assigner.assigner), CW_ASSIGNER_READY);
    (void)plan(&world);
    assigner_world_tick(&world.assigner, CW_MS(20));
    ck_assert_str_eq(assigner_world_range(&world.assigner, 50)->owner.id, "i-b");
    clear(&world);
}
END_TEST

START_TEST(a_window_that_has_just_begun_tells_the_full_rate)
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

/* ---- where requests come from ---- */

enum { REGION_1 = 1, REGION_2 = 2 };

/* i-a and i-b lie in one region, i-c and i-d in the other. */
static void set_regions(planner_world_t *world, double crossing)
{
    size_t index;

    world->crossing = crossing;
    for (index = 0; index < world->server_count; index++) {
        world->servers[index].region = strcmp(world->servers[index].entry->id, "i-c") < 0 ? REGION_1 : REGION_2;
    }
}

/* Requests of the last two seconds from a region; 0: from both by turns that look like chance. */
static void add_load_from(planner_world_t *world, uint32_t low, uint32_t last, double per_s, uint32_t from)
{
    size_t   count = (size_t)(per_s * 2);
    size_t   index;
    uint32_t state = 1;

    for (index = 0; index < count; index++) {
        cw_time_us_t at = world->assigner.now - CW_SECONDS(2) + (cw_time_us_t)((double)CW_SECONDS(2) * index / count);
        uint32_t     chance = (state >> 16) % 2 + 1;
        cw_key_report_t seen = {.key = low + (uint32_t)((uint64_t)(last - low) * ((index * 7919) % count) / count),
                                .from = from == 0 ? chance : from,
                                .weight = 1};

        state = state * 1103515245 + 12345;
        cw_load_window_add_sample(&world->window, &seen, at);
    }
}

START_TEST(keys_of_a_server_that_leaves_go_to_the_region_that_asks_for_them)
{
    static const char *const c_drains[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80!", "i-d@10.0.0.4:80",
                                           NULL};
    planner_world_t          world;
    uint32_t                 key;

    init(&world, four);
    key = cw_range_list_find(cw_assigner_ranges(world.assigner.assigner), 40000)->low;
    ck_assert_str_eq(assigner_world_range(&world.assigner, key)->owner.id, "i-c");
    assigner_world_servers(&world.assigner, c_drains);
    refresh_servers(&world);
    set_regions(&world, 0.5);
    add_load_from(&world, key, key + 16383, 16, REGION_1);
    add_load_from(&world, 0, key - 1, 20, REGION_1); /* i-d has nothing to do: it looks cheapest */
    run_rounds(&world, 1);
    ck_assert_str_lt(assigner_world_range(&world.assigner, key)->owner.id, "i-c");
    clear(&world);
}
END_TEST

START_TEST(a_range_is_brought_near_where_its_bytes_are_worth_a_move)
{
    planner_world_t world;

    init(&world, four);
    set_regions(&world, 0.3); /* short requests */
    add_load_from(&world, 32768, 49151, 17, REGION_1);
    add_load_from(&world, 0, 32767, 20, REGION_1);
    ck_assert_uint_eq(plan(&world), 0);
    set_regions(&world, 10); /* large bodies */
    run_rounds(&world, 1);
    ck_assert_str_lt(assigner_world_range(&world.assigner, 40000)->owner.id, "i-c");
    clear(&world);
}
END_TEST

START_TEST(requests_that_come_from_everywhere_move_nothing)
{
    planner_world_t world;

    init(&world, four);
    set_regions(&world, 10);
    add_load_from(&world, 0, CW_KEY_LAST, 40, 0);
    ck_assert_uint_eq(plan(&world), 0);
    clear(&world);
}
END_TEST

/* It has no load, so it looks cheapest. */
START_TEST(a_doubted_server_gets_no_keys_while_another_one_can)
{
    static const char *const a_drains[] = {"i-a@10.0.0.1:80!", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80",
                                           "i-d@10.0.0.4:80",  "i-e@10.0.0.5:80", NULL};
    planner_world_t          world;

    init(&world, four);
    assigner_world_servers(&world.assigner, a_drains);
    refresh_servers(&world);
    server_named(&world, "i-e")->is_doubted = true;
    add_load(&world, 0, CW_KEY_LAST, 60);
    run_rounds(&world, 3);
    ck_assert_uint_eq(keys_of(&world, "i-a"), 0);
    ck_assert_uint_eq(keys_of(&world, "i-e"), 0);
    clear(&world);
}
END_TEST

START_TEST(a_doubted_server_keeps_what_it_holds)
{
    planner_world_t world;
    size_t          before;

    init(&world, four);
    before = keys_of(&world, "i-b");
    server_named(&world, "i-b")->is_doubted = true;
    add_load(&world, 0, CW_KEY_LAST, 40);
    run_rounds(&world, 3);
    ck_assert_uint_eq(keys_of(&world, "i-b"), before);
    clear(&world);
}
END_TEST

START_TEST(doubted_servers_get_keys_when_no_other_is_left)
{
    static const char *const only_d[] = {"i-a@10.0.0.1:80!", "i-b@10.0.0.2:80!", "i-c@10.0.0.3:80!", "i-d@10.0.0.4:80",
                                         NULL};
    planner_world_t          world;

    init(&world, four);
    assigner_world_servers(&world.assigner, only_d);
    refresh_servers(&world);
    server_named(&world, "i-d")->is_doubted = true;
    run_rounds(&world, 3);
    ck_assert_uint_eq(keys_of(&world, "i-d"), CW_KEY_LAST + 1);
    clear(&world);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("planner");
    TCase *cases = tcase_create("planner");

    tcase_add_test(cases, nothing_moves_under_even_load);
    tcase_add_test(cases, a_hot_piece_is_spread_in_one_plan);
    tcase_add_test(cases, a_hot_piece_of_many_servers_load_is_spread_without_overloading_any);
    tcase_add_test(cases, a_hot_key_gets_a_fast_server_and_nothing_else_is_left_there);
    tcase_add_test(cases, a_single_hot_key_is_not_carried_back_and_forth);
    tcase_add_test(cases, a_slow_server_gets_less);
    tcase_add_test(cases, a_server_with_all_keys_in_many_ranges_is_relieved);
    tcase_add_test(cases, a_draining_server_is_emptied);
    tcase_add_test(cases, a_server_whose_is_barred_of_service_is_emptied_and_gets_nothing_back);
    tcase_add_test(cases, a_server_that_no_order_reaches_loses_its_keys);
    tcase_add_test(cases, owners_missing_in_a_doubtful_list_keep_their_keys);
    tcase_add_test(cases, when_most_owners_cannot_be_reached_nothing_is_taken_away);
    tcase_add_test(cases, most_owners_that_stay_out_of_reach_lose_their_keys_to_one_that_answers);
    tcase_add_test(cases, servers_that_come_before_any_load_get_their_part);
    tcase_add_test(cases, many_servers_that_come_before_any_load_get_their_parts_in_one_plan);
    tcase_add_test(cases, a_move_under_way_is_finished_before_the_next);
    tcase_add_test(cases, a_window_that_has_just_begun_tells_the_full_rate);
    tcase_add_test(cases, keys_of_a_server_that_leaves_go_to_the_region_that_asks_for_them);
    tcase_add_test(cases, a_range_is_brought_near_where_its_bytes_are_worth_a_move);
    tcase_add_test(cases, requests_that_come_from_everywhere_move_nothing);
    tcase_add_test(cases, a_doubted_server_gets_no_keys_while_another_one_can);
    tcase_add_test(cases, a_doubted_server_keeps_what_it_holds);
    tcase_add_test(cases, doubted_servers_get_keys_when_no_other_is_left);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
