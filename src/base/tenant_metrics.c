/**
 * @file tenant_metrics.c
 * @brief Counters by tenant.
 */
#include "base/tenant_metrics.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/memory.h"

enum {
    /* Tenants counted separately, some 150 bytes each. Tenants that come later are counted as "(others)". */
    TENANTS_MAX = 16384
};

typedef struct tenant_row {
    char          *name;
    uint64_t       values[CW_TENANT_METRICS];
    UT_hash_handle hh;
} tenant_row_t;

typedef struct metric_row {
    const char *name;
    const char *help;
} metric_row_t;

#define METRIC_ROW(symbol, name, help) {name, help},
static const metric_row_t metric_rows[] = {CW_TENANT_METRIC_TABLE(METRIC_ROW)};
#undef METRIC_ROW

static const char    others_name[] = "(others)";
static tenant_row_t *rows;
static tenant_row_t  others; /* sum of all tenants beyond TENANTS_MAX */

static tenant_row_t *row_of(const char *tenant)
{
    tenant_row_t *row;

    HASH_FIND_STR(rows, tenant, row);
    if (row != NULL) {
        return row;
    }
    if (HASH_COUNT(rows) >= TENANTS_MAX) {
        return &others;
    }
    row = cw_memory_zeroed(sizeof(*row));
    row->name = strdup(tenant);
    HASH_ADD_KEYPTR(hh, rows, row->name, strlen(row->name), row);
    return row;
}

void cw_tenant_metric_add(cw_tenant_metric_t metric, const char *tenant, uint64_t amount)
{
    row_of(tenant)->values[metric] += amount;
}

static int compare_rows(const tenant_row_t *left, const tenant_row_t *right)
{
    uint64_t a = left->values[CW_TENANT_REQUESTS] + left->values[CW_TENANT_REFUSED_LIMIT];
    uint64_t b = right->values[CW_TENANT_REQUESTS] + right->values[CW_TENANT_REFUSED_LIMIT];

    return a > b ? -1 : a < b;
}

size_t cw_tenant_metrics_largest(cw_tenant_counts_t largest[CW_TENANT_METRICS_LARGEST + 1])
{
    cw_tenant_counts_t  rest = {.tenant = others_name};
    const tenant_row_t *row;
    size_t              count = 0;
    size_t              metric;

    memcpy(rest.values, others.values, sizeof(rest.values));
    HASH_SORT(rows, compare_rows);
    for (row = rows; row != NULL; row = row->hh.next) {
        if (count < CW_TENANT_METRICS_LARGEST) {
            largest[count].tenant = row->name;
            memcpy(largest[count++].values, row->values, sizeof(rest.values));
            continue;
        }
        for (metric = 0; metric < CW_TENANT_METRICS; metric++) {
            rest.values[metric] += row->values[metric];
        }
    }
    largest[count++] = rest;
    return count;
}

void cw_tenant_metrics_write(cw_bytes_t *text)
{
    cw_tenant_counts_t largest[CW_TENANT_METRICS_LARGEST + 1];
    size_t             count = cw_tenant_metrics_largest(largest);
    size_t             metric;
    size_t             index;

    for (metric = 0; metric < CW_TENANT_METRICS; metric++) {
        const char *name = metric_rows[metric].name;

        cw_bytes_append_format(text, "# HELP %s %s\n# TYPE %s counter\n", name, metric_rows[metric].help, name);
        for (index = 0; index < count; index++) {
            cw_bytes_append_format(text, "%s{tenant=\"%s\"} %" PRIu64 "\n", name, largest[index].tenant,
                                   largest[index].values[metric]);
        }
    }
}

void cw_tenant_metrics_reset(void)
{
    tenant_row_t *row;
    tenant_row_t *next;

    HASH_ITER(hh, rows, row, next)
    {
        HASH_DEL(rows, row); /* NOLINT(clang-analyzer-unix.Malloc): the analyzer misreads uthash's macros */
        free(row->name);
        free(row);
    }
    memset(&others, 0, sizeof(others));
}
