/**
 * @file admission.c
 * @brief Admission by tenant limit and dynamic threshold.
 */
#include "cedarwinch/admission.h"

cw_reason_t cw_admission_enter(cw_admission_t *admission, cw_admission_share_t *share, uint32_t tenant_limit)
{
    uint64_t free_places = admission->limit - admission->in_use;

    if (free_places == 0) {
        return CW_REASON_QUEUE_FULL;
    }
    if (tenant_limit != 0 && share->in_use >= tenant_limit) {
        return CW_REASON_CONCURRENCY_LIMIT;
    }
    if (share->in_use >= free_places * CW_ADMISSION_FACTOR) {
        return CW_REASON_CONCURRENCY_LIMIT;
    }
    admission->in_use++;
    share->in_use++;
    return CW_REASON_NONE;
}

void cw_admission_leave(cw_admission_t *admission, cw_admission_share_t *share)
{
    admission->in_use--;
    share->in_use--;
}
