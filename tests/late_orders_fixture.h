/**
 * @file late_orders_fixture.h
 * @brief Steps of tests of servers that do not answer the leader's orders, over assigner_fixture.h.
 */
#ifndef CEDARWINCH_TESTS_LATE_ORDERS_FIXTURE_H
#define CEDARWINCH_TESTS_LATE_ORDERS_FIXTURE_H

#include "assigner_fixture.h"

enum {
    LATE_ORDERS_KEY = 50, /**< a key of the first range, which the first server holds */
    LATE_ORDERS_TICK_MS = 20,
    LATE_ORDERS_RENEW_MS = 1250
};

/** Creates an assigner whose servers hold their keys; from now on probes wait for an answer. */
void late_orders_begin(assigner_fixture_t *fixture, const char *const *servers);
/** Returns the entry of a server. */
const cw_server_entry_t *late_orders_server(const assigner_fixture_t *fixture, const char *id);
/** Answers the orders to this server with `result`, all others with CW_ORDER_DONE. */
void late_orders_answer(assigner_fixture_t *fixture, const char *id, cw_order_result_t result);
/** Lets time pass, during which the orders to this server get no answer. */
void late_orders_pass(assigner_fixture_t *fixture, const char *id, int ms);
/** Number of grants of the key to the server since index `from`. */
size_t late_orders_count_grants(const assigner_fixture_t *fixture, const char *id, size_t from);
/** Number of releases of the key with this fence to the server since index `from`. */
size_t late_orders_count_releases(const assigner_fixture_t *fixture, const char *id, uint64_t fence, size_t from);
/** Moves the first range and lets its holder release it. Returns the number of orders before the next tick. */
size_t late_orders_move(assigner_fixture_t *fixture, const char *to);

#endif
