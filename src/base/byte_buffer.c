/**
 * @file byte_buffer.c
 * @brief Growable buffer of bytes.
 */
#include "base/byte_buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

enum { INITIAL_CAPACITY = 256, FORMAT_MAX = 512 };

void cw_bytes_append(cw_bytes_t *bytes, const void *data, size_t length)
{
    size_t needed = bytes->length + length;

    if (needed > bytes->capacity) {
        if (bytes->capacity == 0) {
            bytes->capacity = INITIAL_CAPACITY;
        }
        while (bytes->capacity < needed) {
            bytes->capacity *= 2;
        }
        bytes->data = cw_memory_resize(bytes->data, bytes->capacity);
    }
    if (length > 0) {
        memcpy(bytes->data + bytes->length, data, length);
        bytes->length = needed;
    }
}

void cw_bytes_reserve(cw_bytes_t *bytes, size_t capacity)
{
    if (capacity <= bytes->capacity) {
        return;
    }
    bytes->data = cw_memory_resize(bytes->data, capacity);
    bytes->capacity = capacity;
}

void cw_bytes_append_text(cw_bytes_t *bytes, const char *text)
{
    cw_bytes_append(bytes, text, strlen(text));
}

void cw_bytes_append_format(cw_bytes_t *bytes, const char *format, ...)
{
    char    text[FORMAT_MAX];
    va_list arguments;
    int     length;

    va_start(arguments, format);
    length = vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    if (length > 0) {
        cw_bytes_append(bytes, text, (size_t)length < sizeof(text) ? (size_t)length : sizeof(text) - 1);
    }
}

void cw_bytes_consume(cw_bytes_t *bytes, size_t length)
{
    if (length >= bytes->length) {
        bytes->length = 0;
        return;
    }
    memmove(bytes->data, bytes->data + length, bytes->length - length);
    bytes->length -= length;
}

void cw_bytes_clear(cw_bytes_t *bytes)
{
    free(bytes->data);
    memset(bytes, 0, sizeof(*bytes));
}
