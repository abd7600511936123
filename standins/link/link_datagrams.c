/**
 * @file link_datagrams.c
 * @brief Has one socket for each node; a datagram is sent from the socket of its sender, whose address receivers know.
 */
#include "link_datagrams.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DATAGRAM_MAX = 65536,
    REORDER_MS = 30 /* each node reports every 150 ms, so several reports of many nodes overtake a datagram */
};

/** The proxy's socket for one node. */
typedef struct node_socket {
    uv_udp_t            socket;
    link_datagrams_t   *datagrams;
    const link_end_t   *end;
    struct sockaddr_in  bound; /* address that the node binds */
    struct node_socket *next;
} node_socket_t;

struct link_datagrams {
    uv_loop_t     *loop;
    link_rules_t  *rules;
    node_socket_t *sockets;
    char           received[DATAGRAM_MAX];
};

/** A datagram that is sent after a delay. */
typedef struct delayed_datagram {
    uv_timer_t     timer;
    node_socket_t *from;
    node_socket_t *to;
    size_t         length;
    char           bytes[];
} delayed_datagram_t;

/* A datagram that the socket does not accept is lost, as on a network. */
static void send_now(node_socket_t *from, const node_socket_t *to, char *bytes, size_t length)
{
    uv_buf_t buffer = uv_buf_init(bytes, (unsigned)length);

    (void)uv_udp_try_send(&from->socket, &buffer, 1, (const struct sockaddr *)&to->bound);
}

static void free_delayed(uv_handle_t *handle)
{
    free(handle->data);
}

static void on_delayed(uv_timer_t *timer)
{
    delayed_datagram_t *delayed = timer->data;

    send_now(delayed->from, delayed->to, delayed->bytes, delayed->length);
    uv_close((uv_handle_t *)timer, free_delayed);
}

static void send_delayed(node_socket_t *from, node_socket_t *to, const char *bytes, size_t length, uint32_t delay_ms)
{
    delayed_datagram_t *delayed = malloc(sizeof(*delayed) + length);

    if (delayed == NULL) {
        abort();
    }
    delayed->from = from;
    delayed->to = to;
    delayed->length = length;
    memcpy(delayed->bytes, bytes, length);
    uv_timer_init(from->datagrams->loop, &delayed->timer);
    delayed->timer.data = delayed;
    uv_timer_start(&delayed->timer, on_delayed, delay_ms, 0);
}

static void forward(node_socket_t *from, node_socket_t *to, char *bytes, size_t length)
{
    link_rules_t *rules = from->datagrams->rules;
    uint32_t      delay_ms = link_rules_value(rules, LINK_DELAY, from->end, to->end);
    unsigned      copies = 1;

    if (link_rules_is_cut(rules, from->end, to->end) ||
        link_rules_draw(rules, link_rules_value(rules, LINK_LOSE, from->end, to->end))) {
        return;
    }
    if (link_rules_draw(rules, link_rules_value(rules, LINK_DOUBLE, from->end, to->end))) {
        copies = 2;
    }
    if (link_rules_draw(rules, link_rules_value(rules, LINK_REORDER, from->end, to->end))) {
        delay_ms += REORDER_MS;
    }
    for (; copies > 0; copies--) {
        if (delay_ms == 0) {
            send_now(from, to, bytes, length);
        } else {
            send_delayed(from, to, bytes, length, delay_ms);
        }
    }
}

static node_socket_t *find_bound(const link_datagrams_t *datagrams, const struct sockaddr_in *bound)
{
    node_socket_t *socket = datagrams->sockets;

    while (socket != NULL &&
           (socket->bound.sin_addr.s_addr != bound->sin_addr.s_addr || socket->bound.sin_port != bound->sin_port)) {
        socket = socket->next;
    }
    return socket;
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    const node_socket_t *socket = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(socket->datagrams->received, DATAGRAM_MAX);
}

static void on_received(uv_udp_t *handle, ssize_t length, const uv_buf_t *buffer, const struct sockaddr *sender,
                        unsigned flags)
{
    node_socket_t *to = handle->data;
    node_socket_t *from;

    if (length <= 0 || sender == NULL || (flags & UV_UDP_PARTIAL) != 0) {
        return;
    }
    from = find_bound(to->datagrams, (const struct sockaddr_in *)sender);
    if (from == NULL) {
        fprintf(stderr, "cw-link: a datagram to %s from an address that no node binds\n", to->end->name);
        return;
    }
    forward(from, to, buffer->base, (size_t)length);
}

link_datagrams_t *link_datagrams_create(uv_loop_t *loop, link_rules_t *rules)
{
    link_datagrams_t *datagrams = calloc(1, sizeof(*datagrams));

    if (datagrams == NULL) {
        abort();
    }
    datagrams->loop = loop;
    datagrams->rules = rules;
    return datagrams;
}

int link_datagrams_add(link_datagrams_t *datagrams, const link_end_t *end, const struct sockaddr_in *known,
                       const struct sockaddr_in *bound)
{
    node_socket_t *socket = calloc(1, sizeof(*socket));
    int            error;

    if (socket == NULL) {
        abort();
    }
    socket->datagrams = datagrams;
    socket->end = end;
    socket->bound = *bound;
    socket->next = datagrams->sockets;
    datagrams->sockets = socket; /* never freed: used until the process ends */
    uv_udp_init(datagrams->loop, &socket->socket);
    socket->socket.data = socket;
    error = uv_udp_bind(&socket->socket, (const struct sockaddr *)known, 0);
    return error != 0 ? error : uv_udp_recv_start(&socket->socket, on_allocate, on_received);
}
