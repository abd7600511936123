/**
 * @file fatal_signal.h
 * @brief A process's last log line: which signal ended it, where, and on which request.
 *
 * For SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. The handler calls async-signal-safe functions only, writes one line
 * in the log's own format with the signal, the faulting address, the build id, the load address and return addresses,
 * and lets the signal take its default course. Addresses are turned into lines by `addr2line -e cedarwinchd`.
 */
#ifndef CEDARWINCH_BASE_FATAL_SIGNAL_H
#define CEDARWINCH_BASE_FATAL_SIGNAL_H

/** To be called once, early. node: copied. */
void cw_fatal_signal_install(const char *node);
/** The request that is being worked on; copied up to a bound. NULL: none. */
void cw_fatal_signal_set_request(const char *request_id);

#endif
