/**
 * @file relay.c
 * @brief Listening, pairs of connections and the condition of a TCP relay.
 */
#include "relay.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <utlist.h>

#include "cedarwinch/error.h"
#include "relay_internal.h"

enum { LISTEN_BACKLOG = 512 };

static bool is_cut(const cw_tcp_relay_t *relay)
{
    return relay->condition.held[CW_TO_TARGET] && relay->condition.held[CW_TO_SOURCE];
}

static void on_handle_closed(uv_handle_t *handle)
{
    flow_t *flow = handle->data;
    pair_t *pair = flow->pair;

    if (--pair->open_handles > 0) {
        return;
    }
    DL_DELETE(pair->relay->pairs, pair);
    pair->relay->statistics.open--;
    free(pair);
}

void cw_pair_close(pair_t *pair)
{
    size_t i;

    if (pair->closing) {
        return;
    }
    pair->closing = true;
    for (i = 0; i < CW_DIRECTION_COUNT; i++) {
        cw_flow_drop_queue(&pair->flows[i]);
        uv_close((uv_handle_t *)&pair->flows[i].timer, on_handle_closed);
    }
    uv_close((uv_handle_t *)&pair->source, on_handle_closed);
    uv_close((uv_handle_t *)&pair->target, on_handle_closed);
}

static void update_flows(pair_t *pair)
{
    cw_flow_update(&pair->flows[CW_TO_TARGET]);
    cw_flow_update(&pair->flows[CW_TO_SOURCE]);
}

static void on_connected(uv_connect_t *request, int status)
{
    pair_t *pair = request->data;

    if (pair->closing) {
        return;
    }
    if (status != 0) {
        cw_pair_close(pair);
        return;
    }
    pair->connected = true;
    update_flows(pair);
}

/* While all is held a new connection does not reach the target either; it is made when the relay is healed. */
static void connect_target(pair_t *pair)
{
    if (pair->connecting || is_cut(pair->relay)) {
        return;
    }
    pair->connecting = true;
    pair->connect.data = pair;
    if (uv_tcp_connect(&pair->connect, &pair->target, (const struct sockaddr *)&pair->relay->target, on_connected) !=
        0) {
        cw_pair_close(pair);
    }
}

static void init_flow(pair_t *pair, cw_direction_t direction, uv_tcp_t *from, uv_tcp_t *to)
{
    flow_t *flow = &pair->flows[direction];

    flow->pair = pair;
    flow->direction = direction;
    flow->from = from;
    flow->to = to;
    from->data = flow;
    uv_timer_init(pair->relay->loop, &flow->timer);
    flow->timer.data = flow;
    pair->open_handles += 2;
}

static pair_t *create_pair(cw_tcp_relay_t *relay)
{
    pair_t *pair = calloc(1, sizeof(*pair));

    if (pair == NULL) {
        abort();
    }
    pair->relay = relay;
    uv_tcp_init(relay->loop, &pair->source);
    uv_tcp_init(relay->loop, &pair->target);
    init_flow(pair, CW_TO_TARGET, &pair->source, &pair->target);
    init_flow(pair, CW_TO_SOURCE, &pair->target, &pair->source);
    DL_APPEND(relay->pairs, pair);
    relay->statistics.open++;
    return pair;
}

static void on_connection(uv_stream_t *listener, int status)
{
    cw_tcp_relay_t *relay = listener->data;
    pair_t         *pair;

    if (status != 0) {
        return;
    }
    pair = create_pair(relay);
    if (uv_accept(listener, (uv_stream_t *)&pair->source) != 0 || relay->condition.refuse) {
        cw_pair_close(pair);
        return;
    }
    relay->statistics.accepted++;
    uv_tcp_nodelay(&pair->source, 1);
    uv_tcp_nodelay(&pair->target, 1);
    connect_target(pair);
}

int cw_tcp_relay_create(cw_tcp_relay_t **result, uv_loop_t *loop, const struct sockaddr_in *listen,
                        const struct sockaddr_in *target)
{
    cw_tcp_relay_t    *relay = calloc(1, sizeof(*relay));
    struct sockaddr_in bound;
    int                length = sizeof(bound);

    if (relay == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    relay->loop = loop;
    relay->target = *target;
    uv_tcp_init(loop, &relay->listener);
    relay->listener.data = relay;
    *result = relay;
    if (uv_tcp_bind(&relay->listener, (const struct sockaddr *)listen, 0) != 0 ||
        uv_listen((uv_stream_t *)&relay->listener, LISTEN_BACKLOG, on_connection) != 0) {
        return CW_ERROR_IO;
    }
    uv_tcp_getsockname(&relay->listener, (struct sockaddr *)&bound, &length);
    relay->port = ntohs(bound.sin_port);
    return CW_OK;
}

uint16_t cw_tcp_relay_port(const cw_tcp_relay_t *relay)
{
    return relay->port;
}

void cw_tcp_relay_set_condition(cw_tcp_relay_t *relay, const cw_relay_condition_t *condition)
{
    pair_t *pair;
    pair_t *next;

    relay->condition = *condition;
    DL_FOREACH_SAFE(relay->pairs, pair, next)
    {
        if (pair->closing) {
            continue;
        }
        if (!pair->connecting) {
            connect_target(pair);
        } else {
            update_flows(pair);
        }
    }
}

void cw_tcp_relay_reset(cw_tcp_relay_t *relay)
{
    pair_t *pair;
    pair_t *next;

    DL_FOREACH_SAFE(relay->pairs, pair, next)
    {
        cw_pair_close(pair);
    }
}

const cw_relay_statistics_t *cw_tcp_relay_statistics(const cw_tcp_relay_t *relay)
{
    return &relay->statistics;
}
