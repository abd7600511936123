/**
 * @file keeper.c
 * @brief The record's life: read, write, commit. Orders are in keeper_orders.c; the rules are in the header.
 */
#include "assignment/keeper_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { RETRY_MS = 150, MOVE_DRIFT_PERCENT = 2, MOVE_SLACK_MS = 100 };

cw_keeper_t *cw_keeper_create(const char *service, uint64_t term, uint64_t incarnation,
                              const cw_keeper_settings_t *settings, const cw_keeper_ports_t *ports)
{
    cw_keeper_t *keeper = calloc(1, sizeof(*keeper));

    if (keeper == NULL) {
        abort();
    }
    keeper->service = strdup(service);
    keeper->term = term;
    keeper->incarnation = incarnation;
    keeper->settings = *settings;
    keeper->ports = *ports;
    keeper->state = CW_KEEPER_NEW;
    return keeper;
}

static void free_now(cw_keeper_t *keeper)
{
    cw_range_list_clear(&keeper->record.ranges);
    cw_range_list_clear(&keeper->plan.ranges);
    free(keeper->orders);
    free(keeper->service);
    free(keeper);
}

void cw_keeper_free(cw_keeper_t *keeper)
{
    keeper->freed = true;
    if (!keeper->calling) { /* else when the store's answer has come */
        free_now(keeper);
    }
}

cw_keeper_state_t cw_keeper_state(const cw_keeper_t *keeper)
{
    return keeper->state;
}

const char *cw_keeper_service(const cw_keeper_t *keeper)
{
    return keeper->service;
}

const cw_range_list_t *cw_keeper_ranges(const cw_keeper_t *keeper)
{
    return &keeper->record.ranges;
}

bool cw_keeper_may_plan(const cw_keeper_t *keeper)
{
    return (keeper->state == CW_KEEPER_READY || keeper->state == CW_KEEPER_EMPTY) && !keeper->writing;
}

cw_time_us_t cw_keeper_hold_end(cw_time_us_t sent_at, cw_time_us_t hold)
{
    return sent_at + hold * (100 + MOVE_DRIFT_PERCENT) / 100 + CW_MS(MOVE_SLACK_MS);
}

bool cw_keeper_may_wake(const cw_keeper_t *keeper, const cw_range_t *range, cw_time_us_t now)
{
    return range->unanswered_at != 0 &&
           now < cw_keeper_hold_end(range->unanswered_at + keeper->settings.late_orders, keeper->settings.hold_long);
}

/* ---- commit of a written plan ---- */

static const cw_range_t *source_of(const cw_keeper_t *keeper, const cw_range_t *planned)
{
    return cw_range_list_find(&keeper->record.ranges, planned->low);
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
static void begin_move(const cw_keeper_t *keeper, cw_range_t *planned, const cw_range_t *source, cw_time_us_t now)
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
    if (cw_keeper_may_wake(keeper, source, now)) {
        cw_time_us_t tables_end = cw_keeper_hold_end(now, keeper->settings.table_valid);

        planned->former_until = tables_end > planned->former_until ? tables_end : planned->former_until;
    }
}

static void commit_change(cw_keeper_t *keeper, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < keeper->plan.ranges.count; index++) {
        cw_range_t       *planned = &keeper->plan.ranges.items[index];
        const cw_range_t *source = source_of(keeper, planned);

        if (source != NULL && source->owner.fence == planned->owner.fence) {
            carry_on(planned, source);
        } else {
            begin_move(keeper, planned, source, now);
        }
    }
}

/* What a former leader did is known only by its record. It sent its last grant before this leader took the lock; how
 * long the record took to write makes no hold longer. */
