/**
 * @file link_datagrams.h
 * @brief Datagrams between nodes: each node is known by an address of the proxy's, and binds another one.
 */
#ifndef CW_LINK_DATAGRAMS_H
#define CW_LINK_DATAGRAMS_H

#include <uv.h>

#include "link_rules.h"

typedef struct link_datagrams link_datagrams_t;

link_datagrams_t *link_datagrams_create(uv_loop_t *loop, link_rules_t *rules);
/** Binds the address by which others know a node; what comes there goes to the address that the node binds. */
int link_datagrams_add(link_datagrams_t *datagrams, const link_end_t *end, const struct sockaddr_in *known,
                       const struct sockaddr_in *bound);

#endif
