/**
 * @file zone_plan.h
 * @brief Plan for taking a zone out of service or putting it back: the consequences, for the operator to confirm.
 *
 * A plan is valid only for the state that it was made from: the zones out of service and, for each service with servers
 * in the zone, the other zones in service that have servers of it. Its id changes with these, but not with each server
 * that starts or stops.
 *
 * The module does no I/O.
 */
#ifndef CEDARWINCH_INTENT_ZONE_PLAN_H
#define CEDARWINCH_INTENT_ZONE_PLAN_H

#include "base/byte_buffer.h"
#include "base/findings.h"
#include "model/server_list.h"
#include "model/zone_service.h"

/** Share of the keys of a keyed service whose owners are in the zone. */
typedef struct cw_zone_keys {
    const char *service;
    double      share; /**< 0 to 1 */
} cw_zone_keys_t;

/** A plan, freed by cw_zone_plan_clear. */
typedef struct cw_zone_plan {
    char       id[20];
    cw_bytes_t lines; /**< "- service maps: 2 of 6 servers, ..." */
} cw_zone_plan_t;

/** Makes a plan. keys: shares of keyed services, as far as known. Returns CW_ERROR_CONFLICT, with findings, if the
 * change is not possible or would leave a service without servers. */
int cw_zone_plan_make(cw_zone_plan_t *plan, const char *zone, cw_zone_change_t change, const cw_server_list_t *list,
                      const cw_zone_keys_t *keys, size_t key_count, cw_findings_t *findings);
/** Frees a plan. */
void cw_zone_plan_clear(cw_zone_plan_t *plan);

#endif
