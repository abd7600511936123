/**
 * @file router_quota.c
 * @brief Wires tenants' limits into the node: which nodes count, what their messages do, this node's own counting.
 *
 * The most capable nodes in reach count, of all zones; each tenant's one is found by rendezvous hashing. A process that
 * has just started does not count, and does not know how many nodes share the limits: it takes them for many.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/router_quota.h"

enum {
    CANDIDATES_FIRST = 64,   /* memory for so many at first; it doubles */
    GATHER_EVERY_MS = 100,   /* how often the nodes that may count are gathered; well below CW_PEER_SILENCE_MS */
    DECLINING_MOST = 2,      /* one restarts now and then; several at once: nobody counts yet */
    ISOLATED_AFTER_MS = 500, /* the slowest pause between reports of few nodes is 300 ms (router_peers.c) */
    NODES_OF_NEW = 32        /* so many at least are assumed by a new process to which no leader has stated them */
};

static const char *const mode_names[] = {"free", "metered", "alone"};

static uint32_t own_address(const cw_router_quota_t *quota)
{
    return cw_peer_link_own_address(quota->router->link);
}

static cw_time_us_t now_of(const cw_router_quota_t *quota)
{
    return cw_router_now(quota->router);
}

/* ---- this node as one that counts ---- */

static bool is_new(const cw_router_quota_t *quota)
{
    const cw_router_t *router = quota->router;

    return router->settings.seed_count > 0 &&
           !cw_fleet_size_is_reached(&router->fleet_size, quota->in_reach, now_of(quota));
}

/* Without a configuration no tenant would seem to have a limit. */
static bool declines(const cw_router_quota_t *quota)
{
    return is_new(quota) || quota->router->stopping_at != 0 || quota->router->configuration == NULL;
}

static void decline(cw_router_quota_t *quota, uint32_t to, uint32_t sequence)
{
    cw_quota_message_t reply = {.kind = CW_QUOTA_STATUS, .sequence = sequence, .declines = true};

    cw_router_quota_send(quota, to, &reply);
}

static void take_report(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message)
{
    cw_quota_message_t reply = {.kind = CW_QUOTA_STATUS, .sequence = message->sequence};
    size_t             index;

    cw_quota_counter_report(quota->counter, from, message->incarnation, message->usages, message->count, now_of(quota));
    for (index = 0; index < message->count; index++) {
        uint32_t tenant = message->usages[index].tenant;

        if (cw_quota_counter_is_metered(quota->counter, tenant, now_of(quota))) {
            reply.metered[reply.count++] = tenant;
        } else if (cw_quota_counter_is_behind(quota->counter, tenant, message->version)) {
            reply.unknown[reply.unknown_count++] = tenant;
        }
    }
    cw_router_quota_send(quota, from, &reply);
}

static void take_ask(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message)
{
    cw_quota_message_t reply = {.kind = CW_QUOTA_GRANT};

    reply.grant = cw_quota_counter_ask(quota->counter, from, &message->ask, now_of(quota));
    cw_router_quota_send(quota, from, &reply);
}

static void tell_metered(void *context, uint32_t node, uint32_t tenant)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_STATUS, .count = 1, .metered = {tenant}};

    cw_router_quota_send(context, node, &message);
}

static void take_status(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message, cw_time_us_t now)
{
    cw_quota_status_t status = {.sequence = message->sequence,
                                .metered = message->metered,
                                .metered_count = message->count,
                                .unknown = message->unknown,
                                .unknown_count = message->unknown_count};

    cw_quota_share_status(quota->share, from, &status, now);
}

/* ---- limits as configured ---- */

static void use_limits(cw_router_quota_t *quota, const cw_configuration_t *configuration)
{
    cw_quota_tenant_limit_t *limits = calloc(configuration->tenant_count + 1, sizeof(*limits));
    size_t                   index;

    if (limits == NULL) {
        abort();
    }
    for (index = 0; index < configuration->tenant_count; index++) {
        const cw_tenant_t *tenant = &configuration->tenants[index];

        limits[index].tenant = cw_tenant_hash(tenant->name);
        limits[index].limit = (cw_quota_limit_t){.rate_per_s = tenant->rate_per_s, .burst = tenant->burst};
    }
    cw_quota_counter_set_limits(quota->counter, limits, configuration->tenant_count, now_of(quota));
    cw_quota_counter_set_version(quota->counter, configuration->version);
    quota->version = configuration->version;
    free(limits);
}

/* A message may come by a version that is in force here since this turn of the loop. */
static void follow_configuration(cw_router_quota_t *quota)
{
    const cw_configuration_t *configuration = quota->router->configuration;

    if (configuration != NULL && configuration->version != quota->version) {
        use_limits(quota, configuration);
    }
}

/* ---- messages ---- */

