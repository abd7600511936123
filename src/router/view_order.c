/**
 * @file view_order.c
 * @brief Order of pages and records.
 */
#include "router/view_order.h"

bool cw_page_is_usable(const cw_page_place_t *place, uint64_t term, uint64_t has)
{
    if (place->term < term) {
        return false;
    }
    if (place->base != 0) {
        return place->term == term && has >= place->base && place->number > has;
    }
    return place->term > term || place->number > has;
}

bool cw_record_is_usable(uint64_t record_term, uint64_t term)
{
    return record_term >= term;
}
