/**
 * @file zone_region.c
 * @brief Regions of zones.
 */
#include "model/zone_region.h"

#include <string.h>

const char *cw_zone_region_of(const cw_zone_region_t *zones, size_t count, const char *zone)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (strcmp(zones[index].zone, zone) == 0) {
            return zones[index].region;
        }
    }
    return "";
}

cw_distance_t cw_zone_distance(const cw_zone_region_t *zones, size_t count, const char *from, const char *to)
{
    if (strcmp(from, to) == 0) {
        return CW_DISTANCE_ZONE;
    }
    return strcmp(cw_zone_region_of(zones, count, from), cw_zone_region_of(zones, count, to)) == 0 ? CW_DISTANCE_REGION
                                                                                                   : CW_DISTANCE_REMOTE;
}
