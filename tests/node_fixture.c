/**
 * @file node_fixture.c
 * @brief Starts the parts of a node, with fakes of the store, the servers and the other nodes.
 */
#include "node_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"
#include "router/router_paths.h"

enum { ID_MAX = 24, SETTLE_TICKS = 12, LIST_SETTLED_MS = 4200, HEADER_BYTES = 16384 };

static const char *const zones[] = {"z1", "z2", "z3"};

/* ---- the store ---- */

static void add_call(node_fixture_t *node, const char *kind, json_t *value, bool is_write, cw_store_replied_t replied,
                     void *data)
{
    node_fixture_call_t *call;

    if (node->call_count == NODE_FIXTURE_CALLS_MAX) {
        abort();
    }
    call = &node->calls[node->call_count++];
    *call = (node_fixture_call_t){.is_write = is_write, .replied = replied, .data = data};
    call->value = value == NULL ? NULL : json_incref(value);
    cw_text_copy(call->kind, sizeof(call->kind), kind);
}

static void read_object(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data)
{
    (void)name;
    add_call(context, kind, NULL, false, replied, data);
}

static void create_object(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                          void *data)
{
    (void)name;
    add_call(context, kind, value, true, replied, data);
}

static void replace_object(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                           cw_store_replied_t replied, void *data)
{
    (void)name;
    (void)revision;
    add_call(context, kind, value, true, replied, data);
}

static void read_servers(void *context, cw_list_read_t how)
{
    node_fixture_t *node = context;

    node->list_read = how;
    node->list_reads++;
}

static void set_known_servers(void *context, const cw_server_list_t *list, uint64_t revision, cw_time_us_t valid_at)
{
    (void)context;
    (void)list;
    (void)revision;
    (void)valid_at;
}

static void read_configuration(void *context)
{
    (void)context;
}

static void forget_configuration_reading(void *context)
{
    (void)context;
}

static void watch_configuration(void *context, cw_time_us_t wait)
{
    (void)context;
    (void)wait;
}

void node_fixture_answer_store(node_fixture_t *node)
{
    node_fixture_call_t calls[NODE_FIXTURE_CALLS_MAX];
    size_t              count = node->call_count;
    size_t              index;

    memcpy(calls, node->calls, count * sizeof(calls[0]));
    node->call_count = 0;
    for (index = 0; index < count; index++) {
        cw_store_reply_t reply = {.result = CW_STORE_NOT_FOUND, .epoch = node->epoch};

        if (calls[index].is_write) {
            reply.result = CW_STORE_DONE;
            reply.revision = cw_store_revision_join(node->epoch, ++node->revision);
        } else if (node->record != NULL && strcmp(calls[index].kind, CW_ASSIGNMENTS_KIND) == 0) {
            reply.result = CW_STORE_DONE;
            reply.revision = cw_store_revision_join(node->epoch, 1);
            reply.value = node->record;
        }
        calls[index].replied(calls[index].data, &reply);
        json_decref(calls[index].value);
    }
}

/* ---- servers ---- */

static void accept_order(void *context, const cw_order_t *order, const cw_order_callbacks_t *callbacks, void *data)
{
    node_fixture_t *node = context;

    if (node->order_count == NODE_FIXTURE_ORDERS_MAX) {
        abort();
    }
    node->orders[node->order_count++] = (node_fixture_order_t){*order, *callbacks, data};
}

void node_fixture_answer_probes(node_fixture_t *node)
{
    size_t index = 0;

    while (index < node->order_count) {
        node_fixture_order_t order = node->orders[index];

        if (order.order.kind != CW_ORDER_PROBE) {
            index++;
            continue;
        }
        node->orders[index] = node->orders[--node->order_count];
        order.callbacks.done(order.context, order.order.id, CW_ORDER_DONE, NULL);
    }
}

/* Takes all pending orders, which the caller frees: an answer may add several orders. */
static node_fixture_order_t *take_orders(node_fixture_t *node, size_t *count)
{
    node_fixture_order_t *taken = cw_memory_zeroed((node->order_count + 1) * sizeof(*taken));

    memcpy(taken, node->orders, node->order_count * sizeof(*taken));
    *count = node->order_count;
    node->order_count = 0;
    return taken;
}

