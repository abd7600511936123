/**
 * @file rests.h
 * @brief Do servers that turn a node away and ask for rest get it?
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_RESTS_H
#define CEDARWINCH_STANDINS_VERDICT_RESTS_H

#include "records.h"

/**
 * BUDGET: more than two requests reach a server from a node between half a second after it has answered that node 503
 * with a rest and the end of that time, during which the node was not in trouble.
 *
 * The records are sorted, and nodes_collect has been called. Returns how many rests were asked for.
 */
uint64_t rests_check(const records_t *records);

#endif
