/**
 * @file platform.h
 * @brief State of the platform stand-in, shared by its HTTP interface, watches and faults.
 */
#ifndef CEDARWINCH_STANDINS_PLATFORM_H
#define CEDARWINCH_STANDINS_PLATFORM_H

#include <uv.h>

#include "../common/http_server.h"
#include "machine_list.h"
#include "object_store.h"

typedef enum cw_fault_mode {
    CW_FAULT_OK,
    CW_FAULT_HANG,
    CW_FAULT_SLOW,
    CW_FAULT_LOSE_ANSWER,
    CW_FAULT_REFUSE
} cw_fault_mode_t;

/** A fault on demand. */
typedef struct cw_fault {
    cw_fault_mode_t mode;
    uint32_t        delay_ms;
    uint64_t        count; /**< calls left; 0: until told */
} cw_fault_t;

typedef struct cw_platform_statistics {
    uint64_t reads;
    uint64_t lists;
    uint64_t watches;
    uint64_t writes;
    uint64_t conflicts;
    uint64_t machine_lists;
    uint64_t faulted;
} cw_platform_statistics_t;

typedef struct cw_watch cw_watch_t;
typedef struct cw_held  cw_held_t;

typedef struct cw_platform_standin {
    uv_loop_t               *loop;
    cw_standin_server_t     *server;
    cw_object_store_t       *store;
    cw_machine_list_t       *machines;
    cw_fault_t               fault;
    cw_platform_statistics_t statistics;
    cw_watch_t              *watches; /**< waiting long polls */
    cw_held_t               *held;    /**< calls that a fault leaves without an answer */
} cw_platform_standin_t;

/** Callback of the HTTP server; context is the cw_platform_standin_t. */
void cw_platform_request(void *context, cw_standin_exchange_t *exchange);

/** Answers at once when something changed, else waits for a change or the end of wait_ms. */
void cw_watch_start(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange, const char *prefix,
                    uint64_t since, uint64_t wait_ms);
/** An object was written: answers the watches that see it. */
void cw_watch_notify(cw_platform_standin_t *platform);

/** Sets the fault from a JSON body; false when it is malformed. */
bool cw_fault_set(cw_platform_standin_t *platform, const char *body, size_t length);
/** Applies the fault to a call that is about to be handled; true: the call is taken by the fault. */
bool cw_fault_intercept(cw_platform_standin_t *platform, cw_standin_exchange_t *exchange);
/** Does the fault take the answer of this write, which has taken effect? */
bool cw_fault_loses_answer(cw_platform_standin_t *platform);

#endif
