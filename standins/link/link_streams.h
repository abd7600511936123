/**
 * @file link_streams.h
 * @brief Connections: accepted at an address of the proxy's, and made to a target.
 */
#ifndef CW_LINK_STREAMS_H
#define CW_LINK_STREAMS_H

#include <uv.h>

#include "link_rules.h"

typedef struct link_streams link_streams_t;

link_streams_t *link_streams_create(uv_loop_t *loop, link_rules_t *rules);
/** Connections from an end to another one, by a listener of their own. */
int link_streams_add(link_streams_t *streams, const link_end_t *from, const link_end_t *to,
                     const struct sockaddr_in *listen, const struct sockaddr_in *target);
/** The open connections between two ends or groups pass nothing until `heal`. Returns how many there are. */
unsigned link_streams_stall(link_streams_t *streams, const char *one, const char *other);
/** The open connections between two ends or groups are reset. Returns how many there were. */
unsigned link_streams_reset(link_streams_t *streams, const char *one, const char *other);
/** The faults have changed: what may pass again is read again. */
void link_streams_update(link_streams_t *streams);
/** Ends what link_streams_stall began. */
void link_streams_heal(link_streams_t *streams);

#endif
