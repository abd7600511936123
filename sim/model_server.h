/**
 * @file model_server.h
 * @brief Model of a back-end server: fenced grants, lease in its own clock, slots, cold start, drain. Semantics of
 *        standins/DIALECT.md, written apart from the stand-in so that neither repeats the other's mistakes.
 *
 * Pure: time comes in as the server's clock, results go out through callbacks.
 */
#ifndef CEDARWINCH_MODEL_SERVER_H
#define CEDARWINCH_MODEL_SERVER_H

#include "cedarwinch/ports.h"

enum { MODEL_KEY_MAX = 64, MODEL_ATTEMPT_NONE = -1 };

typedef struct model_server model_server_t;

typedef struct model_grant {
    cw_range_id_t   range;
    cw_service_id_t service;
    cw_key_hash_t   low;
    cw_key_hash_t   last;
    cw_fence_t      fence;
    bool            revoking;
} model_grant_t;

/** An application request at the server. */
typedef struct model_job {
    uint64_t          serial; /**< of the exchange */
    size_t            host;
    uint64_t          host_life;
    uint8_t           request_id[CW_REQUEST_ID_BYTES];
    char              key[MODEL_KEY_MAX];
    cw_service_id_t   service;
    cw_key_hash_t     key_hash;
    cw_fence_t        fence;
    int64_t           attempt;     /**< the caller's, from its header */
    int64_t           deadline_us; /**< server's clock */
    bool              running;
    struct model_job *next;
} model_job_t;

typedef struct model_server_callbacks {
    void *context;
    void (*answer)(void *context, const model_job_t *job, cw_server_result_t result, const char *reason);
    void (*effect)(void *context, const model_job_t *job);
    /** Calls model_server_finish(serial) after the service time. */
    void (*serve)(void *context, const model_job_t *job, bool cold);
    /** Answer to a revoke call that waited for its requests. */
    void (*released)(void *context, uint64_t serial);
} model_server_callbacks_t;

typedef struct model_server_options {
    cw_incarnation_t incarnation;
    unsigned         slots;
} model_server_options_t;

model_server_t *model_server_create(const model_server_options_t *options, const model_server_callbacks_t *callbacks);
void            model_server_free(model_server_t *server);

/** Does what a control call asks. Returns false when the answer comes later through released(): read it then with
 *  model_server_read_released. Lists in the completion are valid until the next call. */
bool model_server_call(model_server_t *server, uint64_t serial, const cw_server_call_t *call, int64_t clock_us,
                       cw_server_completion_t *completion);
/** Completion of a revoke call, once released() was called for it. */
void model_server_read_released(model_server_t *server, uint64_t serial, int64_t clock_us,
                                cw_server_completion_t *completion);
/** Takes a copy of the job; it is answered exactly once. */
void model_server_request(model_server_t *server, const model_job_t *job, int64_t clock_us);
void model_server_finish(model_server_t *server, uint64_t serial, int64_t clock_us);
void model_server_cancel(model_server_t *server, const uint8_t request_id[CW_REQUEST_ID_BYTES], int64_t clock_us);
void model_server_drain(model_server_t *server);

/** Drops what is held once the lease is over. Returns true when something was. */
bool                 model_server_expire(model_server_t *server, int64_t clock_us);
const model_grant_t *model_server_grants(const model_server_t *server, size_t *count);
int64_t              model_server_lease_end(const model_server_t *server);
uint64_t             model_server_granted_count(const model_server_t *server); /**< grants newly accepted so far */
bool                 model_server_idle(const model_server_t *server);

#endif
