/**
 * @file tenant_gate.h
 * @brief Limits the number of concurrent requests of each tenant on this node.
 *
 * The configured limit holds over all nodes, and each node takes an equal part of it. So no tenant has to wait for a
 * message from another node, and none can use up another's part. The rate of a tenant is limited over all nodes by
 * quota_share.h. A request that is refused here has not run, since nothing of it has been sent.
 */
#ifndef CEDARWINCH_TENANCY_TENANT_GATE_H
#define CEDARWINCH_TENANCY_TENANT_GATE_H

#include "base/time.h"
#include "model/configuration.h"

/** Decision on a request: admitted, or refused since the tenant has too many requests in flight. */
typedef enum cw_gate_answer { CW_GATE_OPEN, CW_GATE_CONCURRENCY } cw_gate_answer_t;

/** Counts of concurrent requests, by tenant. */
typedef struct cw_tenant_gate cw_tenant_gate_t;
/** Number of concurrent requests of one tenant on this node. */
typedef struct cw_tenant_count cw_tenant_count_t;

/** Creates a gate at which no tenant has requests. */
cw_tenant_gate_t *cw_tenant_gate_create(void);
/** Frees the gate. */
void cw_tenant_gate_free(cw_tenant_gate_t *gate);
/** Admits a request. tenant NULL: no limit applies. On CW_GATE_OPEN the caller passes *count (NULL: no tenant) to
 * cw_tenant_gate_leave when the request has ended. wait: time after which a refused request should be sent again. */
cw_gate_answer_t cw_tenant_gate_enter(cw_tenant_gate_t *gate, const cw_tenant_t *tenant, uint32_t nodes,
                                      cw_tenant_count_t **count, cw_time_us_t *wait);
/** Called once for each admitted request; frees the count with the last one. NULL is allowed. */
void cw_tenant_gate_leave(cw_tenant_count_t *count);
/** Number of tenants with state here: those with a request in flight on this node. */
size_t cw_tenant_gate_counts(const cw_tenant_gate_t *gate);

#endif
