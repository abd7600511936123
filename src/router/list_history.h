/**
 * @file list_history.h
 * @brief What changed in the list of servers since a number that the leader told: new states, and who was removed.
 *
 * Numbers rise by one with each list that differs. Removals are remembered up to a bound; a node that has an older list
 * than the oldest one remembered needs the whole list.
 */
#ifndef CEDARWINCH_ROUTER_LIST_HISTORY_H
#define CEDARWINCH_ROUTER_LIST_HISTORY_H

#include "model/server_list.h"

enum { CW_REMOVED_MAX = 256, CW_REMOVED_ID_MAX = 48 };

typedef struct cw_list_removal {
    char     id[CW_REMOVED_ID_MAX];
    uint64_t number; /**< of the first list without it */
} cw_list_removal_t;

typedef struct cw_list_history {
    uint64_t          oldest; /**< lists of this number and newer can be brought up to date by changes */
    cw_list_removal_t removed[CW_REMOVED_MAX]; /**< a ring */
    size_t            count;
    size_t            next;
} cw_list_history_t;

/** Begins anew with a list of this number; NULL: no list yet. */
void cw_list_history_begin(cw_list_history_t *history, cw_server_list_t *list, uint64_t number);
/** The list of the next number; marks its entries with the number in which they changed. before: NULL is allowed. */
void cw_list_history_add(cw_list_history_t *history, const cw_server_list_t *before, cw_server_list_t *list,
                         uint64_t number);
/** Can a node with the list of this number be told just what changed? */
bool cw_list_history_covers(const cw_list_history_t *history, uint64_t number);
/** Ids removed after the list of number `base`; returns how many. */
size_t cw_list_history_removed(const cw_list_history_t *history, uint64_t base, char **ids, size_t room);

#endif
