/**
 * @file router_assigners.c
 * @brief The leader's assigners, one for each service divided by key: their interface to the node, and samples of load.
 */
#include <stdlib.h>
#include <string.h>

#include "router/router_paths.h"

enum { FIRST_TABLES_WAIT_MS = 1000, RENEWALS_PER_HOLD = 4, RELEASE_TIMEOUT_MS = 1500, LATE_ORDER_S = 13 };

/* ---- the assigners' port ---- */

static void order_done(void *context, uint64_t order, cw_order_result_t result, const char *handover);

/** An order without an answer yet. The assigner that gave it may be freed before the answer arrives. */
typedef struct pending_order {
    cw_router_t   *router;
    cw_assigner_t *assigner;
    uint32_t       server; /**< hash of its id */
    uint64_t       id;
    cw_time_us_t   leave_by;
    uint64_t       first_term; /**< of the assigner; a later assigner may have the same address in memory */
} pending_order_t;

/* Whether the assigner that gave the order still exists. */
static bool assigner_exists(const cw_router_t *router, const pending_order_t *order)
{
    size_t index;

    for (index = 0; index < router->assignment_count; index++) {
        const cw_assigner_t *assigner = router->assignments[index].assigner;

        if (assigner == order->assigner && cw_assigner_first_term(assigner) == order->first_term) {
            return true;
        }
    }
    return false;
}

/* Records in the register of doubted servers whether the server answered. A refused or fenced order has been
 * answered. */
static void record_outcome(const pending_order_t *order, cw_order_result_t result)
{
    cw_router_t       *router = order->router;
    const cw_server_t *server = cw_server_pool_find_hash(router->pool, order->server);
    bool failed = result == CW_ORDER_NOT_SENT || result == CW_ORDER_UNANSWERED || result == CW_ORDER_OTHER_INCARNATION;

    if (result == CW_ORDER_OTHER_CONNECTION || result == CW_ORDER_WITHDRAWN) {
        return; /* it says nothing about the server or the path */
    }
    if (server != NULL) {
        cw_router_paths_record_order(router, server->service, !failed || result == CW_ORDER_OTHER_INCARNATION);
    }
    if (failed) {
        cw_order_trust_record_failure(router->order_trust, order->server, server == NULL ? 0 : server->served,
                                      cw_router_now(router));
    } else {
        cw_order_trust_record_answer(router->order_trust, order->server);
    }
}

static void order_done(void *context, uint64_t id, cw_order_result_t result, const char *handover)
{
    pending_order_t *order = context;

    record_outcome(order, result);
    if (assigner_exists(order->router, order)) {
        cw_assigner_order_done(order->assigner, id, result, handover, cw_router_refresh_now(order->router));
    }
    free(order);
}

/* Whether the order may leave now. The leadership in which it was given still lasts, with authority; and the time that
 * the assigner counts for its arrival has not passed. Opening the connection takes time, and the process may have stood
 * still since the order was decided. */
static bool may_be_sent(const pending_order_t *order)
{
    cw_time_us_t now = cw_router_refresh_now(order->router);

    return now <= order->leave_by && assigner_exists(order->router, order) &&
           cw_router_has_authority(order->router, now);
}

static bool begin_sending(void *context)
{
    const pending_order_t *order = context;

    if (!may_be_sent(order)) {
        return false;
    }
    cw_assigner_order_leaves(order->assigner, order->id, cw_router_now(order->router));
    return true;
}

