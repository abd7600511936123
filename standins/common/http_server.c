/**
 * @file http_server.c
 * @brief HTTP/1.1 server of the stand-ins: listening, connections and their faults. See exchange.c for requests.
 */
#include "http_server.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>
#include <utlist.h>

#include "cedarwinch/error.h"
#include "http_server_internal.h"

enum {
    LISTEN_BACKLOG = 1024,
    IDLE_TIMEOUT_MS = 3600 * 1000, /**< pooled connections of the router stay open */
    BODY_LIMIT = 16 * 1024 * 1024
};

/** Handler with the way back to its server; h2o allocates it. */
typedef struct server_handler {
    h2o_handler_t        base;
    cw_standin_server_t *server;
} server_handler_t;

static int on_request(h2o_handler_t *self, h2o_req_t *request)
{
    server_handler_t      *handler = (server_handler_t *)self;
    cw_standin_exchange_t *exchange = cw_standin_exchange_create(handler->server, request);

    handler->server->options.request(handler->server->options.context, exchange);
    return 0;
}

static void on_timer_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void on_connection_closed(uv_handle_t *handle)
{
    connection_t *connection = (connection_t *)handle;

    DL_DELETE(connection->server->connections, connection);
    connection->server->open--;
    connection->timer.data = connection;
    uv_close((uv_handle_t *)&connection->timer, on_timer_closed);
}

/* The connection's cost is paid: hand it to h2o, which owns the socket from here on. */
static void on_connection_ready(uv_timer_t *timer)
{
    connection_t *connection = timer->data;
    h2o_socket_t *socket = h2o_uv_socket_create((uv_stream_t *)&connection->tcp, on_connection_closed);

    h2o_accept(&connection->server->accept, socket);
}

static void on_connection(uv_stream_t *listener, int status)
{
    cw_standin_server_t *server = listener->data;
    connection_t        *connection;

    if (status != 0) {
        return;
    }
    connection = h2o_mem_alloc(sizeof(*connection));
    memset(connection, 0, sizeof(*connection));
    connection->server = server;
    uv_tcp_init(server->loop, &connection->tcp);
    uv_timer_init(server->loop, &connection->timer);
    connection->timer.data = connection;
    DL_APPEND(server->connections, connection);
    server->open++;
    if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0 ||
        (server->options.connection_limit != 0 && server->open > server->options.connection_limit)) {
        uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
        return;
    }
    server->accepted++;
    uv_tcp_nodelay(&connection->tcp, 1);
    if (server->options.accept_delay_ms == 0) {
        on_connection_ready(&connection->timer);
        return;
    }
    uv_update_time(server->loop);
    uv_timer_start(&connection->timer, on_connection_ready, server->options.accept_delay_ms, 0);
}

static void init_h2o(cw_standin_server_t *server)
{
    h2o_hostconf_t   *host;
    h2o_pathconf_t   *path;
    server_handler_t *handler;

    h2o_config_init(&server->configuration);
    server->configuration.http1.req_timeout = IDLE_TIMEOUT_MS;
    server->configuration.http1.upgrade_to_http2 = 0;
    server->configuration.max_request_entity_size = BODY_LIMIT;
    host = h2o_config_register_host(&server->configuration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    path = h2o_config_register_path(host, "/", 0);
    handler = (server_handler_t *)h2o_create_handler(path, sizeof(*handler));
    handler->base.on_req = on_request;
    handler->server = server;
    h2o_context_init(&server->h2o, server->loop, &server->configuration);
    server->accept.ctx = &server->h2o;
    server->accept.hosts = server->configuration.hosts;
}

static int listen_on(cw_standin_server_t *server)
{
    struct sockaddr_in address;
    int                length = sizeof(address);

    if (uv_ip4_addr(server->options.address, server->options.port, &address) != 0) {
        return CW_ERROR_INVALID;
    }
    uv_tcp_init(server->loop, &server->listener);
    server->listener.data = server;
    if (uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0) != 0 ||
        uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection) != 0) {
        return CW_ERROR_IO;
    }
    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    return CW_OK;
}

int cw_standin_server_create(cw_standin_server_t **result, uv_loop_t *loop, const cw_standin_server_options_t *options)
{
    cw_standin_server_t *server = calloc(1, sizeof(*server));
    int                  error;

    if (server == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    server->loop = loop;
    server->options = *options;
    init_h2o(server);
    error = listen_on(server);
    *result = server;
    return error;
}

uint16_t cw_standin_server_port(const cw_standin_server_t *server)
{
    return server->port;
}

void cw_standin_server_stop(cw_standin_server_t *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
}

void cw_standin_connection_cut(uv_tcp_t *tcp)
{
    uv_os_fd_t descriptor;

    if (uv_fileno((const uv_handle_t *)tcp, &descriptor) == 0) {
        shutdown(descriptor, SHUT_RDWR);
    }
}

void cw_standin_server_cut_connections(cw_standin_server_t *server)
{
    connection_t *connection;

    DL_FOREACH(server->connections, connection)
    {
        cw_standin_connection_cut(&connection->tcp);
    }
}

void cw_standin_server_set_answer_delay(cw_standin_server_t *server, uint32_t delay_ms)
{
    server->answer_delay_ms = delay_ms;
}

uint64_t cw_standin_server_connections_accepted(const cw_standin_server_t *server)
{
    return server->accepted;
}

uint64_t cw_standin_server_connections_open(const cw_standin_server_t *server)
{
    return server->open;
}
