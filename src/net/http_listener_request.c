/**
 * @file http_listener_request.c
 * @brief Reading of requests: limits, bodies, and what comes in while one is answered.
 */
#include <string.h>
#include <strings.h>

#include "net/http_listener_internal.h"

enum {
    PENDING_MAX = 64 * 1024, /* bytes of later requests kept while one is answered */
    STATUS_TOO_LONG = 413,
    STATUS_HEADER_TOO_LONG = 431,
    STATUS_BAD_REQUEST = 400
};

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
    connection->arrived_us = cw_listener_now(connection->listener);
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
    connection->begun_us = cw_listener_now(connection->listener);
    cw_listener_arm(connection, connection->begun_us + connection->listener->limits.header_timeout);
}

void cw_listener_parse(cw_http_exchange_t *connection, const char *bytes, size_t length)
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
        cw_listener_refuse(connection, connection->refusal != 0 ? connection->refusal : STATUS_BAD_REQUEST);
        return;
    }
    if (connection->head_done) { /* a body that is on its way may rest as long as a connection may */
        cw_listener_arm(connection, cw_listener_now(connection->listener) + connection->listener->limits.idle_timeout);
    }
}

static void on_end(cw_http_exchange_t *connection)
{
    connection->end_seen = true;
    cw_listener_close_connection(connection);
}

void cw_listener_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_http_exchange_t *connection = stream->data;

    if (length == 0) { /* libuv: nothing is there now. To the parser, no bytes would be the end of the stream */
        return;
    }
    if (length < 0) {
        on_end(connection);
        return;
    }
    switch (connection->state) {
    case CW_CONNECTION_RESTING:
    case CW_CONNECTION_READING:
        if (connection->pending.length == 0) {
            cw_listener_parse(connection, buffer->base, (size_t)length);
            break;
        }
        /* fall through */
    case CW_CONNECTION_ANSWERING:
    case CW_CONNECTION_WRITING:
        cw_bytes_append(&connection->pending, buffer->base, (size_t)length);
        if (connection->pending.length > PENDING_MAX) {
            cw_listener_close_connection(connection);
        }
        break;
    case CW_CONNECTION_LINGERING:
    case CW_CONNECTION_CLOSED:
        break;
    }
}

void cw_listener_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    cw_http_exchange_t *connection = handle->data;

    (void)suggested;
    /* One chunk serves all: what is read is parsed or copied before the next read. */
    *buffer = uv_buf_init(connection->listener->chunk, CW_LISTENER_CHUNK);
}
