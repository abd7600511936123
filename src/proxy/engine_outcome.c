/**
 * @file engine_outcome.c
 * @brief Decides, by the outcome of an attempt, whether the answer is relayed, the request repeated or ended.
 */
#include <string.h>

#include "balance/spoiled_answers.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "proxy/engine_internal.h"
#include "proxy/request_rules.h"

enum {
    STATUS_MISDIRECTED = 421,
    PAUSE_MISDIRECTED_MS = 50,
    PAUSE_UNREACHED_MS = 50,
    UNREACHED_AT_ONCE = 2,
    MEAN_WEIGHT_DIVISOR = 24,
    OUTLIER_RATIO_MAX = 10
};

/* ---- repeats ---- */

static void log_retry(const cw_request_t *request, const char *server, const char *reason)
{
    cw_event_t event;

    if (!cw_event_begin(&event, CW_EVENT_REQUEST_RETRIED)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_REQUEST, request->id);
    cw_event_text(&event, CW_FIELD_ROUTE, request->route->name);
    cw_event_text(&event, CW_FIELD_SERVER, server);
    cw_event_text(&event, CW_FIELD_REASON, reason);
    cw_event_text(&event, CW_FIELD_EVIDENCE, cw_run_evidence_text(request->evidence));
    cw_event_number(&event, CW_FIELD_CONNECTION, (int64_t)request->connection);
    cw_event_number(&event, CW_FIELD_ATTEMPT, request->attempts);
    cw_event_ms(&event, CW_FIELD_LEFT_MS, request->deadline - cw_engine_now(request->engine));
    cw_event_real(&event, CW_FIELD_BUDGET,
                  cw_shared_budget_left(&request->service->budget, &request->engine->settings.budget,
                                        request->engine->nodes, cw_engine_now(request->engine)));
    cw_event_end(&event);
}

/* Returns whether another attempt could still be answered in time. */
static bool has_time(const cw_request_t *request, cw_time_us_t now)
{
    return request->deadline - now > request->route_state->mean_time / 3;
}

static cw_outcome_facts_t facts_of(const cw_request_t *request, cw_outcome_t outcome, int status, cw_time_us_t now)
{
    return (cw_outcome_facts_t){.outcome = outcome,
                                .status = status,
                                .is_repeatable = request->route->repeatable,
                                .has_time = has_time(request, now),
                                .attempts = request->attempts,
                                .max_attempts = request->route->max_attempts};
}

/* The next step that the rules and the retry budget allow. A repeat is charged to the budget. */
static cw_next_step_t next_step(cw_request_t *request, cw_outcome_t outcome, int status, cw_time_us_t now)
{
    cw_outcome_facts_t facts = facts_of(request, outcome, status, now);
    cw_next_step_t     step = cw_step_after(&facts);

    if (step != CW_NEXT_REPEAT) {
        return step;
    }
    if (!cw_shared_budget_take(&request->service->budget, &request->engine->settings.budget, request->engine->nodes,
                               now)) {
        cw_metric_add(CW_METRIC_RETRIES_DENIED, 1);
        return cw_step_without_budget(outcome);
    }
    cw_metric_add(CW_METRIC_RETRIES, 1);
    return CW_NEXT_REPEAT;
}

void cw_request_send_again(cw_request_t *request, cw_time_us_t pause)
{
    if (!cw_request_recheck_caller(request)) {
        return;
    }
    request->not_before = pause > 0 ? cw_engine_now(request->engine) + pause : 0;
    cw_request_enqueue(request);
    cw_service_dispatch(request->engine, request->service);
    if (request->is_queued) {
        cw_request_arm(request);
    }
}

void cw_request_repeat_unanswered(cw_request_t *request)
{
    cw_time_us_t now = cw_engine_now(request->engine);
    cw_server_t *server = request->server;

    request->repeat_at = CW_NEVER;
    cw_request_record_silence(request);
    if (!cw_request_is_caller_valid(request) || next_step(request, CW_OUTCOME_UNRESPONSIVE, 0, now) != CW_NEXT_REPEAT) {
        cw_request_arm(request);
        return;
    }
    log_retry(request, server->id, "silence");
    cw_server_pool_record_slow(server, now - request->sent_at, request->route_state->mean_time, now);
    cw_request_abandon(request);
    cw_request_send_again(request, 0);
}

/* ---- lost and recovered servers ---- */

static void log_server(const cw_server_t *server, cw_event_kind_t kind, const char *reason)
{
    cw_event_t event;

    if (cw_event_begin(&event, kind)) {
        cw_event_text(&event, CW_FIELD_SERVER, server->id);
        cw_event_text(&event, CW_FIELD_SERVICE, server->service);
        cw_event_text(&event, CW_FIELD_DETAIL, server->address);
        cw_event_text(&event, CW_FIELD_REASON, reason);
        cw_event_number(&event, CW_FIELD_COUNT, server->faults);
        cw_event_end(&event);
    }
}

