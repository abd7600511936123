/**
 * @file plan.h
 * @brief Plan for an intent: the configuration that it would result in, and the changes.
 *
 * A plan is valid only for the configuration that it was made from. Its id depends on that configuration's version and
 * on the store's revision of it, so the confirmation of a plan made from an older state is refused, and the operator
 * has to make a new plan.
 */
#ifndef CEDARWINCH_INTENT_PLAN_H
#define CEDARWINCH_INTENT_PLAN_H

#include "base/byte_buffer.h"
#include "intent/intent.h"

/** A plan, freed by cw_plan_clear. */
typedef struct cw_plan {
    char                id[20];
    cw_configuration_t *configuration; /**< the resulting configuration; its version is one above the present one */
    cw_bytes_t          changes;       /**< lines, "+ route ...", "- service ...", "~ route ...: what" */
    size_t              change_count;
} cw_plan_t;

/** Makes a plan. present: the configuration in the store, NULL if there is none yet; revision: its revision, 0 for
 * none. Returns CW_ERROR_CONFLICT, with findings, if the intent claims what belongs to another tenant or if the
 * resulting configuration is not valid. */
int cw_plan_make(cw_plan_t *plan, const cw_intent_t *intent, const cw_configuration_t *present, uint64_t revision,
                 const char *file_name, cw_findings_t *findings);
/** Frees a plan. */
void cw_plan_clear(cw_plan_t *plan);

#endif
