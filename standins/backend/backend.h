/**
 * @file backend.h
 * @brief State of the back-end server stand-in, shared by its modules.
 */
#ifndef CEDARWINCH_STANDINS_BACKEND_H
#define CEDARWINCH_STANDINS_BACKEND_H

#include <uv.h>

#include "../common/codec.h"
#include "../common/http_server.h"
#include "key_table.h"
#include "ownership.h"
#include "server_clock.h"

enum { CW_REQUEST_ID_TEXT = 64 /**< longest request id kept, with NUL */ };

typedef struct cw_backend_options {
    const char *address;
    uint16_t    port;
    const char *name;
    const char *zone;
    const char *record; /**< file name, NULL: none */
    uint32_t    slots;
    uint32_t    queue;
    uint32_t    connections;
    uint32_t    connection_ms;
    double      service_ms;
    double      service_jitter; /**< fraction of the service time, in both directions */
    double      probe_ms;
    double      cold_ms;
    uint32_t    load_lag_ms;
    uint32_t    drain_s;
    int64_t     clock_offset_us;
    double      clock_drift_ppm;
    uint64_t    seed;
} cw_backend_options_t;

/** Faults on demand. Probabilities are between 0 and 1. */
typedef struct cw_backend_faults {
    double shed;
    double truncate;
    bool   mislead; /**< health and load say that all is well */
} cw_backend_faults_t;

typedef enum cw_job_kind { CW_JOB_APPLICATION, CW_JOB_PROBE } cw_job_kind_t;
typedef enum cw_job_state { CW_JOB_QUEUED, CW_JOB_RUNNING } cw_job_state_t;

/** A request on its way through the queue and a slot. */
typedef struct cw_job {
    cw_job_kind_t              kind;
    cw_job_state_t             state;
    cw_standin_exchange_t     *exchange;
    char                       request_id[CW_REQUEST_ID_TEXT];
    char                      *key;
    cw_key_hash_t              key_hash;
    cw_service_id_t            service;
    cw_fence_t                 fence;
    int64_t                    deadline_us; /**< real time */
    int64_t                    finish_us;   /**< real time, while running */
    uv_timer_t                 timer;
    struct cw_backend_standin *backend;
    struct cw_job             *prev;
    struct cw_job             *next;
} cw_job_t;

typedef struct cw_revocation cw_revocation_t;

typedef struct cw_backend_standin {
    uv_loop_t           *loop;
    cw_standin_server_t *server;
    cw_backend_options_t options;
    cw_backend_faults_t  faults;
    cw_server_clock_t    clock;
    cw_incarnation_t     incarnation;
    cw_ownership_t      *ownership;
    cw_key_table_t      *keys;
    cw_job_t            *jobs; /**< in order of arrival */
    uint32_t             queued;
    uint32_t             running;
    cw_revocation_t     *revocations; /**< waiting for requests to end */
    uv_timer_t           lease_timer;
    uv_timer_t           drain_timer;
    bool                 draining;
    bool                 drain_over;
    int                  record_file; /**< -1: none */
    int64_t              renewal_recorded_us;
    uint64_t             random_state;
    int64_t              load_read_us;
    uint32_t             load_active; /**< as the load endpoint reports it */
} cw_backend_standin_t;

/* ---- record.c: evidence lines ---- */
int cw_record_open(cw_backend_standin_t *backend);
/** The lease was renewed: a sign of life, written once a second at most. */
void cw_record_renewal(cw_backend_standin_t *backend);
void cw_record_boot(cw_backend_standin_t *backend);
/** event: "start", "effect" or "abandoned", at a real time. */
void cw_record_job(cw_backend_standin_t *backend, const char *event, const cw_job_t *job, int64_t real_us);
void cw_record_ownership(cw_backend_standin_t *backend, cw_ownership_change_t change, const cw_server_grant_t *part);

/* ---- jobs.c: queue, slots and service time ---- */
cw_job_t *cw_job_create(cw_backend_standin_t *backend, cw_job_kind_t kind, cw_standin_exchange_t *exchange);
/** Queues it; it is answered and freed when it ends. */
void cw_job_submit(cw_job_t *job);
/** Ends every job with this request id that has had no effect. */
void cw_jobs_cancel(cw_backend_standin_t *backend, const char *request_id);
/** Refuses the queued jobs that may not start any more. */
void cw_jobs_refuse_unowned(cw_backend_standin_t *backend);
/** Is a request under this fence or a lower one queued or running in the area? */
bool cw_jobs_active_in(const cw_backend_standin_t *backend, const cw_server_grant_t *area);

/* ---- application.c: application requests, health and load ---- */
void cw_application_request(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange);
void cw_application_answer(cw_job_t *job, uint64_t count);
void cw_application_refuse(cw_standin_exchange_t *exchange, const char *reason);
void cw_probe_request(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange);
void cw_probe_answer(cw_job_t *job);

/* ---- control_api.c: lease, grants, revocations, cancellation, faults ---- */
bool cw_control_request(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange); /**< false: not such a call */

/* ---- revocation.c ---- */
/** Takes over the exchange and the grants (malloc()ed); answered when the requests on them have ended. */
void cw_revocation_start(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_server_grant_t *grants,
                         size_t count);
/** Answers the revocations whose requests have ended. */
void cw_revocations_check(cw_backend_standin_t *backend);

/* ---- lifecycle.c: lease timer and drain ---- */
/** Reads the server's clock and drops what has lapsed. */
int64_t cw_backend_clock(cw_backend_standin_t *backend);
void    cw_backend_lease_changed(cw_backend_standin_t *backend);
void    cw_backend_drain(cw_backend_standin_t *backend);
/** Ends the loop when the server is draining and nothing is left to do. */
void cw_backend_check_exit(cw_backend_standin_t *backend);

#endif
