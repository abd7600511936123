/**
 * @file text_encoding.c
 * @brief Percent-encoding, hexadecimal ids and fences as text.
 */
#include "adapters/text_encoding.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { DECIMAL = 10, HEXADECIMAL = 16, HEX_DIGITS = 16 };

static const char unreserved_marks[] = "-._~";

size_t cw_percent_encode(char *target, const char *text, size_t length, const char *also_plain)
{
    static const char digits[] = "0123456789ABCDEF";
    size_t            written = 0;
    size_t            index;
    unsigned char     character;

    for (index = 0; index < length; index++) {
        character = (unsigned char)text[index];
        if (character != 0 && (isalnum(character) || strchr(unreserved_marks, character) != NULL ||
                               strchr(also_plain, character) != NULL)) {
            target[written++] = (char)character;
            continue;
        }
        target[written++] = '%';
        target[written++] = digits[character >> 4];
        target[written++] = digits[character & 0xf];
    }
    target[written] = '\0';
    return written;
}

void cw_hex_write(char text[CW_HEX_TEXT_BYTES], uint64_t value)
{
    snprintf(text, CW_HEX_TEXT_BYTES, "%016" PRIx64, value);
}

bool cw_hex_read(const char *text, uint64_t *value)
{
    size_t digits = strspn(text, "0123456789abcdefABCDEF");

    if (digits == 0 || digits > HEX_DIGITS || text[digits] != '\0') {
        return false;
    }
    *value = strtoull(text, NULL, HEXADECIMAL);
    return true;
}

void cw_fence_write(char text[CW_FENCE_TEXT_BYTES], cw_fence_t fence)
{
    snprintf(text, CW_FENCE_TEXT_BYTES, "%" PRIu64 ".%" PRIu64, fence.generation, fence.index);
}

bool cw_fence_read(const char *text, cw_fence_t *fence)
{
    char *end;

    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    fence->generation = strtoull(text, &end, DECIMAL);
    return *end == '.' && cw_decimal_read(end + 1, &fence->index);
}

bool cw_decimal_read(const char *text, uint64_t *value)
{
    char *end;

    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    errno = 0;
    *value = strtoull(text, &end, DECIMAL);
    return *end == '\0' && errno == 0;
}
