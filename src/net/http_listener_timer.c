/**
 * @file http_listener_timer.c
 * @brief Timeouts of a connection. Each connection has one timer for all of them.
 */
#include <poll.h>
#include <sys/socket.h>

#include "base/event_log.h"
#include "base/loop_stall.h"
#include "base/metrics.h"
#include "net/http_listener_internal.h"

enum {
    STATUS_TIMEOUT = 408,
    IDLE_CHECK_MIN_MS = 10, /* shortest time until the next check if one is overdue */
    /* Minimum rate of a body, in bytes per second. In addition to the idle timeout a body gets one second for each
     * 500 bytes, so that the request of a caller that sends single bytes slowly is refused (default of Apache's
     * mod_reqtimeout). */
    BODY_BYTES_PER_SECOND_MIN = 500
};

static const cw_time_us_t never = INT64_MAX;

/* ---- due times ---- */

bool cw_listener_is_idle(const cw_http_connection_t *connection)
{
    return connection->state == CW_CONNECTION_OPEN && connection->incoming == NULL && connection->pipeline.count == 0 &&
           connection->pending.length == 0;
}

/* The peer may rely on the timeout in force when it was answered, or on the present one: the longer one applies. */
static cw_time_us_t idle_end_us(const cw_http_connection_t *connection)
{
    cw_time_us_t present = connection->listener->limits.idle_timeout;

    return connection->idle_since_us +
           (present > connection->idle_timeout_at_begin ? present : connection->idle_timeout_at_begin);
}

static cw_time_us_t earlier(cw_time_us_t one, cw_time_us_t other)
{
    return one < other ? one : other;
}

/* A body may be without progress for the idle timeout, and must arrive at a minimum average rate. */
static cw_time_us_t incoming_due_us(const cw_http_connection_t *connection)
{
    const cw_http_exchange_t *incoming = connection->incoming;
    const cw_http_limits_t   *limits = &connection->listener->limits;
    cw_time_us_t              allowed_us;

    if (connection->memory_wanted > 0) {
        return connection->memory_wait_since + connection->listener->options.body_wait;
    }
    if (!incoming->head_done) {
        return incoming->begun_us + limits->header_timeout;
    }
    allowed_us =
        limits->idle_timeout + CW_SECONDS(incoming->body.length / BODY_BYTES_PER_SECOND_MIN) + incoming->memory_waited;
    return earlier(connection->body_read_us + limits->idle_timeout, incoming->arrived_us + allowed_us);
}

static cw_time_us_t next_due_us(const cw_http_connection_t *connection)
{
    cw_time_us_t due = never;

    if (connection->state == CW_CONNECTION_LINGERING) {
        return connection->linger_until;
    }
    if (cw_listener_is_idle(connection)) {
        return idle_end_us(connection);
    }
    if (connection->incoming != NULL) {
        due = incoming_due_us(connection);
    }
    if (connection->is_writing) {
        due = earlier(due, connection->write_check_us);
    }
    if (!connection->is_reading) {
        due = earlier(due, connection->hang_up_check_us);
    }
    return due;
}

/* ---- expired timeouts ---- */

bool cw_listener_is_hung_up(const cw_http_connection_t *connection)
{
    struct pollfd polled = {.events = POLLIN | POLLRDHUP};
    uv_os_fd_t    fd;
    char          byte;

    if (uv_fileno((const uv_handle_t *)&connection->tcp, &fd) != 0) {
        return true;
    }
    polled.fd = fd;
    if (poll(&polled, 1, 0) <= 0) {
        return false;
    }
    if ((polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        return true;
    }
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* True if the caller has disconnected; checked at intervals while the connection is not read. */
static bool has_hung_up(cw_http_connection_t *connection, cw_time_us_t now)
{
    if (connection->is_reading || now < connection->hang_up_check_us) {
        return false;
    }
    connection->hang_up_check_us = now + CW_MS(CW_HANG_UP_CHECK_MS);
    return cw_listener_is_hung_up(connection);
}

static void record_cut_answer(const cw_http_connection_t *connection, size_t left)
{
    const cw_http_exchange_t *exchange = (const cw_http_exchange_t *)connection->pipeline.entries;
    cw_event_t                event;

    cw_metric_add(CW_METRIC_ANSWERS_CUT, 1);
    if (cw_event_begin(&event, CW_EVENT_ANSWER_CUT)) {
        cw_event_text(&event, CW_FIELD_REQUEST, cw_listener_request_name(exchange));
        cw_event_text(&event, CW_FIELD_REASON, "the caller does not read it");
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)left);
        cw_event_end(&event);
    }
}

/* True if the caller has read nothing of its answer for the idle timeout. */
static bool has_stalled(cw_http_connection_t *connection, cw_time_us_t now)
{
    size_t left = uv_stream_get_write_queue_size((const uv_stream_t *)&connection->tcp);

    if (!connection->is_writing || now < connection->write_check_us) {
        return false;
    }
    if (left == connection->write_left) {
        record_cut_answer(connection, left);
        return true;
    }
    connection->write_left = left;
    connection->write_check_us = now + connection->listener->limits.idle_timeout;
    return false;
}

static void check_incoming(cw_http_connection_t *connection, cw_time_us_t now)
{
    if (connection->incoming == NULL || now < incoming_due_us(connection)) {
        return;
    }
    if (connection->memory_wanted > 0) {
        cw_listener_refuse_body(connection);
    } else {
        cw_listener_refuse(connection, STATUS_TIMEOUT, -1,
                           connection->incoming->head_done ? "its body did not come in time"
                                                           : "its head did not come in time");
    }
}

static void on_timer(uv_timer_t *timer)
{
    cw_http_connection_t *connection = timer->data;
    cw_time_us_t          now = cw_listener_now(connection->listener);

    if (cw_loop_stall_postpone(timer, on_timer, &connection->is_postponed)) {
        return;
    }

    if ((connection->state == CW_CONNECTION_LINGERING && now >= connection->linger_until) ||
        (cw_listener_is_idle(connection) && now >= idle_end_us(connection)) || has_stalled(connection, now) ||
        has_hung_up(connection, now)) {
        cw_listener_close_connection(connection);
        return;
    }
    connection->resume_due = false;
    cw_listener_advance(connection);
    if (connection->state == CW_CONNECTION_OPEN) {
        check_incoming(connection, now);
    }
    cw_listener_arm_timer(connection);
}

void cw_listener_arm_timer(cw_http_connection_t *connection)
{
    cw_time_us_t due = next_due_us(connection);
    cw_time_us_t wait_us = due - cw_listener_now(connection->listener);

    if (connection->state == CW_CONNECTION_CLOSED) {
        return;
    }
    if (connection->resume_due) {
        uv_timer_start(&connection->timer, on_timer, 0, 0);
    } else if (due == never) {
        uv_timer_stop(&connection->timer);
    } else {
        uv_timer_start(&connection->timer, on_timer, wait_us <= 0 ? IDLE_CHECK_MIN_MS : (uint64_t)(wait_us / 1000) + 1,
                       0);
    }
}

void cw_listener_resume_later(cw_http_connection_t *connection)
{
    connection->resume_due = true;
    cw_listener_arm_timer(connection);
}

void cw_listener_begin_idle(cw_http_connection_t *connection)
{
    connection->idle_since_us = cw_listener_now(connection->listener);
    connection->idle_timeout_at_begin = connection->listener->limits.idle_timeout;
    cw_listener_arm_timer(connection);
}
