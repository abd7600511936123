/**
 * @file event_wait.c
 * @brief Loop waits and raw TCP ends for tests.
 */
#include "event_wait.h"

#include <stdlib.h>
#include <string.h>

enum { GUARD_MS = 20000, READ_BYTES = 65536 };

typedef struct guard {
    uv_timer_t timer;
    bool       over;
} guard_t;

static void on_guard(uv_timer_t *timer)
{
    ((guard_t *)timer->data)->over = true;
}

static void on_guard_closed(uv_handle_t *handle)
{
    free(handle->data);
}

bool cw_event_wait(uv_loop_t *loop, cw_condition_t condition, void *context)
{
    guard_t *guard = calloc(1, sizeof(*guard));
    bool     holds;

    uv_timer_init(loop, &guard->timer);
    guard->timer.data = guard;
    uv_timer_start(&guard->timer, on_guard, GUARD_MS, 0);
    holds = condition(context);
    while (!holds && !guard->over) {
        uv_run(loop, UV_RUN_ONCE);
        holds = condition(context);
    }
    uv_close((uv_handle_t *)&guard->timer, on_guard_closed);
    return holds;
}

bool cw_event_drain(uv_loop_t *loop)
{
    uv_run(loop, UV_RUN_DEFAULT);
    return uv_loop_close(loop) == 0;
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[READ_BYTES]; /* read and copied before the next call */

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_client_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_raw_client_t *client = stream->data;

    if (length < 0) {
        client->ended = true;
        uv_read_stop(stream);
    } else {
        client->received = realloc(client->received, client->length + (size_t)length + 1);
        memcpy(client->received + client->length, buffer->base, (size_t)length);
        client->length += (size_t)length;
        client->received[client->length] = '\0';
    }
}

static void on_connected(uv_connect_t *request, int status)
{
    if (status == 0) {
        uv_read_start(request->handle, on_allocate, on_client_read);
    }
    free(request);
}

void cw_raw_client_connect(cw_raw_client_t *client, uv_loop_t *loop, uint16_t port)
{
    struct sockaddr_in address;
    uv_connect_t      *request = malloc(sizeof(*request));

    memset(client, 0, sizeof(*client));
    uv_tcp_init(loop, &client->tcp);
    client->tcp.data = client;
    uv_ip4_addr("127.0.0.1", port, &address);
    uv_tcp_connect(request, &client->tcp, (struct sockaddr *)&address, on_connected);
}

typedef struct owned_write {
    uv_write_t request;
    char       data[];
} owned_write_t;

static void on_written(uv_write_t *request, int status)
{
    (void)status;
    free(request);
}

static void write_copy(uv_stream_t *stream, const void *data, size_t length)
{
    owned_write_t *write = malloc(sizeof(*write) + length);
    uv_buf_t       buffer;

    memcpy(write->data, data, length);
    buffer = uv_buf_init(write->data, (unsigned)length);
    if (uv_write(&write->request, stream, &buffer, 1, on_written) != 0) {
        free(write);
    }
}

void cw_raw_client_send(cw_raw_client_t *client, const void *data, size_t length)
{
    write_copy((uv_stream_t *)&client->tcp, data, length);
}

static void on_client_closed(uv_handle_t *handle)
{
    cw_raw_client_t *client = handle->data;

    free(client->received);
    client->received = NULL;
    client->closed = true;
}

void cw_raw_client_close(cw_raw_client_t *client)
{
    uv_close((uv_handle_t *)&client->tcp, on_client_closed);
}

size_t cw_raw_client_count(const cw_raw_client_t *client, const char *text)
{
    size_t      count = 0;
    const char *found = client->received;

    while (found != NULL && (found = strstr(found, text)) != NULL) {
        found += strlen(text);
        count++;
    }
    return count;
}

typedef struct accepted {
    uv_tcp_t         tcp;
    cw_raw_server_t *server;
} accepted_t;

static void on_accepted_closed(uv_handle_t *handle)
{
    accepted_t *accepted = handle->data;

    accepted->server->open_connections--;
    free(accepted);
}

static void close_accepted(uv_handle_t *handle)
{
    if (!uv_is_closing(handle)) {
        uv_close(handle, on_accepted_closed);
    }
}

static void on_last_written(uv_write_t *request, int status)
{
    (void)status;
    close_accepted((uv_handle_t *)request->handle);
    free(request);
}

static void answer(accepted_t *accepted)
{
    cw_raw_server_t *server = accepted->server;
    uv_write_t      *request;
    uv_buf_t         buffer;

    if (server->choose != NULL) {
        server->answer = server->choose(server->last);
    }
    if (server->answer == NULL && server->cut) {
        close_accepted((uv_handle_t *)&accepted->tcp);
    } else if (server->answer != NULL && server->cut) {
        request = malloc(sizeof(*request));
        buffer = uv_buf_init((char *)server->answer, (unsigned)strlen(server->answer));
        uv_write(request, (uv_stream_t *)&accepted->tcp, &buffer, 1, on_last_written);
    } else if (server->answer != NULL) {
        write_copy((uv_stream_t *)&accepted->tcp, server->answer, strlen(server->answer));
    }
}

static void on_accepted_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    accepted_t      *accepted = stream->data;
    cw_raw_server_t *server = accepted->server;
    size_t           kept;

    if (length < 0) {
        close_accepted((uv_handle_t *)stream);
    } else if (length > 0) {
        kept = (size_t)length < sizeof(server->last) - 1 ? (size_t)length : sizeof(server->last) - 1;
        memcpy(server->last, buffer->base, kept);
        server->last[kept] = '\0';
        if (strstr(server->last, "\r\n\r\n") != NULL) {
            server->requests++;
            answer(accepted);
        }
    }
}

static void on_connection(uv_stream_t *listener, int status)
{
    cw_raw_server_t *server = listener->data;
    accepted_t      *accepted = calloc(1, sizeof(*accepted));

    (void)status;
    accepted->server = server;
    uv_tcp_init(listener->loop, &accepted->tcp);
    accepted->tcp.data = accepted;
    uv_accept(listener, (uv_stream_t *)&accepted->tcp);
    server->connections++;
    server->open_connections++;
    uv_read_start((uv_stream_t *)&accepted->tcp, on_allocate, on_accepted_read);
}

uint16_t cw_raw_server_start(cw_raw_server_t *server, uv_loop_t *loop)
{
    struct sockaddr_in address;
    int                length = sizeof(address);

    uv_tcp_init(loop, &server->tcp);
    server->tcp.data = server;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&server->tcp, (struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&server->tcp, 16, on_connection);
    uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&address, &length);
    return ntohs(address.sin_port);
}

void cw_raw_server_stop(cw_raw_server_t *server)
{
    uv_close((uv_handle_t *)&server->tcp, NULL);
}
