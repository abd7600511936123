/**
 * @file relay_children.c
 * @brief Children of a relay: subscriptions taken, updates sent.
 */
#include <stdlib.h>

#include "core/relay_internal.h"

enum {
    LEADER_SENDS_AT_FIRST = 3, /**< updates that carry leader and members after these changed */
    LEADER_SENDS_EVERY = 16,   /**< and then one of so many */
    FULL_RESEND_INTERVALS = 2,
    FLIGHTS_PER_INTERVAL = 4 /**< a message takes at most an interval divided by this, as a rule */
};

/** Changes since a version, kept while the next child needs the same. */
typedef struct change_cache {
    bool                 loaded;
    uint64_t             since;
    cw_control_changes_t changes;
} change_cache_t;

static void cache_clear(change_cache_t *cache)
{
    if (cache->loaded) {
        cw_control_state_changes_free(&cache->changes);
    }
    cache->loaded = false;
}

/** Loads the changes since a version; all there is when history does not reach back that far. */
static void cache_load(change_cache_t *cache, const cw_relay_t *relay, uint64_t since)
{
    if (cache->loaded && cache->since == since) {
        return;
    }
    cache_clear(cache);
    cache->loaded = true;
    cache->since = since;
    cw_control_state_changes_since(relay->routes, since, &cache->changes);
    if (!cache->changes.complete) {
        cw_control_state_changes_free(&cache->changes);
        cache->since = 0;
        cw_control_state_changes_since(relay->routes, 0, &cache->changes);
    }
}

/** A full update was sent so lately that it may be on its way. */
static bool full_under_way(const cw_relay_t *relay, const cw_relay_child_t *child, cw_instant_t now)
{
    return child->full_sent && now.monotonic_us - child->full_sent_us < FULL_RESEND_INTERVALS * relay->interval_us;
}

static cw_time_us_t flight_time(const cw_relay_t *relay)
{
    return relay->interval_us / FLIGHTS_PER_INTERVAL;
}

static void note_delta(const cw_relay_t *relay, cw_relay_child_t *child, uint64_t base, cw_instant_t now)
{
    cw_time_us_t age_us = now.monotonic_us - child->flight_us;

    if (age_us < flight_time(relay)) {
        return;
    }
    child->former_base = age_us < 2 * flight_time(relay) ? child->flight_base : base;
    child->flight_us = now.monotonic_us;
    child->flight_base = base;
}

/** Need a subscription no answer: it crossed a delta on its way, or changes are about to be sent. A version below what
 *  the deltas on their way start from says that one was lost. */
static bool delta_under_way(const cw_relay_t *relay, const cw_relay_child_t *child, const Cw__RouteSubscribe *subscribe,
                            cw_instant_t now)
{
    bool sent_lately = now.monotonic_us - child->flight_us < flight_time(relay);

    if (child->generation != relay->generation || subscribe->generation != relay->generation) {
        return false;
    }
    if (relay->pass_due_us != 0 && subscribe->version == child->version) {
        return true;
    }
    return sent_lately && child->former_base != 0 && subscribe->version >= child->former_base &&
           (child->version == relay->version || relay->pass_due_us != 0);
}

/** Full updates are large: bounded for each child and for this node. */
static bool may_send_full(cw_relay_t *relay, cw_relay_child_t *child, cw_instant_t now)
{
    if (full_under_way(relay, child, now)) {
        return false;
    }
    if (now.monotonic_us - relay->full_window_us >= relay->interval_us) {
        relay->full_window_us = now.monotonic_us;
        relay->full_in_window = 0;
    }
    if (relay->full_in_window >= CW_RELAY_FULL_UPDATES_PER_INTERVAL) {
        return false;
    }
    relay->full_in_window++;
    child->full_sent = true;
    child->full_sent_us = now.monotonic_us;
    return true;
}

static void add_leader(const cw_relay_t *relay, cw_relay_child_t *child, Cw__RouteUpdate *update)
{
    bool due = child->updates_sent < LEADER_SENDS_AT_FIRST || child->updates_sent % LEADER_SENDS_EVERY == 0;

    child->updates_sent++;
    if (due) {
        update->leader = relay->leader;
        update->n_control_members = relay->member_count;
        update->control_members = relay->members;
    }
}

static void send_update(cw_relay_t *relay, cw_relay_child_t *child, change_cache_t *cache, cw_instant_t now)
{
    bool            same_generation = child->generation == relay->generation;
    Cw__Envelope    envelope = CW__ENVELOPE__INIT;
    Cw__RouteUpdate update = CW__ROUTE_UPDATE__INIT;

    if (relay->generation == 0 || child->generation > relay->generation) {
        return;
    }
    update.generation = relay->generation;
    update.term = relay->term;
    update.beat = relay->beat;
    update.base_version = relay->version;
    update.version = relay->version;
    if (!same_generation || child->version < relay->version) {
        cache_load(cache, relay, same_generation ? child->version : 0);
        if (cache->changes.snapshot == NULL || (cache->since == 0 && !may_send_full(relay, child, now))) {
            return;
        }
        note_delta(relay, child, cache->since, now);
        update.base_version = cache->since;
        update.changes = cache->changes.snapshot;
        update.n_removed_ranges = cache->changes.removed_count;
        update.removed_ranges = cache->changes.removed_ranges;
    }
    add_leader(relay, child, &update);
    child->generation = relay->generation;
    child->version = relay->version;
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_UPDATE;
    envelope.route_update = &update;
    cw_relay_send(relay, child->node, &envelope);
}

