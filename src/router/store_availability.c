/**
 * @file store_availability.c
 * @brief Whether the store answers this node's calls; the rules are in store_availability.h.
 */
#include "router/store_availability.h"

static cw_store_availability_change_t record_answer(cw_store_availability_t *availability, cw_time_us_t now)
{
    bool was_lost = availability->is_lost;

    availability->answered_at = now;
    availability->failing_since = 0;
    availability->is_lost = false;
    return was_lost ? CW_STORE_BACK : CW_STORE_UNCHANGED;
}

cw_store_availability_change_t cw_store_availability_record(cw_store_availability_t *availability, bool is_answered,
                                                            cw_time_us_t asked_at, cw_time_us_t now)
{
    if (is_answered) {
        return record_answer(availability, now);
    }
    availability->failed_at = now;
    availability->failed_asked_at = asked_at > availability->failed_asked_at ? asked_at : availability->failed_asked_at;
    if (availability->failing_since == 0) {
        availability->failing_since = now;
    }
    if (availability->is_lost || now - availability->failing_since < CW_MS(CW_STORE_LOST_MS)) {
        return CW_STORE_UNCHANGED;
    }
    availability->is_lost = true;
    return CW_STORE_LOST;
}

bool cw_store_availability_is_out(const cw_store_availability_t *availability, cw_time_us_t asked_at,
                                  cw_time_us_t recent, cw_time_us_t now)
{
    cw_time_us_t waiting_since = asked_at > availability->answered_at ? asked_at : availability->answered_at;

    if (availability->failing_since != 0 && now - availability->failed_at < recent) {
        return true;
    }
    return asked_at != 0 && now - waiting_since > CW_MS(CW_STORE_UNANSWERED_MS);
}

cw_time_us_t cw_store_availability_failing_for(const cw_store_availability_t *availability, cw_time_us_t now)
{
    return availability->failing_since == 0 ? 0 : now - availability->failing_since;
}
