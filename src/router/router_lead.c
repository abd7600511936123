/**
 * @file router_lead.c
 * @brief Leading: the lock, a keeper for each service divided by key, plans by load.
 */
#include <stdlib.h>
#include <string.h>

#include "router/router_internal.h"

enum {
    RENEWALS_A_LEADER_HOLD = 4,
    SILENCE_MS = 900,
    READ_EVERY_MS = 400,
    CAPABILITY_OF_A_CORE = 1000,
    FIRST_TURN_PART = 4, /* of the time for first looks, in which equally capable nodes take turns */
    FIRST_TABLES_WAIT_MS = 1000,
    RENEWALS_A_HOLD = 4,
    ORDER_TIMEOUT_MS = 350,
    RELEASE_TIMEOUT_MS = 1500,
    LATE_ORDERS_S = 13,
    STORE_TROUBLE_MS = 700, /* without an answer for so long: grants are made to last */
    STORE_LOST_MS = 500,
    CUT_OFF_MS = 900,
    CUT_OFF_RANGES = 2,
    CUT_OFF_PAUSE_S = 6,
    LINK_CAPABILITY = 5, /* thousandths of a core that a Mbit/s of link goes with */
    BETTER_TIMES = 2,
    DEFERENCE_MS = 500,
    HAND_OVER_S = 4
};

static const char leader_kind[] = "leaders";
static const char leader_name[] = "main";

/* ---- ports of the keepers ---- */

static void order_done(void *context, uint64_t order, cw_order_result_t result, const char *handover);

/** An order under way, on behalf of a keeper that may be gone by the time of its answer. */
typedef struct lead_order {
    cw_router_t *router;
    cw_keeper_t *keeper;
} lead_order_t;

static bool is_kept(const cw_router_t *router, const cw_keeper_t *keeper)
{
    size_t index;

    for (index = 0; index < router->keyed_count; index++) {
        if (router->keyed[index].keeper == keeper) {
            return true;
        }
    }
    return false;
}

static void order_done(void *context, uint64_t id, cw_order_result_t result, const char *handover)
{
    lead_order_t *order = context;

    if (is_kept(order->router, order->keeper)) {
        cw_keeper_order_done(order->keeper, id, result, handover, cw_router_now(order->router));
    }
    free(order);
}

static void send_order(void *context, const cw_order_t *order)
{
    cw_keyed_service_t *keyed = context;
    lead_order_t       *under_way = malloc(sizeof(*under_way));

    if (under_way == NULL) {
        abort();
    }
    under_way->router = keyed->router;
    under_way->keeper = keyed->keeper;
    keyed->router->adapter->order(keyed->router->platform, order, order_done, under_way);
}

/* Before all records have been read, tables would have holes: so long the first ones wait, but not for ever. */
static bool are_tables_whole(const cw_router_t *router, cw_time_us_t now)
{
    size_t index;

    if (router->lead_tables > 0 || now - router->led_since > CW_MS(FIRST_TABLES_WAIT_MS)) {
        return true;
    }
    for (index = 0; index < router->keyed_count; index++) {
        cw_keeper_state_t state = cw_keeper_state(router->keyed[index].keeper);

        if (state == CW_KEEPER_NEW || state == CW_KEEPER_CALLING) {
            return false;
        }
    }
    return true;
}

static void tables_changed(void *context)
{
    cw_keyed_service_t *keyed = context;
    cw_router_t        *router = keyed->router;
    uint64_t            number = router->lead_tables + 1;
    bool                any = false;
    size_t              index;

    if (!are_tables_whole(router, cw_router_now(router))) {
        return;
    }
    for (index = 0; index < router->keyed_count; index++) {
        const cw_keeper_t     *keeper = router->keyed[index].keeper;
        const cw_range_list_t *ranges = cw_keeper_ranges(keeper);

        any = (ranges->count > 0 && cw_key_tables_update(&router->tables, cw_keeper_service(keeper), ranges, number)) ||
              any;
    }
    if (!any) {
        return;
    }
    router->lead_tables = number;
    router->view_tables = number;
    cw_router_use_tables(router);
    cw_router_tables_changed(router);
}

