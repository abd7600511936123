/**
 * @file types.c
 * @brief Fences, hashes and deterministic random numbers.
 */
#include "cedarwinch/types.h"

#include <stdio.h>
#include <xxhash.h>

enum { SERVER_NAME_MAX = 3 * (CW_NAME_MAX + 1) + 1 };

int cw_fence_compare(cw_fence_t left, cw_fence_t right)
{
    if (left.generation != right.generation) {
        return left.generation < right.generation ? -1 : 1;
    }
    if (left.index != right.index) {
        return left.index < right.index ? -1 : 1;
    }
    return 0;
}

cw_fence_t cw_fence_max(cw_fence_t left, cw_fence_t right)
{
    return cw_fence_compare(left, right) >= 0 ? left : right;
}

cw_fence_t cw_fence_from_message(const Cw__Fence *message)
{
    cw_fence_t fence = {0, 0};

    if (message != NULL) {
        fence.generation = message->generation;
        fence.index = message->index;
    }
    return fence;
}

cw_fence_t cw_fence_effective(const Cw__RangeInfo *range, const Cw__ServerInfo *server)
{
    cw_fence_t own = cw_fence_from_message(range->fence);

    if (server == NULL) {
        return own;
    }
    return cw_fence_max(own, cw_fence_from_message(server->fence));
}

cw_key_hash_t cw_hash_key(const char *key, size_t length)
{
    return XXH3_64bits(key, length);
}

/* Names are bounded by CW_NAME_MAX where they are read; a longer one is cut here. */
static uint64_t hash_name(const char *tenant, const char *service, const char *server)
{
    char name[SERVER_NAME_MAX];
    int  length;

    if (server == NULL) {
        length = snprintf(name, sizeof(name), "%s/%s", tenant, service);
    } else {
        length = snprintf(name, sizeof(name), "%s/%s/%s", tenant, service, server);
    }
    if (length >= (int)sizeof(name)) {
        length = (int)sizeof(name) - 1;
    }
    return XXH3_64bits(name, (size_t)length);
}

cw_service_id_t cw_hash_service(const char *tenant, const char *service)
{
    return hash_name(tenant, service, NULL);
}

cw_server_id_t cw_hash_server(const char *tenant, const char *service, const char *server)
{
    return hash_name(tenant, service, server);
}

/* Source: Steele, Lea, Flood, "Fast splittable pseudorandom number generators", 2014 (splitmix64). */
uint64_t cw_random_next(uint64_t *state)
{
    uint64_t value;

    *state += UINT64_C(0x9e3779b97f4a7c15);
    value = *state;
    value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
    return value ^ (value >> 31);
}

uint64_t cw_random_below(uint64_t *state, uint64_t bound)
{
    return cw_random_next(state) % bound;
}
