/**
 * @file test_gateway_random.c
 * @brief Random walks of a gateway among lost, late, doubled and refused hops, with the promises checked at the end:
 *        one answer for each request, never another caller's, "not run" only when no hop ran, and a non-repeatable
 *        request never handed over again after a hop that may have run.
 */
#include <check.h>
#include <stdlib.h>

#include "common/gateway_fixture.h"

enum { WALKS = 40, STEPS = 900, LIMIT = 60, BUDGET = 50, STEP_MAX_US = 30000 };

/** What became of a hop in the model of forwarder and server. */
typedef enum cw_hop_fate { HOP_OPEN, HOP_REFUSED, HOP_RAN } cw_hop_fate_t;

typedef struct cw_walk {
    cw_gateway_fixture_t *fixture;
    uint64_t              random_state;
    uint64_t              caller_count;
    cw_hop_fate_t         fates[FIXTURE_RECORDS];
    bool                  cancelled[FIXTURE_RECORDS];
} cw_walk_t;

static uint64_t draw(cw_walk_t *walk, uint64_t bound)
{
    return cw_random_below(&walk->random_state, bound);
}

static void start_request(cw_walk_t *walk)
{
    bool                repeatable = draw(walk, 2) == 0;
    cw_caller_request_t request =
        cw_fixture_request(++walk->caller_count, repeatable ? "GET" : "POST", repeatable ? "/map" : "/unlock");

    if (draw(walk, 3) == 0) {
        request.tenant = "beta";
        request.token = FIXTURE_TOKEN_BETA;
    }
    request.timeout_us = (int64_t)draw(walk, 300000) + 1;
    cw_fixture_send(walk->fixture, &request);
}

/* A hop gets an answer that is true in the model; hops already answered are answered again now and then. Some answers
 * have the hop's id, but are meant for another incarnation of the gateway and hold another caller's body. */
static void answer_hop(cw_walk_t *walk)
{
    static const cw_reason_t refusals[] = {CW_REASON_STALE_ROUTE, CW_REASON_MOVING, CW_REASON_QUEUE_FULL};
    cw_gateway_fixture_t    *fixture = walk->fixture;
    size_t                   recent = fixture->hop_count < 20 ? fixture->hop_count : 20;
    size_t                   index;
    const cw_fixture_hop_t  *hop;
    cw_fixture_hop_t         foreign;

    if (recent == 0) {
        return;
    }
    index = fixture->hop_count - 1 - draw(walk, recent);
    hop = &fixture->hops[index];
    if (walk->fates[index] == HOP_OPEN) {
        walk->fates[index] = draw(walk, 2) == 0 ? HOP_REFUSED : HOP_RAN;
    }
    if (walk->fates[index] == HOP_REFUSED) {
        cw_fixture_respond(fixture, hop, CW__OUTCOME__OUTCOME_NOT_RUN, refusals[draw(walk, 3)]);
    } else if (draw(walk, 3) == 0) {
        cw_fixture_respond(fixture, hop, CW__OUTCOME__OUTCOME_UNKNOWN, CW_REASON_CONNECTION_LOST);
    } else if (draw(walk, 6) == 0) {
        foreign = *hop;
        foreign.caller_id = FIXTURE_RECORDS;
        cw_fixture_respond_as(fixture, &foreign, CW__OUTCOME__OUTCOME_ANSWERED, CW_REASON_NONE, 1);
    } else {
        cw_fixture_respond(fixture, hop, CW__OUTCOME__OUTCOME_ANSWERED, CW_REASON_NONE);
    }
}

static void change_route(cw_walk_t *walk)
{
    bool other = draw(walk, 2) == 0;

    cw_fixture_route(walk->fixture, (Cw__RangeState)draw(walk, 3), other ? FIXTURE_OTHER_NODE : FIXTURE_NODE,
                     other ? FIXTURE_OTHER_INCARNATION : FIXTURE_NODE_INCARNATION);
}

static void take_step(cw_walk_t *walk)
{
    cw_gateway_fixture_t *fixture = walk->fixture;
    uint64_t              choice = draw(walk, 100);

    if (choice < 40) {
        start_request(walk);
    } else if (choice < 75) {
        answer_hop(walk);
    } else if (choice < 92) {
        cw_fixture_advance(fixture, (int64_t)draw(walk, STEP_MAX_US));
    } else if (choice < 94) {
        cw_gateway_node_lost(fixture->gateway, draw(walk, 2) == 0 ? FIXTURE_NODE : FIXTURE_OTHER_NODE, fixture->now);
    } else if (choice < 96 && walk->caller_count > 0) {
        uint64_t caller_id = 1 + draw(walk, walk->caller_count);

        walk->cancelled[caller_id] = walk->cancelled[caller_id] || fixture->answers[caller_id].count == 0;
        cw_gateway_cancel(fixture->gateway, caller_id, fixture->now);
    } else {
        change_route(walk);
    }
}

/* Every hop but the last of a non-repeatable request must have been refused. */
static void check_hops(const cw_walk_t *walk, uint64_t caller_id)
{
    const cw_fixture_answer_t *answer = &walk->fixture->answers[caller_id];
    bool                       may_have_run = false;
    size_t                     index;

    for (index = 0; index < walk->fixture->hop_count; index++) {
        if (walk->fixture->hops[index].caller_id != caller_id) {
            continue;
        }
        ck_assert(walk->fixture->hops[index].repeatable || !may_have_run);
        may_have_run = may_have_run || walk->fates[index] != HOP_REFUSED;
    }
    ck_assert(!may_have_run || walk->cancelled[caller_id] || answer->outcome != CW__OUTCOME__OUTCOME_NOT_RUN);
}

static void check_answers(const cw_walk_t *walk)
{
    const cw_fixture_answer_t *answer;
    cw_gateway_counters_t      counters;
    uint64_t                   caller_id;

    for (caller_id = 1; caller_id <= walk->caller_count; caller_id++) {
        answer = &walk->fixture->answers[caller_id];
        ck_assert_uint_eq(answer->count, walk->cancelled[caller_id] ? 0 : 1);
        if (answer->outcome == CW__OUTCOME__OUTCOME_ANSWERED) {
            ck_assert_uint_eq(answer->body, caller_id);
        }
        check_hops(walk, caller_id);
    }
    cw_gateway_read_counters(walk->fixture->gateway, &counters);
    ck_assert_uint_eq(counters.in_flight, 0);
    ck_assert_uint_gt(counters.answered, 0);
    ck_assert_uint_gt(counters.retries, 0);
    ck_assert_uint_gt(counters.late_responses, 0);
    ck_assert_uint_eq(counters.requests, walk->caller_count);
}

START_TEST(promises_hold_on_random_walks)
{
    cw_walk_t *walk = calloc(1, sizeof(*walk));
    size_t     step;

    walk->fixture = cw_fixture_create(LIMIT, BUDGET);
    walk->random_state = (uint64_t)_i + 1;
    for (step = 0; step < STEPS; step++) {
        take_step(walk);
    }
    while (cw_gateway_next_tick(walk->fixture->gateway) != INT64_MAX) {
        cw_fixture_advance(walk->fixture, STEP_MAX_US);
    }
    check_answers(walk);
    cw_fixture_free(walk->fixture);
    free(walk);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("gateway_random");
    TCase   *tests = tcase_create("gateway_random");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_loop_test(tests, promises_hold_on_random_walks, 0, WALKS);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
