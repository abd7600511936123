/**
 * @file engine_callers.c
 * @brief Checks callers' keys: who is admitted, what a later configuration means for waiting requests, and which
 * header fields of the caller are never forwarded to servers.
 *
 * Rules:
 *  - A request is sent to a server only while the caller's key is in the configuration in force. This is checked when
 *    the request arrives, when a later configuration comes into force while the request is at no server, and when the
 *    request returns from a server.
 *  - A request that is at a server keeps its answer even if the key is revoked, because the server is already running
 *    it. It is not taken away from that server to be repeated either. If the server returns it without having run it,
 *    the request is rejected.
 *  - Where keys may be used only as long as there is recent evidence that none was revoked (cw_engine_trust_keys), a
 *    request with a key is refused with a time to retry, because another node may have newer evidence.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum { STATUS_UNAUTHORIZED = 401, STATUS_UNAVAILABLE = 503 };

/* Time to retry while the evidence for keys is stale: within it the caller can send the request to another node, or
 * this node reaches the store again, since checks of the configuration follow one another within a second
 * (configuration_freshness.h). */
static const double stale_keys_retry_after_s = 0.5;
/* Time to retry after a refusal with an unread body: the shortest one that is sent, since the caller can retry at once
 * on a new connection. */
static const double unread_body_retry_after_s = 0.04;

void cw_engine_init_callers(cw_engine_t *engine)
{
    static const char       name[] = "WWW-Authenticate";
    cw_http_field_builder_t builder = {0};

    engine->keys_trusted_until = CW_NEVER;
    if (engine->settings.credential_scheme == NULL) {
        engine->settings.credential_scheme = "Bearer";
    }
    cw_http_field_builder_name(&builder, &engine->challenge, name, strlen(name));
    cw_http_field_builder_value(&builder, &engine->challenge, engine->settings.credential_scheme,
                                strlen(engine->settings.credential_scheme));
}

void cw_engine_trust_keys(cw_engine_t *engine, cw_time_us_t until)
{
    engine->keys_trusted_until = until;
}

/* ---- admission of callers ---- */

static cw_metric_t rejection_metric(cw_caller_verdict_t verdict)
{
    static const cw_metric_t metrics[] = {
        [CW_CALLER_NO_KEY] = CW_METRIC_REJECTED_NO_KEY,
        [CW_CALLER_MALFORMED] = CW_METRIC_REJECTED_MALFORMED,
        [CW_CALLER_UNKNOWN_KEY] = CW_METRIC_REJECTED_UNKNOWN_KEY,
        [CW_CALLER_OTHER_TENANT] = CW_METRIC_REJECTED_OTHER_TENANT,
    };

    return metrics[verdict];
}

static bool has_key(const cw_caller_t *caller)
{
    return caller->tenant != NULL || caller->verdict == CW_CALLER_UNKNOWN_KEY;
}

/* A later configuration came into force between the reading of the head and now. With it the key is known, but the body
 * was not read. */
static void refuse_unread_body(const cw_engine_t *engine, cw_http_exchange_t *exchange,
                               const cw_http_inbound_t *inbound, cw_rejection_t *rejection)
{
    rejection->status = STATUS_UNAVAILABLE;
    rejection->reason = "its key is new, and its body was not read";
    rejection->retry_after_s = unread_body_retry_after_s;
    cw_metric_add(CW_METRIC_REFUSED_UNREAD, 1);
    cw_engine_reject(engine, exchange, inbound, rejection);
}

