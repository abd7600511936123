/**
 * @file connect_probe.h
 * @brief Does a process listen at an address? One connection is opened and closed, and nothing is sent.
 */
#ifndef CEDARWINCH_NET_CONNECT_PROBE_H
#define CEDARWINCH_NET_CONNECT_PROBE_H

#include <uv.h>

#include "base/time.h"

typedef enum cw_probe_result {
    CW_PROBE_CONNECTED,
    CW_PROBE_REFUSED, /**< the machine answers, and nothing listens at the port */
    CW_PROBE_UNKNOWN  /**< no answer in time, or another failure */
} cw_probe_result_t;

typedef void (*cw_probe_done_t)(void *context, cw_probe_result_t result);

/** The callback comes once, never from within this function. Returns 0, or a libuv error: then it does not come. */
int cw_connect_probe(uv_loop_t *loop, const char *address, cw_time_us_t timeout, cw_probe_done_t done, void *context);

#endif
