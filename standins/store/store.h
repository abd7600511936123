/**
 * @file store.h
 * @brief Stand-in for the platform's object store: objects by kind and name, with revisions, conditional writes, paged
 *        listings and watches.
 *
 * Faults are requested with POST /control?NAME=VALUE, several of them joined by "&":
 *
 *  - down=MS: an outage of so many milliseconds; how=silent|busy|reset: calls get no answer, 503 or a reset connection
 *  - slow=MS: each answer is delayed by this time
 *  - lose=N: the next N successful writes are not answered
 *  - late=N: the next N writes are done a second later and not answered
 *  - forget=1: the history of changes is dropped, and watches from an earlier revision are answered 410
 *  - refuse=PERCENT: this share of calls gets 429
 *  - mute=1: watches that wait now or begin from now on are never answered, though their connections stay open;
 *    mute=0: watches that begin later are answered again
 *  - endpoint=N: down and how apply to calls by the N-th port only; calls by the other ports are served
 *  - late-ms=MS: late writes are done after this time instead of a second
 *  - copy-lag=MS: calls with stale=1 are answered from a copy that is so old (store_copies.c), 0: from the store itself
 *  - list-slow=MS: answers to listings of servers and to watches of them are delayed by this time; a listing shows the
 *    state at the time of its call
 *  - list-mute=1: as mute, for watches of servers only
 *  - lapse=MS: entries of servers that have not been written for this time are removed; 0: they stay
 *  - save=1: a copy of the store is taken
 *  - restore=1: with down=MS, the store returns after the outage as it was in the last copy (store_restore.c), and the
 *    number in the header Store-Era of its answers rises by one
 */
#ifndef CEDARWINCH_STANDINS_STORE_H
#define CEDARWINCH_STANDINS_STORE_H

#include <jansson.h>
#include <uv.h>

#include "net/http_listener.h"

enum {
    STORE_PAGE_ITEMS = 50,  /**< items of a listing in one answer, by default */
    STORE_HISTORY = 500,    /**< greatest number of changes in the history */
    STORE_REWRITE_MS = 400, /**< time from a return from a copy until the operator's and servers' writes are repeated */
    STORE_ENDPOINTS_MAX = 16,  /**< ports that the store can listen at */
    STORE_COPY_EVERY_MS = 100, /**< interval between the copies that calls with stale=1 are answered from */
    STORE_COPIES = 100         /**< number of these copies, so that the oldest is about ten seconds old */
};

/** A stored object, in a list sorted by kind and name. */
typedef struct store_object {
    char                *kind;
    char                *name;
    uint64_t             revision;
    uint64_t             created;    /**< revision at the creation */
    uint64_t             written_ms; /**< time of its last change */
    json_t              *spec;
    json_t              *status;
    struct store_object *next;
} store_object_t;

/** A change of an object, as watches report it. */
typedef struct store_change {
    uint64_t revision;
    char    *kind;
    json_t  *event;
} store_change_t;

/** A watch that waits for changes. */
typedef struct store_watch {
    cw_http_exchange_t *exchange; /**< NULL: its caller has disconnected */
    char               *kind;
    uint64_t            from; /**< it reports changes after this revision */
    uv_timer_t          timer;
    bool                is_muted; /**< it is never answered */
    struct store       *store;
    struct store_watch *next;
} store_watch_t;

/** An outage: until it ends, all calls fail in the same way. */
typedef struct store_outage {
    uint64_t until_ms;
    char     how[16]; /**< silent, busy or reset */
} store_outage_t;

/** A port that the store listens at, with an outage that concerns this port only. */
typedef struct store_endpoint {
    struct store       *store;
    cw_http_listener_t *listener;
    store_outage_t      outage;
} store_endpoint_t;

/** A copy of the store. */
typedef struct store_copy {
    store_object_t *objects;
    uint64_t        revision; /**< 0: there is no copy */
} store_copy_t;

/** Copies of the last seconds, from which calls with stale=1 are answered. */
typedef struct store_copies {
    store_copy_t copies[STORE_COPIES]; /**< the oldest one first */
    uint64_t     taken_ms[STORE_COPIES];
    size_t       count;
    uint64_t     lag_ms; /**< 0: none are taken */
    uv_timer_t   timer;
} store_copies_t;

