/**
 * @file tenant_metrics.h
 * @brief Counters by tenant. The largest tenants are shown by name, all others as one sum. One table defines all
 * counters.
 */
#ifndef CEDARWINCH_BASE_TENANT_METRICS_H
#define CEDARWINCH_BASE_TENANT_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "base/byte_buffer.h"

/* X(symbol, name, help) */
#define CW_TENANT_METRIC_TABLE(X)                                                                                      \
    X(REQUESTS, "cedarwinch_tenant_requests_total", "requests of the tenant's callers that were let in")               \
    X(REFUSED_LIMIT, "cedarwinch_tenant_refused_limit_total", "requests above the tenant's rate")                      \
    X(REFUSED_CONCURRENCY, "cedarwinch_tenant_refused_concurrency_total",                                              \
      "requests above the tenant's requests at once")

#define CW_TENANT_METRIC_SYMBOL(symbol, name, help) CW_TENANT_##symbol,
/** Counters by tenant, in the order of the table. */
typedef enum cw_tenant_metric { CW_TENANT_METRIC_TABLE(CW_TENANT_METRIC_SYMBOL) CW_TENANT_METRICS } cw_tenant_metric_t;
#undef CW_TENANT_METRIC_SYMBOL

enum {
    /** Tenants shown by name: those with the most requests. All others are shown as "(others)". */
    CW_TENANT_METRICS_LARGEST = 20
};

/** Adds to a counter of a tenant. */
void cw_tenant_metric_add(cw_tenant_metric_t metric, const char *tenant, uint64_t amount);

/** One tenant's counters. */
typedef struct cw_tenant_counts {
    const char *tenant; /**< "(others)" for the last row; valid until cw_tenant_metrics_reset */
    uint64_t    values[CW_TENANT_METRICS];
} cw_tenant_counts_t;

/** Fills in the largest tenants, then the sum of all others; returns the number of rows, at least 1. */
size_t cw_tenant_metrics_largest(cw_tenant_counts_t largest[CW_TENANT_METRICS_LARGEST + 1]);
/** Appends the counters as Prometheus text. */
void cw_tenant_metrics_write(cw_bytes_t *text);
/** Resets all counters; for tests. */
void cw_tenant_metrics_reset(void);

#endif
