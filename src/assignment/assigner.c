/**
 * @file assigner.c
 * @brief The record's life: read, write, commit. Orders are in assigner_orders.c; the rules are in the header.
 */
#include "assignment/assigner_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { RETRY_MS = 150, MOVE_DRIFT_PERCENT = 2, MOVE_SLACK_MS = 100 };

cw_assigner_t *cw_assigner_create(const char *service, uint64_t term, uint64_t incarnation,
                                  const cw_assigner_settings_t *settings, const cw_assigner_ports_t *ports)
{
    cw_assigner_t *assigner = calloc(1, sizeof(*assigner));

    if (assigner == NULL) {
        abort();
    }
    assigner->service = strdup(service);
    assigner->term = term;
    assigner->incarnation = incarnation;
    assigner->settings = *settings;
    assigner->ports = *ports;
    assigner->state = CW_ASSIGNER_NEW;
    return assigner;
}

static void free_now(cw_assigner_t *assigner)
{
    cw_range_list_clear(&assigner->record.ranges);
    cw_range_list_clear(&assigner->plan.ranges);
    free(assigner->orders);
    free(assigner->service);
    free(assigner);
}

void cw_assigner_free(cw_assigner_t *assigner)
{
    assigner->freed = true;
    if (!assigner->calling) { /* else when the store's answer has come */
        free_now(assigner);
    }
}

cw_assigner_state_t cw_assigner_state(const cw_assigner_t *assigner)
{
    return assigner->state;
}

const char *cw_assigner_service(const cw_assigner_t *assigner)
{
    return assigner->service;
}

const cw_range_list_t *cw_assigner_ranges(const cw_assigner_t *assigner)
{
    return &assigner->record.ranges;
}

bool cw_assigner_may_plan(const cw_assigner_t *assigner)
{
    return (assigner->state == CW_ASSIGNER_READY || assigner->state == CW_ASSIGNER_EMPTY) && !assigner->writing;
}

cw_time_us_t cw_assigner_hold_end(cw_time_us_t sent_at, cw_time_us_t hold)
{
    return sent_at + hold * (100 + MOVE_DRIFT_PERCENT) / 100 + CW_MS(MOVE_SLACK_MS);
}

bool cw_assigner_may_wake(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now)
{
    return range->unanswered_at != 0 &&
           now < cw_assigner_hold_end(range->unanswered_at + assigner->settings.late_orders,
                                      assigner->settings.hold_long);
}

/* ---- commit of a written plan ---- */

static const cw_range_t *source_of(const cw_assigner_t *assigner, const cw_range_t *planned)
{
    return cw_range_list_find(&assigner->record.ranges, planned->low);
}

/* A range that the plan left with its owner and fence keeps all that is known of it. */
static void carry_on(cw_range_t *planned, const cw_range_t *source)
{
    uint32_t low = planned->low;
    uint32_t last = planned->last;

    *planned = *source;
    planned->low = low;
    planned->last = last;
    planned->orders = 0;
}

/* A range whose owner or fence the plan changed. */
static void begin_move(const cw_assigner_t *assigner, cw_range_t *planned, const cw_range_t *source, cw_time_us_t now)
{
    bool same_owner = source != NULL && strcmp(source->owner.id, planned->owner.id) == 0;

    planned->hold_until = same_owner ? source->hold_until : 0;
    planned->unanswered_at = same_owner ? source->unanswered_at : 0;
    planned->taken_at = 0;
    planned->failing_since = 0;
    planned->owner_ended = false;
    planned->orders = 0;
    planned->next_order = now;
    planned->moved_at = now;
    if (planned->former.id[0] == '\0') {
        planned->phase = CW_RANGE_GRANTING;
        return;
    }
    planned->phase = CW_RANGE_RELEASING;
    planned->keeps_serving = false;
    if (source == NULL) {
        return;
    }
    planned->former_until =
        strcmp(planned->former.id, source->owner.id) == 0 ? source->hold_until : source->former_until;
    if (cw_assigner_may_wake(assigner, source, now)) {
        cw_time_us_t tables_end = cw_assigner_hold_end(now, assigner->settings.table_valid);

        planned->former_until = tables_end > planned->former_until ? tables_end : planned->former_until;
    }
}

static void commit_change(cw_assigner_t *assigner, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < assigner->plan.ranges.count; index++) {
        cw_range_t       *planned = &assigner->plan.ranges.items[index];
        const cw_range_t *source = source_of(assigner, planned);

        if (source != NULL && source->owner.fence == planned->owner.fence) {
            carry_on(planned, source);
        } else {
            begin_move(assigner, planned, source, now);
        }
    }
}

/* What a former leader did is known only by its record. It sent its last grant before this leader took the lock; how
 * long the record took to write makes no hold longer. */
