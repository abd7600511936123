/**
 * @file test_relays.c
 * @brief Relays of zones: their choice, and a simulation of small zones whose summaries are lost, delayed or cut off.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "router/relay_choice.h"
#include "router/zone_links.h"

enum { ZONES = 3, ZONE_NODES = 5, NODES = ZONES * ZONE_NODES, STEP_MS = 50, LOST_AFTER_MS = 1000 };

static const char *const zone_names[ZONES] = {"z1", "z2", "z3"};

/** One node, with the summaries that it has received from other zones. */
typedef struct fake_node {
    cw_zone_links_t links;
    uint32_t        sequence;
    uint64_t        incarnation;
    cw_time_us_t    sent_at;
    cw_time_us_t    stopped_at; /**< when it was killed or suspended; 0: it runs */
} fake_node_t;

/** Simulation of all nodes. */
typedef struct fake_world {
    fake_node_t  nodes[NODES];
    bool         cut[ZONES][ZONES]; /**< no datagram passes from the first zone to the second */
    uint32_t     lose_every;        /**< one of so many datagrams between zones is lost; 0: none */
    uint32_t     sent_between_zones;
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

/* Nodes that run, or have stopped less than LOST_AFTER_MS ago: the others count as lost. */
static size_t list_candidates(const fake_world_t *world, cw_broker_candidate_t *candidates)
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

    (void)cw_relay_choose(candidates, list_candidates(world, candidates), zone_names[zone], relays);
}

static bool has_received(const fake_node_t *node, int zone, cw_time_us_t now)
{
    return cw_zone_links_is_summarized(&node->links, zone_names[zone], now);
}

/* Delivers a summary to a relay of another zone, which forwards it to the other nodes there. */
static void deliver(fake_world_t *world, int from, uint32_t sequence, const bool *received, uint32_t partner)
{
    int zone = zone_of((int)(partner - address_of(0)));
    int node;

    if (world->nodes[partner - address_of(0)].stopped_at != 0 || world->cut[zone_of(from)][zone]) {
        return;
    }
    if (world->lose_every != 0 && ++world->sent_between_zones % world->lose_every == 0) {
        return;
    }
    for (node = zone * ZONE_NODES; node < (zone + 1) * ZONE_NODES; node++) {
        cw_summary_header_t head = {.zone = zone_names[zone_of(from)],
                                    .relay = address_of(from),
                                    .incarnation = world->nodes[from].incarnation,
                                    .sequence = sequence,
                                    .acknowledges = received[zone]};

        if (world->nodes[node].stopped_at == 0) {
            (void)cw_zone_links_record(&world->nodes[node].links, &head, world->now);
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

/* Whether every running node of zone `from` considers zone `to` covered. */
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

/* ---- choice of relays ---- */

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
    ck_assert_uint_eq(cw_relay_partner(relays, 1, 1), 3); /* a single relay receives from both relays of another zone */
    ck_assert_uint_eq(cw_relay_choose(candidates, 5, "z3", relays), 0);
    ck_assert_uint_eq(cw_relay_partner(relays, 0, 0), 0);
}
END_TEST

START_TEST(the_successor_takes_the_place_of_a_stopped_relay)
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

/* ---- simulation ---- */

START_TEST(all_zones_cover_one_another_soon_after_the_start)
{
    fake_world_t world;

    begin_world(&world);
    ck_assert(!are_all_covered(&world));
    run(&world, 2 * CW_SUMMARY_INTERVAL_MS);
    ck_assert(are_all_covered(&world));
}
END_TEST

START_TEST(zones_stay_covered_when_one_relay_stops)
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

START_TEST(a_zone_without_relays_is_not_covered_until_their_successors_take_over)
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
    ck_assert(are_all_covered(&world)); /* the successors of both relays have taken over */
}
END_TEST

START_TEST(a_zone_is_not_covered_while_it_is_cut_off)
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

START_TEST(a_cut_in_one_direction_ends_the_cover_in_both)
{
    fake_world_t world;

    begin_world(&world);
    run(&world, 1000);
    world.cut[0][1] = true;
    run(&world, 2 * CW_SUMMARY_RECENT_MS + CW_SUMMARY_INTERVAL_MS);
    ck_assert(!is_covered(&world, 1, 0));
    ck_assert(!is_covered(&world, 0, 1)); /* zone 1 states that it does not receive zone 0's summaries */
}
END_TEST

START_TEST(all_zones_stay_covered_when_one_datagram_in_three_is_lost)
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

START_TEST(a_delayed_summary_is_ignored_after_a_newer_one)
{
    cw_zone_links_t     links = {0};
    cw_summary_header_t delayed = {.zone = "z2", .relay = 5, .incarnation = 1, .sequence = 10, .acknowledges = true};
    cw_summary_header_t newer = {.zone = "z2", .relay = 5, .incarnation = 1, .sequence = 30, .acknowledges = false};
    cw_summary_header_t restarted = {.zone = "z2", .relay = 5, .incarnation = 2, .sequence = 1, .acknowledges = true};

    ck_assert(cw_zone_links_record(&links, &newer, CW_SECONDS(10)));
    ck_assert(!cw_zone_links_record(&links, &delayed, CW_SECONDS(11)));
    ck_assert(!cw_zone_links_is_covered(&links, "z2", CW_SECONDS(11)));
    ck_assert(!cw_zone_links_is_summarized(&links, "z2", CW_SECONDS(11)));
    ck_assert(!cw_zone_links_record(&links, &newer,
                                    CW_SECONDS(11))); /* the same summary, forwarded by the other relay of this zone */
    ck_assert(cw_zone_links_record(&links, &restarted, CW_SECONDS(12)));
    ck_assert(cw_zone_links_is_covered(&links, "z2", CW_SECONDS(12)));
}
END_TEST

START_TEST(zones_beyond_the_capacity_are_not_covered)
{
    cw_zone_links_t     links = {0};
    char                zone[16];
    cw_summary_header_t head = {.zone = zone, .relay = 5, .incarnation = 1, .sequence = 1, .acknowledges = true};
    int                 index;

    for (index = 0; index < CW_ZONES_MAX; index++) {
        snprintf(zone, sizeof(zone), "z%d", index);
        ck_assert(cw_zone_links_record(&links, &head, CW_SECONDS(1)));
    }
    snprintf(zone, sizeof(zone), "more");
    ck_assert(!cw_zone_links_record(&links, &head, CW_SECONDS(1)));
    ck_assert(!cw_zone_links_is_covered(&links, "more", CW_SECONDS(1)));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("relays");
    TCase *cases = tcase_create("relays");

    tcase_add_test(cases, the_most_capable_nodes_of_a_zone_are_its_relays);
    tcase_add_test(cases, the_successor_takes_the_place_of_a_stopped_relay);
    tcase_add_test(cases, all_zones_cover_one_another_soon_after_the_start);
    tcase_add_test(cases, zones_stay_covered_when_one_relay_stops);
    tcase_add_test(cases, a_zone_without_relays_is_not_covered_until_their_successors_take_over);
    tcase_add_test(cases, a_zone_is_not_covered_while_it_is_cut_off);
    tcase_add_test(cases, a_cut_in_one_direction_ends_the_cover_in_both);
    tcase_add_test(cases, all_zones_stay_covered_when_one_datagram_in_three_is_lost);
    tcase_add_test(cases, a_delayed_summary_is_ignored_after_a_newer_one);
    tcase_add_test(cases, zones_beyond_the_capacity_are_not_covered);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
