/**
 * @file late_orders_fixture.c
 * @brief Steps of tests of servers that do not answer the leader's orders.
 */
#include "late_orders_fixture.h"

#include <check.h>
#include <string.h>

void late_orders_begin(assigner_fixture_t *fixture, const char *const *servers)
{
    assigner_fixture_init(fixture, 1);
    assigner_fixture_set_servers(fixture, servers);
    assigner_fixture_settle(fixture);
    fixture->keeps_probes = true;
}

const cw_server_entry_t *late_orders_server(const assigner_fixture_t *fixture, const char *id)
{
    const cw_server_entry_t *entry = cw_server_list_find(fixture->servers, id);

    ck_assert_ptr_nonnull(entry);
    return entry;
}

void late_orders_answer(assigner_fixture_t *fixture, const char *id, cw_order_result_t result)
{
    while (fixture->answered < fixture->order_count) {
        cw_order_t order = fixture->orders[fixture->answered++];
        bool       is_to_server = strcmp(order.server, id) == 0;

        cw_assigner_order_done(fixture->assigner, order.id, is_to_server ? result : CW_ORDER_DONE, NULL, fixture->now);
    }
}

void late_orders_pass(assigner_fixture_t *fixture, const char *id, int ms)
{
    int passed;

    for (passed = 0; passed < ms; passed += ASSIGNER_ORDER_TIMEOUT_MS) {
        int waited;

        for (waited = 0; waited < ASSIGNER_ORDER_TIMEOUT_MS; waited += LATE_ORDERS_TICK_MS) {
            assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
        }
        late_orders_answer(fixture, id, CW_ORDER_UNANSWERED);
    }
}

size_t late_orders_count_grants(const assigner_fixture_t *fixture, const char *id, size_t from)
{
    size_t count = 0;
    size_t index;

    for (index = from; index < fixture->order_count; index++) {
        const cw_order_t *order = &fixture->orders[index];

        count +=
            order->kind == CW_ORDER_GRANT && strcmp(order->server, id) == 0 && order->low <= LATE_ORDERS_KEY ? 1 : 0;
    }
    return count;
}

size_t late_orders_count_releases(const assigner_fixture_t *fixture, const char *id, uint64_t fence, size_t from)
{
    size_t count = 0;
    size_t index;

    for (index = from; index < fixture->order_count; index++) {
        const cw_order_t *order = &fixture->orders[index];

        count += order->kind == CW_ORDER_RELEASE && strcmp(order->server, id) == 0 && order->fence == fence ? 1 : 0;
    }
    return count;
}

size_t late_orders_move(assigner_fixture_t *fixture, const char *to)
{
    size_t sent;

    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, to)));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
    assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
    sent = fixture->order_count;
    assigner_fixture_answer(fixture, CW_ORDER_DONE, NULL);
    return sent;
}
