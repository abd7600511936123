/**
 * @file peer_paths.h
 * @brief What a node states about its paths to servers, in its reports and in the summaries of its zone.
 */
#ifndef CEDARWINCH_PEER_PEER_PATHS_H
#define CEDARWINCH_PEER_PEER_PATHS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"

enum { CW_PEER_LOST_SERVICES_MAX = 8 /**< a node that has lost more services states that it has lost all */ };

/** All zeros: nothing is stated; the node is of an earlier release. */
typedef struct cw_peer_paths {
    Cwp__ServerPaths state;
    uint32_t         lost[CW_PEER_LOST_SERVICES_MAX]; /**< hashes of services of which it reaches no server */
    size_t           lost_count;
} cw_peer_paths_t;

/** Replaces what is stated. Returns true if it has changed. */
bool cw_peer_paths_set(cw_peer_paths_t *paths, Cwp__ServerPaths state, const uint32_t *lost, size_t lost_count);
/** Whether the node states that it reaches no server of the service with this hash. */
bool cw_peer_paths_lack(const cw_peer_paths_t *paths, uint32_t service);
/** Whether the node states that it reaches no server of some service, or of all. */
bool cw_peer_paths_lack_any(const cw_peer_paths_t *paths);

#endif
