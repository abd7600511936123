/**
 * @file placement_losses.c
 * @brief Backing off from servers that are lost again and again.
 *
 * After each loss a server is unsteady, twice as long as after the one before; a long time without one clears it.
 */
#include "cedarwinch/placement.h"

enum { FORGET_US = 1200 * CW_US_PER_S, DOUBLINGS_MAX = 4 };

static const cw_time_us_t FIRST_US = (cw_time_us_t)30 * CW_US_PER_S;

void cw_placement_note_loss(cw_placement_losses_t *losses, cw_time_us_t now)
{
    if (now - losses->last_us > FORGET_US) {
        losses->count = 0;
    }
    losses->count++;
    losses->last_us = now;
}

bool cw_placement_is_unsteady(const cw_placement_losses_t *losses, cw_time_us_t now)
{
    uint32_t doublings = losses->count > DOUBLINGS_MAX ? DOUBLINGS_MAX : losses->count - 1;

    return losses->count > 0 && now - losses->last_us < FIRST_US << doublings;
}
