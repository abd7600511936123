/**
 * @file leadership.c
 * @brief Leader election by a lock object in the store. The rules are in the header.
 */
#include "lease/leadership.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DRIFT_PERCENT = 2,  /* largest difference in rate between two clocks */
    TAKE_SLACK_MS = 50, /* added to the hold and the drift before another node's lock is taken */
    RETRY_INITIAL_MS = 50,
    RETRY_DOUBLINGS = 5,
    RETRIES_PER_HOLD = 12,            /* least number of attempts in a hold of a leader that gets no answer */
    FIRST_INTERVAL_FOLLOWERS = 8,     /* followers that read a vacant lock within the first RETRY_INITIAL_MS */
    INTERVAL_DOUBLING_FOLLOWERS = 16, /* number of followers with which the interval between their reads has doubled */
    TERMS_PER_RESTORE = 1024, /* more changes of the holder than the seconds hold that a restore of the store loses */
    READ_RECENT_MS = 300,     /* a slow call to the store and a tick */
    LONG_AGO_S = 3600         /* at the start the last heartbeat counts as received this long ago */
};

/* ---- the lock's value ---- */

json_t *cw_lock_to_json(const cw_lock_t *lock)
{
    char    incarnation[32];
    json_t *value;

    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64, lock->incarnation);
    value = json_pack("{s:s, s:s, s:s, s:I, s:I, s:b, s:I}", "node", lock->node, "address", lock->address,
                      "incarnation", incarnation, "term", (json_int_t)lock->term, "beat", (json_int_t)lock->beat,
                      "vacant", lock->vacant, "nodes", (json_int_t)lock->nodes);
    cw_store_stamp_to_json(value, lock->epoch_stamp);
    return value;
}

/* A field that locks of earlier releases do not have; an invalid value counts as unknown. */
static uint64_t optional_count(const json_t *value, const char *name, uint64_t max)
{
    json_int_t count = json_integer_value(json_object_get(value, name));

    return count > 0 && (uint64_t)count <= max ? (uint64_t)count : 0;
}

bool cw_lock_from_json(cw_lock_t *lock, const json_t *value)
{
    const char *node;
    const char *address;
    const char *incarnation;
    json_int_t  term;
    json_int_t  beat;
    int         vacant;

    if (value == NULL ||
        json_unpack((json_t *)value, "{s:s, s:s, s:s, s:I, s:I, s:b}", "node", &node, "address", &address,
                    "incarnation", &incarnation, "term", &term, "beat", &beat, "vacant", &vacant) != 0) {
        return false;
    }
    snprintf(lock->node, sizeof(lock->node), "%s", node);
    snprintf(lock->address, sizeof(lock->address), "%s", address);
    lock->incarnation = strtoull(incarnation, NULL, 16);
    lock->term = (uint64_t)term;
    lock->beat = (uint64_t)beat;
    lock->vacant = vacant != 0;
    lock->nodes = (uint32_t)optional_count(value, "nodes", UINT32_MAX);
    lock->epoch_stamp = cw_store_stamp_from_json(value);
    return true;
}

/* ---- state ---- */

/* This node's offset within a time over which the nodes spread their reads, so that they do not all call the store at
 * once. */
static cw_time_us_t offset_within(const cw_leadership_t *leadership, cw_time_us_t time)
{
    return time <= 0 ? 0 : (cw_time_us_t)(leadership->settings.incarnation % (uint64_t)time);
}

void cw_leadership_init(cw_leadership_t *leadership, const cw_leadership_settings_t *settings, cw_time_us_t now)
{
    memset(leadership, 0, sizeof(*leadership));
    leadership->settings = *settings;
    leadership->last_received_at = now - CW_SECONDS(LONG_AGO_S);
    leadership->next_at = now + settings->first_read_after + offset_within(leadership, settings->first_read_within);
    leadership->pending = CW_LEADERSHIP_WAIT;
}

bool cw_leadership_has_authority(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->leading && !leadership->resigning && now < leadership->authority_end;
}

static bool is_own_lock(const cw_leadership_t *leadership, const cw_lock_t *lock)
{
    return lock->incarnation == leadership->settings.incarnation && strcmp(lock->node, leadership->settings.node) == 0;
}

