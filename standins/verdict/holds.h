/**
 * @file holds.h
 * @brief Rule HELD: no two servers that are up hold the same key at the same time for more than half a second, whether
 *        requests run on it or not.
 *
 * An incarnation holds a key from a grant until it releases the key, until the time of its last grant has passed,
 * until it stops or crashes, until the test's record `gone` (it was killed, and its process had ended), or until
 * another incarnation starts at its address. Grants name the time of the hold; grants without one are not counted. Half
 * a second is what the transport of an order and a slow clock may take. A hold by a grant that the server kept for a
 * while before it carried it out (late_ms of its record) counts in the totals only: "Grants and renewals held up on
 * their way or taken late are not counted" (the users' rules). It counts in full if a grant in time renews it.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_HOLDS_H
#define CEDARWINCH_STANDINS_VERDICT_HOLDS_H

#include <stdint.h>

#include "records.h"

/** What was counted beside the violations. */
typedef struct holds_totals {
    uint64_t grants;   /**< grants with a hold's time */
    uint64_t together; /**< times that two servers held the same keys, however shortly: no violation by itself */
} holds_totals_t;

/** Checks all holds. */
holds_totals_t holds_check(const records_t *records);

#endif
