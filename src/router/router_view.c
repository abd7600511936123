/**
 * @file router_view.c
 * @brief What this node goes by: the list of servers and the tables of keys, and how old they are.
 *
 * Both come from the leader, in pages under a number. A node that has the newest number takes each heartbeat of the
 * leader as their confirmation. Without a fresh heartbeat it reads the store itself: the list, and the records of
 * assignments, whose owners it then routes by (the store is linearizable, and every change is written there before it
 * is ordered).
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"
#include "router/list_read_delay.h"
#include "router/router_internal.h"
#include "router/view_order.h"

enum {
    LIST_PARTS = 4,           /* a list is read so many times while a leaving server may still get requests, */
    LIST_PARTS_LAGGING = 10,  /* more often where its last changes may be missing in what is read, */
    LIST_PARTS_MANY = 2,      /* and so many times by each of many nodes without the leader's heartbeat */
    LIST_OLD_PERCENT = 60,    /* of that time: an older one is read by nodes that do not read for others, too, */
    LIST_SPREAD_PERCENT = 20, /* and up to so much later at nodes that hear the leader */
    SERVERS_A_NODE = 10,      /* that a list is taken to have at least */
    FIRST_READ_EVERY_MS = 700,
    LEADER_SEEN_MS = 100, /* a node that starts has the leader's heartbeat by then: seeds answer it within 50 ms */
    FIRST_LIST_MS = 4000, /* the leader's list has come by then, from nodes of the zone or the leader itself */
    TABLES_READER_PERCENT = 25, /* of the time they are valid: tables as old are read by readers of many nodes, */
    TABLES_OLD_PERCENT = 50,    /* and by the others: a reader has mostly confirmed theirs before */
    HEARTBEAT_OLD_PERCENT = 45, /* of that time: without the leader's heartbeat for so long a node reads itself */
    TABLES_READ_EVERY_MS = 700,
    LOST_PERCENT = 80 /* of that time: pause of each of many nodes while the store does not answer. A machine is held to
                       * its bounds again only when the store has been back for longer (contact-s of the sheets) */
};

/* ---- servers ---- */

/** How many servers two lists do not share. */
typedef struct servers_difference {
    cw_router_t *router;
    int64_t      added;
    int64_t      removed;
} servers_difference_t;

static void note_difference(void *context, const cw_server_entry_t *before, cw_server_entry_t *after)
{
    servers_difference_t *difference = context;

    difference->added += before == NULL ? 1 : 0;
    if (after == NULL) {
        difference->removed++;
        cw_router_crashes_note_gone(difference->router, before);
    }
}

static void note_servers(cw_router_t *router, const cw_server_list_t *before)
{
    cw_server_list_t    *list = router->server_view.list;
    servers_difference_t difference = {.router = router};
    cw_event_t           event;

    cw_server_lists_compare(before, list, note_difference, &difference);
    if (cw_event_begin(&event, CW_EVENT_SERVERS_CHANGED)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)list->count);
        cw_event_number(&event, CW_FIELD_ADDED, difference.added);
        cw_event_number(&event, CW_FIELD_REMOVED, difference.removed);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)router->view_list_version);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)router->server_view.revision);
        cw_event_end(&event);
    }
}

/* Another list is in force: all that goes by it is told. */
static void use_servers(cw_router_t *router, cw_server_list_t *before, cw_time_us_t before_valid_at, cw_time_us_t now)
{
    cw_server_list_t *list = router->server_view.list;

    note_servers(router, before);
    cw_server_pool_update(router->pool, list, now);
    cw_router_apply_zones(router, before_valid_at, now);
    if (router->leadership.leading) {
        cw_replaced_versions_add(&router->replaced_servers, router->leader_list_version, before_valid_at);
        router->leader_list_version++;
        router->view_list_version = router->leader_list_version;
        cw_list_history_add(&router->list_history, before, list, router->leader_list_version);
    }
    cw_server_list_release(before);
    cw_metric_set(CW_METRIC_SERVERS, list->count);
    cw_router_apply_tables(router); /* owners may have come or gone */
    if (router->leadership.leading) {
        cw_router_servers_changed(router, now);
    }
    cw_engine_wake(router->engine);
}

