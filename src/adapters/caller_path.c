/**
 * @file caller_path.c
 * @brief Parses a caller's request target.
 */
#include "adapters/caller_path.h"

#include <ctype.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { ESCAPE_LENGTH = 3, HEX_DIGIT_BITS = 4, DELETE_CHARACTER = 0x7f, FIRST_PRINTABLE = 0x20 };

static const char prefix[] = "/v1/";

static int hex_value(char digit)
{
    if (!isxdigit((unsigned char)digit)) {
        return CW_ERROR_PARSE;
    }
    return isdigit((unsigned char)digit) ? digit - '0' : tolower((unsigned char)digit) - 'a' + 10;
}

/* Length of the part that ends at a slash, a query or the end. */
static size_t part_length(const char *text)
{
    return strcspn(text, "/?#");
}

/* Copies a name up to the slash that must follow it; moves the cursor behind the slash. */
static int take_name(const char **cursor, char name[CW_NAME_MAX + 1])
{
    size_t length = part_length(*cursor);

    if (length == 0 || length > CW_NAME_MAX || (*cursor)[length] != '/') {
        return CW_ERROR_PARSE;
    }
    memcpy(name, *cursor, length);
    name[length] = '\0';
    *cursor += length + 1;
    return CW_OK;
}

/* Next character of a key, decoded; moves the cursor. */
static int take_character(const char **cursor)
{
    int high;
    int low;

    if (**cursor != '%') {
        return (unsigned char)*(*cursor)++;
    }
    high = hex_value((*cursor)[1]);
    low = high < 0 ? high : hex_value((*cursor)[2]);
    if (low < 0) {
        return CW_ERROR_PARSE;
    }
    *cursor += ESCAPE_LENGTH;
    return high << HEX_DIGIT_BITS | low;
}

static int take_key(const char **cursor, cw_caller_path_t *path)
{
    const char *end = *cursor + part_length(*cursor);
    int         character;

    path->key_length = 0;
    while (*cursor < end) {
        character = take_character(cursor);
        if (character < FIRST_PRINTABLE || character == DELETE_CHARACTER || path->key_length == CW_KEY_MAX) {
            return CW_ERROR_PARSE;
        }
        path->key[path->key_length++] = (char)character;
    }
    path->key[path->key_length] = '\0';
    if (path->key_length == 0 || strcmp(path->key, ".") == 0 || strcmp(path->key, "..") == 0) {
        return CW_ERROR_PARSE;
    }
    return CW_OK;
}

int cw_caller_path_parse(const char *target, cw_caller_path_t *path)
{
    const char *cursor = target;

    if (strncmp(cursor, prefix, sizeof(prefix) - 1) != 0) {
        return CW_ERROR_PARSE;
    }
    cursor += sizeof(prefix) - 1;
    if (take_name(&cursor, path->tenant) != CW_OK || take_name(&cursor, path->service) != CW_OK ||
        take_key(&cursor, path) != CW_OK) {
        return CW_ERROR_PARSE;
    }
    path->rest = cursor;
    return CW_OK;
}
