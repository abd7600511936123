/**
 * @file page.c
 * @brief Replacing generated parts of a page.
 */
#include "page.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { MARKER_ROOM = 128, NAME_ROOM = 1024 };

char *cw_capacity_page_replace(const char *page, const char *name, const char *text)
{
    char        begin_marker[MARKER_ROOM];
    char        end_marker[MARKER_ROOM];
    const char *begin;
    const char *end;
    char       *replaced;
    size_t      room;

    snprintf(begin_marker, sizeof(begin_marker), "<!-- begin %s -->\n", name);
    snprintf(end_marker, sizeof(end_marker), "<!-- end %s -->", name);
    begin = strstr(page, begin_marker);
    end = begin == NULL ? NULL : strstr(begin, end_marker);
    if (end == NULL) {
        return NULL;
    }
    begin += strlen(begin_marker);
    room = strlen(page) + strlen(text) + 1;
    replaced = malloc(room);
    if (replaced != NULL) {
        snprintf(replaced, room, "%.*s%s%s", (int)(begin - page), page, text, end);
    }
    return replaced;
}

char *cw_capacity_page_read(const char *file_name)
{
    FILE  *file = fopen(file_name, "r");
    char  *text = NULL;
    size_t room = 0;

    if (file == NULL) {
        return NULL;
    }
    if (getdelim(&text, &room, '\0', file) < 0) {
        free(text);
        text = NULL;
    }
    fclose(file);
    return text;
}

int cw_capacity_page_write(const char *file_name, const char *text)
{
    char  new_name[NAME_ROOM];
    FILE *file;
    int   written;

    if (snprintf(new_name, sizeof(new_name), "%s.new", file_name) >= (int)sizeof(new_name)) {
        return CW_ERROR_INVALID;
    }
    file = fopen(new_name, "w");
    if (file == NULL) {
        return CW_ERROR_IO;
    }
    written = fputs(text, file);
    if (fclose(file) != 0 || written < 0 || rename(new_name, file_name) != 0) {
        return CW_ERROR_IO;
    }
    return CW_OK;
}
