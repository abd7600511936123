/**
 * @file main.c
 * @brief Back-end server stand-in: owns keys under fenced grants and a lease in its own clock (see
 *        standins/DIALECT.md).
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "backend.h"
#include "cedarwinch/error.h"
#include "options.h"

static void on_request(void *context, cw_standin_exchange_t *exchange)
{
    cw_backend_standin_t *backend = context;

    if (cw_control_request(backend, exchange)) {
        return;
    }
    if (strcmp(exchange->path, "/health") == 0 || strcmp(exchange->path, "/load") == 0) {
        cw_probe_request(backend, exchange);
        return;
    }
    cw_application_request(backend, exchange);
}

/* A key whose ownership is lost is cold when it comes back; a new fence at the same server keeps it warm. */
static void on_ownership_changed(void *context, cw_ownership_change_t change, const cw_server_grant_t *part)
{
    cw_backend_standin_t *backend = context;

    cw_record_ownership(backend, change, part);
    if (change == CW_OWNERSHIP_REVOKED || change == CW_OWNERSHIP_LAPSED) {
        cw_key_table_forget(backend->keys, part->service, part->low, part->last);
    }
}

static void on_stop_signal(uv_signal_t *signal, int number)
{
    (void)number;
    cw_backend_drain(signal->data);
}

static cw_incarnation_t make_incarnation(void)
{
    cw_incarnation_t incarnation = 0;

    while (incarnation == 0) {
        if (getrandom(&incarnation, sizeof(incarnation), 0) != sizeof(incarnation)) {
            incarnation = 0;
        }
    }
    return incarnation;
}

static int start_server(cw_backend_standin_t *backend)
{
    cw_standin_server_options_t options = {.address = backend->options.address,
                                           .port = backend->options.port,
                                           .accept_delay_ms = backend->options.connection_ms,
                                           .connection_limit = backend->options.connections,
                                           .context = backend,
                                           .request = on_request};

    return cw_standin_server_create(&backend->server, backend->loop, &options);
}

static int init(cw_backend_standin_t *backend)
{
    backend->loop = uv_default_loop();
    backend->incarnation = make_incarnation();
    backend->clock.boot_real_us = cw_real_us();
    backend->clock.offset_us = backend->options.clock_offset_us;
    backend->clock.drift_ppm = backend->options.clock_drift_ppm;
    backend->random_state = backend->options.seed;
    backend->ownership = cw_ownership_create(on_ownership_changed, backend);
    backend->keys = cw_key_table_create();
    uv_timer_init(backend->loop, &backend->lease_timer);
    uv_timer_init(backend->loop, &backend->drain_timer);
    backend->lease_timer.data = backend;
    backend->drain_timer.data = backend;
    if (backend->ownership == NULL || backend->keys == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    return cw_record_open(backend);
}

int main(int argc, char **argv)
{
    cw_backend_standin_t backend = {0};
    uv_signal_t          stop;
    int                  error;

    if (!cw_backend_options_parse(argc, argv, &backend.options)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    error = init(&backend);
    if (error == CW_OK) {
        error = start_server(&backend);
    }
    if (error != CW_OK) {
        fprintf(stderr, "%s: cannot start on %s:%u: %s\n", argv[0], backend.options.address,
                (unsigned)backend.options.port, cw_error_text(error));
        return EXIT_FAILURE;
    }
    cw_record_boot(&backend);
    uv_signal_init(backend.loop, &stop);
    stop.data = &backend;
    uv_signal_start(&stop, on_stop_signal, SIGTERM);
    printf("%u\n", (unsigned)cw_standin_server_port(backend.server));
    fflush(stdout);
    uv_run(backend.loop, UV_RUN_DEFAULT);
    cw_ownership_drop(backend.ownership);
    return EXIT_SUCCESS;
}
