/**
 * @file peer_link.c
 * @brief Socket for datagrams between nodes, and the known peers.
 */
#include "peer/peer_link.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/loop_clock.h"
#include "base/memory.h"
#include "base/text.h"

enum {
    RECEIVE_BYTES_MAX = 60000,    /* bytes of the receive buffer; longer datagrams are dropped */
    PACKED_BYTES_MAX = 48 * 1024, /* bytes of a datagram to be sent */
    /* A message about the previous incarnation counts as late within this time. Summaries contain the names of all
     * nodes every 5 s (router_summary.c). */
    LATE_MESSAGE_S = 10
};

struct cw_peer_link {
    uv_loop_t        *loop;
    uv_udp_t          socket;
    uint32_t          address;
    uint16_t          port;
    cw_peer_handler_t handler;
    cw_peer_t        *peers;
    cw_peer_t        *by_address; /* hash table of the same peers, since each datagram needs a look-up */
    uint8_t          *packed;     /* buffer for packing, as large as the longest datagram so far */
    size_t            packed_capacity;
    char             *received;
    bool              closed;
    uint32_t          packed_kind; /* kind of the datagram in the buffer */
    char              zone[64];

    const cw_zone_region_t *zones;
    size_t                  zone_count;
    cw_traffic_account_t    traffic;
};

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    cw_peer_link_t *link = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(link->received, RECEIVE_BYTES_MAX);
}

static void on_received(uv_udp_t *socket, ssize_t length, const uv_buf_t *buffer, const struct sockaddr *from,
                        unsigned flags)
{
    cw_peer_link_t *link = socket->data;
    Cwp__Datagram  *datagram;
    cw_peer_t      *peer;

    if (length <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0) {
        return;
    }
    datagram = cwp__datagram__unpack(NULL, (size_t)length, (const uint8_t *)buffer->base);
    if (datagram == NULL) {
        return;
    }
    peer = cw_peer_link_learn(link, ((const struct sockaddr_in *)from)->sin_addr.s_addr, cw_loop_now(link->loop));
    if (peer != NULL) {
        link->handler.datagram(link->handler.context, peer, datagram);
    }
    cwp__datagram__free_unpacked(datagram, NULL);
}

int cw_peer_link_create(cw_peer_link_t **created, uv_loop_t *loop, const char *address, uint16_t port,
                        const cw_peer_handler_t *handler)
{
    cw_peer_link_t    *link = calloc(1, sizeof(*link));
    struct sockaddr_in socket_address;
    int                error;

    if (link == NULL || (link->received = malloc(RECEIVE_BYTES_MAX)) == NULL) {
        abort();
    }
    link->loop = loop;
    link->port = port;
    link->handler = *handler;
    link->socket.data = link;
    *created = link;
    error = uv_ip4_addr(address, port, &socket_address);
    if (error != 0) {
        return error;
    }
    link->address = socket_address.sin_addr.s_addr;
    uv_udp_init(loop, &link->socket);
    error = uv_udp_bind(&link->socket, (const struct sockaddr *)&socket_address, 0);
    if (error == 0) {
        error = uv_udp_recv_start(&link->socket, on_allocate, on_received);
    }
    return error;
}

int cw_peer_link_advertise(cw_peer_link_t *link, const char *address)
{
    struct in_addr number;

    if (inet_pton(AF_INET, address, &number) != 1) {
        return UV_EINVAL;
    }
    link->address = number.s_addr;
    return 0;
}

static void on_closed(uv_handle_t *handle)
{
    cw_peer_link_t *link = handle->data;
    cw_peer_t      *peer;

    HASH_CLEAR(by_address, link->by_address);
    while ((peer = link->peers) != NULL) {
        link->peers = peer->next;
        free(peer);
    }
    free(link->packed);
    free(link->received);
    free(link);
}