void cw_router_log_older_servers(const cw_router_t *router, uint64_t revision, const char *source)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_SERVERS_OLDER)) {
        cw_event_text(&event, CW_FIELD_DETAIL, source);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)revision);
        cw_event_number(&event, CW_FIELD_IN_FORCE, (int64_t)router->server_view.revision);
        cw_event_end(&event);
    }
}

static void note_kept(const cw_router_t *router, size_t before)
{
    cw_event_t event;

    if (router->server_view.kept > before && cw_event_begin(&event, CW_EVENT_SERVERS_KEPT)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)router->server_view.kept);
        cw_event_ms(&event, CW_FIELD_LEFT_MS, router->server_view.absence.grace);
        cw_event_end(&event);
    }
}

bool cw_router_apply_servers(cw_router_t *router, const cw_server_reading_t *reading)
{
    cw_time_us_t      now = cw_router_now(router);
    size_t            kept = router->server_view.kept;
    cw_time_us_t      before_valid_at = router->server_view.valid_at;
    cw_server_list_t *before;
    cw_view_result_t  result = cw_server_view_apply(&router->server_view, reading, now, &before);

    if (result == CW_VIEW_CHANGED) {
        note_kept(router, kept);
        use_servers(router, before, before_valid_at, now);
    } else if (result == CW_VIEW_OLDER) {
        cw_router_log_older_servers(router, reading->revision, "read");
    }
    return result != CW_VIEW_OLDER;
}

void cw_router_on_servers(void *context, const cw_servers_read_t *read)
{
    cw_router_t        *router = context;
    cw_server_reading_t reading = {.list = read->list,
                                   .revision = read->revision,
                                   .latest = read->latest,
                                   .valid_at = router->reading_copy ? 0 : router->servers_read_at - read->lag,
                                   .store_failed = router->store_availability.failed_at > router->server_view.valid_at};

    router->reading_servers = false;
    router->servers_lag = read->lag;
    cw_router_store_result(router, read->list != NULL, cw_router_now(router));
    if (read->list != NULL && cw_router_apply_servers(router, &reading) && !router->leadership.leading) {
        router->view_list_version = 0; /* changes that the leader tells cannot be laid over it */
    }
}

/* Servers that were given time to sign in again, and have not. */
static void expire_servers(cw_router_t *router, cw_time_us_t now)
{
    cw_server_list_t *before;

    if (cw_server_view_expire(&router->server_view, now, &before) == CW_VIEW_CHANGED) {
        use_servers(router, before, router->server_view.valid_at, now);
    }
}

/* A process that has just started does not know the others yet, and takes it that there are many. */
static bool is_one_of_many(const cw_router_t *router, cw_time_us_t now)
{
    return cw_router_is_new(router, now) ||
           cw_peer_link_count_alive(router->link, router->silence, now) >= CW_FLEET_MANY_NODES;
}

/* While the store does not answer, many nodes that ask it are a burden, and each call has a price: the readers go on.
 */
static cw_time_us_t pause_of_reading(const cw_router_t *router, cw_time_us_t usual, cw_time_us_t now)
{
    cw_time_us_t longer = router->settings.drain * LOST_PERCENT / 100;
    bool         is_spared = router->store_availability.is_lost && !router->is_reader && is_one_of_many(router, now);

    return is_spared && longer > usual ? longer : usual;
}

/* Between readings while the store answers. */
static cw_time_us_t usual_pause_of_reading(const cw_router_t *router, cw_time_us_t now)
{
    if (cw_router_has_authority(router, now)) {
        return router->settings.drain / (router->servers_lag > 0 ? LIST_PARTS_LAGGING : LIST_PARTS);
    }
    return router->settings.drain / (is_one_of_many(router, now) ? LIST_PARTS_MANY : LIST_PARTS);
}

static void read_servers(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t pause = usual_pause_of_reading(router, now);
    bool         from_copy = router->server_view.list == NULL && !cw_router_has_authority(router, now);

    pause = from_copy ? CW_MS(FIRST_READ_EVERY_MS) : pause_of_reading(router, pause, now);
    if (router->reading_servers || now - router->servers_read_at < pause) {
        return;
    }
    router->reading_servers = true;
    router->servers_read_at = now;
    if (!from_copy && router->server_view.list != NULL && router->server_view.revision != 0) {
        router->store->set_known_servers(router->store->context, router->server_view.list,
                                         router->server_view.revision);
    }
    router->reading_copy = from_copy;
    router->store->read_servers(router->store->context, from_copy);
}

