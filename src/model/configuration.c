/**
 * @file configuration.c
 * @brief Building, checking and searching of configurations.
 */
#include "model/configuration.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/memory.h"

enum { DEFAULT_HEADER_BYTES = 16384, DEFAULT_BODY_BYTES = 1 << 20, DEFAULT_HEADER_S = 10, DEFAULT_IDLE_S = 60 };

/* The memory of an array doubles whenever its number of items is a power of two. */
static void *add_item(void *items, size_t count, size_t size)
{
    bool  is_full = (count & (count - 1)) == 0;
    void *longer = is_full ? cw_memory_resize(items, (count == 0 ? 1 : 2 * count) * size) : items;

    memset((char *)longer + count * size, 0, size);
    return longer;
}

cw_configuration_t *cw_configuration_create(uint64_t version)
{
    cw_configuration_t *configuration = cw_memory_zeroed(sizeof(*configuration));

    configuration->version = version;
    configuration->references = 1;
    configuration->limits.header_bytes = DEFAULT_HEADER_BYTES;
    configuration->limits.body_bytes = DEFAULT_BODY_BYTES;
    configuration->limits.header_timeout = CW_SECONDS(DEFAULT_HEADER_S);
    configuration->limits.idle_timeout = CW_SECONDS(DEFAULT_IDLE_S);
    return configuration;
}

cw_route_t *cw_configuration_add_route(cw_configuration_t *configuration)
{
    configuration->routes = add_item(configuration->routes, configuration->route_count, sizeof(cw_route_t));
    return &configuration->routes[configuration->route_count++];
}

cw_service_t *cw_configuration_add_service(cw_configuration_t *configuration)
{
    configuration->services = add_item(configuration->services, configuration->service_count, sizeof(cw_service_t));
    return &configuration->services[configuration->service_count++];
}

cw_tenant_t *cw_configuration_add_tenant(cw_configuration_t *configuration)
{
    configuration->tenants = add_item(configuration->tenants, configuration->tenant_count, sizeof(cw_tenant_t));
    return &configuration->tenants[configuration->tenant_count++];
}

void cw_route_add_part(cw_route_t *route, const char *service, double weight)
{
    route->parts = add_item(route->parts, route->part_count, sizeof(cw_split_part_t));
    route->parts[route->part_count].service = strdup(service);
    route->parts[route->part_count].weight = weight;
    route->part_count++;
}

int cw_route_compare(const cw_route_t *left, const cw_route_t *right)
{
    int order = strcasecmp(left->host, right->host);

    if (order != 0) {
        return order;
    }
    if (strlen(left->prefix) != strlen(right->prefix)) {
        return strlen(left->prefix) > strlen(right->prefix) ? -1 : 1;
    }
    return strcmp(left->prefix, right->prefix);
}

static int compare_routes(const void *left, const void *right)
{
    return cw_route_compare(left, right);
}

bool cw_route_same_parts(const cw_route_t *left, const cw_route_t *right)
{
    size_t index;

    if (left->part_count != right->part_count) {
        return false;
    }
    for (index = 0; index < left->part_count; index++) {
        if (strcmp(left->parts[index].service, right->parts[index].service) != 0 ||
            left->parts[index].weight != right->parts[index].weight) {
            return false;
        }
    }
    return true;
}

bool cw_route_same(const cw_route_t *left, const cw_route_t *right)
{
    bool same_place = strcmp(left->name, right->name) == 0 && strcmp(left->host, right->host) == 0 &&
                      strcmp(left->prefix, right->prefix) == 0;
    bool same_rules = left->repeatable == right->repeatable && left->timeout == right->timeout &&
                      left->objective == right->objective && left->max_attempts == right->max_attempts &&
                      left->priority == right->priority && left->allows_anonymous == right->allows_anonymous;

    return same_place && same_rules && cw_route_same_parts(left, right) &&
           cw_name_set_same(&left->regions, &right->regions);
}

void cw_configuration_copy_route(cw_configuration_t *configuration, const cw_route_t *route)
{
    cw_route_t *copy = cw_configuration_add_route(configuration);
    size_t      index;

    *copy = *route;
    copy->name = strdup(route->name);
    copy->host = strdup(route->host);
    copy->prefix = strdup(route->prefix);
    copy->parts = NULL;
    copy->part_count = 0;
    memset(&copy->regions, 0, sizeof(copy->regions));
    cw_name_set_copy(&copy->regions, &route->regions);
    for (index = 0; index < route->part_count; index++) {
        cw_route_add_part(copy, route->parts[index].service, route->parts[index].weight);
    }
}

void cw_configuration_copy_tenant(cw_configuration_t *configuration, const cw_tenant_t *tenant)
{
    cw_tenant_t *copy = cw_configuration_add_tenant(configuration);
    size_t       index;

    *copy = *tenant;
    copy->name = strdup(tenant->name);
    copy->keys = NULL;
    copy->key_count = 0;
    for (index = 0; index < tenant->key_count; index++) {
        cw_tenant_add_key(copy, &tenant->keys[index]);
    }
    memset(&copy->regions, 0, sizeof(copy->regions));
    cw_name_set_copy(&copy->regions, &tenant->regions);
}

