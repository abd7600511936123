/**
 * @file server_requests.c
 * @brief What a request is: an order, a probe of health, a control of the stand-in, or work.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "server.h"

static const char control_late_orders[] = "/control?late-orders=";

static void set_late_orders(server_t *server, cw_http_exchange_t *exchange, const char *share)
{
    bool is_set = late_orders_set_share(&server->late_orders, atof(share));

    server_answer(server, exchange, is_set ? 200 : 400, NULL, true, NULL, "");
}

void server_on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    server_t   *server = context;
    const char *target = cw_http_fields_find(inbound->fields, "X-Target-Instance");
    bool        is_router_order = strncmp(inbound->target, "/api/", strlen("/api/")) == 0;
    const char *id = cw_http_fields_find(inbound->fields, "X-Request-Id");
    json_t     *body;

    if (cw_http_fields_find(inbound->fields, "Authorization") != NULL) {
        server_print_record(server, "credential", id == NULL ? "" : id, 0, 0, 0);
    }
    if (strcmp(inbound->target, "/health") == 0) {
        server_answer(server, exchange, server->draining ? STATUS_UNAVAILABLE : 200, NULL, true, NULL, "");
        return;
    }
    if (strncmp(inbound->target, control_late_orders, strlen(control_late_orders)) == 0) {
        set_late_orders(server, exchange, inbound->target + strlen(control_late_orders));
        return;
    }
    if (!is_router_order) {
        if (server->signals.is_used) {
            server_print_record(server, "arrive", id == NULL ? "" : id, 0, 0, 0);
        }
        if (server->signals.now.rest_s > 0 && id != NULL) {
            server_print_rest(server, id);
            server_answer_with_retry_after(server, exchange, STATUS_UNAVAILABLE, id, true, NULL, "",
                                           server->signals.now.rest_s);
            return;
        }
        if (server->crash_path != NULL && strstr(inbound->target, server->crash_path) != NULL) {
            server_print_record(server, "crash", id == NULL ? "" : id, 0, 0, 0);
            (void)fflush(stdout);
            _exit(EXIT_FAILURE);
        }
        server_handle_work(server, exchange, inbound);
        return;
    }
    if (target != NULL && strcmp(target, server->id) != 0) {
        server_answer(server, exchange, STATUS_MISDIRECTED, NULL, true, NULL, "");
        return;
    }
    body = json_loadb(inbound->body == NULL ? "" : inbound->body, inbound->body_length, 0, NULL);
    server_read_order(server, exchange, inbound->target, body);
    json_decref(body);
}

/* The caller has disconnected: a running job ends at once, a waiting one is dropped when its turn comes. */
void server_on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    server_t  *server = context;
    job_t     *job = cw_http_exchange_data(exchange);
    release_t *release;

    for (release = server->releases; release != NULL; release = release->next) {
        if (release->exchange == exchange) {
            release->exchange = NULL;
            return;
        }
    }
    if (job != NULL) {
        job->exchange = NULL;
        if (job->running) {
            server_end_job(job);
        }
    }
}
