/**
 * @file store.h
 * @brief Port to a store of objects with revisions, conditional writes, listings and watches.
 *
 * The store is linearizable and never loses what it acknowledged. A write whose answer did not come (CW_STORE_UNKNOWN)
 * may have been done, or may still be done as long as its condition holds: reading the object back proves nothing until
 * another write has moved its revision.
 */
#ifndef CEDARWINCH_STORE_STORE_H
#define CEDARWINCH_STORE_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "model/configuration.h"
#include "model/server_list.h"

typedef enum cw_store_result {
    CW_STORE_DONE,
    CW_STORE_NOT_FOUND,
    CW_STORE_CONFLICT, /**< another revision, or it exists already: nothing was done */
    CW_STORE_REFUSED,  /**< throttled or down: nothing was done */
    CW_STORE_UNKNOWN   /**< no answer */
} cw_store_result_t;

/** What a read or a write of one object brought. Borrowed for the callback. */
typedef struct cw_store_reply {
    cw_store_result_t result;
    uint64_t          revision; /**< of the object; 0: not stated */
    json_t           *value;    /**< NULL: not stated. On a conflict the object as it is, where the store states it */
} cw_store_reply_t;

typedef void (*cw_store_replied_t)(void *context, const cw_store_reply_t *reply);

/** A reading of the list of servers. */
typedef struct cw_servers_read {
    cw_server_list_t *list;     /**< NULL: it could not be read. Else a reference that is given away */
    uint64_t          revision; /**< all changes up to this one of the store are in it, */
    uint64_t     latest; /**< and none later than this: what is read in several calls may hold some made meanwhile */
    cw_time_us_t lag;    /**< what changed in so long before the reading may be missing */
} cw_servers_read_t;

/** Callbacks of a store's standing readers. Each gives a reference away. */
typedef struct cw_store_readers {
    void *context;
    void (*configuration)(void *context, cw_configuration_t *configuration, const char *problem);
    /** A change of it has to be reported within this; the adapter may wait for others that follow, but not for all of
     * it.
     */
    cw_time_us_t configuration_within;
    /** An answer of the store shows: no configuration above this version had been acknowledged at that moment. */
    void (*configuration_newest)(void *context, uint64_t version, cw_time_us_t at);
    /** The store answered a call of a standing reader, or left a reading of the configuration without an answer. */
    void (*answered)(void *context, bool is_answered);
    /** Operators may take zones out of service here: each reading of the servers also brings which are. */
    bool zones_can_be_taken_out;
    void (*servers)(void *context, const cw_servers_read_t *read);
} cw_store_readers_t;

/** What the router asks of a store. A call's callback comes once, from the loop. */
typedef struct cw_store_port {
    void *context;
    void (*read)(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data);
    void (*create)(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                   void *data);
    void (*replace)(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                    cw_store_replied_t replied, void *data);
    /** The same as read, from a copy that may be seconds old, at a fraction of the price: never a proof of anything. */
    void (*read_copy)(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data);
    /** Reads the list of servers; the answer goes to the readers' servers(). from_copy:
     * it may be seconds old. */
    void (*read_servers)(void *context, bool from_copy);
    /** This node knows the list as of this revision, from another node: the next reading needs only what changed since.
     */
    void (*set_known_servers)(void *context, const cw_server_list_t *list, uint64_t revision);
    /** Reads the configuration at once; a standing watch begins anew, since the present one may be dead. */
    void (*read_configuration)(void *context);
    /** Keeps a standing watch of the configuration that the store may hold for `wait`; 0: none. None at first: the
     * configuration is read once, from a copy. A watch that would be given up later than one of `wait` begun now is
     * replaced by such a one: it may be dead. */
    void (*watch_configuration)(void *context, cw_time_us_t wait);
} cw_store_port_t;

#endif
