/**
 * @file test_relays.c
 * @brief Relays of zones: who is one, and a world of small zones whose summaries are lost, late, cut off or held back.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "router/relay_choice.h"
#include "router/zone_links.h"

enum { ZONES = 3, ZONE_NODES = 5, NODES = ZONES * ZONE_NODES, STEP_MS = 50, LOST_AFTER_MS = 1000 };

static const char *const zone_names[ZONES] = {"z1", "z2", "z3"};

/** One node: what it has received of other zones. */
typedef struct fake_node {
    cw_zone_links_t links;
    uint32_t        sequence;
    uint64_t        incarnation;
    cw_time_us_t    sent_at;
    cw_time_us_t    stopped_at; /**< killed, or held still; 0: it runs */
} fake_node_t;

typedef struct fake_world {
    fake_node_t  nodes[NODES];
    bool         cut[ZONES][ZONES]; /**< nothing passes from the first to the second */
    uint32_t     lose_every;        /**< each so manieth crossing is lost; 0: none */
    uint32_t     crossings;
    cw_time_us_t now;
} fake_world_t;

static int zone_of(int node)
{
    return node / ZONE_NODES;
}

static uint32_t address_of(int node)
{
    return 100 + (uint32_t)node;
}

static void begin_world(fake_world_t *world)
{
    int node;

    memset(world, 0, sizeof(*world));
    world->now = CW_SECONDS(1000);
    for (node = 0; node < NODES; node++) {
        world->nodes[node].incarnation = 7000 + (uint64_t)node;
    }
}

/* Each node takes another one for lost when it has been still for a second. */
static size_t gather(const fake_world_t *world, cw_broker_candidate_t *candidates)
{
    size_t count = 0;
    int    node;

    for (node = 0; node < NODES; node++) {
        cw_time_us_t stopped_at = world->nodes[node].stopped_at;

        if (stopped_at == 0 || world->now - stopped_at < CW_MS(LOST_AFTER_MS)) {
            candidates[count++] = (cw_broker_candidate_t){
                .address = address_of(node), .capability = 100, .zone = zone_names[zone_of(node)]};
        }
    }
    return count;
}

static void relays_of(const fake_world_t *world, int zone, uint32_t relays[CW_RELAYS])
{
    cw_broker_candidate_t candidates[NODES];

    (void)cw_relay_choose(candidates, gather(world, candidates), zone_names[zone], relays);
}

static bool has_received(const fake_node_t *node, int zone, cw_time_us_t now)
{
    return cw_zone_links_is_summarized(&node->links, zone_names[zone], now);
}

/* A summary comes to one node of another zone, which passes it on to the others there. */
static void deliver(fake_world_t *world, int from, uint32_t sequence, const bool *received, uint32_t partner)
{
    int zone = zone_of((int)(partner - address_of(0)));
    int node;

    if (world->nodes[partner - address_of(0)].stopped_at != 0 || world->cut[zone_of(from)][zone]) {
        return;
    }
    if (world->lose_every != 0 && ++world->crossings % world->lose_every == 0) {
        return;
    }
    for (node = zone * ZONE_NODES; node < (zone + 1) * ZONE_NODES; node++) {
        cw_summary_header_t head = {.zone = zone_names[zone_of(from)],
                                    .relay = address_of(from),
                                    .incarnation = world->nodes[from].incarnation,
                                    .sequence = sequence,
                                    .acknowledges = received[zone]};

        if (world->nodes[node].stopped_at == 0) {
            (void)cw_zone_links_note(&world->nodes[node].links, &head, world->now);
        }
    }
}

static void send_summary(fake_world_t *world, int from, size_t place)
{
    bool received[ZONES];
    int  zone;

    world->nodes[from].sequence++;
    for (zone = 0; zone < ZONES; zone++) {
        received[zone] = has_received(&world->nodes[from], zone, world->now);
    }
    for (zone = 0; zone < ZONES; zone++) {
        uint32_t relays[CW_RELAYS];

        relays_of(world, zone, relays);
        if (zone != zone_of(from)) {
            deliver(world, from, world->nodes[from].sequence, received, cw_relay_partner(relays, CW_RELAYS, place));
        }
    }
}

static void step(fake_world_t *world)
{
    int    zone;
    size_t place;

    world->now += CW_MS(STEP_MS);
    for (zone = 0; zone < ZONES; zone++) {
        uint32_t relays[CW_RELAYS];

        relays_of(world, zone, relays);
        for (place = 0; place < CW_RELAYS; place++) {
            int          node = (int)(relays[place] - address_of(0));
            fake_node_t *relay = &world->nodes[node];

            if (relay->stopped_at == 0 && world->now - relay->sent_at >= CW_MS(CW_SUMMARY_INTERVAL_MS)) {
                relay->sent_at = world->now;
                send_summary(world, node, place);
            }
        }
    }
}