/* Whether the lock was written in an earlier epoch of the store, so that it does not show who has authority. */
static bool is_outdated(const cw_leadership_t *leadership, const cw_lock_t *lock)
{
    return cw_store_epochs_is_outdated(&leadership->epochs, lock->epoch_stamp);
}

/* Whether this leader may take a lock again that is outdated or gone: nobody can have taken it since. */
static bool may_take_again(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->leading && now < leadership->authority_end;
}

bool cw_leadership_observe_epoch(cw_leadership_t *leadership, uint64_t epoch, cw_time_us_t now)
{
    if (!cw_store_epochs_observe(&leadership->epochs, epoch, now)) {
        return false;
    }
    leadership->absent = false;
    leadership->must_read = true;
    leadership->failures = 0;
    leadership->pending = CW_LEADERSHIP_WAIT;
    leadership->next_at = now;
    return true;
}

cw_time_us_t cw_leadership_lost_at(const cw_leadership_t *leadership)
{
    const cw_store_epochs_t *epochs = &leadership->epochs;

    if (epochs->has_changed) {
        return epochs->changed_at;
    }
    return leadership->settings.is_first_start ? 0 : epochs->known_at;
}

static void record_revision(cw_leadership_t *leadership, uint64_t revision, cw_time_us_t now)
{
    leadership->absent = false;
    if (leadership->revision != revision) {
        leadership->revision = revision;
        leadership->seen_at = now;
    }
}

void cw_leadership_receive_heartbeat(cw_leadership_t *leadership, uint64_t term, uint64_t revision, bool has_authority,
                                     cw_time_us_t now)
{
    if (leadership->leading || term < leadership->lock.term) {
        return;
    }
    if (leadership->epochs.is_known) { /* a first epoch is learnt from the store */
        (void)cw_leadership_observe_epoch(leadership, cw_store_revision_epoch(revision), now);
    }
    if (has_authority) {
        leadership->last_received_at = now;
    }
    leadership->received_term = term > leadership->received_term ? term : leadership->received_term;
    if (revision > leadership->revision) {
        record_revision(leadership, revision, now);
        leadership->must_read = true; /* the holder is not known yet */
    }
}

void cw_leadership_receive_term(cw_leadership_t *leadership, uint64_t term, cw_time_us_t now)
{
    leadership->received_term = term > leadership->received_term ? term : leadership->received_term;
    leadership->must_read = true;
    leadership->next_at = now;
}

/* Delay of this follower's read after the lock may be taken. One follower is enough to take it: the followers' delays
 * differ, and most of them receive the new leader's heartbeat before theirs ends. */
static cw_time_us_t take_offset(const cw_leadership_t *leadership)
{
    return offset_within(leadership, CW_MS(RETRY_INITIAL_MS) * leadership->followers / FIRST_INTERVAL_FOLLOWERS);
}

void cw_leadership_receive_step_down(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (!leadership->leading) {
        /* A node with a take delay starts its additional wait now. */
        leadership->last_received_at = now - leadership->settings.heartbeat_timeout;
        leadership->next_at = now + CW_MS(RETRY_INITIAL_MS) + take_offset(leadership);
    }
}

void cw_leadership_set_followers(cw_leadership_t *leadership, uint32_t followers)
{
    leadership->followers = followers;
}

void cw_leadership_set_nodes(cw_leadership_t *leadership, uint32_t nodes)
{
    leadership->nodes = nodes;
}

void cw_leadership_set_take_delay(cw_leadership_t *leadership, cw_time_us_t take_delay)
{
    leadership->take_delay = take_delay;
}

void cw_leadership_resign(cw_leadership_t *leadership, cw_time_us_t now)
{
    leadership->resigning = true;
    leadership->next_at = now;
}

void cw_leadership_step_down(cw_leadership_t *leadership, cw_time_us_t now, cw_time_us_t follow_time)
{
    cw_leadership_resign(leadership, now);
    leadership->stepping_down = true;
    leadership->follow_until = now + follow_time;
}

/* ---- next action ---- */

static cw_leadership_action_t begin_action(cw_leadership_t *leadership, cw_leadership_action_t action, cw_time_us_t now)
{
    leadership->pending = action;
    leadership->call++;
    leadership->sent_at = now;
    return action;
}

