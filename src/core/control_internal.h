/**
 * @file control_internal.h
 * @brief Private parts of the control replica, shared by the control_*.c files.
 *
 * The replicated state is changed by commands only. What the leader observes (heartbeats, readings, loads, answers to
 * orders) is kept in tracks, which are made when it is ready to lead and dropped when it is not any more.
 */
#ifndef CEDARWINCH_CONTROL_INTERNAL_H
#define CEDARWINCH_CONTROL_INTERNAL_H

#include "cedarwinch/control.h"
#include "cedarwinch/placement.h"
#include "core/ordered_table.h"

enum {
    CW_CONTROL_TICK_US = 50 * CW_US_PER_MS,
    CW_SERVER_SILENCE_US = 900 * CW_US_PER_MS, /**< no fresh reading this long: suspected */
    CW_ORDER_RESEND_US = 400 * CW_US_PER_MS,
    CW_JOURNAL_REPLICAS = 3,
    CW_COMMAND_OBJECTS_MAX = 512, /**< ranges and servers changed by one command */
    CW_FORMER_INCARNATIONS = 4
};

/** What the machine list said last. Never believed alone. */
typedef enum cw_listed { CW_LISTED_UNKNOWN, CW_LISTED_LIVE, CW_LISTED_LEAVING, CW_LISTED_GONE } cw_listed_t;

/** Leader's view of a node. */
typedef struct cw_node_track {
    cw_node_id_t       id;
    cw_time_us_t       heard_us; /**< last heartbeat */
    Cw__NodeInfo      *told;     /**< what its last heartbeat said; NULL: none heard */
    cw_incarnation_t   former[CW_FORMER_INCARNATIONS];
    size_t             former_next;
    uint64_t           sequence; /**< of the last heartbeat */
    uint64_t           route_version;
    cw_ordered_table_t servers; /**< ids of the servers it forwards for */
    size_t             planned; /**< servers given to it by the command that is being built */
} cw_node_track_t;

/** Leader's view of a server. Readings come only from its present forwarder. */
typedef struct cw_server_track {
    cw_server_id_t   id;
    cw_service_id_t  service;
    cw_node_id_t     forwarder; /**< as in the state */
    cw_incarnation_t forwarder_incarnation;
    cw_incarnation_t incarnation; /**< 0: no reading yet */
    int64_t          clock_us;    /**< newest reading of its clock */
    int64_t          lease_end_us;
    cw_time_us_t     reading_us;         /**< local time at which that reading arrived */
    cw_time_us_t     expected_us;        /**< readings are missed from this local time on */
    int64_t          confirmed_clock_us; /**< newest reading followed by a quorum round; 0: none */
    int64_t          issued_end_us;      /**< latest lease end named to this incarnation, in its clock */
    int64_t          ordered_end_us;     /**< lease end in the first grant order since it held nothing; 0: none sent */
    int64_t unbroken_until_us; /**< while readings are below this, its lease has not lapsed since it accepted grants */
    cw_time_us_t          issued_until_us; /**< local time by which all leases named by this leader are over */
    cw_time_us_t          former_until_us; /**< the same for its former incarnations */
    cw_time_us_t          orders_us;       /**< when orders are to be sent again */
    bool                  orders_withheld; /**< until a fresh reading is confirmed */
    bool                  reachable;
    bool                  says_draining;
    bool                  holds;        /**< accepted grants in this incarnation */
    bool                  fence_wanted; /**< its grants were lost: a new fence is needed */
    bool                  was_usable;
    bool                  in_use; /**< usable since it was last lost */
    cw_placement_losses_t losses;
    bool                  sealed;   /**< a command under way takes ranges from it: no leases, no grants */
    bool                  handover; /**< its forwarder is leaving: ranges are drained before the change */
} cw_server_track_t;

/** Leader's view of a range; made when there is something to remember. */
typedef struct cw_range_track {
    cw_range_id_t       id;
    cw_fence_t          acked; /**< fence under which the server accepted it */
    cw_incarnation_t    acked_by;
    cw_fence_t          released;   /**< fence of the revocation that the server confirmed */
    cw_server_id_t      target;     /**< where it goes once released; 0: not decided */
    bool                refence;    /**< refused for its fence: needs a new one */
    bool                renew;      /**< its journal replicas change: drained and granted again */
    cw_time_us_t        journal_us; /**< last change of its journal replicas; 0: none under this leader */
    cw_incarnation_t    counted_by; /**< process of the forwarder that told the load */
    cw_placement_load_t load;
    cw_key_hash_t       hot_key;
    double              hot_load;
    char                reason[96];
} cw_range_track_t;

