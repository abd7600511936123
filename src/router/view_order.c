/**
 * @file view_order.c
 * @brief Order of pages and records; the rules are in view_order.h.
 */
#include "router/view_order.h"

bool cw_page_is_usable(const cw_page_position_t *position, uint64_t term, uint64_t has)
{
    if (position->term < term) {
        return false;
    }
    if (position->base != 0) {
        return position->term == term && has >= position->base && position->version > has;
    }
    return position->term > term || position->version > has;
}

bool cw_record_is_usable(uint64_t record_term, uint64_t term)
{
    return record_term >= term;
}
