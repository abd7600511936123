/**
 * @file http_exchange.c
 * @brief Requests that wait for their answer, and the writing of answers.
 *
 * h2o stops reading a connection while its request is handled, so it would not notice a caller that hangs up. The
 * exchange goes on reading instead: bytes of a next request stay in the connection's buffer for h2o, an end of the
 * stream is the hang-up. That buffer may move while it grows, so whatever h2o still needs of the request is copied
 * out of it first.
 */
#include "adapters/http_internal.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "cedarwinch/outcome.h"

enum {
    READ_AHEAD_MAX = 64 * 1024,
    JSON_MAX = 128,
    REASON_MAX = 64,
    STATUS_NO_CONTENT = 204,
    STATUS_NOT_MODIFIED = 304,
    STATUS_FIRST_FINAL = 200,
    STATUS_BAD_GATEWAY = 502
};

static void stop_waiting(cw_http_exchange_t *exchange)
{
    if (exchange->waiting) {
        exchange->waiting = false;
        HASH_DEL(exchange->server->waiting, exchange);
    }
}

/* Ends the wait because the caller is gone. */
static void cancel(cw_http_exchange_t *exchange)
{
    const cw_http_server_callbacks_t *callbacks = &exchange->server->callbacks;

    stop_waiting(exchange);
    if (exchange->is_caller && callbacks->caller_cancel != NULL) {
        callbacks->caller_cancel(callbacks->context, exchange->caller_id);
    }
}

/* The request's memory is being freed: by now it is answered, or the connection broke. */
static void on_dispose(void *memory)
{
    cw_http_exchange_t *exchange = memory;

    if (exchange->connection->exchange == exchange) {
        exchange->connection->exchange = NULL;
        if (exchange->server->stopping) {
            cw_http_connection_end_input(exchange->connection);
        }
    }
    if (exchange->waiting) {
        cancel(exchange);
    }
}

cw_http_exchange_t *cw_http_exchange_create(cw_http_server_t *server, h2o_req_t *request)
{
    h2o_socket_t       *socket = request->conn->callbacks->get_socket(request->conn);
    cw_http_exchange_t *exchange = h2o_mem_alloc_shared(&request->pool, sizeof(*exchange), on_dispose);

    memset(exchange, 0, sizeof(*exchange));
    exchange->server = server;
    exchange->request = request;
    exchange->connection = socket->on_close.data;
    exchange->connection->exchange = exchange;
    exchange->caller_id = ++server->last_caller_id;
    return exchange;
}

static void on_read_while_waiting(h2o_socket_t *socket, const char *error)
{
    cw_http_connection_t *connection = socket->on_close.data;
    cw_http_exchange_t   *exchange = connection->exchange;

    if (error == NULL) {
        if (socket->input->size > READ_AHEAD_MAX) {
            h2o_socket_read_stop(socket);
        }
        return;
    }
    h2o_socket_read_stop(socket);
    if (exchange == NULL || !exchange->waiting) {
        return;
    }
    cancel(exchange);
    exchange->request->http1_is_persistent = 0;
    cw_http_answer_reason(exchange->server, exchange->request, CW_REASON_CANCELLED);
}

static h2o_iovec_t copy_out(h2o_req_t *request, h2o_iovec_t text)
{
    return text.base == NULL ? text : h2o_strdup(&request->pool, text.base, text.len);
}

static void copy_out_of_read_buffer(h2o_req_t *request)
{
    request->input.authority = copy_out(request, request->input.authority);
    request->input.method = copy_out(request, request->input.method);
    request->input.path = copy_out(request, request->input.path);
    request->authority = request->input.authority;
    request->method = request->input.method;
    request->path = request->input.path;
    request->path_normalized = copy_out(request, request->path_normalized);
    request->upgrade = copy_out(request, request->upgrade);
    request->headers.size = 0;
}