typedef struct cw_service_track {
    cw_service_id_t id;
    cw_time_us_t    seen_us;        /**< under this leader */
    cw_time_us_t    split_us;       /**< next split, not before */
    cw_time_us_t    rebalance_us;   /**< not before */
    cw_time_us_t    left_us;        /**< one of its servers left last; 0: none under this leader */
    bool            balance_wanted; /**< loads or servers changed since it was last balanced */
    cw_key_hash_t   reshaped_low;   /**< of the last split or merge, and the load then */
    cw_key_hash_t   reshaped_last;
    cw_key_hash_t   reshaped_key;
    double          reshaped_load;
    double          reshaped_hot_load;
} cw_service_track_t;

/** Reading that waits for its quorum round. */
typedef struct cw_pending_reading {
    cw_server_id_t   server;
    cw_incarnation_t incarnation;
    int64_t          clock_us;
} cw_pending_reading_t;

typedef struct cw_pending_heartbeat {
    cw_node_id_t          node;
    cw_incarnation_t      incarnation;
    uint64_t              sequence;
    uint64_t              round;
    cw_time_us_t          arrived_us;
    cw_pending_reading_t *readings;
    size_t                reading_count;
} cw_pending_heartbeat_t;

/** Command that is being put together. Owns copies of its objects. */
typedef struct cw_command_builder {
    Cw__Command        command;
    cw_ordered_table_t servers; /**< already in it: one change of an object in a command */
    cw_ordered_table_t ranges;
    size_t             object_count;
    bool               failed;
} cw_command_builder_t;

/** Nodes that may take journal replicas, grouped by zone; borrowed from the state until its nodes change. */
typedef struct cw_journal_pool {
    const Cw__NodeInfo **nodes; /**< ordered by zone, then id */
    size_t               count;
    size_t              *zone_starts; /**< zone_count + 1 positions */
    size_t               zone_count;
} cw_journal_pool_t;

typedef struct cw_plan {
    struct cw_plan          *next;
    char                     id[33];
    Cw__TenantConfiguration *configuration;
    uint64_t                 base_version;
    bool                     administrator_only;
    cw_time_us_t             expires_us;
} cw_plan_t;

typedef enum cw_confirmation_phase {
    CW_CONFIRM_WRITE,
    CW_CONFIRM_READ,  /**< the write's outcome is not known: reading it back */
    CW_CONFIRM_PAUSE, /**< before the next attempt */
    CW_CONFIRM_COMMIT /**< durable; waits for the log */
} cw_confirmation_phase_t;

/** Operator's request whose answer needs the store or the log. */
typedef struct cw_confirmation {
    struct cw_confirmation  *next;
    uint64_t                 id;
    cw_node_id_t             origin;
    Cw__TenantConfiguration *configuration;
    uint64_t                 base_version;
    uint64_t                 version; /**< once durable */
    uint64_t                 store_id;
    cw_confirmation_phase_t  phase;
    bool                     uncertain;  /**< a write may have taken effect */
    bool                     write_next; /**< after the pause: write again, else read again */
    cw_time_us_t             deadline_us;
    cw_time_us_t             retry_us;
} cw_confirmation_t;

/** Operator's order to drain a server, answered once it is in the log. */
typedef struct cw_drain_request {
    struct cw_drain_request *next;
    uint64_t                 id;
    cw_node_id_t             origin;
    cw_server_id_t           server;
    bool                     draining;
} cw_drain_request_t;

/** Configuration read from the store that has to be committed. */
typedef struct cw_accepted {
    struct cw_accepted      *next;
    Cw__TenantConfiguration *configuration;
} cw_accepted_t;

typedef enum cw_store_purpose {
    CW_STORE_FOR_LIST,
    CW_STORE_FOR_CONFIGURATION,
    CW_STORE_FOR_BOOTSTRAP_READ,
    CW_STORE_FOR_BOOTSTRAP_WRITE
} cw_store_purpose_t;

