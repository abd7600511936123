/**
 * @file http_client_message.c
 * @brief One request and its answer on one connection.
 *
 * An answer counts as whole only when its own framing says so: a content length that was met, or chunks up to the last
 * one. h2o takes the end of the connection for the end of the body where no framing is given, and also between two
 * chunks; both are refused here. An answer framed twice is refused as well.
 */
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "adapters/http_client_internal.h"

enum { FIXED_HEAD_MAX = 128, HEADER_MARKS = 4, STATUS_NO_CONTENT = 204, STATUS_NOT_MODIFIED = 304 };

/* ---- headers ---- */

static char *copy_text(const char *text, size_t length)
{
    char *copy = h2o_mem_alloc(length + 1);

    memcpy(copy, text, length);
    copy[length] = '\0';
    return copy;
}

void cw_http_headers_add(cw_http_headers_t *headers, const char *name, size_t name_length, const char *value,
                         size_t value_length)
{
    Cw__Header *header = h2o_mem_alloc(sizeof(*header));

    cw__header__init(header);
    header->name = copy_text(name, name_length);
    header->value = copy_text(value, value_length);
    headers->entries = h2o_mem_realloc(headers->entries, (headers->count + 1) * sizeof(void *));
    headers->entries[headers->count++] = header;
}

void cw_http_headers_clear(cw_http_headers_t *headers)
{
    size_t index;

    for (index = 0; index < headers->count; index++) {
        free(headers->entries[index]->name);
        free(headers->entries[index]->value);
        free(headers->entries[index]);
    }
    free(headers->entries);
    memset(headers, 0, sizeof(*headers));
}

/* ---- request ---- */

static bool is_one_line(const char *text)
{
    return strpbrk(text, "\r\n") == NULL;
}

static bool is_target(const char *text)
{
    return text[0] == '/' && strpbrk(text, " \r\n") == NULL;
}

static bool is_writable(const cw_http_request_t *request)
{
    size_t index;

    if (!is_target(request->target) || !is_one_line(request->method)) {
        return false;
    }
    for (index = 0; index < request->header_count; index++) {
        if (!is_one_line(request->headers[index]->name) || !is_one_line(request->headers[index]->value)) {
            return false;
        }
    }
    return true;
}

/* Room enough for the request line, the headers and what write_head adds to them. */
static size_t head_bound(const cw_http_request_t *request)
{
    size_t bound = FIXED_HEAD_MAX + strlen(request->method) + strlen(request->target) + strlen(request->address);
    size_t index;

    for (index = 0; index < request->header_count; index++) {
        bound += strlen(request->headers[index]->name) + strlen(request->headers[index]->value) + HEADER_MARKS;
    }
    return bound;
}

static char *write_header(char *cursor, const Cw__Header *header)
{
    cursor = stpcpy(cursor, header->name);
    cursor = stpcpy(cursor, ": ");
    cursor = stpcpy(cursor, header->value);
    return stpcpy(cursor, "\r\n");
}

/* Writes the head; returns its end. */
static char *write_head(char *cursor, const cw_http_request_t *request)
{
    bool   is_ipv6 = strchr(request->address, ':') != NULL;
    size_t index;

    cursor = stpcpy(cursor, request->method);
    cursor = stpcpy(cursor, " ");
    cursor = stpcpy(cursor, request->target);
    cursor += sprintf(cursor, " HTTP/1.1\r\nhost: %s%s%s:%u\r\n", is_ipv6 ? "[" : "", request->address,
                      is_ipv6 ? "]" : "", request->port);
    for (index = 0; index < request->header_count; index++) {
        cursor = write_header(cursor, request->headers[index]);
    }
    if (request->body_length > 0 || strcmp(request->method, "GET") != 0) {
        cursor += sprintf(cursor, "content-length: %zu\r\n", request->body_length);
    }
    return stpcpy(cursor, "\r\n");
}

int cw_http_request_write(cw_http_call_t *call, const cw_http_request_t *request)
{
    char *end;

    if (!is_writable(request)) {
        return CW_ERROR_INVALID;
    }
    call->request = h2o_mem_alloc(head_bound(request) + request->body_length);
    end = write_head(call->request, request);
    if (request->body_length > 0) {
        memcpy(end, request->body, request->body_length);
    }
    call->request_bytes = h2o_iovec_init(call->request, (size_t)(end - call->request) + request->body_length);
    call->is_head = strcmp(request->method, "HEAD") == 0;
    return CW_OK;
}

