/**
 * @file log.c
 * @brief Structured log lines on standard error.
 */
#include "cedarwinch/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum {
    LINE_MAX_BYTES = 2048,
    IDENTITY_MAX = 64,
    FACILITY_DAEMON = 3 << 3 /* RFC 5424 */
};

static cw_log_level_t log_level = CW_LOG_INFO;
static char           log_identity[IDENTITY_MAX] = "";

void cw_log_set_level(cw_log_level_t level)
{
    log_level = level;
}

bool cw_log_enabled(cw_log_level_t level)
{
    return level <= log_level;
}

void cw_log_set_identity(const char *identity)
{
    snprintf(log_identity, sizeof(log_identity), "%s", identity);
}

static const char *level_name(cw_log_level_t level)
{
    switch (level) {
    case CW_LOG_ERROR:
        return "ERROR";
    case CW_LOG_WARNING:
        return "WARNING";
    case CW_LOG_NOTICE:
        return "NOTICE";
    case CW_LOG_INFO:
        return "INFO";
    default:
        return "DEBUG";
    }
}

/* Writes the part before the fields; returns its length. */
static size_t format_head(char *line, size_t size, cw_log_level_t level, const char *module, const char *message)
{
    struct timeval now;
    struct tm      parts;
    char           stamp[32];
    int            length;

    gettimeofday(&now, NULL);
    gmtime_r(&now.tv_sec, &parts);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    length = snprintf(line, size, "<%d>%s.%03ldZ cedarwinch[%s] %s %s %s", FACILITY_DAEMON + (int)level, stamp,
                      (long)(now.tv_usec / 1000), log_identity, level_name(level), module, message);
    return length < 0 ? 0 : (size_t)length;
}

void cw_log(cw_log_level_t level, const char *module, const char *message, const char *fields, ...)
{
    char    line[LINE_MAX_BYTES];
    size_t  length;
    va_list arguments;
    int     added;

    if (level > log_level) {
        return;
    }
    length = format_head(line, sizeof(line) - 2, level, module, message);
    if (length < sizeof(line) - 2 && fields != NULL && fields[0] != '\0') {
        line[length++] = ' ';
        va_start(arguments, fields);
        added = vsnprintf(line + length, sizeof(line) - 1 - length, fields, arguments);
        va_end(arguments);
        length += added < 0 ? 0 : (size_t)added;
    }
    if (length > sizeof(line) - 2) {
        length = sizeof(line) - 2;
    }
    line[length++] = '\n';
    /* One write a line, so that lines of several processes on one stream do not mix. A failed write is not reported:
     * there is nowhere left to report it to. */
    if (write(STDERR_FILENO, line, length) < 0) {
        return;
    }
}
