/**
 * @file detours.h
 * @brief Other nodes that this one exchanges datagrams with by way of a third one, and when to look for such a way.
 *
 * That nothing comes from a node does not mean that it is gone: the link between the two may be cut, in one direction
 * or both. What is decided once for all nodes (who counts a tenant's requests or a server's slots) would then be
 * decided twice. So before this node takes another one for gone, it asks others to pass a probe on to it, as SWIM does
 * (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
 *
 * Rules:
 *  - Whoever owns this names the nodes that are suspect: nothing has come from them directly for a while, or they say
 *    that nothing comes from this one.
 *  - A suspect is probed by CW_DETOUR_INDIRECT_PROBES others at once, by other ones each time, and by the one that
 * brought its last reply. A suspect that nobody reaches is probed more rarely.
 *  - A way holds for CW_DETOUR_LIFE_MS after something came by it.
 *  - All probes together stay within a budget, so that the loss of a whole zone costs no more.
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
    CW_DETOUR_INDIRECT_PROBES = 2, /**< nodes that pass on each probe of a suspect, beside the one that did so before */
    CW_DETOUR_LIFE_MS = 1000 /**< as long as a node that is silent counts as alive among few (CW_PEER_TIMEOUT_MS) */
};

typedef struct cw_detours cw_detours_t;

cw_detours_t *cw_detours_create(void);
void          cw_detours_free(cw_detours_t *detours);
/** Something of the node came by way of `via`. Addresses: IPv4, in network order. */
void cw_detours_received(cw_detours_t *detours, uint32_t address, uint32_t via, cw_time_us_t now);
/** The node to send by to reach `address`; 0: no way is known. */
uint32_t cw_detours_via(const cw_detours_t *detours, uint32_t address, cw_time_us_t now);
/** Is a probe of this suspect due? If so it counts as sent. turn: rises by one with each probe of it. */
bool cw_detours_begin_probe(cw_detours_t *detours, uint32_t address, cw_time_us_t now, uint32_t *turn);
/** Forgets nodes that have not been suspect for a while. */
void cw_detours_expire(cw_detours_t *detours, cw_time_us_t now);
/** Nodes that are reached by way of others. */
size_t cw_detours_count(const cw_detours_t *detours, cw_time_us_t now);

#endif
