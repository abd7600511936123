/**
 * @file router_internal.h
 * @brief State of a node and the functions that its parts (the files router_*.c) call of one another.
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
#include "router/forward_queue.h"
#include "router/known_leader.h"
#include "router/leader_tenure.h"
#include "router/list_history.h"
#include "router/peak_nodes.h"
#include "router/replaced_versions.h"
#include "router/report_schedule.h"
#include "router/router.h"
#include "router/settings_file.h"
#include "router/signal_notices.h"
#include "router/store_availability.h"
#include "router/store_reader.h"
#include "router/table_pages.h"
#include "router/table_publication.h"
#include "router/view_updates.h"
#include "tenancy/credential_evidence.h"

/** Times and limits that several parts of a node use. */
enum {
    CW_TICK_MS = 20,
    /** Shortest time without a datagram after which a peer counts as lost; longer in large fleets, whose nodes report
     * rarely. */
    CW_PEER_TIMEOUT_MS = 1000,
    /** Limit of a node's report datagrams in a large fleet, where handling reports is most of the work of all nodes. */
    CW_LARGE_FLEET_DATAGRAMS_PER_SECOND = 60,
    /** Limit of the leader's reports, and likewise of its table updates. */
    CW_LEADER_DATAGRAMS_PER_SECOND = 1000,
    CW_KEYED_SERVICES_MAX = CW_TABLE_SERVICES_MAX,
    /** Part of a grant's lease duration for which tables are used without a fresh heartbeat of the leader. */
    CW_TABLES_VALID_PERCENT = 80
};

/** The leader's state for one service whose keys are divided among its servers. */
typedef struct cw_service_assignment {
    cw_assigner_t          *assigner;
    struct cw_router       *router;
    cw_load_window_t        window;
    cw_ownership_measures_t measures;
    cw_time_us_t            measured_load_at; /**< last measurement of the load's imbalance */
    cw_time_us_t            next_plan;        /**< no plan is made before this time */
    cw_plan_timing_t        timing;
} cw_service_assignment_t;

/** Estimated time for the relays to forward the leader's latest update to all nodes of their zones. The leader waits
 * for the relays for this time in addition before it sends the update to a node itself. */
typedef struct cw_relay_delays {
    cw_time_us_t servers; /**< of the list of servers */
    cw_time_us_t tables;  /**< of the tables of keys */
} cw_relay_delays_t;

/** Servers' request slots: those that this node counts as a broker, and the brokers that it asks (router_slots.c). */
typedef struct cw_router_slots cw_router_slots_t;
/** Zone summaries that relays exchange between zones (router_relay.c). */
typedef struct cw_router_relay cw_router_relay_t;

/** Whole lists of servers requested from nodes of this zone, and sent to them (router_list_exchange.c). */
typedef struct cw_router_list_exchange cw_router_list_exchange_t;

/** Requests that crash servers: proofs that a server has ended, and reports to other nodes (router_crashes.c). */
typedef struct cw_router_crashes cw_router_crashes_t;

/** Paths to servers: their evidence, and probes (router_paths.c). */
typedef struct cw_router_paths cw_router_paths_t;

/** Requests passed to other nodes, and taken from them (router_delegation.c). */
typedef struct cw_router_delegation cw_router_delegation_t;

/** Tenants' limits: tenants that this node counts, and the nodes that count the others (router_quota.h). */
typedef struct cw_router_quota cw_router_quota_t;

