/**
 * @file configuration_freshness.h
 * @brief How surely the configuration in force at a node is the newest one, and when the node has to check it itself.
 *
 * Rules:
 *  - Evidence has the form "no configuration above version V had been acknowledged at moment T". It comes from an
 * answer of the store to this node's own call, or from another node that has such evidence, with its age.
 *  - Evidence counts from when a version at least as high as V is in force here. `complete_at` is the latest T that
 * counts: all that was acknowledged before it is in force.
 *  - That another node is alive, that it leads or reads, or that other calls to the store are answered is no evidence.
 *  - A node whose evidence grows old asks the store: the leader (or, without one, the readers) all the time by short
 *    watches, a zone's reader when its evidence is older than usual, any other node a little later.
 *
 * The shares below are of the time within which a change has to be in force. A watch that the store never answers is
 * given up after 50 % (wait and slack, platform_watch.c); then a reading and its way to the other nodes follow (some 10
 * to 20 %).
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_CONFIGURATION_FRESHNESS_H
#define CEDARWINCH_ROUTER_CONFIGURATION_FRESHNESS_H

#include "base/time.h"

/** What a node does for the others, as to the configuration. */
typedef enum cw_configuration_role {
    CW_CONFIGURATION_FOLLOWER, /**< gets it from other nodes */
    CW_CONFIGURATION_READER,   /**< watches it for its zone, while the leader checks */
    CW_CONFIGURATION_CHECKER   /**< checks it all the time: the leader; readers while nobody leads */
} cw_configuration_role_t;

typedef struct cw_configuration_freshness {
    cw_time_us_t within;          /**< a change has to be in force within this */
    uint64_t     version;         /**< in force; 0: none */
    cw_time_us_t complete_at;     /**< all that was acknowledged before this is in force; 0: not known */
    uint64_t     pending_version; /**< evidence for a version that is not in force yet */
    cw_time_us_t pending_at;
} cw_configuration_freshness_t;

void cw_configuration_freshness_init(cw_configuration_freshness_t *freshness, cw_time_us_t within);
/** This version, higher than the one before, is in force now. */
void cw_configuration_freshness_set(cw_configuration_freshness_t *freshness, uint64_t version);
/** Evidence: no version above this one had been acknowledged at `at`. */
void cw_configuration_freshness_confirm(cw_configuration_freshness_t *freshness, uint64_t version, cw_time_us_t at);
/** Time since complete_at; since the start of the clock while nothing is known. */
cw_time_us_t cw_configuration_freshness_age(const cw_configuration_freshness_t *freshness, cw_time_us_t now);
/** How long the store may hold the watch that this node needs now; 0: it needs none. */
cw_time_us_t cw_configuration_freshness_watch(const cw_configuration_freshness_t *freshness,
                                              cw_configuration_role_t role, cw_time_us_t now);

/* In datagrams an age stands as milliseconds plus one; 0 says that nothing is known. */
uint32_t cw_configuration_freshness_pack(const cw_configuration_freshness_t *freshness, cw_time_us_t now);
/** Evidence that another node sent just now. */
void cw_configuration_freshness_unpack(cw_configuration_freshness_t *freshness, uint64_t version, uint32_t packed_age,
                                       cw_time_us_t now);

#endif
