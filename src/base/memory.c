/**
 * @file memory.c
 * @brief Allocation that aborts the process when it fails.
 */
#include "base/memory.h"

#include <stdlib.h>

static void *abort_if_null(void *memory)
{
    if (memory == NULL) {
        abort();
    }
    return memory;
}

void *cw_memory_zeroed(size_t bytes)
{
    return abort_if_null(calloc(1, bytes));
}

void *cw_memory_zeroed_items(size_t count, size_t item_bytes)
{
    return abort_if_null(calloc(count, item_bytes));
}

void *cw_memory_resize(void *memory, size_t bytes)
{
    return abort_if_null(realloc(memory, bytes));
}
