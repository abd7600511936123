/**
 * @file placement_internal.h
 * @brief Private parts of the placement planner, shared by the placement_*.c files.
 */
#ifndef CEDARWINCH_PLACEMENT_INTERNAL_H
#define CEDARWINCH_PLACEMENT_INTERNAL_H

#include "cedarwinch/placement.h"

/** Mean load of a usable server; 0 without servers. */
double cw_placement_mean_load(const cw_placement_input_t *input);
/** Load of a key from which on it is too hot to share a range. */
double cw_placement_hot_bound(const cw_placement_input_t *input);
/** Ranges that the service's settings ask for. */
size_t cw_placement_configured_ranges(const cw_placement_input_t *input);

#endif
