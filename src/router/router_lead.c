/**
 * @file router_lead.c
 * @brief Leadership: the lock, which node should hold it, and the leader's work with each tick.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/router_paths.h"

enum {
    RENEWALS_PER_LEADER_LEASE = 4,
    HEARTBEAT_TIMEOUT_MS = 900,
    READ_EVERY_MS = 400,
    CAPABILITY_PER_CORE = 1000,
    /* Equally capable nodes spread their first reads of the lock over first_read_within / FIRST_READ_DIVISOR. */
    FIRST_READ_DIVISOR = 4,
    /* While a renewal of the lock has had no answer for so long, grants get the long lease (hold_long). */
    STORE_UNRESPONSIVE_MS = 700,
    CUT_OFF_MS = 900,
    /* A leader steps down if it alone does not reach at least CUT_OFF_RANGES owners, and the owners of at least
     * CUT_OFF_PERCENT of all ranges: single orders go unanswered at any time, while the loss of a zone concerns a sixth
     * of the ranges or more. */
    CUT_OFF_RANGES = 2,
    CUT_OFF_PERCENT = 5,
    /* A node that reaches no server takes the lock so much later than it could, so that another node takes it first. */
    NO_PATHS_TAKE_DELAY_MS = 3000,
    STEP_DOWN_DURATION_S = 6,
    RENEWALS_PER_CORE_SECOND = 4000, /* renewals per second of a leader with a whole core */
    CAPABILITY_PER_MBPS = 5,         /* thousandths of a core that correspond to a Mbit/s of link */
    COPY_AGE_MAX_S = 10,             /* no copy that the store answers from is older */
    /* Assumed until a process knows the others: 64 nodes spread their reads of the lock over 400 ms. */
    ASSUMED_FOLLOWERS = 64
};

static const char leader_kind[] = "leaders";
static const char leader_name[] = "main";

/* ---- leadership ---- */

/* Time from the start to the first read of the lock. Nodes that start together do not know one another yet, so the more
 * capable a node is, the sooner it reads the lock. */
static cw_time_us_t first_read_after(const cw_router_t *router)
{
    return router->settings.first_read_within * CAPABILITY_PER_CORE /
           (CAPABILITY_PER_CORE + cw_router_capability(router));
}

void cw_router_lead_init(cw_router_t *router)
{
    cw_leadership_settings_t settings = {.incarnation = router->incarnation,
                                         .hold = router->settings.leader_hold,
                                         .renew_every = router->settings.leader_hold / RENEWALS_PER_LEADER_LEASE,
                                         .heartbeat_timeout = CW_MS(HEARTBEAT_TIMEOUT_MS),
                                         .read_every = CW_MS(READ_EVERY_MS),
                                         .first_read_after = first_read_after(router),
                                         .first_read_within = router->settings.first_read_within / FIRST_READ_DIVISOR,
                                         .is_first_start = router->settings.first_read_within > 0};

    memcpy(settings.node, router->settings.node, sizeof(settings.node));
    memcpy(settings.address, router->settings.address, sizeof(router->settings.address));
    cw_leadership_init(&router->leadership, &settings, cw_router_now(router));
    router->order_trust = cw_order_trust_create();
}

bool cw_router_has_authority(const cw_router_t *router, cw_time_us_t now)
{
    return cw_leadership_has_authority(&router->leadership, now);
}

static void log_leadership(const cw_router_t *router, cw_event_kind_t kind, const char *detail)
{
    cw_event_t event;

    if (cw_event_begin(&event, kind)) {
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)router->leadership.lock.term);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)cw_store_revision_count(router->leadership.revision));
        cw_event_number(&event, CW_FIELD_EPOCH, (int64_t)cw_store_revision_epoch(router->leadership.revision));
        cw_event_text(&event, CW_FIELD_DETAIL, detail);
        cw_event_end(&event);
    }
}

static void log_unreadable_lock(void)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_STORE_BODIES_MALFORMED, 1);
    if (cw_event_begin(&event, CW_EVENT_STORE_BODY_MALFORMED)) {
        cw_event_text(&event, CW_FIELD_DETAIL, leader_kind);
        cw_event_text(&event, CW_FIELD_REASON,
                      "not a lock of this program: treated as another node's lock, and taken over after a hold");
        cw_event_end(&event);
    }
}

/** A call on the lock. */
typedef struct lock_call {
    cw_router_t *router;
    uint64_t     number;
    cw_time_us_t sent_at;
} lock_call_t;

static lock_call_t *begin_lock_call(cw_router_t *router)
{
    lock_call_t *call = cw_memory_zeroed(sizeof(*call));

    call->router = router;
    call->number = router->leadership.call;
    call->sent_at = cw_router_now(router);
    return call;
}

