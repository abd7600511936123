/**
 * @file limits.h
 * @brief Checks that servers that report a rate limit get no more requests than the limit allows.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_LIMITS_H
#define CEDARWINCH_STANDINS_VERDICT_LIMITS_H

#include "records.h"

/**
 * Checks the rule LIMIT. It is violated if a server gets within four seconds more than five requests above one and a
 * half times the number that its limit allows. Counted are requests that arrive at least three seconds after the server
 * began to report a limit, from nodes that forwarded an answer with this limit at least half a second before. Requests
 * from nodes in trouble (killed, frozen or cut off), or within three seconds after the trouble, are not counted.
 *
 * The records must be sorted, and nodes_collect must have been called. Returns the number of counted arrivals.
 */
uint64_t limits_check(const records_t *records);

#endif
