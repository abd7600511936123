/**
 * @file http_listener.c
 * @brief HTTP/1.1 server connections.
 *
 * Bytes that come in while a request is answered are kept (bounded) and parsed after the answer.
 */
#include "net/http_listener_internal.h"

#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

enum {
    BACKLOG = 512,
    LINGER_MS = 1000,
    FRESH_MS = 300, /* a connection that has rested for less may have a request on its way */
    IDLE_CHECK_MIN_MS = 10,
    USER_TIMEOUT_MS = 10 * 1000,
    STATUS_TIMEOUT = 408,
    NO_CONTENT = 204,
    NOT_MODIFIED = 304
};

cw_time_us_t cw_listener_now(const cw_http_listener_t *listener)
{
    return CW_MS(uv_now(listener->loop));
}

/* ---- end of a connection ---- */

static void on_closed(uv_handle_t *handle)
{
    cw_http_exchange_t *connection = handle->data;

    if (--connection->handles > 0) {
        return;
    }
    DL_DELETE(connection->listener->connections, connection);
    connection->listener->count--;
    cw_http_fields_clear(&connection->fields);
    cw_bytes_clear(&connection->target);
    cw_bytes_clear(&connection->body);
    cw_bytes_clear(&connection->pending);
    cw_bytes_clear(&connection->output);
    free(connection);
}

void cw_listener_close_connection(cw_http_exchange_t *connection)
{
    bool waiting = connection->state == CW_CONNECTION_ANSWERING;

    if (connection->state == CW_CONNECTION_CLOSED) {
        return;
    }
    connection->state = CW_CONNECTION_CLOSED;
    if (waiting) {
        connection->listener->handler.gone(connection->listener->handler.context, connection);
    }
    uv_close((uv_handle_t *)&connection->tcp, on_closed);
    uv_close((uv_handle_t *)&connection->timer, on_closed);
}

static void on_timer(uv_timer_t *timer);

void cw_listener_arm(cw_http_exchange_t *connection, cw_time_us_t due_us)
{
    cw_time_us_t wait_us = due_us - cw_listener_now(connection->listener);
    uint64_t     wait_ms = wait_us <= 0 ? IDLE_CHECK_MIN_MS : (uint64_t)(wait_us / 1000) + 1;

    uv_timer_start(&connection->timer, on_timer, wait_ms, 0);
}

/* A peer may go by the limit that held when it was answered, or by the present one. */
static cw_time_us_t rest_end_us(const cw_http_exchange_t *connection)
{
    cw_time_us_t present = connection->listener->limits.idle_timeout;

    return connection->rest_begun_us + (present > connection->rest_told ? present : connection->rest_told);
}

static void begin_rest(cw_http_exchange_t *connection)
{
    connection->state = CW_CONNECTION_RESTING;
    connection->rest_begun_us = cw_listener_now(connection->listener);
    connection->rest_told = connection->listener->limits.idle_timeout;
    cw_listener_arm(connection, rest_end_us(connection));
}

/* ---- the answer ---- */

static void linger(cw_http_exchange_t *connection);

static void after_answer(cw_http_exchange_t *connection)
{
    if (!connection->keep_alive) {
        linger(connection);
        return;
    }
    cw_http_fields_clear(&connection->fields);
    cw_bytes_clear(&connection->body);
    cw_bytes_clear(&connection->output);
    connection->target.length = 0;
    connection->head_bytes = 0;
    connection->head_done = false;
    connection->message_done = false;
    connection->builder.in_value = false;
    connection->refusal = 0;
    connection->data = NULL;
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    begin_rest(connection);
    if (connection->pending.length > 0) { /* from the loop, so that many short requests do not nest */
        uv_timer_start(&connection->timer, on_timer, 0, 0);
    }
}

static void parse_pending(cw_http_exchange_t *connection)
{
    cw_bytes_t pending = connection->pending;

    memset(&connection->pending, 0, sizeof(connection->pending));
    cw_listener_parse(connection, pending.data, pending.length);
    cw_bytes_clear(&pending);
}

static void on_written(uv_write_t *write, int status)
{
    cw_http_exchange_t *connection = write->data;

    if (connection->state != CW_CONNECTION_WRITING) {
        return;
    }
    if (status != 0) {
        cw_listener_close_connection(connection);
        return;
    }
    after_answer(connection);
}

