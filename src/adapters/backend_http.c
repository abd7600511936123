/**
 * @file backend_http.c
 * @brief Application requests to back-end servers. See standins/DIALECT.md, "Back-end server".
 *
 * Each request ends in exactly one response. An answer with the cw-not-run header is the server's own word that it did
 * not run the request; any other whole answer means that it ran. Whatever is not a whole answer is "not sent" only
 * when that is proved by the HTTP client, else "broken".
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/backend_internal.h"
#include "adapters/header_rules.h"
#include "adapters/text_encoding.h"
#include "cedarwinch/outcome.h"

enum {
    ROUTER_HEADERS = 6,
    HEADER_TEXT_MAX = 3 * CW_KEY_MAX + 1,
    CANCEL_TIMEOUT_US = 2 * CW_US_PER_S,
    CANCEL_TARGET_MAX = 80
};

/** The router's headers and their values. */
typedef struct router_headers {
    Cw__Header headers[ROUTER_HEADERS];
    char       texts[ROUTER_HEADERS][HEADER_TEXT_MAX];
    size_t     count;
} router_headers_t;

static char *add_router_header(router_headers_t *router, const char *name)
{
    Cw__Header *header = &router->headers[router->count];

    cw__header__init(header);
    header->name = (char *)name;
    header->value = router->texts[router->count];
    router->count++;
    return header->value;
}

static void fill_router_headers(router_headers_t *router, const cw_server_request_t *server_request,
                                const char *request_id)
{
    const Cw__ForwardRequest *request = server_request->request;

    router->count = 0;
    cw_hex_write(add_router_header(router, "cw-service"), request->service);
    cw_percent_encode(add_router_header(router, "cw-key"), request->key, strlen(request->key), "");
    cw_hex_write(add_router_header(router, "cw-key-hash"), request->key_hash);
    cw_fence_write(add_router_header(router, "cw-fence"), cw_fence_from_message(request->fence));
    snprintf(add_router_header(router, "cw-request-id"), HEADER_TEXT_MAX, "%s", request_id);
    snprintf(add_router_header(router, "cw-timeout-ms"), HEADER_TEXT_MAX, "%" PRId64,
             server_request->timeout_us / CW_US_PER_MS);
}

/* The caller's headers that pass, then the router's. Free the list, not the headers. */
static Cw__Header **join_headers(const Cw__ForwardRequest *request, router_headers_t *router, size_t *count)
{
    Cw__Header **list = calloc(request->n_headers + ROUTER_HEADERS, sizeof(void *));
    size_t       index;

    *count = 0;
    if (list == NULL) {
        return NULL;
    }
    for (index = 0; index < request->n_headers; index++) {
        if (cw_header_passes_to_server(request->headers[index]->name, strlen(request->headers[index]->name))) {
            list[(*count)++] = request->headers[index];
        }
    }
    for (index = 0; index < router->count; index++) {
        list[(*count)++] = &router->headers[index];
    }
    return list;
}

static char *write_target(const Cw__ForwardRequest *request)
{
    size_t key_length = strlen(request->key);
    char  *target = malloc(1 + 3 * key_length + strlen(request->path) + 1);
    size_t length;

    if (target == NULL) {
        return NULL;
    }
    target[0] = '/';
    length = 1 + cw_percent_encode(target + 1, request->key, key_length, "");
    memcpy(target + length, request->path, strlen(request->path) + 1);
    return target;
}

static void free_exchange(cw_backend_exchange_t *exchange)
{
    HASH_DEL(exchange->backend->exchanges, exchange);
    free(exchange->address);
    free(exchange);
}

static void fill_response(cw_server_response_t *response, const cw_http_answer_t *answer)
{
    if (answer->result == CW_HTTP_NOT_SENT) {
        response->result = CW_SERVER_NOT_SENT;
        return;
    }
    if (answer->result != CW_HTTP_ANSWERED) {
        response->result = CW_SERVER_BROKEN;
        return;
    }
    response->reason = cw_http_answer_find(answer, "cw-not-run");
    response->result = response->reason == NULL ? CW_SERVER_ANSWERED : CW_SERVER_REFUSED;
    response->status = answer->status;
    response->headers = answer->headers;
    response->header_count = answer->header_count;
    response->body = answer->body;
    response->body_length = answer->body_length;
}

static void on_answered(void *context, const cw_http_answer_t *answer)
{
    cw_backend_exchange_t *exchange = context;
    cw_backend_t          *backend = exchange->backend;
    cw_server_response_t   response;

    memset(&response, 0, sizeof(response));
    response.id = exchange->id;
    fill_response(&response, answer);
    free_exchange(exchange);
    backend->callbacks.responded(backend->callbacks.context, &response);
}

