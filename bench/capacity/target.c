/**
 * @file target.c
 * @brief Table of needs at the size planned for.
 */
#include "target_internal.h"

#include <stdarg.h>

enum { VALUE_ROOM = 64 };

void cw_capacity_target_write_size(FILE *file)
{
    fprintf(file, "| quantity | value | from |\n| --- | --- | --- |\n");
    fprintf(file, "| nodes | %.0f | planned |\n", TARGET_NODES);
    fprintf(file, "| keys in use | %.3g | planned |\n", TARGET_KEYS);
    fprintf(file, "| requests/s, for each node as gateway and as forwarder | %.3g, %.0f | planned; even spread |\n",
            TARGET_REQUESTS, REQUESTS_PER_NODE);
    fprintf(file, "| servers, for each node | %.0f, %.1f | assumed: %.0f requests/s for each server |\n",
            ASSUMED_SERVERS, SERVERS_PER_NODE, ASSUMED_SERVER_REQUESTS);
    fprintf(file,
            "| ranges, for each node | %.0f, %.1f | assumed: %.0f for each server, and %.0f hot keys split off |\n",
            ASSUMED_RANGES, RANGES_PER_NODE, ASSUMED_RANGES_PER_SERVER, TARGET_HOT_KEYS);
    fprintf(file, "| keys in a range | %.0f | arithmetic |\n", TARGET_KEYS / ASSUMED_RANGES);
    fprintf(file, "| tenants, servers of each | %.0f, %.0f | assumed |\n", ASSUMED_TENANTS, SERVERS_PER_TENANT);
    fprintf(file, "| non-repeatable share of requests | %.0f %% | assumed |\n", 100 * ASSUMED_NON_REPEATABLE);
    fprintf(file, "| changes of configuration | %.0f a day, %.2f/s | planned |\n", TARGET_CHANGES_PER_DAY,
            CHANGES_PER_SECOND);
    fprintf(file, "| node starts and losses | %.0f a day, %.3f/s | planned |\n", TARGET_RESTARTS_PER_DAY,
            RESTARTS_PER_SECOND);
}

static const cw_capacity_series_t *find(target_writer_t *writer, const char *name)
{
    const cw_capacity_series_t *series = cw_capacity_results_find(writer->results, name);

    writer->missing = writer->missing || series == NULL || series->count == 0;
    return series;
}

double target_slope(target_writer_t *writer, const char *name)
{
    const cw_capacity_series_t *series = find(writer, name);

    return series == NULL ? 0 : series->fit.slope;
}

double target_intercept(target_writer_t *writer, const char *name)
{
    const cw_capacity_series_t *series = find(writer, name);

    return series == NULL ? 0 : series->fit.intercept;
}

double target_at(target_writer_t *writer, const char *name, double size)
{
    const cw_capacity_series_t *series = find(writer, name);

    return series == NULL ? 0 : cw_capacity_fit_at(&series->fit, size);
}

double target_largest(target_writer_t *writer, const char *name)
{
    const cw_capacity_series_t *series = find(writer, name);

    return series == NULL || series->count == 0 ? 0 : series->values[series->count - 1];
}

/** A number with three digits and a prefix of its unit. */
static const char *with_prefix(char *text, size_t room, double value, const char *unit)
{
    static const struct {
        double      factor;
        const char *prefix;
    } prefixes[] = {{1e9, "G"}, {1e6, "M"}, {1e3, "k"}, {1, ""}};
    size_t position = 0;

    while (prefixes[position].factor > 1 && value < prefixes[position].factor) {
        position++;
    }
    if (unit[0] != 'B') {
        position = sizeof(prefixes) / sizeof(prefixes[0]) - 1;
    }
    snprintf(text, room, "%.*f %s%s", value / prefixes[position].factor < 10 ? 2 : 1, value / prefixes[position].factor,
             prefixes[position].prefix, unit);
    return text;
}

void target_write_line(target_writer_t *writer, const target_line_t *line)
{
    const char *verdict = line->value <= line->bound ? "holds" : "**does not hold yet**";
    char        value[VALUE_ROOM];
    char        bound[VALUE_ROOM] = "";

    with_prefix(value, sizeof(value), line->value, line->unit);
    if (line->bound > 0) {
        with_prefix(bound, sizeof(bound), line->bound, line->unit);
    }
    if (writer->missing) {
        fprintf(writer->file, "| %s | %s | | not measured in this run | | |\n", line->role, line->need);
    } else {
        fprintf(writer->file, "| %s | %s | %s | %s | %s | %s |\n", line->role, line->need, line->arithmetic, value,
                bound, line->bound > 0 ? verdict : "");
    }
    writer->missing = false;
}

void target_explain(target_line_t *line, const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(line->arithmetic, sizeof(line->arithmetic), format, arguments);
    va_end(arguments);
}

void cw_capacity_target_write(const cw_capacity_results_t *results, FILE *file)
{
    target_writer_t writer = {results, file, false};

    fprintf(file, "| role | need | arithmetic | at the size planned for | bound | verdict |\n"
                  "| --- | --- | --- | --- | --- | --- |\n");
    target_write_node(&writer);
    target_write_relay(&writer);
    target_write_control(&writer);
    target_write_requests(&writer);
}
