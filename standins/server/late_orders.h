/**
 * @file late_orders.h
 * @brief Orders (grants and releases) that the stand-in for a server reads, does not answer, and carries out seconds
 *        later.
 *
 * A share of the orders is drawn, by a seed. Such an order is carried out 2 to 12 s after it was read, perhaps behind
 * orders that came later; the time of a grant counts from then.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_LATE_ORDERS_H
#define CEDARWINCH_STANDINS_SERVER_LATE_ORDERS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Carries out an order. target: its path; body: valid during the call; late_ms: time since it was read. */
typedef void (*late_orders_run_t)(void *context, const char *target, const json_t *body, uint64_t late_ms);

/** Draws orders, and keeps those that are carried out later. */
typedef struct late_orders {
    uv_loop_t        *loop;
    late_orders_run_t run;
    void             *context; /**< of run */
    double            share;   /**< of the orders, 0 to 1 */
    uint64_t          state;   /**< of the draws */
} late_orders_t;

/** Initializes the draws. Orders are carried out on the loop by `run`. */
void late_orders_init(late_orders_t *orders, uv_loop_t *loop, uint64_t seed, late_orders_run_t run, void *context);
/** Sets the share of the orders that are read from now on. Returns false if it is not within 0 to 1. */
bool late_orders_set_share(late_orders_t *orders, double share);
/** Returns whether this order is drawn. If so, it is carried out later, and is not to be answered. */
bool late_orders_take(late_orders_t *orders, const char *target, json_t *body);

#endif
