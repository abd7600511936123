/**
 * @file limits.h
 * @brief Do servers that name a rate limit get no more than it allows?
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_LIMITS_H
#define CEDARWINCH_STANDINS_VERDICT_LIMITS_H

#include "records.h"

/**
 * LIMIT: from three seconds after a server first named its limit, it gets in some four seconds more requests than one
 * and a half times what that allows and five, from nodes that passed on an answer with it half a second before or
 * earlier. Nodes in trouble (killed, frozen, cut) do not count until three seconds after it.
 *
 * The records are sorted, and nodes_collect has been called. Returns how many arrivals at servers with a limit were
 * counted.
 */
uint64_t limits_check(const records_t *records);

#endif
