/**
 * @file delegate_choice.h
 * @brief Chooses the nodes to which a node that reaches no server passes its requests.
 *
 * Rules:
 *  - Nodes that got something from a server lately come first, then those that had no reason to contact one. Nodes
 *    without paths, and nodes of earlier releases, are not chosen.
 *  - Nodes of the own zone are chosen if they are at least half of the zone's nodes, so that each has to carry at most
 *    about twice its own load; else nodes of the region under the same condition, else all.
 *  - Of these, each node uses CW_DELEGATES_MAX, by rendezvous hashing: enough to spread the load, and few connections.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_DELEGATE_CHOICE_H
#define CEDARWINCH_ROUTER_DELEGATE_CHOICE_H

#include <stddef.h>
#include <stdint.h>

#include "model/zone_region.h"

enum { CW_DELEGATES_MAX = 8 };

/** What is known of a node's paths to servers, the best first. */
typedef enum cw_delegate_paths { CW_DELEGATE_OPEN, CW_DELEGATE_UNKNOWN, CW_DELEGATE_UNUSABLE } cw_delegate_paths_t;

/** A node that is alive. */
typedef struct cw_delegate_candidate {
    uint32_t            address; /**< IPv4, network byte order */
    cw_distance_t       distance;
    cw_delegate_paths_t paths;
} cw_delegate_candidate_t;

/** Writes the addresses of the chosen nodes and returns their number. own: address of the choosing node. */
size_t cw_delegates_choose(const cw_delegate_candidate_t *candidates, size_t count, uint32_t own,
                           uint32_t chosen[CW_DELEGATES_MAX]);

#endif
