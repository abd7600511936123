/**
 * @file assigner_tick.c
 * @brief The periodic step of an assigner.
 */
#include "assignment/assigner_internal.h"

void cw_assigner_tick(cw_assigner_t *assigner, const cw_server_list_t *servers, bool has_authority, bool long_hold,
                      cw_time_us_t now)
{
    assigner->now = now;
    assigner->ticked_at = now;
    if (!has_authority || assigner->state == CW_ASSIGNER_DEPOSED) {
        return;
    }
    if (assigner->led_since == 0) {
        assigner->led_since = now;
    }
    cw_server_contacts_expire(assigner->contacts, now);
    cw_assigner_call_store(assigner, now);
    if (assigner->state == CW_ASSIGNER_READY) {
        cw_assigner_send_orders(assigner, servers, long_hold, now);
        cw_assigner_send_notices(assigner, now);
        cw_assigner_probe_unanswering(assigner, now);
    }
}
