/**
 * @file memory.c
 * @brief Allocation that ends the process when it fails.
 */
#include "base/memory.h"

#include <stdlib.h>

static void *present(void *memory)
{
    if (memory == NULL) {
        abort();
    }
    return memory;
}

void *cw_memory_zeroed(size_t bytes)
{
    return present(calloc(1, bytes));
}

void *cw_memory_zeroed_items(size_t count, size_t item_bytes)
{
    return present(calloc(count, item_bytes));
}

void *cw_memory_resize(void *memory, size_t bytes)
{
    return present(realloc(memory, bytes));
}
