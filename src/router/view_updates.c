/**
 * @file view_updates.c
 * @brief Collects the contents of pages, one set for each update under way.
 */
#include "router/view_updates.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/table_pages.h"

struct cw_view_updates {
    cw_list_parts_t  lists[CW_ASSEMBLIES];
    cw_table_parts_t tables[CW_ASSEMBLIES];
};

cw_view_updates_t *cw_view_updates_create(void)
{
    cw_view_updates_t *parts = cw_memory_zeroed(sizeof(*parts));

    return parts;
}

static void clear_list(cw_list_parts_t *list)
{
    cw_server_list_release(list->entries);
    cw_name_set_clear(&list->removed);
    cw_name_set_clear(&list->zones_out);
    memset(list, 0, sizeof(*list));
}

void cw_table_parts_clear(cw_table_parts_t *tables)
{
    cw_key_tables_clear(&tables->tables);
    memset(tables, 0, sizeof(*tables));
}

void cw_view_updates_free(cw_view_updates_t *parts)
{
    size_t index;

    for (index = 0; index < CW_ASSEMBLIES; index++) {
        clear_list(&parts->lists[index]);
        cw_table_parts_clear(&parts->tables[index]);
    }
    free(parts);
}

/* ---- the list ---- */

static cw_server_entry_t entry_of(const Cwp__ViewServer *server, cw_time_us_t now)
{
    return (cw_server_entry_t){.id = server->id,
                               .service = server->service,
                               .address = server->address,
                               .zone = server->zone,
                               .capacity = server->capacity,
                               .draining = server->draining,
                               .cold_time = CW_MS(server->cold_ms),
                               .missing_since = server->missing_ms == 0 ? 0 : now - CW_MS(server->missing_ms)};
}

static void collect_list(cw_list_parts_t *list, const Cwp__ServersPage *page, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < page->n_removed; index++) {
        cw_name_set_add(&list->removed, page->removed[index]);
    }
    for (index = 0; index < page->n_zones_out; index++) {
        cw_name_set_add(&list->zones_out, page->zones_out[index]);
    }
    for (index = 0; index < page->n_servers; index++) {
        cw_server_entry_t entry = entry_of(page->servers[index], now);

        cw_server_list_put(list->entries, 0, &entry);
    }
}

static cw_list_parts_t *place_of_list(cw_view_updates_t *parts, const cw_page_place_t *place)
{
    const cw_view_assembly_t *assemblies[CW_ASSEMBLIES];
    size_t                    index;
    bool                      is_begun;

    for (index = 0; index < CW_ASSEMBLIES; index++) {
        assemblies[index] = &parts->lists[index].assembly;
    }
    index = cw_view_assembly_choose(assemblies, place, &is_begun);
    if (index == CW_ASSEMBLIES) {
        return NULL;
    }
    if (is_begun) {
        clear_list(&parts->lists[index]);
        cw_view_assembly_begin(&parts->lists[index].assembly, place);
        parts->lists[index].entries = cw_server_list_create();
    }
    return &parts->lists[index];
}

cw_list_parts_t *cw_view_updates_take_list(cw_view_updates_t *parts, const Cwp__ServersPage *page, cw_time_us_t now)
{
    cw_page_place_t  place = {page->term, page->number, page->since, page->page, page->pages};
    cw_list_parts_t *list = place_of_list(parts, &place);

    if (list == NULL || !cw_view_assembly_note(&list->assembly, page->page, now)) {
        return NULL;
    }
    collect_list(list, page, now);
    return list;
}

/* The known list without who was removed, and with the entries that changed. */
static cw_server_list_t *lay_over(const cw_list_parts_t *list, const cw_server_list_t *known)
{
    cw_server_list_t *laid = cw_server_list_copy_without(known, list->removed.names, list->removed.count);
    size_t            sealed = laid->count;
    size_t            index;

    for (index = 0; index < list->entries->count; index++) {
        cw_server_list_put(laid, sealed, &list->entries->entries[index]);
    }
    return laid;
}

cw_server_list_t *cw_list_parts_finish(cw_list_parts_t *list, const cw_server_list_t *known)
{
    cw_server_list_t *result = NULL;

    if (list->assembly.base == 0 || known == NULL) {
        result = list->entries;
        list->entries = NULL;
    } else {
        result = lay_over(list, known);
    }
    cw_name_set_copy(&result->zones_out, &list->zones_out);
    cw_server_list_seal(result);
    clear_list(list);
    return result;
}

/* ---- tables ---- */

static cw_table_parts_t *place_of_tables(cw_view_updates_t *parts, const cw_page_place_t *place)
{
    const cw_view_assembly_t *assemblies[CW_ASSEMBLIES];
    size_t                    index;
    bool                      is_begun;

    for (index = 0; index < CW_ASSEMBLIES; index++) {
        assemblies[index] = &parts->tables[index].assembly;
    }
    index = cw_view_assembly_choose(assemblies, place, &is_begun);
    if (index == CW_ASSEMBLIES) {
        return NULL;
    }
    if (is_begun) {
        cw_table_parts_clear(&parts->tables[index]);
        cw_view_assembly_begin(&parts->tables[index].assembly, place);
    }
    return &parts->tables[index];
}

cw_table_parts_t *cw_view_updates_take_tables(cw_view_updates_t *parts, const Cwp__TablePage *page, cw_time_us_t now)
{
    cw_page_place_t   place = {page->term, page->number, page->since, page->page, page->pages};
    cw_table_parts_t *tables = place_of_tables(parts, &place);

    if (tables == NULL || !cw_view_assembly_note(&tables->assembly, page->page, now)) {
        return NULL;
    }
    cw_table_page_take(&tables->tables, page);
    return tables;
}
