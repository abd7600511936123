/**
 * @file socket_arrival.c
 * @brief Asks the kernel for the time since the last bytes arrived.
 */
#include "net/socket_arrival.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/loop_stall.h"

cw_time_us_t cw_socket_arrival_time(int fd, cw_time_us_t earliest, cw_time_us_t now)
{
    struct tcp_info info = {0};
    socklen_t       length = sizeof(info);
    cw_time_us_t    arrived;

    if (now - earliest <= CW_MS(CW_LOOP_STALL_MS)) {
        return now;
    }
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return earliest;
    }
    arrived = now - CW_MS((cw_time_us_t)info.tcpi_last_data_recv);
    return arrived < earliest ? earliest : arrived;
}