static int compare_tenants(const void *left, const void *right)
{
    return strcmp(((const cw_tenant_t *)left)->name, ((const cw_tenant_t *)right)->name);
}

static void seal_tenants(cw_configuration_t *configuration)
{
    size_t index;

    if (configuration->tenant_count > 1) {
        qsort(configuration->tenants, configuration->tenant_count, sizeof(cw_tenant_t), compare_tenants);
    }
    for (index = 0; index < configuration->tenant_count; index++) {
        configuration->needs_keys = configuration->needs_keys || configuration->tenants[index].needs_key;
    }
    cw_credential_index_free(configuration->credentials);
    configuration->credentials = cw_credential_index_create(configuration->tenants, configuration->tenant_count,
                                                            &configuration->has_conflict, &configuration->conflict);
}

static int compare_lengths(const void *left, const void *right)
{
    size_t one = *(const size_t *)left;
    size_t other = *(const size_t *)right;

    return one > other ? -1 : one < other;
}

/* Collects the different lengths of prefixes, so that a path is looked up once for each of them. */
static void seal_prefix_lengths(cw_configuration_t *configuration)
{
    size_t *lengths = cw_memory_zeroed_items(configuration->route_count + 1, sizeof(*lengths));
    size_t  count = 0;
    size_t  index;

    for (index = 0; index < configuration->route_count; index++) {
        lengths[index] = strlen(configuration->routes[index].prefix);
    }
    qsort(lengths, configuration->route_count, sizeof(*lengths), compare_lengths);
    for (index = 0; index < configuration->route_count; index++) {
        if (count == 0 || lengths[count - 1] != lengths[index]) {
            lengths[count++] = lengths[index];
        }
    }
    free(configuration->prefix_lengths);
    configuration->prefix_lengths = cw_memory_resize(lengths, (count + 1) * sizeof(*lengths));
    configuration->prefix_length_count = count;
}

void cw_configuration_seal(cw_configuration_t *configuration)
{
    if (configuration->route_count > 1) {
        qsort(configuration->routes, configuration->route_count, sizeof(cw_route_t), compare_routes);
    }
    seal_prefix_lengths(configuration);
    seal_tenants(configuration);
}

/** Name hash of a tenant with a limit. */
typedef struct limited_tenant {
    uint32_t    hash;
    const char *name;
} limited_tenant_t;

static int compare_hashes(const void *left, const void *right)
{
    uint32_t one = ((const limited_tenant_t *)left)->hash;
    uint32_t other = ((const limited_tenant_t *)right)->hash;

    return one < other ? -1 : one > other;
}

/* Returns the tenants with limits, sorted by hash. The caller frees the array. */
static limited_tenant_t *limited_tenants(const cw_configuration_t *configuration, size_t *count)
{
    limited_tenant_t *limited = calloc(configuration->tenant_count + 1, sizeof(*limited));
    size_t            index;

    if (limited == NULL) {
        abort();
    }
    *count = 0;
    for (index = 0; index < configuration->tenant_count; index++) {
        const cw_tenant_t *tenant = &configuration->tenants[index];

        if (tenant->rate_per_s > 0) {
            limited[(*count)++] = (limited_tenant_t){.hash = cw_tenant_hash(tenant->name), .name = tenant->name};
        }
    }
    qsort(limited, *count, sizeof(*limited), compare_hashes);
    return limited;
}

/* Whether two tenants with limits have the same hash. Nodes count requests by the hash, so the two would share a limit.
 */
static bool have_same_hash(const cw_configuration_t *configuration, char *problem, size_t size)
{
    size_t            count;
    limited_tenant_t *limited = limited_tenants(configuration, &count);
    bool              is_shared = false;
    size_t            index;

    for (index = 1; index < count && !is_shared; index++) {
        is_shared = limited[index - 1].hash == limited[index].hash;
        if (is_shared) {
            snprintf(problem, size, "tenants '%s' and '%s' have limits and names of one hash: one needs another name",
                     limited[index - 1].name, limited[index].name);
        }
    }
    free(limited);
    return is_shared;
}

bool cw_configuration_check(const cw_configuration_t *configuration, char *problem, size_t size)
{
    const cw_tenant_t *tenants = configuration->tenants;
    size_t             index;

    for (index = 1; index < configuration->tenant_count; index++) {
        if (strcmp(tenants[index - 1].name, tenants[index].name) == 0) {
            snprintf(problem, size, "two tenants are named '%s'", tenants[index].name);
            return false;
        }
    }
    if (configuration->has_conflict) {
        snprintf(problem, size, "tenants '%s' and '%s' have the same key", tenants[configuration->conflict.first].name,
                 tenants[configuration->conflict.second].name);
        return false;
    }
    return !have_same_hash(configuration, problem, size);
}

