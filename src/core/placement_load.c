/**
 * @file placement_load.c
 * @brief Load of a range across changes of the forwarder that counts it.
 */
#include <math.h>

#include "cedarwinch/placement.h"

double cw_placement_load_at(const cw_placement_load_t *load, cw_time_us_t now)
{
    double age = (double)(now - load->carried_us) / CW_PLACEMENT_LOAD_DECAY_US;
    double told = now - load->told_us > CW_PLACEMENT_LOAD_KEEP_US ? 0 : load->told;

    return load->carried > 0 ? told + load->carried * exp(-age) : told;
}

void cw_placement_load_tell(cw_placement_load_t *load, double requests_per_second, cw_time_us_t now)
{
    load->told = requests_per_second;
    load->told_us = now;
}

void cw_placement_load_carry(cw_placement_load_t *load, double requests_per_second, cw_time_us_t now)
{
    load->told = 0;
    load->told_us = now;
    load->carried = requests_per_second;
    load->carried_us = now;
}