static void send_output(cw_http_exchange_t *connection)
{
    uv_buf_t buffer = uv_buf_init(connection->output.data, (unsigned)connection->output.length);
    int      sent;

    connection->state = CW_CONNECTION_WRITING;
    uv_timer_stop(&connection->timer);
    sent = uv_try_write((uv_stream_t *)&connection->tcp, &buffer, 1);
    if (sent == (int)connection->output.length) {
        after_answer(connection);
        return;
    }
    if (sent > 0) {
        buffer.base += sent;
        buffer.len -= (size_t)sent;
    }
    connection->write.data = connection;
    if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written) != 0) {
        cw_listener_close_connection(connection);
    }
}

static void on_shut(uv_shutdown_t *request, int status)
{
    (void)request;
    (void)status;
}

static void linger(cw_http_exchange_t *connection)
{
    connection->state = CW_CONNECTION_LINGERING;
    connection->pending.length = 0;
    if (connection->end_seen) {
        cw_listener_close_connection(connection);
        return;
    }
    uv_timer_start(&connection->timer, on_timer, LINGER_MS, 0);
    if (uv_shutdown(&connection->shutdown, (uv_stream_t *)&connection->tcp, on_shut) != 0) {
        cw_listener_close_connection(connection);
    }
}

static bool has_body(const cw_http_exchange_t *connection, int status)
{
    return !connection->is_head && status != NO_CONTENT && status != NOT_MODIFIED;
}

static void write_head(cw_http_exchange_t *connection, const cw_http_outbound_t *outbound)
{
    cw_bytes_t *output = &connection->output;
    size_t      index;

    cw_bytes_append_format(output, "HTTP/1.1 %d %s\r\n", outbound->status,
                           http_status_str((enum http_status)outbound->status));
    for (index = 0; outbound->fields != NULL && index < outbound->fields->count; index++) {
        const cw_http_field_t *field = &outbound->fields->items[index];

        if (cw_http_field_is_hop_by_hop(outbound->fields, field->name)) {
            continue;
        }
        cw_bytes_append_text(output, field->name);
        cw_bytes_append(output, ": ", 2);
        cw_bytes_append_text(output, field->value == NULL ? "" : field->value);
        cw_bytes_append(output, "\r\n", 2);
    }
    if (outbound->request_id != NULL) {
        cw_bytes_append_format(output, "%s: ", outbound->request_id_name);
        cw_bytes_append_text(output, outbound->request_id);
        cw_bytes_append(output, "\r\n", 2);
    }
    if (outbound->retry_after_s >= 0) {
        cw_bytes_append_format(output, "Retry-After: %.3f\r\n", outbound->retry_after_s);
    }
    if (outbound->status != NO_CONTENT && outbound->status != NOT_MODIFIED) {
        cw_bytes_append_format(output, "Content-Length: %zu\r\n", outbound->body_length);
    }
    if (!connection->keep_alive) {
        cw_bytes_append_text(output, "Connection: close\r\n");
    } else if (connection->http_1_0) {
        cw_bytes_append_text(output, "Connection: keep-alive\r\n");
    }
    cw_bytes_append(output, "\r\n", 2);
}

void cw_http_exchange_answer(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound)
{
    if (exchange->state != CW_CONNECTION_ANSWERING && exchange->state != CW_CONNECTION_READING) {
        return;
    }
    if (exchange->listener->ending) {
        exchange->keep_alive = false;
    }
    exchange->output.length = 0;
    write_head(exchange, outbound);
    if (has_body(exchange, outbound->status) && outbound->body_length > 0) {
        cw_bytes_append(&exchange->output, outbound->body, outbound->body_length);
    }
    send_output(exchange);
}

void cw_listener_refuse(cw_http_exchange_t *connection, int status)
{
    cw_http_outbound_t outbound = {.status = status, .retry_after_s = -1};

    connection->keep_alive = false;
    cw_http_exchange_answer(connection, &outbound);
}

void cw_http_exchange_abort(cw_http_exchange_t *exchange)
{
    if (exchange->state == CW_CONNECTION_ANSWERING) {
        exchange->state = CW_CONNECTION_WRITING;
    }
    cw_listener_close_connection(exchange);
}

