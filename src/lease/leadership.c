/**
 * @file leadership.c
 * @brief Leadership by a lock object in the store. The rules are in the header.
 */
#include "lease/leadership.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DRIFT_PERCENT = 2, /* largest difference in pace between two clocks */
    TAKE_SLACK_MS = 50,
    RETRY_FIRST_MS = 50,
    RETRY_DOUBLINGS = 5,
    RETRIES_A_HOLD = 12,   /* a leader that gets no answer tries at least so many times in its hold */
    TAKERS_AT_ONCE = 8,    /* followers that look at a vacant lock within the first pause */
    FOLLOWERS_PROMPT = 16, /* with so many followers the pause between their looks has doubled */
    LOOK_RECENT_MS = 300,  /* a call to the store that is slow, and a tick */
    LONG_AGO_S = 3600
};

/* ---- the lock's value ---- */

json_t *cw_lock_to_json(const cw_lock_t *lock)
{
    char incarnation[32];

    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64, lock->incarnation);
    return json_pack("{s:s, s:s, s:s, s:I, s:I, s:b, s:I}", "node", lock->node, "address", lock->address, "incarnation",
                     incarnation, "term", (json_int_t)lock->term, "beat", (json_int_t)lock->beat, "vacant",
                     lock->vacant, "nodes", (json_int_t)lock->nodes);
}

/* Not needed for the lock itself: one that a former release wrote has none, and a wrong one counts as unknown. */
static uint32_t nodes_from_json(const json_t *value)
{
    json_int_t nodes = json_integer_value(json_object_get(value, "nodes"));

    return nodes > 0 && nodes <= UINT32_MAX ? (uint32_t)nodes : 0;
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
    lock->nodes = nodes_from_json(value);
    return true;
}

/* ---- state ---- */

/* This node's moment within a time that nodes share. */
static cw_time_us_t moment_within(const cw_leadership_t *leadership, cw_time_us_t time)
{
    return time <= 0 ? 0 : (cw_time_us_t)(leadership->settings.incarnation % (uint64_t)time);
}

void cw_leadership_init(cw_leadership_t *leadership, const cw_leadership_settings_t *settings, cw_time_us_t now)
{
    memset(leadership, 0, sizeof(*leadership));
    leadership->settings = *settings;
    leadership->last_received_at = now - CW_SECONDS(LONG_AGO_S);
    leadership->next_at = now + settings->first_read_after + moment_within(leadership, settings->first_read_within);
    leadership->pending = CW_LEADERSHIP_WAIT;
}

bool cw_leadership_has_authority(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->leading && !leadership->resigning && now < leadership->authority_end;
}

static bool is_mine(const cw_leadership_t *leadership, const cw_lock_t *lock)
{
    return lock->incarnation == leadership->settings.incarnation && strcmp(lock->node, leadership->settings.node) == 0;
}

static void note_seen(cw_leadership_t *leadership, uint64_t revision, cw_time_us_t now)
{
    leadership->absent = false;
    if (leadership->revision != revision) {
        leadership->revision = revision;
        leadership->seen_at = now;
    }
}

void cw_leadership_receive_heartbeat(cw_leadership_t *leadership, uint64_t term, uint64_t revision, bool able,
                                     cw_time_us_t now)
{
    if (leadership->leading || term < leadership->lock.term) {
        return;
    }
    if (able) {
        leadership->last_received_at = now;
    }
    leadership->received_term = term > leadership->received_term ? term : leadership->received_term;
    if (revision > leadership->revision) {
        note_seen(leadership, revision, now);
        leadership->must_read = true; /* whose it is, is not known yet */
    }
}

/* One of the followers is enough: each has a moment of its own, and most hear of the new leader before. */
static cw_time_us_t turn_of(const cw_leadership_t *leadership)
{
    return moment_within(leadership, CW_MS(RETRY_FIRST_MS) * leadership->followers / TAKERS_AT_ONCE);
}