/** All state of a node. */
typedef struct cw_router {
    cw_router_settings_t    settings;
    cw_settings_file_t      settings_file;
    const cw_adapter_t     *adapter;
    void                   *platform;
    cw_store_port_t        *store;
    uv_loop_t               loop;
    uv_timer_t              tick;
    uv_signal_t             terminate;
    uv_signal_t             interrupt;
    uv_signal_t             hang_up;
    uint64_t                incarnation; /**< random number that names this process; another one after a restart */
    cw_http_listener_t     *callers;
    cw_http_listener_t     *readiness;
    cw_http_listener_t     *metrics;
    cw_upstream_t          *upstream;
    cw_answer_memory_t      answer_memory; /**< for answers of servers, also those that other nodes pass on */
    cw_server_pool_t       *pool;
    cw_engine_t            *engine;
    cw_peer_link_t         *link;
    cw_router_slots_t      *slots;
    cw_router_relay_t      *relay;
    cw_router_quota_t      *quota;
    cw_detours_t           *detours;
    cw_router_crashes_t    *crashes;
    cw_router_paths_t      *paths;
    cw_router_delegation_t *delegation;
    cw_signal_notices_t    *signal_notices;
    cw_configuration_t     *configuration;
    cw_time_us_t            started_at;
    cw_time_us_t            stopping_at; /**< when the planned stop began; 0: not stopping */
    /** Latest time at which the process ends; fixed when the stop begins, so later changes of the settings do not move
     * it. */
    cw_time_us_t    stop_deadline;
    cw_fleet_size_t fleet_size;
    cw_peak_nodes_t peak_nodes; /**< within the retry budget's window */

    /* reports */
    uint32_t             sequence;     /**< of this node's last report */
    cw_time_us_t         peer_timeout; /**< a node from which nothing is received for so long counts as lost */
    cw_report_schedule_t reports;
    cw_queue_lengths_t   queue_lengths; /**< of other nodes */

    /* reading the store on behalf of other nodes */
    cw_store_reader_t reader;

    /* the configuration */
    cw_configuration_exchange_t *exchange;
    cw_configuration_freshness_t freshness;
    cw_credential_evidence_t  credential_evidence; /**< bound on the age of `freshness` for accepting callers' keys */
    cw_configuration_newest_t configuration_newest;

    cw_router_list_exchange_t *list_exchange;

    /* the view: the list of servers and the tables of keys that this node routes by */
    cw_server_view_t   server_view;                /**< the list of servers in force */
    cw_zone_service_t *zones;                      /**< zones out of service according to that list */
    cw_cold_rate_t    *cold_rate;                  /**< which nodes share the sending to cold servers */
    cw_time_us_t       cold_rate_nodes_updated_at; /**< last update of the nodes of `cold_rate` */
    bool               reading_servers;            /**< a read of the list by this node is in progress */
    bool               reading_copy;               /**< that read is from a copy, which may be seconds old */
    cw_time_us_t       servers_read_at;            /**< when the last read of the list was sent */
    cw_time_us_t       servers_lag;         /**< the last read may lack changes made within this time before it */
    cw_time_us_t       servers_based_at;    /**< when the last successful read was sent */
    cw_time_us_t       needs_whole_at;      /**< when the store last did not know the changes of the list any more */
    bool               list_is_usable;      /**< requests may be sent by the list in force, as logged */
    uint64_t           view_term;           /**< term of the leader that published this node's view */
    uint64_t           view_list_version;   /**< version of this node's list in that term; 0: none */
    uint64_t           view_tables_version; /**< version of this node's tables in that term; 0: none */
    cw_time_us_t       tables_valid_at;     /**< last time at which the tables were known to be valid; 0: never */
    cw_known_leader_t  leader;
    bool               tables_expired; /**< the tables are too old to route by, which has been logged */
    cw_view_updates_t *view_updates;   /**< updates from the leader and from relays of which pages are still missing */
    cw_key_tables_t    tables;
    uint64_t           tables_hash;
    cw_time_us_t       tables_read_at;      /**< when the records of assignments were last read from the store */
    uint32_t           table_reads_pending; /**< such reads in progress */
    cw_store_availability_t store_availability;

    /* leading */
    cw_leadership_t         leadership;
    cw_leader_tenure_t      tenure;
    uint64_t                leader_list_version;   /**< version of the list that this leader sends to the other nodes */
    uint64_t                leader_tables_version; /**< version of its tables; 0: none published in this term */
    cw_table_publication_t  table_publication;
    cw_replaced_versions_t  replaced_servers;
    cw_replaced_versions_t  replaced_tables;
    cw_list_history_t       list_history;
    cw_send_allowance_t     push_allowance; /**< bytes that may be sent to bring other nodes up to date */
    cw_relay_delays_t       relay_delays;
    cw_forward_queue_t     *forward_queue; /**< updates that this node, as a relay, forwards to its zone */
    cw_order_trust_t       *order_trust;   /**< servers that this leader's orders have not reached lately */
    cw_service_assignment_t assignments[CW_KEYED_SERVICES_MAX]; /**< services divided by key that this node leads */
    size_t                  assignment_count;
} cw_router_t;

