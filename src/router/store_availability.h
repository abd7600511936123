/**
 * @file store_availability.h
 * @brief Whether the store answers this node's calls.
 *
 * Rules:
 *  - Each call reports its outcome: answered, or failed. A write that the store refuses because its condition does
 *    not hold counts as answered. So does a call whose answer cannot be read: the store is in reach, and it
 * acknowledges leaves of servers to others.
 *  - The store counts as lost once calls have failed for CW_STORE_LOST_MS without an answer in between. One answer
 *    ends that state.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_STORE_AVAILABILITY_H
#define CEDARWINCH_ROUTER_STORE_AVAILABILITY_H

#include <stdbool.h>

#include "base/time.h"

enum {
    CW_STORE_LOST_MS = 500, /**< time of failures without an answer after which the store counts as lost */
    /** A call without an answer for so long is evidence that the store is out of reach: usual answers take a tenth. */
    CW_STORE_UNANSWERED_MS = 400
};

/** Change of the state that the outcome of a call has caused. */
typedef enum cw_store_availability_change {
    CW_STORE_UNCHANGED,
    CW_STORE_LOST,
    CW_STORE_BACK
} cw_store_availability_change_t;

/** Outcomes of the calls so far. All zeros: no call has failed yet. */
typedef struct cw_store_availability {
    bool         is_lost;
    cw_time_us_t failing_since;   /**< first failure since the last answer; 0: none */
    cw_time_us_t failed_at;       /**< last failure; 0: none */
    cw_time_us_t failed_asked_at; /**< when the latest call that failed was sent; 0: none has */
    cw_time_us_t answered_at;     /**< last answer; 0: none */
} cw_store_availability_t;

/** Records the outcome of a call that was sent at `asked_at`. Each change of the state is returned once, so that the
 * caller can log it. */
cw_store_availability_change_t cw_store_availability_record(cw_store_availability_t *availability, bool is_answered,
                                                            cw_time_us_t asked_at, cw_time_us_t now);
/** Whether the store is out of this node's reach now: the last call has failed, less than `recent` ago, or a call that
 * was made at `asked_at` (0: none is in flight) is without an answer for CW_STORE_UNANSWERED_MS. */
bool cw_store_availability_is_out(const cw_store_availability_t *availability, cw_time_us_t asked_at,
                                  cw_time_us_t recent, cw_time_us_t now);
/** Time since the first failure after the last answer; 0: no call has failed since then. */
cw_time_us_t cw_store_availability_failing_for(const cw_store_availability_t *availability, cw_time_us_t now);

#endif
