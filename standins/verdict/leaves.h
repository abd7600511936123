/**
 * @file leaves.h
 * @brief Do servers that said in an answer that they leave get nothing more?
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_LEAVES_H
#define CEDARWINCH_STANDINS_VERDICT_LEAVES_H

#include "records.h"

/**
 * DRAIN: a request that a caller sent later than two seconds after a node had passed on an answer with a server's leave
 * reaches that server from that node, which was neither restarted nor frozen since. What lies between nodes excuses
 * nothing.
 *
 * The records are sorted, and nodes_collect has been called. Returns how many nodes had been told of a leave.
 */
uint64_t leaves_check(const records_t *records);

#endif
