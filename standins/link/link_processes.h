/**
 * @file link_processes.h
 * @brief Which process a connection comes from: all programs on loopback connect from the same address.
 */
#ifndef CW_LINK_PROCESSES_H
#define CW_LINK_PROCESSES_H

#include <uv.h>

#include "link_rules.h"

/** The end whose process has the other side of an accepted connection; NULL: none of them. */
const link_end_t *link_process_of(const link_rules_t *rules, const uv_tcp_t *accepted,
                                  const struct sockaddr_in *listen);

#endif
