/**
 * @file exchange.c
 * @brief Requests of the stand-ins' HTTP server and their answers.
 *
 * h2o owns a request and may dispose of it while the stand-in still works on it (its connection broke). A reference
 * in the request's memory pool tells the exchange, so that a later answer goes nowhere.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http_server_internal.h"

/** The public part is first, so that pointers to it can be cast back. */
typedef struct exchange {
    cw_standin_exchange_t public;
    cw_standin_server_t *server;
    h2o_req_t           *request; /**< NULL: disposed of by h2o */
    struct exchange    **link;    /**< in the request's pool; tells of the disposal */
    uv_timer_t           timer;   /**< delays the answer */
    h2o_iovec_t          answer;  /**< body of the answer, in the request's pool */
    bool                 truncate;
} exchange_t;

static char *copy_text(const char *text, size_t length)
{
    char *copy = h2o_mem_alloc(length + 1);

    h2o_memcpy(copy, text, length);
    copy[length] = '\0';
    return copy;
}

static void on_request_disposed(void *pointer)
{
    exchange_t **link = pointer;

    if (*link != NULL) {
        (*link)->request = NULL;
        (*link)->link = NULL;
    }
}

cw_standin_exchange_t *cw_standin_exchange_create(cw_standin_server_t *server, h2o_req_t *request)
{
    exchange_t *exchange = h2o_mem_alloc(sizeof(*exchange));
    size_t      path_length = request->query_at == SIZE_MAX ? request->path.len : request->query_at;
    size_t      query_start = request->query_at == SIZE_MAX ? request->path.len : request->query_at + 1;

    memset(exchange, 0, sizeof(*exchange));
    exchange->server = server;
    exchange->request = request;
    uv_timer_init(server->loop, &exchange->timer);
    exchange->timer.data = exchange;
    exchange->link = h2o_mem_alloc_shared(&request->pool, sizeof(exchange_t *), on_request_disposed);
    *exchange->link = exchange;
    exchange->public.method = copy_text(request->method.base, request->method.len);
    exchange->public.path = copy_text(request->path.base, path_length);
    exchange->public.query = copy_text(request->path.base + query_start, request->path.len - query_start);
    exchange->public.body = copy_text(request->entity.base, request->entity.len);
    exchange->public.body_length = request->entity.len;
    return &exchange->public;
}

static void on_exchange_closed(uv_handle_t *handle)
{
    exchange_t *exchange = handle->data;

    free((char *)exchange->public.method);
    free((char *)exchange->public.path);
    free((char *)exchange->public.query);
    free((char *)exchange->public.body);
    free(exchange);
}

static void exchange_free(exchange_t *exchange)
{
    if (exchange->link != NULL) {
        *exchange->link = NULL;
    }
    uv_close((uv_handle_t *)&exchange->timer, on_exchange_closed);
}

const char *cw_standin_exchange_header(const cw_standin_exchange_t *public, const char *name)
{
    const exchange_t *exchange = (const exchange_t *)public;
    h2o_iovec_t       value;
    ssize_t           index;

    if (exchange->request == NULL) {
        return NULL;
    }
    index = h2o_find_header_by_str(&exchange->request->headers, name, strlen(name), SIZE_MAX);
    if (index < 0) {
        const h2o_token_t *token = h2o_lookup_token(name, strlen(name));

        index = token == NULL ? -1 : h2o_find_header(&exchange->request->headers, token, SIZE_MAX);
    }
    if (index < 0) {
        return NULL;
    }
    value = exchange->request->headers.entries[index].value;
    return h2o_strdup(&exchange->request->pool, value.base, value.len).base;
}

bool cw_standin_exchange_parameter(const cw_standin_exchange_t *exchange, const char *name, char *value, size_t size)
{
    const char *cursor = exchange->query;
    size_t      name_length = strlen(name);
    size_t      length;

    while (*cursor != '\0') {
        length = strcspn(cursor, "&");
        if (length > name_length && strncmp(cursor, name, name_length) == 0 && cursor[name_length] == '=') {
            length -= name_length + 1;
            if (length >= size) {
                return false;
            }
            memcpy(value, cursor + name_length + 1, length);
            value[length] = '\0';
            return true;
        }
        cursor += length;
        cursor += *cursor == '&' ? 1 : 0;
    }
    return false;
}

