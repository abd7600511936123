/**
 * @file region_mask.c
 * @brief Sorted regions of the settings, and masks of them.
 */
#include "model/region_mask.h"

#include <string.h>

#include "base/text.h"

static void insert(cw_region_table_t *table, const char *region)
{
    size_t place = 0;

    while (place < table->count && strcmp(table->names[place], region) < 0) {
        place++;
    }
    if (region[0] == '\0' || (place < table->count && strcmp(table->names[place], region) == 0)) {
        return;
    }
    if (table->count == CW_REGION_BITS) {
        table->is_truncated = true;
        return;
    }
    memmove(&table->names[place + 1], &table->names[place], (table->count - place) * sizeof(table->names[0]));
    cw_text_copy(table->names[place], sizeof(table->names[place]), region);
    table->count++;
}

void cw_region_table_init(cw_region_table_t *table, const cw_zone_region_t *zones, size_t count)
{
    size_t index;

    memset(table, 0, sizeof(*table));
    for (index = 0; index < count; index++) {
        insert(table, zones[index].region);
    }
}

uint32_t cw_region_bit(const cw_region_table_t *table, const char *region)
{
    size_t index;

    for (index = 0; index < table->count; index++) {
        if (strcmp(table->names[index], region) == 0) {
            return 1u << index;
        }
    }
    return 0;
}

static bool restricts(const cw_name_set_t *set)
{
    return set != NULL && set->count > 0;
}

uint32_t cw_region_mask(const cw_region_table_t *table, const cw_name_set_t *first, const cw_name_set_t *second)
{
    uint32_t mask = 0;
    size_t   index;

    if ((!restricts(first) && !restricts(second)) || table->is_truncated) {
        return CW_REGIONS_ANY;
    }
    for (index = 0; index < table->count; index++) {
        bool in_first = !restricts(first) || cw_name_set_has(first, table->names[index]);
        bool in_second = !restricts(second) || cw_name_set_has(second, table->names[index]);

        mask |= in_first && in_second ? 1u << index : 0;
    }
    return mask == 0 ? CW_REGIONS_NOWHERE : mask;
}

bool cw_region_mask_allows(uint32_t mask, uint32_t bit)
{
    return mask == CW_REGIONS_ANY || (mask & bit) != 0;
}
