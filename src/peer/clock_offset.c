/**
 * @file clock_offset.c
 * @brief Least differences of two windows.
 */
#include "peer/clock_offset.h"

static void begin(cw_clock_offset_t *offset, uint64_t incarnation, cw_time_us_t difference, cw_time_us_t now)
{
    *offset = (cw_clock_offset_t){.incarnation = incarnation, .began_at = now, .least = difference, .former = CW_NEVER};
}

static void begin_next_window(cw_clock_offset_t *offset, cw_time_us_t difference, cw_time_us_t now)
{
    offset->former = offset->least;
    offset->least = difference;
    offset->began_at = now;
}

cw_time_us_t cw_clock_offset_sent_at(cw_clock_offset_t *offset, uint64_t incarnation, cw_time_us_t sent_at,
                                     cw_time_us_t received_at)
{
    cw_time_us_t difference = received_at - sent_at;
    cw_time_us_t least;

    if (offset->began_at == 0 || offset->incarnation != incarnation ||
        received_at - offset->began_at > 2 * CW_SECONDS(CW_CLOCK_OFFSET_WINDOW_S)) {
        begin(offset, incarnation, difference, received_at);
    } else if (received_at - offset->began_at > CW_SECONDS(CW_CLOCK_OFFSET_WINDOW_S)) {
        begin_next_window(offset, difference, received_at);
    } else if (difference < offset->least) {
        offset->least = difference;
    }
    least = offset->former < offset->least ? offset->former : offset->least;
    return sent_at + least;
}
