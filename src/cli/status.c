/**
 * @file status.c
 * @brief `cedarwinch status`: prints the state of several nodes, and totals.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "cli/cli.h"
#include "cli/status_totals.h"
#include "net/http_upstream.h"

enum { TIMEOUT_MS = 2000, ANSWER_MAX = 16 * 1024 * 1024 };

typedef struct status_answer {
    bool    done;
    json_t *status;
} status_answer_t;

static void on_answer(void *context, const cw_upstream_answer_t *answer)
{
    status_answer_t *status = context;

    status->done = true;
    if (answer->result == CW_UPSTREAM_ANSWERED && answer->status == 200) {
        status->status = json_loadb(answer->body, answer->body_length, 0, NULL);
    }
}

static const char *text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text == NULL || text[0] == '\0' ? "-" : text;
}

static json_int_t number_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void print_assignments(const json_t *status)
{
    const char *service;
    json_t     *ranges;
    size_t      index;

    json_object_foreach(json_object_get(status, "assignments"), service, ranges)
    {
        printf("  %s:\n", service);
        for (index = 0; index < json_array_size(ranges); index++) {
            const json_t *range = json_array_get(ranges, index);

            printf("    keys %5" JSON_INTEGER_FORMAT "-%-5" JSON_INTEGER_FORMAT " %-20s fence %-6" JSON_INTEGER_FORMAT
                   " %-13s hold %" JSON_INTEGER_FORMAT " ms%s%s\n",
                   number_of(range, "low"), number_of(range, "last"), text_of(range, "server"),
                   number_of(range, "fence"), text_of(range, "phase"), number_of(range, "hold_left_ms"),
                   text_of(range, "former")[0] == '-' ? "" : ", from ",
                   text_of(range, "former")[0] == '-' ? "" : text_of(range, "former"));
        }
    }
}

/* Prints measures of the leader: the distribution of the load over the owners, and the cost of its moves. */
static void print_measures(const json_t *status)
{
    const char *service;
    json_t     *measures;

    json_object_foreach(json_object_get(status, "measures"), service, measures)
    {
        printf("  %s: busiest owner over the mean %.2f now, %.2f while this node has led; keys moved %.3f times (%.3f "
               "cold), load %.3f; unavailable %.1f key-seconds, longest %.2f s\n",
               service, json_number_value(json_object_get(measures, "imbalance")),
               json_number_value(json_object_get(measures, "imbalance_mean")),
               json_number_value(json_object_get(measures, "keys_moved")),
               json_number_value(json_object_get(measures, "keys_moved_cold")),
               json_number_value(json_object_get(measures, "load_moved")),
               json_number_value(json_object_get(measures, "unavailable_key_s")),
               json_number_value(json_object_get(measures, "unavailable_longest_s")));
    }
}

static void print_node(const json_t *status)
{
    const json_t *leadership = json_object_get(status, "leadership");
    bool          leading = json_is_true(json_object_get(leadership, "leading"));

    printf("%s (%s)%s: configuration %" JSON_INTEGER_FORMAT ", leader %s term %" JSON_INTEGER_FORMAT
           "%s, servers %" JSON_INTEGER_FORMAT " ms old, tables %" JSON_INTEGER_FORMAT
           " ms old, %zu peers, %zu servers, "
           "%" JSON_INTEGER_FORMAT " queued%s\n",
           text_of(status, "node"), text_of(status, "zone"),
           json_is_true(json_object_get(status, "stopping")) ? " STOPPING" : "", number_of(status, "configuration"),
           text_of(leadership, "leader"), number_of(leadership, "term"), leading ? " (this one)" : "",
           number_of(status, "servers_age_ms"), number_of(status, "tables_age_ms"),
           json_array_size(json_object_get(status, "peers")), json_array_size(json_object_get(status, "servers")),
           number_of(status, "queued"), json_is_true(json_object_get(status, "store_lost")) ? ", STORE LOST" : "");
    if (leading) {
        print_measures(status);
        print_assignments(status);
    }
}

int cw_cli_status(const char *const *nodes, size_t count)
{
    static const char     text[] = "GET /status HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    cw_upstream_request_t request = {.bytes = text,
                                     .length = sizeof(text) - 1,
                                     .connect_timeout = CW_MS(TIMEOUT_MS),
                                     .timeout = CW_MS(TIMEOUT_MS),
                                     .answer_max = ANSWER_MAX};
    cw_upstream_options_t options = {.idle_max = CW_SECONDS(1)};
    uv_loop_t             loop;
    cw_upstream_t        *upstream;
    cw_status_totals_t    totals = {0};
    int                   code = CW_EXIT_DONE;
    size_t                index;

    uv_loop_init(&loop);
    upstream = cw_upstream_create(&loop, &options);
    for (index = 0; index < count; index++) {
        cw_upstream_target_t *target = cw_upstream_target_create(upstream, nodes[index]);
        status_answer_t       answer = {0};

        if (target == NULL) {
            fprintf(stderr, "cedarwinch: '%s' is not IPv4:PORT\n", nodes[index]);
            cw_status_totals_clear(&totals);
            return CW_EXIT_WRONG_INPUT;
        }
        (void)cw_upstream_call(target, &request, on_answer, &answer);
        while (!answer.done) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        if (answer.status == NULL) {
            printf("%s: no answer\n", nodes[index]);
            code = CW_EXIT_UNAVAILABLE;
            continue;
        }
        print_node(answer.status);
        cw_status_totals_add(&totals, answer.status);
        json_decref(answer.status);
    }
    cw_status_totals_print(&totals, stdout);
    cw_status_totals_clear(&totals);
    return code;
}