void cw_peer_link_close(cw_peer_link_t *link)
{
    if (!link->closed) {
        link->closed = true;
        uv_close((uv_handle_t *)&link->socket, on_closed);
    }
}

void cw_peer_link_set_zone(cw_peer_link_t *link, const char *zone, const cw_zone_region_t *zones, size_t count)
{
    cw_text_copy(link->zone, sizeof(link->zone), zone);
    link->zones = zones;
    link->zone_count = count;
}

void cw_peer_link_set_peer_zone(const cw_peer_link_t *link, cw_peer_t *peer, const char *zone)
{
    if (strcmp(peer->zone, zone) == 0) {
        return;
    }
    cw_text_copy(peer->zone, sizeof(peer->zone), zone);
    peer->distance = cw_zone_distance(link->zones, link->zone_count, link->zone, peer->zone);
}

const cw_traffic_account_t *cw_peer_link_traffic(const cw_peer_link_t *link)
{
    return &link->traffic;
}

uint32_t cw_peer_link_own_address(const cw_peer_link_t *link)
{
    return link->address;
}

cw_peer_t *cw_peer_link_peers(cw_peer_link_t *link)
{
    return link->peers;
}

cw_peer_t *cw_peer_link_find(cw_peer_link_t *link, uint32_t address)
{
    cw_peer_t *peer;

    HASH_FIND(by_address, link->by_address, &address, sizeof(address), peer);
    return peer;
}

cw_peer_t *cw_peer_link_learn(cw_peer_link_t *link, uint32_t address, cw_time_us_t now)
{
    cw_peer_t *peer;

    if (address == link->address || address == 0) {
        return NULL;
    }
    peer = cw_peer_link_find(link, address);
    if (peer != NULL) {
        peer->learned_at = now;
        return peer;
    }
    peer = cw_memory_zeroed(sizeof(*peer));
    peer->address = address;
    peer->learned_at = now;
    /* Without zones all peers count as near. */
    peer->distance = link->zone[0] == '\0' ? CW_DISTANCE_ZONE : CW_DISTANCE_REMOTE;
    inet_ntop(AF_INET, &address, peer->text, sizeof(peer->text));
    peer->next = link->peers;
    link->peers = peer;
    HASH_ADD(by_address, link->by_address, address, sizeof(peer->address), peer);
    return peer;
}

cw_peer_t *cw_peer_link_learn_text(cw_peer_link_t *link, const char *address, cw_time_us_t now)
{
    char           host[INET_ADDRSTRLEN];
    struct in_addr number;

    snprintf(host, sizeof(host), "%.*s", (int)strcspn(address, ":"), address);
    return inet_pton(AF_INET, host, &number) == 1 ? cw_peer_link_learn(link, number.s_addr, now) : NULL;
}

static void log_too_large(const Cwp__Datagram *datagram, size_t length)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_DATAGRAM_TOO_LARGE)) {
        cw_event_text(&event, CW_FIELD_DETAIL, cw_traffic_kind_name((uint32_t)datagram->content_case));
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)length);
        cw_event_end(&event);
    }
}

size_t cw_peer_link_pack(cw_peer_link_t *link, const Cwp__Datagram *datagram)
{
    size_t length = cwp__datagram__get_packed_size(datagram);

    if (length > PACKED_BYTES_MAX) {
        log_too_large(datagram, length);
        return 0;
    }
    if (length > link->packed_capacity) {
        link->packed = cw_memory_resize(link->packed, length);
        link->packed_capacity = length;
    }
    link->packed_kind = (uint32_t)datagram->content_case;
    return cwp__datagram__pack(datagram, link->packed);
}

static void send_datagram(cw_peer_link_t *link, const cw_peer_t *peer, uint32_t kind, uint8_t *packed, size_t length)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET, .sin_port = htons(link->port)};
    uv_buf_t           buffer = uv_buf_init((char *)packed, (unsigned)length);

    if (length == 0 || link->closed) {
        return;
    }
    socket_address.sin_addr.s_addr = peer->address;
    cw_traffic_account_add(&link->traffic, kind, peer->distance, length);
    (void)uv_udp_try_send(&link->socket, &buffer, 1, (const struct sockaddr *)&socket_address);
}

