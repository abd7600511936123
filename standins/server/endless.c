/**
 * @file endless.c
 * @brief Sends bytes without end.
 */
#include "endless.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    BLOCK_BYTES = 64 * 1024,
    REQUEST_BYTES = 16 * 1024,
    ID_BYTES = 80,
    BACKLOG = 128,
    SEND_BUFFER_BYTES = 64 * 1024
};

/** One connection with the request that it carries. */
typedef struct connection {
    uv_tcp_t   tcp;
    uv_write_t write;
    endless_t *endless;
    char       request[REQUEST_BYTES]; /**< as much of it as has come */
    size_t     request_length;
    char       id[ID_BYTES];
    char       health[256]; /**< answer of the health path */
    bool       is_endless;  /**< it has begun to send without end */
    uint64_t   sent;
} connection_t;

static const endless_kind_t kinds[] = {
    {"interim", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
    {"head", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
    {"body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a body without a length "},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
    {"noise", "not an answer ", "nor this "}};

/** Blocks of whole units, for all connections. */
static char   block[BLOCK_BYTES];
static size_t block_length;

const endless_kind_t *endless_kind(const char *name)
{
    size_t index;

    for (index = 0; index < sizeof(kinds) / sizeof(kinds[0]); index++) {
        if (strcmp(kinds[index].name, name) == 0) {
            return &kinds[index];
        }
    }
    return NULL;
}

static void on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void close_connection(connection_t *connection)
{
    if (uv_is_closing((uv_handle_t *)&connection->tcp) != 0) {
        return;
    }
    if (connection->is_endless) {
        connection->endless->on_end(connection->endless->context, connection->id, connection->sent);
    }
    uv_close((uv_handle_t *)&connection->tcp, on_closed);
}

static void send_bytes(connection_t *connection, const char *bytes, size_t length);

static void on_written(uv_write_t *write, int status)
{
    connection_t *connection = write->data;

    if (status != 0) {
        close_connection(connection);
    } else if (connection->is_endless) {
        connection->sent += block_length;
        send_bytes(connection, block, block_length);
    }
}

static void send_bytes(connection_t *connection, const char *bytes, size_t length)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);

    connection->write.data = connection;
    if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written) != 0) {
        close_connection(connection);
    }
}

static void read_id(connection_t *connection)
{
    static const char name[] = "\r\nX-Request-Id: ";
    const char       *field = strcasestr(connection->request, name);

    if (field != NULL) {
        field += sizeof(name) - 1;
        snprintf(connection->id, sizeof(connection->id), "%.*s", (int)strcspn(field, "\r\n"), field);
    }
}

static void answer(connection_t *connection)
{
    endless_t *endless = connection->endless;

    if (strncmp(connection->request, "GET /health ", strlen("GET /health ")) == 0) {
        connection->request_length = 0;
        snprintf(connection->health, sizeof(connection->health),
                 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", endless->instance);
        send_bytes(connection, connection->health, strlen(connection->health));
        return;
    }
    read_id(connection);
    connection->is_endless = true;
    endless->on_begin(endless->context, connection->id);
    send_bytes(connection, endless->kind->begin, strlen(endless->kind->begin));
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    connection_t *connection = handle->data;

    (void)suggested;
    if (connection->is_endless) { /* what follows the head is not needed */
        connection->request_length = 0;
    }
    *buffer = uv_buf_init(connection->request + connection->request_length,
                          (unsigned)(sizeof(connection->request) - connection->request_length - 1));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;

    (void)buffer;
    if (length < 0) {
        close_connection(connection);
        return;
    }
    connection->request_length += (size_t)length;
    connection->request[connection->request_length] = '\0';
    if (!connection->is_endless && strstr(connection->request, "\r\n\r\n") != NULL) {
        answer(connection);
    }
}

static void on_connection(uv_stream_t *stream, int status)
{
    endless_t    *endless = stream->data;
    connection_t *connection = calloc(1, sizeof(*connection));
    int           buffer_bytes = SEND_BUFFER_BYTES; /* so that what was sent is about what the caller has read */

    if (connection == NULL) {
        abort();
    }
    connection->endless = endless;
    uv_tcp_init(endless->loop, &connection->tcp);
    connection->tcp.data = connection;
    if (status != 0 || uv_accept(stream, (uv_stream_t *)&connection->tcp) != 0) {
        close_connection(connection);
        return;
    }
    uv_send_buffer_size((uv_handle_t *)&connection->tcp, &buffer_bytes);
    uv_read_start((uv_stream_t *)&connection->tcp, on_allocate, on_read);
}

static void fill_block(const char *unit)
{
    size_t length = strlen(unit);
    size_t index;

    block_length = sizeof(block) - sizeof(block) % length;
    for (index = 0; index < block_length; index++) {
        block[index] = unit[index % length];
    }
}

int endless_start(endless_t *endless, uv_loop_t *loop, const char *address, uint16_t *port)
{
    struct sockaddr_in bound;
    int                length = sizeof(bound);
    int                error;

    endless->loop = loop;
    endless->listener.data = endless;
    fill_block(endless->kind->unit);
    uv_tcp_init(loop, &endless->listener);
    endless->listener.data = endless;
    error = uv_ip4_addr(address, *port, &bound);
    if (error == 0) {
        error = uv_tcp_bind(&endless->listener, (const struct sockaddr *)&bound, 0);
    }
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&endless->listener, BACKLOG, on_connection);
    }
    if (error == 0) {
        error = uv_tcp_getsockname(&endless->listener, (struct sockaddr *)&bound, &length);
    }
    *port = error == 0 ? ntohs(bound.sin_port) : 0;
    return error;
}
