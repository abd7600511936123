/**
 * @file zone_region.h
 * @brief Which region a zone lies in, as the settings tell.
 */
#ifndef CEDARWINCH_MODEL_ZONE_REGION_H
#define CEDARWINCH_MODEL_ZONE_REGION_H

enum { CW_ZONES_MAX = 64 /**< in one deployment */ };

typedef struct cw_zone_region {
    char zone[64];
    char region[64];
} cw_zone_region_t;

#endif
