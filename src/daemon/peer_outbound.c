/**
 * @file peer_outbound.c
 * @brief Sending side of the peer transport: for each node at most one connection that this node opened.
 *
 * States of a peer and their transitions:
 *
 *     IDLE --message--> CONNECTING --connected--> CONNECTED --idle--> IDLE
 *                           |                         |
 *                           +--------failure----------+--> BACKOFF --timer, messages queued--> CONNECTING
 *                                                             |
 *                                                             +--timer, nothing queued--> IDLE
 *
 * Invariants: at most one write is in progress on a connection; frames keep their order; a frame is written whole or
 * its connection is closed; whatever was queued when a connection fails is dropped, and the owner is told of the loss
 * from the loop, never from within a call of its own.
 */
#include "daemon/peer_internal.h"

#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/socket_address.h"

enum { DISCARD_BYTES = 256, KEEP_CAPACITY = 256 * 1024 /* a larger written buffer is given back */ };

static void on_connection_closed(uv_handle_t *handle)
{
    cw_peer_connection_t *connection = handle->data;

    cw_bytes_clear(&connection->writing);
    cw_peer_transport_handle_closed(connection->transport);
    free(connection);
}

static void close_connection(cw_peer_t *peer)
{
    cw_peer_connection_t *connection = peer->connection;

    if (connection == NULL) {
        return;
    }
    connection->peer = NULL;
    peer->connection = NULL;
    uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
}

static void on_backoff_over(uv_timer_t *timer)
{
    cw_peer_t *peer = timer->data;

    peer->state = CW_PEER_IDLE;
    cw_peer_outbound_start(peer);
}

static void start_backoff(cw_peer_t *peer)
{
    peer->state = CW_PEER_BACKOFF;
    uv_timer_start(&peer->timer, on_backoff_over, peer->backoff_ms, 0);
    peer->backoff_ms *= 2;
    if (peer->backoff_ms > CW_PEER_BACKOFF_LAST_MS) {
        peer->backoff_ms = CW_PEER_BACKOFF_LAST_MS;
    }
}

void cw_peer_outbound_break(cw_peer_t *peer, bool lost)
{
    close_connection(peer);
    uv_timer_stop(&peer->timer);
    peer->state = CW_PEER_IDLE;
    if (lost) {
        peer->pending.length = 0;
        peer->lost_pending = true;
        cw_peer_transport_mark_dirty(peer);
        start_backoff(peer);
    }
}

static void on_connect_timeout(uv_timer_t *timer)
{
    cw_peer_outbound_break(timer->data, true);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char discarded[DISCARD_BYTES];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(discarded, sizeof(discarded));
}

/* A receiver never answers on this connection: reading only tells that it was closed. */
static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_peer_connection_t *connection = stream->data;

    (void)buffer;
    if (length < 0 && connection->peer != NULL) {
        cw_peer_outbound_break(connection->peer, true);
    }
}

/* Data that the other machine does not acknowledge breaks the connection within seconds, not minutes. */
static void set_socket_options(cw_peer_connection_t *connection)
{
    unsigned   timeout_ms = CW_PEER_UNACKNOWLEDGED_MS;
    uv_os_fd_t descriptor;

    uv_tcp_nodelay(&connection->tcp, 1);
    if (uv_fileno((uv_handle_t *)&connection->tcp, &descriptor) == 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
    }
}

static void on_connected(uv_connect_t *request, int status)
{
    cw_peer_connection_t *connection = request->data;
    cw_peer_t            *peer = connection->peer;

    if (peer == NULL) {
        return;
    }
    if (status < 0) {
        cw_peer_outbound_break(peer, true);
        return;
    }
    uv_timer_stop(&peer->timer);
    set_socket_options(connection);
    peer->state = CW_PEER_CONNECTED;
    peer->backoff_ms = CW_PEER_BACKOFF_FIRST_MS;
    uv_read_start((uv_stream_t *)&connection->tcp, on_allocate, on_read);
    cw_peer_outbound_flush(peer);
}

static void start_connecting(cw_peer_t *peer)
{
    cw_peer_connection_t *connection = calloc(1, sizeof(*connection));

    if (connection == NULL) {
        cw_peer_outbound_break(peer, true);
        return;
    }
    connection->peer = peer;
    connection->transport = peer->transport;
    uv_tcp_init(peer->transport->loop, &connection->tcp);
    connection->tcp.data = connection;
    connection->connect.data = connection;
    connection->write.data = connection;
    peer->transport->open_handles++;
    peer->connection = connection;
    peer->state = CW_PEER_CONNECTING;
    uv_timer_start(&peer->timer, on_connect_timeout, CW_PEER_CONNECT_TIMEOUT_MS, 0);
    if (uv_tcp_connect(&connection->connect, &connection->tcp, (struct sockaddr *)&peer->address, on_connected) != 0) {
        cw_peer_outbound_break(peer, true);
    }
}

void cw_peer_outbound_start(cw_peer_t *peer)
{
    if (peer->state == CW_PEER_IDLE && peer->pending.length > 0) {
        start_connecting(peer);
    }
}

int cw_peer_outbound_queue(cw_peer_t *peer, const Cw__Envelope *envelope)
{
    size_t queued = peer->pending.length + (peer->connection == NULL ? 0 : peer->connection->writing.length);
    size_t added = CW_PEER_FRAME_HEADER_BYTES + cw__envelope__get_packed_size(envelope);
    int    error;

    if (queued > 0 && queued + added > CW_PEER_QUEUE_MAX) {
        return CW_ERROR_FULL;
    }
    error = cw_peer_frame_append(&peer->pending, envelope);
    if (error != CW_OK) {
        return error;
    }
    peer->last_used_ms = uv_now(peer->transport->loop);
    cw_peer_transport_mark_dirty(peer);
    cw_peer_outbound_start(peer);
    return CW_OK;
}

static void on_written(uv_write_t *request, int status)
{
    cw_peer_connection_t *connection = request->data;

    connection->write_active = false;
    connection->writing.length = 0;
    if (connection->writing.capacity > KEEP_CAPACITY) {
        cw_bytes_clear(&connection->writing);
    }
    if (connection->peer == NULL) {
        return;
    }
    if (status < 0) {
        cw_peer_outbound_break(connection->peer, true);
        return;
    }
    connection->peer->last_used_ms = uv_now(connection->transport->loop);
    cw_peer_outbound_flush(connection->peer);
}

void cw_peer_outbound_flush(cw_peer_t *peer)
{
    cw_peer_connection_t *connection = peer->connection;
    cw_bytes_t            empty;
    uv_buf_t              buffer;

    if (peer->state != CW_PEER_CONNECTED || connection->write_active || peer->pending.length == 0) {
        return;
    }
    empty = connection->writing;
    connection->writing = peer->pending;
    peer->pending = empty;
    connection->write_active = true;
    buffer = uv_buf_init((char *)connection->writing.data, (unsigned)connection->writing.length);
    if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written) != 0) {
        connection->write_active = false;
        cw_peer_outbound_break(peer, true);
    }
}

void cw_peer_outbound_close_idle(cw_peer_t *peer, uint64_t now_ms)
{
    if (peer->state != CW_PEER_CONNECTED || peer->connection->write_active || peer->pending.length > 0) {
        return;
    }
    if (now_ms - peer->last_used_ms >= CW_PEER_IDLE_MS) {
        cw_peer_outbound_break(peer, false);
        cw_bytes_clear(&peer->pending);
    }
}