void node_fixture_answer_orders(node_fixture_t *node, cw_order_result_t result)
{
    size_t                count;
    node_fixture_order_t *taken = take_orders(node, &count);
    size_t                index;

    for (index = 0; index < count; index++) {
        taken[index].callbacks.done(taken[index].context, taken[index].order.id, result, NULL);
    }
    free(taken);
}

size_t node_fixture_answer_orders_of_dead(node_fixture_t *node, const char *first_alive)
{
    size_t                count;
    node_fixture_order_t *taken = take_orders(node, &count);
    size_t                grants = 0;
    size_t                index;

    for (index = 0; index < count; index++) {
        const node_fixture_order_t *order = &taken[index];
        bool                        is_dead = strcmp(order->order.server, first_alive) < 0;

        grants += is_dead && order->order.kind == CW_ORDER_GRANT ? 1 : 0;
        order->callbacks.done(order->context, order->order.id, is_dead ? CW_ORDER_NOT_SENT : CW_ORDER_DONE, NULL);
    }
    free(taken);
    return grants;
}

void node_fixture_receive_samples(node_fixture_t *node, const uint32_t *keys, size_t count, uint32_t seen)
{
    const char *service = cw_assigner_service(node->router.assignments[0].assigner);

    cw_router_samples_t samples = {keys, NULL, count, seen, "z2"};

    cw_router_add_samples(&node->router, cw_name_hash(service), &samples, cw_router_now(&node->router));
}

void node_fixture_read_servers(node_fixture_t *node, const char *service, size_t count, const char *address)
{
    cw_server_list_t *list = cw_server_list_create();
    char              id[ID_MAX];
    size_t            index;

    for (index = 0; index < count; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        snprintf(id, sizeof(id), "i-%06zu", index);
        entry->id = strdup(id);
        entry->service = strdup(service);
        entry->address = strdup(address);
        entry->zone = strdup(zones[index % (sizeof(zones) / sizeof(zones[0]))]);
        entry->capacity = 4;
    }
    cw_server_list_seal(list);
    cw_router_on_servers(&node->router, &(cw_servers_read_t){.list = list, .revision = ++node->revision});
}

/* ---- the node ---- */

static void on_server_dropped(void *context, cw_server_t *server)
{
    node_fixture_t *node = context;

    cw_engine_forget_server(node->router.engine, server);
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    node_fixture_t *node = context;

    cw_engine_request(node->router.engine, exchange, inbound);
}

static void on_gone(void *context, cw_http_exchange_t *exchange)
{
    node_fixture_t *node = context;

    cw_engine_caller_disconnected(node->router.engine, exchange);
}

static void make_settings(cw_router_settings_t *settings)
{
    cw_text_copy(settings->node, sizeof(settings->node), "n1");
    cw_text_copy(settings->zone, sizeof(settings->zone), "z1");
    cw_text_copy(settings->address, sizeof(settings->address), "127.0.0.1");
    cw_text_copy(settings->seeds[0].address, sizeof(settings->seeds[0].address), "10.0.0.9");
    settings->seed_count = 1;
    settings->first_read_within = 1; /* the first start of the fleet */
    settings->zone_regions[0] = (cw_zone_region_t){"z1", "r1"};
    settings->zone_regions[1] = (cw_zone_region_t){"z2", "r1"};
    settings->zone_regions[2] = (cw_zone_region_t){"z3", "r2"};
    settings->zone_region_count = 3;
    settings->leader_hold = CW_SECONDS(3);
    settings->hold = CW_SECONDS(5);
    settings->hold_long = CW_SECONDS(10);
    settings->drain = CW_SECONDS(2);
    settings->settle = CW_SECONDS(3);
    settings->configuration_within = CW_SECONDS(2);
    settings->zone_out_within = CW_SECONDS(5);
    settings->heartbeat = CW_MS(500);
    settings->link_mbps = 100;
    settings->cpu_share = 0.5;
    settings->retry_window = CW_SECONDS(10);
}

