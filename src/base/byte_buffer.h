/**
 * @file byte_buffer.h
 * @brief Growable buffer of bytes. A buffer of which all fields are zero is empty and ready to use.
 */
#ifndef CEDARWINCH_BASE_BYTE_BUFFER_H
#define CEDARWINCH_BASE_BYTE_BUFFER_H

#include <stddef.h>

/** Bytes on the heap, freed by cw_bytes_clear. */
typedef struct cw_bytes {
    char  *data;
    size_t length;   /**< bytes in use */
    size_t capacity; /**< bytes allocated */
} cw_bytes_t;

/** Appends bytes. The process ends if there is no memory (memory.h). */
void cw_bytes_append(cw_bytes_t *bytes, const void *data, size_t length);
/** Appends a text without its terminating NUL. */
void cw_bytes_append_text(cw_bytes_t *bytes, const char *text);
/** Appends formatted text; at most 511 bytes of it, the rest is cut off. */
void cw_bytes_append_format(cw_bytes_t *bytes, const char *format, ...) __attribute__((format(printf, 2, 3)));
/** Ensures that the buffer can hold `capacity` bytes in total; allocates exactly that, without growth beyond it. */
void cw_bytes_reserve(cw_bytes_t *bytes, size_t capacity);
/** Removes the first `length` bytes. */
void cw_bytes_consume(cw_bytes_t *bytes, size_t length);
/** Frees the memory; the buffer is empty afterwards. */
void cw_bytes_clear(cw_bytes_t *bytes);

#endif
