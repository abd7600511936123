/**
 * @file daemon.h
 * @brief The daemon: one node wired to its adapters on a libuv loop.
 */
#ifndef CEDARWINCH_DAEMON_H
#define CEDARWINCH_DAEMON_H

#include "cedarwinch/settings.h"

/** Runs a node until SIGTERM or SIGINT has ended it; returns 0, or a negative error when it could not start. */
int cw_daemon_run(const cw_settings_t *settings);

#endif