static void send_order(void *context, const cw_order_t *order)
{
    static const cw_order_callbacks_t callbacks = {.may_be_sent = begin_sending, .done = order_done};
    cw_service_assignment_t          *assignment = context;
    pending_order_t                  *pending = malloc(sizeof(*pending));

    if (pending == NULL) {
        abort();
    }
    pending->router = assignment->router;
    pending->assigner = assignment->assigner;
    pending->server = cw_name_hash(order->server);
    pending->first_term = cw_assigner_first_term(assignment->assigner);
    pending->id = order->id;
    pending->leave_by = order->leave_by;
    if (!may_be_sent(pending)) {
        order_done(pending, order->id, CW_ORDER_WITHDRAWN, NULL);
        return;
    }
    cw_assigner_order_leaves(pending->assigner, order->id, cw_router_now(assignment->router));
    assignment->router->adapter->send_order(assignment->router->platform, order, &callbacks, pending);
}

/* Whether the records of all services have been read. Before that, tables would lack ranges, so the first tables wait
 * for it, but no longer than FIRST_TABLES_WAIT_MS. */
static bool are_records_read(const cw_router_t *router, cw_time_us_t now)
{
    size_t index;

    if (router->leader_tables_version > 0 || now - router->tenure.led_since > CW_MS(FIRST_TABLES_WAIT_MS)) {
        return true;
    }
    for (index = 0; index < router->assignment_count; index++) {
        cw_assigner_state_t state = cw_assigner_state(router->assignments[index].assigner);

        if (state == CW_ASSIGNER_NEW || state == CW_ASSIGNER_CALLING) {
            return false;
        }
    }
    return true;
}

static void on_assignment_changed(void *context)
{
    cw_service_assignment_t *assignment = context;

    cw_time_us_t now = cw_router_now(assignment->router);

    cw_table_publication_record_change(&assignment->router->table_publication, now);
    cw_router_publish_tables(assignment->router, now);
}

/* Number of nodes that the leader sends changes to: those of its zone, and the relays of other zones. */
static size_t count_table_targets(const cw_router_t *router, cw_time_us_t now)
{
    size_t           count = 0;
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += !peer->is_lost && !cw_router_is_updated_by_relay(router, peer, now) ? 1 : 0;
    }
    return count;
}

void cw_router_publish_tables(cw_router_t *router, cw_time_us_t now)
{
    uint64_t version = router->leader_tables_version + 1;
    bool     is_changed = false;
    size_t   index;

    if (!router->table_publication.is_due ||
        !cw_table_publication_is_due(&router->table_publication, count_table_targets(router, now),
                                     CW_LEADER_DATAGRAMS_PER_SECOND, now) ||
        !are_records_read(router, now)) {
        return;
    }
    cw_table_publication_done(&router->table_publication, now);
    for (index = 0; index < router->assignment_count; index++) {
        const cw_assigner_t   *assigner = router->assignments[index].assigner;
        const cw_range_list_t *ranges = cw_assigner_ranges(assigner);

        is_changed = (ranges->count > 0 &&
                      cw_key_tables_update(&router->tables, cw_assigner_service(assigner), ranges, version)) ||
                     is_changed;
    }
    if (!is_changed) {
        return;
    }
    if (router->leader_tables_version != 0) {
        cw_replaced_versions_add(&router->replaced_tables, router->leader_tables_version,
                                 router->table_publication.changed_at);
    }
    router->leader_tables_version = version;
    router->view_tables_version = version;
    cw_router_apply_tables(router);
    cw_router_tables_changed(router);
}

/* Milliseconds since the server last answered an order; -1: it has answered none of this leader. */
static cw_time_us_t since_answer(const cw_server_contact_t *contact, cw_time_us_t now)
{
    return contact == NULL || contact->answered_at == 0 ? CW_MS(-1) : now - contact->answered_at;
}

static int64_t open_orders(const cw_server_contact_t *contact)
{
    return contact == NULL ? 0 : (int64_t)contact->open_count;
}