static void start_parts(node_fixture_t *node)
{
    cw_router_t               *router = &node->router;
    cw_engine_settings_t       settings = {.names = node->names,
                                           .answer_max = HEADER_BYTES,
                                           .queue_max = 100,
                                           .leave_grace = router->settings.drain / 2,
                                           .list_usable = cw_list_usable_age(router->settings.drain)};
    cw_upstream_options_t      options = {.idle_max = CW_SECONDS(1)};
    cw_http_limits_t           limits = {HEADER_BYTES, HEADER_BYTES, CW_SECONDS(1), CW_SECONDS(1)};
    cw_http_listener_handler_t callers = {node, on_request, on_gone};
    cw_peer_handler_t          peers = {router, cw_router_on_datagram};
    cw_absence_settings_t      absence;

    router->upstream = cw_upstream_create(&router->loop, &options);
    router->pool = cw_server_pool_create(router->settings.zone, on_server_dropped, node);
    cw_server_pool_set_node(router->pool, router->settings.node);
    cw_server_pool_set_regions(router->pool, router->settings.zone_regions, router->settings.zone_region_count);
    router->engine = cw_engine_create(&router->loop, &settings, router->pool, router->upstream);
    if (cw_http_listener_create(&router->callers, &router->loop, "127.0.0.1", 0, &limits, &callers) != 0 ||
        cw_peer_link_create(&router->link, &router->loop, "127.0.0.1", 0, &peers) != 0) {
        abort();
    }
    router->started_at = cw_router_now(router);
    absence = cw_absence_settings_of(router->settings.heartbeat, router->settings.drain);
    cw_server_view_init(&router->server_view, &absence);
    cw_engine_set_list_evidence(router->engine, &router->server_view.evidence);
    cw_router_lead_init(router);
    cw_router_share_init(router);
    cw_router_zones_init(router);
    cw_router_detours_init(router);
    cw_router_slots_init(router);
    cw_router_push_init(router);
    cw_router_forward_init(router);
    router->view_updates = cw_view_updates_create();
    cw_router_relay_init(router);
    cw_router_list_exchange_init(router);
    cw_router_quota_init(router);
    cw_router_crashes_init(router);
    cw_router_paths_init(router);
    cw_router_peers_init(router);
    router->store = &node->port;
}

static void probe_server(void *adapter, const char *address, cw_time_us_t timeout, cw_server_probed_t done,
                         void *context)
{
    const node_fixture_t *node = adapter;

    (void)address;
    (void)timeout;
    done(context, node->servers_answer_probes);
}

node_fixture_t *node_fixture_create(void)
{
    node_fixture_t *node = calloc(1, sizeof(*node));

    if (node == NULL) {
        abort();
    }
    node->names = (cw_header_names_t){.request_id = "I", .deadline = "D", .target = "T", .not_run = "N", .key = "K"};
    node->port = (cw_store_port_t){.context = node,
                                   .read = read_object,
                                   .read_copy = read_object,
                                   .create = create_object,
                                   .replace = replace_object,
                                   .read_servers = read_servers,
                                   .set_known_servers = set_known_servers,
                                   .read_configuration = read_configuration,
                                   .forget_configuration_reading = forget_configuration_reading,
                                   .watch_configuration = watch_configuration};
    node->adapter =
        (cw_adapter_t){.header_names = &node->names, .send_order = accept_order, .probe_server = probe_server};
    node->servers_answer_probes = true;
    node->router.adapter = &node->adapter;
    node->router.platform = node;
    node->router.incarnation = 77;
    uv_loop_init(&node->router.loop);
    make_settings(&node->router.settings);
    start_parts(node);
    return node;
}

