/**
 * @file assigner_record.c
 * @brief Reads and writes the record in the store, adopts an earlier leader's record, and notices a later leader's.
 */
#include "assignment/assigner_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "model/store_epoch.h"

enum {
    DETAIL_BYTES = 120,
    RETRY_MS = 150,      /* after a refused write and after a failed read */
    TERM_FENCE_BITS = 32 /* fences stay exact as JSON numbers for terms up to two million */
};

static void on_written(void *data, const cw_store_reply_t *reply);
static void on_read(void *data, const cw_store_reply_t *reply);

static void call_write(cw_assigner_t *assigner)
{
    json_t *value;

    assigner->plan.epoch_stamp = cw_store_epoch_stamp(assigner->epoch);
    assigner->plan.is_waiting = assigner->now < assigner->first_grant_at;
    value = cw_assignment_record_to_json(&assigner->plan);
    cw_assigner_write_notices(assigner, value);
    assigner->calling = true;
    if (assigner->revision == 0) {
        assigner->ports.store->create(assigner->ports.store->context, CW_ASSIGNMENTS_KIND, assigner->service, value,
                                      on_written, assigner);
    } else {
        assigner->ports.store->replace(assigner->ports.store->context, CW_ASSIGNMENTS_KIND, assigner->service,
                                       assigner->revision, value, on_written, assigner);
    }
    json_decref(value);
}

static void call_read(cw_assigner_t *assigner)
{
    assigner->calling = true;
    assigner->ports.store->read(assigner->ports.store->context, CW_ASSIGNMENTS_KIND, assigner->service, on_read,
                                assigner);
}

/* Whether this leader has written the record in its tenure, so that its own state is the latest one. */
static bool has_written(const cw_assigner_t *assigner)
{
    return assigner->record.ranges.count > 0;
}

/* Whether the record was written before a restore of the store, so that later changes of it may be lost, or by a leader
 * that still waited for the end of the holds that a lost record had granted. */
static bool is_outdated(const cw_assigner_t *assigner, const cw_assignment_record_t *record)
{
    if (record->is_waiting) {
        return true;
    }
    return record->epoch_stamp == 0 ? assigner->settings.loss.is_seen
                                    : record->epoch_stamp < cw_store_epoch_stamp(assigner->epoch);
}

/* Writes this leader's own state again, in place of the record that the store has, or of none (revision 0). */
static void write_again(cw_assigner_t *assigner, uint64_t revision)
{
    assigner->revision = revision;
    if (!assigner->writing) {
        cw_assigner_plan_rewrite(assigner);
    }
    cw_assigner_begin_write(assigner);
}

/* Rewrites the record with this leader's term. */
static void adopt(cw_assigner_t *assigner, cw_assignment_record_t *record, uint64_t revision)
{
    cw_range_list_clear(&assigner->plan.ranges);
    assigner->plan = *record;
    assigner->revision = revision;
    assigner->adopting = true;
    cw_assigner_begin_write(assigner);
}

/* Returns a fence above all that may have been assigned; used when the record cannot be decoded. Each term has a range
 * of 2^32 fences, more than a term assigns. */
static uint64_t first_free_fence(const cw_assigner_t *assigner)
{
    uint64_t assigned = assigner->plan.last_fence > assigner->record.last_fence ? assigner->plan.last_fence
                                                                                : assigner->record.last_fence;
    uint64_t first = assigner->term << TERM_FENCE_BITS;

    return first > assigned ? first : assigned;
}

/* Called when the record cannot be decoded, so that the owners are unknown: all keys are assigned again. They are
 * granted after the last holds have expired that an earlier leader, or this one, may have granted. */
static void discard_owners(cw_assigner_t *assigner, cw_time_us_t now)
{
    cw_range_t   all_keys = {.low = 0, .last = CW_KEY_LAST};
    cw_time_us_t last_sent = assigner->record.ranges.count > 0 ? now : assigner->led_since;

    cw_assigner_log(assigner, "record not readable", &all_keys, "assigned again after former holds have ended");
    assigner->first_grant_at =
        cw_order_hold_end(last_sent + assigner->settings.order_timeout, assigner->settings.hold_long);
    assigner->plan.last_fence = first_free_fence(assigner);
    assigner->state = CW_ASSIGNER_EMPTY;
    assigner->writing = false;
    assigner->adopting = false;
}

/* Logs which write the record is that the store has, and which one this leader made last. */
static void log_record(const cw_assigner_t *assigner, const char *what, const cw_assignment_record_t *record)
{
    cw_range_t all_keys = {.low = 0, .last = CW_KEY_LAST};
    char       detail[DETAIL_BYTES];

    snprintf(detail, sizeof(detail), "term %" PRIu64 ", write %" PRIu64 " of %s; own term %" PRIu64 ", write %" PRIu64,
             record->term, record->write, record->writer == assigner->incarnation ? "this node" : "another",
             assigner->term, assigner->last_write);
    cw_assigner_log(assigner, what, &all_keys, detail);
}

/* Keeps the owners of an outdated record, but not its fences: others may have been given the keys since, with fences
 * that are lost. The grants wait until the holds of all of them have ended. */
