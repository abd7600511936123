/**
 * @file configuration_exchange.h
 * @brief How nodes get the configuration from each other.
 *
 * Rules:
 *  - A node that learns of a higher version than its own requests it from a node that has it: at once if that node is
 *    in its own zone, otherwise after a short delay in which one of its own zone may be found. It repeats the request
 *    until the version is in force, each time to the node that it learned of last.
 *  - The reply contains what changed since the version that the requesting node has, if the replying node still keeps
 *    that version; otherwise the whole configuration. The reply is sent in windows of a few pages. The requesting node
 *    requests the next window when it has received one, and requests missing pages again after a retry interval. It
 *    continues with the same version while newer ones appear.
 *  - So the store is loaded only by the reads of its few readers, whatever the size of a change. Each node forwards the
 *    version that it has, and the number of nodes that have a version doubles with each transfer. A node sends no more
 *    than its allowance, a part of its link. Beyond that its reply names a node that has received the version from it,
 *    each of them in turn.
 *  - A received version is only offered to the owner, who decides whether it comes into force (never a lower one).
 *
 * No I/O, no clock: datagrams are sent through a callback, and time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_CONFIGURATION_EXCHANGE_H
#define CEDARWINCH_ROUTER_CONFIGURATION_EXCHANGE_H

#include "peer/configuration_pages.h"

/** Requests and replies of one node. */
typedef struct cw_configuration_exchange cw_configuration_exchange_t;

/** Callbacks and settings that the owner of an exchange provides. */
typedef struct cw_configuration_exchange_owner {
    void *context;
    /** Sends a datagram to a node. */
    void (*send)(void *context, uint32_t address, const Cwp__Datagram *datagram);
    /** A configuration has been received; the owner takes over the reference. */
    void (*received)(void *context, cw_configuration_t *configuration);
    /** The version that other nodes have is too large to be sent; the owner is to read it from the store. */
    void (*too_large)(void *context);
    /** Bytes of pages that may be sent per second; 0: no limit. */
    double bytes_per_s;
} cw_configuration_exchange_owner_t;

/** Creates an exchange without a configuration. */
cw_configuration_exchange_t *cw_configuration_exchange_create(const cw_configuration_exchange_owner_t *owner);
/** Records that this configuration is in force here now. */
void cw_configuration_exchange_set(cw_configuration_exchange_t *exchange, cw_configuration_t *configuration);
/** Records that the node at `address` has this version. is_same_zone: it is in this node's zone. */
void cw_configuration_exchange_record_holder(cw_configuration_exchange_t *exchange, uint32_t address, uint64_t version,
                                             bool is_same_zone, cw_time_us_t now);
/** Sends a request if one is due. Called at each tick. */
void cw_configuration_exchange_tick(cw_configuration_exchange_t *exchange, cw_time_us_t now);
/** True while pages of a higher version are being received, so that it need not be read from the store. */
bool cw_configuration_exchange_is_receiving(const cw_configuration_exchange_t *exchange, cw_time_us_t now);
/** Replies to a request of the node at `address`. */
void cw_configuration_exchange_handle_request(cw_configuration_exchange_t *exchange, uint32_t address,
                                              const Cwp__ConfigurationRequest *request, cw_time_us_t now);
/** Handles a page, or a redirect, from the node at `address`. */
void cw_configuration_exchange_handle_page(cw_configuration_exchange_t *exchange, uint32_t address,
                                           const Cwp__ConfigurationPage *page, cw_time_us_t now);

#endif
