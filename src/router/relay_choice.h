/**
 * @file relay_choice.h
 * @brief Chooses the relays of a zone: the nodes that exchange state with other zones on behalf of the whole zone.
 *
 * If every node of one zone sent to every node of another, the number of datagrams between the zones would be the
 * product of their numbers of nodes. So each zone has two relays: each message crosses between two zones once for each
 * relay, and the receiving relay forwards it inside its zone. There are two relays since a datagram may be lost and a
 * relay may stop: each sends the whole state, and neither waits for the other.
 *
 * Rules: the relays are the most capable nodes of the zone; rendezvous hashing decides among nodes of equal capability,
 * as for slots (broker_choice.h). Each node computes this from the nodes that it knows. While nodes know different
 * sets, a zone may have more or fewer relays.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_RELAY_CHOICE_H
#define CEDARWINCH_ROUTER_RELAY_CHOICE_H

#include "router/broker_choice.h"

enum { CW_RELAYS = 2 /**< relays of each zone */ };

/** Fills in the addresses of the relays of a zone by rank; 0 where the zone has fewer nodes. Returns their count. */
size_t cw_relay_choose(const cw_broker_candidate_t *candidates, size_t count, const char *zone,
                       uint32_t relays[CW_RELAYS]);
/** Returns the relay of another zone to which this zone's relay of rank `place` (0 or 1) sends; 0: that zone has none.
 * relays, count: of the other zone. */
uint32_t cw_relay_partner(const uint32_t relays[CW_RELAYS], size_t count, size_t place);

#endif
