/**
 * @file limit_notices.h
 * @brief Which servers' rate limits the other nodes are to be told of, and when.
 *
 * All nodes have to know that a server names a limit, from the first answer that does so, and the leader goes by its
 * rate. Rules:
 *  - A change is told at once and repeated, since datagrams are lost.
 *  - A rate that changes again and again is told once in a while: the node that counts the server's slots learns each
 *    from the answers.
 *  - A limit that goes on is told anew by whoever sees it first after a while, so that it is not forgotten. What
 * another node has told lately is not told again: many nodes see the same answers' limits.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_LIMIT_NOTICES_H
#define CEDARWINCH_ROUTER_LIMIT_NOTICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/server_limit.h"

enum { CW_LIMIT_NOTICES_MOST = 64 /**< that are told at once */ };

typedef struct cw_limit_notices cw_limit_notices_t;

cw_limit_notices_t *cw_limit_notices_create(void);
void                cw_limit_notices_free(cw_limit_notices_t *notices);
/** An answer to this node named a server's limit, or this node found that it has ended. */
void cw_limit_notices_note(cw_limit_notices_t *notices, uint32_t server, cw_limit_change_t change, cw_time_us_t now);
/** Another node has told of a server's limit. */
void cw_limit_notices_note_received(cw_limit_notices_t *notices, uint32_t server, cw_time_us_t now);
/** Servers whose limits are to be told now, as they are; counts them as told once more. Returns how many. */
size_t cw_limit_notices_due(cw_limit_notices_t *notices, uint32_t servers[CW_LIMIT_NOTICES_MOST], cw_time_us_t now);
/** Servers of which something is kept. */
size_t cw_limit_notices_servers(const cw_limit_notices_t *notices);

#endif
