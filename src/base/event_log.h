/**
 * @file event_log.h
 * @brief Structured log: one JSON object per line, in a buffer of fixed size that is written without blocking.
 *
 * The names of events and fields come from one table (event_names.h). Each event has a limit of lines per second. Lines
 * beyond that limit, and lines for which the buffer has no space because the reader of the log does not read, are
 * dropped; they are counted, and their number is logged in a line "lines dropped".
 */
#ifndef CEDARWINCH_BASE_EVENT_LOG_H
#define CEDARWINCH_BASE_EVENT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/event_names.h"
#include "base/time.h"

/** Levels; their numbers are syslog severities (RFC 5424). */
typedef enum cw_event_level {
    CW_EVENT_ERROR = 3,
    CW_EVENT_WARNING = 4,
    CW_EVENT_NOTICE = 5,
    CW_EVENT_INFO = 6,
    CW_EVENT_DEBUG = 7
} cw_event_level_t;

enum { CW_EVENT_LINE_MAX = 1024 /**< bytes of a line, its end included */ };

/** A line that is being composed. */
typedef struct cw_event {
    cw_event_kind_t kind;
    bool            enabled; /**< the level and the limit of the event admit the line */
    size_t          length;
    char            text[CW_EVENT_LINE_MAX];
} cw_event_t;

/** Sets the descriptor that lines are written to (it is made non-blocking), the name of this node in them, and the
 * least severe level that is logged. */
void cw_event_log_open(int descriptor, const char *node, cw_event_level_t level);
/** Changes the least severe level that is logged, after a reload of the settings. */
void cw_event_log_set_level(cw_event_level_t level);
/** Writes the buffered lines as far as the reader accepts them, without blocking. now: starts a new second of the
 * limits. */
void cw_event_log_flush(cw_time_us_t now);
/** For the handler of a fatal signal; async-signal-safe. Writes the buffered lines as far as the reader accepts them
 * and discards the rest; a line that was cut off is ended with a newline. */
void cw_event_log_write_before_exit(void);
/** Number of lines dropped since the start of the process. */
uint64_t cw_event_log_dropped(void);
/** Parses the name of a level, in any case; false if the text names none. */
bool cw_event_level_from_text(const char *text, cw_event_level_t *level);

/** Begins a line. Returns false if the event's level or limit excludes it; the following calls for this line then do
 * nothing. */
bool cw_event_begin(cw_event_t *event, cw_event_kind_t kind);
/** Add a field to the line. A field for which the line has no space is left out, and so is a text that is NULL. */
void cw_event_text(cw_event_t *event, cw_event_field_t field, const char *value);
void cw_event_number(cw_event_t *event, cw_event_field_t field, int64_t value);
void cw_event_real(cw_event_t *event, cw_event_field_t field, double value);
void cw_event_ms(cw_event_t *event, cw_event_field_t field, cw_time_us_t value); /**< written in milliseconds */
/** Ends the line and appends it to the buffer. */
void cw_event_end(cw_event_t *event);

/** Name of an event in the log. */
const char *cw_event_kind_name(cw_event_kind_t kind);

#endif
