/**
 * @file http_listener_request.c
 * @brief Reading of requests: parsing, limits, bodies, and when a connection is not read.
 */
#include <string.h>
#include <strings.h>

#include "base/loop_stall.h"
#include "base/metrics.h"
#include "net/http_listener_internal.h"
#include "net/socket_arrival.h"

enum { STATUS_TOO_LONG = 413, STATUS_HEADER_TOO_LONG = 431, STATUS_BAD_REQUEST = 400, STATUS_UNAVAILABLE = 503 };

/* ---- callbacks of the parser ---- */

static cw_http_exchange_t *incoming_of(const http_parser *parser)
{
    return ((cw_http_connection_t *)parser->data)->incoming;
}

static const cw_http_limits_t *limits_of(const http_parser *parser)
{
    return &((cw_http_connection_t *)parser->data)->listener->limits;
}

static int count_head(http_parser *parser, size_t length)
{
    cw_http_exchange_t *incoming = incoming_of(parser);

    incoming->head_bytes += length;
    if (incoming->head_bytes > limits_of(parser)->header_bytes) {
        incoming->refusal = STATUS_HEADER_TOO_LONG;
        return 1;
    }
    return 0;
}

static int on_url(http_parser *parser, const char *bytes, size_t length)
{
    cw_bytes_append(&incoming_of(parser)->target, bytes, length);
    return count_head(parser, length);
}

static int on_name(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *incoming = incoming_of(parser);

    if (!incoming->head_done) { /* trailer fields are dropped */
        cw_http_field_builder_name(&incoming->builder, &incoming->fields, bytes, length);
    }
    return count_head(parser, length + 2);
}

static int on_value(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *incoming = incoming_of(parser);

    if (!incoming->head_done) {
        cw_http_field_builder_value(&incoming->builder, &incoming->fields, bytes, length);
    }
    return count_head(parser, length + 2);
}

/* Reserves the memory of a body of known length, or makes the connection wait for it. Returns false if the body exceeds
 * the limit for all bodies and can therefore never be accepted. */
static bool reserve_body(http_parser *parser)
{
    cw_http_connection_t *connection = parser->data;
    size_t                length = (size_t)parser->content_length;

    if (length > connection->listener->bodies.limit_bytes) {
        connection->incoming->refusal = STATUS_UNAVAILABLE;
        return false;
    }
    if (!cw_listener_reserve(connection, length)) {
        http_parser_pause(parser, 1);
    }
    return true;
}

static void record_head(http_parser *parser)
{
    cw_http_connection_t *connection = parser->data;
    cw_http_exchange_t   *incoming = connection->incoming;
    const char           *expect = cw_http_fields_find(&incoming->fields, "expect");

    incoming->head_done = true;
    incoming->arrived_us = connection->read_us;
    incoming->method = http_method_str((enum http_method)parser->method);
    incoming->is_head = parser->method == HTTP_HEAD;
    incoming->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    incoming->is_chunked = (parser->flags & F_CHUNKED) != 0;
    incoming->wants_continue = expect != NULL && strcasecmp(expect, "100-continue") == 0;
    connection->body_read_us = cw_listener_now(connection->listener);
}

