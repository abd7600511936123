/**
 * @file control.c
 * @brief Control of the relays over HTTP.
 */
#include "control.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum { VALUE_SIZE = 24, DELAY_MS_MAX = 3600 * 1000 };

static bool is_call(const cw_standin_exchange_t *exchange, const char *method, const char *path)
{
    return strcmp(exchange->method, method) == 0 && strcmp(exchange->path, path) == 0;
}

static bool parameter_is(const cw_standin_exchange_t *exchange, const char *name, const char *wanted)
{
    char value[VALUE_SIZE];

    return cw_standin_exchange_parameter(exchange, name, value, sizeof(value)) && strcmp(value, wanted) == 0;
}

/* A number between 0 and a bound; false: not there or not such a number. */
static bool number_of(const cw_standin_exchange_t *exchange, const char *name, uint64_t bound, uint64_t *number)
{
    char  value[VALUE_SIZE];
    char *end;

    if (!cw_standin_exchange_parameter(exchange, name, value, sizeof(value)) || value[0] < '0' || value[0] > '9') {
        return false;
    }
    *number = strtoull(value, &end, 10);
    return *end == '\0' && *number <= bound;
}

/* Reads which condition a call asks for; false: no such call. */
static bool condition_of(const cw_standin_exchange_t *exchange, cw_relay_condition_t *condition)
{
    uint64_t delay_ms = 0;

    *condition = (cw_relay_condition_t){0};
    if (is_call(exchange, "POST", "/heal")) {
        return true;
    }
    if (is_call(exchange, "POST", "/cut")) {
        condition->refuse = parameter_is(exchange, "mode", "reset");
        condition->held[CW_TO_TARGET] = condition->held[CW_TO_SOURCE] = !condition->refuse;
        return true;
    }
    if (is_call(exchange, "POST", "/one-way")) {
        condition->held[CW_TO_SOURCE] = parameter_is(exchange, "direction", "to-target");
        condition->held[CW_TO_TARGET] = parameter_is(exchange, "direction", "to-source");
        return condition->held[CW_TO_SOURCE] || condition->held[CW_TO_TARGET];
    }
    if (is_call(exchange, "POST", "/delay") && number_of(exchange, "ms", DELAY_MS_MAX, &delay_ms)) {
        condition->delay_ms = (uint32_t)delay_ms;
        return true;
    }
    return false;
}

static void apply(cw_tcp_relay_t *relay, const cw_relay_condition_t *condition)
{
    cw_tcp_relay_set_condition(relay, condition);
    if (condition->refuse) {
        cw_tcp_relay_reset(relay);
    }
}

static void answer_statistics(const cw_relays_t *relays, cw_standin_exchange_t *exchange)
{
    json_t                      *list = json_array();
    const cw_relay_statistics_t *numbers;
    size_t                       i;

    for (i = 0; i < relays->count; i++) {
        numbers = cw_tcp_relay_statistics(relays->items[i]);
        json_array_append_new(list,
                              json_pack("{s:i,s:I,s:I,s:I,s:I}", "port", (int)cw_tcp_relay_port(relays->items[i]),
                                        "accepted", (json_int_t)numbers->accepted, "open", (json_int_t)numbers->open,
                                        "bytes_to_target", (json_int_t)numbers->bytes[CW_TO_TARGET], "bytes_to_source",
                                        (json_int_t)numbers->bytes[CW_TO_SOURCE]));
    }
    cw_standin_respond_json(exchange, 200, json_pack("{s:o}", "relays", list));
}

void cw_cutter_request(void *context, cw_standin_exchange_t *exchange)
{
    cw_relays_t         *relays = context;
    cw_relay_condition_t condition;
    uint64_t             chosen = 0;
    bool                 one = number_of(exchange, "relay", relays->count - 1, &chosen);
    size_t               i;

    if (is_call(exchange, "GET", "/statistics")) {
        answer_statistics(relays, exchange);
        return;
    }
    if ((!one && strstr(exchange->query, "relay=") != NULL) || !condition_of(exchange, &condition)) {
        cw_standin_respond_error(exchange, 400, "no such call");
        return;
    }
    for (i = 0; i < relays->count; i++) {
        if (!one || i == chosen) {
            apply(relays->items[i], &condition);
        }
    }
    cw_standin_respond_status(exchange, 204);
}