/* ---- tables ---- */

static const char *id_of_hash(const cw_router_t *router, uint32_t hash)
{
    const cw_server_t *server = cw_server_pool_find_hash(router->pool, hash);

    return server == NULL ? "" : server->id;
}

static void use_table(cw_router_t *router, const cw_key_table_t *table)
{
    cw_key_route_t *routes = calloc(table->count + 1, sizeof(*routes));
    size_t          index;

    if (routes == NULL) {
        abort();
    }
    for (index = 0; index < table->count; index++) {
        const cw_table_entry_t *entry = &table->entries[index];
        cw_key_route_t         *route = &routes[index];

        route->low = entry->low;
        route->last = entry->last;
        route->fence = entry->fence;
        cw_text_copy(route->server, sizeof(route->server), id_of_hash(router, entry->server));
        route->routable = entry->routable && route->server[0] != '\0';
    }
    cw_engine_set_table(router->engine, table->service, routes, table->count, router->view_tables_version);
    free(routes);
}

void cw_router_apply_tables(cw_router_t *router)
{
    size_t index;

    router->tables_hash = cw_key_tables_hash(&router->tables);
    for (index = 0; index < router->tables.count; index++) {
        use_table(router, &router->tables.items[index]);
    }
}

/* For how long tables are routed by after they were surely true. */
static cw_time_us_t tables_valid(const cw_router_t *router)
{
    return router->settings.hold * CW_TABLES_VALID_PERCENT / 100;
}

/* For how long a node without the leader's heartbeat goes by the tables it has. */
static cw_time_us_t tables_rest(const cw_router_t *router, cw_time_us_t now)
{
    if (router->is_reader) {
        return is_one_of_many(router, now) ? tables_valid(router) * TABLES_READER_PERCENT / 100 : 0;
    }
    return tables_valid(router) * TABLES_OLD_PERCENT / 100;
}

static void validate_tables(cw_router_t *router, cw_time_us_t valid_at)
{
    router->tables_valid_at = valid_at > router->tables_valid_at ? valid_at : router->tables_valid_at;
    cw_engine_set_tables_valid(router->engine, router->tables_valid_at, router->tables_valid_at + tables_valid(router));
}

void cw_router_confirm_tables(cw_router_t *router, cw_time_us_t valid_at)
{
    validate_tables(router, valid_at);
}

/* ---- the leader's heartbeat ---- */

/* The list in force is the leader's newest, or was true until a moment that the leader tells. */
static void confirm_servers(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    cw_time_us_t valid_at;

    if (router->view_list_version >= heartbeat->servers) {
        cw_server_view_confirm(&router->server_view, heartbeat->list_revision, now - CW_MS(heartbeat->list_age_ms));
        return;
    }
    valid_at = cw_replaced_versions_true_at(router->view_list_version, heartbeat->servers,
                                            heartbeat->servers_replaced_ms, heartbeat->n_servers_replaced_ms, now);
    cw_server_view_confirm(&router->server_view, router->server_view.revision, valid_at);
}

/* The same of the tables. */
static void confirm_tables(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    if (heartbeat->tables == 0) {
        return;
    }
    if (router->view_tables_version >= heartbeat->tables) {
        validate_tables(router, now);
    } else {
        validate_tables(router, cw_replaced_versions_true_at(router->view_tables_version, heartbeat->tables,
                                                             heartbeat->tables_replaced_ms,
                                                             heartbeat->n_tables_replaced_ms, now));
    }
}

void cw_router_handle_leader_heartbeat(cw_router_t *router, const cw_peer_t *peer,
                                       const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    cw_event_t event;

    cw_leadership_receive_heartbeat(&router->leadership, heartbeat->term, heartbeat->revision, heartbeat->able, now);
    if (peer->stopping) {
        cw_leadership_receive_step_down(&router->leadership, now);
    }
    if (router->leadership.leading || heartbeat->term < router->leader_term) {
        return;
    }
    if (heartbeat->term > router->leader_term || strcmp(router->leader_node, peer->node) != 0) {
        router->leader_term = heartbeat->term;
        cw_text_copy(router->leader_node, sizeof(router->leader_node), peer->node);
        if (cw_event_begin(&event, CW_EVENT_LEADER_SEEN)) {
            cw_event_text(&event, CW_FIELD_LEADER, peer->node);
            cw_event_number(&event, CW_FIELD_TERM, (int64_t)heartbeat->term);
            cw_event_number(&event, CW_FIELD_REVISION, (int64_t)heartbeat->revision);
            cw_event_end(&event);
        }
    }
    if (!heartbeat->able) {
        return;
    }
    router->leader_heartbeat_at = now;
    cw_router_note_nodes(router, heartbeat->nodes);
    cw_router_adopt_versions(router, peer, heartbeat);
    cw_router_check_view(router, heartbeat, now);
    cw_router_list_exchange_heartbeat(router, heartbeat, now);
    if (router->view_term == heartbeat->term) {
        confirm_servers(router, heartbeat, now);
        confirm_tables(router, heartbeat, now);
    }
}

