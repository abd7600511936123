/**
 * @file test_order_trust.c
 * @brief Tests that dead servers which are still listed do not get the same keys alternately.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum { SERVERS = 6, TICKS_PER_SECOND = 1000 / CW_TICK_MS, KEYS_SAMPLED = 16 };

enum { SERVER = 77, OTHER = 78 };

static void fail_orders(cw_order_trust_t *trust, int times, cw_time_us_t now)
{
    while (times-- > 0) {
        cw_order_trust_record_failure(trust, SERVER, 0, now);
    }
}

START_TEST(a_server_is_doubted_after_two_failures_in_a_row)
{
    cw_order_trust_t *trust = cw_order_trust_create();

    fail_orders(trust, 1, CW_SECONDS(1));
    ck_assert(!cw_order_trust_is_doubted(trust, SERVER, 0, CW_SECONDS(1)));
    cw_order_trust_record_answer(trust, SERVER);
    fail_orders(trust, 1, CW_SECONDS(1));
    ck_assert(!cw_order_trust_is_doubted(trust, SERVER, 0, CW_SECONDS(1)));
    fail_orders(trust, 1, CW_SECONDS(1));
    ck_assert(cw_order_trust_is_doubted(trust, SERVER, 0, CW_SECONDS(1)));
    ck_assert(!cw_order_trust_is_doubted(trust, OTHER, 0, CW_SECONDS(1)));
    cw_order_trust_free(trust);
}
END_TEST

START_TEST(a_server_that_answers_an_order_or_a_request_is_trusted_again)
{
    cw_order_trust_t *trust = cw_order_trust_create();

    fail_orders(trust, 2, CW_SECONDS(1));
    cw_order_trust_record_answer(trust, SERVER);
    ck_assert(!cw_order_trust_is_doubted(trust, SERVER, 0, CW_SECONDS(1)));
    fail_orders(trust, 2, CW_SECONDS(1));
    ck_assert(cw_order_trust_is_doubted(trust, SERVER, 0, CW_SECONDS(1)));
    ck_assert(!cw_order_trust_is_doubted(trust, SERVER, 1, CW_SECONDS(1)));
    ck_assert_uint_eq(cw_order_trust_servers(trust), 0);
    cw_order_trust_free(trust);
}
END_TEST

START_TEST(periods_of_doubt_of_a_server_double)
{
    cw_order_trust_t *trust = cw_order_trust_create();
    cw_time_us_t      now = CW_SECONDS(1);
    int               period_s;

    for (period_s = CW_ORDER_DOUBT_INITIAL_S; period_s <= 4 * CW_ORDER_DOUBT_MAX_S; period_s *= 2) {
        int bounded_s = period_s < CW_ORDER_DOUBT_MAX_S ? period_s : CW_ORDER_DOUBT_MAX_S;

        fail_orders(trust, 8, now); /* orders of one plan */
        ck_assert(cw_order_trust_is_doubted(trust, SERVER, 0, now + CW_SECONDS(bounded_s) - 1));
        now += CW_SECONDS(bounded_s);
        ck_assert(!cw_order_trust_is_doubted(trust, SERVER, 0, now));
    }
    cw_order_trust_free(trust);
}
END_TEST

START_TEST(servers_without_orders_are_discarded)
{
    cw_order_trust_t *trust = cw_order_trust_create();

    fail_orders(trust, 2, CW_SECONDS(1));
    cw_order_trust_expire(trust, CW_SECONDS(2 * CW_ORDER_DOUBT_MAX_S));
    ck_assert_uint_eq(cw_order_trust_servers(trust), 1);
    cw_order_trust_expire(trust, CW_SECONDS(2 * CW_ORDER_DOUBT_MAX_S + 2));
    ck_assert_uint_eq(cw_order_trust_servers(trust), 0);
    cw_order_trust_free(trust);
}
END_TEST

/* Runs the node for this number of seconds with load while the first two servers are dead but still listed. Returns the
 * number of grants sent to the dead ones. */
static size_t run_seconds(node_fixture_t *node, int seconds)
{
    uint32_t keys[KEYS_SAMPLED];
    size_t   grants = 0;
    size_t   key;
    int      tick;

    for (tick = 0; tick < seconds * TICKS_PER_SECOND; tick++) {
        for (key = 0; key < KEYS_SAMPLED; key++) {
            keys[key] = (uint32_t)((size_t)tick * 7919 + key * 4096 + 17) % (CW_KEY_LAST + 1);
        }
        node_fixture_receive_samples(node, keys, KEYS_SAMPLED, 1);
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        grants += node_fixture_answer_orders_of_dead(node, "i-000002");
    }
    return grants;
}

