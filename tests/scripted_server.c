/**
 * @file scripted_server.c
 * @brief Implements the server that sends the bytes that a test gives.
 */
#include "scripted_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"

enum { BACKLOG = 64, ANSWER_BYTES = 1024 };

static void on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

void scripted_end(scripted_connection_t *connection, bool with_reset)
{
    if (uv_is_closing((uv_handle_t *)&connection->tcp) != 0) {
        return;
    }
    if (!with_reset || uv_tcp_close_reset(&connection->tcp, on_closed) != 0) {
        uv_close((uv_handle_t *)&connection->tcp, on_closed);
    }
}

void scripted_send(scripted_connection_t *connection, const char *bytes, size_t length)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);

    if (length > 0) {
        ck_assert_int_eq(uv_try_write((uv_stream_t *)&connection->tcp, &buffer, 1), (int)length);
    }
}

void scripted_answer(scripted_connection_t *connection, int status, const char *id, const char *field, const char *body)
{
    char answer[ANSWER_BYTES];
    int  length = snprintf(answer, sizeof(answer), "HTTP/1.1 %d Status\r\n", status);

    if (id != NULL) {
        length += snprintf(answer + length, sizeof(answer) - (size_t)length, "id: %s\r\n", id);
    }
    if (field != NULL) {
        length += snprintf(answer + length, sizeof(answer) - (size_t)length, "%s\r\n", field);
    }
    length +=
        snprintf(answer + length, sizeof(answer) - (size_t)length, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
    scripted_send(connection, answer, (size_t)length);
}

static void read_id(scripted_connection_t *connection)
{
    static const char name[] = "\r\nid: ";
    const char       *field = strstr(connection->head, name);

    connection->id[0] = '\0';
    if (field != NULL) {
        field += sizeof(name) - 1;
        snprintf(connection->id, sizeof(connection->id), "%.*s", (int)strcspn(field, "\r\n"), field);
    }
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    scripted_connection_t *connection = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(connection->head + connection->head_length,
                          (unsigned)(sizeof(connection->head) - connection->head_length - 1));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    scripted_connection_t *connection = stream->data;
    scripted_server_t     *server = connection->server;

    (void)buffer;
    if (length < 0) {
        scripted_end(connection, false);
        return;
    }
    connection->head_length += (size_t)length;
    connection->head[connection->head_length] = '\0';
    if (strstr(connection->head, "\r\n\r\n") == NULL) {
        return;
    }
    read_id(connection);
    connection->head_length = 0;
    connection->requests++;
    server->requests++;
    server->on_request(server->context, connection);
}

static void on_connection(uv_stream_t *stream, int status)
{
    scripted_server_t     *server = stream->data;
    scripted_connection_t *connection = calloc(1, sizeof(*connection));

    ck_assert_int_eq(status, 0);
    ck_assert_ptr_nonnull(connection);
    connection->server = server;
    connection->number = ++server->connections;
    uv_tcp_init(server->loop, &connection->tcp);
    connection->tcp.data = connection;
    ck_assert_int_eq(uv_accept(stream, (uv_stream_t *)&connection->tcp), 0);
    uv_read_start((uv_stream_t *)&connection->tcp, on_allocate, on_read);
}

void scripted_server_start(scripted_server_t *server, uv_loop_t *loop, scripted_request_t on_request, void *context)
{
    struct sockaddr_in address;
    int                length = sizeof(address);

    memset(server, 0, sizeof(*server));
    server->loop = loop;
    server->on_request = on_request;
    server->context = context;
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    uv_ip4_addr("127.0.0.1", 0, &address);
    ck_assert_int_eq(uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0), 0);
    ck_assert_int_eq(uv_listen((uv_stream_t *)&server->listener, BACKLOG, on_connection), 0);
    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &length);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%u", ntohs(address.sin_port));
}
