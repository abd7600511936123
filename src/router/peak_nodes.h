/**
 * @file peak_nodes.h
 * @brief The most nodes that were alive at once of late. Shares of what all nodes have together go by it, so that a
 * share does not grow at once while nodes are only out of sight.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_PEAK_NODES_H
#define CEDARWINCH_ROUTER_PEAK_NODES_H

#include <stdint.h>

#include "base/time.h"

/** The peak, and when it was reached. All zeros: none so far. */
typedef struct cw_peak_nodes {
    uint32_t     count;
    cw_time_us_t at;
} cw_peak_nodes_t;

/** Records how many nodes are alive now. A peak older than the window is replaced by that number. */
void cw_peak_nodes_record(cw_peak_nodes_t *peak, uint32_t alive, cw_time_us_t window, cw_time_us_t now);

#endif