static void on_lock(void *data, const cw_store_reply_t *reply)
{
    lock_call_t *call = data;
    cw_router_t *router = call->router;
    uint64_t     number = call->number;
    bool         was_leading = router->leadership.leading;
    uint64_t     term = router->leadership.lock.term;
    cw_time_us_t now = cw_router_refresh_now(router); /* the lock's revision counts as unchanged from now on */

    cw_router_store_result(router, cw_store_reply_is_answer(reply), call->sent_at, now);
    free(call);
    cw_leadership_replied(&router->leadership, number, reply, now);
    if (reply->value != NULL) {
        cw_router_record_nodes(router, router->leadership.lock.nodes);
    }
    if (reply->value != NULL && router->leadership.is_unreadable) {
        log_unreadable_lock();
    }
    if (router->leadership.lock.address[0] != '\0' && !router->leadership.leading) {
        /* An invalid address is ignored: the leader is also known by its reports. */
        (void)cw_peer_link_learn_text(router->link, router->leadership.lock.address, now);
    }
    if (router->leadership.leading && (!was_leading || router->leadership.lock.term != term)) {
        if (!was_leading) {
            cw_router_free_assigners(router);
        }
        cw_leader_tenure_begin(&router->tenure, now);
        cw_order_trust_begin_term(router->order_trust, now);
        router->leader_list_version = 1;
        router->leader_tables_version = 0;
        cw_replaced_versions_begin(&router->replaced_servers);
        cw_replaced_versions_begin(&router->replaced_tables);
        cw_key_tables_clear(&router->tables);
        cw_list_history_begin(&router->list_history, router->server_view.list, router->leader_list_version);
        cw_router_push_begin_term(router, now);
        router->view_term = router->leadership.lock.term;
        router->view_list_version = 1;
        router->view_tables_version = 0;
        router->leader.term = router->leadership.lock.term;
        memcpy(router->leader.node, router->settings.node, sizeof(router->leader.node));
        cw_router_continue_assigners(router);
        log_leadership(router, CW_EVENT_LEADER_TAKEN, was_leading ? "again, after a restore of the store" : NULL);
    } else if (was_leading && !router->leadership.leading) {
        if (router->leadership.lock.vacant) {
            cw_leader_tenure_release(&router->tenure, term, now);
            router->reports.is_all_due =
                true; /* so that the others do not wait until they miss the leader's heartbeat */
        }
        cw_router_free_assigners(router);
        router->leader_tables_version = 0;
        router->view_term = 0;
        router->leader.node[0] = '\0';
        log_leadership(router, CW_EVENT_LEADER_LOST, router->leadership.lock.vacant ? "resigned" : "taken by another");
    }
}

/* Followers read a copy, which may be old but costs less. This is safe, since a node takes the lock by a write on the
 * condition of the revision that it has seen, which the store refuses unless that is the newest. While a deployment
 * starts for the first time there may be no lock yet, and a copy without it would make all nodes try to create it: with
 * first_read_within set, they read the store itself. So they do for a while after a restore of the store, when a copy
 * may still be of the state that is lost. */
static bool may_read_copy(const cw_router_t *router, cw_time_us_t now)
{
    const cw_store_epochs_t *epochs = &router->leadership.epochs;
    bool                     is_restored = epochs->has_changed && now - epochs->changed_at < CW_SECONDS(COPY_AGE_MAX_S);

    return !router->leadership.leading && router->settings.first_read_within == 0 && !is_restored;
}

static void read_lock(cw_router_t *router)
{
    if (!may_read_copy(router, cw_router_now(router))) {
        router->store->read(router->store->context, leader_kind, leader_name, on_lock, begin_lock_call(router));
    } else {
        router->store->read_copy(router->store->context, leader_kind, leader_name, on_lock, begin_lock_call(router));
    }
}

static void tick_lock(cw_router_t *router, cw_time_us_t now)
{
    cw_leadership_action_t action;
    json_t                *value;

    cw_leadership_set_nodes(&router->leadership,
                            cw_fleet_size_to_announce(&router->fleet_size, router->peak_nodes.count, now));
    action = cw_leadership_tick(&router->leadership, now);
    if (action == CW_LEADERSHIP_WAIT) {
        return;
    }
    if (action == CW_LEADERSHIP_READ) {
        read_lock(router);
        return;
    }
    value = cw_lock_to_json(&router->leadership.write);
    if (action == CW_LEADERSHIP_CREATE) {
        router->store->create(router->store->context, leader_kind, leader_name, value, on_lock,
                              begin_lock_call(router));
    } else {
        router->store->replace(router->store->context, leader_kind, leader_name, router->leadership.revision, value,
                               on_lock, begin_lock_call(router));
    }
    json_decref(value);
}

