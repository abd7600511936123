/**
 * @file gateway_check.c
 * @brief Checks of a caller's request, in an order that tells strangers nothing: in touch, token, rate, service, form,
 *        places.
 *
 * A tenant that is not known and a wrong token take the same steps and give the same answer. Only requests with a right
 * token count against a tenant's limits, so no stranger can use them up.
 */
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/token_digest.h"
#include "gateway_internal.h"

enum { FIRST_PRINTABLE = 0x20, DELETE_CHARACTER = 0x7f };

/* Stands in for the tokens of a tenant that is not known. No token has this digest. */
static uint8_t                   no_digest[CW_TOKEN_DIGEST_BYTES];
static const ProtobufCBinaryData no_token = {CW_TOKEN_DIGEST_BYTES, no_digest};

static const Cw__TenantConfiguration *authenticate(const cw_control_state_t *routes, const cw_caller_request_t *request)
{
    const Cw__TenantConfiguration *tenant = cw_control_state_tenant(routes, request->tenant);
    uint8_t                        digest[CW_TOKEN_DIGEST_BYTES];
    bool                           accepted;

    cw_token_digest(request->token, digest);
    if (tenant == NULL || tenant->n_caller_token_sha256 == 0) {
        accepted = cw_token_digest_is_accepted(digest, &no_token, 1);
    } else {
        accepted = cw_token_digest_is_accepted(digest, tenant->caller_token_sha256, tenant->n_caller_token_sha256);
    }
    if (tenant == NULL || !accepted || request->token == NULL || request->token[0] == '\0') {
        return NULL;
    }
    return tenant;
}

/* The gateway's own record of a tenant, with the limits now in force. */
static cw_gateway_tenant_t *open_tenant(cw_gateway_t *gateway, const Cw__TenantConfiguration *configuration,
                                        cw_instant_t now)
{
    size_t               name_length = strlen(configuration->name);
    uint32_t             rate = configuration->limits == NULL ? 0 : configuration->limits->requests_per_second;
    cw_gateway_tenant_t *tenant;

    HASH_FIND_STR(gateway->tenants, configuration->name, tenant);
    if (tenant != NULL) {
        cw_token_bucket_limit(&tenant->rate, rate, rate, now.monotonic_us);
        return tenant;
    }
    if (name_length > CW_NAME_MAX) {
        return NULL;
    }
    tenant = calloc(1, sizeof(*tenant));
    if (tenant == NULL) {
        return NULL;
    }
    memcpy(tenant->name, configuration->name, name_length + 1);
    cw_token_bucket_init(&tenant->rate, rate, rate, now.monotonic_us);
    cw_retry_budget_init(&tenant->retries, gateway->options.retry_budget_percent, now.monotonic_us);
    HASH_ADD_STR(gateway->tenants, name, tenant);
    return tenant;
}

static const Cw__ServiceConfiguration *find_service(const cw_control_state_t *routes, const char *tenant,
                                                    const char *name)
{
    cw_service_id_t                 id = cw_hash_service(tenant, name);
    const Cw__ServiceConfiguration *service = cw_control_state_service(routes, id);
    const char                     *owner = cw_control_state_service_tenant(routes, id);

    if (service == NULL || owner == NULL || strcmp(owner, tenant) != 0 || strcmp(service->name, name) != 0) {
        return NULL;
    }
    return service;
}

/* Keys become part of a path and a header at the server: no control characters. */
static bool key_is_valid(const cw_caller_request_t *request)
{
    size_t index;

    if (request->key_length == 0 || request->key_length > CW_KEY_MAX) {
        return false;
    }
    for (index = 0; index < request->key_length; index++) {
        unsigned char character = (unsigned char)request->key[index];

        if (character < FIRST_PRINTABLE || character == DELETE_CHARACTER) {
            return false;
        }
    }
    return true;
}

static cw_reason_t check_request_id(const cw_gateway_t *gateway, const cw_caller_request_t *request,
                                    cw_gateway_checked_t *checked, cw_instant_t now)
{
    int64_t ahead_ms;

    if (request->request_id == NULL) {
        return CW_REASON_NONE;
    }
    if (cw_request_id_parse(request->request_id, strlen(request->request_id), checked->request_id) != CW_OK) {
        return CW_REASON_BAD_REQUEST;
    }
    checked->has_id = true;
    ahead_ms = cw_request_id_time_ms(checked->request_id) - now.wall_ms;
    return ahead_ms > gateway->options.clock_skew_ms ? CW_REASON_ID_IN_FUTURE : CW_REASON_NONE;
}

static cw_reason_t check_form(const cw_gateway_t *gateway, const cw_caller_request_t *request,
                              cw_gateway_checked_t *checked, cw_instant_t now)
{
    cw_reason_t reason = check_request_id(gateway, request, checked, now);

    if (reason != CW_REASON_NONE) {
        return reason;
    }
    if (!key_is_valid(request) || request->timeout_us < 0) {
        return CW_REASON_BAD_REQUEST;
    }
    if (request->body_length > CW_BODY_MAX) {
        return CW_REASON_TOO_LARGE;
    }
    return CW_REASON_NONE;
}

static cw_gateway_refusal_t refusal(cw_reason_t reason)
{
    return (cw_gateway_refusal_t){reason, 0};
}

static uint32_t rate_wait_ms(const cw_gateway_tenant_t *tenant)
{
    return (uint32_t)(cw_token_bucket_wait_us(&tenant->rate) / CW_US_PER_MS) + 1;
}

cw_gateway_refusal_t cw_gateway_check(cw_gateway_t *gateway, const cw_caller_request_t *request,
                                      cw_gateway_checked_t *checked, cw_instant_t now)
{
    const cw_control_state_t      *routes = cw_relay_routes(gateway->relay);
    const Cw__TenantConfiguration *tenant;
    cw_reason_t                    reason;

    if (gateway->stopping) {
        return refusal(CW_REASON_STOPPING);
    }
    if (!cw_relay_in_touch(gateway->relay, now)) {
        return refusal(CW_REASON_OUT_OF_TOUCH);
    }
    tenant = authenticate(routes, request);
    if (tenant == NULL) {
        return refusal(CW_REASON_UNAUTHORIZED);
    }
    checked->tenant = open_tenant(gateway, tenant, now);
    if (checked->tenant == NULL) {
        return refusal(CW_REASON_QUEUE_FULL);
    }
    if (!cw_token_bucket_take(&checked->tenant->rate, now.monotonic_us)) {
        return (cw_gateway_refusal_t){CW_REASON_RATE_LIMIT, rate_wait_ms(checked->tenant)};
    }
    checked->service = find_service(routes, tenant->name, request->service);
    if (checked->service == NULL) {
        return refusal(CW_REASON_NOT_FOUND);
    }
    reason = check_form(gateway, request, checked, now);
    if (reason != CW_REASON_NONE) {
        return refusal(reason);
    }
    return refusal(cw_admission_enter(&gateway->admission, &checked->tenant->share,
                                      tenant->limits == NULL ? 0 : tenant->limits->concurrent_requests));
}
