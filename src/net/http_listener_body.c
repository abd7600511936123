/**
 * @file http_listener_body.c
 * @brief Memory for bodies over all connections, and the queue of connections that wait for it.
 *
 * The memory of a body of known length is reserved before its first byte is read, that of a chunked body piece by
 * piece. A waiting connection is not read, which slows its caller down by TCP flow control. A body that gets no
 * memory within the wait time is refused with 503: its request was not passed to the handler.
 */
#include <utlist.h>

#include "base/metrics.h"
#include "net/http_listener_internal.h"

enum { STATUS_UNAVAILABLE = 503 };

/* Lowest value of Retry-After for callers whose bodies get no memory; applies if the listener's wait time is shorter.
 */
static const cw_time_us_t retry_after_min = CW_MS(100);

static void wait_for_memory(cw_http_connection_t *connection, size_t bytes)
{
    connection->memory_wanted = bytes;
    connection->memory_wait_since = cw_listener_now(connection->listener);
    DL_APPEND2(connection->listener->memory_waiters, connection, waiter_prev, waiter_next);
    cw_metric_add(CW_METRIC_BODIES_WAITED, 1);
}

bool cw_listener_reserve(cw_http_connection_t *connection, size_t bytes)
{
    cw_http_listener_t *listener = connection->listener;

    if (bytes == 0) {
        return true;
    }
    if (listener->memory_waiters != NULL || !cw_body_budget_reserve(&listener->bodies, bytes)) {
        wait_for_memory(connection, bytes);
        return false;
    }
    connection->incoming->reserved += bytes;
    return true;
}

/* Resumes the first waiting connection, which may get its memory now. */
static void wake_first(cw_http_listener_t *listener)
{
    if (listener->memory_waiters != NULL) {
        cw_listener_resume_later(listener->memory_waiters);
    }
}

bool cw_listener_retry_reserve(cw_http_connection_t *connection)
{
    cw_http_listener_t *listener = connection->listener;
    cw_time_us_t        now = cw_listener_now(listener);
    size_t              wanted = connection->memory_wanted;

    if (listener->memory_waiters != connection || !cw_body_budget_reserve(&listener->bodies, wanted)) {
        return false;
    }
    connection->incoming->reserved += wanted;
    connection->incoming->memory_waited += now - connection->memory_wait_since;
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

    if (connection->memory_wanted == 0) {
        return;
    }
    connection->memory_wanted = 0;
    DL_DELETE2(listener->memory_waiters, connection, waiter_prev, waiter_next);
    wake_first(listener);
}

void cw_listener_refuse_body(cw_http_connection_t *connection)
{
    cw_time_us_t wait = connection->listener->options.body_wait;

    cw_metric_add(CW_METRIC_REFUSED_BODIES, 1);
    cw_listener_refuse(connection, STATUS_UNAVAILABLE, (double)(wait > retry_after_min ? wait : retry_after_min) / 1e6,
                       "no memory for its body in time");
}
