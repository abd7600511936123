/**
 * @file server_list.h
 * @brief One snapshot of the servers that the platform lists, immutable and with a reference count.
 *
 * A server's id identifies one of its incarnations (server_incarnation.h). A missing entry does not prove that a server
 * has ended; a later incarnation of the same server does.
 */
#ifndef CEDARWINCH_MODEL_SERVER_LIST_H
#define CEDARWINCH_MODEL_SERVER_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "model/name_set.h"

/** The constant data of an incarnation, stored once for all lists that contain it. */
typedef struct cw_server_identity cw_server_identity_t;

/** A server as it is listed. */
typedef struct cw_server_entry {
    char                 *id;
    char                 *service;
    char                 *address; /**< "IPv4:PORT" */
    char                 *zone;
    cw_server_identity_t *identity; /**< owns these four texts; NULL: each is allocated separately, until a copy */
    uint32_t              capacity; /**< number of requests that it processes at the same time */
    bool                  draining;
    uint64_t              sequence; /**< increases with each heartbeat */
    uint64_t     changed_in; /**< version of the leader's list in which it last changed; 0 on nodes that do not lead */
    cw_time_us_t cold_time;  /**< remaining warm-up time when the server wrote the entry; 0: it is warm */
    cw_time_us_t missing_since; /**< since when its entry is missing although the server is kept; 0: it has an entry */
    cw_time_us_t keep_until;    /**< when a kept server is removed unless it has an entry again (server_absence.h) */
} cw_server_entry_t;

/** A snapshot with its reference count. */
typedef struct cw_server_list {
    cw_server_entry_t *entries; /**< sorted by id */
    size_t             count;
    size_t             capacity;
    cw_name_set_t      zones_out;  /**< zones out of service in the same snapshot (zone_service.h) */
    uint32_t          *by_address; /**< indexes of the entries, sorted by address; NULL: not computed yet */
    int                references;
} cw_server_list_t;

/** Creates an empty list with one reference. */
cw_server_list_t *cw_server_list_create(void);
/** Appends an entry of zeros. */
cw_server_entry_t *cw_server_list_add(cw_server_list_t *list);
/** Sorts the list; to be called once, after the last entry was added. */
void cw_server_list_seal(cw_server_list_t *list);
/** Adds a copy of an entry, or replaces the entry with the same id among the first `sealed` ones. The list has to be
 * sealed again. */
void cw_server_list_put(cw_server_list_t *list, size_t sealed, const cw_server_entry_t *entry);
/** Returns a copy without the entries whose ids are given. */
cw_server_list_t *cw_server_list_copy_without(const cw_server_list_t *list, char *const *ids, size_t count);
/** Replaces an entry by a copy of another entry of the same server. */
void cw_server_entry_replace(cw_server_entry_t *entry, const cw_server_entry_t *with);
/** Hash of the servers, their states and the zones out of service; independent of sequences and times. */
uint64_t cw_server_list_hash(const cw_server_list_t *list);
/** Takes another reference. */
cw_server_list_t *cw_server_list_retain(cw_server_list_t *list);
/** Releases a reference; the last one frees the list. NULL is allowed. */
void cw_server_list_release(cw_server_list_t *list);

/** Returns the entry with this id; NULL: none. */
const cw_server_entry_t *cw_server_list_find(const cw_server_list_t *list, const char *id);
/** Returns the latest listed incarnation of the server with this id; NULL: none is listed. */
const cw_server_entry_t *cw_server_list_newest(const cw_server_list_t *list, const char *id);
/** Returns the latest listed incarnation of the server with this name; NULL: none is listed. */
const cw_server_entry_t *cw_server_list_newest_by_name(const cw_server_list_t *list, const char *name);
/** Returns the entry of an incarnation of the same server that started later, by their ids; NULL: none. This one has
 * ended, however old the list is; but the later one takes orders that are meant for it. */
const cw_server_entry_t *cw_server_list_later_incarnation(const cw_server_list_t *list, const char *id);
/** Returns an entry with another id at this address, or a later incarnation of the same server; NULL: none. It proves
 * the end of the incarnation only in a list that is later than one that named it: an older list names the server that
 * had the address before. */
const cw_server_entry_t *cw_server_list_successor(const cw_server_list_t *list, const char *id, const char *address);
/** Called for an id in either of two lists; the entry of a list that lacks the id is NULL. */
typedef void (*cw_server_compared_t)(void *context, const cw_server_entry_t *before, cw_server_entry_t *after);
/** Calls `compared` for each id in either list, sorted by id. before: NULL counts as empty. */
void cw_server_lists_compare(const cw_server_list_t *before, cw_server_list_t *after, cw_server_compared_t compared,
                             void *context);
/** Whether both are the same server in the same state (capacity, leaving, kept although it is missing, cold); sequences
 * and times are not compared. */
bool cw_server_entry_same(const cw_server_entry_t *left, const cw_server_entry_t *right);
/** Whether both have the same servers in the same states and the same zones out of service; sequences and times are not
 * compared. */
bool cw_server_list_same(const cw_server_list_t *left, const cw_server_list_t *right);

#endif
