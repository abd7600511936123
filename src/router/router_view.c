/**
 * @file router_view.c
 * @brief The list of servers and the tables of keys by which this node routes, and their age.
 *
 * The leader sends both in pages, each with a version. For a node that has the newest version, each heartbeat of the
 * leader confirms them. Without a fresh heartbeat a node reads the store itself: the list, and the records of
 * assignments, by whose owners it then routes. This is safe because the store is linearizable, and every change is
 * written there before servers are ordered to carry it out. A record that is older than a restore of the store may lack
 * such a change (store_epoch.h), and is not used.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"
#include "router/router_internal.h"
#include "router/view_order.h"

enum {
    READER_TABLES_STALE_PERCENT = 25, /* of the tables' validity: age at which readers of a large fleet read them */
    TABLES_STALE_PERCENT = 50,        /* the same for other nodes, for which a reader mostly confirms them before */
    TABLES_READ_INTERVAL_MS = 700
};

/* ---- the list of servers ---- */

/** Number of servers by which two lists differ. */
typedef struct servers_difference {
    cw_router_t *router;
    int64_t      added;
    int64_t      removed;
} servers_difference_t;

static void count_difference(void *context, const cw_server_entry_t *before, cw_server_entry_t *after)
{
    servers_difference_t *difference = context;

    difference->added += before == NULL ? 1 : 0;
    if (after == NULL) {
        difference->removed++;
        cw_router_crashes_record_gone(difference->router, before);
    }
}

static void log_servers_changed(cw_router_t *router, const cw_server_list_t *before)
{
    cw_server_list_t    *list = router->server_view.list;
    servers_difference_t difference = {.router = router};
    cw_event_t           event;

    cw_server_lists_compare(before, list, count_difference, &difference);
    if (cw_event_begin(&event, CW_EVENT_SERVERS_CHANGED)) {
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)list->count);
        cw_event_number(&event, CW_FIELD_ADDED, difference.added);
        cw_event_number(&event, CW_FIELD_REMOVED, difference.removed);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)router->view_list_version);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)cw_store_revision_count(router->server_view.revision));
        cw_event_end(&event);
    }
}

/* Passes another list that is in force to all parts of the node that use it. */
static void apply_servers(cw_router_t *router, cw_server_list_t *before, cw_time_us_t before_valid_at, cw_time_us_t now)
{
    cw_server_list_t *list = router->server_view.list;

    log_servers_changed(router, before);
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
    cw_router_apply_tables(router); /* owners may have been added or removed */
    if (router->leadership.leading) {
        cw_router_servers_changed(router, now);
    }
    cw_engine_wake(router->engine);
}

uint32_t cw_router_sent_epoch(uint64_t revision)
{
    return (uint32_t)cw_store_revision_epoch(revision) + 1;
}

uint64_t cw_router_received_revision(const cw_router_t *router, uint32_t epoch, uint64_t count)
{
    const cw_store_epochs_t *epochs = &router->leadership.epochs;

    if (epoch != 0) {
        return cw_store_revision_join(epoch - 1, count);
    }
    return cw_store_revision_join(epochs->has_changed ? 0 : epochs->current, count);
}

void cw_router_log_older_servers(const cw_router_t *router, uint64_t revision, const char *source)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_SERVERS_OLDER)) {
        cw_event_text(&event, CW_FIELD_DETAIL, source);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)cw_store_revision_count(revision));
        cw_event_number(&event, CW_FIELD_IN_FORCE, (int64_t)cw_store_revision_count(router->server_view.revision));
        cw_event_number(&event, CW_FIELD_EPOCH, (int64_t)cw_store_revision_epoch(revision));
        cw_event_end(&event);
    }
}

static void log_servers_kept(const cw_router_t *router, size_t before)
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
    cw_time_us_t      before_valid_at = router->server_view.evidence.valid_at;
    cw_server_list_t *before;
    cw_view_result_t  result = cw_server_view_apply(&router->server_view, reading, now, &before);

    if (result == CW_VIEW_CHANGED) {
        log_servers_kept(router, kept);
        apply_servers(router, before, before_valid_at, now);
    } else if (result == CW_VIEW_OLDER) {
        cw_router_log_older_servers(router, reading->revision, "read");
    }
    return result != CW_VIEW_OLDER;
}

/* Removes servers that were given time to register again and have not done so. */
static void expire_servers(cw_router_t *router, cw_time_us_t now)
{
    cw_server_list_t *before;

    if (cw_server_view_expire(&router->server_view, now, &before) == CW_VIEW_CHANGED) {
        apply_servers(router, before, router->server_view.evidence.valid_at, now);
    }
}

/* ---- tables ---- */

static const char *find_server_id(const cw_router_t *router, uint32_t hash)
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
        cw_text_copy(route->server, sizeof(route->server), find_server_id(router, entry->server));
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

/* Time for which tables may be used after they were last known to be valid. */
static cw_time_us_t tables_validity(const cw_router_t *router)
{
    return router->settings.hold * CW_TABLES_VALID_PERCENT / 100;
}

