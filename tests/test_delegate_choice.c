/**
 * @file test_delegate_choice.c
 * @brief Tests which nodes a node without paths to servers passes its requests to, also in large fleets.
 */
#include <string.h>

#include "loop_fixture.h"
#include "router/delegate_choice.h"

enum { OWN = 1, NODES_MAX = 2000 };

static cw_delegate_candidate_t candidates[NODES_MAX];
static size_t                  count;

static void add(size_t nodes, cw_distance_t distance, cw_delegate_paths_t paths)
{
    while (nodes-- > 0) {
        candidates[count] = (cw_delegate_candidate_t){(uint32_t)count + 100, distance, paths};
        count++;
    }
}

static cw_distance_t distance_of(uint32_t address)
{
    return candidates[address - 100].distance;
}

START_TEST(nodes_without_paths_are_not_chosen)
{
    uint32_t chosen[CW_DELEGATES_MAX];

    count = 0;
    add(5, CW_DISTANCE_ZONE, CW_DELEGATE_UNUSABLE);
    ck_assert_uint_eq(cw_delegates_choose(candidates, count, OWN, chosen), 0);
    add(2, CW_DISTANCE_REMOTE, CW_DELEGATE_UNKNOWN);
    ck_assert_uint_eq(cw_delegates_choose(candidates, count, OWN, chosen), 2);
    add(1, CW_DISTANCE_REMOTE, CW_DELEGATE_OPEN);
    ck_assert_uint_eq(cw_delegates_choose(candidates, count, OWN, chosen), 1);
    ck_assert_uint_eq(chosen[0], 107);
}
END_TEST

START_TEST(the_own_zone_is_preferred_while_half_of_it_can_serve)
{
    uint32_t chosen[CW_DELEGATES_MAX];
    size_t   index;

    count = 0;
    add(3, CW_DISTANCE_ZONE, CW_DELEGATE_OPEN); /* of six: the choosing node, two more without paths */
    add(2, CW_DISTANCE_ZONE, CW_DELEGATE_UNUSABLE);
    add(6, CW_DISTANCE_REGION, CW_DELEGATE_OPEN);
    ck_assert_uint_eq(cw_delegates_choose(candidates, count, OWN, chosen), 3);
    for (index = 0; index < 3; index++) {
        ck_assert_int_eq(distance_of(chosen[index]), CW_DISTANCE_ZONE);
    }
}
END_TEST

/* One node of a zone would carry the load of all others. */
START_TEST(the_load_of_a_zone_that_is_mostly_cut_is_spread_over_the_region)
{
    uint32_t chosen[CW_DELEGATES_MAX];

    count = 0;
    add(1, CW_DISTANCE_ZONE, CW_DELEGATE_OPEN);
    add(4, CW_DISTANCE_ZONE, CW_DELEGATE_UNUSABLE);
    add(5, CW_DISTANCE_REGION, CW_DELEGATE_OPEN);
    add(5, CW_DISTANCE_REMOTE, CW_DELEGATE_OPEN);
    ck_assert_uint_eq(cw_delegates_choose(candidates, count, OWN, chosen), 6);
}
END_TEST

/* A zone of 400 of 2,000 nodes is cut. Each of the others gets requests of about as many of its nodes. */
START_TEST(many_nodes_spread_their_requests_evenly)
{
    enum { CUT = 400, OPEN = 1600, EXPECTED = CUT * CW_DELEGATES_MAX / OPEN };
    static uint32_t uses[NODES_MAX];
    uint32_t        chosen[CW_DELEGATES_MAX];
    uint32_t        most = 0;
    uint32_t        own;
    size_t          index;

    count = 0;
    memset(uses, 0, sizeof(uses));
    add(OPEN, CW_DISTANCE_REGION, CW_DELEGATE_OPEN);
    add(CUT - 1, CW_DISTANCE_ZONE, CW_DELEGATE_UNUSABLE);
    for (own = 1; own <= CUT; own++) {
        ck_assert_uint_eq(cw_delegates_choose(candidates, count, own * 100000, chosen), CW_DELEGATES_MAX);
        for (index = 0; index < CW_DELEGATES_MAX; index++) {
            uint32_t *use = &uses[chosen[index] - 100];

            (*use)++;
            most = *use > most ? *use : most;
        }
    }
    ck_assert_uint_le(most, 6 * EXPECTED);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("delegate_choice");
    TCase *cases = tcase_create("delegate_choice");

    tcase_add_test(cases, nodes_without_paths_are_not_chosen);
    tcase_add_test(cases, the_own_zone_is_preferred_while_half_of_it_can_serve);
    tcase_add_test(cases, the_load_of_a_zone_that_is_mostly_cut_is_spread_over_the_region);
    tcase_add_test(cases, many_nodes_spread_their_requests_evenly);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