static void note_assignment(void *context, const char *service, const char *what, const cw_range_t *range,
                            const char *detail)
{
    cw_event_t event;

    (void)context;
    if (!cw_event_begin(&event, CW_EVENT_ASSIGNMENT)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_REASON, what);
    cw_event_text(&event, CW_FIELD_DETAIL, detail);
    cw_event_text(&event, CW_FIELD_SERVICE, service);
    cw_event_number(&event, CW_FIELD_LOW, range->low);
    cw_event_number(&event, CW_FIELD_LAST, range->last);
    cw_event_text(&event, CW_FIELD_SERVER, range->owner.id);
    cw_event_number(&event, CW_FIELD_FENCE, (int64_t)range->owner.fence);
    cw_event_text(&event, CW_FIELD_FORMER, range->former.id[0] == '\0' ? NULL : range->former.id);
    cw_event_end(&event);
}

/* ---- leadership ---- */

/* Nodes that start together do not know one another yet: the more capable one is, the sooner it looks for the lock. */
static cw_time_us_t first_look_after(const cw_router_t *router)
{
    return router->settings.first_look_within * CAPABILITY_OF_A_CORE /
           (CAPABILITY_OF_A_CORE + cw_router_capability(router));
}

void cw_router_lead_init(cw_router_t *router)
{
    cw_leadership_settings_t settings = {.incarnation = router->incarnation,
                                         .hold = router->settings.leader_hold,
                                         .renew_every = router->settings.leader_hold / RENEWALS_A_LEADER_HOLD,
                                         .silence = CW_MS(SILENCE_MS),
                                         .read_every = CW_MS(READ_EVERY_MS),
                                         .first_look_after = first_look_after(router),
                                         .first_look_within = router->settings.first_look_within / FIRST_TURN_PART};

    memcpy(settings.node, router->settings.node, sizeof(settings.node));
    memcpy(settings.address, router->settings.address, sizeof(router->settings.address));
    cw_leadership_init(&router->leadership, &settings, cw_router_now(router));
}

bool cw_router_is_able(const cw_router_t *router, cw_time_us_t now)
{
    return cw_leadership_has_authority(&router->leadership, now);
}

static void end_keepers(cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->keyed_count; index++) {
        cw_keeper_free(router->keyed[index].keeper);
        cw_load_window_clear(&router->keyed[index].window);
        cw_ownership_measures_clear(&router->keyed[index].measures);
    }
    memset(router->keyed, 0, sizeof(router->keyed));
    router->keyed_count = 0;
}

static void note_leadership(const cw_router_t *router, cw_event_kind_t kind, const char *detail)
{
    cw_event_t event;

    if (cw_event_begin(&event, kind)) {
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)router->leadership.lock.term);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)router->leadership.revision);
        cw_event_text(&event, CW_FIELD_DETAIL, detail);
        cw_event_end(&event);
    }
}

static void on_lock(void *data, const cw_store_reply_t *reply)
{
    cw_router_t *router = data;
    bool         before = router->leadership.leading;
    uint64_t     term = router->leadership.lock.term;
    cw_time_us_t now = cw_router_now(router);

    cw_router_store_result(router, reply->result != CW_STORE_REFUSED && reply->result != CW_STORE_UNKNOWN, now);
    cw_leadership_replied(&router->leadership, reply, now);
    if (router->leadership.lock.address[0] != '\0' && !router->leadership.leading) {
        (void)cw_peer_link_learn_text(router->link, router->leadership.lock.address, now);
    }
    if (router->leadership.leading && (!before || router->leadership.lock.term != term)) {
        end_keepers(router);
        router->led_since = now;
        router->lead_servers = 1;
        router->lead_tables = 0;
        cw_key_tables_clear(&router->tables);
        cw_list_history_begin(&router->list_history, router->server_view.list, router->lead_servers);
        cw_router_push_begin(router, now);
        router->view_term = router->leadership.lock.term;
        router->view_servers = 1;
        router->view_tables = 0;
        router->leader_term = router->leadership.lock.term;
        memcpy(router->leader_node, router->settings.node, sizeof(router->leader_node));
        note_leadership(router, CW_EVENT_LEADER_TAKEN, NULL);
    } else if (before && !router->leadership.leading) {
        if (router->leadership.lock.vacant) {
            router->vacated_term = term;
            router->vacated_at = now;
            router->all_due = true; /* others need not wait until they miss the leader's word */
        }
        end_keepers(router);
        router->lead_tables = 0;
        router->view_term = 0;
        router->leader_node[0] = '\0';
        note_leadership(router, CW_EVENT_LEADER_LOST, router->leadership.lock.vacant ? "resigned" : "taken by another");
    }
}

