/**
 * @file lease_internal.h
 * @brief State of a run of the simulation, and the functions that its files share.
 */
#ifndef CEDARWINCH_SIM_LEASE_INTERNAL_H
#define CEDARWINCH_SIM_LEASE_INTERNAL_H

#include "lease_sim.h"

/** State of a run: the store, the nodes, the servers and the events to come. */
typedef struct sim_world sim_world_t;

enum {
    CW_SIM_COPIES = 20,
    CW_SIM_COPY_INTERVAL_MS = 500,
    CW_SIM_ENTRIES_MAX = 64,
    CW_SIM_LISTINGS = 2048,
    CW_SIM_ORDER_TIMEOUT_MS = 350
};

/** An event at a logical time. */
typedef struct sim_event {
    cw_time_us_t at;
    uint64_t     sequence; /**< events at the same time run in the order of their creation */
    void (*run)(sim_world_t *world, void *data);
    void *data;
} sim_event_t;

/** State of one cell at one incarnation of a server. */
typedef struct sim_cell {
    uint64_t     seen_fence;         /**< highest fence of all orders */
    uint64_t     granted_fence;      /**< fence of the latest grant; 0: never granted */
    cw_time_us_t held_since;         /**< start of the hold, which renewals extend without a gap */
    cw_time_us_t held_until;         /**< end of the hold */
    cw_time_us_t late_grant_at;      /**< when the late grant was taken that gives the present hold; 0: it was none */
    cw_time_us_t request_started_at; /**< start of the latest request */
    cw_time_us_t counted_since;      /**< start of the hold by grants that count (lease_holds.c) */
    cw_time_us_t counted_until;      /**< end of that hold */
} sim_cell_t;

/** An order or request that lies in a server's socket (lease_stops.c). */
typedef struct sim_socket_item sim_socket_item_t;

/** The current incarnation of a server at an address. */
typedef struct sim_server {
    char               id[CW_SERVER_ID_MAX];
    char               address[CW_SERVER_ADDRESS_MAX];
    uint64_t           number; /**< of the incarnation */
    bool               up;
    cw_time_us_t       stopped_until;                   /**< 0: it does not stand still */
    sim_socket_item_t *socket;                          /**< what it has not taken yet: a chain */
    cw_time_us_t       probe_answered_at[CW_SIM_NODES]; /**< latest answer to a probe of each node; 0: none */
    sim_cell_t         cells[CW_CELLS];
} sim_server_t;

/** The entry of an incarnation of a server in the store. */
typedef struct sim_entry {
    char         id[CW_SERVER_ID_MAX];
    char         address[CW_SERVER_ADDRESS_MAX];
    cw_time_us_t registered_at;
    cw_time_us_t expires_at; /**< 0: its server renews it */
    bool         is_lost;    /**< its server runs, and has lost its entry */
} sim_entry_t;

/** The list of servers as the store had it at a time. */
typedef struct sim_listing {
    cw_time_us_t      at;
    uint64_t          revision; /**< of the store: the list has all changes up to it */
    cw_server_list_t *list;
} sim_listing_t;

/** A node's connection for orders to an address. */
typedef struct sim_connection {
    uint64_t     server; /**< number of the incarnation that it leads to; 0: none */
    cw_time_us_t opened_at;
} sim_connection_t;

/** An object in the store. */
typedef struct sim_object {
    json_t  *value;
    uint64_t revision;
} sim_object_t;

/** State of the store at a time. */
typedef struct sim_copy {
    cw_time_us_t at;
    sim_object_t lock;
    sim_object_t record;
    uint64_t     revision;
} sim_copy_t;

/** Table that a node routes by. */
typedef struct sim_table {
    uint64_t     term;
    uint64_t     version; /**< version of the tables within the term */
    char         owner[CW_CELLS][CW_SERVER_ID_MAX];
    bool         routable[CW_CELLS];
    cw_time_us_t valid_until;
} sim_table_t;