static void log_assignment(void *context, const cw_assignment_decision_t *decision)
{
    const cw_router_t *router = ((const cw_service_assignment_t *)context)->router;
    const cw_range_t  *range = decision->range;
    cw_event_t         event;

    if (!cw_event_begin(&event, CW_EVENT_ASSIGNMENT)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_REASON, decision->event);
    cw_event_text(&event, CW_FIELD_DETAIL, decision->detail);
    cw_event_text(&event, CW_FIELD_SERVICE, decision->service);
    cw_event_number(&event, CW_FIELD_LOW, range->low);
    cw_event_number(&event, CW_FIELD_LAST, range->last);
    cw_event_text(&event, CW_FIELD_SERVER, range->owner.id);
    cw_event_number(&event, CW_FIELD_FENCE, (int64_t)range->owner.fence);
    if (range->former.id[0] != '\0') {
        cw_event_text(&event, CW_FIELD_FORMER, range->former.id);
        cw_event_ms(&event, CW_FIELD_FORMER_LEFT_MS, decision->former_left);
        cw_event_ms(&event, CW_FIELD_FORMER_ANSWERED_MS, since_answer(decision->former_contact, decision->now));
        cw_event_number(&event, CW_FIELD_FORMER_OPEN_ORDERS, open_orders(decision->former_contact));
    }
    cw_event_ms(&event, CW_FIELD_ANSWERED_MS, since_answer(decision->owner_contact, decision->now));
    cw_event_number(&event, CW_FIELD_OPEN_ORDERS, open_orders(decision->owner_contact));
    cw_event_number(&event, CW_FIELD_ORDER, (int64_t)decision->order);
    cw_event_number(&event, CW_FIELD_RECORD, (int64_t)cw_store_revision_count(decision->record));
    cw_event_number(&event, CW_FIELD_LIST, (int64_t)cw_store_revision_count(router->server_view.revision));
    cw_event_end(&event);
}

static void log_unanswered(void *context, const cw_order_t *order, const cw_server_contact_t *contact, cw_time_us_t now)
{
    static const char *const kinds[] = {
        [CW_ORDER_GRANT] = "grant", [CW_ORDER_RELEASE] = "release", [CW_ORDER_PROBE] = "probe"};
    const cw_router_t *router = ((const cw_service_assignment_t *)context)->router;
    cw_event_t         event;

    cw_metric_add(CW_METRIC_ORDERS_UNANSWERED, 1);
    if (!cw_event_begin(&event, CW_EVENT_ORDER_UNANSWERED)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_DETAIL, kinds[order->kind]);
    cw_event_text(&event, CW_FIELD_SERVER, order->server);
    cw_event_number(&event, CW_FIELD_ORDER, (int64_t)order->id);
    cw_event_number(&event, CW_FIELD_LOW, order->low);
    cw_event_number(&event, CW_FIELD_LAST, order->last);
    cw_event_number(&event, CW_FIELD_FENCE, (int64_t)order->fence);
    cw_event_ms(&event, CW_FIELD_WAITED_MS, now - order->sent_at);
    cw_event_ms(&event, CW_FIELD_ANSWERED_MS, since_answer(contact, now));
    cw_event_number(&event, CW_FIELD_OPEN_ORDERS, (int64_t)contact->open_count);
    cw_event_number(&event, CW_FIELD_TERM, (int64_t)router->leadership.lock.term);
    cw_event_end(&event);
}

void cw_router_measure_orders(const cw_router_t *router)
{
    size_t open = 0;
    size_t unanswering = 0;
    size_t index;

    for (index = 0; index < router->assignment_count; index++) {
        const cw_server_contacts_t *contacts = cw_assigner_contacts(router->assignments[index].assigner);

        open += cw_server_contacts_open_orders(contacts);
        unanswering += cw_server_contacts_unanswering(contacts);
    }
    cw_metric_set(CW_METRIC_ORDERS_OPEN, open);
    cw_metric_set(CW_METRIC_SERVERS_UNANSWERING, unanswering);
}

/* ---- services ---- */

static cw_service_assignment_t *find_assignment(cw_router_t *router, const char *name)
{
    size_t index;

    for (index = 0; index < router->assignment_count; index++) {
        if (strcmp(cw_assigner_service(router->assignments[index].assigner), name) == 0) {
            return &router->assignments[index];
        }
    }
    return NULL;
}

