/**
 * @file view_assembly.c
 * @brief Pages seen, and whose place a new update takes.
 */
#include "router/view_assembly.h"

#include <string.h>

static bool is_of(const cw_view_assembly_t *assembly, const cw_page_place_t *place)
{
    return assembly->pages == place->pages && assembly->term == place->term && assembly->number == place->number &&
           assembly->base == place->base;
}

/* No update, or the one whose last page is the longer ago. */
static bool is_rather_given_up(const cw_view_assembly_t *assembly, const cw_view_assembly_t *than)
{
    if (assembly->pages == 0 || than->pages == 0) {
        return than->pages != 0;
    }
    return assembly->last_at < than->last_at;
}

size_t cw_view_assembly_choose(const cw_view_assembly_t *const assemblies[CW_ASSEMBLIES], const cw_page_place_t *place,
                               bool *is_begun)
{
    size_t chosen = 0;
    size_t index;

    *is_begun = false;
    if (place->pages == 0 || place->page >= place->pages || place->pages > CW_PAGES_MAX) {
        return CW_ASSEMBLIES;
    }
    for (index = 0; index < CW_ASSEMBLIES; index++) {
        if (is_of(assemblies[index], place)) {
            return index;
        }
        if (is_rather_given_up(assemblies[index], assemblies[chosen])) {
            chosen = index;
        }
    }
    *is_begun = true;
    return chosen;
}

void cw_view_assembly_begin(cw_view_assembly_t *assembly, const cw_page_place_t *place)
{
    memset(assembly, 0, sizeof(*assembly));
    assembly->term = place->term;
    assembly->number = place->number;
    assembly->base = place->base;
    assembly->pages = place->pages;
}

bool cw_view_assembly_note(cw_view_assembly_t *assembly, uint32_t page, cw_time_us_t now)
{
    if (assembly->seen[page]) {
        return false;
    }
    assembly->seen[page] = 1;
    assembly->have++;
    assembly->last_at = now;
    return true;
}

bool cw_view_assembly_is_whole(const cw_view_assembly_t *assembly)
{
    return assembly->pages > 0 && assembly->have == assembly->pages;
}

uint32_t cw_view_assembly_first_missing(const cw_view_assembly_t *assembly)
{
    uint32_t page = 0;

    while (page < assembly->pages && assembly->seen[page]) {
        page++;
    }
    return page;
}
