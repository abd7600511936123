/**
 * @file api.c
 * @brief HTTP interface of the platform stand-in (see standins/DIALECT.md).
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/codec.h"
#include "cedarwinch/error.h"
#include "platform.h"

enum { NAME_SIZE = 512, NUMBER_SIZE = 24 };

#define OBJECTS_PREFIX  "/objects/"
#define MACHINES_PREFIX "/machines/"

static void respond_version(cw_standin_exchange_t *exchange, int status, uint64_t version, const char *body,
                            size_t length)
{
    char                text[NUMBER_SIZE];
    cw_standin_header_t headers[] = {{"x-version", text}, {"content-type", "application/octet-stream"}};
    cw_standin_answer_t answer = {.status = status, .headers = headers, .header_count = 2};

    snprintf(text, sizeof(text), "%" PRIu64, version);
    answer.body = body;
    answer.body_length = length;
    cw_standin_respond(exchange, &answer);
}

static void read_object(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, const char *name)
{
    const cw_object_t *object = cw_object_store_find(platform->store, name);

    platform->statistics.reads++;
    if (object == NULL) {
        cw_standin_respond_error(exchange, 404, "not found");
        return;
    }
    respond_version(exchange, 200, object->version, object->value, object->length);
}

/* Reads the condition that every write must carry. */
static bool parse_condition(const cw_standin_exchange_t *exchange, uint64_t *expected)
{
    const char *match = cw_standin_exchange_header(exchange, "if-match");
    const char *none_match = cw_standin_exchange_header(exchange, "if-none-match");
    char       *end;

    if (none_match != NULL && match == NULL) {
        *expected = CW_OBJECT_MUST_NOT_EXIST;
        return strcmp(none_match, "*") == 0;
    }
    if (match == NULL || match[0] == '\0') {
        return false;
    }
    *expected = strtoull(match, &end, 10);
    return *end == '\0' && *expected != CW_OBJECT_MUST_NOT_EXIST;
}

static void write_object(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, const char *name)
{
    uint64_t expected;
    uint64_t version;
    int      error;

    platform->statistics.writes++;
    if (!parse_condition(exchange, &expected)) {
        cw_standin_respond_error(exchange, 400, "condition");
        return;
    }
    error = cw_object_store_write(platform->store, name, exchange->body, exchange->body_length, expected, &version);
    if (error == CW_ERROR_CONFLICT) {
        platform->statistics.conflicts++;
    }
    if (cw_fault_loses_answer(platform)) {
        cw_standin_drop(exchange);
    } else if (error == CW_OK) {
        respond_version(exchange, 200, version, NULL, 0);
    } else {
        respond_version(exchange, error == CW_ERROR_CONFLICT ? 412 : 503, version, NULL, 0);
    }
    if (error == CW_OK) {
        cw_watch_notify(platform);
    }
}

static void watch_objects(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, bool list)
{
    char prefix[NAME_SIZE] = "";
    char since[NUMBER_SIZE] = "0";
    char wait_ms[NUMBER_SIZE] = "0";

    cw_standin_exchange_parameter(exchange, "prefix", prefix, sizeof(prefix));
    if (!list) {
        platform->statistics.watches++;
        cw_standin_exchange_parameter(exchange, "since", since, sizeof(since));
        cw_standin_exchange_parameter(exchange, "wait_ms", wait_ms, sizeof(wait_ms));
    } else {
        platform->statistics.lists++;
    }
    cw_watch_start(platform, exchange, prefix, strtoull(since, NULL, 10), strtoull(wait_ms, NULL, 10));
}

static void add_machine(void *context, const char *name, cw_machine_state_t state)
{
    json_array_append_new(context,
                          json_pack("{s:s,s:s}", "name", name, "state", state == CW_MACHINE_LIVE ? "live" : "leaving"));
}

static void list_machines(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange)
{
    json_t *machines = json_array();

    platform->statistics.machine_lists++;
    cw_machine_list_visit(platform->machines, cw_real_us(), add_machine, machines);
    cw_standin_respond_json(exchange, 200, json_pack("{s:o}", "machines", machines));
}

