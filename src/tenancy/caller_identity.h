/**
 * @file caller_identity.h
 * @brief Identifies the tenant whose caller sent a request, by its API key and the configuration's index of keys.
 *
 * Rules:
 *  - Where the callers of some tenant are identified by keys, a request must carry a key (header `Authorization`, with
 *    the scheme of the settings), unless its route allows anonymous callers.
 *  - A key that is sent must be known, also on a route that allows anonymous callers. Unknown, malformed and doubled
 *    credentials and credentials of another scheme are rejected with 401, and the request is sent to no server.
 *  - A route that a tenant owns by its name (model/tenant.h) admits only callers of that tenant. If the callers of that
 *    tenant are not identified by keys, the route admits everybody, and `Authorization` belongs to that tenant: it is
 *    forwarded to its servers. Another tenant's key in it, in whatever form, is still not forwarded.
 *  - Only the digest of a key is kept. Neither the key nor its digest goes into a log line, a metric, an answer or a
 *    datagram of this module.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_TENANCY_CALLER_IDENTITY_H
#define CEDARWINCH_TENANCY_CALLER_IDENTITY_H

#include "model/configuration.h"
#include "net/http_header.h"

/** Result of identifying a caller. */
typedef enum cw_caller_verdict {
    CW_CALLER_ANONYMOUS,    /**< no key is required, and no key that counts was sent */
    CW_CALLER_KNOWN,        /**< the key belongs to a tenant */
    CW_CALLER_NO_KEY,       /**< rejected, like all verdicts below: a key is required and none was sent */
    CW_CALLER_MALFORMED,    /**< several credentials, another scheme, or no key after the scheme */
    CW_CALLER_UNKNOWN_KEY,  /**< the configuration in force has no such key */
    CW_CALLER_OTHER_TENANT, /**< the route belongs to another tenant */
} cw_caller_verdict_t;

/** Caller of one request. */
typedef struct cw_caller {
    cw_caller_verdict_t verdict;
    const cw_tenant_t  *tenant; /**< owner of the key; NULL if there is none. Lives as long as the configuration. */
    cw_key_digest_t     key;    /**< valid only if tenant is not NULL */
    bool strips_credentials;    /**< `Authorization` is meant for this system and is not forwarded to servers */
} cw_caller_t;

/** What a later configuration means for a caller that was admitted under an earlier one. */
typedef enum cw_caller_recheck {
    CW_CALLER_UNCHANGED, /**< nothing has changed for it */
    CW_CALLER_REVOKED,   /**< its key was revoked: no tenant has it any more */
    CW_CALLER_MOVED /**< its key belongs to another tenant now: the caller must be admitted again as that tenant's */
} cw_caller_recheck_t;

/** Identifies the caller of a request. scheme: scheme of the credentials, without the space after it. */
cw_caller_t cw_caller_identify(const cw_configuration_t *configuration, const cw_route_t *route,
                               const cw_http_fields_t *fields, const char *scheme);
/** True for every verdict that is answered with 401. */
bool cw_caller_is_rejected(const cw_caller_t *caller);
/** Compares an admitted caller with the configuration in force now (later). */
cw_caller_recheck_t cw_caller_recheck(const cw_caller_t *caller, const cw_configuration_t *later);
/** Reason for the verdict in words, for the log. */
const char *cw_caller_reason(cw_caller_verdict_t verdict);
/** Tenant whose limits, priority and regions apply to the request: the tenant of the key, otherwise the owner of the
 * route; NULL: none. */
const cw_tenant_t *cw_caller_limiting_tenant(const cw_caller_t *caller, const cw_configuration_t *configuration,
                                             const cw_route_t *route);

#endif
