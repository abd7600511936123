/**
 * @file http_listener.c
 * @brief HTTP/1.1 server connections.
 *
 * States of a connection: RESTING (no byte of a request) -> READING (a request has begun) -> ANSWERING (it is the
 * handler's) -> WRITING (the answer leaves) -> RESTING, or LINGERING: the answer was the last one, the sending side is
 * shut, input is thrown away until the peer closes or a second has passed, so that the peer gets the whole answer.
 *
 * Bytes that come in while a request is answered are kept (bounded) and parsed after the answer.
 */
#include "net/http_listener.h"

#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

enum {
    BACKLOG = 512,
    READ_CHUNK = 16 * 1024,
    PENDING_MAX = 64 * 1024, /* bytes of later requests kept while one is answered */
    LINGER_MS = 1000,
    FRESH_MS = 300, /* a connection that has rested for less may have a request on its way */
    IDLE_CHECK_MIN_MS = 10,
    USER_TIMEOUT_MS = 10 * 1000,
    STATUS_TIMEOUT = 408,
    STATUS_TOO_LONG = 413,
    STATUS_HEADER_TOO_LONG = 431,
    STATUS_BAD_REQUEST = 400,
    NO_CONTENT = 204,
    NOT_MODIFIED = 304
};

typedef enum cw_listener_state {
    CW_CONNECTION_RESTING,
    CW_CONNECTION_READING,
    CW_CONNECTION_ANSWERING,
    CW_CONNECTION_WRITING,
    CW_CONNECTION_LINGERING,
    CW_CONNECTION_CLOSED
} cw_listener_state_t;

struct cw_http_exchange {
    uv_tcp_t                 tcp; /* first: libuv's callbacks get this pointer */
    uv_timer_t               timer;
    cw_http_listener_t      *listener;
    cw_listener_state_t      state;
    http_parser              parser;
    cw_http_fields_t         fields;
    cw_http_field_builder_t  builder;
    cw_bytes_t               target;
    cw_bytes_t               body;
    cw_bytes_t               pending;
    cw_bytes_t               output;
    size_t                   written;
    size_t                   head_bytes;
    bool                     head_done;
    bool                     message_done;
    bool                     keep_alive;
    bool                     is_head;
    bool                     http_1_0;
    bool                     end_seen;
    int                      refusal; /* status of a request that broke a limit */
    int                      handles;
    cw_time_us_t             begun_us;
    cw_time_us_t             arrived_us;
    cw_time_us_t             rest_begun_us;
    cw_time_us_t             rest_told; /* the idle timeout in force when it began to rest */
    uv_write_t               write;
    uv_shutdown_t            shutdown;
    void                    *data;
    struct cw_http_exchange *prev; /* utlist's names */
    struct cw_http_exchange *next;
};

struct cw_http_listener {
    uv_loop_t                 *loop;
    uv_tcp_t                   tcp;
    bool                       closed;
    bool                       ending;
    cw_http_limits_t           limits;
    cw_http_listener_handler_t handler;
    cw_http_exchange_t        *connections;
    size_t                     count;
    char                       chunk[READ_CHUNK];
};

static void parse(cw_http_exchange_t *connection, const char *bytes, size_t length);

static cw_time_us_t now_us(const cw_http_listener_t *listener)
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

static void close_connection(cw_http_exchange_t *connection)
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

static void arm(cw_http_exchange_t *connection, cw_time_us_t due_us)
{
    cw_time_us_t wait_us = due_us - now_us(connection->listener);
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
    connection->rest_begun_us = now_us(connection->listener);
    connection->rest_told = connection->listener->limits.idle_timeout;
    arm(connection, rest_end_us(connection));
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
    parse(connection, pending.data, pending.length);
    cw_bytes_clear(&pending);
}