static void regrant(cw_assigner_t *assigner, cw_assignment_record_t *record, uint64_t revision)
{
    size_t index;

    cw_range_list_clear(&assigner->plan.ranges);
    assigner->plan = *record;
    assigner->plan.last_fence = first_free_fence(assigner);
    for (index = 0; index < assigner->plan.ranges.count; index++) {
        cw_range_t *range = &assigner->plan.ranges.items[index];

        memset(&range->former, 0, sizeof(range->former));
        range->owner.fence = ++assigner->plan.last_fence;
    }
    assigner->first_grant_at = cw_assigner_earlier_holds_end(assigner);
    assigner->revision = revision;
    assigner->adopting = false;
    cw_assigner_begin_write(assigner);
}

/* Continues the numbers of the writes that an earlier assigner of this process has made, so that none of them is taken
 * for a write of this assigner whose answer is missing. */
static void count_earlier_writes(cw_assigner_t *assigner, const cw_assignment_record_t *record)
{
    if (record->writer == assigner->incarnation && record->write > assigner->last_write) {
        assigner->last_write = record->write;
    }
}

/* Handles the object that the store has: this leader's own write, an earlier leader's or a later leader's. */
static void handle_object(cw_assigner_t *assigner, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_assignment_record_t record;
    bool                   readable = cw_assignment_record_from_json(&record, reply->value);

    if (readable && record.term > assigner->term) {
        cw_range_list_clear(&record.ranges);
        assigner->state = CW_ASSIGNER_DEPOSED;
        assigner->later_term = record.term;
        assigner->writing = false;
        assigner->adopting = false;
        return;
    }
    if (assigner->writing && readable && record.writer == assigner->incarnation &&
        record.write == assigner->plan.write && record.epoch_stamp == cw_store_epoch_stamp(assigner->epoch)) {
        cw_range_list_clear(&record.ranges);
        cw_assigner_commit(assigner, reply->revision, now);
        return;
    }
    if (assigner->writing && reply->revision == assigner->revision) {
        cw_range_list_clear(&record.ranges);
        assigner->write_due = true; /* the write has not been done: it is repeated under the same revision */
        return;
    }
    if (!readable) {
        assigner->revision = reply->revision;
        discard_owners(assigner, now);
        return;
    }
    count_earlier_writes(assigner, &record);
    if (has_written(assigner)) {
        log_record(assigner, "record written again", &record);
        cw_range_list_clear(&record.ranges);
        write_again(assigner, reply->revision);
        return;
    }
    assigner->adopted_at = now;
    if (is_outdated(assigner, &record)) {
        log_record(assigner, "record outdated", &record);
        regrant(assigner, &record, reply->revision);
    } else {
        log_record(assigner, "record adopted", &record);
        cw_assigner_adopt_notices(assigner, reply->value);
        adopt(assigner, &record, reply->revision);
    }
}

/* Handles that the store has no record. After a restore one may be lost. */
static void handle_missing_object(cw_assigner_t *assigner)
{
    assigner->revision = 0;
    if (has_written(assigner)) {
        write_again(assigner, 0);
        return;
    }
    assigner->first_grant_at = assigner->settings.loss.holds_until;
    assigner->write_due = assigner->writing;
    if (assigner->writing) { /* a server that has seen a higher fence than the plan's refuses it, and gets a new one */
        return;
    }
    assigner->state = CW_ASSIGNER_EMPTY;
    if (assigner->settings.loss.holds_until != 0) {
        assigner->plan.last_fence = first_free_fence(assigner);
    }
}

static void record_epoch(cw_assigner_t *assigner, uint64_t epoch)
{
    assigner->epoch = epoch > assigner->epoch ? epoch : assigner->epoch;
}

static bool end_call(cw_assigner_t *assigner)
{
    assigner->calling = false;
    if (assigner->freed) {
        cw_assigner_free_now(assigner);
        return false;
    }
    return true;
}

static void on_written(void *data, const cw_store_reply_t *reply)
{
    cw_assigner_t *assigner = data;

    if (!end_call(assigner)) {
        return;
    }
    record_epoch(assigner, reply->epoch);
    assigner->write_due = false;
    switch (reply->result) {
    case CW_STORE_DONE:
        cw_assigner_commit(assigner, reply->revision, assigner->now);
        break;
    case CW_STORE_REFUSED:
        assigner->write_due = true;
        assigner->retry_at = assigner->now + CW_MS(RETRY_MS);
        break;
    case CW_STORE_NOT_FOUND:
    case CW_STORE_CONFLICT:
    case CW_STORE_UNKNOWN:
        assigner->read_due = true;
        break;
    }
}

static void on_read(void *data, const cw_store_reply_t *reply)
{
    cw_assigner_t *assigner = data;

    if (!end_call(assigner)) {
        return;
    }
    record_epoch(assigner, reply->epoch);
    assigner->read_due = false;
    switch (reply->result) {
    case CW_STORE_DONE:
        handle_object(assigner, reply, assigner->now);
        break;
    case CW_STORE_NOT_FOUND:
        handle_missing_object(assigner);
        break;
    case CW_STORE_CONFLICT:
    case CW_STORE_REFUSED:
    case CW_STORE_UNKNOWN:
        assigner->read_due = true;
        assigner->retry_at = assigner->now + CW_MS(RETRY_MS);
        break;
    }
}

void cw_assigner_call_store(cw_assigner_t *assigner, cw_time_us_t now)
{
    if (assigner->calling || now < assigner->retry_at) {
        return;
    }
    if (assigner->read_due || assigner->state == CW_ASSIGNER_NEW) {
        assigner->state = assigner->state == CW_ASSIGNER_NEW ? CW_ASSIGNER_CALLING : assigner->state;
        call_read(assigner);
    } else if (assigner->write_due) {
        call_write(assigner);
    }
}