static void commit_adoption(cw_assigner_t *assigner, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < assigner->plan.ranges.count; index++) {
        cw_range_t  *range = &assigner->plan.ranges.items[index];
        cw_time_us_t until = cw_assigner_hold_end(assigner->led_since, assigner->settings.hold_long);

        range->next_order = now;
        range->hold_until = until;
        range->former_until = until;
        if (range->former.id[0] != '\0') {
            range->phase = CW_RANGE_RELEASING;
        } else {
            range->phase = CW_RANGE_GRANTING;
            range->keeps_serving = true;
        }
    }
}

static void commit(cw_assigner_t *assigner, uint64_t revision, cw_time_us_t now)
{
    cw_assignment_record_t written = assigner->plan;

    if (assigner->adopting) {
        commit_adoption(assigner, now);
    } else {
        commit_change(assigner, now);
    }
    written.ranges = assigner->plan.ranges;
    cw_range_list_clear(&assigner->record.ranges);
    assigner->record = written;
    memset(&assigner->plan, 0, sizeof(assigner->plan));
    assigner->revision = revision;
    assigner->writing = false;
    assigner->adopting = false;
    assigner->state = CW_ASSIGNER_READY;
    assigner->ports.changed(assigner->ports.context);
}

/* ---- store calls ---- */

static void on_written(void *data, const cw_store_reply_t *reply);
static void on_read(void *data, const cw_store_reply_t *reply);

