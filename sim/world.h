/**
 * @file world.h
 * @brief Shared by the parts of the simulator: the world, its processes and its event queue.
 */
#ifndef CEDARWINCH_SIM_WORLD_H
#define CEDARWINCH_SIM_WORLD_H

#include <uthash.h>

#include "cedarwinch/error.h"
#include "cedarwinch/node.h"
#include "cedarwinch/timer_heap.h"
#include "model_server.h"
#include "simulation.h"

enum {
    SIM_NODES_MAX = 9,
    SIM_SERVERS_MAX = 12,
    SIM_ENDPOINTS_MAX = SIM_NODES_MAX + SIM_SERVERS_MAX + 1,
    SIM_OBJECTS_MAX = 16,
    SIM_KEYS_PER_SERVICE = 4,
    SIM_HEAL_US = 25 * CW_US_PER_S,
    SIM_DRIFT_PPM = 1000, /**< bound on the rate difference of any two clocks */
    SIM_WALL_SKEW_MS = 5000,
    SIM_TRUE_WALL_MS = 1700000000 /**< in seconds: Unix time of the simulation's begin */
};

typedef struct sim_world sim_world_t;
typedef struct sim_event sim_event_t;
typedef void (*sim_event_run_t)(sim_world_t *world, sim_event_t *event);

/** A node or a server: what can be paused, killed and restarted, with a clock of its own. */
typedef struct sim_process {
    size_t       endpoint;
    uint64_t     life; /**< counts starts; 0: never started */
    bool         running;
    cw_time_us_t paused_until;
    cw_time_us_t born_us;
    int64_t      drift_ppm;
    int64_t      clock_offset_us;
    int64_t      wall_skew_ms;
} sim_process_t;

struct sim_event {
    cw_timer_t      timer;
    const char     *name;
    sim_event_run_t run;
    sim_process_t  *process; /**< NULL: the world itself. Waits while the process is paused, ends with it */
    uint64_t        life;    /**< 0: whichever life the process has then */
    bool            kept;    /**< not freed after it ran */
    uint64_t        numbers[4];
    uint8_t        *data;
    size_t          length;
};

/** Control call or application request of a node to a server, until its completion. */
typedef struct sim_exchange {
    uint64_t              serial;
    uint64_t              id; /**< the node's */
    bool                  is_call;
    cw_server_call_kind_t kind; /**< of a call */
    bool                  sent;
    size_t                server;
    uint8_t               request_id[CW_REQUEST_ID_BYTES];
    UT_hash_handle        hh;
} sim_exchange_t;

/** Highest configuration version seen in force at a node. */
typedef struct sim_seen_version {
    uint64_t tenant[2];
} sim_seen_version_t;

typedef struct sim_host {
    sim_process_t      process;
    sim_world_t       *world;
    Cw__NodeInfo       info;
    char               address[16];
    cw_node_t         *node;
    sim_event_t       *tick;
    bool               stopping;
    bool               watching;
    bool               learned[SIM_NODES_MAX];
    sim_exchange_t    *exchanges;
    sim_exchange_t    *store_requests; /**< serial: the node's id */
    sim_seen_version_t seen;
    uint64_t           seen_route_version;
    uint64_t           seen_state_version;
    bool               was_ready_leader;
    cw_time_us_t       last_pause_end;
} sim_host_t;

typedef struct sim_server {
    sim_process_t   process;
    sim_world_t    *world;
    model_server_t *model;
    size_t          tenant;
    size_t          service; /**< index into the services */
    char            name[32];
    char            address[16];
    uint32_t        port;
    bool            leaving;
    cw_time_us_t    leaving_since;
    cw_time_us_t    shed_until;
} sim_server_t;

typedef struct sim_object {
    char     name[64];
    uint64_t version;
    uint8_t *value;
    size_t   length;
} sim_object_t;

typedef enum sim_store_mode {
    SIM_STORE_OK,
    SIM_STORE_HANG,
    SIM_STORE_SLOW,
    SIM_STORE_LOSE_ANSWER,
    SIM_STORE_REFUSE
} sim_store_mode_t;

typedef struct sim_platform {
    sim_object_t     objects[SIM_OBJECTS_MAX];
    size_t           object_count;
    uint64_t         revision;
    sim_store_mode_t mode;
    cw_time_us_t     mode_until;
    const char      *machine_states[SIM_NODES_MAX + SIM_SERVERS_MAX];
} sim_platform_t;

typedef struct sim_callers       sim_callers_t;
typedef struct sim_operators     sim_operators_t;
typedef struct sim_checks        sim_checks_t;
typedef struct sim_administrator sim_administrator_t;

struct sim_world {
    cw_simulation_options_t options;
    cw_simulation_result_t *result;
    uint64_t                random; /**< network, clocks, service times */
    cw_time_us_t            now;
    cw_timer_heap_t         events;
    sim_host_t              hosts[SIM_NODES_MAX];
    size_t                  host_count;
    Cw__NodeInfo            seed_infos[SIM_NODES_MAX]; /**< as in each node's settings; nodes borrow these */
    const Cw__NodeInfo     *seeds[SIM_NODES_MAX];
    uint8_t                 administrator_digest[1][CW_TOKEN_DIGEST_BYTES];
    sim_server_t            servers[SIM_SERVERS_MAX];
    size_t                  server_count;
    cw_time_us_t            cut_until[SIM_ENDPOINTS_MAX][SIM_ENDPOINTS_MAX]; /**< from, to */
    cw_time_us_t            loss_until;
    unsigned                loss_percent;
    uint64_t                next_serial;
    sim_platform_t          platform;
    sim_callers_t          *callers;
    sim_operators_t        *operators;
    sim_checks_t           *checks;
    sim_administrator_t    *administrator;
    bool                    healing;
};

