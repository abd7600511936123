/**
 * @file main.c
 * @brief Proxy for connections and datagrams on loopback that injects faults, by commands of a test on standard input.
 *
 * Each command is one line and is answered by one line when it is in force: "ok", with the number of connections after
 * `stall` and `reset`, or "error" and a reason. The proxy ends at the end of standard input. Commands that define
 * links:
 *
 *   end NAME GROUP                  defines an end of links; faults name ends, groups or "all"
 *   process NAME PID                connections of this process come from this end
 *   node NAME KNOWN BOUND           datagrams to the address KNOWN are sent to BOUND, from the KNOWN of their sender
 *   link FROM TO LISTEN TARGET      connections to LISTEN go to TARGET; they come from their process's end, else FROM
 *
 * Commands for faults, which last until `heal` (except `reset`, which takes effect once):
 *
 *   cut A B | cut-one-way A B       nothing passes between A and B, or from A to B; connections stay open
 *   stall A B                       nothing passes on connections that are open now; new ones work
 *   reset A B                       resets connections that are open now
 *   refuse A B                      resets new connections between A and B; open ones are not affected
 *   delay A B MS | throttle A B BYTES_PER_S
 *   lose A B PERCENT | double A B PERCENT | reorder A B PERCENT     of datagrams
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "link_datagrams.h"
#include "link_stalls.h"
#include "link_streams.h"

enum { ERRORS_MAX = 10, LINE_BYTES = 512, FIELDS_MAX = 5, PERCENT_MAX = 100 };

/** State of the proxy. */
typedef struct link_proxy {
    uv_loop_t         loop;
    uv_pipe_t         input;
    link_rules_t      rules;
    link_datagrams_t *datagrams;
    link_streams_t   *streams;
    link_stalls_t     stalls;
    char              line[LINE_BYTES]; /**< standard input that is not handled yet */
    size_t            length;
} link_proxy_t;

/** A command and its function. */
typedef struct link_command {
    const char *name;
    int         fields; /**< number of fields, the name included */
    /** Returns NULL after it has printed its line on standard output, else the reason for an error. */
    const char *(*run)(link_proxy_t *proxy, char **fields);
} link_command_t;

static void print_ok(void)
{
    puts("ok");
}

/* Parses "IPv4:PORT". */
static bool address_from_text(struct sockaddr_in *address, const char *text)
{
    char  host[INET_ADDRSTRLEN];
    char *colon = strrchr(text, ':');
    char *end;
    long  port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    port = strtol(colon + 1, &end, 10);
    return *end == '\0' && end != colon + 1 && port > 0 && port <= UINT16_MAX &&
           uv_ip4_addr(host, (int)port, address) == 0;
}

/* Parses a number from 1 to INT32_MAX. */
static bool number_from_text(uint32_t *number, const char *text)
{
    char *end;
    long  value = strtol(text, &end, 10);

    *number = (uint32_t)value;
    return *end == '\0' && end != text && value > 0 && value <= INT32_MAX;
}

/* ---- links ---- */

static const char *run_end(link_proxy_t *proxy, char **fields)
{
    if (link_rules_find_end(&proxy->rules, fields[1]) != NULL) {
        return "there is such an end";
    }
    if (link_rules_add_end(&proxy->rules, fields[1], fields[2]) == NULL) {
        return "too many ends, or too long a name";
    }
    print_ok();
    return NULL;
}

static const char *run_process(link_proxy_t *proxy, char **fields)
{
    link_end_t *end = link_rules_find_end(&proxy->rules, fields[1]);
    uint32_t    process;

    if (end == NULL || !number_from_text(&process, fields[2])) {
        return "no such end, or no process id";
    }
    end->process = (int)process;
    print_ok();
    return NULL;
}

