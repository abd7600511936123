/**
 * @file table_pages.h
 * @brief Tables of keys divided into pages of bounded size.
 *
 * A service's table takes as many pages as its entries need. Pages may arrive in any order. Tables are used only when
 * all pages have been received, so that no node routes by a table with gaps.
 */
#ifndef CEDARWINCH_ROUTER_TABLE_PAGES_H
#define CEDARWINCH_ROUTER_TABLE_PAGES_H

#include "peer.pb-c.h"
#include "router/key_tables.h"

enum { CW_TABLE_PAGE_RANGES = 400 /**< ranges per page */ };

/** Buffer for the ranges of one page until it is packed. */
typedef struct cw_table_page_room {
    Cwp__TableRange  entries[CW_TABLE_PAGE_RANGES];
    Cwp__TableRange *pointers[CW_TABLE_PAGE_RANGES];
} cw_table_page_room_t;

/** Number of pages for so many entries; at least one. */
uint32_t cw_table_page_count(size_t entries);
/** Copies the entries that changed after the tables of version `base` (0: all entries), at most `room`; returns how
 * many. */
size_t cw_table_changes(const cw_key_table_t *table, uint64_t base, cw_table_entry_t *changes, size_t room);
/** Sets the page's ranges to those of page number `part` of the entries. */
void cw_table_page_fill(Cwp__TablePage *page, cw_table_page_room_t *room, const cw_table_entry_t *entries, size_t count,
                        uint32_t part);
/** Adds the page's ranges to its service's table. */
void cw_table_page_apply(cw_key_tables_t *tables, const Cwp__TablePage *page);

#endif
