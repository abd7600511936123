/**
 * @file socket_arrival.h
 * @brief Time at which bytes arrived that are read from a TCP socket now.
 *
 * Normally that is the present time. If the process has not looked at its sockets for a while, the bytes may have
 * waited since then. The kernel knows when the last of them came (TCP_INFO); if it does not state that, the earliest
 * possible time is taken, so that nothing is assumed to have more time left than it has.
 */
#ifndef CEDARWINCH_NET_SOCKET_ARRIVAL_H
#define CEDARWINCH_NET_SOCKET_ARRIVAL_H

#include "base/time.h"

/** Returns the time at which the last bytes arrived. fd: the socket. earliest: they have not arrived before. */
cw_time_us_t cw_socket_arrival_time(int fd, cw_time_us_t earliest, cw_time_us_t now);

#endif
