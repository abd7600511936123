/**
 * @file configuration_pages.c
 * @brief Making pages of a configuration.
 */
#include "peer/configuration_pages.h"

#include <stdlib.h>
#include <string.h>

enum {
    KEYS_PER_SLICE = 3 /* about 100 bytes of digests, so that an item is about as large as a route */
};

/* ---- finding changes ---- */

/** A tenant with some of its keys: one item of a page. */
typedef struct tenant_slice {
    const cw_tenant_t *tenant;
    size_t             first;
    size_t             count;
} tenant_slice_t;

/** Items to be sent: added or changed ones, and removed ones of the base. The pointers refer to the configurations. */
typedef struct changes {
    const cw_route_t  **sent;
    size_t              sent_count;
    const cw_route_t  **removed;
    size_t              removed_count;
    tenant_slice_t     *slices;
    size_t              slice_count;
    const cw_tenant_t **removed_tenants;
    size_t              removed_tenant_count;
} changes_t;

static void *allocate(size_t count, size_t size)
{
    void *items = calloc(count + 1, size);

    if (items == NULL) {
        abort();
    }
    return items;
}

/* Compares the routes of both configurations, which are sorted by the same order. */
static void find_route_changes(const cw_configuration_t *base, const cw_configuration_t *configuration,
                               changes_t *changes)
{
    cw_route_walk_t walk = {.base = base, .configuration = configuration};

    changes->sent = allocate(configuration->route_count, sizeof(cw_route_t *));
    changes->removed = allocate(base == NULL ? 0 : base->route_count, sizeof(cw_route_t *));
    while (cw_route_walk_next(&walk)) {
        if (walk.after == NULL) {
            changes->removed[changes->removed_count++] = walk.before;
        } else if (walk.before == NULL || !cw_route_same(walk.before, walk.after)) {
            changes->sent[changes->sent_count++] = walk.after;
        }
    }
}

static void add_slices(changes_t *changes, const cw_tenant_t *tenant)
{
    size_t first = 0;

    do {
        size_t left = tenant->key_count - first;
        size_t count = left > KEYS_PER_SLICE ? KEYS_PER_SLICE : left;

        changes->slices[changes->slice_count++] = (tenant_slice_t){tenant, first, count};
        first += count;
    } while (first < tenant->key_count);
}

static size_t count_slices(const cw_configuration_t *configuration)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < configuration->tenant_count; index++) {
        count += configuration->tenants[index].key_count / KEYS_PER_SLICE + 1;
    }
    return count;
}

/* Compares the tenants of both configurations, which are sorted by name. */
static void find_tenant_changes(const cw_configuration_t *base, const cw_configuration_t *configuration,
                                changes_t *changes)
{
    size_t base_count = base == NULL ? 0 : base->tenant_count;
    size_t old = 0;
    size_t index = 0;

    changes->slices = allocate(count_slices(configuration), sizeof(tenant_slice_t));
    changes->removed_tenants = allocate(base_count, sizeof(cw_tenant_t *));
    while (old < base_count || index < configuration->tenant_count) {
        int order = old == base_count ? 1
                    : index == configuration->tenant_count
                        ? -1
                        : strcmp(base->tenants[old].name, configuration->tenants[index].name);

        if (order < 0) {
            changes->removed_tenants[changes->removed_tenant_count++] = &base->tenants[old++];
            continue;
        }
        if (order > 0 || !cw_tenant_same(&base->tenants[old], &configuration->tenants[index])) {
            add_slices(changes, &configuration->tenants[index]);
        }
        index++;
        old += order == 0 ? 1 : 0;
    }
}

static void clear_changes(changes_t *changes)
{
    free(changes->sent);
    free(changes->removed);
    free(changes->slices);
    free(changes->removed_tenants);
}

/* ---- making pages ---- */

