/**
 * @file event_log.h
 * @brief Structured log: one JSON object a line on standard output, bounded, never blocking.
 *
 * Names of events and fields come from one table (event_names.h). Each event has a limit of lines a second; what is
 * beyond it, and what a reader that does not read leaves no space for, is counted and logged in a line "lines dropped".
 */
#ifndef CEDARWINCH_BASE_EVENT_LOG_H
#define CEDARWINCH_BASE_EVENT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/event_names.h"
#include "base/time.h"

typedef enum cw_event_level {
    CW_EVENT_ERROR = 3, /**< numbers are syslog severities (RFC 5424) */
    CW_EVENT_WARNING = 4,
    CW_EVENT_NOTICE = 5,
    CW_EVENT_INFO = 6,
    CW_EVENT_DEBUG = 7
} cw_event_level_t;

enum { CW_EVENT_LINE_MAX = 1024 };

/** A line being made. */
typedef struct cw_event {
    cw_event_kind_t kind;
    bool            wanted;
    size_t          length;
    char            text[CW_EVENT_LINE_MAX];
} cw_event_t;

/** Where lines go (a descriptor, made non-blocking) and who writes them. */
void cw_event_log_open(int descriptor, const char *node, cw_event_level_t level);
void cw_event_log_set_level(cw_event_level_t level);
/** Writes what is waiting, as far as the reader takes it. now: for the limits by second. */
void cw_event_log_flush(cw_time_us_t now);
/** For a handler of a fatal signal, async-signal-safe: writes what is waiting as far as the reader takes it. What was
 * not taken is lost; a line that was cut off is ended. */
void cw_event_log_write_at_end(void);
/** Lines not written since the start. */
uint64_t cw_event_log_dropped(void);
bool     cw_event_level_from_text(const char *text, cw_event_level_t *level);

/** False, and the calls that follow do nothing, when the event's level or limit keeps it out. */
bool cw_event_begin(cw_event_t *event, cw_event_kind_t kind);
void cw_event_text(cw_event_t *event, cw_event_field_t field, const char *value); /**< NULL: left out */
void cw_event_number(cw_event_t *event, cw_event_field_t field, int64_t value);
void cw_event_real(cw_event_t *event, cw_event_field_t field, double value);
void cw_event_ms(cw_event_t *event, cw_event_field_t field, cw_time_us_t value); /**< microseconds, shown as ms */
void cw_event_end(cw_event_t *event);

const char *cw_event_kind_name(cw_event_kind_t kind);

#endif
