/**
 * @file configuration_assembly.c
 * @brief Assembling a configuration from received pages.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "peer/configuration_pages.h"

uint32_t cw_configuration_assembly_first_missing(const cw_configuration_assembly_t *assembly)
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
    cw_name_set_clear(&assembly->removed_tenants);
    cw_configuration_release(assembly->partial);
    memset(assembly, 0, sizeof(*assembly));
}

static void unpack_route(cw_configuration_t *partial, const Cwp__ConfiguredRoute *sent)
{
    cw_route_t *route = cw_configuration_add_route(partial);
    size_t      index;

    route->name = strdup(sent->name);
    route->host = strdup(sent->host);
    route->prefix = strdup(sent->prefix);
    route->repeatable = sent->repeatable;
    route->timeout = (cw_time_us_t)sent->timeout_us;
    route->objective = (cw_time_us_t)sent->objective_us;
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

static void unpack_service(cw_configuration_t *partial, const Cwp__ConfiguredService *sent)
{
    cw_service_t *service = cw_configuration_add_service(partial);

    service->name = strdup(sent->name);
    service->keyed = sent->keyed;
    service->max_connections = sent->max_connections;
    service->warm_time = (cw_time_us_t)sent->warm_us;
    service->cold_time = (cw_time_us_t)sent->cold_us;
    service->cold_per_s = sent->cold_per_s;
}

/* The tenant with this name if an earlier entry with other keys of it was received; otherwise NULL. */
static cw_tenant_t *find_tenant(cw_configuration_t *partial, const char *name)
{
    size_t index;

    for (index = partial->tenant_count; index > 0; index--) {
        if (strcmp(partial->tenants[index - 1].name, name) == 0) {
            return &partial->tenants[index - 1];
        }
    }
    return NULL;
}

static cw_tenant_t *add_tenant(cw_configuration_t *partial, const Cwp__ConfiguredTenant *sent)
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
    return tenant;
}

static void unpack_tenant(cw_configuration_t *partial, const Cwp__ConfiguredTenant *sent)
{
    cw_tenant_t *tenant = sent->in_parts ? find_tenant(partial, sent->name) : NULL;
    size_t       index;

    if (tenant == NULL) {
        tenant = add_tenant(partial, sent);
    }
    for (index = 0; index < sent->n_key_digests; index++) {
        cw_key_digest_t key;

        if (sent->key_digests[index].len == CW_TENANT_DIGEST_BYTES) {
            memcpy(key.bytes, sent->key_digests[index].data, sizeof(key.bytes));
            cw_tenant_add_key(tenant, &key);
        }
    }
}

static void unpack_first_page(cw_configuration_assembly_t *assembly, const Cwp__ConfigurationPage *page)
{
    size_t index;

    for (index = 0; index < page->n_services; index++) {
        unpack_service(assembly->partial, page->services[index]);
    }
    if (page->limits != NULL) {
        assembly->partial->limits = (cw_http_limits_t){.header_bytes = (size_t)page->limits->header_bytes,
                                                       .body_bytes = (size_t)page->limits->body_bytes,
                                                       .header_timeout = (cw_time_us_t)page->limits->header_timeout_us,
                                                       .idle_timeout = (cw_time_us_t)page->limits->idle_timeout_us};
    }
}

static void unpack_removed(cw_configuration_assembly_t *assembly, const Cwp__ConfigurationPage *page)
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

static void mark_replaced(const cw_configuration_t *in_force, const cw_route_t *route, bool *replaced)
{
    const cw_route_t *found =
        bsearch(route, in_force->routes, in_force->route_count, sizeof(cw_route_t), compare_routes);

    if (found != NULL) {
        replaced[found - in_force->routes] = true;
    }
}

static bool *allocate_flags(size_t count)
{
    bool *flags = cw_memory_zeroed_items(count + 1, sizeof(bool));

    return flags;
}

/* Adds the routes of the base that were neither replaced nor removed. */
static void add_unchanged_routes(cw_configuration_assembly_t *assembly, const cw_configuration_t *in_force)
{
    size_t sent_count = assembly->partial->route_count;
    bool  *replaced = allocate_flags(in_force->route_count);
    size_t index;

    for (index = 0; index < sent_count; index++) {
        mark_replaced(in_force, &assembly->partial->routes[index], replaced);
    }
    for (index = 0; index < assembly->removed_count; index++) {
        cw_route_t removed_route = {.host = assembly->removed[index]->host, .prefix = assembly->removed[index]->prefix};

        mark_replaced(in_force, &removed_route, replaced);
    }
    for (index = 0; index < in_force->route_count; index++) {
        if (!replaced[index]) {
            cw_configuration_copy_route(assembly->partial, &in_force->routes[index]);
        }
    }
    free(replaced);
}

static int compare_tenants(const void *left, const void *right)
{
    return strcmp(((const cw_tenant_t *)left)->name, ((const cw_tenant_t *)right)->name);
}

/* Adds the tenants of the base that were neither replaced nor removed. */
static void add_unchanged_tenants(cw_configuration_assembly_t *assembly, const cw_configuration_t *in_force)
{
    size_t sent_count = assembly->partial->tenant_count;
    bool  *replaced = allocate_flags(in_force->tenant_count);
    size_t index;

    for (index = 0; index < sent_count; index++) {
        const cw_tenant_t *found = bsearch(&assembly->partial->tenants[index], in_force->tenants,
                                           in_force->tenant_count, sizeof(cw_tenant_t), compare_tenants);

        if (found != NULL) {
            replaced[found - in_force->tenants] = true;
        }
    }
    for (index = 0; index < in_force->tenant_count; index++) {
        const cw_tenant_t *tenant = &in_force->tenants[index];

        if (!replaced[index] && !cw_name_set_has(&assembly->removed_tenants, tenant->name)) {
            cw_configuration_copy_tenant(assembly->partial, tenant);
        }
    }
    free(replaced);
}

/* Unpacks the routes and tenants of a page, the removed ones, and services and limits of page 0. */
static void unpack_contents(cw_configuration_assembly_t *assembly, const Cwp__ConfigurationPage *page)
{
    size_t index;

    for (index = 0; index < page->n_routes; index++) {
        unpack_route(assembly->partial, page->routes[index]);
    }
    unpack_removed(assembly, page);
    for (index = 0; index < page->n_tenants; index++) {
        unpack_tenant(assembly->partial, page->tenants[index]);
    }
    for (index = 0; index < page->n_removed_tenants; index++) {
        cw_name_set_add(&assembly->removed_tenants, page->removed_tenants[index]);
    }
    if (page->page == 0) {
        unpack_first_page(assembly, page);
    }
}

cw_configuration_t *cw_configuration_assembly_add_page(cw_configuration_assembly_t  *assembly,
                                                       const cw_configuration_t     *in_force,
                                                       const Cwp__ConfigurationPage *page)
{
    uint64_t            version = in_force == NULL ? 0 : in_force->version;
    cw_configuration_t *whole;
    char                problem[CW_PROBLEM_BYTES];

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
    unpack_contents(assembly, page);
    if (assembly->received < assembly->pages) {
        return NULL;
    }
    if (assembly->base != 0) {
        add_unchanged_routes(assembly, in_force);
        add_unchanged_tenants(assembly, in_force);
    }
    whole = assembly->partial;
    assembly->partial = NULL;
    cw_configuration_assembly_clear(assembly);
    cw_configuration_seal(whole);
    if (!cw_configuration_check(whole, problem, sizeof(problem))) { /* no node has an invalid configuration in force */
        cw_configuration_release(whole);
        return NULL;
    }
    return whole;
}
