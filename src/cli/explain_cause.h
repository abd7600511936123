/**
 * @file explain_cause.h
 * @brief Explains a log line of a request: its cause in words, and the events that show the reason.
 */
#ifndef CEDARWINCH_CLI_EXPLAIN_CAUSE_H
#define CEDARWINCH_CLI_EXPLAIN_CAUSE_H

#include <stdbool.h>

#include "cli/log_lines.h"

/** The cause of a line in words; NULL: the line needs no explanation. */
const char *cw_explain_cause(const cw_log_line_t *line);

/** Events that explain a line; of each, the last line of the same node before it is shown. */
typedef struct cw_explain_related {
    const char *events[3]; /**< names of events, ended by NULL: at most two */
} cw_explain_related_t;

/** The events that explain a line; NULL: none besides those that are shown for every line. */
const cw_explain_related_t *cw_explain_related(const cw_log_line_t *line);
/** Whether `other` explains `line`: it has this event and the same node and, if it names a tenant, the same tenant. */
bool cw_explain_is_related(const cw_log_line_t *line, const cw_log_line_t *other, const char *event);

#endif
