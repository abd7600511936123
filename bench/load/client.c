/**
 * @file client.c
 * @brief HTTP/1.1 client of the load tool, on h2o's client with a pool of connections for each gateway.
 *
 * A call is WAITING for a connection, then OPEN at h2o, then ended. Calls waiting are started from a prepare handle,
 * never from within h2o's callbacks: only then has a finished call's connection gone back to the pool.
 */
#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "../../standins/common/codec.h"
#include "cedarwinch/error.h"

enum {
    POOL_TIMEOUT_MS = 30000,
    IO_TIMEOUT_MS = 600000, /**< each call has its own, shorter limit */
    NAME_SIZE = 32
};

struct cw_gateway_target {
    cw_client_t         *client;
    char                 name[NAME_SIZE];
    struct sockaddr_in   address;
    h2o_socketpool_t     pool;
    uint32_t             open;
    cw_call_t           *waiting;
    cw_gateway_target_t *next;
};

struct cw_client {
    uv_loop_t            *loop;
    uint32_t              connections_per_gateway;
    h2o_http1client_ctx_t http;
    h2o_timeout_t         io_timeout;
    uv_prepare_t          start_waiting;
    cw_gateway_target_t **targets;
    size_t                target_count;
    cw_call_t            *ended; /**< with ended() to be called */
};

static void on_call_closed(uv_handle_t *handle)
{
    cw_call_t *call = handle->data;

    free(call->text);
    call->ended(call);
    free(call);
}