static const char *run_node(link_proxy_t *proxy, char **fields)
{
    const link_end_t  *end = link_rules_find_end(&proxy->rules, fields[1]);
    struct sockaddr_in known;
    struct sockaddr_in bound;
    int                error;

    if (end == NULL || !address_from_text(&known, fields[2]) || !address_from_text(&bound, fields[3])) {
        return "no such end, or not IPv4:PORT";
    }
    error = link_datagrams_add(proxy->datagrams, end, &known, &bound);
    if (error != 0) {
        return uv_strerror(error);
    }
    print_ok();
    return NULL;
}

static const char *run_link(link_proxy_t *proxy, char **fields)
{
    const link_end_t  *from = link_rules_find_end(&proxy->rules, fields[1]);
    const link_end_t  *to = link_rules_find_end(&proxy->rules, fields[2]);
    struct sockaddr_in listen;
    struct sockaddr_in target;
    int                error;

    if (from == NULL || to == NULL || !address_from_text(&listen, fields[3]) ||
        !address_from_text(&target, fields[4])) {
        return "no such end, or not IPv4:PORT";
    }
    error = link_streams_add(proxy->streams, from, to, &listen, &target);
    if (error != 0) {
        return uv_strerror(error);
    }
    print_ok();
    return NULL;
}

/* ---- faults ---- */

static const char *add_rule(link_proxy_t *proxy, link_fault_t fault, char **fields, uint32_t value)
{
    link_rule_t rule = {.fault = fault, .value = value};

    if (!link_rules_has_match(&proxy->rules, fields[1]) || !link_rules_has_match(&proxy->rules, fields[2])) {
        return "no such end or group";
    }
    snprintf(rule.from, sizeof(rule.from), "%s", fields[1]);
    snprintf(rule.to, sizeof(rule.to), "%s", fields[2]);
    if (!link_rules_add(&proxy->rules, &rule)) {
        return "too many faults";
    }
    link_streams_update(proxy->streams);
    print_ok();
    return NULL;
}

static const char *add_rule_with_value(link_proxy_t *proxy, link_fault_t fault, char **fields, uint32_t max)
{
    uint32_t value;

    if (!number_from_text(&value, fields[3]) || value > max) {
        return "not a number, or out of its range";
    }
    return add_rule(proxy, fault, fields, value);
}

static const char *run_cut(link_proxy_t *proxy, char **fields)
{
    return add_rule(proxy, LINK_CUT, fields, 1);
}

static const char *run_cut_one_way(link_proxy_t *proxy, char **fields)
{
    return add_rule(proxy, LINK_CUT_ONE_WAY, fields, 1);
}

static const char *run_refuse(link_proxy_t *proxy, char **fields)
{
    return add_rule(proxy, LINK_REFUSE, fields, 1);
}

static const char *run_delay(link_proxy_t *proxy, char **fields)
{
    return add_rule_with_value(proxy, LINK_DELAY, fields, INT32_MAX);
}

static const char *run_throttle(link_proxy_t *proxy, char **fields)
{
    return add_rule_with_value(proxy, LINK_THROTTLE, fields, INT32_MAX);
}

static const char *run_lose(link_proxy_t *proxy, char **fields)
{
    return add_rule_with_value(proxy, LINK_LOSE, fields, PERCENT_MAX);
}

static const char *run_double(link_proxy_t *proxy, char **fields)
{
    return add_rule_with_value(proxy, LINK_DOUBLE, fields, PERCENT_MAX);
}

static const char *run_reorder(link_proxy_t *proxy, char **fields)
{
    return add_rule_with_value(proxy, LINK_REORDER, fields, PERCENT_MAX);
}

static const char *run_stall(link_proxy_t *proxy, char **fields)
{
    if (!link_rules_has_match(&proxy->rules, fields[1]) || !link_rules_has_match(&proxy->rules, fields[2])) {
        return "no such end or group";
    }
    printf("ok %u\n", link_streams_stall(proxy->streams, fields[1], fields[2]));
    return NULL;
}

static const char *run_reset(link_proxy_t *proxy, char **fields)
{
    if (!link_rules_has_match(&proxy->rules, fields[1]) || !link_rules_has_match(&proxy->rules, fields[2])) {
        return "no such end or group";
    }
    printf("ok %u\n", link_streams_reset(proxy->streams, fields[1], fields[2]));
    return NULL;
}

