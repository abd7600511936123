/**
 * @file gateway_headers.c
 * @brief Which of a caller's headers pass to the server: not those of one connection (RFC 9110, section 7.6.1), not the
 * caller's token, and none that only the router may set.
 */
#include <strings.h>

#include "gateway_internal.h"

#define ROUTER_PREFIX "cw-"

static const char *const connection_headers[] = {
    "connection",       "content-length",      "expect", "host",    "keep-alive",        "proxy-authenticate",
    "proxy-connection", "proxy-authorization", "te",     "trailer", "transfer-encoding", "upgrade",
};

static const char *const router_request_headers[] = {"authorization", "request-id", "request-timeout-ms"};

static bool is_listed(const char *name, const char *const *list, size_t count)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (strcasecmp(name, list[index]) == 0) {
            return true;
        }
    }
    return false;
}

static bool is_connection_header(const char *name)
{
    return is_listed(name, connection_headers, sizeof(connection_headers) / sizeof(connection_headers[0]));
}

bool cw_gateway_request_header_passes(const char *name)
{
    const size_t count = sizeof(router_request_headers) / sizeof(router_request_headers[0]);

    return strncasecmp(name, ROUTER_PREFIX, sizeof(ROUTER_PREFIX) - 1) != 0 && !is_connection_header(name) &&
           !is_listed(name, router_request_headers, count);
}
