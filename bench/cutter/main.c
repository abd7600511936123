/**
 * @file main.c
 * @brief Command line of the relay that cuts connections between processes in tests.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "control.h"

enum { RELAYS_MAX = 1024, ERRORS_SHOWN = 10, PAIR_SIZE = 128, EXIT_USAGE = 2 };

/* "IP:PORT" */
static bool parse_address(const char *text, struct sockaddr_in *address)
{
    char  copy[PAIR_SIZE];
    char *colon;
    char *end;
    long  port;

    snprintf(copy, sizeof(copy), "%s", text);
    colon = strrchr(copy, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    port = strtol(colon + 1, &end, 10);
    return *end == '\0' && port >= 0 && port <= UINT16_MAX && uv_ip4_addr(copy, (int)port, address) == 0;
}

/* "LISTEN=TARGET" */
static int add_relay(cw_relays_t *relays, uv_loop_t *loop, const char *text)
{
    char               copy[PAIR_SIZE];
    char              *target_text;
    struct sockaddr_in listen;
    struct sockaddr_in target;

    snprintf(copy, sizeof(copy), "%s", text);
    target_text = strchr(copy, '=');
    if (target_text == NULL) {
        return CW_ERROR_PARSE;
    }
    *target_text++ = '\0';
    if (!parse_address(copy, &listen) || !parse_address(target_text, &target)) {
        return CW_ERROR_PARSE;
    }
    return cw_tcp_relay_create(&relays->items[relays->count++], loop, &listen, &target);
}

static int start_relays(cw_relays_t *relays, uv_loop_t *loop, struct arg_str *pairs)
{
    int i;
    int error;

    relays->items = calloc((size_t)pairs->count, sizeof(cw_tcp_relay_t *));
    for (i = 0; i < pairs->count; i++) {
        error = add_relay(relays, loop, pairs->sval[i]);
        if (error != CW_OK) {
            fprintf(stderr, "cw-cutter: --relay %s: %s\n", pairs->sval[i], cw_error_text(error));
            return error;
        }
    }
    return CW_OK;
}

static int start_control(cw_relays_t *relays, uv_loop_t *loop, const char *text, cw_standin_server_t **server)
{
    struct sockaddr_in          address;
    char                        ip[PAIR_SIZE];
    cw_standin_server_options_t options = {.context = relays, .request = cw_cutter_request};

    if (!parse_address(text, &address)) {
        return CW_ERROR_PARSE;
    }
    uv_ip4_name(&address, ip, sizeof(ip));
    options.address = ip;
    options.port = ntohs(address.sin_port);
    return cw_standin_server_create(server, loop, &options);
}

static void print_ports(const cw_relays_t *relays, const cw_standin_server_t *control)
{
    size_t i;

    printf("%u", (unsigned)cw_standin_server_port(control));
    for (i = 0; i < relays->count; i++) {
        printf(" %u", (unsigned)cw_tcp_relay_port(relays->items[i]));
    }
    printf("\n");
    fflush(stdout);
}

int main(int argc, char **argv)
{
    struct arg_str      *pairs = arg_strn(NULL, "relay", "IP:PORT=IP:PORT", 1, RELAYS_MAX, "listen there, pass on to");
    struct arg_str      *control = arg_str0(NULL, "control", "IP:PORT", "address of control (127.0.0.1:0)");
    struct arg_lit      *help = arg_lit0("h", "help", "print this text; ports are printed: control, then each relay");
    struct arg_end      *end = arg_end(ERRORS_SHOWN);
    void                *table[] = {pairs, control, help, end};
    static cw_relays_t   relays;
    uv_loop_t           *loop = uv_default_loop();
    cw_standin_server_t *server;
    int                  errors;

    control->sval[0] = "127.0.0.1:0";
    errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        return EXIT_SUCCESS;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    if (start_relays(&relays, loop, pairs) != CW_OK) {
        return EXIT_USAGE;
    }
    if (start_control(&relays, loop, control->sval[0], &server) != CW_OK) {
        fprintf(stderr, "cw-cutter: cannot listen for control on %s\n", control->sval[0]);
        return EXIT_USAGE;
    }
    print_ports(&relays, server);
    uv_run(loop, UV_RUN_DEFAULT);
    return EXIT_SUCCESS;
}
