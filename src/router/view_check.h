/**
 * @file view_check.h
 * @brief When a node whose list or tables have the leader's version but different content requests the whole content.
 *
 * A node applies changes to its own list or tables. If these ever differed from the leader's of the same version, they
 * would differ for the rest of the term. The version and the hash in the leader's heartbeat reveal this. The hashes may
 * differ for a while for a good reason: a node keeps what it has itself observed of a leaving server (server_view.h).
 * So the node requests the content only after a delay, and rarely.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_CHECK_H
#define CEDARWINCH_ROUTER_VIEW_CHECK_H

#include <stdbool.h>

#include "base/time.h"

/** State of the comparison. All zeros: equal so far. */
typedef struct cw_view_check {
    cw_time_us_t unequal_since; /**< start of the current difference; 0: equal */
    cw_time_us_t asked_at;      /**< last request; 0: never */
} cw_view_check_t;

/** Delays of requests for the whole content. */
typedef struct cw_view_check_delays {
    cw_time_us_t first; /**< time of difference before the first request */
    cw_time_us_t again; /**< time between two requests */
} cw_view_check_delays_t;

/** Records a heartbeat with the version that this node has. Returns true if the caller is to request the whole
 * content. */
bool cw_view_check_record(cw_view_check_t *check, bool is_equal, const cw_view_check_delays_t *delays,
                          cw_time_us_t now);

#endif
