/**
 * @file name_set.c
 * @brief Sorted set of names. Deployments have only a few zones and regions, so searches are linear.
 */
#include "model/name_set.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/memory.h"

void cw_name_set_add(cw_name_set_t *set, const char *name)
{
    size_t place = 0;

    while (place < set->count && strcmp(set->names[place], name) < 0) {
        place++;
    }
    if (place < set->count && strcmp(set->names[place], name) == 0) {
        return;
    }
    set->names = cw_memory_resize(set->names, (set->count + 1) * sizeof(*set->names));
    memmove(&set->names[place + 1], &set->names[place], (set->count - place) * sizeof(*set->names));
    set->names[place] = strdup(name);
    if (set->names[place] == NULL) {
        abort();
    }
    set->count++;
}

void cw_name_set_copy(cw_name_set_t *to, const cw_name_set_t *from)
{
    size_t index;

    cw_name_set_clear(to);
    for (index = 0; index < from->count; index++) {
        cw_name_set_add(to, from->names[index]);
    }
}

void cw_name_set_clear(cw_name_set_t *set)
{
    size_t index;

    for (index = 0; index < set->count; index++) {
        free(set->names[index]);
    }
    free(set->names);
    memset(set, 0, sizeof(*set));
}

bool cw_name_set_has(const cw_name_set_t *set, const char *name)
{
    size_t index;

    for (index = 0; index < set->count; index++) {
        if (strcmp(set->names[index], name) == 0) {
            return true;
        }
    }
    return false;
}

bool cw_name_set_same(const cw_name_set_t *left, const cw_name_set_t *right)
{
    size_t index;

    if (left->count != right->count) {
        return false;
    }
    for (index = 0; index < left->count; index++) {
        if (strcmp(left->names[index], right->names[index]) != 0) {
            return false;
        }
    }
    return true;
}

uint64_t cw_name_set_hash(const cw_name_set_t *set)
{
    uint64_t hash = 0;
    size_t   index;

    for (index = 0; index < set->count; index++) {
        hash = XXH3_64bits_withSeed(set->names[index], strlen(set->names[index]), hash);
    }
    return hash;
}