static void call_write(cw_assigner_t *assigner)
{
    json_t *value = cw_assignment_record_to_json(&assigner->plan);

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

static void begin_write(cw_assigner_t *assigner)
{
    assigner->writing = true;
    assigner->write_due = true;
    assigner->plan.term = assigner->term;
    assigner->plan.writer = assigner->incarnation;
    assigner->plan.write = ++assigner->last_write;
    assigner->stale_since = 0;
}

/* Writes the record once more, with this leader's term. */
static void adopt(cw_assigner_t *assigner, cw_assignment_record_t *record, uint64_t revision)
{
    cw_range_list_clear(&assigner->plan.ranges);
    assigner->plan = *record;
    assigner->revision = revision;
    assigner->adopting = true;
    begin_write(assigner);
}

/* The object as it stands: this leader's own write, a former leader's, or a later one's. */
static void take_object(cw_assigner_t *assigner, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_assignment_record_t record;
    bool                   readable = cw_assignment_record_from_json(&record, reply->value);

    if (readable && record.term > assigner->term) {
        cw_range_list_clear(&record.ranges);
        assigner->state = CW_ASSIGNER_DEPOSED;
        assigner->writing = false;
        return;
    }
    if (assigner->writing && readable && record.writer == assigner->incarnation &&
        record.write == assigner->plan.write) {
        cw_range_list_clear(&record.ranges);
        commit(assigner, reply->revision, now);
        return;
    }
    if (assigner->writing && reply->revision == assigner->revision) {
        cw_range_list_clear(&record.ranges);
        assigner->write_due = true; /* not done so far: once more, under the same revision */
        return;
    }
    if (!readable) {
        assigner->revision = reply->revision;
        assigner->state = CW_ASSIGNER_EMPTY;
        assigner->writing = false;
        return;
    }
    adopt(assigner, &record, reply->revision);
}

static bool take_back(cw_assigner_t *assigner)
{
    assigner->calling = false;
    if (assigner->freed) {
        free_now(assigner);
        return false;
    }
    return true;
}

static void on_written(void *data, const cw_store_reply_t *reply)
{
    cw_assigner_t *assigner = data;

    if (!take_back(assigner)) {
        return;
    }
    assigner->write_due = false;
    switch (reply->result) {
    case CW_STORE_DONE:
        commit(assigner, reply->revision, assigner->now);
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

    if (!take_back(assigner)) {
        return;
    }
    assigner->read_due = false;
    switch (reply->result) {
    case CW_STORE_DONE:
        take_object(assigner, reply, assigner->now);
        break;
    case CW_STORE_NOT_FOUND:
        assigner->revision = 0;
        assigner->write_due = assigner->writing;
        if (!assigner->writing) {
            assigner->state = CW_ASSIGNER_EMPTY;
        }
        break;
    case CW_STORE_CONFLICT:
    case CW_STORE_REFUSED:
    case CW_STORE_UNKNOWN:
        assigner->read_due = true;
        assigner->retry_at = assigner->now + CW_MS(RETRY_MS);
        break;
    }
}

static void call_store(cw_assigner_t *assigner, cw_time_us_t now)
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

void cw_assigner_tick(cw_assigner_t *assigner, const cw_server_list_t *servers, bool able, bool long_hold,
                      cw_time_us_t now)
{
    assigner->now = now;
    if (!able || assigner->state == CW_ASSIGNER_DEPOSED) {
        return;
    }
    if (assigner->led_since == 0) {
        assigner->led_since = now;
    }
    call_store(assigner, now);
    if (assigner->state == CW_ASSIGNER_READY) {
        cw_assigner_send_orders(assigner, servers, long_hold, now);
    }
}

/* ---- plans ---- */

static void open_plan(cw_assigner_t *assigner)
{
    if (assigner->plan.ranges.count > 0) {
        return;
    }
    cw_range_list_copy(&assigner->plan.ranges, &assigner->record.ranges);
    assigner->plan.last_fence = assigner->record.last_fence;
}

static void set_owner(cw_assigner_t *assigner, cw_range_t *range, const char *id, const char *address)
{
    snprintf(range->owner.id, sizeof(range->owner.id), "%s", id);
    snprintf(range->owner.address, sizeof(range->owner.address), "%s", address);
    range->owner.fence = ++assigner->plan.last_fence;
}

void cw_assigner_plan_first(cw_assigner_t *assigner, const cw_server_entry_t *const *servers, size_t count,
                            cw_time_us_t now)
{
    size_t index;

    if (assigner->state != CW_ASSIGNER_EMPTY || assigner->writing || count == 0) {
        return;
    }
    assigner->now = now;
    assigner->plan.ranges.count = 0;
    for (index = 0; index < count; index++) {
        cw_range_t *range = cw_range_list_add(&assigner->plan.ranges);

        range->low = (uint32_t)(index * (CW_KEY_LAST + 1) / count);
        range->last = (uint32_t)((index + 1) * (CW_KEY_LAST + 1) / count - 1);
        set_owner(assigner, range, servers[index]->id, servers[index]->address);
    }
    begin_write(assigner);
}

/* Who may still hold the keys when this range's owner changes, and what is known of its handover. */
static void set_former(cw_range_t *range, const cw_server_list_t *servers)
{
    bool ended =
        range->owner_ended || (cw_server_list_find(servers, range->owner.id) == NULL &&
                               cw_server_list_successor(servers, range->owner.id, range->owner.address) != NULL);

    if (range->former.id[0] != '\0') {
        return; /* the move before this one is not finished: the same former holder has to let go */
    }
    if (ended || range->hold_until == 0) {
        return;
    }
    range->former = range->owner;
    range->handover[0] = '\0';
}

void cw_assigner_plan_move(cw_assigner_t *assigner, uint32_t low, uint32_t last, const cw_server_entry_t *to,
                           const cw_server_list_t *servers)
{
    cw_range_t *range;
    size_t      index;

    open_plan(assigner);
    range = cw_range_list_find(&assigner->plan.ranges, low);
    index = (size_t)(range - assigner->plan.ranges.items);
    if (cw_range_list_cut(&assigner->plan.ranges, index, low)) {
        index++;
    }
    (void)cw_range_list_cut(&assigner->plan.ranges, index, last + 1);
    range = &assigner->plan.ranges.items[index];
    set_former(range, servers);
    range->keeps_serving = false;
    set_owner(assigner, range, to->id, to->address);
}

bool cw_assigner_plan_merge(cw_assigner_t *assigner, uint32_t low)
{
    cw_range_t *left;
    cw_range_t *right;
    size_t      index;

    open_plan(assigner);
    left = cw_range_list_find(&assigner->plan.ranges, low);
    index = (size_t)(left - assigner->plan.ranges.items);
    if (index + 1 >= assigner->plan.ranges.count) {
        return false;
    }
    right = left + 1;
    if (strcmp(left->owner.id, right->owner.id) != 0 || left->phase != CW_RANGE_HELD || right->phase != CW_RANGE_HELD ||
        left->former.id[0] != '\0' || right->former.id[0] != '\0') {
        return false;
    }
    left->last = right->last;
    memmove(right, right + 1, (assigner->plan.ranges.count - index - 2) * sizeof(*right));
    assigner->plan.ranges.count--;
    left->owner.fence = ++assigner->plan.last_fence;
    left->keeps_serving = true;
    left->handover[0] = '\0';
    return true;
}

/* The owner saw a higher fence than its own: the same owner, a fence above all. */
void cw_assigner_plan_refence(cw_assigner_t *assigner, const cw_range_t *range)
{
    cw_range_t *planned;

    open_plan(assigner);
    planned = cw_range_list_find(&assigner->plan.ranges, range->low);
    planned->owner.fence = ++assigner->plan.last_fence;
}

void cw_assigner_plan_refresh(cw_assigner_t *assigner)
{
    open_plan(assigner);
}

void cw_assigner_plan_write(cw_assigner_t *assigner, cw_time_us_t now)
{
    assigner->now = now;
    if (assigner->state != CW_ASSIGNER_READY || assigner->writing || assigner->plan.ranges.count == 0) {
        return;
    }
    begin_write(assigner);
}
