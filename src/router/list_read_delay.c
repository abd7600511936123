/**
 * @file list_read_delay.c
 * @brief Length of the window from the bytes to be read, and a node's delay in it from the hash of its name.
 */
#include "router/list_read_delay.h"

cw_time_us_t cw_list_read_window(size_t nodes, size_t servers)
{
    double bytes = (double)nodes * (double)servers * CW_LIST_ENTRY_BYTES;

    return (cw_time_us_t)(bytes / CW_LIST_READ_BYTES_PER_SECOND * 1e6);
}

cw_time_us_t cw_list_read_delay(uint32_t node, cw_time_us_t window)
{
    return (cw_time_us_t)((double)node / (double)UINT32_MAX * (double)window);
}
