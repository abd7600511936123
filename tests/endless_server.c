/**
 * @file endless_server.c
 * @brief Implements the server that sends bytes without end.
 */
#include "endless_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"

enum { BLOCK_BYTES = 64 * 1024, REQUEST_BYTES = 64 * 1024, BACKLOG = 64 };

/** One connection, and the block of bytes that it sends again and again. */
typedef struct endless_connection {
    uv_tcp_t          tcp;
    uv_write_t        write;
    endless_server_t *server;
    char              block[BLOCK_BYTES];
    size_t            block_length;
    bool              is_sending;
} endless_connection_t;

static void on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void close_connection(endless_connection_t *connection)
{
    if (uv_is_closing((uv_handle_t *)&connection->tcp) == 0) {
        connection->server->open--;
        uv_close((uv_handle_t *)&connection->tcp, on_closed);
    }
}

/* Fills the block with whole units. */
static void fill_block(endless_connection_t *connection, const char *unit)
{
    size_t length = unit == NULL ? 0 : strlen(unit);

    connection->block_length = 0;
    while (length > 0 && connection->block_length + length <= sizeof(connection->block)) {
        memcpy(connection->block + connection->block_length, unit, length);
        connection->block_length += length;
    }
}

static void send_block(endless_connection_t *connection);

static void on_written(uv_write_t *write, int status)
{
    endless_connection_t *connection = write->data;

    connection->is_sending = false;
    if (status != 0 || (connection->block_length == 0 && connection->server->closes)) {
        close_connection(connection);
        return;
    }
    connection->server->sent += connection->block_length;
    if (connection->block_length > 0) {
        send_block(connection);
    }
}

static void send_bytes(endless_connection_t *connection, const char *bytes, size_t length)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);

    connection->is_sending = true;
    connection->write.data = connection;
    if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written) != 0) {
        close_connection(connection);
    }
}

static void send_block(endless_connection_t *connection)
{
    send_bytes(connection, connection->block, connection->block_length);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char request[REQUEST_BYTES];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(request, sizeof(request));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    endless_connection_t *connection = stream->data;
    endless_server_t     *server = connection->server;

    (void)buffer;
    if (length < 0) {
        close_connection(connection);
        return;
    }
    if (length == 0 || connection->is_sending) {
        return;
    }
    server->requests++;
    fill_block(connection, server->unit);
    send_bytes(connection, server->begin, strlen(server->begin));
}

static void on_connection(uv_stream_t *stream, int status)
{
    endless_server_t     *server = stream->data;
    endless_connection_t *connection = calloc(1, sizeof(*connection));

    ck_assert_int_eq(status, 0);
    ck_assert_ptr_nonnull(connection);
    connection->server = server;
    uv_tcp_init(server->loop, &connection->tcp);
    connection->tcp.data = connection;
    ck_assert_int_eq(uv_accept(stream, (uv_stream_t *)&connection->tcp), 0);
    server->open++;
    uv_read_start((uv_stream_t *)&connection->tcp, on_allocate, on_read);
}

void endless_server_start(endless_server_t *server, uv_loop_t *loop, const char *begin, const char *unit)
{
    struct sockaddr_in address;
    int                length = sizeof(address);

    memset(server, 0, sizeof(*server));
    server->loop = loop;
    server->begin = begin;
    server->unit = unit;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    ck_assert_int_eq(uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0), 0);
    ck_assert_int_eq(uv_listen((uv_stream_t *)&server->listener, BACKLOG, on_connection), 0);
    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &length);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%u", ntohs(address.sin_port));
}
