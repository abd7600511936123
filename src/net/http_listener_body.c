/**
 * @file http_listener_body.c
 * @brief Memory for bodies, over all connections: who waits for it, in the order of coming.
 *
 * A body of known length has all its memory before its first byte is read, one in chunks piece by piece. A connection
 * that waits is not read, which holds its caller up. A body that finds no memory in time is refused with 503: its
 * request was not handed to anybody.
 */
#include <utlist.h>

#include "base/metrics.h"
#include "net/http_listener_internal.h"

enum { STATUS_UNAVAILABLE = 503 };

/* Without waits of its own a listener says so much to callers that find no memory. */
static const cw_time_us_t come_back_min = CW_MS(100);

static void wait_for_room(cw_http_connection_t *connection, size_t bytes)
{
    connection->room_wanted = bytes;
    connection->room_since = cw_listener_now(connection->listener);
    DL_APPEND2(connection->listener->room_waiting, connection, room_prev, room_next);
    cw_metric_add(CW_METRIC_BODIES_WAITED, 1);
}

bool cw_listener_reserve(cw_http_connection_t *connection, size_t bytes)
{
    cw_http_listener_t *listener = connection->listener;

    if (bytes == 0) {
        return true;
    }
    if (listener->room_waiting != NULL || !cw_body_budget_reserve(&listener->bodies, bytes)) {
        wait_for_room(connection, bytes);
        return false;
    }
    connection->incoming->reserved += bytes;
    return true;
}

/* The first that waits may find room now. */
static void wake_first(cw_http_listener_t *listener)
{
    if (listener->room_waiting != NULL) {
        cw_listener_resume_later(listener->room_waiting);
    }
}

bool cw_listener_retry_reserve(cw_http_connection_t *connection)
{
    cw_http_listener_t *listener = connection->listener;
    cw_time_us_t        now = cw_listener_now(listener);
    size_t              wanted = connection->room_wanted;

    if (listener->room_waiting != connection || !cw_body_budget_reserve(&listener->bodies, wanted)) {
        return false;
    }
    connection->incoming->reserved += wanted;
    connection->incoming->room_waited += now - connection->room_since;
    connection->body_read_us = now;
    cw_listener_stop_waiting(connection);
    return true;
}

void cw_listener_release(cw_http_exchange_t *exchange, size_t bytes)
{
    cw_http_listener_t *listener = exchange->connection->listener;

    if (bytes == 0) {
        return;
    }
    exchange->reserved -= bytes;
    cw_body_budget_release(&listener->bodies, bytes);
    wake_first(listener);
}

void cw_listener_stop_waiting(cw_http_connection_t *connection)
{
    cw_http_listener_t *listener = connection->listener;

    if (connection->room_wanted == 0) {
        return;
    }
    connection->room_wanted = 0;
    DL_DELETE2(listener->room_waiting, connection, room_prev, room_next);
    wake_first(listener);
}

void cw_listener_refuse_body(cw_http_connection_t *connection)
{
    cw_time_us_t wait = connection->listener->options.body_wait;

    cw_metric_add(CW_METRIC_REFUSED_BODIES, 1);
    cw_listener_refuse(connection, STATUS_UNAVAILABLE, (double)(wait > come_back_min ? wait : come_back_min) / 1e6,
                       "no memory for its body in time");
}
