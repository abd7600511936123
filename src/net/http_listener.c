/**
 * @file http_listener.c
 * @brief HTTP/1.1 server: listening socket, creation and end of connections.
 */
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/event_log.h"
#include "base/loop_clock.h"
#include "base/loop_stall.h"
#include "base/metrics.h"
#include "net/http_listener_internal.h"

enum {
    BACKLOG = 512,              /* connections that the kernel keeps until they are accepted */
    MIN_IDLE_MS = 300,          /* a connection that has been idle for a shorter time may have a request in transit */
    USER_TIMEOUT_MS = 10 * 1000 /* a connection ends if sent data is not acknowledged for this time */
};

cw_time_us_t cw_listener_now(const cw_http_listener_t *listener)
{
    return cw_loop_now(listener->loop);
}

/* ---- end of a connection ---- */

static void on_closed(uv_handle_t *handle)
{
    cw_http_connection_t *connection = handle->data;

    if (--connection->handles > 0) {
        return;
    }
    DL_DELETE(connection->listener->connections, connection);
    connection->listener->count--;
    while (connection->pipeline.entries != NULL) {
        cw_http_exchange_t *exchange = (cw_http_exchange_t *)connection->pipeline.entries;

        cw_pipeline_remove(&connection->pipeline, &exchange->entry);
        cw_listener_exchange_free(exchange);
    }
    cw_bytes_clear(&connection->pending);
    free(connection->blocking_request);
    free(connection);
}

/* Ends all requests of a connection that are with the handler, and releases the memory of its bodies. */
static void cancel_requests(cw_http_connection_t *connection)
{
    cw_http_listener_t  *listener = connection->listener;
    cw_pipeline_entry_t *entry;

    DL_FOREACH(connection->pipeline.entries, entry)
    {
        cw_http_exchange_t *exchange = (cw_http_exchange_t *)entry;

        if (entry->state == CW_PIPELINE_DISPATCHED) {
            cw_pipeline_answered(&connection->pipeline, entry, 0);
            listener->handler.cancelled(listener->handler.context, exchange);
        }
        cw_listener_release(exchange, exchange->reserved);
    }
}

void cw_listener_close_connection(cw_http_connection_t *connection)
{
    if (connection->state == CW_CONNECTION_CLOSED) {
        return;
    }
    connection->state = CW_CONNECTION_CLOSED;
    cw_listener_stop_waiting(connection);
    cancel_requests(connection);
    if (connection->incoming != NULL) {
        cw_listener_exchange_free(connection->incoming);
        connection->incoming = NULL;
    }
    uv_close((uv_handle_t *)&connection->tcp, on_closed);
    uv_close((uv_handle_t *)&connection->timer, on_closed);
}

/* ---- listener ---- */

static void on_connection(uv_stream_t *stream, int status)
{
    cw_http_listener_t   *listener = stream->data;
    cw_http_connection_t *connection;
    int                   fd;
    int                   user_timeout_ms = USER_TIMEOUT_MS;

    if (status < 0 || (connection = calloc(1, sizeof(*connection))) == NULL) {
        return;
    }
    connection->listener = listener;
    connection->handles = 2;
    connection->tcp.data = connection;
    connection->timer.data = connection;
    uv_tcp_init(listener->loop, &connection->tcp);
    uv_timer_init(listener->loop, &connection->timer);
    DL_APPEND(listener->connections, connection);
    listener->count++;
    if (uv_accept(stream, (uv_stream_t *)&connection->tcp) != 0) {
        cw_listener_close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
    }
    cw_listener_begin_idle(connection);
    connection->accepted_look = cw_loop_stall_look_number(listener->loop);
    connection->opened_us = cw_loop_stall_last_look(listener->loop);
    connection->is_reading = true;
    uv_read_start((uv_stream_t *)&connection->tcp, cw_listener_on_allocate, cw_listener_on_read);
}

