/**
 * @file store_epoch.h
 * @brief Epochs of the store, and revisions that can be compared across them.
 *
 * The store may come back from a copy that is some seconds old. What it had acknowledged since the copy is gone, and
 * its revisions go back and are given out again. Its epoch, which it states in each answer, rises with each such
 * return.
 *
 * Rules:
 *  - A revision is kept and compared together with the epoch of the answer that stated it, as one number. A revision of
 *    a later epoch is later, whatever the store's own counts are. The adapter joins the two when it decodes an answer,
 *    and separates them when it encodes a call; nothing else does.
 *  - A write that depends on a revision, or a watch from it, says nothing if it is answered in another epoch: the same
 *    count may stand for another state. The adapter reports such a write as one with an unknown outcome, and such a
 *    watch as one whose history is gone.
 *  - What the store kept from an earlier epoch proves nothing about the time since it was written: later changes may be
 *    lost, and their effects may still be in force. Whoever needs to know (the lock, the records of assignments) writes
 *    the epoch into the object, as a stamp.
 *  - A store that states no epoch is in epoch 0. One that states an epoch later on has come back from a copy, too.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_MODEL_STORE_EPOCH_H
#define CEDARWINCH_MODEL_STORE_EPOCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/** Largest count of the store's own within a revision: changes for ten years at 3,000 a second. */
#define CW_STORE_COUNT_MAX ((UINT64_C(1) << 40) - 1)
/** Largest epoch within a revision. */
#define CW_STORE_EPOCH_MAX ((UINT64_C(1) << 22) - 1)

/** What a process has seen of the store's epochs. All zeros: nothing yet. */
typedef struct cw_store_epochs {
    uint64_t     current;     /**< latest epoch that was seen */
    bool         is_known;    /**< an answer was seen */
    cw_time_us_t known_at;    /**< when the first one was seen */
    bool         has_changed; /**< a later epoch was seen after the first one */
    cw_time_us_t changed_at;  /**< when the current epoch was first seen, if has_changed */
} cw_store_epochs_t;

/** Joins an epoch and the store's own count. A count of 0 (not known) gives 0. Values above the limits are cut to them.
 */
uint64_t cw_store_revision_join(uint64_t epoch, uint64_t count);
/** Returns the epoch of a revision. */
uint64_t cw_store_revision_epoch(uint64_t revision);
/** Returns the store's own count of a revision. */
uint64_t cw_store_revision_count(uint64_t revision);

/** Records the epoch of an answer. Returns true if it is later than all that
 * were seen before: the store has come back from a copy. */
bool cw_store_epochs_observe(cw_store_epochs_t *epochs, uint64_t epoch, cw_time_us_t now);
/** Returns the stamp of objects that are written in this epoch: the epoch plus one. 0 is no stamp: the writer's release
 * has no epochs. */
uint64_t cw_store_epoch_stamp(uint64_t epoch);
/** Whether an object with this stamp may lack later changes than were acknowledged. One without a stamp may if this
 * process has seen the epoch change. */
bool cw_store_epochs_is_outdated(const cw_store_epochs_t *epochs, uint64_t stamp);
/** Adds the stamp to a stored object, as its field "epoch"; nothing if it is 0. */
void cw_store_stamp_to_json(json_t *object, uint64_t stamp);
/** Returns the stamp of a stored object; 0: it has none. */
uint64_t cw_store_stamp_from_json(const json_t *object);

#endif