static void step_lock(cw_router_t *router, cw_time_us_t now)
{
    cw_leadership_action_t action = cw_leadership_tick(&router->leadership, now);
    json_t                *value;

    if (action == CW_LEADERSHIP_WAIT) {
        return;
    }
    if (action == CW_LEADERSHIP_READ) {
        router->store->read(router->store->context, leader_kind, leader_name, on_lock, router);
        return;
    }
    value = cw_lock_to_json(&router->leadership.write);
    if (action == CW_LEADERSHIP_CREATE) {
        router->store->create(router->store->context, leader_kind, leader_name, value, on_lock, router);
    } else {
        router->store->replace(router->store->context, leader_kind, leader_name, router->leadership.revision, value,
                               on_lock, router);
    }
    json_decref(value);
}

/* ---- keepers ---- */

static cw_keyed_service_t *keyed_service(cw_router_t *router, const char *name)
{
    size_t index;

    for (index = 0; index < router->keyed_count; index++) {
        if (strcmp(cw_keeper_service(router->keyed[index].keeper), name) == 0) {
            return &router->keyed[index];
        }
    }
    return NULL;
}

static void add_keyed(cw_router_t *router, const char *name)
{
    cw_keyed_service_t  *keyed = &router->keyed[router->keyed_count];
    cw_keeper_settings_t settings = {.hold = router->settings.hold,
                                     .hold_long = router->settings.hold_long,
                                     .renew_every = router->settings.hold / RENEWALS_A_HOLD,
                                     .order_timeout = CW_MS(ORDER_TIMEOUT_MS),
                                     .release_timeout = CW_MS(RELEASE_TIMEOUT_MS),
                                     .late_orders = CW_SECONDS(LATE_ORDERS_S),
                                     .table_valid = router->settings.hold * CW_TABLES_VALID_PERCENT / 100};
    cw_keeper_ports_t    ports = {.context = keyed,
                                  .store = router->store,
                                  .order = send_order,
                                  .changed = tables_changed,
                                  .note = note_assignment};

    keyed->router = router;
    keyed->keeper = cw_keeper_create(name, router->leadership.lock.term, router->incarnation, &settings, &ports);
    router->keyed_count++;
}

static void find_keyed(cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];

        if (service->keyed && keyed_service(router, service->name) == NULL &&
            router->keyed_count < CW_KEYED_SERVICES_MAX) {
            add_keyed(router, service->name);
        }
    }
}

void cw_router_take_samples(cw_router_t *router, uint32_t service_hash, const uint32_t *keys, size_t count,
                            uint32_t seen, cw_time_us_t now)
{
    size_t index;
    size_t key;

    for (index = 0; index < router->keyed_count; index++) {
        cw_keyed_service_t *keyed = &router->keyed[index];

        if (cw_short_name(cw_keeper_service(keyed->keeper)) != service_hash) {
            continue;
        }
        for (key = 0; key < count; key++) {
            cw_load_window_add(&keyed->window, keys[key], (double)seen / (double)count, now);
        }
    }
}

/* ---- the store's health ---- */

void cw_router_store_result(cw_router_t *router, bool answered, cw_time_us_t now)
{
    cw_event_t event;

    if (answered) {
        router->store_failing_since = 0;
        if (router->store_lost && cw_event_begin(&event, CW_EVENT_STORE_BACK)) {
            cw_event_end(&event);
        }
        router->store_lost = false;
        return;
    }
    if (router->store_failing_since == 0) {
        router->store_failing_since = now;
    }
    if (!router->store_lost && now - router->store_failing_since >= CW_MS(STORE_LOST_MS)) {
        router->store_lost = true;
        if (cw_event_begin(&event, CW_EVENT_STORE_LOST)) {
            cw_event_ms(&event, CW_FIELD_SILENT_MS, now - router->store_failing_since);
            cw_event_end(&event);
        }
    }
}

/* Does the store leave this leader's renewals without an answer? */
static bool is_store_in_trouble(const cw_router_t *router, cw_time_us_t now)
{
    const cw_leadership_t *leadership = &router->leadership;
    bool waits = leadership->pending != CW_LEADERSHIP_WAIT && now - leadership->sent_at > CW_MS(STORE_TROUBLE_MS);

    return waits || leadership->failures > 0;
}