cw_configuration_t *cw_configuration_retain(cw_configuration_t *configuration)
{
    configuration->references++;
    return configuration;
}

static void clear_route(cw_route_t *route)
{
    size_t index;

    for (index = 0; index < route->part_count; index++) {
        free(route->parts[index].service);
    }
    free(route->parts);
    cw_name_set_clear(&route->regions);
    free(route->name);
    free(route->host);
    free(route->prefix);
}

void cw_configuration_release(cw_configuration_t *configuration)
{
    size_t index;

    if (configuration == NULL || --configuration->references > 0) {
        return;
    }
    for (index = 0; index < configuration->route_count; index++) {
        clear_route(&configuration->routes[index]);
    }
    for (index = 0; index < configuration->service_count; index++) {
        free(configuration->services[index].name);
    }
    for (index = 0; index < configuration->tenant_count; index++) {
        cw_tenant_clear(&configuration->tenants[index]);
    }
    cw_credential_index_free(configuration->credentials);
    free(configuration->prefix_lengths);
    free(configuration->routes);
    free(configuration->services);
    free(configuration->tenants);
    free(configuration);
}

const cw_service_t *cw_configuration_service(const cw_configuration_t *configuration, const char *name)
{
    size_t index;

    for (index = 0; index < configuration->service_count; index++) {
        if (strcmp(configuration->services[index].name, name) == 0) {
            return &configuration->services[index];
        }
    }
    return NULL;
}

/* Returns the tenant by binary search; NULL: none. The name has this length and need not be terminated. */
static const cw_tenant_t *tenant_named(const cw_configuration_t *configuration, const char *name, size_t length)
{
    size_t low = 0;
    size_t high = configuration->tenant_count;

    while (low < high) {
        size_t      middle = low + (high - low) / 2;
        const char *found = configuration->tenants[middle].name;
        int         order = strncmp(found, name, length);

        if (order == 0 && found[length] == '\0') {
            return &configuration->tenants[middle];
        }
        if (order < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return NULL;
}

const cw_tenant_t *cw_configuration_tenant_named(const cw_configuration_t *configuration, const char *name)
{
    return tenant_named(configuration, name, strlen(name));
}

const cw_tenant_t *cw_configuration_tenant_of(const cw_configuration_t *configuration, const char *name)
{
    const char        *slash;
    const cw_tenant_t *tenant = NULL;

    for (slash = strchr(name, '/'); slash != NULL && tenant == NULL; slash = strchr(slash + 1, '/')) {
        tenant = tenant_named(configuration, name, (size_t)(slash - name));
    }
    return tenant;
}

static int compare_host(const char *host, size_t length, const char *route_host)
{
    int order = strncasecmp(host, route_host, length);

    if (order == 0 && route_host[length] != '\0') {
        return -1;
    }
    return order;
}

/** Start of a path that is looked for among the prefixes of a host. */
typedef struct prefix_key {
    const char *host; /**< not terminated */
    size_t      host_length;
    const char *path;
    size_t      length; /**< number of bytes of the path */
} prefix_key_t;

/* Compares by the order of routes. */
static int compare_key(const void *searched, const void *item)
{
    const prefix_key_t *key = searched;
    const cw_route_t   *route = item;
    int                 order = compare_host(key->host, key->host_length, route->host);
    size_t              length = strlen(route->prefix);

    if (order != 0) {
        return order;
    }
    if (length != key->length) {
        return length > key->length ? 1 : -1;
    }
    return strncmp(key->path, route->prefix, length);
}

const cw_route_t *cw_configuration_match(const cw_configuration_t *configuration, const char *host, const char *path)
{
    prefix_key_t      key = {.host = host, .host_length = strcspn(host, ":"), .path = path};
    size_t            path_length = strlen(path);
    const cw_route_t *route = NULL;
    size_t            index;

    for (index = 0; index < configuration->prefix_length_count && route == NULL; index++) {
        key.length = configuration->prefix_lengths[index];
        if (key.length <= path_length) {
            route = bsearch(&key, configuration->routes, configuration->route_count, sizeof(cw_route_t), compare_key);
        }
    }
    return route;
}

bool cw_route_walk_next(cw_route_walk_t *walk)
{
    bool has_before = walk->base != NULL && walk->base_index < walk->base->route_count;
    bool has_after = walk->index < walk->configuration->route_count;
    int  order;

    if (!has_before && !has_after) {
        return false;
    }
    walk->before = has_before ? &walk->base->routes[walk->base_index] : NULL;
    walk->after = has_after ? &walk->configuration->routes[walk->index] : NULL;
    order = !has_before ? 1 : !has_after ? -1 : cw_route_compare(walk->before, walk->after);
    if (order < 0) {
        walk->after = NULL;
    } else if (order > 0) {
        walk->before = NULL;
    }
    walk->base_index += order <= 0 ? 1 : 0;
    walk->index += order >= 0 ? 1 : 0;
    return true;
}
