/**
 * @file tenant_gate.c
 * @brief Counts the concurrent requests of each tenant and compares them with this node's part of the limit.
 */
#include "tenancy/tenant_gate.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/memory.h"

static const cw_time_us_t retry_after = CW_MS(20); /* where many requests run, one of them ends within this time */

struct cw_tenant_count {
    cw_tenant_gate_t *gate;
    char             *name;
    uint32_t          concurrent;
    UT_hash_handle    hh;
};

struct cw_tenant_gate {
    cw_tenant_count_t *counts;
};

cw_tenant_gate_t *cw_tenant_gate_create(void)
{
    cw_tenant_gate_t *gate = cw_memory_zeroed(sizeof(*gate));

    return gate;
}

static void free_count(cw_tenant_count_t *count)
{
    HASH_DEL(count->gate->counts, count); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(count->name);
    free(count);
}

void cw_tenant_gate_free(cw_tenant_gate_t *gate)
{
    cw_tenant_count_t *count;
    cw_tenant_count_t *next;

    HASH_ITER(hh, gate->counts, count, next)
    {
        free_count(count);
    }
    free(gate);
}

static cw_tenant_count_t *find_or_add_count(cw_tenant_gate_t *gate, const cw_tenant_t *tenant)
{
    cw_tenant_count_t *count;

    HASH_FIND_STR(gate->counts, tenant->name, count);
    if (count == NULL) {
        count = cw_memory_zeroed(sizeof(*count));
        count->gate = gate;
        count->name = strdup(tenant->name);
        HASH_ADD_KEYPTR(hh, gate->counts, count->name, strlen(count->name), count);
    }
    return count;
}

/* This node's equal part of a limit over all nodes, at least one request. */
static double local_limit(double limit, uint32_t nodes)
{
    double equal_part = limit / (nodes == 0 ? 1 : nodes);

    return equal_part < 1 ? 1 : equal_part;
}

cw_gate_answer_t cw_tenant_gate_enter(cw_tenant_gate_t *gate, const cw_tenant_t *tenant, uint32_t nodes,
                                      cw_tenant_count_t **count, cw_time_us_t *wait)
{
    *count = NULL;
    *wait = retry_after;
    if (tenant == NULL) {
        return CW_GATE_OPEN;
    }
    *count = find_or_add_count(gate, tenant);
    if (tenant->concurrent > 0 && (*count)->concurrent >= local_limit(tenant->concurrent, nodes)) {
        *count = NULL; /* the request was not admitted, so the caller must not call cw_tenant_gate_leave */
        return CW_GATE_CONCURRENCY;
    }
    (*count)->concurrent++;
    return CW_GATE_OPEN;
}

void cw_tenant_gate_leave(cw_tenant_count_t *count)
{
    if (count == NULL) {
        return;
    }
    count->concurrent--;
    if (count->concurrent == 0) { /* a tenant without requests may be missing from the next configuration */
        free_count(count);
    }
}

size_t cw_tenant_gate_counts(const cw_tenant_gate_t *gate)
{
    return HASH_COUNT(gate->counts);
}
