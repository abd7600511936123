/**
 * @file configuration_pages.c
 * @brief Configurations as pages: making them, and putting them together.
 */
#include "peer/configuration_pages.h"

#include <stdlib.h>
#include <string.h>

/* ---- what changed ---- */

/** Routes to be sent, and routes of the base that are gone. Borrowed pointers. */
typedef struct route_changes {
    const cw_route_t **sent;
    size_t             sent_count;
    const cw_route_t **removed;
    size_t             removed_count;
} route_changes_t;

static void *allocate(size_t count, size_t size)
{
    void *items = calloc(count + 1, size);

    if (items == NULL) {
        abort();
    }
    return items;
}

/* Walks both in their common order. */
static void find_changes(const cw_configuration_t *base, const cw_configuration_t *configuration,
                         route_changes_t *changes)
{
    size_t base_count = base == NULL ? 0 : base->route_count;
    size_t old = 0;
    size_t index = 0;

    changes->sent = allocate(configuration->route_count, sizeof(cw_route_t *));
    changes->removed = allocate(base_count, sizeof(cw_route_t *));
    while (old < base_count || index < configuration->route_count) {
        int order = old == base_count ? 1
                    : index == configuration->route_count
                        ? -1
                        : cw_route_compare(&base->routes[old], &configuration->routes[index]);

        if (order < 0) {
            changes->removed[changes->removed_count++] = &base->routes[old++];
            continue;
        }
        if (order > 0 || !cw_route_same(&base->routes[old], &configuration->routes[index])) {
            changes->sent[changes->sent_count++] = &configuration->routes[index];
        }
        index++;
        old += order == 0 ? 1 : 0;
    }
}

/* ---- making pages ---- */

