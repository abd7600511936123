/**
 * @file late_orders.c
 * @brief Draws orders and keeps each one with a timer of its own.
 */
#include "late_orders.h"

#include <stdio.h>
#include <stdlib.h>

enum { DELAY_MIN_MS = 2000, DELAY_MAX_MS = 12000, TARGET_BYTES = 64 };

static const double draw_range = 2147483648.0; /* draws are from 0 to below this */

/** An order that has been read and is carried out when its timer expires. */
typedef struct late_order {
    late_orders_t *orders;
    uv_timer_t     timer;
    char           target[TARGET_BYTES];
    json_t        *body;
    uint64_t       read_ms;
} late_order_t;

void late_orders_init(late_orders_t *orders, uv_loop_t *loop, uint64_t seed, late_orders_run_t run, void *context)
{
    *orders = (late_orders_t){.loop = loop, .run = run, .context = context, .state = seed};
}

bool late_orders_set_share(late_orders_t *orders, double share)
{
    if (!(share >= 0 && share <= 1)) {
        return false;
    }
    orders->share = share;
    return true;
}

/* Draws a number from 0 to below 1. */
static double draw(late_orders_t *orders)
{
    orders->state = orders->state * 6364136223846793005u + 1442695040888963407u;
    return (double)(orders->state >> 33) / draw_range;
}

static void on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void on_due(uv_timer_t *timer)
{
    late_order_t  *order = timer->data;
    late_orders_t *orders = order->orders;

    orders->run(orders->context, order->target, order->body, uv_now(orders->loop) - order->read_ms);
    json_decref(order->body);
    uv_close((uv_handle_t *)timer, on_closed);
}

bool late_orders_take(late_orders_t *orders, const char *target, json_t *body)
{
    late_order_t *order;

    if (orders->share <= 0 || draw(orders) >= orders->share) {
        return false;
    }
    order = calloc(1, sizeof(*order));
    if (order == NULL) {
        abort();
    }
    order->orders = orders;
    order->body = json_incref(body);
    order->read_ms = uv_now(orders->loop);
    snprintf(order->target, sizeof(order->target), "%s", target);
    uv_timer_init(orders->loop, &order->timer);
    order->timer.data = order;
    uv_timer_start(&order->timer, on_due, DELAY_MIN_MS + (uint64_t)(draw(orders) * (DELAY_MAX_MS - DELAY_MIN_MS)), 0);
    return true;
}
