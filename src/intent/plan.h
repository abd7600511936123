/**
 * @file plan.h
 * @brief The answer to an intent: the configuration it would make, and what would change.
 *
 * A plan is bound to the configuration it was made from, by that one's version and the store's revision of it: its id
 * changes with either, so a confirmation of a plan made from an older state is refused and has to be planned anew.
 */
#ifndef CEDARWINCH_INTENT_PLAN_H
#define CEDARWINCH_INTENT_PLAN_H

#include "base/byte_buffer.h"
#include "intent/intent.h"

typedef struct cw_plan {
    char                id[20];
    cw_configuration_t *configuration; /**< as it would be; its version is one above */
    cw_bytes_t          changes;       /**< lines, "+ route ...", "- service ...", "~ route ...: what" */
    size_t              change_count;
} cw_plan_t;

/** Findings: what another tenant holds already. CW_ERROR_CONFLICT then. present: NULL for none yet. */
int  cw_plan_make(cw_plan_t *plan, const cw_intent_t *intent, const cw_configuration_t *present, uint64_t revision,
                  const char *file_name, cw_findings_t *findings);
void cw_plan_clear(cw_plan_t *plan);

#endif
