/**
 * @file broker_choice.h
 * @brief Which node of a zone counts the slots of a service's servers there (slot_broker.h).
 *
 * The most capable nodes of the zone share the services by rendezvous hashing. Each node works this out from the nodes
 * that it knows: two that know different ones may ask different nodes for a moment, and slots are then granted twice;
 * servers queue what is too much, and their load samples tell both.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_BROKER_CHOICE_H
#define CEDARWINCH_ROUTER_BROKER_CHOICE_H

#include <stddef.h>
#include <stdint.h>

/** A node that may count. */
typedef struct cw_broker_candidate {
    uint32_t    address;
    uint32_t    capability;
    const char *zone;
} cw_broker_candidate_t;

#define CW_BROKER_ANY_ZONE NULL

/** Address of the node for this service (or tenant: any hash) in a zone; 0: the zone has no candidate. */
uint32_t cw_broker_choose(const cw_broker_candidate_t *candidates, size_t count, const char *zone, uint32_t service);

#endif
