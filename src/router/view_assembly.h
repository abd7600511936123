/**
 * @file view_assembly.h
 * @brief Which pages of a list, or of tables, have come.
 *
 * Pages of several updates may come mixed: from the leader, from either relay, for different bases. A few updates are
 * put together side by side; one more takes the place of the one whose last page is the longest ago.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_ASSEMBLY_H
#define CEDARWINCH_ROUTER_VIEW_ASSEMBLY_H

#include <stddef.h>

#include "base/time.h"
#include "router/view_order.h"

enum {
    CW_PAGES_MAX = 512, /**< of one update */
    CW_ASSEMBLIES = 4   /**< updates that are put together side by side */
};

/** The pages of one update that have come. All zeros: none. */
typedef struct cw_view_assembly {
    uint64_t     term;
    uint64_t     number;
    uint64_t     base;
    uint32_t     pages; /**< 0: no update */
    uint32_t     have;
    uint8_t      seen[CW_PAGES_MAX];
    cw_time_us_t last_at; /**< last page */
} cw_view_assembly_t;

/** Place for pages of this update among `count` assemblies; is_begun: it had none. CW_ASSEMBLIES: no such page is
 * taken. */
size_t cw_view_assembly_choose(const cw_view_assembly_t *const assemblies[CW_ASSEMBLIES], const cw_page_place_t *place,
                               bool *is_begun);
/** Begins with this update. */
void cw_view_assembly_begin(cw_view_assembly_t *assembly, const cw_page_place_t *place);
/** Notes a page of it. False: it was here already. */
bool cw_view_assembly_note(cw_view_assembly_t *assembly, uint32_t page, cw_time_us_t now);
bool cw_view_assembly_is_whole(const cw_view_assembly_t *assembly);
/** First page that is not here; the number of pages when none is missing. */
uint32_t cw_view_assembly_first_missing(const cw_view_assembly_t *assembly);

#endif
