/**
 * @file zone_set.h
 * @brief A set of zone names. The list of servers carries one: the zones that operators have taken out of service.
 */
#ifndef CEDARWINCH_MODEL_ZONE_SET_H
#define CEDARWINCH_MODEL_ZONE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Sorted, without duplicates. All zeros: the empty set. */
typedef struct cw_zone_set {
    char **names;
    size_t count;
} cw_zone_set_t;

void cw_zone_set_add(cw_zone_set_t *set, const char *zone);
/** Replaces what `to` holds. */
void     cw_zone_set_copy(cw_zone_set_t *to, const cw_zone_set_t *from);
void     cw_zone_set_clear(cw_zone_set_t *set);
bool     cw_zone_set_has(const cw_zone_set_t *set, const char *zone);
bool     cw_zone_set_same(const cw_zone_set_t *left, const cw_zone_set_t *right);
uint64_t cw_zone_set_hash(const cw_zone_set_t *set); /**< 0 for the empty set */

#endif
