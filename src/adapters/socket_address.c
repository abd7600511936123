/**
 * @file socket_address.c
 * @brief IP numbers, ports and listening sockets.
 */
#include "adapters/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { LISTEN_BACKLOG = 1024 };

int cw_socket_address_parse(const char *address, uint16_t port, struct sockaddr_storage *result)
{
    memset(result, 0, sizeof(*result));
    if (uv_ip4_addr(address, port, (struct sockaddr_in *)result) == 0) {
        return CW_OK;
    }
    if (uv_ip6_addr(address, port, (struct sockaddr_in6 *)result) == 0) {
        return CW_OK;
    }
    return CW_ERROR_INVALID;
}

socklen_t cw_socket_address_length(const struct sockaddr_storage *address)
{
    return address->ss_family == AF_INET6 ? sizeof(struct sockaddr_in6) : sizeof(struct sockaddr_in);
}

uint16_t cw_socket_bound_port(const uv_tcp_t *handle)
{
    struct sockaddr_storage address;
    int                     length = sizeof(address);

    memset(&address, 0, sizeof(address));
    if (uv_tcp_getsockname(handle, (struct sockaddr *)&address, &length) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
    }
    return ntohs(((struct sockaddr_in *)&address)->sin_port);
}

int cw_socket_listen(uv_tcp_t *handle, const char *address, uint16_t port, uv_connection_cb accepted)
{
    struct sockaddr_storage socket_address;
    int                     error;

    error = cw_socket_address_parse(address, port, &socket_address);
    if (error != CW_OK) {
        return error;
    }
    if (uv_tcp_bind(handle, (struct sockaddr *)&socket_address, 0) != 0) {
        return CW_ERROR_IO;
    }
    if (uv_listen((uv_stream_t *)handle, LISTEN_BACKLOG, accepted) != 0) {
        return CW_ERROR_IO;
    }
    return CW_OK;
}
