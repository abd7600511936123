/**
 * @file log_lines.c
 * @brief Reads log lines and sorts them by time.
 */
#include "cli/log_lines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"
#include "cli/cli.h"

enum { LINE_MAX_BYTES = 8192, GROWTH = 1024 };

static void add_line(cw_log_lines_t *lines, const char *text)
{
    const char    *brace = strchr(text, '{');
    json_t        *fields = brace == NULL ? NULL : json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
    cw_log_line_t *line;

    if (fields == NULL || json_object_get(fields, "event") == NULL) {
        json_decref(fields);
        return;
    }
    if (lines->count % GROWTH == 0) {
        lines->items = cw_memory_resize(lines->items, (lines->count + GROWTH) * sizeof(*lines->items));
    }
    line = &lines->items[lines->count];
    line->fields = fields;
    line->time = cw_log_line_number(line, "time");
    line->node = cw_log_line_text(line, "node");
    line->event = cw_log_line_text(line, "event");
    line->order = lines->count++;
}

static void read_file(cw_log_lines_t *lines, FILE *file)
{
    char text[LINE_MAX_BYTES];

    while (fgets(text, sizeof(text), file) != NULL) {
        add_line(lines, text);
    }
}

static int compare_lines(const void *left, const void *right)
{
    const cw_log_line_t *a = left;
    const cw_log_line_t *b = right;

    if (a->time != b->time) {
        return a->time < b->time ? -1 : 1;
    }
    return a->order < b->order ? -1 : a->order > b->order;
}

int cw_log_lines_read(cw_log_lines_t *lines, const char *const *files, size_t count)
{
    size_t index;

    for (index = 0; index < count; index++) {
        FILE *file = fopen(files[index], "r");

        if (file == NULL) {
            fprintf(stderr, "cedarwinch: %s cannot be read\n", files[index]);
            return CW_EXIT_WRONG_INPUT;
        }
        read_file(lines, file);
        fclose(file);
    }
    if (count == 0) {
        read_file(lines, stdin);
    }
    if (lines->count > 1) {
        qsort(lines->items, lines->count, sizeof(*lines->items), compare_lines);
    }
    return CW_EXIT_DONE;
}

void cw_log_lines_clear(cw_log_lines_t *lines)
{
    size_t index;

    for (index = 0; index < lines->count; index++) {
        json_decref(lines->items[index].fields);
    }
    free(lines->items);
    memset(lines, 0, sizeof(*lines));
}

const char *cw_log_line_text(const cw_log_line_t *line, const char *field)
{
    const char *text = json_string_value(json_object_get(line->fields, field));

    return text == NULL ? "" : text;
}

double cw_log_line_number(const cw_log_line_t *line, const char *field)
{
    return json_number_value(json_object_get(line->fields, field));
}

void cw_log_line_tenant(const cw_log_line_t *line, char *text, size_t size)
{
    static const char limits[] = "the tenant's ";
    const char       *tenant = cw_log_line_text(line, "tenant");
    const char       *route = cw_log_line_text(line, "route");
    char             *slash;

    cw_text_copy(text, size, tenant);
    if (tenant[0] == '\0' && strncmp(cw_log_line_text(line, "reason"), limits, strlen(limits)) == 0) {
        cw_text_copy(text, size, route);
        slash = strchr(text, '/');
        text[slash == NULL ? 0 : slash - text] = '\0';
    }
}
