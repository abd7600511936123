/**
 * @file relay_choice.c
 * @brief Selects the first two nodes of a zone by capability and rendezvous hash.
 */
#include "router/relay_choice.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Differs from the seed for slots, so that both kinds of work are spread over nodes. */
static const uint64_t relay_seed = 0x72656c6179;

static uint64_t rank_of(const cw_broker_candidate_t *candidate)
{
    return XXH3_64bits_withSeed(&candidate->address, sizeof(candidate->address), relay_seed);
}

static bool precedes(const cw_broker_candidate_t *candidate, const cw_broker_candidate_t *other)
{
    if (candidate->capability != other->capability) {
        return candidate->capability > other->capability;
    }
    return rank_of(candidate) > rank_of(other);
}

size_t cw_relay_choose(const cw_broker_candidate_t *candidates, size_t count, const char *zone,
                       uint32_t relays[CW_RELAYS])
{
    const cw_broker_candidate_t *first = NULL;
    const cw_broker_candidate_t *second = NULL;
    size_t                       index;

    for (index = 0; index < count; index++) {
        const cw_broker_candidate_t *candidate = &candidates[index];

        if (strcmp(candidate->zone, zone) != 0) {
            continue;
        }
        if (first == NULL || precedes(candidate, first)) {
            second = first;
            first = candidate;
        } else if (second == NULL || precedes(candidate, second)) {
            second = candidate;
        }
    }
    relays[0] = first == NULL ? 0 : first->address;
    relays[1] = second == NULL ? 0 : second->address;
    return (first != NULL ? 1 : 0) + (second != NULL ? 1 : 0);
}

uint32_t cw_relay_partner(const uint32_t relays[CW_RELAYS], size_t count, size_t place)
{
    return count == 0 ? 0 : relays[place < count ? place : 0];
}
