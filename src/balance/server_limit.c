/**
 * @file server_limit.c
 * @brief Determines when a server's rate limit begins, changes and ends.
 */
#include "balance/server_limit.h"

bool cw_server_limit_binds(const cw_server_limit_t *limit, cw_time_us_t now)
{
    return limit->is_named && now - limit->named_at < CW_MS(CW_LIMIT_EXPIRY_MS);
}

double cw_server_limit_rate(const cw_server_limit_t *limit)
{
    double probes_per_s = 1000.0 / CW_LIMIT_PROBE_MS;

    return limit->per_s > probes_per_s ? limit->per_s : probes_per_s;
}

cw_limit_change_t cw_server_limit_record_named(cw_server_limit_t *limit, double per_s, cw_time_us_t made_at,
                                               cw_time_us_t now)
{
    bool bound = cw_server_limit_binds(limit, now);
    bool is_same = limit->per_s == per_s;

    if (made_at < limit->named_at || made_at < limit->ended_at) {
        return CW_LIMIT_UNCHANGED;
    }
    limit->is_named = true;
    limit->per_s = per_s;
    limit->named_at = made_at;
    limit->unnamed = 0;
    if (!bound) {
        return cw_server_limit_binds(limit, now) ? CW_LIMIT_BEGUN : CW_LIMIT_UNCHANGED;
    }
    return is_same ? CW_LIMIT_UNCHANGED : CW_LIMIT_CHANGED;
}

static cw_limit_change_t end_limit(cw_server_limit_t *limit, cw_time_us_t at)
{
    limit->is_named = false;
    limit->ended_at = at;
    return CW_LIMIT_ENDED;
}

cw_limit_change_t cw_server_limit_record_unnamed(cw_server_limit_t *limit, cw_time_us_t now)
{
    if (!limit->is_named) {
        return CW_LIMIT_UNCHANGED;
    }
    limit->unnamed++;
    if (limit->unnamed < CW_LIMIT_UNNAMED_ANSWERS || now - limit->named_at < CW_MS(CW_LIMIT_UNNAMED_PERIOD_MS)) {
        return CW_LIMIT_UNCHANGED;
    }
    return end_limit(limit, now);
}

cw_limit_change_t cw_server_limit_record_ended(cw_server_limit_t *limit, cw_time_us_t made_at, cw_time_us_t now)
{
    if (!cw_server_limit_binds(limit, now) || made_at <= limit->named_at) {
        return CW_LIMIT_UNCHANGED;
    }
    return end_limit(limit, made_at);
}
