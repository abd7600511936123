/**
 * @file socket_address.h
 * @brief Turns an IP number and a port into a socket address. No names are resolved.
 */
#ifndef CEDARWINCH_SOCKET_ADDRESS_H
#define CEDARWINCH_SOCKET_ADDRESS_H

#include <stdint.h>
#include <sys/socket.h>
#include <uv.h>

/** IPv4 or IPv6. Returns CW_ERROR_INVALID when the text is neither. */
int cw_socket_address_parse(const char *address, uint16_t port, struct sockaddr_storage *result);

/** Size of the address by its family. */
socklen_t cw_socket_address_length(const struct sockaddr_storage *address);

/** Port a TCP handle is bound to; 0: not bound. */
uint16_t cw_socket_bound_port(const uv_tcp_t *handle);

/** Binds a new TCP handle and listens. On error the handle is left to the caller to close. */
int cw_socket_listen(uv_tcp_t *handle, const char *address, uint16_t port, uv_connection_cb accepted);

#endif
