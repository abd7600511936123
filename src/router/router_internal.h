/**
 * @file router_internal.h
 * @brief State shared by a node's parts.
 */
#ifndef CEDARWINCH_ROUTER_INTERNAL_H
#define CEDARWINCH_ROUTER_INTERNAL_H

#include "balance/queue_lengths.h"
#include "base/byte_buffer.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/send_allowance.h"
#include "lease/leadership.h"
#include "model/server_view.h"
#include "peer/detours.h"
#include "peer/peer_link.h"
#include "placement/order_trust.h"
#include "placement/ownership_measures.h"
#include "placement/plan_timing.h"
#include "placement/planner.h"
#include "router/broker_choice.h"
#include "router/configuration_exchange.h"
#include "router/configuration_freshness.h"
#include "router/configuration_newest.h"
#include "router/fleet_size.h"
#include "router/leader_tenure.h"
#include "router/list_history.h"
#include "router/pass_on_queue.h"
#include "router/replaced_versions.h"
#include "router/router.h"
#include "router/signal_notices.h"
#include "router/store_availability.h"
#include "router/store_reader.h"
#include "router/table_pages.h"
#include "router/table_publication.h"
#include "router/view_updates.h"
#include "tenancy/credential_evidence.h"

enum {
    CW_TICK_MS = 20,
    CW_PEER_TIMEOUT_MS = 1000, /**< at least; longer where many nodes make reports rare */
    CW_LARGE_FLEET_DATAGRAMS_PER_SECOND =
        60, /**< of reports of one of many nodes, whose datagrams are most of what all do */
    CW_LEADER_DATAGRAMS_PER_SECOND = 1000, /**< of its reports, and of its tables */
    CW_KEYED_SERVICES_MAX = CW_TABLE_SERVICES_MAX,
    CW_TABLES_VALID_PERCENT = 80 /**< of a grant's hold: tables are used no longer without a fresh heartbeat */
};

/** The leader's state of one service divided by key. */
typedef struct cw_service_assignment {
    cw_assigner_t          *assigner;
    struct cw_router       *router;
    cw_load_window_t        window;
    cw_ownership_measures_t measures;
    cw_time_us_t            measured_load_at;
    cw_time_us_t            next_plan;
    cw_plan_timing_t        timing;
} cw_service_assignment_t;

/** How long relays may take to pass the leader's last changes on to their zones. */
typedef struct cw_relay_delays {
    cw_time_us_t servers;
    cw_time_us_t tables;
} cw_relay_delays_t;

/** Slots of servers: this node's counting, and whom it asks. */
typedef struct cw_router_slots cw_router_slots_t;
/** What the nodes of a zone say to those of other zones, and hear from them, by relays. */
typedef struct cw_router_relay cw_router_relay_t;

/** Whole lists of servers asked of nodes of this zone, and sent to them. */
typedef struct cw_router_list_exchange cw_router_list_exchange_t;

/** Requests that crash servers: proofs, and reports to other nodes. */
typedef struct cw_router_crashes cw_router_crashes_t;

/** Tenants' limits: this node's counting, and on whom it counts. */
typedef struct cw_router_quota cw_router_quota_t;

