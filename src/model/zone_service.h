/**
 * @file zone_service.h
 * @brief Zones that operators take out of service and put back, and the requests that may still be sent to their
 * servers.
 *
 * After an operator has taken a zone out of service, no request may reach its servers after a bounded time, until the
 * operator puts it back. Unlike the leaving of a server, this is reversible. Rules:
 *  - As soon as a node knows that a zone is out, it sends requests that any server can execute to other zones.
 *  - Requests for keys are still sent to their owners in the zone while these hand their keys over, until a share of
 *    the bound is used up. The bound counts from the operator's action. The node does not know the time of the action,
 *    only that it came after the last time at which the zone was certainly in service, so it counts from that time.
 *  - A zone that is put back counts as cold for the warm-up time of a server: its servers may have begun another
 *    warm-up shortly before, and their entries may not show it yet.
 *  - A zone that is out when a node first knows of it has been out for an unknown time: nothing is sent there.
 *
 * No I/O; time is a parameter, in microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_MODEL_ZONE_SERVICE_H
#define CEDARWINCH_MODEL_ZONE_SERVICE_H

#include "base/time.h"
#include "model/name_set.h"

/** State of the zones. */
typedef struct cw_zone_service cw_zone_service_t;

/** Change of a zone's state. */
typedef enum cw_zone_change { CW_ZONE_TAKEN_OUT, CW_ZONE_PUT_BACK } cw_zone_change_t;

/** Called for each zone whose state has changed. */
typedef void (*cw_zone_changed_t)(void *context, const char *zone, cw_zone_change_t change);

/** Creates a state in which all zones are in service. out_within: longest time from the operator's action to the last
 * request; 0: zones are never taken out. */
cw_zone_service_t *cw_zone_service_create(cw_time_us_t out_within);
/** Frees the state. */
void cw_zone_service_free(cw_zone_service_t *zones);
/**
 * Applies the set of zones that are out of service. before_valid_at: last time at which the previous set was certainly
 * complete; 0: not known. changed: called for each change; NULL is allowed.
 */
void cw_zone_service_apply(cw_zone_service_t *zones, const cw_name_set_t *out, cw_time_us_t before_valid_at,
                           cw_time_us_t now, cw_zone_changed_t changed, void *context);
/** Whether a zone is out of service. */
bool cw_zone_service_is_out(const cw_zone_service_t *zones, const char *zone);
/** Time until which requests for keys may still be sent to owners in this zone, which is out of service; 0: they may
 * not. */
cw_time_us_t cw_zone_service_owners_until(const cw_zone_service_t *zones, const char *zone);
/** Time at which this node noticed that the zone was put back; 0: it has not been out. */
cw_time_us_t cw_zone_service_put_back_at(const cw_zone_service_t *zones, const char *zone);

#endif
