/**
 * @file leaving_servers.h
 * @brief Servers that have said in an answer that they leave.
 *
 * An incarnation of a server that leaves never comes back: what the list says of it later, or that its entry comes and
 * goes, does not undo it. So this outlives the pool's knowledge of a server.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_BALANCE_LEAVING_SERVERS_H
#define CEDARWINCH_BALANCE_LEAVING_SERVERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_LEAVE_REMEMBERED_S = 3600 /**< far longer than a server that leaves serves on */ };

typedef struct cw_leave_memory cw_leave_memory_t;

cw_leave_memory_t *cw_leave_memory_create(void);
void               cw_leave_memory_free(cw_leave_memory_t *memory);
/** The incarnation of this hash has said so; false: that was known. */
bool cw_leave_memory_add(cw_leave_memory_t *memory, uint32_t server, cw_time_us_t now);
bool cw_leave_memory_has(const cw_leave_memory_t *memory, uint32_t server);
/** Forgets those of long ago. */
void   cw_leave_memory_forget(cw_leave_memory_t *memory, cw_time_us_t now);
size_t cw_leave_memory_count(const cw_leave_memory_t *memory);

#endif
