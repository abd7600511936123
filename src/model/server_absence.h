/**
 * @file server_absence.h
 * @brief Which servers that are missing in a reading of the list are taken for gone.
 *
 * Rules:
 *  - A missing entry is taken for the server's leaving: some leave without a word, and requests to them have to end.
 *  - Except where servers could not keep their entries: the reading follows an outage (the list is old, and calls of
 * this node to the store have failed since it was true), or more than half of the servers are missing in it at once.
 * Such servers are kept, as they were last known, until they have had time to sign in again. A server that cannot reach
 * the store goes on serving.
 *  - The time counts from the first reading in which the server was missing, and further outages do not lengthen it: it
 *    ends before requests to a server that has left would break the drain time.
 *  - A server at whose address another one has signed in has ended; one that was leaving anyway is not kept.
 */
#ifndef CEDARWINCH_MODEL_SERVER_ABSENCE_H
#define CEDARWINCH_MODEL_SERVER_ABSENCE_H

#include "model/server_list.h"

typedef struct cw_absence_settings {
    cw_time_us_t outage; /**< a list as old as that may follow an outage; without a failed call it was just not read */
    cw_time_us_t grace;  /**< time for servers to sign in again */
} cw_absence_settings_t;

/** Settings for servers that write their entries this often and may get requests for `drain` after they left. */
cw_absence_settings_t cw_absence_settings_of(cw_time_us_t heartbeat, cw_time_us_t drain);
/** Is this kept entry's time over? */
bool cw_absence_is_over(const cw_absence_settings_t *settings, const cw_server_entry_t *entry, cw_time_us_t now);
/**
 * Adds to a sealed reading the servers of `known` that are missing in it and kept, marked with since when, and seals
 * it. known: NULL is allowed. known_at: when the known list was surely true; store_failed: calls to the store have
 * failed since. Returns how many were added.
 */
size_t cw_server_absence_fill(const cw_absence_settings_t *settings, cw_server_list_t *reading,
                              const cw_server_list_t *known, cw_time_us_t known_at, bool store_failed,
                              cw_time_us_t now);

#endif
