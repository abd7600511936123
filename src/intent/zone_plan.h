/**
 * @file zone_plan.h
 * @brief What it means to take a zone out of service, or to put it back: the answer to an operator's wish.
 *
 * A plan is bound to what it rests on: the zones out of service and, for each service with servers in the zone, the
 * zones that are left to it. Its id changes with these, not with each server that comes or goes.
 *
 * No I/O.
 */
#ifndef CEDARWINCH_INTENT_ZONE_PLAN_H
#define CEDARWINCH_INTENT_ZONE_PLAN_H

#include "base/byte_buffer.h"
#include "base/findings.h"
#include "model/server_list.h"
#include "model/zone_service.h"

/** Part of a keyed service's keys whose owners are in the zone. */
typedef struct cw_zone_keys {
    const char *service;
    double      share; /**< 0 to 1 */
} cw_zone_keys_t;

typedef struct cw_zone_plan {
    char       id[20];
    cw_bytes_t lines; /**< "- service maps: 2 of 6 servers, ..." */
} cw_zone_plan_t;

/** CW_ERROR_CONFLICT, with findings, where it cannot be done or would leave a service without servers. */
int  cw_zone_plan_make(cw_zone_plan_t *plan, const char *zone, cw_zone_change_t change, const cw_server_list_t *list,
                       const cw_zone_keys_t *keys, size_t key_count, cw_findings_t *findings);
void cw_zone_plan_clear(cw_zone_plan_t *plan);

#endif
