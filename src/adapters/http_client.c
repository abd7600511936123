/**
 * @file http_client.c
 * @brief Calls, their deadlines and the pools of idle connections.
 *
 * A call goes from running to finished once, by its answer, its connection's end or its deadline, whichever is first.
 * Finished calls are delivered just before and just after the loop waits, so never from within a function of this
 * module and always after h2o has put the connection back into its pool.
 *
 * Proof of "not sent": h2o hands a request to the socket only after the connect callback returned its bytes; `sent` is
 * set there, so a call that ends without it has written nothing. A pooled connection that the server closed is
 * noticed by h2o's check just before reuse; if it closes later, the call is broken, not "not sent".
 */
#include "adapters/http_client_internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "adapters/socket_address.h"

enum {
    IDLE_CONNECTION_MS = 30 * 1000,
    IO_TIMEOUT_MS = 24 * 60 * 60 * 1000, /* h2o's own: out of the way, calls have deadlines */
    POOL_CAPACITY = 8
};

/* ---- the end of a call ---- */

static void free_call(cw_http_call_t *call)
{
    cw_http_headers_clear(&call->headers);
    free(call->request);
    free(call->body.base);
    free(call);
}

void cw_http_call_finish(cw_http_call_t *call, cw_http_result_t result)
{
    cw_http_client_t *client = call->owner;

    if (call->finished) {
        return;
    }
    call->finished = true;
    call->connection = NULL;
    call->result = result;
    cw_timer_heap_cancel(&client->deadlines, &call->deadline);
    DL_DELETE(client->running, call);
    DL_APPEND(client->finished, call);
}

static void deliver(cw_http_client_t *client)
{
    cw_http_call_t  *call;
    cw_http_answer_t answer;

    while (client->finished != NULL) {
        call = client->finished;
        DL_DELETE(client->finished, call);
        memset(&answer, 0, sizeof(answer));
        answer.result = call->result;
        if (call->result == CW_HTTP_ANSWERED) {
            answer.status = call->status;
            answer.headers = call->headers.entries;
            answer.header_count = call->headers.count;
            answer.body = call->body.base == NULL ? (const uint8_t *)"" : (const uint8_t *)call->body.base;
            answer.body_length = call->body.len;
        }
        call->answered(call->context, &answer);
        free_call(call);
    }
}

static void on_before_wait(uv_prepare_t *handle)
{
    deliver(handle->data);
}

static void on_after_wait(uv_check_t *handle)
{
    deliver(handle->data);
}

/* ---- deadlines ---- */

static cw_time_us_t now_us(const cw_http_client_t *client)
{
    return (cw_time_us_t)uv_now(client->loop) * CW_US_PER_MS;
}

static void on_timer(uv_timer_t *timer);

static void arm_timer(cw_http_client_t *client)
{
    cw_time_us_t due_us = cw_timer_heap_next(&client->deadlines);
    cw_time_us_t wait_us = due_us - now_us(client);

    if (due_us == CW_TIME_NEVER) {
        uv_timer_stop(&client->timer);
        return;
    }
    uv_timer_start(&client->timer, on_timer, wait_us <= 0 ? 0 : (uint64_t)(wait_us + CW_US_PER_MS - 1) / CW_US_PER_MS,
                   0);
}

static void on_timer(uv_timer_t *timer)
{
    cw_http_client_t *client = timer->data;
    cw_timer_t       *due;
    cw_http_call_t   *call;

    while ((due = cw_timer_heap_take_due(&client->deadlines, now_us(client))) != NULL) {
        call = CW_TIMER_OWNER(due, cw_http_call_t, deadline);
        if (call->connection != NULL) {
            h2o_http1client_cancel(call->connection);
        }
        cw_http_call_finish(call, call->sent ? CW_HTTP_TIMED_OUT : CW_HTTP_NOT_SENT);
    }
    arm_timer(client);
}

/* ---- pools ---- */

static cw_http_pool_t *find_pool(cw_http_client_t *client, const char *address, uint16_t port)
{
    struct sockaddr_storage parsed;
    cw_http_pool_t         *pool;

    if (cw_socket_address_parse(address, port, &parsed) != CW_OK) {
        return NULL;
    }
    HASH_FIND(hh, client->pools, &parsed, sizeof(parsed), pool);
    if (pool != NULL) {
        return pool;
    }
    pool = calloc(1, sizeof(*pool));
    if (pool == NULL) {
        return NULL;
    }
    pool->address = parsed;
    h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&pool->address, cw_socket_address_length(&parsed),
                                   0, POOL_CAPACITY);
    h2o_socketpool_set_timeout(&pool->sockets, client->loop, IDLE_CONNECTION_MS);
    HASH_ADD(hh, client->pools, address, sizeof(pool->address), pool);
    return pool;
}

/* ---- calls ---- */

