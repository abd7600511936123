/**
 * @file view_assembly.h
 * @brief Which pages of an update of the list, or of the tables, have been received.
 *
 * Pages of several updates may arrive interleaved: from the leader, from either relay, for different bases. A few
 * updates are assembled at the same time; a further one replaces the one whose last page was received the longest time
 * ago.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_ASSEMBLY_H
#define CEDARWINCH_ROUTER_VIEW_ASSEMBLY_H

#include <stddef.h>

#include "base/time.h"
#include "router/view_order.h"

enum {
    CW_PAGES_MAX = 512,        /**< pages of one update */
    CW_VIEW_ASSEMBLIES_MAX = 4 /**< updates that are assembled at the same time */
};

/** The pages of one update that have been received. All zeros: no update. */
typedef struct cw_view_assembly {
    uint64_t     term;
    uint64_t     version;
    uint64_t     base;
    uint32_t     pages;                  /**< 0: no update */
    uint32_t     received_count;         /**< pages received */
    uint8_t      received[CW_PAGES_MAX]; /**< 1 for each page received */
    cw_time_us_t last_at;                /**< when the last new page was received */
} cw_view_assembly_t;

/** Index of the assembly for pages of this update; is_new: it had none, and the caller starts it at this index.
 * CW_VIEW_ASSEMBLIES_MAX: the position is invalid, and the page is dropped. */
size_t cw_view_assembly_choose(const cw_view_assembly_t *const assemblies[CW_VIEW_ASSEMBLIES_MAX],
                               const cw_page_position_t *position, bool *is_new);
/** Starts assembling this update, without any page. */
void cw_view_assembly_begin(cw_view_assembly_t *assembly, const cw_page_position_t *position);
/** Records a page of the update. Returns false if it had been received before. */
bool cw_view_assembly_record(cw_view_assembly_t *assembly, uint32_t page, cw_time_us_t now);
/** True if all pages have been received. */
bool cw_view_assembly_is_whole(const cw_view_assembly_t *assembly);
/** First page that has not been received; the number of pages when none is missing. */
uint32_t cw_view_assembly_first_missing(const cw_view_assembly_t *assembly);

#endif
