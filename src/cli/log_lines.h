/**
 * @file log_lines.h
 * @brief Reads the log lines of many nodes for `explain` and `report`.
 */
#ifndef CEDARWINCH_CLI_LOG_LINES_H
#define CEDARWINCH_CLI_LOG_LINES_H

#include <jansson.h>
#include <stddef.h>

/** One log line. */
typedef struct cw_log_line {
    double      time; /**< seconds since the epoch, by the wall clock of its node */
    const char *node;
    const char *event;
    json_t     *fields; /**< all fields; `node` and `event` point into them */
    size_t      order;  /**< index in the order of reading, for lines of equal time */
} cw_log_line_t;

/** The lines of all logs. */
typedef struct cw_log_lines {
    cw_log_line_t *items; /**< in order of time */
    size_t         count;
} cw_log_lines_t;

/** Reads files, or standard input if there are none. Anything before the first brace of a line is ignored, and so are
 * lines that hold no event. Returns an exit code: CW_EXIT_WRONG_INPUT, with a message on standard error, if a file
 * cannot be read. */
int cw_log_lines_read(cw_log_lines_t *lines, const char *const *files, size_t count);
/** Frees the lines; also after an error. */
void cw_log_lines_clear(cw_log_lines_t *lines);
/** Field of a line as text or as a number; "" or 0 if the line has no such field of this type. */
const char *cw_log_line_text(const cw_log_line_t *line, const char *field);
double      cw_log_line_number(const cw_log_line_t *line, const char *field);

/** The tenant whose limit or key a line concerns: the field `tenant`. If it is missing and the reason is a tenant's
 * limit, the tenant's callers need no keys, and its name is the beginning of the route's name. "" if there is none. */
void cw_log_line_tenant(const cw_log_line_t *line, char *text, size_t size);

#endif
