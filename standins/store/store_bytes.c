/**
 * @file store_bytes.c
 * @brief Bytes that are no JSON, in what the store answers: other writers may leave any in it.
 */
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store.h"

static const char mark[] = "raw-hex(";

/* Decodes pairs of hexadecimal digits up to a closing bracket. Returns the place behind it; NULL: they are malformed.
 */
static const char *decode(char **written, const char *digits)
{
    while (isxdigit((unsigned char)digits[0]) && isxdigit((unsigned char)digits[1])) {
        char pair[3] = {digits[0], digits[1], '\0'};

        *(*written)++ = (char)strtoul(pair, NULL, 16);
        digits += 2;
    }
    return *digits == ')' ? digits + 1 : NULL;
}

size_t store_insert_bytes(char *text)
{
    char       *written = text;
    const char *read = text;

    while (*read != '\0') {
        char       *begin = written;
        const char *behind = strncmp(read, mark, strlen(mark)) == 0 ? decode(&written, read + strlen(mark)) : NULL;

        if (behind != NULL) {
            read = behind;
        } else {
            written = begin;
            *written++ = *read++;
        }
    }
    *written = '\0';
    return (size_t)(written - text);
}
