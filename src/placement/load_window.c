/**
 * @file load_window.c
 * @brief Keys of recent requests, weighted by exp(-age / time_constant_s), so that rates follow a change within
 * seconds.
 */
#include "placement/load_window.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "model/region_mask.h"

static const double time_constant_s = 1.0; /* a shorter one follows changes faster and shows more noise */
static const double horizon_s = 4.0;       /* older samples are ignored */
static const double span_min_s = 0.2;      /* shortest time for which the window counts as having been filled */

void cw_load_window_add(cw_load_window_t *window, uint32_t key, double weight, cw_time_us_t now)
{
    cw_load_window_add_sample(window, &(cw_key_report_t){.key = key, .weight = weight}, now);
}

void cw_load_window_add_sample(cw_load_window_t *window, const cw_key_report_t *report, cw_time_us_t now)
{
    cw_load_sample_t *sample;

    if (window->samples == NULL) {
        window->samples = cw_memory_zeroed_items(CW_LOAD_SAMPLES_MAX, sizeof(*window->samples));
    }
    if (window->count == 0 || (uint32_t)(now / 1000) - window->last_ms > (uint32_t)(horizon_s * 1000)) {
        window->first_ms = (uint32_t)(now / 1000);
    }
    window->last_ms = (uint32_t)(now / 1000);
    sample = &window->samples[window->next];
    sample->key = report->key;
    sample->weight = (float)report->weight;
    sample->regions = report->regions;
    sample->from = report->from;
    sample->at_ms = (uint32_t)(now / 1000);
    window->next = (window->next + 1) % CW_LOAD_SAMPLES_MAX;
    if (window->count < CW_LOAD_SAMPLES_MAX) { /* otherwise the new sample has replaced the oldest one */
        window->count++;
    }
}

static int compare_keys(const void *left, const void *right)
{
    const cw_key_load_t *a = left;
    const cw_key_load_t *b = right;

    return a->key < b->key ? -1 : a->key > b->key;
}

static size_t merge_same_keys(cw_key_load_t *loads, size_t count)
{
    size_t index;
    size_t kept = 0;

    for (index = 0; index < count; index++) {
        if (kept > 0 && loads[kept - 1].key == loads[index].key) {
            loads[kept - 1].per_s += loads[index].per_s;
        } else {
            loads[kept++] = loads[index];
        }
    }
    return kept;
}

/* Share of the rate that the samples show. It is below 1 while the window has been filling for less than some time
 * constants. */
static double filled_share(const cw_load_window_t *window, uint32_t now_ms)
{
    double span_s = (double)(now_ms - window->first_ms) / 1000;

    return 1 - exp(-(span_s < span_min_s ? span_min_s : span_s) / time_constant_s);
}

/* Requests per second that a sample still contributes; 0: it is too old. */
static double present_rate(const cw_load_sample_t *sample, uint32_t now_ms, double share)
{
    double age_s = (double)(now_ms - sample->at_ms) / 1000;

    return age_s > horizon_s ? 0 : (double)sample->weight * exp(-age_s / time_constant_s) / time_constant_s / share;
}

static int compare_region_loads(const void *left, const void *right)
{
    const cw_region_load_t *a = left;
    const cw_region_load_t *b = right;

    if (a->key != b->key) {
        return a->key < b->key ? -1 : 1;
    }
    return a->regions < b->regions ? -1 : a->regions > b->regions;
}

static size_t merge_same_regions(cw_region_load_t *loads, size_t count)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < count; index++) {
        if (kept > 0 && compare_region_loads(&loads[kept - 1], &loads[index]) == 0) {
            loads[kept - 1].per_s += loads[index].per_s;
        } else {
            loads[kept++] = loads[index];
        }
    }
    return kept;
}

/* Regions of a sample, by origin or by permission; CW_REGIONS_ANY: the sample is left out. */
static uint32_t regions_of(const cw_load_sample_t *sample, bool by_origin)
{
    uint32_t regions = by_origin ? sample->from : sample->regions;

    return regions == CW_REGIONS_NOWHERE ? CW_REGIONS_ANY : regions;
}

static size_t read_by_regions(const cw_load_window_t *window, bool by_origin, cw_time_us_t now,
                              cw_region_load_t **loads)
{
    uint32_t now_ms = (uint32_t)(now / 1000);
    double   share = filled_share(window, now_ms);
    size_t   count = 0;
    size_t   index;

    *loads = malloc((window->count + 1) * sizeof(**loads));
    if (*loads == NULL) {
        abort();
    }
    for (index = 0; index < window->count; index++) {
        const cw_load_sample_t *sample = &window->samples[index];
        uint32_t                regions = regions_of(sample, by_origin);
        double                  per_s = present_rate(sample, now_ms, share);

        if (regions != CW_REGIONS_ANY && per_s > 0) {
            (*loads)[count++] = (cw_region_load_t){sample->key, regions, per_s};
        }
    }
    qsort(*loads, count, sizeof(**loads), compare_region_loads);
    return merge_same_regions(*loads, count);
}

size_t cw_load_window_read_restricted(const cw_load_window_t *window, cw_time_us_t now, cw_region_load_t **loads)
{
    return read_by_regions(window, false, now, loads);
}

size_t cw_load_window_read_origins(const cw_load_window_t *window, cw_time_us_t now, cw_region_load_t **loads)
{
    return read_by_regions(window, true, now, loads);
}

size_t cw_region_loads_first(const cw_region_load_t *loads, size_t count, uint32_t key)
{
    size_t low = 0;
    size_t high = count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (loads[middle].key < key) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

size_t cw_load_window_read(const cw_load_window_t *window, cw_time_us_t now, cw_key_load_t **loads)
{
    uint32_t now_ms = (uint32_t)(now / 1000);
    double   share = filled_share(window, now_ms);
    size_t   count = 0;
    size_t   index;

    *loads = malloc((window->count + 1) * sizeof(**loads));
    if (*loads == NULL) {
        abort();
    }
    for (index = 0; index < window->count; index++) {
        double per_s = present_rate(&window->samples[index], now_ms, share);

        if (per_s > 0) {
            (*loads)[count++] = (cw_key_load_t){window->samples[index].key, per_s};
        }
    }
    qsort(*loads, count, sizeof(**loads), compare_keys);
    return merge_same_keys(*loads, count);
}

size_t cw_key_loads_first(const cw_key_load_t *loads, size_t count, uint32_t key)
{
    size_t low = 0;
    size_t high = count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (loads[middle].key < key) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

double cw_key_loads_between(const cw_key_load_t *loads, size_t count, uint32_t low, uint32_t last)
{
    double sum = 0;
    size_t index;

    for (index = cw_key_loads_first(loads, count, low); index < count && loads[index].key <= last; index++) {
        sum += loads[index].per_s;
    }
    return sum;
}

double cw_load_error(double per_s)
{
    return per_s <= 0 ? 0 : sqrt(per_s / (2 * time_constant_s));
}

void cw_load_window_clear(cw_load_window_t *window)
{
    free(window->samples);
    memset(window, 0, sizeof(*window));
}
