/**
 * @file test_relay_update.c
 * @brief Tests of the relay: updates and subscriptions that a single one is given.
 */
#include <check.h>
#include <stdlib.h>

#include "common/relay_network.h"

/* An update as it is given to one relay, full (base 0) or as a delta. */
typedef struct update {
    uint64_t generation;
    uint64_t term;
    uint64_t beat;
    uint64_t base;
    uint64_t version;
} update_t;

static bool give(relay_network_t *network, update_t update, cw_node_id_t leader)
{
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__RouteUpdate     message = CW__ROUTE_UPDATE__INIT;
    Cw__ControlSnapshot snapshot = CW__CONTROL_SNAPSHOT__INIT;
    Cw__NodeInfo        leader_node;

    relay_network_fill_node(&leader_node, leader);
    message.generation = update.generation;
    message.term = update.term;
    message.beat = update.beat;
    message.base_version = update.base;
    message.version = snapshot.version = update.version;
    message.changes = update.base != update.version ? &snapshot : NULL;
    message.leader = &leader_node;
    envelope.from = leader;
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_UPDATE;
    envelope.route_update = &message;
    return cw_relay_receive(network->nodes[9].relay, &envelope, network->now);
}

START_TEST(older_updates_never_replace_newer)
{
    relay_network_t  *network = relay_network_create();
    const cw_relay_t *relay = network->nodes[9].relay;

    ck_assert(give(network, (update_t){3, 5, 1, 0, 40}, 2));
    ck_assert(!give(network, (update_t){2, 9, 9, 0, 90}, 3));
    ck_assert(!give(network, (update_t){3, 4, 9, 0, 30}, 3));
    ck_assert_uint_eq(cw_relay_generation(relay), 3);
    ck_assert_uint_eq(cw_relay_version(relay), 40);
    ck_assert_uint_eq(cw_control_state_version(cw_relay_routes(relay)), 40);
    ck_assert_uint_eq(cw_relay_leader(relay)->id, 2);
    ck_assert(give(network, (update_t){4, 1, 1, 0, 35}, 4));
    ck_assert_uint_eq(cw_relay_leader(relay)->id, 4);
    relay_network_free(network);
}
END_TEST

START_TEST(gap_is_not_merged_and_asked_for)
{
    relay_network_t  *network = relay_network_create();
    const cw_relay_t *relay = network->nodes[9].relay;

    ck_assert(give(network, (update_t){1, 1, 1, 0, 40}, 2));
    ck_assert(!give(network, (update_t){1, 1, 2, 45, 50}, 2));
    ck_assert_uint_eq(cw_relay_version(relay), 40);
    ck_assert_uint_eq(network->subscribed_to[2], 1);
    ck_assert(!give(network, (update_t){1, 1, 3, 45, 51}, 2));
    ck_assert_uint_eq(network->subscribed_to[2], 1); /* bounded */
    ck_assert(give(network, (update_t){1, 1, 3, 40, 51}, 2));
    ck_assert(!give(network, (update_t){2, 1, 1, 51, 60}, 2)); /* another generation needs a full update */
    ck_assert_uint_eq(cw_relay_generation(relay), 1);
    relay_network_free(network);
}
END_TEST

START_TEST(child_behind_history_or_of_another_generation_gets_everything)
{
    relay_network_t *network = relay_network_create();

    ck_assert(give(network, (update_t){2, 1, 1, 0, 40}, 2));
    relay_network_subscribe(network, 9, 20, 2, 30);
    ck_assert_uint_eq(network->full_updates, 1);
    relay_network_subscribe(network, 9, 21, 1, 40);
    ck_assert_uint_eq(network->full_updates, 2);
    relay_network_subscribe(network, 9, 21, 1, 40);
    ck_assert_uint_eq(network->full_updates, 2); /* the first one may be on its way */
    relay_network_subscribe(network, 9, 22, 2, 40);
    ck_assert_uint_eq(network->full_updates, 2);
    relay_network_free(network);
}
END_TEST

