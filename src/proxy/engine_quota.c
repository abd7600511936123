/**
 * @file engine_quota.c
 * @brief The step between admission and the queue: a request of a tenant with a rate limit needs a token first.
 *
 * In most cases a token is available at once. If it has to be requested from the tenant's counting node, the
 * request waits in a separate list, with its time limit. It is then in no queue and at no server, so a refusal can
 * truly say that it has not run. A request that ends without having run returns its token.
 */
#include <utlist.h>

#include "base/tenant_metrics.h"
#include "proxy/engine_internal.h"

void cw_engine_set_quota(cw_engine_t *engine, cw_quota_share_t *share)
{
    engine->quota = share;
}

/* The tenant whose rate limit applies to the request; NULL: no limit applies. */
static const cw_tenant_t *limited_tenant(const cw_request_t *request)
{
    const cw_tenant_t *tenant = cw_caller_limiting_tenant(&request->caller, request->configuration, request->route);

    return request->engine->quota == NULL || tenant == NULL || tenant->rate_per_s <= 0 ? NULL : tenant;
}

static bool apply_decision(cw_request_t *request, cw_quota_answer_t answer, cw_time_us_t retry_after)
{
    switch (answer) {
    case CW_QUOTA_ADMITTED:
        cw_tenant_metric_add(CW_TENANT_REQUESTS, limited_tenant(request)->name, 1);
        request->token = CW_TOKEN_HELD;
        return true;
    case CW_QUOTA_WAIT:
        request->token = CW_TOKEN_AWAITED;
        DL_APPEND2(request->engine->awaiting_token, request, earlier, later);
        cw_request_arm(request);
        return false;
    case CW_QUOTA_REFUSED:
        cw_request_refuse_limit(request, retry_after);
        return false;
    }
    return true;
}

bool cw_request_take_token(cw_request_t *request)
{
    const cw_tenant_t *tenant = limited_tenant(request);
    cw_quota_limit_t   limit;
    cw_quota_answer_t  answer;
    cw_time_us_t       retry_after;

    if (tenant == NULL) {
        return true;
    }
    limit = (cw_quota_limit_t){.rate_per_s = tenant->rate_per_s, .burst = tenant->burst};
    answer = cw_quota_share_enter(request->engine->quota, request->tenant_hash, &limit, cw_engine_now(request->engine),
                                  &retry_after);
    return apply_decision(request, answer, retry_after);
}

static cw_request_t *first_awaiting(const cw_engine_t *engine, uint32_t tenant)
{
    cw_request_t *request;

    DL_FOREACH2(engine->awaiting_token, request, later)
    {
        if (request->tenant_hash == tenant) {
            return request;
        }
    }
    return NULL;
}

void cw_engine_quota_decided(cw_engine_t *engine, uint32_t tenant)
{
    cw_request_t *request = first_awaiting(engine, tenant);

    while (request != NULL) {
        cw_time_us_t      retry_after;
        cw_quota_answer_t answer = cw_quota_share_decide(engine->quota, tenant, cw_engine_now(engine), &retry_after);

        if (answer == CW_QUOTA_WAIT) {
            return;
        }
        cw_request_stop_awaiting(request);
        if (apply_decision(request, answer, retry_after) && cw_request_recheck_caller(request)) {
            cw_request_admit(request);
        }
        request = first_awaiting(engine, tenant);
    }
}
