/**
 * @file relay_choice.h
 * @brief Which nodes of a zone send for it to other zones, and receive for it what these send.
 *
 * What all nodes of one zone say to all nodes of another would cross the border as often as both have nodes,
 * multiplied. So each zone has two relays: what is said crosses once for each of them, and each passes on inside what
 * it receives. Two, since a datagram may be lost and a relay may stop: each carries the whole state, none waits for the
 * other.
 *
 * Rules: the most capable nodes of the zone, by rendezvous hashing among equals, as for slots (broker_choice.h). Each
 * node works this out from the nodes that it knows; while two know different ones, a zone has more relays or fewer.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_RELAY_CHOICE_H
#define CEDARWINCH_ROUTER_RELAY_CHOICE_H

#include "router/broker_choice.h"

enum { CW_RELAYS = 2 /**< of a zone */ };

/** Addresses of the relays of a zone, the first one first; 0 where the zone has fewer nodes. Returns how many. */
size_t cw_relay_choose(const cw_broker_candidate_t *candidates, size_t count, const char *zone,
                       uint32_t relays[CW_RELAYS]);
/** The relay of another zone that relay number `place` (0, 1) of this zone sends to; 0: that zone has none. */
uint32_t cw_relay_partner(const uint32_t relays[CW_RELAYS], size_t count, size_t place);

#endif
