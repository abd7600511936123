/**
 * @file broker_choice.h
 * @brief Chooses the node of a zone that counts the slots of a service's servers there (slot_broker.h).
 *
 * The services are divided among the most capable nodes of the zone by rendezvous hashing. Each node computes the
 * choice from the nodes that it knows. Two nodes that know different sets may ask different brokers for a short time,
 * and slots are then granted twice; the servers queue the excess requests, and their load samples show both brokers
 * the true load.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_BROKER_CHOICE_H
#define CEDARWINCH_ROUTER_BROKER_CHOICE_H

#include <stddef.h>
#include <stdint.h>

/** A node that may be chosen. */
typedef struct cw_broker_candidate {
    uint32_t    address;    /**< IPv4, network byte order */
    uint32_t    capability; /**< thousandths of a core; only the nodes with the highest are chosen */
    const char *zone;
} cw_broker_candidate_t;

/** As `zone`: candidates of all zones are considered. */
#define CW_BROKER_ANY_ZONE NULL

/** Address of the node that counts in a zone for a service; 0: the zone has no candidate. service: hash of its name;
 * may be the hash of anything else that nodes are chosen for, such as a tenant. */
uint32_t cw_broker_choose(const cw_broker_candidate_t *candidates, size_t count, const char *zone, uint32_t service);

#endif
