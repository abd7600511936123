/**
 * @file store_reader.c
 * @brief Order and number of the nodes that read the store for their zone.
 */
#include "router/store_reader.h"

enum { ZONE_OF_MANY = 16 }; /* from so many nodes on a lost reader is missed by many: a second one reads */

uint32_t cw_readers_wanted(size_t zone_nodes)
{
    return zone_nodes >= ZONE_OF_MANY ? 2 : 1;
}

bool cw_reader_precedes(const cw_reader_candidate_t *candidate, const cw_reader_candidate_t *other)
{
    if (candidate->capability != other->capability) {
        return candidate->capability > other->capability;
    }
    return candidate->address < other->address;
}
