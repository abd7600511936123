/**
 * @file server_limit.h
 * @brief State of the rate limit that a server names in its answers: requests a second from all nodes together.
 *
 * Rules:
 *  - Each statement about a limit carries the time at which it was made. A statement older than the known state is
 *    ignored, since answers and notices of other nodes may arrive out of order.
 *  - A limit ends when CW_LIMIT_UNNAMED_ANSWERS answers in a row, to requests that ran, did not name it and no answer
 *    has named it for CW_LIMIT_UNNAMED_PERIOD_MS: a server may name its limit in only some of its answers.
 *  - A limit also ends when it was not named for CW_LIMIT_EXPIRY_MS, since a server that gets no requests has no
 *    answer in which it could omit the limit. For the same reason a server with a limit at or near 0 gets a probe
 *    request every CW_LIMIT_PROBE_MS: without an answer no node would know that it accepts requests again.
 *  - A limit belongs to one incarnation of a server; the next incarnation has none until it names one.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_LIMIT_H
#define CEDARWINCH_BALANCE_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIMIT_UNNAMED_ANSWERS = 3,      /**< number of answers in a row without the limit, and */
    CW_LIMIT_UNNAMED_PERIOD_MS = 1000, /**< time since it was last named; after both, the limit has ended */
    CW_LIMIT_EXPIRY_MS = 10000, /**< time since it was last named, after which it has ended even without answers */
    CW_LIMIT_PROBE_MS = 5000    /**< time between probe requests to a server whose limit is 0 */
};

/** Zero-initialised: no limit was named. */
typedef struct cw_server_limit {
    bool         is_named;
    double       per_s;    /**< requests a second, as named */
    cw_time_us_t named_at; /**< when the latest statement naming the limit was made; 0: never */
    cw_time_us_t ended_at; /**< when the limit last ended; 0: never */
    uint32_t     unnamed;  /**< answers in a row without the limit since it was last named */
} cw_server_limit_t;

/** Effect of a statement on the limit. */
typedef enum cw_limit_change {
    CW_LIMIT_UNCHANGED,
    CW_LIMIT_BEGUN,
    CW_LIMIT_CHANGED, /**< another rate */
    CW_LIMIT_ENDED
} cw_limit_change_t;

/** True if the limit applies now. */
bool cw_server_limit_binds(const cw_server_limit_t *limit, cw_time_us_t now);
/** Requests a second that the server may get: its limit, at least one in CW_LIMIT_PROBE_MS. */
double cw_server_limit_rate(const cw_server_limit_t *limit);
/** The server named a limit at made_at, in an answer to this node or to another one. */
cw_limit_change_t cw_server_limit_record_named(cw_server_limit_t *limit, double per_s, cw_time_us_t made_at,
                                               cw_time_us_t now);
/** An answer to a request that ran did not name the limit. */
cw_limit_change_t cw_server_limit_record_unnamed(cw_server_limit_t *limit, cw_time_us_t now);
/** Another node determined at made_at that the limit had ended. */
cw_limit_change_t cw_server_limit_record_ended(cw_server_limit_t *limit, cw_time_us_t made_at, cw_time_us_t now);

#endif
