/**
 * @file detours.h
 * @brief Detours: paths to other nodes through a third node, and when to probe for them.
 *
 * A node from which nothing is received is not necessarily down: the link between the two nodes may be cut, in one or
 * both directions. Decisions that must be made once for all nodes (which node counts a tenant's requests or a
 * server's slots) would then be made twice. So before this node treats another one as down, it asks other nodes to
 * forward a probe to it, as SWIM does (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol", 2002).
 *
 * Rules:
 *  - The owner determines the suspects: nodes from which nothing has been received directly for a while, or which
 *    report that they receive nothing from this node.
 *  - A suspect is probed through CW_DETOUR_INDIRECT_PROBES other nodes at once, different ones each time, and also
 *    through the node that forwarded its last reply. A suspect that no node reaches is probed less often.
 *  - A detour is valid for CW_DETOUR_VALID_MS after a datagram was received through it.
 *  - All probes together are limited in rate, so that the loss of a complete zone does not cost more.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_PEER_DETOURS_H
#define CEDARWINCH_PEER_DETOURS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_DETOUR_INDIRECT_PROBES = 2, /**< nodes that forward each probe, besides the one that forwarded the last reply */
    CW_DETOUR_VALID_MS = 1000 /**< equal to the timeout of an unresponsive node in a small fleet (CW_PEER_TIMEOUT_MS) */
};

/** Detours to all suspects of a node. */
typedef struct cw_detours cw_detours_t;

/** Creates an empty set of detours. */
cw_detours_t *cw_detours_create(void);
/** Frees all detours. */
void cw_detours_free(cw_detours_t *detours);
/** Called when a datagram of the node at `address` was received through `via`. Addresses: IPv4, in network order. */
void cw_detours_received(cw_detours_t *detours, uint32_t address, uint32_t via, cw_time_us_t now);
/** Address of the node that forwards datagrams to `address`; 0: no valid detour is known. */
uint32_t cw_detours_via(const cw_detours_t *detours, uint32_t address, cw_time_us_t now);
/** True if a probe of this suspect is due; it then counts as sent. turn: index of the probe, which increases by one
 * with each probe of the suspect. */
bool cw_detours_begin_probe(cw_detours_t *detours, uint32_t address, cw_time_us_t now, uint32_t *turn);
/** Removes nodes that have not been suspects for a while. */
void cw_detours_expire(cw_detours_t *detours, cw_time_us_t now);
/** Number of nodes that are reached through a valid detour. */
size_t cw_detours_count(const cw_detours_t *detours, cw_time_us_t now);

#endif
