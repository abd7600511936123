/**
 * @file http_server.c
 * @brief HTTP/1.1 server for callers, operators and probes, on h2o's libuv backend.
 *
 * h2o parses requests, keeps the answers of one connection in order and writes them; its proxy handler is not used.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "adapters/http_internal.h"
#include "adapters/socket_address.h"
#include "cedarwinch/outcome.h"

enum {
    REQUEST_TIMEOUT_MS = 60 * 1000, /* reading a request, and idle between requests */
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_TOO_LARGE = 413,
    STATUS_UNAVAILABLE = 503
};

static const char caller_prefix[] = "/v1/";
static const char operator_prefix[] = "/operator/v1/";

/** h2o's handler with the server it belongs to. */
typedef struct server_handler {
    h2o_handler_t     super;
    cw_http_server_t *server;
} server_handler_t;

static bool starts_with(h2o_iovec_t text, const char *prefix)
{
    size_t length = strlen(prefix);

    return text.len >= length && memcmp(text.base, prefix, length) == 0;
}

static void answer_text(cw_http_server_t *server, h2o_req_t *request, int status, const char *text)
{
    cw_http_answer_header(request, "content-type", "text/plain; version=0.0.4");
    cw_http_answer_send(server, request, status, text, strlen(text));
}

static void answer_metrics(cw_http_server_t *server, h2o_req_t *request)
{
    char *text = server->callbacks.metrics(server->callbacks.context);

    answer_text(server, request, text == NULL ? STATUS_UNAVAILABLE : STATUS_OK, text == NULL ? "" : text);
    free(text);
}

static void answer_readiness(cw_http_server_t *server, h2o_req_t *request)
{
    bool ready = !server->stopping && server->callbacks.ready(server->callbacks.context);

    answer_text(server, request, ready ? STATUS_OK : STATUS_UNAVAILABLE, ready ? "ready\n" : "not ready\n");
}

/* Chooses the part that answers by the request's path. */
static int on_request(h2o_handler_t *handler, h2o_req_t *request)
{
    cw_http_server_t *server = ((server_handler_t *)handler)->server;
    h2o_iovec_t       path = request->input.path;
    const size_t      operator_length = sizeof(operator_prefix) - 1;

    if (starts_with(path, caller_prefix)) {
        cw_caller_http_request(server, request);
    } else if (starts_with(path, operator_prefix)) {
        cw_operator_http_request(
            server, request, h2o_strdup(&request->pool, path.base + operator_length, path.len - operator_length).base);
    } else if (h2o_memis(path.base, path.len, H2O_STRLIT("/healthz"))) {
        answer_text(server, request, STATUS_OK, "alive\n");
    } else if (h2o_memis(path.base, path.len, H2O_STRLIT("/readyz"))) {
        answer_readiness(server, request);
    } else if (h2o_memis(path.base, path.len, H2O_STRLIT("/metrics"))) {
        answer_metrics(server, request);
    } else {
        cw_http_answer_reason(server, request, CW_REASON_NOT_FOUND);
    }
    return 0;
}

/* Requests that h2o refuses by itself (malformed, body too large) never ran: says so in the headers of its answer. */
static void on_answer(h2o_filter_t *filter, h2o_req_t *request, h2o_ostream_t **slot)
{
    cw_reason_t reason = request->res.status == STATUS_TOO_LARGE ? CW_REASON_TOO_LARGE : CW_REASON_BAD_REQUEST;

    (void)filter;
    if ((request->res.status == STATUS_TOO_LARGE || request->res.status == STATUS_BAD_REQUEST) &&
        h2o_find_header_by_str(&request->res.headers, H2O_STRLIT("cw-outcome"), -1) == -1) {
        cw_http_answer_header(request, "cw-outcome", cw_outcome_text(CW__OUTCOME__OUTCOME_NOT_RUN));
        cw_http_answer_header(request, "cw-reason", cw_reason_text(reason));
    }
    h2o_setup_next_ostream(request, slot);
}

static void on_connection_closed(uv_handle_t *handle)
{
    cw_http_connection_t *connection = (cw_http_connection_t *)handle;
    cw_http_server_t     *server = connection->server;

    DL_DELETE(server->connections, connection);
    server->connection_count--;
    free(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
    cw_http_server_t     *server = listener->data;
    cw_http_connection_t *connection;

    if (status < 0) {
        cw_log(CW_LOG_WARNING, "http", "accept failed", "error=\"%s\"", uv_strerror(status));
        return;
    }
    connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        return;
    }
    connection->server = server;
    uv_tcp_init(server->loop, &connection->tcp);
    DL_APPEND(server->connections, connection);
    server->connection_count++;
    if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
        uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    connection->socket = h2o_uv_socket_create((uv_stream_t *)&connection->tcp, on_connection_closed);
    connection->socket->on_close.data = connection;
    h2o_accept(&server->accept, connection->socket);
}