/* Age of the tables at which a node without the leader's heartbeat reads them from the store. */
static cw_time_us_t tables_max_age(const cw_router_t *router, cw_time_us_t now)
{
    if (router->reader.is_reader) {
        return cw_router_is_in_large_fleet(router, now) ? tables_validity(router) * READER_TABLES_STALE_PERCENT / 100
                                                        : 0;
    }
    return tables_validity(router) * TABLES_STALE_PERCENT / 100;
}

static void validate_tables(cw_router_t *router, cw_time_us_t valid_at)
{
    router->tables_valid_at = valid_at > router->tables_valid_at ? valid_at : router->tables_valid_at;
    cw_engine_set_tables_valid(router->engine, router->tables_valid_at,
                               router->tables_valid_at + tables_validity(router));
}

void cw_router_confirm_tables(cw_router_t *router, cw_time_us_t valid_at)
{
    validate_tables(router, valid_at);
}

/* ---- reads without a leader ---- */

/** A record of assignments that is being read. */
typedef struct table_read {
    cw_router_t *router;
    cw_time_us_t sent_at;
    bool         from_copy; /**< the result may be seconds old */
    char         service[64];
} table_read_t;

/* Routes by a record. While keys are being moved, the new owner may hold them because of an order that was carried out
 * late, besides the former holder. Only the leader knows when the owner certainly holds them. So a range with a former
 * owner is not routable by the record. */
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
    router->view_tables_version = 0; /* the leader has to send its own tables again after its next heartbeat */
    cw_router_apply_tables(router);
}

/* Whether a record that was asked for at `valid_at` is later than what the tables were last confirmed by. The records
 * of several services are asked for at the same time; the first one that is used confirms the tables of all. */
static bool is_record_later(const cw_router_t *router, cw_time_us_t valid_at)
{
    bool is_by_records = router->view_tables_version == 0;

    return valid_at > router->tables_valid_at || (is_by_records && valid_at == router->tables_valid_at);
}

static void log_unreadable_record(const char *service)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_STORE_BODIES_MALFORMED, 1);
    if (cw_event_begin(&event, CW_EVENT_STORE_BODY_MALFORMED)) {
        cw_event_text(&event, CW_FIELD_DETAIL, CW_ASSIGNMENTS_KIND);
        cw_event_text(&event, CW_FIELD_SERVICE, service);
        cw_event_text(&event, CW_FIELD_REASON, "not a record of this program: its owners are not known");
        cw_event_end(&event);
    }
}

static void on_record(void *data, const cw_store_reply_t *reply)
{
    table_read_t          *read = data;
    cw_router_t           *router = read->router;
    cw_time_us_t           valid_at = read->sent_at;
    cw_assignment_record_t record;

    if (read->from_copy) { /* used for a shorter time; owners that no longer hold the keys reply that they do not */
        valid_at -= tables_validity(router) * TABLES_STALE_PERCENT / 100;
    }
    router->table_reads_pending--;
    cw_router_store_result(router, cw_store_reply_is_answer(reply), read->sent_at, cw_router_now(router));
    if (reply->result != CW_STORE_DONE || router->leadership.leading) {
        free(read);
        return;
    }
    if (!cw_assignment_record_from_json(&record, reply->value)) {
        log_unreadable_record(read->service);
    } else {
        if (is_record_later(router, valid_at) && cw_record_is_usable(record.term, router->view_term) &&
            !cw_store_epochs_is_outdated(&router->leadership.epochs, record.epoch_stamp)) {
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
        now - router->tables_read_at < cw_router_read_interval(router, CW_MS(TABLES_READ_INTERVAL_MS), now)) {
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

/* Logs one line when the leader's heartbeat is overdue, and one when the tables become too old for routing. */
static void log_staleness(cw_router_t *router, bool is_heartbeat_fresh, cw_time_us_t now)
{
    bool expired = router->tables_valid_at > 0 &&
                   now >= router->tables_valid_at + router->settings.hold * CW_TABLES_VALID_PERCENT / 100;
    cw_event_t event;

    if (!is_heartbeat_fresh && !router->leader.is_overdue && router->leader.heartbeat_at > 0 &&
        cw_event_begin(&event, CW_EVENT_LEADER_SILENT)) {
        cw_event_text(&event, CW_FIELD_LEADER, router->leader.node);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, now - router->leader.heartbeat_at);
        cw_event_end(&event);
    }
    if (expired && !router->tables_expired && cw_event_begin(&event, CW_EVENT_VIEW_EXPIRED)) {
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)router->view_tables_version);
        cw_event_ms(&event, CW_FIELD_VIEW_AGE_MS, now - router->tables_valid_at);
        cw_event_end(&event);
    }
    router->leader.is_overdue = !is_heartbeat_fresh;
    router->tables_expired = expired;
}

void cw_router_view_tick(cw_router_t *router, cw_time_us_t now)
{
    bool is_heartbeat_fresh = cw_router_has_heartbeat(router, now);

    expire_servers(router, now);
    log_staleness(router, is_heartbeat_fresh || cw_router_has_authority(router, now), now);
    cw_router_list_reads_tick(router, now);
    if (cw_router_has_authority(router, now)) {
        if (router->leader_tables_version > 0) {
            validate_tables(router, now);
        }
        return;
    }
    if (!is_heartbeat_fresh && now - router->tables_valid_at > tables_max_age(router, now)) {
        read_tables(router, now);
    }
}
