/**
 * @file server_holdoff.c
 * @brief Servers to which this node temporarily sends nothing: their rate limits are used up, or they are at rest.
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
    if (nodes == 0) { /* this process has just started and does not know yet how many nodes share the limit */
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

void cw_server_record_limit_refused(cw_server_t *server, cw_time_us_t wait, cw_time_us_t now)
{
    server->limit_allows_at = now + wait;
}

bool cw_server_rests(const cw_server_t *server, cw_time_us_t now)
{
    return now < server->rest_until;
}

/* Earliest time at which the server may be sent to; `now` if it may be at once. With a rate limit a request may still
 * have to wait for a token then. */
static cw_time_us_t held_off_until(const cw_server_t *server, cw_time_us_t now)
{
    cw_time_us_t limited = cw_server_is_limited(server, now) ? server->limit_allows_at : 0;
    cw_time_us_t until = server->rest_until > limited ? server->rest_until : limited;

    return until > now ? until : now;
}

bool cw_server_is_held_off(const cw_server_t *server, cw_time_us_t now)
{
    return held_off_until(server, now) > now;
}

/* True if a request under this rule may go to the server, apart from its rate limit and rest. */
static bool is_eligible(const cw_server_t *server, const char *service, const cw_region_rule_t *rule)
{
    return server->listed && !server->draining && !server->ended && !server->zone_is_out &&
           strcmp(server->service, service) == 0 && cw_server_region_allows(server, rule);
}

cw_time_us_t cw_server_pool_held_off_until(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                           cw_time_us_t now)
{
    cw_time_us_t first = CW_NEVER;
    cw_time_us_t until;
    cw_server_t *server;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (!is_eligible(server, service, rule)) {
            continue;
        }
        if (!cw_server_is_limited(server, now) && !cw_server_rests(server, now)) {
            return CW_NEVER;
        }
        until = held_off_until(server, now);
        first = until < first ? until : first;
    }
    return first;
}

bool cw_server_pool_all_rest(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                             cw_time_us_t now)
{
    cw_server_t *server;
    bool         any = false;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (!is_eligible(server, service, rule)) {
            continue;
        }
        if (!cw_server_rests(server, now)) {
            return false;
        }
        any = true;
    }
    return any;
}