static bool has_body(const http_parser *parser)
{
    bool has_length = (parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length != UINT64_MAX;

    return (parser->flags & F_CHUNKED) != 0 || (has_length && parser->content_length > 0);
}

/* True if the handler rejects the request by its head. */
static bool is_rejected(const http_parser *parser)
{
    cw_http_connection_t     *connection = parser->data;
    const cw_http_listener_t *listener = connection->listener;
    cw_http_inbound_t         head;

    if (listener->rejects == NULL || !has_body(parser)) {
        return false;
    }
    cw_bytes_append(&connection->incoming->target, "", 1);
    connection->incoming->target.length--;
    head = cw_listener_inbound(connection->incoming);
    return listener->rejects(listener->handler.context, &head);
}

static int on_head(http_parser *parser)
{
    cw_http_exchange_t *incoming = incoming_of(parser);

    record_head(parser);
    if (parser->upgrade || parser->method == HTTP_CONNECT || !cw_http_fields_have_valid_names(&incoming->fields)) {
        incoming->refusal = STATUS_BAD_REQUEST;
        return -1;
    }
    if (is_rejected(parser)) {
        incoming->body_unread = true;
        return -1;
    }
    if (has_body(parser) && !incoming->is_chunked) {
        if (parser->content_length > limits_of(parser)->body_bytes) {
            incoming->refusal = STATUS_TOO_LONG;
            return -1;
        }
        return reserve_body(parser) ? 0 : -1;
    }
    if (incoming->is_chunked) { /* memory is reserved for each piece */
        http_parser_pause(parser, 1);
    }
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
    cw_http_exchange_t *incoming = incoming_of(parser);

    if (incoming->body.length + length > limits_of(parser)->body_bytes) {
        incoming->refusal = STATUS_TOO_LONG;
        return -1;
    }
    cw_bytes_reserve(&incoming->body, incoming->reserved);
    cw_bytes_append(&incoming->body, bytes, length);
    return 0;
}

static int on_message(http_parser *parser)
{
    cw_http_exchange_t *incoming = incoming_of(parser);

    incoming->message_done = true;
    incoming->entry.last = http_should_keep_alive(parser) == 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {.on_url = on_url,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_head,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message};

/* ---- parsing of one piece of input ---- */

static void begin_request(cw_http_connection_t *connection)
{
    connection->incoming = cw_listener_exchange_create(connection);
    connection->incoming->begun_us = cw_listener_now(connection->listener);
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
}

/* Safe methods (RFC 9110, 9.2.1) are read-only, so their effect is the same however often they are executed. */
static bool is_safe_method(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 || strcmp(method, "OPTIONS") == 0;
}

static void finish_message(cw_http_connection_t *connection)
{
    cw_http_exchange_t *exchange = connection->incoming;

    connection->incoming = NULL;
    if (exchange->reserved > exchange->body.length) { /* the framing of chunks needs no memory of the body */
        cw_listener_release(exchange, exchange->reserved - exchange->body.length);
    }
    cw_bytes_append(&exchange->target, "", 1);
    exchange->entry.is_safe = is_safe_method(exchange->method);
    cw_pipeline_append(&connection->pipeline, &exchange->entry);
    cw_listener_dispatch(connection);
}

static void refuse_invalid(cw_http_connection_t *connection)
{
    int refusal = connection->incoming->refusal;

    if (refusal == STATUS_UNAVAILABLE) {
        cw_listener_refuse_body(connection);
        return;
    }
    cw_listener_refuse(connection, refusal != 0 ? refusal : STATUS_BAD_REQUEST, -1,
                       refusal != 0 ? http_status_str((enum http_status)refusal)
                                    : http_errno_name(HTTP_PARSER_ERRNO(&connection->parser)));
}

/* Reserves memory for the next piece of a chunked body. False: the connection waits for it. */
static bool reserve_piece(cw_http_connection_t *connection, size_t length)
{
    const cw_http_exchange_t *incoming = connection->incoming;
    size_t                    needed = incoming->body.length + length;

    return !incoming->is_chunked || needed <= incoming->reserved ||
           cw_listener_reserve(connection, needed - incoming->reserved);
}

/* Returns the number of parsed bytes; 0: the connection waits for memory. */
static size_t parse_piece(cw_http_connection_t *connection, const char *bytes, size_t length)
{
    size_t parsed;

    if (connection->incoming == NULL) {
        if (*bytes == '\r' || *bytes == '\n') { /* empty lines between requests are ignored: RFC 9112, 2.2 */
            return 1;
        }
        begin_request(connection);
    }
    if (!reserve_piece(connection, length)) {
        return 0;
    }
    parsed = http_parser_execute(&connection->parser, &parser_settings, bytes, length);
    connection->body_read_us = cw_listener_now(connection->listener);
    if (connection->incoming->message_done) {
        finish_message(connection);
    } else if (connection->incoming->body_unread) {
        connection->incoming->entry.last = true;
        cw_metric_add(CW_METRIC_BODIES_UNREAD, 1);
        finish_message(connection);
    } else if (HTTP_PARSER_ERRNO(&connection->parser) == HPE_PAUSED) { /* paused after the head */
        http_parser_pause(&connection->parser, 0);
    } else if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
        refuse_invalid(connection);
    }
    return parsed;
}

/* ---- control of parsing and reading ---- */

static bool may_parse(cw_http_connection_t *connection)
{
    if (connection->memory_wanted > 0 && !cw_listener_retry_reserve(connection)) {
        return false;
    }
    return connection->incoming != NULL ||
           cw_pipeline_has_room(&connection->pipeline, &connection->listener->options.pipeline);
}

/* Returns the number of consumed bytes. If no further request is read from this connection, all bytes are discarded and
 * count as consumed. */
static size_t parse(cw_http_connection_t *connection, const char *bytes, size_t length)
{
    size_t used = 0;

    while (used < length) {
        if (connection->state != CW_CONNECTION_OPEN || connection->pipeline.ended) {
            return length;
        }
        if (!may_parse(connection)) {
            break;
        }
        used += parse_piece(connection, bytes + used, length - used);
        cw_listener_send_continue(connection);
    }
    return used;
}

static void update_reading(cw_http_connection_t *connection)
{
    bool wanted = connection->pending.length == 0;

    if (connection->state == CW_CONNECTION_CLOSED || wanted == connection->is_reading) {
        return;
    }
    connection->is_reading = wanted;
    if (wanted) {
        uv_read_start((uv_stream_t *)&connection->tcp, cw_listener_on_allocate, cw_listener_on_read);
    } else {
        uv_read_stop((uv_stream_t *)&connection->tcp);
        connection->hang_up_check_us = cw_listener_now(connection->listener) + CW_MS(CW_HANG_UP_CHECK_MS);
        cw_metric_add(CW_METRIC_READING_STOPPED, 1);
    }
}

bool cw_listener_has_more(const cw_http_connection_t *connection)
{
    if (connection->state != CW_CONNECTION_OPEN) {
        return connection->pending.length > 0;
    }
    if (cw_pipeline_next_to_dispatch(&connection->pipeline) != NULL) {
        return true;
    }
    if (connection->incoming != NULL && connection->incoming->wants_continue) {
        return connection->pipeline.count == 0;
    }
    return connection->pending.length > 0 && connection->memory_wanted == 0 &&
           (connection->pipeline.ended || connection->incoming != NULL ||
            cw_pipeline_has_room(&connection->pipeline, &connection->listener->options.pipeline));
}

static void parse_pending(cw_http_connection_t *connection)
{
    cw_bytes_t pending = connection->pending;

    memset(&connection->pending, 0, sizeof(connection->pending));
    connection->read_us = connection->pending_read_us;
    cw_bytes_consume(&pending, parse(connection, pending.data, pending.length));
    if (pending.length == 0) {
        cw_bytes_clear(&pending);
    }
    connection->pending = pending;
}

void cw_listener_advance(cw_http_connection_t *connection)
{
    if (connection->is_advancing) {
        return;
    }
    connection->is_advancing = true;
    cw_listener_dispatch(connection);
    cw_listener_send_continue(connection);
    if (connection->pending.length > 0) {
        parse_pending(connection);
    }
    connection->is_advancing = false;
    update_reading(connection);
}

/* Extends lingering when input arrives: closing the connection while the caller still sends would reset it, and the
 * caller could lose the answer. While the node stops, lingering is not extended. */
static void extend_lingering(cw_http_connection_t *connection)
{
    cw_time_us_t until = cw_listener_now(connection->listener) + CW_MS(CW_LINGER_MS);

    if (connection->state == CW_CONNECTION_LINGERING && !connection->listener->ending) {
        connection->linger_until = until < connection->linger_deadline ? until : connection->linger_deadline;
    }
}

/* Time at which the bytes arrived that are read now. */
static cw_time_us_t arrival_time(const cw_http_connection_t *connection)
{
    const uv_loop_t *loop = connection->listener->loop;
    cw_time_us_t     last_look = cw_loop_stall_last_look(loop);
    uv_os_fd_t       fd = -1;

    if (!cw_loop_stall_has_looked_since(loop, connection->accepted_look)) { /* nothing was read since it was accepted */
        last_look = connection->opened_us;
    }
    (void)uv_fileno((const uv_handle_t *)&connection->tcp, &fd); /* fails for closed handles only */
    return cw_socket_arrival_time(fd, last_look, cw_listener_now(connection->listener));
}

void cw_listener_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_http_connection_t *connection = stream->data;
    size_t                used;

    if (length == 0) { /* no bytes now (libuv); the parser would take 0 bytes for the end of the stream */
        return;
    }
    if (length < 0) {
        cw_listener_close_connection(connection);
        return;
    }
    connection->is_advancing = true;
    connection->read_us = arrival_time(connection);
    used = parse(connection, buffer->base, (size_t)length);
    connection->is_advancing = false;
    if (used < (size_t)length) {
        cw_bytes_append(&connection->pending, buffer->base + used, (size_t)length - used);
        connection->pending_read_us = connection->read_us;
    }
    update_reading(connection);
    extend_lingering(connection);
    cw_listener_arm_timer(connection);
}

void cw_listener_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    cw_http_connection_t *connection = handle->data;

    (void)suggested;
    /* All connections share one buffer, since bytes are parsed or copied before the next read. */
    *buffer = uv_buf_init(connection->listener->chunk, CW_LISTENER_CHUNK);
}
