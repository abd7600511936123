/**
 * @file caller_identity.h
 * @brief Whose caller sent a request: its key, found in the configuration's index of keys.
 *
 * Rules:
 *  - Where the callers of some tenant are known by keys, a request carries one (header `Authorization`, the scheme of
 *    the settings), unless its route allows callers without one.
 *  - A key that is sent has to be known, also on such a route. Unknown, malformed and doubled credentials and those of
 *    another scheme are rejected: 401, and the request is sent to no server.
 *  - A route that a tenant owns by its name (model/tenant.h) admits that tenant's callers only. If that tenant's
 * callers are not known by keys, the route admits everybody, and what stands in `Authorization` is that tenant's own
 * affair: another tenant's key in it, in whatever form, is still not passed on.
 *  - Nothing of a key is kept but its digest; neither goes into a log, a metric, an answer or a datagram of this
 * module.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_TENANCY_CALLER_IDENTITY_H
#define CEDARWINCH_TENANCY_CALLER_IDENTITY_H

#include "model/configuration.h"
#include "net/http_header.h"

typedef enum cw_caller_verdict {
    CW_CALLER_ANONYMOUS,    /**< no key is needed, and none that counts was sent */
    CW_CALLER_KNOWN,        /**< its key is a tenant's */
    CW_CALLER_NO_KEY,       /**< rejected, as those below */
    CW_CALLER_MALFORMED,    /**< several credentials, another scheme, or no key behind the scheme */
    CW_CALLER_UNKNOWN_KEY,  /**< the configuration in force holds no such key */
    CW_CALLER_OTHER_TENANT, /**< the route is another tenant's */
} cw_caller_verdict_t;

typedef struct cw_caller {
    cw_caller_verdict_t verdict;
    const cw_tenant_t  *tenant;             /**< of the key; NULL: none. Lives as long as the configuration. */
    cw_key_digest_t     key;                /**< only with a tenant */
    bool                strips_credentials; /**< `Authorization` is for this system, not for servers */
} cw_caller_t;

/** What a later configuration makes of a caller that was let in. */
typedef enum cw_caller_recheck {
    CW_CALLER_UNCHANGED,
    CW_CALLER_REVOKED, /**< its key was taken away */
    CW_CALLER_MOVED    /**< its key is another tenant's now: to be let in anew, as that one's */
} cw_caller_recheck_t;

/** scheme: of the credentials, without the blank behind it. */
cw_caller_t cw_caller_identify(const cw_configuration_t *configuration, const cw_route_t *route,
                               const cw_http_fields_t *fields, const char *scheme);
bool        cw_caller_is_rejected(const cw_caller_t *caller);
/** Of a caller that was let in. later: the configuration in force now. */
cw_caller_recheck_t cw_caller_recheck(const cw_caller_t *caller, const cw_configuration_t *later);
/** For the log: why, in words. */
const char *cw_caller_reason(cw_caller_verdict_t verdict);
/** Whose limits, priority and regions bind the request: its key's tenant, else the route's owner; NULL: nobody's. */
const cw_tenant_t *cw_caller_limiting_tenant(const cw_caller_t *caller, const cw_configuration_t *configuration,
                                             const cw_route_t *route);

#endif
