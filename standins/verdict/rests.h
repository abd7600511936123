/**
 * @file rests.h
 * @brief Checks that servers that refuse a request and ask for rest get no requests during it.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_RESTS_H
#define CEDARWINCH_STANDINS_VERDICT_RESTS_H

#include "records.h"

/**
 * Checks the rule BUDGET. It is violated if more than two requests reach a server from a node during a rest, that is
 * the time (Retry-After) which the server asked that node for with a 503. The first half second of the rest does not
 * count, nor do rests during which the node was in trouble. The node is the one that sent the request to the server,
 * which need not be the one that the caller had sent it to.
 *
 * The records must be sorted, and nodes_collect must have been called. Returns the number of rests that servers asked
 * for.
 */
uint64_t rests_check(const records_t *records);

#endif
