/**
 * @file credential_evidence.h
 * @brief How long callers' keys may be used without news of keys taken away.
 *
 * Evidence is a moment up to which all that the store acknowledged is in force here (router/configuration_freshness.h).
 * It is stale once it is older than the operators' bound. A node whose evidence is stale goes on with the keys it has,
 * or, where it fails closed, uses none of them until there is newer evidence.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_TENANCY_CREDENTIAL_EVIDENCE_H
#define CEDARWINCH_TENANCY_CREDENTIAL_EVIDENCE_H

#include <stdbool.h>

#include "base/time.h"

typedef struct cw_credential_evidence {
    cw_time_us_t stale_after; /**< 0: evidence is never stale */
    bool         fails_closed;
    bool         is_stale; /**< as it was found last */
} cw_credential_evidence_t;

typedef enum cw_evidence_change { CW_EVIDENCE_UNCHANGED, CW_EVIDENCE_STALE, CW_EVIDENCE_FRESH } cw_evidence_change_t;

/** complete_at: of the evidence; 0: there has been none yet. */
cw_evidence_change_t cw_credential_evidence_check(cw_credential_evidence_t *evidence, cw_time_us_t complete_at,
                                                  cw_time_us_t now);
/** Until when keys may be used; CW_NEVER: no end. */
cw_time_us_t cw_credential_evidence_trusted_until(const cw_credential_evidence_t *evidence, cw_time_us_t complete_at);

#endif
