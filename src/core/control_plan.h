/**
 * @file control_plan.h
 * @brief Shared by control_plan.c, control_effects.c and control_confirm.c.
 */
#ifndef CEDARWINCH_CONTROL_PLAN_H
#define CEDARWINCH_CONTROL_PLAN_H

#include <jansson.h>

#include "core/control_internal.h"

/** HTTP status of answers to operators. */
enum {
    CW_STATUS_OK = 200,
    CW_STATUS_FORBIDDEN = 403,
    CW_STATUS_NOT_FOUND = 404,
    CW_STATUS_CONFLICT = 409,
    CW_STATUS_UNPROCESSABLE = 422,
    CW_STATUS_UNAVAILABLE = 503,
    CW_STATUS_TIMEOUT = 504
};

/** Plan by id, or NULL when there is none or it has expired. */
cw_plan_t *cw_control_find_plan(cw_control_t *control, const char *id);
bool cw_control_needs_administrator(const Cw__TenantConfiguration *present, const Cw__TenantConfiguration *wanted);
/** Server of the wanted configuration whose address and port another server has; NULL: none. */
const Cw__ServerConfiguration *cw_control_find_taken_address(const cw_control_t            *control,
                                                             const Cw__TenantConfiguration *wanted);
/** What would change for each service, as a JSON array. */
json_t *cw_control_plan_effects(cw_control_t *control, const Cw__TenantConfiguration *wanted);
void    cw_control_end_confirmations(cw_control_t *control);

#endif