/** Store request of the leader that no operator waits for. */
typedef struct cw_store_wait {
    struct cw_store_wait *next;
    uint64_t              id;
    cw_store_purpose_t    purpose;
    cw_time_us_t          expires_us;
} cw_store_wait_t;

typedef struct cw_leading {
    bool         active;
    uint64_t     term;
    cw_time_us_t since_us;
    cw_time_us_t predecessors_until_us; /**< leases named by earlier leaders are over then */

    cw_ordered_table_t nodes;    /**< cw_node_track_t by id */
    cw_ordered_table_t servers;  /**< cw_server_track_t by id */
    cw_ordered_table_t ranges;   /**< cw_range_track_t by id */
    cw_ordered_table_t services; /**< cw_service_track_t by id */

    cw_ordered_table_t dirty_nodes;     /**< to be committed or given up */
    cw_ordered_table_t dirty_servers;   /**< orders to send */
    cw_ordered_table_t changed_servers; /**< forwarder, fence or draining to decide on */
    cw_ordered_table_t dirty_services;  /**< placement to look at */
    cw_ordered_table_t short_journals;  /**< ranges with fewer replicas than wanted */
    cw_ordered_table_t waiting_servers; /**< could not be decided yet: marked again at the next tick */
    cw_ordered_table_t waiting_services;
    cw_journal_pool_t  journal_pool;     /**< zone_starts NULL: not made yet */
    bool               journals_changed; /**< a node came or went: look for replicas to change */
    cw_time_us_t       journals_us;      /**< not before */

    bool command_pending;
    bool decide_wanted; /**< something was marked */

    cw_pending_heartbeat_t *heartbeats; /**< ordered by round */
    size_t                  heartbeat_count;
    size_t                  heartbeat_capacity;

    cw_plan_t          *plans;
    cw_confirmation_t  *confirmations;
    cw_drain_request_t *drains;
    cw_accepted_t      *accepted;
    cw_store_wait_t    *store_waits;
    bool                list_wanted;
    cw_time_us_t        list_us;
    uint64_t            bootstrap_version;
    bool                bootstrap_known;
    bool                bootstrap_busy;
    bool                bootstrap_wanted;
    cw_time_us_t        bootstrap_us;       /**< next regular write */
    cw_time_us_t        bootstrap_retry_us; /**< not before */
    uint64_t            bootstrap_members;  /**< digest of the members last written */
    cw_incarnation_t    learner;            /**< being caught up; 0: none */
    cw_time_us_t        learner_us;
} cw_leading_t;

struct cw_control {
    cw_control_options_t options;
    Cw__NodeInfo        *self;
    cw_ports_t           ports;
    cw_raft_t           *raft;
    cw_control_state_t  *state;
    cw_instant_t         now; /**< of the event being handled */
    cw_time_us_t         next_tick_us;
    cw_time_us_t         leader_heard_us; /**< last raft message from another member */
    cw_time_us_t         leaving_us;      /**< 0: not leaving */
    uint64_t             random_state;
    uint64_t             next_store_id;
    uint64_t             confirmed_round; /**< of this term */
    uint64_t             beat;
    uint32_t             longest_lease_ms; /**< ever seen in a configuration here */
    bool                 superseded;       /**< the store names a later generation */
    cw_ordered_table_t   listed;           /**< cw_listed_t by hash of the machine's name */
    cw_leading_t         leading;
};

/* ---- control.c ---- */
void cw_control_send(cw_control_t *control, cw_node_id_t to, Cw__Envelope *envelope);

/* ---- control_log.c ---- */
/** Writes what a command changed, after it was applied. */
void cw_control_log_applied(const cw_control_t *control, const Cw__Command *command, uint64_t index);
/** Writes a change of the raft's role. */
void cw_control_log_role(const cw_control_t *control, cw_raft_role_t role, uint64_t term);

