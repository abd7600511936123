/**
 * @file list_read_delay.c
 * @brief A window by bytes, and a place in it by hash.
 */
#include "router/list_read_delay.h"

cw_time_us_t cw_reading_window(size_t nodes, size_t servers)
{
    double bytes = (double)nodes * (double)servers * CW_LIST_ENTRY_BYTES;

    return (cw_time_us_t)(bytes / CW_READING_BYTES_A_SECOND * 1e6);
}

cw_time_us_t cw_reading_turn(uint32_t node, cw_time_us_t window)
{
    return (cw_time_us_t)((double)node / (double)UINT32_MAX * (double)window);
}
