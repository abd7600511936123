/**
 * @file faults.c
 * @brief Faults of the platform stand-in on demand: calls that hang, are slow, are refused, or lose their answer.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "platform.h"

struct cw_held {
    cw_standin_exchange_t *exchange;
    cw_held_t             *next;
};

static const char *const mode_names[] = {
    [CW_FAULT_OK] = "ok",         [CW_FAULT_HANG] = "hang",
    [CW_FAULT_SLOW] = "slow",     [CW_FAULT_LOSE_ANSWER] = "lose_answer",
    [CW_FAULT_REFUSE] = "refuse",
};

static bool find_mode(const char *name, cw_fault_mode_t *mode)
{
    size_t i;

    for (i = 0; i < sizeof(mode_names) / sizeof(mode_names[0]); i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            *mode = (cw_fault_mode_t)i;
            return true;
        }
    }
    return false;
}

/* Calls held by a fault that is over end without an answer: the caller has to ask again. */
static void drop_held(cw_platform_standin_t *platform)
{
    cw_held_t *held;
    cw_held_t *next;

    LL_FOREACH_SAFE(platform->held, held, next)
    {
        cw_standin_drop(held->exchange);
        free(held);
    }
    platform->held = NULL;
}

static void fault_start(cw_platform_standin_t *platform, cw_fault_t fault)
{
    platform->fault = fault;
    if (fault.mode != CW_FAULT_HANG) {
        drop_held(platform);
    }
}

bool cw_fault_set(cw_platform_standin_t *platform, const char *body, size_t length)
{
    json_t     *json = json_loadb(body, length, 0, NULL);
    const char *mode = NULL;
    json_int_t  delay_ms = 0;
    json_int_t  count = 0;
    cw_fault_t  fault;
    bool        valid;

    valid = json != NULL &&
            json_unpack(json, "{s:s,s?I,s?I}", "mode", &mode, "delay_ms", &delay_ms, "count", &count) == 0 &&
            delay_ms >= 0 && count >= 0 && find_mode(mode, &fault.mode);
    json_decref(json);
    if (valid) {
        fault.delay_ms = (uint32_t)delay_ms;
        fault.count = (uint64_t)count;
        fault_start(platform, fault);
    }
    return valid;
}

/* Counts one call that the fault took; the last one of a bounded fault ends it. */
static void count_call(cw_platform_standin_t *platform)
{
    platform->statistics.faulted++;
    if (platform->fault.count > 0 && --platform->fault.count == 0) {
        platform->fault.mode = CW_FAULT_OK;
    }
}

static void hold(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange)
{
    cw_held_t *held = calloc(1, sizeof(*held));

    if (held == NULL) {
        cw_standin_drop(exchange);
        return;
    }
    held->exchange = exchange;
    LL_PREPEND(platform->held, held);
}

bool cw_fault_intercept(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange)
{
    switch (platform->fault.mode) {
    case CW_FAULT_HANG:
        hold(platform, exchange);
        count_call(platform);
        return true;
    case CW_FAULT_REFUSE:
        cw_standin_respond_error(exchange, 503, "refused");
        count_call(platform);
        return true;
    case CW_FAULT_SLOW:
        cw_standin_server_set_answer_delay(platform->server, platform->fault.delay_ms);
        count_call(platform);
        return false;
    default:
        return false;
    }
}

bool cw_fault_loses_answer(cw_platform_standin_t *platform)
{
    if (platform->fault.mode != CW_FAULT_LOSE_ANSWER) {
        return false;
    }
    count_call(platform);
    return true;
}