/* ---- a leader that reaches the store, but not the servers ---- */

/* Owners that this leader's orders do not reach while other nodes get answers from them. */
static size_t count_cut_off(cw_router_t *router, const cw_keeper_t *keeper, cw_time_us_t now)
{
    const cw_range_list_t *ranges = cw_keeper_ranges(keeper);
    size_t                 count = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t *range = &ranges->items[index];
        cw_server_t      *server = cw_server_pool_find(router->pool, range->owner.id);

        if (range->failing_since != 0 && now - range->failing_since > CW_MS(CUT_OFF_MS) && server != NULL &&
            server->answered_others_at > range->failing_since + CW_MS(CUT_OFF_MS) / 2) {
            count++;
        }
    }
    return count;
}

static void resign_if_cut_off(cw_router_t *router, cw_time_us_t now)
{
    size_t index;
    size_t cut_off = 0;

    for (index = 0; index < router->keyed_count; index++) {
        cut_off += count_cut_off(router, router->keyed[index].keeper, now);
    }
    if (cut_off >= CUT_OFF_RANGES && !router->leadership.resigning) {
        note_leadership(router, CW_EVENT_LEADER_LOST, "orders do not reach servers that answer others");
        cw_leadership_step_down(&router->leadership, now, CW_SECONDS(CUT_OFF_PAUSE_S));
    }
}

/* ---- who should lead ---- */

uint32_t cw_router_capability(const cw_router_t *router)
{
    double by_cpu = router->settings.cpu_share * 1000;
    double by_link = (double)router->settings.link_mbps * LINK_CAPABILITY;

    return (uint32_t)(by_cpu < by_link ? by_cpu : by_link);
}

static bool is_better_in_reach(const cw_router_t *router)
{
    uint32_t         own = cw_router_capability(router);
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->heard_at != 0 && !peer->is_lost && !peer->stopping && peer->capability >= BETTER_TIMES * own) {
            return true;
        }
    }
    return false;
}

/* A small node leads only while no larger one can. */
static void prefer_capable(cw_router_t *router, cw_time_us_t now)
{
    if (!is_better_in_reach(router)) {
        router->better_since = 0;
    } else if (router->better_since == 0) {
        router->better_since = now;
    }
    cw_leadership_set_followers(&router->leadership, cw_peer_link_alive(router->link, router->silence, now));
    cw_leadership_defer(&router->leadership, router->better_since == 0 ? 0 : CW_MS(DEFERENCE_MS));
    if (cw_router_is_able(router, now) && router->better_since != 0 &&
        now - router->better_since > CW_SECONDS(HAND_OVER_S) && now - router->led_since > CW_SECONDS(HAND_OVER_S) &&
        !is_store_in_trouble(router, now)) {
        note_leadership(router, CW_EVENT_LEADER_LOST, "a more capable node is in reach");
        cw_leadership_step_down(&router->leadership, now, CW_SECONDS(CUT_OFF_PAUSE_S));
    }
}

/* ---- ticks ---- */

static bool is_deposed(const cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->keyed_count; index++) {
        if (cw_keeper_state(router->keyed[index].keeper) == CW_KEEPER_DEPOSED) {
            return true;
        }
    }
    return false;
}

void cw_router_lead_tick(cw_router_t *router, cw_time_us_t now)
{
    bool   able;
    size_t index;

    prefer_capable(router, now);
    step_lock(router, now);
    able = cw_router_is_able(router, now);
    if (able != router->was_able) {
        router->was_able = able;
        router->all_due = true;
        cw_metric_set(CW_METRIC_LEADING, able ? 1 : 0);
    }
    if (!router->leadership.leading || !able || router->configuration == NULL) {
        return;
    }
    find_keyed(router);
    for (index = 0; index < router->keyed_count; index++) {
        cw_router_plan(router, &router->keyed[index], now);
        cw_keeper_tick(router->keyed[index].keeper, router->server_view.list, able, is_store_in_trouble(router, now),
                       now);
        cw_router_measure(&router->keyed[index], now);
    }
    resign_if_cut_off(router, now);
    if (is_deposed(router)) {
        router->leadership.must_read = true;
        router->leadership.next_at = now;
    }
    cw_router_push_servers(router, now);
    cw_router_push_tables(router, now);
    cw_router_push_nodes(router, now);
}