/* ---- answer ---- */

static int append_body(cw_http_call_t *call, const char *data, size_t length)
{
    if (length == 0) {
        return CW_OK;
    }
    if (call->body.len + length > call->answer_max) {
        return CW_ERROR_FULL;
    }
    call->body.base = h2o_mem_realloc(call->body.base, call->body.len + length + 1);
    memcpy(call->body.base + call->body.len, data, length);
    call->body.len += length;
    call->body.base[call->body.len] = '\0';
    return CW_OK;
}

/* Bytes read are none when h2o reports an end because the connection was closed. */
static bool is_cut_between_chunks(const cw_http_call_t *call)
{
    return call->is_chunked && call->connection->sock->bytes_read == 0;
}

static int on_body(h2o_http1client_t *connection, const char *error)
{
    cw_http_call_t *call = connection->data;
    h2o_buffer_t  **input = &connection->sock->input;

    if (error != NULL && error != h2o_http1client_error_is_eos) {
        cw_http_call_finish(call, CW_HTTP_BROKEN);
        return -1;
    }
    if (append_body(call, (*input)->bytes, (*input)->size) != CW_OK) {
        cw_http_call_finish(call, CW_HTTP_BROKEN);
        return -1;
    }
    h2o_buffer_consume(input, (*input)->size);
    if (error == h2o_http1client_error_is_eos) {
        cw_http_call_finish(call, is_cut_between_chunks(call) ? CW_HTTP_BROKEN : CW_HTTP_ANSWERED);
    }
    return 0;
}

static bool has_no_body(const cw_http_call_t *call)
{
    return call->is_head || call->status == STATUS_NO_CONTENT || call->status == STATUS_NOT_MODIFIED;
}

/* Exactly one statement of where the body ends. */
static bool is_framed(cw_http_call_t *call)
{
    size_t lengths = 0;
    size_t codings = 0;
    size_t index;

    for (index = 0; index < call->headers.count; index++) {
        lengths += strcasecmp(call->headers.entries[index]->name, "content-length") == 0;
        codings += strcasecmp(call->headers.entries[index]->name, "transfer-encoding") == 0;
    }
    call->is_chunked = codings > 0;
    return lengths + codings == 1;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *connection, const char *error, int minor_version, int status,
                                       h2o_iovec_t message, h2o_header_t *headers, size_t header_count, int head_length)
{
    cw_http_call_t *call = connection->data;
    size_t          index;

    (void)minor_version;
    (void)message;
    (void)head_length;
    if (error != NULL && error != h2o_http1client_error_is_eos) {
        cw_http_call_finish(call, CW_HTTP_BROKEN);
        return NULL;
    }
    call->status = (uint32_t)status;
    for (index = 0; index < header_count; index++) {
        cw_http_headers_add(&call->headers, headers[index].name->base, headers[index].name->len,
                            headers[index].value.base, headers[index].value.len);
    }
    if (!has_no_body(call) && !is_framed(call)) {
        cw_http_call_finish(call, CW_HTTP_BROKEN);
        return NULL;
    }
    if (error == h2o_http1client_error_is_eos) {
        cw_http_call_finish(call, CW_HTTP_ANSWERED);
        return NULL;
    }
    return on_body;
}

static void set_no_delay(h2o_socket_t *socket)
{
    int enabled = 1;

    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

h2o_http1client_head_cb cw_http_call_on_connect(h2o_http1client_t *connection, const char *error, h2o_iovec_t **buffers,
                                                size_t *buffer_count, int *method_is_head)
{
    cw_http_call_t *call = connection->data;

    if (error != NULL) {
        cw_http_call_finish(call, CW_HTTP_NOT_SENT);
        return NULL;
    }
    set_no_delay(connection->sock);
    call->sent = true;
    *buffers = &call->request_bytes;
    *buffer_count = 1;
    *method_is_head = call->is_head;
    return on_head;
}
