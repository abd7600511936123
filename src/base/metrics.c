/**
 * @file metrics.c
 * @brief Counters, gauges and histograms.
 */
#include "base/metrics.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "base/memory.h"
#include "base/tenant_metrics.h"
#include "base/text.h"

enum { ROUTES_MAX = 32, BUCKETS = 12, ROUTE_NAME_MAX = 64 };

typedef struct metric_row {
    const char *name;
    const char *type;
    const char *help;
} metric_row_t;

#define METRIC_ROW(symbol, name, type, help) {name, type, help},
static const metric_row_t metric_rows[] = {CW_METRIC_TABLE(METRIC_ROW)};
#undef METRIC_ROW

#define HISTOGRAM_ROW(symbol, name, help) {name, "histogram", help},
static const metric_row_t histogram_rows[] = {CW_HISTOGRAM_TABLE(HISTOGRAM_ROW)};
#undef HISTOGRAM_ROW

/** Upper bounds of the buckets; the last bucket is unbounded. */
static const cw_time_us_t bounds_us[BUCKETS - 1] = {CW_MS(1),    CW_MS(5),    CW_MS(10),  CW_MS(25),
                                                    CW_MS(50),   CW_MS(100),  CW_MS(250), CW_MS(500),
                                                    CW_MS(1000), CW_MS(2500), CW_MS(5000)};

typedef struct route_histogram {
    char     route[ROUTE_NAME_MAX];
    uint32_t buckets[CW_HISTOGRAMS][BUCKETS];
    double   sum_s[CW_HISTOGRAMS];
} route_histogram_t;

static uint64_t           values[CW_METRICS];
static route_histogram_t *routes[ROUTES_MAX]; /* the last one is shared by all further routes */
static size_t             route_count;

void cw_metric_add(cw_metric_t metric, uint64_t amount)
{
    values[metric] += amount;
}

void cw_metric_set(cw_metric_t metric, uint64_t value)
{
    values[metric] = value;
}

uint64_t cw_metric_value(cw_metric_t metric)
{
    return values[metric];
}

static route_histogram_t *route_of(const char *route)
{
    size_t index;

    for (index = 0; index < route_count; index++) {
        if (strncmp(routes[index]->route, route, ROUTE_NAME_MAX - 1) == 0) {
            return routes[index];
        }
    }
    if (route_count == ROUTES_MAX) {
        return routes[ROUTES_MAX - 1];
    }
    routes[route_count] = cw_memory_zeroed(sizeof(route_histogram_t));
    cw_text_copy(routes[route_count]->route, ROUTE_NAME_MAX, route_count == ROUTES_MAX - 1 ? "other" : route);
    return routes[route_count++];
}

void cw_histogram_add(cw_histogram_t histogram, const char *route, cw_time_us_t value)
{
    route_histogram_t *row = route_of(route);
    size_t             bucket = 0;

    while (bucket < BUCKETS - 1 && value > bounds_us[bucket]) {
        bucket++;
    }
    row->buckets[histogram][bucket]++;
    row->sum_s[histogram] += (double)value / 1e6;
}

static void write_head(cw_bytes_t *text, const metric_row_t *row)
{
    cw_bytes_append_format(text, "# HELP %s %s\n# TYPE %s %s\n", row->name, row->help, row->name, row->type);
}

static void write_histogram(cw_bytes_t *text, cw_histogram_t histogram, const route_histogram_t *route)
{
    const char *name = histogram_rows[histogram].name;
    uint64_t    count = 0;
    size_t      bucket;

    for (bucket = 0; bucket < BUCKETS; bucket++) {
        count += route->buckets[histogram][bucket];
        if (bucket < BUCKETS - 1) {
            cw_bytes_append_format(text, "%s_bucket{route=\"%s\",le=\"%g\"} %" PRIu64 "\n", name, route->route,
                                   (double)bounds_us[bucket] / 1e6, count);
        } else {
            cw_bytes_append_format(text, "%s_bucket{route=\"%s\",le=\"+Inf\"} %" PRIu64 "\n", name, route->route,
                                   count);
        }
    }
    cw_bytes_append_format(text, "%s_sum{route=\"%s\"} %.6f\n", name, route->route, route->sum_s[histogram]);
    cw_bytes_append_format(text, "%s_count{route=\"%s\"} %" PRIu64 "\n", name, route->route, count);
}

void cw_metrics_append(cw_bytes_t *text)
{
    size_t index;
    size_t route;

    for (index = 0; index < CW_METRICS; index++) {
        write_head(text, &metric_rows[index]);
        cw_bytes_append_format(text, "%s %" PRIu64 "\n", metric_rows[index].name, values[index]);
    }
    for (index = 0; index < CW_HISTOGRAMS; index++) {
        write_head(text, &histogram_rows[index]);
        for (route = 0; route < route_count; route++) {
            write_histogram(text, (cw_histogram_t)index, routes[route]);
        }
    }
}

char *cw_metrics_text(size_t *length)
{
    cw_bytes_t text = {0};

    cw_metrics_append(&text);
    cw_tenant_metrics_write(&text);
    *length = text.length;
    cw_bytes_append(&text, "", 1);
    return text.data;
}

void cw_metrics_reset(void)
{
    size_t index;

    for (index = 0; index < route_count; index++) {
        free(routes[index]);
    }
    route_count = 0;
    memset(values, 0, sizeof(values));
    cw_tenant_metrics_reset();
}