bool cw_engine_admit_caller(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                            const cw_route_t *route, cw_caller_t *caller)
{
    cw_rejection_t rejection = {.route = route->name, .retry_after_s = -1};

    *caller = cw_caller_identify(engine->configuration, route, inbound->fields, engine->settings.credential_scheme);
    rejection.tenant = caller->tenant == NULL ? NULL : caller->tenant->name;
    if (has_key(caller) && cw_engine_now(engine) >= engine->keys_trusted_until) {
        rejection.status = STATUS_UNAVAILABLE;
        rejection.reason = "too long without evidence that no key was taken away";
        rejection.retry_after_s = stale_keys_retry_after_s;
        cw_metric_add(CW_METRIC_REFUSED_KEYS_STALE, 1);
    } else if (cw_caller_is_rejected(caller)) {
        rejection.status = STATUS_UNAUTHORIZED;
        rejection.reason = cw_caller_reason(caller->verdict);
        rejection.fields = &engine->challenge;
        cw_metric_add(rejection_metric(caller->verdict), 1);
    } else if (inbound->body_unread) {
        refuse_unread_body(engine, exchange, inbound, &rejection);
        return false;
    } else {
        return true;
    }
    cw_engine_reject(engine, exchange, inbound, &rejection);
    return false;
}

bool cw_engine_rejects_head(const cw_engine_t *engine, const cw_http_inbound_t *head)
{
    const char       *host = cw_http_fields_find(head->fields, "host");
    const cw_route_t *route;
    cw_caller_t       caller;

    if (engine->configuration == NULL || host == NULL || head->target[0] != '/') {
        return false;
    }
    route = cw_configuration_match(engine->configuration, host, head->target);
    if (route == NULL) {
        return false;
    }
    caller = cw_caller_identify(engine->configuration, route, head->fields, engine->settings.credential_scheme);
    return cw_caller_is_rejected(&caller);
}

/* ---- a later configuration ---- */

/* The caller of another node's request is checked by that node. */
static bool is_checked_here(const cw_request_t *request)
{
    return request->delegation.origin == NULL;
}

bool cw_request_is_caller_valid(const cw_request_t *request)
{
    return !is_checked_here(request) ||
           cw_caller_recheck(&request->caller, request->engine->configuration) == CW_CALLER_UNCHANGED;
}

/* The request was admitted when callers had no keys; under the later configuration its credentials may be a key. */
static void hide_new_credentials(cw_request_t *request, const cw_configuration_t *later)
{
    cw_caller_t caller;

    if (request->caller.strips_credentials || !later->needs_keys) {
        return;
    }
    caller = cw_caller_identify(later, request->route, request->fields, request->engine->settings.credential_scheme);
    request->caller.strips_credentials = caller.strips_credentials;
}

bool cw_request_recheck_caller(cw_request_t *request)
{
    const cw_configuration_t *later = request->engine->configuration;

    if (later->version == request->caller_checked_version || !is_checked_here(request)) {
        return true;
    }
    request->caller_checked_version = later->version;
    hide_new_credentials(request, later);
    switch (cw_caller_recheck(&request->caller, later)) {
    case CW_CALLER_UNCHANGED:
        return true;
    case CW_CALLER_REVOKED:
        cw_request_refuse_revoked(request);
        return false;
    case CW_CALLER_MOVED:
        cw_request_refuse(request, CW_REFUSED_KEY_MOVED);
        return false;
    }
    return true;
}

void cw_engine_check_callers(cw_engine_t *engine)
{
    cw_request_t **requests = calloc(engine->requests + 1, sizeof(void *));
    cw_request_t  *request;
    size_t         count = 0;
    size_t         index;

    if (requests == NULL) {
        abort();
    }
    DL_FOREACH2(engine->open, request, newer)
    {
        requests[count++] = request;
    }
    /* Answering a request may let the next request of its connection begin, and that one may end other requests. Ended
     * requests are freed by the loop, not before this function returns. */
    for (index = 0; index < count; index++) {
        if (!requests[index]->is_ended && requests[index]->call == NULL) {
            (void)cw_request_recheck_caller(requests[index]);
        }
    }
    free(requests);
}

/* ---- header fields hidden from servers ---- */

bool cw_request_hides_field(const cw_request_t *request, const char *name)
{
    const char *tenant = request->engine->settings.names.tenant;

    if (tenant != NULL && cw_http_name_is_equivalent(name, tenant)) {
        return true;
    }
    return request->caller.strips_credentials && cw_http_name_is_equivalent(name, "authorization");
}
