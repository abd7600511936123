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
/** Lets each large allocation have pages of its own, which grow without a copy and go back to the system when freed.
 * Without this the C library keeps freed buffers of up to 32 MB for later ones, and copies a buffer that grows. To be
 * called at the start of the process. */
void cw_memory_map_large(void);

#endif
