/**
 * @file ipv4_endpoint.h
 * @brief Reads endpoints that other parties write: "IPv4:PORT".
 */
#ifndef CEDARWINCH_NET_IPV4_ENDPOINT_H
#define CEDARWINCH_NET_IPV4_ENDPOINT_H

#include <netinet/in.h>
#include <stdbool.h>

/** Reads an endpoint. False: the text is not four decimal numbers, a colon and a port from 1 to 65535 in digits, and
 * the endpoint is unchanged. */
bool cw_ipv4_endpoint_read(const char *text, struct sockaddr_in *endpoint);

#endif
