/**
 * @file memory.h
 * @brief Allocation that aborts the process when there is no memory; callers need not check the result.
 */
#ifndef CEDARWINCH_BASE_MEMORY_H
#define CEDARWINCH_BASE_MEMORY_H

#include <stddef.h>

/** Allocates `bytes` bytes, all zero; the caller frees them with free(). */
void *cw_memory_zeroed(size_t bytes);
/** Allocates `count` items of `item_bytes` each, all zero; the caller frees them with free(). */
void *cw_memory_zeroed_items(size_t count, size_t item_bytes);
/** Changes the size of an allocation, as realloc does; memory: NULL for a new allocation. */
void *cw_memory_resize(void *memory, size_t bytes);

#endif