static cw_backend_exchange_t *create_exchange(cw_backend_t *backend, const cw_server_request_t *request)
{
    cw_backend_exchange_t *exchange = calloc(1, sizeof(*exchange));

    if (exchange == NULL) {
        return NULL;
    }
    exchange->id = request->id;
    exchange->backend = backend;
    exchange->address = strdup(request->server->address);
    exchange->port = (uint16_t)request->server->port;
    if (request->request->request_id.len == CW_REQUEST_ID_BYTES) {
        cw_request_id_format(request->request->request_id.data, exchange->request_id);
    }
    HASH_ADD(hh, backend->exchanges, id, sizeof(exchange->id), exchange);
    return exchange;
}

/* Out of memory before anything was sent. */
static void respond_not_sent(cw_backend_t *backend, uint64_t id)
{
    cw_server_response_t response;

    memset(&response, 0, sizeof(response));
    response.id = id;
    response.result = CW_SERVER_NOT_SENT;
    backend->callbacks.responded(backend->callbacks.context, &response);
}

static cw_http_call_t *start_call(cw_backend_exchange_t *exchange, const cw_server_request_t *request)
{
    router_headers_t  router;
    cw_http_request_t http;
    char             *target = write_target(request->request);
    Cw__Header      **headers;
    cw_http_call_t   *call = NULL;

    memset(&http, 0, sizeof(http));
    fill_router_headers(&router, request, exchange->request_id);
    headers = join_headers(request->request, &router, &http.header_count);
    http.address = exchange->address;
    http.port = exchange->port;
    http.method = request->request->method;
    http.target = target;
    http.headers = headers;
    http.body = request->request->body.data;
    http.body_length = request->request->body.len;
    http.timeout_us = request->timeout_us;
    http.answer_max = CW_BODY_MAX;
    if (target != NULL && headers != NULL && exchange->address != NULL) {
        call = cw_http_client_call(exchange->backend->requests, &http, on_answered, exchange);
    }
    free(headers);
    free(target);
    return call;
}

void cw_backend_request(cw_backend_t *backend, const cw_server_request_t *request)
{
    cw_backend_exchange_t *exchange = create_exchange(backend, request);

    if (exchange == NULL) {
        respond_not_sent(backend, request->id);
        return;
    }
    exchange->call = start_call(exchange, request);
    if (exchange->call == NULL) {
        free_exchange(exchange);
        respond_not_sent(backend, request->id);
    }
}

static void on_cancelled(void *context, const cw_http_answer_t *answer)
{
    (void)context;
    (void)answer;
}

/* Asks the server to stop a request. Its answer to the request itself tells what became of it. */
static void send_cancellation(cw_backend_exchange_t *exchange)
{
    cw_http_request_t request;
    char              target[CANCEL_TARGET_MAX];

    memset(&request, 0, sizeof(request));
    snprintf(target, sizeof(target), "/control/requests/%s", exchange->request_id);
    request.address = exchange->address;
    request.port = exchange->port;
    request.method = "DELETE";
    request.target = target;
    request.timeout_us = CANCEL_TIMEOUT_US;
    request.answer_max = CW_BODY_MAX;
    cw_http_client_call(exchange->backend->control, &request, on_cancelled, NULL);
}

void cw_backend_cancel(cw_backend_t *backend, uint64_t request_id)
{
    cw_backend_exchange_t *exchange;

    HASH_FIND(hh, backend->exchanges, &request_id, sizeof(request_id), exchange);
    if (exchange != NULL && !cw_http_call_cancel_unsent(exchange->call)) {
        send_cancellation(exchange);
    }
}

int cw_backend_create(cw_backend_t **backend, uv_loop_t *loop, const cw_backend_callbacks_t *callbacks)
{
    cw_backend_t *created = calloc(1, sizeof(*created));
    int           error;

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->callbacks = *callbacks;
    error = cw_http_client_create(&created->requests, loop);
    if (error == CW_OK) {
        error = cw_http_client_create(&created->control, loop);
    }
    if (error != CW_OK) {
        cw_backend_free(created);
        return error;
    }
    *backend = created;
    return CW_OK;
}

void cw_backend_free(cw_backend_t *backend)
{
    cw_backend_exchange_t *exchange;
    cw_backend_exchange_t *following;

    if (backend == NULL) {
        return;
    }
    cw_http_client_free(backend->requests);
    cw_http_client_free(backend->control);
    exchange = backend->exchanges;
    HASH_CLEAR(hh, backend->exchanges);
    while (exchange != NULL) {
        following = exchange->hh.next;
        free(exchange->address);
        free(exchange);
        exchange = following;
    }
    cw_backend_control_clear(backend);
    free(backend);
}