/** A page that is being made, with the messages that it points to. */
typedef struct page_buffer {
    Cwp__ConfigurationPage   page;
    Cwp__ConfiguredRoute     routes[CW_CONFIGURATION_PAGE_ITEMS];
    Cwp__ConfiguredRoute    *route_pointers[CW_CONFIGURATION_PAGE_ITEMS];
    Cwp__ConfiguredLimits    limits;
    Cwp__ConfiguredService  *services;
    Cwp__ConfiguredService **service_pointers;
    Cwp__ConfiguredTenant    tenants[CW_CONFIGURATION_PAGE_ITEMS];
    Cwp__ConfiguredTenant   *tenant_pointers[CW_CONFIGURATION_PAGE_ITEMS];
    ProtobufCBinaryData      digests[CW_CONFIGURATION_PAGE_ITEMS * KEYS_PER_SLICE];
    char                    *removed_tenants[CW_CONFIGURATION_PAGE_ITEMS];
    Cwp__RouteKey            removed[CW_CONFIGURATION_PAGE_ITEMS];
    Cwp__RouteKey           *removed_pointers[CW_CONFIGURATION_PAGE_ITEMS];
} page_buffer_t;

static void add_route(page_buffer_t *buffer, const cw_route_t *route)
{
    Cwp__ConfiguredRoute *sent = &buffer->routes[buffer->page.n_routes];
    size_t                index;

    cwp__configured_route__init(sent);
    sent->name = route->name;
    sent->host = route->host;
    sent->prefix = route->prefix;
    sent->repeatable = route->repeatable;
    sent->timeout_us = (uint64_t)route->timeout;
    sent->objective_us = (uint64_t)route->objective;
    sent->max_attempts = route->max_attempts;
    sent->priority = route->priority;
    sent->allows_anonymous = route->allows_anonymous;
    sent->regions = route->regions.names;
    sent->n_regions = route->regions.count;
    sent->n_part_services = route->part_count;
    sent->n_part_weights = route->part_count;
    sent->part_services = allocate(route->part_count, sizeof(char *));
    sent->part_weights = allocate(route->part_count, sizeof(double));
    for (index = 0; index < route->part_count; index++) {
        sent->part_services[index] = route->parts[index].service;
        sent->part_weights[index] = route->parts[index].weight;
    }
    buffer->route_pointers[buffer->page.n_routes++] = sent;
}

static void add_services(page_buffer_t *buffer, const cw_configuration_t *configuration)
{
    size_t index;

    buffer->services = allocate(configuration->service_count, sizeof(*buffer->services));
    buffer->service_pointers = allocate(configuration->service_count, sizeof(void *));
    for (index = 0; index < configuration->service_count; index++) {
        const cw_service_t     *service = &configuration->services[index];
        Cwp__ConfiguredService *sent = &buffer->services[index];

        cwp__configured_service__init(sent);
        sent->name = service->name;
        sent->keyed = service->keyed;
        sent->max_connections = service->max_connections;
        sent->warm_us = (uint64_t)service->warm_time;
        sent->cold_us = (uint64_t)service->cold_time;
        sent->cold_per_s = service->cold_per_s;
        buffer->service_pointers[index] = sent;
    }
    buffer->page.services = buffer->service_pointers;
    buffer->page.n_services = configuration->service_count;
}

static void add_slice(page_buffer_t *buffer, const tenant_slice_t *slice)
{
    size_t                 position = buffer->page.n_tenants;
    const cw_tenant_t     *tenant = slice->tenant;
    Cwp__ConfiguredTenant *sent = &buffer->tenants[position];
    ProtobufCBinaryData   *digests = &buffer->digests[position * KEYS_PER_SLICE];
    size_t                 key;

    cwp__configured_tenant__init(sent);
    sent->name = tenant->name;
    sent->rate_per_s = tenant->rate_per_s;
    sent->burst = tenant->burst;
    sent->priority = tenant->priority;
    sent->concurrent = tenant->concurrent;
    sent->needs_key = tenant->needs_key;
    sent->in_parts = slice->count < tenant->key_count;
    sent->regions = tenant->regions.names;
    sent->n_regions = tenant->regions.count;
    sent->key_digests = digests;
    sent->n_key_digests = slice->count;
    for (key = 0; key < slice->count; key++) {
        digests[key] = (ProtobufCBinaryData){CW_TENANT_DIGEST_BYTES, tenant->keys[slice->first + key].bytes};
    }
    buffer->tenant_pointers[buffer->page.n_tenants++] = sent;
}

static void add_limits(page_buffer_t *buffer, const cw_http_limits_t *limits)
{
    cwp__configured_limits__init(&buffer->limits);
    buffer->limits.header_bytes = limits->header_bytes;
    buffer->limits.body_bytes = limits->body_bytes;
    buffer->limits.header_timeout_us = (uint64_t)limits->header_timeout;
    buffer->limits.idle_timeout_us = (uint64_t)limits->idle_timeout;
    buffer->page.limits = &buffer->limits;
}