static void prepare_write(cw_leadership_t *leadership, uint64_t term)
{
    cw_lock_t *write = &leadership->write;

    memset(write, 0, sizeof(*write));
    memcpy(write->node, leadership->settings.node, sizeof(write->node));
    memcpy(write->address, leadership->settings.address, sizeof(write->address));
    write->incarnation = leadership->settings.incarnation;
    write->term = term;
    write->beat = ++leadership->last_beat;
    write->vacant = leadership->resigning;
    write->nodes = leadership->nodes;
    write->epoch_stamp = cw_store_epoch_stamp(leadership->epochs.current);
}

/* First term that was certainly not used in a lost state of the store. Such terms are not known, but there are less
 * than TERMS_PER_RESTORE of them for each restore since the lock was written. This depends on the lock alone: processes
 * that lived through earlier restores and processes that did not must come to the same terms, or those of a process
 * that starts later would be below. */
static uint64_t first_unused_term(const cw_leadership_t *leadership)
{
    const cw_lock_t *lock = &leadership->lock;
    uint64_t         restores = 0;

    if (leadership->absent) {
        return 1 + leadership->epochs.current * TERMS_PER_RESTORE;
    }
    if (is_outdated(leadership, lock)) {
        restores = lock->epoch_stamp == 0 ? 1 : cw_store_epoch_stamp(leadership->epochs.current) - lock->epoch_stamp;
    }
    return leadership->stored_term + 1 + restores * TERMS_PER_RESTORE;
}

/* Term of the first write by a new holder, or in a new epoch. */
static uint64_t next_term(const cw_leadership_t *leadership)
{
    const cw_lock_t *lock = &leadership->lock;
    uint64_t         highest = lock->term > leadership->received_term ? lock->term : leadership->received_term;
    uint64_t         unused = first_unused_term(leadership);

    return unused > highest ? unused : highest + 1;
}

/* Whether an earlier incarnation of this node, which has ended, holds the lock. */
static bool is_of_earlier_incarnation(const cw_leadership_t *leadership)
{
    return !leadership->lock.vacant && !is_outdated(leadership, &leadership->lock) &&
           strcmp(leadership->lock.node, leadership->settings.node) == 0;
}

/* Time after which a lease that was valid at its start has certainly expired, by any node's clock. */
static cw_time_us_t full_wait(const cw_leadership_t *leadership)
{
    return leadership->settings.hold * (100 + DRIFT_PERCENT) / 100 + CW_MS(TAKE_SLACK_MS);
}

/* How long the lock must be unchanged before another node may take it. */
static cw_time_us_t takeover_wait(const cw_leadership_t *leadership)
{
    if (leadership->lock.vacant && !is_outdated(leadership, &leadership->lock)) {
        return 0;
    }
    return full_wait(leadership);
}

/* When a lock that does not exist may be created. If the store has lost it, its last holder may still have authority.
 */
static cw_time_us_t create_at(const cw_leadership_t *leadership)
{
    cw_time_us_t lost_at = cw_leadership_lost_at(leadership);

    return lost_at == 0 ? 0 : lost_at + full_wait(leadership);
}

static bool may_take(const cw_leadership_t *leadership, cw_time_us_t now)
{
    if (is_of_earlier_incarnation(leadership)) {
        return true;
    }
    return now - leadership->seen_at >= takeover_wait(leadership) + leadership->take_delay;
}

/* Time without a heartbeat after which the lock is read. A node that defers to more capable ones leaves them an
 * additional hold to take the lock. */
static cw_time_us_t wait_before_read(const cw_leadership_t *leadership)
{
    return leadership->settings.heartbeat_timeout + (leadership->take_delay > 0 ? leadership->settings.hold : 0);
}

/* Whether the lock was read recently enough to be taken. With many followers an older read is repeated before the
 * write, since another node has probably taken the lock meanwhile. */
static bool is_read_recent(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->followers < INTERVAL_DOUBLING_FOLLOWERS ||
           now - leadership->last_read_at < CW_MS(READ_RECENT_MS);
}

static bool waits_for_leader(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->resigning || now < leadership->follow_until ||
           now - leadership->last_received_at < wait_before_read(leadership);
}

