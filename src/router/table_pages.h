/**
 * @file table_pages.h
 * @brief Tables of keys cut into pages of bounded size.
 *
 * A service's table takes as many pages as its entries need. Pages may come in any order; tables are used only when all
 * pages have come, so that no node goes by a table with holes.
 */
#ifndef CEDARWINCH_ROUTER_TABLE_PAGES_H
#define CEDARWINCH_ROUTER_TABLE_PAGES_H

#include "peer.pb-c.h"
#include "router/key_tables.h"

enum { CW_TABLE_PAGE_RANGES = 400 };

/** Room for one page's ranges while it is packed. */
typedef struct cw_table_page_room {
    Cwp__TableRange  entries[CW_TABLE_PAGE_RANGES];
    Cwp__TableRange *pointers[CW_TABLE_PAGE_RANGES];
} cw_table_page_room_t;

/** Pages that so many entries take; at least one. */
uint32_t cw_table_page_count(size_t entries);
/** Entries of a table that changed after the tables of number `base` (0: all); returns how many, at most `room`. */
size_t cw_table_changes(const cw_key_table_t *table, uint64_t base, cw_table_entry_t *changes, size_t room);
/** Sets the page's ranges to part `part` of the entries. */
void cw_table_page_fill(Cwp__TablePage *page, cw_table_page_room_t *room, const cw_table_entry_t *entries, size_t count,
                        uint32_t part);
/** Adds the page's ranges to its service's table. */
void cw_table_page_take(cw_key_tables_t *tables, const Cwp__TablePage *page);

#endif
