/**
 * @file store.h
 * @brief Stand-in of the platform's object store: objects by kind and name, revisions, conditions, pages, watches.
 *
 * Faults are asked for with POST /control?NAME=VALUE: down (ms), how (silent, busy, reset), slow (ms an answer),
 * lose (the next N writes are done and not answered), late (the next N writes are done a second later and not
 * answered), forget (history is dropped, watches are cut), refuse (PER CENT of calls get 429), mute (1: watches that
 * wait now or are sent from now on are never answered, on open connections; 0: later ones are again). With endpoint=N,
 * down and how strike just those who come by that endpoint, while the others are served: the store listens at several
 * ports.
 */
#ifndef CEDARWINCH_STANDINS_STORE_H
#define CEDARWINCH_STANDINS_STORE_H

#include <jansson.h>
#include <uv.h>

#include "net/http_listener.h"

enum { STORE_PAGE = 50, STORE_HISTORY = 500, STORE_ENDPOINTS_MAX = 16 };

typedef struct store_object {
    char                *kind;
    char                *name;
    uint64_t             revision;
    uint64_t             created;
    json_t              *spec;
    json_t              *status;
    struct store_object *next; /**< by kind, then name */
} store_object_t;

typedef struct store_change {
    uint64_t revision;
    char    *kind;
    json_t  *event;
} store_change_t;

typedef struct store_watch {
    cw_http_exchange_t *exchange;
    char               *kind;
    uint64_t            from;
    uv_timer_t          timer;
    bool                is_muted; /**< it is never answered */
    struct store       *store;
    struct store_watch *next;
} store_watch_t;

/** An outage: all calls until then get the same treatment. */
typedef struct store_outage {
    uint64_t until_ms;
    char     how[16];
} store_outage_t;

/** A port that the store listens at, and an outage of it alone. */
typedef struct store_endpoint {
    struct store       *store;
    cw_http_listener_t *listener;
    store_outage_t      outage;
} store_endpoint_t;

typedef struct store {
    uv_loop_t        loop;
    store_endpoint_t endpoints[STORE_ENDPOINTS_MAX];
    size_t           endpoint_count;
    store_object_t  *objects;
    uint64_t         revision;
    store_change_t   history[STORE_HISTORY];
    size_t           history_count;
    uint64_t         forgotten; /**< changes up to here are no longer known */
    store_watch_t   *watches;
    store_outage_t   outage; /**< of the whole store */
    uint64_t         slow_ms;
    uint32_t         lose;
    uint32_t         late;
    uint32_t         refuse_percent;
    bool             is_mute; /**< watches sent now are never answered */
    uint32_t         calls;
    size_t           page; /**< items of a listing in one answer */
} store_t;

/* ---- store_objects.c ---- */
store_object_t *store_find(store_t *store, const char *kind, const char *name);
store_object_t *store_put(store_t *store, const char *kind, const char *name, json_t *spec);
void            store_remove(store_t *store, store_object_t *object);
json_t         *store_object_json(const store_object_t *object);
json_t         *store_list(store_t *store, const char *kind, const char *after);
/** Changes of a kind after a revision; NULL: that history is gone. */
json_t *store_changes(store_t *store, const char *kind, uint64_t after);
void    store_forget(store_t *store);

#endif
