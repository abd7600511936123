/**
 * @file list_history.h
 * @brief What changed in the list of servers since an earlier version: the entries that changed and those removed.
 *
 * The leader gives each list a version, which rises by one with each list that differs from the one before. A bounded
 * number of removals is kept. A node whose list is older than the oldest removal kept needs the whole list.
 */
#ifndef CEDARWINCH_ROUTER_LIST_HISTORY_H
#define CEDARWINCH_ROUTER_LIST_HISTORY_H

#include "model/server_list.h"

enum {
    CW_REMOVED_MAX = 256,  /**< removals kept */
    CW_REMOVED_ID_MAX = 48 /**< bytes of an id with its terminator */
};

/** A server that was removed from the list. */
typedef struct cw_list_removal {
    char     id[CW_REMOVED_ID_MAX];
    uint64_t version; /**< version of the first list without the server */
} cw_list_removal_t;

/** The last removals, and the oldest list that changes can bring up to date. */
typedef struct cw_list_history {
    uint64_t          oldest;                  /**< changes can bring lists of this version and newer ones up to date */
    cw_list_removal_t removed[CW_REMOVED_MAX]; /**< ring buffer */
    size_t            count;                   /**< removals kept */
    size_t            next;                    /**< index for the next removal */
} cw_list_history_t;

/** Starts over with a list of this version; NULL: there is no list yet. */
void cw_list_history_begin(cw_list_history_t *history, cw_server_list_t *list, uint64_t version);
/** Adds the list of the next version, and marks its entries with the version in which they changed. before: the list
 * before it, or NULL. */
void cw_list_history_add(cw_list_history_t *history, const cw_server_list_t *before, cw_server_list_t *list,
                         uint64_t version);
/** True if a node with the list of this version can be sent only what changed. */
bool cw_list_history_covers(const cw_list_history_t *history, uint64_t version);
/** Ids of servers removed after the list of version `base`, at most `room`; returns how many. The ids are borrowed. */
size_t cw_list_history_removed(const cw_list_history_t *history, uint64_t base, char **ids, size_t room);

#endif
