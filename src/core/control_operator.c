/**
 * @file control_operator.c
 * @brief Operators' requests at the leader: who may ask what, and draining of servers.
 *
 * Rules: a request is answered exactly once. The token's digest decides: an operator token of a tenant's accepted
 * configuration acts for that tenant only; an administrator (checked by the receiving node) acts for all. A tenant
 * that the asker may not act for looks like one that does not exist.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/token_digest.h"
#include "core/control_internal.h"

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
    RETRY_AFTER_S = 1
};

/* ---- answers ---- */

void cw_control_answer(cw_control_t *control, cw_node_id_t origin, uint64_t id, uint32_t status, char *json,
                       uint32_t retry_after_s)
{
    Cw__Envelope         envelope = CW__ENVELOPE__INIT;
    Cw__OperatorResponse response = CW__OPERATOR_RESPONSE__INIT;

    response.id = id;
    response.status = status;
    response.json = json;
    response.retry_after_s = retry_after_s;
    envelope.body_case = CW__ENVELOPE__BODY_OPERATOR_RESPONSE;
    envelope.operator_response = &response;
    cw_control_send(control, origin, &envelope);
}

void cw_control_answer_error(cw_control_t *control, cw_node_id_t origin, uint64_t id, uint32_t status,
                             const char *message, uint32_t retry_after_s)
{
    json_t *body = json_pack("{s:s}", "error", message);
    char   *text = json_dumps(body, JSON_COMPACT);

    cw_control_answer(control, origin, id, status, text == NULL ? "{}" : text, retry_after_s);
    free(text);
    json_decref(body);
}

/* ---- authorization ---- */

static bool is_operator(const Cw__OperatorRequest *request, const Cw__TenantConfiguration *tenant)
{
    return request->token_sha256.len == CW_TOKEN_DIGEST_BYTES &&
           cw_token_digest_is_accepted(request->token_sha256.data, tenant->operator_token_sha256,
                                       tenant->n_operator_token_sha256);
}

bool cw_control_authorized(const Cw__OperatorRequest *request, const Cw__TenantConfiguration *tenant)
{
    return request->authorized_administrator || (tenant != NULL && is_operator(request, tenant));
}

typedef struct token_search {
    const Cw__OperatorRequest *request;
    bool                       found;
} token_search_t;

static bool check_tenant(void *context, const Cw__TenantConfiguration *tenant)
{
    token_search_t *search = context;

    search->found |= is_operator(search->request, tenant);
    return true;
}

/* Does the token belong to anybody at all? */
static bool is_known(const cw_control_t *control, const Cw__OperatorRequest *request)
{
    token_search_t search = {request, request->authorized_administrator};

    cw_control_state_each_tenant(control->state, check_tenant, &search);
    return search.found;
}

/* ---- draining ---- */

static void add_drain(cw_control_t *control, const Cw__OperatorRequest *request, cw_server_id_t server, bool draining)
{
    cw_drain_request_t *drain = calloc(1, sizeof(*drain));

    if (drain == NULL) {
        return;
    }
    drain->id = request->id;
    drain->origin = request->origin;
    drain->server = server;
    drain->draining = draining;
    drain->next = control->leading.drains;
    control->leading.drains = drain;
    control->leading.decide_wanted = true;
}

/* Argument: TENANT/SERVICE/SERVER, followed by " off" to take it back. */
static void operate_drain(cw_control_t *control, const Cw__OperatorRequest *request)
{
    char                           tenant[CW_NAME_MAX + 1] = "";
    char                           service[CW_NAME_MAX + 1] = "";
    char                           server[CW_NAME_MAX + 1] = "";
    char                           option[4] = "";
    int                            parts;
    const Cw__TenantConfiguration *configuration;
    cw_server_id_t                 id;

    parts = sscanf(request->argument, "%63[^/]/%63[^/]/%63[^/ ] %3s", tenant, service, server, option);
    if (parts < 3 || (parts == 4 && strcmp(option, "off") != 0)) {
        cw_control_answer_error(control, request->origin, request->id, STATUS_BAD_REQUEST,
                                "expected TENANT/SERVICE/SERVER, and off to end draining", 0);
        return;
    }
    configuration = cw_control_state_tenant(control->state, tenant);
    id = cw_hash_server(tenant, service, server);
    if (!cw_control_authorized(request, configuration) || cw_control_state_server(control->state, id) == NULL) {
        cw_control_answer_error(control, request->origin, request->id, STATUS_NOT_FOUND, "no such server", 0);
        return;
    }
    add_drain(control, request, id, parts == 3);
}