/* world.c */
sim_event_t *sim_schedule(sim_world_t *world, const char *name, cw_time_us_t at_us, sim_event_run_t run,
                          sim_process_t *process, uint64_t life);
/** Takes over nothing: copies the bytes. */
void sim_event_set_data(sim_event_t *event, const void *data, size_t length);
void sim_event_free(sim_event_t *event);
void sim_violation(sim_world_t *world, const char *format, ...) __attribute__((format(printf, 2, 3)));
void sim_trace(sim_world_t *world, const char *format, ...) __attribute__((format(printf, 2, 3)));
/** Uniform in [low, high]. */
cw_time_us_t sim_between(sim_world_t *world, cw_time_us_t low, cw_time_us_t high);
bool         sim_chance(sim_world_t *world, unsigned per_thousand);

/* process.c: clocks and lives */
void         sim_process_start(sim_world_t *world, sim_process_t *process);
int64_t      sim_process_clock(const sim_world_t *world, const sim_process_t *process);
int64_t      sim_process_clock_at(const sim_process_t *process, cw_time_us_t true_us);
cw_time_us_t sim_process_true_time(const sim_process_t *process, int64_t clock_us);
void         sim_process_pause(sim_world_t *world, sim_process_t *process, cw_time_us_t duration_us);

/* host.c: nodes */
void         sim_host_init(sim_world_t *world, size_t index);
void         sim_host_start(sim_host_t *host);
void         sim_host_kill(sim_host_t *host);
void         sim_host_stop(sim_host_t *host, cw_time_us_t restart_us);
cw_instant_t sim_host_now(const sim_host_t *host);
/** To be called after each call into the node. */
void sim_host_settled(sim_host_t *host);
void sim_host_connection_reset(sim_host_t *host, size_t peer);

/* network.c: links */
size_t       sim_store_endpoint(const sim_world_t *world);
bool         sim_link_is_cut(const sim_world_t *world, size_t from, size_t to);
cw_time_us_t sim_link_delay(sim_world_t *world);
bool         sim_link_loses(sim_world_t *world);
void         sim_network_send(sim_host_t *host, cw_node_id_t to, const Cw__Envelope *envelope);

/* exchange.c: nodes' calls and requests to servers */
void sim_exchange_call(sim_host_t *host, const cw_server_call_t *call);
void sim_exchange_request(sim_host_t *host, const cw_server_request_t *request);
void sim_exchange_cancel(sim_host_t *host, uint64_t request_id);
void sim_exchanges_clear(sim_host_t *host);
/** The server's process ended: its connections break. */
void sim_exchanges_break(sim_server_t *server);
void sim_exchange_answer(sim_server_t *server, const model_job_t *job, cw_server_result_t result, const char *reason);
/** A revoke call's requests have ended: answers it. */
void sim_exchange_revocation_done(sim_server_t *server, uint64_t serial);

/* servers.c */
void sim_servers_init(sim_world_t *world);
void sim_server_start(sim_server_t *server);
void sim_server_kill(sim_server_t *server);
void sim_server_leave(sim_server_t *server, cw_time_us_t restart_us);
void sim_server_settled(sim_server_t *server);

/* platform.c */
void sim_platform_request(sim_host_t *host, const cw_store_request_t *request);
void sim_platform_watch(sim_host_t *host);
void sim_platform_set_mode(sim_world_t *world, sim_store_mode_t mode, cw_time_us_t duration_us);
/** Position: nodes, then servers. Seen by watchers after a lag. */
void sim_platform_machine(sim_world_t *world, size_t position, const char *state);
void sim_platform_clear(sim_world_t *world);

/* tenants.c: fixed configuration of the simulation */
enum { SIM_TENANTS = 2, SIM_SERVICES = 3 };
typedef struct sim_service {
    const char *name;
    size_t      tenant;
    size_t      servers;
    const char *method;
    bool        repeatable;
    uint32_t    timeout_ms;
} sim_service_t;
extern const char *const   sim_tenants[SIM_TENANTS];
extern const sim_service_t sim_services[SIM_SERVICES];
/** Intent text of a tenant; left_out: server that it does not name, SIM_SERVERS_MAX: none. Free with free(). */
char *sim_intent(const sim_world_t *world, size_t tenant, size_t left_out, uint32_t variant);
void  sim_token(char text[32], const char *kind, size_t tenant);

/* callers.c */
void sim_callers_start(sim_world_t *world);
void sim_callers_respond(sim_host_t *host, uint64_t caller_id, const Cw__ForwardResponse *response);
void sim_callers_effect(sim_world_t *world, const model_job_t *job);
void sim_callers_end(sim_world_t *world);

/* operators.c */
void sim_operators_start(sim_world_t *world);
void sim_operators_respond(sim_host_t *host, uint64_t caller_id, const Cw__OperatorResponse *response);
bool sim_operators_ready(const sim_world_t *world);
void sim_operators_end(sim_world_t *world);

/* administrator.c */
void sim_administrator_start(sim_world_t *world);
/** False: the answer is for an operator. */
bool sim_administrator_respond(sim_host_t *host, uint64_t caller_id, const Cw__OperatorResponse *response);
void sim_administrator_end(sim_world_t *world);

/* invariants.c */
void sim_checks_start(sim_world_t *world);
void sim_checks_host(sim_host_t *host);
void sim_checks_granted(sim_server_t *server);
void sim_checks_effect(sim_server_t *server, const model_job_t *job);
void sim_checks_acknowledged(sim_world_t *world, size_t tenant, uint64_t version);
void sim_checks_end(sim_world_t *world);
void sim_checks_free(sim_world_t *world);

/* faults.c */
void sim_faults_schedule(sim_world_t *world);
void sim_heal(sim_world_t *world);

#endif
