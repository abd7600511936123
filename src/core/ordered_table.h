/**
 * @file ordered_table.h
 * @brief Values under 64-bit keys, kept sorted: look-up and floor in O(log n), append of a new highest key in O(1).
 */
#ifndef CEDARWINCH_ORDERED_TABLE_H
#define CEDARWINCH_ORDERED_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef struct cw_ordered_slot {
    uint64_t key;
    void    *value;
} cw_ordered_slot_t;

/** All zero is an empty table. The values stay the caller's. */
typedef struct cw_ordered_table {
    cw_ordered_slot_t *slots;
    size_t             count;
    size_t             capacity;
} cw_ordered_table_t;

/** Value under a key, or NULL. */
void *cw_ordered_table_find(const cw_ordered_table_t *table, uint64_t key);
/** Value under the greatest key that is not above the given one, or NULL. */
void *cw_ordered_table_floor(const cw_ordered_table_t *table, uint64_t key);
/** Inserts a value or replaces the one under the key. */
int cw_ordered_table_put(cw_ordered_table_t *table, uint64_t key, void *value);
/** Removes the key and returns its value, or NULL when it was not there. */
void *cw_ordered_table_remove(cw_ordered_table_t *table, uint64_t key);
/** Frees the slots; the table is empty afterwards. */
void cw_ordered_table_clear(cw_ordered_table_t *table);

#endif
