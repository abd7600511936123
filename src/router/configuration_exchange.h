/**
 * @file configuration_exchange.h
 * @brief How a node gets the configuration from other nodes, and gives it to them.
 *
 * Rules:
 *  - A node that learns of a higher version than its own asks a node that has it: at once where that node is in its own
 *    zone, else after a moment in which one of its zone may turn up. It asks again, each time the node that it learned
 *    of last, until the version is in force.
 *  - The answer is what changed since the version that the asking node has, where the answering node remembers that
 *    one; else the whole. A change too large for datagrams is answered so, and is then read from the store.
 *  - A version is only offered to the owner, who decides whether it comes into force (never back to a lower one).
 *
 * No I/O, no clock: datagrams go out by a callback, and time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_CONFIGURATION_EXCHANGE_H
#define CEDARWINCH_ROUTER_CONFIGURATION_EXCHANGE_H

#include "peer/configuration_pages.h"

typedef struct cw_configuration_exchange cw_configuration_exchange_t;

/** What an exchange asks of its owner. */
typedef struct cw_configuration_exchange_owner {
    void *context;
    /** Sends a datagram to a node. */
    void (*send)(void *context, uint32_t address, const Cwp__Datagram *datagram);
    /** A configuration has come; the reference is given away. */
    void (*received)(void *context, cw_configuration_t *configuration);
    /** The version that other nodes have is too large to be sent: it is to be read from the store. */
    void (*too_large)(void *context);
} cw_configuration_exchange_owner_t;

cw_configuration_exchange_t *cw_configuration_exchange_create(const cw_configuration_exchange_owner_t *owner);
/** This configuration is in force here now. */
void cw_configuration_exchange_set(cw_configuration_exchange_t *exchange, cw_configuration_t *configuration);
/** The node at `address` has this version. is_near: it is in this node's zone. */
void cw_configuration_exchange_note(cw_configuration_exchange_t *exchange, uint32_t address, uint64_t version,
                                    bool is_near, cw_time_us_t now);
/** Asks where it is time to. */
void cw_configuration_exchange_tick(cw_configuration_exchange_t *exchange, cw_time_us_t now);
void cw_configuration_exchange_take_request(cw_configuration_exchange_t *exchange, uint32_t address,
                                            const Cwp__ConfigurationRequest *request);
void cw_configuration_exchange_take_page(cw_configuration_exchange_t *exchange, const Cwp__ConfigurationPage *page);

#endif
