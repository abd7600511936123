/**
 * @file engine_answer.c
 * @brief Answers a request once and ends it.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/tenant_metrics.h"
#include "proxy/engine_internal.h"
#include "proxy/request_rules.h"

enum {
    STATUS_UNAUTHORIZED = 401,
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_GATEWAY_TIMEOUT = 504,
    STATUS_TOO_MANY = 429,
    RETRY_AFTER_DIVISOR = 4,
    OUTCOME_BYTES = 128 /* outcome and id of a server, for another node */
};

static const cw_time_us_t retry_after_min = CW_MS(40);
static const cw_time_us_t retry_after_unknown = CW_MS(250);

static void on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

void cw_request_end(cw_request_t *request)
{
    if (request->is_ended) {
        return;
    }
    cw_request_unqueue(request);
    if (request->server == NULL) {
        cw_request_return_slot(request);
    }
    if (request->call != NULL) {
        cw_request_abandon(request);
    } else if (request->server != NULL) {
        cw_server_t *server = request->server;

        request->server = NULL;
        request->engine->changed = true;
        cw_request_return_slot(request);
        cw_server_pool_end_request(request->engine->pool, server);
        cw_engine_wake(request->engine);
    }
    cw_request_return_token(request);
    cw_request_end_delegated(request);
    request->is_ended = true;
    cw_tenant_gate_leave(request->tenant);
    request->engine->requests--;
    DL_DELETE2(request->engine->open, request, older, newer);
    cw_http_exchange_set_data(request->exchange, NULL);
    cw_configuration_release(request->configuration);
    uv_close((uv_handle_t *)&request->timer, on_closed);
}

/* The request ends before its answer is handed over, because the exchange may then begin its next request. */
static void answer_and_end(cw_request_t *request, cw_http_outbound_t *outbound, cw_delegation_outcome_t outcome)
{
    cw_http_exchange_t *exchange = request->exchange;
    char                stated[OUTCOME_BYTES];

    cw_histogram_add(CW_HISTOGRAM_TOTAL, request->route->name, cw_engine_now(request->engine) - request->arrived);
    cw_request_state_outcome(request, outcome, outbound, stated, sizeof(stated));
    cw_request_end(request);
    cw_http_exchange_answer(exchange, outbound);
}

static bool begin_request_event(cw_event_t *event, const cw_request_t *request, cw_event_kind_t kind, int status)
{
    cw_time_us_t now = cw_engine_now(request->engine);

    if (!cw_event_begin(event, kind)) {
        return false;
    }
    cw_event_text(event, CW_FIELD_REQUEST, request->id);
    cw_event_text(event, CW_FIELD_ROUTE, request->route->name);
    cw_event_number(event, CW_FIELD_STATUS, status);
    cw_event_ms(event, CW_FIELD_TOTAL_MS, now - request->arrived);
    cw_event_text(event, CW_FIELD_BY_NODE, request->delegation.last[0] == '\0' ? NULL : request->delegation.last);
    cw_event_text(event, CW_FIELD_FOR_NODE, request->delegation.origin);
    return true;
}

static void add_decision_inputs(cw_event_t *event, const cw_request_t *request)
{
    const cw_tenant_t *tenant = cw_caller_limiting_tenant(&request->caller, request->configuration, request->route);
    cw_time_us_t       now = cw_engine_now(request->engine);

    cw_event_text(event, CW_FIELD_SERVICE, request->service->name);
    cw_event_text(event, CW_FIELD_TENANT, tenant == NULL ? NULL : tenant->name);
    cw_event_number(event, CW_FIELD_CONFIGURATION, (int64_t)request->configuration->version);
    cw_event_number(event, CW_FIELD_ATTEMPT, request->attempts);
    cw_event_text(event, CW_FIELD_EVIDENCE, cw_run_evidence_text(request->evidence));
    cw_event_number(event, CW_FIELD_CONNECTION, (int64_t)request->connection);
    cw_event_ms(event, CW_FIELD_LEFT_MS, request->deadline - now);
    cw_event_number(event, CW_FIELD_QUEUED, (int64_t)request->service->queued);
    cw_event_number(event, CW_FIELD_UNDER_WAY, cw_server_pool_in_flight(request->engine->pool, request->service->name));
    if (request->is_keyed) {
        const cw_key_route_t *entry = cw_engine_owner(request->engine, request->service, request->key);

        cw_event_number(event, CW_FIELD_KEY, request->key);
        cw_event_number(event, CW_FIELD_VIEW, (int64_t)request->service->table_version);
        cw_event_ms(event, CW_FIELD_VIEW_AGE_MS, now - request->engine->tables_confirmed_at);
        cw_event_text(event, CW_FIELD_SERVER, entry == NULL ? NULL : entry->server);
        cw_event_number(event, CW_FIELD_FENCE, entry == NULL ? 0 : (int64_t)entry->fence);
    }
}

