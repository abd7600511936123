/**
 * @file server_limits.c
 * @brief Rate limits of the pool's servers, as far as this node keeps them by itself.
 */
#include <string.h>
#include <utlist.h>

#include "balance/server_pool_internal.h"

bool cw_server_is_limited(const cw_server_t *server, cw_time_us_t now)
{
    return cw_server_limit_binds(&server->limit, now);
}

bool cw_server_take_limit_part(cw_server_t *server, uint32_t nodes, cw_time_us_t now)
{
    if (nodes == 0) { /* this process is new, and does not know how many share the limit */
        return false;
    }
    cw_limit_bucket_refill(&server->limit_part, cw_server_limit_rate(&server->limit) / nodes, now);
    if (!cw_limit_bucket_has_token(&server->limit_part)) {
        return false;
    }
    cw_limit_bucket_take(&server->limit_part);
    return true;
}

void cw_server_clear_limit_part(cw_server_t *server)
{
    server->limit_part = (cw_limit_bucket_t){0};
}

cw_time_us_t cw_server_pool_limits_allow_at(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                            cw_time_us_t now)
{
    cw_time_us_t first = CW_NEVER;
    cw_server_t *server;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (!server->listed || server->draining || server->ended || server->zone_is_out ||
            strcmp(server->service, service) != 0 || !cw_server_region_allows(server, rule)) {
            continue;
        }
        if (!cw_server_is_limited(server, now)) {
            return CW_NEVER;
        }
        first = server->limit_allows_at < first ? server->limit_allows_at : first;
    }
    return first;
}
