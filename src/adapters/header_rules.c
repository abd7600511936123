/**
 * @file header_rules.c
 * @brief Hop-by-hop headers and the router's own header names.
 */
#include "adapters/header_rules.h"

#include <string.h>
#include <strings.h>

static const char own_prefix[] = "cw-";

static const char *const hop_by_hop[] = {"connection",
                                         "content-length",
                                         "expect",
                                         "keep-alive",
                                         "proxy-authenticate",
                                         "proxy-authorization",
                                         "proxy-connection",
                                         "te",
                                         "trailer",
                                         "transfer-encoding",
                                         "upgrade"};

static const char *const router_request[] = {"authorization", "host", "request-id", "request-timeout-ms"};

static const char *const router_answer[] = {"cw-outcome", "cw-reason", "cw-not-run", "date", "request-id", "server"};

static bool is_listed(const char *const *names, size_t count, const char *name, size_t length)
{
    size_t position;

    for (position = 0; position < count; position++) {
        if (strlen(names[position]) == length && strncasecmp(names[position], name, length) == 0) {
            return true;
        }
    }
    return false;
}

#define IS_LISTED(names, name, length) is_listed(names, sizeof(names) / sizeof((names)[0]), name, length)

bool cw_header_passes_to_server(const char *name, size_t length)
{
    const size_t prefix_length = sizeof(own_prefix) - 1;

    if (length >= prefix_length && strncasecmp(name, own_prefix, prefix_length) == 0) {
        return false;
    }
    return !IS_LISTED(hop_by_hop, name, length) && !IS_LISTED(router_request, name, length);
}

bool cw_header_passes_to_caller(const char *name, size_t length)
{
    return !IS_LISTED(hop_by_hop, name, length) && !IS_LISTED(router_answer, name, length);
}

bool cw_header_is_nominated(const char *connection, size_t connection_length, const char *name, size_t length)
{
    size_t start = 0;
    size_t end;

    while (start < connection_length) {
        while (start < connection_length && (connection[start] == ' ' || connection[start] == ',')) {
            start++;
        }
        end = start;
        while (end < connection_length && connection[end] != ' ' && connection[end] != ',') {
            end++;
        }
        if (end - start == length && strncasecmp(connection + start, name, length) == 0) {
            return true;
        }
        start = end;
    }
    return false;
}
