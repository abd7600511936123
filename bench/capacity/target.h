/**
 * @file target.h
 * @brief What each role needs at the size planned for, worked out from the slopes.
 */
#ifndef CEDARWINCH_CAPACITY_TARGET_H
#define CEDARWINCH_CAPACITY_TARGET_H

#include "results.h"

/** Writes the size planned for and what was assumed beside it. */
void cw_capacity_target_write_size(FILE *file);
/** Writes one line for each need of each role: arithmetic, value, bound, verdict. */
void cw_capacity_target_write(const cw_capacity_results_t *results, FILE *file);

#endif
