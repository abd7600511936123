/**
 * @file server_registration.c
 * @brief The entry in the store, and signals to the process: it leaves, or says something else of itself.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "server.h"

static void on_registered(void *context, const cw_upstream_answer_t *answer)
{
    server_t *server = context;

    if (answer->result == CW_UPSTREAM_ANSWERED && (answer->status < 300 || answer->status == STATUS_CONFLICT)) {
        server->is_registered = true; /* 409: the entry may be that of its previous incarnation */
    } else if (answer->result == CW_UPSTREAM_ANSWERED && answer->status == STATUS_NOT_FOUND) {
        server->is_registered = false; /* its entry has lapsed: the next heartbeat creates it again */
    }
}

static uint32_t cold_left_ms(const server_t *server)
{
    uint64_t passed = uv_now(&server->loop) - server->started_ms;

    return passed >= server->cold_ms ? 0 : server->cold_ms - (uint32_t)passed;
}

static void call_store(server_t *server, const char *method, bool with_body)
{
    char                  text[1024];
    char                  body[512] = "";
    char                  path[80] = "";
    cw_upstream_request_t request = {
        .bytes = text, .connect_timeout = CW_MS(500), .timeout = CW_MS(1000), .answer_max = 65536};

    if (with_body) {
        snprintf(body, sizeof(body),
                 "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                 "\"version\":\"v1\",\"capacity\":%u,\"state\":\"%s\",\"cold_ms\":%u,\"sequence\":%" PRIu64
                 ",\"born\":%" PRIu64 "}}",
                 server->id, server->service, server->address, server->zone, server->capacity,
                 server->draining ? "draining" : "ready", cold_left_ms(server), ++server->sequence, server->born_ms);
    }
    if (strcmp(method, "POST") != 0) {
        snprintf(path, sizeof(path), "/%s", server->id);
    }
    request.length = (size_t)snprintf(
        text, sizeof(text), "%s /api/objects/servers%s HTTP/1.1\r\nHost: store\r\nContent-Length: %zu\r\n\r\n%s",
        method, path, strlen(body), body);
    (void)cw_upstream_call(server->store, &request, on_registered, server);
}

void server_on_heartbeat(uv_timer_t *timer)
{
    server_t *server = timer->data;

    call_store(server, server->is_registered ? "PUT" : "POST", true);
}

static void on_removed(uv_timer_t *timer)
{
    server_t *server = timer->data;

    uv_stop(&server->loop);
}

static void on_leave(uv_timer_t *timer)
{
    server_t *server = timer->data;

    uv_timer_stop(&server->heartbeat);
    call_store(server, "DELETE", false);
    uv_timer_start(&server->leave, on_removed, 300, 0);
}

void server_on_terminate(uv_signal_t *handle, int number)
{
    server_t *server = handle->data;

    (void)number;
    if (server->draining) {
        return;
    }
    server->draining = true;
    server->signals.now.is_leaving = !server->leaves_silently;
    server->signals.is_used = true;
    server_on_heartbeat(&server->heartbeat);
    uv_timer_start(&server->leave, on_leave, SERVER_DRAIN_MS, 0);
}

void server_on_signal(uv_signal_t *handle, int number)
{
    server_t *server = handle->data;

    if (number == SIGUSR1) {
        signals_next(&server->signals);
    } else {
        signals_end(&server->signals);
    }
    server_print_limit(server);
}
