/**
 * @file engine_wanted.c
 * @brief Whether a request is still wanted: its caller is connected, and time is left. Checked before each sending.
 *
 * A caller's close and the end of a request's time are normally noticed by reading the socket and by a timer. After a
 * stall of the loop (base/loop_stall.h) neither has happened when requests are sent: timers, replies of brokers and the
 * request's own bytes may be handled first. So the caller's socket and the clock are asked again at the two places
 * where a request leaves this node: cw_request_send, and the first write on a new connection. While the connection was
 * made, the server may also have begun to leave, or the list of servers have become too old.
 */
#include "base/event_log.h"
#include "base/loop_stall.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"
#include "proxy/request_rules.h"

bool cw_request_is_wanted(const cw_request_t *request, cw_time_us_t now)
{
    return now < request->deadline && !cw_http_exchange_is_caller_gone(request->exchange);
}

static bool may_use_server(const cw_request_t *request, cw_time_us_t now)
{
    if (request->delegation.delegate != NULL) { /* another node, which goes by its own list */
        return true;
    }
    return cw_engine_list_is_usable(request->engine, now) && cw_server_accepts(request->server, request->is_keyed, now);
}

bool cw_request_may_be_written(void *context)
{
    const cw_request_t *request = context;
    cw_time_us_t        now = cw_engine_now(request->engine);
    cw_time_us_t        took = now - request->sent_at;

    /* The request states how much time was left when the connection was begun. */
    return took <= request->engine->settings.connect_timeout + CW_MS(CW_LOOP_STALL_MS) &&
           may_use_server(request, now) && cw_request_is_wanted(request, now);
}

void cw_request_end_at_deadline(cw_request_t *request)
{
    if (cw_final_of(request->may_have_run, request->call != NULL, true) == CW_FINAL_LATE) {
        cw_request_fail_late(request);
    } else {
        cw_request_refuse(request, CW_REFUSED_LOAD);
    }
}

void cw_request_end_caller_gone(cw_request_t *request)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_CALLERS_LEFT, 1);
    if (cw_event_begin(&event, CW_EVENT_REQUEST_GONE)) {
        cw_event_text(&event, CW_FIELD_REQUEST, request->id);
        cw_event_text(&event, CW_FIELD_SERVER, request->server == NULL ? NULL : request->server->id);
        cw_event_ms(&event, CW_FIELD_TOTAL_MS, cw_engine_now(request->engine) - request->arrived);
        cw_event_end(&event);
    }
    cw_request_end(request);
}

void cw_request_end_unwanted(cw_request_t *request, cw_time_us_t now)
{
    if (now >= request->deadline) {
        cw_request_end_at_deadline(request);
    } else {
        cw_request_end_caller_gone(request);
    }
}
