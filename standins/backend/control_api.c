/**
 * @file control_api.c
 * @brief Control calls of the back-end stand-in: state, lease, grants, revocations, cancellation, faults on demand.
 */
#include <stdlib.h>
#include <string.h>

#include "backend.h"
#include "cedarwinch/error.h"
#include "control_json.h"

#define REQUESTS_PREFIX "/control/requests/"

typedef void (*call_handler_t)(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_control_call_t *call);

static void handle_renewal(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_control_call_t *call)
{
    cw_ownership_renew(backend->ownership, cw_backend_clock(backend), call->lease_end_us);
    cw_backend_lease_changed(backend);
    if (cw_ownership_holds_any(backend->ownership)) {
        cw_record_renewal(backend);
    }
    cw_standin_respond_json(exchange, 200, cw_control_state_json(backend));
}

/* A draining server takes nothing new; a range that it holds may still change its fence. */
static bool accept_grant(cw_backend_standin_t *backend, const cw_server_grant_t *grant, cw_fence_t *highest)
{
    cw_fence_t seen = {0, 0};
    int        error = CW_ERROR_CONFLICT;

    if (!backend->draining || cw_ownership_holds_range(backend->ownership, grant->range)) {
        error = cw_ownership_grant(backend->ownership, grant, &seen);
    }
    *highest = cw_fence_max(*highest, seen);
    return error == CW_OK;
}

static void take_grants(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_control_call_t *call)
{
    json_t    *accepted = json_array();
    json_t    *refused = json_array();
    json_t    *answer;
    cw_fence_t highest = {0, 0};
    char       text[CW_FENCE_TEXT];
    size_t     i;

    for (i = 0; i < call->grant_count; i++) {
        json_array_append_new(accept_grant(backend, &call->grants[i], &highest) ? accepted : refused,
                              json_integer((json_int_t)call->grants[i].range));
    }
    cw_jobs_refuse_unowned(backend);
    cw_fence_format(highest, text);
    answer = cw_control_state_json(backend);
    json_object_set_new(answer, "accepted", accepted);
    json_object_set_new(answer, "refused", refused);
    json_object_set_new(answer, "highest", json_string(text));
    cw_standin_respond_json(exchange, 200, answer);
}

static void handle_grant(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_control_call_t *call)
{
    if (cw_ownership_start_lease(backend->ownership, cw_backend_clock(backend), call->lease_end_us) != CW_OK) {
        cw_standin_respond_error(exchange, 409, "lease_end_us");
        return;
    }
    cw_backend_lease_changed(backend);
    take_grants(backend, exchange, call);
}

static void handle_revoke(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_control_call_t *call)
{
    cw_backend_clock(backend);
    cw_revocation_start(backend, exchange, call->grants, call->grant_count);
    call->grants = NULL;
}

static void handle_call(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, call_handler_t handler)
{
    cw_control_call_t call;

    if (cw_control_call_parse(exchange, &call) != CW_OK) {
        cw_standin_respond_error(exchange, 400, "body");
        return;
    }
    if (call.incarnation != backend->incarnation) {
        cw_standin_respond_error(exchange, 409, "incarnation");
    } else {
        handler(backend, exchange, &call);
    }
    free(call.grants);
}

static void set_faults(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange)
{
    json_t             *json = json_loadb(exchange->body, exchange->body_length, 0, NULL);
    cw_backend_faults_t faults = {0};
    json_int_t          delay_ms = 0;
    int                 mislead = 0;
    int                 cut = 0;

    if (json == NULL || json_unpack(json, "{s?F,s?F,s?b,s?I,s?b}", "shed", &faults.shed, "truncate", &faults.truncate,
                                    "mislead", &mislead, "delay_ms", &delay_ms, "connections_cut", &cut) != 0) {
        cw_standin_respond_error(exchange, 400, "faults");
        json_decref(json);
        return;
    }
    json_decref(json);
    faults.mislead = mislead != 0;
    backend->faults = faults;
    cw_standin_server_set_answer_delay(backend->server, 0);
    cw_standin_respond_status(exchange, 204);
    cw_standin_server_set_answer_delay(backend->server, (uint32_t)delay_ms);
    if (cut != 0) {
        cw_standin_server_cut_connections(backend->server);
    }
}

static bool is_call(const cw_standin_exchange_t *exchange, const char *method, const char *path)
{
    return strcmp(exchange->method, method) == 0 && strcmp(exchange->path, path) == 0;
}

bool cw_control_request(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange)
{
    if (is_call(exchange, "GET", "/control/state")) {
        cw_standin_respond_json(exchange, 200, cw_control_state_json(backend));
    } else if (is_call(exchange, "PUT", "/control/lease")) {
        handle_call(backend, exchange, handle_renewal);
    } else if (is_call(exchange, "PUT", "/control/grants")) {
        handle_call(backend, exchange, handle_grant);
    } else if (is_call(exchange, "PUT", "/control/revocations")) {
        handle_call(backend, exchange, handle_revoke);
    } else if (strcmp(exchange->method, "DELETE") == 0 &&
               strncmp(exchange->path, REQUESTS_PREFIX, strlen(REQUESTS_PREFIX)) == 0) {
        cw_jobs_cancel(backend, exchange->path + strlen(REQUESTS_PREFIX));
        cw_standin_respond_status(exchange, 204);
    } else if (is_call(exchange, "POST", "/stand-in/faults")) {
        set_faults(backend, exchange);
    } else {
        return false;
    }
    return true;
}
