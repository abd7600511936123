/**
 * @file engine_signals.c
 * @brief Records and logs the signals in servers' answers: rate limits, leaving, rest and load.
 */
#include "base/event_log.h"
#include "base/loop_clock.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

static void log_malformed(const cw_server_t *server, const cw_server_signals_t *signals)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_SIGNALS_MALFORMED, 1);
    if (cw_event_begin(&event, CW_EVENT_SERVER_SIGNAL_MALFORMED)) {
        cw_event_text(&event, CW_FIELD_SERVER, server->id);
        cw_event_text(&event, CW_FIELD_SERVICE, server->service);
        cw_event_text(&event, CW_FIELD_REASON, signals->malformed_name);
        cw_event_text(&event, CW_FIELD_DETAIL, signals->malformed_value);
        cw_event_end(&event);
    }
}

/* ---- rate limits ---- */

/* Logs a change of the limit. request: id of the request whose answer changed it; NULL: another node reported it. */
static void record_limit_change(cw_server_t *server, cw_limit_change_t change, const char *request)
{
    static const char *const names[] = {"unchanged", "begun", "changed", "ended"};
    cw_event_t               event;

    if (change == CW_LIMIT_UNCHANGED) {
        return;
    }
    server->limit_allows_at = 0; /* earlier refusals were due to the previous limit */
    cw_metric_add(CW_METRIC_SERVER_LIMIT_CHANGES, 1);
    if (cw_event_begin(&event, CW_EVENT_SERVER_LIMIT)) {
        cw_event_text(&event, CW_FIELD_SERVER, server->id);
        cw_event_text(&event, CW_FIELD_SERVICE, server->service);
        cw_event_text(&event, CW_FIELD_DETAIL, names[change]);
        cw_event_real(&event, CW_FIELD_LIMIT_PER_S, server->limit.per_s);
        cw_event_text(&event, CW_FIELD_REQUEST, request);
        cw_event_end(&event);
    }
}

static void record_limit(cw_engine_t *engine, cw_server_t *server, const cw_server_signals_t *signals,
                         const char *request, cw_time_us_t now)
{
    cw_limit_change_t change = CW_LIMIT_UNCHANGED;

    if (signals->has_limit) {
        change = cw_server_limit_record_named(&server->limit, signals->limit_per_s, now, now);
    } else if (signals->has_run) {
        change = cw_server_limit_record_unnamed(&server->limit, now);
    }
    record_limit_change(server, change, request);
    if (engine->signal_port.on_limit_named != NULL && (signals->has_limit || change != CW_LIMIT_UNCHANGED)) {
        engine->signal_port.on_limit_named(engine->signal_port.context, server, change);
    }
}

void cw_engine_apply_reported_limit(cw_engine_t *engine, cw_server_t *server, double per_s, cw_time_us_t made_at)
{
    cw_time_us_t      now = cw_engine_now(engine);
    cw_limit_change_t change = per_s < 0 ? cw_server_limit_record_ended(&server->limit, made_at, now)
                                         : cw_server_limit_record_named(&server->limit, per_s, made_at, now);

    record_limit_change(server, change, NULL);
    if (change != CW_LIMIT_UNCHANGED) {
        cw_engine_wake(engine);
    }
}

/* ---- leaving and rest ---- */

/* Time until which an owner of keys that has just announced its leave gets requests for them. It may have left at any
 * time since the list was last valid. */
static cw_time_us_t owner_until(const cw_engine_t *engine, cw_time_us_t now)
{
    cw_time_us_t by_announcement = now + engine->settings.leave_grace;
    cw_time_us_t by_list;

    if (engine->list_evidence == NULL || !engine->is_bound_to_list) {
        return by_announcement;
    }
    by_list = engine->list_evidence->valid_at + engine->settings.list_usable;
    return by_list < by_announcement ? by_list : by_announcement;
}

/* Records and logs that a server leaves. request: id of the request whose answer announced that; NULL: another node
 * reported it. Returns false if the leaving was known already. */