void cw_router_quota_deliver(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message)
{
    cw_time_us_t now = now_of(quota);

    if ((message->kind == CW_QUOTA_REPORT || message->kind == CW_QUOTA_ASK) && declines(quota)) {
        decline(quota, from, message->sequence);
        return;
    }
    follow_configuration(quota);
    switch (message->kind) {
    case CW_QUOTA_REPORT:
        take_report(quota, from, message);
        break;
    case CW_QUOTA_STATUS:
        if (message->declines) {
            cw_quota_share_declined(quota->share, from, now);
        } else {
            take_status(quota, from, message, now);
        }
        break;
    case CW_QUOTA_ASK:
        take_ask(quota, from, message);
        break;
    case CW_QUOTA_GRANT:
        cw_quota_share_granted(quota->share, from, &message->grant, now);
        break;
    case CW_QUOTA_RETURN:
        cw_quota_counter_give_back(quota->counter, from, &message->returned, now);
        break;
    }
}

/* ---- the share's port ---- */

/* Nothing comes from any other node: what this one would count for itself, the others may be counting too. Peers count
 * as lost later than that. */
static bool is_isolated(const cw_router_quota_t *quota)
{
    return quota->nodes > 1 && now_of(quota) - quota->last_received_at >= CW_MS(ISOLATED_AFTER_MS);
}

uint32_t cw_router_quota_counting_node(cw_router_quota_t *quota, uint32_t tenant)
{
    size_t count = 0;
    size_t index;

    if (is_isolated(quota) || cw_quota_share_declining(quota->share, now_of(quota)) >= DECLINING_MOST) {
        return 0;
    }
    for (index = 0; index < quota->candidate_count; index++) {
        if (!cw_quota_share_is_silent(quota->share, quota->candidates[index].address, now_of(quota))) {
            quota->able[count++] = quota->candidates[index];
        }
    }
    return cw_broker_choose(quota->able, count, CW_BROKER_ANY_ZONE, tenant);
}

static uint32_t counter_of(void *context, uint32_t tenant)
{
    return cw_router_quota_counting_node(context, tenant);
}

static uint64_t version_of(const cw_router_quota_t *quota)
{
    return quota->router->configuration == NULL ? 0 : quota->router->configuration->version;
}

static void report(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count)
{
    cw_router_quota_t *quota = context;
    cw_quota_message_t message = {.kind = CW_QUOTA_REPORT,
                                  .incarnation = quota->router->incarnation,
                                  .sequence = sequence,
                                  .version = version_of(quota)};

    message.count = count > CW_QUOTA_USAGES_MAX ? CW_QUOTA_USAGES_MAX : count;
    memcpy(message.usages, usages, message.count * sizeof(*usages));
    cw_router_quota_send(quota, counter, &message);
}

static void ask(void *context, uint32_t counter, const cw_quota_ask_t *asked)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_ASK, .ask = *asked};

    message.ask.version = version_of(context);
    cw_router_quota_send(context, counter, &message);
}

static void give_back(void *context, uint32_t counter, const cw_quota_return_t *returned)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_RETURN, .returned = *returned};

    cw_metric_add(CW_METRIC_LIMIT_RETURNED, returned->tokens);
    cw_router_quota_send(context, counter, &message);
}

static void decided(void *context, uint32_t tenant)
{
    const cw_router_quota_t *quota = context;

    cw_engine_quota_decided(quota->router->engine, tenant);
}

static const char *name_of(const cw_router_t *router, uint32_t tenant)
{
    const cw_configuration_t *configuration = router->configuration;
    size_t                    index;

    for (index = 0; configuration != NULL && index < configuration->tenant_count; index++) {
        if (cw_tenant_hash(configuration->tenants[index].name) == tenant) {
            return configuration->tenants[index].name;
        }
    }
    return NULL;
}

static const char *text_of(const cw_router_quota_t *quota, uint32_t address)
{
    const cw_peer_t *peer;

    if (address == own_address(quota)) {
        return quota->router->settings.address;
    }
    for (peer = cw_peer_link_peers(quota->router->link); peer != NULL; peer = peer->next) {
        if (peer->address == address) {
            return peer->text;
        }
    }
    return NULL;
}

static void mode_changed(void *context, uint32_t tenant, cw_quota_mode_t mode, uint32_t counter, cw_time_us_t age)
{
    const cw_router_quota_t *quota = context;
    cw_event_t               event;

    cw_metric_add(CW_METRIC_LIMIT_MODES, 1);
    cw_metric_add(CW_METRIC_LIMIT_ALONE, mode == CW_QUOTA_ALONE ? 1 : 0);
    if (cw_event_begin(&event, CW_EVENT_LIMIT_MODE)) {
        cw_event_text(&event, CW_FIELD_TENANT, name_of(quota->router, tenant));
        cw_event_text(&event, CW_FIELD_LIMIT_MODE, mode_names[mode]);
        cw_event_text(&event, CW_FIELD_PEER, text_of(quota, counter));
        cw_event_ms(&event, CW_FIELD_LIMIT_AGE_MS, age);
        cw_event_end(&event);
    }
}

