/**
 * @file link_datagrams.h
 * @brief Forwards datagrams between nodes: a node binds another address than the one by which others know it.
 */
#ifndef CW_LINK_DATAGRAMS_H
#define CW_LINK_DATAGRAMS_H

#include <uv.h>

#include "link_rules.h"

/** A forwarder of datagrams between nodes. */
typedef struct link_datagrams link_datagrams_t;

/** Creates a forwarder without nodes. It exists until the process ends. */
link_datagrams_t *link_datagrams_create(uv_loop_t *loop, link_rules_t *rules);
/** Binds the address by which others know a node; datagrams received there are sent to the address that the node binds.
 * Returns 0 or an error of libuv. */
int link_datagrams_add(link_datagrams_t *datagrams, const link_end_t *end, const struct sockaddr_in *known,
                       const struct sockaddr_in *bound);

#endif
