/**
 * @file relay_parent.c
 * @brief Parent of a relay: choice, subscription, silence, and discovery of the leader.
 */
#include "core/relay_internal.h"

enum {
    SILENCE_INTERVALS = 2, /**< plus up to one more, drawn */
    PROBE_INTERVALS = 4,   /**< plus up to one more, drawn */
    HELLO_BACKOFF_MAX = 8, /**< intervals */
    REDIRECTS_PER_INTERVAL = 4
};

static cw_time_us_t jitter(cw_relay_t *relay)
{
    return (cw_time_us_t)cw_random_below(&relay->random, (uint64_t)relay->interval_us);
}

/** Candidate parents in the order of trial; 0 behind the last. Without a table: who answered, then the leader. */
static cw_node_id_t candidate(const cw_relay_t *relay, size_t level)
{
    cw_node_id_t leader = relay->leader != NULL ? relay->leader->id : 0;

    if (relay->generation != 0) {
        return level < relay->ancestor_count ? relay->ancestors[level] : 0;
    }
    if (level == 0) {
        return relay->answerer != 0 ? relay->answerer : leader;
    }
    return level == 1 && leader != relay->answerer ? leader : 0;
}

static void learn_from_routes(cw_relay_t *relay, cw_node_id_t id)
{
    const Cw__NodeInfo *node = cw_control_state_node(relay->routes, id);

    if (node != NULL) {
        relay->ports.learn_node(relay->ports.context, node);
    }
}

static void use_parent(cw_relay_t *relay, cw_node_id_t id, size_t level, cw_instant_t now)
{
    relay->parent = id;
    relay->level = level;
    relay->parent_since_us = now.monotonic_us;
    relay->silence_limit_us = SILENCE_INTERVALS * relay->interval_us + jitter(relay);
    relay->parent_introduced = false;
    relay->probe_us = now.monotonic_us + PROBE_INTERVALS * relay->interval_us + jitter(relay);
    if (id != 0) {
        learn_from_routes(relay, id);
    }
}

void cw_relay_subscribe(cw_relay_t *relay, cw_node_id_t to)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__RouteSubscribe subscribe = CW__ROUTE_SUBSCRIBE__INIT;
    Cw__NodeInfo       brief = CW__NODE_INFO__INIT;
    bool               introduced = to == relay->parent && relay->parent_introduced;

    brief.id = relay->self->id;
    brief.incarnation = relay->self->incarnation;
    subscribe.node = introduced ? &brief : relay->self;
    subscribe.version = relay->version;
    subscribe.generation = relay->generation;
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_SUBSCRIBE;
    envelope.route_subscribe = &subscribe;
    cw_relay_send(relay, to, &envelope);
}

void cw_relay_heard_parent(cw_relay_t *relay, cw_node_id_t from, bool newest_beat, cw_instant_t now)
{
    if (!newest_beat) {
        return;
    }
    if (from == relay->silent) {
        relay->silent = 0;
    }
    if (from != relay->parent && (relay->parent == 0 || from == candidate(relay, 0))) {
        use_parent(relay, from, 0, now);
    }
    if (from == relay->parent) {
        relay->parent_introduced = true;
    }
}

static bool parent_silent(const cw_relay_t *relay, cw_instant_t now)
{
    cw_time_us_t since = relay->parent_since_us;

    if (relay->beat_heard && relay->beat_us > since) {
        since = relay->beat_us;
    }
    return now.monotonic_us - since > relay->silence_limit_us;
}

/** Goes on to the next candidate; behind the last, starts over and asks the seeds too. */
static void climb(cw_relay_t *relay, cw_instant_t now)
{
    size_t level = relay->level + 1;

    relay->silent = relay->parent;
    while (candidate(relay, level) != 0 && candidate(relay, level) == relay->parent) {
        level++;
    }
    if (candidate(relay, level) == 0) {
        level = 0;
        relay->discovering = true;
    }
    use_parent(relay, candidate(relay, level), level, now);
}

void cw_relay_send_hello(cw_relay_t *relay, cw_node_id_t to, bool request, const Cw__NodeInfo *alternative)
{
    Cw__Envelope envelope = CW__ENVELOPE__INIT;
    Cw__Hello    hello = CW__HELLO__INIT;

    hello.node = relay->self;
    hello.request = request;
    hello.generation = relay->generation;
    hello.leader = relay->leader;
    hello.n_control_members = relay->member_count;
    hello.control_members = relay->members;
    hello.alternative = (Cw__NodeInfo *)alternative;
    envelope.body_case = CW__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    cw_relay_send(relay, to, &envelope);
}

