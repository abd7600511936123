/**
 * @file configuration_freshness.h
 * @brief Evidence that the configuration in force at a node is the newest one, and when the node checks it itself.
 *
 * Rules:
 *  - A piece of evidence states that no configuration above version V had been acknowledged by the store at time T. It
 *    comes from a response of the store to this node's own call, or from another node that has such evidence and sends
 *    its age.
 *  - Evidence counts as soon as a version at least as high as V is in force here. `complete_at` is the latest T that
 *    counts: every version that the store acknowledged before that time is in force.
 *  - Evidence does not prove that another node is alive, that it leads or reads, or that the store answers other calls.
 *  - A node asks the store when its evidence grows old. The leader (or the readers, while there is no leader) asks
 *    continuously with short watches, a zone's reader when its evidence is older than usual, and any other node a
 *    little later. Evidence of a version that is not in force here yet counts for that, too: the version is known, and
 *    configuration_newest.h bounds the wait for it.
 *  - Evidence is passed on in one direction only: the node that checks takes none, readers take the leader's, other
 *    nodes take the leader's and the readers'. Each step adds the datagram's delay to the true age, so evidence that
 *    came back to its source would never grow old on slow nodes.
 *
 * How long each step may take: model/configuration_timing.h.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_CONFIGURATION_FRESHNESS_H
#define CEDARWINCH_ROUTER_CONFIGURATION_FRESHNESS_H

#include <stdbool.h>

#include "base/time.h"

/** The part that a node has in distributing the configuration. */
typedef enum cw_configuration_role {
    CW_CONFIGURATION_FOLLOWER, /**< receives the configuration from other nodes */
    CW_CONFIGURATION_READER,   /**< watches the configuration for its zone while the leader checks it */
    CW_CONFIGURATION_CHECKER   /**< checks the configuration continuously: the leader, or the readers while there is no
                                  leader */
} cw_configuration_role_t;

/** Whether a node in this role takes evidence that a reader sends. The leader's is taken by all nodes that do not lead.
 */
bool cw_configuration_role_takes_readers_evidence(cw_configuration_role_t role);

/** The version in force at a node, and the evidence for it. */
typedef struct cw_configuration_freshness {
    cw_time_us_t within;          /**< time within which a change has to be in force */
    uint64_t     version;         /**< version in force; 0: none */
    cw_time_us_t complete_at;     /**< every version acknowledged before this time is in force; 0: unknown */
    uint64_t     pending_version; /**< version of evidence that does not count yet, since it is not in force */
    cw_time_us_t pending_at;      /**< time of that evidence */
} cw_configuration_freshness_t;

/** Starts without a version and without evidence. within: time within which a change has to be in force. */
void cw_configuration_freshness_init(cw_configuration_freshness_t *freshness, cw_time_us_t within);
/** Records that this version, which is higher than the one before, is in force now. */
void cw_configuration_freshness_set(cw_configuration_freshness_t *freshness, uint64_t version);
/** Records evidence that no version above this one had been acknowledged at time `at`. */
void cw_configuration_freshness_confirm(cw_configuration_freshness_t *freshness, uint64_t version, cw_time_us_t at);
/** Time since complete_at. While that is unknown, time since the start of the clock. */
cw_time_us_t cw_configuration_freshness_age(const cw_configuration_freshness_t *freshness, cw_time_us_t now);
/** How long the store may hold the watch that a node in this role needs now; 0: it needs none. */
cw_time_us_t cw_configuration_freshness_watch(const cw_configuration_freshness_t *freshness,
                                              cw_configuration_role_t role, cw_time_us_t now);

/** Age of the evidence as encoded in datagrams: milliseconds plus one; 0: unknown. */
uint32_t cw_configuration_freshness_pack(const cw_configuration_freshness_t *freshness, cw_time_us_t now);
/** Records evidence that another node has just sent: its version, and its age as encoded by the function above. */
void cw_configuration_freshness_unpack(cw_configuration_freshness_t *freshness, uint64_t version, uint32_t packed_age,
                                       cw_time_us_t now);

#endif