static void commit_adoption(cw_keeper_t *keeper, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < keeper->plan.ranges.count; index++) {
        cw_range_t  *range = &keeper->plan.ranges.items[index];
        cw_time_us_t until = cw_keeper_hold_end(keeper->led_since, keeper->settings.hold_long);

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

static void commit(cw_keeper_t *keeper, uint64_t revision, cw_time_us_t now)
{
    cw_assignment_record_t written = keeper->plan;

    if (keeper->adopting) {
        commit_adoption(keeper, now);
    } else {
        commit_change(keeper, now);
    }
    written.ranges = keeper->plan.ranges;
    cw_range_list_clear(&keeper->record.ranges);
    keeper->record = written;
    memset(&keeper->plan, 0, sizeof(keeper->plan));
    keeper->revision = revision;
    keeper->writing = false;
    keeper->adopting = false;
    keeper->state = CW_KEEPER_READY;
    keeper->ports.changed(keeper->ports.context);
}

/* ---- store calls ---- */

static void on_written(void *data, const cw_store_reply_t *reply);
static void on_read(void *data, const cw_store_reply_t *reply);

static void call_write(cw_keeper_t *keeper)
{
    json_t *value = cw_assignment_record_to_json(&keeper->plan);

    keeper->calling = true;
    if (keeper->revision == 0) {
        keeper->ports.store->create(keeper->ports.store->context, CW_ASSIGNMENTS_KIND, keeper->service, value,
                                    on_written, keeper);
    } else {
        keeper->ports.store->replace(keeper->ports.store->context, CW_ASSIGNMENTS_KIND, keeper->service,
                                     keeper->revision, value, on_written, keeper);
    }
    json_decref(value);
}

static void call_read(cw_keeper_t *keeper)
{
    keeper->calling = true;
    keeper->ports.store->read(keeper->ports.store->context, CW_ASSIGNMENTS_KIND, keeper->service, on_read, keeper);
}

static void begin_write(cw_keeper_t *keeper)
{
    keeper->writing = true;
    keeper->write_due = true;
    keeper->plan.term = keeper->term;
    keeper->plan.writer = keeper->incarnation;
    keeper->plan.write = ++keeper->last_write;
    keeper->stale_since = 0;
}

/* Writes the record once more, with this leader's term. */
static void adopt(cw_keeper_t *keeper, cw_assignment_record_t *record, uint64_t revision)
{
    cw_range_list_clear(&keeper->plan.ranges);
    keeper->plan = *record;
    keeper->revision = revision;
    keeper->adopting = true;
    begin_write(keeper);
}

/* The object as it stands: this leader's own write, a former leader's, or a later one's. */
static void take_object(cw_keeper_t *keeper, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_assignment_record_t record;
    bool                   readable = cw_assignment_record_from_json(&record, reply->value);

    if (readable && record.term > keeper->term) {
        cw_range_list_clear(&record.ranges);
        keeper->state = CW_KEEPER_DEPOSED;
        keeper->writing = false;
        return;
    }
    if (keeper->writing && readable && record.writer == keeper->incarnation && record.write == keeper->plan.write) {
        cw_range_list_clear(&record.ranges);
        commit(keeper, reply->revision, now);
        return;
    }
    if (keeper->writing && reply->revision == keeper->revision) {
        cw_range_list_clear(&record.ranges);
        keeper->write_due = true; /* not done so far: once more, under the same revision */
        return;
    }
    if (!readable) {
        keeper->revision = reply->revision;
        keeper->state = CW_KEEPER_EMPTY;
        keeper->writing = false;
        return;
    }
    adopt(keeper, &record, reply->revision);
}

static bool take_back(cw_keeper_t *keeper)
{
    keeper->calling = false;
    if (keeper->freed) {
        free_now(keeper);
        return false;
    }
    return true;
}

static void on_written(void *data, const cw_store_reply_t *reply)
{
    cw_keeper_t *keeper = data;

    if (!take_back(keeper)) {
        return;
    }
    keeper->write_due = false;
    switch (reply->result) {
    case CW_STORE_DONE:
        commit(keeper, reply->revision, keeper->now);
        break;
    case CW_STORE_REFUSED:
        keeper->write_due = true;
        keeper->retry_at = keeper->now + CW_MS(RETRY_MS);
        break;
    case CW_STORE_NOT_FOUND:
    case CW_STORE_CONFLICT:
    case CW_STORE_UNKNOWN:
        keeper->read_due = true;
        break;
    }
}

static void on_read(void *data, const cw_store_reply_t *reply)
{
    cw_keeper_t *keeper = data;

    if (!take_back(keeper)) {
        return;
    }
    keeper->read_due = false;
    switch (reply->result) {
    case CW_STORE_DONE:
        take_object(keeper, reply, keeper->now);
        break;
    case CW_STORE_NOT_FOUND:
        keeper->revision = 0;
        keeper->write_due = keeper->writing;
        if (!keeper->writing) {
            keeper->state = CW_KEEPER_EMPTY;
        }
        break;
    case CW_STORE_CONFLICT:
    case CW_STORE_REFUSED:
    case CW_STORE_UNKNOWN:
        keeper->read_due = true;
        keeper->retry_at = keeper->now + CW_MS(RETRY_MS);
        break;
    }
}

static void call_store(cw_keeper_t *keeper, cw_time_us_t now)
{
    if (keeper->calling || now < keeper->retry_at) {
        return;
    }
    if (keeper->read_due || keeper->state == CW_KEEPER_NEW) {
        keeper->state = keeper->state == CW_KEEPER_NEW ? CW_KEEPER_CALLING : keeper->state;
        call_read(keeper);
    } else if (keeper->write_due) {
        call_write(keeper);
    }
}

void cw_keeper_tick(cw_keeper_t *keeper, const cw_server_list_t *servers, bool able, bool long_hold, cw_time_us_t now)
{
    keeper->now = now;
    if (!able || keeper->state == CW_KEEPER_DEPOSED) {
        return;
    }
    if (keeper->led_since == 0) {
        keeper->led_since = now;
    }
    call_store(keeper, now);
    if (keeper->state == CW_KEEPER_READY) {
        cw_keeper_send_orders(keeper, servers, long_hold, now);
    }
}

/* ---- plans ---- */

static void open_plan(cw_keeper_t *keeper)
{
    if (keeper->plan.ranges.count > 0) {
        return;
    }
    cw_range_list_copy(&keeper->plan.ranges, &keeper->record.ranges);
    keeper->plan.last_fence = keeper->record.last_fence;
}

static void set_owner(cw_keeper_t *keeper, cw_range_t *range, const char *id, const char *address)
{
    snprintf(range->owner.id, sizeof(range->owner.id), "%s", id);
    snprintf(range->owner.address, sizeof(range->owner.address), "%s", address);
    range->owner.fence = ++keeper->plan.last_fence;
}

void cw_keeper_plan_first(cw_keeper_t *keeper, const cw_server_entry_t *const *servers, size_t count, cw_time_us_t now)
{
    size_t index;

    if (keeper->state != CW_KEEPER_EMPTY || keeper->writing || count == 0) {
        return;
    }
    keeper->now = now;
    keeper->plan.ranges.count = 0;
    for (index = 0; index < count; index++) {
        cw_range_t *range = cw_range_list_add(&keeper->plan.ranges);

        range->low = (uint32_t)(index * (CW_KEY_LAST + 1) / count);
        range->last = (uint32_t)((index + 1) * (CW_KEY_LAST + 1) / count - 1);
        set_owner(keeper, range, servers[index]->id, servers[index]->address);
    }
    begin_write(keeper);
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

void cw_keeper_plan_move(cw_keeper_t *keeper, uint32_t low, uint32_t last, const cw_server_entry_t *to,
                         const cw_server_list_t *servers)
{
    cw_range_t *range;
    size_t      index;

    open_plan(keeper);
    range = cw_range_list_find(&keeper->plan.ranges, low);
    index = (size_t)(range - keeper->plan.ranges.items);
    if (cw_range_list_cut(&keeper->plan.ranges, index, low)) {
        index++;
    }
    (void)cw_range_list_cut(&keeper->plan.ranges, index, last + 1);
    range = &keeper->plan.ranges.items[index];
    set_former(range, servers);
    range->keeps_serving = false;
    set_owner(keeper, range, to->id, to->address);
}

bool cw_keeper_plan_merge(cw_keeper_t *keeper, uint32_t low)
{
    cw_range_t *left;
    cw_range_t *right;
    size_t      index;

    open_plan(keeper);
    left = cw_range_list_find(&keeper->plan.ranges, low);
    index = (size_t)(left - keeper->plan.ranges.items);
    if (index + 1 >= keeper->plan.ranges.count) {
        return false;
    }
    right = left + 1;
    if (strcmp(left->owner.id, right->owner.id) != 0 || left->phase != CW_RANGE_HELD || right->phase != CW_RANGE_HELD ||
        left->former.id[0] != '\0' || right->former.id[0] != '\0') {
        return false;
    }
    left->last = right->last;
    memmove(right, right + 1, (keeper->plan.ranges.count - index - 2) * sizeof(*right));
    keeper->plan.ranges.count--;
    left->owner.fence = ++keeper->plan.last_fence;
    left->keeps_serving = true;
    left->handover[0] = '\0';
    return true;
}

/* The owner saw a higher fence than its own: the same owner, a fence above all. */
void cw_keeper_plan_refence(cw_keeper_t *keeper, const cw_range_t *range)
{
    cw_range_t *planned;

    open_plan(keeper);
    planned = cw_range_list_find(&keeper->plan.ranges, range->low);
    planned->owner.fence = ++keeper->plan.last_fence;
}

void cw_keeper_plan_refresh(cw_keeper_t *keeper)
{
    open_plan(keeper);
}

void cw_keeper_plan_write(cw_keeper_t *keeper, cw_time_us_t now)
{
    keeper->now = now;
    if (keeper->state != CW_KEEPER_READY || keeper->writing || keeper->plan.ranges.count == 0) {
        return;
    }
    begin_write(keeper);
}
