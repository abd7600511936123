/**
 * @file fatal_signal.h
 * @brief Last log line of a process that a fatal signal ends: the signal, the place in the code and the request.
 *
 * Handles SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. The handler calls only async-signal-safe functions. It writes
 * one line in the format of the event log with the signal, the faulting address, the build id, the load address and the
 * return addresses; then the default action of the signal follows. `addr2line -e cedarwinchd` translates the addresses
 * to lines of source.
 */
#ifndef CEDARWINCH_BASE_FATAL_SIGNAL_H
#define CEDARWINCH_BASE_FATAL_SIGNAL_H

/** Installs the handlers; called once, early in the start of the process. node: this node's name, copied. */
void cw_fatal_signal_install(const char *node);
/** Sets the id of the request that the process is working on; the first 63 bytes are copied. NULL: no request. */
void cw_fatal_signal_set_request(const char *request_id);

#endif