/* ---- who counts, and for how many ---- */

static void *grown(void *array, size_t capacity)
{
    void *larger = cw_memory_resize(array, capacity * sizeof(cw_broker_candidate_t));

    return larger;
}

static void add_candidate(cw_router_quota_t *quota, const cw_broker_candidate_t *candidate)
{
    if (quota->candidate_count == quota->candidate_capacity) {
        quota->candidate_capacity = quota->candidate_capacity == 0 ? CANDIDATES_FIRST : 2 * quota->candidate_capacity;
        quota->candidates = grown(quota->candidates, quota->candidate_capacity);
        quota->able = grown(quota->able, quota->candidate_capacity);
    }
    quota->candidates[quota->candidate_count++] = *candidate;
}

/* All of them, however many: nodes that go by different ones would disagree on who counts. */
static void gather(cw_router_quota_t *quota)
{
    cw_router_t          *router = quota->router;
    const cw_peer_t      *peer;
    cw_broker_candidate_t candidate = {
        .address = own_address(quota), .capability = cw_router_capability(router), .zone = router->settings.zone};

    quota->candidate_count = 0;
    if (!declines(quota)) {
        add_candidate(quota, &candidate);
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at > quota->last_received_at) {
            quota->last_received_at = peer->last_received_at;
        }
        if (peer->last_received_at != 0 && !peer->is_lost && !peer->stopping && peer->zone[0] != '\0') {
            candidate =
                (cw_broker_candidate_t){.address = peer->address, .capability = peer->capability, .zone = peer->zone};
            add_candidate(quota, &candidate);
        }
    }
}

/* Nodes that share the limits: the most that this one, or those in reach, have heard lately. */
static uint32_t nodes_of(const cw_router_quota_t *quota)
{
    const cw_router_t *router = quota->router;
    const cw_peer_t   *peer;
    uint32_t           counted = router->nodes_most > 0 ? router->nodes_most : 1;
    uint32_t           nodes = cw_fleet_size_nodes(&router->fleet_size, counted, now_of(quota));

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!peer->is_lost && peer->last_received_at != 0 && peer->peers + 1 > nodes) {
            nodes = peer->peers + 1;
        }
    }
    return is_new(quota) && router->fleet_size.stated == 0 && nodes < NODES_OF_NEW ? NODES_OF_NEW : nodes;
}

double cw_router_quota_share(const cw_router_t *router)
{
    const cw_router_quota_t *quota = router->quota;
    uint32_t                 nodes = quota->nodes == 0 ? NODES_OF_NEW : quota->nodes;
    uint32_t                 in_reach = quota->in_reach == 0 ? 1 : quota->in_reach;

    return in_reach * 100 >= nodes * CW_FLEET_REACHED_PERCENT ? 1 : (double)in_reach / nodes;
}

void cw_router_quota_init(cw_router_t *router)
{
    cw_router_quota_t  *quota = calloc(1, sizeof(*quota));
    cw_quota_settings_t settings = {.window = router->settings.limit_window,
                                    .overshoot = router->settings.limit_overshoot,
                                    .slack = router->settings.limit_slack};
    cw_quota_port_t     port = {.context = quota,
                                .counter_of = counter_of,
                                .report = report,
                                .ask = ask,
                                .give_back = give_back,
                                .decided = decided,
                                .mode_changed = mode_changed};

    if (quota == NULL) {
        abort();
    }
    quota->router = router;
    quota->share = cw_quota_share_create(&settings, &port, cw_peer_link_own_address(router->link), router->incarnation);
    quota->counter = cw_quota_counter_create(&settings);
    cw_router_quota_wire_init(quota);
    router->quota = quota;
    cw_engine_set_quota(router->engine, quota->share);
}

static void look_around(cw_router_quota_t *quota, cw_time_us_t now)
{
    const cw_router_t *router = quota->router;

    quota->in_reach = cw_peer_link_alive(router->link, router->silence, now) + 1;
    quota->nodes = nodes_of(quota);
    gather(quota);
    cw_quota_counter_set_nodes(quota->counter, quota->nodes, quota->in_reach);
    cw_quota_share_set_nodes(quota->share, quota->nodes);
    cw_metric_set(CW_METRIC_LIMIT_TENANTS, cw_quota_share_tenants(quota->share));
    cw_metric_set(CW_METRIC_LIMIT_BUCKETS, cw_quota_counter_buckets(quota->counter));
}

void cw_router_quota_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_quota_t *quota = router->quota;

    follow_configuration(quota);
    if (now - quota->gathered_at >= CW_MS(GATHER_EVERY_MS)) {
        quota->gathered_at = now;
        look_around(quota, now);
    }
    cw_quota_counter_tick(quota->counter, now, tell_metered, quota);
    cw_quota_share_tick(quota->share, now);
}
