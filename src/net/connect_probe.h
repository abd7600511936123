/**
 * @file connect_probe.h
 * @brief Checks whether a process listens at an address by opening and closing one connection. No data is sent.
 */
#ifndef CEDARWINCH_NET_CONNECT_PROBE_H
#define CEDARWINCH_NET_CONNECT_PROBE_H

#include <uv.h>

#include "base/time.h"

/** Outcome of a probe. */
typedef enum cw_probe_result {
    CW_PROBE_CONNECTED,
    CW_PROBE_REFUSED, /**< the machine answers, but no process listens at the port */
    CW_PROBE_RESET,   /**< the port took the connection and reset it, as when its process is just ending */
    CW_PROBE_UNKNOWN  /**< no answer within the timeout, or another failure */
} cw_probe_result_t;

/** Called once when a probe has ended. */
typedef void (*cw_probe_done_t)(void *context, cw_probe_result_t result);

/** Starts a probe of "IPv4:PORT". Returns 0, and the callback is called once, after this function has returned; or a
 * libuv error, and the callback is not called. */
int cw_connect_probe(uv_loop_t *loop, const char *address, cw_time_us_t timeout, cw_probe_done_t done, void *context);

#endif