/** Why an order is taken later than its link takes. */
typedef enum sim_delay {
    SIM_NO_DELAY,
    SIM_DELAY_DRAWN,     /**< the server carries it out seconds later, whatever its sender knew */
    SIM_DELAY_IN_SOCKET, /**< the server stood still as it arrived */
    SIM_DELAY_IN_SENDER  /**< it left its sender's kernel late */
} sim_delay_t;

/** A node of the router. */
typedef struct sim_node {
    sim_world_t     *world;
    uint32_t         index;
    uint64_t         incarnation; /**< answers to calls of earlier incarnations are dropped */
    bool             up;
    cw_time_us_t     frozen_until;
    bool             cut_store;
    bool             cut_nodes;
    uint32_t         cut_servers; /**< one bit for each address of a server */
    cw_leadership_t  leadership;
    cw_assigner_t   *assigner;
    cw_store_port_t  port;
    uint64_t         assigner_term;
    uint64_t         tables_version; /**< version of the tables that it sent as a leader */
    bool             tables_due;
    cw_time_us_t     heartbeat_sent_at;
    cw_time_us_t     heartbeat_at; /**< latest heartbeat of a leader with authority */
    cw_time_us_t     read_at;      /**< latest read of the record in the store */
    cw_time_us_t     next_plan;
    sim_table_t      table;
    sim_connection_t connections[CW_SIM_ADDRESSES];
    cw_time_us_t     ends_writing_at; /**< it is killed or stands still from then on, and what it writes until then
                                           stays in its kernel; 0: no such time */
    /* with lists that lag */
    cw_server_list_t *list;          /**< latest reading */
    uint64_t          list_revision; /**< of the store, as in sim_listing_t; 0: there was no reading */
    cw_time_us_t      list_due;      /**< next reading */
    cw_time_us_t      list_lag;      /**< readings lag by up to this time */
} sim_node_t;

/** An order on its way to a server, and its result on the way back. */
typedef struct sim_delivery {
    sim_node_t       *node;
    uint64_t          incarnation;
    uint64_t          first_term; /**< of the assigner that sent it, which may continue under a later term */
    cw_order_t        order;
    cw_order_result_t result;
    char              handover[CW_HANDOVER_MAX];
    sim_delay_t       delay;
    bool              counts; /**< its sender did not just stand still: the hold that it gives is checked */
    /* as it was written */
    uint64_t     server;     /**< number of the incarnation to which its connection leads */
    bool         is_repeat;  /**< that incarnation had taken the same grant of all its cells */
    cw_time_us_t answer_age; /**< since that incarnation's latest answer to a probe of the node; -1: none */
    /* of an order that is held up (lease_late_orders.c) */
    bool     is_answered; /**< the sender has its result, or no longer waits for it */
    uint32_t references;
} sim_delivery_t;

struct sim_world {
    cw_sim_settings_t settings;
    cw_sim_result_t  *result;
    cw_time_us_t      now;
    uint64_t          random;
    sim_event_t      *events; /**< a heap */
    size_t            event_count;
    size_t            event_capacity;
    uint64_t          event_sequence;
    sim_object_t      lock;
    sim_object_t      record;
    uint64_t          revision; /**< the store's own count */
    uint64_t          epoch;
    sim_copy_t        copies[CW_SIM_COPIES]; /**< the latest ones */
    uint64_t          copy_count;            /**< number of copies so far */
    cw_time_us_t      store_down_until;
    sim_node_t        nodes[CW_SIM_NODES];
    sim_server_t      servers[CW_SIM_ADDRESSES];
    uint64_t          incarnations;                         /**< number of incarnations of servers so far */
    uint64_t          fences[CW_CELLS];                     /**< highest fence of a grant that a server accepted */
    char              fence_of[CW_CELLS][CW_SERVER_ID_MAX]; /**< the server that accepted it */
    cw_time_us_t      served_at[CW_CELLS];
    sim_entry_t       entries[CW_SIM_ENTRIES_MAX];
    size_t            entry_count;
    cw_server_list_t *list;                      /**< of the entries */
    sim_listing_t     listings[CW_SIM_LISTINGS]; /**< the latest ones */
    uint64_t          listing_count;             /**< number of listings so far */
    cw_time_us_t      copies_stalled_at;         /**< no copy of the store has later changes, until the stall ends */
    cw_time_us_t      copies_stalled_until;
    cw_time_us_t      overlap_reported[CW_CELLS]; /**< start of the latest overlap of holds that was reported */
};

