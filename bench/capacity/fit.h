/**
 * @file fit.h
 * @brief Straight line through measured points by least squares, with its error.
 */
#ifndef CEDARWINCH_CAPACITY_FIT_H
#define CEDARWINCH_CAPACITY_FIT_H

#include <stddef.h>

typedef struct cw_capacity_fit {
    double intercept;
    double slope;
    double r_squared;    /**< 1: exact; for values that are all equal 1 by definition */
    double residual_max; /**< largest distance of a point from the line, as a share of the largest value */
} cw_capacity_fit_t;

/** CW_ERROR_INVALID with fewer than two different sizes. */
int cw_capacity_fit_line(const double *sizes, const double *values, size_t count, cw_capacity_fit_t *fit);
/** Value of the line at a size. */
double cw_capacity_fit_at(const cw_capacity_fit_t *fit, double size);

#endif