static cw_leadership_action_t follow(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (waits_for_leader(leadership, now)) {
        return CW_LEADERSHIP_WAIT;
    }
    if (leadership->absent && now < create_at(leadership)) {
        leadership->next_at = create_at(leadership) + take_offset(leadership);
        return CW_LEADERSHIP_WAIT;
    }
    if (leadership->absent) {
        prepare_write(leadership, next_term(leadership));
        return begin_action(leadership, CW_LEADERSHIP_CREATE, now);
    }
    if (leadership->revision != 0 && !leadership->must_read && may_take(leadership, now) &&
        is_read_recent(leadership, now)) {
        prepare_write(leadership, next_term(leadership));
        return begin_action(leadership, CW_LEADERSHIP_REPLACE, now);
    }
    return begin_action(leadership, CW_LEADERSHIP_READ, now);
}

static cw_leadership_action_t lead(cw_leadership_t *leadership, cw_time_us_t now)
{
    bool is_lost = leadership->absent || is_outdated(leadership, &leadership->lock);

    if (leadership->must_read || (is_lost && !may_take_again(leadership, now))) {
        return begin_action(leadership, CW_LEADERSHIP_READ, now);
    }
    if (leadership->resigned) {
        return CW_LEADERSHIP_WAIT;
    }
    if (is_lost || leadership->received_term > leadership->lock.term) {
        prepare_write(leadership, next_term(leadership));
        return begin_action(leadership, leadership->absent ? CW_LEADERSHIP_CREATE : CW_LEADERSHIP_REPLACE, now);
    }
    prepare_write(leadership, leadership->lock.term);
    return begin_action(leadership, CW_LEADERSHIP_REPLACE, now);
}

static bool is_call_due(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->pending == CW_LEADERSHIP_WAIT && now >= leadership->next_at;
}

bool cw_leadership_is_turn_to_take(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return !leadership->leading && is_call_due(leadership, now) && !waits_for_leader(leadership, now);
}

cw_leadership_action_t cw_leadership_tick(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (!is_call_due(leadership, now)) {
        return CW_LEADERSHIP_WAIT;
    }
    return leadership->leading ? lead(leadership, now) : follow(leadership, now);
}

/* ---- replies of the store ---- */

static void stop_leading(cw_leadership_t *leadership)
{
    if (leadership->stepping_down) { /* another node has taken the lock, which completes the step-down as well */
        leadership->stepping_down = false;
        leadership->resigning = false;
    }
    leadership->leading = false;
    leadership->authority_end = 0;
}

/* A write that was done in a later epoch than this node knew is no proof: the condition held for another state. */
static void handle_write_done(cw_leadership_t *leadership, uint64_t revision, cw_time_us_t sent_at, cw_time_us_t now)
{
    if (is_outdated(leadership, &leadership->write)) {
        leadership->must_read = true;
        leadership->next_at = now;
        return;
    }
    leadership->absent = false;
    leadership->lock = leadership->write;
    leadership->stored_term = leadership->write.term;
    leadership->is_unreadable = false;
    record_revision(leadership, revision, now);
    leadership->must_read = false;
    leadership->failures = 0;
    if (leadership->write.vacant) {
        leadership->resigned = !leadership->stepping_down;
        leadership->resigning = !leadership->stepping_down;
        leadership->stepping_down = false;
        stop_leading(leadership);
        return;
    }
    leadership->leading = true;
    leadership->authority_end = sent_at + leadership->settings.hold;
    leadership->next_at = sent_at + leadership->settings.renew_every;
}

/* Interval between a follower's reads of the lock. It keeps the rate of all followers' reads together bounded. */
static cw_time_us_t read_interval(const cw_leadership_t *leadership)
{
    return leadership->settings.read_every * (INTERVAL_DOUBLING_FOLLOWERS + leadership->followers) /
           INTERVAL_DOUBLING_FOLLOWERS;
}

/* When a follower reads the lock again: with its own delay after the lock may be taken, and periodically before. */
static cw_time_us_t next_read(const cw_leadership_t *leadership, cw_time_us_t now)
{
    cw_time_us_t take_at = leadership->seen_at + takeover_wait(leadership) + leadership->take_delay;
    cw_time_us_t interval_end = now + read_interval(leadership);

    if (take_at <= now || is_of_earlier_incarnation(leadership)) {
        return now;
    }
    take_at += take_offset(leadership);
    return take_at < interval_end ? take_at : interval_end;
}

