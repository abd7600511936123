/**
 * @file router_stop.c
 * @brief A planned stop.
 *
 * The node reports at once that it is not ready. It hands over leadership, and with it the orders to servers. Requests
 * that have arrived are still answered, and each answer ends its connection. The process ends when no connection is
 * left and the load balancer in front of the nodes has had time to see that the node is not ready, and at the latest a
 * little before the stop grace ends.
 */
#include "router/router_paths.h"

enum {
    STOP_LISTEN_MS = 3600, /* how long the node listens on: the load balancer checks readiness each second, and needs
                              two failed checks */
    STOP_MARGIN_MS = 400,  /* from the process's end to the end of the grace: for delays on a busy machine, and for the
                              last bytes to be delivered */
    STOP_ANSWERS_MS = 100  /* from the last answers to the process's end: they are written meanwhile */
};

void cw_router_stop(cw_router_t *router)
{
    cw_event_t event;

    if (router->stopping_at != 0) {
        return;
    }
    router->stopping_at = cw_router_now(router);
    router->reports.is_all_due = true;
    if (cw_event_begin(&event, CW_EVENT_STOP)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)cw_engine_requests(router->engine));
        cw_event_end(&event);
    }
    cw_http_listener_end_connections(router->callers);
    router->stop_deadline = router->stopping_at + router->settings.stop_grace - CW_MS(STOP_MARGIN_MS);
    cw_engine_stop(router->engine, router->stop_deadline - CW_MS(STOP_ANSWERS_MS));
    cw_leadership_resign(&router->leadership, router->stopping_at);
}

void cw_router_check_stop(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since = now - router->stopping_at;
    bool         is_past_deadline = now >= router->stop_deadline;

    if (router->stopping_at == 0) {
        return;
    }
    if (since >= CW_MS(STOP_LISTEN_MS)) {
        cw_http_listener_close(router->callers);
    }
    if (is_past_deadline || (since >= CW_MS(STOP_LISTEN_MS) && cw_http_listener_connections(router->callers) == 0 &&
                             cw_router_delegation_is_idle(router))) {
        uv_stop(&router->loop);
    }
}