void node_fixture_free(node_fixture_t *node)
{
    cw_router_free_assigners(&node->router);
    node_fixture_answer_store(node);
    node_fixture_answer_orders(node, CW_ORDER_UNANSWERED);
    cw_peer_link_close(node->router.link);
    cw_http_listener_close(node->router.callers);
    uv_run(&node->router.loop, UV_RUN_NOWAIT);
    cw_forward_queue_free(node->router.forward_queue);
    cw_server_pool_free(node->router.pool);
    cw_router_list_exchange_free(&node->router);
    cw_router_paths_free(&node->router);
    json_decref(node->record);
    cw_server_view_clear(&node->router.server_view);
    cw_view_updates_free(node->router.view_updates);
    cw_key_tables_clear(&node->router.tables);
    cw_order_trust_free(node->router.order_trust);
    cw_detours_free(node->router.detours);
    cw_configuration_release(node->router.configuration);
    free(node); /* the engine and the parts with timers are not freed, since a process never frees them */
}

void node_fixture_tick(node_fixture_t *node, int64_t passed_ms)
{
    cw_router_t *router = &node->router;
    cw_time_us_t now;

    router->loop.time += (uint64_t)passed_ms; /* logical time, since the loop itself does not run */
    now = cw_router_now(router);
    cw_router_paths_tick(router, now);
    cw_router_lead_tick(router, now);
    cw_router_view_tick(router, now);
    cw_router_configuration_tick(router, now);
    cw_router_share_tick(router, now);
    cw_router_peers_tick(router, now);
    cw_router_zones_tick(router, now);
    cw_router_slots_tick(router, now);
    cw_router_forward_tick(router, now);
    cw_router_crashes_tick(router, now);
    cw_router_list_exchange_tick(router, now);
}

void node_fixture_lead_unanswered(node_fixture_t *node)
{
    int tick;

    for (tick = 0; tick < SETTLE_TICKS || !node->router.leadership.leading; tick++) {
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
    }
    node_fixture_tick(node,
                      LIST_SETTLED_MS); /* the list has not changed for long enough: all servers count as registered */
    for (tick = 0; tick < SETTLE_TICKS; tick++) {
        node_fixture_answer_store(node);
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_probes(node);
    }
}

void node_fixture_lead(node_fixture_t *node)
{
    int tick;

    node_fixture_lead_unanswered(node);
    for (tick = 0; tick < SETTLE_TICKS; tick++) {
        node_fixture_answer_orders(node, CW_ORDER_DONE);
        node_fixture_answer_store(node);
        node_fixture_tick(node, CW_TICK_MS);
    }
}

/* ---- other nodes ---- */

void node_fixture_receive(node_fixture_t *node, const char *from, const Cwp__Datagram *datagram)
{
    size_t         length = cwp__datagram__get_packed_size(datagram);
    uint8_t       *packed = malloc(length + 1);
    Cwp__Datagram *received;
    cw_peer_t     *peer;

    if (packed == NULL) {
        abort();
    }
    (void)cwp__datagram__pack(datagram, packed);
    received = cwp__datagram__unpack(NULL, length, packed);
    free(packed);
    if (received == NULL) {
        abort();
    }
    peer = cw_peer_link_learn_text(node->router.link, from, cw_router_now(&node->router));
    if (peer != NULL) {
        cw_router_on_datagram(&node->router, peer, received);
    }
    cwp__datagram__free_unpacked(received, NULL);
}

void node_fixture_receive_report(node_fixture_t *node, const char *from, const char *zone, uint32_t sequence)
{
    Cwp__NodeReport report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    report.node = (char *)from;
    report.zone = (char *)zone;
    report.incarnation = 1;
    report.sequence = sequence;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, from, &datagram);
}

cw_configuration_t *node_fixture_configuration(uint64_t version, const char *service)
{
    cw_configuration_t *configuration = cw_configuration_create(version);
    cw_route_t         *route = cw_configuration_add_route(configuration);
    cw_service_t       *added = cw_configuration_add_service(configuration);

    route->name = strdup("r");
    route->host = strdup("h");
    route->prefix = strdup("/");
    route->max_attempts = 1;
    cw_route_add_part(route, service, 1);
    added->name = strdup(service);
    added->keyed = true;
    cw_configuration_seal(configuration);
    return configuration;
}
