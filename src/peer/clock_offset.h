/**
 * @file clock_offset.h
 * @brief When a peer sent a message, on this node's steady clock, whatever time the message took.
 *
 * Messages state the sender's steady clock at their sending. The difference to this node's clock at their receipt is
 * the offset of the two clocks plus the time on the way. The least difference of the last messages is that of the
 * fastest one, so a message with a larger difference was held up for so much longer: in a queue of a link, at a node
 * that forwarded it, or in this node's socket. The result is later than the true sending by the least time on the way.
 *
 * Differences count for CW_CLOCK_OFFSET_WINDOW_S to twice as long, since steady clocks drift apart. Another incarnation
 * of the peer has another clock.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_CLOCK_OFFSET_H
#define CEDARWINCH_PEER_CLOCK_OFFSET_H

#include <stdint.h>

#include "base/time.h"

enum { CW_CLOCK_OFFSET_WINDOW_S = 30 };

/** The least differences to one peer's clock. All zeros: no message yet. */
typedef struct cw_clock_offset {
    uint64_t     incarnation; /**< of the peer */
    cw_time_us_t began_at;    /**< begin of the present window; 0: none */
    cw_time_us_t least;       /**< least difference in the present window */
    cw_time_us_t former;      /**< the same in the window before; CW_NEVER: there was none */
} cw_clock_offset_t;

/** Records a message and returns when it was sent. sent_at: on the sender's steady clock; received_at: on this node's.
 */
cw_time_us_t cw_clock_offset_sent_at(cw_clock_offset_t *offset, uint64_t incarnation, cw_time_us_t sent_at,
                                     cw_time_us_t received_at);

#endif
