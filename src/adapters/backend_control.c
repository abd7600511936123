/**
 * @file backend_control.c
 * @brief Control calls to back-end servers: state, lease, grants, revocations. See standins/DIALECT.md.
 *
 * Errors: unavailable when the call surely changed nothing, conflict when the server said so (409), timeout when the
 * deadline passed, unknown for everything in between.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "adapters/backend_internal.h"
#include "adapters/text_encoding.h"

enum { ANSWER_MAX = 16 * 1024 * 1024, STATUS_OK = 200, STATUS_CONFLICT = 409, STATUS_UNAVAILABLE = 503 };

/** Method and path of each kind of call. */
static const struct {
    const char *method;
    const char *target;
} calls[] = {[CW_SERVER_READ_STATE] = {"GET", "/control/state"},
             [CW_SERVER_RENEW_LEASE] = {"PUT", "/control/lease"},
             [CW_SERVER_GRANT] = {"PUT", "/control/grants"},
             [CW_SERVER_REVOKE] = {"PUT", "/control/revocations"}};

/* ---- request ---- */

static json_t *grant_json(const Cw__Grant *grant)
{
    char service[CW_HEX_TEXT_BYTES];
    char low[CW_HEX_TEXT_BYTES];
    char last[CW_HEX_TEXT_BYTES];
    char fence[CW_FENCE_TEXT_BYTES];

    cw_hex_write(service, grant->service);
    cw_hex_write(low, grant->low);
    cw_hex_write(last, grant->last);
    cw_fence_write(fence, cw_fence_from_message(grant->fence));
    return json_pack("{s:I,s:s,s:s,s:s,s:s}", "range", (json_int_t)grant->range, "service", service, "low", low, "last",
                     last, "fence", fence);
}

static json_t *grants_json(const cw_server_call_t *call)
{
    json_t *grants = json_array();
    size_t  index;

    for (index = 0; index < call->grant_count; index++) {
        json_array_append_new(grants, grant_json(call->grants[index]));
    }
    return grants;
}

