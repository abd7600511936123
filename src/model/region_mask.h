/**
 * @file region_mask.h
 * @brief Sets of regions as bit masks, for data of which there are thousands of items: keys of requests and the regions
 * that the requests may be sent to.
 *
 * A region's bit is its position among all regions of the settings, sorted by name, so a bit has the same meaning on
 * all nodes of a deployment. A mask is only a preference for placement; whether a request may be sent to a server is
 * decided by region names (cw_server_region_allows).
 */
#ifndef CEDARWINCH_MODEL_REGION_MASK_H
#define CEDARWINCH_MODEL_REGION_MASK_H

#include <stdbool.h>
#include <stdint.h>

#include "model/name_set.h"
#include "model/zone_region.h"

enum { CW_REGION_BITS = 31 /**< with more regions, placement has no preference */ };

/** All regions: no rule restricts them. */
#define CW_REGIONS_ANY 0u
/** No region: a rule restricts them and has no known region. */
#define CW_REGIONS_NOWHERE (1u << CW_REGION_BITS)

/** Regions of the settings; the position is the bit number. */
typedef struct cw_region_table {
    char   names[CW_REGION_BITS][64]; /**< sorted */
    size_t count;
    bool   is_truncated; /**< there are more regions than bits */
} cw_region_table_t;

/** Fills the table with the regions of all zones. */
void cw_region_table_init(cw_region_table_t *table, const cw_zone_region_t *zones, size_t count);
/** Returns the bit of a region; 0: it has none. */
uint32_t cw_region_bit(const cw_region_table_t *table, const char *region);
/** Returns the mask of the regions in both sets. An empty set, or NULL, does not restrict the regions. */
uint32_t cw_region_mask(const cw_region_table_t *table, const cw_name_set_t *first, const cw_name_set_t *second);
/** Whether a mask allows the region of this bit. */
bool cw_region_mask_allows(uint32_t mask, uint32_t bit);

#endif
