/**
 * @file router_admin.c
 * @brief Serves the readiness, status and metrics of this node over HTTP.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "router/router_paths.h"
#include "router/router_status.h"

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
    ADMIN_HEADER_BYTES = 16 * 1024,
    ADMIN_IDLE_S = 60
};

bool cw_router_is_ready(const cw_router_t *router, cw_time_us_t now)
{
    return router->stopping_at == 0 && router->configuration != NULL && router->server_view.list != NULL &&
           cw_router_tables_known(router) && cw_router_has_way_to_servers(router, now);
}

static uint64_t resident_bytes(void)
{
    FILE         *file = fopen("/proc/self/statm", "r");
    unsigned long size = 0;
    unsigned long resident = 0;

    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%lu %lu", &size, &resident) != 2) {
        resident = 0;
    }
    fclose(file);
    return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

/* 0: not known. */
static uint64_t list_age_ms(const cw_router_t *router)
{
    cw_time_us_t valid_at = router->server_view.evidence.valid_at;

    return valid_at == 0 ? 0 : (uint64_t)((cw_router_now(router) - valid_at) / 1000);
}

static void answer_metrics(cw_router_t *router, cw_http_exchange_t *exchange)
{
    cw_http_outbound_t outbound = {.status = STATUS_OK, .retry_after_s = -1};
    cw_bytes_t         text = {0};

    cw_metric_set(CW_METRIC_LOG_DROPPED, cw_event_log_dropped());
    cw_metric_set(CW_METRIC_CONNECTIONS, cw_http_listener_connections(router->callers));
    cw_metric_set(CW_METRIC_BODY_BYTES, cw_http_listener_body_bytes(router->callers));
    cw_metric_set(CW_METRIC_ANSWER_BYTES, router->answer_memory.budget.reserved_bytes);
    cw_metric_set(CW_METRIC_QUEUED, cw_engine_queued(router->engine));
    cw_metric_set(CW_METRIC_CONNECTIONS_OPENED, cw_upstream_opened(router->upstream));
    cw_metric_set(CW_METRIC_MEMORY, resident_bytes());
    cw_metric_set(CW_METRIC_LIST_AGE_MS, list_age_ms(router));
    cw_metric_set(CW_METRIC_CONFIGURATION_AGE_MS,
                  (uint64_t)(cw_configuration_freshness_age(&router->freshness, cw_router_now(router)) / 1000));
    cw_metric_set(CW_METRIC_PEERS, cw_peer_link_count_alive(router->link, router->peer_timeout, cw_router_now(router)));
    cw_router_paths_set_metrics(router);
    cw_metrics_append(&text);
    cw_router_traffic_metrics(router, &text);
    outbound.body = text.data;
    outbound.body_length = text.length;
    cw_http_exchange_answer(exchange, &outbound);
    cw_bytes_clear(&text);
}

static void on_admin_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_router_t       *router = context;
    cw_http_outbound_t outbound = {.status = STATUS_NOT_FOUND, .retry_after_s = -1};

    if (strcmp(inbound->target, router->settings.metrics_path) == 0) {
        answer_metrics(router, exchange);
        return;
    }
    if (strcmp(inbound->target, CW_STATUS_PATH) == 0) {
        char *text = cw_router_status(router);

        outbound.status = STATUS_OK;
        outbound.body = text;
        outbound.body_length = strlen(text);
        cw_http_exchange_answer(exchange, &outbound);
        free(text);
        return;
    }
    if (strcmp(inbound->target, router->settings.readiness_path) == 0) {
        outbound.status = cw_router_is_ready(router, cw_router_now(router)) ? STATUS_OK : STATUS_UNAVAILABLE;
        outbound.body = outbound.status == STATUS_OK ? "ready\n" : "not ready\n";
        outbound.body_length = strlen(outbound.body);
    }
    cw_http_exchange_answer(exchange, &outbound);
}

static void on_admin_gone(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
}

int cw_router_admin_start(cw_router_t *router)
{
    cw_http_limits_t           limits = {.header_bytes = ADMIN_HEADER_BYTES,
                                         .body_bytes = ADMIN_HEADER_BYTES,
                                         .header_timeout = CW_SECONDS(ADMIN_IDLE_S),
                                         .idle_timeout = CW_SECONDS(ADMIN_IDLE_S)};
    cw_http_listener_handler_t handler = {router, on_admin_request, on_admin_gone};
    int                        error;

    error = cw_http_listener_create(&router->readiness, &router->loop, router->settings.readiness.address,
                                    router->settings.readiness.port, &limits, &handler);
    if (error == 0 && router->settings.metrics_port != 0) {
        error = cw_http_listener_create(&router->metrics, &router->loop, router->settings.address,
                                        router->settings.metrics_port, &limits, &handler);
    }
    return error;
}
