/**
 * @file engine_callers.c
 * @brief Callers' keys at the engine: who comes in, what a later configuration makes of those that wait, and which of
 * the caller's header fields servers never see.
 *
 * Rules:
 *  - A request is sent to a server only while its key is one of the configuration in force: looked at when it comes in,
 *    when a later configuration comes into force while it is at no server, and when it comes back from one.
 *  - A request that is at a server keeps its answer, whatever becomes of its key: the server is at work on it already.
 *    It is not taken from there for a repeat either; what the server gives back is rejected.
 *  - Where keys are to be trusted no longer than their evidence (cw_engine_trust_keys), a request with a key is refused
 *    with a time to come back: another node may know more.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum { STATUS_UNAUTHORIZED = 401, STATUS_UNAVAILABLE = 503 };

/* Until another node has been asked by the caller, or this one has reached the store: checks of the configuration
 * follow within a second (configuration_freshness.h). */
static const double retry_stale_s = 0.5;
static const double retry_unread_s = 0.04; /* at once, on a new connection: the least that is said */

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

/* ---- who comes in ---- */

static cw_metric_t metric_of(cw_caller_verdict_t verdict)
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

/* A later configuration came into force between the head and its turn: it has a key now, and no body. */
static void refuse_without_body(const cw_engine_t *engine, cw_http_exchange_t *exchange,
                                const cw_http_inbound_t *inbound, cw_rejection_t *rejection)
{
    rejection->status = STATUS_UNAVAILABLE;
    rejection->reason = "its key is new, and its body was not read";
    rejection->retry_after_s = retry_unread_s;
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
        rejection.retry_after_s = retry_stale_s;
        cw_metric_add(CW_METRIC_REFUSED_KEYS_STALE, 1);
    } else if (cw_caller_is_rejected(caller)) {
        rejection.status = STATUS_UNAUTHORIZED;
        rejection.reason = cw_caller_reason(caller->verdict);
        rejection.fields = &engine->challenge;
        cw_metric_add(metric_of(caller->verdict), 1);
    } else if (inbound->body_unread) {
        refuse_without_body(engine, exchange, inbound, &rejection);
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

bool cw_request_caller_stays(const cw_request_t *request)
{
    return cw_caller_recheck(&request->caller, request->engine->configuration) == CW_CALLER_UNCHANGED;
}

/* Let in when nobody was known by keys: what it carries may be a key now. */
static void hide_new_credentials(cw_request_t *request, const cw_configuration_t *later)
{
    cw_caller_t caller;

    if (request->caller.strips_credentials || !later->needs_keys) {
        return;
    }
    caller = cw_caller_identify(later, request->route, request->fields, request->engine->settings.credential_scheme);
    request->caller.strips_credentials = caller.strips_credentials;
}

bool cw_request_still_admitted(cw_request_t *request)
{
    const cw_configuration_t *later = request->engine->configuration;

    if (later->version == request->caller_checked_by) {
        return true;
    }
    request->caller_checked_by = later->version;
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
    /* An answer may let another request of the connection begin, and that one may end others: they are freed by the
     * loop, not before this returns. */
    for (index = 0; index < count; index++) {
        if (!requests[index]->is_ended && requests[index]->call == NULL) {
            (void)cw_request_still_admitted(requests[index]);
        }
    }
    free(requests);
}

/* ---- what servers do not see ---- */

bool cw_request_hides_field(const cw_request_t *request, const char *name)
{
    const char *tenant = request->engine->settings.names.tenant;

    if (tenant != NULL && cw_http_name_is_equivalent(name, tenant)) {
        return true;
    }
    return request->caller.strips_credentials && cw_http_name_is_equivalent(name, "authorization");
}
