/**
 * @file server_pool.c
 * @brief Stores the servers and counts this node's requests at them.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "balance/server_pool_internal.h"
#include "base/memory.h"

enum {
    AVOID_MAX_MS = 2000,    /* longest time for which a failed server is avoided */
    AVOID_DOUBLINGS_MAX = 3 /* of CW_AVOID_INITIAL_MS, one for each further fault in a row */
};

static const double min_pace = 0.25;
static const double max_pace = 20.0;

cw_server_pool_t *cw_server_pool_create(const char *zone, cw_server_dropped_t dropped, void *context)
{
    cw_server_pool_t *pool = cw_memory_zeroed(sizeof(*pool));

    pool->zone = strdup(zone);
    pool->dropped = dropped;
    pool->context = context;
    pool->leaving_servers = cw_leaving_servers_create();
    return pool;
}

void cw_server_pool_set_node(cw_server_pool_t *pool, const char *node)
{
    pool->node = XXH3_64bits(node, strlen(node));
}

/* ---- servers of a service ---- */

uint32_t cw_server_pool_service_hash(const char *service)
{
    return (uint32_t)XXH3_64bits(service, strlen(service));
}

static service_servers_t *servers_of(const cw_server_pool_t *pool, uint32_t service_hash)
{
    service_servers_t *known;

    HASH_FIND(hh, pool->by_service, &service_hash, sizeof(service_hash), known);
    return known;
}

cw_server_t *cw_server_pool_of_service(const cw_server_pool_t *pool, uint32_t service_hash)
{
    const service_servers_t *known = servers_of(pool, service_hash);

    return known == NULL ? NULL : known->servers;
}

static void add_to_service(cw_server_pool_t *pool, cw_server_t *server)
{
    service_servers_t *known = servers_of(pool, server->service_hash);

    if (known == NULL) {
        known = cw_memory_zeroed(sizeof(*known));
        known->service_hash = server->service_hash;
        HASH_ADD(hh, pool->by_service, service_hash, sizeof(known->service_hash), known);
    }
    DL_APPEND(known->servers, server);
}

static void free_services(cw_server_pool_t *pool)
{
    service_servers_t *known;
    service_servers_t *next;

    HASH_ITER(hh, pool->by_service, known, next)
    {
        HASH_DEL(pool->by_service, known); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
        free(known);
    }
}

/* ---- removal ---- */

static void drop_server(cw_server_pool_t *pool, cw_server_t *server)
{
    service_servers_t *known = servers_of(pool, server->service_hash);

    DL_DELETE(known->servers, server);
    HASH_DELETE(by_id, pool->by_id, server);
    HASH_DELETE(by_hash, pool->by_hash, server);
    pool->dropped(pool->context, server);
    free(server->id);
    free(server->service);
    free(server->address);
    free(server->zone);
    free(server->region);
    free(server);
}

static void free_warm_ups(cw_server_pool_t *pool)
{
    service_warm_up_t *known;
    service_warm_up_t *next;

    HASH_ITER(hh, pool->warm_ups, known, next)
    {
        HASH_DEL(pool->warm_ups, known); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
        free(known->service);
        free(known);
    }
}

void cw_server_pool_free(cw_server_pool_t *pool)
{
    while (pool->by_id != NULL) {
        drop_server(pool, pool->by_id);
    }
    free_services(pool);
    free_warm_ups(pool);
    while (pool->peers != NULL) {
        cw_server_pool_free_peer(pool, pool->peers);
    }
    cw_leaving_servers_free(pool->leaving_servers);
    free(pool->regions);
    free(pool->zone);
    free(pool);
}

/* ---- list of servers ---- */

cw_server_t *cw_server_pool_find(cw_server_pool_t *pool, const char *id)
{
    cw_server_t *server;

    HASH_FIND(by_id, pool->by_id, id, strlen(id), server);
    return server;
}

cw_server_t *cw_server_pool_by_hash(cw_server_pool_t *pool, uint32_t hash)
{
    cw_server_t *server;

    HASH_FIND(by_hash, pool->by_hash, &hash, sizeof(hash), server);
    return server;
}

const cw_server_t *cw_server_pool_find_hash(cw_server_pool_t *pool, uint32_t hash)
{
    const cw_server_t *server = cw_server_pool_by_hash(pool, hash);

    return server != NULL && server->listed ? server : NULL;
}

const char *cw_server_pool_zone(const cw_server_pool_t *pool)
{
    return pool->zone;
}

cw_server_t *cw_server_pool_all(cw_server_pool_t *pool)
{
    return pool->by_id;
}

