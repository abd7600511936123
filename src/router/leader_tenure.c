/**
 * @file leader_tenure.c
 * @brief A node's term as the leader; rules in leader_tenure.h.
 */
#include "router/leader_tenure.h"

void cw_leader_tenure_begin(cw_leader_tenure_t *tenure, cw_time_us_t now)
{
    tenure->led_since = now;
}

void cw_leader_tenure_release(cw_leader_tenure_t *tenure, uint64_t term, cw_time_us_t now)
{
    tenure->released_term = term;
    tenure->released_at = now;
}

uint64_t cw_leader_tenure_announced_term(const cw_leader_tenure_t *tenure, cw_time_us_t now)
{
    return now - tenure->released_at < CW_SECONDS(CW_RELEASE_ANNOUNCED_S) ? tenure->released_term : 0;
}

bool cw_leader_is_rival(uint32_t own, uint32_t capability)
{
    return capability >= CW_LEADER_RIVAL_FACTOR * own;
}

void cw_leader_tenure_record_rival(cw_leader_tenure_t *tenure, bool is_reachable, cw_time_us_t now)
{
    if (!is_reachable) {
        tenure->rival_since = 0;
    } else if (tenure->rival_since == 0) {
        tenure->rival_since = now;
    }
}

cw_time_us_t cw_leader_tenure_take_delay(const cw_leader_tenure_t *tenure)
{
    return tenure->rival_since == 0 ? 0 : CW_MS(CW_LEADER_TAKE_DELAY_MS);
}

bool cw_leader_tenure_should_hand_over(const cw_leader_tenure_t *tenure, cw_time_us_t now)
{
    return tenure->rival_since != 0 && now - tenure->rival_since > CW_SECONDS(CW_LEADER_HAND_OVER_S) &&
           now - tenure->led_since > CW_SECONDS(CW_LEADER_HAND_OVER_S);
}

bool cw_leader_tenure_authority_changed(cw_leader_tenure_t *tenure, bool has_authority)
{
    bool had_authority = tenure->had_authority;

    tenure->had_authority = has_authority;
    return had_authority != has_authority;
}
