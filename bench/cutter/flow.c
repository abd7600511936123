/**
 * @file flow.c
 * @brief One direction of a relayed connection.
 *
 * Pieces are queued with the time at which they are due and written in order. A held flow neither reads nor writes:
 * the sender's bytes stay in the kernel's buffers, and so does its closing.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "relay_internal.h"

enum {
    PIECE_MAX = 65536,
    QUEUE_MAX = 4 * 1024 * 1024 /**< reading pauses above */
};

struct piece {
    uint64_t   due_ms; /**< loop time */
    uv_write_t request;
    uv_buf_t   buffer;
    piece_t   *prev;
    piece_t   *next;
};

static void on_buffer_wanted(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    (void)handle;
    (void)suggested;
    buffer->base = malloc(PIECE_MAX);
    buffer->len = buffer->base == NULL ? 0 : PIECE_MAX;
}

static void queue_piece(flow_t *flow, const uv_buf_t *buffer, size_t length)
{
    piece_t *piece = calloc(1, sizeof(*piece));

    if (piece == NULL) {
        abort();
    }
    piece->due_ms = uv_now(flow->pair->relay->loop) + flow->pair->relay->condition.delay_ms;
    piece->buffer = uv_buf_init(buffer->base, (unsigned)length);
    flow->queued += length;
    DL_APPEND(flow->queue, piece);
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    flow_t *flow = stream->data;

    if (length > 0) {
        queue_piece(flow, buffer, (size_t)length);
        cw_flow_update(flow);
        return;
    }
    free(buffer->base);
    if (length == UV_EOF) {
        flow->ended = true;
        cw_flow_update(flow);
    } else if (length < 0) {
        cw_pair_close(flow->pair);
    }
}

static void on_written(uv_write_t *request, int status)
{
    piece_t *piece = (piece_t *)((char *)request - offsetof(piece_t, request));
    flow_t  *flow = request->data;

    free(piece->buffer.base);
    free(piece);
    if (status != 0) {
        cw_pair_close(flow->pair);
    }
}

static void write_piece(flow_t *flow)
{
    piece_t *piece = flow->queue;

    DL_DELETE(flow->queue, piece);
    flow->queued -= piece->buffer.len;
    flow->pair->relay->statistics.bytes[flow->direction] += piece->buffer.len;
    piece->request.data = flow;
    if (uv_write(&piece->request, (uv_stream_t *)flow->to, &piece->buffer, 1, on_written) != 0) {
        free(piece->buffer.base);
        free(piece);
        cw_pair_close(flow->pair);
    }
}

static void on_due(uv_timer_t *timer)
{
    cw_flow_update(timer->data);
}

static void write_due(flow_t *flow)
{
    uint64_t now_ms = uv_now(flow->pair->relay->loop);

    while (flow->queue != NULL && flow->queue->due_ms <= now_ms && !flow->pair->closing) {
        write_piece(flow);
    }
    if (flow->queue != NULL && !flow->pair->closing) {
        uv_timer_start(&flow->timer, on_due, flow->queue->due_ms - now_ms, 0);
    }
}

static void on_shut(uv_shutdown_t *request, int status)
{
    (void)status;
    free(request);
}

/* The sender is done and all is written: tells the receiver; both directions done: closes. */
static void end_direction(flow_t *flow)
{
    uv_shutdown_t *request;
    pair_t        *pair = flow->pair;

    if (!flow->shut) {
        flow->shut = true;
        request = malloc(sizeof(*request));
        if (request == NULL || uv_shutdown(request, (uv_stream_t *)flow->to, on_shut) != 0) {
            free(request);
            cw_pair_close(pair);
            return;
        }
    }
    if (pair->flows[CW_TO_TARGET].shut && pair->flows[CW_TO_SOURCE].shut) {
        cw_pair_close(pair);
    }
}

static void set_reading(flow_t *flow, bool reading)
{
    if (reading == flow->reading) {
        return;
    }
    flow->reading = reading;
    if (reading) {
        uv_read_start((uv_stream_t *)flow->from, on_buffer_wanted, on_read);
    } else {
        uv_read_stop((uv_stream_t *)flow->from);
    }
}

void cw_flow_update(flow_t *flow)
{
    const cw_relay_condition_t *condition = &flow->pair->relay->condition;
    bool                        held = condition->held[flow->direction];

    if (flow->pair->closing || !flow->pair->connected) {
        return;
    }
    set_reading(flow, !held && !flow->ended && flow->queued < QUEUE_MAX);
    if (held) {
        uv_timer_stop(&flow->timer);
        return;
    }
    write_due(flow);
    if (!flow->pair->closing) {
        set_reading(flow, !flow->ended && flow->queued < QUEUE_MAX);
    }
    if (flow->ended && flow->queue == NULL && !flow->pair->closing) {
        end_direction(flow);
    }
}

void cw_flow_drop_queue(flow_t *flow)
{
    piece_t *piece;
    piece_t *next;

    DL_FOREACH_SAFE(flow->queue, piece, next)
    {
        free(piece->buffer.base);
        free(piece);
    }
    flow->queue = NULL;
    flow->queued = 0;
}
