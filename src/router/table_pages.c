/**
 * @file table_pages.c
 * @brief Divides tables of keys into pages, and reassembles them.
 */
#include "router/table_pages.h"

uint32_t cw_table_page_count(size_t entries)
{
    return entries == 0 ? 1 : (uint32_t)((entries + CW_TABLE_PAGE_RANGES - 1) / CW_TABLE_PAGE_RANGES);
}

size_t cw_table_changes(const cw_key_table_t *table, uint64_t base, cw_table_entry_t *changes, size_t room)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < table->count && count < room; index++) {
        if (base == 0 || table->entries[index].changed_in > base) {
            changes[count++] = table->entries[index];
        }
    }
    return count;
}

void cw_table_page_fill(Cwp__TablePage *page, cw_table_page_room_t *room, const cw_table_entry_t *entries, size_t count,
                        uint32_t part)
{
    size_t index;

    page->n_ranges = 0;
    page->ranges = room->pointers;
    for (index = (size_t)part * CW_TABLE_PAGE_RANGES; index < count && page->n_ranges < CW_TABLE_PAGE_RANGES; index++) {
        Cwp__TableRange *range = &room->entries[page->n_ranges];

        cwp__table_range__init(range);
        range->low = entries[index].low;
        range->last = entries[index].last;
        range->server = entries[index].server;
        range->fence = entries[index].fence;
        range->routable = entries[index].routable;
        room->pointers[page->n_ranges++] = range;
    }
}

void cw_table_page_apply(cw_key_tables_t *tables, const Cwp__TablePage *page)
{
    cw_key_table_t *table = page->n_ranges == 0 ? NULL : cw_key_tables_service(tables, page->service);
    size_t          index;

    for (index = 0; table != NULL && index < page->n_ranges; index++) {
        const Cwp__TableRange *range = page->ranges[index];
        cw_table_entry_t       entry = {.low = range->low,
                                        .last = range->last,
                                        .server = range->server,
                                        .fence = range->fence,
                                        .routable = range->routable};

        if (entry.low <= entry.last && entry.last <= CW_KEY_LAST) {
            cw_key_table_add(table, &entry, 1);
        }
    }
}
