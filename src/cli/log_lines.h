/**
 * @file log_lines.h
 * @brief Lines of the logs of many nodes, read for `explain` and `report`.
 */
#ifndef CEDARWINCH_CLI_LOG_LINES_H
#define CEDARWINCH_CLI_LOG_LINES_H

#include <jansson.h>
#include <stddef.h>

typedef struct cw_log_line {
    double      time; /**< seconds, by the wall clock of its node */
    const char *node;
    const char *event;
    json_t     *fields;
    size_t      order; /**< in which it was read */
} cw_log_line_t;

typedef struct cw_log_lines {
    cw_log_line_t *items; /**< in order of time */
    size_t         count;
} cw_log_lines_t;

/** Reads files, or standard input when there are none. Lines may carry anything before their first brace; others are
 * passed over. CW_EXIT_WRONG_INPUT, said on standard error, when a file cannot be read. */
int  cw_log_lines_read(cw_log_lines_t *lines, const char *const *files, size_t count);
void cw_log_lines_clear(cw_log_lines_t *lines);
/** Fields of a line; "" or 0 where there is none. */
const char *cw_log_line_text(const cw_log_line_t *line, const char *field);
double      cw_log_line_number(const cw_log_line_t *line, const char *field);

/** Whose limit or key the line is about: the field `tenant`; without it, and where the reason is a tenant's limit, the
 * tenant that the route's name begins with (its callers need no keys). "" where there is none. */
void cw_log_line_tenant(const cw_log_line_t *line, char *text, size_t size);

#endif
