/**
 * @file peer_transport.c
 * @brief Messages between nodes over TCP: one connection for each direction, opened by the sender.
 */
#include "daemon/peer_internal.h"

#include <stdlib.h>
#include <string.h>

#include "adapters/socket_address.h"

void cw_peer_transport_handle_closed(cw_peer_transport_t *transport)
{
    cw_peer_t *peer;
    cw_peer_t *following;

    transport->open_handles--;
    if (!transport->closing || transport->open_handles > 0) {
        return;
    }
    peer = transport->peers;
    HASH_CLEAR(hh, transport->peers);
    while (peer != NULL) {
        following = peer->hh.next;
        cw_bytes_clear(&peer->pending);
        free(peer);
        peer = following;
    }
    free(transport);
}

static void on_handle_closed(uv_handle_t *handle)
{
    cw_peer_transport_handle_closed(handle->data);
}

static void on_peer_timer_closed(uv_handle_t *handle)
{
    cw_peer_t *peer = handle->data;

    cw_peer_transport_handle_closed(peer->transport);
}

void cw_peer_transport_mark_dirty(cw_peer_t *peer)
{
    if (!peer->dirty) {
        peer->dirty = true;
        peer->dirty_next = peer->transport->dirty;
        peer->transport->dirty = peer;
    }
}

/* Runs just before the loop waits. A report may queue messages and a flush may lose a peer: go on until settled. */
static void on_prepare(uv_prepare_t *handle)
{
    cw_peer_transport_t *transport = handle->data;
    cw_peer_t           *peer;

    while (transport->dirty != NULL) {
        peer = transport->dirty;
        transport->dirty = peer->dirty_next;
        peer->dirty = false;
        if (peer->lost_pending) {
            peer->lost_pending = false;
            transport->callbacks.lost(transport->callbacks.context, peer->node);
        }
        cw_peer_outbound_flush(peer);
    }
}

static void on_sweep(uv_timer_t *handle)
{
    cw_peer_transport_t *transport = handle->data;
    uint64_t             now_ms = uv_now(transport->loop);
    cw_peer_t           *peer;
    cw_peer_t           *following;

    HASH_ITER(hh, transport->peers, peer, following)
    {
        cw_peer_outbound_close_idle(peer, now_ms);
    }
    cw_peer_inbound_close_idle(transport, now_ms);
}

static void start_handles(cw_peer_transport_t *transport)
{
    uv_tcp_init(transport->loop, &transport->listener);
    uv_prepare_init(transport->loop, &transport->flush);
    uv_timer_init(transport->loop, &transport->sweep);
    transport->listener.data = transport;
    transport->flush.data = transport;
    transport->sweep.data = transport;
    transport->open_handles = 3;
    uv_prepare_start(&transport->flush, on_prepare);
    uv_timer_start(&transport->sweep, on_sweep, CW_PEER_SWEEP_MS, CW_PEER_SWEEP_MS);
}

int cw_peer_transport_create(cw_peer_transport_t **transport, uv_loop_t *loop, const char *address, uint16_t port,
                             const cw_peer_callbacks_t *callbacks)
{
    cw_peer_transport_t *created = calloc(1, sizeof(*created));
    int                  error;

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->loop = loop;
    created->callbacks = *callbacks;
    start_handles(created);
    error = cw_socket_listen(&created->listener, address, port, cw_peer_inbound_accept);
    if (error != CW_OK) {
        cw_peer_transport_free(created);
        return error;
    }
    *transport = created;
    return CW_OK;
}

uint16_t cw_peer_transport_port(const cw_peer_transport_t *transport)
{
    return cw_socket_bound_port(&transport->listener);
}

static cw_peer_t *add_peer(cw_peer_transport_t *transport, cw_node_id_t node)
{
    cw_peer_t *peer = calloc(1, sizeof(*peer));

    if (peer == NULL) {
        return NULL;
    }
    peer->node = node;
    peer->transport = transport;
    peer->backoff_ms = CW_PEER_BACKOFF_FIRST_MS;
    uv_timer_init(transport->loop, &peer->timer);
    peer->timer.data = peer;
    transport->open_handles++;
    HASH_ADD(hh, transport->peers, node, sizeof(peer->node), peer);
    return peer;
}

void cw_peer_transport_learn(cw_peer_transport_t *transport, cw_node_id_t node, const char *address, uint16_t port)
{
    struct sockaddr_storage parsed;
    cw_peer_t              *peer;

    if (cw_socket_address_parse(address, port, &parsed) != CW_OK || port == 0) {
        cw_log(CW_LOG_WARNING, "peer", "node has no usable address", "peer=%u", node);
        return;
    }
    HASH_FIND(hh, transport->peers, &node, sizeof(node), peer);
    if (peer == NULL) {
        peer = add_peer(transport, node);
    } else if (memcmp(&peer->address, &parsed, sizeof(parsed)) != 0) {
        cw_peer_outbound_break(peer, peer->connection != NULL);
        peer->backoff_ms = CW_PEER_BACKOFF_FIRST_MS;
    }
    if (peer != NULL) {
        peer->address = parsed;
        cw_peer_outbound_start(peer);
    }
}

void cw_peer_transport_send(cw_peer_transport_t *transport, cw_node_id_t to, const Cw__Envelope *envelope)
{
    cw_peer_t *peer;
    int        error;

    HASH_FIND(hh, transport->peers, &to, sizeof(to), peer);
    if (peer == NULL) {
        cw_log(CW_LOG_DEBUG, "peer", "message to a node without address dropped", "peer=%u", to);
        return;
    }
    error = cw_peer_outbound_queue(peer, envelope);
    if (error != CW_OK) {
        cw_log(CW_LOG_DEBUG, "peer", "message dropped", "peer=%u error=\"%s\"", to, cw_error_text(error));
    }
}

static void ignore_received(void *context, const Cw__Envelope *envelope)
{
    (void)context;
    (void)envelope;
}

static void ignore_lost(void *context, cw_node_id_t node)
{
    (void)context;
    (void)node;
}

void cw_peer_transport_free(cw_peer_transport_t *transport)
{
    cw_peer_t         *peer;
    cw_peer_t         *following;
    cw_peer_inbound_t *next_inbound;

    if (transport == NULL) {
        return;
    }
    transport->closing = true;
    transport->callbacks.received = ignore_received;
    transport->callbacks.lost = ignore_lost;
    while (transport->inbound != NULL) {
        next_inbound = transport->inbound;
        cw_peer_inbound_close(next_inbound);
    }
    HASH_ITER(hh, transport->peers, peer, following)
    {
        cw_peer_outbound_break(peer, false);
        uv_close((uv_handle_t *)&peer->timer, on_peer_timer_closed);
    }
    uv_close((uv_handle_t *)&transport->listener, on_handle_closed);
    uv_close((uv_handle_t *)&transport->flush, on_handle_closed);
    uv_close((uv_handle_t *)&transport->sweep, on_handle_closed);
}
