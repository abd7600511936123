/**
 * @file server_absence.h
 * @brief Decides which servers that are missing in a reading of the list have left.
 *
 * Rules:
 *  - A server whose entry is missing has left: some servers leave without notice, and requests to them have to end.
 *  - The exception is when servers may have been unable to keep their entries: the reading follows an outage (the list
 *    in force is old, and calls of this node to the store have failed since the list was valid), or more than half of
 *    the servers are missing in it at once. Such servers are kept, as they were last known, until they have had time to
 *    register again. A server that cannot reach the store continues to serve.
 *  - This grace time counts from the first reading in which the server was missing, and further outages do not lengthen
 *    it.
 *  - Without an outage of this node's own it ends at the latest when the list that still contained the server is too
 *    old to be used (CW_LIST_USABLE_PERCENT): the server may have left at any time since then. That also holds for
 *    servers that a leader keeps after its outage. During an outage of its own, this node can learn of no leave.
 *  - With an outage of its own it ends at the latest when the bounds on times hold for this node again: the store may
 *    have been away from this node alone, and the server may have left long before.
 *  - A server has ended if another one has registered at its address, unless the reading may be of a copy of the store
 *    from before the server registered. A server that was leaving already is not kept.
 */
#ifndef CEDARWINCH_MODEL_SERVER_ABSENCE_H
#define CEDARWINCH_MODEL_SERVER_ABSENCE_H

#include "model/server_list.h"

/** Times that decide how long missing servers are kept. */
typedef struct cw_absence_settings {
    /** A list in force of this age may be followed by a reading after an outage. Without a failed call to the store the
     * list was merely not read again. */
    cw_time_us_t outage;
    cw_time_us_t grace;  /**< time for servers to register again */
    cw_time_us_t usable; /**< greatest age of a list by which requests are sent */
} cw_absence_settings_t;

/** Settings for servers that write their entries at the interval `heartbeat` and may get requests for `drain` after
 * they left. */
cw_absence_settings_t cw_absence_settings_of(cw_time_us_t heartbeat, cw_time_us_t drain);
/** Whether the grace time of a kept entry is over. */
bool cw_absence_is_over(const cw_server_entry_t *entry, cw_time_us_t now);
/** What is known of a reading. */
typedef struct cw_absence_reading {
    cw_time_us_t known_at;     /**< when the list before it was certainly valid */
    bool         store_failed; /**< calls to the store have failed since then */
    /** If they have: when this node, which may reach the store again since the last of them was sent, is held to the
     * bounds on times again at the earliest. 0: not known. */
    cw_time_us_t bound_from;
    bool         may_be_of_copy; /**< the store has come back from a copy since then (store_epoch.h) */
} cw_absence_reading_t;

/** When a server is removed that is missing since `missing_since` and kept. */
cw_time_us_t cw_absence_keep_until(const cw_absence_settings_t *settings, const cw_absence_reading_t *state,
                                   cw_time_us_t missing_since, cw_time_us_t now);
/** Adds the servers of `known` that are missing in a sealed reading and have to be kept, with the time since when they
 * are missing, and seals the reading again. known: NULL is allowed. Returns how many servers were added. */
size_t cw_server_absence_fill(const cw_absence_settings_t *settings, cw_server_list_t *reading,
                              const cw_server_list_t *known, const cw_absence_reading_t *state, cw_time_us_t now);

#endif