typedef struct cw_router {
    cw_router_settings_t settings;
    char                 file_name[256];
    const cw_adapter_t  *adapter;
    void                *platform;
    cw_store_port_t     *store;
    uv_loop_t            loop;
    uv_timer_t           tick;
    uv_signal_t          terminate;
    uv_signal_t          interrupt;
    uv_signal_t          hang_up;
    uint64_t             incarnation;
    cw_http_listener_t  *callers;
    cw_http_listener_t  *readiness;
    cw_http_listener_t  *metrics;
    cw_upstream_t       *upstream;
    cw_server_pool_t    *pool;
    cw_engine_t         *engine;
    cw_peer_link_t      *link;
    cw_router_slots_t   *slots;
    cw_router_relay_t   *relay;
    cw_router_quota_t   *quota;
    cw_detours_t        *detours;
    cw_router_crashes_t *crashes;
    cw_signal_notices_t *signal_notices;
    cw_configuration_t  *configuration;
    cw_time_us_t         started_at;
    cw_time_us_t         stopping_at; /**< 0: not stopping */
    cw_time_us_t         stop_by;     /**< the process ends by then; settings that change meanwhile do not count */
    cw_time_us_t         checked_file_at;
    cw_fleet_size_t      fleet_size;
    uint32_t             peak_nodes; /**< nodes alive at once, within the retry budget's window */
    cw_time_us_t         peak_nodes_at;
    int64_t              file_changed; /**< modification time and size of the settings file, mixed */

    /* reports */
    uint32_t           sequence;
    cw_time_us_t       silence; /**< a node not received from for so long counts as lost */
    cw_time_us_t       reported_zone_at;
    cw_time_us_t       reported_all_at;
    cw_time_us_t       reported_full_at;
    cw_time_us_t       reported_leader_at;
    cw_time_us_t       key_samples_sent_at;
    cw_time_us_t       send_names_until;
    bool               zone_report_due;
    bool               all_report_due;
    cw_queue_lengths_t queue_lengths; /**< of other nodes */

    /* reading the store for others */
    bool         is_reader;
    cw_time_us_t readers_ranked_at; /**< when that was worked out last */
    cw_time_us_t notice_sent_at;    /**< last notice to the zone */

    /* the configuration */
    cw_configuration_exchange_t *exchange;
    cw_configuration_freshness_t freshness;
    cw_credential_evidence_t     credential_evidence; /**< how old `freshness` may grow for callers' keys */
    cw_configuration_newest_t    configuration_newest;

    cw_router_list_exchange_t *list_exchange;

    /* what this node goes by */
    cw_server_view_t        server_view; /**< the list of servers in force */
    cw_zone_service_t      *zones;       /**< which zones are out of service, by that list */
    cw_cold_rate_t         *cold_rate;   /**< which nodes send to cold servers */
    cw_time_us_t            cold_rate_nodes_updated_at;
    bool                    reading_servers; /**< this node reads the list itself */
    bool                    reading_copy;    /**< from a copy, that may be seconds old */
    cw_time_us_t            servers_read_at; /**< sending of that read */
    cw_time_us_t            servers_lag;     /**< what changed in so long before the last one may be missing in it */
    uint64_t                view_term;
    uint64_t                view_list_version;
    uint64_t                view_tables_version;
    cw_time_us_t            tables_valid_at; /**< when the tables were surely true */
    cw_time_us_t            leader_heartbeat_at;
    uint64_t                leader_term;
    bool                    leader_silent;  /**< logged */
    bool                    tables_expired; /**< logged */
    char                    leader_node[CW_NODE_NAME_MAX];
    cw_view_updates_t      *view_updates; /**< what the leader and relays are telling */
    cw_key_tables_t         tables;
    uint64_t                tables_hash;
    cw_time_us_t            tables_read_at;
    uint32_t                table_reads_pending; /**< under way */
    cw_store_availability_t store_availability;

    /* leading */
    cw_leadership_t         leadership;
    cw_leader_tenure_t      tenure;
    uint64_t                leader_list_version; /**< number of the list that others are sent */
    uint64_t                leader_tables_version;
    cw_table_publication_t  table_publication;
    cw_replaced_versions_t  replaced_servers;
    cw_replaced_versions_t  replaced_tables;
    cw_list_history_t       list_history;
    cw_send_allowance_t     push_allowance; /**< for bringing others up to date */
    cw_relay_delays_t       relay_delays;
    cw_pass_on_queue_t     *pass_on;
    cw_order_trust_t       *order_trust; /**< servers that this leader's orders did not reach */
    cw_service_assignment_t keyed[CW_KEYED_SERVICES_MAX];
    size_t                  keyed_count;
} cw_router_t;

cw_time_us_t cw_router_now(const cw_router_t *router);

/* ---- router_callers.c ---- */
/** Listens for callers. Returns 0 or a libuv error. */
int cw_router_callers_start(cw_router_t *router);

/* ---- router_admin.c ---- */
/** Listens for questions about this node: readiness, status, metrics. Returns 0 or a libuv error. */
int cw_router_admin_start(cw_router_t *router);