static void run(fake_world_t *world, int milliseconds)
{
    for (; milliseconds > 0; milliseconds -= STEP_MS) {
        step(world);
    }
}

/* Does each node that runs in `from` count `to` as covered? */
static bool is_covered(const fake_world_t *world, int from, int to)
{
    int node;

    for (node = from * ZONE_NODES; node < (from + 1) * ZONE_NODES; node++) {
        if (world->nodes[node].stopped_at == 0 &&
            !cw_zone_links_is_covered(&world->nodes[node].links, zone_names[to], world->now)) {
            return false;
        }
    }
    return true;
}

static bool are_all_covered(const fake_world_t *world)
{
    int from;
    int to;

    for (from = 0; from < ZONES; from++) {
        for (to = 0; to < ZONES; to++) {
            if (from != to && !is_covered(world, from, to)) {
                return false;
            }
        }
    }
    return true;
}

static void stop_relay(fake_world_t *world, int zone, size_t place)
{
    uint32_t relays[CW_RELAYS];

    relays_of(world, zone, relays);
    world->nodes[relays[place] - address_of(0)].stopped_at = world->now;
}

/* ---- who ---- */

START_TEST(the_most_capable_nodes_of_a_zone_are_its_relays)
{
    cw_broker_candidate_t candidates[] = {{.address = 1, .capability = 100, .zone = "z1"},
                                          {.address = 2, .capability = 500, .zone = "z1"},
                                          {.address = 3, .capability = 500, .zone = "z2"},
                                          {.address = 4, .capability = 500, .zone = "z1"},
                                          {.address = 5, .capability = 100, .zone = "z1"}};
    uint32_t              relays[CW_RELAYS];

    ck_assert_uint_eq(cw_relay_choose(candidates, 5, "z1", relays), 2);
    ck_assert_uint_eq(relays[0] + relays[1], 6);
    ck_assert_uint_eq(cw_relay_choose(candidates, 5, "z2", relays), 1);
    ck_assert_uint_eq(relays[0], 3);
    ck_assert_uint_eq(relays[1], 0);
    ck_assert_uint_eq(cw_relay_partner(relays, 1, 1), 3); /* one node receives from both */
    ck_assert_uint_eq(cw_relay_choose(candidates, 5, "z3", relays), 0);
    ck_assert_uint_eq(cw_relay_partner(relays, 0, 0), 0);
}
END_TEST

START_TEST(the_successor_takes_the_place_of_a_relay_that_is_gone)
{
    cw_broker_candidate_t candidates[8];
    uint32_t              before[CW_RELAYS];
    uint32_t              after[CW_RELAYS];
    size_t                index;

    for (index = 0; index < 8; index++) {
        candidates[index] = (cw_broker_candidate_t){.address = 10 + (uint32_t)index, .capability = 1, .zone = "z1"};
    }
    (void)cw_relay_choose(candidates, 8, "z1", before);
    for (index = 0; candidates[index].address != before[0]; index++) {
    }
    candidates[index] = candidates[7];
    (void)cw_relay_choose(candidates, 7, "z1", after);
    ck_assert_uint_eq(after[0], before[1]);
    ck_assert_uint_ne(after[1], before[0]);
}
END_TEST

/* ---- a world ---- */

START_TEST(all_zones_cover_one_another_soon_after_the_start)
{
    fake_world_t world;

    begin_world(&world);
    ck_assert(!are_all_covered(&world));
    run(&world, 2 * CW_SUMMARY_INTERVAL_MS);
    ck_assert(are_all_covered(&world));
}
END_TEST

START_TEST(one_relay_that_stops_is_not_missed)
{
    fake_world_t world;
    int          left;
    size_t       place;

    for (place = 0; place < CW_RELAYS; place++) {
        begin_world(&world);
        run(&world, 1000);
        stop_relay(&world, 1, place);
        for (left = 4000; left > 0; left -= STEP_MS) {
            step(&world);
            ck_assert(are_all_covered(&world));
        }
    }
}
END_TEST

START_TEST(while_both_relays_are_gone_nodes_know_that_they_must_report_themselves)
{
    fake_world_t world;

    begin_world(&world);
    run(&world, 1000);
    stop_relay(&world, 1, 0);
    stop_relay(&world, 1, 1);
    run(&world, CW_SUMMARY_RECENT_MS + STEP_MS);
    ck_assert(!is_covered(&world, 1, 0));
    ck_assert(!is_covered(&world, 0, 1));
    ck_assert(is_covered(&world, 0, 2));
    run(&world, LOST_AFTER_MS - CW_SUMMARY_RECENT_MS + 3 * CW_SUMMARY_INTERVAL_MS);
    ck_assert(are_all_covered(&world)); /* their successors are at work */
}
END_TEST

