/**
 * @file leaves.h
 * @brief Checks that servers that announced in an answer that they leave get no further requests.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_LEAVES_H
#define CEDARWINCH_STANDINS_VERDICT_LEAVES_H

#include "records.h"

/**
 * Checks the rule DRAIN. It is violated by a request that reaches a leaving server from a node that has forwarded an
 * answer with the server's announcement, if the caller sent the request more than two seconds after that answer and the
 * node was neither restarted nor frozen in between. Faults of links between nodes are no exception.
 *
 * The records must be sorted, and nodes_collect must have been called. Returns the number of pairs of a node and a
 * server whose announcement the node forwarded.
 */
uint64_t leaves_check(const records_t *records);

#endif