static void configure(cw_http_server_t *server)
{
    h2o_hostconf_t   *host;
    h2o_pathconf_t   *path;
    server_handler_t *handler;

    h2o_config_init(&server->configuration);
    server->configuration.server_name = h2o_iovec_init(H2O_STRLIT("cedarwinch"));
    server->configuration.max_request_entity_size = CW_BODY_MAX;
    server->configuration.http1.req_timeout = REQUEST_TIMEOUT_MS;
    server->configuration.http1.upgrade_to_http2 = 0;
    host = h2o_config_register_host(&server->configuration, h2o_iovec_init(H2O_STRLIT("default")), UINT16_MAX);
    path = h2o_config_register_path(host, "/", 0);
    handler = (server_handler_t *)h2o_create_handler(path, sizeof(*handler));
    handler->super.on_req = on_request;
    handler->server = server;
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))->on_setup_ostream = on_answer;
    h2o_context_init(&server->context, server->loop, &server->configuration);
    server->accept.ctx = &server->context;
    server->accept.hosts = server->configuration.hosts;
}

int cw_http_server_create(cw_http_server_t **server, uv_loop_t *loop, const char *address, uint16_t port,
                          const cw_http_server_callbacks_t *callbacks)
{
    cw_http_server_t *created = calloc(1, sizeof(*created));
    int               error;

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->loop = loop;
    created->callbacks = *callbacks;
    uv_tcp_init(loop, &created->listener);
    created->listener.data = created;
    created->listening = true;
    configure(created);
    error = cw_socket_listen(&created->listener, address, port, on_connection);
    if (error != CW_OK) {
        cw_http_server_free(created);
        return error;
    }
    *server = created;
    return CW_OK;
}

uint16_t cw_http_server_port(const cw_http_server_t *server)
{
    return cw_socket_bound_port(&server->listener);
}

size_t cw_http_server_open_connections(const cw_http_server_t *server)
{
    return server->connection_count;
}

static void on_listener_closed(uv_handle_t *handle)
{
    ((cw_http_server_t *)handle->data)->listening = false;
}

void cw_http_connection_end_input(cw_http_connection_t *connection)
{
    uv_os_fd_t descriptor;

    if (uv_fileno((uv_handle_t *)&connection->tcp, &descriptor) == 0) {
        shutdown(descriptor, SHUT_RD);
    }
}

void cw_http_server_end_connections(cw_http_server_t *server)
{
    server->ending_connections = true;
    /* Not h2o_context_request_shutdown: it arms an HTTP/2 timer that outlives the context. */
    server->context.shutdown_requested = 1;
}

void cw_http_server_close_listener(cw_http_server_t *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, on_listener_closed);
    }
}

void cw_http_server_stop(cw_http_server_t *server)
{
    cw_http_connection_t *connection;

    if (server->stopping) {
        return;
    }
    server->stopping = true;
    cw_http_server_end_connections(server);
    cw_http_server_close_listener(server);
    DL_FOREACH(server->connections, connection)
    {
        if (connection->socket != NULL && connection->exchange == NULL && connection->socket->input->size == 0) {
            cw_http_connection_end_input(connection);
        }
    }
}

static void refuse_waiting(cw_http_server_t *server)
{
    cw_http_exchange_t *exchange;
    cw_http_exchange_t *following;

    HASH_ITER(hh, server->waiting, exchange, following)
    {
        cw_http_exchange_take(server, exchange->caller_id, exchange->is_caller);
        cw_http_answer_reason(server, exchange->request, CW_REASON_FORWARDER_LOST);
    }
}

void cw_http_server_free(cw_http_server_t *server)
{
    cw_http_connection_t *connection;

    if (server == NULL) {
        return;
    }
    cw_http_server_stop(server);
    refuse_waiting(server);
    DL_FOREACH(server->connections, connection)
    {
        cw_http_connection_end_input(connection);
    }
    while (server->connection_count > 0 || server->listening) {
        uv_run(server->loop, UV_RUN_ONCE);
    }
    h2o_context_dispose(&server->context);
    h2o_config_dispose(&server->configuration);
    free(server);
}