void cw_peer_link_send_packed(cw_peer_link_t *link, const cw_peer_t *peer, size_t length)
{
    send_datagram(link, peer, link->packed_kind, link->packed, length);
}

void cw_peer_link_copy_packed(const cw_peer_link_t *link, uint8_t *bytes, size_t length)
{
    memcpy(bytes, link->packed, length);
}

void cw_peer_link_pack_into(cw_peer_link_t *link, cw_datagram_batch_t *batch, const Cwp__Datagram *datagram)
{
    size_t length = cw_peer_link_pack(link, datagram);

    if (length > 0) {
        cw_datagram_batch_add(batch, link->packed_kind, link->packed, length);
    }
}

size_t cw_peer_link_send_batch(cw_peer_link_t *link, const cw_peer_t *peer, const cw_datagram_batch_t *batch)
{
    size_t sent = 0;
    size_t index;

    for (index = 0; index < batch->count; index++) {
        send_datagram(link, peer, batch->kind, (uint8_t *)batch->bytes.data + sent, batch->lengths[index]);
        sent += batch->lengths[index];
    }
    return sent;
}

size_t cw_peer_link_send_range(cw_peer_link_t *link, const cw_peer_t *peer, const cw_datagram_batch_t *batch,
                               size_t first, size_t count)
{
    size_t offset = 0;
    size_t sent = 0;
    size_t index;

    for (index = 0; index < batch->count && index < first + count; index++) {
        if (index >= first) {
            send_datagram(link, peer, batch->kind, (uint8_t *)batch->bytes.data + offset, batch->lengths[index]);
            sent += batch->lengths[index];
        }
        offset += batch->lengths[index];
    }
    return sent;
}

void cw_peer_link_send(cw_peer_link_t *link, const cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    cw_peer_link_send_packed(link, peer, cw_peer_link_pack(link, datagram));
}

void cw_peer_set_incarnation(cw_peer_t *peer, uint64_t incarnation, cw_time_us_t now)
{
    if (peer->incarnation != incarnation) {
        peer->former_incarnation = peer->incarnation;
        peer->incarnation = incarnation;
        peer->incarnation_at = now;
        peer->sequence = 0;
        peer->nodes_due_at = 0;
        peer->servers_push = (cw_push_state_t){0};
        peer->tables_push = (cw_push_state_t){0};
    }
}

bool cw_peer_is_former_incarnation(const cw_peer_t *peer, uint64_t incarnation, cw_time_us_t now)
{
    return incarnation != 0 && incarnation == peer->former_incarnation &&
           now - peer->incarnation_at < CW_SECONDS(LATE_MESSAGE_S);
}

/* Every peer of the list is in the hash table. The analyzer does not follow uthash's macros and assumes an empty table.
 */
void cw_peer_link_expire(cw_peer_link_t *link, cw_time_us_t timeout, cw_time_us_t now)
{
    cw_peer_t **position = &link->peers;

    while (*position != NULL) {
        cw_peer_t *peer = *position;

        if (now - (peer->last_received_at > peer->learned_at ? peer->last_received_at : peer->learned_at) > timeout) {
            *position = peer->next;
            /* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
            HASH_DELETE(by_address, link->by_address, peer);
            free(peer);
        } else {
            position = &peer->next;
        }
    }
}

uint32_t cw_peer_link_count_alive(const cw_peer_link_t *link, cw_time_us_t timeout, cw_time_us_t now)
{
    const cw_peer_t *peer;
    uint32_t         count = 0;

    for (peer = link->peers; peer != NULL; peer = peer->next) {
        count += peer->last_received_at != 0 && now - peer->last_received_at <= timeout ? 1 : 0;
    }
    return count;
}
