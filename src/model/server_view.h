/**
 * @file server_view.h
 * @brief The list of servers in force on a node. This module alone decides which list is in force and how recent it is.
 *
 * Lists have two sources: the node's own readings of the store and the lists that the leader sends. Rules:
 *  - A list has a revision of the store, which increases with each change there, and is later than all others when the
 *    store has come back from a copy (store_epoch.h). A list with an earlier revision than the one in force is never
 *    applied, whatever its source.
 *  - A server that has been seen leaving stays leaving for as long as its id is listed: a late write of one of its
 *    earlier heartbeats does not undo it.
 *  - A server that was missing is present again when a later revision than the one in which it was missing contains it;
 *    in the node's own reading it must also have a later heartbeat than the last one seen. An entry that another node
 *    keeps although the server is missing (server_absence.h) does not make it present here, and does not bring it back
 *    where this node has removed it: that node may have been cut off from the store alone.
 *  - A server that was missing before the store came back from a copy is present again only by a later heartbeat than
 * the one in its entry there: that entry may be of the copy.
 *  - An entry of a former incarnation of a server that has restarted since (server_incarnation.h) is a late write: the
 *    later incarnation stays.
 *  - evidence.valid_at: time of the node's own steady clock at which the list was certainly valid: when the call that
 *    read it was sent, or the time of the leader's heartbeat minus the age that it states.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_MODEL_SERVER_VIEW_H
#define CEDARWINCH_MODEL_SERVER_VIEW_H

#include "model/list_evidence.h"
#include "model/server_absence.h"

/** A server that is leaving, has left or is missing. */
typedef struct cw_server_departure {
    char        *id;
    uint64_t     sequence;         /**< of its last heartbeat in a reading; 0: not known */
    uint64_t     revision;         /**< latest revision of the store at which it was missing */
    cw_time_us_t since;            /**< since when it is missing; 0: it has an entry */
    cw_time_us_t last_recorded_at; /**< last time at which an applied list contained it or lacked it */
    bool         is_leaving;
} cw_server_departure_t;

/** A list from one of the two sources, with its revision and the time at which it was valid. */
typedef struct cw_server_reading {
    cw_server_list_t *list;
    uint64_t          revision; /**< it contains all changes up to this revision; 0: not known */
    uint64_t          latest; /**< it contains no later change; a list read in several calls may be beyond `revision` */
    cw_list_evidence_t evidence;       /**< when it was certainly valid */
    bool               store_failed;   /**< calls of this node to the store have failed since its list was last valid */
    cw_time_us_t       bound_from;     /**< if they have: as in cw_absence_reading_t */
    bool               is_from_leader; /**< the leader sent it; false: this node has read it from the store */
} cw_server_reading_t;

/** The list in force on a node. */
typedef struct cw_server_view {
    cw_absence_settings_t  absence;
    cw_server_list_t      *list; /**< NULL: none yet */
    uint64_t               hash;
    uint64_t               revision;
    cw_list_evidence_t     evidence;
    size_t                 kept;       /**< how many of its servers are kept although they are missing */
    cw_server_departure_t *departures; /**< sorted by id */
    size_t                 departure_count;
} cw_server_view_t;

/** Effect of an offered list. */
typedef enum cw_view_result {
    CW_VIEW_OLDER,  /**< the list was not applied */
    CW_VIEW_SAME,   /**< the list has the same servers in the same states */
    CW_VIEW_CHANGED /**< another list is in force */
} cw_view_result_t;

/** Initialises a view without a list. */
void cw_server_view_init(cw_server_view_t *view, const cw_absence_settings_t *absence);
/** Releases the list and frees the departures. */
void cw_server_view_clear(cw_server_view_t *view);
/** Applies a list unless it is older than the one in force. The view gets the list's reference. CW_VIEW_CHANGED:
 * `before` is the former list (NULL: none), which the caller releases. */
cw_view_result_t cw_server_view_apply(cw_server_view_t *view, const cw_server_reading_t *reading, cw_time_us_t now,
                                      cw_server_list_t **before);
/** Records evidence that the list in force was still valid at this revision, unless later evidence is known. */
void cw_server_view_confirm(cw_server_view_t *view, uint64_t revision, const cw_list_evidence_t *evidence);
/** Removes the servers whose grace time is over. The result and `before` are those of cw_server_view_apply. */
cw_view_result_t cw_server_view_expire(cw_server_view_t *view, cw_time_us_t now, cw_server_list_t **before);
/** Returns the departure of the server with this id; NULL: none is known. */
const cw_server_departure_t *cw_server_view_departure(const cw_server_view_t *view, const char *id);

#endif
