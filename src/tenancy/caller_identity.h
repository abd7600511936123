/**
 * @file caller_identity.h
 * @brief Whose caller sent a request: its key, found in the configuration's index of keys.
 *
 * Rules:
 *  - Where the configuration has keys, a request carries one (header `Authorization`, the scheme of the settings),
 * unless its route allows callers without one.
 *  - A key that is sent has to be known, also on such a route. Unknown, malformed and doubled credentials and those of
 *    another scheme are rejected: 401, and the request is sent to no server.
 *  - A route that a tenant owns by its name (model/tenant.h) admits that tenant's callers only.
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
    CW_CALLER_ANONYMOUS,    /**< no key is needed, and none was sent */
    CW_CALLER_KNOWN,        /**< its key is a tenant's */
    CW_CALLER_NO_KEY,       /**< rejected, as those below */
    CW_CALLER_MALFORMED,    /**< several credentials, another scheme, or no key behind the scheme */
    CW_CALLER_UNKNOWN_KEY,  /**< the configuration in force holds no such key */
    CW_CALLER_OTHER_TENANT, /**< the route is another tenant's */
} cw_caller_verdict_t;

typedef struct cw_caller {
    cw_caller_verdict_t verdict;
    const cw_tenant_t  *tenant; /**< of the key; NULL: none. Lives as long as the configuration. */
    cw_key_digest_t     key;    /**< only with a tenant */
} cw_caller_t;

/** scheme: of the credentials, without the blank behind it. */
cw_caller_t cw_caller_identify(const cw_configuration_t *configuration, const cw_route_t *route,
                               const cw_http_fields_t *fields, const char *scheme);
/** Is a request that was let in still allowed by a later configuration? Its key may have been taken away. */
bool cw_caller_is_still_admitted(const cw_caller_t *caller, const cw_configuration_t *later);
bool cw_caller_is_rejected(const cw_caller_t *caller);
/** For the log: why, in words. */
const char *cw_caller_reason(cw_caller_verdict_t verdict);

#endif
