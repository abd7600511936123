/**
 * @file zone_service.h
 * @brief Zones that operators take out of service and put back: what may still be sent to a zone's servers.
 *
 * An operator empties a zone: after a bounded time no request may reach its servers, until the operator puts it back.
 * That is not a server's leaving, which never ends. Rules:
 *  - From the moment a node knows, requests that any server can run go to other zones.
 *  - Requests for keys still go to their owners in the zone while these hand their keys over, until a share of the
 *    bound is used up. The bound counts from the operator's act. The node does not know when that was, only that it
 *    came after the last moment at which the zone was surely in service: so it counts from there.
 *  - A zone that is put back counts as cold for as long as a server's warm-up takes: its servers may have restarted
 *    their warm-up shortly before, and their records may not show it yet.
 *  - A zone that is out when a node first hears of it has been so for an unknown time: nothing is sent there.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_MODEL_ZONE_SERVICE_H
#define CEDARWINCH_MODEL_ZONE_SERVICE_H

#include "base/time.h"
#include "model/name_set.h"

typedef struct cw_zone_service cw_zone_service_t;

typedef enum cw_zone_change { CW_ZONE_TAKEN_OUT, CW_ZONE_PUT_BACK } cw_zone_change_t;

/** Called for each zone whose state has changed. */
typedef void (*cw_zone_changed_t)(void *context, const char *zone, cw_zone_change_t change);

/** out_within: bound from the operator's act to the last request; 0: zones are never taken out. */
cw_zone_service_t *cw_zone_service_create(cw_time_us_t out_within);
void               cw_zone_service_free(cw_zone_service_t *zones);
/**
 * The zones that are out of service now. before_valid_at: last moment at which the previous set was surely complete; 0:
 * not known. changed: NULL is allowed.
 */
void cw_zone_service_apply(cw_zone_service_t *zones, const cw_name_set_t *out, cw_time_us_t before_valid_at,
                           cw_time_us_t now, cw_zone_changed_t changed, void *context);
bool cw_zone_service_is_out(const cw_zone_service_t *zones, const char *zone);
/** Until when requests for keys may still go to owners in this zone, which is out of service; 0: no longer. */
cw_time_us_t cw_zone_service_owners_until(const cw_zone_service_t *zones, const char *zone);
/** When it was put back, as this node saw it; 0: it has not been out. */
cw_time_us_t cw_zone_service_put_back_at(const cw_zone_service_t *zones, const char *zone);

#endif
