/**
 * @file server_answers.c
 * @brief Answers, with the fields that name the server and say what it says of itself.
 */
#include <stdio.h>
#include <string.h>

#include "server.h"

static void add_field(cw_http_fields_t *fields, cw_http_field_builder_t *builder, const char *name, const char *value)
{
    cw_http_field_builder_name(builder, fields, name, strlen(name));
    cw_http_field_builder_value(builder, fields, value, strlen(value));
}

void server_answer_with_retry_after(server_t *server, cw_http_exchange_t *exchange, int status, const char *id,
                                    bool not_run, const char *handover, const char *body, double rest_s)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_http_outbound_t      outbound = {.status = status,
                                        .fields = &fields,
                                        .body = body,
                                        .body_length = strlen(body),
                                        .retry_after_s = rest_s > 0 ? rest_s : -1};
    char                    signature[160];

    add_field(&fields, &builder, "X-Instance-Id", server->id);
    if (id != NULL) {
        add_field(&fields, &builder, "X-Request-Id", id);
    }
    if (not_run) {
        add_field(&fields, &builder, "X-Not-Executed", "1");
    } else if (id != NULL) {
        snprintf(signature, sizeof(signature), "%s.%s", server->id, id);
        add_field(&fields, &builder, "X-Server-Signature", signature);
    }
    if (handover != NULL) {
        add_field(&fields, &builder, "X-Handover", handover);
    }
    if (id != NULL) {
        signals_add_fields(&server->signals, &fields, &builder);
    }
    cw_http_exchange_answer(exchange, &outbound);
    cw_http_fields_clear(&fields);
}

void server_answer(server_t *server, cw_http_exchange_t *exchange, int status, const char *id, bool not_run,
                   const char *handover, const char *body)
{
    server_answer_with_retry_after(server, exchange, status, id, not_run, handover, body, 0);
}
