/**
 * @file table_pages.c
 * @brief Cutting tables of keys into pages, and putting them together.
 */
#include "router/table_pages.h"

#include <stdlib.h>
#include <string.h>

#include "router/router_internal.h"

uint32_t cw_table_pages_of(size_t ranges)
{
    return ranges == 0 ? 1 : (uint32_t)((ranges + CW_TABLE_PAGE_RANGES - 1) / CW_TABLE_PAGE_RANGES);
}

void cw_table_page_fill(Cwp__TablePage *page, cw_table_page_room_t *room, const cw_range_list_t *ranges, uint32_t part)
{
    size_t first = (size_t)part * CW_TABLE_PAGE_RANGES;
    size_t index;

    page->n_ranges = 0;
    page->ranges = room->pointers;
    for (index = first; index < ranges->count && page->n_ranges < CW_TABLE_PAGE_RANGES; index++) {
        const cw_range_t *range = &ranges->items[index];
        Cwp__TableRange  *entry = &room->entries[page->n_ranges];

        cwp__table_range__init(entry);
        entry->low = range->low;
        entry->last = range->last;
        entry->server = cw_router_hash(range->owner.id);
        entry->fence = range->owner.fence;
        entry->routable = cw_range_is_routable(range);
        room->pointers[page->n_ranges++] = entry;
    }
}

void cw_received_tables_clear(cw_received_tables_t *tables)
{
    size_t index;

    for (index = 0; index < tables->count; index++) {
        free(tables->items[index].service);
        free(tables->items[index].ranges);
    }
    memset(tables, 0, sizeof(*tables));
}

static cw_received_table_t *table_of(cw_received_tables_t *tables, const char *service)
{
    cw_received_table_t *table;
    size_t               index;

    for (index = 0; index < tables->count; index++) {
        if (strcmp(tables->items[index].service, service) == 0) {
            return &tables->items[index];
        }
    }
    if (tables->count == CW_TABLE_SERVICES_MAX) {
        return NULL;
    }
    table = &tables->items[tables->count++];
    table->service = strdup(service);
    if (table->service == NULL) {
        abort();
    }
    return table;
}

void cw_received_tables_add(cw_received_tables_t *tables, const Cwp__TablePage *page)
{
    cw_received_table_t *table = table_of(tables, page->service);
    cw_received_range_t *ranges;
    size_t               index;

    if (table == NULL || page->n_ranges == 0) {
        return;
    }
    ranges = realloc(table->ranges, (table->count + page->n_ranges) * sizeof(*ranges));
    if (ranges == NULL) {
        abort();
    }
    table->ranges = ranges;
    for (index = 0; index < page->n_ranges; index++) {
        const Cwp__TableRange *range = page->ranges[index];

        ranges[table->count++] =
            (cw_received_range_t){range->low, range->last, range->server, range->fence, range->routable};
    }
}

static int compare_low(const void *left, const void *right)
{
    const cw_received_range_t *first = left;
    const cw_received_range_t *second = right;

    return (first->low > second->low) - (first->low < second->low);
}

void cw_received_tables_seal(cw_received_tables_t *tables)
{
    size_t index;

    for (index = 0; index < tables->count; index++) {
        if (tables->items[index].count > 0) {
            qsort(tables->items[index].ranges, tables->items[index].count, sizeof(cw_received_range_t), compare_low);
        }
    }
}