void cw_control_decide_drains(cw_control_t *control, cw_command_builder_t *builder)
{
    const cw_drain_request_t *drain;
    const Cw__ServerInfo     *server;
    Cw__ServerInfo            changed;

    for (drain = control->leading.drains; drain != NULL; drain = drain->next) {
        server = cw_control_state_server(control->state, drain->server);
        if (server == NULL || server->draining == drain->draining || cw_command_has_server(builder, drain->server)) {
            continue;
        }
        changed = *server; /* with its fence: the forwarder stays */
        changed.draining = drain->draining;
        cw_command_add_server(builder, &changed);
    }
}

void cw_control_answer_drains(cw_control_t *control)
{
    cw_drain_request_t  **place = &control->leading.drains;
    cw_drain_request_t   *drain;
    const Cw__ServerInfo *server;

    while (*place != NULL) {
        drain = *place;
        server = cw_control_state_server(control->state, drain->server);
        if (server != NULL && server->draining != drain->draining) {
            place = &drain->next;
            continue;
        }
        cw_control_answer(control, drain->origin, drain->id, STATUS_OK,
                          drain->draining ? "{\"draining\":true}" : "{\"draining\":false}", 0);
        *place = drain->next;
        free(drain);
    }
}

/* ---- dispatch ---- */

typedef void (*operation_t)(cw_control_t *control, const Cw__OperatorRequest *request);

static operation_t find_operation(const char *name)
{
    static const struct {
        const char *name;
        operation_t operate;
    } operations[] = {{"plan", cw_control_operate_plan},
                      {"confirm", cw_control_operate_confirm},
                      {"status", cw_control_operate_status},
                      {"explain", cw_control_operate_explain},
                      {"drain", operate_drain}};
    size_t position;

    for (position = 0; position < sizeof(operations) / sizeof(operations[0]); position++) {
        if (strcmp(operations[position].name, name) == 0) {
            return operations[position].operate;
        }
    }
    return NULL;
}

void cw_control_receive_operator(cw_control_t *control, const Cw__OperatorRequest *request)
{
    operation_t operate = find_operation(request->operation);

    if (!control->leading.active) {
        cw_control_answer_error(control, request->origin, request->id, STATUS_UNAVAILABLE,
                                "this node does not lead the control group", RETRY_AFTER_S);
    } else if (!is_known(control, request)) {
        cw_control_answer_error(control, request->origin, request->id, STATUS_UNAUTHORIZED, "token not accepted", 0);
    } else if (operate == NULL) {
        cw_control_answer_error(control, request->origin, request->id, STATUS_BAD_REQUEST, "no such operation", 0);
    } else {
        operate(control, request);
    }
}

static void end_drains(cw_control_t *control)
{
    cw_drain_request_t *drain;

    while (control->leading.drains != NULL) {
        drain = control->leading.drains;
        control->leading.drains = drain->next;
        cw_control_answer_error(control, drain->origin, drain->id, STATUS_UNAVAILABLE,
                                "leadership changed; see status for whether the server drains", RETRY_AFTER_S);
        free(drain);
    }
}

static void end_accepted(cw_control_t *control)
{
    cw_accepted_t *accepted;

    while (control->leading.accepted != NULL) {
        accepted = control->leading.accepted;
        control->leading.accepted = accepted->next;
        cw__tenant_configuration__free_unpacked(accepted->configuration, NULL);
        free(accepted);
    }
}

void cw_control_end_operators(cw_control_t *control)
{
    end_drains(control);
    end_accepted(control);
    cw_control_end_plans(control);
}
