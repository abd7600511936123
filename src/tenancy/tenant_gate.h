/**
 * @file tenant_gate.h
 * @brief What a tenant's callers may do on this node: how many requests at once.
 *
 * The bound holds over all nodes; each node takes an equal part, so that no tenant needs a word from others and
 * none can take what is another's. Its rate is counted over all nodes (quota_share.h). A refusal here is given before
 * anything is sent: it has not run.
 */
#ifndef CEDARWINCH_TENANCY_TENANT_GATE_H
#define CEDARWINCH_TENANCY_TENANT_GATE_H

#include "base/time.h"
#include "model/configuration.h"

typedef enum cw_gate_answer { CW_GATE_OPEN, CW_GATE_CONCURRENCY } cw_gate_answer_t;

typedef struct cw_tenant_gate cw_tenant_gate_t;
/** Count of one tenant on this node. */
typedef struct cw_tenant_count cw_tenant_count_t;

cw_tenant_gate_t *cw_tenant_gate_create(void);
void              cw_tenant_gate_free(cw_tenant_gate_t *gate);
/** tenant NULL: nothing binds. On CW_GATE_OPEN, *count (NULL: no tenant) is to be left with
 *  cw_tenant_gate_leave when the request has ended. wait: how long until a refused one would be let in. */
cw_gate_answer_t cw_tenant_gate_enter(cw_tenant_gate_t *gate, const cw_tenant_t *tenant, uint32_t nodes,
                                      cw_tenant_count_t **count, cw_time_us_t *wait);
/** Once for each that entered; the count may end with it. NULL is allowed. */
void cw_tenant_gate_leave(cw_tenant_count_t *count);
/** Tenants of which something is kept: those with a request here. */
size_t cw_tenant_gate_counts(const cw_tenant_gate_t *gate);

#endif
