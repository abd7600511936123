/**
 * @file peer_inbound.c
 * @brief Receiving side of the peer transport: accepted connections, each carrying frames of one node.
 *
 * Rules: the first frame names the node and later ones must name the same. A frame that is too large or cannot be
 * unpacked closes the connection with one log line; the sender opens a new one.
 */
#include "daemon/peer_internal.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum {
    READ_BYTES = 64 * 1024,
    KEEP_CAPACITY = 256 * 1024,         /* a larger empty buffer is given back */
    IDLE_CLOSE_MS = 2 * CW_PEER_IDLE_MS /* the sender closes first */
};

static void on_closed(uv_handle_t *handle)
{
    cw_peer_inbound_t *inbound = handle->data;

    cw_bytes_clear(&inbound->received);
    cw_peer_transport_handle_closed(inbound->transport);
    free(inbound);
}

void cw_peer_inbound_close(cw_peer_inbound_t *inbound)
{
    if (uv_is_closing((uv_handle_t *)&inbound->tcp)) {
        return;
    }
    DL_DELETE(inbound->transport->inbound, inbound);
    uv_close((uv_handle_t *)&inbound->tcp, on_closed);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    cw_peer_inbound_t *inbound = handle->data;

    (void)suggested;
    if (cw_bytes_reserve(&inbound->received, READ_BYTES) != CW_OK) {
        *buffer = uv_buf_init(NULL, 0);
        return;
    }
    *buffer = uv_buf_init((char *)inbound->received.data + inbound->received.length,
                          (unsigned)(inbound->received.capacity - inbound->received.length));
}

/* Hands one payload to the transport's owner. */
static int deliver(cw_peer_inbound_t *inbound, const uint8_t *payload, size_t length)
{
    cw_peer_transport_t *transport = inbound->transport;
    Cw__Envelope        *envelope = cw__envelope__unpack(NULL, length, payload);

    if (envelope == NULL) {
        return CW_ERROR_PARSE;
    }
    if (envelope->from == 0 || (inbound->node != 0 && envelope->from != inbound->node)) {
        cw__envelope__free_unpacked(envelope, NULL);
        return CW_ERROR_PARSE;
    }
    inbound->node = envelope->from;
    transport->callbacks.received(transport->callbacks.context, envelope);
    cw__envelope__free_unpacked(envelope, NULL);
    return CW_OK;
}

static int deliver_frames(cw_peer_inbound_t *inbound)
{
    size_t  position = 0;
    int64_t payload;
    int     error = CW_OK;

    while (error == CW_OK && !uv_is_closing((uv_handle_t *)&inbound->tcp)) {
        payload = cw_peer_frame_find(inbound->received.data + position, inbound->received.length - position);
        if (payload == 0) {
            break;
        }
        if (payload < 0) {
            return (int)payload;
        }
        position += CW_PEER_FRAME_HEADER_BYTES;
        error = deliver(inbound, inbound->received.data + position, (size_t)payload);
        position += (size_t)payload;
    }
    if (position > 0) {
        inbound->received.length -= position;
        memmove(inbound->received.data, inbound->received.data + position, inbound->received.length);
    }
    if (inbound->received.length == 0 && inbound->received.capacity > KEEP_CAPACITY) {
        cw_bytes_clear(&inbound->received);
    }
    return error;
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_peer_inbound_t *inbound = stream->data;
    int                error;

    (void)buffer;
    if (length < 0) {
        cw_peer_inbound_close(inbound);
        return;
    }
    inbound->received.length += (size_t)length;
    inbound->last_used_ms = uv_now(stream->loop);
    error = deliver_frames(inbound);
    if (error != CW_OK) {
        cw_log(CW_LOG_WARNING, "peer", "bad frame, connection closed", "from=%u error=\"%s\"", inbound->node,
               cw_error_text(error));
        cw_peer_inbound_close(inbound);
    }
}

void cw_peer_inbound_accept(uv_stream_t *listener, int status)
{
    cw_peer_transport_t *transport = listener->data;
    cw_peer_inbound_t   *inbound;

    if (status < 0) {
        cw_log(CW_LOG_WARNING, "peer", "accept failed", "error=\"%s\"", uv_strerror(status));
        return;
    }
    inbound = calloc(1, sizeof(*inbound));
    if (inbound == NULL) {
        return;
    }
    inbound->transport = transport;
    inbound->last_used_ms = uv_now(transport->loop);
    uv_tcp_init(transport->loop, &inbound->tcp);
    inbound->tcp.data = inbound;
    transport->open_handles++;
    DL_APPEND(transport->inbound, inbound);
    if (uv_accept(listener, (uv_stream_t *)&inbound->tcp) != 0 ||
        uv_read_start((uv_stream_t *)&inbound->tcp, on_allocate, on_read) != 0) {
        cw_peer_inbound_close(inbound);
    }
}

void cw_peer_inbound_close_idle(cw_peer_transport_t *transport, uint64_t now_ms)
{
    cw_peer_inbound_t *inbound;
    cw_peer_inbound_t *following;

    DL_FOREACH_SAFE(transport->inbound, inbound, following)
    {
        if (now_ms - inbound->last_used_ms >= IDLE_CLOSE_MS) {
            cw_peer_inbound_close(inbound);
        }
    }
}
