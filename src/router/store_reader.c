/**
 * @file store_reader.c
 * @brief Number and order of the nodes that read the store for their zone.
 */
#include "router/store_reader.h"

enum { LARGE_ZONE_NODES = 16 }; /* a larger zone has a second reader, since many nodes would miss a lost one */

uint32_t cw_store_reader_count(size_t zone_nodes)
{
    return zone_nodes >= LARGE_ZONE_NODES ? 2 : 1;
}

bool cw_store_reader_precedes(const cw_store_reader_candidate_t *candidate, const cw_store_reader_candidate_t *other)
{
    if (candidate->capability != other->capability) {
        return candidate->capability > other->capability;
    }
    return candidate->address < other->address;
}