static void send_to_child(cw_relay_t *relay, cw_relay_child_t *child, cw_instant_t now)
{
    change_cache_t cache = {0};

    send_update(relay, child, &cache, now);
    cache_clear(&cache);
}

void cw_relay_pass_on(cw_relay_t *relay, cw_instant_t now)
{
    change_cache_t cache = {0};
    size_t         i;

    relay->beat_passed_us = now.monotonic_us;
    relay->pass_due_us = 0;
    for (i = 0; i < relay->child_count; i++) {
        send_update(relay, &relay->children[i], &cache, now);
    }
    cache_clear(&cache);
}

static cw_relay_child_t *find_child(const cw_relay_t *relay, cw_node_id_t node)
{
    size_t i;

    for (i = 0; i < relay->child_count; i++) {
        if (relay->children[i].node == node) {
            return &relay->children[i];
        }
    }
    return NULL;
}

static size_t count_strays(const cw_relay_t *relay)
{
    size_t strays = 0;
    size_t i;

    for (i = 0; i < relay->child_count; i++) {
        if (!cw_relay_is_tree_child(relay, relay->children[i].node)) {
            strays++;
        }
    }
    return strays;
}

/** Makes room for a child; NULL when it cannot be kept. */
static cw_relay_child_t *add_child(cw_relay_t *relay, cw_node_id_t node)
{
    cw_relay_child_t *children;
    size_t            capacity;

    if (!cw_relay_is_tree_child(relay, node) && count_strays(relay) >= CW_RELAY_STRAYS_MAX) {
        return NULL;
    }
    if (relay->child_count == relay->child_capacity) {
        capacity = relay->child_capacity == 0 ? 4 : 2 * relay->child_capacity;
        children = realloc(relay->children, capacity * sizeof(*children));
        if (children == NULL) {
            return NULL;
        }
        relay->children = children;
        relay->child_capacity = capacity;
    }
    return &relay->children[relay->child_count++];
}

/** Names a child that holds the table to a node that cannot get it from here now. */
static void redirect(cw_relay_t *relay, cw_node_id_t to)
{
    size_t tried;

    for (tried = 0; tried < relay->child_count; tried++) {
        const cw_relay_child_t *child = &relay->children[relay->next_alternative++ % relay->child_count];
        const Cw__NodeInfo     *node = cw_control_state_node(relay->routes, child->node);

        if (child->node != to && child->generation == relay->generation && node != NULL) {
            cw_relay_send_hello(relay, to, false, node);
            return;
        }
    }
}

void cw_relay_take_subscribe(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now)
{
    const Cw__RouteSubscribe *subscribe = envelope->route_subscribe;
    const Cw__NodeInfo       *node = subscribe->node;
    cw_relay_child_t          once = {0};
    cw_relay_child_t         *child;
    bool                      is_new;

    if (node == NULL || node->id == 0 || node->id == relay->self->id) {
        return;
    }
    if (node->address != NULL && node->address[0] != '\0') {
        relay->ports.learn_node(relay->ports.context, node);
    }
    child = find_child(relay, node->id);
    is_new = child == NULL || child->incarnation != node->incarnation;
    if (child == NULL) {
        child = add_child(relay, node->id);
    }
    if (child == NULL) {
        child = &once;
    }
    if (is_new) {
        *child = (cw_relay_child_t){.node = node->id, .incarnation = node->incarnation};
        child->flight_us = now.monotonic_us - relay->interval_us;
    }
    child->heard_us = now.monotonic_us;
    if (delta_under_way(relay, child, subscribe, now)) {
        return;
    }
    child->generation = subscribe->generation;
    child->version = subscribe->version;
    if (is_new || child->generation != relay->generation || child->version < relay->version) {
        send_to_child(relay, child, now);
    }
    if (child->generation == 0 && relay->generation != 0 && !full_under_way(relay, child, now)) {
        redirect(relay, child->node);
    }
}

void cw_relay_forget_silent_children(cw_relay_t *relay, cw_instant_t now)
{
    cw_time_us_t limit = CW_RELAY_SILENT_INTERVALS * relay->interval_us;
    size_t       kept = 0;
    size_t       i;

    for (i = 0; i < relay->child_count; i++) {
        if (now.monotonic_us - relay->children[i].heard_us <= limit) {
            relay->children[kept++] = relay->children[i];
        }
    }
    relay->child_count = kept;
}

void cw_relay_announce_leader(cw_relay_t *relay)
{
    size_t i;

    for (i = 0; i < relay->child_count; i++) {
        relay->children[i].updates_sent = 0;
    }
}

static void call_child(cw_relay_t *relay, cw_node_id_t id, cw_instant_t now)
{
    const Cw__NodeInfo *node = cw_control_state_node(relay->routes, id);
    cw_relay_child_t   *child;

    if (node == NULL || find_child(relay, id) != NULL) {
        return;
    }
    child = add_child(relay, id);
    if (child == NULL) {
        return;
    }
    relay->ports.learn_node(relay->ports.context, node);
    *child = (cw_relay_child_t){.node = id, .incarnation = node->incarnation, .heard_us = now.monotonic_us};
    child->generation = relay->generation;
    child->version = relay->version;
}

/** Counts the tree's children in before they subscribe: one that lacks a version finds the gap and tells. */
void cw_relay_call_tree_children(cw_relay_t *relay, cw_instant_t now)
{
    size_t i;

    if (relay->tree_stale) {
        cw_relay_compute_tree(relay);
    }
    for (i = 0; i < relay->tree_child_count; i++) {
        call_child(relay, relay->tree_children[i], now);
    }
}
