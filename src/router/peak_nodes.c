/**
 * @file peak_nodes.c
 * @brief The most nodes that were alive at once of late.
 */
#include "router/peak_nodes.h"

void cw_peak_nodes_record(cw_peak_nodes_t *peak, uint32_t alive, cw_time_us_t window, cw_time_us_t now)
{
    if (alive >= peak->count || now - peak->at > window) {
        peak->count = alive;
        peak->at = now;
    }
}
