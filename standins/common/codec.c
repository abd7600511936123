/**
 * @file codec.c
 * @brief Text forms of numbers in the stand-ins' dialects.
 */
#include "codec.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void cw_hex_format(uint64_t value, char text[CW_HEX_TEXT])
{
    snprintf(text, CW_HEX_TEXT, "%016" PRIx64, value);
}

bool cw_hex_parse(const char *text, uint64_t *value)
{
    size_t length;

    if (text == NULL) {
        return false;
    }
    length = strspn(text, "0123456789abcdefABCDEF");
    if (length == 0 || length > CW_HEX_TEXT - 1 || text[length] != '\0') {
        return false;
    }
    *value = strtoull(text, NULL, 16);
    return true;
}

void cw_fence_format(cw_fence_t fence, char text[CW_FENCE_TEXT])
{
    snprintf(text, CW_FENCE_TEXT, "%" PRIu64 ".%" PRIu64, fence.generation, fence.index);
}

static bool parse_decimal(const char *text, uint64_t *value, char **end)
{
    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    errno = 0;
    *value = strtoull(text, end, 10);
    return errno == 0;
}

bool cw_fence_parse(const char *text, cw_fence_t *fence)
{
    char *end;

    if (text == NULL || !parse_decimal(text, &fence->generation, &end) || *end != '.') {
        return false;
    }
    return parse_decimal(end + 1, &fence->index, &end) && *end == '\0';
}

int64_t cw_real_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * CW_US_PER_S + now.tv_nsec / 1000;
}
