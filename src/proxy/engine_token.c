/**
 * @file engine_token.c
 * @brief The end of a request's token: it is spent when the request runs, or returned.
 */
#include <utlist.h>

#include "proxy/engine_internal.h"

void cw_request_stop_awaiting(cw_request_t *request)
{
    DL_DELETE2(request->engine->awaiting_token, request, earlier, later);
    request->token = CW_TOKEN_NONE;
}

void cw_request_spend_token(cw_request_t *request)
{
    request->token = CW_TOKEN_NONE;
}

void cw_request_return_token(cw_request_t *request)
{
    if (request->token == CW_TOKEN_AWAITED) {
        cw_request_stop_awaiting(request);
        cw_quota_share_leave(request->engine->quota, request->tenant_hash);
    } else if (request->token == CW_TOKEN_HELD && !request->may_have_run) {
        cw_quota_share_give_back(request->engine->quota, request->tenant_hash, cw_engine_now(request->engine));
    }
    request->token = CW_TOKEN_NONE;
}
