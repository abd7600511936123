/**
 * @file range.h
 * @brief Ranges of keys with their owners and fences: the record that the store holds for each service divided by key.
 *
 * Keys are numbers from 0 to CW_KEY_LAST. The ranges of a service are in order, without gaps and without overlaps.
 */
#ifndef CEDARWINCH_ASSIGNMENT_RANGE_H
#define CEDARWINCH_ASSIGNMENT_RANGE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "model/server_incarnation.h"

enum { CW_KEY_LAST = 65535, CW_SERVER_ADDRESS_MAX = 32, CW_HANDOVER_MAX = 64 };

/** An incarnation of a server that holds a range. An empty id: none. */
typedef struct cw_holder {
    char     id[CW_SERVER_ID_MAX];
    char     address[CW_SERVER_ADDRESS_MAX];
    uint64_t fence; /**< with which the range was granted to it */
} cw_holder_t;

/** Phase of a range's assignment to its owner. */
typedef enum cw_range_phase {
    CW_RANGE_RELEASING, /**< the former holder has to release the range, or its hold has to expire */
    CW_RANGE_GRANTING,  /**< the owner has not confirmed the grant yet */
    CW_RANGE_HELD
} cw_range_phase_t;

/** Consecutive keys with one owner. */
typedef struct cw_range {
    uint32_t    low;
    uint32_t    last;
    cw_holder_t owner;
    cw_holder_t former; /**< holder before the owner, while the move is not finished */

    /* State of the current leader, not stored. */
    cw_range_phase_t phase;
    bool             keeps_serving; /**< the owner held these keys before this grant, so requests are still routed */
    char             handover[CW_HANDOVER_MAX];
    cw_time_us_t     former_until; /**< when the former holder's hold has certainly expired */
    cw_time_us_t     hold_until; /**< when the owner's hold has certainly expired, for any outcome of the orders sent */
    uint64_t         hold_order; /**< last order that set hold_until; 0: none */
    cw_time_us_t     confirmed_at;  /**< when the last grant left that the owner confirmed; 0: none */
    cw_time_us_t     next_order;    /**< when the next order is due */
    cw_time_us_t     failing_since; /**< since when orders about this range have failed; 0: the last one did not */
    cw_time_us_t     unanswered_at; /**< last order to the owner that it may still carry out; 0: none */
    cw_time_us_t     moved_at;      /**< when the present owner and fence were committed */
    bool             owner_ended;   /**< another incarnation answers at the owner's address */
    bool             fence_used;    /**< an order with the owner's fence may have reached its address */
    bool             awaits_answer; /**< its grant is due, and waits for the owner's answer to a probe */
    bool             needs_fence; /**< a later incarnation may answer at the address: no more grants with this fence */
    uint32_t         orders;      /**< in flight */
} cw_range_t;

/** The ranges of a service, sorted by key. */
typedef struct cw_range_list {
    cw_range_t *items;
    size_t      count;
    size_t      capacity;
} cw_range_list_t;

/** The stored record of a service's assignments. */
typedef struct cw_assignment_record {
    uint64_t        term;        /**< of the leader that wrote it */
    uint64_t        write;       /**< sequence number of the write within that leader's incarnation */
    uint64_t        writer;      /**< incarnation of that leader */
    uint64_t        last_fence;  /**< highest fence assigned so far */
    uint64_t        epoch_stamp; /**< of the store's epoch, as known to that leader (store_epoch.h); 0: none */
    bool            is_waiting;  /**< holds may be in force that another record granted, which is lost */
    cw_range_list_t ranges;
} cw_assignment_record_t;

/** Appends a range of zeros. */
cw_range_t *cw_range_list_add(cw_range_list_t *list);
/** Replaces the contents of `to` by a copy. */
void cw_range_list_copy(cw_range_list_t *to, const cw_range_list_t *from);
/** Frees the ranges. */
void cw_range_list_clear(cw_range_list_t *list);
/** Returns the range of a key; NULL: the list is empty. */
cw_range_t *cw_range_list_find(const cw_range_list_t *list, uint32_t key);
/** Splits the range at `index` so that a range begins at `low`. False: `low` is not inside the range, nothing was done.
 */
bool cw_range_list_split(cw_range_list_t *list, size_t index, uint32_t low);
/** Whether requests may be sent to the owner now. */
bool cw_range_is_routable(const cw_range_t *range);
/** Whether the ranges are in order and cover 0 to CW_KEY_LAST without gaps. */
bool cw_range_list_is_complete(const cw_range_list_t *list);

/** Encodes a record in its stored form. */
json_t *cw_assignment_record_to_json(const cw_assignment_record_t *record);
/** Decodes a stored record. False: it is malformed, and the ranges of the record are empty. */
bool cw_assignment_record_from_json(cw_assignment_record_t *record, const json_t *value);

#endif
