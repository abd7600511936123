/**
 * @file revocation.c
 * @brief Revocations of the back-end stand-in: each is answered when the requests running on its grants have ended.
 */
#include <jansson.h>
#include <stdlib.h>
#include <utlist.h>

#include "backend.h"
#include "control_json.h"

struct cw_revocation {
    cw_standin_exchange_t *exchange;
    cw_server_grant_t     *grants;
    size_t                 count;
    cw_revocation_t       *prev;
    cw_revocation_t       *next;
};

static bool is_drained(const cw_backend_standin_t *backend, const cw_revocation_t *revocation)
{
    size_t i;

    for (i = 0; i < revocation->count; i++) {
        if (cw_jobs_active_in(backend, &revocation->grants[i])) {
            return false;
        }
    }
    return true;
}

/* A range that is held under a higher fence stays and is not reported. */
static void finish(cw_backend_standin_t *backend, cw_revocation_t *revocation)
{
    json_t *released = json_array();
    json_t *answer;
    size_t  i;

    for (i = 0; i < revocation->count; i++) {
        cw_ownership_revoke_finish(backend->ownership, &revocation->grants[i]);
        if (!cw_ownership_holds_range(backend->ownership, revocation->grants[i].range)) {
            json_array_append_new(released, json_integer((json_int_t)revocation->grants[i].range));
        }
    }
    answer = cw_control_state_json(backend);
    json_object_set_new(answer, "released", released);
    cw_standin_respond_json(revocation->exchange, 200, answer);
    free(revocation->grants);
    free(revocation);
}

void cw_revocations_check(cw_backend_standin_t *backend)
{
    cw_revocation_t *revocation;
    cw_revocation_t *next;

    DL_FOREACH_SAFE(backend->revocations, revocation, next)
    {
        if (is_drained(backend, revocation)) {
            DL_DELETE(backend->revocations, revocation);
            finish(backend, revocation);
        }
    }
}

void cw_revocation_start(cw_backend_standin_t *backend, cw_standin_exchange_t *exchange, cw_server_grant_t *grants,
                         size_t count)
{
    cw_revocation_t *revocation = calloc(1, sizeof(*revocation));
    size_t           i;

    if (revocation == NULL) {
        abort();
    }
    revocation->exchange = exchange;
    revocation->grants = grants;
    revocation->count = count;
    DL_APPEND(backend->revocations, revocation);
    for (i = 0; i < count; i++) {
        cw_ownership_revoke_begin(backend->ownership, &grants[i]);
    }
    cw_jobs_refuse_unowned(backend);
    cw_revocations_check(backend);
    cw_backend_check_exit(backend);
}