void cw_leadership_receive_step_down(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (!leadership->leading) {
        leadership->last_received_at =
            now - leadership->settings.heartbeat_timeout; /* what a deferring node waits besides, counts from now */
        leadership->next_at = now + CW_MS(RETRY_FIRST_MS) + turn_of(leadership);
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

void cw_leadership_set_take_delay(cw_leadership_t *leadership, cw_time_us_t deference)
{
    leadership->deference = deference;
}

void cw_leadership_resign(cw_leadership_t *leadership, cw_time_us_t now)
{
    leadership->resigning = true;
    leadership->next_at = now;
}

void cw_leadership_step_down(cw_leadership_t *leadership, cw_time_us_t now, cw_time_us_t pause)
{
    cw_leadership_resign(leadership, now);
    leadership->stepping_down = true;
    leadership->follow_until = now + pause;
}

/* ---- what to do next ---- */

static cw_leadership_action_t begin(cw_leadership_t *leadership, cw_leadership_action_t action, cw_time_us_t now)
{
    leadership->pending = action;
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
}

/* Does the lock stand for an earlier life of this node? That life has ended. */
static bool is_of_earlier_life(const cw_leadership_t *leadership)
{
    return !leadership->lock.vacant && strcmp(leadership->lock.node, leadership->settings.node) == 0;
}

/* How long an unchanged lock stands before another node may take it. */
static cw_time_us_t take_wait(const cw_leadership_t *leadership)
{
    if (leadership->lock.vacant) {
        return 0;
    }
    return leadership->settings.hold * (100 + DRIFT_PERCENT) / 100 + CW_MS(TAKE_SLACK_MS);
}

static bool may_take(const cw_leadership_t *leadership, cw_time_us_t now)
{
    if (is_of_earlier_life(leadership)) {
        return true;
    }
    return now - leadership->seen_at >= take_wait(leadership) + leadership->deference;
}

/* A node that defers to more capable ones leaves them a hold's time to take the lock. */
static cw_time_us_t silence_before_look(const cw_leadership_t *leadership)
{
    return leadership->settings.heartbeat_timeout + (leadership->deference > 0 ? leadership->settings.hold : 0);
}

/* Where many nodes follow, a look from a while ago is repeated before a write: most likely another has taken the lock.
 */
static bool is_look_recent(const cw_leadership_t *leadership, cw_time_us_t now)
{
    return leadership->followers < FOLLOWERS_PROMPT || now - leadership->looked_at < CW_MS(LOOK_RECENT_MS);
}

static cw_leadership_action_t follow(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (leadership->resigning || now < leadership->follow_until ||
        now - leadership->last_received_at < silence_before_look(leadership)) {
        return CW_LEADERSHIP_WAIT;
    }
    if (leadership->absent) {
        prepare_write(leadership, 1);
        return begin(leadership, CW_LEADERSHIP_CREATE, now);
    }
    if (leadership->revision != 0 && !leadership->must_read && may_take(leadership, now) &&
        is_look_recent(leadership, now)) {
        prepare_write(leadership, leadership->lock.term + 1);
        return begin(leadership, CW_LEADERSHIP_REPLACE, now);
    }
    return begin(leadership, CW_LEADERSHIP_READ, now);
}

static cw_leadership_action_t lead(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (leadership->must_read) {
        return begin(leadership, CW_LEADERSHIP_READ, now);
    }
    if (leadership->resigned) {
        return CW_LEADERSHIP_WAIT;
    }
    prepare_write(leadership, leadership->lock.term);
    return begin(leadership, CW_LEADERSHIP_REPLACE, now);
}

cw_leadership_action_t cw_leadership_tick(cw_leadership_t *leadership, cw_time_us_t now)
{
    if (leadership->pending != CW_LEADERSHIP_WAIT || now < leadership->next_at) {
        return CW_LEADERSHIP_WAIT;
    }
    return leadership->leading ? lead(leadership, now) : follow(leadership, now);
}

/* ---- answers ---- */

static void lose(cw_leadership_t *leadership)
{
    if (leadership->stepping_down) { /* another has taken it: that is as good */
        leadership->stepping_down = false;
        leadership->resigning = false;
    }
    leadership->leading = false;
    leadership->authority_end = 0;
}

static void written(cw_leadership_t *leadership, uint64_t revision, cw_time_us_t sent_at, cw_time_us_t now)
{
    leadership->lock = leadership->write;
    leadership->is_unreadable = false;
    note_seen(leadership, revision, now);
    leadership->must_read = false;
    leadership->failures = 0;
    if (leadership->write.vacant) {
        leadership->resigned = !leadership->stepping_down;
        leadership->resigning = !leadership->stepping_down;
        leadership->stepping_down = false;
        lose(leadership);
        return;
    }
    leadership->leading = true;
    leadership->authority_end = sent_at + leadership->settings.hold;
    leadership->next_at = sent_at + leadership->settings.renew_every;
}

/* Pause between looks at the lock: what all followers together ask of the store stays bounded. */
static cw_time_us_t look_pause(const cw_leadership_t *leadership)
{
    return leadership->settings.read_every * (FOLLOWERS_PROMPT + leadership->followers) / FOLLOWERS_PROMPT;
}

/* When a follower looks again: in its turn once the lock may be taken, and from time to time before. */
static cw_time_us_t next_look(const cw_leadership_t *leadership, cw_time_us_t now)
{
    cw_time_us_t take_at = leadership->seen_at + take_wait(leadership) + leadership->deference;
    cw_time_us_t pause_end = now + look_pause(leadership);

    if (take_at <= now || is_of_earlier_life(leadership)) {
        return now;
    }
    take_at += turn_of(leadership);
    return take_at < pause_end ? take_at : pause_end;
}

/* The lock as the store has it, by a read or with a conflict. */
static void take_lock(cw_leadership_t *leadership, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_lock_t lock;
    bool      mine;

    memset(&lock, 0, sizeof(lock));
    leadership->is_unreadable = !cw_lock_from_json(&lock, reply->value);
    if (leadership->is_unreadable) { /* somebody's, who may have authority: it is taken as any other node's lock */
        lock.term =
            leadership->lock.term > leadership->received_term ? leadership->lock.term : leadership->received_term;
    }
    leadership->failures = 0;
    leadership->looked_at = now;
    if (reply->revision < leadership->revision) { /* an old copy */
        leadership->next_at = now + look_pause(leadership);
        return;
    }
    note_seen(leadership, reply->revision, now);
    leadership->must_read = false;
    leadership->lock = lock;
    mine = is_mine(leadership, &lock) && !lock.vacant;
    if (mine) {
        /* A write without an answer was done. It gives no authority: the next one does. */
        leadership->leading = true;
        leadership->next_at = now;
    } else {
        lose(leadership);
        leadership->next_at = next_look(leadership, now);
    }
}

/* A leader needs the store back soon: its authority runs out. Of followers one is enough. */
static cw_time_us_t pause_after_failure(const cw_leadership_t *leadership)
{
    uint64_t     doublings = leadership->failures < RETRY_DOUBLINGS ? leadership->failures : RETRY_DOUBLINGS;
    cw_time_us_t first = leadership->leading ? CW_MS(RETRY_FIRST_MS) : leadership->settings.read_every;
    cw_time_us_t pause = first << doublings;
    cw_time_us_t most = leadership->leading ? leadership->settings.hold / RETRIES_A_HOLD : look_pause(leadership);

    return pause < most ? pause : most;
}

void cw_leadership_replied(cw_leadership_t *leadership, const cw_store_reply_t *reply, cw_time_us_t now)
{
    cw_leadership_action_t action = leadership->pending;
    cw_time_us_t           write_sent_at = leadership->sent_at;

    leadership->pending = CW_LEADERSHIP_WAIT;
    switch (reply->result) {
    case CW_STORE_DONE:
        if (action == CW_LEADERSHIP_READ) {
            take_lock(leadership, reply, now);
        } else {
            written(leadership, reply->revision, write_sent_at, now);
        }
        break;
    case CW_STORE_NOT_FOUND:
        leadership->absent = true;
        leadership->must_read = false;
        leadership->next_at = now;
        lose(leadership);
        break;
    case CW_STORE_CONFLICT:
        leadership->absent = false;
        leadership->must_read = true;
        leadership->next_at = now;
        if (reply->value != NULL && reply->revision != 0) {
            take_lock(leadership, reply, now);
        }
        break;
    case CW_STORE_REFUSED:
        leadership->next_at = now + pause_after_failure(leadership);
        leadership->failures++;
        break;
    case CW_STORE_UNKNOWN:
        leadership->must_read = true;
        leadership->next_at = now + pause_after_failure(leadership);
        leadership->failures++;
        break;
    }
}
