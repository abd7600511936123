/**
 * @file control_json.c
 * @brief JSON forms of the back-end stand-in's control calls.
 */
#include "control_json.h"

#include <stdlib.h>

#include "cedarwinch/error.h"

json_t *cw_control_state_json(cw_backend_standin_t *backend)
{
    char    incarnation[CW_HEX_TEXT];
    int64_t clock_us = cw_backend_clock(backend);

    cw_hex_format(backend->incarnation, incarnation);
    return json_pack("{s:s,s:I,s:I,s:b,s:i}", "incarnation", incarnation, "clock_us", (json_int_t)clock_us,
                     "lease_end_us", (json_int_t)cw_ownership_lease_end_us(backend->ownership), "draining",
                     (int)backend->draining, "active", (int)(backend->queued + backend->running));
}

static int parse_grant(json_t *json, cw_server_grant_t *grant)
{
    json_int_t  range;
    const char *service;
    const char *low;
    const char *last;
    const char *fence;

    if (json_unpack(json, "{s:I,s:s,s:s,s:s,s:s}", "range", &range, "service", &service, "low", &low, "last", &last,
                    "fence", &fence) != 0) {
        return CW_ERROR_PARSE;
    }
    grant->range = (cw_range_id_t)range;
    if (!cw_hex_parse(service, &grant->service) || !cw_hex_parse(low, &grant->low) ||
        !cw_hex_parse(last, &grant->last) || !cw_fence_parse(fence, &grant->fence) || grant->low > grant->last) {
        return CW_ERROR_PARSE;
    }
    return CW_OK;
}

static int parse_grants(json_t *json, cw_control_call_t *call)
{
    size_t i;

    call->grant_count = json_array_size(json);
    call->grants = calloc(call->grant_count + 1, sizeof(*call->grants));
    if (call->grants == NULL) {
        return CW_ERROR_PARSE;
    }
    for (i = 0; i < call->grant_count; i++) {
        if (parse_grant(json_array_get(json, i), &call->grants[i]) != CW_OK) {
            free(call->grants);
            call->grants = NULL;
            return CW_ERROR_PARSE;
        }
    }
    return CW_OK;
}

int cw_control_call_parse(const cw_standin_exchange_t *exchange, cw_control_call_t *call)
{
    json_t     *json = json_loadb(exchange->body, exchange->body_length, 0, NULL);
    json_t     *grants = NULL;
    const char *incarnation;
    json_int_t  lease_end_us = 0;
    int         error = CW_ERROR_PARSE;

    *call = (cw_control_call_t){0};
    if (json != NULL &&
        json_unpack(json, "{s:s,s?I,s?o}", "incarnation", &incarnation, "lease_end_us", &lease_end_us, "grants",
                    &grants) == 0 &&
        cw_hex_parse(incarnation, &call->incarnation)) {
        call->lease_end_us = lease_end_us;
        error = parse_grants(grants, call);
    }
    json_decref(json);
    return error;
}
