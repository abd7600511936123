/**
 * @file router_quota.c
 * @brief Connects tenants' limits to the node: how messages about them are handled, and the tenants that this node
 * counts.
 *
 * A node counts a tenant only if it would ask itself about it (router_quota_choice.c). If it would ask another node, it
 * names that one in its reply: otherwise two nodes that both reach all others would both give out the whole limit.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/router_quota.h"

enum {
    CANDIDATES_UPDATE_MS = 100 /* between updates of the nodes that may count; well below CW_PEER_TIMEOUT_MS */
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

/* ---- this node as a counting node ---- */

static void decline(cw_router_quota_t *quota, uint32_t to, uint32_t sequence)
{
    cw_quota_message_t reply = {.kind = CW_QUOTA_STATUS, .sequence = sequence, .declines = true};

    cw_router_quota_send(quota, to, &reply);
}

/* Whether this node counts the tenant: it would ask itself about it. A node that knows no node to ask does not count
 * either, since another one may. */
static bool counts_tenant(cw_router_quota_t *quota, uint32_t tenant)
{
    return cw_router_quota_cached_counter(quota, tenant) == own_address(quota);
}

/* Adds the node that counts the tenant to the reply. If there is none (0), the node that asked continues to give out
 * its own part of the limit until it receives another reply. */
static void redirect(cw_router_quota_t *quota, uint32_t tenant, cw_quota_message_t *status)
{
    cw_metric_add(CW_METRIC_LIMIT_REDIRECTS, 1);
    status->redirected[status->redirected_count] = tenant;
    status->counters[status->redirected_count] = cw_router_quota_cached_counter(quota, tenant);
    status->redirected_count++;
}

static void handle_report(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message)
{
    cw_quota_message_t reply = {.kind = CW_QUOTA_STATUS, .sequence = message->sequence};
    size_t             index;

    for (index = 0; index < message->count; index++) {
        uint32_t tenant = message->usages[index].tenant;

        if (!counts_tenant(quota, tenant)) {
            redirect(quota, tenant, &reply);
            continue;
        }
        cw_quota_counter_report(quota->counter, from, message->incarnation, &message->usages[index], 1, now_of(quota));
        if (cw_quota_counter_is_metered(quota->counter, tenant, now_of(quota))) {
            reply.metered[reply.count++] = tenant;
        } else if (cw_quota_counter_is_outdated(quota->counter, tenant, message->version)) {
            reply.unknown[reply.unknown_count++] = tenant;
        }
    }
    cw_router_quota_send(quota, from, &reply);
}

static void handle_ask(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message)
{
    cw_quota_message_t reply = {.kind = CW_QUOTA_GRANT};
    cw_quota_message_t status = {.kind = CW_QUOTA_STATUS};

    if (!counts_tenant(quota, message->ask.usage.tenant)) {
        redirect(quota, message->ask.usage.tenant, &status);
        cw_router_quota_send(quota, from, &status);
        return;
    }
    reply.grant = cw_quota_counter_ask(quota->counter, from, &message->ask, now_of(quota));
    cw_router_quota_send(quota, from, &reply);
}

static void send_metered(void *context, uint32_t node, uint32_t tenant)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_STATUS, .count = 1, .metered = {tenant}};

    cw_router_quota_send(context, node, &message);
}

static void handle_status(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message, cw_time_us_t now)
{
    cw_quota_status_t status = {.sequence = message->sequence,
                                .metered = message->metered,
                                .metered_count = message->count,
                                .unknown = message->unknown,
                                .unknown_count = message->unknown_count,
                                .redirected = message->redirected,
                                .counters = message->counters,
                                .redirected_count = message->redirected_count};

    cw_quota_share_status(quota->share, from, &status, now);
}

/* ---- configured limits ---- */

static void apply_limits(cw_router_quota_t *quota, const cw_configuration_t *configuration)
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

/* Applies the limits of a newly accepted configuration. Called before each message, since the sender may have the
 * version that came into force here in this iteration of the loop. */
