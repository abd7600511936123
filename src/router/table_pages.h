/**
 * @file table_pages.h
 * @brief Tables of keys cut into pages of bounded size, and put together again.
 *
 * A service's table takes as many pages as its ranges need. Pages may come in any order; a table is used only when all
 * pages of all services have come, so that no node goes by a table with holes.
 */
#ifndef CEDARWINCH_ROUTER_TABLE_PAGES_H
#define CEDARWINCH_ROUTER_TABLE_PAGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "assignment/range.h"
#include "peer.pb-c.h"

enum { CW_TABLE_PAGE_RANGES = 400, CW_TABLE_SERVICES_MAX = 16 };

/** Room for one page's ranges while it is packed. */
typedef struct cw_table_page_room {
    Cwp__TableRange  entries[CW_TABLE_PAGE_RANGES];
    Cwp__TableRange *pointers[CW_TABLE_PAGE_RANGES];
} cw_table_page_room_t;

/** Pages that a table of so many ranges takes; at least one. */
uint32_t cw_table_pages_of(size_t ranges);
/** Sets the page's ranges to part `part` of the table. */
void cw_table_page_fill(Cwp__TablePage *page, cw_table_page_room_t *room, const cw_range_list_t *ranges, uint32_t part);

typedef struct cw_received_range {
    uint32_t low;
    uint32_t last;
    uint32_t server; /**< hash of the owner's id */
    uint64_t fence;
    bool     routable;
} cw_received_range_t;

typedef struct cw_received_table {
    char                *service;
    cw_received_range_t *ranges;
    size_t               count;
} cw_received_table_t;

/** All zeros: empty. */
typedef struct cw_received_tables {
    cw_received_table_t items[CW_TABLE_SERVICES_MAX];
    size_t              count;
} cw_received_tables_t;

void cw_received_tables_clear(cw_received_tables_t *tables);
void cw_received_tables_add(cw_received_tables_t *tables, const Cwp__TablePage *page);
/** All pages have come: puts each table's ranges in order. */
void cw_received_tables_seal(cw_received_tables_t *tables);

#endif
