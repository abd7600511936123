/**
 * @file server_view.h
 * @brief The list of servers in force at a node: the one place that says which list counts, and how fresh it is.
 *
 * A list comes on two ways: the node's own readings of the store, and what the leader sends. Rules:
 *  - A list stands for a revision of the store, which rises with each change there. A list of an earlier revision than
 *    the one in force is never taken, from whichever source.
 *  - A server that has been seen leaving goes on leaving for as long as its id is listed: a late write of one of its
 *    earlier heartbeats does not undo it.
 *  - A server that has been missing is back once a later revision than the one it was missing in shows it, in a
 *    reading only with a heartbeat after the last one seen. What another node keeps though it is missing
 *    (server_absence.h) does not bring it back here: its time counts from when this node first missed it.
 *  - An entry of a former incarnation of a server that has started anew since (server_incarnation.h) is a late write:
 * the later incarnation stays.
 *  - `valid_at`: the list was surely true at this moment of the node's own steady clock (the sending of the call that
 *    read it, or the leader's heartbeat less the age it states).
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_MODEL_SERVER_VIEW_H
#define CEDARWINCH_MODEL_SERVER_VIEW_H

#include "model/server_absence.h"

/** What has been seen of a server's leaving. */
typedef struct cw_server_departure {
    char        *id;
    uint64_t     sequence;      /**< of its last heartbeat in a reading; 0: not known */
    uint64_t     revision;      /**< at the latest one of these of the store it was missing or leaving */
    cw_time_us_t since;         /**< first missing; 0: it has an entry, and is leaving */
    cw_time_us_t last_noted_at; /**< last time a list had it, or missed it */
    bool         is_leaving;
} cw_server_departure_t;

/** A list, and what it stands for. */
typedef struct cw_server_reading {
    cw_server_list_t *list;
    uint64_t          revision;     /**< all changes up to this one are in it; 0: not known */
    uint64_t          latest;       /**< none after this one is; what is read in several calls may hold later ones */
    cw_time_us_t      valid_at;     /**< 0: not known */
    bool              store_failed; /**< calls of this node to the store have failed since its list was last true */
    bool              is_told;      /**< by the leader; else this node has read it */
} cw_server_reading_t;

typedef struct cw_server_view {
    cw_absence_settings_t  absence;
    cw_server_list_t      *list; /**< NULL: none yet */
    uint64_t               hash;
    uint64_t               revision;
    cw_time_us_t           valid_at;
    size_t                 kept;       /**< servers kept in it though they are missing */
    cw_server_departure_t *departures; /**< sorted by id */
    size_t                 departure_count;
} cw_server_view_t;

typedef enum cw_view_result {
    CW_VIEW_OLDER,  /**< not taken */
    CW_VIEW_SAME,   /**< the same servers in the same states */
    CW_VIEW_CHANGED /**< another list is in force */
} cw_view_result_t;

void cw_server_view_init(cw_server_view_t *view, const cw_absence_settings_t *absence);
void cw_server_view_clear(cw_server_view_t *view);
/** Offers a list, which is given away. CW_VIEW_CHANGED: `before` is the former list (NULL: none), to be released. */
cw_view_result_t cw_server_view_apply(cw_server_view_t *view, const cw_server_reading_t *reading, cw_time_us_t now,
                                      cw_server_list_t **before);
/** The leader's heartbeat: the list in force was still true at this revision and moment. */
void cw_server_view_confirm(cw_server_view_t *view, uint64_t revision, cw_time_us_t valid_at);
/** Lets go of servers whose time to sign in again is over. */
cw_view_result_t cw_server_view_expire(cw_server_view_t *view, cw_time_us_t now, cw_server_list_t **before);
/** What is known of a server's leaving; NULL: nothing. */
const cw_server_departure_t *cw_server_view_departure(const cw_server_view_t *view, const char *id);

#endif
