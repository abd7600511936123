/**
 * @file server_orders.c
 * @brief Grants and releases of keys. An order that is carried out late has no exchange any more, and gets no answer.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "server.h"

static void answer_order(server_t *server, cw_http_exchange_t *exchange, int status, const char *handover)
{
    if (exchange != NULL) {
        server_answer(server, exchange, status, NULL, true, handover, status == 200 ? "{}" : "");
    }
}

bool server_holds_key(const server_t *server, uint32_t key)
{
    return key < SERVER_KEYS && server->keys[key].until_ms > uv_now(&server->loop);
}

static void handle_grant(server_t *server, cw_http_exchange_t *exchange, const json_t *body, uint64_t late_ms)
{
    uint32_t low = (uint32_t)json_integer_value(json_object_get(body, "from"));
    uint32_t last = (uint32_t)json_integer_value(json_object_get(body, "last"));
    uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
    uint64_t hold_ms = (uint64_t)json_number_value(json_object_get(body, "hold_ms"));
    uint32_t key;

    if (last >= SERVER_KEYS || low > last || fence == 0) {
        answer_order(server, exchange, 400, NULL);
        return;
    }
    for (key = low; key <= last; key++) {
        if (server->keys[key].fence > fence) {
            answer_order(server, exchange, STATUS_CONFLICT, NULL);
            return;
        }
    }
    for (key = low; key <= last; key++) {
        server->keys[key].fence = fence;
        server->keys[key].until_ms = uv_now(&server->loop) + hold_ms;
    }
    server_print_grant(server, low, last, fence, hold_ms, late_ms);
    answer_order(server, exchange, 200, NULL);
}

bool server_has_job_on(const server_t *server, uint32_t low, uint32_t last)
{
    const job_t *job;

    DL_FOREACH(server->jobs, job)
    {
        if (job->keyed && job->key >= low && job->key <= last) {
            return true;
        }
    }
    return false;
}

void server_answer_releases(server_t *server)
{
    release_t **place = &server->releases;
    char        handover[80];

    while (*place != NULL) {
        release_t *release = *place;

        if (server_has_job_on(server, release->low, release->last)) {
            place = &release->next;
            continue;
        }
        *place = release->next;
        if (release->exchange != NULL) {
            snprintf(handover, sizeof(handover), "h%" PRIu64 "-%s", ++server->handovers, server->id);
            cw_http_exchange_set_data(release->exchange, NULL);
            answer_order(server, release->exchange, 200, handover);
        }
        free(release);
    }
}

static void handle_release(server_t *server, cw_http_exchange_t *exchange, const json_t *body)
{
    release_t *release = calloc(1, sizeof(*release));
    uint64_t   fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
    uint32_t   key;

    if (release == NULL) {
        abort();
    }
    release->low = (uint32_t)json_integer_value(json_object_get(body, "from"));
    release->last = (uint32_t)json_integer_value(json_object_get(body, "last"));
    for (key = release->low; key <= release->last && key < SERVER_KEYS; key++) {
        server->keys[key].until_ms = 0;
        server->keys[key].fence = fence > server->keys[key].fence ? fence : server->keys[key].fence;
    }
    server_print_record(server, "release", "", release->low, release->last, fence);
    release->exchange = exchange;
    release->next = server->releases;
    server->releases = release;
    server_answer_releases(server);
}

/* Carries out a grant or a release. exchange: NULL if it gets no answer; late_ms: 0 if it was read just now. */
static void handle_order(server_t *server, cw_http_exchange_t *exchange, const char *target, const json_t *body,
                         uint64_t late_ms)
{
    if (strcmp(target, "/api/grant") == 0) {
        handle_grant(server, exchange, body, late_ms);
    } else {
        handle_release(server, exchange, body);
    }
}

void server_run_late_order(void *context, const char *target, const json_t *body, uint64_t late_ms)
{
    handle_order(context, NULL, target, body, late_ms);
}

/* Reads an order. One that is drawn to be late gets no answer, so that its connection says nothing any more. */
void server_read_order(server_t *server, cw_http_exchange_t *exchange, const char *target, json_t *body)
{
    if (late_orders_take(&server->late_orders, target, body)) {
        server_print_record(server, "late", target, (uint32_t)json_integer_value(json_object_get(body, "from")),
                            (uint32_t)json_integer_value(json_object_get(body, "last")),
                            (uint64_t)json_integer_value(json_object_get(body, "fence")));
        return;
    }
    handle_order(server, exchange, target, body, 0);
}
