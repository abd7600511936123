/**
 * @file connect_probe.c
 * @brief Probe of an address: the first event of a connection attempt and a timer decides the result.
 */
#include "net/connect_probe.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/loop_stall.h"
#include "base/memory.h"

enum { ADDRESS_MAX = 64, HANDLES = 2 };

typedef struct probe {
    uv_tcp_t        tcp;
    uv_timer_t      timer;
    uv_connect_t    connect;
    cw_probe_done_t done;
    void           *context;
    bool            is_finished;
    bool            is_postponed; /* its timer waits until the sockets have been read, after a stall */
    int             handles;      /* libuv handles that are not closed yet */
} probe_t;

static void on_closed(uv_handle_t *handle)
{
    probe_t *probe = handle->data;

    if (--probe->handles == 0) {
        free(probe);
    }
}

static void finish(probe_t *probe, cw_probe_result_t result)
{
    if (probe->is_finished) {
        return;
    }
    probe->is_finished = true;
    uv_close((uv_handle_t *)&probe->tcp, on_closed);
    uv_close((uv_handle_t *)&probe->timer, on_closed);
    probe->done(probe->context, result);
}

static cw_probe_result_t result_of(int status)
{
    switch (status) {
    case 0:
        return CW_PROBE_CONNECTED;
    case UV_ECONNREFUSED:
        return CW_PROBE_REFUSED;
    case UV_ECONNRESET:
        return CW_PROBE_RESET;
    default:
        return CW_PROBE_UNKNOWN;
    }
}

static void on_connected(uv_connect_t *connect, int status)
{
    finish(connect->data, result_of(status));
}

static void on_timeout(uv_timer_t *timer)
{
    probe_t *probe = timer->data;

    if (!cw_loop_stall_postpone(timer, on_timeout, &probe->is_postponed)) {
        finish(probe, CW_PROBE_UNKNOWN);
    }
}

static int read_address(const char *address, struct sockaddr_in *socket_address)
{
    char        host[ADDRESS_MAX];
    const char *colon = strrchr(address, ':');

    if (colon == NULL || (size_t)(colon - address) >= sizeof(host)) {
        return UV_EINVAL;
    }
    snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
    return uv_ip4_addr(host, atoi(colon + 1), socket_address);
}

int cw_connect_probe(uv_loop_t *loop, const char *address, cw_time_us_t timeout, cw_probe_done_t done, void *context)
{
    struct sockaddr_in socket_address;
    probe_t           *probe;
    int                error = read_address(address, &socket_address);

    if (error != 0) {
        return error;
    }
    probe = cw_memory_zeroed(sizeof(*probe));
    probe->done = done;
    probe->context = context;
    probe->handles = HANDLES;
    probe->tcp.data = probe;
    probe->timer.data = probe;
    probe->connect.data = probe;
    uv_tcp_init(loop, &probe->tcp);
    uv_timer_init(loop, &probe->timer);
    uv_timer_start(&probe->timer, on_timeout, (uint64_t)(timeout / 1000), 0);
    if (uv_tcp_connect(&probe->connect, &probe->tcp, (const struct sockaddr *)&socket_address, on_connected) != 0) {
        uv_timer_start(&probe->timer, on_timeout, 0, 0); /* the failure is reported from the loop */
    }
    return 0;
}
