/**
 * @file known_leader.h
 * @brief The leader as this node knows it by its heartbeats.
 */
#ifndef CEDARWINCH_ROUTER_KNOWN_LEADER_H
#define CEDARWINCH_ROUTER_KNOWN_LEADER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "lease/leadership.h"

/** The leader whose heartbeats arrive. All zeros: none is known. */
typedef struct cw_known_leader {
    cw_time_us_t heartbeat_at;           /**< when its last heartbeat arrived */
    uint64_t     term;                   /**< its term */
    bool         is_overdue;             /**< its heartbeat is overdue, which has been logged */
    char         node[CW_NODE_NAME_MAX]; /**< its name; empty: not known */
} cw_known_leader_t;

#endif