static void add_removed(page_buffer_t *buffer, const cw_route_t *route)
{
    Cwp__RouteKey *removed = &buffer->removed[buffer->page.n_removed];

    cwp__route_key__init(removed);
    removed->host = route->host;
    removed->prefix = route->prefix;
    buffer->removed_pointers[buffer->page.n_removed++] = removed;
}

static void clear_page(page_buffer_t *buffer)
{
    size_t index;

    for (index = 0; index < buffer->page.n_routes; index++) {
        free(buffer->routes[index].part_services);
        free(buffer->routes[index].part_weights);
    }
    free(buffer->services);
    free(buffer->service_pointers);
    memset(buffer, 0, sizeof(*buffer));
}

static void begin_page(page_buffer_t *buffer, const cw_configuration_t *base, const cw_configuration_t *configuration,
                       uint32_t page, uint32_t pages)
{
    cwp__configuration_page__init(&buffer->page);
    buffer->page.version = configuration->version;
    buffer->page.since = base == NULL ? 0 : base->version;
    buffer->page.page = page;
    buffer->page.pages = pages;
    buffer->page.routes = buffer->route_pointers;
    buffer->page.removed = buffer->removed_pointers;
    buffer->page.tenants = buffer->tenant_pointers;
    buffer->page.removed_tenants = buffer->removed_tenants;
}

/* Adds the item with this index, counted over removed routes, sent routes, removed tenants and slices of sent tenants.
 */
static void add_item(page_buffer_t *buffer, const changes_t *changes, size_t item)
{
    if (item < changes->removed_count) {
        add_removed(buffer, changes->removed[item]);
        return;
    }
    item -= changes->removed_count;
    if (item < changes->sent_count) {
        add_route(buffer, changes->sent[item]);
        return;
    }
    item -= changes->sent_count;
    if (item < changes->removed_tenant_count) {
        buffer->removed_tenants[buffer->page.n_removed_tenants++] = changes->removed_tenants[item]->name;
        return;
    }
    add_slice(buffer, &changes->slices[item - changes->removed_tenant_count]);
}

static size_t count_items(const changes_t *changes)
{
    return changes->sent_count + changes->removed_count + changes->removed_tenant_count + changes->slice_count;
}

static void fill_page(page_buffer_t *buffer, const changes_t *changes, uint32_t page)
{
    size_t item = (size_t)page * CW_CONFIGURATION_PAGE_ITEMS;
    size_t end = item + CW_CONFIGURATION_PAGE_ITEMS;

    end = end > count_items(changes) ? count_items(changes) : end;
    for (; item < end; item++) {
        add_item(buffer, changes, item);
    }
}

bool cw_configuration_pages_make(const cw_configuration_t *base, const cw_configuration_t *configuration,
                                 cw_page_window_t window, cw_configuration_page_sink_t out, void *context)
{
    static page_buffer_t buffer; /* static because it is large; only one call uses it at a time */
    changes_t            changes = {0};
    uint32_t             pages;
    uint32_t             page = 0;

    find_route_changes(base, configuration, &changes);
    find_tenant_changes(base, configuration, &changes);
    pages = (uint32_t)((count_items(&changes) + CW_CONFIGURATION_PAGE_ITEMS - 1) / CW_CONFIGURATION_PAGE_ITEMS);
    pages = pages == 0 ? 1 : pages;
    if (pages > CW_CONFIGURATION_PAGES_MAX) {
        begin_page(&buffer, base, configuration, 0, 0);
        out(context, &buffer.page);
        pages = 0;
    }
    if (window.first >= pages) { /* the receiver asks for a page of another base */
        window.first = 0;
    }
    for (page = window.first; page < pages && page - window.first < window.count; page++) {
        begin_page(&buffer, base, configuration, page, pages);
        if (page == 0) {
            add_services(&buffer, configuration);
            add_limits(&buffer, &configuration->limits);
        }
        fill_page(&buffer, &changes, page);
        out(context, &buffer.page);
        clear_page(&buffer);
    }
    clear_changes(&changes);
    return pages != 0 && page == pages;
}