/* ---- router_reload.c ---- */
/** Modification time and size of a file, mixed; 0: there is none. */
int64_t cw_router_file_state(const char *file_name);
/** Reads the settings file again; what may change while the process runs is taken over. */
void cw_router_reload(cw_router_t *router);
/** The same if the file has changed, looked at a few times a second. */
void cw_router_check_file(cw_router_t *router, cw_time_us_t now);

/* ---- router_stop.c ---- */
/** Begins a planned stop, unless one has begun. */
void cw_router_stop(cw_router_t *router);
/** Ends the process when it is time to. */
void cw_router_check_stop(cw_router_t *router, cw_time_us_t now);

/* ---- router_peers.c ---- */
void cw_router_peers_init(cw_router_t *router);
void cw_router_peers_tick(cw_router_t *router, cw_time_us_t now);
/** How long reports of a node that sends no more still count. */
cw_time_us_t cw_router_report_lifetime(const cw_router_t *router);
void         cw_router_log_peer(const cw_peer_t *peer, cw_event_kind_t kind, cw_time_us_t silent);

/* ---- router_report.c ---- */
/** Parts of a report that are left out where nobody needs them. */
enum {
    CW_REPORT_NAMES = 1,
    CW_REPORT_PACES = 2,
    CW_REPORT_PACES_TO_LEADER = 4,
    CW_REPORT_LOADS = 8,
    CW_REPORT_KEYS = 16
};
/** Packs a report of this node as it is now, for cw_peer_link_send_packed. parts: CW_REPORT_ values, added. */
size_t cw_router_pack_report(cw_router_t *router, uint32_t parts, cw_time_us_t now);