START_TEST(subscription_that_crosses_a_delta_is_not_answered)
{
    relay_network_t *network = relay_network_create();

    ck_assert(give(network, (update_t){1, 1, 1, 0, 40}, 2));
    relay_network_subscribe(network, 9, 20, 1, 40);
    network->changes_sent = 0;
    ck_assert(give(network, (update_t){1, 1, 2, 40, 41}, 2));
    ck_assert(give(network, (update_t){1, 1, 3, 41, 42}, 2));
    ck_assert_uint_eq(network->changes_sent, 2);
    relay_network_subscribe(network, 9, 20, 1, 40);
    ck_assert_uint_eq(network->changes_sent, 2);
    network->now.monotonic_us += RELAY_INTERVAL_US; /* still there: lost */
    relay_network_subscribe(network, 9, 20, 1, 40);
    ck_assert_uint_eq(network->changes_sent, 3);
    ck_assert(give(network, (update_t){1, 1, 4, 42, 43}, 2));
    network->now.monotonic_us += RELAY_INTERVAL_US;
    ck_assert(give(network, (update_t){1, 1, 5, 43, 44}, 2));
    relay_network_subscribe(network, 9, 20, 1, 42); /* below the base of the last one: a gap */
    ck_assert_uint_eq(network->changes_sent, 6);
    relay_network_free(network);
}
END_TEST

START_TEST(only_new_beats_keep_in_touch)
{
    relay_network_t  *network = relay_network_create();
    const cw_relay_t *relay = network->nodes[9].relay;

    ck_assert(give(network, (update_t){1, 2, 7, 0, 40}, 2));
    network->now.monotonic_us += RELAY_OUT_OF_TOUCH_US - 1;
    ck_assert(cw_relay_in_touch(relay, network->now));
    ck_assert(!give(network, (update_t){1, 2, 7, 40, 40}, 2));
    ck_assert(!give(network, (update_t){1, 2, 6, 40, 40}, 2));
    ck_assert(!give(network, (update_t){1, 1, 90, 40, 40}, 3));
    network->now.monotonic_us += 1;
    ck_assert(!cw_relay_in_touch(relay, network->now));
    ck_assert(!give(network, (update_t){1, 2, 8, 40, 40}, 2));
    ck_assert(cw_relay_in_touch(relay, network->now));
    relay_network_free(network);
}
END_TEST

START_TEST(silent_children_are_forgotten_and_strays_bounded)
{
    relay_network_t *network = relay_network_create();
    cw_node_id_t     id;
    size_t           before;

    ck_assert(give(network, (update_t){1, 1, 1, 0, 40}, 2));
    for (id = 10; id <= RELAY_NODES; id++) {
        relay_network_subscribe(network, 9, id, 1, 40);
    }
    before = network->tail;
    ck_assert(!give(network, (update_t){1, 1, 2, 40, 40}, 2));
    ck_assert(!give(network, (update_t){1, 1, 2, 40, 40}, 3)); /* known already: not passed on */
    ck_assert_uint_eq(network->tail - before, 32);
    network->now.monotonic_us += 4 * RELAY_INTERVAL_US;
    cw_relay_tick(network->nodes[9].relay, network->now);
    before = network->tail;
    ck_assert(!give(network, (update_t){1, 1, 3, 40, 40}, 2));
    ck_assert_uint_eq(network->tail - before, 0);
    relay_network_free(network);
}
END_TEST

START_TEST(refresh_is_bounded_to_one_an_interval)
{
    relay_network_t *network = relay_network_create();

    ck_assert(give(network, (update_t){1, 1, 1, 0, 40}, 2));
    cw_relay_refresh(network->nodes[9].relay, network->now);
    cw_relay_refresh(network->nodes[9].relay, network->now);
    ck_assert_uint_eq(network->subscribed_to[2], 1);
    relay_network_free(network);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("updates of a relay");
    TCase   *tests = tcase_create("updates of a relay");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, older_updates_never_replace_newer);
    tcase_add_test(tests, gap_is_not_merged_and_asked_for);
    tcase_add_test(tests, child_behind_history_or_of_another_generation_gets_everything);
    tcase_add_test(tests, subscription_that_crosses_a_delta_is_not_answered);
    tcase_add_test(tests, only_new_beats_keep_in_touch);
    tcase_add_test(tests, silent_children_are_forgotten_and_strays_bounded);
    tcase_add_test(tests, refresh_is_bounded_to_one_an_interval);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
