/**
 * @file http_listener_timer.c
 * @brief What a connection waits for, and what happens when it does not come in time: one timer for each connection.
 */
#include <poll.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "net/http_listener_internal.h"

enum {
    STATUS_TIMEOUT = 408,
    IDLE_CHECK_MIN_MS = 10,
    /* Beside the idle timeout a body gets a second for each so many bytes: one that drips in ends (the usual rate of
     * Apache's mod_reqtimeout). */
    BODY_RATE_MIN = 500
};

static const cw_time_us_t never = INT64_MAX;

/* ---- what is due when ---- */

bool cw_listener_is_resting(const cw_http_connection_t *connection)
{
    return connection->state == CW_CONNECTION_OPEN && connection->incoming == NULL && connection->pipeline.count == 0 &&
           connection->pending.length == 0;
}

/* A peer may go by the limit that held when it was answered, or by the present one. */
static cw_time_us_t rest_end_us(const cw_http_connection_t *connection)
{
    cw_time_us_t present = connection->listener->limits.idle_timeout;

    return connection->rest_begun_us + (present > connection->rest_told ? present : connection->rest_told);
}

static cw_time_us_t sooner(cw_time_us_t one, cw_time_us_t other)
{
    return one < other ? one : other;
}

/* A body may stand still for the idle timeout, and must come at a lowest rate on the whole. */
static cw_time_us_t incoming_due_us(const cw_http_connection_t *connection)
{
    const cw_http_exchange_t *incoming = connection->incoming;
    const cw_http_limits_t   *limits = &connection->listener->limits;
    cw_time_us_t              granted;

    if (connection->room_wanted > 0) {
        return connection->room_since + connection->listener->options.body_wait;
    }
    if (!incoming->head_done) {
        return incoming->begun_us + limits->header_timeout;
    }
    granted = limits->idle_timeout + CW_SECONDS(incoming->body.length / BODY_RATE_MIN) + incoming->room_waited;
    return sooner(connection->body_read_us + limits->idle_timeout, incoming->arrived_us + granted);
}

static cw_time_us_t next_due_us(const cw_http_connection_t *connection)
{
    cw_time_us_t due = never;

    if (connection->state == CW_CONNECTION_LINGERING) {
        return connection->linger_until;
    }
    if (cw_listener_is_resting(connection)) {
        return rest_end_us(connection);
    }
    if (connection->incoming != NULL) {
        due = incoming_due_us(connection);
    }
    if (connection->is_writing) {
        due = sooner(due, connection->write_check_us);
    }
    if (!connection->is_reading) {
        due = sooner(due, connection->hang_up_check_us);
    }
    return due;
}

/* ---- what is overdue ---- */

/* While nothing is read, the end of the caller's stream is still told by the socket's state. */
static bool has_hung_up(cw_http_connection_t *connection, cw_time_us_t now)
{
    struct pollfd place = {.events = POLLRDHUP};
    uv_os_fd_t    fd;

    if (connection->is_reading || now < connection->hang_up_check_us) {
        return false;
    }
    connection->hang_up_check_us = now + CW_MS(CW_HANG_UP_CHECK_MS);
    if (uv_fileno((const uv_handle_t *)&connection->tcp, &fd) != 0) {
        return true;
    }
    place.fd = fd;
    return poll(&place, 1, 0) > 0 && (place.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static void note_cut(const cw_http_connection_t *connection, size_t left)
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

/* A caller that does not read its answer does not hold it for longer than a connection may rest. */
static bool has_stalled(cw_http_connection_t *connection, cw_time_us_t now)
{
    size_t left = uv_stream_get_write_queue_size((const uv_stream_t *)&connection->tcp);

    if (!connection->is_writing || now < connection->write_check_us) {
        return false;
    }
    if (left == connection->write_left) {
        note_cut(connection, left);
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
    if (connection->room_wanted > 0) {
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

    if ((connection->state == CW_CONNECTION_LINGERING && now >= connection->linger_until) ||
        (cw_listener_is_resting(connection) && now >= rest_end_us(connection)) || has_stalled(connection, now) ||
        has_hung_up(connection, now)) {
        cw_listener_close_connection(connection);
        return;
    }
    connection->resume_due = false;
    cw_listener_advance(connection);
    if (connection->state == CW_CONNECTION_OPEN) {
        check_incoming(connection, now);
    }
    cw_listener_arm(connection);
}

void cw_listener_arm(cw_http_connection_t *connection)
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
    cw_listener_arm(connection);
}

void cw_listener_begin_rest(cw_http_connection_t *connection)
{
    connection->rest_begun_us = cw_listener_now(connection->listener);
    connection->rest_told = connection->listener->limits.idle_timeout;
    cw_listener_arm(connection);
}
