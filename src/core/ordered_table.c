/**
 * @file ordered_table.c
 * @brief Sorted array of key and value with binary search.
 */
#include "core/ordered_table.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { FIRST_CAPACITY = 8 };

/* Position of the first slot whose key is not below the given one. */
static size_t lower_bound(const cw_ordered_table_t *table, uint64_t key)
{
    size_t low = 0;
    size_t high = table->count;
    size_t middle;

    if (high > 0 && table->slots[high - 1].key < key) {
        return high;
    }
    while (low < high) {
        middle = low + (high - low) / 2;
        if (table->slots[middle].key < key) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

void *cw_ordered_table_find(const cw_ordered_table_t *table, uint64_t key)
{
    size_t position = lower_bound(table, key);

    if (position == table->count || table->slots[position].key != key) {
        return NULL;
    }
    return table->slots[position].value;
}

void *cw_ordered_table_floor(const cw_ordered_table_t *table, uint64_t key)
{
    size_t position = lower_bound(table, key);

    if (position < table->count && table->slots[position].key == key) {
        return table->slots[position].value;
    }
    return position == 0 ? NULL : table->slots[position - 1].value;
}

static int reserve(cw_ordered_table_t *table)
{
    size_t             capacity;
    cw_ordered_slot_t *slots;

    if (table->count < table->capacity) {
        return CW_OK;
    }
    capacity = table->capacity == 0 ? FIRST_CAPACITY : 2 * table->capacity;
    slots = realloc(table->slots, capacity * sizeof(*slots));
    if (slots == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    table->slots = slots;
    table->capacity = capacity;
    return CW_OK;
}

int cw_ordered_table_put(cw_ordered_table_t *table, uint64_t key, void *value)
{
    size_t position = lower_bound(table, key);

    if (position < table->count && table->slots[position].key == key) {
        table->slots[position].value = value;
        return CW_OK;
    }
    if (reserve(table) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    memmove(&table->slots[position + 1], &table->slots[position], (table->count - position) * sizeof(*table->slots));
    table->slots[position].key = key;
    table->slots[position].value = value;
    table->count++;
    return CW_OK;
}

void *cw_ordered_table_remove(cw_ordered_table_t *table, uint64_t key)
{
    size_t position = lower_bound(table, key);
    void  *value;

    if (position == table->count || table->slots[position].key != key) {
        return NULL;
    }
    value = table->slots[position].value;
    table->count--;
    memmove(&table->slots[position], &table->slots[position + 1], (table->count - position) * sizeof(*table->slots));
    return value;
}

void cw_ordered_table_clear(cw_ordered_table_t *table)
{
    free(table->slots);
    memset(table, 0, sizeof(*table));
}
