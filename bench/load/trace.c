/**
 * @file trace.c
 * @brief Trace files of the load tool.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "load.h"

enum { LINE_SIZE = 512 };

static int append(cw_trace_t *trace, const cw_trace_entry_t *entry)
{
    cw_trace_entry_t *grown;

    if ((trace->count & (trace->count - 1)) == 0) { /* full at powers of two */
        grown = realloc(trace->entries, (trace->count == 0 ? 1 : 2 * trace->count) * sizeof(*grown));
        if (grown == NULL) {
            return CW_ERROR_NO_MEMORY;
        }
        trace->entries = grown;
    }
    trace->entries[trace->count++] = *entry;
    return CW_OK;
}

/* Lines must be in order of time. */
static int parse_line(cw_trace_t *trace, const char *line, size_t stream_count)
{
    cw_trace_entry_t entry;
    int              length = 0;

    if (line[0] == '#' || line[strspn(line, " \t\r\n")] == '\0') {
        return CW_OK;
    }
    if (sscanf(line, "%" SCNd64 " %" SCNu32 " %127s %n", &entry.offset_us, &entry.stream, entry.key, &length) != 3 ||
        line[length] != '\0' || entry.offset_us < 0 || entry.stream >= stream_count ||
        (trace->count > 0 && entry.offset_us < trace->entries[trace->count - 1].offset_us)) {
        return CW_ERROR_PARSE;
    }
    return append(trace, &entry);
}

int cw_trace_read(cw_trace_t *trace, const char *file_name, size_t stream_count, unsigned *line)
{
    FILE *file = fopen(file_name, "re");
    char  text[LINE_SIZE];
    int   error = CW_OK;

    *trace = (cw_trace_t){0};
    *line = 0;
    if (file == NULL) {
        return CW_ERROR_IO;
    }
    while (error == CW_OK && fgets(text, sizeof(text), file) != NULL) {
        (*line)++;
        error = parse_line(trace, text, stream_count);
    }
    fclose(file);
    return error;
}

void cw_trace_clear(cw_trace_t *trace)
{
    free(trace->entries);
    *trace = (cw_trace_t){0};
}