/* ---- control_lead.c: tracks ---- */
/** Starts or ends leading as the raft says. */
void cw_control_check_leading(cw_control_t *control);
void cw_control_end_leading(cw_control_t *control);
/** Takes note of a command that was just applied while leading. */
void                cw_control_note_applied(cw_control_t *control, const Cw__Command *command, uint64_t index);
cw_node_track_t    *cw_control_node_track(const cw_control_t *control, cw_node_id_t node);
cw_server_track_t  *cw_control_server_track(const cw_control_t *control, cw_server_id_t server);
cw_range_track_t   *cw_control_range_track(const cw_control_t *control, cw_range_id_t range); /**< may be NULL */
cw_range_track_t   *cw_control_make_range_track(cw_control_t *control, cw_range_id_t range);
cw_node_track_t    *cw_control_make_node_track(cw_control_t *control, cw_node_id_t node);
cw_service_track_t *cw_control_make_service_track(cw_control_t *control, cw_service_id_t service);
/** Puts an id into one of the leader's sets, to be decided on soon. */
void cw_control_mark(cw_control_t *control, cw_ordered_table_t *set, uint64_t id);
void cw_control_mark_all(cw_control_t *control);
/** Marks again what could not be decided before. */
void cw_control_mark_waiting(cw_control_t *control);

/* ---- control_command.c: one command at a time ---- */
/** Replaces a string of a message that owns its strings. */
void cw_control_set_string(char **field, const char *value);
void cw_command_init(cw_command_builder_t *builder);
void cw_command_clear(cw_command_builder_t *builder);
bool cw_command_full(const cw_command_builder_t *builder);
bool cw_command_has_server(const cw_command_builder_t *builder, cw_server_id_t server);
bool cw_command_has_range(const cw_command_builder_t *builder, cw_range_id_t range);
void cw_command_add_node(cw_command_builder_t *builder, const Cw__NodeInfo *node);
void cw_command_add_tenant(cw_command_builder_t *builder, const Cw__TenantConfiguration *tenant);
void cw_command_add_server(cw_command_builder_t *builder, const Cw__ServerInfo *server);
void cw_command_add_range(cw_command_builder_t *builder, const Cw__RangeInfo *range);
void cw_command_remove_range(cw_command_builder_t *builder, cw_range_id_t range);
/** Decides on everything that is marked, and proposes it as one command unless one is under way. */
void cw_control_decide(cw_control_t *control);
/** The command under way was applied or refused. */
void cw_control_command_ended(cw_control_t *control);

/* ---- control_nodes.c: heartbeats, silence, the machine list ---- */
void cw_control_receive_heartbeat(cw_control_t *control, const Cw__Envelope *envelope);
void cw_control_scan_nodes(cw_control_t *control);
bool cw_control_node_live(const cw_control_t *control, cw_node_id_t node, cw_incarnation_t incarnation);
/** May new roles be given to the node? */
bool cw_control_node_usable(const cw_control_t *control, const Cw__NodeInfo *node);
/** The servers that a node forwards for may need another forwarder. */
void cw_control_mark_servers_of(cw_control_t *control, const cw_node_track_t *track);
void cw_control_decide_nodes(cw_control_t *control, cw_command_builder_t *builder);

/* ---- control_servers.c: forwarders, fences and draining of servers ---- */
void cw_control_decide_servers(cw_control_t *control, cw_command_builder_t *builder);
/** Gives a server of the configuration its first forwarder. */
void cw_control_add_server(cw_control_t *control, cw_command_builder_t *builder, cw_service_id_t service,
                           const Cw__ServerConfiguration *server);

/* ---- control_lease.c: readings, renewals, safety of moves ---- */
void cw_control_take_reports(cw_control_t *control, const Cw__Heartbeat *heartbeat, cw_pending_heartbeat_t *pending);
/** Answers heartbeats whose quorum round is complete. */
void cw_control_answer_heartbeats(cw_control_t *control);
void cw_control_scan_servers(cw_control_t *control);
bool cw_control_server_suspected(const cw_control_t *control, const cw_server_track_t *track);
/** Is every lease over that was ever named to the server? Then its ranges may go to another one. */
bool         cw_control_leases_over(const cw_control_t *control, const cw_server_track_t *track);
bool         cw_control_server_usable(const cw_control_t *control, const cw_server_track_t *track);
int64_t      cw_control_lease_us(const cw_control_t *control, cw_service_id_t service);
cw_time_us_t cw_control_wait_us(const cw_control_t *control, int64_t lease_us);

