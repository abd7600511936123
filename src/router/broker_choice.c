/**
 * @file broker_choice.c
 * @brief Rendezvous hashing over the most capable nodes of a zone.
 */
#include "router/broker_choice.h"

#include <string.h>
#include <xxhash.h>

static uint64_t rendezvous_rank(const cw_broker_candidate_t *candidate, uint32_t service)
{
    return XXH3_64bits_withSeed(&candidate->address, sizeof(candidate->address), service);
}

uint32_t cw_broker_choose(const cw_broker_candidate_t *candidates, size_t count, const char *zone, uint32_t service)
{
    const cw_broker_candidate_t *best = NULL;
    size_t                       index;

    for (index = 0; index < count; index++) {
        const cw_broker_candidate_t *candidate = &candidates[index];

        if (zone != CW_BROKER_ANY_ZONE && strcmp(candidate->zone, zone) != 0) {
            continue;
        }
        if (best == NULL || candidate->capability > best->capability ||
            (candidate->capability == best->capability &&
             rendezvous_rank(candidate, service) > rendezvous_rank(best, service))) {
            best = candidate;
        }
    }
    return best == NULL ? 0 : best->address;
}
