/**
 * @file histogram.h
 * @brief Histogram of times with a bounded relative error, log-linear as HDR histograms are. (Debian ships no HDR
 *        histogram library for C.)
 *
 * Values below 256 are counted exactly; above, each power of two is cut into 128 equal buckets, so that a bucket's
 * width is below 0.8 % of its values.
 */
#ifndef CEDARWINCH_BENCH_HISTOGRAM_H
#define CEDARWINCH_BENCH_HISTOGRAM_H

#include <stdint.h>

enum { CW_HISTOGRAM_SUB_BITS = 7, CW_HISTOGRAM_BUCKETS = (64 - CW_HISTOGRAM_SUB_BITS + 1) << CW_HISTOGRAM_SUB_BITS };

typedef struct cw_histogram {
    uint64_t counts[CW_HISTOGRAM_BUCKETS];
    uint64_t total;
    int64_t  maximum;
    double   sum;
} cw_histogram_t;

cw_histogram_t *cw_histogram_create(void); /**< free with free(); NULL: no memory */
/** Negative values count as 0. */
void cw_histogram_add(cw_histogram_t *histogram, int64_t value);
void cw_histogram_merge(cw_histogram_t *into, const cw_histogram_t *from);
/** Smallest recorded value (up to the bucket's width) that share of all values do not exceed; share in (0, 1]. 0:
 * empty. */
int64_t cw_histogram_quantile(const cw_histogram_t *histogram, double share);
double  cw_histogram_mean(const cw_histogram_t *histogram);

#endif