static const char *run_heal(link_proxy_t *proxy, char **fields)
{
    (void)fields;
    proxy->rules.rule_count = 0;
    link_streams_heal(proxy->streams);
    print_ok();
    return NULL;
}

/* ---- lines ---- */

static const link_command_t commands[] = {
    {"end", 3, run_end},           {"process", 3, run_process}, {"node", 4, run_node},
    {"link", 5, run_link},         {"cut", 3, run_cut},         {"cut-one-way", 3, run_cut_one_way},
    {"stall", 3, run_stall},       {"reset", 3, run_reset},     {"delay", 4, run_delay},
    {"throttle", 4, run_throttle}, {"lose", 4, run_lose},       {"double", 4, run_double},
    {"reorder", 4, run_reorder},   {"refuse", 3, run_refuse},   {"heal", 1, run_heal}};

static const char *run_line(link_proxy_t *proxy, char *line)
{
    char  *fields[FIELDS_MAX + 1] = {""};
    char  *rest = NULL;
    char  *field = strtok_r(line, " ", &rest);
    int    count = 0;
    size_t position;

    while (field != NULL && count <= FIELDS_MAX) {
        fields[count++] = field;
        field = strtok_r(NULL, " ", &rest);
    }
    for (position = 0; position < sizeof(commands) / sizeof(commands[0]); position++) {
        if (count == commands[position].fields && strcmp(fields[0], commands[position].name) == 0) {
            return commands[position].run(proxy, fields);
        }
    }
    return "no such command, or not so many fields";
}

static void handle_line(link_proxy_t *proxy, char *line)
{
    const char *reason = run_line(proxy, line);

    if (reason != NULL) {
        printf("error %s\n", reason);
    }
    (void)fflush(stdout);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    link_proxy_t *proxy = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(proxy->line + proxy->length, (unsigned)(sizeof(proxy->line) - proxy->length));
}

static void on_input(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    link_proxy_t *proxy = stream->data;
    char         *end;

    (void)buffer;
    if (length < 0) { /* end of input, or no room: a line is longer than any command */
        uv_stop(&proxy->loop);
        return;
    }
    proxy->length += (size_t)length;
    while ((end = memchr(proxy->line, '\n', proxy->length)) != NULL) {
        size_t line_length = (size_t)(end - proxy->line) + 1;

        *end = '\0';
        handle_line(proxy, proxy->line);
        proxy->length -= line_length;
        memmove(proxy->line, proxy->line + line_length, proxy->length);
    }
}

static int run(link_proxy_t *proxy)
{
    int error;

    (void)signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&proxy->loop);
    proxy->datagrams = link_datagrams_create(&proxy->loop, &proxy->rules);
    proxy->streams = link_streams_create(&proxy->loop, &proxy->rules);
    link_stalls_watch(&proxy->stalls, &proxy->loop);
    uv_pipe_init(&proxy->loop, &proxy->input, 0);
    proxy->input.data = proxy;
    error = uv_pipe_open(&proxy->input, 0);
    if (error == 0) {
        error = uv_read_start((uv_stream_t *)&proxy->input, on_allocate, on_input);
    }
    if (error != 0) {
        fprintf(stderr, "cw-link: standard input: %s\n", uv_strerror(error));
        return EXIT_FAILURE;
    }
    uv_run(&proxy->loop, UV_RUN_DEFAULT);
    return EXIT_SUCCESS;
}

int main(int argument_count, char **arguments)
{
    struct arg_int     *seed = arg_int0("s", "seed", "N", "of the draws; default 1");
    struct arg_end     *end = arg_end(ERRORS_MAX);
    void               *table[] = {seed, end};
    static link_proxy_t proxy;

    if (arg_parse(argument_count, arguments, table) > 0) {
        arg_print_errors(stderr, end, "cw-link");
        return 2;
    }
    proxy.rules.draw_state = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
    return run(&proxy);
}
