/**
 * @file view_assembly.c
 * @brief Pages received, and which update a new one replaces.
 */
#include "router/view_assembly.h"

#include <string.h>

static bool matches(const cw_view_assembly_t *assembly, const cw_page_position_t *position)
{
    return assembly->pages == position->pages && assembly->term == position->term &&
           assembly->version == position->version && assembly->base == position->base;
}

/* True if a new update replaces `assembly` rather than `other`: it is unused, or its last page is older. */
static bool is_replaced_before(const cw_view_assembly_t *assembly, const cw_view_assembly_t *other)
{
    if (assembly->pages == 0 || other->pages == 0) {
        return other->pages != 0;
    }
    return assembly->last_at < other->last_at;
}

size_t cw_view_assembly_choose(const cw_view_assembly_t *const assemblies[CW_VIEW_ASSEMBLIES_MAX],
                               const cw_page_position_t *position, bool *is_new)
{
    size_t chosen = 0;
    size_t index;

    *is_new = false;
    if (position->pages == 0 || position->page >= position->pages || position->pages > CW_PAGES_MAX) {
        return CW_VIEW_ASSEMBLIES_MAX;
    }
    for (index = 0; index < CW_VIEW_ASSEMBLIES_MAX; index++) {
        if (matches(assemblies[index], position)) {
            return index;
        }
        if (is_replaced_before(assemblies[index], assemblies[chosen])) {
            chosen = index;
        }
    }
    *is_new = true;
    return chosen;
}

void cw_view_assembly_begin(cw_view_assembly_t *assembly, const cw_page_position_t *position)
{
    memset(assembly, 0, sizeof(*assembly));
    assembly->term = position->term;
    assembly->version = position->version;
    assembly->base = position->base;
    assembly->pages = position->pages;
}

bool cw_view_assembly_record(cw_view_assembly_t *assembly, uint32_t page, cw_time_us_t now)
{
    if (assembly->received[page]) {
        return false;
    }
    assembly->received[page] = 1;
    assembly->received_count++;
    assembly->last_at = now;
    return true;
}

bool cw_view_assembly_is_whole(const cw_view_assembly_t *assembly)
{
    return assembly->pages > 0 && assembly->received_count == assembly->pages;
}

uint32_t cw_view_assembly_first_missing(const cw_view_assembly_t *assembly)
{
    uint32_t page = 0;

    while (page < assembly->pages && assembly->received[page]) {
        page++;
    }
    return page;
}
