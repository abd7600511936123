/**
 * @file region_mask.h
 * @brief Sets of regions as bits, for what is counted by the thousand: keys of requests, and where they may go.
 *
 * A bit is a region's place among all regions of the settings in the order of their names, so all nodes of a deployment
 * mean the same by it. A mask is a preference of placement only; whether a request may go somewhere is asked by names
 * (cw_server_region_allows).
 */
#ifndef CEDARWINCH_MODEL_REGION_MASK_H
#define CEDARWINCH_MODEL_REGION_MASK_H

#include <stdbool.h>
#include <stdint.h>

#include "model/name_set.h"
#include "model/zone_region.h"

enum { CW_REGION_BITS = 31 /**< regions beyond have no bit: nothing is preferred there */ };

/** Anywhere: no rule binds. */
#define CW_REGIONS_ANY 0u
/** Nowhere: a rule binds, and names no region that is known. */
#define CW_REGIONS_NOWHERE (1u << CW_REGION_BITS)

typedef struct cw_region_table {
    char   names[CW_REGION_BITS][64]; /**< in order */
    size_t count;
    bool   is_cut; /**< there are more regions than bits */
} cw_region_table_t;

void cw_region_table_init(cw_region_table_t *table, const cw_zone_region_t *zones, size_t count);
/** Bit of a region; 0: it has none. */
uint32_t cw_region_bit(const cw_region_table_t *table, const char *region);
/** Regions that are in both sets; an empty set, or NULL, does not bind. */
uint32_t cw_region_mask(const cw_region_table_t *table, const cw_name_set_t *first, const cw_name_set_t *second);
bool     cw_region_mask_allows(uint32_t mask, uint32_t bit);

#endif
