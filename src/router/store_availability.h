/**
 * @file store_availability.h
 * @brief Whether the store answers this node's calls.
 *
 * Rules:
 *  - Each call reports its outcome: answered (also with a refusal by condition), or failed.
 *  - The store counts as lost once calls have failed for CW_STORE_LOST_MS without an answer between them. One answer
 * ends that.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_STORE_AVAILABILITY_H
#define CEDARWINCH_ROUTER_STORE_AVAILABILITY_H

#include <stdbool.h>

#include "base/time.h"

enum {
    CW_STORE_LOST_MS = 500 /**< chosen, not measured */
};

/** What a call's outcome has changed. */
typedef enum cw_store_change { CW_STORE_AS_BEFORE, CW_STORE_LOST, CW_STORE_BACK } cw_store_change_t;

/** All zeros: no call has failed yet. */
typedef struct cw_store_availability {
    bool         is_lost;
    cw_time_us_t failing_since; /**< first failure since the last answer; 0: none */
    cw_time_us_t failed_at;     /**< last failure; 0: none */
} cw_store_availability_t;

/** A call has ended. The change is reported once: the caller logs it. */
cw_store_change_t cw_store_availability_note(cw_store_availability_t *reach, bool is_answered, cw_time_us_t now);
/** Time since the first failure after the last answer; 0: none. */
cw_time_us_t cw_store_availability_failing_for(const cw_store_availability_t *reach, cw_time_us_t now);

#endif
