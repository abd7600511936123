/**
 * @file server_limit.h
 * @brief The rate limit that a server has named, as this node knows it: requests a second from all nodes together.
 *
 * Rules:
 *  - Each statement has the moment of its making. One made before what is known already changes nothing: answers and
 *    other nodes' notices cross.
 *  - A limit ends when some answers in a row, to requests that ran, did not name it and none has for a while: a server
 * may name it in some of its answers only.
 *  - It also ends after a long silence, since a server that gets no requests has no answer to say so in. So one that
 * wants none gets one now and then: without an answer nobody would learn that it takes more again.
 *  - It belongs to one incarnation of a server; the next one has none until it names one.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_LIMIT_H
#define CEDARWINCH_BALANCE_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIMIT_UNNAMED_ANSWERS = 3, /**< answers in a row without it, */
    CW_LIMIT_UNNAMED_MS = 1000,   /**< and time since it was named last, after which it has ended */
    CW_LIMIT_EXPIRY_MS = 10000,   /**< time since it was named last, after which it has ended without an answer */
    CW_LIMIT_PROBE_MS = 5000      /**< pause between requests to a server that wants none */
};

/** All zeros: none was named. */
typedef struct cw_server_limit {
    bool         is_named;
    double       per_s;
    cw_time_us_t named_at; /**< when the latest statement that names it was made; 0: never */
    cw_time_us_t ended_at; /**< when it was last known to have ended; 0: never */
    uint32_t     unnamed;  /**< answers in a row without it, since it was named last */
} cw_server_limit_t;

typedef enum cw_limit_change {
    CW_LIMIT_UNCHANGED,
    CW_LIMIT_BEGUN,
    CW_LIMIT_CHANGED, /**< another rate */
    CW_LIMIT_ENDED
} cw_limit_change_t;

/** Does it bind now? */
bool cw_server_limit_binds(const cw_server_limit_t *limit, cw_time_us_t now);
/** Requests a second that it may get: what it named, or a probe now and then. */
double cw_server_limit_rate(const cw_server_limit_t *limit);
/** The server named it at that moment, to this node or to another one. */
cw_limit_change_t cw_server_limit_note_named(cw_server_limit_t *limit, double per_s, cw_time_us_t made_at,
                                             cw_time_us_t now);
/** An answer did not name it. */
cw_limit_change_t cw_server_limit_note_unnamed(cw_server_limit_t *limit, cw_time_us_t now);
/** Another node found at that moment that it had ended. */
cw_limit_change_t cw_server_limit_note_ended(cw_server_limit_t *limit, cw_time_us_t made_at, cw_time_us_t now);

#endif