static bool record_leaving(cw_engine_t *engine, uint32_t hash, const char *request)
{
    const cw_server_t *server = cw_server_pool_find_hash(engine->pool, hash);
    cw_time_us_t       now = cw_engine_now(engine);
    cw_event_t         event;

    if (!cw_server_pool_record_leaving(engine->pool, hash, owner_until(engine, now), now)) {
        return false;
    }
    cw_engine_wake(engine); /* requests may be waiting for this server */
    cw_metric_add(CW_METRIC_SERVERS_LEAVING, 1);
    if (cw_event_begin(&event, CW_EVENT_SERVER_LEAVING)) {
        cw_event_text(&event, CW_FIELD_SERVER, server == NULL ? NULL : server->id);
        cw_event_text(&event, CW_FIELD_SERVICE, server == NULL ? NULL : server->service);
        cw_event_text(&event, CW_FIELD_REQUEST, request);
        cw_event_end(&event);
    }
    return true;
}

void cw_engine_apply_reported_leave(cw_engine_t *engine, uint32_t server)
{
    (void)record_leaving(engine, server, NULL);
}

/* End of a rest that an answer asks for. The server counts it from its answer, which has arrived after the loop's turn
 * began. */
static cw_time_us_t rest_end(const cw_engine_t *engine, cw_time_us_t rest)
{
    return cw_loop_read(engine->loop) + rest;
}

/* Further answers extend the rest: the server counts the time of each answer separately. */
static void record_rest(cw_engine_t *engine, cw_server_t *server, const cw_server_signals_t *signals,
                        const char *request, cw_time_us_t now)
{
    cw_event_t   event;
    bool         is_new = now >= server->rest_until;
    cw_time_us_t end = rest_end(engine, signals->rest);

    if (end > server->rest_until) {
        server->rest_until = end;
    }
    if (!is_new) {
        return;
    }
    cw_engine_wake(engine); /* requests may be waiting for this server */
    cw_metric_add(CW_METRIC_SERVER_RESTS, 1);
    if (cw_event_begin(&event, CW_EVENT_SERVER_RESTS)) {
        cw_event_text(&event, CW_FIELD_SERVER, server->id);
        cw_event_text(&event, CW_FIELD_SERVICE, server->service);
        cw_event_ms(&event, CW_FIELD_RETRY_AFTER_MS, signals->rest);
        cw_event_text(&event, CW_FIELD_REQUEST, request);
        cw_event_end(&event);
    }
}

/* ---- all signals ---- */

void cw_engine_set_signal_port(cw_engine_t *engine, const cw_signal_port_t *port)
{
    engine->signal_port = *port;
}

void cw_engine_apply_signals(cw_engine_t *engine, cw_server_t *server, const cw_server_signals_t *signals,
                             const char *request)
{
    if (signals->is_leaving && record_leaving(engine, server->hash, request) &&
        engine->signal_port.on_leaving_announced != NULL) {
        engine->signal_port.on_leaving_announced(engine->signal_port.context, server);
    }
    record_limit(engine, server, signals, request, cw_engine_now(engine));
}

void cw_request_apply_signals(cw_request_t *request, cw_server_t *server, const cw_upstream_answer_t *answer,
                              cw_time_us_t now)
{
    cw_engine_t         *engine = request->engine;
    cw_server_signals_t *signals = &request->claim.signals;

    if (engine->settings.decode_signals == NULL) {
        return;
    }
    engine->settings.decode_signals(answer->status, answer->fields, signals);
    request->claim.has_signals = true;
    if (signals->malformed_name != NULL) {
        log_malformed(server, signals);
        signals->malformed_value = NULL; /* its memory ends with the answer */
    }
    if (signals->has_load) {
        cw_server_pool_record_load(server, &signals->load, now);
    }
    if (signals->has_rest) {
        record_rest(engine, server, signals, request->id, now);
    }
    cw_engine_apply_signals(engine, server, signals, request->id);
}
