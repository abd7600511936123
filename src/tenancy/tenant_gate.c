/**
 * @file tenant_gate.c
 * @brief Concurrency of tenants.
 */
#include "tenancy/tenant_gate.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/memory.h"

static const cw_time_us_t retry_after = CW_MS(20); /* a request ends within that, where many run */

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

static void drop_count(cw_tenant_count_t *count)
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
        drop_count(count);
    }
    free(gate);
}

static cw_tenant_count_t *count_of(cw_tenant_gate_t *gate, const cw_tenant_t *tenant)
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

/* This node's part of a limit over all nodes. */
static double part(double limit, uint32_t nodes)
{
    double own = limit / (nodes == 0 ? 1 : nodes);

    return own < 1 ? 1 : own;
}

cw_gate_answer_t cw_tenant_gate_enter(cw_tenant_gate_t *gate, const cw_tenant_t *tenant, uint32_t nodes,
                                      cw_tenant_count_t **count, cw_time_us_t *wait)
{
    *count = NULL;
    *wait = retry_after;
    if (tenant == NULL) {
        return CW_GATE_OPEN;
    }
    *count = count_of(gate, tenant);
    if (tenant->concurrent > 0 && (*count)->concurrent >= part(tenant->concurrent, nodes)) {
        *count = NULL; /* not entered: it is not to be left */
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
    if (count->concurrent == 0) { /* its name may be gone with the next configuration */
        drop_count(count);
    }
}

size_t cw_tenant_gate_counts(const cw_tenant_gate_t *gate)
{
    return HASH_COUNT(gate->counts);
}
