/**
 * @file findings.c
 * @brief List of findings, and its output as text and JSON.
 */
#include "base/findings.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum { INITIAL_CAPACITY = 8 };

void cw_findings_init(cw_findings_t *findings)
{
    memset(findings, 0, sizeof(*findings));
}

static int reserve(cw_findings_t *findings)
{
    size_t        capacity;
    cw_finding_t *items;

    if (findings->count < findings->capacity) {
        return 0;
    }
    capacity = findings->capacity == 0 ? INITIAL_CAPACITY : 2 * findings->capacity;
    items = realloc(findings->items, capacity * sizeof(*items));
    if (items == NULL) {
        return -1;
    }
    findings->items = items;
    findings->capacity = capacity;
    return 0;
}

void cw_findings_add(cw_findings_t *findings, const char *file, unsigned line, unsigned column, const char *format, ...)
{
    cw_finding_t *finding;
    va_list       arguments;

    if (reserve(findings) != 0) {
        return;
    }
    finding = &findings->items[findings->count];
    finding->file = strdup(file);
    finding->line = line;
    finding->column = column;
    va_start(arguments, format);
    if (vasprintf(&finding->message, format, arguments) < 0) {
        finding->message = NULL;
    }
    va_end(arguments);
    findings->count++;
}

void cw_findings_print(const cw_findings_t *findings, FILE *stream)
{
    const cw_finding_t *finding;
    size_t              position;

    for (position = 0; position < findings->count; position++) {
        finding = &findings->items[position];
        fprintf(stream, "%s:%u:%u: %s\n", finding->file, finding->line, finding->column, finding->message);
    }
}

char *cw_findings_to_json(const cw_findings_t *findings)
{
    json_t             *array = json_array();
    const cw_finding_t *finding;
    size_t              position;
    char               *text;

    for (position = 0; position < findings->count; position++) {
        finding = &findings->items[position];
        json_array_append_new(array,
                              json_pack("{s:s, s:i, s:i, s:s}", "file", finding->file, "line", (int)finding->line,
                                        "column", (int)finding->column, "message", finding->message));
    }
    text = json_dumps(array, JSON_COMPACT);
    json_decref(array);
    return text;
}

void cw_findings_clear(cw_findings_t *findings)
{
    size_t position;

    for (position = 0; position < findings->count; position++) {
        free(findings->items[position].file);
        free(findings->items[position].message);
    }
    free(findings->items);
    cw_findings_init(findings);
}
