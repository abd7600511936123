/**
 * @file http_upstream_answer.c
 * @brief Reading of answers: framing, answers to other requests, end of the connection.
 */
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>

#include "net/http_upstream_internal.h"

enum {
    STATUS_FIRST = 100,
    INTERIM_LAST = 199,
    STATUS_NO_CONTENT = 204,
    STATUS_NOT_MODIFIED = 304,
    STATUS_LAST = 599,
    VERSION_MAJOR = 1
};

static bool is_interim(const cw_upstream_call_t *call)
{
    return call->parser.status_code <= INTERIM_LAST;
}

static int on_name(http_parser *parser, const char *bytes, size_t length)
{
    cw_upstream_call_t *call = parser->data;

    if (!call->head_done) {
        cw_http_field_builder_name(&call->builder, &call->fields, bytes, length);
    }
    return 0;
}

static int on_value(http_parser *parser, const char *bytes, size_t length)
{
    cw_upstream_call_t *call = parser->data;

    if (!call->head_done) {
        cw_http_field_builder_value(&call->builder, &call->fields, bytes, length);
    }
    return 0;
}

/* Gives the answer up. Returns what makes the parser stop. */
static int give_up(cw_upstream_call_t *call, const char *failure)
{
    call->failure = failure;
    return -1;
}

static int handle_interim(cw_upstream_call_t *call)
{
    const char *exceeded;

    cw_http_fields_clear(&call->fields);
    call->builder.in_value = false;
    call->bounds.interim++;
    exceeded = cw_answer_bounds_exceeded(&call->bounds);
    return exceeded != NULL ? give_up(call, exceeded) : 1;
}

/* The stated length of the body that follows the head. An answer without a body may state the length that it would have
 * (RFC 9110, 8.6). */
static size_t stated_length(const cw_upstream_call_t *call)
{
    bool has_length = (call->parser.flags & F_CONTENTLENGTH) != 0 && (call->parser.flags & F_CHUNKED) == 0;
    bool has_body = !call->is_head && call->parser.status_code != STATUS_NO_CONTENT &&
                    call->parser.status_code != STATUS_NOT_MODIFIED;

    return has_length && has_body ? call->parser.content_length : CW_UPSTREAM_UNSTATED;
}

/* Whether the status and the version are those of an answer (RFC 9110, 15; RFC 9112, 2.3); the parser takes any. */
static bool is_answer(const http_parser *parser)
{
    return parser->status_code >= STATUS_FIRST && parser->status_code <= STATUS_LAST &&
           parser->http_major == VERSION_MAJOR;
}

static int on_head(http_parser *parser)
{
    cw_upstream_call_t *call = parser->data;

    if (!is_answer(parser)) {
        return give_up(call, "not an answer");
    }
    if (is_interim(call)) {
        return handle_interim(call);
    }
    call->stated_length = stated_length(call);
    if (call->stated_length != CW_UPSTREAM_UNSTATED && call->stated_length > call->answer_max) {
        return give_up(call, "answer too long");
    }
    call->head_done = true;
    return call->is_head ? 1 : 0;
}

/* ---- memory of bodies ---- */

static cw_upstream_call_t *call_of(cw_answer_share_t *share)
{
    return (cw_upstream_call_t *)((char *)share - offsetof(cw_upstream_call_t, share));
}

/* Capacity of the buffer when the body grows to this length: it doubles, up to the length that is stated or allowed. */
static size_t next_capacity(const cw_upstream_call_t *call, size_t length)
{
    size_t most = call->stated_length < call->answer_max ? call->stated_length : call->answer_max;
    size_t doubled = 2 * call->body.capacity < most ? 2 * call->body.capacity : most;

    return length > doubled ? length : doubled;
}

/* Reserves memory, if need be that of the answer that has most. Returns false if this is the answer that asks. */
static bool reserve(cw_upstream_call_t *call, cw_answer_memory_t *memory, size_t bytes)
{
    while (!cw_answer_memory_reserve(memory, &call->share, bytes)) {
        cw_answer_share_t *largest = cw_answer_memory_largest(memory);

        if (largest == NULL || largest->bytes <= call->share.bytes + bytes) {
            return false;
        }
        cw_upstream_give_up_for_memory(call_of(largest));
    }
    return true;
}

static bool make_room(cw_upstream_call_t *call, size_t length)
{
    cw_answer_memory_t *memory = call->connection->target->upstream->options.memory;
    size_t              capacity;

    if (length <= call->body.capacity) {
        return true;
    }
    capacity = next_capacity(call, length);
    if (memory != NULL && !reserve(call, memory, capacity - call->body.capacity)) {
        return false;
    }
    cw_bytes_reserve(&call->body, capacity);
    return true;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
    cw_upstream_call_t *call = parser->data;

    call->bounds.body += length;
    if (call->body.length + length > call->answer_max) {
        return give_up(call, "answer too long");
    }
    if (!make_room(call, call->body.length + length)) {
        call->lacks_memory = true;
        return give_up(call, "no memory for the answer");
    }
    cw_bytes_append(&call->body, bytes, length);
    return 0;
}