/** A page while it is made: the messages that it points to. */
typedef struct page_buffer {
    Cwp__ConfigurationPage   page;
    Cwp__ConfiguredRoute     routes[CW_CONFIGURATION_PAGE_ROUTES];
    Cwp__ConfiguredRoute    *route_pointers[CW_CONFIGURATION_PAGE_ROUTES];
    Cwp__ConfiguredLimits    limits;
    Cwp__ConfiguredService  *services;
    Cwp__ConfiguredService **service_pointers;
    Cwp__ConfiguredTenant   *tenants;
    Cwp__ConfiguredTenant  **tenant_pointers;
    ProtobufCBinaryData     *digests;
    Cwp__RouteKey            removed[CW_CONFIGURATION_PAGE_ROUTES];
    Cwp__RouteKey           *removed_pointers[CW_CONFIGURATION_PAGE_ROUTES];
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
    sent->objective_us = (uint64_t)route->aim;
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

static void add_tenants(page_buffer_t *buffer, const cw_configuration_t *configuration)
{
    size_t keys = 0;
    size_t index;
    size_t key;

    for (index = 0; index < configuration->tenant_count; index++) {
        keys += configuration->tenants[index].key_count;
    }
    buffer->tenants = allocate(configuration->tenant_count, sizeof(*buffer->tenants));
    buffer->tenant_pointers = allocate(configuration->tenant_count, sizeof(void *));
    buffer->digests = allocate(keys, sizeof(*buffer->digests));
    keys = 0;
    for (index = 0; index < configuration->tenant_count; index++) {
        cw_tenant_t           *tenant = &configuration->tenants[index];
        Cwp__ConfiguredTenant *sent = &buffer->tenants[index];

        cwp__configured_tenant__init(sent);
        sent->name = tenant->name;
        sent->rate_per_s = tenant->rate_per_s;
        sent->burst = tenant->burst;
        sent->priority = tenant->priority;
        sent->concurrent = tenant->concurrent;
        sent->needs_key = tenant->needs_key;
        sent->regions = tenant->regions.names;
        sent->n_regions = tenant->regions.count;
        sent->key_digests = &buffer->digests[keys];
        sent->n_key_digests = tenant->key_count;
        for (key = 0; key < tenant->key_count; key++) {
            buffer->digests[keys++] = (ProtobufCBinaryData){CW_TENANT_DIGEST_BYTES, tenant->keys[key].bytes};
        }
        buffer->tenant_pointers[index] = sent;
    }
    buffer->page.tenants = buffer->tenant_pointers;
    buffer->page.n_tenants = configuration->tenant_count;
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
    free(buffer->tenants);
    free(buffer->tenant_pointers);
    free(buffer->digests);
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
}

/* Items are the removed routes, then the sent ones; a page holds so many of them, in order. */
static void fill_page(page_buffer_t *buffer, const route_changes_t *changes, uint32_t page)
{
    size_t item = (size_t)page * CW_CONFIGURATION_PAGE_ROUTES;
    size_t end = item + CW_CONFIGURATION_PAGE_ROUTES;

    for (; item < end && item < changes->removed_count; item++) {
        add_removed(buffer, changes->removed[item]);
    }
    for (; item < end && item < changes->removed_count + changes->sent_count; item++) {
        add_route(buffer, changes->sent[item - changes->removed_count]);
    }
}

bool cw_configuration_pages_make(const cw_configuration_t *base, const cw_configuration_t *configuration,
                                 cw_page_window_t window, cw_configuration_page_out_t out, void *context)
{
    static page_buffer_t buffer; /* large, and used by one call at a time */
    route_changes_t      changes = {0};
    size_t               items;
    uint32_t             pages;
    uint32_t             page = 0;

    find_changes(base, configuration, &changes);
    items = changes.sent_count + changes.removed_count;
    pages = (uint32_t)((items + CW_CONFIGURATION_PAGE_ROUTES - 1) / CW_CONFIGURATION_PAGE_ROUTES);
    pages = pages == 0 ? 1 : pages;
    if (pages > CW_CONFIGURATION_PAGES_MAX) {
        begin_page(&buffer, base, configuration, 0, 0);
        out(context, &buffer.page);
        pages = 0;
    }
    for (page = window.first; page < pages && page - window.first < window.count; page++) {
        begin_page(&buffer, base, configuration, page, pages);
        if (page == 0) {
            add_services(&buffer, configuration);
            add_tenants(&buffer, configuration);
            add_limits(&buffer, &configuration->limits);
        }
        fill_page(&buffer, &changes, page);
        out(context, &buffer.page);
        clear_page(&buffer);
    }
    free(changes.sent);
    free(changes.removed);
    return pages != 0 && page == pages;
}

/* ---- putting pages together ---- */

uint32_t cw_configuration_assembly_missing(const cw_configuration_assembly_t *assembly)
{
    uint32_t page = 0;

    while (page < assembly->pages && assembly->has[page]) {
        page++;
    }
    return page;
}

void cw_configuration_assembly_clear(cw_configuration_assembly_t *assembly)
{
    size_t index;

    for (index = 0; index < assembly->removed_count; index++) {
        cwp__route_key__free_unpacked(assembly->removed[index], NULL);
    }
    free(assembly->removed);
    cw_configuration_release(assembly->partial);
    memset(assembly, 0, sizeof(*assembly));
}

static void take_route(cw_configuration_t *partial, const Cwp__ConfiguredRoute *sent)
{
    cw_route_t *route = cw_configuration_add_route(partial);
    size_t      index;

    route->name = strdup(sent->name);
    route->host = strdup(sent->host);
    route->prefix = strdup(sent->prefix);
    route->repeatable = sent->repeatable;
    route->timeout = (cw_time_us_t)sent->timeout_us;
    route->aim = (cw_time_us_t)sent->objective_us;
    route->max_attempts = sent->max_attempts;
    route->priority = sent->priority;
    route->allows_anonymous = sent->allows_anonymous;
    for (index = 0; index < sent->n_regions; index++) {
        cw_name_set_add(&route->regions, sent->regions[index]);
    }
    for (index = 0; index < sent->n_part_services && index < sent->n_part_weights; index++) {
        cw_route_add_part(route, sent->part_services[index], sent->part_weights[index]);
    }
}

static void take_service(cw_configuration_t *partial, const Cwp__ConfiguredService *sent)
{
    cw_service_t *service = cw_configuration_add_service(partial);

    service->name = strdup(sent->name);
    service->keyed = sent->keyed;
    service->max_connections = sent->max_connections;
    service->warm_time = (cw_time_us_t)sent->warm_us;
    service->cold_time = (cw_time_us_t)sent->cold_us;
    service->cold_per_s = sent->cold_per_s;
}

static void take_tenant(cw_configuration_t *partial, const Cwp__ConfiguredTenant *sent)
{
    cw_tenant_t *tenant = cw_configuration_add_tenant(partial);
    size_t       index;

    tenant->name = strdup(sent->name);
    tenant->rate_per_s = sent->rate_per_s;
    tenant->burst = sent->burst;
    tenant->priority = sent->priority;
    tenant->concurrent = sent->concurrent;
    tenant->needs_key = sent->needs_key;
    for (index = 0; index < sent->n_regions; index++) {
        cw_name_set_add(&tenant->regions, sent->regions[index]);
    }
    for (index = 0; index < sent->n_key_digests; index++) {
        cw_key_digest_t key;

        if (sent->key_digests[index].len == CW_TENANT_DIGEST_BYTES) {
            memcpy(key.bytes, sent->key_digests[index].data, sizeof(key.bytes));
            cw_tenant_add_key(tenant, &key);
        }
    }
}

static void take_first_page(cw_configuration_assembly_t *assembly, const Cwp__ConfigurationPage *page)
{
    size_t index;

    for (index = 0; index < page->n_services; index++) {
        take_service(assembly->partial, page->services[index]);
    }
    for (index = 0; index < page->n_tenants; index++) {
        take_tenant(assembly->partial, page->tenants[index]);
    }
    if (page->limits != NULL) {
        assembly->partial->limits = (cw_http_limits_t){.header_bytes = (size_t)page->limits->header_bytes,
                                                       .body_bytes = (size_t)page->limits->body_bytes,
                                                       .header_timeout = (cw_time_us_t)page->limits->header_timeout_us,
                                                       .idle_timeout = (cw_time_us_t)page->limits->idle_timeout_us};
    }
}

static void take_removed(cw_configuration_assembly_t *assembly, const Cwp__ConfigurationPage *page)
{
    size_t          count = assembly->removed_count + page->n_removed;
    Cwp__RouteKey **removed = reallocarray(assembly->removed, count + 1, sizeof(void *));
    size_t          index;

    if (removed == NULL) {
        abort();
    }
    assembly->removed = removed;
    for (index = 0; index < page->n_removed; index++) {
        Cwp__RouteKey *key = malloc(sizeof(*key));

        if (key == NULL) {
            abort();
        }
        cwp__route_key__init(key);
        key->host = strdup(page->removed[index]->host);
        key->prefix = strdup(page->removed[index]->prefix);
        assembly->removed[assembly->removed_count++] = key;
    }
}

static int compare_routes(const void *left, const void *right)
{
    return cw_route_compare(left, right);
}

static void mark(const cw_configuration_t *in_force, const cw_route_t *route, bool *replaced)
{
    const cw_route_t *found =
        bsearch(route, in_force->routes, in_force->route_count, sizeof(cw_route_t), compare_routes);

    if (found != NULL) {
        replaced[found - in_force->routes] = true;
    }
}

/* Lays what was received over the configuration that it is based on. */
static void add_unchanged(cw_configuration_assembly_t *assembly, const cw_configuration_t *in_force)
{
    size_t sent_count = assembly->partial->route_count;
    bool  *replaced = allocate(in_force->route_count, sizeof(bool));
    size_t index;

    for (index = 0; index < sent_count; index++) {
        mark(in_force, &assembly->partial->routes[index], replaced);
    }
    for (index = 0; index < assembly->removed_count; index++) {
        cw_route_t gone = {.host = assembly->removed[index]->host, .prefix = assembly->removed[index]->prefix};

        mark(in_force, &gone, replaced);
    }
    for (index = 0; index < in_force->route_count; index++) {
        if (!replaced[index]) {
            cw_configuration_copy_route(assembly->partial, &in_force->routes[index]);
        }
    }
    free(replaced);
}

cw_configuration_t *cw_configuration_assembly_take(cw_configuration_assembly_t  *assembly,
                                                   const cw_configuration_t     *in_force,
                                                   const Cwp__ConfigurationPage *page)
{
    uint64_t            version = in_force == NULL ? 0 : in_force->version;
    cw_configuration_t *whole;
    char                problem[CW_PROBLEM_BYTES];
    size_t              index;

    if (page->version <= version || (page->since != 0 && page->since != version) ||
        page->pages > CW_CONFIGURATION_PAGES_MAX || page->page >= page->pages) {
        return NULL;
    }
    if (assembly->partial == NULL || assembly->partial->version != page->version || assembly->base != page->since ||
        assembly->pages != page->pages) {
        cw_configuration_assembly_clear(assembly);
        assembly->partial = cw_configuration_create(page->version);
        assembly->base = page->since;
        assembly->pages = page->pages;
    }
    if (assembly->has[page->page]) {
        return NULL;
    }
    assembly->has[page->page] = true;
    assembly->received++;
    for (index = 0; index < page->n_routes; index++) {
        take_route(assembly->partial, page->routes[index]);
    }
    take_removed(assembly, page);
    if (page->page == 0) {
        take_first_page(assembly, page);
    }
    if (assembly->received < assembly->pages) {
        return NULL;
    }
    if (assembly->base != 0) {
        add_unchanged(assembly, in_force);
    }
    whole = assembly->partial;
    assembly->partial = NULL;
    cw_configuration_assembly_clear(assembly);
    cw_configuration_seal(whole);
    if (!cw_configuration_check(whole, problem, sizeof(problem))) { /* no node has such a one in force */
        cw_configuration_release(whole);
        return NULL;
    }
    return whole;
}
