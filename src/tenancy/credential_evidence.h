/**
 * @file credential_evidence.h
 * @brief How long the known keys of callers may be used without confirmation that none has been revoked.
 *
 * The evidence is a point in time: every change that the store had acknowledged by then is in force on this node
 * (router/configuration_freshness.h). Evidence is stale once it is older than the bound that the operators configure. A
 * node with stale evidence continues with the keys it has or, if it fails closed, uses no key until newer evidence
 * arrives.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_TENANCY_CREDENTIAL_EVIDENCE_H
#define CEDARWINCH_TENANCY_CREDENTIAL_EVIDENCE_H

#include <stdbool.h>

#include "base/time.h"

/** Bound on the age of the evidence, and the state at the last check. */
typedef struct cw_credential_evidence {
    cw_time_us_t stale_after;  /**< maximum age of the evidence; 0: it never becomes stale */
    bool         fails_closed; /**< use no key while the evidence is stale */
    bool         is_stale;     /**< result of the last check */
} cw_credential_evidence_t;

/** Change of the state since the last check: none, became stale, became fresh again. */
typedef enum cw_evidence_change { CW_EVIDENCE_UNCHANGED, CW_EVIDENCE_STALE, CW_EVIDENCE_FRESH } cw_evidence_change_t;

/** Returns how the state has changed since the last check. complete_at: time of the evidence; 0: there is none yet. */
cw_evidence_change_t cw_credential_evidence_check(cw_credential_evidence_t *evidence, cw_time_us_t complete_at,
                                                  cw_time_us_t now);
/** Time until which keys may be used; CW_NEVER: without end. */
cw_time_us_t cw_credential_evidence_trusted_until(const cw_credential_evidence_t *evidence, cw_time_us_t complete_at);

#endif
