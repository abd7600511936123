/**
 * @file fit.c
 * @brief Least squares.
 */
#include "fit.h"

#include <math.h>

#include "cedarwinch/error.h"

static double mean_of(const double *values, size_t count)
{
    double sum = 0;
    size_t position;

    for (position = 0; position < count; position++) {
        sum += values[position];
    }
    return sum / (double)count;
}

static void fill_errors(const double *sizes, const double *values, size_t count, cw_capacity_fit_t *fit)
{
    double mean = mean_of(values, count);
    double largest = 0;
    double residual_squares = 0;
    double total_squares = 0;
    double residual_max = 0;
    size_t position;

    for (position = 0; position < count; position++) {
        double residual = values[position] - cw_capacity_fit_at(fit, sizes[position]);

        residual_squares += residual * residual;
        total_squares += (values[position] - mean) * (values[position] - mean);
        residual_max = fmax(residual_max, fabs(residual));
        largest = fmax(largest, fabs(values[position]));
    }
    fit->r_squared = total_squares > 0 ? 1 - residual_squares / total_squares : 1;
    fit->residual_max = largest > 0 ? residual_max / largest : 0;
}

int cw_capacity_fit_line(const double *sizes, const double *values, size_t count, cw_capacity_fit_t *fit)
{
    double size_mean;
    double value_mean;
    double covariance = 0;
    double variance = 0;
    size_t position;

    if (count < 2) {
        return CW_ERROR_INVALID;
    }
    size_mean = mean_of(sizes, count);
    value_mean = mean_of(values, count);
    for (position = 0; position < count; position++) {
        double distance = sizes[position] - size_mean;

        covariance += distance * (values[position] - value_mean);
        variance += distance * distance;
    }
    if (variance <= 0) {
        return CW_ERROR_INVALID;
    }
    fit->slope = covariance / variance;
    fit->intercept = value_mean - fit->slope * size_mean;
    fill_errors(sizes, values, count, fit);
    return CW_OK;
}

double cw_capacity_fit_at(const cw_capacity_fit_t *fit, double size)
{
    return fit->intercept + fit->slope * size;
}