static cw_assigner_loss_t known_loss(const cw_router_t *router)
{
    return cw_assigner_loss_since(router->leadership.epochs.has_changed, cw_leadership_lost_at(&router->leadership),
                                  router->settings.leader_hold, CW_MS(CW_ORDER_TIMEOUT_MS), router->settings.hold_long);
}

void cw_router_continue_assigners(cw_router_t *router)
{
    cw_assigner_loss_t loss = known_loss(router);
    size_t             index;

    for (index = 0; index < router->assignment_count; index++) {
        cw_assigner_begin_term(router->assignments[index].assigner, router->leadership.lock.term, &loss);
        on_assignment_changed(&router->assignments[index]);
    }
}

static void add_assignment(cw_router_t *router, const char *name)
{
    cw_service_assignment_t *assignment = &router->assignments[router->assignment_count];
    cw_assigner_settings_t   settings = {.hold = router->settings.hold,
                                         .hold_long = router->settings.hold_long,
                                         .max_hold = router->settings.hold_long,
                                         .renew_every = router->settings.hold / RENEWALS_PER_HOLD,
                                         .order_timeout = CW_MS(CW_ORDER_TIMEOUT_MS),
                                         .release_timeout = CW_MS(RELEASE_TIMEOUT_MS),
                                         .late_order_time = CW_SECONDS(LATE_ORDER_S),
                                         .loss = known_loss(router),
                                         .table_validity = router->settings.hold * CW_TABLES_VALID_PERCENT / 100};
    cw_assigner_ports_t      ports = {.context = assignment,
                                      .store = router->store,
                                      .send_order = send_order,
                                      .on_change = on_assignment_changed,
                                      .log_decision = log_assignment,
                                      .log_unanswered = log_unanswered};

    assignment->router = router;
    router->table_publication.published_at = 0; /* the first tables are published at once */
    assignment->assigner =
        cw_assigner_create(name, router->leadership.lock.term, router->incarnation, &settings, &ports);
    router->assignment_count++;
}

void cw_router_create_assigners(cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];

        /* router_configuration.c logs an excess once per version. */
        if (service->keyed && find_assignment(router, service->name) == NULL &&
            router->assignment_count < CW_KEYED_SERVICES_MAX) {
            add_assignment(router, service->name);
        }
    }
}

void cw_router_add_samples(cw_router_t *router, uint32_t service_hash, const cw_router_samples_t *samples,
                           cw_time_us_t now)
{
    size_t index;
    size_t key;

    for (index = 0; index < router->assignment_count; index++) {
        cw_service_assignment_t *assignment = &router->assignments[index];

        if (cw_name_hash(cw_assigner_service(assignment->assigner)) != service_hash) {
            continue;
        }
        for (key = 0; key < samples->count; key++) {
            uint32_t regions = samples->regions == NULL ? CW_REGIONS_ANY : samples->regions[key];

            if (samples->keys[key] > CW_KEY_LAST) {
                continue; /* callers may send any number; placement could not find a range for this one */
            }
            cw_load_window_add_sample(&assignment->window,
                                      &(cw_key_report_t){.key = samples->keys[key],
                                                         .regions = regions,
                                                         .from = cw_server_pool_zone_bit(router->pool, samples->zone),
                                                         .weight = (double)samples->seen / (double)samples->count},
                                      now);
        }
    }
}

void cw_router_free_assigners(cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->assignment_count; index++) {
        cw_assigner_free(router->assignments[index].assigner);
        cw_load_window_clear(&router->assignments[index].window);
        cw_ownership_measures_clear(&router->assignments[index].measures);
    }
    memset(router->assignments, 0, sizeof(router->assignments));
    router->assignment_count = 0;
    cw_router_measure_orders(router);
}
