/**
 * @file leaving_servers.h
 * @brief Set of servers that have announced in an answer that they are leaving.
 *
 * An incarnation of a server that is leaving never returns to service, even if a later list shows it as ready or its
 * entry disappears and reappears. So an entry of this set outlives the pool's entry of the server.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_BALANCE_LEAVING_SERVERS_H
#define CEDARWINCH_BALANCE_LEAVING_SERVERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_LEAVING_EXPIRY_S = 3600 /**< far longer than a leaving server continues to serve */ };

/** Hashes of leaving servers, each with the time of its announcement. */
typedef struct cw_leaving_servers cw_leaving_servers_t;

/** Creates an empty set. */
cw_leaving_servers_t *cw_leaving_servers_create(void);
/** Frees the set. */
void cw_leaving_servers_free(cw_leaving_servers_t *set);
/** Adds the incarnation with this hash. False: it was in the set already. */
bool cw_leaving_servers_add(cw_leaving_servers_t *set, uint32_t server, cw_time_us_t now);
/** True if the set contains the incarnation with this hash. */
bool cw_leaving_servers_has(const cw_leaving_servers_t *set, uint32_t server);
/** Removes entries older than CW_LEAVING_EXPIRY_S. */
void cw_leaving_servers_expire(cw_leaving_servers_t *set, cw_time_us_t now);
/** Number of entries. */
size_t cw_leaving_servers_count(const cw_leaving_servers_t *set);

#endif