/* ---- reading what no leader tells ---- */

/** A record being read. */
typedef struct table_read {
    cw_router_t *router;
    cw_time_us_t sent_at;
    bool         from_copy; /**< what it brings may be seconds old */
    char         service[64];
} table_read_t;

/* While a move is under way the owner may hold the keys by an order carried out late, beside the former holder: only
 * the leader knows when it surely does. So there the record is not routed by. */
static void use_record(cw_router_t *router, const char *service, const cw_assignment_record_t *record)
{
    cw_key_table_t *table = cw_key_tables_service(&router->tables, service);
    size_t          index;

    if (table == NULL) {
        return;
    }
    table->count = 0;
    for (index = 0; index < record->ranges.count; index++) {
        const cw_range_t *range = &record->ranges.items[index];
        cw_table_entry_t  entry = {.low = range->low,
                                   .last = range->last,
                                   .server = cw_name_hash(range->owner.id),
                                   .fence = range->owner.fence,
                                   .routable = range->former.id[0] == '\0'};

        cw_key_table_add(table, &entry, 1);
    }
    router->view_tables_version = 0; /* the leader's next heartbeat has to bring its own again */
    cw_router_apply_tables(router);
}

static void on_record(void *data, const cw_store_reply_t *reply)
{
    table_read_t          *read = data;
    cw_router_t           *router = read->router;
    cw_time_us_t           valid_at = read->sent_at;
    cw_assignment_record_t record;

    if (read->from_copy) { /* used for a while; owners that hold the keys no longer say so */
        valid_at -= tables_valid(router) * TABLES_OLD_PERCENT / 100;
    }
    router->table_reads_pending--;
    cw_router_store_result(router, reply->result == CW_STORE_DONE || reply->result == CW_STORE_NOT_FOUND,
                           cw_router_now(router));
    if (reply->result == CW_STORE_DONE && !router->leadership.leading &&
        cw_assignment_record_from_json(&record, reply->value)) {
        if (valid_at > router->tables_valid_at && cw_record_is_usable(record.term, router->view_term)) {
            cw_router_begin_term(router, record.term);
            use_record(router, read->service, &record);
            validate_tables(router, valid_at);
        }
        cw_range_list_clear(&record.ranges);
    }
    free(read);
}

static void read_tables(cw_router_t *router, cw_time_us_t now)
{
    size_t index;

    if (router->configuration == NULL || router->table_reads_pending > 0 ||
        now - router->tables_read_at < pause_of_reading(router, CW_MS(TABLES_READ_EVERY_MS), now)) {
        return;
    }
    router->tables_read_at = now;
    for (index = 0; index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];
        table_read_t       *read;

        if (!service->keyed) {
            continue;
        }
        read = cw_memory_zeroed(sizeof(*read));
        read->router = router;
        read->sent_at = now;
        cw_text_copy(read->service, sizeof(read->service), service->name);
        router->table_reads_pending++;
        read->from_copy = router->tables_valid_at == 0 && cw_router_is_new(router, now);
        if (read->from_copy) {
            router->store->read_copy(router->store->context, CW_ASSIGNMENTS_KIND, service->name, on_record, read);
        } else {
            router->store->read(router->store->context, CW_ASSIGNMENTS_KIND, service->name, on_record, read);
        }
    }
}

bool cw_router_tables_known(const cw_router_t *router)
{
    size_t index;

    for (index = 0; router->configuration != NULL && index < router->configuration->service_count; index++) {
        if (router->configuration->services[index].keyed) {
            return router->tables_valid_at > 0;
        }
    }
    return true;
}

