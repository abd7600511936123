/**
 * @file header_rules.h
 * @brief Which HTTP headers pass through the router.
 */
#ifndef CEDARWINCH_HEADER_RULES_H
#define CEDARWINCH_HEADER_RULES_H

#include <stdbool.h>
#include <stddef.h>

/** Does a caller's request header go on to the server? Not: hop-by-hop ones (RFC 9110 7.6.1), those the router reads
 *  itself, and the router's own names. Names are compared without case. */
bool cw_header_passes_to_server(const char *name, size_t length);

/** Does a server's answer header go back to the caller? */
bool cw_header_passes_to_caller(const char *name, size_t length);

/** Is a name listed in the value of a Connection header? Such headers are hop-by-hop too. */
bool cw_header_is_nominated(const char *connection, size_t connection_length, const char *name, size_t length);

#endif