/* ---- whether the store answers ---- */

static void log_store_lost(const cw_store_availability_t *availability, cw_time_us_t now)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_STORE_LOST)) {
        cw_event_ms(&event, CW_FIELD_SILENT_MS, cw_store_availability_failing_for(availability, now));
        cw_event_end(&event);
    }
}

static void log_store_back(void)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_STORE_BACK)) {
        cw_event_end(&event);
    }
}

void cw_router_store_result(cw_router_t *router, bool answered, cw_time_us_t asked_at, cw_time_us_t now)
{
    cw_store_availability_change_t change =
        cw_store_availability_record(&router->store_availability, answered, asked_at, now);

    if (change == CW_STORE_LOST) {
        log_store_lost(&router->store_availability, now);
    } else if (change == CW_STORE_BACK) {
        log_store_back();
    }
}

static void log_store_restored(const cw_router_t *router, uint64_t epoch)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_STORE_RESTORED)) {
        cw_event_number(&event, CW_FIELD_EPOCH, (int64_t)epoch);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)cw_store_revision_count(router->server_view.revision));
        cw_event_end(&event);
    }
}

void cw_router_on_store_epoch(void *context, uint64_t epoch)
{
    cw_router_t *router = context;
    bool         is_restored = cw_leadership_observe_epoch(&router->leadership, epoch, cw_router_now(router));

    cw_metric_set(CW_METRIC_STORE_EPOCH, router->leadership.epochs.current);
    if (is_restored) {
        cw_metric_add(CW_METRIC_STORE_RESTORES, 1);
        log_store_restored(router, epoch);
    }
}

void cw_router_on_answered(void *context, bool is_answered, cw_time_us_t asked_at)
{
    cw_router_t *router = context;

    cw_router_store_result(router, is_answered, asked_at, cw_router_now(router));
}

/* Whether the store has left this leader's renewals of the lock without an answer. */
static bool is_store_unresponsive(const cw_router_t *router, cw_time_us_t now)
{
    const cw_leadership_t *leadership = &router->leadership;
    bool                   is_overdue =
        leadership->pending != CW_LEADERSHIP_WAIT && now - leadership->sent_at > CW_MS(STORE_UNRESPONSIVE_MS);

    return is_overdue || leadership->failures > 0;
}

/* ---- a leader that reaches the store, but not the servers ---- */

/* Number of holders that this leader's orders do not reach while other nodes get answers from them. During a move, the
 * orders go to the former holder. */
static size_t count_cut_off(cw_router_t *router, const cw_assigner_t *assigner, cw_time_us_t now)
{
    const cw_range_list_t *ranges = cw_assigner_ranges(assigner);
    size_t                 count = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t  *range = &ranges->items[index];
        const cw_holder_t *holder = range->phase == CW_RANGE_RELEASING ? &range->former : &range->owner;
        const cw_server_t *server;

        if (range->failing_since == 0 || now - range->failing_since <= CW_MS(CUT_OFF_MS)) {
            continue;
        }
        server = cw_server_pool_find(router->pool, holder->id);
        count += server != NULL && server->answered_others_at > range->failing_since + CW_MS(CUT_OFF_MS) / 2 ? 1 : 0;
    }
    return count;
}

static void resign_if_cut_off(cw_router_t *router, cw_time_us_t now)
{
    size_t index;
    size_t cut_off = 0;
    size_t ranges = 0;

    for (index = 0; index < router->assignment_count; index++) {
        cut_off += count_cut_off(router, router->assignments[index].assigner, now);
        ranges += cw_assigner_ranges(router->assignments[index].assigner)->count;
    }
    if (cut_off >= CUT_OFF_RANGES && cut_off * 100 >= ranges * CUT_OFF_PERCENT && !router->leadership.resigning) {
        log_leadership(router, CW_EVENT_LEADER_LOST, "orders do not reach servers that answer others");
        cw_leadership_step_down(&router->leadership, now, CW_SECONDS(STEP_DOWN_DURATION_S));
    }
}

/* ---- which node should lead ---- */

uint32_t cw_router_capability(const cw_router_t *router)
{
    double by_cpu = router->settings.cpu_share * 1000;
    double by_link = (double)router->settings.link_mbps * CAPABILITY_PER_MBPS;

    return (uint32_t)(by_cpu < by_link ? by_cpu : by_link);
}

static bool is_rival_reachable(const cw_router_t *router)
{
    uint32_t         own = cw_router_capability(router);
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost && !peer->stopping &&
            cw_leader_is_rival(own, peer->capability)) {
            return true;
        }
    }
    return false;
}

