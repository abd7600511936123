/**
 * @file admission.h
 * @brief Admission of requests to a bounded number of places that tenants share fairly.
 *
 * A tenant may hold at most CW_ADMISSION_FACTOR times as many places as are free (dynamic threshold). One busy tenant
 * alone thus gets two thirds of the places and always leaves a third; n busy tenants get equal shares; and no number
 * of tenants has to be known beforehand. Source: Choudhury, Hahne, "Dynamic queue length thresholds for shared-memory
 * packet switches", IEEE/ACM Transactions on Networking 6(2), 1998.
 */
#ifndef CEDARWINCH_ADMISSION_H
#define CEDARWINCH_ADMISSION_H

#include "cedarwinch/outcome.h"

enum { CW_ADMISSION_FACTOR = 2 };

typedef struct cw_admission {
    uint32_t limit; /**< places in all */
    uint32_t in_use;
} cw_admission_t;

/** Places held by one tenant. */
typedef struct cw_admission_share {
    uint32_t in_use;
} cw_admission_share_t;

/** Takes a place; CW_REASON_NONE when there is one. tenant_limit 0: only the fair share bounds the tenant. */
cw_reason_t cw_admission_enter(cw_admission_t *admission, cw_admission_share_t *share, uint32_t tenant_limit);
/** Gives a place back. */
void cw_admission_leave(cw_admission_t *admission, cw_admission_share_t *share);

#endif
