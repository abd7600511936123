/**
 * @file signals.h
 * @brief Signals of the stand-in for a server: what the server reports about itself in its answers.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_SIGNALS_H
#define CEDARWINCH_STANDINS_SERVER_SIGNALS_H

#include <stdbool.h>
#include <stddef.h>

#include "net/http_header.h"

enum { SIGNALS_MAX = 16 };

/** What the server reports about itself at one time. */
typedef struct signals_item {
    double limit_per_s; /**< rate limit of the server; below 0: none */
    double rest_s;      /**< it refuses all requests with 503 and this Retry-After in seconds; 0: it does not */
    bool   is_leaving;  /**< the server announces that it leaves */
} signals_item_t;

/** A series of signals, and the signal in force. */
typedef struct signals {
    signals_item_t items[SIGNALS_MAX]; /**< used one after the other */
    size_t         count;
    size_t         next;    /**< index of the next item */
    signals_item_t now;     /**< item in force */
    bool           is_used; /**< a signal has been in force */
} signals_t;

/** Parses a series like "limit=6,none,rest=3,leaving"; NULL: an empty series. Returns false if the text is invalid. */
bool signals_init(signals_t *signals, const char *series);
/** Puts the next item of the series into force; the first item follows the last one. A leave stays in force. */
void signals_next(signals_t *signals);
/** Ends the item in force; the position in the series stays. A leave stays in force. */
void signals_end(signals_t *signals);
/** Adds the header fields of the item in force to an answer. */
void signals_add_fields(const signals_t *signals, cw_http_fields_t *fields, cw_http_field_builder_t *builder);

#endif
