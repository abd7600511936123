/**
 * @file router_list_reads.c
 * @brief Reads of the list of servers by this node, and whether requests may be sent by the list in force
 * (list_renewal.h).
 */
#include <arpa/inet.h>

#include "router/list_read_delay.h"
#include "router/list_renewal.h"
#include "router/router_internal.h"

enum {
    LIST_READS_PER_DRAIN = 4, /* reads of the list during `drain`, in which a leaving server may still get requests */
    LAGGING_LIST_READS_PER_DRAIN = 10, /* the same at a leader if the list that is read may lack the last changes */
    FLEET_LIST_READS_PER_DRAIN = 2,    /* the same at each node of a large fleet without the leader's heartbeat */
    MIN_SERVERS_PER_NODE = 10,         /* servers that a list is assumed to have at least */
    FIRST_READ_RETRY_MS = 700,
    LEADER_WAIT_MS = 100, /* a starting node receives the leader's heartbeat in this time: seeds answer within 50 ms */
    LEADER_LIST_WAIT_MS = 4000, /* the leader's list arrives in this time, from nodes of the zone or from the leader */
    /* Of `drain`, see cw_router_read_interval. The time bounds apply to a machine again only when the store has been
     * back for longer than this interval. */
    STORE_LOST_INTERVAL_PERCENT = 80
};

/* ---- results ---- */

/* Whether the store is out of this node's reach now. */
static bool is_store_out(const cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t asked_at = router->reading_servers ? router->servers_read_at : 0;

    return cw_store_availability_is_out(&router->store_availability, asked_at, router->settings.settle, now);
}

bool cw_router_has_missed_store(const cw_router_t *router, cw_time_us_t now)
{
    return router->store_availability.failed_at > router->server_view.evidence.valid_at || is_store_out(router, now);
}

cw_time_us_t cw_router_bound_from(const cw_router_t *router)
{
    cw_time_us_t failed_asked_at = router->store_availability.failed_asked_at;

    return failed_asked_at == 0 ? 0 : failed_asked_at + router->settings.settle;
}

/* Whether entries may be missing in this reading although their servers live: calls have failed since the list in force
 * was valid, or the store was restored since. */
static bool has_store_failed(const cw_router_t *router, const cw_servers_read_t *read)
{
    const cw_server_view_t *view = &router->server_view;

    return router->store_availability.failed_at > view->evidence.valid_at ||
           cw_store_revision_epoch(read->revision) > cw_store_revision_epoch(view->revision);
}

void cw_router_on_servers(void *context, const cw_servers_read_t *read)
{
    cw_router_t        *router = context;
    cw_server_reading_t reading = {.list = read->list,
                                   .revision = read->revision,
                                   .latest = read->latest,
                                   .store_failed = has_store_failed(router, read),
                                   .bound_from = cw_router_bound_from(router)};

    if (!router->reading_copy) {
        reading.evidence =
            (cw_list_evidence_t){.valid_at = router->servers_read_at - read->lag, .source = CW_LIST_SOURCE_READING};
    }
    router->reading_servers = false;
    if (read->needs_whole) {
        router->needs_whole_at = cw_router_now(router);
    }
    cw_router_store_result(router, read->list != NULL || read->needs_whole || read->is_answered, read->asked_at,
                           cw_router_now(router));
    if (read->list == NULL) {
        return;
    }
    router->servers_lag = read->lag;
    router->servers_based_at = router->servers_read_at;
    if (cw_router_apply_servers(router, &reading) && !router->leadership.leading) {
        router->view_list_version = 0; /* the leader's changes cannot be applied to a list read from the store */
    }
}

/* ---- how often ---- */

/* A process that has just started does not know the other nodes yet, and assumes that there are many. */
bool cw_router_is_in_large_fleet(const cw_router_t *router, cw_time_us_t now)
{
    return cw_router_is_new(router, now) ||
           cw_peer_link_count_alive(router->link, router->peer_timeout, now) >= CW_FLEET_MANY_NODES;
}

cw_time_us_t cw_router_read_interval(const cw_router_t *router, cw_time_us_t usual, cw_time_us_t now)
{
    cw_time_us_t longer = router->settings.drain * STORE_LOST_INTERVAL_PERCENT / 100;
    bool         is_slowed =
        router->store_availability.is_lost && !router->reader.is_reader && cw_router_is_in_large_fleet(router, now);

    return is_slowed && longer > usual ? longer : usual;
}

/* Interval between two reads of the list while the store answers. */
static cw_time_us_t usual_read_interval(const cw_router_t *router, cw_time_us_t now)
{
    bool is_seldom = cw_router_is_in_large_fleet(router, now) && router->servers_lag == 0;

    if (cw_router_has_authority(router, now)) {
        return router->settings.drain / (router->servers_lag > 0 ? LAGGING_LIST_READS_PER_DRAIN : LIST_READS_PER_DRAIN);
    }
    return router->settings.drain / (is_seldom ? FLEET_LIST_READS_PER_DRAIN : LIST_READS_PER_DRAIN);
}

/* ---- whether a read is due ---- */

/* Time over which the reads of nodes that would all read now are spread. While a fleet starts, the list at this node is
 * far shorter than the one in the store, so that a minimum is assumed. */
static cw_time_us_t read_window(const cw_router_t *router, cw_time_us_t now)
{
    size_t nodes = cw_fleet_size_nodes(&router->fleet_size, router->peak_nodes.count, now);
    size_t servers = router->server_view.list == NULL ? 0 : router->server_view.list->count;
    size_t expected = nodes * MIN_SERVERS_PER_NODE;

    return cw_list_read_window(nodes, servers > expected ? servers : expected);
}

