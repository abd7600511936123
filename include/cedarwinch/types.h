/**
 * @file types.h
 * @brief Identifiers, time and fences shared by every module.
 */
#ifndef CEDARWINCH_TYPES_H
#define CEDARWINCH_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cedarwinch.pb-c.h"

typedef uint32_t cw_node_id_t;     /**< 0: none */
typedef uint64_t cw_incarnation_t; /**< new at each process start; 0: none */
typedef uint64_t cw_service_id_t;  /**< XXH3-64 of "tenant/service" */
typedef uint64_t cw_server_id_t;   /**< XXH3-64 of "tenant/service/server" */
typedef uint64_t cw_range_id_t;    /**< log index of the command that created the range */
typedef uint64_t cw_key_hash_t;    /**< XXH3-64 of the key's bytes */
typedef int64_t  cw_time_us_t;     /**< monotonic clock of this process, microseconds */

/** The two clocks an event carries into the core. The core never reads a clock itself. */
typedef struct cw_instant {
    cw_time_us_t monotonic_us;
    int64_t      wall_ms; /**< Unix time, used for request ids only */
} cw_instant_t;

/** Fencing token, ordered by generation, then log index. */
typedef struct cw_fence {
    uint64_t generation;
    uint64_t index;
} cw_fence_t;

enum {
    CW_REQUEST_ID_BYTES = 16,
    CW_TOKEN_DIGEST_BYTES = 32,
    CW_NAME_MAX = 63,          /**< tenant, service, server and zone names */
    CW_KEY_MAX = 512,          /**< bytes of a key */
    CW_BODY_MAX = 1024 * 1024, /**< bytes of a request or answer body */
    CW_US_PER_MS = 1000,
    CW_US_PER_S = 1000000
};

int        cw_fence_compare(cw_fence_t left, cw_fence_t right); /**< <0, 0, >0 */
cw_fence_t cw_fence_max(cw_fence_t left, cw_fence_t right);
cw_fence_t cw_fence_from_message(const Cw__Fence *message); /**< NULL gives {0, 0} */

/** Fence in force for a range: the larger of its own and of its server's forwarder assignment. */
cw_fence_t cw_fence_effective(const Cw__RangeInfo *range, const Cw__ServerInfo *server);

cw_key_hash_t   cw_hash_key(const char *key, size_t length);
cw_service_id_t cw_hash_service(const char *tenant, const char *service);
cw_server_id_t  cw_hash_server(const char *tenant, const char *service, const char *server);

/** Deterministic pseudo random numbers (splitmix64); the state is the caller's. */
uint64_t cw_random_next(uint64_t *state);
uint64_t cw_random_below(uint64_t *state, uint64_t bound); /**< bound > 0 */

#endif