static void set_machine(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, const char *name)
{
    json_t            *json = json_loadb(exchange->body, exchange->body_length, 0, NULL);
    const char        *text = "";
    cw_machine_state_t state = CW_MACHINE_GONE;
    bool               valid;

    valid = json != NULL && json_unpack(json, "{s:s}", "state", &text) == 0;
    if (valid && strcmp(text, "live") == 0) {
        state = CW_MACHINE_LIVE;
    } else if (valid && strcmp(text, "leaving") == 0) {
        state = CW_MACHINE_LEAVING;
    } else if (!valid || strcmp(text, "gone") != 0) {
        valid = false;
    }
    json_decref(json);
    if (!valid) {
        cw_standin_respond_error(exchange, 400, "state");
        return;
    }
    cw_machine_list_set(platform->machines, name, state, cw_real_us());
    cw_standin_respond_status(exchange, 204);
}

static void answer_statistics(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange)
{
    const cw_platform_statistics_t *numbers = &platform->statistics;

    cw_standin_respond_json(
        exchange, 200,
        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)numbers->reads, "lists",
                  (json_int_t)numbers->lists, "watches", (json_int_t)numbers->watches, "writes",
                  (json_int_t)numbers->writes, "conflicts", (json_int_t)numbers->conflicts, "machine_lists",
                  (json_int_t)numbers->machine_lists, "faulted", (json_int_t)numbers->faulted, "connections",
                  (json_int_t)cw_standin_server_connections_accepted(platform->server), "connections_open",
                  (json_int_t)cw_standin_server_connections_open(platform->server)));
}

static bool is_call(const cw_standin_exchange_t *exchange, const char *method, const char *path)
{
    return strcmp(exchange->method, method) == 0 && strcmp(exchange->path, path) == 0;
}

static bool is_call_below(const cw_standin_exchange_t *exchange, const char *method, const char *prefix)
{
    return strcmp(exchange->method, method) == 0 && strncmp(exchange->path, prefix, strlen(prefix)) == 0 &&
           exchange->path[strlen(prefix)] != '\0';
}

/* Calls of the stand-in itself, which no fault touches. */
static bool handle_standin_call(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange)
{
    if (is_call(exchange, "POST", "/stand-in/faults")) {
        if (cw_fault_set(platform, exchange->body, exchange->body_length)) {
            cw_standin_respond_status(exchange, 204);
        } else {
            cw_standin_respond_error(exchange, 400, "fault");
        }
        return true;
    }
    if (is_call(exchange, "GET", "/stand-in/statistics")) {
        answer_statistics(platform, exchange);
        return true;
    }
    if (is_call_below(exchange, "PUT", MACHINES_PREFIX)) {
        set_machine(platform, exchange, exchange->path + strlen(MACHINES_PREFIX));
        return true;
    }
    return false;
}

void cw_platform_request(void *context, cw_standin_exchange_t *exchange)
{
    cw_platform_standin_t *platform = context;

    cw_standin_server_set_answer_delay(platform->server, 0);
    if (handle_standin_call(platform, exchange) || cw_fault_intercept(platform, exchange)) {
        return;
    }
    if (is_call_below(exchange, "GET", OBJECTS_PREFIX)) {
        read_object(platform, exchange, exchange->path + strlen(OBJECTS_PREFIX));
    } else if (is_call_below(exchange, "PUT", OBJECTS_PREFIX)) {
        write_object(platform, exchange, exchange->path + strlen(OBJECTS_PREFIX));
    } else if (is_call(exchange, "GET", "/objects")) {
        watch_objects(platform, exchange, true);
    } else if (is_call(exchange, "GET", "/watch")) {
        watch_objects(platform, exchange, false);
    } else if (is_call(exchange, "GET", "/machines")) {
        list_machines(platform, exchange);
    } else {
        cw_standin_respond_error(exchange, 404, "no such call");
    }
}
