/**
 * @file signal_notices.h
 * @brief Which servers the other nodes are to be told of, and when: those that name a rate limit, and those that leave.
 *
 * All nodes have to know from the first answer that says so, and the leader goes by a limit's rate. Rules:
 *  - A change is told at once and repeated, since datagrams are lost.
 *  - What changes again and again is told once in a while: the node that counts the server's slots learns each rate
 * from the answers. All that is to be told at one moment goes in one datagram, and these have a pause between them.
 *  - A limit that goes on is told anew by whoever sees it first after a while, so that it is not forgotten. What
 * another node has told lately is not told again: many nodes see the same answers.
 *  - A leave is told anew every few seconds, for nodes that were cut off or have started since, until it is listed or
 * the server is gone: no further answer will say so.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_SIGNAL_NOTICES_H
#define CEDARWINCH_ROUTER_SIGNAL_NOTICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/server_limit.h"

enum { CW_SIGNAL_NOTICES_MOST = 64 /**< servers that are told of at once */ };

typedef struct cw_signal_notices cw_signal_notices_t;

cw_signal_notices_t *cw_signal_notices_create(void);
void                 cw_signal_notices_free(cw_signal_notices_t *notices);
/** An answer to this node named a server's limit, or this node found that it has ended. */
void cw_signal_notices_note(cw_signal_notices_t *notices, uint32_t server, cw_limit_change_t change, cw_time_us_t now);
/** An answer to this node said that the server leaves. */
void cw_signal_notices_note_leave(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now);
/** Its leave is listed, or it is gone: it need not be told any more. */
void cw_signal_notices_end_leave(cw_signal_notices_t *notices, uint32_t server);
/** Another node has told of a server. */
void cw_signal_notices_note_received(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now);
/** Servers that are to be told of now, as they are; counts them as told once more. Returns how many. */
size_t cw_signal_notices_due(cw_signal_notices_t *notices, uint32_t servers[CW_SIGNAL_NOTICES_MOST], cw_time_us_t now);
/** Servers of which something is kept. */
size_t cw_signal_notices_servers(const cw_signal_notices_t *notices);

#endif