/* While this node reaches no server of the service, a failed request says nothing about its server. */
static void record_fault(const cw_engine_t *engine, cw_server_t *server, const char *reason, cw_time_us_t now)
{
    if (cw_engine_has_lost_paths(engine, server->service_hash)) {
        return;
    }
    cw_server_pool_record_fault(server, now);
    if (server->faults == 1) {
        log_server(server, CW_EVENT_SERVER_LOST, reason);
    }
}

/* A broker that granted the slot counts for all nodes; counted here as well, an answer would count twice where this
 * node is the broker. */
static void record_spoiled(cw_request_t *request, cw_server_t *server, cw_time_us_t now)
{
    if (request->claim.state == CW_CLAIM_HELD) {
        request->claim.end = CW_SLOT_SPOILED;
        return;
    }
    if (!cw_engine_has_lost_paths(request->engine, server->service_hash) &&
        cw_server_pool_record_spoiled(request->engine->pool, server, now)) {
        log_server(server, CW_EVENT_SERVER_LOST, "each answer spoiled");
    }
}

/* ---- outcomes ---- */

static void update_means(cw_request_t *request, cw_server_t *server, cw_time_us_t now)
{
    cw_time_us_t took = now - request->sent_at;
    double       normal = (double)took / (server->pace > 0 ? server->pace : 1);
    cw_time_us_t mean_time = request->route_state->mean_time;

    if (server->faults > 0) {
        log_server(server, CW_EVENT_SERVER_BACK, "answered");
    }
    cw_server_pool_record_served(server, took, mean_time, now);
    if (normal > (double)mean_time * OUTLIER_RATIO_MAX) {
        normal = (double)mean_time * OUTLIER_RATIO_MAX;
    }
    request->route_state->mean_time += ((cw_time_us_t)normal - mean_time) / MEAN_WEIGHT_DIVISOR;
    request->service->mean_time += ((cw_time_us_t)normal - request->service->mean_time) / MEAN_WEIGHT_DIVISOR;
}

/* Handles an answer in which the server said that it did not run the request. */
static void handle_not_run(cw_request_t *request, const char *server, int status)
{
    cw_time_us_t now = cw_engine_now(request->engine);
    bool         misdirected = status == STATUS_MISDIRECTED;

    cw_metric_add(CW_METRIC_NOT_RUN, 1);
    if (cw_request_owner_rests(request, now) &&
        !request->may_have_run) { /* no other server can run it, so no retry is charged */
        cw_request_refuse(request, CW_REFUSED_REST);
        return;
    }
    if (next_step(request, CW_OUTCOME_DENIED, status, now) != CW_NEXT_REPEAT) {
        cw_request_refuse(request, misdirected ? CW_REFUSED_OWNER : CW_REFUSED_LOAD);
        return;
    }
    log_retry(request, server, misdirected ? "misdirected" : "not run");
    cw_request_send_again(request, misdirected ? CW_MS(PAUSE_MISDIRECTED_MS) : 0);
}

/* Another server is tried at once, but only one: where connections are refused, all servers would be tried over and
 * over in a moment. */
static cw_time_us_t pause_after_unreached(const cw_request_t *request)
{
    return request->is_keyed || request->unreached >= UNREACHED_AT_ONCE ? CW_MS(PAUSE_UNREACHED_MS) : 0;
}

static void handle_unreached(cw_request_t *request, const char *server, cw_time_us_t now)
{
    cw_metric_add(CW_METRIC_UNREACHED, 1);
    request->attempts--; /* no byte was sent: no server has seen the request */
    if (next_step(request, CW_OUTCOME_UNSENT, 0, now) != CW_NEXT_ELSEWHERE) {
        cw_request_refuse(request, CW_REFUSED_SERVERS);
        return;
    }
    request->unreached++;
    log_retry(request, server, "no connection");
    cw_request_send_again(request, pause_after_unreached(request));
}

/* The request was not written on its new connection, since it is not wanted any more, or the connection took so long
 * that the request states too much time. */
static void handle_withdrawn(cw_request_t *request, cw_time_us_t now)
{
    request->attempts--;
    if (!cw_request_is_wanted(request, now)) {
        cw_request_end_unwanted(request, now);
        return;
    }
    request->avoided_server[0] = '\0'; /* the server has not failed */
    cw_request_send_again(request, 0);
}