/* ---- router_relay.c ---- */
void cw_router_relay_init(cw_router_t *router);
void cw_router_relay_tick(cw_router_t *router, cw_time_us_t now);
void cw_router_handle_zone_summary(cw_router_t *router, const Cwp__Datagram *datagram, cw_time_us_t now);
/** Do relays keep this node and the nodes of the peer's zone informed of one another? */
bool cw_router_is_covered(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Are the peer's requests counted in sums of its zone that this node gets? */
bool cw_router_is_summarized(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Is the peer one of the relays of its zone? */
bool cw_router_is_relay(const cw_router_t *router, const cw_peer_t *peer);
/** Is this node one, and is it the first one? */
bool cw_router_acts_as_relay(const cw_router_t *router);
bool cw_router_acts_as_first_relay(const cw_router_t *router);
/** Did this node stand still a moment ago, so that nobody knows how old a datagram is that is read now? */
bool cw_router_reads_backlog(const cw_router_t *router, cw_time_us_t now);
/** Asks for the whole list, or tables, if what this node has under the leader's number has long been another. */
void cw_router_check_view(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);
/** Nodes of the largest zone, as far as known. */
uint32_t cw_router_largest_zone(const cw_router_t *router);

/* ---- router_pass_on.c ---- */
void cw_router_pass_on_init(cw_router_t *router);
/** Sends a page of changes that the leader has sent this relay to the other nodes of its zone. */
void cw_router_pass_on_page(cw_router_t *router, const Cwp__Datagram *datagram);
/** Goes on with what waits for the allowance. */
void cw_router_pass_on_tick(cw_router_t *router, cw_time_us_t now);
/** Sends the leader's heartbeat, which has just come with a report, to the zone, if this node is a relay. */
void cw_router_pass_on_heartbeat(cw_router_t *router, const cw_peer_t *leader, const Cwp__NodeReport *report);
void cw_router_handle_passed_heartbeat(cw_router_t *router, const cw_peer_t *sender, const Cwp__PassedHeartbeat *passed,
                                       cw_time_us_t now);

/* ---- router_list_exchange.c ---- */
void cw_router_list_exchange_init(cw_router_t *router);
void cw_router_list_exchange_free(cw_router_t *router);
void cw_router_list_exchange_tick(cw_router_t *router, cw_time_us_t now);
/** The leader's heartbeat names its newest list. */
void cw_router_list_exchange_heartbeat(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);
/** A node has reported which list it has. */
void cw_router_list_exchange_note_holder(cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** A page of a whole list has come; `next_missing`: first page not yet here, page->pages when none is. */
void cw_router_list_exchange_page_received(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page,
                                           uint32_t next_missing);
/** A node names another one that has the list, in place of pages. */
void cw_router_list_exchange_redirected(cw_router_t *router, const Cwp__ServersPage *page);
void cw_router_handle_list_request(cw_router_t *router, const cw_peer_t *peer, const Cwp__ListRequest *request);
/** Does a node that lacks the whole list get it from another one of its zone, which has it or is a relay? */
bool cw_router_gets_list_in_zone(const cw_router_t *router, const cw_peer_t *peer);

/* ---- router_push.c ---- */
/** What is sent to a peer: changes since number `base`, or the whole (0). pass_on: the peer, a relay, is to pass it on.
 */
typedef struct cw_push_scope {
    uint64_t base;
    bool     pass_on;
} cw_push_scope_t;
/** Pages that were packed for one peer, for others that lack the same. Valid within one turn of the loop. */
typedef struct cw_packed_pages {
    cw_datagram_batch_t batch;
    cw_push_scope_t     scope;
    bool                is_packed;
} cw_packed_pages_t;
/** Sends the list, or the tables, as this node has them. */
void cw_router_send_servers(cw_router_t *router, const cw_peer_t *peer, const cw_push_scope_t *scope,
                            cw_packed_pages_t *packed);
void cw_router_send_tables(cw_router_t *router, const cw_peer_t *peer, const cw_push_scope_t *scope,
                           cw_packed_pages_t *packed);
/** Does a relay of its zone send this node what it lacks? */
bool cw_router_is_updated_by_relay(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Bytes that may be sent to bring others up to date. */
void cw_router_push_init(cw_router_t *router);
/** When what was sent just now is sent again. */
cw_time_us_t cw_router_next_push(cw_push_state_t *push, cw_time_us_t now);
/** This node leads now: others look first whether they have what it has. */
void cw_router_push_begin_term(cw_router_t *router, cw_time_us_t now);
/** A new number of the list (or the tables): sent at once to those that had the one before. */
void cw_router_servers_changed(cw_router_t *router, cw_time_us_t now);
void cw_router_tables_changed(cw_router_t *router);
/** Pushes the list (or the tables) to peers that have an older one. */
void cw_router_push_servers(cw_router_t *router, cw_time_us_t now);
void cw_router_push_tables(cw_router_t *router, cw_time_us_t now);
/** Sends nodes that know few others the addresses of those that this node knows. */
void cw_router_push_nodes(cw_router_t *router, cw_time_us_t now);

/* ---- router_configuration.c ---- */
/** Version in force; 0: none yet. */
uint64_t cw_router_version(const cw_router_t *router);
void     cw_router_on_configuration(void *context, cw_configuration_t *configuration, const char *problem);
/** Another node has this version in force. */
void cw_router_note_configuration(cw_router_t *router, const cw_peer_t *peer, uint64_t version, cw_time_us_t now);
/** An answer of the store shows that no configuration above this version had been acknowledged at that moment. */
void cw_router_on_configuration_evidence(void *context, uint64_t version, cw_time_us_t at);
/** Brings a configuration, given away, into force if it is higher than the one that is. */
bool cw_router_apply_configuration(cw_router_t *router, cw_configuration_t *configuration);
void cw_router_configuration_tick(cw_router_t *router, cw_time_us_t now);

/* ---- router_share.c ---- */
/** Is this node so new that others hold it to no bound yet, and do not know it? It reads little, and from copies. */
bool cw_router_is_new(const cw_router_t *router, cw_time_us_t now);
void cw_router_share_init(cw_router_t *router);
void cw_router_share_tick(cw_router_t *router, cw_time_us_t now);
/** A configuration came into force here. is_from_store: from the store, not from another node. */
void cw_router_share_configuration(cw_router_t *router, bool is_from_store, cw_time_us_t now);
void cw_router_handle_notice(cw_router_t *router, cw_peer_t *peer, const Cwp__StoreNotice *notice, cw_time_us_t now);

/* ---- router_receive.c ---- */
void cw_router_on_datagram(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram);
/** Replaces what this sender reported before of requests that wait there. */
void cw_router_handle_queues(cw_router_t *router, uint64_t sender, bool is_near, Cwp__QueueLength *const *queues,
                             size_t count, cw_time_us_t now);

/* ---- router_view.c ---- */
/** Offers a list, which is given away. False: a later one is in force. */
bool cw_router_apply_servers(cw_router_t *router, const cw_server_reading_t *reading);
/** A list was not taken, since one of a later revision is in force. source: on which way it came. */
void cw_router_log_older_servers(const cw_router_t *router, uint64_t revision, const char *source);
/** Routes by the tables as they are now, and by the servers known now. */
void cw_router_apply_tables(cw_router_t *router);
void cw_router_handle_leader_heartbeat(cw_router_t *router, const cw_peer_t *peer,
                                       const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);
/** Reads what no leader sends. */
void cw_router_view_tick(cw_router_t *router, cw_time_us_t now);
void cw_router_on_servers(void *context, const cw_servers_read_t *read);
/** The tables in force were still true then, as a node that has the same ones has read. */
void cw_router_confirm_tables(cw_router_t *router, cw_time_us_t valid_at);
bool cw_router_tables_known(const cw_router_t *router);

/* ---- router_zones.c ---- */
void cw_router_zones_init(cw_router_t *router);
/** Another list is in force: servers and zones out of service by it. before_valid_at: of the list before. */
void cw_router_apply_zones(cw_router_t *router, cw_time_us_t before_valid_at, cw_time_us_t now);
/** As configured: how the servers of each service start. */
void cw_router_apply_warm_ups(cw_router_t *router);
void cw_router_zones_tick(cw_router_t *router, cw_time_us_t now);

/* ---- router_slots.c ---- */
void cw_router_slots_init(cw_router_t *router);
void cw_router_slots_tick(cw_router_t *router, cw_time_us_t now);
/** Nodes that run and whose zone is known, this one among them unless it stops; gathered anew a few times a second. */
const cw_broker_candidate_t *cw_router_broker_candidates(const cw_router_t *router, size_t *count);
/** Are there so many nodes that these do not report each request to one another? */
bool cw_router_nodes_are_many(const cw_router_t *router);
void cw_router_handle_slot_ask(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotAsk *message);
void cw_router_handle_slot_reply(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReply *message);
void cw_router_handle_slot_return(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReturn *message);

/* ---- router_broadcast.c ---- */
/** How far a broadcast has come. */
enum {
    CW_BROADCAST_FROM_NODE,     /**< that has something to tell, to its zone */
    CW_BROADCAST_BETWEEN_ZONES, /**< from a relay to relays of other zones */
    CW_BROADCAST_INSIDE_ZONE    /**< from such a relay to its zone */
};
/** Sends the datagram packed last, of the first stage, to all nodes. */
void cw_router_broadcast(cw_router_t *router, size_t length, cw_time_us_t now);
/** If this node is a relay that has to: sends it on. stage: the datagram's own, which is changed. */
void cw_router_pass_on_broadcast(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                 uint32_t *stage);

/* ---- router_crashes.c ---- */
void cw_router_crashes_init(cw_router_t *router);
void cw_router_crashes_tick(cw_router_t *router, cw_time_us_t now);
/** An entry is no longer in the list. */
void cw_router_crashes_note_gone(cw_router_t *router, const cw_server_entry_t *entry);
void cw_router_handle_crash_report(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                   cw_time_us_t now);

/* ---- router_signals.c ---- */
void cw_router_signals_init(cw_router_t *router);
void cw_router_signals_tick(cw_router_t *router, cw_time_us_t now);
/** The limit of the server of this hash, for a message; false: it has none now. */
bool cw_router_pack_limit(const cw_router_t *router, uint32_t hash, Cwp__ServerLimit *message);
/** Another node states a server's limit. */
void cw_router_take_limit(cw_router_t *router, const Cwp__ServerLimit *message, cw_time_us_t now);
void cw_router_handle_signal_notice(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                    cw_time_us_t now);

/* ---- router_store_calls.c ---- */
/** Logs the calls to the store since the last line, each few seconds in which there were any. */
void cw_router_store_calls_tick(cw_time_us_t now);

/* ---- router_traffic.c ---- */
/** What this node has sent to others, as Prometheus text. */
void cw_router_traffic_metrics(const cw_router_t *router, cw_bytes_t *text);
/** The same as one line of the log. */
void cw_router_log_traffic(const cw_router_t *router);

/* ---- router_detours.c ---- */
void cw_router_detours_init(cw_router_t *router);
/** Looks for ways to nodes that may be cut off from this one alone. */
void cw_router_detours_tick(cw_router_t *router, cw_time_us_t now);
void cw_router_handle_detour(cw_router_t *router, const cw_peer_t *sender, const Cwp__Detour *detour);
/** Is the peer alive, as far as this node, or another one on its behalf, has received from it lately? */
bool cw_router_is_alive(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Do datagrams pass between this node and the peer both ways, directly or by way of another node? */
bool cw_router_is_reachable(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Sends directly, or by way of another node where one is known to bring the peer what does not arrive directly. False:
 * the datagram is too long. */
bool cw_router_send_to(cw_router_t *router, const cw_peer_t *peer, const Cwp__Datagram *datagram);

/* ---- router_quota.c, router_quota_choice.c, router_quota_wire.c ---- */
void cw_router_quota_init(cw_router_t *router);
void cw_router_quota_tick(cw_router_t *router, cw_time_us_t now);
/** A lock or a heartbeat states how many nodes there are; 0: it does not know. Limits go by it at once. */
void cw_router_note_nodes(cw_router_t *router, uint32_t nodes);
/** Part of what all nodes share that this node may give out: as large as the part of the nodes that it reaches. */
double cw_router_quota_share(const cw_router_t *router);
void   cw_router_handle_quota_report(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaReport *report);
void   cw_router_handle_quota_status(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaStatus *status);
void   cw_router_handle_quota_ask(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaAsk *ask);
void   cw_router_handle_quota_grant(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaGrant *grant);
void   cw_router_handle_quota_return(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaReturn *returned);

/* ---- router_view_pages.c ---- */
/** What this node goes by is of this term from now on, if it is a later one; it has nothing of it yet. */
void cw_router_begin_term(cw_router_t *router, uint64_t term);
void cw_router_handle_servers_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page);
void cw_router_handle_table_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__TablePage *page);
void cw_router_handle_ack(cw_router_t *router, cw_peer_t *peer, const Cwp__ViewAck *ack);
/** Takes the leader's numbers over where what this node has is the same by its hash. */
void cw_router_adopt_versions(cw_router_t *router, const cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat);

/* ---- router_plan.c ---- */
/** Makes a plan for a service this node leads, if it is time for one. */
void cw_router_plan(cw_router_t *router, cw_service_assignment_t *keyed, cw_time_us_t now);
/** Counts imbalance, churn and unavailable time of a service this node leads. */
void cw_router_measure(cw_service_assignment_t *keyed, cw_time_us_t now);

/* ---- router_assigners.c ---- */
/** Makes an assigner for each service divided by key that has none yet. */
void cw_router_find_keyed(cw_router_t *router);
void cw_router_end_assigners(cw_router_t *router);
/** Brings changed assignments into the tables, and sends these, if it is time to. */
void cw_router_publish_tables(cw_router_t *router, cw_time_us_t now);
/** Keys of requests that a node has seen. Borrowed. */
typedef struct cw_router_samples {
    const uint32_t *keys;
    const uint32_t *regions; /**< where each may go (region_mask.h); NULL: all of them anywhere */
    size_t          count;
    uint32_t        seen; /**< requests that they stand for */
    const char     *zone; /**< of that node */
} cw_router_samples_t;
void cw_router_add_samples(cw_router_t *router, uint32_t service_hash, const cw_router_samples_t *samples,
                           cw_time_us_t now);

/* ---- router_lead.c ---- */
void cw_router_lead_init(cw_router_t *router);
void cw_router_lead_tick(cw_router_t *router, cw_time_us_t now);
/** How much this node can carry as the leader; thousandths of a core, as far as its link goes with them. */
uint32_t cw_router_capability(const cw_router_t *router);
bool     cw_router_has_authority(const cw_router_t *router, cw_time_us_t now);
/** The store answered a call of this node, or did not. */
void cw_router_store_result(cw_router_t *router, bool answered, cw_time_us_t now);
/** The same for calls of standing readers. */
void cw_router_on_answered(void *context, bool is_answered);

#endif
