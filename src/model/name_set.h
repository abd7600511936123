/**
 * @file name_set.h
 * @brief Set of names of zones or regions.
 */
#ifndef CEDARWINCH_MODEL_NAME_SET_H
#define CEDARWINCH_MODEL_NAME_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Sorted, without duplicates. All zeros: the empty set. */
typedef struct cw_name_set {
    char **names;
    size_t count;
} cw_name_set_t;

/** Adds a copy of a name, unless the set has it. */
void cw_name_set_add(cw_name_set_t *set, const char *name);
/** Replaces the contents of `to` by a copy. */
void cw_name_set_copy(cw_name_set_t *to, const cw_name_set_t *from);
/** Frees the names, so that the set is empty. */
void cw_name_set_clear(cw_name_set_t *set);
/** Whether the set has this name. */
bool cw_name_set_has(const cw_name_set_t *set, const char *name);
/** Whether both sets have the same names. */
bool cw_name_set_same(const cw_name_set_t *left, const cw_name_set_t *right);
/** Hash of the names; 0 for the empty set. */
uint64_t cw_name_set_hash(const cw_name_set_t *set);

#endif
