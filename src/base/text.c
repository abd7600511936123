/**
 * @file text.c
 * @brief Copies short texts into buffers of fixed size.
 */
#include "base/text.h"

#include <string.h>

void cw_text_copy(char *target, size_t size, const char *text)
{
    size_t length = strnlen(text, size - 1);

    memmove(target, text, length);
    target[length] = '\0';
}