static void on_written(uv_write_t *write, int status)
{
    cw_http_exchange_t *connection = write->data;

    if (connection->state != CW_CONNECTION_WRITING) {
        return;
    }
    if (status != 0) {
        close_connection(connection);
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
        close_connection(connection);
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
        close_connection(connection);
        return;
    }
    uv_timer_start(&connection->timer, on_timer, LINGER_MS, 0);
    if (uv_shutdown(&connection->shutdown, (uv_stream_t *)&connection->tcp, on_shut) != 0) {
        close_connection(connection);
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

static void refuse(cw_http_exchange_t *connection, int status)
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
    close_connection(exchange);
}

void cw_http_exchange_set_data(cw_http_exchange_t *exchange, void *data)
{
    exchange->data = data;
}

void *cw_http_exchange_data(const cw_http_exchange_t *exchange)
{
    return exchange->data;
}

/* ---- the request ---- */

static int count_head(cw_http_exchange_t *connection, size_t length)
{
    connection->head_bytes += length;
    if (connection->head_bytes > connection->listener->limits.header_bytes) {
        connection->refusal = STATUS_HEADER_TOO_LONG;
        return 1;
    }
    return 0;
}

static int on_url(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *connection = parser->data;

    cw_bytes_append(&connection->target, bytes, length);
    return count_head(connection, length);
}

static int on_name(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *connection = parser->data;

    if (!connection->head_done) { /* trailers are dropped */
        cw_http_field_builder_name(&connection->builder, &connection->fields, bytes, length);
    }
    return count_head(connection, length + 2);
}

static int on_value(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *connection = parser->data;

    if (!connection->head_done) {
        cw_http_field_builder_value(&connection->builder, &connection->fields, bytes, length);
    }
    return count_head(connection, length + 2);
}

static void send_continue(cw_http_exchange_t *connection)
{
    static char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
    uv_buf_t    buffer = uv_buf_init(interim, sizeof(interim) - 1);

    (void)uv_try_write((uv_stream_t *)&connection->tcp, &buffer, 1);
}

static int on_head(http_parser *parser)
{
    cw_http_exchange_t *connection = parser->data;
    const char         *expect = cw_http_fields_find(&connection->fields, "expect");

    connection->head_done = true;
    connection->arrived_us = now_us(connection->listener);
    connection->is_head = parser->method == HTTP_HEAD;
    connection->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    if (parser->upgrade || parser->method == HTTP_CONNECT) {
        connection->refusal = STATUS_BAD_REQUEST;
        return -1;
    }
    if ((parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length != UINT64_MAX &&
        parser->content_length > connection->listener->limits.body_bytes) {
        connection->refusal = STATUS_TOO_LONG;
        return -1;
    }
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0) {
        send_continue(connection);
    }
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *connection = parser->data;

    if (connection->body.length + length > connection->listener->limits.body_bytes) {
        connection->refusal = STATUS_TOO_LONG;
        return -1;
    }
    cw_bytes_append(&connection->body, bytes, length);
    return 0;
}

static int on_message(http_parser *parser)
{
    cw_http_exchange_t *connection = parser->data;

    connection->message_done = true;
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1); /* the next request waits for this one's answer */
    return 0;
}

static const http_parser_settings parser_settings = {.on_url = on_url,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_head,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message};

static void hand_over(cw_http_exchange_t *connection)
{
    cw_http_inbound_t inbound = {.method = http_method_str((enum http_method)connection->parser.method),
                                 .fields = &connection->fields,
                                 .body = connection->body.data,
                                 .body_length = connection->body.length,
                                 .arrived_us = connection->arrived_us};

    cw_bytes_append(&connection->target, "", 1);
    inbound.target = connection->target.data;
    connection->state = CW_CONNECTION_ANSWERING;
    uv_timer_stop(&connection->timer);
    connection->listener->handler.request(connection->listener->handler.context, connection, &inbound);
}

static void begin_request(cw_http_exchange_t *connection)
{
    connection->state = CW_CONNECTION_READING;
    connection->begun_us = now_us(connection->listener);
    arm(connection, connection->begun_us + connection->listener->limits.header_timeout);
}

static void parse(cw_http_exchange_t *connection, const char *bytes, size_t length)
{
    size_t parsed;

    if (connection->state == CW_CONNECTION_RESTING) {
        begin_request(connection);
    }
    parsed = http_parser_execute(&connection->parser, &parser_settings, bytes, length);
    if (connection->message_done) {
        if (parsed < length) {
            cw_bytes_append(&connection->pending, bytes + parsed, length - parsed);
        }
        hand_over(connection);
        return;
    }
    if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
        refuse(connection, connection->refusal != 0 ? connection->refusal : STATUS_BAD_REQUEST);
        return;
    }
    if (connection->head_done) { /* a body that is on its way may rest as long as a connection may */
        arm(connection, now_us(connection->listener) + connection->listener->limits.idle_timeout);
    }
}

static void on_end(cw_http_exchange_t *connection)
{
    connection->end_seen = true;
    close_connection(connection);
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_http_exchange_t *connection = stream->data;

    if (length < 0) {
        on_end(connection);
        return;
    }
    switch (connection->state) {
    case CW_CONNECTION_RESTING:
    case CW_CONNECTION_READING:
        if (connection->pending.length == 0) {
            parse(connection, buffer->base, (size_t)length);
            break;
        }
        /* fall through */
    case CW_CONNECTION_ANSWERING:
    case CW_CONNECTION_WRITING:
        cw_bytes_append(&connection->pending, buffer->base, (size_t)length);
        if (connection->pending.length > PENDING_MAX) {
            close_connection(connection);
        }
        break;
    case CW_CONNECTION_LINGERING:
    case CW_CONNECTION_CLOSED:
        break;
    }
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    cw_http_exchange_t *connection = handle->data;

    (void)suggested;
    /* One chunk serves all: what is read is parsed or copied before the next read. */
    *buffer = uv_buf_init(connection->listener->chunk, READ_CHUNK);
}

static void on_timer(uv_timer_t *timer)
{
    cw_http_exchange_t *connection = timer->data;

    switch (connection->state) {
    case CW_CONNECTION_RESTING:
        if (connection->pending.length > 0) {
            parse_pending(connection);
        } else if (now_us(connection->listener) < rest_end_us(connection)) {
            arm(connection, rest_end_us(connection));
        } else {
            close_connection(connection);
        }
        break;
    case CW_CONNECTION_READING:
        refuse(connection, STATUS_TIMEOUT);
        break;
    case CW_CONNECTION_LINGERING:
        close_connection(connection);
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
        close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
    }
    begin_rest(connection);
    uv_read_start((uv_stream_t *)&connection->tcp, on_allocate, on_read);
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
            now_us(listener) - connection->rest_begun_us >= CW_MS(FRESH_MS)) {
            close_connection(connection);
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
