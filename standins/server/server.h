/**
 * @file server.h
 * @brief State and functions of the stand-in of a server (main.c).
 */
#ifndef CEDARWINCH_STANDINS_SERVER_H
#define CEDARWINCH_STANDINS_SERVER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "answer_faults.h"
#include "endless.h"
#include "late_orders.h"
#include "net/http_listener.h"
#include "net/http_upstream.h"
#include "signals.h"

enum {
    SERVER_KEYS = 65536,
    SERVER_DRAIN_MS = 2500,
    STATUS_NOT_FOUND = 404,
    STATUS_MISDIRECTED = 421,
    STATUS_UNAVAILABLE = 503,
    STATUS_ERROR = 500,
    STATUS_CONFLICT = 409
};

typedef struct server server_t;

/** A request that waits or is being worked on. */
typedef struct job {
    server_t           *server;
    cw_http_exchange_t *exchange; /**< NULL: its caller has disconnected */
    uv_timer_t          timer;
    char                id[80];
    char                tenant[40]; /**< tenant of the caller, by X-Tenant; empty: none */
    uint32_t            key;
    bool                keyed;   /**< the service is divided by key */
    bool                running; /**< false: it waits */
    struct job         *prev;    /**< prev and next: the names that utlist.h requires */
    struct job         *next;
} job_t;

/** A release that is answered when no request on its keys runs any more. */
typedef struct release {
    cw_http_exchange_t *exchange; /**< NULL: its caller has disconnected */
    uint32_t            low;      /**< first key */
    uint32_t            last;     /**< last key, inclusive */
    struct release     *next;
} release_t;

/** The server's hold of one key. */
typedef struct key_hold {
    uint64_t fence; /**< highest one of grants and releases */
    uint64_t until_ms;
} key_hold_t;

struct server {
    uv_loop_t             loop;
    cw_http_listener_t   *listener;
    endless_t             endless; /**< used instead of the listener if its kind is set */
    cw_upstream_t        *upstream;
    cw_upstream_target_t *store;
    uv_timer_t            heartbeat;
    uv_signal_t           terminate;
    uv_signal_t           next_signal;
    uv_signal_t           end_signals;
    signals_t             signals;
    late_orders_t         late_orders;
    answer_faults_t       answer_faults; /**< between its callers and the listener, if they are used */
    uv_timer_t            leave;
    const char           *service;
    const char           *zone;
    char                  id[40];
    char                  incarnation[64]; /* id and time of the start: name in the records */
    char                  address[40];
    uint32_t              capacity;
    uint32_t              queue_max;
    uint32_t              work_ms;
    uint32_t              heartbeat_ms;
    uint32_t              cold_ms; /**< duration of the warm-up after the start, for its entry in the store */
    uint64_t              started_ms;
    uint64_t              born_ms;    /* time of the start, by the wall clock */
    const char           *crash_path; /* a request whose path contains this text ends the process; NULL: none */
    bool                  keyed;
    bool                  hangs; /**< a request that finds the queue full gets no answer */
    bool                  draining;
    bool                  leaves_silently; /**< it announces in its entry only that it leaves */
    bool                  is_registered;
    uint64_t              sequence;
    uint32_t              running;
    job_t                *waiting; /**< jobs that wait */
    job_t                *jobs;    /**< jobs that run */
    uint32_t              waiting_count;
    release_t            *releases;
    key_hold_t           *keys;
    uint64_t              handovers; /**< number of handovers so far, for their names */
};

/* ---- server_records.c ---- */
/** Prints a record of an event that concerns keys or a request. */
void server_print_record(server_t *server, const char *event, const char *id, uint32_t low, uint32_t last,
                         uint64_t fence);
/** The same, with the tenant of the request. */
void server_print_record_of_tenant(server_t *server, const char *event, const char *id, uint32_t low, uint32_t last,
                                   uint64_t fence, const char *tenant);
/** Prints the record of the start. */
void server_print_start(const server_t *server);
/** Prints the record of a grant. late_ms: how late it was carried out. */
void server_print_grant(const server_t *server, uint32_t low, uint32_t last, uint64_t fence, uint64_t hold_ms,
                        uint64_t late_ms);
/** Prints the rate limit in force. */
void server_print_limit(const server_t *server);
/** Prints that a request was turned away by a rest. */
void server_print_rest(const server_t *server, const char *id);

/* ---- server_answers.c ---- */
/** Answers. id: of the request; NULL: it has none, or is none. not_run: the answer says that it has not run. */
void server_answer(server_t *server, cw_http_exchange_t *exchange, int status, const char *id, bool not_run,
                   const char *handover, const char *body);
/** The same with a time to come back, unless it is 0. */
void server_answer_with_retry_after(server_t *server, cw_http_exchange_t *exchange, int status, const char *id,
                                    bool not_run, const char *handover, const char *body, double rest_s);

/* ---- server_orders.c ---- */
/** Whether the server holds a key now. */
bool server_holds_key(const server_t *server, uint32_t key);
/** Whether a request on one of these keys runs. */
bool server_has_job_on(const server_t *server, uint32_t low, uint32_t last);
/** Answers the releases on whose keys nothing runs any more. */
void server_answer_releases(server_t *server);
/** Reads an order. One that is drawn to be late gets no answer, so that its connection says nothing any more. */
void server_read_order(server_t *server, cw_http_exchange_t *exchange, const char *target, json_t *body);
/** Carries out an order that was kept back (late_orders.h). */
void server_run_late_order(void *context, const char *target, const json_t *body, uint64_t late_ms);

/* ---- server_jobs.c ---- */
/** Begins to work on a request, lets it wait, or turns it away. */
void server_handle_work(server_t *server, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
/** Ends a request that runs, and starts others that wait. */
void server_end_job(job_t *job);

/* ---- server_requests.c ---- */
/** Callbacks of the listener. */
void server_on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
void server_on_cancelled(void *context, cw_http_exchange_t *exchange);

/* ---- server_registration.c ---- */
/** Writes the entry. */
void server_on_heartbeat(uv_timer_t *timer);
/** Handles SIGTERM: the server leaves. */
void server_on_terminate(uv_signal_t *handle, int number);
/** Handles SIGUSR1 and SIGUSR2: the server says something else of itself. */
void server_on_signal(uv_signal_t *handle, int number);

#endif
