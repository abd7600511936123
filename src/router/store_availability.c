/**
 * @file store_availability.c
 * @brief Whether the store answers this node's calls; rules in store_availability.h.
 */
#include "router/store_availability.h"

static cw_store_change_t note_answer(cw_store_availability_t *reach)
{
    bool was_lost = reach->is_lost;

    reach->failing_since = 0;
    reach->is_lost = false;
    return was_lost ? CW_STORE_BACK : CW_STORE_AS_BEFORE;
}

cw_store_change_t cw_store_availability_note(cw_store_availability_t *reach, bool is_answered, cw_time_us_t now)
{
    if (is_answered) {
        return note_answer(reach);
    }
    reach->failed_at = now;
    if (reach->failing_since == 0) {
        reach->failing_since = now;
    }
    if (reach->is_lost || now - reach->failing_since < CW_MS(CW_STORE_LOST_MS)) {
        return CW_STORE_AS_BEFORE;
    }
    reach->is_lost = true;
    return CW_STORE_LOST;
}

cw_time_us_t cw_store_availability_failing_for(const cw_store_availability_t *reach, cw_time_us_t now)
{
    return reach->failing_since == 0 ? 0 : now - reach->failing_since;
}