START_TEST(a_zone_that_is_cut_off_is_covered_no_longer_and_again_when_it_is_back)
{
    fake_world_t world;

    begin_world(&world);
    run(&world, 1000);
    world.cut[0][1] = world.cut[1][0] = true;
    world.cut[2][1] = world.cut[1][2] = true;
    run(&world, CW_SUMMARY_RECENT_MS + STEP_MS);
    ck_assert(!is_covered(&world, 0, 1) && !is_covered(&world, 1, 0));
    ck_assert(!is_covered(&world, 2, 1) && !is_covered(&world, 1, 2));
    ck_assert(is_covered(&world, 0, 2) && is_covered(&world, 2, 0));
    memset(world.cut, 0, sizeof(world.cut));
    run(&world, 3 * CW_SUMMARY_INTERVAL_MS);
    ck_assert(are_all_covered(&world));
}
END_TEST

START_TEST(a_way_that_is_cut_in_one_direction_covers_neither)
{
    fake_world_t world;

    begin_world(&world);
    run(&world, 1000);
    world.cut[0][1] = true;
    run(&world, 2 * CW_SUMMARY_RECENT_MS + CW_SUMMARY_INTERVAL_MS);
    ck_assert(!is_covered(&world, 1, 0));
    ck_assert(!is_covered(&world, 0, 1)); /* zone 1 says that it receives nothing */
}
END_TEST

START_TEST(one_datagram_lost_in_three_leaves_all_covered)
{
    fake_world_t world;
    int          left;

    begin_world(&world);
    run(&world, 1000);
    world.lose_every = 3;
    for (left = 10000; left > 0; left -= STEP_MS) {
        step(&world);
        ck_assert(are_all_covered(&world));
    }
}
END_TEST

START_TEST(what_a_relay_held_back_tells_nothing_when_newer_has_come)
{
    cw_zone_links_t     links = {0};
    cw_summary_header_t held = {.zone = "z2", .relay = 5, .incarnation = 1, .sequence = 10, .acknowledges = true};
    cw_summary_header_t newer = {.zone = "z2", .relay = 5, .incarnation = 1, .sequence = 30, .acknowledges = false};
    cw_summary_header_t restarted = {.zone = "z2", .relay = 5, .incarnation = 2, .sequence = 1, .acknowledges = true};

    ck_assert(cw_zone_links_note(&links, &newer, CW_SECONDS(10)));
    ck_assert(!cw_zone_links_note(&links, &held, CW_SECONDS(11)));
    ck_assert(!cw_zone_links_is_covered(&links, "z2", CW_SECONDS(11)));
    ck_assert(!cw_zone_links_is_summarized(&links, "z2", CW_SECONDS(11)));
    ck_assert(!cw_zone_links_note(&links, &newer, CW_SECONDS(11))); /* by the other relay of this zone */
    ck_assert(cw_zone_links_note(&links, &restarted, CW_SECONDS(12)));
    ck_assert(cw_zone_links_is_covered(&links, "z2", CW_SECONDS(12)));
}
END_TEST

START_TEST(more_zones_than_there_is_room_for_are_not_covered)
{
    cw_zone_links_t     links = {0};
    char                zone[16];
    cw_summary_header_t head = {.zone = zone, .relay = 5, .incarnation = 1, .sequence = 1, .acknowledges = true};
    int                 index;

    for (index = 0; index < CW_ZONES_MAX; index++) {
        snprintf(zone, sizeof(zone), "z%d", index);
        ck_assert(cw_zone_links_note(&links, &head, CW_SECONDS(1)));
    }
    snprintf(zone, sizeof(zone), "more");
    ck_assert(!cw_zone_links_note(&links, &head, CW_SECONDS(1)));
    ck_assert(!cw_zone_links_is_covered(&links, "more", CW_SECONDS(1)));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("relays");
    TCase *cases = tcase_create("relays");

    tcase_add_test(cases, the_most_capable_nodes_of_a_zone_are_its_relays);
    tcase_add_test(cases, the_successor_takes_the_place_of_a_relay_that_is_gone);
    tcase_add_test(cases, all_zones_cover_one_another_soon_after_the_start);
    tcase_add_test(cases, one_relay_that_stops_is_not_missed);
    tcase_add_test(cases, while_both_relays_are_gone_nodes_know_that_they_must_report_themselves);
    tcase_add_test(cases, a_zone_that_is_cut_off_is_covered_no_longer_and_again_when_it_is_back);
    tcase_add_test(cases, a_way_that_is_cut_in_one_direction_covers_neither);
    tcase_add_test(cases, one_datagram_lost_in_three_leaves_all_covered);
    tcase_add_test(cases, what_a_relay_held_back_tells_nothing_when_newer_has_come);
    tcase_add_test(cases, more_zones_than_there_is_room_for_are_not_covered);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
