/**
 * @file view_check.h
 * @brief When a node that has the leader's number of the list or the tables, and another content, is to ask for the
 * whole.
 *
 * Changes are laid over what a node has. Should that ever differ from what the leader had under the same number, it
 * would differ for the rest of the term. Numbers and hashes of the heartbeat show it. For a while they may differ with
 * cause: a node keeps what it has seen of a server's leaving (server_view.h). So it asks late, and rarely.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_CHECK_H
#define CEDARWINCH_ROUTER_VIEW_CHECK_H

#include <stdbool.h>

#include "base/time.h"

/** All zeros: equal so far. */
typedef struct cw_view_check {
    cw_time_us_t unequal_since; /**< 0: equal */
    cw_time_us_t asked_at;      /**< 0: never */
} cw_view_check_t;

typedef struct cw_view_check_delays {
    cw_time_us_t first; /**< unequal for so long: it asks */
    cw_time_us_t again; /**< between two times */
} cw_view_check_delays_t;

/** A heartbeat with the number that this node has. True: the whole is to be asked for. */
bool cw_view_check_note(cw_view_check_t *check, bool is_equal, const cw_view_check_delays_t *patience,
                        cw_time_us_t now);

#endif