/* Whether the changes since the list in force can be read. After the store has forgotten its history, they can once the
 * list has been renewed by another way. */
static bool knows_changes(const cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t valid_at = router->server_view.evidence.valid_at;
    cw_time_us_t based_at = valid_at > router->servers_based_at ? valid_at : router->servers_based_at;

    return (router->needs_whole_at == 0 || based_at > router->needs_whole_at) && router->server_view.revision != 0 &&
           now - based_at < CW_MS(CW_STORE_CHANGES_AGE_MAX_MS);
}

bool cw_router_has_heartbeat(const cw_router_t *router, cw_time_us_t now)
{
    return now - router->leader.heartbeat_at < router->settings.drain * CW_LIST_READER_PERCENT / 100;
}

static cw_list_renewal_t renewal_of(const cw_router_t *router, cw_time_us_t now)
{
    return (cw_list_renewal_t){.drain = router->settings.drain,
                               .settle = router->settings.settle,
                               .started_at = router->started_at,
                               .valid_at = router->server_view.evidence.valid_at,
                               .window = read_window(router, now),
                               .node = cw_name_hash(router->settings.node),
                               .is_reader = router->reader.is_reader,
                               .has_heartbeat = cw_router_has_heartbeat(router, now),
                               .is_short = knows_changes(router, now)};
}

/* A starting node receives the leader's list from nodes of its zone. Reading the list takes a call for each page of the
 * store, and after reading a later revision the node rejects the pages that it receives. So it reads the list only if
 * the leader's list does not arrive in time. */
static bool is_first_read_due(const cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t wait = CW_MS(cw_router_has_heartbeat(router, now) ? LEADER_LIST_WAIT_MS : LEADER_WAIT_MS);

    wait += cw_list_read_delay(cw_name_hash(router->settings.node), read_window(router, now));
    return now - router->started_at >= wait;
}

static bool is_due(const cw_router_t *router, const cw_list_renewal_t *renewal, cw_time_us_t now)
{
    if (cw_router_has_authority(router, now)) {
        return true;
    }
    return router->server_view.list == NULL ? is_first_read_due(router, now) : cw_list_renewal_is_due(renewal, now);
}

/* Where nodes take turns to read whole lists, those that do not read for others read the changes only: all of them read
 * now. */
static cw_list_read_t how_to_read(const cw_router_t *router, const cw_list_renewal_t *renewal, cw_time_us_t now)
{
    bool reads_for_others = cw_router_has_authority(router, now) || router->reader.is_reader;

    if (router->server_view.list == NULL && !cw_router_has_authority(router, now)) {
        return CW_LIST_READ_COPY;
    }
    if (renewal->is_short && !reads_for_others && cw_list_renewal_takes_turns(renewal)) {
        return CW_LIST_READ_CHANGES;
    }
    return CW_LIST_READ;
}

static void read_servers(cw_router_t *router, const cw_list_renewal_t *renewal, cw_time_us_t now)
{
    const cw_server_view_t *view = &router->server_view;
    cw_list_read_t          how = how_to_read(router, renewal, now);
    cw_time_us_t            interval = usual_read_interval(router, now);

    interval = how == CW_LIST_READ_COPY ? CW_MS(FIRST_READ_RETRY_MS) : cw_router_read_interval(router, interval, now);
    if (router->reading_servers || now - router->servers_read_at < interval) {
        return;
    }
    router->reading_servers = true;
    router->servers_read_at = now;
    if (how != CW_LIST_READ_COPY && view->list != NULL && view->revision != 0) {
        router->store->set_known_servers(router->store->context, view->list, view->revision, view->evidence.valid_at);
    }
    router->reading_copy = how == CW_LIST_READ_COPY;
    router->store->read_servers(router->store->context, how);
}

/* ---- whether requests may be sent ---- */

static void log_list_usable(const cw_router_t *router, bool is_usable, cw_time_us_t now)
{
    const cw_list_evidence_t *evidence = &router->server_view.evidence;
    char                      from[INET_ADDRSTRLEN] = "";
    cw_event_t                event;

    if (!cw_event_begin(&event, is_usable ? CW_EVENT_LIST_RENEWED : CW_EVENT_LIST_OLD)) {
        return;
    }
    if (evidence->valid_at != 0) {
        cw_event_ms(&event, CW_FIELD_LIST_AGE_MS, now - evidence->valid_at);
    }
    cw_event_text(&event, CW_FIELD_LIST_SOURCE, cw_list_source_name(evidence->source));
    if (evidence->from != 0) {
        (void)inet_ntop(AF_INET, &evidence->from, from, sizeof(from)); /* fails only for a buffer that is too short */
        cw_event_text(&event, CW_FIELD_LIST_FROM, from);
    }
    cw_event_end(&event);
}

/* The log states only changes while a list is there. */
static void update_bound(cw_router_t *router, const cw_list_renewal_t *renewal, cw_time_us_t now)
{
    bool was_usable = router->list_is_usable;

    cw_engine_bind_to_list_age(router->engine, cw_list_renewal_is_binding(renewal, is_store_out(router, now), now));
    router->list_is_usable = cw_engine_list_is_usable(router->engine, now);
    if (router->list_is_usable == was_usable || router->server_view.list == NULL) {
        return;
    }
    log_list_usable(router, router->list_is_usable, now);
    cw_engine_wake(router->engine);
}

void cw_router_list_reads_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_list_renewal_t renewal = renewal_of(router, now);

    if (is_due(router, &renewal, now)) {
        read_servers(router, &renewal, now);
    }
    update_bound(router, &renewal, now);
}
