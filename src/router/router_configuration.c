/**
 * @file router_configuration.c
 * @brief The configuration in force at this node, and when it is looked at besides its standing watch.
 *
 * Rules:
 *  - A version is taken only if it is higher than the one in force, whoever told it: never back.
 *  - The adapter's watch brings each change. A node that hears of a higher version from another one gives its own watch
 *    a moment, and then reads the configuration: the watch may be dead.
 *  - A node that hears no other one has nobody to tell it of a dead watch: it reads from time to time.
 */
#include "router/router_internal.h"

enum {
    WATCH_LAG_PERCENT = 45, /* of the time in which a change has to be in force: so long its own watch may take */
    ALONE_EVERY_S = 4
};

uint64_t cw_router_version(const cw_router_t *router)
{
    return router->configuration == NULL ? 0 : router->configuration->version;
}

static void note_plan(const cw_router_t *router, const cw_configuration_t *configuration)
{
    const cw_configuration_t *before = router->configuration;
    int64_t                   added = 0;
    int64_t                   removed = 0;
    size_t                    index;
    cw_event_t                event;

    for (index = 0; index < configuration->route_count; index++) {
        const cw_route_t *route = &configuration->routes[index];

        added += before == NULL || cw_configuration_match(before, route->host, route->prefix) == NULL ? 1 : 0;
    }
    for (index = 0; before != NULL && index < before->route_count; index++) {
        const cw_route_t *route = &before->routes[index];

        removed += cw_configuration_match(configuration, route->host, route->prefix) == NULL ? 1 : 0;
    }
    if (cw_event_begin(&event, CW_EVENT_CONFIGURATION_ACCEPTED)) {
        cw_event_number(&event, CW_FIELD_VERSION, (int64_t)configuration->version);
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)configuration->route_count);
        cw_event_number(&event, CW_FIELD_ADDED, added);
        cw_event_number(&event, CW_FIELD_REMOVED, removed);
        cw_event_end(&event);
    }
}

void cw_router_on_configuration(void *context, cw_configuration_t *configuration, const char *problem)
{
    cw_router_t *router = context;
    cw_event_t   event;

    if (configuration == NULL) {
        if (cw_event_begin(&event, CW_EVENT_CONFIGURATION_REFUSED)) {
            cw_event_text(&event, CW_FIELD_REASON, problem);
            cw_event_end(&event);
        }
        return;
    }
    if (router->configuration != NULL && configuration->version <= router->configuration->version) {
        cw_configuration_release(configuration); /* never back */
        return;
    }
    note_plan(router, configuration);
    cw_configuration_release(router->configuration);
    router->configuration = configuration;
    router->all_due = true;
    cw_engine_set_configuration(router->engine, configuration);
    cw_http_listener_set_limits(router->callers, &configuration->limits);
    cw_metric_set(CW_METRIC_CONFIGURATION, configuration->version);
}

void cw_router_hear_configuration(cw_router_t *router, uint64_t version, cw_time_us_t now)
{
    if (version <= router->heard_version || version <= cw_router_version(router)) {
        return;
    }
    if (router->heard_version <= cw_router_version(router)) {
        router->heard_version_at = now;
    }
    router->heard_version = version;
}

void cw_router_configuration_tick(cw_router_t *router, cw_time_us_t now)
{
    bool missed = router->heard_version > cw_router_version(router) &&
                  now - router->heard_version_at >= router->settings.configuration_within * WATCH_LAG_PERCENT / 100;
    bool alone = cw_peer_link_alive(router->link, router->silence, now) == 0 &&
                 now - router->configuration_read_at >= CW_SECONDS(ALONE_EVERY_S);

    if (!missed && !alone) {
        return;
    }
    router->heard_version_at = now;
    router->configuration_read_at = now;
    router->store->read_configuration(router->store->context);
}
