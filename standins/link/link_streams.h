/**
 * @file link_streams.h
 * @brief Forwards connections that are accepted at an address of the proxy to a target.
 */
#ifndef CW_LINK_STREAMS_H
#define CW_LINK_STREAMS_H

#include <uv.h>

#include "link_rules.h"

/** A forwarder of connections, with its listeners and open connections. */
typedef struct link_streams link_streams_t;

/** Creates a forwarder without listeners. It exists until the process ends. */
link_streams_t *link_streams_create(uv_loop_t *loop, link_rules_t *rules);
/** Listens for connections from an end to another one, and forwards them to the target. Returns 0 or an error of libuv.
 */
int link_streams_add(link_streams_t *streams, const link_end_t *from, const link_end_t *to,
                     const struct sockaddr_in *listen, const struct sockaddr_in *target);
/** Stalls the open connections between two ends or groups until link_streams_heal. Returns their number. */
unsigned link_streams_stall(link_streams_t *streams, const char *one, const char *other);
/** Resets the open connections between two ends or groups. Returns their number. */
unsigned link_streams_reset(link_streams_t *streams, const char *one, const char *other);
/** Applies changed faults: connections that may pass bytes again are read again. */
void link_streams_update(link_streams_t *streams);
/** Ends all stalls that link_streams_stall began, and applies changed faults. */
void link_streams_heal(link_streams_t *streams);

#endif
