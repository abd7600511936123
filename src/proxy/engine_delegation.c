/**
 * @file engine_delegation.c
 * @brief Passes requests to another node while this one reaches no server, or not the server of a key.
 *
 * Rules:
 *  - A request takes at most one other node: what a node took from another one it sends to servers only.
 *  - A node that declines a request, or to which no connection is made, has not taken it; up to DELEGATION_TRIES nodes
 *    are tried. After a node has taken it, the request ends with what that node says of it.
 *  - A request that may have run is passed on only if its route is repeatable, and costs the retry budget as at a
 *    server.
 *  - The other node gets the time that is left, the tenant and the attempts so far. Tokens, the tenant's limits and
 *    samples of keys are counted here, requests of the retry budget there.
 *  - If the caller leaves, the connection to the other node ends, and with it the request there.
 */
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "proxy/engine_internal.h"

enum { DELEGATION_TRIES = 3, STATUS_GATEWAY_TIMEOUT = 504 };

void cw_engine_set_delegation(cw_engine_t *engine, const cw_delegation_port_t *port)
{
    engine->delegation = *port;
}

bool cw_engine_delegates(const cw_engine_t *engine)
{
    return engine->delegation.choose != NULL;
}

/* ---- sending ---- */

static bool may_be_delegated(const cw_request_t *request)
{
    return cw_engine_delegates(request->engine) && request->delegation.origin == NULL &&
           request->delegation.tries < DELEGATION_TRIES && (!request->may_have_run || request->route->repeatable);
}

static void write_request(const cw_request_t *request, const cw_delegate_t *delegate, cw_time_us_t now,
                          cw_bytes_t *bytes)
{
    cw_delegated_request_t stated = {.receiver = delegate->incarnation,
                                     .origin = (char *)request->engine->delegation.node,
                                     .route = request->route->name,
                                     .service = request->service->name,
                                     .tenant = request->caller.tenant == NULL ? NULL : request->caller.tenant->name,
                                     .attempts = request->attempts,
                                     .left = request->deadline - now,
                                     .objective_left = request->objective_at - now};

    cw_request_write_head(request, bytes);
    cw_bytes_append_format(bytes, "%s: ", cw_delegation_field);
    cw_delegated_request_write(&stated, bytes);
    cw_bytes_append_text(bytes, "\r\n\r\n");
}

static void log_delegated(const cw_request_t *request)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_REQUEST_DELEGATED)) {
        cw_event_text(&event, CW_FIELD_REQUEST, request->id);
        cw_event_text(&event, CW_FIELD_ROUTE, request->route->name);
        cw_event_text(&event, CW_FIELD_BY_NODE, request->delegation.last);
        cw_event_ms(&event, CW_FIELD_LEFT_MS, request->deadline - cw_engine_now(request->engine));
        cw_event_end(&event);
    }
}

static void send_to(cw_request_t *request, cw_delegate_t *delegate, cw_time_us_t now)
{
    cw_engine_t          *engine = request->engine;
    cw_bytes_t            bytes = {0};
    cw_upstream_request_t sending;

    write_request(request, delegate, now, &bytes);
    sending = cw_request_call_with(request, &bytes);
    request->delegation.delegate = delegate;
    request->delegation.address = delegate->address;
    request->delegation.tries++;
    cw_text_copy(request->delegation.last, sizeof(request->delegation.last), delegate->node);
    request->sent_at = now;
    request->repeat_at = CW_NEVER; /* the other node repeats it if necessary */
    request->silent_at = CW_NEVER;
    delegate->in_flight++;
    cw_metric_add(CW_METRIC_DELEGATIONS, 1);
    cw_shared_budget_withdraw_request(&request->service->budget, &engine->settings.budget, now);
    log_delegated(request);
    request->call = cw_upstream_call(delegate->connections, &sending, engine->on_delegated, request);
    cw_bytes_clear(&bytes);
    cw_request_arm(request);
}

bool cw_request_delegate(cw_request_t *request, cw_time_us_t now)
{
    const cw_delegation_port_t *port = &request->engine->delegation;
    cw_delegate_t              *delegate = NULL;

    if (may_be_delegated(request)) {
        delegate = port->choose(port->context, request->service->hash, request->delegation.address);
    }
    if (delegate == NULL) {
        return false;
    }
    if (!cw_request_is_wanted(request, now)) {
        cw_request_end_unwanted(request, now);
        return true;
    }
    cw_request_take_turn(request);
    send_to(request, delegate, now);
    return true;
}

/* ---- the end of a call ---- */

static cw_delegate_t *leave_delegate(cw_request_t *request)
{
    cw_delegate_t *delegate = request->delegation.delegate;

    request->call = NULL;
    request->delegation.delegate = NULL;
    delegate->in_flight--;
    return delegate;
}