static void apply_new_configuration(cw_router_quota_t *quota)
{
    const cw_configuration_t *configuration = quota->router->configuration;

    if (configuration != NULL && configuration->version != quota->version) {
        apply_limits(quota, configuration);
    }
}

/* ---- messages ---- */

/* Whether this node declines to count. The decision is made on fresh data, since a node that receives such a reply asks
 * no node for a while, and this node may have received from the others since its last update. */
static bool still_declines(cw_router_quota_t *quota, cw_time_us_t now)
{
    if (cw_router_quota_declines(quota) && now - quota->gathered_at >= CW_MS(CW_TICK_MS)) {
        cw_router_quota_update_nodes(quota, now);
    }
    return cw_router_quota_declines(quota);
}

void cw_router_quota_deliver(cw_router_quota_t *quota, uint32_t from, const cw_quota_message_t *message)
{
    cw_time_us_t now = now_of(quota);

    if ((message->kind == CW_QUOTA_REPORT || message->kind == CW_QUOTA_ASK) && still_declines(quota, now)) {
        decline(quota, from, message->sequence);
        return;
    }
    apply_new_configuration(quota);
    switch (message->kind) {
    case CW_QUOTA_REPORT:
        handle_report(quota, from, message);
        break;
    case CW_QUOTA_STATUS:
        if (message->declines) {
            cw_quota_share_declined(quota->share, from, now);
        } else {
            handle_status(quota, from, message, now);
        }
        break;
    case CW_QUOTA_ASK:
        handle_ask(quota, from, message);
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

static uint32_t counter_of(void *context, uint32_t tenant)
{
    return cw_router_quota_counting_node(context, tenant);
}

static uint64_t configuration_version(const cw_router_quota_t *quota)
{
    return quota->router->configuration == NULL ? 0 : quota->router->configuration->version;
}

static void report(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count)
{
    cw_router_quota_t *quota = context;
    cw_quota_message_t message = {.kind = CW_QUOTA_REPORT,
                                  .incarnation = quota->router->incarnation,
                                  .sequence = sequence,
                                  .version = configuration_version(quota)};

    message.count = count > CW_QUOTA_USAGES_MAX ? CW_QUOTA_USAGES_MAX : count;
    memcpy(message.usages, usages, message.count * sizeof(*usages));
    cw_router_quota_send(quota, counter, &message);
}

static void ask(void *context, uint32_t counter, const cw_quota_ask_t *asked)
{
    cw_quota_message_t message = {.kind = CW_QUOTA_ASK, .ask = *asked};

    message.ask.version = configuration_version(context);
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

static const char *tenant_name(const cw_router_t *router, uint32_t tenant)
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

static const char *address_text(const cw_router_quota_t *quota, uint32_t address)
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
        cw_event_text(&event, CW_FIELD_TENANT, tenant_name(quota->router, tenant));
        cw_event_text(&event, CW_FIELD_LIMIT_MODE, mode_names[mode]);
        cw_event_text(&event, CW_FIELD_PEER, address_text(quota, counter));
        cw_event_ms(&event, CW_FIELD_LIMIT_AGE_MS, age);
        cw_event_number(&event, CW_FIELD_NODES, quota->nodes);
        cw_event_number(&event, CW_FIELD_IN_REACH, quota->in_reach);
        cw_event_end(&event);
    }
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

void cw_router_quota_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_quota_t *quota = router->quota;

    apply_new_configuration(quota);
    if (now - quota->gathered_at >= CW_MS(CANDIDATES_UPDATE_MS)) {
        cw_router_quota_update_nodes(quota, now);
        cw_metric_set(CW_METRIC_LIMIT_TENANTS, cw_quota_share_tenants(quota->share));
        cw_metric_set(CW_METRIC_LIMIT_BUCKETS, cw_quota_counter_buckets(quota->counter));
    }
    cw_quota_counter_tick(quota->counter, now, send_metered, quota);
    cw_quota_share_tick(quota->share, now);
}
