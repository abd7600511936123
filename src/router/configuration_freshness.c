/**
 * @file configuration_freshness.c
 * @brief Evidence that the configuration in force is the newest one.
 */
#include "router/configuration_freshness.h"

#include <string.h>

#include "model/configuration_timing.h"

enum { IDLE_WATCH_WAIT_S = 25 /* the store holds a call for 30 s at most; a longer wait saves calls */ };

void cw_configuration_freshness_init(cw_configuration_freshness_t *freshness, cw_time_us_t within)
{
    memset(freshness, 0, sizeof(*freshness));
    freshness->within = within;
}

bool cw_configuration_role_takes_readers_evidence(cw_configuration_role_t role)
{
    return role == CW_CONFIGURATION_FOLLOWER;
}

static void apply_pending_evidence(cw_configuration_freshness_t *freshness)
{
    if (freshness->pending_version <= freshness->version && freshness->pending_at > freshness->complete_at) {
        freshness->complete_at = freshness->pending_at;
    }
}

void cw_configuration_freshness_set(cw_configuration_freshness_t *freshness, uint64_t version)
{
    freshness->version = version;
    apply_pending_evidence(freshness);
}

void cw_configuration_freshness_confirm(cw_configuration_freshness_t *freshness, uint64_t version, cw_time_us_t at)
{
    if (version <= freshness->version) {
        freshness->complete_at = at > freshness->complete_at ? at : freshness->complete_at;
    } else if (at >= freshness->pending_at) {
        freshness->pending_version = version;
        freshness->pending_at = at;
    }
}

cw_time_us_t cw_configuration_freshness_age(const cw_configuration_freshness_t *freshness, cw_time_us_t now)
{
    return now - freshness->complete_at;
}

/* Time since the newest version was surely known, in force here or not. */
static cw_time_us_t age_of_knowledge(const cw_configuration_freshness_t *freshness, cw_time_us_t now)
{
    cw_time_us_t known_at =
        freshness->pending_at > freshness->complete_at ? freshness->pending_at : freshness->complete_at;

    return now - known_at;
}

cw_time_us_t cw_configuration_freshness_watch(const cw_configuration_freshness_t *freshness,
                                              cw_configuration_role_t role, cw_time_us_t now)
{
    cw_time_us_t within = freshness->within;
    cw_time_us_t age = age_of_knowledge(freshness, now);
    cw_time_us_t doubt = cw_configuration_part(within, CW_CONFIGURATION_DOUBT_HOLD_PERCENT);

    switch (role) {
    case CW_CONFIGURATION_CHECKER:
        return cw_configuration_part(within, CW_CONFIGURATION_CHECK_PERCENT);
    case CW_CONFIGURATION_READER:
        return age > cw_configuration_part(within, CW_CONFIGURATION_READER_PERCENT) ? doubt
                                                                                    : CW_SECONDS(IDLE_WATCH_WAIT_S);
    case CW_CONFIGURATION_FOLLOWER:
        break;
    }
    return age > cw_configuration_part(within, CW_CONFIGURATION_FOLLOWER_PERCENT) ? doubt : 0;
}

uint32_t cw_configuration_freshness_pack(const cw_configuration_freshness_t *freshness, cw_time_us_t now)
{
    cw_time_us_t age_ms = cw_configuration_freshness_age(freshness, now) / 1000;

    return freshness->complete_at == 0 || age_ms >= UINT32_MAX ? 0 : (uint32_t)age_ms + 1;
}

void cw_configuration_freshness_unpack(cw_configuration_freshness_t *freshness, uint64_t version, uint32_t packed_age,
                                       cw_time_us_t now)
{
    if (packed_age != 0) {
        cw_configuration_freshness_confirm(freshness, version, now - CW_MS((cw_time_us_t)packed_age - 1));
    }
}
