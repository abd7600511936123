/**
 * @file range.h
 * @brief Ranges of keys, their owners and fences: the record that the store keeps for each service divided by key.
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

/** One life of a server. An empty id: none. */
typedef struct cw_holder {
    char     id[CW_SERVER_ID_MAX];
    char     address[CW_SERVER_ADDRESS_MAX];
    uint64_t fence; /**< under which it was given the range */
} cw_holder_t;

typedef enum cw_range_phase {
    CW_RANGE_RELEASING, /**< the former holder has to let go, or its hold to run out */
    CW_RANGE_GRANTING,  /**< the owner has not taken the grant yet */
    CW_RANGE_HELD
} cw_range_phase_t;

typedef struct cw_range {
    uint32_t    low;
    uint32_t    last;
    cw_holder_t owner;
    cw_holder_t former; /**< holder before the owner, while the move is not finished */

    /* What only the leader of the moment knows. */
    cw_range_phase_t phase;
    bool             keeps_serving; /**< the owner held these keys before this grant: requests go on */
    char             handover[CW_HANDOVER_MAX];
    cw_time_us_t     former_until; /**< the former holder's hold has surely run out */
    cw_time_us_t     hold_until;   /**< the owner's hold has surely run out, whatever became of the orders sent */
    cw_time_us_t     taken_at;     /**< sending time of the last grant that was answered; 0: none */
    cw_time_us_t     next_order;
    cw_time_us_t     failing_since; /**< orders to the owner go without an answer since; 0: no */
    cw_time_us_t     unanswered_at; /**< last order to the owner that may still be carried out; 0: none */
    cw_time_us_t     moved_at;
    bool             owner_ended; /**< another life answers at the owner's address */
    bool             fence_used;  /**< an order with the owner's fence may have reached its address */
    bool             needs_fence; /**< a later incarnation may answer there: nothing more is granted under this fence */
    uint32_t         orders;      /**< under way */
} cw_range_t;

typedef struct cw_range_list {
    cw_range_t *items;
    size_t      count;
    size_t      capacity;
} cw_range_list_t;

/** The record as stored. */
typedef struct cw_assignment_record {
    uint64_t        term;       /**< of the leader that wrote it */
    uint64_t        write;      /**< number of the write within that leader's life */
    uint64_t        writer;     /**< incarnation of that leader */
    uint64_t        last_fence; /**< highest fence ever given */
    cw_range_list_t ranges;
} cw_assignment_record_t;

cw_range_t *cw_range_list_add(cw_range_list_t *list);
void        cw_range_list_copy(cw_range_list_t *to, const cw_range_list_t *from);
void        cw_range_list_clear(cw_range_list_t *list);
/** Range of a key; NULL: the list is empty. */
cw_range_t *cw_range_list_find(const cw_range_list_t *list, uint32_t key);
/** Cuts the range at `index` so that one begins at `low`; true when there were two made of one. */
bool cw_range_list_split(cw_range_list_t *list, size_t index, uint32_t low);
/** May requests go to the owner now? */
bool cw_range_is_routable(const cw_range_t *range);
/** In order, without gaps, from 0 to CW_KEY_LAST. */
bool cw_range_list_is_complete(const cw_range_list_t *list);

json_t *cw_assignment_record_to_json(const cw_assignment_record_t *record);
/** False: malformed; the record is then empty. */
bool cw_assignment_record_from_json(cw_assignment_record_t *record, const json_t *value);

#endif
