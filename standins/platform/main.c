/**
 * @file main.c
 * @brief Platform stand-in: object store with versions and watches, and a lagging machine list, over HTTP.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "cedarwinch/types.h"
#include "platform.h"

typedef struct options {
    const char *address;
    int         port;
    int         list_lag_ms;
} options_t;

static bool parse_options(int argc, char **argv, options_t *options)
{
    struct arg_str *address = arg_str0(NULL, "address", "IP", "address to listen on (127.0.0.1)");
    struct arg_int *port = arg_int0(NULL, "port", "N", "port; 0: chosen by the system and printed (0)");
    struct arg_int *lag = arg_int0(NULL, "list-lag-ms", "N", "lag of the machine list (0)");
    struct arg_lit *help = arg_lit0("h", "help", "print this text");
    struct arg_end *end = arg_end(10);
    void           *table[] = {address, port, lag, help, end};
    int             errors;

    address->sval[0] = "127.0.0.1";
    port->ival[0] = 0;
    lag->ival[0] = 0;
    errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        exit(EXIT_SUCCESS);
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return false;
    }
    options->address = address->sval[0];
    options->port = port->ival[0];
    options->list_lag_ms = lag->ival[0];
    return options->port >= 0 && options->port <= UINT16_MAX && options->list_lag_ms >= 0;
}

static void on_stop_signal(uv_signal_t *signal, int number)
{
    (void)number;
    uv_stop(signal->loop);
}

int main(int argc, char **argv)
{
    options_t                   options;
    cw_platform_standin_t       platform = {0};
    cw_standin_server_options_t server_options = {.context = &platform, .request = cw_platform_request};
    uv_signal_t                 stop;
    int                         error;

    if (!parse_options(argc, argv, &options)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    platform.loop = uv_default_loop();
    platform.store = cw_object_store_create();
    platform.machines = cw_machine_list_create((int64_t)options.list_lag_ms * CW_US_PER_MS);
    server_options.address = options.address;
    server_options.port = (uint16_t)options.port;
    error = cw_standin_server_create(&platform.server, platform.loop, &server_options);
    if (error != CW_OK) {
        fprintf(stderr, "%s: cannot listen on %s:%d: %s\n", argv[0], options.address, options.port,
                cw_error_text(error));
        return EXIT_FAILURE;
    }
    printf("%u\n", (unsigned)cw_standin_server_port(platform.server));
    fflush(stdout);
    uv_signal_init(platform.loop, &stop);
    uv_signal_start(&stop, on_stop_signal, SIGTERM);
    uv_run(platform.loop, UV_RUN_DEFAULT);
    return EXIT_SUCCESS;
}
