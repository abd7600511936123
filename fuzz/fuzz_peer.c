/**
 * @file fuzz_peer.c
 * @brief Datagrams of other nodes, taken by a node that is not started: view pages, tables, reports.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "router/router_internal.h"

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

static void read_nothing(void *context)
{
    (void)context;
}

static void read_no_servers(void *context, bool from_copy)
{
    (void)context;
    (void)from_copy;
}

static void know_no_servers(void *context, const cw_server_list_t *list, uint64_t revision)
{
    (void)context;
    (void)list;
    (void)revision;
}

static void watch_nothing(void *context, bool wanted)
{
    (void)context;
    (void)wanted;
}

static void on_datagram(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    (void)context;
    (void)peer;
    (void)datagram;
}

static cw_router_t *create(void)
{
    static cw_store_port_t port = {.read_servers = read_no_servers,
                                   .know_servers = know_no_servers,
                                   .read_configuration = read_nothing,
                                   .watch_configuration = watch_nothing};
    cw_engine_settings_t   settings = {.names = {.request_id = "i"}};
    cw_upstream_options_t  options = {.idle_max = CW_SECONDS(1)};
    cw_peer_handler_t      handler = {NULL, on_datagram};
    cw_router_t           *router = calloc(1, sizeof(*router));

    uv_loop_init(&router->loop);
    snprintf(router->settings.node, sizeof(router->settings.node), "n1");
    snprintf(router->settings.zone, sizeof(router->settings.zone), "z1");
    router->settings.hold = CW_SECONDS(5);
    router->settings.drain = CW_SECONDS(2);
    router->store = &port;
    router->upstream = cw_upstream_create(&router->loop, &options);
    router->pool = cw_server_pool_create("z1", on_dropped, router);
    router->engine = cw_engine_create(&router->loop, &settings, router->pool, router->upstream);
    (void)cw_peer_link_create(&router->link, &router->loop, "127.0.0.1", 0, &handler);
    cw_router_lead_init(router);
    cw_router_share_init(router);
    return router;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static cw_router_t *router;
    Cwp__Datagram      *datagram;
    cw_peer_t          *peer;

    if (router == NULL) {
        router = create();
    }
    datagram = cwp__datagram__unpack(NULL, size, data);
    if (datagram == NULL) {
        return 0;
    }
    peer = cw_peer_link_learn_text(router->link, "10.0.0.9", cw_router_now(router));
    peer->sequence = 0;
    cw_router_datagram(router, peer, datagram);
    cwp__datagram__free_unpacked(datagram, NULL);
    return 0;
}