/* ---- control_grant.c: orders and their reports ---- */
void cw_control_send_orders(cw_control_t *control);
void cw_control_receive_grant_report(cw_control_t *control, const Cw__GrantReport *report);
void cw_control_receive_revoke_report(cw_control_t *control, const Cw__RevokeReport *report);
bool cw_control_range_acked(const cw_control_t *control, const Cw__RangeInfo *range);
/** Does the server provably not hold this revoked range any more? */
bool cw_control_range_released(const cw_control_t *control, const Cw__RangeInfo *range);

/* ---- control_assign.c, control_split.c: placement of ranges ---- */
void cw_control_decide_ranges(cw_control_t *control, cw_command_builder_t *builder);

/* ---- control_load.c: loads of ranges ---- */
/** Decayed load of a range, 0 when it was not told lately. */
double cw_control_range_load(const cw_control_t *control, cw_range_id_t range);
void   cw_control_take_loads(cw_control_t *control, const Cw__Heartbeat *heartbeat);
/** A range is about to be split at a key: its parts begin with its load. */
void cw_control_note_split(cw_control_t *control, const Cw__RangeInfo *whole, cw_key_hash_t key);
void cw_control_note_merge(cw_control_t *control, const Cw__RangeInfo *left, const Cw__RangeInfo *right);
void cw_control_note_created(cw_control_t *control, const Cw__RangeInfo *range);

/* ---- control_journal.c: journal replicas of ranges ---- */
/** To be called when the nodes of the state change. */
void cw_control_forget_journal_pool(cw_control_t *control);
/** Chooses the replicas of a range anew where some are gone. The range has to be a copy of the caller's own. */
/** Oldest request id that a range may run whose journal is given up now. */
int64_t cw_control_journal_valid_from(const cw_control_t *control);
void    cw_control_choose_journal(cw_control_t *control, Cw__RangeInfo *range);
/** Do the replicas of a range need a change? */
bool cw_control_journal_outdated(cw_control_t *control, const Cw__RangeInfo *range);
void cw_control_scan_journals(cw_control_t *control);

/* ---- control_membership.c ---- */
void cw_control_tend_membership(cw_control_t *control);

/* ---- control_store.c: configuration and bootstrap record in the platform's store ---- */
void     cw_control_tend_store(cw_control_t *control);
uint64_t cw_control_store_read(cw_control_t *control, const char *name);
uint64_t cw_control_store_write(cw_control_t *control, const char *name, const ProtobufCMessage *message,
                                uint64_t expected_version);
/** Takes over a completion of the leader's own requests; false: not one of them. */
bool cw_control_take_store(cw_control_t *control, const cw_store_completion_t *completion);
/** Queues a configuration that is durable in the store for the log. The control replica owns it from here. */
void cw_control_accept(cw_control_t *control, Cw__TenantConfiguration *configuration);
void cw_control_decide_tenants(cw_control_t *control, cw_command_builder_t *builder);
void cw_control_object_name(char *name, size_t size, const char *tenant);

/* ---- control_operator.c, control_plan.c, control_status.c ---- */
void cw_control_receive_operator(cw_control_t *control, const Cw__OperatorRequest *request);
void cw_control_answer(cw_control_t *control, cw_node_id_t origin, uint64_t id, uint32_t status, char *json,
                       uint32_t retry_after_s);
void cw_control_answer_error(cw_control_t *control, cw_node_id_t origin, uint64_t id, uint32_t status,
                             const char *message, uint32_t retry_after_s);
/** May the request act for the tenant? */
bool cw_control_authorized(const Cw__OperatorRequest *request, const Cw__TenantConfiguration *tenant);
void cw_control_operate_plan(cw_control_t *control, const Cw__OperatorRequest *request);
void cw_control_operate_confirm(cw_control_t *control, const Cw__OperatorRequest *request);
void cw_control_tend_confirmations(cw_control_t *control);
bool cw_control_take_confirmation(cw_control_t *control, const cw_store_completion_t *completion);
void cw_control_end_operators(cw_control_t *control);
void cw_control_end_plans(cw_control_t *control);
void cw_control_operate_status(cw_control_t *control, const Cw__OperatorRequest *request);
void cw_control_operate_explain(cw_control_t *control, const Cw__OperatorRequest *request);
void cw_control_decide_drains(cw_control_t *control, cw_command_builder_t *builder);
void cw_control_answer_drains(cw_control_t *control);

#endif