static cw_warm_up_t warm_up_of(const cw_server_pool_t *pool, const char *service)
{
    const service_warm_up_t *known;

    HASH_FIND_STR(pool->warm_ups, service, known);
    return known == NULL ? (cw_warm_up_t){0} : known->warm_up;
}

void cw_server_pool_set_cold_rate(cw_server_pool_t *pool, const cw_cold_rate_t *rate)
{
    pool->cold_rate = rate;
}

void cw_server_pool_set_warm_up(cw_server_pool_t *pool, const char *service, const cw_warm_up_t *warm_up)
{
    service_warm_up_t *known;
    cw_server_t       *server;
    cw_server_t       *next;

    HASH_FIND_STR(pool->warm_ups, service, known);
    if (known == NULL) {
        known = cw_memory_zeroed(sizeof(*known));
        known->service = strdup(service);
        HASH_ADD_KEYPTR(hh, pool->warm_ups, known->service, strlen(known->service), known);
    }
    known->warm_up = *warm_up;
    HASH_ITER(by_id, pool->by_id, server, next)
    {
        if (strcmp(server->service, service) == 0) {
            server->cold_per_s = warm_up->per_s;
        }
    }
}

/* An entry's cold_time counts from the time at which the entry was written, which is not known here: the full time from
 * now is assumed. It is applied only when the entry becomes cold: an entry that still says cold later than that has not
 * been written again. */
static void update_cold_until(cw_server_t *server, const cw_server_entry_t *entry, cw_time_us_t now)
{
    if (entry->cold_time != 0 && !server->entry_is_cold) {
        server->cold_until = now + entry->cold_time > server->cold_until ? now + entry->cold_time : server->cold_until;
    }
    server->entry_is_cold = entry->cold_time != 0;
}

void cw_server_pool_set_zones(cw_server_pool_t *pool, const cw_zone_service_t *zones)
{
    cw_server_t *server;
    cw_server_t *next;

    HASH_ITER(by_id, pool->by_id, server, next)
    {
        cw_time_us_t put_back_at = cw_zone_service_put_back_at(zones, server->zone);
        cw_warm_up_t warm_up = warm_up_of(pool, server->service);

        server->zone_is_out = cw_zone_service_is_out(zones, server->zone);
        server->zone_out_owner_until = cw_zone_service_owners_until(zones, server->zone);
        if (warm_up.per_s > 0 && put_back_at > server->zone_put_back_at) {
            server->cold_until = put_back_at + warm_up.duration > server->cold_until ? put_back_at + warm_up.duration
                                                                                     : server->cold_until;
        }
        server->zone_put_back_at = put_back_at;
    }
}

void cw_server_pool_set_regions(cw_server_pool_t *pool, const cw_zone_region_t *zones, size_t count)
{
    pool->regions = cw_memory_zeroed_items(count + 1, sizeof(*pool->regions));
    memcpy(pool->regions, zones, count * sizeof(*zones));
    pool->region_count = count;
    cw_region_table_init(&pool->region_table, zones, count);
}

static const char *region_of(const cw_server_pool_t *pool, const char *zone)
{
    size_t index;

    for (index = 0; index < pool->region_count; index++) {
        if (strcmp(pool->regions[index].zone, zone) == 0) {
            return pool->regions[index].region;
        }
    }
    return "";
}

bool cw_server_pool_has_regions(const cw_server_pool_t *pool)
{
    return pool->region_table.count > 1;
}

uint32_t cw_server_pool_zone_bit(const cw_server_pool_t *pool, const char *zone)
{
    return cw_region_bit(&pool->region_table, region_of(pool, zone));
}

uint32_t cw_server_pool_region_mask(const cw_server_pool_t *pool, const cw_region_rule_t *rule)
{
    return cw_region_mask(&pool->region_table, rule->route, rule->tenant);
}

static cw_server_t *add_server(cw_server_pool_t *pool, const cw_server_entry_t *entry)
{
    cw_server_t *server = cw_memory_zeroed(sizeof(*server));

    server->id = strdup(entry->id);
    server->service = strdup(entry->service);
    server->address = strdup(entry->address);
    server->zone = strdup(entry->zone);
    server->region = strdup(region_of(pool, entry->zone));
    server->distance = cw_zone_distance(pool->regions, pool->region_count, pool->zone, entry->zone);
    server->region_bit = cw_region_bit(&pool->region_table, server->region);
    server->hash = (uint32_t)XXH3_64bits(entry->id, strlen(entry->id));
    server->service_hash = cw_server_pool_service_hash(entry->service);
    server->affinity = (double)(XXH3_64bits_withSeed(entry->id, strlen(entry->id), pool->node) >> 11) * 0x1.0p-53;
    server->announced_leaving = cw_leaving_servers_has(pool->leaving_servers, server->hash);
    server->pace = 1;
    server->cold_per_s = warm_up_of(pool, entry->service).per_s;
    HASH_ADD_KEYPTR(by_id, pool->by_id, server->id, strlen(server->id), server);
    HASH_ADD(by_hash, pool->by_hash, hash, sizeof(server->hash), server);
    add_to_service(pool, server);
    return server;
}

