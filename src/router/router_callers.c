/**
 * @file router_callers.c
 * @brief The listener for callers: its limits, and how it passes requests to the engine.
 */
#include "base/fatal_signal.h"
#include "router/router_internal.h"

enum {
    /* Limits until a configuration is known. No request body counts as too long until then: it is read, and the request
     * is answered 503. */
    INITIAL_HEADER_BYTES = 16 * 1024,
    INITIAL_BODY_BYTES = 16 * 1024 * 1024,
    INITIAL_TIMEOUT_S = 60
};

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_router_t *router = context;

    cw_fatal_signal_set_request(cw_http_fields_find(inbound->fields, router->adapter->header_names->request_id));
    cw_engine_request(router->engine, exchange, inbound);
    cw_fatal_signal_set_request(NULL);
}

static void on_gone(void *context, cw_http_exchange_t *exchange)
{
    cw_router_t *router = context;

    cw_engine_caller_disconnected(router->engine, exchange);
}

static bool rejects_head(void *context, const cw_http_inbound_t *head)
{
    const cw_router_t *router = context;

    return cw_engine_rejects_head(router->engine, head);
}

int cw_router_callers_start(cw_router_t *router)
{
    const cw_router_settings_t *settings = &router->settings;
    cw_http_limits_t            limits = {.header_bytes = INITIAL_HEADER_BYTES,
                                          .body_bytes = INITIAL_BODY_BYTES,
                                          .header_timeout = CW_SECONDS(INITIAL_TIMEOUT_S),
                                          .idle_timeout = CW_SECONDS(INITIAL_TIMEOUT_S)};
    cw_http_listener_options_t  options = {
         .pipeline = {.depth = settings->pipeline_depth, .bytes = settings->pipeline_bytes},
         .body_bytes_max = settings->body_bytes_most,
         .body_wait = settings->body_wait,
         .request_id_name = router->adapter->header_names->request_id};
    cw_http_listener_handler_t handler = {router, on_request, on_gone};
    int                        error;

    error = cw_http_listener_create(&router->callers, &router->loop, settings->callers.address, settings->callers.port,
                                    &limits, &handler);
    cw_http_listener_set_options(router->callers, &options);
    cw_http_listener_set_reject_callback(router->callers, rejects_head);
    return error;
}
