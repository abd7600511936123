/**
 * @file caller_http.c
 * @brief Callers' dialect: reads requests, writes answers with their outcome. See standins/DIALECT.md, "Callers".
 */
#include <stdlib.h>
#include <string.h>

#include "adapters/caller_path.h"
#include "adapters/header_rules.h"
#include "adapters/http_internal.h"
#include "cedarwinch/outcome.h"

enum {
    TIMEOUT_MAX_MS = 24 * 60 * 60 * 1000,
    REQUEST_ID_TEXT = 37,
    MS_PER_S = 1000,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    DECIMAL = 10
};

/* Reads request-timeout-ms. No header gives 0: the service's default. */
static int read_timeout(h2o_req_t *request, int64_t *timeout_us)
{
    const char *text = cw_http_request_header(request, "request-timeout-ms");
    char       *end;
    long long   timeout_ms;

    *timeout_us = 0;
    if (text == NULL) {
        return CW_OK;
    }
    timeout_ms = strtoll(text, &end, DECIMAL);
    if (end == text || *end != '\0' || timeout_ms <= 0 || timeout_ms > TIMEOUT_MAX_MS) {
        return CW_ERROR_PARSE;
    }
    *timeout_us = timeout_ms * CW_US_PER_MS;
    return CW_OK;
}

static Cw__Header *copy_header(h2o_req_t *request, const h2o_header_t *header)
{
    Cw__Header *copy = h2o_mem_alloc_pool(&request->pool, sizeof(*copy));

    cw__header__init(copy);
    copy->name = h2o_strdup(&request->pool, header->name->base, header->name->len).base;
    copy->value = h2o_strdup(&request->pool, header->value.base, header->value.len).base;
    return copy;
}

/* Copies the headers that go on to the server into the request's pool. */
static void read_headers(h2o_req_t *request, cw_caller_request_t *caller)
{
    const char         *connection = cw_http_request_header(request, "connection");
    size_t              connection_length = connection == NULL ? 0 : strlen(connection);
    const h2o_header_t *header;
    size_t              index;

    caller->headers = h2o_mem_alloc_pool(&request->pool, (request->headers.size + 1) * sizeof(void *));
    caller->header_count = 0;
    for (index = 0; index < request->headers.size; index++) {
        header = &request->headers.entries[index];
        if (cw_header_passes_to_server(header->name->base, header->name->len) &&
            !cw_header_is_nominated(connection, connection_length, header->name->base, header->name->len)) {
            caller->headers[caller->header_count++] = copy_header(request, header);
        }
    }
}

void cw_caller_http_request(cw_http_server_t *server, h2o_req_t *request)
{
    const char         *target = h2o_strdup(&request->pool, request->input.path.base, request->input.path.len).base;
    cw_caller_request_t caller;
    cw_caller_path_t    path;
    cw_http_exchange_t *exchange;

    memset(&caller, 0, sizeof(caller));
    if (strlen(target) != request->input.path.len || cw_caller_path_parse(target, &path) != CW_OK ||
        read_timeout(request, &caller.timeout_us) != CW_OK) {
        cw_http_answer_reason(server, request, CW_REASON_BAD_REQUEST);
        return;
    }
    read_headers(request, &caller);
    caller.tenant = path.tenant;
    caller.service = path.service;
    caller.key = path.key;
    caller.key_length = path.key_length;
    caller.path = path.rest;
    caller.method = h2o_strdup(&request->pool, request->input.method.base, request->input.method.len).base;
    caller.token = cw_http_request_token(request);
    caller.request_id = cw_http_request_header(request, "request-id");
    caller.body = request->entity.base;
    caller.body_length = request->entity.len;
    exchange = cw_http_exchange_create(server, request);
    caller.caller_id = exchange->caller_id;
    cw_http_exchange_wait(exchange, true);
    server->callbacks.caller_request(server->callbacks.context, &caller);
}

static void answer_retry_after(h2o_req_t *request, const Cw__ForwardResponse *response)
{
    bool refusal = response->outcome == CW__OUTCOME__OUTCOME_NOT_RUN &&
                   (response->status == STATUS_TOO_MANY || response->status == STATUS_UNAVAILABLE);
    uint32_t seconds = response->retry_after_ms / MS_PER_S + (response->retry_after_ms % MS_PER_S != 0 ? 1 : 0);
    char     text[sizeof("4294967295")];

    if (!refusal && response->retry_after_ms == 0) {
        return;
    }
    snprintf(text, sizeof(text), "%u", seconds == 0 ? 1 : seconds);
    cw_http_answer_header(request, "retry-after", text);
}

static void answer_server_headers(h2o_req_t *request, const Cw__ForwardResponse *response)
{
    const Cw__Header *header;
    size_t            index;

    for (index = 0; index < response->n_headers; index++) {
        header = response->headers[index];
        if (cw_header_passes_to_caller(header->name, strlen(header->name))) {
            cw_http_answer_header(request, header->name, header->value);
        }
    }
}

static void answer_request_id(h2o_req_t *request, const Cw__ForwardResponse *response)
{
    char text[REQUEST_ID_TEXT];

    if (response->request_id.len == CW_REQUEST_ID_BYTES) {
        cw_request_id_format(response->request_id.data, text);
        cw_http_answer_header(request, "request-id", text);
    }
}

void cw_http_server_respond(cw_http_server_t *server, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    cw_http_exchange_t *exchange = cw_http_exchange_take(server, caller_id, true);
    h2o_req_t          *request;

    if (exchange == NULL) {
        return;
    }
    request = exchange->request;
    answer_request_id(request, response);
    if (response->outcome != CW__OUTCOME__OUTCOME_ANSWERED) {
        answer_retry_after(request, response);
        cw_http_answer_outcome(server, request, (int)response->status, response->outcome, response->reason);
        return;
    }
    cw_http_answer_header(request, "cw-outcome", cw_outcome_text(response->outcome));
    answer_server_headers(request, response);
    cw_http_answer_send(server, request, (int)response->status, response->body.data, response->body.len);
}
