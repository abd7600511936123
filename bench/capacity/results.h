/**
 * @file results.h
 * @brief Measured series: a quantity at several sizes, its line and error, printed as JSON or as Markdown.
 */
#ifndef CEDARWINCH_CAPACITY_RESULTS_H
#define CEDARWINCH_CAPACITY_RESULTS_H

#include <stdio.h>

#include "fit.h"

enum { CW_CAPACITY_POINTS_MAX = 12, CW_CAPACITY_SERIES_MAX = 128 };

typedef struct cw_capacity_series {
    const char       *name;
    const char       *size_unit;
    const char       *value_unit;
    double            sizes[CW_CAPACITY_POINTS_MAX];
    double            values[CW_CAPACITY_POINTS_MAX];
    size_t            count;
    cw_capacity_fit_t fit; /**< set by cw_capacity_results_fit */
} cw_capacity_series_t;

typedef struct cw_capacity_results {
    cw_capacity_series_t series[CW_CAPACITY_SERIES_MAX];
    size_t               count;
} cw_capacity_results_t;

/** Adds a point to a series, which is made at its first point. Strings are borrowed. */
void cw_capacity_results_add(cw_capacity_results_t *results, const char *name, const char *size_unit,
                             const char *value_unit, double size, double value);
void cw_capacity_results_fit(cw_capacity_results_t *results);
/** NULL: not measured in this run. */
const cw_capacity_series_t *cw_capacity_results_find(const cw_capacity_results_t *results, const char *name);
int  cw_capacity_results_write_json(const cw_capacity_results_t *results, const char *run, const char *file_name);
void cw_capacity_results_write_markdown(const cw_capacity_results_t *results, FILE *file);

#endif
