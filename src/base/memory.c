/**
 * @file memory.c
 * @brief Allocation that aborts the process when it fails.
 */
#include "base/memory.h"

#include <malloc.h>
#include <stdlib.h>

enum { LARGE_BYTES = 256 * 1024 /* bodies and whole lists; a usual request stays below */ };

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

void cw_memory_map_large(void)
{
    /* a value that is set is not raised by the C library any more; it fails for values out of its range only */
    (void)mallopt(M_MMAP_THRESHOLD, LARGE_BYTES);
}
