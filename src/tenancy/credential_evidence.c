/**
 * @file credential_evidence.c
 * @brief Age of the evidence that no key has been revoked.
 */
#include "tenancy/credential_evidence.h"

cw_evidence_change_t cw_credential_evidence_check(cw_credential_evidence_t *evidence, cw_time_us_t complete_at,
                                                  cw_time_us_t now)
{
    bool was_stale = evidence->is_stale;

    evidence->is_stale = evidence->stale_after > 0 && complete_at > 0 && now - complete_at >= evidence->stale_after;
    if (evidence->is_stale == was_stale) {
        return CW_EVIDENCE_UNCHANGED;
    }
    return evidence->is_stale ? CW_EVIDENCE_STALE : CW_EVIDENCE_FRESH;
}

cw_time_us_t cw_credential_evidence_trusted_until(const cw_credential_evidence_t *evidence, cw_time_us_t complete_at)
{
    if (!evidence->fails_closed || evidence->stale_after == 0) {
        return CW_NEVER;
    }
    return complete_at == 0 ? 0 : complete_at + evidence->stale_after;
}