/* One line when the leader falls silent, one when the tables get too old to route by. */
static void note_age(cw_router_t *router, bool heartbeat_is_fresh, cw_time_us_t now)
{
    bool expired = router->tables_valid_at > 0 &&
                   now >= router->tables_valid_at + router->settings.hold * CW_TABLES_VALID_PERCENT / 100;
    cw_event_t event;

    if (!heartbeat_is_fresh && !router->leader_silent && router->leader_heartbeat_at > 0 &&
        cw_event_begin(&event, CW_EVENT_LEADER_SILENT)) {
        cw_event_text(&event, CW_FIELD_LEADER, router->leader_node);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, now - router->leader_heartbeat_at);
        cw_event_end(&event);
    }
    if (expired && !router->tables_expired && cw_event_begin(&event, CW_EVENT_VIEW_EXPIRED)) {
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)router->view_tables_version);
        cw_event_ms(&event, CW_FIELD_VIEW_AGE_MS, now - router->tables_valid_at);
        cw_event_end(&event);
    }
    router->leader_silent = !heartbeat_is_fresh;
    router->tables_expired = expired;
}

/* How long nodes that would read now all by themselves are to be spread over. While a fleet starts the list here is far
 * shorter than the one that would be read. */
static cw_time_us_t reading_window(const cw_router_t *router, cw_time_us_t now)
{
    size_t nodes = cw_fleet_size_nodes(&router->fleet_size, router->peak_nodes, now);
    size_t servers = router->server_view.list == NULL ? 0 : router->server_view.list->count;
    size_t expected = nodes * SERVERS_A_NODE;

    return cw_reading_window(nodes, servers > expected ? servers : expected);
}

/* A node that starts gets the list that the leader has from nodes of its zone. To read it takes a call for each page of
 * the store, and a reading of a later revision turns away the pages that come: so it reads only what does not come.
 */
static bool is_first_read_due(const cw_router_t *router, bool heartbeat_is_fresh, cw_time_us_t now)
{
    cw_time_us_t wait = CW_MS(heartbeat_is_fresh ? FIRST_LIST_MS : LEADER_SEEN_MS);

    wait += cw_reading_turn(cw_name_hash(router->settings.node), reading_window(router, now));
    return now - router->started_at >= wait;
}

/* A list that the leader cannot renew for a moment gets old at all nodes at once (list_read_delay.h). Few nodes without
 * the leader's heartbeat do not take turns: what they read is little. */
static cw_time_us_t list_old_after(const cw_router_t *router, bool heartbeat_is_fresh, cw_time_us_t now)
{
    cw_time_us_t window = reading_window(router, now);
    cw_time_us_t spread = router->settings.drain * LIST_SPREAD_PERCENT / 100;

    if (window < spread) {
        window = heartbeat_is_fresh ? spread : 0;
    }
    return router->settings.drain * LIST_OLD_PERCENT / 100 +
           cw_reading_turn(cw_name_hash(router->settings.node), window);
}

/* A reader reads as soon as the leader's heartbeat fails to come; the others when no reader has confirmed their list.
 */
static bool is_list_due(const cw_router_t *router, bool heartbeat_is_fresh, cw_time_us_t now)
{
    cw_time_us_t age = now - router->server_view.valid_at;

    if (router->server_view.list == NULL) {
        return is_first_read_due(router, heartbeat_is_fresh, now);
    }
    if (cw_router_is_new(router, now)) {
        return false;
    }
    if (router->is_reader && (!heartbeat_is_fresh || age > router->settings.drain * HEARTBEAT_OLD_PERCENT / 100)) {
        return true;
    }
    return age > list_old_after(router, heartbeat_is_fresh, now);
}

void cw_router_view_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t old = router->settings.drain * HEARTBEAT_OLD_PERCENT / 100;
    bool         heartbeat_is_fresh = now - router->leader_heartbeat_at < old;

    expire_servers(router, now);
    note_age(router, heartbeat_is_fresh || cw_router_has_authority(router, now), now);
    if (cw_router_has_authority(router, now)) {
        read_servers(router, now);
        if (router->leader_tables_version > 0) {
            validate_tables(router, now);
        }
        return;
    }
    if (is_list_due(router, heartbeat_is_fresh, now)) {
        read_servers(router, now);
    }
    if (!heartbeat_is_fresh && now - router->tables_valid_at > tables_rest(router, now)) {
        read_tables(router, now);
    }
}
