/**
 * @file engine_attempt.c
 * @brief One attempt: sends a request to a server.
 */
#include <string.h>
#include <strings.h>

#include "base/byte_buffer.h"
#include "base/metrics.h"
#include "base/text.h"
#include "model/server_incarnation.h"
#include "net/http_hop_names.h"
#include "proxy/engine_internal.h"
#include "proxy/request_rules.h"

enum { REPEAT_MIN_MS = 150 };

/* ---- the request as it is sent to the server ---- */

static bool is_replaced(const cw_request_t *request, const char *name)
{
    const cw_header_names_t *names = &request->engine->settings.names;

    return strcasecmp(name, names->deadline) == 0 || strcasecmp(name, names->target) == 0 ||
           cw_http_name_is_equivalent(name, cw_delegation_field) || cw_request_hides_field(request, name);
}

static bool has_length(const cw_request_t *request)
{
    return request->body_length > 0 || strcmp(request->method, "POST") == 0 || strcmp(request->method, "PUT") == 0 ||
           strcmp(request->method, "PATCH") == 0;
}

void cw_request_write_head(const cw_request_t *request, cw_bytes_t *out)
{
    cw_http_hop_names_t hop_names = cw_http_hop_names_of(request->fields);
    size_t              index;

    cw_bytes_append_text(out, request->method);
    cw_bytes_append(out, " ", 1);
    cw_bytes_append_text(out, request->target);
    cw_bytes_append_text(out, " HTTP/1.1\r\n");
    for (index = 0; index < request->fields->count; index++) {
        const cw_http_field_t *field = &request->fields->items[index];

        if (cw_http_hop_names_have(&hop_names, field->name) || is_replaced(request, field->name)) {
            continue;
        }
        cw_bytes_append_text(out, field->name);
        cw_bytes_append(out, ": ", 2);
        cw_bytes_append_text(out, field->value == NULL ? "" : field->value);
        cw_bytes_append(out, "\r\n", 2);
    }
    cw_http_hop_names_clear(&hop_names);
    if (has_length(request)) {
        cw_bytes_append_format(out, "Content-Length: %zu\r\n", request->body_length);
    }
}

cw_upstream_request_t cw_request_call_with(const cw_request_t *request, const cw_bytes_t *head)
{
    const cw_engine_settings_t *settings = &request->engine->settings;

    return (cw_upstream_request_t){
        .bytes = head->data,
        .length = head->length,
        .body = request->body, /* sent from the buffer it was read into: one copy in memory for all attempts */
        .body_length = request->body_length,
        .is_head = strcmp(request->method, "HEAD") == 0,
        .connect_timeout = settings->connect_timeout,
        .may_be_sent = cw_request_may_be_written,
        .answer_max = settings->answer_max,
        .match_name = request->id == NULL ? NULL : settings->names.request_id,
        .match_value = request->id};
}

/* Writes the request line and the header; the body is sent separately. */
static void write_request(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now, cw_bytes_t *out)
{
    const cw_header_names_t *names = &request->engine->settings.names;

    cw_request_write_head(request, out);
    if (names->tenant != NULL && request->caller.tenant != NULL) {
        cw_bytes_append_format(out, "%s: %s\r\n", names->tenant, request->caller.tenant->name);
    }
    cw_bytes_append_format(out, "%s: %lld\r\n%s: %.*s\r\n\r\n", names->deadline,
                           (long long)((request->deadline - now) / 1000 > 0 ? (request->deadline - now) / 1000 : 1),
                           names->target, (int)cw_server_id_name_length(server->id), server->id);
}

/* ---- sending ---- */

/* A request that may not be repeated waits on; its silence is evidence of lost paths all the same. */
static void set_times_of_silence(cw_request_t *request, cw_time_us_t now)
{
    double expected = (double)request->route_state->mean_time * (request->server->pace > 1 ? request->server->pace : 1);
    cw_time_us_t delay = (cw_time_us_t)(expected * request->engine->settings.repeat_factor);
    cw_time_us_t due = now + (delay < CW_MS(REPEAT_MIN_MS) ? CW_MS(REPEAT_MIN_MS) : delay);

    request->repeat_at = request->route->repeatable ? due : CW_NEVER;
    request->silent_at = request->route->repeatable ? CW_NEVER : due;
}

static void count_sending(const cw_server_t *server, cw_time_us_t now)
{
    cw_metric_add(CW_METRIC_SENT, 1);
    cw_metric_add(CW_METRIC_SENT_LIMITED, cw_server_is_limited(server, now) ? 1 : 0);
    cw_metric_add(CW_METRIC_SENT_LEAVING, server->announced_leaving ? 1 : 0);
    cw_metric_add(CW_METRIC_SENT_RESTING, cw_server_rests(server, now) ? 1 : 0);
}

/* Records on which knowledge of the servers the request is sent. */
static void record_list_evidence(cw_request_t *request, cw_time_us_t now)
{
    const cw_list_evidence_t *evidence = request->engine->list_evidence;

    if (evidence != NULL) {
        request->sent_by = *evidence;
    }
    if (evidence != NULL && evidence->valid_at != 0) {
        cw_histogram_add(CW_HISTOGRAM_LIST_AGE, request->route->name, now - evidence->valid_at);
    }
}

void cw_request_send(cw_request_t *request, cw_server_t *server)
{
    cw_engine_t          *engine = request->engine;
    cw_time_us_t          now = cw_engine_now(engine);
    cw_bytes_t            bytes = {0};
    cw_upstream_request_t sending;

    if (!cw_request_is_wanted(request, now)) {
        cw_request_end_unwanted(request, now);
        return;
    }
    cw_request_take_turn(request);
    if (server->connections == NULL) {
        server->connections = cw_upstream_target_create(engine->upstream, server->address);
    }
    if (server->connections == NULL) {
        cw_request_refuse(request, CW_REFUSED_SERVERS);
        return;
    }
    write_request(request, server, now, &bytes);
    sending = cw_request_call_with(request, &bytes);
    sending.is_match_required = true;
    sending.may_be_kept = cw_request_may_keep_connection;
    request->server = server;
    request->sent_at = now;
    if (request->first_sent_at == 0) {
        request->first_sent_at = now;
        cw_histogram_add(CW_HISTOGRAM_QUEUE, request->route->name, now - request->arrived);
    }
    request->attempts++;
    cw_server_pool_begin_request(server, now);
    engine->changed = true;
    count_sending(server, now);
    record_list_evidence(request, now);
    request->call = cw_upstream_call(server->connections, &sending, engine->on_answer, request);
    cw_bytes_clear(&bytes);
    set_times_of_silence(request, now);
    cw_request_arm(request);
}

void cw_request_leave_server(cw_request_t *request)
{
    cw_server_t *server = request->server;

    request->call = NULL;
    request->server = NULL;
    request->repeat_at = CW_NEVER;
    request->engine->changed = true;
    cw_text_copy(request->avoided_server, sizeof(request->avoided_server), server->id);
    cw_request_return_slot(request);
    cw_server_pool_end_request(request->engine->pool, server);
    cw_engine_wake(request->engine);
}

void cw_request_abandon(cw_request_t *request)
{
    if (request->call == NULL) {
        return;
    }
    if (request->delegation.delegate != NULL) {
        cw_request_abandon_delegate(request);
        return;
    }
    cw_request_record_evidence(request, cw_run_evidence_without_answer(cw_upstream_call_sent(request->call)));
    cw_upstream_call_abandon(request->call);
    cw_request_leave_server(request);
}