static size_t keys_not_held(const node_fixture_t *node)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(node->router.assignments[0].assigner);
    size_t                 keys = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t *range = &ranges->items[index];

        if (range->phase != CW_RANGE_HELD || range->failing_since != 0) {
            keys += range->last - range->low + 1;
        }
    }
    return keys;
}

START_TEST(keys_do_not_alternate_between_two_dead_servers_that_stay_listed)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(node);
    ck_assert_uint_eq(keys_not_held(node), 0);
    (void)run_seconds(node, 12); /* keys of a lost owner cannot move before its hold expires */
    ck_assert_uint_eq(keys_not_held(node), 0);
    ck_assert_uint_le(run_seconds(node, 60), 24); /* orders are sent to them again after increasing periods of doubt */
    node_fixture_free(node);
}
END_TEST

START_TEST(a_server_is_reached_once_it_has_answered_since_the_term_began)
{
    cw_order_trust_t *trust = cw_order_trust_create();

    cw_order_trust_record_answer(trust, SERVER);
    ck_assert(cw_order_trust_has_reached(trust, SERVER));
    ck_assert(!cw_order_trust_has_reached(trust, OTHER));
    cw_order_trust_begin_term(trust, CW_SECONDS(1));
    ck_assert(!cw_order_trust_has_reached(trust, SERVER));
    cw_order_trust_record_answer(trust, SERVER);
    ck_assert(cw_order_trust_has_reached(trust, SERVER));
    cw_order_trust_forget_contact(trust, SERVER);
    ck_assert(!cw_order_trust_has_reached(trust, SERVER));
    cw_order_trust_free(trust);
}
END_TEST

START_TEST(an_unreached_server_is_probed_after_the_owners_have_had_orders)
{
    cw_order_trust_t *trust = cw_order_trust_create();
    cw_time_us_t      after = CW_SECONDS(1) + CW_MS(CW_ORDER_PROBE_AFTER_MS);

    cw_order_trust_begin_term(trust, CW_SECONDS(1));
    ck_assert(!cw_order_trust_begin_probe(trust, SERVER, after - 1));
    ck_assert(cw_order_trust_begin_probe(trust, SERVER, after));
    ck_assert(!cw_order_trust_begin_probe(trust, SERVER, after + CW_MS(CW_ORDER_PROBE_INTERVAL_MS) - 1));
    ck_assert(cw_order_trust_begin_probe(trust, SERVER, after + CW_MS(CW_ORDER_PROBE_INTERVAL_MS)));
    cw_order_trust_record_answer(trust, OTHER);
    ck_assert(!cw_order_trust_begin_probe(trust, OTHER, after));
    cw_order_trust_free(trust);
}
END_TEST

/* Lets seconds pass without load, so that a server without keys gets some. Returns the number of grants to it. */
static size_t grants_to(node_fixture_t *node, const char *server, int seconds)
{
    size_t grants = 0;
    size_t index;
    int    tick;

    for (tick = 0; tick < seconds * TICKS_PER_SECOND; tick++) {
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        for (index = 0; index < node->order_count; index++) {
            grants += strcmp(node->orders[index].order.server, server) == 0 ? 1 : 0;
        }
        node_fixture_answer_orders(node, CW_ORDER_DONE);
    }
    return grants;
}

/* Guards against keys that wait for a hold of a server which had crashed before this node took the lock, and is still
 * listed: the leader before this one doubted it. */
START_TEST(a_leader_gives_keys_only_to_servers_that_it_has_reached)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(node);
    node->servers_answer_probes = false;
    node_fixture_read_servers(node, "s", SERVERS + 1, "10.0.1.1:80");
    ck_assert_uint_eq(grants_to(node, "i-000006", 20), 0);
    node->servers_answer_probes = true;
    ck_assert_uint_gt(grants_to(node, "i-000006", 5), 0);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("order trust");
    TCase *cases = tcase_create("servers that orders do not reach");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_server_is_doubted_after_two_failures_in_a_row);
    tcase_add_test(cases, a_server_that_answers_an_order_or_a_request_is_trusted_again);
    tcase_add_test(cases, periods_of_doubt_of_a_server_double);
    tcase_add_test(cases, servers_without_orders_are_discarded);
    tcase_add_test(cases, a_server_is_reached_once_it_has_answered_since_the_term_began);
    tcase_add_test(cases, an_unreached_server_is_probed_after_the_owners_have_had_orders);
    tcase_add_test(cases, a_leader_gives_keys_only_to_servers_that_it_has_reached);
    tcase_add_test(cases, keys_do_not_alternate_between_two_dead_servers_that_stay_listed);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