int cw_http_listener_create(cw_http_listener_t **listener, uv_loop_t *loop, const char *address, uint16_t port,
                            const cw_http_limits_t *limits, const cw_http_listener_handler_t *handler)
{
    cw_http_listener_t *created = calloc(1, sizeof(*created));
    struct sockaddr_in  socket_address;
    int                 error;

    if (created == NULL) {
        return UV_ENOMEM;
    }
    created->loop = loop;
    created->limits = *limits;
    created->options.pipeline.depth = 1;
    created->bodies.limit_bytes = SIZE_MAX;
    created->handler = *handler;
    created->tcp.data = created;
    error = uv_ip4_addr(address, port, &socket_address);
    uv_tcp_init(loop, &created->tcp);
    if (error == 0) {
        error = uv_tcp_bind(&created->tcp, (const struct sockaddr *)&socket_address, 0);
    }
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&created->tcp, BACKLOG, on_connection);
    }
    *listener = created;
    return error;
}

uint16_t cw_http_listener_port(const cw_http_listener_t *listener)
{
    struct sockaddr_in socket_address;
    int                length = sizeof(socket_address);

    if (uv_tcp_getsockname(&listener->tcp, (struct sockaddr *)&socket_address, &length) != 0) {
        return 0;
    }
    return ntohs(socket_address.sin_port);
}

void cw_http_listener_set_limits(cw_http_listener_t *listener, const cw_http_limits_t *limits)
{
    listener->limits = *limits;
}

void cw_http_listener_set_options(cw_http_listener_t *listener, const cw_http_listener_options_t *options)
{
    listener->options = *options;
    if (listener->options.pipeline.depth == 0) {
        listener->options.pipeline.depth = 1;
    }
    listener->bodies.limit_bytes = options->body_bytes_max == 0 ? SIZE_MAX : options->body_bytes_max;
}

void cw_http_listener_set_reject_callback(cw_http_listener_t *listener, cw_http_rejects_t rejects)
{
    listener->rejects = rejects;
}

/* True if an answer can still announce the end of the connection, because its head is not written yet. Otherwise the
 * next request is accepted, and its answer announces the end. */
static bool can_announce_close(const cw_http_connection_t *connection)
{
    const cw_pipeline_entry_t *newest = cw_pipeline_newest_dispatched(&connection->pipeline);

    return connection->state == CW_CONNECTION_OPEN && newest != NULL &&
           !((const cw_http_exchange_t *)newest)->answer_head_done;
}

static void log_dropped(uint64_t count)
{
    cw_event_t event;

    if (count > 0 && cw_event_begin(&event, CW_EVENT_REQUESTS_DROPPED)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)count);
        cw_event_text(&event, CW_FIELD_REASON, "this node stops");
        cw_event_end(&event);
    }
}

void cw_http_listener_end_connections(cw_http_listener_t *listener)
{
    uint64_t              before = cw_metric_value(CW_METRIC_REQUESTS_DROPPED);
    cw_http_connection_t *connection;

    listener->ending = true;
    DL_FOREACH(listener->connections, connection)
    {
        if (can_announce_close(connection)) {
            cw_listener_end_pipeline(connection);
            cw_listener_resume_later(connection); /* discards the bytes in its buffers */
        }
    }
    log_dropped(cw_metric_value(CW_METRIC_REQUESTS_DROPPED) - before);
}

void cw_http_listener_close(cw_http_listener_t *listener)
{
    cw_http_connection_t *connection;
    cw_http_connection_t *next;

    if (!listener->closed) {
        listener->closed = true;
        uv_close((uv_handle_t *)&listener->tcp, NULL);
    }
    DL_FOREACH_SAFE(listener->connections, connection, next)
    {
        if (cw_listener_is_idle(connection) &&
            cw_listener_now(listener) - connection->idle_since_us >= CW_MS(MIN_IDLE_MS)) {
            cw_listener_close_connection(connection);
        }
    }
}

size_t cw_http_listener_busy(const cw_http_listener_t *listener)
{
    const cw_http_connection_t *connection;
    size_t                      busy = 0;

    DL_FOREACH(listener->connections, connection)
    {
        if (connection->state != CW_CONNECTION_CLOSED && !cw_listener_is_idle(connection)) {
            busy++;
        }
    }
    return busy;
}

size_t cw_listener_pending_bytes(const cw_http_listener_t *listener)
{
    const cw_http_connection_t *connection;
    size_t                      most = 0;

    DL_FOREACH(listener->connections, connection)
    {
        most = connection->pending.length > most ? connection->pending.length : most;
    }
    return most;
}

size_t cw_http_listener_body_bytes(const cw_http_listener_t *listener)
{
    return listener->bodies.reserved_bytes;
}

size_t cw_http_listener_connections(const cw_http_listener_t *listener)
{
    return listener->count;
}