static void handle_broken(cw_request_t *request, const char *server, const char *failure, cw_time_us_t now)
{
    cw_metric_add(CW_METRIC_BROKEN, 1);
    if (cw_request_may_repeat_after_crash(request) && next_step(request, CW_OUTCOME_BROKEN, 0, now) == CW_NEXT_REPEAT) {
        log_retry(request, server, failure);
        cw_request_send_again(request, 0);
        return;
    }
    cw_request_fail_unknown(request, failure);
}

static void log_discarded(const cw_request_t *request, const cw_server_t *server, const cw_upstream_answer_t *answer)
{
    cw_event_t event;

    if (answer->discarded == 0) {
        return;
    }
    cw_metric_add(CW_METRIC_ANSWERS_DISCARDED, answer->discarded);
    if (cw_event_begin(&event, CW_EVENT_ANSWER_DISCARDED)) {
        cw_event_text(&event, CW_FIELD_REQUEST, request->id);
        cw_event_text(&event, CW_FIELD_SERVER, server->id);
        cw_event_number(&event, CW_FIELD_CONNECTION, (int64_t)answer->connection);
        cw_event_number(&event, CW_FIELD_COUNT, answer->discarded);
        cw_event_end(&event);
    }
}

static void handle_answer(cw_request_t *request, cw_server_t *server, const cw_upstream_answer_t *answer,
                          cw_time_us_t now)
{
    char id[sizeof(request->avoided_server)];

    cw_text_copy(id, sizeof(id), server->id);
    if (cw_run_evidence_is_servers_own(request->evidence)) {
        cw_request_apply_signals(request, server, answer, now);
    }
    if (answer->status == STATUS_MISDIRECTED && cw_request_names_other_server(request, server, answer)) {
        server->ended = true; /* another incarnation is at its address now */
    }
    switch (cw_outcome_of(request->evidence)) {
    case CW_OUTCOME_DENIED:
        cw_request_leave_server(request);
        handle_not_run(request, id, answer->status);
        return;
    case CW_OUTCOME_BROKEN: /* not the server's own, or a denial that may be about another attempt */
        record_spoiled(request, server, now);
        cw_request_leave_server(request);
        handle_broken(request, id, cw_run_evidence_text(request->evidence), now);
        return;
    case CW_OUTCOME_UNSENT:
    case CW_OUTCOME_UNRESPONSIVE:
    case CW_OUTCOME_ANSWERED:
        break;
    }
    request->claim.end = CW_SLOT_ANSWERED;
    cw_request_spend_token(request); /* the request has run, whatever the status is */
    cw_request_record_server_survived(request, now);
    update_means(request, server, now);
    cw_request_record_answer_bytes(request, answer->body_length);
    cw_histogram_add(CW_HISTOGRAM_SERVER, request->route->name, now - request->sent_at);
    if (next_step(request, CW_OUTCOME_ANSWERED, answer->status, now) == CW_NEXT_REPEAT) {
        cw_request_leave_server(request);
        log_retry(request, id, "server error");
        cw_request_send_again(request, 0);
        return;
    }
    cw_request_relay(request, answer);
}

void cw_request_answered(void *context, const cw_upstream_answer_t *answer)
{
    cw_request_t *request = context;
    cw_server_t  *server = request->server;
    cw_time_us_t  now = cw_engine_now(request->engine);
    char          id[sizeof(request->avoided_server)];

    request->call = NULL;
    request->connection = answer->connection;
    cw_request_record_evidence(request, cw_request_evidence_of(request, server, answer));
    log_discarded(request, server, answer);
    request->unreached = answer->result == CW_UPSTREAM_NOT_SENT ? request->unreached : 0;
    cw_text_copy(id, sizeof(id), server->id);
    cw_request_record_contact(request, answer);
    switch (answer->result) {
    case CW_UPSTREAM_ANSWERED:
        handle_answer(request, server, answer, now);
        break;
    case CW_UPSTREAM_WITHDRAWN:
        cw_request_leave_server(request);
        handle_withdrawn(request, now);
        break;
    case CW_UPSTREAM_NOT_SENT:
        record_fault(request->engine, server, answer->failure, now);
        request->claim.end = CW_SLOT_FAILED;
        cw_request_leave_server(request);
        handle_unreached(request, id, now);
        break;
    case CW_UPSTREAM_BROKEN:
    case CW_UPSTREAM_TIMED_OUT:
        if (!answer->any_byte) {
            record_fault(request->engine, server, answer->failure, now);
            request->claim.end = CW_SLOT_FAILED;
        } else if (answer->spoiled) {
            record_spoiled(request, server, now);
        }
        if (answer->result == CW_UPSTREAM_BROKEN) {
            cw_request_record_server_lost(request, server, now);
        }
        cw_request_leave_server(request);
        handle_broken(request, id, answer->failure, now);
        break;
    }
}
