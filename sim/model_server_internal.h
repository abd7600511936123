/**
 * @file model_server_internal.h
 * @brief Private parts of the model of a back-end server: state, grants (model_grants.c), jobs (model_jobs.c).
 */
#ifndef CEDARWINCH_MODEL_SERVER_INTERNAL_H
#define CEDARWINCH_MODEL_SERVER_INTERNAL_H

#include "cedarwinch/error.h"
#include "model_server.h"

enum { GRANTS_MAX = 512, SEEN_MAX = 2048, WARM_MAX = 256, REVOCATIONS_MAX = 32, REVOKED_GRANTS_MAX = 64 };

typedef struct revocation {
    uint64_t      serial;
    bool          released;
    size_t        count;
    model_grant_t grants[REVOKED_GRANTS_MAX];
} revocation_t;

typedef struct warm_key {
    cw_service_id_t service;
    cw_key_hash_t   key_hash;
} warm_key_t;

struct model_server {
    model_server_options_t   options;
    model_server_callbacks_t callbacks;
    int64_t                  lease_end_us; /**< 0: none */
    bool                     draining;
    model_grant_t            grants[GRANTS_MAX];
    size_t                   grant_count;
    model_grant_t            seen[SEEN_MAX];
    size_t                   seen_count;
    uint64_t                 granted_count;
    model_job_t             *jobs; /**< in order of arrival */
    unsigned                 running;
    warm_key_t               warm[WARM_MAX];
    size_t                   warm_count;
    revocation_t             revocations[REVOCATIONS_MAX];
    size_t                   revocation_count;
    cw_range_id_t            accepted[GRANTS_MAX];
    cw_range_id_t            refused[GRANTS_MAX];
};

/* model_grants.c */
bool       model_take_grant(model_server_t *server, const model_grant_t *grant);
cw_fence_t model_highest_seen(const model_server_t *server, const model_grant_t *area);
void       model_begin_revocation(model_server_t *server, const model_grant_t *revoked);
void       model_drop_revoked(model_server_t *server, const model_grant_t *revoked);
bool       model_holds_range(const model_server_t *server, cw_range_id_t range);

/* model_jobs.c */
bool model_has_jobs_in(const model_server_t *server, const model_grant_t *area);
/** Queued jobs without a grant are refused when their turn comes; refuses them now, so that it can be released. */
void model_refuse_unowned(model_server_t *server, int64_t clock_us);

/* model_server.c */
void model_check_revocations(model_server_t *server);

#endif
