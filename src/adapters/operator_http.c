/**
 * @file operator_http.c
 * @brief Operators' dialect: POST /operator/v1/OPERATION. See standins/DIALECT.md, "Operators".
 */
#include <string.h>

#include "adapters/http_internal.h"

enum { STATUS_BAD_REQUEST = 400, STATUS_NOT_FOUND = 404, STATUS_METHOD = 405 };

static const char        default_file_name[] = "intent.yaml";
static const char *const operations[] = {"plan", "confirm", "status", "explain", "drain", "recover"};

static bool is_operation(const char *operation)
{
    size_t index;

    for (index = 0; index < sizeof(operations) / sizeof(operations[0]); index++) {
        if (strcmp(operations[index], operation) == 0) {
            return true;
        }
    }
    return false;
}

static void refuse(cw_http_server_t *server, h2o_req_t *request, int status, const char *json)
{
    cw_http_answer_header(request, "content-type", "application/json");
    cw_http_answer_send(server, request, status, json, strlen(json));
}

void cw_operator_http_request(cw_http_server_t *server, h2o_req_t *request, const char *operation)
{
    cw_http_exchange_t *exchange;
    const char         *argument = h2o_strdup(&request->pool, request->entity.base, request->entity.len).base;
    const char         *token = cw_http_request_token(request);
    const char         *file_name = cw_http_request_header(request, "cw-file-name");

    if (!is_operation(operation)) {
        refuse(server, request, STATUS_NOT_FOUND, "{\"error\":\"no such operation\"}");
        return;
    }
    if (!h2o_memis(request->input.method.base, request->input.method.len, H2O_STRLIT("POST"))) {
        refuse(server, request, STATUS_METHOD, "{\"error\":\"method is not POST\"}");
        return;
    }
    if (strlen(argument) != request->entity.len) {
        refuse(server, request, STATUS_BAD_REQUEST, "{\"error\":\"body is not text\"}");
        return;
    }
    exchange = cw_http_exchange_create(server, request);
    cw_http_exchange_wait(exchange, false);
    server->callbacks.operator_request(server->callbacks.context, exchange->caller_id, operation, token,
                                       file_name == NULL ? default_file_name : file_name, argument);
}

void cw_http_server_operator_respond(cw_http_server_t *server, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    cw_http_exchange_t *exchange = cw_http_exchange_take(server, caller_id, false);
    char                seconds[sizeof("4294967295")];

    if (exchange == NULL) {
        return;
    }
    if (response->retry_after_s > 0) {
        snprintf(seconds, sizeof(seconds), "%u", response->retry_after_s);
        cw_http_answer_header(exchange->request, "retry-after", seconds);
    }
    cw_http_answer_header(exchange->request, "content-type", "application/json");
    cw_http_answer_send(server, exchange->request, (int)response->status, response->json, strlen(response->json));
}