/* h2o is done with the call. ended() is called from the loop, when nothing of h2o's is on the stack. */
static void end_call(cw_call_t *call, cw_call_end_t end)
{
    call->end = end;
    call->ended_us = cw_real_us();
    call->http = NULL;
    call->target->open--;
    uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

static void on_patience_over(uv_timer_t *timer)
{
    cw_call_t *call = timer->data;

    h2o_http1client_cancel(call->http);
    end_call(call, CW_CALL_TIMED_OUT);
}

/* Only the gateway's own words count. */
static cw_call_end_t outcome_of(h2o_iovec_t value)
{
    cw_call_end_t end;

    return cw_call_end_parse(value.base, value.len, &end) && end <= CW_CALL_IN_PROGRESS ? end : CW_CALL_OTHER;
}

static void copy_value(char *place, size_t size, h2o_iovec_t value)
{
    snprintf(place, size, "%.*s", (int)value.len, value.base);
}

static void take_headers(cw_call_t *call, const h2o_header_t *headers, size_t count)
{
    size_t i;

    call->end = call->from_server ? CW_CALL_ANSWERED : CW_CALL_OTHER;
    for (i = 0; i < count; i++) {
        if (h2o_memis(headers[i].name->base, headers[i].name->len, H2O_STRLIT("cw-outcome"))) {
            call->end = outcome_of(headers[i].value);
        } else if (call->from_server &&
                   h2o_memis(headers[i].name->base, headers[i].name->len, H2O_STRLIT("cw-not-run"))) {
            call->end = CW_CALL_NOT_RUN;
            copy_value(call->reason, sizeof(call->reason), headers[i].value);
        } else if (h2o_memis(headers[i].name->base, headers[i].name->len, H2O_STRLIT("cw-reason"))) {
            copy_value(call->reason, sizeof(call->reason), headers[i].value);
        } else if (h2o_memis(headers[i].name->base, headers[i].name->len, H2O_STRLIT("request-id"))) {
            copy_value(call->answered_id, sizeof(call->answered_id), headers[i].value);
        }
    }
}

static void take_body(cw_call_t *call, h2o_http1client_t *http)
{
    h2o_buffer_t *input = http->sock->input;
    size_t        room = sizeof(call->body) - 1 - call->body_length;
    size_t        length = input->size < room ? input->size : room;

    memcpy(call->body + call->body_length, input->bytes, length);
    call->body_length += length;
    call->body[call->body_length] = '\0';
    h2o_buffer_consume(&http->sock->input, input->size);
}

static int on_body(h2o_http1client_t *http, const char *error)
{
    cw_call_t *call = http->data;

    if (error != NULL && error != h2o_http1client_error_is_eos) {
        end_call(call, CW_CALL_LOST);
        return -1;
    }
    take_body(call, http);
    if (error == h2o_http1client_error_is_eos) {
        end_call(call, call->end);
    }
    return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *http, const char *error, int minor_version, int status,
                                       h2o_iovec_t message, h2o_header_t *headers, size_t header_count, int rlen)
{
    cw_call_t *call = http->data;

    (void)minor_version;
    (void)message;
    (void)rlen;
    if (error != NULL && error != h2o_http1client_error_is_eos) {
        end_call(call, CW_CALL_LOST);
        return NULL;
    }
    call->status = status;
    take_headers(call, headers, header_count);
    if (error == h2o_http1client_error_is_eos) {
        end_call(call, call->end);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *http, const char *error, h2o_iovec_t **buffers,
                                          size_t *buffer_count, int *method_is_head)
{
    cw_call_t *call = http->data;

    if (error != NULL) {
        end_call(call, CW_CALL_NOT_SENT);
        return NULL;
    }
    call->buffer = h2o_iovec_init(call->text, call->text_length);
    *buffers = &call->buffer;
    *buffer_count = 1;
    *method_is_head = 0;
    return on_head;
}

static void start_call(cw_call_t *call)
{
    cw_gateway_target_t *target = call->target;
    cw_client_t         *client = target->client;

    target->open++;
    call->sent_us = cw_real_us();
    uv_update_time(client->loop);
    uv_timer_start(&call->timer, on_patience_over, (uint64_t)call->wait_ms, 0);
    h2o_http1client_connect_with_pool(&call->http, call, &client->http, &target->pool, on_connect);
}

static void on_start_waiting(uv_prepare_t *handle)
{
    cw_client_t         *client = handle->data;
    cw_gateway_target_t *target;
    cw_call_t           *call;
    size_t               i;

    for (i = 0; i < client->target_count; i++) {
        target = client->targets[i];
        while (target->waiting != NULL && target->open < client->connections_per_gateway) {
            call = target->waiting;
            DL_DELETE(target->waiting, call);
            start_call(call);
        }
    }
}

int cw_client_create(cw_client_t **result, uv_loop_t *loop, uint32_t connections_per_gateway)
{
    cw_client_t *client = calloc(1, sizeof(*client));

    if (client == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    client->loop = loop;
    client->connections_per_gateway = connections_per_gateway;
    h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
    client->http.loop = loop;
    client->http.io_timeout = &client->io_timeout;
    uv_prepare_init(loop, &client->start_waiting);
    client->start_waiting.data = client;
    uv_prepare_start(&client->start_waiting, on_start_waiting);
    uv_unref((uv_handle_t *)&client->start_waiting);
    *result = client;
    return CW_OK;
}

int cw_client_add_gateway(cw_client_t *client, const char *address, uint16_t port)
{
    cw_gateway_target_t *target = calloc(1, sizeof(*target));
    void                *grown = realloc(client->targets, (client->target_count + 1) * sizeof(cw_gateway_target_t *));

    if (grown != NULL) {
        client->targets = grown;
    }
    if (target == NULL || grown == NULL || uv_ip4_addr(address, port, &target->address) != 0) {
        free(target);
        return CW_ERROR_INVALID;
    }
    target->client = client;
    snprintf(target->name, sizeof(target->name), "%s:%u", address, (unsigned)port);
    h2o_socketpool_init_by_address(&target->pool, (struct sockaddr *)&target->address, sizeof(target->address), 0,
                                   client->connections_per_gateway);
    h2o_socketpool_set_timeout(&target->pool, client->loop, POOL_TIMEOUT_MS);
    client->targets[client->target_count++] = target;
    return CW_OK;
}

size_t cw_client_gateways(const cw_client_t *client)
{
    return client->target_count;
}

const char *cw_client_gateway_name(const cw_client_t *client, size_t gateway)
{
    return client->targets[gateway]->name;
}

void cw_client_send(cw_client_t *client, size_t gateway, cw_call_t *call)
{
    call->target = client->targets[gateway];
    uv_timer_init(client->loop, &call->timer);
    call->timer.data = call;
    DL_APPEND(call->target->waiting, call);
}
