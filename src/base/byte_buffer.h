/**
 * @file byte_buffer.h
 * @brief Growable bytes. All zero is an empty buffer.
 */
#ifndef CEDARWINCH_BASE_BYTE_BUFFER_H
#define CEDARWINCH_BASE_BYTE_BUFFER_H

#include <stddef.h>

typedef struct cw_bytes {
    char  *data;
    size_t length;
    size_t capacity;
} cw_bytes_t;

void cw_bytes_append(cw_bytes_t *bytes, const void *data, size_t length);
void cw_bytes_append_text(cw_bytes_t *bytes, const char *text);
void cw_bytes_append_format(cw_bytes_t *bytes, const char *format, ...) __attribute__((format(printf, 2, 3)));
/** Memory for so many bytes in all, without more beyond it. */
void cw_bytes_reserve(cw_bytes_t *bytes, size_t capacity);
/** Drops the first bytes. */
void cw_bytes_consume(cw_bytes_t *bytes, size_t length);
void cw_bytes_clear(cw_bytes_t *bytes);

#endif