void cw_server_pool_update(cw_server_pool_t *pool, const cw_server_list_t *list, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       index;

    HASH_ITER(by_id, pool->by_id, server, next)
    {
        server->listed = false;
    }
    for (index = 0; index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[index];

        server = cw_server_pool_find(pool, entry->id);
        if (server == NULL) {
            server = add_server(pool, entry);
            cw_server_pool_count_others(pool, server);
        }
        server->listed = true;
        server->draining = entry->draining || server->announced_leaving;
        server->capacity = entry->capacity;
        update_cold_until(server, entry, now);
    }
    HASH_ITER(by_id, pool->by_id, server, next)
    {
        if (!server->listed && server->own == 0) {
            drop_server(pool, server);
        }
    }
    cw_server_pool_drop_paces(pool);
    cw_leaving_servers_expire(pool->leaving_servers, now);
}

bool cw_server_pool_record_leaving(cw_server_pool_t *pool, uint32_t hash, cw_time_us_t owner_until, cw_time_us_t now)
{
    cw_server_t *server = cw_server_pool_by_hash(pool, hash);

    if (!cw_leaving_servers_add(pool->leaving_servers, hash, now)) {
        return false;
    }
    if (server == NULL) {
        return true;
    }
    if (!server->draining) {
        server->leaving_owner_until = owner_until;
    }
    server->announced_leaving = true;
    server->draining = true;
    return true;
}

bool cw_server_accepts(const cw_server_t *server, bool is_owner, cw_time_us_t now)
{
    return !server->draining || (is_owner && now < server->leaving_owner_until);
}

/* ---- this node's requests ---- */

void cw_server_pool_begin_request(cw_server_t *server, cw_time_us_t now)
{
    server->own++;
    if (cw_server_is_rate_bounded(server, now)) {
        cw_cold_sends_record(&server->cold_sends, now);
    }
}

void cw_server_pool_end_request(cw_server_pool_t *pool, cw_server_t *server)
{
    server->own--;
    if (!server->listed && server->own == 0) {
        drop_server(pool, server);
    }
}

void cw_server_update_pace(cw_server_t *server, double ratio, double weight)
{
    ratio = ratio < min_pace ? min_pace : ratio > max_pace ? max_pace : ratio;
    server->pace += weight * (ratio - server->pace);
}

void cw_server_pool_clear_faults(cw_server_t *server)
{
    server->faults = 0;
    server->avoid_until = 0;
    server->spoiled = 0;
}

void cw_server_pool_record_served(cw_server_t *server, cw_time_us_t took, cw_time_us_t mean_time, cw_time_us_t now)
{
    double ratio = mean_time <= 0 ? 1 : (double)took / (double)mean_time;

    cw_server_update_pace(server, ratio, CW_PACE_WEIGHT);
    server->pace_at = now;
    server->served++;
    server->served_time += (uint64_t)(ratio * 1000);
    cw_server_pool_clear_faults(server);
}

void cw_server_pool_record_load(cw_server_t *server, const cw_server_load_t *sample, cw_time_us_t now)
{
    uint32_t all = sample->running + sample->waiting;
    uint32_t own = server->own > 0 ? server->own - 1 : 0; /* the answered request is not in the sample */

    server->sampled_others = all > own ? all - own : 0;
    server->sampled_at = now;
}

void cw_server_pool_record_slow(cw_server_t *server, cw_time_us_t waited, cw_time_us_t mean_time, cw_time_us_t now)
{
    double ratio = mean_time <= 0 ? 1 : (double)waited / (double)mean_time;

    if (ratio > server->pace) {
        cw_server_update_pace(server, ratio, CW_PACE_WEIGHT);
        server->pace_at = now;
    }
}

void cw_server_pool_record_fault(cw_server_t *server, cw_time_us_t now)
{
    uint32_t doublings = server->faults < AVOID_DOUBLINGS_MAX ? server->faults : AVOID_DOUBLINGS_MAX;
    int64_t  avoid_ms = (int64_t)CW_AVOID_INITIAL_MS << doublings;

    server->faults++;
    server->avoid_until = now + CW_MS(avoid_ms > AVOID_MAX_MS ? AVOID_MAX_MS : avoid_ms);
}
