/**
 * @file memory.h
 * @brief Memory that is there, or the process ends: nothing here goes on without it.
 */
#ifndef CEDARWINCH_BASE_MEMORY_H
#define CEDARWINCH_BASE_MEMORY_H

#include <stddef.h>

/** So many bytes, all zero. To be freed. */
void *cw_memory_zeroed(size_t bytes);
/** So many items, all zero. To be freed. */
void *cw_memory_zeroed_items(size_t count, size_t item_bytes);
/** As realloc: the memory given (NULL: none) in another size. */
void *cw_memory_resize(void *memory, size_t bytes);

#endif