void cw_engine_reject(const cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                      const cw_rejection_t *rejection)
{
    cw_http_outbound_t outbound = {
        .status = rejection->status, .fields = rejection->fields, .retry_after_s = rejection->retry_after_s};
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_REQUEST_REFUSED)) {
        cw_event_text(&event, CW_FIELD_REQUEST,
                      cw_http_fields_find(inbound->fields, engine->settings.names.request_id));
        cw_event_text(&event, CW_FIELD_ROUTE, rejection->route);
        cw_event_number(&event, CW_FIELD_STATUS, rejection->status);
        cw_event_text(&event, CW_FIELD_REASON, rejection->reason);
        cw_event_text(&event, CW_FIELD_TENANT, rejection->tenant);
        cw_event_number(&event, CW_FIELD_CONFIGURATION,
                        engine->configuration == NULL ? 0 : (int64_t)engine->configuration->version);
        cw_event_end(&event);
    }
    cw_http_exchange_answer(exchange, &outbound);
}

/* ---- refusals ---- */

/* Whether a status may promise that the request has not run and never will. Asked by every refusal of a request. */
static bool excludes_run(const cw_request_t *request)
{
    return cw_final_of(request->may_have_run, request->call != NULL, false) == CW_FINAL_REFUSED;
}

static cw_time_us_t retry_after_for(const cw_request_t *request, cw_refusal_t reason, cw_time_us_t now)
{
    cw_time_us_t estimate = reason == CW_REFUSED_LOAD ? cw_request_estimate(request, now) : CW_NEVER;
    cw_time_us_t wait = estimate == CW_NEVER ? retry_after_unknown : estimate - now - request->route_state->mean_time;
    cw_time_us_t longest = (request->deadline - now) / RETRY_AFTER_DIVISOR;

    if (reason == CW_REFUSED_CRASHES) {
        return cw_request_is_crash_suspect(request, now, &wait) ? wait : retry_after_min;
    }
    if (reason == CW_REFUSED_SERVER_LIMIT || reason == CW_REFUSED_REST) { /* an earlier retry would be refused too */
        wait = cw_request_holdoff(request, now);
        return wait < retry_after_min ? retry_after_min : wait;
    }
    if (reason == CW_REFUSED_STOPPING || reason == CW_REFUSED_KEY_MOVED || reason == CW_REFUSED_PATHS) {
        return retry_after_min; /* any node can serve the request, also this one if the process keeps running */
    }
    if (reason == CW_REFUSED_LOAD && request->claim.free_after > 0) {
        wait = request->claim.free_after;
    }

    wait = wait > longest ? longest : wait;
    return wait < retry_after_min ? retry_after_min : wait;
}

void cw_request_refuse(cw_request_t *request, cw_refusal_t reason)
{
    static const char *const names[] = {"no slot in time",
                                        "owner of the key not known or moving",
                                        "no server",
                                        "outside regions",
                                        "this node stops",
                                        "the caller's key is another tenant's now",
                                        "it crashes servers",
                                        "the server's rate limit",
                                        "the server asked for rest",
                                        "this node reaches no server",
                                        "the list of servers is too old"};
    static const cw_metric_t metrics[] = {
        CW_METRIC_REFUSED_LOAD,    CW_METRIC_REFUSED_OWNER,        CW_METRIC_REFUSED_SERVERS,
        CW_METRIC_REFUSED_REGIONS, CW_METRIC_REFUSED_STOPPING,     CW_METRIC_REFUSED_KEY_MOVED,
        CW_METRIC_REFUSED_CRASHES, CW_METRIC_REFUSED_SERVER_LIMIT, CW_METRIC_REFUSED_REST,
        CW_METRIC_REFUSED_PATHS,   CW_METRIC_REFUSED_LIST};
    cw_time_us_t       now = cw_engine_now(request->engine);
    cw_time_us_t       wait;
    cw_http_outbound_t outbound = {.status = STATUS_UNAVAILABLE};
    cw_event_t         event;

    if (!excludes_run(request)) {
        cw_request_fail_unknown(request, names[reason]);
        return;
    }
    wait = retry_after_for(request, reason, now);
    outbound.retry_after_s = (double)wait / 1e6;
    cw_metric_add(request->delegation.origin == NULL ? metrics[reason] : CW_METRIC_DELEGATED_REFUSED, 1);
    if (begin_request_event(&event, request, CW_EVENT_REQUEST_REFUSED, outbound.status)) {
        cw_event_text(&event, CW_FIELD_REASON, names[reason]);
        cw_event_ms(&event, CW_FIELD_RETRY_AFTER_MS, wait);
        add_decision_inputs(&event, request);
        cw_event_end(&event);
    }
    answer_and_end(request, &outbound, reason == CW_REFUSED_PATHS ? CW_DELEGATION_DECLINED : CW_DELEGATION_REFUSED);
}