/* Keeps the highest known term, since the lock of a copy may have a lower one. */
static void use_lock(cw_leadership_t *leadership, const cw_lock_t *lock)
{
    uint64_t highest =
        leadership->lock.term > leadership->received_term ? leadership->lock.term : leadership->received_term;

    leadership->lock = *lock;
    leadership->stored_term = lock->term;
    if (is_outdated(leadership, lock) && lock->term < highest) {
        leadership->lock.term = highest;
    }
}

/* Handles the value of the lock in the store, returned by a read or with a conflict. */
static void handle_lock(cw_leadership_t *leadership, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_lock_t lock;
    bool      is_own;

    memset(&lock, 0, sizeof(lock));
    leadership->is_unreadable = !cw_lock_from_json(&lock, reply->value);
    if (leadership->is_unreadable) { /* its writer may have authority, so it is treated as another node's lock */
        lock.term =
            leadership->lock.term > leadership->received_term ? leadership->lock.term : leadership->received_term;
    }
    leadership->failures = 0;
    leadership->last_read_at = now;
    if (reply->revision < leadership->revision) { /* an old copy */
        leadership->next_at = now + read_interval(leadership);
        return;
    }
    record_revision(leadership, reply->revision, now);
    leadership->must_read = false;
    use_lock(leadership, &lock);
    if (is_outdated(leadership, &lock) && may_take_again(leadership, now)) {
        leadership->next_at = now; /* the lock is taken again */
        return;
    }
    is_own = is_own_lock(leadership, &lock) && !lock.vacant && !is_outdated(leadership, &lock);
    if (is_own) {
        /* An unanswered write was done. It gives no authority; the next write does. */
        leadership->leading = true;
        leadership->next_at = now;
    } else {
        stop_leading(leadership);
        leadership->next_at = next_read(leadership, now);
    }
}

/* Time until a failed call is repeated. A leader retries soon, since its authority expires; for followers it is enough
 * that one of them gets an answer. */
static cw_time_us_t retry_interval(const cw_leadership_t *leadership)
{
    uint64_t     doublings = leadership->failures < RETRY_DOUBLINGS ? leadership->failures : RETRY_DOUBLINGS;
    cw_time_us_t first = leadership->leading ? CW_MS(RETRY_INITIAL_MS) : leadership->settings.read_every;
    cw_time_us_t interval = first << doublings;
    cw_time_us_t longest =
        leadership->leading ? leadership->settings.hold / RETRIES_PER_HOLD : read_interval(leadership);

    return interval < longest ? interval : longest;
}

void cw_leadership_replied(cw_leadership_t *leadership, uint64_t call, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_leadership_action_t action = leadership->pending;
    cw_time_us_t           write_sent_at = leadership->sent_at;

    if (action == CW_LEADERSHIP_WAIT || call != leadership->call) {
        return; /* the call was given up */
    }

    leadership->pending = CW_LEADERSHIP_WAIT;
    if (reply->result != CW_STORE_REFUSED && reply->result != CW_STORE_UNKNOWN) {
        (void)cw_leadership_observe_epoch(leadership, reply->epoch, now);
    }
    switch (reply->result) {
    case CW_STORE_DONE:
        if (action == CW_LEADERSHIP_READ) {
            handle_lock(leadership, reply, now);
        } else {
            handle_write_done(leadership, reply->revision, write_sent_at, now);
        }
        break;
    case CW_STORE_NOT_FOUND:
        leadership->absent = true;
        leadership->must_read = false;
        leadership->next_at = now;
        if (!may_take_again(leadership, now)) { /* otherwise the lock is created again */
            stop_leading(leadership);
        }
        break;
    case CW_STORE_CONFLICT:
        leadership->absent = false;
        leadership->must_read = true;
        leadership->next_at = now;
        if (reply->value != NULL && reply->revision != 0) {
            handle_lock(leadership, reply, now);
        }
        break;
    case CW_STORE_REFUSED:
        leadership->next_at = now + retry_interval(leadership);
        leadership->failures++;
        break;
    case CW_STORE_UNKNOWN:
        leadership->must_read = true;
        leadership->next_at = now + retry_interval(leadership);
        leadership->failures++;
        break;
    }
}
