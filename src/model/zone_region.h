/**
 * @file zone_region.h
 * @brief Which region a zone lies in, by the settings, and how far two zones lie apart.
 */
#ifndef CEDARWINCH_MODEL_ZONE_REGION_H
#define CEDARWINCH_MODEL_ZONE_REGION_H

#include <stddef.h>

enum { CW_ZONES_MAX = 64 /**< in one deployment */ };

typedef struct cw_zone_region {
    char zone[64];
    char region[64];
} cw_zone_region_t;

/** How far a message goes: what a byte costs, and how long it takes. */
typedef enum cw_distance {
    CW_DISTANCE_ZONE,   /**< within a zone */
    CW_DISTANCE_REGION, /**< to another zone of the region */
    CW_DISTANCE_REMOTE, /**< to another region */
    CW_DISTANCES
} cw_distance_t;

/** Region of a zone; "" if it is not among them. */
const char *cw_zone_region_of(const cw_zone_region_t *zones, size_t count, const char *zone);
/** Zones without a region lie in one region of their own kind: they are as far apart as zones of one region. */
cw_distance_t cw_zone_distance(const cw_zone_region_t *zones, size_t count, const char *from, const char *to);

#endif