void cw_http_exchange_wait(cw_http_exchange_t *exchange, bool is_caller)
{
    exchange->is_caller = is_caller;
    exchange->waiting = true;
    HASH_ADD(hh, exchange->server->waiting, caller_id, sizeof(exchange->caller_id), exchange);
    copy_out_of_read_buffer(exchange->request);
    h2o_socket_read_start(exchange->connection->socket, on_read_while_waiting);
}

cw_http_exchange_t *cw_http_exchange_take(cw_http_server_t *server, uint64_t caller_id, bool is_caller)
{
    cw_http_exchange_t *exchange;

    HASH_FIND(hh, server->waiting, &caller_id, sizeof(caller_id), exchange);
    if (exchange == NULL || exchange->is_caller != is_caller) {
        return NULL;
    }
    stop_waiting(exchange);
    return exchange;
}

void cw_http_answer_header_bytes(h2o_req_t *request, const char *name, size_t name_length, const char *value,
                                 size_t value_length)
{
    h2o_iovec_t name_copy = h2o_strdup(&request->pool, name, name_length);
    h2o_iovec_t value_copy = h2o_strdup(&request->pool, value, value_length);
    size_t      position;

    for (position = 0; position < name_copy.len; position++) {
        name_copy.base[position] = (char)tolower((unsigned char)name_copy.base[position]);
    }
    h2o_add_header_by_str(&request->pool, &request->res.headers, name_copy.base, name_copy.len, 1, NULL,
                          value_copy.base, value_copy.len);
}

void cw_http_answer_header(h2o_req_t *request, const char *name, const char *value)
{
    cw_http_answer_header_bytes(request, name, strlen(name), value, strlen(value));
}

static bool has_no_body(const h2o_req_t *request, int status)
{
    return h2o_memis(request->input.method.base, request->input.method.len, H2O_STRLIT("HEAD")) ||
           status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
}

void cw_http_answer_send(cw_http_server_t *server, h2o_req_t *request, int status, const void *body, size_t length)
{
    request->res.status = status < STATUS_FIRST_FINAL ? STATUS_BAD_GATEWAY : status;
    request->res.reason = "";
    request->res.content_length = has_no_body(request, status) ? SIZE_MAX : length;
    if (server->ending_connections) {
        request->http1_is_persistent = 0;
    }
    h2o_send_inline(request, body, has_no_body(request, status) ? 0 : length);
}

void cw_http_answer_outcome(cw_http_server_t *server, h2o_req_t *request, int status, Cw__Outcome outcome,
                            const char *reason)
{
    char json[JSON_MAX];
    int  length;

    cw_http_answer_header(request, "cw-outcome", cw_outcome_text(outcome));
    cw_http_answer_header(request, "cw-reason", reason);
    cw_http_answer_header(request, "content-type", "application/json");
    length = snprintf(json, sizeof(json), "{\"outcome\":\"%s\",\"reason\":\"%.*s\"}", cw_outcome_text(outcome),
                      REASON_MAX, reason);
    cw_http_answer_send(server, request, status, json, (size_t)length);
}

void cw_http_answer_reason(cw_http_server_t *server, h2o_req_t *request, cw_reason_t reason)
{
    cw_http_answer_outcome(server, request, (int)cw_reason_status(reason), cw_reason_outcome(reason),
                           cw_reason_text(reason));
}

char *cw_http_request_header(h2o_req_t *request, const char *name)
{
    ssize_t             index;
    const h2o_header_t *header;
    const h2o_token_t  *token = h2o_lookup_token(name, strlen(name));

    if (token != NULL) {
        index = h2o_find_header(&request->headers, token, -1);
    } else {
        index = h2o_find_header_by_str(&request->headers, name, strlen(name), -1);
    }
    if (index == -1) {
        return NULL;
    }
    header = &request->headers.entries[index];
    return h2o_strdup(&request->pool, header->value.base, header->value.len).base;
}

char *cw_http_request_token(h2o_req_t *request)
{
    static const char scheme[] = "Bearer ";
    char             *value = cw_http_request_header(request, "authorization");

    if (value == NULL || strncasecmp(value, scheme, sizeof(scheme) - 1) != 0) {
        return NULL;
    }
    return value + sizeof(scheme) - 1;
}
