/**
 * @file server_list.h
 * @brief The servers as the platform lists them: one snapshot, immutable and counted.
 *
 * A server's id names one incarnation of it (server_incarnation.h). A missing entry proves nothing about a server's
 * end; another id at its address does, and so does a later incarnation of the same server.
 */
#ifndef CEDARWINCH_MODEL_SERVER_LIST_H
#define CEDARWINCH_MODEL_SERVER_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "model/name_set.h"

/** What never changes of an incarnation, kept once for all lists that it stands in. */
typedef struct cw_server_identity cw_server_identity_t;

typedef struct cw_server_entry {
    char                 *id;
    char                 *service;
    char                 *address; /**< "IPv4:PORT" */
    char                 *zone;
    cw_server_identity_t *identity; /**< holds these four; NULL: each is memory of its own, until the first copy */
    uint32_t              capacity; /**< requests it works on at once */
    bool                  draining;
    uint64_t              sequence; /**< rises with each heartbeat */
    uint64_t     changed_in; /**< number of the leader's list in which it last changed; 0 at nodes that do not lead */
    cw_time_us_t cold_time;  /**< its warm-up still took so long when it wrote this; 0: it is warm */
    cw_time_us_t missing_since; /**< kept though its entry has been missing since then; 0: it has an entry */
} cw_server_entry_t;

typedef struct cw_server_list {
    cw_server_entry_t *entries; /**< sorted by id */
    size_t             count;
    size_t             capacity;
    cw_name_set_t      zones_out;  /**< out of service; of the same snapshot (zone_service.h) */
    uint32_t          *by_address; /**< places of the entries in order of their addresses; NULL: not looked for yet */
    int                references;
} cw_server_list_t;

cw_server_list_t  *cw_server_list_create(void);
cw_server_entry_t *cw_server_list_add(cw_server_list_t *list);
void               cw_server_list_seal(cw_server_list_t *list); /**< sorts; once, after the last was added */
/** Adds a copy of an entry, or replaces the one of its id; `sealed` entries are searched. To be sealed again. */
void cw_server_list_put(cw_server_list_t *list, size_t sealed, const cw_server_entry_t *entry);
/** A copy without the entries whose ids are given. */
cw_server_list_t *cw_server_list_copy_without(const cw_server_list_t *list, char *const *ids, size_t count);
/** Makes an entry a copy of another one of the same server. */
void cw_server_entry_replace(cw_server_entry_t *entry, const cw_server_entry_t *with);
/** Same for the same servers in the same states. */
uint64_t          cw_server_list_hash(const cw_server_list_t *list);
cw_server_list_t *cw_server_list_hold(cw_server_list_t *list);
void              cw_server_list_release(cw_server_list_t *list); /**< NULL is allowed */

const cw_server_entry_t *cw_server_list_find(const cw_server_list_t *list, const char *id);
/** The latest incarnation of the server whose id this is; NULL: none is listed. */
const cw_server_entry_t *cw_server_list_newest(const cw_server_list_t *list, const char *id);
/** The same by the server's name. */
const cw_server_entry_t *cw_server_list_newest_by_name(const cw_server_list_t *list, const char *name);
/** Entry that shows the incarnation's end: at this address with another id, or a later one of the same server; NULL:
 * none. */
const cw_server_entry_t *cw_server_list_successor(const cw_server_list_t *list, const char *id, const char *address);
/** What two lists have in common, in order of ids: each entry of either comes once. One of both is NULL where the other
 * list lacks the id. before: NULL for none. */
typedef void (*cw_server_compared_t)(void *context, const cw_server_entry_t *before, cw_server_entry_t *after);
void cw_server_lists_compare(const cw_server_list_t *before, cw_server_list_t *after, cw_server_compared_t compared,
                             void *context);
/** Same server in the same state (leaving, kept though missing, cold); sequences and times are not compared. */
bool cw_server_entry_same(const cw_server_entry_t *left, const cw_server_entry_t *right);
/** Same servers in the same states, and the same zones out of service; sequences and times are not compared. */
bool cw_server_list_same(const cw_server_list_t *left, const cw_server_list_t *right);

#endif
