/**
 * @file signal_notices.h
 * @brief Schedules notices to other nodes about servers that state a rate limit or announce that they leave.
 *
 * All nodes have to know a limit or a leave from the first answer that states it, and the leader uses a limit's rate.
 * Rules:
 *  - A change is sent at once and repeated, since datagrams are lost.
 *  - A limit that changes repeatedly is sent only at intervals, since the node that counts the server's slots learns
 *    each rate from the answers. All servers that are due at one time go into one datagram, and there is an interval
 *    between datagrams.
 *  - A limit that stays in force is sent again by the first node that sees it after an interval, so that other nodes do
 *    not forget it. A notice that another node has sent lately is not repeated, since many nodes see the same answers.
 *  - A leave is sent again every few seconds, for nodes that were cut off or have started since. This ends when the
 *    list shows the leave or the server is gone. No further answer will announce the leave.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_SIGNAL_NOTICES_H
#define CEDARWINCH_ROUTER_SIGNAL_NOTICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/server_limit.h"

enum { CW_SIGNAL_NOTICES_MAX = 64 /**< most servers in one notice */ };

/** Schedule of the notices that a node sends. */
typedef struct cw_signal_notices cw_signal_notices_t;

/** Creates an empty schedule. */
cw_signal_notices_t *cw_signal_notices_create(void);
/** Frees the schedule. */
void cw_signal_notices_free(cw_signal_notices_t *notices);
/** Records that an answer to this node contained a server's limit, or that this node found that the limit has ended. */
void cw_signal_notices_record_limit(cw_signal_notices_t *notices, uint32_t server, cw_limit_change_t change,
                                    cw_time_us_t now);
/** Records that an answer to this node announced that the server leaves. */
void cw_signal_notices_record_leave(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now);
/** Ends the repeated notices of a leave, since the list shows the leave or the server is gone. */
void cw_signal_notices_end_leave(cw_signal_notices_t *notices, uint32_t server);
/** Records that a notice about a server was received from another node. */
void cw_signal_notices_record_received(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now);
/** Fills in the servers whose present state is to be sent now, and counts one more notice of each as sent. Returns
 * their count. */
size_t cw_signal_notices_due(cw_signal_notices_t *notices, uint32_t servers[CW_SIGNAL_NOTICES_MAX], cw_time_us_t now);
/** Number of servers for which state is kept. */
size_t cw_signal_notices_servers(const cw_signal_notices_t *notices);

#endif