/* Body of a call; NULL: it has none. Free with free(). */
static char *write_body(const cw_server_call_t *call)
{
    char    incarnation[CW_HEX_TEXT_BYTES];
    json_t *json;
    char   *text;

    if (call->kind == CW_SERVER_READ_STATE) {
        return NULL;
    }
    cw_hex_write(incarnation, call->incarnation);
    json = json_pack("{s:s}", "incarnation", incarnation);
    if (call->kind != CW_SERVER_REVOKE) {
        json_object_set_new(json, "lease_end_us", json_integer(call->lease_end_us));
    }
    if (call->kind != CW_SERVER_RENEW_LEASE) {
        json_object_set_new(json, "grants", grants_json(call));
    }
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/* ---- answer ---- */

static int read_state(const json_t *json, cw_server_completion_t *completion)
{
    const char *incarnation = NULL;
    json_int_t  clock_us = 0;
    json_int_t  lease_end_us = 0;
    int         draining = 0;
    json_int_t  active = 0;

    if (json_unpack((json_t *)json, "{s:s,s:I,s:I,s:b,s:I}", "incarnation", &incarnation, "clock_us", &clock_us,
                    "lease_end_us", &lease_end_us, "draining", &draining, "active", &active) != 0 ||
        !cw_hex_read(incarnation, &completion->incarnation)) {
        return CW_ERROR_PARSE;
    }
    completion->clock_us = clock_us;
    completion->lease_end_us = lease_end_us;
    completion->draining = draining != 0;
    completion->active_requests = (uint32_t)active;
    return CW_OK;
}

/* Reads a list of range ids; an absent list is empty. Free with free(). */
static cw_range_id_t *read_ranges(const json_t *json, const char *name, size_t *count)
{
    const json_t  *list = json_object_get(json, name);
    size_t         length = json_array_size(list);
    cw_range_id_t *ranges = calloc(length + 1, sizeof(*ranges));

    *count = 0;
    while (ranges != NULL && *count < length) {
        ranges[*count] = (cw_range_id_t)json_integer_value(json_array_get(list, *count));
        (*count)++;
    }
    return ranges;
}

static void read_highest(const json_t *json, cw_server_completion_t *completion)
{
    const char *text = json_string_value(json_object_get(json, "highest"));

    if (text != NULL && !cw_fence_read(text, &completion->highest)) {
        memset(&completion->highest, 0, sizeof(completion->highest));
    }
}

static int error_of(cw_server_call_kind_t kind, const cw_http_answer_t *answer)
{
    bool changes_nothing = kind == CW_SERVER_READ_STATE;

    switch (answer->result) {
    case CW_HTTP_NOT_SENT:
        return CW_ERROR_UNAVAILABLE;
    case CW_HTTP_TIMED_OUT:
        return CW_ERROR_TIMEOUT;
    case CW_HTTP_BROKEN:
        return changes_nothing ? CW_ERROR_UNAVAILABLE : CW_ERROR_UNKNOWN;
    default:
        break;
    }
    if (answer->status == STATUS_OK) {
        return CW_OK;
    }
    if (answer->status == STATUS_CONFLICT) {
        return CW_ERROR_CONFLICT;
    }
    return changes_nothing || answer->status == STATUS_UNAVAILABLE ? CW_ERROR_UNAVAILABLE : CW_ERROR_UNKNOWN;
}

static void complete(const cw_backend_control_t *control, const cw_http_answer_t *answer)
{
    cw_backend_t          *backend = control->backend;
    json_t                *json = json_loadb((const char *)answer->body, answer->body_length, 0, NULL);
    cw_server_completion_t completion;
    cw_range_id_t         *accepted;
    cw_range_id_t         *refused;

    memset(&completion, 0, sizeof(completion));
    completion.id = control->id;
    completion.error = error_of(control->kind, answer);
    if (completion.error == CW_OK && read_state(json, &completion) != CW_OK) {
        completion.error = control->kind == CW_SERVER_READ_STATE ? CW_ERROR_UNAVAILABLE : CW_ERROR_UNKNOWN;
    }
    accepted =
        read_ranges(json, control->kind == CW_SERVER_REVOKE ? "released" : "accepted", &completion.accepted_count);
    refused = read_ranges(json, "refused", &completion.refused_count);
    completion.accepted = accepted;
    completion.refused = refused;
    read_highest(json, &completion);
    backend->callbacks.call_completed(backend->callbacks.context, &completion);
    free(accepted);
    free(refused);
    json_decref(json);
}

static void on_answered(void *context, const cw_http_answer_t *answer)
{
    cw_backend_control_t *control = context;

    DL_DELETE(control->backend->controls, control);
    complete(control, answer);
    free(control);
}

void cw_backend_call(cw_backend_t *backend, const cw_server_call_t *call)
{
    cw_backend_control_t *control = calloc(1, sizeof(*control));
    char                 *body = write_body(call);
    cw_http_request_t     request;

    if (control == NULL) {
        free(body);
        return;
    }
    control->id = call->id;
    control->kind = call->kind;
    control->backend = backend;
    memset(&request, 0, sizeof(request));
    request.address = call->server->address;
    request.port = (uint16_t)call->server->port;
    request.method = calls[call->kind].method;
    request.target = calls[call->kind].target;
    request.body = body;
    request.body_length = body == NULL ? 0 : strlen(body);
    request.timeout_us = call->timeout_us;
    request.answer_max = ANSWER_MAX;
    DL_APPEND(backend->controls, control);
    if (cw_http_client_call(backend->control, &request, on_answered, control) == NULL) {
        DL_DELETE(backend->controls, control);
        free(control);
    }
    free(body);
}

void cw_backend_control_clear(cw_backend_t *backend)
{
    cw_backend_control_t *control;
    cw_backend_control_t *following;

    DL_FOREACH_SAFE(backend->controls, control, following)
    {
        DL_DELETE(backend->controls, control);
        free(control);
    }
}
