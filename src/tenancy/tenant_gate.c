/**
 * @file tenant_gate.c
 * @brief Rates and concurrency of tenants.
 */
#include "tenancy/tenant_gate.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

static const double       burst_s = 1; /* a second's worth of requests may come at once */
static const cw_time_us_t retry_min = CW_MS(20);

struct cw_tenant_count {
    char          *name;
    double         tokens; /**< requests that may come now */
    cw_time_us_t   filled_at;
    uint32_t       concurrent;
    UT_hash_handle hh;
};

struct cw_tenant_gate {
    cw_tenant_count_t *counts;
};

cw_tenant_gate_t *cw_tenant_gate_create(void)
{
    cw_tenant_gate_t *gate = calloc(1, sizeof(*gate));

    if (gate == NULL) {
        abort();
    }
    return gate;
}

void cw_tenant_gate_free(cw_tenant_gate_t *gate)
{
    cw_tenant_count_t *count;
    cw_tenant_count_t *next;

    HASH_ITER(hh, gate->counts, count, next)
    {
        HASH_DEL(gate->counts, count); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
        free(count->name);
        free(count);
    }
    free(gate);
}

static cw_tenant_count_t *count_of(cw_tenant_gate_t *gate, const cw_tenant_t *tenant, cw_time_us_t now)
{
    cw_tenant_count_t *count;

    HASH_FIND_STR(gate->counts, tenant->name, count);
    if (count == NULL) {
        count = calloc(1, sizeof(*count));
        if (count == NULL) {
            abort();
        }
        count->name = strdup(tenant->name);
        count->tokens = 1;
        count->filled_at = now;
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

static void refill(cw_tenant_count_t *count, double per_s, cw_time_us_t now)
{
    count->tokens += per_s * (double)(now - count->filled_at) / 1e6;
    count->filled_at = now;
    if (count->tokens > per_s * burst_s) {
        count->tokens = per_s * burst_s;
    }
}

cw_gate_answer_t cw_tenant_gate_enter(cw_tenant_gate_t *gate, const cw_tenant_t *tenant, uint32_t nodes,
                                      cw_time_us_t now, cw_tenant_count_t **count, cw_time_us_t *wait)
{
    *count = NULL;
    *wait = retry_min;
    if (tenant == NULL) {
        return CW_GATE_OPEN;
    }
    *count = count_of(gate, tenant, now);
    if (tenant->concurrent > 0 && (*count)->concurrent >= part(tenant->concurrent, nodes)) {
        return CW_GATE_CONCURRENCY;
    }
    if (tenant->rate_per_s > 0) {
        double per_s = part(tenant->rate_per_s, nodes);

        refill(*count, per_s, now);
        if ((*count)->tokens < 1) {
            cw_time_us_t due = (cw_time_us_t)((1 - (*count)->tokens) / per_s * 1e6);

            *wait = due > retry_min ? due : retry_min;
            return CW_GATE_RATE;
        }
        (*count)->tokens -= 1;
    }
    (*count)->concurrent++;
    return CW_GATE_OPEN;
}

void cw_tenant_gate_leave(cw_tenant_count_t *count)
{
    if (count != NULL && count->concurrent > 0) {
        count->concurrent--;
    }
}