void cw_http_exchange_set_data(cw_http_exchange_t *exchange, void *data)
{
    exchange->data = data;
}

void *cw_http_exchange_data(const cw_http_exchange_t *exchange)
{
    return exchange->data;
}

/* ---- time ---- */

static void on_timer(uv_timer_t *timer)
{
    cw_http_exchange_t *connection = timer->data;

    switch (connection->state) {
    case CW_CONNECTION_RESTING:
        if (connection->pending.length > 0) {
            parse_pending(connection);
        } else if (cw_listener_now(connection->listener) < rest_end_us(connection)) {
            cw_listener_arm(connection, rest_end_us(connection));
        } else {
            cw_listener_close_connection(connection);
        }
        break;
    case CW_CONNECTION_READING:
        cw_listener_refuse(connection, STATUS_TIMEOUT);
        break;
    case CW_CONNECTION_LINGERING:
        cw_listener_close_connection(connection);
        break;
    default:
        break;
    }
}

/* ---- listener ---- */

static void on_connection(uv_stream_t *stream, int status)
{
    cw_http_listener_t *listener = stream->data;
    cw_http_exchange_t *connection;
    int                 fd;
    int                 user_timeout_ms = USER_TIMEOUT_MS;

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
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    connection->state = CW_CONNECTION_RESTING;
    if (uv_accept(stream, (uv_stream_t *)&connection->tcp) != 0) {
        cw_listener_close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
    }
    begin_rest(connection);
    uv_read_start((uv_stream_t *)&connection->tcp, cw_listener_on_allocate, cw_listener_on_read);
}

int cw_http_listener_create(cw_http_listener_t **listener, uv_loop_t *loop, const char *address, uint16_t port,
                            const cw_http_limits_t *limits, const cw_http_listener_handler_t *handler)
{
    cw_http_listener_t *created = calloc(1, sizeof(*created));
    struct sockaddr_in  place;
    int                 error;

    if (created == NULL) {
        return UV_ENOMEM;
    }
    created->loop = loop;
    created->limits = *limits;
    created->handler = *handler;
    created->tcp.data = created;
    error = uv_ip4_addr(address, port, &place);
    uv_tcp_init(loop, &created->tcp);
    if (error == 0) {
        error = uv_tcp_bind(&created->tcp, (const struct sockaddr *)&place, 0);
    }
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&created->tcp, BACKLOG, on_connection);
    }
    *listener = created;
    return error;
}

uint16_t cw_http_listener_port(const cw_http_listener_t *listener)
{
    struct sockaddr_in place;
    int                length = sizeof(place);

    if (uv_tcp_getsockname(&listener->tcp, (struct sockaddr *)&place, &length) != 0) {
        return 0;
    }
    return ntohs(place.sin_port);
}

void cw_http_listener_set_limits(cw_http_listener_t *listener, const cw_http_limits_t *limits)
{
    listener->limits = *limits;
}

void cw_http_listener_end_connections(cw_http_listener_t *listener)
{
    listener->ending = true;
}

void cw_http_listener_close(cw_http_listener_t *listener)
{
    cw_http_exchange_t *connection;
    cw_http_exchange_t *next;

    if (!listener->closed) {
        listener->closed = true;
        uv_close((uv_handle_t *)&listener->tcp, NULL);
    }
    DL_FOREACH_SAFE(listener->connections, connection, next)
    {
        if (connection->state == CW_CONNECTION_RESTING &&
            cw_listener_now(listener) - connection->rest_begun_us >= CW_MS(FRESH_MS)) {
            cw_listener_close_connection(connection);
        }
    }
}

size_t cw_http_listener_busy(const cw_http_listener_t *listener)
{
    const cw_http_exchange_t *connection;
    size_t                    busy = 0;

    DL_FOREACH(listener->connections, connection)
    {
        if (connection->state != CW_CONNECTION_RESTING && connection->state != CW_CONNECTION_CLOSED) {
            busy++;
        }
    }
    return busy;
}

size_t cw_http_listener_connections(const cw_http_listener_t *listener)
{
    return listener->count;
}
