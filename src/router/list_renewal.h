/**
 * @file list_renewal.h
 * @brief When a node reads the list of servers from the store itself, and when the age of its list forbids sending.
 *
 * A leaving server may get requests for the time `drain` after the store has acknowledged its leave. A node's list is
 * renewed by the leader's heartbeats, by notices of its zone's readers and by its own reads. Rules, by the age of the
 * list, in parts of `drain` (docs/design/list-age.md has the budget):
 *  - Readers of a zone read at CW_LIST_READER_PERCENT, or at once while the leader's heartbeat is missing.
 *  - The other nodes read at CW_LIST_READ_PERCENT, or while they receive the leader's heartbeat, which mostly renews
 * the list, at CW_LIST_READ_WITH_HEARTBEAT_PERCENT. All have begun to read at the sum of CW_LIST_READ_PERCENT and
 *    CW_LIST_SPREAD_PERCENT: a list that is not renewed gets old at all nodes at the same time. A read of the changes
 * is one short call, so it is never put off further. A read of the whole list by all nodes of a large fleet would keep
 * the store busy for longer than that (list_read_delay.h): these are spread over the window that they need.
 *  - At CW_LIST_USABLE_PERCENT (model/list_evidence.h) no request leaves by the list until it is renewed.
 *  - That bound does not hold while the store is out of this node's reach, since the list cannot be renewed then and no
 *    leave is acknowledged to this node's knowledge, and not in the first time of a process (`settle`).
 *  - A process that has started from a copy of the store, whose age is not known, reads the list before that time ends.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_LIST_RENEWAL_H
#define CEDARWINCH_ROUTER_LIST_RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIST_READER_PERCENT = 45, /**< of drain; also the time after which the leader's heartbeat counts as missing */
    CW_LIST_READ_PERCENT = 60,
    CW_LIST_SPREAD_PERCENT = 20, /**< of drain: reads of nodes without the leader's heartbeat are spread over this */
    CW_LIST_READ_WITH_HEARTBEAT_PERCENT = 70,
    CW_LIST_START_PERCENT = 50 /**< of settle: when a process reads the list if nothing has confirmed its first one */
};

/** What a node knows when it decides. */
typedef struct cw_list_renewal {
    cw_time_us_t drain;
    cw_time_us_t settle;     /**< time after the start of a process before its requests are held to the bound */
    cw_time_us_t started_at; /**< of the process */
    cw_time_us_t valid_at;   /**< when the list in force was certainly valid; 0: not known */
    cw_time_us_t window;     /**< over which reads of the whole list by all nodes are spread */
    uint32_t     node;       /**< hash of the node's name, from which its part of a spread follows */
    bool         is_reader;
    bool         has_heartbeat; /**< the leader's heartbeat is not missing */
    bool         is_short;      /**< a read takes one short call: of the changes */
} cw_list_renewal_t;

/** Whether the node, which has a list, is to read it now. */
bool cw_list_renewal_is_due(const cw_list_renewal_t *renewal, cw_time_us_t now);
/** Whether reads of the whole list by all nodes would take longer than reads are spread over, so that nodes take turns.
 */
bool cw_list_renewal_takes_turns(const cw_list_renewal_t *renewal);
/** Whether the age of the list bounds sending now. is_store_out: the store is out of this node's reach. */
bool cw_list_renewal_is_binding(const cw_list_renewal_t *renewal, bool is_store_out, cw_time_us_t now);

#endif
