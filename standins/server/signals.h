/**
 * @file signals.h
 * @brief What the stand-in of a server says of itself in its answers.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_SIGNALS_H
#define CEDARWINCH_STANDINS_SERVER_SIGNALS_H

#include <stdbool.h>
#include <stddef.h>

#include "net/http_header.h"

enum { SIGNALS_LIMITS_MAX = 16 };

typedef struct signals {
    double limits[SIGNALS_LIMITS_MAX]; /**< in turn; below 0: none */
    size_t limit_count;
    size_t next;
    double limit_per_s; /**< named now; below 0: none */
} signals_t;

/** limits: "6,none,2.5", or NULL: it never names one. False: the text is none of this. */
bool signals_init(signals_t *signals, const char *limits);
/** The next limit of the series holds from now on; after the last one the first. */
void signals_next_limit(signals_t *signals);
/** Adds the fields of an answer. */
void signals_add_fields(const signals_t *signals, cw_http_fields_t *fields, cw_http_field_builder_t *builder);

#endif
