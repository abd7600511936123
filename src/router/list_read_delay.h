/**
 * @file list_read_delay.h
 * @brief When a node that does not read for others reads the whole list of servers by itself.
 *
 * Nodes whose list has not come, or is not renewed, get to that point in the same moment, and each of them reads all of
 * it. What they read together grows with nodes x servers: a thousand nodes that read ten thousand servers keep a store
 * with a link of 1 Gbit/s busy for half a minute, the leader's readings wait behind theirs, and no list gets younger.
 * So they take turns: a window that is long enough for all of them at a bounded rate, and in it a place by the node's
 * name. Who gets the list from the leader or another node meanwhile does not read at all.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_LIST_READ_DELAY_H
#define CEDARWINCH_ROUTER_LIST_READ_DELAY_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIST_ENTRY_BYTES = 350,           /**< of a server, as the store writes it */
    CW_READING_BYTES_A_SECOND = 50000000 /**< of all nodes; leaves more than half of 1 Gbit/s to leader and readers */
};

/** How long all nodes take to read a list of so many servers, one after the other. */
cw_time_us_t cw_reading_window(size_t nodes, size_t servers);
/** The node's place in a window. */
cw_time_us_t cw_reading_turn(uint32_t node, cw_time_us_t window);

#endif
