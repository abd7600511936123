/**
 * @file view_updates.c
 * @brief Collects the contents of pages, separately for each update that is being received.
 */
#include "router/view_updates.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/table_pages.h"

struct cw_view_updates {
    cw_list_update_t  lists[CW_VIEW_ASSEMBLIES_MAX];
    cw_table_update_t tables[CW_VIEW_ASSEMBLIES_MAX];
};

cw_view_updates_t *cw_view_updates_create(void)
{
    cw_view_updates_t *updates = cw_memory_zeroed(sizeof(*updates));

    return updates;
}

static void clear_list(cw_list_update_t *update)
{
    cw_server_list_release(update->entries);
    cw_name_set_clear(&update->removed);
    cw_name_set_clear(&update->zones_out);
    memset(update, 0, sizeof(*update));
}

void cw_table_update_clear(cw_table_update_t *tables)
{
    cw_key_tables_clear(&tables->tables);
    memset(tables, 0, sizeof(*tables));
}

void cw_view_updates_free(cw_view_updates_t *updates)
{
    size_t index;

    for (index = 0; index < CW_VIEW_ASSEMBLIES_MAX; index++) {
        clear_list(&updates->lists[index]);
        cw_table_update_clear(&updates->tables[index]);
    }
    free(updates);
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

static void add_list_page(cw_list_update_t *update, const Cwp__ServersPage *page, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < page->n_removed; index++) {
        cw_name_set_add(&update->removed, page->removed[index]);
    }
    for (index = 0; index < page->n_zones_out; index++) {
        cw_name_set_add(&update->zones_out, page->zones_out[index]);
    }
    for (index = 0; index < page->n_servers; index++) {
        cw_server_entry_t entry = entry_of(page->servers[index], now);

        cw_server_list_put(update->entries, 0, &entry);
    }
}

static cw_list_update_t *find_list_update(cw_view_updates_t *updates, const cw_page_position_t *position)
{
    const cw_view_assembly_t *assemblies[CW_VIEW_ASSEMBLIES_MAX];
    size_t                    index;
    bool                      is_new;

    for (index = 0; index < CW_VIEW_ASSEMBLIES_MAX; index++) {
        assemblies[index] = &updates->lists[index].assembly;
    }
    index = cw_view_assembly_choose(assemblies, position, &is_new);
    if (index == CW_VIEW_ASSEMBLIES_MAX) {
        return NULL;
    }
    if (is_new) {
        clear_list(&updates->lists[index]);
        cw_view_assembly_begin(&updates->lists[index].assembly, position);
        updates->lists[index].entries = cw_server_list_create();
    }
    return &updates->lists[index];
}

cw_list_update_t *cw_view_updates_add_list_page(cw_view_updates_t *updates, const Cwp__ServersPage *page,
                                                cw_time_us_t now)
{
    cw_page_position_t position = {page->term, page->number, page->since, page->page, page->pages};
    cw_list_update_t  *update = find_list_update(updates, &position);

    if (update == NULL || !cw_view_assembly_record(&update->assembly, page->page, now)) {
        return NULL;
    }
    add_list_page(update, page, now);
    return update;
}

/* The known list without the removed servers, and with the entries that changed. */
static cw_server_list_t *apply_changes(const cw_list_update_t *update, const cw_server_list_t *known)
{
    cw_server_list_t *merged = cw_server_list_copy_without(known, update->removed.names, update->removed.count);
    size_t            sorted_count = merged->count;
    size_t            index;

    for (index = 0; index < update->entries->count; index++) {
        cw_server_list_put(merged, sorted_count, &update->entries->entries[index]);
    }
    return merged;
}

cw_server_list_t *cw_list_update_finish(cw_list_update_t *update, const cw_server_list_t *known)
{
    cw_server_list_t *result = NULL;

    if (update->assembly.base == 0 || known == NULL) {
        result = update->entries;
        update->entries = NULL;
    } else {
        result = apply_changes(update, known);
    }
    cw_name_set_copy(&result->zones_out, &update->zones_out);
    cw_server_list_seal(result);
    clear_list(update);
    return result;
}

/* ---- tables ---- */

static cw_table_update_t *find_table_update(cw_view_updates_t *updates, const cw_page_position_t *position)
{
    const cw_view_assembly_t *assemblies[CW_VIEW_ASSEMBLIES_MAX];
    size_t                    index;
    bool                      is_new;

    for (index = 0; index < CW_VIEW_ASSEMBLIES_MAX; index++) {
        assemblies[index] = &updates->tables[index].assembly;
    }
    index = cw_view_assembly_choose(assemblies, position, &is_new);
    if (index == CW_VIEW_ASSEMBLIES_MAX) {
        return NULL;
    }
    if (is_new) {
        cw_table_update_clear(&updates->tables[index]);
        cw_view_assembly_begin(&updates->tables[index].assembly, position);
    }
    return &updates->tables[index];
}

cw_table_update_t *cw_view_updates_add_table_page(cw_view_updates_t *updates, const Cwp__TablePage *page,
                                                  cw_time_us_t now)
{
    cw_page_position_t position = {page->term, page->number, page->since, page->page, page->pages};
    cw_table_update_t *tables = find_table_update(updates, &position);

    if (tables == NULL || !cw_view_assembly_record(&tables->assembly, page->page, now)) {
        return NULL;
    }
    cw_table_page_apply(&tables->tables, page);
    return tables;
}