/** Time of the node's event loop, on its steady clock. */
cw_time_us_t cw_router_now(const cw_router_t *router);
/** The same, read from the system now (cw_loop_refresh): for the lock and for orders. */
cw_time_us_t cw_router_refresh_now(cw_router_t *router);

/* ---- router_callers.c ---- */
/** Listens for callers. Returns 0 or a libuv error. */
int cw_router_callers_start(cw_router_t *router);

/* ---- router_admin.c ---- */
/** Listens for queries about this node: readiness, status, metrics. Returns 0 or a libuv error. */
int cw_router_admin_start(cw_router_t *router);
/** Whether callers may be sent to this node. */
bool cw_router_is_ready(const cw_router_t *router, cw_time_us_t now);

/* ---- router_reload.c ---- */
/** Reads the settings file again and applies the settings that may change while the process runs. */
void cw_router_reload(cw_router_t *router);
/** Reads the settings file again if it has changed. Called with each tick; checks the file twice a second. */
void cw_router_check_file(cw_router_t *router, cw_time_us_t now);

/* ---- router_stop.c ---- */
/** Begins a planned stop, unless one has begun. */
void cw_router_stop(cw_router_t *router);
/** Stops the event loop once a planned stop is complete or its deadline has passed. Called with each tick. */
void cw_router_check_stop(cw_router_t *router, cw_time_us_t now);

/* ---- router_peers.c ---- */
/** Adds the seeds of the settings as peers. Called at the start and after each reload of the settings. */
void cw_router_peers_init(cw_router_t *router);
/** Sends the reports that are due, and detects lost peers. */
void cw_router_peers_tick(cw_router_t *router, cw_time_us_t now);
/** Time for which the last report of a node is used if no further report arrives. */
cw_time_us_t cw_router_report_lifetime(const cw_router_t *router);
/** Logs that a peer was lost or is back. since_received: time since the last datagram from the peer. */
void cw_router_log_peer(const cw_peer_t *peer, cw_event_kind_t kind, cw_time_us_t since_received);

/* ---- router_report.c ---- */
/** Optional parts of a report; each is left out where no receiver needs it. */
enum {
    CW_REPORT_NAMES = 1,
    CW_REPORT_PACES = 2,
    CW_REPORT_PACES_TO_LEADER = 4,
    CW_REPORT_LOADS = 8,
    CW_REPORT_KEYS = 16
};
/** Packs a report of this node's current state, for cw_peer_link_send_packed. parts: CW_REPORT_ flags. Returns its
 * length. */
size_t cw_router_pack_report(cw_router_t *router, uint32_t parts, cw_time_us_t now);

