/**
 * @file list_read_delay.h
 * @brief When a node that is not a reader of its zone reads the whole list of servers from the store itself.
 *
 * Nodes whose list has not arrived, or is not renewed, all decide to read it at the same time, and each of them reads
 * the whole list. The total grows with nodes x servers: a thousand nodes that read ten thousand servers keep a store
 * with a link of 1 Gbit/s busy for half a minute. The leader's own reads wait behind theirs, so that no list becomes
 * fresher. The reads are therefore spread over a window that is long enough for all nodes at a bounded rate; the hash
 * of a node's name determines its delay in the window. A node that receives the list from the leader or from another
 * node before its delay ends does not read.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_LIST_READ_DELAY_H
#define CEDARWINCH_ROUTER_LIST_READ_DELAY_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIST_ENTRY_BYTES = 350, /**< size of a server's entry in the store's response */
    /** Rate of all nodes together; leaves more than half of 1 Gbit/s to the leader and the readers. */
    CW_LIST_READ_BYTES_PER_SECOND = 50000000
};

/** Time that so many nodes take to read a list of so many servers at CW_LIST_READ_BYTES_PER_SECOND. */
cw_time_us_t cw_list_read_window(size_t nodes, size_t servers);
/** Delay of a node within the window. node: hash of its name. */
cw_time_us_t cw_list_read_delay(uint32_t node, cw_time_us_t window);

#endif
