/**
 * @file explain_cause.h
 * @brief What a request's line in the log means, and which other lines say why.
 */
#ifndef CEDARWINCH_CLI_EXPLAIN_CAUSE_H
#define CEDARWINCH_CLI_EXPLAIN_CAUSE_H

#include <stdbool.h>

#include "cli/log_lines.h"

/** In words; NULL: the line says it all. */
const char *cw_explain_cause(const cw_log_line_t *line);

/** Events that a line rests on: the last one of each, of the same node, belongs to its story. */
typedef struct cw_explain_trail {
    const char *events[3]; /**< as many as there are, then NULL */
} cw_explain_trail_t;

/** NULL: none beside what every line gets. */
const cw_explain_trail_t *cw_explain_trail(const cw_log_line_t *line);
/** Is `other` such a line: of this event and the same node, and of the same tenant where it names one? */
bool cw_explain_rests_on(const cw_log_line_t *line, const cw_log_line_t *other, const char *event);

#endif