cw_http_call_t *cw_http_client_call(cw_http_client_t *client, const cw_http_request_t *request,
                                    cw_http_answered_t answered, void *context)
{
    cw_http_call_t *call = calloc(1, sizeof(*call));
    cw_http_pool_t *pool = find_pool(client, request->address, request->port);

    if (call == NULL) {
        return NULL;
    }
    call->owner = client;
    call->answered = answered;
    call->context = context;
    call->answer_max = request->answer_max;
    DL_APPEND(client->running, call);
    if (pool == NULL || request->timeout_us <= 0 || cw_http_request_write(call, request) != CW_OK ||
        cw_timer_heap_set(&client->deadlines, &call->deadline, now_us(client) + request->timeout_us) != CW_OK) {
        cw_http_call_finish(call, CW_HTTP_NOT_SENT);
        return call;
    }
    arm_timer(client);
    h2o_http1client_connect_with_pool(&call->connection, call, &client->context, &pool->sockets,
                                      cw_http_call_on_connect);
    if (call->finished) {
        call->connection = NULL;
    }
    return call;
}

bool cw_http_call_cancel_unsent(cw_http_call_t *call)
{
    if (call->sent) {
        return false;
    }
    if (call->connection != NULL) {
        h2o_http1client_cancel(call->connection);
    }
    cw_http_call_finish(call, CW_HTTP_NOT_SENT);
    return true;
}

/* Lets go of a call that is off its list. */
static void release_call(cw_http_call_t *call)
{
    if (call->connection != NULL) {
        h2o_http1client_cancel(call->connection);
    }
    cw_timer_heap_cancel(&call->owner->deadlines, &call->deadline);
    free_call(call);
}

void cw_http_call_abandon(cw_http_call_t *call)
{
    if (call->finished) {
        DL_DELETE(call->owner->finished, call);
    } else {
        DL_DELETE(call->owner->running, call);
    }
    release_call(call);
}

static void release_calls(cw_http_call_t *call)
{
    cw_http_call_t *following;

    while (call != NULL) {
        following = call->next;
        release_call(call);
        call = following;
    }
}

const char *cw_http_answer_find(const cw_http_answer_t *answer, const char *name)
{
    size_t index;

    for (index = 0; index < answer->header_count; index++) {
        if (strcasecmp(answer->headers[index]->name, name) == 0) {
            return answer->headers[index]->value;
        }
    }
    return NULL;
}

/* ---- life of the client ---- */

int cw_http_client_create(cw_http_client_t **client, uv_loop_t *loop)
{
    cw_http_client_t *created = calloc(1, sizeof(*created));

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->loop = loop;
    h2o_timeout_init(loop, &created->io_timeout, IO_TIMEOUT_MS);
    created->context.loop = loop;
    created->context.io_timeout = &created->io_timeout;
    uv_timer_init(loop, &created->timer);
    uv_timer_init(loop, &created->last_handle);
    uv_prepare_init(loop, &created->before_wait);
    uv_check_init(loop, &created->after_wait);
    created->timer.data = created;
    created->last_handle.data = created;
    created->before_wait.data = created;
    created->after_wait.data = created;
    created->open_handles = 3;
    uv_prepare_start(&created->before_wait, on_before_wait);
    uv_check_start(&created->after_wait, on_after_wait);
    *client = created;
    return CW_OK;
}

static void on_last_handle_closed(uv_handle_t *handle)
{
    cw_http_client_t *client = handle->data;
    cw_http_pool_t   *pool = client->pools;
    cw_http_pool_t   *following;

    HASH_CLEAR(hh, client->pools);
    while (pool != NULL) {
        following = pool->hh.next;
        free(pool);
        pool = following;
    }
    cw_timer_heap_clear(&client->deadlines);
    free(client);
}

/* h2o's timers lie in the client's memory and close without a callback, in the same turn of the loop as the handles
 * here: one more handle, closed afterwards, outlives them. */
static void on_handle_closed(uv_handle_t *handle)
{
    cw_http_client_t *client = handle->data;

    client->open_handles--;
    if (client->open_handles == 0) {
        uv_close((uv_handle_t *)&client->last_handle, on_last_handle_closed);
    }
}

void cw_http_client_free(cw_http_client_t *client)
{
    cw_http_pool_t *pool;
    cw_http_pool_t *following;

    if (client == NULL) {
        return;
    }
    release_calls(client->running);
    release_calls(client->finished);
    HASH_ITER(hh, client->pools, pool, following)
    {
        h2o_socketpool_dispose(&pool->sockets);
    }
    h2o_timeout_dispose(client->loop, &client->io_timeout);
    uv_close((uv_handle_t *)&client->timer, on_handle_closed);
    uv_close((uv_handle_t *)&client->before_wait, on_handle_closed);
    uv_close((uv_handle_t *)&client->after_wait, on_handle_closed);
}
