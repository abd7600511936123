/**
 * @file interim_counter.c
 * @brief Whether the leader counts all tenants.
 */
#include "router/interim_counter.h"

#include "router/fleet_size.h"

bool cw_interim_counter_record(cw_interim_counter_t *interim, uint32_t leader, uint64_t term, bool has_authority,
                               uint32_t nodes)
{
    uint32_t before = interim->leader;

    if (term < interim->term) {
        return false;
    }
    interim->term = term;
    interim->leader = term == CW_INTERIM_COUNTER_TERM && has_authority && nodes == 0 ? leader : 0;
    return interim->leader != before;
}

uint32_t cw_interim_counter_address(const cw_interim_counter_t *interim, uint32_t announced, uint32_t in_reach)
{
    return announced == 0 && in_reach < CW_FLEET_MANY_NODES ? interim->leader : 0;
}
