/**
 * @file log.h
 * @brief Structured log lines on standard error, syslog style.
 *
 * One line: `<PRIORITY>TIMESTAMP cedarwinch[node=ID] LEVEL module message key=value ...`.
 */
#ifndef CEDARWINCH_LOG_H
#define CEDARWINCH_LOG_H

#include <stdbool.h>

typedef enum cw_log_level {
    CW_LOG_ERROR = 3, /**< numbers are syslog severities (RFC 5424) */
    CW_LOG_WARNING = 4,
    CW_LOG_NOTICE = 5,
    CW_LOG_INFO = 6,
    CW_LOG_DEBUG = 7
} cw_log_level_t;

void cw_log_set_level(cw_log_level_t level);
void cw_log_set_identity(const char *identity); /**< e.g. "node=3"; copied */

/** Would a line of this level be written? For lines whose fields cost something to make. */
bool cw_log_enabled(cw_log_level_t level);

/** Writes one line. fields is a printf format of key=value pairs; values with blanks are the caller's to quote. */
void cw_log(cw_log_level_t level, const char *module, const char *message, const char *fields, ...)
    __attribute__((format(printf, 4, 5)));

#endif