void cw_request_abandon_delegate(cw_request_t *request)
{
    cw_request_record_evidence(request, cw_run_evidence_without_answer(cw_upstream_call_sent(request->call)));
    cw_upstream_call_abandon(request->call);
    (void)leave_delegate(request);
}

static void log_declined(const cw_request_t *request, const char *reason)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_DELEGATIONS_DECLINED, 1);
    if (cw_event_begin(&event, CW_EVENT_DELEGATION_DECLINED)) {
        cw_event_text(&event, CW_FIELD_REQUEST, request->id);
        cw_event_text(&event, CW_FIELD_BY_NODE, request->delegation.last);
        cw_event_text(&event, CW_FIELD_REASON, reason);
        cw_event_end(&event);
    }
}

/* The request is here again, as if it had not been passed on. */
static void take_back(cw_request_t *request)
{
    request->delegation.last[0] = '\0';
    cw_shared_budget_record_request(&request->service->budget, &request->engine->settings.budget,
                                    cw_engine_now(request->engine));
    cw_request_send_again(request, 0);
}

static void handle_untaken(cw_request_t *request, cw_delegate_t *delegate, const char *reason)
{
    const cw_delegation_port_t *port = &request->engine->delegation;

    log_declined(request, reason);
    port->failed(port->context, delegate);
    take_back(request);
}

static void handle_withdrawn(cw_request_t *request)
{
    cw_time_us_t now = cw_engine_now(request->engine);

    if (!cw_request_is_wanted(request, now)) {
        cw_request_end_unwanted(request, now);
        return;
    }
    take_back(request);
}

/* Relays the answer without the field that the other node has added for this one. */
static void relay(cw_request_t *request, const cw_upstream_answer_t *answer, const char *server)
{
    cw_http_fields_t kept = cw_http_fields_without(answer->fields, cw_delegation_outcome_field);

    cw_request_relay_delegated(request, answer, &kept, server);
    free(kept.items);
}

/* Nodes of earlier releases pass on answers that are not shown to be a server's own. */
static void handle_relayed(cw_request_t *request, const cw_upstream_answer_t *answer, const char *server)
{
    if (cw_run_evidence_is_servers_own(request->evidence)) {
        relay(request, answer, server);
    } else {
        cw_request_fail_unknown(request, cw_run_evidence_text(request->evidence));
    }
}

static void handle_failed(cw_request_t *request, int status)
{
    if (status == STATUS_GATEWAY_TIMEOUT) {
        cw_request_fail_late(request);
    } else {
        cw_request_fail_unknown(request, "the node that took it got no whole answer");
    }
}

static void handle_answer(cw_request_t *request, cw_delegate_t *delegate, const cw_upstream_answer_t *answer)
{
    /* The other node's own field is the last one: those before it are the server's. */
    const char             *stated = cw_http_fields_find_last(answer->fields, cw_delegation_outcome_field);
    const char             *server;
    cw_delegation_outcome_t outcome = cw_delegation_outcome_read(stated, &server);

    cw_request_record_evidence(request, outcome == CW_DELEGATION_ANSWERED
                                            ? cw_request_evidence_of_relayed(request, answer)
                                            : cw_run_evidence_of_node(outcome));
    switch (outcome) {
    case CW_DELEGATION_ANSWERED:
        handle_relayed(request, answer, server);
        break;
    case CW_DELEGATION_REFUSED:
        cw_request_refuse_as_delegate(request, cw_http_fields_find(answer->fields, "retry-after"));
        break;
    case CW_DELEGATION_DECLINED:
        handle_untaken(request, delegate, "it does not take requests now");
        break;
    case CW_DELEGATION_FAILED:
        handle_failed(request, answer->status);
        break;
    }
}

void cw_request_delegated(void *context, const cw_upstream_answer_t *answer)
{
    cw_request_t  *request = context;
    cw_delegate_t *delegate = leave_delegate(request);

    request->connection = answer->connection;
    switch (answer->result) {
    case CW_UPSTREAM_ANSWERED:
        handle_answer(request, delegate, answer);
        break;
    case CW_UPSTREAM_WITHDRAWN:
        cw_request_record_evidence(request, CW_RUN_NOT_SENT);
        handle_withdrawn(request);
        break;
    case CW_UPSTREAM_NOT_SENT:
        cw_request_record_evidence(request, CW_RUN_NOT_SENT);
        handle_untaken(request, delegate, answer->failure);
        break;
    case CW_UPSTREAM_BROKEN:
    case CW_UPSTREAM_TIMED_OUT:
        cw_request_record_evidence(request, CW_RUN_UNANSWERED);
        cw_request_fail_unknown(request, "the node that took it did not answer");
        break;
    }
}