/* ---- router_relay.c ---- */
/** Creates the state of relays. */
void cw_router_relay_init(cw_router_t *router);
/** Determines the relays of each zone and, on a relay, sends the summaries that are due. */
void cw_router_relay_tick(cw_router_t *router, cw_time_us_t now);
/** Handles a summary of another zone. */
void cw_router_handle_zone_summary(cw_router_t *router, const Cwp__Datagram *datagram, cw_time_us_t now);
/** Whether relays exchange the state of this node's zone and of the peer's zone in both directions. */
bool cw_router_is_covered(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Whether the peer's requests are counted in sums of its zone that this node receives. */
bool cw_router_is_summarized(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Whether the peer is one of the relays of its zone. */
bool cw_router_is_relay(const cw_router_t *router, const cw_peer_t *peer);
/** Whether this node is a relay of its zone. */
bool cw_router_acts_as_relay(const cw_router_t *router);
/** Whether this node is the first relay of its zone. */
bool cw_router_acts_as_first_relay(const cw_router_t *router);
/** Whether this node was stalled a moment ago: a datagram that is read now may have waited in the socket meanwhile, so
 * its age is not known. */
bool cw_router_reads_backlog(const cw_router_t *router, cw_time_us_t now);
/** Requests the whole list, or the tables, if this node's copy has the leader's version but has differed from the
 * leader's (by hash) for long. */
void cw_router_check_view(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);
/** Number of nodes of the largest zone, as far as this node knows. */
uint32_t cw_router_largest_zone(const cw_router_t *router);

/* ---- router_forward.c ---- */
/** Creates the queue of updates that this node, as a relay, forwards. */
void cw_router_forward_init(cw_router_t *router);
/** Forwards a page of changes, which the leader has sent to this relay, to the other nodes of its zone. */
void cw_router_forward_page(cw_router_t *router, const Cwp__Datagram *datagram);
/** Sends queued pages as far as the send allowance permits. */
void cw_router_forward_tick(cw_router_t *router, cw_time_us_t now);
/** If this node is a relay, forwards the leader's heartbeat, which has just arrived with a report, to its zone. */
void cw_router_forward_heartbeat(cw_router_t *router, const cw_peer_t *leader, const Cwp__NodeReport *report);
/** Handles a leader's heartbeat that a relay has forwarded. */
void cw_router_handle_forwarded_heartbeat(cw_router_t *router, const cw_peer_t *sender,
                                          const Cwp__PassedHeartbeat *passed, cw_time_us_t now);

/* ---- router_list_exchange.c ---- */
/** Creates the exchange of whole lists. */
void cw_router_list_exchange_init(cw_router_t *router);
/** Frees the exchange of whole lists. Only tests call this. */
void cw_router_list_exchange_free(cw_router_t *router);
/** Requests missing pages, and sends the pages that others have requested. */
void cw_router_list_exchange_tick(cw_router_t *router, cw_time_us_t now);
/** Records the version of the newest list, which the leader's heartbeat contains. */
void cw_router_list_exchange_heartbeat(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);
/** Records which list the peer has according to its report. */
void cw_router_list_exchange_record_holder(cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Records that a page of a whole list was received. next_missing: the first page that is still missing; page->pages if
 * none is missing. */
void cw_router_list_exchange_page_received(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page,
                                           uint32_t next_missing);
/** Handles a reply that holds no pages, but names another node that has the list. */
void cw_router_list_exchange_redirected(cw_router_t *router, const Cwp__ServersPage *page);
/** Handles a peer's request for pages of the whole list. */
void cw_router_handle_list_request(cw_router_t *router, const cw_peer_t *peer, const Cwp__ListRequest *request);
/** Whether the peer, if it lacks the whole list, gets it from another node of its zone, which has it or is a relay. */
bool cw_router_gets_list_in_zone(const cw_router_t *router, const cw_peer_t *peer);

/* ---- router_push.c ---- */
/** Contents of an update for a peer. */
typedef struct cw_push_scope {
    uint64_t base;    /**< the changes since the list (or tables) of this version; 0: the whole list (or tables) */
    bool     forward; /**< the peer is a relay and forwards the update to its zone */
} cw_push_scope_t;
/** Pages packed for one peer, reused for others that need the same ones. Valid within one iteration of the event loop.
 */
typedef struct cw_packed_pages {
    cw_datagram_batch_t batch;
    cw_push_scope_t     scope;
    bool                is_packed;
} cw_packed_pages_t;
/** Sends this node's list of servers. */
void cw_router_send_servers(cw_router_t *router, const cw_peer_t *peer, const cw_push_scope_t *scope,
                            cw_packed_pages_t *packed);
/** Sends this node's tables of keys. */
void cw_router_send_tables(cw_router_t *router, const cw_peer_t *peer, const cw_push_scope_t *scope,
                           cw_packed_pages_t *packed);
/** Whether the peer gets the leader's changes from a relay of its zone instead of from the leader. */
bool cw_router_is_updated_by_relay(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Sets up the send allowance for updates to other nodes. */
void cw_router_push_init(cw_router_t *router);
/** Records that an update was sent just now; returns when to send it again. */
cw_time_us_t cw_router_next_push(cw_push_state_t *push, cw_time_us_t now);
/** Begins a term of this leader: nothing is sent until the others have had time to find, by hashes, that their copies
 * are equal. */
void cw_router_push_begin_term(cw_router_t *router, cw_time_us_t now);
/** Called when a list of a new version is in force: sends it at once to the peers that had the version before. */
void cw_router_servers_changed(cw_router_t *router, cw_time_us_t now);
/** The same for the tables. */
void cw_router_tables_changed(cw_router_t *router);
/** Sends the list to peers that have an older one. */
void cw_router_push_servers(cw_router_t *router, cw_time_us_t now);
/** Sends the tables to peers that have older ones. */
void cw_router_push_tables(cw_router_t *router, cw_time_us_t now);
/** Sends nodes that know few others the addresses of those that this node knows. */
void cw_router_push_nodes(cw_router_t *router, cw_time_us_t now);

/* ---- router_configuration.c ---- */
/** Version of the configuration in force; 0: none yet. */
uint64_t cw_router_version(const cw_router_t *router);
/** Callback of the store adapter: a configuration was read, whose reference passes to the callee. problem: why it
 * cannot be used; NULL: it can. */
void cw_router_on_configuration(void *context, cw_configuration_t *configuration, const char *problem);
/** Records that another node has this configuration version in force; a newer version is requested from that node. */
void cw_router_record_configuration(cw_router_t *router, const cw_peer_t *peer, uint64_t version, cw_time_us_t now);
/** Callback of the store adapter: an answer of the store shows that no configuration above this version had been
 * acknowledged at that time. */
void cw_router_on_configuration_evidence(void *context, uint64_t version, cw_time_us_t at);
/** Records evidence that another node has sent (configuration_freshness.h): its version, and its packed age then. */
void cw_router_record_sent_evidence(cw_router_t *router, uint64_t version, uint32_t packed_age, cw_time_us_t sent_at);
/** Brings a configuration into force if its version is higher than that of the one in force, and returns whether it
 * did. source: where it comes from, for the log. The reference passes to the callee in either case. */
bool cw_router_apply_configuration(cw_router_t *router, cw_configuration_t *configuration, const char *source);
/** Applies what depends on the age of the configuration in force. Called with each tick. */
void cw_router_configuration_tick(cw_router_t *router, cw_time_us_t now);

/* ---- router_share.c ---- */
/** Whether this process started so recently that the others do not know it yet and no time bounds apply to it. It reads
 * little from the store then, and from copies. */
bool cw_router_is_new(const cw_router_t *router, cw_time_us_t now);
/** Sets up the exchange of configurations between nodes. */
void cw_router_share_init(cw_router_t *router);
/** Decides whether this node reads the store for its zone and, if it does, sends the notices that are due. */
void cw_router_share_tick(cw_router_t *router, cw_time_us_t now);
/** Records that a configuration came into force here. is_from_store: it was read from the store, not received from
 * another node; a reader or leader then announces it to all nodes. */
void cw_router_share_configuration(cw_router_t *router, bool is_from_store, cw_time_us_t now);
/** Handles a reader's notice of what it has read from the store. */
void cw_router_handle_notice(cw_router_t *router, cw_peer_t *peer, const Cwp__StoreNotice *notice, cw_time_us_t now);

/* ---- router_receive.c ---- */
/** Callback of the peer link: passes a received datagram to the function that handles its kind. */
void cw_router_on_datagram(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram);
/** Replaces the numbers of waiting requests that this sender reported before. */
void cw_router_handle_queues(cw_router_t *router, uint64_t sender, bool is_near, Cwp__QueueLength *const *queues,
                             size_t count, cw_time_us_t now);

/* ---- router_view.c ---- */
/** Offers a list of servers; its reference passes to the callee. False: a later one is in force. */
bool cw_router_apply_servers(cw_router_t *router, const cw_server_reading_t *reading);
/** Returns the epoch of a revision as it is sent to other nodes: plus one. */
uint32_t cw_router_sent_epoch(uint64_t revision);
/** Returns the revision that another node sent as an epoch, plus one, and a count of the store. An epoch of 0 is from a
 * node of an earlier release: it is taken as this node's, until this node has seen the store come back from a copy. */
uint64_t cw_router_received_revision(const cw_router_t *router, uint32_t epoch, uint64_t count);
/** Logs that a list was not used, since one of a later revision is in force. source: how it was received. */
void cw_router_log_older_servers(const cw_router_t *router, uint64_t revision, const char *source);
/** Applies the current tables, together with the servers known now, to the routing of requests. */
void cw_router_apply_tables(cw_router_t *router);
/** Reads the list and the records of assignments from the store where no leader sends them. */
void cw_router_view_tick(cw_router_t *router, cw_time_us_t now);
/** Records that the tables in force were still valid at this time, as a node with the same tables has read in the
 * store. */
void cw_router_confirm_tables(cw_router_t *router, cw_time_us_t valid_at);
/** Whether this node has read or received tables of keys; true also if no service is divided by key. */
bool cw_router_tables_known(const cw_router_t *router);

/* ---- router_list_reads.c ---- */
/** Reads the list of servers if that is due, and decides whether requests may be sent by the list in force. */
void cw_router_list_reads_tick(cw_router_t *router, cw_time_us_t now);
/** Callback of the store adapter: the list of servers was read, or could not be. */
void cw_router_on_servers(void *context, const cw_servers_read_t *read);
/** Whether calls of this node to the store have failed since its list was last valid, or are without an answer. */
/** When the bounds on times hold for this node again at the earliest, after its last call to the store that failed; 0:
 * none has. */
cw_time_us_t cw_router_bound_from(const cw_router_t *router);
bool         cw_router_has_missed_store(const cw_router_t *router, cw_time_us_t now);
/** Whether the leader's heartbeat is not missing. */
bool cw_router_has_heartbeat(const cw_router_t *router, cw_time_us_t now);
/** Whether there are so many nodes that each of their calls to the store counts. */
bool cw_router_is_in_large_fleet(const cw_router_t *router, cw_time_us_t now);
/** Interval between two reads of this node that is usually `usual`. While the store does not answer, calls of many
 * nodes would burden it, and each call has a cost: so it is longer at the nodes of a large fleet, except the readers.
 */
cw_time_us_t cw_router_read_interval(const cw_router_t *router, cw_time_us_t usual, cw_time_us_t now);

/* ---- router_heartbeat.c ---- */
/** When a heartbeat was sent; its receipt if the leader's release does not state it. What it says of the list, the
 * tables and the configuration is of that time, however long a relay or a queue has held it up. */
cw_time_us_t cw_router_heartbeat_sent_at(cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);
/** Handles the heartbeat of the leader `peer`. sender: the relay that forwarded it; the leader itself if none did. */
void cw_router_handle_leader_heartbeat(cw_router_t *router, cw_peer_t *peer, const cw_peer_t *sender,
                                       const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now);

/* ---- router_zones.c ---- */
/** Creates the state of zones out of service and of the rate of cold servers. */
void cw_router_zones_init(cw_router_t *router);
/** Applies the servers and the zones out of service of a list that has just come into force. before_valid_at: last time
 * at which the previous list was known to be valid; 0: not known. */
void cw_router_apply_zones(cw_router_t *router, cw_time_us_t before_valid_at, cw_time_us_t now);
/** Applies the configured warm-up of each service's servers. */
void cw_router_apply_warm_ups(cw_router_t *router);
/** Updates the nodes that share the sending to cold servers. */
void cw_router_zones_tick(cw_router_t *router, cw_time_us_t now);

/* ---- router_slots.c ---- */
/** Number of slots that this node has granted as a broker and that were not returned yet. */
size_t cw_router_slots_granted(const cw_router_t *router);
/** Creates the broker of slots, and connects it to the engine. */
void cw_router_slots_init(cw_router_t *router);
/** Updates the candidates for counting slots, and the slots that this node counts. */
void cw_router_slots_tick(cw_router_t *router, cw_time_us_t now);
/** Nodes that are alive and whose zone is known, including this one unless it is stopping; updated ten times a second.
 * Borrowed until the next update. */
const cw_broker_candidate_t *cw_router_broker_candidates(const cw_router_t *router, size_t *count);
/** Whether there are so many nodes that they do not report each request to one another. */
bool cw_router_nodes_are_many(const cw_router_t *router);
/** Handles a node's request for a slot that this node counts. */
void cw_router_handle_slot_ask(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotAsk *message);
/** Handles the reply to a request of this node for a slot. */
void cw_router_handle_slot_reply(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReply *message);
/** Handles the return of a slot that this node counts. */
void cw_router_handle_slot_return(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReturn *message);

/* ---- router_broadcast.c ---- */
/** Stages of a broadcast. */
enum {
    CW_BROADCAST_FROM_NODE,     /**< from the node that broadcasts to the nodes of its zone */
    CW_BROADCAST_BETWEEN_ZONES, /**< from a relay of that zone to relays of other zones */
    CW_BROADCAST_INSIDE_ZONE    /**< from a relay of another zone to the nodes of that zone */
};
/** Sends the datagram that was packed last, whose stage is CW_BROADCAST_FROM_NODE, on its way to all nodes. */
void cw_router_broadcast(cw_router_t *router, size_t length, cw_time_us_t now);
/** Forwards a broadcast datagram if this node is a relay that has to at this stage. stage: the datagram's own field,
 * which is raised by one then. */
void cw_router_forward_broadcast(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                 uint32_t *stage);

/* ---- router_crashes.c ---- */
/** Creates the register of suspected requests, and connects it to the engine. */
void cw_router_crashes_init(cw_router_t *router);
/** Expires suspects, and reports crashes to the other nodes. */
void cw_router_crashes_tick(cw_router_t *router, cw_time_us_t now);
/** Records that an entry is no longer in the list of servers. */
void cw_router_crashes_record_gone(cw_router_t *router, const cw_server_entry_t *entry);
/** Handles crashes that another node reports, and forwards the report if this node is a relay that has to. */
void cw_router_handle_crash_report(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                   cw_time_us_t now);

/* ---- router_signals.c ---- */
/** Creates the queue of notices of servers' rate limits. */
void cw_router_signals_init(cw_router_t *router);
/** Broadcasts the notices of servers' rate limits that are due. */
void cw_router_signals_tick(cw_router_t *router, cw_time_us_t now);
/** Fills in the rate limit of the server with this hash; false: it has none now. */
bool cw_router_pack_limit(const cw_router_t *router, uint32_t hash, Cwp__ServerLimit *message);
/** Applies a server's rate limit that was received from another node. */
void cw_router_apply_limit(cw_router_t *router, const Cwp__ServerLimit *message, cw_time_us_t now);
/** Handles a broadcast notice of servers' rate limits, and forwards it if this node is a relay that has to. */
void cw_router_handle_signal_notice(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                    cw_time_us_t now);

/* ---- router_store_calls.c ---- */
/** Every few seconds, logs the number of calls to the store since the last such line, if there were any. */
void cw_router_store_calls_tick(cw_time_us_t now);

/* ---- router_traffic.c ---- */
/** Appends the metrics of datagrams sent to other nodes, as Prometheus text. */
void cw_router_traffic_metrics(const cw_router_t *router, cw_bytes_t *text);
/** Logs the datagrams sent to other nodes as one line. */
void cw_router_log_traffic(const cw_router_t *router);

/* ---- router_detours.c ---- */
/** Creates the table of detours. */
void cw_router_detours_init(cw_router_t *router);
/** Looks for routes, by way of other nodes, to nodes that may be cut off from this one alone. */
void cw_router_detours_tick(cw_router_t *router, cw_time_us_t now);
/** Handles a datagram that another node has forwarded, or that this node is to forward. */
void cw_router_handle_detour(cw_router_t *router, const cw_peer_t *sender, const Cwp__Detour *detour);
/** Whether this node, or another one on its behalf, has recently received from the peer. */
bool cw_router_is_alive(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Whether datagrams pass in both directions between this node and the peer, directly or by way of another node. */
bool cw_router_is_reachable(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now);
/** Sends a datagram directly, or by way of another node where one is known to reach a peer that direct datagrams do
 * not. False: the datagram is too long. */
bool cw_router_send_to(cw_router_t *router, const cw_peer_t *peer, const Cwp__Datagram *datagram);

/* ---- router_quota.c, router_quota_choice.c, router_quota_wire.c ---- */
/** Creates the counting of tenants' limits, and connects it to the engine. */
void cw_router_quota_init(cw_router_t *router);
/** Applies changed limits, updates the candidates for counting, and sends the reports that are due. */
void cw_router_quota_tick(cw_router_t *router, cw_time_us_t now);
/** Records whether the leader counts all tenants, as its heartbeat says (interim_counter.h). */
void cw_router_quota_record_leader(cw_router_t *router, const cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat);
/** Records how many nodes there are according to a leader's lock or heartbeat; 0: the leader does not know. Limits are
 * divided by the new number at once. */
void cw_router_record_nodes(cw_router_t *router, uint32_t nodes);
/** Fraction of a shared limit that this node may give out: the fraction of all nodes that it reaches. */
double cw_router_quota_share(const cw_router_t *router);
/** Handles a node's report of the requests that it admitted. */
void cw_router_handle_quota_report(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaReport *report);
/** Handles a counting node's reply to a report, or its notice that a tenant is metered. */
void cw_router_handle_quota_status(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaStatus *status);
/** Handles a node's request for tokens of a tenant. */
void cw_router_handle_quota_ask(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaAsk *ask);
/** Handles a counting node's grant of tokens. */
void cw_router_handle_quota_grant(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaGrant *grant);
/** Handles the return of unused tokens. */
void cw_router_handle_quota_return(cw_router_t *router, const cw_peer_t *peer, const Cwp__QuotaReturn *returned);

/* ---- router_view_pages.c ---- */
/** Moves this node's view to the term if it is a later one than the view's; no list or tables of the new term are known
 * yet. */
void cw_router_begin_term(cw_router_t *router, uint64_t term);
/** Handles a page of the list of servers. */
void cw_router_handle_servers_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page);
/** Handles a page of the tables of keys. */
void cw_router_handle_table_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__TablePage *page);
/** Handles a peer's acknowledgement of the list and tables that it has. */
void cw_router_handle_ack(cw_router_t *router, cw_peer_t *peer, const Cwp__ViewAck *ack);
/** Adopts the leader's versions for the list and the tables where this node's copies have the same hash. */
void cw_router_adopt_versions(cw_router_t *router, const cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat);

/* ---- router_plan.c ---- */
/** Plans the ownership of keys of one service, if a plan is due. Called on the leader with each tick. */
void cw_router_plan(cw_router_t *router, cw_service_assignment_t *assignment, cw_time_us_t now);
/** Adds to the measures of a service: imbalance, churn, unavailable time. Called on the leader with each tick. */
void cw_router_measure(cw_service_assignment_t *assignment, cw_time_us_t now);

/* ---- router_assigners.c ---- */
/** Creates an assigner for each configured service divided by key that has none yet. */
void cw_router_create_assigners(cw_router_t *router);
/** Sets the metrics of the orders that servers may still carry out. */
void cw_router_measure_orders(const cw_router_t *router);
/** Continues the assigners that there are under a new term: the store was restored while this node led. */
void cw_router_continue_assigners(cw_router_t *router);
/** Frees all assigners. Called when a term of this leader begins or ends. */
void cw_router_free_assigners(cw_router_t *router);
/** Updates the tables with changed assignments and sends them to the other nodes, if a publication is due. */
void cw_router_publish_tables(cw_router_t *router, cw_time_us_t now);
/** A sample of the keys of requests that a node has seen. Borrowed. */
typedef struct cw_router_samples {
    const uint32_t *keys;
    const uint32_t *regions; /**< for each key, where its requests may go (region_mask.h); NULL: anywhere */
    size_t          count;
    uint32_t        seen; /**< number of requests that the sample stands for */
    const char     *zone; /**< of the node that saw them */
} cw_router_samples_t;
/** Adds a sample to the load of a service, if this node leads it. */
void cw_router_add_samples(cw_router_t *router, uint32_t service_hash, const cw_router_samples_t *samples,
                           cw_time_us_t now);

/* ---- router_lead.c ---- */
/** Creates the state of leadership. The settings of the lock come from the node's settings. */
void cw_router_lead_init(cw_router_t *router);
/** Follows or renews the lock and, on the leader, plans, renews grants and sends updates. */
void cw_router_lead_tick(cw_router_t *router, cw_time_us_t now);
/** This node's capacity to lead, in thousandths of a core: its share of the CPU or, if lower, what its link allows. */
uint32_t cw_router_capability(const cw_router_t *router);
/** Whether this node leads and its lock has not run out. */
bool cw_router_has_authority(const cw_router_t *router, cw_time_us_t now);
/** Records whether the store answered a call of this node, and logs when the store is lost or back. */
void cw_router_store_result(cw_router_t *router, bool answered, cw_time_us_t asked_at, cw_time_us_t now);
/** Callback of the store adapter: the store has stated a later epoch than before. */
void cw_router_on_store_epoch(void *context, uint64_t epoch);
/** Callback of the store adapter: records whether the store answered a call of its standing readers. */
void cw_router_on_answered(void *context, bool is_answered, cw_time_us_t asked_at);

#endif