static int on_message(http_parser *parser)
{
    cw_upstream_call_t *call = parser->data;

    if (!is_interim(call)) {
        call->complete = true;
        http_parser_pause(parser, 1);
    }
    return 0;
}

static const http_parser_settings parser_settings = {.on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_head,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message};

/* The request that the answer names; NULL: none, or answers are not compared. */
static const char *named_request(const cw_upstream_call_t *call)
{
    return call->match_name == NULL ? NULL : cw_http_fields_find(&call->fields, call->match_name);
}

/* True if the answer belongs to another request than the one of this call. */
static bool is_foreign(const cw_upstream_call_t *call)
{
    const char *named = named_request(call);

    if (call->match_value == NULL) {
        return false;
    }
    return named == NULL ? call->is_match_required && call->reused : strcmp(named, call->match_value) != 0;
}

bool cw_upstream_names_request(const cw_upstream_call_t *call)
{
    const char *named = named_request(call);

    return named != NULL && call->match_value != NULL && strcmp(named, call->match_value) == 0;
}

/* Discards an answer to another request; the answer to this call may follow. */
static void discard_answer(cw_upstream_call_t *call)
{
    cw_answer_bounds_record_foreign(&call->bounds);
    call->discarded++;
    call->not_reusable = true;
    call->complete = false;
    call->head_done = false;
    call->builder.in_value = false;
    cw_http_fields_clear(&call->fields);
    call->body.length = 0;
    call->stated_length = CW_UPSTREAM_UNSTATED;
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
}

/* Parses bytes up to the end of the answer to this call, or up to an error. Returns how many were parsed. */
static size_t parse(cw_upstream_call_t *call, const char *bytes, size_t length)
{
    size_t parsed;

    call->bounds.bytes += length;
    parsed = http_parser_execute(&call->parser, &parser_settings, bytes, length);
    while (call->complete && is_foreign(call) && cw_answer_bounds_exceeded(&call->bounds) == NULL) {
        discard_answer(call);
        call->bounds.bytes = length - parsed;
        parsed += http_parser_execute(&call->parser, &parser_settings, bytes + parsed, length - parsed);
    }
    return parsed;
}

static void handle_bytes(cw_upstream_call_t *call, const char *bytes, size_t length)
{
    size_t parsed;

    call->any_byte = true;
    parsed = parse(call, bytes, length);
    if (call->complete && !is_foreign(call)) {
        if (parsed < length) { /* the answer is valid, but the connection must not be reused */
            call->not_reusable = true;
        }
        cw_upstream_end_call(call, CW_UPSTREAM_ANSWERED, NULL, false);
        return;
    }
    if (call->failure == NULL) {
        call->failure = cw_answer_bounds_exceeded(&call->bounds);
    }
    if (call->failure == NULL && (HTTP_PARSER_ERRNO(&call->parser) != HPE_OK || call->parser.upgrade)) {
        call->failure = "not an answer";
    }
    if (call->failure != NULL) {
        cw_upstream_end_call(call, CW_UPSTREAM_BROKEN, call->failure, false);
    }
}

/* True if the socket has an error: the kernel may report the end of the stream before it reports a reset by the peer.
 */
static bool has_socket_error(const cw_upstream_connection_t *connection)
{
    int       fd;
    int       error = 0;
    socklen_t length = sizeof(error);

    return uv_fileno((const uv_handle_t *)&connection->tcp, &fd) == 0 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error != 0;
}

static void handle_end(cw_upstream_call_t *call, ssize_t error)
{
    bool reset = error != UV_EOF || has_socket_error(call->connection);

    if (!reset && call->head_done) {
        (void)http_parser_execute(&call->parser, &parser_settings, NULL, 0);
        if (call->complete && !is_foreign(call)) {
            call->not_reusable = true; /* the peer has closed the connection */
            cw_upstream_end_call(call, CW_UPSTREAM_ANSWERED, NULL, false);
            return;
        }
    }
    cw_upstream_end_call(call, CW_UPSTREAM_BROKEN, reset ? "connection reset" : "connection ended early", reset);
}

void cw_upstream_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_upstream_connection_t *connection = stream->data;

    if (connection->closing || length == 0) {
        return;
    }
    if (connection->call == NULL) { /* idle: the peer closed it, or sent bytes that belong to no request */
        cw_upstream_close_connection(connection, false);
    } else if (length < 0) {
        handle_end(connection->call, length);
    } else {
        cw_upstream_extend_timeout(connection->call);
        handle_bytes(connection->call, buffer->base, (size_t)length);
    }
}

void cw_upstream_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    cw_upstream_connection_t *connection = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(connection->target->upstream->chunk, CW_UPSTREAM_CHUNK);
}