/** Next node to ask, seeds and known members in turn; the one left as silent only when there is no other. */
static cw_node_id_t next_to_ask(cw_relay_t *relay)
{
    size_t count = relay->seed_count + relay->member_count;
    size_t tried;

    for (tried = 0; tried < count; tried++) {
        size_t              position = relay->next_seed++ % count;
        const Cw__NodeInfo *node;

        node = position < relay->seed_count ? relay->seeds[position] : relay->members[position - relay->seed_count];
        if (node->id != relay->self->id && node->id != relay->silent) {
            return node->id;
        }
    }
    return relay->silent;
}

static void ask_who_leads(cw_relay_t *relay, cw_instant_t now)
{
    cw_time_us_t intervals = HELLO_BACKOFF_MAX;
    cw_node_id_t to;

    if (!relay->discovering || now.monotonic_us < relay->next_hello_us) {
        return;
    }
    if (relay->hello_count < 3) {
        intervals = (cw_time_us_t)1 << relay->hello_count;
    }
    relay->hello_count++;
    relay->next_hello_us = now.monotonic_us + intervals * relay->interval_us + jitter(relay);
    to = next_to_ask(relay);
    if (to != 0) {
        cw_relay_send_hello(relay, to, true, NULL);
    }
}

/** Tries the computed parent while another one is in use. */
static void probe_computed_parent(cw_relay_t *relay, cw_instant_t now)
{
    cw_node_id_t computed = candidate(relay, 0);

    if (computed == 0 || computed == relay->parent || now.monotonic_us < relay->probe_us) {
        return;
    }
    relay->probe_us = now.monotonic_us + PROBE_INTERVALS * relay->interval_us + jitter(relay);
    learn_from_routes(relay, computed);
    cw_relay_subscribe(relay, computed);
}

/** Starts from the computed parent, or from the next one when that was left as silent just now. */
static void choose_parent(cw_relay_t *relay, cw_instant_t now)
{
    size_t level = 0;

    if (candidate(relay, 0) == relay->silent && candidate(relay, 1) != 0) {
        level = 1;
    }
    use_parent(relay, candidate(relay, level), level, now);
}

void cw_relay_watch_parent(cw_relay_t *relay, cw_instant_t now)
{
    if (relay->parent == 0) {
        choose_parent(relay, now);
        relay->discovering = relay->discovering || relay->parent == 0;
    } else if (parent_silent(relay, now)) {
        climb(relay, now);
    }
    if (relay->parent != 0) {
        cw_relay_subscribe(relay, relay->parent);
        probe_computed_parent(relay, now);
    }
    ask_who_leads(relay, now);
}

static void take_answer(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now)
{
    const Cw__Hello *hello = envelope->hello;
    bool             usable = hello->leader != NULL && hello->generation >= relay->generation;
    bool             other;

    if (!relay->discovering || !usable || hello->leader->id == relay->self->id) {
        return;
    }
    other = relay->leader == NULL || relay->leader->id != hello->leader->id;
    relay->answerer = envelope->from;
    cw_relay_use_leader(relay, hello->leader, relay->leader_term, hello->control_members, hello->n_control_members);
    if (other || relay->parent == 0) {
        relay->parent = 0;
        relay->next_us = now.monotonic_us;
    }
}

/** The parent cannot send the table now and names a node that holds it. */
static void follow_alternative(cw_relay_t *relay, const Cw__NodeInfo *alternative, cw_instant_t now)
{
    bool too_soon = now.monotonic_us - relay->redirected_us < relay->interval_us / REDIRECTS_PER_INTERVAL;

    if (relay->is_source || relay->generation != 0 || too_soon || alternative->id == relay->self->id) {
        return;
    }
    relay->redirected_us = now.monotonic_us;
    relay->ports.learn_node(relay->ports.context, alternative);
    use_parent(relay, alternative->id, 0, now);
    cw_relay_subscribe(relay, alternative->id);
}

void cw_relay_take_hello(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now)
{
    const Cw__Hello *hello = envelope->hello;

    if (hello->node == NULL || hello->node->id == relay->self->id) {
        return;
    }
    relay->ports.learn_node(relay->ports.context, hello->node);
    if (hello->request) {
        cw_relay_send_hello(relay, hello->node->id, false, NULL);
        return;
    }
    if (hello->alternative == NULL) {
        take_answer(relay, envelope, now);
    } else if (envelope->from == relay->parent) {
        follow_alternative(relay, hello->alternative, now);
    }
}
