/**
 * @file allocator.c
 * @brief Counting allocator: stands in front of the C library's for this program and the libraries that it loads.
 *
 * A piece counts with the size that the C library set aside for it and the length word in front.
 */
#include <errno.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "meter.h"

enum { LENGTH_WORD = sizeof(size_t) };

/* The C library's own entry points. */
extern void *__libc_malloc(size_t size);                     // NOLINT(bugprone-reserved-identifier)
extern void *__libc_calloc(size_t count, size_t size);       // NOLINT(bugprone-reserved-identifier)
extern void *__libc_realloc(void *memory, size_t size);      // NOLINT(bugprone-reserved-identifier)
extern void  __libc_free(void *memory);                      // NOLINT(bugprone-reserved-identifier)
extern void *__libc_memalign(size_t alignment, size_t size); // NOLINT(bugprone-reserved-identifier)

static size_t allocated;

static size_t size_of(void *memory)
{
    return memory == NULL ? 0 : malloc_usable_size(memory) + LENGTH_WORD;
}

static void *count(void *memory)
{
    allocated += size_of(memory);
    return memory;
}

void *malloc(size_t size)
{
    return count(__libc_malloc(size));
}

void *calloc(size_t number, size_t size)
{
    return count(__libc_calloc(number, size));
}

void *realloc(void *memory, size_t size)
{
    size_t before = size_of(memory);
    void  *moved = __libc_realloc(memory, size);

    if (moved != NULL || size == 0) {
        allocated -= before;
    }
    return count(moved);
}

void free(void *memory)
{
    allocated -= size_of(memory);
    __libc_free(memory);
}

void *memalign(size_t alignment, size_t size)
{
    return count(__libc_memalign(alignment, size));
}

void *aligned_alloc(size_t alignment, size_t size)
{
    return memalign(alignment, size);
}

int posix_memalign(void **memory, size_t alignment, size_t size)
{
    *memory = memalign(alignment, size);
    return *memory == NULL ? ENOMEM : 0;
}

size_t cw_capacity_memory(void)
{
    return allocated;
}