static const char *reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

/* Puts the answer's head and body into the request's own memory, so that it can be sent now or later. */
static void prepare_answer(exchange_t *exchange, const cw_standin_answer_t *answer)
{
    h2o_req_t  *request = exchange->request;
    h2o_iovec_t value;
    size_t      i;

    request->res.status = answer->status;
    request->res.reason = reason_phrase(answer->status);
    request->res.content_length = answer->body_length;
    for (i = 0; i < answer->header_count; i++) {
        value = h2o_strdup(&request->pool, answer->headers[i].value, SIZE_MAX);
        h2o_add_header_by_str(&request->pool, &request->res.headers, answer->headers[i].name,
                              strlen(answer->headers[i].name), 1, NULL, value.base, value.len);
    }
    exchange->answer = h2o_strdup(&request->pool, answer->body_length > 0 ? answer->body : "", answer->body_length);
    exchange->truncate = answer->truncate;
}

static void send_answer(exchange_t *exchange)
{
    h2o_req_t       *request = exchange->request;
    h2o_iovec_t      body = exchange->answer;
    h2o_generator_t *generator = h2o_mem_alloc_pool(&request->pool, sizeof(*generator));
    bool             truncate = exchange->truncate;

    memset(generator, 0, sizeof(*generator));
    exchange_free(exchange);
    h2o_start_response(request, generator);
    if (truncate) {
        body.len /= 2;
        h2o_send(request, &body, 1, H2O_SEND_STATE_ERROR);
        return;
    }
    h2o_send(request, &body, 1, H2O_SEND_STATE_FINAL);
}

static void on_answer_due(uv_timer_t *timer)
{
    exchange_t *exchange = timer->data;

    if (exchange->request == NULL) {
        exchange_free(exchange);
        return;
    }
    send_answer(exchange);
}

void cw_standin_respond(cw_standin_exchange_t *public, const cw_standin_answer_t *answer)
{
    exchange_t *exchange = (exchange_t *)public;

    if (exchange->request == NULL) {
        exchange_free(exchange);
        return;
    }
    prepare_answer(exchange, answer);
    if (exchange->server->answer_delay_ms == 0) {
        send_answer(exchange);
        return;
    }
    uv_update_time(exchange->server->loop);
    uv_timer_start(&exchange->timer, on_answer_due, exchange->server->answer_delay_ms, 0);
}

void cw_standin_respond_json(cw_standin_exchange_t *exchange, int status, json_t *body)
{
    static const cw_standin_header_t headers[] = {{"content-type", "application/json"}};
    char                            *text = json_dumps(body, JSON_COMPACT | JSON_PRESERVE_ORDER);
    cw_standin_answer_t              answer = {.status = status, .headers = headers, .header_count = 1, .body = text};

    answer.body_length = text == NULL ? 0 : strlen(text);
    cw_standin_respond(exchange, &answer);
    json_decref(body);
    free(text);
}

void cw_standin_respond_status(cw_standin_exchange_t *exchange, int status)
{
    cw_standin_answer_t answer = {.status = status};

    cw_standin_respond(exchange, &answer);
}

void cw_standin_respond_error(cw_standin_exchange_t *exchange, int status, const char *error)
{
    cw_standin_respond_json(exchange, status, json_pack("{s:s}", "error", error));
}

void cw_standin_drop(cw_standin_exchange_t *public)
{
    exchange_t         *exchange = (exchange_t *)public;
    h2o_socket_t       *socket;
    cw_standin_answer_t answer = {.status = 503};

    if (exchange->request == NULL) {
        exchange_free(exchange);
        return;
    }
    socket = exchange->request->conn->callbacks->get_socket(exchange->request->conn);
    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    prepare_answer(exchange, &answer);
    send_answer(exchange); /* the write fails, h2o then closes the connection */
}