/** State of the stand-in. */
typedef struct store {
    uv_loop_t        loop;
    store_endpoint_t endpoints[STORE_ENDPOINTS_MAX];
    size_t           endpoint_count;
    store_object_t  *objects;
    uint64_t         revision;
    store_change_t   history[STORE_HISTORY];
    size_t           history_count;
    uint64_t         forgotten_revision; /**< changes up to this revision are not in the history any more */
    store_watch_t   *watches;
    store_outage_t   outage; /**< of the whole store */
    store_copy_t     copy;
    store_object_t  *lost;  /**< objects at the last loss, until the operator's and servers' writes are repeated */
    uint64_t         epoch; /**< in the header Store-Era of all answers */
    uv_timer_t       return_timer;
    uv_timer_t       rewrite_timer;
    uint64_t         slow_ms;
    uint64_t         late_ms; /**< after which late writes are done */
    uint32_t         lose;    /**< writes left that are done and not answered */
    uint32_t         late;    /**< writes left that are done late and not answered */
    uint32_t         refuse_percent;
    bool             is_mute;      /**< watches that begin now are never answered */
    bool             is_list_mute; /**< the same for watches of servers */
    uint64_t         list_slow_ms; /**< delay of answers about servers */
    uint64_t         lapse_ms;     /**< after which entries of servers lapse; 0: never */
    uv_timer_t       lapse_timer;
    store_copies_t   recent_copies; /**< for calls with stale=1 */
    uint32_t         calls;
    size_t           page_items; /**< number of items of a listing in one answer */
} store_t;

/* ---- store_objects.c ---- */
/** Finds an object; NULL: there is none. */
store_object_t *store_find(store_t *store, const char *kind, const char *name);
/** Creates or replaces an object. */
store_object_t *store_put(store_t *store, const char *kind, const char *name, json_t *spec);
/** Removes and frees an object. */
void store_remove(store_t *store, store_object_t *object);
/** An object as calls return it. */
json_t *store_object_json(const store_object_t *object);
/** One page of the objects of a kind in a copy, from the first name after `after` on; NULL: from the first one. */
json_t *store_list(const store_t *store, const store_copy_t *copy, const char *kind, const char *after);
/** Changes of a kind after a revision; NULL: the history does not reach back so far. */
json_t *store_changes(store_t *store, const char *kind, uint64_t after);
/** Drops the history of changes. */
void store_forget(store_t *store);
/** Drops the changes after a revision from the history. */
void store_truncate_history(store_t *store, uint64_t revision);
/** Finds an object in a list; NULL: there is none. */
store_object_t *store_find_in(store_object_t *objects, const char *kind, const char *name);
/** Frees an object that is in no list. */
void store_object_free(store_object_t *object);

/* ---- store_copies.c ---- */
/** Initialises the timer of the copies. */
void store_init_copies(store_t *store);
/** Begins to take copies, or ends it if the lag is 0. */
void store_set_copy_lag(store_t *store, uint64_t lag_ms);
/** The copy that a call with stale=1 is answered from: the state as it was lag_ms ago, or the oldest known. */
store_copy_t store_lagging_copy(const store_t *store);
/** Drops all copies, since the store has come back from a copy of itself. */
void store_drop_copies(store_t *store);

/* ---- store_restore.c ---- */
/** Copies a list of objects. */
store_object_t *store_copy_objects(const store_object_t *objects);
/** Frees a list of objects. */
void store_free_objects(store_object_t *objects);
/** Initialises timers and epoch. */
void store_init_restore(store_t *store);
/** Takes a copy of the store, in place of the last one. */
void store_save(store_t *store);
/** Brings the store back from the last copy after this time. Nothing happens if there is none. */
void store_restore_after(store_t *store, uint64_t after_ms);

/* ---- main.c ---- */
/** Answers the watches that wait for changes which there are now. */
void store_answer_watches(store_t *store);

/* ---- store_bytes.c ---- */
/** Replaces each "raw-hex(DIGITS)" in an answer by the bytes that the digits stand for. So callers can leave bytes that
 * are no JSON in an object, in one of its texts. Returns the length. */
size_t store_insert_bytes(char *text);

#endif