/* ---- lease_events.c ---- */
/** Schedules an event. */
void sim_schedule(sim_world_t *world, cw_time_us_t at, void (*run)(sim_world_t *world, void *data), void *data);
/** Runs the next event; false: there is none. */
bool sim_step(sim_world_t *world);
/** A pseudo-random number from 0 to below 1. */
double sim_random_fraction(sim_world_t *world);
/** A pseudo-random number from 0 to below the bound. */
uint64_t sim_random_below(sim_world_t *world, uint64_t bound);
/** True with this probability. */
bool sim_random_bool(sim_world_t *world, double chance);
/** Whether faults still occur. */
bool sim_has_faults(const sim_world_t *world);
/** Prints a line if the run is traced. */
void sim_trace(const sim_world_t *world, const char *format, ...) __attribute__((format(printf, 2, 3)));
/** Records a violation. */
void sim_violation(sim_world_t *world, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* ---- lease_store.c ---- */
/** Sets the node's port to the simulated store. */
void sim_store_port(sim_node_t *node);

/** Takes a copy of the store now, and again at each interval. */
void sim_store_copy(sim_world_t *world, void *data);
/** Loses the store for a time, after which it comes back from a copy that is at least this old. */
void sim_store_restore(sim_world_t *world, cw_time_us_t down, cw_time_us_t age);
/** Releases the copies. */
void sim_store_clear(sim_world_t *world);

/* ---- lease_lists.c ---- */
/** A server that has started writes its entry. */
void sim_list_register(sim_world_t *world, const sim_server_t *server);
/** A server that stands still does not renew its entry, which expires if it is not renewed in time. */
void sim_list_stop(sim_world_t *world, sim_server_t *server);
/** A server that stood still goes on: it writes its entry again. */
void sim_list_go_on(sim_world_t *world, sim_server_t *server);
/** A server has ended: its entry expires. */
void sim_list_expire(sim_world_t *world, const sim_server_t *server);
/** A server that runs loses its entry for a time, if one could have lost it. */
void sim_list_lose_entry(sim_world_t *world);
/** The copies from which nodes read the list cease to follow the store for a time. */
void sim_list_stall_copies(sim_world_t *world);
/** The store was replaced by a copy; its servers have registered again. */
void sim_list_publish(sim_world_t *world);
/** Begins to keep the list's history, if nodes have lists of their own. */
void sim_list_record(sim_world_t *world, void *data);
/** A node that has started has no list yet. */
void sim_list_init(sim_node_t *node);
/** Reads the list, if the node's next reading is due. */
void sim_list_read(sim_node_t *node);
/** Returns the list by which the node goes. */
const cw_server_list_t *sim_list_of(const sim_node_t *node);
/** Releases all lists. */
void sim_list_clear(sim_world_t *world);

/* ---- lease_holds.c ---- */
/** Extends the hold of a cell that a grant gave which counts. */
void sim_hold_extend(const sim_world_t *world, sim_cell_t *cell, cw_time_us_t until);
/** Reports cells that two servers have held for too long; again at each interval. */
void sim_holds_check(sim_world_t *world, void *data);

/* ---- lease_servers.c ---- */
/** Starts a server at each address. */
void sim_servers_start(sim_world_t *world);
/** Crashes the server at an address; it restarts as another incarnation seconds later. */
void sim_server_crash(sim_world_t *world, uint32_t address);
/** Carries an order out that arrives at a server. */
cw_order_result_t sim_handle_order(sim_world_t *world, const sim_delivery_t *delivery);
/** Whether the server takes an order or request for this id: it knows its name only. */
bool sim_server_is_addressed(const sim_server_t *server, const char *id);
/** Returns the server at an address; NULL: there is none. */
sim_server_t *sim_server_at(sim_world_t *world, const char *address);
/** A node routes a request for a cell. */
void sim_send_request(sim_world_t *world, sim_node_t *node, uint32_t cell);

/* ---- lease_late_grants.c ---- */
/** Notes what its sender could know of the server, as the order is written. */
void sim_late_grants_note_written(sim_delivery_t *delivery, const sim_server_t *server);
/** Whether an order was held up, and is taken after its sender ceased to wait for the answer. */
bool sim_is_late(const sim_world_t *world, const sim_delivery_t *delivery);
/** Checks the fence of a grant that the server takes for a cell, before the cell's state changes. */
void sim_check_fence(sim_world_t *world, const sim_server_t *server, uint32_t cell, const sim_delivery_t *delivery);

/* ---- lease_stops.c ---- */
/** Stops one or several servers for a time. */
void sim_stop_servers(sim_world_t *world);
/** Whether a server stands still. */
bool sim_server_is_stopped(const sim_server_t *server);
/** Puts an order or request into the socket of a server that stands still, which takes it when it goes on. If the
 * server ends before, the item is dropped. */
void sim_socket_add(sim_world_t *world, sim_server_t *server, void (*take)(sim_world_t *world, void *data),
                    void (*drop)(void *data), void   *data);
/** Drops what lies in the socket of a server that has ended. */
void sim_socket_clear(sim_server_t *server);

/* ---- lease_late_orders.c ---- */
/** An order arrives at a server that stands still: it lies in the server's socket. */
void sim_order_wait_in_socket(sim_delivery_t *delivery, sim_server_t *server);
/** Whether what the node writes now stays in its kernel for some time. Draws whether such a time begins. */
bool sim_node_writes_late(sim_node_t *node);
/** An order was written and stays in its sender's kernel for some time. */
void sim_order_leave_late(sim_delivery_t *delivery);

/* ---- lease_orders.c ---- */
/** Sends an order of a node's assigner to a server. */
void sim_send_order(sim_node_t *node, const cw_order_t *order);
/** Whether the order is a probe, which changes nothing at a server: its answer shows that the server takes orders. */
bool sim_order_is_probe(const cw_order_t *order);
/** Carries an order out at a server that runs, and sets its result as its sender is to get it. Returns how long its
 * answer is on the way. */
cw_time_us_t sim_carry_out(sim_delivery_t *delivery, cw_time_us_t link);
/** Time that a packet takes between two machines. */
cw_time_us_t sim_draw_link(sim_world_t *world);
/** Hands the result of an order to its sender, and frees the order. */
void sim_deliver_result(sim_world_t *world, void *data);
/** Prints what happens to an order, if the run is traced. */
void sim_trace_order(const sim_delivery_t *delivery, const char *what);
/** Whether an order may leave now that its connection is open, as in router_assigners.c: the assigner that gave it
 * still exists, with authority, and the time has not passed that it counts for the arrival. first_term: of that
 * assigner. */
bool sim_order_may_be_sent(const sim_node_t *node, const cw_order_t *order, uint64_t first_term);

/* ---- lease_nodes.c ---- */
/** Starts a node without any state. */
void sim_node_start(sim_world_t *world, uint32_t index);
/** Kills a node, which restarts after the time `down`. */
void sim_node_kill(sim_world_t *world, uint32_t index, cw_time_us_t down);
/** A node stands still until this time. */
void sim_node_freeze(sim_node_t *node, cw_time_us_t until);
/** Runs the periodic work of a node. */
void sim_node_tick(sim_node_t *node);
/** Whether a node is neither down nor frozen. */
bool sim_node_runs(const sim_node_t *node);

/* ---- lease_faults.c ---- */
/** Draws the faults that begin in this step. */
void sim_inject_faults(sim_world_t *world);

#endif
