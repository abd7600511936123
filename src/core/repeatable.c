/**
 * @file repeatable.c
 * @brief Decides by a service's rules whether a request may be repeated.
 *
 * A server may decode a path before it acts on it, so the rules are matched against the decoded form: percent-encoding
 * undone, runs of slashes taken as one, letters compared without case. Where the decoded form is in doubt (a broken
 * escape, a segment that begins with a dot) the request counts as matched. Every doubt errs towards "not repeatable",
 * which costs a journal entry; the other direction could run a request twice.
 */
#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "cedarwinch/outcome.h"

enum { PATH_END = -1, PATH_DOUBTFUL = -2, ESCAPE_LENGTH = 3, HEX = 16 };

/** Reads a path one decoded character at a time. Every path starts with "/", also the empty one. */
typedef struct cw_path_reader {
    const char *rest;
    int         previous;
} cw_path_reader_t;

static int hex_digit(char digit)
{
    if (!isxdigit((unsigned char)digit)) {
        return PATH_DOUBTFUL;
    }
    return isdigit((unsigned char)digit) ? digit - '0' : tolower((unsigned char)digit) - 'a' + 10;
}

/* Takes one raw or escaped character off the path. */
static int read_character(cw_path_reader_t *reader)
{
    const char *rest = reader->rest;
    int         high;
    int         low;

    if (*rest == '\0' || *rest == '?' || *rest == '#') {
        return PATH_END;
    }
    if (*rest != '%') {
        reader->rest++;
        return tolower((unsigned char)*rest);
    }
    high = hex_digit(rest[1]);
    low = high < 0 ? high : hex_digit(rest[2]);
    if (low < 0 || high * HEX + low == 0) {
        return PATH_DOUBTFUL;
    }
    reader->rest += ESCAPE_LENGTH;
    return tolower(high * HEX + low);
}

/* Next character of the decoded path, with runs of slashes made one. */
static int read_next(cw_path_reader_t *reader)
{
    int character;

    if (reader->previous == 0) {
        reader->previous = '/';
        return '/';
    }
    do {
        character = read_character(reader);
    } while (character == '/' && reader->previous == '/');
    if (character == '.' && reader->previous == '/') {
        return PATH_DOUBTFUL;
    }
    reader->previous = character;
    return character;
}

static bool path_is_doubtful(const char *path)
{
    cw_path_reader_t reader = {path, 0};
    int              character;

    do {
        character = read_next(&reader);
    } while (character >= 0);
    return character == PATH_DOUBTFUL;
}

static bool path_has_prefix(const char *path, const char *prefix)
{
    cw_path_reader_t path_reader = {path, 0};
    cw_path_reader_t prefix_reader = {prefix, 0};
    int              wanted;
    int              found;

    while ((wanted = read_next(&prefix_reader)) >= 0) {
        found = read_next(&path_reader);
        if (found == PATH_END && wanted == '/' && read_next(&prefix_reader) == PATH_END) {
            return true;
        }
        if (found != wanted) {
            return false;
        }
    }
    return true;
}

bool cw_request_is_repeatable(const Cw__ServiceConfiguration *service, const char *method, const char *path)
{
    const Cw__NonRepeatableRule *rule;
    bool                         doubtful = path_is_doubtful(path);
    size_t                       index;

    for (index = 0; index < service->n_non_repeatable; index++) {
        rule = service->non_repeatable[index];
        if (strcmp(rule->method, "*") != 0 && strcasecmp(rule->method, method) != 0) {
            continue;
        }
        if (doubtful || path_has_prefix(path, rule->path_prefix)) {
            return false;
        }
    }
    return true;
}
