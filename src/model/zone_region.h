/**
 * @file zone_region.h
 * @brief Regions of zones, by the settings, and distances between zones.
 */
#ifndef CEDARWINCH_MODEL_ZONE_REGION_H
#define CEDARWINCH_MODEL_ZONE_REGION_H

#include <stddef.h>

enum { CW_ZONES_MAX = 64 /**< in one deployment */ };

/** A zone and its region. */
typedef struct cw_zone_region {
    char zone[64];
    char region[64];
} cw_zone_region_t;

/** Distance between two zones, which determines the cost of a byte and the delay of a message. */
typedef enum cw_distance {
    CW_DISTANCE_ZONE,   /**< within a zone */
    CW_DISTANCE_REGION, /**< to another zone of the region */
    CW_DISTANCE_REMOTE, /**< to another region */
    CW_DISTANCES
} cw_distance_t;

/** Returns the region of a zone; "" if the zone is not in the settings. */
const char *cw_zone_region_of(const cw_zone_region_t *zones, size_t count, const char *zone);
/** Returns the distance of two zones. All zones without a region count as zones of one separate region. */
cw_distance_t cw_zone_distance(const cw_zone_region_t *zones, size_t count, const char *from, const char *to);

#endif
