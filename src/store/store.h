/**
 * @file store.h
 * @brief Interface of a store of objects with revisions, conditional writes, listings and watches.
 *
 * The store is linearizable, and within an epoch it never loses a write that it acknowledged. In a later epoch it may
 * lack acknowledged writes, and gives their revisions out again (store_epoch.h). A write without an answer
 * (CW_STORE_UNKNOWN) may have been executed, or may still be executed later as long as its condition holds.
 * Therefore reading the object back proves nothing until another write has changed the object's revision.
 */
#ifndef CEDARWINCH_STORE_STORE_H
#define CEDARWINCH_STORE_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "model/configuration.h"
#include "model/server_list.h"

/** Outcome of a call to the store. */
typedef enum cw_store_result {
    CW_STORE_DONE,
    CW_STORE_NOT_FOUND,
    CW_STORE_CONFLICT, /**< the object has another revision, or exists already; nothing was written */
    CW_STORE_REFUSED,  /**< the store throttles or is down; nothing was written */
    CW_STORE_UNKNOWN   /**< no answer: a write may have been executed */
} cw_store_result_t;

/** Result of a read or write of one object. Valid during the callback only. */
typedef struct cw_store_reply {
    cw_store_result_t result;
    uint64_t          epoch;    /**< epoch of the store in which it answered, if it answered */
    uint64_t          revision; /**< revision of the object; 0: not stated */
    json_t *value;    /**< the object, NULL if not stated or unreadable; on a conflict its present value if the store
                         states it */
    bool is_answered; /**< the store answered, also if the result is CW_STORE_UNKNOWN: then its answer was unreadable */
} cw_store_reply_t;

/** Whether the store has answered a call. An answer that cannot be read shows that the store is in reach, too. */
static inline bool cw_store_reply_is_answer(const cw_store_reply_t *reply)
{
    return reply->is_answered || (reply->result != CW_STORE_REFUSED && reply->result != CW_STORE_UNKNOWN);
}

/** Called once with the result of a call; context: the `data` of the call. */
typedef void (*cw_store_replied_t)(void *context, const cw_store_reply_t *reply);

/** Result of one read of the list of servers. */
typedef struct cw_servers_read {
    cw_server_list_t *list;     /**< NULL: the read failed; otherwise a reference that passes to the receiver */
    uint64_t          revision; /**< revision of the store up to which the list holds all changes */
    uint64_t latest;  /**< revision after which the list holds no changes; it is later than `revision` if the list was
                         read in several calls, since changes made between them may be included */
    cw_time_us_t lag; /**< changes made within this time before the read may be missing */
    bool         is_answered; /**< list is NULL: the store answered, though with nothing that can be used */
    cw_time_us_t asked_at;    /**< when the last call of the read was sent */
    bool         needs_whole; /**< list is NULL: the store answered, but the changes are not known to it any more */
} cw_servers_read_t;

/** Callbacks that an adapter calls for its watches and reads. Objects are passed as references that the receiver owns.
 */
typedef struct cw_store_callbacks {
    void *context;
    /** A configuration was read. NULL: it cannot be used, and `problem` says why. */
    void (*configuration)(void *context, cw_configuration_t *configuration, const char *problem);
    /** A change of the configuration has to be reported within this time. The adapter may use part of this time,
     * but not all of it, to wait for further changes. */
    cw_time_us_t configuration_within;
    /** An answer of the store shows that no configuration with a version above this one had been acknowledged at time
     * `at`. */
    void (*configuration_newest)(void *context, uint64_t version, cw_time_us_t at);
    /** The first answer of the store, and each one of a later epoch than all before (store_epoch.h). NULL: not
     * reported.
     */
    void (*epoch)(void *context, uint64_t epoch);
    /** The store answered a call of a watch or periodic read, or one of the calls that a read of the list takes (true),
     * or a read of the configuration got no answer (false). asked_at: when the call was sent. */
    void (*answered)(void *context, bool is_answered, cw_time_us_t asked_at);
    /** Operators may take zones out of service in this store. Each read of the servers then also returns these zones.
     */
    bool zones_can_be_taken_out;
    /** A read of the list of servers has ended. */
    void (*servers)(void *context, const cw_servers_read_t *read);
} cw_store_callbacks_t;

enum {
    /** The changes since a list can be read if it was up to date this lately: the store drops its history after some
     * time. */
    CW_STORE_CHANGES_AGE_MAX_MS = 8000
};

/** How a list of servers is read. */
typedef enum cw_list_read {
    CW_LIST_READ,         /**< by its changes if that is possible, else whole */
    CW_LIST_READ_CHANGES, /**< only by its changes, if it is longer than one page */
    CW_LIST_READ_COPY     /**< whole, from a copy that may be seconds old, at a fraction of the cost */
} cw_list_read_t;

/** Operations that the router needs from a store. Each call's callback is called exactly once, from the event loop. */
typedef struct cw_store_port {
    void *context;
    void (*read)(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data);
    void (*create)(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                   void *data);
    void (*replace)(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                    cw_store_replied_t replied, void *data);
    /** As read, but from a copy that may be seconds old, at a fraction of the cost. The result proves nothing about the
     * present state. */
    void (*read_copy)(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data);
    /** Reads the list of servers; the result is passed to servers() of the readers, also during this call. */
    void (*read_servers)(void *context, cw_list_read_t how);
    /** This node got the list as of this revision from another node, and it was valid at this time. The next read needs
     * only the changes after it. */
    void (*set_known_servers)(void *context, const cw_server_list_t *list, uint64_t revision, cw_time_us_t valid_at);
    /** Reads the configuration immediately, and again after a short pause until it succeeds. A present watch is
     * replaced by a new one, since its connection may be dead.
     */
    void (*read_configuration)(void *context);
    /** The configuration that read_configuration was to bring has come from another node: the reading is given up. */
    void (*forget_configuration_reading)(void *context);
    /** Keeps a watch (long poll) of the configuration that the store may hold open for `wait`; 0: no watch. Without a
     * call there is no watch: the configuration is read once, from a copy. A present watch whose timeout expires later
     * than that of a watch of `wait` begun now is replaced by the latter, since its connection may be dead. */
    void (*watch_configuration)(void *context, cw_time_us_t wait);
} cw_store_port_t;

#endif
