/**
 * @file histogram.c
 * @brief Log-linear histogram.
 */
#include "histogram.h"

#include <math.h>
#include <stdlib.h>

enum { SUB_COUNT = 1 << CW_HISTOGRAM_SUB_BITS };

cw_histogram_t *cw_histogram_create(void)
{
    return calloc(1, sizeof(cw_histogram_t));
}

static unsigned bucket_of(uint64_t value)
{
    unsigned shift;

    if (value < 2 * SUB_COUNT) {
        return (unsigned)value;
    }
    shift = 63 - (unsigned)__builtin_clzll(value) - CW_HISTOGRAM_SUB_BITS;
    return (shift << CW_HISTOGRAM_SUB_BITS) + (unsigned)(value >> shift);
}

/* Largest value that falls into a bucket. */
static uint64_t bucket_end(unsigned bucket)
{
    unsigned shift;
    uint64_t position;

    if (bucket < 2 * SUB_COUNT) {
        return bucket;
    }
    shift = (bucket >> CW_HISTOGRAM_SUB_BITS) - 1;
    position = bucket - (shift << CW_HISTOGRAM_SUB_BITS);
    return ((position + 1) << shift) - 1;
}

void cw_histogram_add(cw_histogram_t *histogram, int64_t value)
{
    if (value < 0) {
        value = 0;
    }
    histogram->counts[bucket_of((uint64_t)value)]++;
    histogram->total++;
    histogram->sum += (double)value;
    if (value > histogram->maximum) {
        histogram->maximum = value;
    }
}

void cw_histogram_merge(cw_histogram_t *into, const cw_histogram_t *from)
{
    unsigned bucket;

    for (bucket = 0; bucket < CW_HISTOGRAM_BUCKETS; bucket++) {
        into->counts[bucket] += from->counts[bucket];
    }
    into->total += from->total;
    into->sum += from->sum;
    if (from->maximum > into->maximum) {
        into->maximum = from->maximum;
    }
}

int64_t cw_histogram_quantile(const cw_histogram_t *histogram, double share)
{
    uint64_t wanted = (uint64_t)ceil(share * (double)histogram->total);
    uint64_t seen = 0;
    unsigned bucket;
    int64_t  end;

    for (bucket = 0; bucket < CW_HISTOGRAM_BUCKETS && histogram->total > 0; bucket++) {
        seen += histogram->counts[bucket];
        if (seen >= wanted && seen > 0) {
            end = (int64_t)bucket_end(bucket);
            return end < histogram->maximum ? end : histogram->maximum;
        }
    }
    return histogram->maximum;
}

double cw_histogram_mean(const cw_histogram_t *histogram)
{
    return histogram->total == 0 ? 0 : histogram->sum / (double)histogram->total;
}