void cw_request_refuse_limit(cw_request_t *request, cw_time_us_t retry_after)
{
    static const char *const modes[] = {"free", "metered", "alone"};
    const cw_quota_share_t  *share = request->engine->quota;
    const cw_tenant_t *tenant = cw_caller_limiting_tenant(&request->caller, request->configuration, request->route);
    cw_time_us_t       now = cw_engine_now(request->engine);
    cw_http_outbound_t outbound = {.status = STATUS_TOO_MANY, .retry_after_s = (double)retry_after / 1e6};
    cw_event_t         event;

    if (!excludes_run(request)) {
        cw_request_fail_unknown(request, "the tenant's rate");
        return;
    }
    cw_metric_add(CW_METRIC_REFUSED_TENANT, 1);
    cw_metric_add(CW_METRIC_REFUSED_LIMIT, 1);
    cw_tenant_metric_add(CW_TENANT_REFUSED_LIMIT, tenant->name, 1);
    if (begin_request_event(&event, request, CW_EVENT_REQUEST_REFUSED, outbound.status)) {
        cw_event_text(&event, CW_FIELD_REASON, "the tenant's rate");
        cw_event_ms(&event, CW_FIELD_RETRY_AFTER_MS, retry_after);
        cw_event_text(&event, CW_FIELD_LIMIT_MODE, modes[cw_quota_share_mode(share, request->tenant_hash)]);
        cw_event_ms(&event, CW_FIELD_LIMIT_AGE_MS, cw_quota_share_message_age(share, request->tenant_hash, now));
        add_decision_inputs(&event, request);
        cw_event_end(&event);
    }
    answer_and_end(request, &outbound, CW_DELEGATION_REFUSED);
}

void cw_request_refuse_revoked(cw_request_t *request)
{
    cw_http_outbound_t outbound = {
        .status = STATUS_UNAUTHORIZED, .fields = &request->engine->challenge, .retry_after_s = -1};
    cw_event_t event;

    cw_metric_add(CW_METRIC_REJECTED_REVOKED, 1);
    if (begin_request_event(&event, request, CW_EVENT_REQUEST_REFUSED, outbound.status)) {
        cw_event_text(&event, CW_FIELD_REASON, "the caller's key was taken away while the request waited");
        add_decision_inputs(&event, request);
        cw_event_end(&event);
    }
    answer_and_end(request, &outbound, CW_DELEGATION_REFUSED);
}

/* Adds the evidence of the list by which the request was last sent, as it was then. */
static void add_list_evidence(cw_event_t *event, const cw_request_t *request)
{
    const cw_list_evidence_t *evidence = &request->sent_by;
    char                      from[INET_ADDRSTRLEN] = "";

    if (evidence->source == CW_LIST_SOURCE_NONE) {
        return;
    }
    cw_event_ms(event, CW_FIELD_LIST_AGE_MS, request->sent_at - evidence->valid_at);
    cw_event_text(event, CW_FIELD_LIST_SOURCE, cw_list_source_name(evidence->source));
    if (evidence->from != 0) {
        (void)inet_ntop(AF_INET, &evidence->from, from, sizeof(from)); /* fails only for a buffer that is too short */
        cw_event_text(event, CW_FIELD_LIST_FROM, from);
    }
}

/* Adds how long the server is still sent to although it leaves, since it owns the request's key. */
static void add_leaving(cw_event_t *event, const cw_request_t *request)
{
    const cw_server_t *server = request->server;

    if (server != NULL && server->leaving_owner_until > request->sent_at) {
        cw_event_ms(event, CW_FIELD_LEAVING_LEFT_MS, server->leaving_owner_until - request->sent_at);
    }
}

/* ---- failures ---- */

static void fail(cw_request_t *request, int status, const char *reason, cw_metric_t metric)
{
    cw_http_outbound_t outbound = {.status = status, .retry_after_s = -1};
    cw_event_t         event;

    cw_metric_add(request->delegation.origin == NULL ? metric : CW_METRIC_DELEGATED_FAILED, 1);
    if (begin_request_event(&event, request, CW_EVENT_REQUEST_FAILED, status)) {
        cw_event_text(&event, CW_FIELD_REASON, reason);
        cw_event_text(&event, CW_FIELD_DETAIL, request->server == NULL ? request->avoided_server : request->server->id);
        add_decision_inputs(&event, request);
        add_list_evidence(&event, request);
        cw_event_end(&event);
    }
    answer_and_end(request, &outbound, CW_DELEGATION_FAILED);
}

