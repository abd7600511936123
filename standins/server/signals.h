/**
 * @file signals.h
 * @brief What the stand-in of a server says of itself in its answers.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_SIGNALS_H
#define CEDARWINCH_STANDINS_SERVER_SIGNALS_H

#include <stdbool.h>
#include <stddef.h>

#include "net/http_header.h"

enum { SIGNALS_MAX = 16 };

/** What it says from one moment to the next. */
typedef struct signals_item {
    double limit_per_s; /**< its rate limit; below 0: none */
    double rest_s;      /**< it turns all requests away, and asks for a rest of so long; 0: it does not */
    bool   is_leaving;
} signals_item_t;

typedef struct signals {
    signals_item_t items[SIGNALS_MAX]; /**< in turn */
    size_t         count;
    size_t         next;
    signals_item_t now;
    bool           any; /**< it has said something */
} signals_t;

/** series: "limit=6,none,rest=3,leaving", or NULL: it never says anything. False: the text is none of this. */
bool signals_init(signals_t *signals, const char *series);
/** The next item of the series holds from now on; after the last one the first. */
void signals_next(signals_t *signals);
/** Nothing is said from now on; the next item is the one that would have been. */
void signals_end(signals_t *signals);
/** Adds the fields of an answer. */
void signals_add_fields(const signals_t *signals, cw_http_fields_t *fields, cw_http_field_builder_t *builder);

#endif
