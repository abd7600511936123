/**
 * @file router_stop.c
 * @brief A planned stop.
 *
 * Not ready at once, orders and leadership are handed over, answers go on and end their connections; the process ends
 * when nothing is in flight and the entry has had time to see that it is not ready, and at the latest a little before
 * the grace ends.
 */
#include "router/router_internal.h"

enum {
    STOP_LISTEN_MS = 3600, /* the entry asks each second, and twice */
    STOP_MARGIN_MS = 400,  /* before the grace is over: a busy machine's turn, and the way of the last bytes */
    STOP_ANSWERS_MS = 100  /* before that: the last answers are written */
};

void cw_router_stop(cw_router_t *router)
{
    cw_event_t event;

    if (router->stopping_at != 0) {
        return;
    }
    router->stopping_at = cw_router_now(router);
    router->all_report_due = true;
    if (cw_event_begin(&event, CW_EVENT_STOP)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)cw_engine_requests(router->engine));
        cw_event_end(&event);
    }
    cw_http_listener_end_connections(router->callers);
    router->stop_by = router->stopping_at + router->settings.stop_grace - CW_MS(STOP_MARGIN_MS);
    cw_engine_stop(router->engine, router->stop_by - CW_MS(STOP_ANSWERS_MS));
    cw_leadership_resign(&router->leadership, router->stopping_at);
}

void cw_router_check_stop(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since = now - router->stopping_at;
    bool         over = now >= router->stop_by;

    if (router->stopping_at == 0) {
        return;
    }
    if (since >= CW_MS(STOP_LISTEN_MS)) {
        cw_http_listener_close(router->callers);
    }
    if (over || (since >= CW_MS(STOP_LISTEN_MS) && cw_http_listener_connections(router->callers) == 0)) {
        uv_stop(&router->loop);
    }
}