void cw_request_fail_unknown(cw_request_t *request, const char *failure)
{
    fail(request, STATUS_BAD_GATEWAY, failure, CW_METRIC_FAILED_UNKNOWN);
}

void cw_request_fail_late(cw_request_t *request)
{
    if (request->server != NULL) {
        cw_request_record_silence(request);
        cw_server_pool_record_slow(request->server, cw_engine_now(request->engine) - request->sent_at,
                                   request->route_state->mean_time, cw_engine_now(request->engine));
    }
    fail(request, STATUS_GATEWAY_TIMEOUT, "time limit", CW_METRIC_FAILED_LATE);
}

/* ---- relayed answers ---- */

static void log_served(const cw_request_t *request, int status, const char *server)
{
    cw_event_t event;

    if (!begin_request_event(&event, request, CW_EVENT_REQUEST_SERVED, status)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_SERVICE, request->service->name);
    if (request->is_keyed) {
        cw_event_number(&event, CW_FIELD_KEY, request->key);
    }
    cw_event_ms(&event, CW_FIELD_AIM_MS, request->objective_at - request->arrived);
    cw_event_text(&event, CW_FIELD_SERVER, server);
    cw_event_ms(&event, CW_FIELD_SERVER_MS, cw_engine_now(request->engine) - request->sent_at);
    cw_event_number(&event, CW_FIELD_CONFIGURATION, (int64_t)request->configuration->version);
    add_list_evidence(&event, request);
    add_leaving(&event, request);
    cw_event_end(&event);
}

void cw_request_relay(cw_request_t *request, const cw_upstream_answer_t *answer)
{
    cw_http_outbound_t outbound = {
        .status = answer->status, .body = answer->body, .body_length = answer->body_length, .retry_after_s = -1};
    cw_http_fields_t kept;

    if (!cw_answer_may_be_relayed(request->route->repeatable, answer->status)) {
        cw_request_fail_unknown(request, "the server refused without saying that it did not run");
        return;
    }
    cw_metric_add(request->delegation.origin == NULL ? CW_METRIC_SERVED : CW_METRIC_DELEGATED_SERVED, 1);
    cw_request_spend_token(request);
    log_served(request, answer->status, request->server->id);
    kept = cw_http_fields_without(answer->fields, cw_delegation_outcome_field);
    outbound.fields = &kept;
    answer_and_end(request, &outbound, CW_DELEGATION_ANSWERED);
    free(kept.items);
}

/* ---- answers of other nodes ---- */

void cw_request_refuse_as_delegate(cw_request_t *request, const char *retry_after)
{
    double             wait_s = retry_after == NULL ? (double)retry_after_unknown / 1e6 : strtod(retry_after, NULL);
    cw_http_outbound_t outbound = {.status = STATUS_UNAVAILABLE, .retry_after_s = wait_s};
    cw_event_t         event;

    if (!excludes_run(request)) {
        cw_request_fail_unknown(request, "the node that took it refused it");
        return;
    }
    cw_metric_add(CW_METRIC_DELEGATIONS_REFUSED, 1);
    if (begin_request_event(&event, request, CW_EVENT_REQUEST_REFUSED, outbound.status)) {
        cw_event_text(&event, CW_FIELD_REASON, "the node that took it refused it");
        cw_event_ms(&event, CW_FIELD_RETRY_AFTER_MS, (cw_time_us_t)(wait_s * 1e6));
        add_decision_inputs(&event, request);
        cw_event_end(&event);
    }
    answer_and_end(request, &outbound, CW_DELEGATION_REFUSED);
}

void cw_request_relay_delegated(cw_request_t *request, const cw_upstream_answer_t *answer,
                                const cw_http_fields_t *fields, const char *server)
{
    cw_http_outbound_t outbound = {.status = answer->status,
                                   .fields = fields,
                                   .body = answer->body,
                                   .body_length = answer->body_length,
                                   .retry_after_s = -1};

    if (!cw_answer_may_be_relayed(request->route->repeatable, answer->status)) {
        cw_request_fail_unknown(request, "the server refused without saying that it did not run");
        return;
    }
    cw_metric_add(CW_METRIC_SERVED, 1);
    cw_request_spend_token(request);
    log_served(request, answer->status, server);
    answer_and_end(request, &outbound, CW_DELEGATION_ANSWERED);
}