/* Time by which this node takes the lock later than it could, so that a better leader takes it first. */
static cw_time_us_t take_delay(const cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t delay = cw_leader_tenure_take_delay(&router->tenure);

    if (cw_router_leaves_lead_for_paths(router, now)) {
        delay += CW_MS(NO_PATHS_TAKE_DELAY_MS);
    }
    return delay;
}

/* A leader that reaches no server can neither grant nor renew. Whether servers answer other nodes cannot be asked: once
 * the grants have run out, keyed servers answer nobody. */
static void resign_without_paths(cw_router_t *router, cw_time_us_t now)
{
    if (cw_router_leaves_lead_for_paths(router, now) && !router->leadership.resigning) {
        log_leadership(router, CW_EVENT_LEADER_LOST, "this node reaches no server");
        cw_leadership_step_down(&router->leadership, now, CW_SECONDS(STEP_DOWN_DURATION_S));
    }
}

/* Takes the lock later, or steps down, for a far more capable node (leader_tenure.h): a small node leads only while no
 * larger one can. */
static void yield_to_rival(cw_router_t *router, cw_time_us_t now)
{
    uint32_t followers;

    cw_leader_tenure_record_rival(&router->tenure, is_rival_reachable(router), now);
    followers = cw_peer_link_count_alive(router->link, router->peer_timeout, now);
    if (cw_router_is_new(router, now) && followers < ASSUMED_FOLLOWERS) {
        followers = ASSUMED_FOLLOWERS;
    }
    cw_leadership_set_followers(&router->leadership, followers);
    cw_leadership_set_take_delay(&router->leadership, take_delay(router, now));
    if (cw_router_has_authority(router, now) && cw_leader_tenure_should_hand_over(&router->tenure, now) &&
        !is_store_unresponsive(router, now)) {
        log_leadership(router, CW_EVENT_LEADER_LOST, "a more capable node is in reach");
        cw_leadership_step_down(&router->leadership, now, CW_SECONDS(STEP_DOWN_DURATION_S));
    }
}

/* ---- ticks ---- */

/* Renewals of grants per second for each service. One takes some 40 us of CPU, so all of them together take a sixth of
 * this node's share of a core. */
static double renewals_per_second(const cw_router_t *router)
{
    return router->settings.cpu_share * RENEWALS_PER_CORE_SECOND / (double)router->assignment_count;
}

/* Term of the latest leader that has written a record after this one; 0: there is none. */
static uint64_t find_later_term(const cw_router_t *router)
{
    uint64_t latest = 0;
    size_t   index;

    for (index = 0; index < router->assignment_count; index++) {
        const cw_assigner_t *assigner = router->assignments[index].assigner;

        if (cw_assigner_state(assigner) == CW_ASSIGNER_DEPOSED && cw_assigner_later_term(assigner) > latest) {
            latest = cw_assigner_later_term(assigner);
        }
    }
    return latest;
}

void cw_router_lead_tick(cw_router_t *router, cw_time_us_t now)
{
    bool     has_authority;
    uint64_t later_term;
    size_t   index;

    yield_to_rival(router, now);
    if (!cw_router_awaits_proof_of_paths(router, now)) {
        tick_lock(router, now);
    }
    has_authority = cw_router_has_authority(router, now);
    if (cw_leader_tenure_authority_changed(&router->tenure, has_authority)) {
        router->reports.is_all_due = true;
        cw_metric_set(CW_METRIC_LEADING, has_authority ? 1 : 0);
    }
    if (!router->leadership.leading || !has_authority || router->configuration == NULL) {
        return;
    }
    cw_router_create_assigners(router);
    cw_order_trust_expire(router->order_trust, now);
    for (index = 0; index < router->assignment_count; index++) {
        cw_router_plan(router, &router->assignments[index], now);
        now =
            cw_router_refresh_now(router); /* orders of the tick are counted from their sending; planning takes time */
        cw_assigner_set_renewal_rate(router->assignments[index].assigner, renewals_per_second(router));
        cw_assigner_tick(router->assignments[index].assigner, router->server_view.list, has_authority,
                         is_store_unresponsive(router, now), now);
        cw_router_measure(&router->assignments[index], now);
    }
    cw_router_measure_orders(router);
    cw_router_publish_tables(router, now);
    resign_if_cut_off(router, now);
    resign_without_paths(router, now);
    later_term = find_later_term(router);
    if (later_term > router->leadership.lock.term) {
        cw_leadership_receive_term(&router->leadership, later_term, now);
    }
    cw_router_push_servers(router, now);
    cw_router_push_tables(router, now);
    cw_router_push_nodes(router, now);
}
