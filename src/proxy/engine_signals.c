/**
 * @file engine_signals.c
 * @brief What servers say of themselves with their answers: noted, and told to the log.
 */
#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

static void note_malformed(const cw_server_t *server, const cw_server_signals_t *signals)
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

static void note_limit_change(const cw_request_t *request, const cw_server_t *server, cw_limit_change_t change)
{
    static const char *const names[] = {"unchanged", "begun", "changed", "ended"};
    cw_event_t               event;

    if (change == CW_LIMIT_UNCHANGED) {
        return;
    }
    cw_metric_add(CW_METRIC_SERVER_LIMIT_CHANGES, 1);
    if (cw_event_begin(&event, CW_EVENT_SERVER_LIMIT)) {
        cw_event_text(&event, CW_FIELD_SERVER, server->id);
        cw_event_text(&event, CW_FIELD_SERVICE, server->service);
        cw_event_text(&event, CW_FIELD_DETAIL, names[change]);
        cw_event_real(&event, CW_FIELD_LIMIT_PER_S, server->limit.per_s);
        cw_event_text(&event, CW_FIELD_REQUEST, request->id);
        cw_event_end(&event);
    }
}

static void note_limit(const cw_request_t *request, cw_server_t *server, const cw_server_signals_t *signals,
                       cw_time_us_t now)
{
    cw_limit_change_t change = signals->has_limit
                                   ? cw_server_limit_note_named(&server->limit, signals->limit_per_s, now, now)
                                   : cw_server_limit_note_unnamed(&server->limit, now);

    note_limit_change(request, server, change);
}

void cw_request_note_signals(cw_request_t *request, cw_server_t *server, const cw_http_fields_t *fields,
                             cw_time_us_t now)
{
    cw_server_signals_t signals;

    if (request->engine->settings.decode_signals == NULL) {
        return;
    }
    request->engine->settings.decode_signals(fields, &signals);
    if (signals.malformed_name != NULL) {
        note_malformed(server, &signals);
    }
    if (signals.has_load) {
        request->claim.load = signals.load;
        request->claim.has_load = true;
        cw_server_pool_note_load(server, &signals.load, now);
    }
    note_limit(request, server, &signals, now);
}
