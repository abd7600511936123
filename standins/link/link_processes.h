/**
 * @file link_processes.h
 * @brief Finds the process that a connection comes from. All programs on loopback connect from the same address.
 */
#ifndef CW_LINK_PROCESSES_H
#define CW_LINK_PROCESSES_H

#include <uv.h>

#include "link_rules.h"

/** Finds the end whose process has the other side of an accepted connection; NULL: there is none. `listen` is the
 * address at which the connection was accepted. */
const link_end_t *link_end_of_connection(const link_rules_t *rules, const uv_tcp_t *accepted,
                                         const struct sockaddr_in *listen);

#endif
