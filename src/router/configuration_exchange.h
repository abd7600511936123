/**
 * @file configuration_exchange.h
 * @brief How a node gets the configuration from other nodes, and gives it to them.
 *
 * Rules:
 *  - A node that learns of a higher version than its own asks a node that has it: at once where that node is in its own
 *    zone, else after a moment in which one of its zone may turn up. It asks again, each time the node that it learned
 *    of last, until the version is in force.
 *  - The answer is what changed since the version that the asking node has, where the answering node remembers that
 *    one; else the whole. It goes in windows of some pages: the asking node asks for the next ones when they have come,
 *    for those that are missing after a pause, and goes on with the same version while newer ones appear.
 *  - So a change of any size costs the store what its few readers read of it, and each node passes on what it has:
 * those that have it double with each transfer. A node sends no more than its allowance, a part of its link; beyond it
 *    the answer names a node that has got the version from this one, in turn.
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
    /** Bytes of pages that may be sent a second; 0: any number. */
    double bytes_per_s;
} cw_configuration_exchange_owner_t;

cw_configuration_exchange_t *cw_configuration_exchange_create(const cw_configuration_exchange_owner_t *owner);
/** This configuration is in force here now. */
void cw_configuration_exchange_set(cw_configuration_exchange_t *exchange, cw_configuration_t *configuration);
/** The node at `address` has this version. is_near: it is in this node's zone. */
void cw_configuration_exchange_note(cw_configuration_exchange_t *exchange, uint32_t address, uint64_t version,
                                    bool is_near, cw_time_us_t now);
/** Asks where it is time to. */
void cw_configuration_exchange_tick(cw_configuration_exchange_t *exchange, cw_time_us_t now);
/** Is a version coming in at this moment? Then there is no need to read it from the store. */
bool cw_configuration_exchange_is_receiving(const cw_configuration_exchange_t *exchange, cw_time_us_t now);
void cw_configuration_exchange_take_request(cw_configuration_exchange_t *exchange, uint32_t address,
                                            const Cwp__ConfigurationRequest *request, cw_time_us_t now);
void cw_configuration_exchange_take_page(cw_configuration_exchange_t *exchange, uint32_t address,
                                         const Cwp__ConfigurationPage *page, cw_time_us_t now);

#endif
